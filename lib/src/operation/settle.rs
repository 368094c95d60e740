//! State machine by which the holder of a claim settles its record, that is, writes the final state
//! of the operation.
//!
//! A write without a response is resolved by reading the record: it is repeated only if the record
//! is still pending and held by the same claim.

use super::record::FinalState;
use super::record::Nonce;
use super::record::Record;

/// Next call to the store, or the result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettleStep {
    /// Replace the record if its version has not changed.
    Update {
        /// Expected version of the stored record.
        version: u64,
        /// The new record.
        record: Record,
    },
    /// Read the record.
    Read,
    /// The protocol has ended with this result.
    Done(Settled),
}

/// Result of a step, passed to [`Settle::on_event`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettleEvent {
    /// The write took effect.
    Written,
    /// The record has another version.
    Conflict,
    /// The write got no response: it may have taken effect or may still do so.
    NoResponse,
    /// The record was read.
    Found {
        /// Its version.
        version: u64,
        /// The record.
        record: Record,
    },
    /// There is no record.
    Absent,
    /// The record could not be read.
    Unreadable,
}

/// Result of settling a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settled {
    /// The final state is stored.
    Stored,
    /// There is no record, or this claim does not hold it, so nothing was written.
    NotHeld,
}

/// Settling of one record in progress.
#[derive(Clone, Debug)]
pub struct Settle {
    nonce: Nonce,
    final_state: FinalState,
}

impl Settle {
    /// Starts with the record as the claim wrote it.
    pub fn start(
        nonce: Nonce,
        final_state: FinalState,
        version: u64,
        record: &Record,
    ) -> (Self, SettleStep) {
        let settle = Self { nonce, final_state };
        let step = settle.on_found(version, record);
        (settle, step)
    }

    /// Starts without knowing whether the record exists, after a claim to which the store stopped
    /// responding.
    pub fn start_unknown(nonce: Nonce, final_state: FinalState) -> (Self, SettleStep) {
        let settle = Self { nonce, final_state };
        (settle, SettleStep::Read)
    }

    /// Processes the result of the latest step and returns the next one.
    pub fn on_event(&self, event: SettleEvent) -> SettleStep {
        match event {
            SettleEvent::Written => SettleStep::Done(Settled::Stored),
            SettleEvent::Conflict | SettleEvent::NoResponse | SettleEvent::Unreadable => {
                SettleStep::Read
            }
            SettleEvent::Found { version, record } => self.on_found(version, &record),
            SettleEvent::Absent => SettleStep::Done(Settled::NotHeld),
        }
    }

    fn on_found(&self, version: u64, record: &Record) -> SettleStep {
        if record.is_settled_by(&self.nonce, &self.final_state) {
            return SettleStep::Done(Settled::Stored);
        }
        match record.settled(&self.nonce, self.final_state.clone()) {
            Some(record) => SettleStep::Update { version, record },
            None => SettleStep::Done(Settled::NotHeld),
        }
    }
}
