//! Injection of raw bytes into a server's side of a connection, past the HTTP library.
//!
//! A fault such as a malformed response needs bytes that the HTTP library would never write. The
//! handler of a request passes them to a [`ByteInjector`], and the connection, an
//! [`InjectingStream`], writes them before the next bytes of the library or at its next flush.

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

/// Bytes to inject into one connection.
#[derive(Debug, Default)]
pub(crate) struct ByteInjector {
    injected: Mutex<InjectedBytes>,
}

#[derive(Debug, Default)]
struct InjectedBytes {
    /// Written before the next bytes that the HTTP library writes.
    before: Bytes,
    /// Written at the next flush, after all bytes written until then.
    after: Bytes,
}

impl ByteInjector {
    /// Injects bytes before the next bytes that the HTTP library writes.
    pub(crate) fn inject_before(&self, bytes: &'static [u8]) {
        self.injected.lock().expect("lock of injected bytes").before = Bytes::from_static(bytes);
    }

    /// Injects bytes at the next flush, after all bytes written until then: after the response if
    /// its body has ended by then, otherwise in the middle of it.
    pub(crate) fn inject_after(&self, bytes: &'static [u8]) {
        self.injected.lock().expect("lock of injected bytes").after = Bytes::from_static(bytes);
    }
}

/// A connection that also writes the bytes of its [`ByteInjector`].
#[derive(Debug)]
pub(crate) struct InjectingStream {
    stream: TcpStream,
    injector: Arc<ByteInjector>,
}

impl InjectingStream {
    pub(crate) fn new(stream: TcpStream, injector: Arc<ByteInjector>) -> Self {
        Self { stream, injector }
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

impl AsyncRead for InjectingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for InjectingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        {
            let mut injected = this
                .injector
                .injected
                .lock()
                .expect("lock of injected bytes");
            ready!(poll_write_all(&mut this.stream, &mut injected.before, cx))?;
        }
        Pin::new(&mut this.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        {
            let mut injected = this
                .injector
                .injected
                .lock()
                .expect("lock of injected bytes");
            ready!(poll_write_all(&mut this.stream, &mut injected.after, cx))?;
        }
        Pin::new(&mut this.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
