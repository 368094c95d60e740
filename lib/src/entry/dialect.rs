//! Types for the heads of requests and responses, and the functions that convert them from and to
//! HTTP headers; also the type for announcements of backend servers.
//!
//! An entry host forwards the requests of callers to backend servers. The servers announce
//! themselves in the object store of the platform, an external system.
//!
//! The names of the headers and the format of announcements depend on the deployment, so an adapter
//! outside this crate defines them. For heads it provides a [`Dialect`], whose functions convert
//! between HTTP headers and the types of this module.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use hyper::HeaderMap;
use hyper::http::request;
use hyper::http::response;
use snafu::Snafu;

use crate::time::Timestamp;

/// A part of a prompt, the unit in which servers cache prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier. Prompts with the same beginning have the same identifiers for the parts of that
    /// beginning. Hosts assume the converse too: a part with the same identifier has the same parts
    /// before it (see [`Prompt::session`]).
    pub id: u64,
    /// Length, tokens.
    pub tokens: u32,
}

/// Size and structure of the prompt of a request to a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Length of the whole prompt, tokens.
    pub input_tokens: u32,
    /// Most tokens that may be generated for the response.
    pub output_tokens_max: u32,
    /// The caller's estimate of the tokens that will be generated, if it sent one.
    pub output_tokens_hint: Option<u32>,
    /// Parts in order. The last one belongs to this request only.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Estimate of the tokens that will be generated: the caller's estimate, or else the maximum.
    pub fn output_tokens(&self) -> u32 {
        let hint = self.output_tokens_hint.unwrap_or(self.output_tokens_max);
        hint.min(self.output_tokens_max)
    }

    /// Tokens of the prompt and the estimated response.
    pub fn work_tokens(&self) -> u64 {
        u64::from(self.input_tokens) + u64::from(self.output_tokens())
    }

    /// The parts that other requests share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Identifiers of the shared parts in hexadecimal, separated by commas, for log lines.
    pub(crate) fn shared_part_list(&self) -> String {
        let ids = self
            .shared_parts()
            .iter()
            .map(|part| format!("{:x}", part.id));
        ids.collect::<Vec<_>>().join(",")
    }

    /// Tokens that no other request shares.
    pub fn own_tokens(&self) -> u32 {
        let shared = self.shared_parts().iter().map(|part| part.tokens);
        let shared = shared.fold(0, u32::saturating_add);
        self.input_tokens.saturating_sub(shared)
    }

    /// Identifier of the session (a series of requests with the same beginning): that of the last
    /// shared part. A prompt with only one part, which no other request shares, is a session of its
    /// own with the identifier of that part. `None` if the prompt has no parts.
    pub fn session(&self) -> Option<u64> {
        let part = self.shared_parts().last().or(self.parts.last())?;
        Some(part.id)
    }
}

/// Contents of the head of a caller's request, apart from its method and path.
#[derive(Clone, Debug)]
pub struct CallHead {
    /// Identifier of the request, chosen by the caller. It is the same at every server to which the
    /// host sends the request.
    pub id: CompactString,
    /// `Host` header, without a port.
    pub host: CompactString,
    /// When the caller times out, if it says so.
    pub deadline: Option<Timestamp>,
    /// API key of the caller's workspace (customer), if the caller sent one.
    pub key: Option<CompactString>,
    /// Prompt of the request, set for requests to models.
    pub prompt: Option<Prompt>,
    /// Identifier of the last event that the caller received, if the request continues an
    /// interrupted stream.
    pub resumes_after: Option<CompactString>,
    /// Identifier of the caller's attempt that brought the first event of that stream, if the caller
    /// names it.
    pub resumes: Option<CompactString>,
}

/// Error in the head of a request.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum CallHeadError {
    /// A required header is missing.
    #[snafu(display("header {name} is missing"))]
    Missing {
        /// Name of the header.
        name: &'static str,
    },
    /// The value of a header is malformed.
    #[snafu(display("header {name} has the unreadable value {value:?}"))]
    Unreadable {
        /// Name of the header.
        name: &'static str,
        /// Value of the header.
        value: CompactString,
    },
}

