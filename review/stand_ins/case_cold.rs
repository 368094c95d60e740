//! A worker turns cold while the store is down, and goes on getting requests at the full rate.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::Scene;
use crate::Traffic;
use crate::Verdict;
use crate::config;
use crate::host::Host;
use crate::most_in_a_second;
use crate::sleep_ms;
use crate::worker::Worker;

/// `cold-per-s` x `cold-overrun` + `cold-slack`.
const COLD_MOST: f64 = 9.8 * 1.5 + 5.0;
/// `cold-start-s`.
const COLD: Duration = Duration::from_secs(3);
const DEADLINE: Duration = Duration::from_millis(4_000);
/// Requests a second of all clients.
const PER_S: f64 = 60.0;

pub fn run(scene: &Arc<Scene>) -> Result<Verdict, String> {
    let (store, note) = (&scene.store, |text: &str| scene.record.note(text));
    store.put("config", "main", &config(1, &["key-one"]));
    let workers = [
        Worker::start("i-one", "bern-a", store, &scene.record),
        Worker::start("i-two", "zurich-b", store, &scene.record),
    ];
    let hosts = [
        Host::start(&scene.dir, 1, "bern-a", store.address),
        Host::start(&scene.dir, 2, "zurich-b", store.address),
    ];
    for host in &hosts {
        host.wait_ready(Duration::from_secs(10))?;
    }
    sleep_ms(1_000);
    let callers = hosts.iter().map(|host| host.callers).collect();
    let traffic = Traffic::start(scene, callers, PER_S, DEADLINE);
    sleep_ms(4_000);
    if scene.trouble {
        store.set_down(true);
        note("the store is down");
    }
    sleep_ms(1_000);
    let lately = Instant::now() - Duration::from_secs(2);
    let rate = |worker: &Worker| worker.arrivals().iter().filter(|run| run.at > lately).count();
    let Some(worker) = workers.iter().max_by_key(|worker| rate(worker)) else {
        return Err("no worker".to_owned());
    };
    let rate = rate(worker) as f64 / 2.0;
    let cold_from = Instant::now();
    worker.set(|manner| manner.cold_until = Some(cold_from + COLD));
    worker.report();
    note(&format!("{} turns cold for 3 s; it has had {rate} requests a second", worker.id));
    std::thread::sleep(COLD);
    note("it is cold no more");
    worker.report();
    sleep_ms(500);
    if scene.trouble {
        store.set_down(false);
        note("the store is back after 4.5 s");
        worker.report();
    }
    sleep_ms(2_000);
    let attempts = traffic.stop();
    let served = attempts.iter().filter(|attempt| attempt.answer.status == 200).count();
    note(&format!("{served} of {} attempts answered with 200", attempts.len()));
    if rate < COLD_MOST {
        return Err(format!("the busiest worker had only {rate} requests a second"));
    }
    let arrivals = worker.arrivals();
    let cold = arrivals.iter().map(|run| run.at);
    let cold: Vec<_> = cold.filter(|at| *at >= cold_from && *at < cold_from + COLD).collect();
    let most = most_in_a_second(&cold);
    let what = format!("the cold worker got up to {most} requests in a second; {COLD_MOST} are allowed");
    match most as f64 > COLD_MOST {
        true => Ok(Verdict::Broken(what)),
        false => Ok(Verdict::Held(what)),
    }
}
