//! A worker names a limit, and the host that schedules its requests restarts: the worker gets requests at the
//! full rate from hosts that know the limit.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::Attempt;
use crate::Scene;
use crate::Traffic;
use crate::Verdict;
use crate::config;
use crate::host::Host;
use crate::send;
use crate::sleep_ms;
use crate::worker::Worker;

/// `Server-Limit` of the worker in need, requests a second.
const LIMIT: f64 = 0.5;
/// The span of the rule, and what it allows in it: one and a half times the limit, and 5 more.
const SPAN: Duration = Duration::from_secs(4);
const MOST: f64 = 1.5 * LIMIT * 4.0 + 5.0;
/// `stable-ms` of the settings.
const STABLE: Duration = Duration::from_secs(3);
const DEADLINE: Duration = Duration::from_millis(4_000);
/// Time after which the worker has answered a request, and its host has asked for the next one.
const ANSWERED: Duration = Duration::from_millis(1_400);
const ZONES: [&str; 3] = ["bern-a", "zurich-b", "basel-c"];

pub fn run(scene: &Arc<Scene>) -> Result<Verdict, String> {
    let (store, note) = (&scene.store, |text: &str| scene.record.note(text));
    store.put("config", "main", &config(1, &["key-one"]));
    let workers = [0, 1, 2].map(|n| {
        let worker = Worker::start(&format!("i-{n}"), ZONES[n], store, &scene.record);
        worker.set(|manner| manner.first_event = Duration::from_millis(60));
        worker
    });
    let mut hosts: Vec<_> = (1..=3)
        .map(|n| Host::start(&scene.dir, n, ZONES[usize::from(n) - 1], store.address))
        .collect();
    for host in &hosts {
        host.wait_ready(Duration::from_secs(10))?;
    }
    sleep_ms(1_500);
    let at = scheduler(scene, &hosts)?;
    let mut scheduler = hosts.remove(at);
    note(&format!("{} schedules", scheduler.name));
    sleep_ms(5_000);
    let callers = hosts.iter().map(|host| host.callers).collect();
    let traffic = Traffic::start(scene, callers, 80.0, DEADLINE);
    sleep_ms(2_000);
    let needy = &workers[2];
    needy.set(|manner| {
        manner.limit = Some(LIMIT);
        manner.first_event = Duration::from_millis(1_000);
    });
    let named_from = Instant::now();
    note(&format!("{} names a limit of {LIMIT} requests a second", needy.id));
    sleep_ms(10_000);
    // Nothing is running at the worker, so all that it has said was passed on before.
    let is_answered = || needy.arrivals().last().is_none_or(|run| run.at.elapsed() > ANSWERED);
    for _ in 0..1_000 {
        if is_answered() {
            break;
        }
        sleep_ms(10);
    }
    if scene.trouble {
        scheduler.kill();
        note("the host that schedules is killed (SIGKILL)");
        sleep_ms(300);
        scheduler.run();
        note("it is started again");
    }
    sleep_ms(8_000);
    let attempts = traffic.stop();
    let served = attempts.iter().filter(|attempt| attempt.answer.status == 200).count();
    note(&format!("{served} of {} attempts answered with 200", attempts.len()));
    // Each host's first answer that named the limit.
    let is_named = |attempt: &&Attempt| attempt.answer.head.get("server-limit").is_some();
    let named_at = |to: SocketAddr| {
        let named = attempts.iter().filter(is_named).filter(|attempt| attempt.to == to);
        named.map(|attempt| attempt.sent_at + attempt.answer.took).min()
    };
    let arrivals = needy.arrivals();
    let mut times = Vec::new();
    for host in &hosts {
        // A host that has passed on no such answer is not counted.
        let Some(first) = named_at(host.callers) else {
            continue;
        };
        note(&format!(
            "{} passed on an answer that names the limit {} ms after the worker began to",
            host.name,
            (first - named_from).as_millis()
        ));
        let own = |id: &str| attempts.iter().any(|a| a.id == id && a.to == host.callers);
        let counted = arrivals.iter().filter(|run| run.at > first + STABLE && own(&run.id));
        times.extend(counted.map(|run| run.at));
    }
    times.sort_unstable();
    if !attempts.iter().any(|attempt| is_named(&attempt)) {
        return Err("the worker has named no limit".to_owned());
    }
    let from = |at: usize| times[at..].partition_point(|time| *time < times[at] + SPAN);
    let most = (0..times.len()).map(from).max().unwrap_or(0);
    let what = format!("{} got up to {most} requests in 4 s; {MOST} are allowed", needy.id);
    match most as f64 > MOST {
        true => Ok(Verdict::Broken(what)),
        false => Ok(Verdict::Held(what)),
    }
}

/// Finds the host that decides on requests to the model: while it stands still, one at another host takes
/// longer, as that one waits for its reply first.
fn scheduler(scene: &Arc<Scene>, hosts: &[Host]) -> Result<usize, String> {
    for (at, host) in hosts.iter().enumerate() {
        let other = &hosts[(at + 1) % hosts.len()];
        let usual = send(scene, other.callers, &format!("usual-{at}"), "key-one", DEADLINE);
        host.freeze(true);
        let asked = send(scene, other.callers, &format!("asked-{at}"), "key-one", DEADLINE);
        host.freeze(false);
        sleep_ms(1_500);
        if asked.answer.took > usual.answer.took + Duration::from_millis(70) {
            return Ok(at);
        }
    }
    Err("no host seems to schedule".to_owned())
}
