//! State machine by which a host claims an operation (a request with an idempotency key), which
//! gives it the sole right to run the operation.
//!
//! Every write is conditional and carries the claim's nonce (a random number), so that a write can
//! be repeated safely, and a write without a response is resolved by reading the record.

use super::record::Claimant;
use super::record::KeyStatus;
use super::record::Record;

/// Maximum number of writes per claim, after which it is reported as unavailable.
const WRITES_MAX: u32 = 4;

/// Next call to the store, or the decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Create the record if it does not exist.
    Create(Record),
    /// Read the record.
    Read,
    /// Replace the record if its version has not changed.
    Update {
        /// Expected version of the stored record.
        version: u64,
        /// The new record.
        record: Record,
    },
    /// The claim has ended with this decision.
    Done(ClaimDecision),
}

/// Result of a step, passed to [`Claim::on_event`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// The write took effect.
    Written {
        /// Version of the written record.
        version: u64,
    },
    /// The record exists already, or has another version.
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

/// Decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The claimant, and no other, may run the operation.
    Won {
        /// Version of its record.
        version: u64,
        /// Its record.
        record: Record,
    },
    /// The claimant must not run the operation, because of this status of its key.
    Lost(KeyStatus),
    /// The store does not respond. The claimant must not run the operation, although a delayed
    /// write may still store its claim.
    Unavailable,
}

/// A claim in progress.
#[derive(Clone, Debug)]
pub struct Claim {
    claimant: Claimant,
    writes_left: u32,
}

impl Claim {
    /// Starts a claim and returns its first step.
    pub fn start(claimant: Claimant) -> (Self, ClaimStep) {
        let mut claim = Self {
            claimant,
            writes_left: WRITES_MAX,
        };
        let step = claim.create();
        (claim, step)
    }

    /// Processes the result of the latest step and returns the next one.
    pub fn on_event(&mut self, event: ClaimEvent) -> ClaimStep {
        match event {
            ClaimEvent::Written { version } => self.won(version),
            ClaimEvent::Conflict | ClaimEvent::NoResponse => ClaimStep::Read,
            ClaimEvent::Found { version, record } => self.on_found(version, &record),
            // The write has not taken effect, at least not yet, so it is repeated.
            ClaimEvent::Absent => self.create(),
            ClaimEvent::Unreadable => ClaimStep::Done(ClaimDecision::Unavailable),
        }
    }

    fn on_found(&mut self, version: u64, record: &Record) -> ClaimStep {
        // An earlier write without a response has taken effect.
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

    /// Returns a writing step, or gives up once [`WRITES_MAX`] is reached.
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
