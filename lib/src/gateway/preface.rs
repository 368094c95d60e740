//! Choice between HTTP/1.1 and HTTP/2 by the first bytes of a connection.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// What a client of HTTP/2 sends first (RFC 9113, section 3.4).
const HTTP2_PREFACE: &[u8; 24] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Protocol of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Protocol {
    /// HTTP/1.0 or HTTP/1.1.
    Http1,
    /// HTTP/2 with prior knowledge.
    Http2,
}

/// Bytes read from a connection while its protocol was not known.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Start {
    buf: [u8; HTTP2_PREFACE.len()],
    len: usize,
}

impl Start {
    /// Puts the bytes back before the stream that they were read from.
    pub(crate) fn join(self, stream: TcpStream) -> StartedStream {
        StartedStream {
            start: self,
            taken: 0,
            stream,
        }
    }
}

/// Reads until the protocol is certain.
pub(crate) async fn read_preface(stream: &mut TcpStream) -> io::Result<(Protocol, Start)> {
    let mut start = Start::default();
    while start.len < HTTP2_PREFACE.len() {
        let n = stream.read(&mut start.buf[start.len..]).await?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        start.len += n;
        if start.buf[..start.len] != HTTP2_PREFACE[..start.len] {
            return Ok((Protocol::Http1, start));
        }
    }
    Ok((Protocol::Http2, start))
}

/// A stream that gives its first bytes again.
pub(crate) struct StartedStream {
    start: Start,
    taken: usize,
    stream: TcpStream,
}

impl AsyncRead for StartedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.taken == self.start.len {
            return Pin::new(&mut self.stream).poll_read(cx, buf);
        }
        let rest = &self.start.buf[self.taken..self.start.len];
        let n = rest.len().min(buf.remaining());
        buf.put_slice(&rest[..n]);
        self.taken += n;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for StartedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
