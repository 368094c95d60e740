//! Checks that a model response is complete and belongs to the request.
//!
//! Each token that a test engine generates is a function of the request's nonce (a number derived
//! from its prompt) and the token's index ([`token_text`]). A token with another text shows that
//! the response, or a part of it, belongs to another request or is out of order.

use cardamomshift_testutils::history::CallOutcome;
use cardamomshift_testutils::token_text;

/// Start of the token text in an event of a chat response.
const CONTENT: &str = "\"content\":\"";
/// Start of the token text in an event of a text completion.
const TEXT: &str = "\"text\":\"";

/// Checks a streamed response (server-sent events) frame by frame. A frame may end within an event.
#[derive(Debug)]
pub struct StreamCheck {
    nonce: u64,
    /// Number of tokens that the response must have.
    expected: u32,
    /// Start of a line whose end has not arrived yet.
    line: Vec<u8>,
    tokens: u32,
    /// Whether the end marker `[DONE]` has arrived.
    done: bool,
    /// Whether an error event has arrived.
    error: bool,
    /// Whether a token had a wrong text or came after the end marker.
    mismatched: bool,
}

impl StreamCheck {
    /// Creates a check for the response to the request with `nonce`, which must have `expected`
    /// tokens.
    pub fn new(nonce: u64, expected: u32) -> Self {
        Self {
            nonce,
            expected,
            line: Vec::new(),
            tokens: 0,
            done: false,
            error: false,
            mismatched: false,
        }
    }

    /// Checks the next frame.
    pub fn feed(&mut self, frame: &[u8]) {
        for part in frame.split_inclusive(|byte| *byte == b'\n') {
            self.line.extend_from_slice(part);
            if part.ends_with(b"\n") {
                let line = std::mem::take(&mut self.line);
                self.end_line(line.trim_ascii());
            }
        }
    }

    fn end_line(&mut self, line: &[u8]) {
        if line.starts_with(b"event: error") {
            self.error = true;
        }
        let Some(data) = line.strip_prefix(b"data: ") else {
            return;
        };
        if data == b"[DONE]" {
            self.done = true;
            return;
        }
        let Some(token) = std::str::from_utf8(data).ok().and_then(event_text) else {
            return;
        };
        if token.is_empty() {
            return;
        }
        if self.done || token != token_text(self.nonce, self.tokens) {
            self.mismatched = true;
        }
        self.tokens += 1;
    }

    /// Number of tokens received so far.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Outcome of the call, provided that the connection did not fail.
    pub fn outcome(&self) -> CallOutcome {
        if self.error {
            return CallOutcome::Broken;
        }
        if self.mismatched {
            return CallOutcome::Mismatched;
        }
        if self.done && self.tokens == self.expected {
            return CallOutcome::Complete;
        }
        CallOutcome::Partial
    }
}

/// Text of the token in an event. Searching for the field is enough, since token texts need no JSON
/// escapes.
fn event_text(event: &str) -> Option<&str> {
    let (_, rest) = event
        .split_once(CONTENT)
        .or_else(|| event.split_once(TEXT))?;
    rest.split_once('"').map(|(token, _)| token)
}

/// Checks a model response that was sent as one JSON value, and counts its tokens.
pub fn check_json_response(body: &[u8], nonce: u64, expected: u32) -> (CallOutcome, u32) {
    let Ok(value) = serde_json::from_slice::<serde_json::Value>(body) else {
        return (CallOutcome::Partial, 0);
    };
    let choice = &value["choices"][0];
    let text = choice["message"]["content"]
        .as_str()
        .or_else(|| choice["text"].as_str())
        .unwrap_or_default();
    let tokens = text.split_inclusive(' ').count() as u32;
    let matches = text
        .split_inclusive(' ')
        .zip(0..)
        .all(|(token, index)| token == token_text(nonce, index));
    let outcome = match (matches, tokens == expected) {
        (false, _) => CallOutcome::Mismatched,
        (true, false) => CallOutcome::Partial,
        (true, true) => CallOutcome::Complete,
    };
    (outcome, tokens)
}
