//! Structured log lines on standard output, bounded in volume, written without blocking.

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
use serde_json::Map;
use serde_json::Value;
use snafu::ResultExt;

use crate::error::DaemonError;
use crate::error::LoggingSnafu;

/// Lines that wait to be written: about a second of a busy host.
const LINES_WAITING_MAX: usize = 1024;
/// Longest wait for the last lines to be written when the process ends: ten writes.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Lines a second over a longer time. A host of today writes three for each of about 50 requests a
/// second.
const LINES_PER_SECOND: f64 = 400.0;
/// Lines that may be written at once.
const LINES_BURST: f64 = 1200.0;
/// Targets of this project's own lines; other libraries only write warnings and errors.
const OWN_TARGETS: [&str; 7] = [
    "request", "server", "config", "fleet", "platform", "host", "peer",
];

/// Writes lines from `level` on.
///
/// Gives the number of lines that were dropped, which goes on counting.
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

/// What is put before the writer.
enum WriterMessage {
    Line(String),
    /// All lines before this are to be written now; the sender is dropped after that.
    Flush(SyncSender<()>),
}

/// Writes lines until the channel is closed.
fn write_lines(rx: &Receiver<WriterMessage>) {
    let mut out = std::io::stdout().lock();
    while let Ok(first) = rx.recv() {
        let mut text = String::new();
        let mut flushes = Vec::new();
        for entry in std::iter::once(first).chain(rx.try_iter()) {
            match entry {
                WriterMessage::Line(line) => text.push_str(&line),
                WriterMessage::Flush(tx) => flushes.push(tx),
            }
        }
        if out.write_all(text.as_bytes()).is_err() {
            // There is no other place to report this to: standard output is closed.
            return;
        }
    }
}

/// Lines that may be written now.
struct LineLimiter {
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

struct JsonLog {
    tx: SyncSender<WriterMessage>,
    limiter: Mutex<LineLimiter>,
    /// Lines dropped so far.
    dropped: Arc<AtomicU64>,
    /// How many of them a line has told of.
    reported: AtomicU64,
}

impl JsonLog {
    fn may_write(&self, record: &Record<'_>) -> bool {
        // Lines on single requests are bounded; changes of state are few and always written.
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
            // Ends when the writer drops its side. A blocked output must not hold up the exit.
            let _ = rx.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn to_line(record: &Record<'_>, dropped: u64) -> String {
    let mut fields = Map::new();
    let at = humantime::format_rfc3339_millis(SystemTime::now());
    fields.insert("at".into(), at.to_string().into());
    fields.insert("level".into(), record.level().as_str().into());
    fields.insert("about".into(), record.target().into());
    fields.insert("event".into(), record.args().to_string().into());
    let visited = record.key_values().visit(&mut Fields(&mut fields));
    if let Err(err) = visited {
        fields.insert("log_error".into(), err.to_string().into());
    }
    if dropped > 0 {
        fields.insert("dropped_before".into(), dropped.into());
    }
    let mut line = Value::Object(fields).to_string();
    line.push('\n');
    line
}

/// Collects the fields of a record.
struct Fields<'a>(&'a mut Map<String, Value>);

impl<'kvs> kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let mut json = JsonValue(Value::Null);
        value.visit(&mut json)?;
        self.0.insert(key.to_string(), json.0);
        Ok(())
    }
}

/// A value of a field.
struct JsonValue(Value);

impl<'v> kv::VisitValue<'v> for JsonValue {
    fn visit_any(&mut self, value: kv::Value<'_>) -> Result<(), kv::Error> {
        self.0 = value.to_string().into();
        Ok(())
    }

    fn visit_null(&mut self) -> Result<(), kv::Error> {
        self.0 = Value::Null;
        Ok(())
    }

    fn visit_u64(&mut self, value: u64) -> Result<(), kv::Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_i64(&mut self, value: i64) -> Result<(), kv::Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_f64(&mut self, value: f64) -> Result<(), kv::Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_bool(&mut self, value: bool) -> Result<(), kv::Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_str(&mut self, value: &str) -> Result<(), kv::Error> {
        self.0 = value.into();
        Ok(())
    }
}
