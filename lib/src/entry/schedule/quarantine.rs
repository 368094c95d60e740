//! Holds back requests with a part of the prompt that makes engines crash.
//!
//! The load: among ordinary requests come some that share one part of their prompts, at any host and
//! a few a second. An engine (a backend server that runs a model) that begins to answer such a request
//! ends, and all other requests that it runs break off. The other parts of these prompts, and the
//! workspaces that send them, also occur in sound requests, which must not be held back.
//!
//! Only a request that breaks off just as its answer begins is evidence of such a part, since the
//! others on the engine were answered for longer or had not begun. The crash counts against each of
//! its shared parts, and one of them is blamed: one that was never cleared if there is one, of these the
//! one with the most crashes, and of several the last, which the fewest requests share. An answer that
//! goes on clears all parts of its request.
//!
//! From the second crash on, requests with a blamed part are sent one at a time, as trials, provided that
//! different requests have crashed: the parts of a single one that comes again and again are sound, and
//! that request is held back by itself (see `request_quarantine`). If a trial ends its engine too, the part is held back, each time for longer. Hosts tell each other of crashes
//! in their schedule requests and decisions, so that neither another scheduler nor a restarted host has
//! to learn the same by further crashes.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use crate::time::Timestamp;

/// Crashes with a blamed part from which on its requests are sent one at a time.
const TRIAL_CRASHES: usize = 2;
/// Crashes, one of them of a trial, from which on a part is held back.
const HELD_CRASHES: usize = 3;
/// How long a part is held back after the first trial that ended its engine. The time doubles with each
/// further one.
const HOLD_FIRST: Duration = Duration::from_secs(120);
/// Longest time for which a part is held back.
const HOLD_MAX: Duration = Duration::from_secs(3_600);
/// How long a crash counts, and how long a part is remembered as cleared.
const CRASH_RETENTION: Duration = Duration::from_secs(120);
/// How long after a part was held back its requests are still sent as trials only.
const RELAPSE_RETENTION: Duration = Duration::from_secs(1_800);
/// Longest time that others wait for the result of a trial.
const TRIAL_MAX: Duration = Duration::from_secs(5);
/// Retry delay for callers whose request waits for the result of a trial: about the time until an
/// engine begins to answer.
const TRIAL_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Most parts that are kept track of.
const PARTS_MAX: usize = 256;
/// Most crashes that are kept of one part.
const CRASHES_MAX: usize = 8;
/// A crash that counts for less than this is no longer told to other hosts. They may have forgotten it
/// a little earlier and would learn it anew.
const SHARED_REMAINING_MIN: Duration = Duration::from_secs(2);
/// Most crashes that are told to another host in one datagram.
const SHARED_CRASHES_MAX: usize = 16;

/// A run of an engine that ended as it began to answer a request with a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartCrash {
    /// Identifier of the part.
    pub part: u64,
    /// Hash that identifies the run of the engine.
    pub run: u64,
    /// Hash of what the request asked the engine to do, the same for every repeat.
    pub content: u64,
    /// Time since the crash.
    pub age: Duration,
    /// How long the crash still counts.
    pub remaining: Duration,
    /// Whether the part is blamed for the crash, rather than another part of the same prompt.
    pub is_blamed: bool,
    /// Whether the request was a trial.
    pub was_trial: bool,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Clearance {
    /// None of its parts is under suspicion.
    Free,
    /// It may be sent as a trial: no other request with the same parts is in flight.
    Trial,
    /// It must not be sent now.
    HeldBack {
        /// The part under suspicion.
        part: u64,
        /// When the caller may try again.
        retry_after: Duration,
    },
}

/// A change that operators should know of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// A part is held back from now on.
    HeldBack {
        /// Identifier of the part.
        part: u64,
        /// Engines that ended.
        crashes: usize,
        /// When a request with the part may be sent again.
        until: Timestamp,
    },
    /// A part that was under suspicion turned out to be sound.
    Cleared {
        /// Identifier of the part.
        part: u64,
        /// Engines that had ended.
        crashes: usize,
    },
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    run: u64,
    /// Hash of what the request asked the engine to do.
    content: u64,
    /// The same of another request with the part that broke off with it, if there was one.
    other_content: Option<u64>,
    at: Timestamp,
    /// Until when the crash counts. If it ended a trial, the part is held back until then.
    counts_until: Timestamp,
    is_blamed: bool,
    was_trial: bool,
}

impl Crash {
    /// Whether a request broke off in the crash.
    fn is_of(&self, content: u64) -> bool {
        self.content == content || self.other_content == Some(content)
    }
}

/// What is known of one part.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Crashes since the part was last cleared.
    crashes: Vec<Crash>,
    /// When an answer to a request with the part last went on.
    cleared_at: Option<Timestamp>,
    /// Until when other requests wait for the result of a trial.
    trial_until: Timestamp,
}

