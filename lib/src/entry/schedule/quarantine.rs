//! Holds back requests with a part of the prompt that makes engines crash.
//!
//! The load: among ordinary requests come some that share one part of their prompts, at any host and
//! a few a second. An engine (a backend server that runs a model) that begins to answer such a request
//! ends, and all other requests that it runs are lost with it. The other parts of these prompts, and the
//! workspaces that send them, also occur in sound requests, which must not be held back.
//!
//! How an end shows differs: connections close before the head of a response, after it or after some
//! events, at once or after a time of silence. So each request that a run of an engine took with it is a
//! candidate, with its parts. One that sound requests share is soon answered elsewhere, which clears it.
//! Of the others, the fewest that explain all crashes are blamed, one after the other: those that were
//! never answered before those that were, of these the one that explains the most crashes, and a single
//! request before its parts.
//!
//! From the second crash on, requests with a blamed part are sent one at a time, as trials. If a trial
//! ends its engine too, the part is held back, each time for longer. A single request that comes again
//! and again is held back by itself (see `crashing`), and its parts stay free. Hosts tell each
//! other of crashes in their schedule requests and decisions, so that neither another scheduler nor a
//! restarted host has to learn the same by further crashes.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::HashSet;
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
/// How long a crash counts, and how long a part is remembered as sound.
const CRASH_RETENTION: Duration = Duration::from_secs(120);
/// How long after a part was held back its requests are still sent as trials only.
const RELAPSE_RETENTION: Duration = Duration::from_secs(1_800);
/// Longest time that others wait for the result of a trial.
const TRIAL_MAX: Duration = Duration::from_secs(5);
/// Retry delay for callers whose request waits for the result of a trial: about the time until an
/// engine begins to answer.
const TRIAL_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Most parts and requests that are kept track of.
const CANDIDATES_MAX: usize = 512;
/// Most parts that are remembered as sound.
const SOUND_PARTS_MAX: usize = 4_096;
/// Most crashes that are kept of one part or request.
const CRASHES_MAX: usize = 8;
/// A crash that counts for less than this is no longer told to other hosts. They may have forgotten it
/// a little earlier and would learn it anew.
const SHARED_REMAINING_MIN: Duration = Duration::from_secs(2);
/// Crashes of parts that are not blamed are told to other hosts for this long. Until then those who lose
/// requests in the same crash have noticed.
const SHARED_AGE_MAX: Duration = Duration::from_secs(10);
/// Most crashes that are told to another host in one datagram.
const SHARED_CRASHES_MAX: usize = 16;

/// A run of an engine that took a request with a part with it as it ended.
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
    /// Whether the part is the most suspect one of its prompt.
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

/// What may have ended a run of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Candidate {
    /// A part of prompts, by its identifier.
    Part(u64),
    /// A single request, by the hash of what it asked the engine to do.
    Request(u64),
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    run: u64,
    /// Hash of what a request asked the engine to do; of several, of the one with the most crashes.
    content: u64,
    at: Timestamp,
    /// Until when the crash counts. If it ended a trial, the part is held back until then.
    counts_until: Timestamp,
    is_blamed: bool,
    was_trial: bool,
}

/// What is known of one candidate.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Crashes since the part was last answered, one for each run.
    crashes: Vec<Crash>,
    /// Until when other requests wait for the result of a trial.
    trial_until: Timestamp,
}

impl Suspect {
    /// Adds a crash, or what is new of a known one. Returns whether anything is new.
    fn add(&mut self, crash: Crash) -> bool {
        if let Some(known) = self.crashes.iter_mut().find(|c| c.run == crash.run) {
            let is_news =
                crash.is_blamed && !known.is_blamed || crash.was_trial && !known.was_trial;
            known.is_blamed |= crash.is_blamed;
            // What is known stays as it is: times that come back from other hosts are a little later
            // each time.
            if crash.was_trial && !known.was_trial {
                known.was_trial = true;
                known.counts_until = crash.counts_until;
            }
            return is_news;
        }
        if self.crashes.len() >= CRASHES_MAX {
            let oldest = self.crashes.iter().position(|c| !c.was_trial);
            self.crashes.remove(oldest.unwrap_or(0));
        }
        self.crashes.push(crash);
        true
    }

