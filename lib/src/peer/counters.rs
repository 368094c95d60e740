//! Counters of all links of a host, the source of its link metrics.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Reason for which a message was dropped, or a message, batch or connection was refused. Either
/// end of a link may be the one that refuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LinkRefusal {
    /// The other end speaks another version of the protocol.
    Version,
    /// The listener is another host than the one dialled, or the caller claims to be this host.
    Identity,
    /// The other end did not prove, or not in time, that it knows the fleet key.
    Key,
    /// A message is larger than a message may be, or a batch has too many messages.
    Size,
    /// A message or batch could not be decoded, or a connection ended with an error: the other end
    /// sent an invalid or too large frame, or too much data before it proved that it knows the
    /// fleet key, the secret that all hosts share.
    Malformed,
    /// The oldest queued message was dropped because the queue to a host was full.
    QueueFull,
    /// A message was dropped because it could not be sent within its lifetime.
    Expired,
    /// A message was addressed to a host that this host keeps no link to.
    UnknownHost,
    /// A connection was refused because too many are open.
    Connections,
}

impl LinkRefusal {
    /// Every reason, in the order of declaration.
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

    /// Name of the reason as the value of a metric label.
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

/// Counters of all links of a host. They start at zero with the process and only rise. The fields
/// of [`LinkCounterSnapshot`] with the same names say what each counts.
#[derive(Debug, Default)]
pub struct LinkCounters {
    pub(crate) bytes_in: AtomicU64,
    pub(crate) bytes_out: AtomicU64,
    pub(crate) messages_in: AtomicU64,
    pub(crate) messages_out: AtomicU64,
    pub(crate) batches_out: AtomicU64,
    pub(crate) connects: AtomicU64,
    pub(crate) reconnects: AtomicU64,
    /// One counter for each [`LinkRefusal`], in the order of declaration.
    refused: [AtomicU64; LinkRefusal::ALL.len()],
}

/// Values of the [`LinkCounters`] at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounterSnapshot {
    /// Bytes received by the sockets, without IP and TCP headers.
    pub bytes_in: u64,
    /// Bytes sent by the sockets, without IP and TCP headers.
    pub bytes_out: u64,
    /// Messages received and decoded.
    pub messages_in: u64,
    /// Messages whose delivery the receiver acknowledged.
    pub messages_out: u64,
    /// Batches whose delivery the receiver acknowledged.
    pub batches_out: u64,
    /// Number of times that an outgoing link was established.
    pub connects: u64,
    /// Number of times that an outgoing link was dialled again after an attempt to establish it had
    /// failed or the link was lost.
    pub reconnects: u64,
}

impl LinkCounters {
    /// Current values. They are read one after another, so they may be of slightly different times.
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

    /// Number of messages, batches and connections that were dropped or refused for `reason`.
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

pub(crate) fn add(counter: &AtomicU64, count: u64) {
    counter.fetch_add(count, Ordering::Relaxed);
}
