//! Callers that read their answers slowly while many others open channels.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::Setting;
use crate::Verdict;
use crate::host::Host;
use crate::http::Connection;
use crate::http::Head;
use crate::record::Record;
use crate::site::Request;
use crate::site::Route;
use crate::site::SERVICE;
use crate::site::STABLE;
use crate::store::Store;
use crate::worker::Worker;
use crate::worker::success;

const DEADLINE_MS: u32 = 4_000;
/// Callers that read slowly: about 40 KB a second, so that the longest answer takes three seconds.
const READERS: usize = 12;
const READ_BYTES: usize = 4_096;
const READ_PAUSE: Duration = Duration::from_millis(100);
const READ_BUFFER: i32 = 4_096;
/// Lengths of the answers to them, bytes.
const SHORTEST_ANSWER: usize = 78_000;
const ANSWER_STEP: usize = 3_000;
/// Callers of the burst. Each sends one request and keeps its channel.
const BURST: u64 = 1_400;
/// How long after the readers' requests the burst begins.
const BURST_AFTER: Duration = Duration::from_millis(500);
/// Most requests whose channels may be closed without an answer.
const LOST_MAX: usize = 3;

fn request(path: &str, id: u64) -> String {
    let request = Request {
        method: "POST",
        path,
        tenant: 0,
        id,
        deadline_ms: DEADLINE_MS,
        body_len: 2,
        closes: false,
    };
    request.head() + "hi"
}

/// Makes a first request on a channel, and then one whose answer is read slowly. Returns the bytes that were read of
/// its body.
fn read_slowly(to: SocketAddr, number: usize, len: usize) -> io::Result<usize> {
    let mut connection = Connection::connect_with_buffer(to, READ_BUFFER)?;
    for (path, id, len) in [
        ("/a/10".to_owned(), number, 10),
        (format!("/a/{len}"), 0x1000 + number, len),
    ] {
        connection.write(request(&path, id as u64).as_bytes())?;
        let head = connection.read_head()?;
        let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        if head.status() != 200 {
            return Err(io::Error::other(format!("status {}", head.status())));
        }
        let mut count = 0;
        while count < len {
            let part = connection.read_some(READ_BYTES.min(len - count))?;
            if part.is_empty() {
                return Ok(count);
            }
            count += part.len();
            if len > READ_BYTES {
                std::thread::sleep(READ_PAUSE);
            }
        }
    }
    Ok(len)
}

/// Opens channels, with a request on each. They are kept until the result is dropped.
fn open_channels(to: SocketAddr, record: &Record) -> Vec<Connection> {
    let mut kept = Vec::new();
    for number in 0..BURST {
        let id = 0x10_0000 + number;
        let exchange = || -> io::Result<(Connection, u16)> {
            let mut connection = Connection::connect(to)?;
            connection.write(request("/a/10", id).as_bytes())?;
            let head = connection.read_head()?;
            let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
            connection.read_body(&head, true)?;
            Ok((connection, head.status()))
        };
        match exchange() {
            Ok((connection, status)) => {
                record.line(format!("caller {id:016x} of the burst: {status}"));
                kept.push(connection);
            }
            Err(err) => record.line(format!("caller {id:016x} of the burst: {err}")),
        }
    }
    kept
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
    store.put("config", "main", &route.config(1));
    let runs = record.clone();
    let handle = move |connection: &mut Connection, head: &Head, _: &[u8]| {
        let len = head.path().trim_start_matches("/a/").parse().unwrap_or(0);
        let attempt = head.get("attempt-id").unwrap_or_default();
        connection.write(&success(head, &vec![b'a'; len]))?;
        runs.line(format!(
            "worker ran {attempt} and answered with {len} bytes"
        ));
        Ok(true)
    };
    let _worker = Worker::start(&store, "i-1", SERVICE, 6, Arc::new(handle))?;
    let host = Host::start(0, &setting.folder, store.address)?;
    std::thread::sleep(STABLE);
    let to = host.callers;
    let readers: Vec<_> = (0..READERS)
        .map(|number| {
            let record = record.clone();
            std::thread::spawn(move || {
                let len = SHORTEST_ANSWER + number * ANSWER_STEP;
                let id = 0x1000 + number;
                let read = read_slowly(to, number, len);
                let is_lost = !matches!(read, Ok(count) if count == len);
                let read = read.map_or_else(|err| err.to_string(), |count| count.to_string());
                record.line(format!("caller {id:016x}: read {read} of {len} bytes"));
                is_lost
            })
        })
        .collect();
    let kept = match setting.trouble {
        true => {
            std::thread::sleep(BURST_AFTER);
            record.line("burst begins");
            open_channels(to, record)
        }
        false => Vec::new(),
    };
    let lost = readers.into_iter().filter_map(|reader| reader.join().ok());
    let lost = lost.filter(|is_lost| *is_lost).count();
    record.line(format!(
        "{lost} of {READERS} slow readers' channels closed without a whole answer"
    ));
    drop(kept);
    Ok(if lost > LOST_MAX {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
