//! A tenant sends prompts with many parts, in heads within the limit, all to the host of one zone. Then the
//! model workers of that zone crash while they run them.

use std::fmt::Write as _;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::deployment::model_request;
use crate::deployment::next_id;
use crate::deployment::plain_request;
use crate::deployment::Deployment;
use crate::deployment::KEY_ONE;
use crate::deployment::KEY_TWO;
use crate::deployment::ZONES;
use crate::http::call;
use crate::http::Answer;
use crate::worker::Run;
use crate::Outcome;

const MEMORY_MB: usize = 110;
const WORKERS: usize = 18;
/// Prompts with many parts, and parts of each.
const PROMPTS: usize = 384;
const PARTS: usize = 2_240;
/// Pause between two of these prompts.
const PAUSE: Duration = Duration::from_millis(7);
/// When the worker crashes, after the first prompt.
const CRASH_AFTER: Duration = Duration::from_millis(4_000);
/// How long they are down, as long as in the site file.
const DOWN: Duration = Duration::from_millis(4_500);
/// Time-out of the plain routes in the config, which is also their clients' deadline.
const TIMEOUT: Duration = Duration::from_millis(4_000);
/// By how much later an answer has to be there.
const SLACK: Duration = Duration::from_millis(500);
/// How long its answer is waited for, to show how long the host was silent.
const PATIENCE: Duration = Duration::from_secs(20);
/// Pause between two requests of the other tenant to one host.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// How long the other tenant sends requests after the crash.
const WATCHED: Duration = Duration::from_secs(15);

/// A request of the other tenant: when it was sent, to which host, and its answer.
struct Probe {
    sent: Duration,
    host: usize,
    answer: Answer,
}

pub fn run(has_trouble: bool) -> Result<Outcome, String> {
    let model = |_| -> Run {
        Arc::new(|worker, conn, head, _| {
            let (first, pause) = (Duration::from_millis(150), Duration::from_millis(200));
            worker.send_stream(conn, head, 70, first, pause)
        })
    };
    let plain = |_| -> Run {
        Arc::new(|worker, conn, head, _| worker.send_short(conn, head, Duration::from_millis(20)))
    };
    let deployment = Deployment::start(&[0, 1, 2], MEMORY_MB, (WORKERS, model), (4, plain))?;
    let fronts: Vec<_> = deployment.hosts.iter().map(|host| host.front).collect();
    let began = Instant::now();
    let until = CRASH_AFTER + WATCHED;
    let probes: Arc<Mutex<Vec<Probe>>> = Arc::default();
    let mut senders = Vec::new();
    for (host, front) in fronts.iter().copied().enumerate() {
        let probes = probes.clone();
        senders.push(std::thread::spawn(move || {
            while began.elapsed() < until {
                let probes = probes.clone();
                let client = move || {
                    let sent = began.elapsed();
                    let request =
                        plain_request(&next_id(), KEY_TWO, "/book/", TIMEOUT.as_millis() as u64);
                    let answer = call(front, &request, PATIENCE);
                    probes.lock().unwrap().push(Probe { sent, host, answer });
                };
                let thread = std::thread::Builder::new().stack_size(128 << 10);
                let _ = thread.spawn(client);
                std::thread::sleep(PROBE_PAUSE);
            }
        }));
    }
    let prompts: Arc<Mutex<Vec<u16>>> = Arc::default();
    for number in 0..PROMPTS {
        let id = next_id();
        let part = |n: usize| format!("{:x}:1", 0x1000 + (n + number * PARTS) % 0xf000);
        let parts: Vec<_> = (0..PARTS).map(part).collect();
        let tokens = format!("{PARTS},280");
        let request = model_request(&id, KEY_ONE, 15_000, &tokens, &parts.join(","));
        let (front, prompts) = (fronts[0], prompts.clone());
        let client = move || {
            let answer = call(front, &request, Duration::from_millis(15_000));
            prompts.lock().unwrap().push(answer.status);
        };
        let thread = std::thread::Builder::new().stack_size(128 << 10);
        let _ = thread.spawn(client);
        std::thread::sleep(PAUSE);
    }
    let mut record = String::new();
    std::thread::sleep(CRASH_AFTER.saturating_sub(began.elapsed()));
    for (n, worker) in deployment.model.iter().enumerate() {
        let running = worker.running.load(Ordering::SeqCst);
        let _ = writeln!(
            record,
            "worker {n}: {running} prompts at the time of the crash"
        );
    }
    let of_zone = deployment
        .model
        .iter()
        .filter(|worker| has_trouble && worker.zone == ZONES[0]);
    for worker in of_zone {
        worker.crash();
        let at = began.elapsed().as_secs_f64();
        let _ = writeln!(record, "{at:.2} s: {} crashes", worker.id);
    }
    let memory: Vec<_> = deployment
        .hosts
        .iter()
        .map(|host| host.memory_mb())
        .collect();
    let _ = writeln!(record, "memory of the hosts: {memory:?} MB of {MEMORY_MB}");
    let mut unready = 0;
    let of_zone = deployment
        .model
        .iter()
        .filter(|worker| worker.zone == ZONES[0]);
    let down: Vec<_> = of_zone.filter(|_| has_trouble).cloned().collect();
    let store = deployment.store.clone();
    let returning = std::thread::spawn(move || {
        std::thread::sleep((CRASH_AFTER + DOWN).saturating_sub(began.elapsed()));
        down.iter().for_each(|worker| worker.restart("v1", &store));
        began.elapsed()
    });
    while began.elapsed() < until {
        let next = Instant::now() + Duration::from_secs(1);
        for host in &deployment.hosts {
            if !host.is_ready() {
                unready += 1;
                let at = began.elapsed().as_secs_f64();
                let _ = writeln!(record, "{at:.2} s: {} not ready", host.name);
            }
        }
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    let back_at = returning.join().unwrap_or_default().as_secs_f64();
    if has_trouble {
        let _ = writeln!(record, "{back_at:.2} s: they were back");
    }
    senders.into_iter().for_each(|sender| drop(sender.join()));
    std::thread::sleep(PATIENCE.min(Duration::from_secs(12)));
    let mut probes = std::mem::take(&mut *probes.lock().unwrap());
    probes.sort_by_key(|probe| probe.sent);
    for probe in &probes {
        let Probe { sent, host, answer } = probe;
        let _ = writeln!(
            record,
            "{:.2} s: request to host {host}: status {} after {} ms",
            sent.as_secs_f64(),
            answer.status,
            answer.took.as_millis()
        );
    }
    let late = probes
        .iter()
        .filter(|probe| probe.answer.took >= TIMEOUT)
        .count();
    let unanswered = probes.iter().filter(|p| p.answer.took >= TIMEOUT + SLACK);
    let unanswered = unanswered.count();
    let longest = probes
        .iter()
        .map(|probe| probe.answer.took)
        .max()
        .unwrap_or_default();
    let started = prompts
        .lock()
        .unwrap()
        .iter()
        .filter(|status| **status == 200)
        .count();
    let _ = writeln!(
        record,
        "prompts with many parts: {PROMPTS}, answers begun: {started}"
    );
    let _ = writeln!(
        record,
        "requests of the other tenant: {}, unanswered at their time-out: {late}, and half a second later: \
         {unanswered}; longest wait {} ms; readiness checks without a 200: {unready}",
        probes.len(),
        longest.as_millis()
    );
    Ok(Outcome {
        is_broken: late >= 8 && unanswered * 2 > late,
        record,
    })
}
