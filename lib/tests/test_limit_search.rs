//! Tests that the limit search finds the concurrency limit of a simulated batching server.
//!
//! The server's throughput rises with the number of concurrent requests up to a hidden knee and
//! falls beyond it, like that of an inference engine.

use std::time::Duration;

use cardamomshift_lib::backend_server::BackendServer;
use cardamomshift_lib::backend_server::Completion;
use cardamomshift_lib::id::HostId;
use cardamomshift_lib::id::RequestId;
use cardamomshift_lib::id::ServerId;
use cardamomshift_lib::message::EndOutcome;
use cardamomshift_lib::time::Timestamp;
use proptest::prelude::*;

/// Steps of a run. In each step every request of the batch produces one token.
const STEPS: u32 = 40_000;
/// Steps at the start of a run that are not measured, in which the limit is learnt.
const WARM_UP_STEPS: u32 = 10_000;

/// A batching server. A step takes 5 ms, and 0.25 ms more for each request. Above `knee` requests
/// its duration is also multiplied by the square of their number divided by `knee`.
struct SimulatedBatch {
    /// Number of concurrent requests with the highest throughput.
    knee: u32,
    /// Requests with the tokens that remain and the tokens in total.
    requests: Vec<(RequestId, u32, u32)>,
}

impl SimulatedBatch {
    /// Duration of one step.
    fn step(&self) -> Duration {
        let running = self.requests.len() as f64;
        let excess = (running / f64::from(self.knee)).max(1.0);
        Duration::from_secs_f64((0.005 + 0.000_25 * running) * excess * excess)
    }
}

/// Runs a server that always has requests waiting, and returns its throughput after the warm-up
/// steps as a share of the throughput at the knee. Requests produce `lengths` tokens in turn.
fn achieved_share(knee: u32, lengths: &[u32]) -> f64 {
    let mut server = BackendServer::new(ServerId(1));
    server.set_usable(true);
    server.end_cold_hold(None);
    let mut batch = SimulatedBatch {
        knee,
        requests: Vec::new(),
    };
    let mut now = Timestamp::from_micros(1);
    let mut next_sequence = 0;
    let (mut tokens, mut time) = (0_u64, Duration::ZERO);
    for step in 0..STEPS {
        loop {
            next_sequence += 1;
            let request = RequestId {
                gateway: HostId(1),
                sequence: next_sequence,
            };
            if server.admit(now, request).is_none() {
                break;
            }
            let length = lengths[next_sequence as usize % lengths.len()];
            batch.requests.push((request, length, length));
        }
        let span = batch.step();
        now = now + span;
        if step >= WARM_UP_STEPS {
            tokens += batch.requests.len() as u64;
            time += span;
        }
        for entry in &mut batch.requests {
            entry.1 -= 1;
        }
        let ended: Vec<_> = batch
            .requests
            .iter()
            .filter(|entry| entry.1 == 0)
            .copied()
            .collect();
        batch.requests.retain(|entry| entry.1 > 0);
        for (request, _, length) in ended {
            let end = Completion {
                outcome: EndOutcome::Complete,
                instance: 1,
                first_byte_us: 20_000,
                work: u64::from(length),
            };
            server.complete(now, request, end);
        }
    }
    let best = f64::from(knee) / (0.005 + 0.000_25 * f64::from(knee));
    tokens as f64 / time.as_secs_f64() / best
}

/// A knee of 10,000 lies above every limit that the search may try, so its throughput is not
/// reached. A knee of 64 lies within the range of the search.
#[test]
fn limit_keeps_growing_on_a_server_without_a_knee() {
    assert!(achieved_share(10_000, &[40]) < 1.0);
    let few = achieved_share(64, &[20, 30, 40]);
    assert!(few > 0.8, "{few}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]
    /// After the warm-up steps the throughput is at least nine tenths of that at the knee, whatever
    /// the lengths of the requests.
    #[test]
    fn learnt_limit_reaches_nine_tenths_of_the_best_throughput(
        knee in 4..32_u32,
        lengths in proptest::collection::vec(20..60_u32, 1..7),
    ) {
        let share = achieved_share(knee, &lengths);
        prop_assert!(share >= 0.9, "{share} at {knee}");
    }
}
