//! Structured log of an entry host: JSON lines on standard output.
//!
//! Logging must not slow down requests. A separate thread writes the lines, a full queue drops
//! lines instead of blocking, and a rate limit bounds the lines about single requests. The number
//! of dropped lines is counted and added to the next line that is written.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;
use log::kv;
use serde::Serialize;
use serde::ser::SerializeMap;
use serde::ser::Serializer;
use serde_json::json;
use snafu::ResultExt;

use crate::error::DaemonError;
use crate::error::LoggingSnafu;

/// Capacity of the queue of lines to be written: about one second of the lines of a busy host.
const LINES_WAITING_MAX: usize = 1024;
/// How long a line is held back so that later ones go out in the same write, with one wake-up of the
/// writer.
const WRITE_DELAY: Duration = Duration::from_millis(20);
/// Longest wait for the queued lines to be written when the process ends: time for ten writes.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Sustained limit on the lines about requests, lines per second. A host writes about 150 lines per
/// second: three for each of about 50 requests per second.
const LINES_PER_SECOND: f64 = 400.0;
/// Limit on the lines about requests that may be written in a burst.
const LINES_BURST: f64 = 1200.0;
/// Size of the buffer for a line, bytes. Most lines fit in it.
const LINE_CAPACITY: usize = 512;
/// Log targets of this project, which follow the configured level. Other libraries only log
/// warnings and errors.
const OWN_TARGETS: [&str; 8] = [
    "request", "schedule", "server", "config", "fleet", "platform", "host", "peer",
];

/// Installs the logger, for messages of `level` and more severe ones.
///
/// Returns the counter of dropped lines, which continues to be updated.
pub(crate) fn start(level: LevelFilter) -> Result<Arc<AtomicU64>, DaemonError> {
    let (tx, rx) = sync_channel(LINES_WAITING_MAX);
    std::thread::Builder::new()
        .name("log".into())
        .spawn(move || write_lines(&rx))
        .map_err(|source| DaemonError::Runtime { source })?;
    let dropped = Arc::new(AtomicU64::new(0));
    let writer = JsonLog {
        tx,
        limiter: Mutex::new(LineLimiter::full()),
        dropped: dropped.clone(),
        reported: AtomicU64::new(0),
    };
    let others = level.min(LevelFilter::Warn);
    let base = fern::Dispatch::new()
        .level(others)
        .chain(Box::new(writer) as Box<dyn Log>);
    OWN_TARGETS
        .into_iter()
        .fold(base, |dispatch, target| dispatch.level_for(target, level))
        .apply()
        .context(LoggingSnafu)?;
    Ok(dropped)
}

/// Message to the writer thread.
enum WriterMessage {
    /// A complete line with its line feed.
    Line(Vec<u8>),
    /// A request to write all earlier lines. The sender is dropped when they are written.
    Flush(SyncSender<()>),
}

/// Writes lines until the channel is closed. All lines of [`WRITE_DELAY`] go out in one write.
fn write_lines(rx: &Receiver<WriterMessage>) {
    let mut out = std::io::stdout().lock();
    while let Ok(first) = rx.recv() {
        if matches!(first, WriterMessage::Line(_)) {
            std::thread::sleep(WRITE_DELAY);
        }
        let mut text = Vec::new();
        let mut flushes = Vec::new();
        for entry in std::iter::once(first).chain(rx.try_iter()) {
            match entry {
                WriterMessage::Line(line) => text.extend_from_slice(&line),
                WriterMessage::Flush(tx) => flushes.push(tx),
            }
        }
        if out.write_all(&text).is_err() {
            // Standard output is closed, so the failure cannot be reported.
            return;
        }
    }
}

/// Rate limit on lines, a token bucket: refilled with `LINES_PER_SECOND` up to `LINES_BURST`.
struct LineLimiter {
    /// Lines that may be written now.
    available: f64,
    refilled_at: Instant,
}

impl LineLimiter {
    fn full() -> Self {
        Self {
            available: LINES_BURST,
            refilled_at: Instant::now(),
        }
    }

