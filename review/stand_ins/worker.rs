//! A stand-in for a model worker: it answers each request with a stream of events.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::Conn;
use crate::http::Head;
use crate::record::Record;
use crate::store::Store;

/// A request that reached the worker and was not turned away.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
}

#[derive(Clone, Copy, Debug)]
pub struct Manner {
    /// Time until the first event, which also brings the head.
    pub first_event: Duration,
    pub events: u32,
    /// Pause between two events.
    pub gap: Duration,
    /// The limit that the worker names, requests a second.
    pub limit: Option<f64>,
    /// Until when the worker is cold.
    pub cold_until: Option<Instant>,
    /// Set while the worker is full: it turns a request with a long body away before it has read the body,
    /// keeps the channel, and reads on so much later.
    pub reads_on_after: Option<Duration>,
}

/// Size from which a body is long, bytes.
const LONG_BODY_BYTES: usize = 1 << 20;

impl Default for Manner {
    fn default() -> Self {
        Self {
            first_event: Duration::from_millis(30),
            events: 4,
            gap: Duration::from_millis(10),
            limit: None,
            cold_until: None,
            reads_on_after: None,
        }
    }
}

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    service: String,
    zone: String,
    born: u64,
    address: SocketAddr,
    store: Store,
    record: Record,
    manner: Arc<Mutex<Manner>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Worker {
    /// Starts a worker of the service `model` and registers it.
    pub fn start(id: &str, zone: &str, store: &Store, record: &Record) -> Self {
        Self::start_for("model", id, zone, store, record)
    }

    /// Like [`Self::start`], for a service.
    pub fn start_for(service: &str, id: &str, zone: &str, store: &Store, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for a worker");
        let worker = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            born: 1_790_000_000_000,
            address: listener.local_addr().expect("an address"),
            store: store.clone(),
            record: record.clone(),
            manner: Arc::default(),
            arrivals: Arc::default(),
        };
        worker.report();
        let serving = worker.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = serving.clone();
                std::thread::spawn(move || worker.serve(stream));
            }
        });
        worker
    }

    pub fn set(&self, change: impl FnOnce(&mut Manner)) {
        change(&mut self.manner.lock().expect("the manner of a worker"));
    }

    fn manner(&self) -> Manner {
        *self.manner.lock().expect("the manner of a worker")
    }

    fn cold_ms(&self) -> u128 {
        let until = self.manner().cold_until;
        until.map_or(0, |at| at.saturating_duration_since(Instant::now()).as_millis())
    }

    /// Writes the entry of the worker. Nothing is written while the store is down.
    pub fn report(&self) {
        let Self {
            id,
            service,
            zone,
            born,
            address,
            ..
        } = self;
        let cold = self.cold_ms();
        let spec = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"ready\",\"cold-remaining-ms\":{cold},\"phase\":\"mixed\",\
             \"model-list\":[{{\"name\":\"m\",\"version\":1,\"adapter-list\":[]}}],\
             \"sequence\":1,\"born\":{born}}}"
        );
        self.store.write_as_worker("servers", id, &spec);
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("the arrivals").clone()
    }

    fn serve(&self, stream: TcpStream) {
        let mut conn = Conn::new(stream);
        while let Ok(Some(head)) = conn.read_head() {
            let len = head.get("content-length").and_then(|len| len.parse().ok());
            let after = self.manner().reads_on_after;
            let early = after.filter(|_| len.unwrap_or(0) >= LONG_BODY_BYTES);
            if early.is_some_and(|after| self.turn_away(&mut conn, &head, after).is_err()) {
                return;
            }
            if conn.read_body(&head).is_err() {
                return;
            }
            if early.is_none() && self.answer(&mut conn, &head).is_err() {
                return;
            }
        }
    }

    /// Says that a request is not run, and waits until the worker reads on.
    fn turn_away(&self, conn: &mut Conn, head: &Head, after: Duration) -> std::io::Result<()> {
        let id = head.get("attempt-id").unwrap_or("");
        self.record.line(&format!("turned away {id} at {}", self.id));
        let text = format!(
            "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n\
             Content-Length: 0\r\n\r\n"
        );
        conn.stream.write_all(text.as_bytes())?;
        std::thread::sleep(after);
        Ok(())
    }

    fn answer(&self, conn: &mut Conn, head: &Head) -> std::io::Result<()> {
        let id = head.get("attempt-id").unwrap_or("").to_owned();
        if head.target().1 == "/healthz" {
            let text = format!(
                "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nCold-Ms: {}\r\nContent-Length: 0\r\n\r\n",
                self.id,
                self.cold_ms()
            );
            return conn.stream.write_all(text.as_bytes());
        }
        if head.get("expect-instance").is_some_and(|expected| expected != self.id) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            return conn.stream.write_all(text.as_bytes());
        }
        let manner = self.manner();
        let at = Instant::now();
        let arrival = Arrival { at, id: id.clone() };
        self.arrivals.lock().expect("the arrivals").push(arrival);
        let cold = if self.cold_ms() > 0 { " (cold)" } else { "" };
        self.record.line(&format!("run {id} at {}{cold}", self.id));
        std::thread::sleep(manner.first_event);
        let limit = manner.limit;
        let limit = limit.map_or(String::new(), |limit| format!("Server-Limit: {limit:.1}\r\n"));
        let text = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: seal-{}\r\n{limit}\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        conn.stream.write_all(text.as_bytes())?;
        for n in 1..=manner.events {
            if n > 1 {
                std::thread::sleep(manner.gap);
            }
            let event = format!("id: {n}\ndata: {id} token {n}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            conn.stream.write_all(chunk.as_bytes())?;
        }
        conn.stream.write_all(b"0\r\n\r\n")
    }
}
