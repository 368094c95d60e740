//! The bytes of a caller's requests, which arrive on its own connection or by way of another host.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::DuplexStream;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Reads the requests of a caller and writes their responses.
pub(crate) enum CallerSocket {
    /// The caller's own connection.
    Connection(TcpStream),
    /// One end of a request that another host hands over.
    HandedOver(DuplexStream),
}

impl CallerSocket {
    /// Reads what has arrived, after waiting for it. Room for up to `most` bytes is allocated only then, so that
    /// idle connections have none.
    pub(crate) async fn read_arrived(
        &mut self,
        buf: &mut Vec<u8>,
        most: usize,
    ) -> io::Result<usize> {
        match self {
            Self::Connection(stream) => loop {
                stream.readable().await?;
                buf.reserve(most);
                match stream.try_read_buf(buf) {
                    Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                    read => return read,
                }
            },
            Self::HandedOver(stream) => {
                buf.reserve(most);
                stream.read_buf(buf).await
            }
        }
    }

    /// Discards up to `buf.len()` bytes that have arrived.
    pub(crate) fn discard_arrived(&self, buf: &mut [u8]) {
        // Only the close of a connection with unread bytes resets it.
        if let Self::Connection(stream) = self {
            let _ = stream.try_read(buf);
        }
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match &mut *self {
            Self::Connection(stream) => Pin::new(stream).poll_read(cx, buf),
            Self::HandedOver(stream) => Pin::new(stream).poll_read(cx, buf),
        }
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match &mut *self {
            Self::Connection(stream) => Pin::new(stream).poll_write(cx, buf),
            Self::HandedOver(stream) => Pin::new(stream).poll_write(cx, buf),
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match &mut *self {
            Self::Connection(stream) => Pin::new(stream).poll_write_vectored(cx, bufs),
            Self::HandedOver(stream) => Pin::new(stream).poll_write_vectored(cx, bufs),
        }
    }

    fn is_write_vectored(&self) -> bool {
        match self {
            Self::Connection(stream) => stream.is_write_vectored(),
            Self::HandedOver(stream) => stream.is_write_vectored(),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut *self {
            Self::Connection(stream) => Pin::new(stream).poll_flush(cx),
            Self::HandedOver(stream) => Pin::new(stream).poll_flush(cx),
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut *self {
            Self::Connection(stream) => Pin::new(stream).poll_shutdown(cx),
            Self::HandedOver(stream) => Pin::new(stream).poll_shutdown(cx),
        }
    }
}