impl Suspect {
    /// Adds a crash unless it is known, or older than the last answer to a request with the part.
    fn add(&mut self, crash: Crash) {
        if self.cleared_at.is_some_and(|cleared| crash.at <= cleared) {
            return;
        }
        if let Some(known) = self.crashes.iter_mut().find(|c| c.run == crash.run) {
            known.is_blamed |= crash.is_blamed;
            if !known.is_of(crash.content) {
                known.other_content.get_or_insert(crash.content);
            }
            // What is known stays as it is: times that come back from other hosts are a little later
            // each time.
            if crash.was_trial && !known.was_trial {
                known.was_trial = true;
                known.counts_until = crash.counts_until;
            }
            return;
        }
        if self.crashes.len() >= CRASHES_MAX {
            let oldest = self.crashes.iter().position(|c| !c.was_trial);
            self.crashes.remove(oldest.unwrap_or(0));
        }
        self.crashes.push(crash);
    }

    fn failed_trials(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| crash.was_trial)
    }

    fn is_suspected(&self) -> bool {
        let is_blamed = self.crashes.iter().any(|crash| crash.is_blamed);
        self.crashes.len() >= TRIAL_CRASHES && is_blamed && self.has_different_requests()
    }

    /// Whether different requests with the part have crashed engines: none was there each time.
    fn has_different_requests(&self) -> bool {
        let Some(first) = self.crashes.first() else {
            return false;
        };
        let was_always_there = |content| self.crashes.iter().all(|crash| crash.is_of(content));
        !was_always_there(first.content) && !first.other_content.is_some_and(was_always_there)
    }

    /// Until when the part is held back, `None` if it was never since it was last cleared.
    fn held_until(&self) -> Option<Timestamp> {
        let ends = self.failed_trials().map(|crash| crash.counts_until);
        let is_held = self.crashes.len() >= HELD_CRASHES && self.has_different_requests();
        ends.max().filter(|_| is_held)
    }

    /// How long the next failed trial counts.
    fn next_hold(&self) -> Duration {
        let doublings = u32::try_from(self.failed_trials().count()).unwrap_or(u32::MAX);
        let hold = HOLD_FIRST.saturating_mul(2_u32.saturating_pow(doublings));
        hold.min(HOLD_MAX)
    }

    /// Drops the crashes that no longer count. Returns whether the part is worth remembering.
    fn sweep(&mut self, now: Timestamp) -> bool {
        match self.held_until() {
            Some(until) if !(until + RELAPSE_RETENTION).has_passed(now) => {}
            _ => self
                .crashes
                .retain(|crash| !crash.counts_until.has_passed(now)),
        }
        let is_cleared_lately = |at: Timestamp| !(at + CRASH_RETENTION).has_passed(now);
        !self.crashes.is_empty() || self.cleared_at.is_some_and(is_cleared_lately)
    }
}

/// Parts of prompts under which engines have crashed.
#[derive(Clone, Debug, Default)]
pub struct PartQuarantine {
    suspects: HashMap<u64, Suspect>,
    changes: Vec<QuarantineChange>,
}

impl PartQuarantine {
    /// Whether a request with the given shared parts may be sent. One that is sent as a trial has to be
    /// recorded with [`Self::on_trial`].
    pub fn clearance(&self, now: Timestamp, parts: impl Iterator<Item = u64>) -> Clearance {
        if self.suspects.is_empty() {
            return Clearance::Free;
        }
        let mut clearance = Clearance::Free;
        for part in parts {
            let Some(suspect) = self.suspects.get(&part).filter(|s| s.is_suspected()) else {
                continue;
            };
            let held = suspect.held_until().map(|until| until.remaining(now));
            let retry_after = match held {
                Some(left) if !left.is_zero() => left,
                _ if !suspect.trial_until.has_passed(now) => TRIAL_RETRY_AFTER,
                _ => {
                    clearance = Clearance::Trial;
                    continue;
                }
            };
            return Clearance::HeldBack { part, retry_after };
        }
        clearance
    }

    /// Whether requests with one of the parts are held back for long, with the part and the time that
    /// is left. Parts on trial are not: the scheduler that sends the trials decides on them.
    pub fn held_back(
        &self,
        now: Timestamp,
        mut parts: impl Iterator<Item = u64>,
    ) -> Option<(u64, Duration)> {
        parts.find_map(|part| {
            let until = self.suspects.get(&part)?.held_until()?;
            let left = until.remaining(now);
            (!left.is_zero()).then_some((part, left))
        })
    }

    /// Records that a request with suspected parts is sent as a trial, which ends by `give_up_at`.
    pub fn on_trial(&mut self, now: Timestamp, parts: &[u64], give_up_at: Timestamp) {
        for part in parts {
            if let Some(suspect) = self.suspects.get_mut(part).filter(|s| s.is_suspected()) {
                suspect.trial_until = give_up_at.min(now + TRIAL_MAX);
            }
        }
    }

