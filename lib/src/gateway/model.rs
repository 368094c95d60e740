//! Parses the fields of a model request's JSON body that the gateway needs for scheduling: the
//! model, the token limit and the start of the prompt. The body itself is forwarded unchanged.

use std::borrow::Cow;
use std::fmt;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use serde::de::IgnoredAny;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::error_code::ErrorCode;
use crate::id::WorkspaceId;

/// Assumed bytes of text per token in estimates.
const BYTES_PER_TOKEN: u64 = 4;
/// Generated tokens assumed if a request sets no limit and no average is known.
const COMPLETION_TOKENS_DEFAULT: u64 = 256;
/// Largest estimate for a model request, tokens. Estimates are rough, and a larger one would hold
/// up the workspace's other requests.
const ESTIMATE_MAX_TOKENS: u64 = 32_768;
/// Leading bytes of the first message or prompt that identify its prefix. Requests with the same
/// prefix benefit from a server's prompt cache.
const PREFIX_BYTES: usize = 256;

/// Fields of a model request's JSON body that the gateway reads.
#[derive(Debug, Deserialize)]
pub(crate) struct ModelRequest<'a> {
    /// Name of the model, which is also the name of the service.
    pub(crate) model: CompactString,
    /// Limit on generated tokens, older field name.
    #[serde(default)]
    max_tokens: Option<u64>,
    /// Limit on generated tokens, newer field name. It takes precedence.
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    /// Messages of a conversation. Only the text of the first one is kept.
    #[serde(default, borrow)]
    messages: LeadingText<'a>,
    /// A prompt. Only its first text is kept.
    #[serde(default, borrow)]
    prompt: LeadingText<'a>,
}

impl<'a> ModelRequest<'a> {
    pub(crate) fn parse(body: &'a [u8]) -> Result<Self, ErrorCode> {
        serde_json::from_slice(body).map_err(|_| ErrorCode::MalformedRequest)
    }

    /// Estimated cost, tokens: the prompt, plus the average number of generated tokens of the
    /// workspace's requests, at most the limit in the request.
    pub(crate) fn estimate(&self, prompt_tokens: u64, average: Option<u64>) -> u64 {
        let limit = self.max_completion_tokens.or(self.max_tokens);
        let completion = match (limit, average) {
            (Some(limit), Some(average)) => limit.min(average),
            (Some(known), None) | (None, Some(known)) => known,
            (None, None) => COMPLETION_TOKENS_DEFAULT,
        };
        prompt_tokens
            .saturating_add(completion)
            .clamp(1, ESTIMATE_MAX_TOKENS)
    }

    /// Hash of the prompt's first bytes, zero if there is no text. The workspace is the seed of the
    /// hash, so that equal prompts of two workspaces have different hashes.
    pub(crate) fn prefix(&self, workspace: WorkspaceId) -> u64 {
        let Some(text) = self.messages.0.as_ref().or(self.prompt.0.as_ref()) else {
            return 0;
        };
        let bytes = text.as_bytes();
        let start = &bytes[..bytes.len().min(PREFIX_BYTES)];
        xxh3_64_with_seed(start, u64::from(workspace.0))
    }
}

/// Estimated prompt tokens for a request body.
pub(crate) fn prompt_tokens(body: &[u8]) -> u64 {
    body.len() as u64 / BYTES_PER_TOKEN
}

/// The first text in a JSON value: the value itself if it is a string, or the first text of an
/// array's first element or of an object's field `content` or `text`. Other values have none.
#[derive(Debug, Default)]
struct LeadingText<'a>(Option<Cow<'a, str>>);

impl<'de: 'a, 'a> Deserialize<'de> for LeadingText<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer
            .deserialize_any(LeadingTextVisitor)
            .map(LeadingText)
    }
}

struct LeadingTextVisitor;

impl<'de> Visitor<'de> for LeadingTextVisitor {
    type Value = Option<Cow<'de, str>>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a prompt or messages")
    }

    fn visit_borrowed_str<E: Error>(self, text: &'de str) -> Result<Self::Value, E> {
        Ok(Some(Cow::Borrowed(text)))
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Self::Value, E> {
        Ok(Some(Cow::Owned(text.to_owned())))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let first = seq.next_element::<LeadingText<'de>>()?;
        while seq.next_element::<IgnoredAny>()?.is_some() {}
        Ok(first.and_then(|start| start.0))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut text = None;
        while let Some(name) = map.next_key::<Cow<'de, str>>()? {
            if matches!(name.as_ref(), "content" | "text") {
                text = map.next_value::<LeadingText<'de>>()?.0;
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(text)
    }

    fn visit_unit<E: Error>(self) -> Result<Self::Value, E> {
        Ok(None)
    }

    fn visit_bool<E: Error>(self, _: bool) -> Result<Self::Value, E> {
        Ok(None)
    }

    fn visit_i64<E: Error>(self, _: i64) -> Result<Self::Value, E> {
        Ok(None)
    }

    fn visit_u64<E: Error>(self, _: u64) -> Result<Self::Value, E> {
        Ok(None)
    }

    fn visit_f64<E: Error>(self, _: f64) -> Result<Self::Value, E> {
        Ok(None)
    }
}
