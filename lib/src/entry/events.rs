//! Splits the bytes of a stream of server-sent events into complete events.
//!
//! If a backend server breaks off a resumable stream, another server can continue it, but only
//! after a complete event. Therefore an incomplete one must not reach the caller.

use bytes::Bytes;
use bytes::BytesMut;
use compact_str::CompactString;

/// End of an event: an empty line (WHATWG HTML, section 9.2.6). Only lines that end with a line
/// feed alone are recognised.
const EVENT_END: &[u8] = b"\n\n";
/// Start of the line that holds an event's identifier.
const ID_FIELD: &[u8] = b"id:";

/// Collects the bytes of a stream until they form complete events.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    /// Bytes of the event whose end has not arrived.
    pending: BytesMut,
    /// Identifier of the last complete event that had one.
    last_id: Option<CompactString>,
}

impl EventBuffer {
    /// Adds received bytes. Returns all events that are complete now, in one buffer, or `None` if
    /// there is none.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.pending.extend_from_slice(bytes);
        let end = find_last(&self.pending, EVENT_END)? + EVENT_END.len();
        let events = self.pending.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        Some(events)
    }

    /// Whether the last event received is incomplete.
    pub(crate) fn is_within_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Drops an incomplete event.
    pub(crate) fn drop_partial(&mut self) {
        self.pending.clear();
    }

    /// Identifier of the last complete event that had one.
    pub(crate) fn last_id(&self) -> Option<&CompactString> {
        self.last_id.as_ref()
    }
}

/// Position of the last occurrence of `pattern`, which must not be empty.
fn find_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).rposition(|w| w == pattern)
}

/// The last identifier in a series of complete events, `None` if there is none or it is not UTF-8.
fn last_id(events: &[u8]) -> Option<CompactString> {
    let line = events
        .split(|b| *b == b'\n')
        .rev()
        .find(|line| line.starts_with(ID_FIELD))?;
    let id = std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?;
    Some(id.trim().into())
}
