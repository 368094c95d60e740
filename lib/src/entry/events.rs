//! Whole events of a stream, cut out of the bytes in which they arrive.

use bytes::Bytes;
use bytes::BytesMut;
use compact_str::CompactString;

/// End of an event (WHATWG HTML, section 9.2.6).
const EVENT_END: &[u8] = b"\n\n";
/// Start of the line with an event's identifier.
const ID_FIELD: &[u8] = b"id:";

/// Collects the bytes of a stream and gives them back in whole events.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    pending: BytesMut,
    last_id: Option<CompactString>,
}

impl EventBuffer {
    /// Takes in bytes and gives the whole events that they complete, if any.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.pending.extend_from_slice(bytes);
        let end = find_last(&self.pending, EVENT_END)? + EVENT_END.len();
        let events = self.pending.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        Some(events)
    }

    /// Whether bytes of an event have arrived whose end is missing.
    pub(crate) fn is_within_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Drops the bytes of the event whose end is missing.
    pub(crate) fn drop_partial(&mut self) {
        self.pending.clear();
    }

    /// Identifier of the last whole event.
    pub(crate) fn last_id(&self) -> Option<&CompactString> {
        self.last_id.as_ref()
    }
}

fn find_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).rposition(|w| w == pattern)
}

/// The last identifier in a series of whole events.
fn last_id(events: &[u8]) -> Option<CompactString> {
    let line = events
        .split(|b| *b == b'\n')
        .rev()
        .find(|line| line.starts_with(ID_FIELD))?;
    let id = std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?;
    Some(id.trim().into())
}
