//! Callers that send several requests over each connection, and the record of their requests.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::host::Host;
use crate::stand_ins::CallerResponse;
use crate::stand_ins::OpenCaller;

/// Most requests that a caller sends over one connection.
const REQUESTS_PER_CONNECTION: u32 = 20;
/// How long a caller waits for a response: twice its deadline of 3 s, since a host that was
/// suspended may respond late.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);
/// Path prefixes of the routes: streams, resumable streams, non-idempotent requests, idempotent
/// requests.
const ROUTES: [&str; 4] = ["s", "r", "w", "i"];

/// A request with the response that its caller received.
#[derive(Debug)]
pub(crate) struct SentRequest {
    pub(crate) id: String,
    pub(crate) route: &'static str,
    pub(crate) body: String,
    /// `None` if no response arrived.
    pub(crate) response: Option<CallerResponse>,
}

/// Record of the requests of all callers.
pub(crate) type SentRequests = Arc<Mutex<Vec<SentRequest>>>;

/// Sends requests to randomly chosen hosts until the task is dropped. `number` identifies the
/// caller.
pub(crate) async fn send_requests(
    number: u32,
    seed: u64,
    hosts: Arc<Vec<Host>>,
    sent_requests: SentRequests,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut sent = 0;
    loop {
        let host = &hosts[rng.random_range(0..hosts.len())];
        let connect = OpenCaller::connect(host.callers());
        let Ok(Some(mut caller)) = tokio::time::timeout(RESPONSE_TIMEOUT, connect).await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        for _ in 0..REQUESTS_PER_CONNECTION {
            sent += 1;
            let route = ROUTES[rng.random_range(0..ROUTES.len())];
            let request = send_request(&mut caller, route, format!("c{number}-{sent}")).await;
            let is_reusable = request.response.is_some() && caller.is_open().await;
            sent_requests.lock().unwrap().push(request);
            tokio::time::sleep(Duration::from_millis(rng.random_range(5..40))).await;
            if !is_reusable {
                break;
            }
        }
    }
}

/// Sends one request and waits for its response.
pub(crate) async fn send_request(
    caller: &mut OpenCaller,
    route: &'static str,
    id: String,
) -> SentRequest {
    let body = format!("body of {id}");
    let response = {
        let path = format!("/{route}/1");
        let response = caller.call(&path, &id, &body);
        tokio::time::timeout(RESPONSE_TIMEOUT, response)
            .await
            .ok()
            .flatten()
    };
    SentRequest {
        id,
        route,
        body,
        response,
    }
}
