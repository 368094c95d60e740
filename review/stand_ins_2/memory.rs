//! One of six model workers is in trouble: it answers with status 500 and a body without end, in chunks of one
//! byte. The platform ends a process that uses more memory than its machine has, and starts it again.

use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::deployment::model_request;
use crate::deployment::next_id;
use crate::deployment::Deployment;
use crate::deployment::KEY_ONE;
use crate::http::call;
use crate::http::Answer;
use crate::worker::Run;
use crate::Outcome;

const HOSTS: usize = 2;
const MEMORY_MB: usize = 110;
const WORKERS: usize = 6;
/// Requests a second: as many for each worker as on the sheet of the league platform (146 for 12).
const RATE: u64 = 73;
const DEADLINE_MS: u64 = 4_000;
const DURATION: Duration = Duration::from_secs(70);
/// Ends of a process with which the rule is broken, on each of two machines.
const ENDS: usize = 3;
/// Delay until the platform starts a process again.
const RESTART_AFTER: Duration = Duration::from_secs(1);
/// Pause between two writes of the worker in trouble, and chunks in each.
const PAUSE: Duration = Duration::from_millis(10);
const CHUNKS: usize = 600;

pub fn run(has_trouble: bool) -> Result<Outcome, String> {
    let in_trouble = Arc::new(AtomicBool::new(false));
    let flag = in_trouble.clone();
    let model = move |number: usize| -> Run {
        let flag = flag.clone();
        Arc::new(move |worker, conn, head, _| {
            if number > 0 || !flag.load(Ordering::SeqCst) {
                let (first, pause) = (Duration::from_millis(100), Duration::from_millis(40));
                return worker.send_stream(conn, head, 6, first, pause);
            }
            let rest = "Transfer-Encoding: chunked\r\n";
            let text = worker.answer_head(head, "500 Internal Server Error", rest);
            if conn.stream.write_all(text.as_bytes()).is_err() {
                return false;
            }
            let chunks = "1\r\nx\r\n".repeat(CHUNKS);
            let mut next = Instant::now();
            while conn.stream.write_all(chunks.as_bytes()).is_ok() {
                next += PAUSE;
                std::thread::sleep(next.saturating_duration_since(Instant::now()));
            }
            false
        })
    };
    let plain = |_| -> Run {
        Arc::new(|worker, conn, head, _| worker.send_short(conn, head, Duration::from_millis(60)))
    };
    let mut deployment = Deployment::start(&[0; HOSTS], MEMORY_MB, (WORKERS, model), (1, plain))?;
    let fronts: Vec<_> = deployment.hosts.iter().map(|host| host.front).collect();
    let answers: Arc<Mutex<Vec<(Duration, usize, Answer)>>> = Arc::default();
    let began = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let (sending, collected) = (stop.clone(), answers.clone());
    let sender = std::thread::spawn(move || {
        for number in 0.. {
            let at = Duration::from_millis(number * 1_000 / RATE);
            std::thread::sleep(at.saturating_sub(began.elapsed()));
            if sending.load(Ordering::SeqCst) {
                return;
            }
            let host = number as usize % HOSTS;
            let (front, answers) = (fronts[host], collected.clone());
            let client = move || {
                let id = next_id();
                let parts = format!("{:x}:568,{id}:1800", 0xa000 + number % 60);
                let request = model_request(&id, KEY_ONE, DEADLINE_MS, "2368,24", &parts);
                let answer = call(front, &request, Duration::from_millis(DEADLINE_MS));
                answers
                    .lock()
                    .unwrap()
                    .push((began.elapsed(), host, answer));
            };
            let thread = std::thread::Builder::new().stack_size(128 << 10);
            let _ = thread.spawn(client);
        }
    });
    let mut record = String::new();
    let mut peaks = [0; HOSTS];
    let mut ends = [0; HOSTS];
    let mut restart_at = [None; HOSTS];
    while began.elapsed() < DURATION && ends.iter().any(|count| *count < ENDS) {
        if has_trouble && began.elapsed() > Duration::from_secs(5) {
            in_trouble.store(true, Ordering::SeqCst);
        }
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
    let _ = sender.join();
    std::thread::sleep(Duration::from_secs(1));
    let answers = answers.lock().unwrap();
    let served = answers
        .iter()
        .filter(|(.., answer)| answer.is_served())
        .count();
    let cut = answers
        .iter()
        .filter(|(.., a)| a.status == 200 && !a.is_complete)
        .count();
    let none = answers.iter().filter(|(.., a)| a.status == 0).count();
    let _ = writeln!(
        record,
        "requests: {}, whole answers: {served}, streams cut off: {cut}, no answer: {none}",
        answers.len()
    );
    for (n, worker) in deployment.model.iter().enumerate() {
        let runs = worker.runs.lock().unwrap().len();
        let _ = writeln!(record, "worker {n}: {runs} requests run");
    }
    let _ = writeln!(
        record,
        "most memory of each host: {peaks:?} MB of {MEMORY_MB}; ends: {ends:?}"
    );
    Ok(Outcome {
        is_broken: ends.iter().all(|count| *count >= ENDS),
        record,
    })
}
