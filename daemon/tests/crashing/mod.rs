//! Engines (servers that run a model) that end as they begin to answer a harmful prompt, and come back.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use axum::body::Body;
use futures::stream;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::stand_ins::HARMFUL_PART;
use crate::stand_ins::StandInServer;
use crate::stand_ins::StandInStore;

/// Time from the arrival of a request to the head of its answer.
const HEAD_AFTER: Duration = Duration::from_millis(30);
/// Interval between the events of an answer.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
const EVENTS: u32 = 8;
/// How long an engine that has ended is away.
const RESTART_AFTER: Duration = Duration::from_secs(2);

/// What an engine that ends still writes, and when its connections close.
#[derive(Clone, Copy, Debug)]
pub(crate) struct End {
    /// Whether it writes the head of the answer to the harmful request.
    pub(crate) writes_head: bool,
    /// Number of events that it writes after the head.
    pub(crate) events: u32,
    /// Time from its last byte, for any request, to the end of its connections.
    pub(crate) closes_after: Duration,
    /// Whether it goes on with other answers until its connections end.
    pub(crate) serves_others: bool,
    /// Whether it comes back under its own identifier.
    pub(crate) keeps_identifier: bool,
}

/// What the engines have seen.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    /// When harmful requests arrived.
    pub(crate) harmful: Vec<Instant>,
    /// When engines ended.
    pub(crate) ends: Vec<Instant>,
}

/// A run of an engine.
struct Run {
    end: End,
    seen: Arc<Mutex<Seen>>,
    /// Whether it no longer writes.
    is_silent: watch::Sender<bool>,
    /// Whether its connections are closed.
    has_ended: watch::Sender<bool>,
}

impl Run {
    /// Ends the run as it has written what it writes for a harmful request.
    async fn end(&self) {
        if !self.end.serves_others {
            self.is_silent.send_replace(true);
        }
        tokio::time::sleep(self.end.closes_after).await;
        self.has_ended.send_if_modified(|has_ended| {
            let is_first = !*has_ended;
            if is_first {
                self.seen.lock().unwrap().ends.push(Instant::now());
            }
            *has_ended = true;
            is_first
        });
    }

    /// Waits for `time`, and for ever once the run is silent.
    async fn wait(&self, time: Duration) {
        tokio::time::sleep(time).await;
        if *self.is_silent.borrow() {
            std::future::pending::<()>().await;
        }
    }

    async fn answer(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let (parts, body) = req.into_parts();
        let field = |name| {
            parts
                .headers
                .get(name)
                .and_then(|value| value.to_str().ok())
        };
        let id = field("attempt-id").unwrap_or_default().to_owned();
        let is_harmful = field("prefix-hash").is_some_and(|text| text.contains(HARMFUL_PART));
        if is_harmful {
            self.seen.lock().unwrap().harmful.push(Instant::now());
        }
        // Fails if the host closes the connection; the response is then not sent either.
        let _ = body.collect().await;
        self.wait(HEAD_AFTER).await;
        if is_harmful && !self.end.writes_head {
            self.end().await;
            std::future::pending::<()>().await;
        }
        let events = if is_harmful { self.end.events } else { EVENTS };
        let chunks = stream::unfold(1, move |n| {
            let run = self.clone();
            async move {
                if n > events && is_harmful {
                    run.end().await;
                    std::future::pending::<()>().await;
                }
                if n > events {
                    return None;
                }
                run.wait(EVENT_INTERVAL).await;
                let event = format!("id: {n}\ndata: token {n}\n\n");
                Some((Ok::<_, Infallible>(event), n + 1))
            }
        });
        Response::builder()
            .header("attempt-id", id)
            .header("response-seal", "seal")
            .header("content-type", "text/event-stream")
            .body(Body::from_stream(chunks))
            .unwrap()
    }
}

/// Runs engine `number`, again and again, until the task is dropped.
pub(crate) async fn run_engine(
    number: usize,
    end: End,
    store: StandInStore,
    seen: Arc<Mutex<Seen>>,
) {
    for generation in 0.. {
        let run = Arc::new(Run {
            end,
            seen: seen.clone(),
            is_silent: watch::Sender::new(false),
            has_ended: watch::Sender::new(false),
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let instance = match end.keeps_identifier {
            true => format!("e{number}"),
            false => format!("e{number}-{generation}"),
        };
        let started_at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let started_at = u64::try_from(started_at.as_millis()).unwrap();
        let address = listener.local_addr().unwrap();
        let mut announcement = StandInServer::announcement_at("model", address, started_at);
        announcement["slots"] = 64.into();
        store.put("servers", &instance, announcement);
        let mut has_ended = run.has_ended.subscribe();
        tokio::select! {
            () = serve(listener, &run) => {}
            _ = has_ended.wait_for(|has_ended| *has_ended) => {}
        }
        tokio::time::sleep(RESTART_AFTER).await;
        if !end.keeps_identifier {
            store.remove("servers", &instance);
        }
    }
}

/// Serves connections until it is dropped, which closes them.
async fn serve(listener: TcpListener, run: &Arc<Run>) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let run = run.clone();
        let service = service_fn(move |req| {
            let run = run.clone();
            async move { Ok::<_, Infallible>(run.answer(req).await) }
        });
        let io = TokioIo::new(stream);
        connections.spawn(http1::Builder::new().serve_connection(io, service));
    }
}
