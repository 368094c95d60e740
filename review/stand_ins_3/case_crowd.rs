//! Callers of one tenant that send their bodies slowly, beside ordinary requests of another tenant.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::Setting;
use crate::Verdict;
use crate::host::Host;
use crate::http::Connection;
use crate::http::Head;
use crate::site::Request;
use crate::site::Route;
use crate::site::SERVICE;
use crate::site::STABLE;
use crate::site::ask;
use crate::site::told_wait;
use crate::store::Store;
use crate::worker::Worker;
use crate::worker::success;

/// The longest deadline of the sheet.
const DEADLINE_MS: u32 = 15_000;
/// Deadline of ordinary requests.
const ORDINARY_DEADLINE_MS: u32 = 4_000;
/// Callers that send slowly: one byte a second.
const SLOW_CALLERS: u64 = 3_000;
const SLOW_BODY: usize = 1_000;
const SLOW_PAUSE: Duration = Duration::from_secs(1);
/// Time from the first slow caller until the rule is checked.
const BEFORE_CHECK: Duration = Duration::from_secs(10);
const CHECK_TIME: Duration = Duration::from_secs(45);
/// Time between two ordinary requests.
const ORDINARY_PAUSE: Duration = Duration::from_millis(200);
/// The rule is broken if fewer than one in so many ordinary requests are answered.
const ANSWERED_ONE_IN: usize = 4;

/// Sends a request slowly, until it is answered. Returns the status.
fn send_slowly(to: SocketAddr, id: u64, is_over: &AtomicBool) -> io::Result<Head> {
    let mut connection = Connection::connect(to)?;
    let request = Request {
        method: "POST",
        path: "/a/score",
        tenant: 0,
        id,
        deadline_ms: DEADLINE_MS,
        body_len: SLOW_BODY,
        closes: false,
    };
    connection.write(request.head().as_bytes())?;
    connection.stream().set_read_timeout(Some(SLOW_PAUSE))?;
    for _ in 0..SLOW_BODY {
        connection.write(b"b")?;
        match connection.read_head() {
            Ok(Some(head)) => return Ok(head),
            Ok(None) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
            Err(err) => return Err(err),
        }
        if is_over.load(Ordering::Relaxed) {
            return Err(io::ErrorKind::Interrupted.into());
        }
    }
    Err(io::ErrorKind::TimedOut.into())
}

pub fn run(setting: &Setting) -> io::Result<Verdict> {
    let record = &setting.record;
    let store = Store::start()?;
    let route = Route {
        kind: "non_idempotent",
        is_resumable: false,
        timeout_ms: DEADLINE_MS,
        max_attempts: 1,
        channels: 96,
    };
    store.put("config", "main", &route.config(2));
    let runs = record.clone();
    let handle = move |connection: &mut Connection, head: &Head, _: &[u8]| {
        runs.line(format!(
            "worker ran {}",
            head.get("attempt-id").unwrap_or_default()
        ));
        connection.write(&success(head, b"recorded"))?;
        Ok(true)
    };
    let _worker = Worker::start(&store, "i-1", SERVICE, 6, Arc::new(handle))?;
    let mut host = Host::start(0, &setting.folder, store.address)?;
    std::thread::sleep(STABLE);
    let to = host.callers;
    let is_over = Arc::new(AtomicBool::new(false));
    let next_id = Arc::new(AtomicU64::new(0x10_0000));
    let seen_by_slow: Arc<Mutex<BTreeMap<String, (u64, u64)>>> = Arc::default();
    let slow_callers = if setting.trouble { SLOW_CALLERS } else { 0 };
    let slow_callers: Vec<_> = (0..slow_callers)
        .map(|_| {
            let (is_over, next_id) = (is_over.clone(), next_id.clone());
            let seen_by_slow = seen_by_slow.clone();
            std::thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let id = next_id.fetch_add(1, Ordering::Relaxed);
                    let answer = send_slowly(to, id, &is_over);
                    let seen = match &answer {
                        Ok(head) => format!("status {}", head.status()),
                        Err(err) => err.to_string(),
                    };
                    seen_by_slow
                        .lock()
                        .unwrap()
                        .entry(seen)
                        .or_insert((0, id))
                        .0 += 1;
                    let wait = told_wait(answer.as_ref().ok(), DEADLINE_MS);
                    std::thread::sleep(wait.max(SLOW_PAUSE));
                }
            })
        })
        .collect();
    std::thread::sleep(BEFORE_CHECK);
    let until = Instant::now() + CHECK_TIME;
    let (mut sent, mut answered) = (0, 0);
    while Instant::now() < until {
        sent += 1;
        let request = Request {
            method: "POST",
            path: "/a/score",
            tenant: 1,
            id: sent as u64,
            deadline_ms: ORDINARY_DEADLINE_MS,
            body_len: 2,
            closes: true,
        };
        let head = ask(to, &request);
        let status = head.as_ref().map_or(0, Head::status);
        record.line(format!("ordinary caller {sent:016x}: status {status}"));
        answered += usize::from(status == 200);
        for (seen, (count, id)) in std::mem::take(&mut *seen_by_slow.lock().unwrap()) {
            record.line(format!(
                "slow callers: {count} times {seen}, first {id:016x}"
            ));
        }
        let wait = told_wait(head.as_ref(), ORDINARY_DEADLINE_MS);
        std::thread::sleep(wait.max(ORDINARY_PAUSE));
    }
    is_over.store(true, Ordering::Relaxed);
    for caller in slow_callers {
        let _ = caller.join();
    }
    record.line(format!("{answered} of {sent} ordinary requests answered"));
    if !host.is_running() {
        record.line("the host has ended");
        return Ok(Verdict::Broken);
    }
    Ok(match answered * ANSWERED_ONE_IN < sent {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
