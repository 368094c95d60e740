//! Messages that wait for a link.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::batch::MAX_BATCH_MESSAGES;
use super::codec::encoded_bytes;
use super::counters::LinkCounters;
use super::counters::LinkRefusal;
use crate::message::PeerMessage;

/// Messages that wait for one host at most.
const MAX_QUEUE_MESSAGES: usize = 8192;
/// Bytes that wait for one host at most, as estimated.
const MAX_QUEUE_BYTES: usize = 8 << 20;
/// Time within which a message must be sent: times in it lose their meaning while it waits.
const MESSAGE_LIFETIME: Duration = Duration::from_secs(2);
/// Bytes in a batch at most, as estimated, unless one message alone is larger.
const MAX_BATCH_BYTES: usize = 256 << 10;
/// Bytes in a message at most, as estimated. Holds a configuration of a megabyte.
pub(crate) const MAX_MESSAGE_BYTES: usize = 2 << 20;

struct QueuedMessage {
    deadline: Instant,
    bytes: usize,
    message: PeerMessage,
}

#[derive(Default)]
struct Inner {
    queued: VecDeque<QueuedMessage>,
    bytes: usize,
}

/// Messages that wait for one host, oldest first. When it is full the oldest gives way.
pub(crate) struct Queue {
    inner: RefCell<Inner>,
    arrived: Notify,
    counters: Arc<LinkCounters>,
}

impl Queue {
    pub(crate) fn new(counters: Arc<LinkCounters>) -> Self {
        Self {
            inner: RefCell::default(),
            arrived: Notify::new(),
            counters,
        }
    }

    /// Adds a message, unless it is too large for any batch.
    pub(crate) fn push(&self, message: PeerMessage) {
        let bytes = encoded_bytes(&message);
        if bytes > MAX_MESSAGE_BYTES {
            self.counters.record_refusal(LinkRefusal::Size);
            return;
        }
        let mut inner = self.inner.borrow_mut();
        inner.bytes += bytes;
        inner.queued.push_back(QueuedMessage {
            deadline: Instant::now() + MESSAGE_LIFETIME,
            bytes,
            message,
        });
        while inner.queued.len() > MAX_QUEUE_MESSAGES || inner.bytes > MAX_QUEUE_BYTES {
            inner.pop_oldest();
            self.counters.record_refusal(LinkRefusal::QueueFull);
        }
        self.arrived.notify_one();
    }

    /// Waits until there are messages that may be sent, and takes a batch of them.
    pub(crate) async fn next_batch(&self) -> Vec<PeerMessage> {
        loop {
            let batch = self.take_batch();
            if !batch.is_empty() {
                return batch;
            }
            self.arrived.notified().await;
        }
    }

    fn take_batch(&self) -> Vec<PeerMessage> {
        let now = Instant::now();
        let mut inner = self.inner.borrow_mut();
        let mut batch = Vec::new();
        let mut batch_bytes = 0;
        while let Some(first) = inner.queued.front() {
            if first.deadline <= now {
                inner.pop_oldest();
                self.counters.record_refusal(LinkRefusal::Expired);
                continue;
            }
            let over_bytes = batch_bytes + first.bytes > MAX_BATCH_BYTES;
            if batch.len() == MAX_BATCH_MESSAGES || (over_bytes && !batch.is_empty()) {
                break;
            }
            batch_bytes += first.bytes;
            if let Some(taken) = inner.pop_oldest() {
                batch.push(taken.message);
            }
        }
        batch
    }
}

impl Inner {
    fn pop_oldest(&mut self) -> Option<QueuedMessage> {
        let oldest = self.queued.pop_front()?;
        self.bytes -= oldest.bytes;
        Some(oldest)
    }
}
