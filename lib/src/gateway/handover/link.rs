//! One end of a link: a connection between two hosts that carries many handed-over requests at once.
//!
//! A host that gets more requests than it has processor time for hands over hundreds a second. With one
//! connection for all of them it opens and closes none for each, and one read takes what has arrived for many.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use futures::StreamExt;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use tokio_util::codec::FramedRead;

use super::frame::Content;
use super::frame::Frame;
use super::frame::FrameDecoder;
use super::stream::Stream;

/// Size up to which frames are collected for one write, bytes.
const WRITE_BYTES: usize = 64 << 10;
/// Initial size of the read buffer, bytes.
const READ_BYTES: usize = 16 << 10;
/// Time within which the other host confirms a new stream. It is longer than a host that is behind its work
/// needs.
const RECEIPT_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which overdue confirmations are looked for.
const CHECK_PERIOD: Duration = Duration::from_millis(200);
/// Number of these intervals without a stream after which the host that opens streams closes the link. The
/// other one might close it just when a stream is being opened.
const IDLE_CHECKS_MAX: u32 = 25;

/// State of one end of a link, shared between the task of the link and its streams.
pub(super) struct LinkEnd {
    frames: mpsc::UnboundedSender<Frame>,
    streams: Mutex<Streams>,
}

#[derive(Default)]
struct Streams {
    open: HashMap<u32, mpsc::UnboundedSender<Content>>,
    last_opened: u32,
    /// Streams that the other host has not confirmed, and when that is overdue. The oldest one is first.
    unconfirmed: VecDeque<(u32, Instant)>,
    /// Whether no more streams are to be opened here.
    is_closed: bool,
    /// Whether that is because the other host leaves or did not confirm a stream in time.
    is_given_up: bool,
}

/// A link before its task runs.
pub(super) struct NewLink {
    pub(super) end: Arc<LinkEnd>,
    to_send: mpsc::UnboundedReceiver<Frame>,
}

impl NewLink {
    pub(super) fn new() -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        Self {
            end: Arc::new(LinkEnd {
                frames: tx,
                streams: Mutex::default(),
            }),
            to_send: rx,
        }
    }

    /// Sends and receives frames until the connection or the link ends. `on_open` is called with each stream
    /// that the other host opens, and its first bytes.
    pub(super) async fn run<T>(self, io: T, on_open: impl FnMut(Stream, Bytes))
    where
        T: AsyncRead + AsyncWrite,
    {
        let (read, write) = tokio::io::split(io);
        let Self { end, to_send } = self;
        tokio::select! {
            () = receive(&end, read, on_open) => {}
            _ = send(write, to_send) => {}
        }
        end.close_all();
    }
}

/// Sends frames, those that wait together.
async fn send(
    mut write: impl AsyncWrite + Unpin,
    mut to_send: mpsc::UnboundedReceiver<Frame>,
) -> io::Result<()> {
    let mut buf = BytesMut::new();
    while let Some(frame) = to_send.recv().await {
        frame.encode(&mut buf);
        while buf.len() < WRITE_BYTES
            && let Ok(frame) = to_send.try_recv()
        {
            frame.encode(&mut buf);
        }
        write.write_all(&buf).await?;
        write.flush().await?;
        buf.clear();
    }
    Ok(())
}

