//! Stand-in for a worker. How it answers is a function of the case.

use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Conn;
use crate::http::Head;
use crate::store::Store;

extern "C" {
    fn shutdown(fd: i32, how: i32) -> i32;
}

const SHUT_RDWR: i32 = 2;

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// Answers a request of which head and body were read. Returns false if the connection is to be closed.
pub type Run = Arc<dyn Fn(&Worker, &mut Conn, &Head, &[u8]) -> bool + Send + Sync>;

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: usize,
    pub address: SocketAddr,
    /// Requests that are being run.
    pub running: Arc<AtomicUsize>,
    /// Number of runs of each request.
    pub runs: Arc<Mutex<HashMap<String, usize>>>,
    /// Whether all connections are reset: the worker has crashed.
    pub is_down: Arc<AtomicBool>,
    /// Version of its software, and the Unix time of its start in milliseconds.
    start: Arc<Mutex<(&'static str, u64)>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    listener: Arc<Mutex<Option<TcpListener>>>,
    run: Run,
}

impl Worker {
    pub fn start(
        id: &str,
        service: &'static str,
        zone: &'static str,
        slots: usize,
        run: Run,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind worker");
        let worker = Self {
            id: id.to_owned(),
            service,
            zone,
            slots,
            address: listener.local_addr().expect("address of worker"),
            running: Arc::default(),
            runs: Arc::default(),
            is_down: Arc::default(),
            start: Arc::new(Mutex::new(("v1", unix_ms()))),
            open: Arc::default(),
            listener: Arc::default(),
            run,
        };
        worker.listen(listener);
        worker
    }

    fn listen(&self, listener: TcpListener) {
        *self.listener.lock().unwrap() = listener.try_clone().ok();
        let worker = self.clone();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                if let Ok(copy) = stream.try_clone() {
                    worker.open.lock().unwrap().push(copy);
                }
                let worker = worker.clone();
                let thread = std::thread::Builder::new().stack_size(256 << 10);
                let _ = thread.spawn(move || worker.serve(stream));
            }
        });
    }

    /// Version of its software.
    pub fn version(&self) -> &'static str {
        self.start.lock().unwrap().0
    }

    /// Ends all connections and closes the port, as if the process had crashed.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        if let Some(listener) = self.listener.lock().unwrap().take() {
            // SAFETY: the descriptor is open. The thread that accepts connections ends.
            unsafe { shutdown(listener.as_raw_fd(), SHUT_RDWR) };
        }
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Starts again after a crash: with the same id and address, and another version. It writes its entry as it
    /// begins to listen.
    pub fn restart(&self, version: &'static str, store: &Store) {
        *self.start.lock().unwrap() = (version, unix_ms());
        self.running.store(0, Ordering::SeqCst);
        self.is_down.store(false, Ordering::SeqCst);
        self.listen(TcpListener::bind(self.address).expect("bind worker again"));
        self.write_entry(store, 1);
    }

    fn write_entry(&self, store: &Store, sequence: u64) {
        let (version, born) = *self.start.lock().unwrap();
        let spec = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{version}\",\"slots\":{},\
             \"state\":\"ready\",\"cold-remaining-ms\":0,\"phase\":\"mixed\",\"sequence\":{sequence},\
             \"born\":{born}}}",
            self.service, self.address, self.zone, self.slots
        );
        if !self.is_down.load(Ordering::SeqCst) {
            store.put("servers", &self.id, &spec);
        }
    }

    /// Writes the worker's entry about every `heartbeat-ms` until the program ends.
    ///
    /// The workers do so at different times: `offset` is this one's.
    pub fn announce(&self, store: &Store, offset: Duration) {
        self.write_entry(store, 1);
        let (worker, store) = (self.clone(), store.clone());
        std::thread::spawn(move || {
            std::thread::sleep(offset);
            let mut missed = 0;
            for sequence in 2.. {
                std::thread::sleep(Duration::from_millis(1_200));
                worker.write_entry(&store, sequence);
                let is_down = worker.is_down.load(Ordering::SeqCst);
                missed = if is_down { missed + 1 } else { 0 };
                // The store removes the entry after three intervals of silence.
                if missed == 3 {
                    store.remove("servers", &worker.id);
                }
            }
        });
    }

    fn serve(&self, stream: TcpStream) {
        let mut conn = Conn::new(stream);
        while let Ok(Some(head)) = conn.read_head() {
            let mut body = Vec::new();
            let read = conn.read_body(&head, false, |part| body.extend_from_slice(part));
            if read.is_err() {
                return;
            }
            let id = head.get("attempt-id").unwrap_or_default().to_owned();
            let refuse = |status: &str| {
                format!("HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            };
            if head
                .get("expect-instance")
                .is_some_and(|expected| expected != self.id)
            {
                if conn
                    .stream
                    .write_all(refuse("421 Misdirected Request").as_bytes())
                    .is_err()
                {
                    return;
                }
                continue;
            }
            if self.running.fetch_add(1, Ordering::SeqCst) >= self.slots {
                self.running.fetch_sub(1, Ordering::SeqCst);
                if conn
                    .stream
                    .write_all(refuse("503 Service Unavailable").as_bytes())
                    .is_err()
                {
                    return;
                }
                continue;
            }
            *self.runs.lock().unwrap().entry(id).or_default() += 1;
            let is_kept = (self.run)(self, &mut conn, &head, &body);
            let _ = self
                .running
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1));
            if !is_kept || self.is_down.load(Ordering::SeqCst) {
                return;
            }
        }
    }

    /// The head of an answer, up to the empty line.
    pub fn answer_head(&self, head: &Head, status: &str, rest: &str) -> String {
        let id = head.get("attempt-id").unwrap_or_default();
        format!(
            "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nResponse-Seal: seal-{}\r\n{rest}\r\n",
            self.id
        )
    }

    /// Sends a stream of `events` events, or what follows the last one that the client has, one every `pause`, the first after `first`.
    pub fn send_stream(
        &self,
        conn: &mut Conn,
        head: &Head,
        events: usize,
        first: Duration,
        pause: Duration,
    ) -> bool {
        let rest = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        let text = self.answer_head(head, "200 OK", rest);
        std::thread::sleep(first);
        if conn.stream.write_all(text.as_bytes()).is_err() {
            return false;
        }
        let version = self.version();
        let last = head.get("last-event-id").and_then(|id| id.parse().ok());
        let begin = last.map_or(1, |last: usize| last + 1);
        for number in begin..=events {
            if number > begin {
                std::thread::sleep(pause);
            }
            let event = format!("id: {number}\ndata: {version} token {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if conn.stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        conn.stream.write_all(b"0\r\n\r\n").is_ok()
    }

    /// Sends a short answer after `work`.
    pub fn send_short(&self, conn: &mut Conn, head: &Head, work: Duration) -> bool {
        std::thread::sleep(work);
        let body = "a".repeat(800);
        let text = self.answer_head(head, "200 OK", "Content-Length: 800\r\n");
        conn.stream
            .write_all(format!("{text}{body}").as_bytes())
            .is_ok()
    }
}
