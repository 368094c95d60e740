//! Callers that keep their connections, and what they saw.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::host::Host;
use crate::stand_ins::Answer;
use crate::stand_ins::OpenCaller;

/// Requests that a caller sends over one connection at most.
const REQUESTS_EACH: u32 = 20;
/// Longest wait of a caller: its deadline, and as much again for what a paused host does later.
const WAIT_MAX: Duration = Duration::from_secs(6);
/// Paths of the routes of the stand-ins: streams, resumable streams, writes, reads.
const ROUTES: [&str; 4] = ["s", "r", "w", "i"];

/// A request as its caller saw it.
#[derive(Debug)]
pub(crate) struct Asked {
    pub(crate) id: String,
    pub(crate) route: &'static str,
    pub(crate) body: String,
    /// `None` if no answer came.
    pub(crate) answer: Option<Answer>,
}

/// What all callers saw.
pub(crate) type Record = Arc<Mutex<Vec<Asked>>>;

/// Sends requests until the task is dropped.
pub(crate) async fn play(number: u32, seed: u64, hosts: Arc<Vec<Host>>, record: Record) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut sent = 0;
    loop {
        let host = &hosts[rng.random_range(0..hosts.len())];
        let connect = OpenCaller::connect(host.callers());
        let Ok(Some(mut caller)) = tokio::time::timeout(WAIT_MAX, connect).await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        for _ in 0..REQUESTS_EACH {
            sent += 1;
            let route = ROUTES[rng.random_range(0..ROUTES.len())];
            let asked = ask(&mut caller, route, format!("c{number}-{sent}")).await;
            let may_go_on = asked.answer.is_some() && caller.is_open().await;
            record.lock().unwrap().push(asked);
            tokio::time::sleep(Duration::from_millis(rng.random_range(5..40))).await;
            if !may_go_on {
                break;
            }
        }
    }
}

/// Sends one request and takes in its answer.
pub(crate) async fn ask(caller: &mut OpenCaller, route: &'static str, id: String) -> Asked {
    let body = format!("body of {id}");
    let answer = {
        let path = format!("/{route}/1");
        let answer = caller.call(&path, &id, &body);
        tokio::time::timeout(WAIT_MAX, answer).await.ok().flatten()
    };
    Asked {
        id,
        route,
        body,
        answer,
    }
}
