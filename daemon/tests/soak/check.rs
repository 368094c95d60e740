//! Checks of the guarantees of entry hosts, from the records of callers and servers.
//!
//! Faults may make requests fail. Yet no request may run more often than its route allows, be
//! altered, or get a wrong response, and the number of retries is limited.

use std::collections::HashMap;

use super::traffic::SentRequest;
use crate::stand_ins::ReceivedRequest;
use crate::stand_ins::complete_stream;

/// Status codes by which a host guarantees that a request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Retries to a service that are allowed in a window of ten seconds, in addition to
/// [`RETRY_RATIO`]. Both limits are the same as in the settings files of the hosts.
const RETRY_BURST: f64 = 52.0;
/// Retries allowed per request of a caller.
const RETRY_RATIO: f64 = 0.2;

/// Requests that servers received, each with the instance of the server, by identifier.
pub(crate) type Runs<'a> = HashMap<&'a str, Vec<(&'a str, &'a ReceivedRequest)>>;

/// Describes all violations of the guarantees. Empty if there are none.
pub(crate) fn find_violations(requests: &[SentRequest], runs: &Runs<'_>) -> Vec<String> {
    let mut violations = Vec::new();
    let none = Vec::new();
    for request in requests {
        let runs = runs.get(request.id.as_str()).unwrap_or(&none);
        let ran: Vec<_> = runs
            .iter()
            .filter(|(_, received)| received.has_run)
            .collect();
        let mut violation =
            |what: &str| violations.push(format!("{what}: {request:?}, runs {runs:?}"));
        if ran.len() > usize::from(matches!(request.route, "r" | "i")) + 1 {
            violation("ran too often");
        }
        let expected = match request.route {
            "s" | "r" => complete_stream(),
            _ => request.body.clone(),
        };
        for (_, received) in runs {
            if received.has_key() {
                violation("a server received the key");
            }
            let workspace = matches!(request.route, "s" | "r").then_some("one");
            if received.workspace() != workspace {
                violation("a server received a wrong workspace");
            }
            if received.body != request.body.as_bytes()
                || received.path != format!("/{}/1", request.route)
            {
                violation("a server received a wrong path or body");
            }
        }
        let Some(response) = &request.response else {
            continue;
        };
        if response.id().is_some_and(|id| id != request.id) {
            violation("response to another request");
        }
        let status = response.status.as_u16();
        match status {
            200 => {
                let has_sealed = |(instance, _): &&(&str, &ReceivedRequest)| {
                    response.sealed_by() == Some(instance)
                };
                if !ran.iter().any(has_sealed) {
                    violation("success without the seal of a server that ran the request");
                }
                match &response.body {
                    Ok(body) if *body != expected => violation("success with a wrong body"),
                    Err(part) if !expected.starts_with(part.as_str()) => {
                        violation("wrong partial body")
                    }
                    _ => {}
                }
            }
            401 | 403 | 404 => violation("allowed request was denied"),
            _ if NOT_RUN_STATUSES.contains(&status)
                && !ran.is_empty()
                && is_at_most_once(request) =>
            {
                violation("reported as not run, but a server ran it");
            }
            _ if response.sealed_by().is_some() && status != 500 => {
                violation("sealed response with a status that servers do not send")
            }
            _ => {}
        }
    }
    violations.extend(excess_retries(requests, runs));
    violations
}

/// Whether the request is on a route without retries.
fn is_at_most_once(request: &SentRequest) -> bool {
    matches!(request.route, "s" | "w")
}

/// Describes the excess if the hosts sent more retries than allowed over the whole run.
fn excess_retries(requests: &[SentRequest], runs: &Runs<'_>) -> Option<String> {
    let seconds = 1.0 + span(runs) / 10.0;
    let retries: usize = runs.values().map(|runs| runs.len() - 1).sum();
    // There are two services, and each may have a burst in every window.
    let allowed = RETRY_RATIO * requests.len() as f64 + 2.0 * RETRY_BURST * seconds.ceil();
    (retries as f64 > allowed).then(|| format!("{retries} retries, {allowed} allowed"))
}

/// Time between the first and the last request that a server received, seconds.
fn span(runs: &Runs<'_>) -> f64 {
    let times = || runs.values().flatten().map(|(_, received)| received.at);
    match (times().min(), times().max()) {
        (Some(first), Some(last)) => last.duration_since(first).as_secs_f64(),
        _ => 0.0,
    }
}
