//! Messages of other hosts with values that no sound host sends.
//!
//! The load: a host with a fault, or of another version, sends schedule requests and reports whose numbers
//! are at the ends of their ranges. They must not take down the host that receives them.

mod entry;

use std::net::SocketAddr;
use std::time::Duration;

use cardamomshift_lib::entry::Claimant;
use cardamomshift_lib::entry::Datagram;
use cardamomshift_lib::entry::Fleet;
use cardamomshift_lib::entry::Progress;
use cardamomshift_lib::entry::ProgressStep;
use cardamomshift_lib::entry::PromptPart;
use cardamomshift_lib::entry::ReservationId;
use cardamomshift_lib::entry::ScheduleDecision;
use cardamomshift_lib::entry::ScheduleRequest;
use cardamomshift_lib::entry::ServerLimit;
use cardamomshift_lib::entry::Shard;
use cardamomshift_lib::entry::ShardWork;
use cardamomshift_lib::entry::StreamKey;
use cardamomshift_lib::entry::StreamOrigin;
use cardamomshift_lib::entry::VersionId;
use cardamomshift_lib::entry::WorkspaceWork;
use cardamomshift_lib::entry::decode;
use cardamomshift_lib::entry::encode;
use cardamomshift_lib::time::Timestamp;
use proptest::collection::vec;
use proptest::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::entry::MODEL;
use crate::entry::at;
use crate::entry::fleet;

const START_MS: u64 = 10_000;

fn number() -> impl Strategy<Value = u64> {
    prop_oneof![
        Just(0),
        Just(1),
        Just(u64::MAX),
        0..100_000_u64,
        any::<u64>()
    ]
}

fn small() -> impl Strategy<Value = u32> {
    number().prop_map(|n| n.min(u64::from(u32::MAX)) as u32)
}

fn span() -> impl Strategy<Value = Duration> {
    number().prop_map(Duration::from_micros)
}

fn float() -> impl Strategy<Value = f64> {
    let ends = [f64::NAN, f64::INFINITY, -1.0, 0.0, 1e-300, f64::MAX];
    prop_oneof![proptest::sample::select(ends.to_vec()), 0.0..100.0]
}

fn schedule_request() -> impl Strategy<Value = ScheduleRequest> {
    let part = (0..4_u64, small()).prop_map(|(id, tokens)| PromptPart { id, tokens });
    let tokens = (small(), small(), vec(part, 0..4), number());
    let spans = (span(), span(), span());
    let shard = (small(), small()).prop_map(|(index, count)| Shard { index, count });
    (tokens, spans, shard, any::<[bool; 3]>(), small()).prop_map(
        |(tokens, spans, shard, flags, rank)| ScheduleRequest {
            service: xxh3_64(MODEL.as_bytes()),
            shard,
            workspace: 1,
            domain: 0,
            input_tokens: tokens.0,
            output_tokens: tokens.1,
            shared_parts: tokens.2,
            until_objective: spans.0,
            until_give_up: spans.1,
            rank,
            is_caller_retry: flags[0],
            last_server: 0,
            kind: 1,
            content: 0,
            version: None,
            except_version: None,
            objective: spans.2,
            continues_stream: flags[1],
            was_refused: flags[2],
            refused_tokens: tokens.3,
            excluded: Vec::new(),
        },
    )
}

fn shares() -> impl Strategy<Value = Datagram> {
    let work =
        (0..4_u64, number(), number()).prop_map(|(workspace, requested, granted)| WorkspaceWork {
            workspace,
            requested_tokens: requested,
            granted_tokens: granted,
        });
    (float(), vec(work, 0..4)).prop_map(|(contention, work)| Datagram::Shares {
        service: xxh3_64(MODEL.as_bytes()),
        shards: ShardWork {
            contention: contention as f32,
            work,
        },
    })
}

fn datagram() -> impl Strategy<Value = Datagram> {
    let engines = [xxh3_64(b"m1"), xxh3_64(b"m2")];
    let limit = (
        proptest::sample::select(engines.to_vec()),
        number(),
        float(),
        span(),
    );
    let limit = limit.prop_map(|(server, run, per_second, age)| ServerLimit {
        server,
        run,
        per_second: Some(per_second),
        age,
    });
    let origin = (0..3_u64, span(), number());
    prop_oneof![
        (schedule_request(), vec(limit, 0..4)).prop_map(|(request, limits)| Datagram::Bid {
            id: 1,
            request,
            crashes: Vec::new(),
            limits,
        }),
        shares(),
        origin.prop_map(|(key, remaining, tokens)| Datagram::Origin(StreamOrigin {
            key: StreamKey(key),
            version: VersionId(1),
            remaining,
            tokens,
        })),
        (0..3_u64, number()).prop_map(|(key, claimed_tokens)| Datagram::OriginRequest {
            id: 1,
            key: StreamKey(key),
            service: 1,
            claimed_tokens,
        }),
    ]
}

/// Handles a datagram as a host does. `after` is the time that a started request is reported to have taken.
fn handle(fleet: &mut Fleet, now: u64, datagram: &Datagram, after: Duration) {
    let from = SocketAddr::from(([10, 0, 0, 1], 7_400));
    let now = at(now);
    match datagram {
        Datagram::Bid {
            request, limits, ..
        } => {
            fleet.on_limits_told(now, limits);
            let decision = fleet.decide(now, request);
            if let ScheduleDecision::Start { reservation, .. } = decision {
                report(fleet, now, reservation, after);
            }
        }
        Datagram::Shares { service, shards } => {
            fleet.on_shares(now, from, *service, shards.clone());
        }
        Datagram::Origin(origin) => fleet.on_stream_told(now, origin),
        Datagram::OriginRequest {
            id,
            key,
            claimed_tokens,
            ..
        } => {
            let host = Some(from);
            fleet.claim_stream(now, *key, Claimant { host, id: *id }, *claimed_tokens);
        }
        other => panic!("not sent by this test: {other:?}"),
    }
}

fn report(fleet: &mut Fleet, now: Timestamp, id: ReservationId, after: Duration) {
    let host_lag = Duration::ZERO;
    for step in [
        ProgressStep::ResponseStarted { after, host_lag },
        ProgressStep::ServerLeaving {
            started_at_ms: u64::MAX,
        },
        ProgressStep::Broken,
        ProgressStep::Silent,
        ProgressStep::Survived,
        ProgressStep::Answered,
        ProgressStep::Ended,
    ] {
        let reservation = id;
        fleet.on_progress(now, &Progress { reservation, step });
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against a host that panics or hangs by a message that it can decode.
    #[test]
    fn messages_with_extreme_values_do_no_harm(
        messages in vec((datagram(), span()), 1..16),
    ) {
        let mut fleet = fleet(at(START_MS));
        for (n, (message, after)) in messages.iter().enumerate() {
            let now = START_MS + n as u64 * 300;
            let decoded = decode(&encode(message)).unwrap();
            handle(&mut fleet, now, &decoded, *after);
            fleet.shares_to_send(at(now));
            fleet.take_schedule_summaries();
            fleet.sweep(at(now));
        }
    }
}
