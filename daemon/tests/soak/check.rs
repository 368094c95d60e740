//! What must hold at all times, from what callers and servers saw.

use std::collections::HashMap;

use super::traffic::Asked;
use crate::stand_ins::Seen;
use crate::stand_ins::whole_stream;

/// Statuses by which a host promises that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Repeats to a service that are allowed in a window of ten seconds: the burst, and a part of the
/// requests, as the settings say.
const RETRY_BURST: f64 = 52.0;
const RETRY_RATIO: f64 = 0.2;

/// Requests that servers saw, by identifier, with the instance of the server.
pub(crate) type Runs<'a> = HashMap<&'a str, Vec<(&'a str, &'a Seen)>>;

/// What is wrong with a run, nothing if all holds.
pub(crate) fn faults(asked: &[Asked], runs: &Runs<'_>) -> Vec<String> {
    let mut faults = Vec::new();
    let none = Vec::new();
    for asked in asked {
        let runs = runs.get(asked.id.as_str()).unwrap_or(&none);
        let ran: Vec<_> = runs.iter().filter(|(_, seen)| seen.has_run).collect();
        let mut fault = |what: &str| faults.push(format!("{what}: {asked:?}, runs {runs:?}"));
        if ran.len() > usize::from(matches!(asked.route, "r" | "i")) + 1 {
            fault("ran too often");
        }
        let expected = match asked.route {
            "s" | "r" => whole_stream(),
            _ => asked.body.clone(),
        };
        for (_, seen) in runs {
            if seen.has_key() {
                fault("the key reached a server");
            }
            let workspace = matches!(asked.route, "s" | "r").then_some("one");
            if seen.workspace() != workspace {
                fault("wrong workspace");
            }
            if seen.body != asked.body.as_bytes() || seen.path != format!("/{}/1", asked.route) {
                fault("a server got another request");
            }
        }
        let Some(answer) = &asked.answer else {
            continue;
        };
        if answer.id().is_some_and(|id| id != asked.id) {
            fault("answer to another request");
        }
        let status = answer.status.as_u16();
        match status {
            200 => {
                let vouches = |(instance, _): &&(&str, &Seen)| answer.sealed_by() == Some(instance);
                if !ran.iter().any(vouches) {
                    fault("no server that ran it vouches for a success");
                }
                match &answer.body {
                    Ok(body) if *body != expected => fault("not the whole answer"),
                    Err(part) if !expected.starts_with(part.as_str()) => fault("wrong bytes"),
                    _ => {}
                }
            }
            401 | 403 | 404 => fault("denied what is allowed"),
            _ if PROMISES.contains(&status) && !ran.is_empty() && is_once(asked) => {
                fault("said not to have run");
            }
            _ if answer.sealed_by().is_some() && status != 500 => fault("another status"),
            _ => {}
        }
    }
    faults.extend(repeats(asked, runs));
    faults
}

fn is_once(asked: &Asked) -> bool {
    matches!(asked.route, "s" | "w")
}

/// The fleet's repeats against what it may repeat, for each service over the whole run.
fn repeats(asked: &[Asked], runs: &Runs<'_>) -> Option<String> {
    let seconds = 1.0 + span(runs) / 10.0;
    let repeats: usize = runs.values().map(|runs| runs.len() - 1).sum();
    // Two services, each with a burst in every window.
    let allowed = RETRY_RATIO * asked.len() as f64 + 2.0 * RETRY_BURST * seconds.ceil();
    (repeats as f64 > allowed).then(|| format!("{repeats} repeats, {allowed} allowed"))
}

fn span(runs: &Runs<'_>) -> f64 {
    let times = || runs.values().flatten().map(|(_, seen)| seen.at);
    match (times().min(), times().max()) {
        (Some(first), Some(last)) => last.duration_since(first).as_secs_f64(),
        _ => 0.0,
    }
}
