//! Reading of a model's event stream without parsing its events.

use serde::Deserialize;
use serde::de::IgnoredAny;

/// Longest line that is kept for reading the usage, bytes.
const LINE_MAX: usize = 4096;

/// Token counts at the end of a model's answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub(crate) struct Usage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub(crate) prompt_tokens: u64,
    /// Generated tokens.
    #[serde(default)]
    pub(crate) completion_tokens: u64,
}

impl Usage {
    pub(crate) fn total(self) -> u64 {
        self.prompt_tokens.saturating_add(self.completion_tokens)
    }

    /// Reads the usage out of a JSON answer, if it has one.
    pub(crate) fn parse(json: &[u8]) -> Option<Self> {
        #[derive(Deserialize)]
        struct Answer {
            usage: Option<Usage>,
        }
        serde_json::from_slice::<Answer>(json).ok()?.usage
    }
}

/// Follows a server-sent event stream over frames that may end anywhere.
#[derive(Debug, Default)]
pub(crate) struct StreamScan {
    /// Data lines so far, without the end mark.
    pub(crate) events: u64,
    /// Whether the end mark `data: [DONE]` has arrived.
    pub(crate) done: bool,
    line: Vec<u8>,
    last_event: Vec<u8>,
}

impl StreamScan {
    /// Takes in the next frame and returns the number of data lines that it completed.
    pub(crate) fn feed(&mut self, frame: &[u8]) -> u64 {
        let before = self.events;
        for part in frame.split_inclusive(|b| *b == b'\n') {
            let room = LINE_MAX - self.line.len();
            self.line.extend_from_slice(&part[..part.len().min(room)]);
            if part.ends_with(b"\n") {
                self.end_line();
            }
        }
        self.events - before
    }

    /// Usage in the last event, if the server sent it.
    pub(crate) fn usage(&self) -> Option<Usage> {
        Usage::parse(self.last_event.strip_prefix(b"data:")?)
    }

    fn end_line(&mut self) {
        if let Some(data) = self.line.strip_prefix(b"data:") {
            if data.trim_ascii() == b"[DONE]" {
                self.done = true;
            } else {
                self.events += 1;
                std::mem::swap(&mut self.line, &mut self.last_event);
            }
        }
        self.line.clear();
    }
}

/// Whether a body is a JSON value, without keeping it.
pub(crate) fn is_json(body: &[u8]) -> bool {
    serde_json::from_slice::<IgnoredAny>(body).is_ok()
}
