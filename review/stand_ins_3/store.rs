//! A stand-in for the platform's object store: lists, watches and unconditional writes.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::Head;
use crate::http::response;
use crate::json;

#[derive(Default)]
struct State {
    revision: u64,
    /// Objects as text, by kind and name.
    objects: BTreeMap<(String, String), String>,
    /// Changes: revision, kind, and event as text.
    events: Vec<(u64, String, String)>,
}

/// The store. Clones share their state.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            state: Arc::default(),
            address: listener.local_addr()?,
        };
        store.state.0.lock().unwrap().revision = 1;
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Creates or replaces an object.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.change(kind, name, spec);
    }

    fn change(&self, kind: &str, name: &str, spec: &str) -> String {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let object = format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
             \"finalizers\":[],\"deletion-pending\":false}},\"spec\":{},\"status\":null}}",
            spec
        );
        state.objects.insert(key, object.clone());
        let event = format!("{{\"deleted\":false,\"object\":{object}}}");
        state.events.push((revision, kind.to_owned(), event));
        changed.notify_all();
        object
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut connection = Connection::new(stream)?;
        while let Some(head) = connection.read_head()? {
            let body = connection.read_body(&head, false)?;
            let (status, body) = self.answer(&head, &String::from_utf8_lossy(&body));
            let headers = [("content-type", "application/json"), ("store-era", "1")];
            connection.write(&response(status, &headers, body.as_bytes()))?;
        }
        Ok(())
    }

    fn answer(&self, head: &Head, body: &str) -> (&'static str, String) {
        let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
        let mut words = path.trim_start_matches("/-/objects/").split('/');
        let kind = words.next().unwrap_or_default();
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let (_, value) = pairs.find(|(key, _)| *key == name)?;
            value.parse::<u64>().ok()
        };
        if head.method() == "GET" {
            return match number("watch") {
                Some(after) => self.watch(kind, after, number("wait-ms").unwrap_or(0)),
                None => ("200 OK", self.list(kind)),
            };
        }
        let metadata = json::value(body, "metadata").unwrap_or("{}");
        let name = json::text(metadata, "name").unwrap_or_default();
        let spec = json::value(body, "spec").unwrap_or("null");
        let key = (kind.to_owned(), name.to_owned());
        let known = self.state.0.lock().unwrap().objects.get(&key).cloned();
        match (head.method(), known) {
            ("POST", Some(object)) => ("409 Conflict", object),
            ("POST" | "PUT", _) => ("200 OK", self.change(kind, name, spec)),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let objects = state.objects.iter().filter(|((of, _), _)| of == kind);
        let entries: Vec<_> = objects.map(|(_, text)| text.as_str()).collect();
        let (entries, at) = (entries.join(","), state.revision);
        format!("{{\"entries\":[{entries}],\"truncated\":false,\"at\":{at}}}")
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> (&'static str, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        loop {
            if after > state.revision {
                return ("410 Gone", "{}".to_owned());
            }
            let news = state.events.iter();
            let news = news.filter(|(at, of, _)| *at > after && of == kind);
            let events: Vec<_> = news.map(|(.., event)| event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                let text = format!("{{\"events\":[{events}],\"at\":{at}}}");
                return ("200 OK", text);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
