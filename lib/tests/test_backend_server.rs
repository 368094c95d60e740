//! Tests of the admission control of a backend server: phases, learnt limit, backoff and slots.
//!
//! A server is cold while nothing is known of how many requests it can run at once, warming while
//! its limit grows quickly, and warm from then on. While it is not warm, each request occupies a
//! slot: a number below the limit, which its home host permits to one request at a time.

use std::time::Duration;

use cardamomshift_lib::backend_server::BackendServer;
use cardamomshift_lib::backend_server::Completion;
use cardamomshift_lib::backend_server::Observation;
use cardamomshift_lib::id::HostId;
use cardamomshift_lib::id::RequestId;
use cardamomshift_lib::id::ServerId;
use cardamomshift_lib::message::EndOutcome;
use cardamomshift_lib::message::ServerPhase;
use cardamomshift_lib::time::Timestamp;
use proptest::collection::vec;
use proptest::prelude::*;

const START: Timestamp = Timestamp::from_micros(1_000_000);
/// Time to the first byte at normal latency.
const NORMAL_US: u64 = 50_000;
/// Successful requests that end the first cold phase.
const COLD_COMPLETIONS: usize = 8;

/// A server in service with a simulated clock. `running` lists its requests, oldest first.
struct ServerFixture {
    server: BackendServer,
    now: Timestamp,
    /// Sequence number of the latest request.
    next: u64,
    running: Vec<RequestId>,
}

impl ServerFixture {
    fn new() -> Self {
        let mut server = BackendServer::new(ServerId(1));
        server.set_usable(true);
        server.end_cold_hold(None);
        Self {
            server,
            now: START,
            next: 0,
            running: Vec::new(),
        }
    }

    /// Admits requests until the server has no free capacity, and returns their number.
    fn admit_all(&mut self) -> usize {
        let mut admitted = 0;
        loop {
            self.next += 1;
            let request = RequestId {
                gateway: HostId(1),
                sequence: self.next,
            };
            if self.server.admit(self.now, request).is_none() {
                return admitted;
            }
            self.running.push(request);
            admitted += 1;
        }
    }

    /// Ends the oldest request. The clock advances so that each request runs for about 50 ms on a
    /// full server.
    fn end_oldest(&mut self, outcome: EndOutcome, instance: u64, first_byte_us: u64) {
        let spread = u64::try_from(self.running.len()).unwrap();
        self.now = self.now + Duration::from_micros(50_000 / spread);
        let request = self.running.remove(0);
        let end = Completion {
            outcome,
            instance,
            first_byte_us,
            work: 100,
        };
        self.server.complete(self.now, request, end);
    }

    /// Completes requests one after the other while the server always runs as many as its limit
    /// allows.
    fn fill_and_complete(&mut self, completions: usize) {
        for _ in 0..completions {
            self.admit_all();
            self.end_oldest(EndOutcome::Complete, 1, NORMAL_US);
        }
    }

    /// Ends all requests as cancelled, which changes neither phase nor limit.
    fn cancel_all(&mut self) {
        while !self.running.is_empty() {
            self.end_oldest(EndOutcome::Cancelled, 1, 0);
        }
    }
}

#[test]
fn new_server_admits_one_request() {
    let mut fixture = ServerFixture::new();
    assert_eq!(fixture.server.phase(), ServerPhase::Cold);
    assert_eq!(fixture.admit_all(), 1);
}

#[test]
fn limit_grows_with_completions_until_warm() {
    let mut fixture = ServerFixture::new();
    fixture.fill_and_complete(COLD_COMPLETIONS - 1);
    assert_eq!(fixture.server.phase(), ServerPhase::Cold);
    assert_eq!(fixture.server.limit(), 1);
    fixture.fill_and_complete(1);
    assert_eq!(fixture.server.phase(), ServerPhase::Warming);
    assert_eq!(fixture.server.limit(), 2);
    fixture.fill_and_complete(100);
    assert_eq!(fixture.server.phase(), ServerPhase::Warm);
    fixture.fill_and_complete(200);
    assert!(fixture.server.limit() > 8);
}

