//! Stand-in for the platform's store: lists, watches and writes of objects (PROTOCOL, "The platform's
//! metadata store").

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::Conn;

#[derive(Default)]
struct State {
    revision: u64,
    /// Objects as JSON by kind and name.
    objects: BTreeMap<(String, String), String>,
    /// Changes: revision, kind, event as JSON.
    log: Vec<(u64, String, String)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind store");
        let store = Self {
            address: listener.local_addr().expect("address of store"),
            state: Arc::default(),
        };
        store.state.0.lock().unwrap().revision = 1;
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Creates or replaces an object. `spec` is JSON.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let object = format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
             \"finalizers\":[],\"deletion-pending\":false}},\"spec\":{spec},\"status\":null}}"
        );
        let event = format!("{{\"deleted\":false,\"object\":{object}}}");
        state.log.push((revision, kind.to_owned(), event));
        let key = (kind.to_owned(), name.to_owned());
        state.objects.insert(key, object);
        changed.notify_all();
    }

    /// Removes an object, if there is one.
    pub fn remove(&self, kind: &str, name: &str) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = state.objects.remove(&key) else {
            return;
        };
        state.revision += 1;
        let event = format!("{{\"deleted\":true,\"object\":{object}}}");
        let revision = state.revision;
        state.log.push((revision, kind.to_owned(), event));
        changed.notify_all();
    }

    pub fn count(&self, kind: &str) -> usize {
        let state = self.state.0.lock().unwrap();
        state.objects.keys().filter(|(k, _)| k == kind).count()
    }

    fn serve(&self, stream: TcpStream) {
        let mut conn = Conn::new(stream);
        while let Ok(Some(head)) = conn.read_head() {
            let mut body = Vec::new();
            let read = conn.read_body(&head, false, |part| body.extend_from_slice(part));
            if read.is_err() {
                return;
            }
            let target = head.target().to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let mut words = path.trim_start_matches("/-/objects/").split('/');
            let kind = words.next().unwrap_or_default().to_owned();
            let name = words.next().map(str::to_owned);
            let (status, text) = match head.method() {
                "GET" => (200, self.read(&kind, query)),
                "POST" | "PUT" => self.write(head.method(), &kind, name, &body),
                _ => (404, "{}".to_owned()),
            };
            let response = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                 Content-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if conn.stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn read(&self, kind: &str, query: &str) -> String {
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(n, _)| *n == name)
                .map(|(_, value)| value.to_owned())
        };
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        let Some(after) = parameter("watch") else {
            let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
            let entries: Vec<_> = of_kind.map(|(_, object)| object.as_str()).collect();
            let (entries, at) = (entries.join(","), state.revision);
            return format!("{{\"entries\":[{entries}],\"truncated\":false,\"at\":{at}}}");
        };
        let after: u64 = after.parse().unwrap_or(0);
        let wait = parameter("wait-ms")
            .and_then(|ms| ms.parse().ok())
            .unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            let news = state
                .log
                .iter()
                .filter(|(at, k, _)| *at > after && k == kind);
            let events: Vec<_> = news.map(|(.., event)| event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return format!("{{\"events\":[{events}],\"at\":{at}}}");
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Hosts write objects of kinds of their own.
    fn write(&self, method: &str, kind: &str, name: Option<String>, body: &[u8]) -> (u16, String) {
        let body = String::from_utf8_lossy(body).into_owned();
        let named = field(&body, "name").map(|text| text.trim_matches('"').to_owned());
        let (Some(name), Some(spec)) = (name.or(named), field(&body, "spec")) else {
            return (400, "{}".to_owned());
        };
        let key = (kind.to_owned(), name.clone());
        let is_known = self.state.0.lock().unwrap().objects.contains_key(&key);
        if method == "POST" && is_known {
            return (409, "{}".to_owned());
        }
        self.put(kind, &name, &spec);
        (200, "{}".to_owned())
    }
}

/// The text of a field of a JSON object: a string or an object.
fn field(json: &str, name: &str) -> Option<String> {
    let start = json.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = &json[start..];
    if rest.starts_with('"') {
        let end = rest[1..].find('"')? + 2;
        return Some(rest[..end].to_owned());
    }
    let mut depth = 0;
    for (at, c) in rest.char_indices() {
        match c {
            '{' => depth += 1,
            '}' => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return Some(rest[..=at].to_owned());
        }
    }
    None
}
