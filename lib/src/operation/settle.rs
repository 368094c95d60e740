//! Protocol by which the holder of a record ends it.

use super::record::FinalState;
use super::record::Nonce;
use super::record::Record;

/// Next thing to do to end a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettleStep {
    /// Replace the record if it still has this version.
    Update {
        /// Version that is replaced.
        version: u64,
        /// The new record.
        record: Record,
    },
    /// Read the record.
    Read,
    /// Nothing is left to do.
    Done(Settled),
}

/// What came of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettleEvent {
    /// The write took effect.
    Written,
    /// The write's condition did not hold.
    Conflict,
    /// There was no answer to the write.
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

/// How the attempt to end a record came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settled {
    /// The record says how the operation ended.
    Stored,
    /// The claim does not hold the record.
    NotHeld,
}

/// The end of one record on its way.
#[derive(Clone, Debug)]
pub struct Settle {
    nonce: Nonce,
    final_state: FinalState,
}

impl Settle {
    /// Starts from the record as its holder knows it.
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

    /// Starts without knowing whether there is a record, after a claim whose store fell silent.
    pub fn start_unknown(nonce: Nonce, final_state: FinalState) -> (Self, SettleStep) {
        let settle = Self { nonce, final_state };
        (settle, SettleStep::Read)
    }

    /// Takes in what came of the latest step and gives the next one.
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
