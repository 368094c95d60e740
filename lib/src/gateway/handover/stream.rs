//! One handed-over request on a link: passes its bytes on between a connection and the link.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;

use super::frame::Content;
use super::link::LinkEnd;

/// Most bytes that are on the way in one direction of a stream, until some of them were passed on. It bounds
/// what a slow caller makes its host hold.
pub(super) const WINDOW_BYTES: u32 = 64 << 10;
/// Bytes that were passed on and for which credit is sent. Most responses need none.
const CREDIT_BYTES: u32 = WINDOW_BYTES / 2;
/// Most bytes that are read at once.
const READ_BYTES: usize = 4 << 10;

/// One end of a stream. If it is dropped before it is complete, the other host gives the stream up too.
pub(super) struct Stream {
    id: u32,
    link: Arc<LinkEnd>,
    rx: mpsc::UnboundedReceiver<Content>,
    /// Bytes that may still be sent.
    window: u32,
    /// Bytes that were passed on since credit was last sent.
    passed_on: u32,
    has_sent_end: bool,
    is_complete: bool,
}

/// When the passing on of a stream is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Complete {
    /// When the other host has sent all: at the host that hands over.
    Received,
    /// When all was sent to the other host: at the host that serves.
    Sent,
}

impl Stream {
    pub(super) fn new(id: u32, link: Arc<LinkEnd>, rx: mpsc::UnboundedReceiver<Content>) -> Self {
        Self {
            id,
            link,
            rx,
            window: WINDOW_BYTES,
            passed_on: 0,
            has_sent_end: false,
            is_complete: false,
        }
    }

    /// Sends a whole response.
    pub(super) fn respond(mut self, response: Bytes) {
        self.send(Content::Data(response));
        self.send_end();
        self.is_complete = true;
    }

    /// Passes bytes on in both directions until the stream is complete. `on_data` is called before bytes
    /// are written to `write`.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails, or if the link or the other host gives the stream up.
    pub(super) async fn pass(
        &mut self,
        mut read: impl AsyncRead + Unpin,
        mut write: impl AsyncWrite + Unpin,
        complete: Complete,
        mut on_data: impl FnMut(),
    ) -> io::Result<()> {
        let mut buf = BytesMut::new();
        loop {
            let most = READ_BYTES.min(usize::try_from(self.window).unwrap_or(usize::MAX));
            let may_read = most > 0 && !self.has_sent_end;
            let mut limited = (&mut read).take(most as u64);
            tokio::select! {
                content = self.rx.recv() => match content {
                    Some(Content::Data(bytes)) => {
                        on_data();
                        write.write_all(&bytes).await?;
                        self.on_passed_on(bytes.len());
                    }
                    Some(Content::Credit(count)) => self.window = self.window.saturating_add(count),
                    Some(Content::End) => {
                        if complete == Complete::Received {
                            self.is_complete = true;
                            return Ok(());
                        }
                        write.shutdown().await?;
                    }
                    Some(_) => return Err(io::ErrorKind::ConnectionReset.into()),
                    None => return Err(io::ErrorKind::BrokenPipe.into()),
                },
                count = read_some(&mut limited, &mut buf), if may_read => {
                    if count? > 0 {
                        self.send_data(buf.split().freeze());
                        continue;
                    }
                    self.send_end();
                    if complete == Complete::Sent {
                        self.is_complete = true;
                        return Ok(());
                    }
                }
            }
        }
    }

    fn send(&self, content: Content) {
        self.link.send(self.id, content);
    }

    fn send_data(&mut self, bytes: Bytes) {
        let len = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
        self.window = self.window.saturating_sub(len);
        self.send(Content::Data(bytes));
    }

    fn send_end(&mut self) {
        self.has_sent_end = true;
        self.send(Content::End);
    }

    /// Gives the other host credit for bytes that were passed on.
    fn on_passed_on(&mut self, len: usize) {
        self.passed_on += u32::try_from(len).unwrap_or(u32::MAX);
        if self.passed_on >= CREDIT_BYTES {
            let credit = std::mem::take(&mut self.passed_on);
            self.send(Content::Credit(credit));
        }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.link.remove(self.id);
        if !self.is_complete {
            self.send(Content::Reset);
        }
    }
}

/// Reads what has arrived, at most [`READ_BYTES`] at once.
async fn read_some(read: &mut (impl AsyncRead + Unpin), buf: &mut BytesMut) -> io::Result<usize> {
    buf.reserve(READ_BYTES);
    read.read_buf(buf).await
}
