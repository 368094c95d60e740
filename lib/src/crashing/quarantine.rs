//! Holds back single requests that make every server that runs them crash.
//!
//! The load: among ordinary requests one comes again and again, at any host and a few times a second.
//! A server (of a plain service or an engine) that begins to run it crashes, and everything else that
//! it runs breaks off. The server is back after some seconds. Its workspace, its path and the parts of
//! its prompt also occur in sound requests, which must not be held back; a sound request may be
//! repeated too, and then breaks off wherever a server crashes for another reason.
//!
//! A request is identified by its digest. Evidence against it is a connection that breaks before the
//! answer has begun, or just as it begins; a server that goes on after that has survived the request,
//! which ends all suspicion. From the second crash on, the request is sent only as a trial, one at a
//! time in the whole fleet. If a trial ends its server too, the request is held back, each time for
//! longer.
//!
//! Hosts tell each other of each crash, trial and answer at once, and repeat what they suspect to a few
//! others from time to time, so that hosts that were cut off or have restarted learn it too.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use super::RequestDigest;
use crate::time::Timestamp;

/// Crashes from which on a request is sent one at a time.
const TRIAL_CRASHES: usize = 2;
/// How long a request is held back after the first trial that ended its server. The time doubles with
/// each further one.
const HOLD_FIRST: Duration = Duration::from_secs(600);
/// Longest time for which a request is held back.
const HOLD_MAX: Duration = Duration::from_secs(24 * 3_600);
/// How long a crash counts that was not the end of a trial, and how long an answer is remembered.
const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// How long after a request was held back it is still sent as a trial only.
const RELAPSE_RETENTION: Duration = Duration::from_secs(1_800);
/// Longest time that others wait for the result of a trial.
const TRIAL_MAX: Duration = Duration::from_secs(5);
/// Retry delay for callers whose request waits for the result of a trial: about the time until a
/// server begins to answer.
const TRIAL_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Two reports that a run of a server has ended are of the same crash if they are no further apart.
/// Hosts notice a crash at different times, and a server that restarts takes longer.
const SAME_CRASH_SPAN: Duration = Duration::from_millis(500);
/// Most requests that are kept track of. One that has broken off once takes about 150 bytes.
const REQUESTS_MAX: usize = 1_024;
/// Most crashes that are kept of one request.
const CRASHES_MAX: usize = 8;
/// A crash that counts for less than this is no longer told to other hosts. They may have forgotten it
/// a little earlier and would learn it anew.
const TOLD_REMAINING_MIN: Duration = Duration::from_secs(2);
/// Interval between removals of what no longer counts.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);
/// Most requests of which another host is told in one datagram.
const REPORTS_PER_DATAGRAM: usize = 24;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestClearance {
    /// It is not under suspicion.
    Free,
    /// It may be sent as a trial: none of its repeats is in flight.
    Trial,
    /// It must not be sent now.
    HeldBack {
        /// When the caller may try again.
        retry_after: Duration,
    },
}

/// A run of a server that ended as it began to run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestCrash {
    /// Hash that identifies the run.
    pub run: u64,
    /// Time since the crash.
    pub age: Duration,
    /// Whether the request was a trial.
    pub was_trial: bool,
}

/// What a host knows of a request under which servers have crashed, for other hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectRequest {
    /// The request.
    pub digest: RequestDigest,
    /// Crashes since the request was last answered.
    pub crashes: Vec<RequestCrash>,
    /// Time since a server last survived the request, `None` if that is not known.
    pub answered_age: Option<Duration>,
    /// How long others wait for the result of a trial, zero if there is none.
    pub trial_remaining: Duration,
}

/// A change that operators should know of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestQuarantineChange {
    /// A request is held back from now on.
    HeldBack {
        /// The request.
        digest: RequestDigest,
        /// Servers that ended.
        crashes: usize,
        /// When it may be sent again.
        until: Timestamp,
    },
    /// A request that was under suspicion turned out to be sound.
    Cleared {
        /// The request.
        digest: RequestDigest,
        /// Servers that had ended.
        crashes: usize,
    },
}

/// A request that was sent to a server.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest {
    /// The request.
    pub digest: RequestDigest,
    /// Hash that identifies the run of the server.
    pub run: u64,
    /// When the request was sent.
    pub sent_at: Timestamp,
    /// Whether it is a trial.
    pub is_trial: bool,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    run: u64,
    at: Timestamp,
    was_trial: bool,
}

/// What is known of one request.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Crashes since the request was last answered.
    crashes: Vec<Crash>,
    /// When a server last survived the request.
    answered_at: Option<Timestamp>,
    /// Until when repeats wait for the result of a trial.
    trial_until: Timestamp,
}

impl Suspect {
    /// Adds a crash unless it is known or older than the last answer. A crash is known if a host has
    /// noticed the same one after `sent_at`. Returns whether it is new.
    fn add(&mut self, crash: Crash, sent_at: Timestamp) -> bool {
        if self.answered_at.is_some_and(|at| crash.at <= at) {
            return false;
        }
        let is_same = |known: &&mut Crash| known.run == crash.run && known.at >= sent_at;
        if let Some(known) = self.crashes.iter_mut().find(is_same) {
            let is_news = crash.was_trial && !known.was_trial;
            known.was_trial |= crash.was_trial;
            return is_news;
        }
        if self.crashes.len() >= CRASHES_MAX {
            let oldest = self.crashes.iter().position(|c| !c.was_trial);
            self.crashes.remove(oldest.unwrap_or(0));
        }
        self.crashes.push(crash);
        true
    }

