//! Callers that take up their streams after their host was killed, in a fleet whose machines were replaced before.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::Setting;
use crate::Verdict;
use crate::host::Host;
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

/// Machines that were removed for good before.
const REMOVED: u32 = 30;
/// Machines that are started at the same time.
const STARTED_TOGETHER: usize = 6;
/// Machines that serve, of which the first is killed.
const SERVING: u32 = 3;
const DEADLINE_MS: u32 = 15_000;
const STREAMS: u64 = 24;
/// Streams that begin at the remaining hosts after the kill.
const NEW_STREAMS: u64 = 12;
const EVENTS: u32 = 70;
const EVENT_PAUSE: Duration = Duration::from_millis(100);
/// How long the streams run before the kill.
const BEFORE_KILL: Duration = Duration::from_secs(2);
/// Attempts of a caller to take its stream up.
const TRIES: u64 = 2;

/// Sends the events after the one that the request names.
fn write_stream(connection: &mut Connection, head: &Head) -> io::Result<bool> {
    let id = head.get("attempt-id").unwrap_or_default();
    let after = head
        .get("last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: 3e1b.{id}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    connection.write(head.as_bytes())?;
    for number in after + 1..=EVENTS {
        let event = format!("id: {number}\ndata: word\n\n");
        connection.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        std::thread::sleep(EVENT_PAUSE);
    }
    connection.write(b"0\r\n\r\n")?;
    Ok(true)
}

/// What a caller got of a stream.
struct Got {
    status: u16,
    retry_after: Duration,
    /// Numbers of the first and the last event, 0 if there is none.
    first: u32,
    last: u32,
}

/// Reads a stream, at most up to the event `until`, or until it breaks off.
fn read_stream(to: SocketAddr, id: u64, more: &str, until: u32) -> io::Result<Got> {
    let request = Request {
        method: "POST",
        path: "/a/commentary",
        tenant: 0,
        id,
        deadline_ms: DEADLINE_MS,
        body_len: 2,
        closes: false,
    };
    let mut connection = Connection::connect(to)?;
    let head = request.head();
    let head = head.trim_end();
    connection.write(format!("{head}\r\n{more}\r\nhi").as_bytes())?;
    let head = connection.read_head()?;
    let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
    let wait = head.get("retry-after").and_then(|value| value.parse().ok());
    let mut got = Got {
        status: head.status(),
        retry_after: wait.map_or(Duration::ZERO, Duration::from_secs_f64),
        first: 0,
        last: 0,
    };
    while got.status == 200 && got.last < until {
        let Ok(line) = connection.read_line() else {
            break;
        };
        if line.is_empty() {
            break;
        }
        if let Some(number) = line.trim_end().strip_prefix("id: ") {
            got.last = number.parse().map_err(io::Error::other)?;
            got.first = if got.first == 0 { got.last } else { got.first };
        }
    }
    Ok(got)
}

/// Takes a stream up after the event `last`. Returns whether it goes on.
fn take_up(record: &Record, hosts: [SocketAddr; 2], id: u64, last: u32) -> bool {
    let more = format!("Last-Event-Id: {last}\r\nResumes: {id:016x}\r\n");
    for number in 1..=TRIES {
        let attempt = id + number * 0x1000;
        let to = hosts[(id + number) as usize % 2];
        let got = read_stream(to, attempt, &more, last + 3);
        let (status, first, wait) = match &got {
            Ok(got) => (got.status, got.first, got.retry_after),
            Err(_) => (0, 0, Duration::ZERO),
        };
        record.line(format!(
            "caller {attempt:016x} takes {id:016x} up after event {last}: {status}, event {first}"
        ));
        if first == last + 1 {
            return true;
        }
        std::thread::sleep(wait.min(Duration::from_millis(DEADLINE_MS.into()) / 3));
    }
    false
}

/// Starts machines and removes them for good.
fn replace_machines(setting: &Setting, store: &Store) -> io::Result<()> {
    let numbers: Vec<_> = (SERVING..SERVING + REMOVED).collect();
    for together in numbers.chunks(STARTED_TOGETHER) {
        let starting: Vec<_> = together
            .iter()
            .map(|number| {
                let (number, folder, store) = (*number, setting.folder.clone(), store.address);
                std::thread::spawn(move || Host::start(number, &folder, store))
            })
            .collect();
        for starting in starting {
            let host = starting.join().map_err(|_| io::Error::other("no host"))??;
            host.signal(SIGKILL);
        }
    }
    setting
        .record
        .line(format!("{REMOVED} machines were added, served and removed"));
    Ok(())
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
    for (n, version) in ["v1", "v1", "v2", "v2"].into_iter().enumerate() {
        let runs = record.clone();
        let handle = move |connection: &mut Connection, head: &Head, _: &[u8]| {
            let attempt = head.get("attempt-id").unwrap_or_default();
            let after = head.get("last-event-id").unwrap_or("none");
            runs.line(format!(
                "i-{n} ({version}) runs {attempt} after event {after}"
            ));
            write_stream(connection, head)
        };
        let id = format!("i-{n}");
        workers.push(Worker::start_version(
            &store,
            &id,
            SERVICE,
            version,
            64,
            Arc::new(handle),
        )?);
    }
    if setting.trouble {
        replace_machines(setting, &store)?;
    }
    let mut hosts = Vec::new();
    for number in 0..SERVING {
        hosts.push(Host::start(number, &setting.folder, store.address)?);
    }
    std::thread::sleep(STABLE);
    let [first, others @ ..] = &hosts[..] else {
        return Err(io::Error::other("no hosts"));
    };
    let (to, others) = (first.callers, [others[0].callers, others[1].callers]);
    let begun = Arc::new(Mutex::new(0));
    let callers: Vec<_> = (1..=STREAMS)
        .map(|id| {
            let (record, begun) = (record.clone(), begun.clone());
            std::thread::spawn(move || {
                let got = read_stream(to, id, "", EVENTS);
                let last = got.map_or(0, |got| got.last);
                record.line(format!(
                    "caller {id:016x}: stream broke off after event {last}"
                ));
                if last == 0 {
                    return false;
                }
                *begun.lock().unwrap() += 1;
                take_up(&record, others, id, last)
            })
        })
        .collect();
    std::thread::sleep(BEFORE_KILL);
    record.line("the host of the streams is killed");
    hosts[0].signal(SIGKILL);
    let went_on = callers.into_iter().filter_map(|caller| caller.join().ok());
    let went_on = went_on.filter(|goes_on| *goes_on).count();
    let mut new = 0;
    for number in 0..NEW_STREAMS {
        let id = 0x10_0000 + number;
        let got = read_stream(others[number as usize % 2], id, "", 1);
        let status = got.as_ref().map_or(0, |got| got.status);
        record.line(format!("caller {id:016x}: new stream, {status}"));
        new += usize::from(got.is_ok_and(|got| got.first == 1));
    }
    let begun = *begun.lock().unwrap();
    record.line(format!(
        "{went_on} of {begun} streams went on, {new} of {NEW_STREAMS} new ones began"
    ));
    if begun < 12 {
        return Err(io::Error::other("too few streams began"));
    }
    let (share, share_of_new) = (
        went_on as f64 / begun as f64,
        new as f64 / NEW_STREAMS as f64,
    );
    Ok(match share < share_of_new / 2.0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
