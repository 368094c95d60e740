//! Model workers go down and up by turns. Each comes back under its id with a newer version of its software, and
//! writes its entry as it begins to serve. The next one goes down as soon as it is back. A client whose stream
//! breaks off takes it up once, at another host.

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
use crate::deployment::Deployment;
use crate::deployment::KEY_ONE;
use crate::http::call;
use crate::http::Answer;
use crate::worker::Run;
use crate::Outcome;

const MEMORY_MB: usize = 110;
const WORKERS: usize = 10;
/// Workers that go down, one after the other: half of them.
const TURNS: usize = 5;
/// How long each is down, and how long after its return the next one goes down.
const DOWN: Duration = Duration::from_millis(1_570);
const GAP: Duration = Duration::from_millis(50);
/// Pause between two new streams, and for how long streams begin.
const PAUSE: Duration = Duration::from_millis(50);
const BEGINNING: Duration = Duration::from_secs(8);
/// Events of a stream, and the pause between them.
const EVENTS: usize = 70;
const EVENT_PAUSE: Duration = Duration::from_millis(200);
const DEADLINE_MS: u64 = 15_000;
/// Streams with events of two versions that break the rule.
const MIXED_MAX: usize = 2;

pub fn run(has_trouble: bool) -> Result<Outcome, String> {
    let model = |_| -> Run {
        Arc::new(|worker, conn, head, _| {
            worker.send_stream(conn, head, EVENTS, Duration::from_millis(100), EVENT_PAUSE)
        })
    };
    let plain = |_| -> Run {
        Arc::new(|worker, conn, head, _| worker.send_short(conn, head, Duration::from_millis(60)))
    };
    let deployment = Deployment::start(&[0, 1], MEMORY_MB, (WORKERS, model), (1, plain))?;
    let fronts: Vec<_> = deployment.hosts.iter().map(|host| host.front).collect();
    let began = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<(Duration, String, Answer)>>> = Arc::default();
    let (stopped, collected) = (stop.clone(), answers.clone());
    let sender = std::thread::spawn(move || {
        for number in 0_usize.. {
            if stopped.load(Ordering::SeqCst) || began.elapsed() > BEGINNING {
                return;
            }
            let id = next_id();
            let parts = format!("{:x}:172,{id}:543", 0xa000 + number % 48);
            let request = model_request(&id, KEY_ONE, DEADLINE_MS, "715,280", &parts);
            let (front, other, answers) = (
                fronts[number % fronts.len()],
                fronts[(number + 1) % fronts.len()],
                collected.clone(),
            );
            let client = move || {
                let sent = began.elapsed();
                let mut answer = call(front, &request, Duration::from_millis(DEADLINE_MS));
                if answer.status == 200 && !answer.is_complete {
                    let left =
                        DEADLINE_MS.saturating_sub((began.elapsed() - sent).as_millis() as u64);
                    take_up(&mut answer, other, &id, &parts, left);
                }
                answers.lock().unwrap().push((sent, id, answer));
            };
            let _ = std::thread::Builder::new()
                .stack_size(128 << 10)
                .spawn(client);
            std::thread::sleep(PAUSE);
        }
    });
    let mut record = String::new();
    std::thread::sleep(BEGINNING);
    for worker in deployment.model.iter().take(TURNS) {
        let mut log = |what: &str| {
            let _ = writeln!(
                record,
                "{:.2} s: {} {what}",
                began.elapsed().as_secs_f64(),
                worker.id
            );
        };
        if has_trouble {
            log("goes down");
            worker.crash();
            std::thread::sleep(DOWN);
            worker.restart("v2", &deployment.store);
            log("is back with version v2");
        } else {
            std::thread::sleep(DOWN);
        }
        std::thread::sleep(GAP);
    }
    stop.store(true, Ordering::SeqCst);
    let _ = sender.join();
    std::thread::sleep(Duration::from_secs(9));
    let answers = answers.lock().unwrap();
    let mut mixed = 0;
    for (sent, id, answer) in answers.iter() {
        let text = String::from_utf8_lossy(&answer.body);
        let versions: Vec<_> = text
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .collect();
        let count = |version: &str| {
            versions
                .iter()
                .filter(|line| line.starts_with(version))
                .count()
        };
        let (old, new) = (count("v1"), count("v2"));
        if old > 0 && new > 0 {
            mixed += 1;
            let _ = writeln!(
                record,
                "stream {id}, sent at {:.2} s: {old} events of v1 and {new} of v2, whole: {}",
                sent.as_secs_f64(),
                answer.is_served()
            );
        }
    }
    let served = answers
        .iter()
        .filter(|(.., answer)| answer.is_served())
        .count();
    let _ = writeln!(
        record,
        "streams: {}, whole: {served}, of two versions: {mixed}",
        answers.len()
    );
    Ok(Outcome {
        is_broken: mixed > MIXED_MAX,
        record,
    })
}

/// Takes a stream up that has broken off, after its last whole event, and adds what comes to `answer`.
fn take_up(answer: &mut Answer, front: SocketAddr, began_as: &str, parts: &str, left_ms: u64) {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let whole = &text[..text.rfind("\n\n").map_or(0, |at| at + 2)];
    let Some(last) = whole
        .lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .next_back()
    else {
        return;
    };
    let request = model_request(&next_id(), KEY_ONE, left_ms, "715,280", parts);
    let fields = format!("Resumes: {began_as}\r\nLast-Event-Id: {last}\r\nConnection: close");
    let request = String::from_utf8_lossy(&request).replace("Connection: close", &fields);
    let rest = call(front, request.as_bytes(), Duration::from_millis(left_ms));
    answer.body = whole.as_bytes().to_vec();
    if rest.status == 200 {
        answer.body.extend_from_slice(&rest.body);
    }
    answer.is_complete = rest.is_served();
}
