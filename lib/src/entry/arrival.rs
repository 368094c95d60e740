//! Decides on new connections of callers while this host is behind its work, by the request that has
//! arrived on each.
//!
//! The load is a workspace (customer) that floods one small entry host: its callers open thousands of
//! connections a second there, while the other hosts have processor time left. The time of the flooded
//! host is divided: each workspace may have as many connections accepted as any other one, and what one
//! does not use the others get. The requests to models that are accepted are handed over to other hosts
//! of the failure domain, which costs this host less than to serve them.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::http::HeaderMap;
use axum::http::HeaderName;
use axum::http::HeaderValue;
use axum::http::Method;
use axum::http::Request;
use axum::http::Uri;
use axum::http::header;
use axum::http::request::Parts;
use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64;

use super::admission::Admitted;
use super::dialect::CallHead;
use super::dialect::Prompt;
use super::host::EntryHost;
use super::lag::Lag;
use crate::gateway::ConnectionDecision;
use crate::gateway::EndGuard;
use crate::gateway::Handover;
use crate::time::Timestamp;

/// Most headers of a request that is read before its connection is accepted.
const HEADERS_MAX: usize = 64;

/// How long after its deadline a request that was handed over may get the other host's response, which
/// counts the time from the arrival there.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// A request that has arrived on a new connection.
struct Arrival {
    head: CallHead,
    admitted: Admitted,
}

/// Decides on a request that another host hands over, of which `received` has arrived. Returns the value of the
/// `Retry-After` header if it is to be refused.
pub(crate) fn refuse_handed_over(host: &Arc<EntryHost>, received: &[u8]) -> Option<HeaderValue> {
    if !Lag::is_behind(host.lag.current(host.clock.now())) {
        return None;
    }
    match decide_on(host, received, true) {
        ConnectionDecision::Refuse(retry_after) => Some(retry_after),
        ConnectionDecision::Serve | ConnectionDecision::HandOver(_) => None,
    }
}

/// Decides on a connection from the address `from`, on which `received` has arrived.
pub(crate) fn decide(host: &Arc<EntryHost>, from: IpAddr, received: &[u8]) -> ConnectionDecision {
    // Hosts of earlier versions hand each request over on a connection of its own.
    decide_on(host, received, host.link.is_peer(from))
}

/// Decides on a request of which `received` has arrived. One that was handed over before goes no further.
fn decide_on(host: &Arc<EntryHost>, received: &[u8], was_handed_over: bool) -> ConnectionDecision {
    let now = host.clock.now();
    // The lag is also measured while all requests are handed over.
    host.lag.on_request();
    let late = host.lag.current(now);
    let Some(arrival) = read_arrival(host, now, received) else {
        return decide_unread(host, now);
    };
    let (refused_fraction, wait) = {
        let lag = host.lag.lag();
        (lag.refused_fraction(late), lag.retry_after(now))
    };
    let Arrival { head, admitted } = arrival;
    {
        let mut fleet = host.fleet();
        if fleet.refuses_for_share(&admitted, refused_fraction) {
            fleet.on_refused_connection(&admitted, head.prompt.as_ref());
            host.link.on_refused_by_host();
            return ConnectionDecision::Refuse(retry_after(host, wait));
        }
    }
    let Some(prompt) = &head.prompt else {
        host.fleet().on_arrived(&admitted, None);
        return ConnectionDecision::Serve;
    };
    // A stream that continues is bound to what this host knows of it.
    if head.resumes_after.is_some() || was_handed_over {
        return ConnectionDecision::Serve;
    }
    match hand_over(host, now, &head, &admitted, prompt) {
        Some(handover) => {
            host.fleet().on_arrived(&admitted, Some(prompt));
            host.stats.handovers.inc();
            ConnectionDecision::HandOver(handover)
        }
        None => ConnectionDecision::Serve,
    }
}

/// Decides on a connection whose request has not arrived or cannot be read: a part is refused.
fn decide_unread(host: &EntryHost, now: Timestamp) -> ConnectionDecision {
    match host.lag.on_connection(now) {
        Some(wait) => {
            host.lag.on_refused_unread();
            ConnectionDecision::Refuse(retry_after(host, wait))
        }
        None => ConnectionDecision::Serve,
    }
}

fn retry_after(host: &EntryHost, wait: Duration) -> HeaderValue {
    let mut headers = HeaderMap::new();
    (host.dialect.write_retry_after)(&mut headers, wait);
    let value = headers.remove(header::RETRY_AFTER);
    value.unwrap_or(HeaderValue::from_static("1"))
}

/// Reads the head of a request and admits it. `None` if it is incomplete or not admitted. Its caller gets
/// the reason if the connection is served.
fn read_arrival(host: &EntryHost, now: Timestamp, received: &[u8]) -> Option<Arrival> {
    let parts = read_parts(received)?;
    let head = (host.dialect.read_call)(&parts, now).ok()?;
    let admitted = host.fleet().admit(now, &head, parts.uri.path()).ok()?;
    Some(Arrival { head, admitted })
}

/// Parses the head of an HTTP/1 request. `None` if it is incomplete or malformed. The values share one copy of
/// the head, since a flooded host parses thousands a second.
fn read_parts(received: &[u8]) -> Option<Parts> {
    let head = Bytes::copy_from_slice(&received[..head_len(received)?]);
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut req = httparse::Request::new(&mut headers);
    if !req.parse(&head).ok()?.is_complete() {
        return None;
    }
    let path = head.slice_ref(req.path?.as_bytes());
    let mut parts = Request::new(()).into_parts().0;
    parts.method = Method::from_bytes(req.method?.as_bytes()).ok()?;
    parts.uri = Uri::from_maybe_shared(path).ok()?;
    parts.headers.reserve(req.headers.len());
    for header in req.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_maybe_shared(head.slice_ref(header.value)).ok()?;
        parts.headers.append(name, value);
    }
    Some(parts)
}

/// Length of a head with the empty line that ends it, `None` if that has not arrived. Lines may end without a
/// carriage return, and empty lines may precede the request line (RFC 9112, sections 2.2 and 3).
fn head_len(received: &[u8]) -> Option<usize> {
    let start = received
        .iter()
        .position(|byte| !matches!(byte, b'\r' | b'\n'))?;
    let mut line_start = start;
    for (at, byte) in received.iter().enumerate().skip(start) {
        if *byte != b'\n' {
            continue;
        }
        if matches!(received[line_start..at], [] | [b'\r']) {
            return Some(at + 1);
        }
        line_start = at + 1;
    }
    None
}

/// Chooses a host to hand a request over to. `None` if no host is known that could take it, or no
/// connection may be opened.
fn hand_over(
    host: &Arc<EntryHost>,
    now: Timestamp,
    head: &CallHead,
    admitted: &Admitted,
    prompt: &Prompt,
) -> Option<Handover> {
    let permit = host.pool.reserve()?;
    // Requests with the same beginning of the prompt go to the same host, which remembers the engine
    // that has it cached.
    let subject = prompt.session();
    let subject = subject.unwrap_or_else(|| xxh3_64(head.id.as_bytes()));
    let helper = host.link.choose_helper(now, subject)?;
    let ended_host = host.clone();
    let on_end = EndGuard::new(move |outcome| {
        drop(permit);
        let now = ended_host.clock.now();
        ended_host.link.on_handover_ended(now, helper.peer, outcome);
    });
    Some(Handover {
        to: helper.peer,
        links: host.handover_links.clone(),
        deadline: host.clock.instant(admitted.give_up_at + RESPONSE_MARGIN),
        on_end,
    })
}
