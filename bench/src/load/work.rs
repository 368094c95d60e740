//! Random requests of a workspace to the model or to the plain service.

use std::ops::RangeInclusive;

use cardamomshift_testutils::response_nonce;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::fleet::MODEL;
use crate::fleet::PLAIN_SERVICE;

/// Requests of a workspace to the model.
#[derive(Clone, Debug)]
pub struct ModelWork {
    /// Range of the response lengths, tokens.
    pub tokens: RangeInclusive<u32>,
    /// Factor by which the announced length (`max_tokens`) is too large or too small, 1 if it is
    /// exact. Hosts schedule by the announced length.
    pub hint_error: u32,
    /// Share of the requests whose responses are streamed, percent.
    pub streamed_percent: u32,
    /// Number of different prompt prefixes in the workspace. Each request starts with one of them.
    pub prefixes: u32,
}

impl Default for ModelWork {
    fn default() -> Self {
        Self {
            tokens: 40..=160,
            hint_error: 1,
            streamed_percent: 100,
            prefixes: 4,
        }
    }
}

/// Requests of a workspace to the plain service.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainWork {
    /// Whether requests carry an `Idempotency-Key`, which makes a retry safe.
    pub keyed: bool,
    /// How many times a request with a key is retried through another host while its outcome is
    /// unknown.
    pub retries: u32,
}

/// Requests that a workspace sends.
#[derive(Clone, Debug)]
pub enum Work {
    /// Requests to the model.
    Model(ModelWork),
    /// Requests to the plain service, none of which may run twice.
    Plain(PlainWork),
}

/// One request before it is sent.
#[derive(Clone, Debug)]
pub struct Request {
    /// Path and query.
    pub path: String,
    /// JSON body.
    pub body: String,
    /// Name of the operation, unique within the run. The backend server records it, so that a
    /// second run of the operation shows.
    pub operation: String,
    /// Value of `Idempotency-Key`.
    pub key: Option<String>,
    /// Whether the request is for the model rather than the plain service.
    pub is_model: bool,
    /// Whether the response is streamed.
    pub streamed: bool,
    /// Number derived from the prompt that determines the tokens of the response
    /// ([`response_nonce`]), zero for the plain service.
    pub nonce: u64,
    /// Number of tokens that the response must have, zero for the plain service.
    pub tokens: u32,
}

impl Work {
    /// Creates the next request of a workspace. `operation` must be unique within the run.
    pub fn request(&self, workspace: &str, operation: String, rng: &mut StdRng) -> Request {
        match self {
            Self::Model(work) => work.request(workspace, operation, rng),
            Self::Plain(work) => Request {
                path: format!("/services/{PLAIN_SERVICE}/entries"),
                body: format!("{{\"entry\":\"{operation}\"}}"),
                key: work.keyed.then(|| operation.clone()),
                operation,
                is_model: false,
                streamed: false,
                nonce: 0,
                tokens: 0,
            },
        }
    }

    /// How many times a request may be retried while its outcome is unknown.
    pub fn retries(&self) -> u32 {
        match self {
            Self::Model(_) => 0,
            Self::Plain(work) => work.retries,
        }
    }
}

impl ModelWork {
    fn request(&self, workspace: &str, operation: String, rng: &mut StdRng) -> Request {
        let tokens = rng.random_range(self.tokens.clone());
        let streamed = rng.random_range(0..100) < self.streamed_percent;
        let prefix = rng.random_range(0..self.prefixes.max(1));
        let body = serde_json::json!({
            "model": MODEL,
            "messages": [
                {"role": "system", "content": format!("{workspace} rules, part {prefix}")},
                {"role": "user", "content": operation},
            ],
            "stream": streamed,
            "max_tokens": self.length_hint(tokens, rng),
            "x_output_tokens": tokens,
            "user": workspace,
        });
        Request {
            path: "/v1/chat/completions".to_owned(),
            body: body.to_string(),
            nonce: response_nonce(&operation),
            operation,
            key: None,
            is_model: true,
            streamed,
            tokens,
        }
    }

    /// Length that the request announces, wrong by the factor `hint_error` in a random direction.
    fn length_hint(&self, tokens: u32, rng: &mut StdRng) -> u32 {
        let error = self.hint_error.max(1);
        if rng.random_range(0..2) == 0 {
            tokens * error
        } else {
            (tokens / error).max(1)
        }
    }
}
