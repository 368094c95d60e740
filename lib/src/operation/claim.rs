//! Protocol by which a host obtains the right to run an operation.
//!
//! Every write is conditional and carries the claim's nonce, so that repeating it is harmless and
//! a lost answer is resolved by reading the record back.

use super::record::Claimant;
use super::record::KeyStatus;
use super::record::Record;

/// Writes that one claim may send before it gives up.
const WRITES_MAX: u32 = 4;

/// Next thing to do for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Create the record if there is none.
    Create(Record),
    /// Read the record.
    Read,
    /// Replace the record if it still has this version.
    Update {
        /// Version that is replaced.
        version: u64,
        /// The new record.
        record: Record,
    },
    /// The claim is decided.
    Done(ClaimDecision),
}

/// What came of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// The write took effect.
    Written {
        /// Version that it made.
        version: u64,
    },
    /// The write's condition did not hold.
    Conflict,
    /// There was no answer to the write: it may have taken effect, or still will.
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

/// Decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The claimant may run the operation, and nobody else.
    Won {
        /// Version of its record.
        version: u64,
        /// Its record.
        record: Record,
    },
    /// The claimant must not run the operation.
    Lost(KeyStatus),
    /// The store does not answer: the claimant must not run the operation, although the record
    /// may say that it does.
    Unavailable,
}

/// One claim on its way.
#[derive(Clone, Debug)]
pub struct Claim {
    claimant: Claimant,
    writes_left: u32,
}

impl Claim {
    /// Starts a claim and gives its first step.
    pub fn start(claimant: Claimant) -> (Self, ClaimStep) {
        let mut claim = Self {
            claimant,
            writes_left: WRITES_MAX,
        };
        let step = claim.create();
        (claim, step)
    }

    /// Takes in what came of the latest step and gives the next one.
    pub fn on_event(&mut self, event: ClaimEvent) -> ClaimStep {
        match event {
            ClaimEvent::Written { version } => self.won(version),
            ClaimEvent::Conflict | ClaimEvent::NoResponse => ClaimStep::Read,
            ClaimEvent::Found { version, record } => self.on_found(version, &record),
            ClaimEvent::Absent => self.create(),
            ClaimEvent::Unreadable => ClaimStep::Done(ClaimDecision::Unavailable),
        }
    }

    fn on_found(&mut self, version: u64, record: &Record) -> ClaimStep {
        if record.is_held_by(&self.claimant.nonce) {
            return self.won(version);
        }
        match record.reclaimed(&self.claimant) {
            Some(record) => self.write(ClaimStep::Update { version, record }),
            None => ClaimStep::Done(ClaimDecision::Lost(record.key_status(&self.claimant))),
        }
    }

    fn create(&mut self) -> ClaimStep {
        let record = Record::pending(&self.claimant);
        self.write(ClaimStep::Create(record))
    }

    fn write(&mut self, step: ClaimStep) -> ClaimStep {
        if self.writes_left == 0 {
            return ClaimStep::Done(ClaimDecision::Unavailable);
        }
        self.writes_left -= 1;
        step
    }

    fn won(&self, version: u64) -> ClaimStep {
        ClaimStep::Done(ClaimDecision::Won {
            version,
            record: Record::pending(&self.claimant),
        })
    }
}