    /// How long the next failed trial counts.
    fn next_hold(&self) -> Duration {
        let failed = self.crashes.iter().filter(|crash| crash.was_trial);
        let doublings = u32::try_from(failed.count()).unwrap_or(u32::MAX);
        let hold = HOLD_FIRST.saturating_mul(2_u32.saturating_pow(doublings));
        hold.min(HOLD_MAX)
    }

    /// Number of crashes that no other candidate explains so far.
    fn count(&self, unexplained: &HashSet<u64>) -> usize {
        let crashes = self.crashes.iter();
        crashes
            .filter(|crash| unexplained.contains(&crash.run))
            .count()
    }

    fn newest(&self) -> Option<Timestamp> {
        self.crashes.iter().map(|crash| crash.at).max()
    }
}

/// What a blamed part is blamed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Blame {
    /// Engines that ended, at least [`TRIAL_CRASHES`].
    crashes: usize,
    /// Until when the part is held back, `None` if it never was since it was last answered.
    held_until: Option<Timestamp>,
}

/// Parts of prompts under which engines have crashed.
#[derive(Clone, Debug, Default)]
pub struct PartQuarantine {
    suspects: HashMap<Candidate, Suspect>,
    /// When a request with a part was last answered.
    sound: HashMap<u64, Timestamp>,
    /// The parts that explain the crashes.
    blamed: HashMap<u64, Blame>,
    changes: Vec<QuarantineChange>,
}

impl PartQuarantine {
    /// Whether a request with the given shared parts may be sent. One that is sent as a trial has to be
    /// recorded with [`Self::on_trial`].
    pub fn clearance(&self, now: Timestamp, parts: impl Iterator<Item = u64>) -> Clearance {
        if self.blamed.is_empty() {
            return Clearance::Free;
        }
        let mut clearance = Clearance::Free;
        for part in parts {
            let Some(blame) = self.blamed.get(&part) else {
                continue;
            };
            let suspect = self.suspects.get(&Candidate::Part(part));
            let trial_until = suspect.map_or(Timestamp::ZERO, |suspect| suspect.trial_until);
            let held = blame.held_until.map(|until| until.remaining(now));
            let retry_after = match held {
                Some(left) if !left.is_zero() => left,
                _ if !trial_until.has_passed(now) => TRIAL_RETRY_AFTER,
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
            let until = self.blamed.get(&part)?.held_until?;
            let left = until.remaining(now);
            (!left.is_zero()).then_some((part, left))
        })
    }

    /// Records that a request with blamed parts is sent as a trial, which ends by `give_up_at`.
    pub fn on_trial(&mut self, now: Timestamp, parts: &[u64], give_up_at: Timestamp) {
        for part in parts.iter().filter(|part| self.blamed.contains_key(part)) {
            if let Some(suspect) = self.suspects.get_mut(&Candidate::Part(*part)) {
                suspect.trial_until = give_up_at.min(now + TRIAL_MAX);
            }
        }
    }

    /// Records that a trial has ended.
    pub fn on_trial_ended(&mut self, parts: &[u64]) {
        for part in parts {
            if let Some(suspect) = self.suspects.get_mut(&Candidate::Part(*part)) {
                suspect.trial_until = Timestamp::ZERO;
            }
        }
    }

