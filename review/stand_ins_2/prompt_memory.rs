//! A tenant sends prompts with many parts, in heads within the limit, to one host. The platform
//! ends a process that uses more memory than its machine has, and starts it again.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
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
use crate::http::call;
use crate::http::Answer;
use crate::worker::Run;
use crate::Outcome;

/// Machines and workers as on the sheet of the league platform.
const HOSTS: usize = 3;
const MEMORY_MB: usize = 110;
const WORKERS: usize = 12;
/// Prompts that the tenant has under way at once: fewer than the workers have slots.
const PROMPTS: usize = 740;
/// Pause between two of these prompts.
const PAUSE: Duration = Duration::from_millis(4);
/// Parts of each prompt, and those without the trouble.
const PARTS: usize = 2_600;
const PARTS_USUAL: usize = 3;
/// How often the tenant does so, and the time between.
const WAVES: usize = 3;
const WAVE: Duration = Duration::from_secs(20);
/// Delay until the platform starts a process again.
const RESTART_AFTER: Duration = Duration::from_secs(1);
/// Pause between two requests of the other tenant to one host.
const PROBE_PAUSE: Duration = Duration::from_millis(200);

pub fn run(has_trouble: bool) -> Result<Outcome, String> {
    let model = |_| -> Run {
        Arc::new(|worker, conn, head, _| {
            let (first, pause) = (Duration::from_millis(150), Duration::from_millis(200));
            worker.send_stream(conn, head, 70, first, pause)
        })
    };
    let plain = |_| -> Run {
        Arc::new(|worker, conn, head, _| worker.send_short(conn, head, Duration::from_millis(60)))
    };
    let mut deployment = Deployment::start(&[0, 1, 2], MEMORY_MB, (WORKERS, model), (4, plain))?;
    let fronts: Vec<_> = deployment.hosts.iter().map(|host| host.front).collect();
    let began = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let prompts: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let probes: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let mut senders = Vec::new();
    for front in fronts.clone() {
        let (stop, probes) = (stop.clone(), probes.clone());
        senders.push(std::thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let request = plain_request(&next_id(), KEY_TWO, "/book/", 4_000);
                send(front, request, 4_000, &probes);
                std::thread::sleep(PROBE_PAUSE);
            }
        }));
    }
    let (stopped, sent) = (stop.clone(), prompts.clone());
    senders.push(std::thread::spawn(move || {
        for wave in 0..WAVES {
            std::thread::sleep((WAVE * wave as u32).saturating_sub(began.elapsed()));
            for number in 0..PROMPTS {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let parts = if has_trouble { PARTS } else { PARTS_USUAL };
                let part =
                    |n: usize| format!("{:x}:{}", 1 + (n + number * 37) % 4_095, PARTS / parts);
                let list: Vec<_> = (0..parts).map(part).collect();
                let tokens = format!("{PARTS},280");
                let request = model_request(&next_id(), KEY_ONE, 15_000, &tokens, &list.join(","));
                send(fronts[0], request, 15_000, &sent);
                std::thread::sleep(PAUSE);
            }
        }
    }));
    let mut record = String::new();
    let mut peaks = [0; HOSTS];
    let mut ends = [0; HOSTS];
    let mut restart_at = [None; HOSTS];
    let until = WAVE * WAVES as u32;
    while began.elapsed() < until {
        for (n, host) in deployment.hosts.iter_mut().enumerate() {
            if let Some(at) = restart_at[n] {
                if Instant::now() >= at {
                    host.restart();
                    restart_at[n] = None;
                }
                continue;
            }
            let memory = host.memory_mb();
            peaks[n] = peaks[n].max(memory);
            if memory > MEMORY_MB || !host.is_running() {
                host.kill();
                ends[n] += 1;
                restart_at[n] = Some(Instant::now() + RESTART_AFTER);
                let at = began.elapsed().as_secs_f64();
                let _ = writeln!(
                    record,
                    "{at:.2} s: {} ended with {memory} of {MEMORY_MB} MB",
                    host.name
                );
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    stop.store(true, Ordering::SeqCst);
    senders.into_iter().for_each(|sender| drop(sender.join()));
    std::thread::sleep(Duration::from_secs(5));
    for (tenant, answers) in [("one", &prompts), ("two", &probes)] {
        let answers = answers.lock().unwrap();
        let served = answers.iter().filter(|answer| answer.is_served()).count();
        let cut = answers
            .iter()
            .filter(|answer| answer.status == 200 && !answer.is_complete)
            .count();
        let none = answers.iter().filter(|answer| answer.status == 0).count();
        let _ = writeln!(
            record,
            "tenant {tenant}: {} requests ended, whole answers: {served}, cut off: {cut}, no answer: {none}",
            answers.len()
        );
    }
    let runs: usize = deployment
        .model
        .iter()
        .map(|worker| worker.runs.lock().unwrap().len())
        .sum();
    let _ = writeln!(record, "prompts run by the workers: {runs}");
    let _ = writeln!(
        record,
        "most memory of each host: {peaks:?} MB of {MEMORY_MB}; ends: {ends:?}"
    );
    Ok(Outcome {
        is_broken: ends.iter().any(|count| *count > 0),
        record,
    })
}

/// Sends a request in a thread of its own and adds its answer to `answers`.
fn send(front: SocketAddr, request: Vec<u8>, patience_ms: u64, answers: &Arc<Mutex<Vec<Answer>>>) {
    let answers = answers.clone();
    let client = move || {
        let answer = call(front, &request, Duration::from_millis(patience_ms));
        answers.lock().unwrap().push(answer);
    };
    let _ = std::thread::Builder::new()
        .stack_size(128 << 10)
        .spawn(client);
}
