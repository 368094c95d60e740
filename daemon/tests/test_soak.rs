//! Soak of the program on the platform: separate processes, faults from outside, what callers and
//! servers saw.
//!
//! `SOAK_SEEDS=1..50` and `SOAK_SECONDS=20` play more than the seeds that are always played.

#[path = "../../platform/tests/stand_ins/mod.rs"]
mod stand_ins;

mod soak;

use crate::soak::soak;

/// Seeds that are always played. 41 had a stop right after a start, before the program handled
/// signals; the soak waits for that now.
const SEEDS: [u64; 2] = [1, 41];
/// Length of a soak, seconds.
const SECONDS: u64 = 6;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn fleet_keeps_its_guarantees_under_faults() {
    let seeds = match std::env::var("SOAK_SEEDS") {
        Ok(range) => {
            let (first, last) = range.split_once("..").expect("SOAK_SEEDS is FIRST..LAST");
            let number = |text: &str| text.parse().expect("SOAK_SEEDS has numbers");
            (number(first)..=number(last)).collect()
        }
        Err(_) => SEEDS.to_vec(),
    };
    let seconds = std::env::var("SOAK_SECONDS");
    let seconds = seconds.map_or(SECONDS, |text| {
        text.parse().expect("SOAK_SECONDS is a number")
    });
    let mut violations = Vec::new();
    for seed in seeds {
        let found = soak(seed, seconds).await;
        violations.extend(
            found
                .into_iter()
                .map(|violation| format!("seed {seed}: {violation}")),
        );
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}
