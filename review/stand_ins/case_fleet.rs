//! All hosts of a fleet but one are lost; requests at the last one get no answer.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::Scene;
use crate::Traffic;
use crate::Verdict;
use crate::config;
use crate::host::Host;
use crate::sleep_ms;
use crate::worker::Worker;

/// `timeout-ms` of the route.
const TIMEOUT: Duration = Duration::from_millis(4_000);
/// Time after it within which the final answer is due.
const DUE: Duration = Duration::from_millis(500);
/// Longest time that clients wait.
const DEADLINE: Duration = Duration::from_millis(15_000);
const ZONES: [&str; 4] = ["bern-a", "zurich-b", "basel-c", "luzern-d"];

pub fn run(scene: &Arc<Scene>) -> Result<Verdict, String> {
    let (store, note) = (&scene.store, |text: &str| scene.record.note(text));
    // Other figures can be tried with the variables HOSTS and LAST.
    let figure = |name: &str, usual| {
        let set = std::env::var(name).ok().and_then(|n| n.parse().ok());
        set.unwrap_or(usual)
    };
    let count = figure("HOSTS", 24);
    let last = usize::from(figure("LAST", count)) - 1;
    store.put("config", "main", &config(1, &["key-one"]));
    let workers: Vec<_> = (0..4)
        .map(|n| Worker::start(&format!("i-{n}"), ZONES[n], store, &scene.record))
        .collect();
    let mut hosts: Vec<_> = (1..=count)
        .map(|n| Host::start(&scene.dir, n, ZONES[usize::from(n) % 4], store.address))
        .collect();
    for host in &hosts {
        host.wait_ready(Duration::from_secs(20))?;
    }
    sleep_ms(2_000);
    note(&format!("{} hosts are registered", store.names("cardamomshift-hosts").len()));
    let last = hosts.remove(last);
    let traffic = Traffic::start(scene, vec![last.callers], 6.0, DEADLINE);
    sleep_ms(4_000);
    let lost_at = Instant::now();
    if scene.trouble {
        for host in &mut hosts {
            host.kill();
        }
        note(&format!("{} hosts are lost; {} goes on", hosts.len(), last.name));
    }
    sleep_ms(12_000);
    let attempts = traffic.stop();
    let runs: usize = workers.iter().map(|worker| worker.arrivals().len()).sum();
    note(&format!("{} attempts, {runs} runs; {} is ready: {}", attempts.len(), last.name, last.is_ready()));
    let later: Vec<_> = attempts.iter().filter(|attempt| attempt.sent_at > lost_at).collect();
    let long = later.iter().filter(|attempt| attempt.answer.took > TIMEOUT).count();
    let is_unanswered = |attempt: &&&crate::Attempt| {
        attempt.answer.took > TIMEOUT + DUE || attempt.answer.status == 0 && attempt.answer.took > TIMEOUT
    };
    let unanswered = later.iter().filter(is_unanswered).count();
    let what = format!(
        "of {} requests, {long} lasted longer than the route's 4,000 ms, and {unanswered} of these had no \
         answer 500 ms after it",
        later.len()
    );
    match unanswered >= 8 && 4 * unanswered > long {
        true => Ok(Verdict::Broken(what)),
        false => Ok(Verdict::Held(what)),
    }
}
