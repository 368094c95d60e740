//! Positions in the history of the platform's objects, and the order in which a host may take them.
//!
//! The platform numbers its changes. It can lose its latest changes and continue from an older
//! state; it then gives out the same numbers again, in a new *era*. The objects of a later era
//! replace those of an earlier one, whatever their numbers are.

use serde::Deserialize;
use serde::Serialize;

/// A position in the history of the platform's objects. A later position is greater.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StoreRevision {
    /// Number of times that the platform has continued from an older state.
    pub era: u64,
    /// Number of the last change, unique within the era.
    pub number: u64,
}

/// What a host may do with the objects or changes that it has read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// They continue what the host knows.
    Apply,
    /// They are a complete list of a later era: the platform has gone back to an older state, so
    /// objects that are missing may only be lost.
    ApplyRestored,
    /// They are changes of a later era and cannot be applied to the objects of an earlier one. All
    /// objects must be listed.
    ListAgain,
    /// They are older than what the host has seen and must not be applied.
    Outdated,
}

/// How far a host has followed the objects of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct FollowPosition {
    /// Position of the objects that were applied last.
    applied: Option<StoreRevision>,
    /// Whether the next call must list all objects.
    must_list: bool,
}

impl FollowPosition {
    /// Position after which to ask for changes, `None` if all objects must be listed.
    pub fn watch_after(&self) -> Option<StoreRevision> {
        self.applied.filter(|_| !self.must_list)
    }

    /// Makes the next call list all objects.
    pub fn list_next(&mut self) {
        self.must_list = true;
    }

    /// Decides on a complete list (`is_full`) or on changes up to `revision`, and moves on if they
    /// are to be applied. `latest_era` is the latest era that the host has seen with any kind of
    /// object. `is_direct` states that they come from the platform itself; a list of the platform
    /// is its present state even if its number is lower.
    pub fn accept(
        &mut self,
        latest_era: u64,
        revision: StoreRevision,
        is_full: bool,
        is_direct: bool,
    ) -> Acceptance {
        if revision.era < latest_era {
            return Acceptance::Outdated;
        }
        let acceptance = match self.applied {
            None => Acceptance::Apply,
            Some(applied) if revision.era > applied.era => match is_full {
                true => Acceptance::ApplyRestored,
                false => Acceptance::ListAgain,
            },
            Some(applied) if revision.number < applied.number => match (is_full, is_direct) {
                (true, true) => Acceptance::ApplyRestored,
                (false, true) => Acceptance::ListAgain,
                (_, false) => Acceptance::Outdated,
            },
            Some(_) => Acceptance::Apply,
        };
        match acceptance {
            Acceptance::Apply | Acceptance::ApplyRestored => {
                self.applied = Some(revision);
                self.must_list = false;
            }
            Acceptance::ListAgain => self.must_list = true,
            Acceptance::Outdated => {}
        }
        acceptance
    }
}