/// A cold phase ends after a number of successes, or once their run times add up to 4 s.
#[test]
fn one_long_completion_ends_a_cold_start() {
    let mut fixture = ServerFixture::new();
    fixture.admit_all();
    fixture.now = fixture.now + Duration::from_secs(5);
    fixture.end_oldest(EndOutcome::Complete, 1, NORMAL_US);
    assert_eq!(fixture.server.phase(), ServerPhase::Warming);
}

#[test]
fn failure_of_a_warming_server_doubles_the_next_cold_start() {
    let mut fixture = ServerFixture::new();
    for failures in 0..3 {
        let needed = COLD_COMPLETIONS << failures;
        fixture.fill_and_complete(needed - 1);
        assert_eq!(fixture.server.phase(), ServerPhase::Cold, "{failures}");
        fixture.fill_and_complete(1);
        assert_eq!(fixture.server.phase(), ServerPhase::Warming, "{failures}");
        fixture.admit_all();
        fixture.end_oldest(EndOutcome::Failed, 1, 0);
        fixture.cancel_all();
        fixture.now = fixture.now + Duration::from_secs(3);
    }
}

/// Completions on a server that runs fewer requests than its limit allows say nothing about the
/// limit.
#[test]
fn limit_does_not_grow_below_saturation() {
    let mut fixture = ServerFixture::new();
    fixture.fill_and_complete(40);
    fixture.cancel_all();
    let limit = fixture.server.limit();
    for _ in 0..100 {
        let request = RequestId::default();
        fixture.server.admit(fixture.now, request);
        fixture.running.push(request);
        fixture.end_oldest(EndOutcome::Complete, 1, NORMAL_US);
    }
    assert_eq!(fixture.server.limit(), limit);
}

#[test]
fn failure_restart_and_latency_spike_reset_the_limit_at_once() {
    let cases = [
        (EndOutcome::Failed, 1, 0),
        (EndOutcome::Complete, 2, NORMAL_US),
        (EndOutcome::Complete, 1, 100 * NORMAL_US),
    ];
    for (outcome, instance, first_byte_us) in cases {
        let mut fixture = ServerFixture::new();
        fixture.fill_and_complete(40);
        fixture.admit_all();
        fixture.end_oldest(outcome, instance, first_byte_us);
        assert_eq!(fixture.server.phase(), ServerPhase::Cold, "{outcome:?}");
        assert_eq!(fixture.server.limit(), 1);
        assert_eq!(fixture.admit_all(), 0, "requests in flight must count");
    }
}

#[test]
fn first_rejection_lowers_the_limit_of_a_warm_server_and_a_second_one_makes_it_cold() {
    let mut fixture = ServerFixture::new();
    fixture.fill_and_complete(200);
    fixture.admit_all();
    let limit = fixture.server.limit();
    fixture.end_oldest(EndOutcome::Rejected, 1, 0);
    assert_eq!(fixture.server.phase(), ServerPhase::Warm);
    assert_eq!(fixture.server.limit(), limit - 1);
    assert_eq!(fixture.admit_all(), 0);
    fixture.end_oldest(EndOutcome::Rejected, 1, 0);
    assert_eq!(fixture.server.phase(), ServerPhase::Cold);
    assert_eq!(fixture.server.limit(), 1);
}

#[test]
fn completions_admitted_before_a_cold_reset_do_not_raise_the_limit() {
    let mut fixture = ServerFixture::new();
    fixture.fill_and_complete(40);
    fixture.admit_all();
    fixture.end_oldest(EndOutcome::Failed, 1, 0);
    while !fixture.running.is_empty() {
        fixture.end_oldest(EndOutcome::Complete, 1, NORMAL_US);
    }
    assert_eq!(fixture.server.limit(), 1);
}

#[test]
fn elevated_latency_lowers_the_limit_without_a_cold_reset() {
    let mut fixture = ServerFixture::new();
    fixture.fill_and_complete(200);
    let limit = fixture.server.limit();
    for _ in 0..2 * limit {
        fixture.admit_all();
        fixture.end_oldest(EndOutcome::Complete, 1, 9 * NORMAL_US);
    }
    assert_eq!(fixture.server.phase(), ServerPhase::Warm);
    assert!(fixture.server.limit() < limit);
}

