//! Workers turn long requests away before they have read them; later requests get stuck behind these.

use std::sync::Arc;
use std::time::Duration;

use crate::Scene;
use crate::Verdict;
use crate::config;
use crate::host::Host;
use crate::http;
use crate::http::Answer;
use crate::sleep_ms;
use crate::worker::Worker;

/// `timeout-ms` of the route, and the time after it within which the final answer is due.
const TIMEOUT: Duration = Duration::from_millis(2_000);
const DUE: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_millis(4_000);
/// Size of a long body; `max-body-bytes` is 4,194,304.
const LONG: usize = 4_000_000;
const LONG_COUNT: usize = 48;
/// When a worker reads on that has turned a request away.
const READS_ON_AFTER: Duration = Duration::from_secs(3);

pub fn run(scene: &Arc<Scene>) -> Result<Verdict, String> {
    let (store, note) = (&scene.store, |text: &str| scene.record.note(text));
    store.put("config", "main", &config(1, &["key-one"]));
    let workers = ["bern-a", "zurich-b"].map(|zone| {
        let id = format!("d-{zone}");
        let worker = Worker::start_for("desk", &id, zone, store, &scene.record);
        worker.set(|manner| manner.events = 1);
        worker
    });
    let host = Host::start(&scene.dir, 1, "bern-a", store.address);
    host.wait_ready(Duration::from_secs(10))?;
    sleep_ms(500);
    if scene.trouble {
        for worker in &workers {
            worker.set(|manner| manner.reads_on_after = Some(READS_ON_AFTER));
        }
        note("the workers are full: they turn long requests away before they have read them");
    }
    let clients = |name: &str, count: usize, len: usize, pause: u64| -> Vec<_> {
        let one = |n| {
            sleep_ms(pause);
            let (scene, to, id) = (scene.clone(), host.callers, format!("{name}-{n:02}"));
            std::thread::spawn(move || submit(&scene, to, &id, len))
        };
        (0..count).map(one).collect()
    };
    let long = clients("long", LONG_COUNT, LONG, 20);
    sleep_ms(300);
    for worker in &workers {
        worker.set(|manner| manner.reads_on_after = None);
    }
    note("the workers have room again");
    let short = clients("short", 40, 600, 20);
    let join = |clients: Vec<std::thread::JoinHandle<Answer>>| -> Vec<_> {
        clients.into_iter().filter_map(|client| client.join().ok()).collect()
    };
    let (long, short) = (join(long), join(short));
    let count = |answers: &[Answer], status: u16| answers.iter().filter(|a| a.status == status).count();
    note(&format!(
        "long requests: {} with 200, {} with 503; short ones: {} with 200, {} with 503",
        count(&long, 200),
        count(&long, 503),
        count(&short, 200),
        count(&short, 503)
    ));
    let all: Vec<_> = long.iter().chain(&short).collect();
    let lasted = all.iter().filter(|answer| answer.took > TIMEOUT).count();
    let unanswered = all.iter().filter(|answer| answer.took > TIMEOUT + DUE).count();
    let what = format!(
        "of {} requests, {lasted} lasted longer than the route's 2,000 ms, and {unanswered} of these had no answer \
         500 ms after it",
        all.len()
    );
    match unanswered >= 8 && 4 * unanswered > lasted {
        true => Ok(Verdict::Broken(what)),
        false => Ok(Verdict::Held(what)),
    }
}

fn submit(scene: &Scene, to: std::net::SocketAddr, id: &str, len: usize) -> Answer {
    let head = format!(
        "POST /q/entry HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\n\
         Authorization: Token key-one\r\nContent-Length: {len}\r\n\r\n",
        DEADLINE.as_millis()
    );
    scene.record.line(&format!("sent {id} to {to}"));
    let answer = http::call(to, &head, &vec![b'x'; len], DEADLINE);
    let (status, ms) = (answer.status, answer.took.as_millis());
    scene.record.line(&format!("answered {id}: {status} after {ms} ms"));
    answer
}
