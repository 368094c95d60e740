//! What must hold at all times, from what callers and servers saw.

use std::collections::HashMap;

use super::traffic::SentRequest;
use crate::stand_ins::ReceivedRequest;
use crate::stand_ins::complete_stream;

/// Statuses by which a host promises that a request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Repeats to a service that are allowed in a window of ten seconds: the burst, and a part of the
/// requests, as the settings say.
const RETRY_BURST: f64 = 52.0;
const RETRY_RATIO: f64 = 0.2;

/// Requests that servers saw, by identifier, with the instance of the server.
pub(crate) type Runs<'a> = HashMap<&'a str, Vec<(&'a str, &'a ReceivedRequest)>>;

/// What is wrong with a run, nothing if all holds.
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
                violation("the key reached a server");
            }
            let workspace = matches!(request.route, "s" | "r").then_some("one");
            if received.workspace() != workspace {
                violation("wrong workspace");
            }
            if received.body != request.body.as_bytes()
                || received.path != format!("/{}/1", request.route)
            {
                violation("a server got another request");
            }
        }
        let Some(response) = &request.response else {
            continue;
        };
        if response.id().is_some_and(|id| id != request.id) {
            violation("answer to another request");
        }
        let status = response.status.as_u16();
        match status {
            200 => {
                let vouches = |(instance, _): &&(&str, &ReceivedRequest)| {
                    response.sealed_by() == Some(instance)
                };
                if !ran.iter().any(vouches) {
                    violation("no server that ran it vouches for a success");
                }
                match &response.body {
                    Ok(body) if *body != expected => violation("not the whole answer"),
                    Err(part) if !expected.starts_with(part.as_str()) => violation("wrong bytes"),
                    _ => {}
                }
            }
            401 | 403 | 404 => violation("denied what is allowed"),
            _ if NOT_RUN_STATUSES.contains(&status)
                && !ran.is_empty()
                && is_at_most_once(request) =>
            {
                violation("said not to have run");
            }
            _ if response.sealed_by().is_some() && status != 500 => violation("another status"),
            _ => {}
        }
    }
    violations.extend(excess_retries(requests, runs));
    violations
}

fn is_at_most_once(request: &SentRequest) -> bool {
    matches!(request.route, "s" | "w")
}

/// The fleet's repeats against what it may repeat, for each service over the whole run.
fn excess_retries(requests: &[SentRequest], runs: &Runs<'_>) -> Option<String> {
    let seconds = 1.0 + span(runs) / 10.0;
    let retries: usize = runs.values().map(|runs| runs.len() - 1).sum();
    // Two services, each with a burst in every window.
    let allowed = RETRY_RATIO * requests.len() as f64 + 2.0 * RETRY_BURST * seconds.ceil();
    (retries as f64 > allowed).then(|| format!("{retries} repeats, {allowed} allowed"))
}

fn span(runs: &Runs<'_>) -> f64 {
    let times = || runs.values().flatten().map(|(_, received)| received.at);
    match (times().min(), times().max()) {
        (Some(first), Some(last)) => last.duration_since(first).as_secs_f64(),
        _ => 0.0,
    }
}
