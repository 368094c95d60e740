//! Whether an answer is the caller's own and whole.

use cardamomshift_testutils::history::CallOutcome;
use cardamomshift_testutils::token_text;

const CONTENT: &str = "\"content\":\"";
const TEXT: &str = "\"text\":\"";

/// Follows a streamed answer over frames that may end anywhere.
#[derive(Debug)]
pub struct StreamCheck {
    nonce: u64,
    expected: u32,
    line: Vec<u8>,
    tokens: u32,
    done: bool,
    error: bool,
    mismatched: bool,
}

impl StreamCheck {
    /// Starts to follow the answer with `nonce`, which has to have `expected` tokens.
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

    /// Takes in the next frame.
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

    /// Tokens so far.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// How the answer ended, if its connection ended cleanly.
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

fn event_text(event: &str) -> Option<&str> {
    let (_, rest) = event
        .split_once(CONTENT)
        .or_else(|| event.split_once(TEXT))?;
    rest.split_once('"').map(|(token, _)| token)
}

/// Judges a model's answer that came as one JSON value, and counts its tokens.
pub fn check_complete_response(body: &[u8], nonce: u64, expected: u32) -> (CallOutcome, u32) {
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
