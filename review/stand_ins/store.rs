//! A stand-in for the platform's store: lists, watches, and writes without conditions.

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

/// An object as JSON text, by name.
type Objects = BTreeMap<String, String>;

#[derive(Clone, Default)]
pub struct State {
    kinds: BTreeMap<String, Objects>,
    /// Revision, kind and event of every change.
    log: Vec<(u64, String, String)>,
    revision: u64,
    era: u64,
    /// Answers every call with 503, which means that nothing was done.
    is_down: bool,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for the store");
        let state = State {
            revision: 100,
            era: 1,
            ..State::default()
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            address: listener.local_addr().expect("an address"),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    fn change<R>(&self, change: impl FnOnce(&mut State) -> R) -> R {
        let result = change(&mut self.state.0.lock().expect("the state of the store"));
        self.state.1.notify_all();
        result
    }

    /// Creates or replaces an object. `spec` is JSON.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.change(|state| {
            let unchanged = format!("\"spec\":{spec}}}");
            let objects = state.kinds.entry(kind.to_owned()).or_default();
            if objects.get(name).is_some_and(|object| object.ends_with(&unchanged)) {
                return;
            }
            state.revision += 1;
            let revision = state.revision;
            let object = format!(
                "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":{revision},\
                 \"finalizers\":[],\"deletion-pending\":false}},\"status\":null,\"spec\":{spec}}}"
            );
            objects.insert(name.to_owned(), object.clone());
            let event = format!("{{\"deleted\":false,\"object\":{object}}}");
            state.log.push((revision, kind.to_owned(), event));
        });
    }

    /// Writes the entry of a worker, unless the store is down.
    pub fn write_as_worker(&self, kind: &str, name: &str, spec: &str) {
        if !self.change(|state| state.is_down) {
            self.put(kind, name, spec);
        }
    }

    pub fn names(&self, kind: &str) -> Vec<String> {
        self.change(|state| {
            let objects = state.kinds.get(kind);
            objects.map_or_else(Vec::new, |objects| objects.keys().cloned().collect())
        })
    }

    pub fn set_down(&self, is_down: bool) {
        self.change(|state| state.is_down = is_down);
    }

    pub fn copy(&self) -> State {
        self.change(|state| state.clone())
    }

    /// Comes back from a copy: later changes are lost, and their revisions are given out again.
    pub fn restore(&self, copy: &State) {
        self.change(|state| {
            let era = state.era + 1;
            *state = copy.clone();
            state.era = era;
            state.is_down = false;
        });
    }

    fn serve(&self, stream: TcpStream) {
        let mut conn = Conn::new(stream);
        while let Ok(Some(head)) = conn.read_head() {
            let Ok(body) = conn.read_body(&head) else {
                return;
            };
            let (method, target) = head.target();
            let (status, text, era) = match method {
                "GET" => self.read(target),
                _ => self.write(method, target, &String::from_utf8_lossy(&body)),
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n",
                text.len()
            );
            if conn.stream.write_all((head + &text).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn read(&self, target: &str) -> (u16, String, u64) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let kind = path.split('/').nth(3).unwrap_or("");
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.find(|(known, _)| *known == name).map(|(_, value)| value)
        };
        let mut state = self.state.0.lock().expect("the state of the store");
        let after = field("watch").map(|after| after.parse::<u64>().unwrap_or(0));
        let hold = field("wait-ms").and_then(|hold| hold.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(hold);
        let era = state.era;
        loop {
            if state.is_down || state.era != era {
                return (503, "{}".to_owned(), state.era);
            }
            let at = state.revision;
            let Some(after) = after else {
                let objects = state.kinds.get(kind).map(|objects| objects.values().cloned());
                let list = objects.map_or_else(Vec::new, Iterator::collect).join(",");
                let page = format!("{{\"entries\":[{list}],\"truncated\":false,\"at\":{at}}}");
                return (200, page, era);
            };
            if after > at {
                return (410, "{}".to_owned(), era);
            }
            let events = state.log.iter();
            let events = events.filter(|(revision, of, _)| *revision > after && of == kind);
            let events: Vec<_> = events.map(|(.., event)| event.clone()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let page = format!("{{\"events\":[{}],\"at\":{at}}}", events.join(","));
                return (200, page, era);
            }
            state = self.state.1.wait_timeout(state, left).expect("the state of the store").0;
        }
    }

    fn write(&self, method: &str, target: &str, body: &str) -> (u16, String, u64) {
        let (is_down, era) = self.change(|state| (state.is_down, state.era));
        if is_down {
            return (503, "{}".to_owned(), era);
        }
        let kind = target.split('/').nth(3).unwrap_or("");
        let (Some(name), Some(spec)) = (value_of(body, "name"), value_of(body, "spec")) else {
            return (400, "{}".to_owned(), era);
        };
        let name = name.trim_matches('"');
        if method == "POST" && self.names(kind).iter().any(|known| known == name) {
            return (409, "{}".to_owned(), era);
        }
        self.put(kind, name, spec);
        (200, "{}".to_owned(), era)
    }
}

/// The JSON text of the first field of a name.
fn value_of<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    let key = format!("\"{name}\":");
    let rest = json[json.find(&key)? + key.len()..].trim_start();
    let (mut depth, mut in_text, mut escaped) = (0, false, false);
    for (at, c) in rest.char_indices() {
        match c {
            _ if escaped => escaped = false,
            '\\' if in_text => escaped = true,
            '"' => in_text = !in_text,
            '{' | '[' if !in_text => depth += 1,
            '}' | ']' if !in_text && depth == 0 => return Some(rest[..at].trim_end()),
            '}' | ']' if !in_text => depth -= 1,
            ',' if !in_text && depth == 0 => return Some(rest[..at].trim_end()),
            _ => {}
        }
    }
    Some(rest)
}
