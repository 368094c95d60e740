//! A stand-in for a worker, which announces itself in the store about once a second.

use std::io;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Connection;
use crate::http::Head;
use crate::http::response;
use crate::store::Store;

/// Interval between announcements, `heartbeat-ms` of the settings.
const BEAT: Duration = Duration::from_millis(1_200);

/// Handles one request on a connection. Returns whether the connection is kept.
pub type Handle = Arc<dyn Fn(&mut Connection, &Head, &[u8]) -> io::Result<bool> + Send + Sync>;

pub struct Worker {
    is_stopped: Arc<AtomicBool>,
}

impl Worker {
    /// Starts a worker of a service that serves each connection in a thread of its own.
    pub fn start(
        store: &Store,
        id: &str,
        service: &str,
        slots: u32,
        handle: Handle,
    ) -> io::Result<Self> {
        Self::start_version(store, id, service, "v1", slots, handle)
    }

    /// Like [`Self::start`], with a version of the software.
    pub fn start_version(
        store: &Store,
        id: &str,
        service: &str,
        version: &'static str,
        slots: u32,
        handle: Handle,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let own_id = id.to_owned();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, handle) = (own_id.clone(), handle.clone());
                std::thread::spawn(move || serve(stream, &id, &handle));
            }
        });
        let is_stopped = Arc::new(AtomicBool::new(false));
        let (stopped, store, id_text) = (is_stopped.clone(), store.clone(), id.to_owned());
        let service = service.to_owned();
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = since_epoch.map_or(0, |time| time.as_millis());
        let sequence = AtomicU64::new(0);
        let beat = move || {
            let sequence = sequence.fetch_add(1, Ordering::Relaxed);
            let entry = format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"bern-a\",\
                 \"version\":\"{version}\",\"slots\":{slots},\"state\":\"ready\",\"cold-remaining-ms\":0,\
                 \"sequence\":{sequence},\"born\":{born}}}"
            );
            store.put("servers", &id_text, &entry);
        };
        beat();
        std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                std::thread::sleep(BEAT);
                beat();
            }
        });
        Ok(Self { is_stopped })
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}

fn serve(stream: TcpStream, id: &str, handle: &Handle) -> io::Result<()> {
    let mut connection = Connection::new(stream)?;
    while let Some(head) = connection.read_head()? {
        if head.path() == "/healthz" {
            connection.write(&response("200 OK", &[("Instance-Id", id)], b""))?;
            continue;
        }
        let body = connection.read_body(&head, false)?;
        if head
            .get("expect-instance")
            .is_some_and(|expected| expected != id)
        {
            connection.write(&response(
                "421 Misdirected Request",
                &[("Instance-Id", id)],
                b"",
            ))?;
            continue;
        }
        if !handle(&mut connection, &head, &body)? {
            return Ok(());
        }
    }
    Ok(())
}

/// A response of success to a request, with a seal.
pub fn success(head: &Head, body: &[u8]) -> Vec<u8> {
    let id = head.get("attempt-id").unwrap_or_default();
    let seal = format!("3e1b.{id}.{}", body.len());
    let headers = [("Attempt-Id", id), ("Response-Seal", seal.as_str())];
    response("200 OK", &headers, body)
}
