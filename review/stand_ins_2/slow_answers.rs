//! Some clients read their answers slowly. Then many users come at once, each with a connection that it keeps.

use std::fmt::Write as _;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::deployment::next_id;
use crate::deployment::plain_request;
use crate::deployment::Deployment;
use crate::deployment::KEY_ONE;
use crate::deployment::KEY_TWO;
use crate::http::connect_with_buffer;
use crate::http::Conn;
use crate::http::Head;
use crate::worker::Run;
use crate::Outcome;

/// Memory of the smallest machines of the sheets.
const MEMORY_MB: usize = 88;
/// Clients that read slowly, the sizes of their answers, and how fast they read: 1.6 KB every 100 ms. The sizes
/// differ because the buffers of the kernel do.
const SLOW: usize = 40;
const ANSWER_BYTES: usize = 84_000;
const ANSWER_STEP_BYTES: usize = 800;
const PART_BYTES: usize = 1_600;
const PART_PAUSE: Duration = Duration::from_millis(100);
const BUFFER_BYTES: i32 = 8 << 10;
/// Time-out of the route of the slow clients in the config, which is also their deadline.
const DEADLINE_MS: u64 = 15_000;
/// Users that come at once, and when.
const CROWD: usize = 950;
const CROWD_AT: Duration = Duration::from_millis(400);
/// Threads that send the requests of the crowd.
const THREADS: usize = 12;
/// Answers cut off that break the rule.
const CUT_OFF_MAX: usize = 3;

/// What a slow client got.
struct Slow {
    id: String,
    status: u16,
    /// Bytes of the body, and how many there should be.
    bytes: usize,
    size: usize,
    took: Duration,
    end: String,
}

pub fn run(has_trouble: bool) -> Result<Outcome, String> {
    crate::http::raise_descriptor_limit();
    let model = |_| -> Run {
        Arc::new(|worker, conn, head, _| {
            let (first, pause) = (Duration::from_millis(60), Duration::from_millis(20));
            worker.send_stream(conn, head, 6, first, pause)
        })
    };
    let plain = |_| -> Run {
        Arc::new(|worker, conn, head, _| {
            if head.target().starts_with("/read/") {
                return worker.send_short(conn, head, Duration::from_millis(5));
            }
            let size = head
                .get("answer-bytes")
                .and_then(|size| size.parse().ok())
                .unwrap_or(0);
            let text = worker.answer_head(head, "200 OK", &format!("Content-Length: {size}\r\n"));
            let body = "a".repeat(size);
            conn.stream
                .write_all(format!("{text}{body}").as_bytes())
                .is_ok()
        })
    };
    let deployment = Deployment::start(&[0], MEMORY_MB, (1, model), (4, plain))?;
    let front = deployment.hosts[0].front;
    let began = Instant::now();
    let slow: Arc<Mutex<Vec<Slow>>> = Arc::default();
    let mut readers = Vec::new();
    for number in 0..SLOW {
        let slow = slow.clone();
        readers.push(std::thread::spawn(move || {
            let id = next_id();
            let answer = read_slowly(front, &id, ANSWER_BYTES + number * ANSWER_STEP_BYTES);
            slow.lock().unwrap().push(answer);
        }));
    }
    let mut record = String::new();
    let mut crowd = Vec::new();
    if has_trouble {
        std::thread::sleep(CROWD_AT.saturating_sub(began.elapsed()));
        let answered = Arc::new(Mutex::new((0, 0)));
        let kept: Arc<Mutex<Vec<Conn>>> = Arc::default();
        for _ in 0..THREADS {
            let (answered, kept) = (answered.clone(), kept.clone());
            crowd.push(std::thread::spawn(move || {
                for _ in 0..CROWD / THREADS {
                    let request = plain_request(&next_id(), KEY_TWO, "/read/", DEADLINE_MS);
                    let request = String::from_utf8(request)
                        .unwrap()
                        .replace("Connection: close\r\n", "");
                    let Ok(mut conn) = Conn::connect(front, Duration::from_secs(1)) else {
                        continue;
                    };
                    let _ = conn
                        .stream
                        .set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)));
                    let _ = conn.stream.write_all(request.as_bytes());
                    let status = match conn.read_head() {
                        Ok(Some(head)) => {
                            let _ = conn.read_body(&head, true, |_| ());
                            head.status()
                        }
                        _ => 0,
                    };
                    let mut counts = answered.lock().unwrap();
                    counts.0 += usize::from(status == 200);
                    counts.1 += 1;
                    kept.lock().unwrap().push(conn);
                }
            }));
        }
        crowd.into_iter().for_each(|thread| drop(thread.join()));
        let (served, sent) = *answered.lock().unwrap();
        let at = began.elapsed().as_secs_f64();
        let _ = writeln!(
            record,
            "{at:.2} s: {sent} users have come, {served} were served"
        );
        readers.into_iter().for_each(|thread| drop(thread.join()));
    } else {
        readers.into_iter().for_each(|thread| drop(thread.join()));
    }
    let slow = slow.lock().unwrap();
    let has_run = |id: &str| {
        deployment
            .plain
            .iter()
            .any(|worker| worker.runs.lock().unwrap().contains_key(id))
    };
    let mut cut = 0;
    for Slow {
        id,
        status,
        bytes,
        size,
        took,
        end,
    } in slow.iter()
    {
        let ran = has_run(id);
        cut += usize::from(ran && bytes < size && took.as_millis() < u128::from(DEADLINE_MS));
        let _ = writeln!(
            record,
            "slow client: request {id}, run: {ran}, status {status}, {bytes} of {size} bytes in {} ms, {end}",
            took.as_millis()
        );
    }
    let _ = writeln!(record, "answers cut off: {cut} of {}", slow.len());
    Ok(Outcome {
        is_broken: cut > CUT_OFF_MAX,
        record,
    })
}

