//! What the wire says about a request and an answer, and the functions that translate it.
//!
//! The names on the wire belong to an adapter. It gives the entry host a [`Dialect`], whose
//! functions turn heads into the types of this module and back.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use hyper::HeaderMap;
use hyper::http::request;
use hyper::http::response;
use snafu::Snafu;

use crate::time::Timestamp;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier; requests with the same start of a prompt share the identifiers of its parts.
    pub id: u64,
    /// Length, tokens.
    pub tokens: u32,
}

/// What a request asks of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Length of the whole prompt, tokens.
    pub input_tokens: u32,
    /// Most tokens to be generated.
    pub output_tokens_max: u32,
    /// The caller's estimate of the tokens that will be generated.
    pub output_tokens_hint: Option<u32>,
    /// Parts in order; the last one is the request's own.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Estimate of the tokens that will be generated.
    pub fn output_tokens(&self) -> u32 {
        let hint = self.output_tokens_hint.unwrap_or(self.output_tokens_max);
        hint.min(self.output_tokens_max)
    }

    /// The parts that other requests share.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Identifier of the last part that other requests share: the session of the request.
    pub fn session(&self) -> Option<u64> {
        let part = self.shared_parts().last().or(self.parts.last())?;
        Some(part.id)
    }
}

/// What the head of a request says, apart from its method and path.
#[derive(Clone, Debug)]
pub struct CallHead {
    /// Identifier of this attempt of the caller.
    pub id: CompactString,
    /// Host header, without a port.
    pub host: CompactString,
    /// When the caller stops waiting, if it says so.
    pub deadline: Option<Timestamp>,
    /// Key of the caller's workspace.
    pub key: Option<CompactString>,
    /// Set for requests to models.
    pub prompt: Option<Prompt>,
    /// Last event that the caller received of a stream that broke.
    pub resumes_after: Option<CompactString>,
}

/// Why the head of a request cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum CallHeadError {
    /// A field is not there.
    #[snafu(display("header {name} is missing"))]
    Missing {
        /// The field.
        name: &'static str,
    },
    /// A field cannot be read.
    #[snafu(display("header {name} has the unreadable value {value:?}"))]
    Unreadable {
        /// The field.
        name: &'static str,
        /// Its value.
        value: CompactString,
    },
}

/// What a backend server is told with a request.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    /// The instance that may run it.
    pub instance: &'a str,
    /// Time that is left.
    pub remaining: Duration,
    /// Workspace of the key, if the route needs one.
    pub workspace: Option<&'a str>,
    /// Whether the caller's key is kept from the server.
    pub hides_key: bool,
    /// Last event that the caller has of a stream that is continued.
    pub resumes_after: Option<&'a str>,
}

/// What the head of an answer says, apart from its status.
#[derive(Clone, Debug, Default)]
pub struct ResponseHead {
    /// Identifier of the request that it answers.
    pub id: Option<CompactString>,
    /// The server states that it has not run the request and will not.
    pub not_run: bool,
    /// The server vouches for the answer.
    pub is_sealed: bool,
    /// How long the server keeps an unused connection, if it says so.
    pub idle_timeout: Option<Duration>,
}

/// Functions between heads and types.
#[derive(Clone, Copy)]
pub struct Dialect {
    /// Path of the readiness check.
    pub readiness_path: &'static str,
    /// Reads the head of a request that arrived at a point in time.
    pub read_call: fn(&request::Parts, Timestamp) -> Result<CallHead, CallHeadError>,
    /// Sets the fields of a request that belong to the system, whatever the caller sent there.
    pub write_dispatch: fn(&mut HeaderMap, &Dispatch<'_>),
    /// Reads the head of an answer.
    pub read_response: fn(&response::Parts) -> ResponseHead,
    /// Writes the identifier of a request into an answer of the entry host.
    pub write_call_id: fn(&mut HeaderMap, &str),
    /// Sets how long a caller that is refused had better wait.
    pub write_retry_after: fn(&mut HeaderMap, Duration),
}

/// A backend server as it announces itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// Identifier of its instance.
    pub instance: CompactString,
    /// Its service.
    pub service: CompactString,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: CompactString,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// It is going to leave: nothing new may be sent to it.
    pub is_leaving: bool,
    /// When it will be warm, by the clock of this host.
    pub cold_until: Timestamp,
    /// Unix time of its start, milliseconds; the same instance may start again.
    pub started_at_ms: u64,
}