    /// Records that an engine's run took a request with the given shared parts with it as it ended.
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
            at: now,
            counts_until: now + CRASH_RETENTION,
            is_blamed: false,
            was_trial: false,
        };
        let mut is_news = self.add(Candidate::Request(content), crash);
        let rank = |part: &u64| {
            let suspect = self.suspects.get(&Candidate::Part(*part));
            let crashes = suspect.map_or(0, |suspect| suspect.crashes.len());
            (!self.sound.contains_key(part), crashes)
        };
        // Of several equal parts this gives the last, which the fewest requests share.
        let most_suspect = parts.iter().copied().max_by_key(rank);
        for part in parts {
            let candidate = Candidate::Part(*part);
            let was_trial = was_trial && self.blamed.contains_key(part);
            let hold = self.suspects.get(&candidate).map(Suspect::next_hold);
            let hold = hold.filter(|_| was_trial).unwrap_or(CRASH_RETENTION);
            let crash = Crash {
                counts_until: now + hold,
                is_blamed: most_suspect == Some(*part),
                was_trial,
                ..crash
            };
            is_news |= self.add(candidate, crash);
        }
        if is_news {
            self.update(now);
        }
    }

    /// Adds a crash to a candidate. Returns whether anything is new.
    fn add(&mut self, candidate: Candidate, crash: Crash) -> bool {
        let crashes_of = |quarantine: &Self, content| {
            let suspect = quarantine.suspects.get(&Candidate::Request(content));
            suspect.map_or(0, |suspect| suspect.crashes.len())
        };
        let told = self.suspects.get(&candidate).and_then(|suspect| {
            let known = suspect.crashes.iter().find(|c| c.run == crash.run)?;
            Some(known.content)
        });
        let is_better =
            told.is_some_and(|told| crashes_of(self, crash.content) > crashes_of(self, told));
        let suspect = self.suspects.entry(candidate).or_default();
        if is_better {
            let known = suspect.crashes.iter_mut().find(|c| c.run == crash.run);
            known.into_iter().for_each(|c| c.content = crash.content);
        }
        suspect.add(crash)
    }

    /// Forgets what no longer counts, and blames anew.
    fn update(&mut self, now: Timestamp) {
        self.sweep(now);
        self.assign_blame();
    }

    /// Blames the fewest candidates that explain all crashes.
    fn assign_blame(&mut self) {
        let crashes = self.suspects.values().flat_map(|suspect| &suspect.crashes);
        let mut unexplained: HashSet<_> = crashes.map(|crash| crash.run).collect();
        let mut blamed = HashMap::new();
        let rank = |candidate: Candidate, suspect: &Suspect, unexplained: &HashSet<u64>| {
            let count = suspect.count(unexplained);
            let is_request = matches!(candidate, Candidate::Request(_));
            let was_answered = match candidate {
                Candidate::Part(part) => self.sound.contains_key(&part),
                Candidate::Request(_) => false,
            };
            let is_repeated = count >= TRIAL_CRASHES;
            let most_suspect = suspect.crashes.iter().filter(|crash| crash.is_blamed);
            let most_suspect = most_suspect.count();
            (is_repeated, !was_answered, count, is_request, most_suspect)
        };
        loop {
            let repeated = self.suspects.iter();
            let repeated = repeated.filter(|(_, suspect)| suspect.crashes.len() >= TRIAL_CRASHES);
            let best = repeated.max_by_key(|(candidate, suspect)| {
                (rank(**candidate, suspect, &unexplained), **candidate)
            });
            let Some((candidate, suspect)) = best else {
                break;
            };
            let explained = suspect.crashes.iter();
            let explained = explained.filter(|crash| unexplained.contains(&crash.run));
            let explained: Vec<_> = explained.copied().collect();
            if explained.len() < TRIAL_CRASHES {
                break;
            }
            if let Candidate::Part(part) = candidate {
                let trials = explained.iter().filter(|crash| crash.was_trial);
                let held_until = trials.map(|crash| crash.counts_until).max();
                let blame = Blame {
                    crashes: explained.len(),
                    held_until: held_until.filter(|_| explained.len() >= HELD_CRASHES),
                };
                blamed.insert(*part, blame);
            }
            for crash in explained {
                unexplained.remove(&crash.run);
            }
        }
        let before = std::mem::replace(&mut self.blamed, blamed);
        for (part, blame) in &self.blamed {
            let held_before = before.get(part).and_then(|blame| blame.held_until);
            if let Some(until) = blame.held_until.filter(|until| Some(*until) > held_before) {
                self.changes.push(QuarantineChange::HeldBack {
                    part: *part,
                    crashes: blame.crashes,
                    until,
                });
            }
        }
    }

    /// Records that a request with the given shared parts was answered completely, or that its answer
    /// has gone on for long.
    pub fn on_answered(&mut self, now: Timestamp, parts: &[u64]) {
        let mut is_cleared = false;
        for part in parts {
            if self.sound.len() < SOUND_PARTS_MAX || self.sound.contains_key(part) {
                self.sound.insert(*part, now);
            }
            if self.suspects.is_empty() {
                continue;
            }
            is_cleared |= self.suspects.remove(&Candidate::Part(*part)).is_some();
            if let Some(blame) = self.blamed.remove(part) {
                self.changes.push(QuarantineChange::Cleared {
                    part: *part,
                    crashes: blame.crashes,
                });
            }
        }
        if is_cleared {
            self.assign_blame();
        }
    }

    /// The crashes to tell another host, those of blamed parts first.
    pub fn crashes_to_share(&self, now: Timestamp) -> Vec<PartCrash> {
        let mut crashes = Vec::new();
        for (candidate, suspect) in &self.suspects {
            let Candidate::Part(part) = candidate else {
                continue;
            };
            let blame = self.blamed.get(part);
            let rank = blame.map(|blame| (blame.held_until, blame.crashes));
            let is_told = |crash: &&Crash| {
                let is_recent = now.since(crash.at) <= SHARED_AGE_MAX;
                let remaining = crash.counts_until.remaining(now);
                (blame.is_some() || is_recent) && remaining >= SHARED_REMAINING_MIN
            };
            let told = suspect.crashes.iter().filter(is_told);
            crashes.extend(told.map(|crash| (Reverse((rank, crash.at)), *part, *crash)));
        }
        crashes.sort_by_key(|(rank, part, _)| (*rank, *part));
        crashes.truncate(SHARED_CRASHES_MAX);
        let tell = |(_, part, crash): (_, u64, Crash)| PartCrash {
            part,
            run: crash.run,
            content: crash.content,
            age: now.since(crash.at),
            remaining: crash.counts_until.remaining(now),
            is_blamed: crash.is_blamed,
            was_trial: crash.was_trial,
        };
        crashes.into_iter().map(tell).collect()
    }

    /// Adds the crashes of which another host has told.
    pub fn on_shared(&mut self, now: Timestamp, crashes: &[PartCrash]) {
        let mut is_news = false;
        for shared in crashes {
            let at = now - shared.age;
            let answered = self.sound.get(&shared.part);
            if shared.remaining.is_zero() || answered.is_some_and(|answered| at <= *answered) {
                continue;
            }
            let crash = Crash {
                run: shared.run,
                content: shared.content,
                at,
                counts_until: now + shared.remaining.min(HOLD_MAX),
                is_blamed: shared.is_blamed,
                was_trial: shared.was_trial,
            };
            is_news |= self.add(
                Candidate::Request(shared.content),
                Crash {
                    counts_until: now + shared.remaining.min(CRASH_RETENTION),
                    is_blamed: false,
                    was_trial: false,
                    ..crash
                },
            );
            is_news |= self.add(Candidate::Part(shared.part), crash);
        }
        if is_news {
            self.update(now);
        }
    }

    /// Changes since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Forgets what no longer counts, and the candidates with the fewest crashes if there are too many.
    pub fn sweep(&mut self, now: Timestamp) {
        self.sound
            .retain(|_, at| !(*at + CRASH_RETENTION).has_passed(now));
        let blamed = &self.blamed;
        let mut is_changed = false;
        self.suspects.retain(|candidate, suspect| {
            let held_until = match candidate {
                Candidate::Part(part) => blamed.get(part).and_then(|blame| blame.held_until),
                Candidate::Request(_) => None,
            };
            if held_until.is_some_and(|until| !(until + RELAPSE_RETENTION).has_passed(now)) {
                return true;
            }
            let before = suspect.crashes.len();
            suspect
                .crashes
                .retain(|crash| !crash.counts_until.has_passed(now));
            is_changed |= suspect.crashes.len() < before;
            !suspect.crashes.is_empty()
        });
        while self.suspects.len() > CANDIDATES_MAX {
            let rank = |(candidate, suspect): (&Candidate, &Suspect)| {
                (suspect.crashes.len(), suspect.newest(), *candidate)
            };
            let Some((.., candidate)) = self.suspects.iter().map(rank).min() else {
                break;
            };
            self.suspects.remove(&candidate);
            is_changed = true;
        }
        if is_changed {
            self.assign_blame();
        }
    }
}