    /// Takes one line from the limit. Returns false if none is available.
    fn try_take(&mut self) -> bool {
        let now = Instant::now();
        let elapsed = now.duration_since(self.refilled_at).as_secs_f64();
        self.available = (self.available + elapsed * LINES_PER_SECOND).min(LINES_BURST);
        self.refilled_at = now;
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

/// The logger: formats records and queues the lines for the writer thread.
struct JsonLog {
    tx: SyncSender<WriterMessage>,
    limiter: Mutex<LineLimiter>,
    /// Lines dropped so far.
    dropped: Arc<AtomicU64>,
    /// Dropped lines that a written line has already reported.
    reported: AtomicU64,
}

impl JsonLog {
    fn may_write(&self, record: &Record<'_>) -> bool {
        // Only lines about single requests are limited; lines about changes of state are few.
        if record.target() != "request" {
            return true;
        }
        let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        limiter.try_take()
    }
}

impl Log for JsonLog {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        if !self.may_write(record) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let dropped = self.dropped.load(Ordering::Relaxed);
        let reported = self.reported.load(Ordering::Relaxed);
        let line = to_line(record, dropped.saturating_sub(reported));
        match self.tx.try_send(WriterMessage::Line(line)) {
            Ok(()) => self.reported.store(dropped, Ordering::Relaxed),
            Err(_) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    fn flush(&self) {
        let (tx, rx) = sync_channel(0);
        if self.tx.try_send(WriterMessage::Flush(tx)).is_ok() {
            // Returns when the writer drops the sender. The timeout keeps a blocked standard output
            // from delaying the exit.
            let _ = rx.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Formats a record. `dropped` is the number of lines dropped before and not yet reported.
fn to_line(record: &Record<'_>, dropped: u64) -> Vec<u8> {
    let mut line = Vec::with_capacity(LINE_CAPACITY);
    if let Err(err) = write_fields(&mut line, record, dropped) {
        line.clear();
        let fallback =
            json!({"level": "ERROR", "about": record.target(), "log_error": err.to_string()});
        line.extend_from_slice(fallback.to_string().as_bytes());
    }
    line.push(b'\n');
    line
}

/// Writes a record as a JSON object.
fn write_fields(
    line: &mut Vec<u8>,
    record: &Record<'_>,
    dropped: u64,
) -> Result<(), serde_json::Error> {
    let mut json = serde_json::Serializer::new(line);
    let mut fields = json.serialize_map(None)?;
    let at = humantime::format_rfc3339_millis(SystemTime::now());
    fields.serialize_entry("at", &format_args!("{at}"))?;
    fields.serialize_entry("level", record.level().as_str())?;
    fields.serialize_entry("about", record.target())?;
    fields.serialize_entry("event", record.args())?;
    let visited = record.key_values().visit(&mut Fields(&mut fields));
    if let Err(err) = visited {
        fields.serialize_entry("log_error", &err.to_string())?;
    }
    if dropped > 0 {
        fields.serialize_entry("dropped_before", &dropped)?;
    }
    fields.end()
}

/// Writes the key-value pairs of a record as JSON fields.
struct Fields<'a, M>(&'a mut M);

impl<'kvs, M: SerializeMap> kv::VisitSource<'kvs> for Fields<'_, M> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let mut field = Field {
            fields: &mut *self.0,
            key: key.as_str(),
        };
        value.visit(&mut field)
    }
}

/// Writes the value of one key as JSON.
struct Field<'a, M> {
    fields: &'a mut M,
    key: &'a str,
}

impl<M: SerializeMap> Field<'_, M> {
    fn write(&mut self, value: impl Serialize) -> Result<(), kv::Error> {
        let written = self.fields.serialize_entry(self.key, &value);
        written.map_err(|_| kv::Error::msg("cannot write field as JSON"))
    }
}

impl<'v, M: SerializeMap> kv::VisitValue<'v> for Field<'_, M> {
    fn visit_any(&mut self, value: kv::Value<'_>) -> Result<(), kv::Error> {
        self.write(format_args!("{value}"))
    }

    fn visit_null(&mut self) -> Result<(), kv::Error> {
        self.write(())
    }

    fn visit_u64(&mut self, value: u64) -> Result<(), kv::Error> {
        self.write(value)
    }

    fn visit_i64(&mut self, value: i64) -> Result<(), kv::Error> {
        self.write(value)
    }

    fn visit_f64(&mut self, value: f64) -> Result<(), kv::Error> {
        self.write(value)
    }

    fn visit_bool(&mut self, value: bool) -> Result<(), kv::Error> {
        self.write(value)
    }

    fn visit_str(&mut self, value: &str) -> Result<(), kv::Error> {
        self.write(value)
    }
}