#[test]
fn unreachable_server_backs_off_longer_each_time() {
    let mut fixture = ServerFixture::new();
    for _ in 0..2 {
        assert_eq!(fixture.admit_all(), 1);
        let request = fixture.running.remove(0);
        fixture.server.grant_returned(fixture.now, request, true);
    }
    assert_eq!(fixture.server.free(fixture.now), 0);
    fixture.now = fixture.now + Duration::from_millis(100);
    assert_eq!(fixture.server.free(fixture.now), 1);
    fixture.admit_all();
    let request = fixture.running.remove(0);
    fixture.server.grant_returned(fixture.now, request, true);
    fixture.now = fixture.now + Duration::from_millis(150);
    assert_eq!(fixture.server.free(fixture.now), 0);
}

/// A grant that is returned without a connection failure may mean that the slot's home host refused
/// the slot.
#[test]
fn refused_slot_is_tried_again_later() {
    let mut fixture = ServerFixture::new();
    fixture.admit_all();
    let request = fixture.running.remove(0);
    fixture.server.grant_returned(fixture.now, request, false);
    assert_eq!(fixture.server.free(fixture.now), 0);
    assert_eq!(
        fixture
            .server
            .free(fixture.now + Duration::from_millis(250)),
        1
    );
}

/// A new scheduler gets an observation of the server's state from the gateways. It is ignored if
/// the server has shown another instance, which means that it was restarted.
#[test]
fn observation_restores_only_the_same_instance() {
    let observation = Observation {
        instance: 1,
        phase: ServerPhase::Warm,
        limit: 12,
    };
    for (seen, limit) in [(0, 12), (1, 12), (2, 1)] {
        let mut server = BackendServer::new(ServerId(1));
        server.set_usable(true);
        if seen != 0 {
            let end = Completion {
                outcome: EndOutcome::Complete,
                instance: seen,
                first_byte_us: NORMAL_US,
                work: 100,
            };
            server.complete(START, RequestId::default(), end);
        }
        assert_eq!(server.limit(), 1);
        server.end_cold_hold(Some(observation));
        assert_eq!(server.limit(), limit, "instance {seen}");
    }
}

#[test]
fn server_out_of_service_admits_nothing_and_comes_back_cold() {
    let mut fixture = ServerFixture::new();
    fixture.fill_and_complete(40);
    fixture.cancel_all();
    fixture.server.set_usable(false);
    assert_eq!(fixture.admit_all(), 0);
    fixture.server.set_usable(true);
    assert_eq!(fixture.admit_all(), 1);
}

proptest! {
    /// While a server is not warm, no two requests in flight have the same slot, and every slot is
    /// below the limit.
    #[test]
    fn slots_of_outstanding_requests_differ(steps in vec((0..3u8, 0..4u64), 0..200)) {
        let mut fixture = ServerFixture::new();
        let mut held: Vec<(RequestId, u32)> = Vec::new();
        for (kind, pick) in steps {
            fixture.next += 1;
            if kind > 0 || held.is_empty() {
                let request = RequestId { gateway: HostId(1), sequence: fixture.next };
                let cold = fixture.server.phase() != ServerPhase::Warm;
                if let Some(slot) = fixture.server.admit(fixture.now, request) {
                    if cold {
                        prop_assert!(held.iter().all(|(_, taken)| *taken != slot));
                        prop_assert!(slot < fixture.server.limit());
                    }
                    let slot = if cold { slot } else { u32::MAX };
                    held.push((request, slot));
                }
                prop_assert!(fixture.server.running() <= fixture.server.limit());
            } else {
                let (request, _) = held.remove(pick as usize % held.len());
                let end = Completion {
                    outcome: EndOutcome::Complete,
                    instance: 1,
                    first_byte_us: NORMAL_US,
                    work: 100,
                };
                fixture.server.complete(fixture.now, request, end);
            }
        }
    }
}
