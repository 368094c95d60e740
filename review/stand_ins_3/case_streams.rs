//! Callers that read their streams slowly, at a host that the platform ends if it exceeds its memory.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::Setting;
use crate::Verdict;
use crate::host::Host;
use crate::host::MEMORY_MB;
use crate::host::SIGKILL;
use crate::http::Connection;
use crate::http::Head;
use crate::record::Record;
use crate::site::Request;
use crate::site::Route;
use crate::site::SERVICE;
use crate::site::STABLE;
use crate::store::Store;
use crate::worker::Worker;

/// Workers and slots of the sheet.
const WORKERS: usize = 12;
const SLOTS: u32 = 64;
/// Callers at once: fewer than the workers have slots.
const CALLERS: u64 = 740;
/// Events of a stream, as on the sheet, and their length.
const EVENTS: usize = 70;
const EVENT_BYTES: usize = 2_500;
const DEADLINE_MS: u32 = 15_000;
/// What a slow caller reads in [`SLOW_PAUSE`], bytes.
const SLOW_BYTES: usize = 1_024;
const SLOW_PAUSE: Duration = Duration::from_millis(500);
/// Receive buffer of a slow caller, bytes.
const SLOW_BUFFER: i32 = 4_096;
/// A worker cuts off an answer that remains unread for so long.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the memory is watched after the last request.
const WATCH_TIME: Duration = Duration::from_secs(20);

/// Writes a stream.
fn write_stream(connection: &mut Connection, head: &Head) -> io::Result<bool> {
    connection.stream().set_write_timeout(Some(WRITE_TIMEOUT))?;
    let id = head.get("attempt-id").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: 3e1b.{id}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    connection.write(head.as_bytes())?;
    for number in 1..=EVENTS {
        let event = format!("id: {number}\ndata: {}\n\n", "e".repeat(EVENT_BYTES));
        connection.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    connection.write(b"0\r\n\r\n")?;
    Ok(true)
}

/// Sends a request and reads its stream. Returns the number of bytes that were read of it.
fn read_stream(to: SocketAddr, id: u64, is_slow: bool, is_over: &AtomicBool) -> io::Result<usize> {
    let mut connection = match is_slow {
        true => Connection::connect_with_buffer(to, SLOW_BUFFER)?,
        false => Connection::connect(to)?,
    };
    let request = Request {
        method: "POST",
        path: "/a/commentary",
        tenant: 0,
        id,
        deadline_ms: DEADLINE_MS,
        body_len: 2,
        closes: true,
    };
    connection.write((request.head() + "hi").as_bytes())?;
    let head = connection.read_head()?;
    let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
    if head.status() != 200 {
        return Err(io::Error::other(format!("status {}", head.status())));
    }
    if !is_slow {
        return connection.read_body(&head, true).map(|body| body.len());
    }
    let mut count = 0;
    while !is_over.load(Ordering::Relaxed) {
        let part = connection.read_some(SLOW_BYTES)?;
        if part.is_empty() {
            break;
        }
        count += part.len();
        std::thread::sleep(SLOW_PAUSE);
    }
    Ok(count)
}

fn log_stream(record: &Record, id: u64, read: io::Result<usize>) {
    match read {
        Ok(count) => record.line(format!("caller {id:016x}: 200, read {count} bytes")),
        Err(err) => record.line(format!("caller {id:016x}: {err}")),
    }
}

pub fn run(setting: &Setting) -> io::Result<Verdict> {
    let record = &setting.record;
    let store = Store::start()?;
    let route = Route {
        kind: "streaming",
        is_resumable: true,
        timeout_ms: DEADLINE_MS,
        max_attempts: 2,
        channels: 360,
    };
    store.put("config", "main", &route.config(1));
    let mut workers = Vec::new();
    for n in 0..WORKERS {
        let runs = record.clone();
        let handle = move |connection: &mut Connection, head: &Head, _: &[u8]| {
            let attempt = head.get("attempt-id").unwrap_or_default();
            runs.line(format!("i-{n} runs {attempt}"));
            write_stream(connection, head)
        };
        workers.push(Worker::start(
            &store,
            &format!("i-{n}"),
            SERVICE,
            SLOTS,
            Arc::new(handle),
        )?);
    }
    let mut host = Host::start(0, &setting.folder, store.address)?;
    std::thread::sleep(STABLE);
    record.line(format!(
        "memory of the host: {} KB of {} KB",
        host.memory_kb(),
        MEMORY_MB << 10
    ));
    let is_over = Arc::new(AtomicBool::new(false));
    let (to, is_slow) = (host.callers, setting.trouble);
    let mut callers = Vec::new();
    for id in 1..=CALLERS {
        let (record, is_over) = (record.clone(), is_over.clone());
        let caller = move || log_stream(&record, id, read_stream(to, id, is_slow, &is_over));
        callers.push(std::thread::spawn(caller));
        // 250 new callers a second.
        std::thread::sleep(Duration::from_millis(4));
    }
    record.line(format!("{CALLERS} requests sent"));
    let until = Instant::now() + WATCH_TIME;
    let mut most = 0;
    while Instant::now() < until {
        most = most.max(host.memory_kb());
        if most > MEMORY_MB << 10 {
            record.line(format!(
                "memory of the host: {most} KB; the platform kills it"
            ));
            host.signal(SIGKILL);
            break;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    record.line(format!(
        "most memory of the host: {most} KB of {} KB",
        MEMORY_MB << 10
    ));
    is_over.store(true, Ordering::Relaxed);
    let has_ended = !host.is_running() || most > MEMORY_MB << 10;
    drop(host);
    for caller in callers {
        let _ = caller.join();
    }
    Ok(if has_ended {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
