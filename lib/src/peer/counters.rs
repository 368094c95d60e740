//! Counters of the links.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Why something was not sent or not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LinkRefusal {
    /// The other end speaks another version of the protocol.
    Version,
    /// The other end is not the host that was dialled, or names this host.
    Identity,
    /// The other end does not know the key of the fleet.
    Key,
    /// A message or batch exceeds its limit.
    Size,
    /// A message could not be read, or a connection sent what is no frame, too large a frame, or
    /// too much before the proof.
    Malformed,
    /// The oldest message gave way because the queue to a host was full.
    QueueFull,
    /// A message was not sent within its lifetime.
    Expired,
    /// There is no link to the host.
    UnknownHost,
    /// Too many connections are open.
    Connections,
}

impl LinkRefusal {
    /// Every kind, in the order of the counters.
    pub const ALL: [Self; 9] = [
        Self::Version,
        Self::Identity,
        Self::Key,
        Self::Size,
        Self::Malformed,
        Self::QueueFull,
        Self::Expired,
        Self::UnknownHost,
        Self::Connections,
    ];

    /// Name for a metric's label.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Version => "version",
            Self::Identity => "identity",
            Self::Key => "key",
            Self::Size => "size",
            Self::Malformed => "malformed",
            Self::QueueFull => "queue_full",
            Self::Expired => "expired",
            Self::UnknownHost => "unknown_host",
            Self::Connections => "connections",
        }
    }
}

/// Counters of all links of a host. They only rise.
#[derive(Debug, Default)]
pub struct LinkCounters {
    pub(crate) bytes_in: AtomicU64,
    pub(crate) bytes_out: AtomicU64,
    pub(crate) messages_in: AtomicU64,
    pub(crate) messages_out: AtomicU64,
    pub(crate) batches_out: AtomicU64,
    pub(crate) connects: AtomicU64,
    pub(crate) reconnects: AtomicU64,
    refused: [AtomicU64; LinkRefusal::ALL.len()],
}

/// One reading of the counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounterSnapshot {
    /// Bytes received by the sockets, without IP and TCP headers.
    pub bytes_in: u64,
    /// Bytes sent by the sockets, without IP and TCP headers.
    pub bytes_out: u64,
    /// Messages taken in.
    pub messages_in: u64,
    /// Messages whose delivery was acknowledged.
    pub messages_out: u64,
    /// Batches whose delivery was acknowledged.
    pub batches_out: u64,
    /// Outgoing links that were established.
    pub connects: u64,
    /// Outgoing links that were tried again after a failure or a loss.
    pub reconnects: u64,
}

impl LinkCounters {
    /// Reads the counters.
    pub fn snapshot(&self) -> LinkCounterSnapshot {
        LinkCounterSnapshot {
            bytes_in: self.bytes_in.load(Ordering::Relaxed),
            bytes_out: self.bytes_out.load(Ordering::Relaxed),
            messages_in: self.messages_in.load(Ordering::Relaxed),
            messages_out: self.messages_out.load(Ordering::Relaxed),
            batches_out: self.batches_out.load(Ordering::Relaxed),
            connects: self.connects.load(Ordering::Relaxed),
            reconnects: self.reconnects.load(Ordering::Relaxed),
        }
    }

    /// Messages or connections refused for one reason.
    pub fn refused(&self, reason: LinkRefusal) -> u64 {
        self.refused[reason as usize].load(Ordering::Relaxed)
    }

    pub(crate) fn record_refusal(&self, reason: LinkRefusal) {
        self.record_refusals(reason, 1);
    }

    pub(crate) fn record_refusals(&self, reason: LinkRefusal, count: u64) {
        add(&self.refused[reason as usize], count);
    }
}

/// Adds to a counter.
pub(crate) fn add(counter: &AtomicU64, count: u64) {
    counter.fetch_add(count, Ordering::Relaxed);
}