    /// Records that a server has survived the request.
    fn on_answered(&mut self, at: Timestamp) {
        let before = self.crashes.len();
        self.crashes.retain(|crash| crash.at > at);
        // An answer that is known comes back from other hosts with a slightly later time.
        if self.crashes.len() < before {
            self.answered_at = self.answered_at.max(Some(at));
            self.trial_until = Timestamp::ZERO;
        }
    }

    fn is_suspected(&self) -> bool {
        self.crashes.len() >= TRIAL_CRASHES || self.held_until().is_some()
    }

    /// Until when the request is held back, `None` if no trial has ended a server.
    fn held_until(&self) -> Option<Timestamp> {
        let trials = self.crashes.iter().filter(|crash| crash.was_trial);
        let last = trials.clone().map(|crash| crash.at).max()?;
        let doublings = u32::try_from(trials.count() - 1).unwrap_or(u32::MAX);
        let hold = HOLD_FIRST.saturating_mul(2_u32.saturating_pow(doublings));
        Some(last + hold.min(HOLD_MAX))
    }

    /// Until when all crashes count, `None` if each counts for a time of its own.
    fn counts_until(&self) -> Option<Timestamp> {
        self.held_until().map(|until| until + RELAPSE_RETENTION)
    }

    /// Drops what no longer counts. Returns whether the request is worth remembering.
    fn sweep(&mut self, now: Timestamp) -> bool {
        let until = self.counts_until();
        let is_over = |crash: &Crash| {
            let until = until.unwrap_or(crash.at + CRASH_RETENTION);
            until.has_passed(now)
        };
        self.crashes.retain(|crash| !is_over(crash));
        let is_recent = |at: Timestamp| !(at + CRASH_RETENTION).has_passed(now);
        !self.crashes.is_empty() || self.answered_at.is_some_and(is_recent)
    }
}

/// Requests under which servers have crashed.
#[derive(Clone, Debug, Default)]
pub struct RequestQuarantine {
    suspects: HashMap<RequestDigest, Suspect>,
    /// Requests of which something is known since other hosts were last told.
    untold: HashSet<RequestDigest>,
    changes: Vec<RequestQuarantineChange>,
    sweep_due_at: Timestamp,
}

impl RequestQuarantine {
    /// Whether a request may be sent.
    pub fn clearance(&self, now: Timestamp, digest: RequestDigest) -> RequestClearance {
        let suspect = self.suspects.get(&digest).filter(|s| s.is_suspected());
        let Some(suspect) = suspect else {
            return RequestClearance::Free;
        };
        let held = suspect.held_until().map(|until| until.remaining(now));
        let retry_after = match held {
            Some(left) if !left.is_zero() => left,
            _ if !suspect.trial_until.has_passed(now) => TRIAL_RETRY_AFTER,
            _ => return RequestClearance::Trial,
        };
        RequestClearance::HeldBack { retry_after }
    }

    /// Records that a request, which [`Self::clearance`] allows, is sent to a run of a server.
    pub fn send(
        &mut self,
        now: Timestamp,
        digest: RequestDigest,
        run: u64,
        give_up_at: Timestamp,
    ) -> SentRequest {
        let is_trial = self.clearance(now, digest) == RequestClearance::Trial;
        if is_trial && let Some(suspect) = self.suspects.get_mut(&digest) {
            suspect.trial_until = give_up_at.min(now + TRIAL_MAX);
            self.untold.insert(digest);
        }
        SentRequest {
            digest,
            run,
            sent_at: now,
            is_trial,
        }
    }

    /// Records that the server of a request broke off before its answer had begun, or just as it began.
    pub fn on_crash(&mut self, now: Timestamp, sent: &SentRequest) {
        let crash = Crash {
            run: sent.run,
            at: now,
            was_trial: sent.is_trial,
        };
        if self.add(sent.digest, crash, sent.sent_at) {
            self.untold.insert(sent.digest);
        }
    }

    /// Records that a server has survived a request: it has answered completely, or its answer goes on.
    /// Returns whether that ends a suspicion, of which other hosts have to be told.
    pub fn on_answered(&mut self, now: Timestamp, digest: RequestDigest) -> bool {
        let is_cleared = self.clear(now, digest);
        if is_cleared {
            self.untold.insert(digest);
        }
        is_cleared
    }

    /// Records that a request has left its server, with or without evidence.
    pub fn on_ended(&mut self, sent: &SentRequest) {
        let suspect = self.suspects.get_mut(&sent.digest);
        if let Some(suspect) = suspect.filter(|_| sent.is_trial) {
            suspect.trial_until = Timestamp::ZERO;
        }
    }

