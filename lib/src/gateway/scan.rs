//! Counts the events of a model's stream and reads its token usage without parsing each event: only
//! the last event before the end marker is parsed. Also checks that a complete response is JSON.

use serde::Deserialize;
use serde::de::IgnoredAny;

/// Longest line kept for reading the token usage, bytes. The rest of a longer line is dropped.
const LINE_MAX: usize = 4096;

/// Token counts in the field `usage` of a model's response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub(crate) struct Usage {
    /// Tokens of the prompt, as counted by the server.
    #[serde(default)]
    pub(crate) prompt_tokens: u64,
    /// Generated tokens, as counted by the server.
    #[serde(default)]
    pub(crate) completion_tokens: u64,
}

impl Usage {
    pub(crate) fn total(self) -> u64 {
        self.prompt_tokens.saturating_add(self.completion_tokens)
    }

    /// Reads the token usage from a JSON response or event, if it has one.
    pub(crate) fn parse(json: &[u8]) -> Option<Self> {
        #[derive(Deserialize)]
        struct UsageField {
            usage: Option<Usage>,
        }
        serde_json::from_slice::<UsageField>(json).ok()?.usage
    }
}

/// Incremental scanner for server-sent events, whose lines may be split across frames.
#[derive(Debug, Default)]
pub(crate) struct StreamScan {
    /// Number of `data:` lines so far, without the end marker. Stands for the number of generated
    /// tokens if the stream reports no usage.
    pub(crate) events: u64,
    /// Whether the end marker `data: [DONE]` has arrived.
    pub(crate) done: bool,
    /// The current line so far, at most [`LINE_MAX`] bytes.
    line: Vec<u8>,
    /// The latest complete `data:` line.
    last_event: Vec<u8>,
}

impl StreamScan {
    /// Scans the next frame and returns the number of `data:` lines that it completed.
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

    /// Returns the token usage in the last event, if it has one. Usage in earlier events is
    /// ignored.
    pub(crate) fn usage(&self) -> Option<Usage> {
        Usage::parse(self.last_event.strip_prefix(b"data:")?)
    }

    /// Processes a complete line.
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

/// Whether a body is valid JSON.
pub(crate) fn is_json(body: &[u8]) -> bool {
    serde_json::from_slice::<IgnoredAny>(body).is_ok()
}
