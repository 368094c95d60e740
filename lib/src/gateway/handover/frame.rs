//! Frames of a link between two hosts: the bytes of many handed-over requests and responses on one connection.
//!
//! A frame is a kind (1 byte), the number of the stream that it belongs to (4 bytes) and the length of the
//! payload (4 bytes), both with the most significant byte first, and the payload. A stream is one request
//! with its response. Only the host that hands over opens streams.

use std::io;

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use tokio_util::codec::Decoder;

/// Length of a frame without its payload, bytes.
const HEADER_BYTES: usize = 9;
/// Longest payload, bytes. It covers what is received of a request before it is handed over.
const PAYLOAD_MAX: usize = 64 << 10;

/// What a frame says of its stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Content {
    /// The stream begins. The payload is the first part of the request.
    Open(Bytes),
    /// The other host has received the beginning of the stream.
    Received,
    /// More bytes of the request or the response.
    Data(Bytes),
    /// That many more bytes may be sent.
    Credit(u32),
    /// No more bytes follow in this direction.
    End,
    /// The stream is given up.
    Reset,
    /// No more streams should be opened on this link. The number of the stream means nothing.
    Leaving,
}

const OPEN: u8 = 1;
const RECEIVED: u8 = 2;
const DATA: u8 = 3;
const CREDIT: u8 = 4;
const END: u8 = 5;
const RESET: u8 = 6;
const LEAVING: u8 = 7;

/// One frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Frame {
    pub(super) stream: u32,
    pub(super) content: Content,
}

impl Frame {
    /// Appends the frame to `buf`.
    pub(super) fn encode(&self, buf: &mut BytesMut) {
        let (kind, payload): (u8, &[u8]) = match &self.content {
            Content::Open(bytes) => (OPEN, bytes),
            Content::Received => (RECEIVED, &[]),
            Content::Data(bytes) => (DATA, bytes),
            Content::Credit(count) => (CREDIT, &count.to_be_bytes()),
            Content::End => (END, &[]),
            Content::Reset => (RESET, &[]),
            Content::Leaving => (LEAVING, &[]),
        };
        buf.reserve(HEADER_BYTES + payload.len());
        buf.put_u8(kind);
        buf.put_u32(self.stream);
        buf.put_u32(u32::try_from(payload.len()).unwrap_or(u32::MAX));
        buf.put_slice(payload);
    }
}

/// Decodes frames.
pub(super) struct FrameDecoder;

impl Decoder for FrameDecoder {
    type Item = Frame;
    type Error = io::Error;

    fn decode(&mut self, buf: &mut BytesMut) -> io::Result<Option<Frame>> {
        let Some(mut header) = buf.get(..HEADER_BYTES) else {
            return Ok(None);
        };
        let (kind, stream, len) = (header.get_u8(), header.get_u32(), header.get_u32());
        let len = usize::try_from(len).unwrap_or(usize::MAX);
        if len > PAYLOAD_MAX {
            return Err(invalid(format!("payload of {len} bytes")));
        }
        if buf.len() < HEADER_BYTES + len {
            buf.reserve(HEADER_BYTES + len - buf.len());
            return Ok(None);
        }
        buf.advance(HEADER_BYTES);
        let payload = buf.split_to(len).freeze();
        let content = match kind {
            OPEN => Content::Open(payload),
            RECEIVED => Content::Received,
            DATA => Content::Data(payload),
            CREDIT => {
                let count = payload[..].try_into().map(u32::from_be_bytes);
                Content::Credit(count.map_err(|_| invalid(format!("credit of {len} bytes")))?)
            }
            END => Content::End,
            RESET => Content::Reset,
            LEAVING => Content::Leaving,
            kind => return Err(invalid(format!("kind {kind}"))),
        };
        Ok(Some(Frame { stream, content }))
    }
}

fn invalid(what: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("invalid frame: {what}"))
}
