//! The small deployment of the cases: one host of the pages' example, in front of workers of one service.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use crate::http::Connection;
use crate::http::Head;

/// Name of the only service.
pub const SERVICE: &str = "service";
/// Time for which a host has to run without disruption to be in touch, `stable-ms`.
pub const STABLE: Duration = Duration::from_millis(3_000);

/// The only route, at `/a/`.
pub struct Route {
    pub kind: &'static str,
    pub is_resumable: bool,
    pub timeout_ms: u32,
    pub max_attempts: u32,
    /// `max-connections` of the service.
    pub channels: u32,
}

impl Route {
    /// The configuration with this route and `tenants` tenants, whose keys are `key-0`, `key-1` and so on.
    pub fn config(&self, tenants: usize) -> String {
        let Self {
            kind,
            is_resumable,
            timeout_ms,
            max_attempts,
            channels,
        } = self;
        let tenants: Vec<_> = (0..tenants)
            .map(|n| format!("{{\"name\":\"t{n}\",\"api-keys\":[\"key-{n}\"],\"priority\":1}}"))
            .collect();
        format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"route\",\"host\":\"liga.example\",\
             \"path-prefix\":\"/a/\",\"type\":\"{kind}\",\"timeout-ms\":{timeout_ms},\
             \"latency-target-ms\":600,\"priority\":1,\"service\":\"{SERVICE}\",\
             \"max-attempts\":{max_attempts},\"anonymous\":false,\"sticky\":false,\
             \"resumable\":{is_resumable},\"inter-token-ms\":600}}],\
             \"services\":[{{\"name\":\"{SERVICE}\",\"health-path\":\"/healthz\",\
             \"max-connections\":{channels},\"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":0.0,\
             \"cold-per-s\":0.0}}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
             \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000,\"tokens-per-s\":230000}},\
             \"tenants\":[{}]}}",
            tenants.join(",")
        )
    }
}

/// A request of a tenant.
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub tenant: usize,
    /// The client's attempt.
    pub id: u64,
    pub deadline_ms: u32,
    /// Length of the body that is announced.
    pub body_len: usize,
    /// Whether the client wants the channel closed after the answer.
    pub closes: bool,
}

impl Request<'_> {
    pub fn head(&self) -> String {
        let Self {
            method,
            path,
            tenant,
            id,
            deadline_ms,
            body_len,
            closes,
        } = self;
        let close = if *closes { "Connection: close\r\n" } else { "" };
        format!(
            "{method} {path} HTTP/1.1\r\nHost: liga.example\r\nAttempt-Id: {id:016x}\r\n\
             Deadline-Ms: {deadline_ms}\r\nAuthorization: Token key-{tenant}\r\n{close}\
             Content-Length: {body_len}\r\n\r\n"
        )
    }
}

/// Sends a request with its body on a new channel and reads the answer. Returns its head, `None` if there is no
/// complete answer within the deadline.
pub fn ask(to: SocketAddr, request: &Request<'_>) -> Option<Head> {
    let exchange = || -> io::Result<Head> {
        let mut connection = Connection::connect(to)?;
        let deadline = Duration::from_millis(request.deadline_ms.into());
        connection.stream().set_read_timeout(Some(deadline))?;
        let body = "b".repeat(request.body_len);
        connection.write((request.head() + &body).as_bytes())?;
        let head = connection.read_head()?;
        let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        connection.read_body(&head, true)?;
        Ok(head)
    };
    exchange().ok()
}

/// The time after which a client comes back: what it is told, at most a third of the time that it has.
pub fn told_wait(head: Option<&Head>, deadline_ms: u32) -> Duration {
    let told = head.and_then(|head| head.get("retry-after")?.parse().ok());
    let most = Duration::from_millis(deadline_ms.into()) / 3;
    told.map_or(Duration::ZERO, Duration::from_secs_f64)
        .min(most)
}