/// Receives frames until the connection ends or no stream was open for a while. If the other host does not confirm a
/// stream in time, no more are opened.
async fn receive(
    end: &Arc<LinkEnd>,
    read: impl AsyncRead + Unpin,
    mut on_open: impl FnMut(Stream, Bytes),
) {
    let mut frames = FramedRead::with_capacity(read, FrameDecoder, READ_BYTES);
    let mut checks = tokio::time::interval(CHECK_PERIOD);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut idle_checks = 0;
    loop {
        let frame = tokio::select! {
            // Biased, so that what has arrived while this host was stopped counts before the time that passed.
            biased;
            frame = frames.next() => frame,
            _ = checks.tick() => {
                idle_checks = if end.is_idle() { idle_checks + 1 } else { 0 };
                if idle_checks > IDLE_CHECKS_MAX && end.has_opened() {
                    return;
                }
                if end.is_overdue(Instant::now()) {
                    end.give_up();
                }
                continue;
            }
        };
        let Some(Ok(Frame { stream, content })) = frame else {
            return;
        };
        match content {
            Content::Open(first) => {
                end.send(stream, Content::Received);
                on_open(end.accept(stream), first);
            }
            Content::Leaving => end.give_up(),
            Content::Received => end.on_confirmed(stream),
            content => end.pass_on(stream, content),
        }
    }
}

impl LinkEnd {
    fn streams(&self) -> MutexGuard<'_, Streams> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether no more streams can be opened.
    pub(super) fn is_closed(&self) -> bool {
        self.streams().is_closed
    }

    /// Whether the other host leaves, or did not confirm a stream in time.
    pub(super) fn was_given_up(&self) -> bool {
        self.streams().is_given_up
    }

    /// Opens a stream with the first bytes of a request. `None` if the link is closed; nothing was sent then.
    pub(super) fn open(self: &Arc<Self>, first: Bytes) -> Option<Stream> {
        let (tx, rx) = mpsc::unbounded_channel();
        let id = {
            let mut streams = self.streams();
            if streams.is_closed {
                return None;
            }
            streams.last_opened = streams.last_opened.wrapping_add(1);
            let id = streams.last_opened;
            streams.open.insert(id, tx);
            let due = Instant::now() + RECEIPT_TIMEOUT;
            streams.unconfirmed.push_back((id, due));
            id
        };
        self.send(id, Content::Open(first));
        Some(Stream::new(id, self.clone(), rx))
    }

    /// Adds a stream that the other host has opened.
    fn accept(self: &Arc<Self>, id: u32) -> Stream {
        let (tx, rx) = mpsc::unbounded_channel();
        self.streams().open.insert(id, tx);
        Stream::new(id, self.clone(), rx)
    }

    /// Queues a frame. It is dropped if the link has ended, which its streams notice by their channels.
    pub(super) fn send(&self, stream: u32, content: Content) {
        let _ = self.frames.send(Frame { stream, content });
    }

    /// Tells the other host to open no more streams.
    pub(super) fn leave(&self) {
        self.send(0, Content::Leaving);
    }

    fn on_confirmed(&self, stream: u32) {
        let mut streams = self.streams();
        if let Some(at) = streams.unconfirmed.iter().position(|(id, _)| *id == stream) {
            streams.unconfirmed.drain(..=at);
        }
    }

    fn is_overdue(&self, now: Instant) -> bool {
        let streams = self.streams();
        let first = streams.unconfirmed.front();
        first.is_some_and(|(_, due)| *due <= now)
    }

    /// Whether this host has opened streams on the link.
    fn has_opened(&self) -> bool {
        self.streams().last_opened > 0
    }

    fn is_idle(&self) -> bool {
        self.streams().open.is_empty()
    }

    /// Passes content on to its stream, which may have ended here.
    fn pass_on(&self, stream: u32, content: Content) {
        let streams = self.streams();
        if let Some(tx) = streams.open.get(&stream) {
            // Fails only while the stream is being dropped.
            let _ = tx.send(content);
        }
    }

    /// Opens no more streams. Those that are open go on.
    fn give_up(&self) {
        let mut streams = self.streams();
        streams.is_closed = true;
        streams.is_given_up = true;
    }

    /// Ends all streams.
    fn close_all(&self) {
        let mut streams = self.streams();
        streams.is_closed = true;
        streams.open.clear();
    }

    /// Removes a stream that has ended here.
    pub(super) fn remove(&self, stream: u32) {
        self.streams().open.remove(&stream);
    }
}