    /// What other hosts have not been told yet, in parts that fit in a datagram.
    pub fn take_news(&mut self, now: Timestamp) -> Vec<Vec<SuspectRequest>> {
        let mut untold: Vec<_> = std::mem::take(&mut self.untold).into_iter().collect();
        untold.sort_unstable();
        let news: Vec<_> = untold
            .into_iter()
            .filter_map(|digest| self.report(now, digest))
            .collect();
        news.chunks(REPORTS_PER_DATAGRAM)
            .map(<[SuspectRequest]>::to_vec)
            .collect()
    }

    /// The requests under suspicion, those with the most crashes first, as many as fit in a datagram.
    pub fn suspects(&self, now: Timestamp) -> Vec<SuspectRequest> {
        let mut suspected: Vec<_> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.is_suspected())
            .map(|(digest, suspect)| (Reverse(suspect.crashes.len()), *digest))
            .collect();
        suspected.sort_unstable();
        suspected
            .into_iter()
            .filter_map(|(_, digest)| self.report(now, digest))
            .take(REPORTS_PER_DATAGRAM)
            .collect()
    }

    /// Whether any request is under suspicion.
    pub fn has_suspects(&self) -> bool {
        self.suspects.values().any(Suspect::is_suspected)
    }

    fn report(&self, now: Timestamp, digest: RequestDigest) -> Option<SuspectRequest> {
        let suspect = self.suspects.get(&digest)?;
        let until = suspect.counts_until();
        let is_told = |crash: &&Crash| {
            let until = until.unwrap_or(crash.at + CRASH_RETENTION);
            until.remaining(now) >= TOLD_REMAINING_MIN
        };
        let tell = |crash: &Crash| RequestCrash {
            run: crash.run,
            age: now.since(crash.at),
            was_trial: crash.was_trial,
        };
        Some(SuspectRequest {
            digest,
            crashes: suspect.crashes.iter().filter(is_told).map(tell).collect(),
            answered_age: suspect.answered_at.map(|at| now.since(at)),
            trial_remaining: suspect.trial_until.remaining(now),
        })
    }

    /// Adds what another host knows of a request.
    pub fn on_report(&mut self, now: Timestamp, report: &SuspectRequest) {
        let digest = report.digest;
        if let Some(age) = report.answered_age {
            self.clear(now - age, digest);
        }
        for told in &report.crashes {
            let crash = Crash {
                run: told.run,
                at: now - told.age,
                was_trial: told.was_trial,
            };
            self.add(digest, crash, crash.at - SAME_CRASH_SPAN);
        }
        if let Some(suspect) = self.suspects.get_mut(&digest) {
            suspect.trial_until = match report.trial_remaining {
                Duration::ZERO => suspect.trial_until,
                left => suspect.trial_until.max(now + left.min(TRIAL_MAX)),
            };
        }
    }

    /// Adds a crash of a server to which the request was sent at `sent_at`. Returns whether it is new.
    fn add(&mut self, digest: RequestDigest, crash: Crash, sent_at: Timestamp) -> bool {
        let suspect = self.suspects.entry(digest).or_default();
        let held_before = suspect.held_until();
        if !suspect.add(crash, sent_at) {
            return false;
        }
        let held = suspect.held_until();
        if let Some(until) = held.filter(|until| Some(*until) > held_before) {
            self.changes.push(RequestQuarantineChange::HeldBack {
                digest,
                crashes: suspect.crashes.len(),
                until,
            });
        }
        true
    }

    /// Ends the suspicion against a request that a server has survived. Returns whether there was one.
    fn clear(&mut self, at: Timestamp, digest: RequestDigest) -> bool {
        let Some(suspect) = self.suspects.get_mut(&digest) else {
            return false;
        };
        let (was_suspected, crashes) = (suspect.is_suspected(), suspect.crashes.len());
        suspect.on_answered(at);
        let is_cleared = was_suspected && !suspect.is_suspected();
        if is_cleared {
            let change = RequestQuarantineChange::Cleared { digest, crashes };
            self.changes.push(change);
        }
        is_cleared
    }

    /// Changes since the last call.
    pub fn take_changes(&mut self) -> Vec<RequestQuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Calls [`Self::sweep`] once a second at most.
    pub fn sweep_when_due(&mut self, now: Timestamp) {
        if self.sweep_due_at.has_passed(now) {
            self.sweep_due_at = now + SWEEP_PERIOD;
            self.sweep(now);
        }
    }

    /// Forgets what no longer counts, and the requests with the fewest crashes if there are too many.
    pub fn sweep(&mut self, now: Timestamp) {
        self.suspects.retain(|_, suspect| suspect.sweep(now));
        if self.suspects.len() <= REQUESTS_MAX {
            return;
        }
        let mut ranked: Vec<_> = self
            .suspects
            .iter()
            .map(|(digest, suspect)| {
                let newest = suspect.crashes.iter().map(|crash| crash.at).max();
                (suspect.held_until(), suspect.crashes.len(), newest, *digest)
            })
            .collect();
        ranked.sort_unstable();
        ranked.truncate(self.suspects.len() - REQUESTS_MAX);
        for (.., digest) in ranked {
            self.suspects.remove(&digest);
        }
    }
}
