//! A caller's request as the gateway takes it in.

use std::time::Duration;

use axum::body::Body;
use axum::http::HeaderMap;
use axum::http::Method;
use axum::http::uri::PathAndQuery;
use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::BodyExt;
use http_body_util::Limited;
use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::access::Caller;
use super::code::Code;
use super::run_mark::RunMark;
use crate::control::RequestSpec;
use crate::host::ServiceKind;
use crate::id::WorkspaceId;
use crate::time::Timestamp;

/// Bytes of text that stand for one token in estimates.
const BYTES_PER_TOKEN: u64 = 4;
/// Generated tokens assumed if a request names no bound.
const COMPLETION_TOKENS_DEFAULT: u64 = 256;
/// Largest estimate of a model request, tokens. Hints are rough and must not block a workspace.
const ESTIMATE_MAX_TOKENS: u64 = 32_768;
/// Server time assumed for a request to a plain service, microseconds.
const PLAIN_ESTIMATE_US: u64 = 5_000;
/// Bytes of a prompt that decide which server's cache it fits.
const PREFIX_BYTES: usize = 512;

/// A request on its way to a backend server.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) id: CompactString,
    pub(crate) caller: Caller,
    pub(crate) kind: ServiceKind,
    pub(crate) method: Method,
    pub(crate) target: PathAndQuery,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) spec: RequestSpec,
    pub(crate) prompt_tokens: u64,
    pub(crate) arrived: Timestamp,
    /// Whether a backend server may have run it.
    pub(crate) mark: RunMark,
}

impl Call {
    /// Whether running the request twice does no harm (RFC 9110, section 9.2.1).
    pub(crate) fn is_safe(&self) -> bool {
        self.method.is_safe()
    }
}

/// The part of a model request that the gateway reads.
#[derive(Debug, Deserialize)]
pub(crate) struct ModelRequest {
    /// Name of the model, which is the service.
    pub(crate) model: CompactString,
    /// Bound on generated tokens, older name.
    #[serde(default)]
    max_tokens: Option<u64>,
    /// Bound on generated tokens, newer name.
    #[serde(default)]
    max_completion_tokens: Option<u64>,
}

impl ModelRequest {
    pub(crate) fn parse(body: &[u8]) -> Result<Self, Code> {
        serde_json::from_slice(body).map_err(|_| Code::MalformedRequest)
    }

    /// Estimated cost, tokens.
    pub(crate) fn estimate(&self, prompt_tokens: u64) -> u64 {
        let completion = self
            .max_completion_tokens
            .or(self.max_tokens)
            .unwrap_or(COMPLETION_TOKENS_DEFAULT);
        prompt_tokens
            .saturating_add(completion)
            .clamp(1, ESTIMATE_MAX_TOKENS)
    }
}

/// Tokens that a prompt of this body is likely to have.
pub(crate) fn prompt_tokens(body: &[u8]) -> u64 {
    body.len() as u64 / BYTES_PER_TOKEN
}

/// Estimated cost of a request to a plain service, microseconds of server time.
pub(crate) const fn plain_estimate() -> u64 {
    PLAIN_ESTIMATE_US
}

/// Hash of the first part of the prompt. Workspaces never share a hash.
pub(crate) fn prefix_hash(workspace: WorkspaceId, body: &[u8]) -> u64 {
    let start = [b"\"messages\"".as_slice(), b"\"prompt\""]
        .iter()
        .find_map(|name| find(body, name))
        .unwrap_or(0);
    let prompt = &body[start..];
    let prefix = &prompt[..prompt.len().min(PREFIX_BYTES)];
    xxh3_64_with_seed(prefix, u64::from(workspace.0))
}

/// Reads a body within the limits on its size and its time.
pub(crate) async fn read_body(
    body: Body,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, Code> {
    let limited = Limited::new(body, max_bytes);
    match tokio::time::timeout(timeout, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(Code::BodyTooLarge),
        Ok(Err(_)) => Err(Code::MalformedRequest),
        Err(_) => Err(Code::BodyTimeout),
    }
}

fn find(text: &[u8], word: &[u8]) -> Option<usize> {
    text.windows(word.len()).position(|part| part == word)
}