    /// Records that a trial has ended.
    pub fn on_trial_ended(&mut self, parts: &[u64]) {
        for part in parts {
            if let Some(suspect) = self.suspects.get_mut(part) {
                suspect.trial_until = Timestamp::ZERO;
            }
        }
    }

    /// Records that an engine's run ended as it began to answer a request with the given shared parts.
    /// `content` is the hash of what the request asked the engine to do.
    pub fn on_crash(
        &mut self,
        now: Timestamp,
        run: u64,
        content: u64,
        parts: &[u64],
        was_trial: bool,
    ) {
        let crash = Crash {
            run,
            content,
            other_content: None,
            at: now,
            counts_until: now + CRASH_RETENTION,
            is_blamed: false,
            was_trial: false,
        };
        for part in parts {
            self.add(*part, crash);
        }
        let rank = |part: &u64| {
            let suspect = self.suspects.get(part);
            suspect.map(|s| (s.cleared_at.is_none(), s.crashes.len()))
        };
        // Of several equal parts this gives the last.
        let Some(blamed) = parts.iter().copied().max_by_key(rank) else {
            return;
        };
        let hold = self.suspects.get(&blamed).map(Suspect::next_hold);
        let hold = hold.filter(|_| was_trial).unwrap_or(CRASH_RETENTION);
        let blame = Crash {
            counts_until: now + hold,
            is_blamed: true,
            was_trial,
            ..crash
        };
        self.add(blamed, blame);
        self.sweep(now);
    }

    /// Adds a crash to a part, and notes if the part is held back from now on.
    fn add(&mut self, part: u64, crash: Crash) {
        let suspect = self.suspects.entry(part).or_default();
        let held_before = suspect.held_until();
        suspect.add(crash);
        let held = suspect.held_until();
        if let Some(until) = held.filter(|until| Some(*until) > held_before) {
            self.changes.push(QuarantineChange::HeldBack {
                part,
                crashes: suspect.crashes.len(),
                until,
            });
        }
    }

    /// Records that the answer to a request with the given shared parts went on after its beginning.
    pub fn on_answered(&mut self, now: Timestamp, parts: &[u64]) {
        if self.suspects.is_empty() {
            return;
        }
        for part in parts {
            let Some(suspect) = self.suspects.get_mut(part) else {
                continue;
            };
            if suspect.is_suspected() {
                self.changes.push(QuarantineChange::Cleared {
                    part: *part,
                    crashes: suspect.crashes.len(),
                });
            }
            suspect.crashes.clear();
            suspect.trial_until = Timestamp::ZERO;
            suspect.cleared_at = Some(now);
        }
    }

    /// The crashes to tell another host, those with the most suspected parts first.
    pub fn crashes_to_share(&self, now: Timestamp) -> Vec<PartCrash> {
        let mut suspects: Vec<_> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| !suspect.crashes.is_empty())
            .collect();
        suspects.sort_by_key(|(part, suspect)| {
            let newest = suspect.crashes.iter().map(|crash| crash.at).max();
            let rank = (suspect.held_until(), suspect.crashes.len(), newest);
            (Reverse(rank), **part)
        });
        suspects
            .into_iter()
            .flat_map(|(part, suspect)| suspect.crashes.iter().map(move |crash| (*part, crash)))
            .filter(|(_, crash)| crash.counts_until.remaining(now) >= SHARED_REMAINING_MIN)
            .take(SHARED_CRASHES_MAX)
            .map(|(part, crash)| PartCrash {
                part,
                run: crash.run,
                content: crash.content,
                age: now.since(crash.at),
                remaining: crash.counts_until.remaining(now),
                is_blamed: crash.is_blamed,
                was_trial: crash.was_trial,
            })
            .collect()
    }

    /// Adds the crashes of which another host has told.
    pub fn on_shared(&mut self, now: Timestamp, crashes: &[PartCrash]) {
        for shared in crashes {
            if shared.remaining.is_zero() {
                continue;
            }
            let crash = Crash {
                run: shared.run,
                content: shared.content,
                other_content: None,
                at: now - shared.age,
                counts_until: now + shared.remaining.min(HOLD_MAX),
                is_blamed: shared.is_blamed,
                was_trial: shared.was_trial,
            };
            self.add(shared.part, crash);
        }
        if !crashes.is_empty() {
            self.sweep(now);
        }
    }

    /// Changes since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Forgets what no longer counts, and the parts with the fewest crashes if there are too many.
    pub fn sweep(&mut self, now: Timestamp) {
        self.suspects.retain(|_, suspect| suspect.sweep(now));
        while self.suspects.len() > PARTS_MAX {
            let rank = |(part, suspect): (&u64, &Suspect)| (suspect.crashes.len(), *part);
            let Some((_, part)) = self.suspects.iter().map(rank).min() else {
                return;
            };
            self.suspects.remove(&part);
        }
    }
}
