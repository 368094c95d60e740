//! Bytes that a faulty server puts on a connection beside its answers.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Buf;
use bytes::Bytes;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Extra bytes of one connection.
#[derive(Debug, Default)]
pub(crate) struct Wire {
    extra: Mutex<Extra>,
}

#[derive(Debug, Default)]
struct Extra {
    /// Written before the next byte of an answer.
    before: Bytes,
    /// Written with the next flush, which follows the answer once its body has ended.
    after: Bytes,
}

impl Wire {
    /// Puts bytes before the next answer.
    pub(crate) fn write_before(&self, bytes: &'static [u8]) {
        self.extra.lock().expect("wire").before = Bytes::from_static(bytes);
    }

    /// Puts bytes after what has been written so far, at the next flush.
    pub(crate) fn write_after(&self, bytes: &'static [u8]) {
        self.extra.lock().expect("wire").after = Bytes::from_static(bytes);
    }
}

/// A connection that writes the extra bytes of its [`Wire`].
#[derive(Debug)]
pub(crate) struct WireStream {
    stream: TcpStream,
    wire: Arc<Wire>,
}

impl WireStream {
    pub(crate) fn new(stream: TcpStream, wire: Arc<Wire>) -> Self {
        Self { stream, wire }
    }
}

fn poll_write_all(
    stream: &mut TcpStream,
    bytes: &mut Bytes,
    cx: &mut Context<'_>,
) -> Poll<io::Result<()>> {
    while !bytes.is_empty() {
        let written = ready!(Pin::new(&mut *stream).poll_write(cx, bytes))?;
        bytes.advance(written);
    }
    Poll::Ready(Ok(()))
}

impl AsyncRead for WireStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for WireStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        {
            let mut extra = this.wire.extra.lock().expect("wire");
            ready!(poll_write_all(&mut this.stream, &mut extra.before, cx))?;
        }
        Pin::new(&mut this.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        {
            let mut extra = this.wire.extra.lock().expect("wire");
            ready!(poll_write_all(&mut this.stream, &mut extra.after, cx))?;
        }
        Pin::new(&mut this.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
