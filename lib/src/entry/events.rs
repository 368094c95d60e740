//! Finds the ends of events in the bytes of a stream of server-sent events.
//!
//! If a backend server breaks off a resumable stream, another server can continue it, but only
//! after a complete event. Therefore an incomplete one must not reach the caller. A stream may end
//! with its connection; whether it is complete then shows only in whether its last event is.

use bytes::Bytes;
use bytes::BytesMut;
use compact_str::CompactString;
use hyper::header::HeaderValue;

/// Start of the line that holds an event's identifier.
const ID_FIELD: &[u8] = b"id:";

/// Follows the events of a stream without keeping their bytes. An event ends with an empty line, and
/// lines end with a line feed, a carriage return or both (WHATWG HTML, section 9.2.6).
#[derive(Debug)]
pub(crate) struct EventTracker {
    /// Whether lines have arrived that belong to an event whose end has not.
    is_within_event: bool,
    is_line_empty: bool,
    /// Whether the last byte was a carriage return, so that a line feed belongs to the same line end.
    is_after_return: bool,
    /// Bytes since the end of the last event.
    pending_bytes: usize,
}

impl Default for EventTracker {
    fn default() -> Self {
        Self {
            is_within_event: false,
            is_line_empty: true,
            is_after_return: false,
            pending_bytes: 0,
        }
    }
}

impl EventTracker {
    /// Adds received bytes. Returns how many of them belong to events that are complete now, `None` if
    /// no event ends in them.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut complete = None;
        for (at, byte) in bytes.iter().enumerate() {
            self.pending_bytes += 1;
            let continues_line_end = self.is_after_return && *byte == b'\n';
            self.is_after_return = *byte == b'\r';
            if continues_line_end {
                // The return ended an event, and the line feed belongs to it.
                if self.pending_bytes == 1 {
                    self.pending_bytes = 0;
                    complete = Some(at + 1);
                }
                continue;
            }
            let is_line_end = matches!(byte, b'\r' | b'\n');
            if is_line_end && self.is_line_empty && self.is_within_event {
                self.is_within_event = false;
                self.pending_bytes = 0;
                complete = Some(at + 1);
            }
            self.is_within_event |= !is_line_end;
            self.is_line_empty = is_line_end;
        }
        complete
    }

    /// Bytes since the end of the last event.
    pub(crate) fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }

    /// Whether the last event received is incomplete.
    pub(crate) fn is_within_event(&self) -> bool {
        self.is_within_event
    }
}

/// Collects the bytes of a stream until they form complete events.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    /// Bytes of the event whose end has not arrived.
    pending: BytesMut,
    /// Identifier of the last complete event that had one, `None` if no stream can go on after it.
    last_id: Option<CompactString>,
}

impl EventBuffer {
    /// Adds received bytes, of which the first `complete` belong to events that are complete now (see
    /// [`EventTracker::push`]). Returns these events in one buffer, or `None` if there are none.
    pub(crate) fn push(&mut self, bytes: &[u8], complete: Option<usize>) -> Option<Bytes> {
        let (complete, pending) = bytes.split_at(complete.unwrap_or(0));
        if complete.is_empty() {
            self.pending.extend_from_slice(pending);
            return None;
        }
        self.pending.extend_from_slice(complete);
        let events = self.pending.split().freeze();
        self.pending.extend_from_slice(pending);
        if let Some(value) = last_id_value(&events) {
            self.last_id = read_id(value);
        }
        Some(events)
    }

    /// Bytes of the event whose end has not arrived.
    pub(crate) fn partial_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Drops an incomplete event.
    pub(crate) fn drop_partial(&mut self) {
        self.pending.clear();
    }

    /// Identifier of the last complete event that had one, `None` if no stream can go on after it.
    pub(crate) fn last_id(&self) -> Option<&CompactString> {
        self.last_id.as_ref()
    }
}

/// The value of the last identifier in a series of complete events, `None` if there is none.
fn last_id_value(events: &[u8]) -> Option<&[u8]> {
    let mut lines = events.split(|b| matches!(b, b'\r' | b'\n')).rev();
    lines.find_map(|line| line.strip_prefix(ID_FIELD))
}

/// Reads an identifier, `None` if a header cannot name it to a server.
fn read_id(value: &[u8]) -> Option<CompactString> {
    let id = std::str::from_utf8(value).ok()?.trim();
    let can_be_named = !id.is_empty() && HeaderValue::from_str(id).is_ok();
    can_be_named.then(|| id.into())
}
