//! Parsing of a completion request as far as the engine needs it.

use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use serde::Deserialize;

use super::response::response_nonce;
use crate::server::header;

/// Output tokens of a request that sets neither `x_output_tokens` nor `max_tokens`.
const DEFAULT_OUTPUT_TOKENS: u32 = 16;
/// Bytes of the prompt that count as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Characters at the start of a prompt that identify its prefix in the cache, if the first message
/// is not a system message.
const PREFIX_CHARACTERS: usize = 64;

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    role: String,
    #[serde(default)]
    content: String,
}

#[derive(Debug, Deserialize)]
struct RequestBody {
    #[serde(default)]
    model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    x_output_tokens: Option<u32>,
    #[serde(default)]
    user: Option<String>,
}

/// A completion request: the prompt for which the engine generates tokens, and its options.
#[derive(Clone, Debug)]
pub(super) struct Completion {
    pub(super) request_id: Option<String>,
    pub(super) tag: String,
    pub(super) model: String,
    pub(super) chat: bool,
    pub(super) stream: bool,
    /// Hash of the prompt, which the response repeats.
    pub(super) nonce: u64,
    /// Hash of the prompt prefix, which identifies it in the cache.
    pub(super) prefix: u64,
    pub(super) prompt_tokens: u32,
    pub(super) output_tokens: u32,
}

impl Completion {
    pub(super) async fn read(req: Request<Incoming>) -> Result<Self, String> {
        let request_id = header(&req, "x-request-id");
        let tag = header(&req, "x-test-tag");
        let chat = req.uri().path().ends_with("/chat/completions");
        let body = req.into_body().collect().await.map_err(|e| e.to_string())?;
        let body: RequestBody =
            serde_json::from_slice(&body.to_bytes()).map_err(|e| e.to_string())?;
        let prompt = match body.messages.last() {
            Some(message) => &message.content,
            None => &body.prompt,
        };
        let prefix = body
            .messages
            .first()
            .filter(|message| message.role == "system")
            .map_or_else(
                || prompt.chars().take(PREFIX_CHARACTERS).collect(),
                |message| message.content.clone(),
            );
        let bytes = prompt.len() + body.messages.first().map_or(0, |m| m.content.len());
        let prompt_tokens = (bytes / BYTES_PER_TOKEN).max(1);
        Ok(Self {
            request_id,
            tag: tag.or(body.user).unwrap_or_default(),
            model: body.model,
            chat,
            stream: body.stream,
            nonce: response_nonce(prompt),
            prefix: response_nonce(&prefix),
            prompt_tokens: u32::try_from(prompt_tokens).unwrap_or(u32::MAX),
            output_tokens: body
                .x_output_tokens
                .or(body.max_tokens)
                .unwrap_or(DEFAULT_OUTPUT_TOKENS)
                .max(1),
        })
    }
}