/// Contents of the head of a request to a backend server that differ from the caller's request.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    /// Identifier of the instance for which the request is meant. Another instance at the same
    /// address rejects the request with status 421.
    pub instance: &'a str,
    /// Time left until the caller or the route times out.
    pub remaining: Duration,
    /// Name of the workspace that holds the caller's key, if the route needs a key.
    pub workspace: Option<&'a str>,
    /// Whether the caller's key is removed from the request: true if the configuration has
    /// workspaces, because the hosts check the keys then.
    pub hides_key: bool,
    /// Identifier of the last event that the caller received, if the server is to continue a
    /// stream.
    pub resumes_after: Option<&'a str>,
}

/// Contents of the head of a server's response, apart from its status.
#[derive(Clone, Debug, Default)]
pub struct ResponseHead {
    /// Identifier of the request to which the server responds.
    pub id: Option<CompactString>,
    /// Whether the server declares that it has not run the request and will not run it.
    pub not_run: bool,
    /// Whether the response has a seal: a header by which the server confirms that the response is
    /// its own. A status code does not show that the server produced the response, so a successful
    /// response without a seal counts as failed. Only the presence of the header is checked, not
    /// its value.
    pub is_sealed: bool,
    /// How long the server keeps an idle connection open, if it says so.
    pub idle_timeout: Option<Duration>,
    /// Whether the server declares that it is about to shut down and must get no more requests.
    pub is_leaving: bool,
    /// The server asks this host to send it nothing for a time. Servers may say so when they turn a
    /// request away with the status 503.
    pub pause: Option<Pause>,
    /// Requests per second that the server takes from all hosts together, if it names a limit.
    pub rate_limit: Option<f64>,
    /// Headers whose values cannot be read.
    pub unreadable: Vec<UnreadableHeader>,
}

/// A server's request that a host sends it nothing for some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pause {
    /// The server wants no requests for this time.
    For(Duration),
    /// The server wants no requests, but the time cannot be read.
    Unreadable,
}

/// A header of a response whose value cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct UnreadableHeader {
    /// Name of the header.
    pub name: &'static str,
    /// Value of the header.
    pub value: CompactString,
}

/// Functions that convert between the HTTP headers of one deployment and the types of this module.
#[derive(Clone, Copy)]
pub struct Dialect {
    /// Path of the host's readiness check.
    pub readiness_path: &'static str,
    /// Parses the head of a request that arrived at the given time.
    pub read_call: fn(&request::Parts, Timestamp) -> Result<CallHead, CallHeadError>,
    /// Sets the headers for the fields of [`Dispatch`] on a request to a server. Headers that only
    /// hosts may set are removed first if the caller sent them.
    pub write_dispatch: fn(&mut HeaderMap, &Dispatch<'_>),
    /// Parses the head of a server's response.
    pub read_response: fn(&response::Parts) -> ResponseHead,
    /// Adds the identifier of the request to a response that the host sends itself.
    pub write_call_id: fn(&mut HeaderMap, &str),
    /// Adds the delay after which the caller may retry to a response that refuses a request.
    pub write_retry_after: fn(&mut HeaderMap, Duration),
}

/// Announcement of a backend server, which the server writes to the platform's object store and
/// renews about once per second.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerAnnouncement {
    /// Identifier of the server's instance.
    pub instance: CompactString,
    /// Name of the server's service.
    pub service: CompactString,
    /// Address at which the server listens.
    pub address: SocketAddr,
    /// Name of the server's failure domain (zone).
    pub domain: CompactString,
    /// Most requests that the server runs at the same time.
    pub slots: u32,
    /// Whether the server is about to shut down and must not get new requests.
    pub is_leaving: bool,
    /// When the server's cold start ends, by the clock of this host. Until then the server can take
    /// only a few requests per second.
    pub cold_until: Timestamp,
    /// Version of the server's software. What two versions write does not fit together in one stream.
    pub version: CompactString,
    /// Unix time at which the server started, milliseconds. An instance keeps its identifier when
    /// it restarts, so a restart shows only in this time.
    pub started_at_ms: u64,
}

impl ServerAnnouncement {
    /// Whether the announcement states the start time. Without it, two runs of an instance cannot be
    /// told apart.
    pub(crate) fn has_start_time(&self) -> bool {
        self.started_at_ms != 0
    }
}