/// Sends a request on a connection that is to be kept, and reads the answer slowly and without a break.
fn read_slowly(front: SocketAddr, id: &str, size: usize) -> Slow {
    let mut slow = Slow {
        id: id.to_owned(),
        status: 0,
        bytes: 0,
        size,
        took: Duration::ZERO,
        end: String::new(),
    };
    let Ok(stream) = connect_with_buffer(front, BUFFER_BYTES) else {
        slow.end = "not connected".to_owned();
        return slow;
    };
    let mut conn = Conn::new(stream);
    // A short request before, on the same connection.
    let before = send_kept(&mut conn, &next_id(), "/read/", 0);
    let is_read = before.is_some_and(|head| conn.read_body(&head, true, |_| ()).is_ok());
    let since = Instant::now();
    let Some(head) = send_kept(&mut conn, id, "/report/", size).filter(|_| is_read) else {
        slow.end = "no answer".to_owned();
        return slow;
    };
    slow.status = head.status();
    slow.bytes = conn.buffered();
    let mut buf = [0; PART_BYTES];
    while slow.bytes < size {
        std::thread::sleep(PART_PAUSE);
        match conn.stream.read(&mut buf) {
            Ok(0) => {
                slow.end = "closed".to_owned();
                break;
            }
            Ok(count) => slow.bytes += count,
            Err(err) => {
                slow.end = err.to_string();
                break;
            }
        }
    }
    slow.took = since.elapsed();
    slow
}

/// Sends a request on a connection that is kept, and reads the head of the answer.
fn send_kept(conn: &mut Conn, id: &str, path: &str, size: usize) -> Option<Head> {
    let request = plain_request(id, KEY_ONE, path, DEADLINE_MS);
    let request = String::from_utf8(request)
        .ok()?
        .replace("Connection: close", &format!("Answer-Bytes: {size}"));
    conn.stream.write_all(request.as_bytes()).ok()?;
    conn.read_head().ok()?
}
