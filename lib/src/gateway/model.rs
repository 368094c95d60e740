//! The part of a model request that the gateway reads.

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

/// Bytes of text that stand for one token in estimates.
const BYTES_PER_TOKEN: u64 = 4;
/// Generated tokens assumed if a request names no bound.
const COMPLETION_TOKENS_DEFAULT: u64 = 256;
/// Largest estimate of a model request, tokens. Hints are rough and must not block a workspace.
const ESTIMATE_MAX_TOKENS: u64 = 32_768;
/// Bytes of the first message or prompt that decide which server's cache it fits.
const PREFIX_BYTES: usize = 256;

/// The part of a model request that the gateway reads.
#[derive(Debug, Deserialize)]
pub(crate) struct ModelRequest<'a> {
    /// Name of the model, which is the service.
    pub(crate) model: CompactString,
    /// Bound on generated tokens, older name.
    #[serde(default)]
    max_tokens: Option<u64>,
    /// Bound on generated tokens, newer name.
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    /// Messages of a conversation, of which only the start of the first one is kept.
    #[serde(default, borrow)]
    messages: LeadingText<'a>,
    /// A prompt, of which only the start is kept.
    #[serde(default, borrow)]
    prompt: LeadingText<'a>,
}

impl<'a> ModelRequest<'a> {
    pub(crate) fn parse(body: &'a [u8]) -> Result<Self, ErrorCode> {
        serde_json::from_slice(body).map_err(|_| ErrorCode::MalformedRequest)
    }

    /// Estimated cost, tokens: the prompt, and as many generated tokens as the workspace's
    /// requests have had on average, within the bound that the request names.
    pub(crate) fn estimate(&self, prompt_tokens: u64, average: Option<u64>) -> u64 {
        let bound = self.max_completion_tokens.or(self.max_tokens);
        let completion = match (bound, average) {
            (Some(bound), Some(average)) => bound.min(average),
            (Some(known), None) | (None, Some(known)) => known,
            (None, None) => COMPLETION_TOKENS_DEFAULT,
        };
        prompt_tokens
            .saturating_add(completion)
            .clamp(1, ESTIMATE_MAX_TOKENS)
    }

    /// Hash of the start of the prompt, zero for none. Workspaces never share a hash.
    pub(crate) fn prefix(&self, workspace: WorkspaceId) -> u64 {
        let Some(text) = self.messages.0.as_ref().or(self.prompt.0.as_ref()) else {
            return 0;
        };
        let bytes = text.as_bytes();
        let start = &bytes[..bytes.len().min(PREFIX_BYTES)];
        xxh3_64_with_seed(start, u64::from(workspace.0))
    }
}

/// Tokens that a prompt of this body is likely to have.
pub(crate) fn prompt_tokens(body: &[u8]) -> u64 {
    body.len() as u64 / BYTES_PER_TOKEN
}

/// The first text in a value: the value itself, or the first text in its first element or in the
/// field `content` or `text` of an object. Other values have none.
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
