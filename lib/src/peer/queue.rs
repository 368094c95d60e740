//! Queue of the messages to one host, which bounds the memory and the age of messages that wait for
//! the link.

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

/// Largest number of messages in a queue.
const MAX_QUEUE_MESSAGES: usize = 8192;
/// Largest estimated size of all messages in a queue, bytes.
const MAX_QUEUE_BYTES: usize = 8 << 20;
/// Time within which a message must be sent, or else it is dropped. Messages carry remaining times,
/// which become wrong while the message waits.
const MESSAGE_LIFETIME: Duration = Duration::from_secs(2);
/// Largest estimated size of a batch, bytes. A larger message is sent in a batch of its own.
const MAX_BATCH_BYTES: usize = 256 << 10;
/// Largest estimated size of a message, bytes. Leaves room for a configuration, whose document has
/// at most 1 MiB (`configuration::MAX_DOCUMENT_BYTES`).
pub(crate) const MAX_MESSAGE_BYTES: usize = 2 << 20;

struct QueuedMessage {
    /// Time at which the message expires.
    deadline: Instant,
    /// Estimated size.
    bytes: usize,
    message: PeerMessage,
}

#[derive(Default)]
struct Inner {
    queued: VecDeque<QueuedMessage>,
    /// Sum of the estimated sizes of the queued messages.
    bytes: usize,
}

/// First-in, first-out queue of the messages to one host. When it is full, the oldest message is
/// dropped.
pub(crate) struct Queue {
    inner: RefCell<Inner>,
    /// Signalled when a message is added.
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

    /// Adds a message, or drops it if it is larger than [`MAX_MESSAGE_BYTES`]. Drops the oldest
    /// messages if the queue would exceed its limits.
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

    /// Waits until the queue has messages that have not expired, and removes a batch of them.
    pub(crate) async fn next_batch(&self) -> Vec<PeerMessage> {
        loop {
            let batch = self.take_batch();
            if !batch.is_empty() {
                return batch;
            }
            self.arrived.notified().await;
        }
    }

    /// Removes expired messages, and then as many messages as fit into a batch.
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
