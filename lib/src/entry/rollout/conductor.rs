//! Decides on the roll-outs of services that this host conducts.
//!
//! The load: orders of 12 s and longer, with up to 79 hosts that report every 250 ms. A bad version has to
//! be recognised within few bad responses, a good one completed before the deadline of its order. The
//! conductor may be killed between any two steps, others may conduct the same order at the same time, and
//! the store may be slow, refuse a write, or lose the response to one. All that a conductor needs is in
//! the store and in the reports, which are sums since the order.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;

use super::evidence::Evidence;
use super::evidence::Verdict;
use super::message::RolloutPermit;
use super::message::RolloutPhase;
use super::message::RolloutReport;
use super::order::Order;
use super::order::RolloutBounds;
use super::order::RolloutState;
use crate::time::Timestamp;

/// Interval between permits.
const PERMIT_INTERVAL: Duration = Duration::from_millis(250);
/// How long a permit holds, unless the bounds require less.
const PERMIT_VALID: Duration = Duration::from_secs(1);
/// Fraction of the rollback time for which a permit may hold.
const PERMIT_ROLLBACK: u32 = 5;
/// Time in which a conductor that takes over, or was frozen, collects reports before it permits anything
/// or judges: more than two intervals between reports.
const COLLECT: Duration = Duration::from_millis(600);
/// Time between two ticks after which the conductor was frozen.
const FROZEN_AFTER: Duration = Duration::from_secs(1);
/// Number of permits that tell hosts of a revert before it is written.
const REVERT_PERMITS: u32 = 3;
/// How long hosts are told of a final state once it is written. They learn it from the store too.
const FINAL_PERMITS: Duration = Duration::from_secs(10);
/// Time after a failed write until the next one.
const WRITE_RETRY: Duration = Duration::from_millis(200);
/// Time after which the result of a write no longer counts as outstanding.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Share of requests that a roll-out starts with.
const SHARE_FIRST: f64 = 0.02;
/// Responses of the target version without a sign of a fault after which it gets the whole share, and the
/// time in which a service with few requests is to have them.
const FIRST_RESPONSES: u64 = 20;
const FIRST_RESPONSES_TIME: Duration = Duration::from_secs(3);
/// Interval between changes of the share that hosts are told.
const SHARE_INTERVAL: Duration = Duration::from_millis(500);
/// Factor by which that share grows while hosts together send less than they should: each of them keeps a
/// part of a request unspent, which is most of it if there are many hosts and few requests.
const SHARE_GROWTH: f64 = 1.5;
/// Fraction of the exposure share that the canary uses over all hosts. The rest is for the shift before completion.
const CANARY_SHARE: f64 = 0.5;
/// Fraction of the exposure share that hosts are told at most.
const CANARY_SHARE_MAX: f64 = 0.8;
/// Fraction of the slack that the canary may use.
const CANARY_SLACK: f64 = 0.4;

/// Fraction of the duration for which a version is tried at least.
const TRIAL_PART: f64 = 0.6;
/// Planned completion, before the deadline.
const COMPLETION_LEAD: Duration = Duration::from_millis(1_000);
/// Latest time to write the completion, before the deadline.
const WRITE_LEAD: Duration = Duration::from_millis(600);
/// Time before the deadline from which a completion would be written too late.
const WRITE_TOO_LATE: Duration = Duration::from_millis(100);
/// Fractions of the duration that these two leads take at most.
const COMPLETION_LEAD_PART: u32 = 10;
const WRITE_LEAD_PART: u32 = 16;

/// Why a write of a status has not led to a known state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteError {
    /// The store refused the write, as the object has changed, and holds no final state.
    Conflict,
    /// The store did not respond, or with an error, and could not be read back either.
    Failed,
}

/// A change of state of a roll-out, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutStep {
    /// Name of the service.
    pub service: CompactString,
    /// Name of the target version.
    pub target: CompactString,
    /// Hash that identifies the order.
    pub order: u64,
    /// What the conductor does from now on.
    pub step: &'static str,
    /// What decided it.
    pub reason: String,
}

/// What a conductor asks its host to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ConductorAction {
    /// Send a permit to all hosts, this one included.
    Send(RolloutPermit),
    /// Write a state to the status of an order and call [`Conductor::on_written`].
    Write {
        /// The order.
        order: Order,
        /// The state to write, unless the status holds a final one.
        state: RolloutState,
    },
    /// Log a change of state.
    Step(RolloutStep),
}

/// What a conductor is doing about an order without a final state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The target version gets a share of the requests.
    Canary,
    /// The version is proven. Requests that would outlive the old servers go to the target version.
    Shift,
    /// The completion is being written.
    Completing,
    /// Hosts are told that the order is reverted, then it is written.
    Reverting,
}

/// An order that this host conducts.
#[derive(Debug)]
struct Rollout {
    /// The order; its state is the one that this conductor acts on.
    order: Order,
    /// State in the store as last read or written.
    stored: RolloutState,
    stage: Stage,
    evidence: Evidence,
    /// When the order was written, as far as any host knows.
    began_at: Timestamp,
    ticked_at: Timestamp,
    /// Until when reports are only collected.
    collect_until: Timestamp,
    /// Share of requests that hosts are told.
    share: f64,
    next_share_at: Timestamp,
    next_permit_at: Timestamp,
    /// Permits that have told of the revert.
    revert_permits: u32,
    /// State that is being written, and when its result no longer counts as outstanding.
    writing: Option<(RolloutState, Timestamp)>,
    next_write_at: Timestamp,
    /// When to stop telling hosts of the final state.
    quiet_at: Timestamp,
}

/// Conducts the roll-outs of the services of which this host is the first home.
#[derive(Debug)]
pub struct Conductor {
    bounds: RolloutBounds,
    /// By hash of the service.
    rollouts: BTreeMap<u64, Rollout>,
}

impl Conductor {
    /// A conductor without orders.
    pub fn new(bounds: RolloutBounds) -> Self {
        Self {
            bounds,
            rollouts: BTreeMap::new(),
        }
    }

    /// Takes an order as read from the store, when this host begins to conduct it and whenever it has
    /// changed.
    pub fn on_order(&mut self, now: Timestamp, order: Order) {
        let known = self.rollouts.get_mut(&order.service_hash);
        match known.filter(|known| known.order.identity == order.identity) {
            Some(known) => known.on_stored(now, order.state),
            None => {
                let rollout = Rollout::new(now, order, &self.bounds);
                self.rollouts.insert(rollout.order.service_hash, rollout);
            }
        }
    }

    /// Drops the order for a service, which was removed, or is conducted by another host now.
    pub fn on_order_removed(&mut self, service: u64) {
        self.rollouts.remove(&service);
    }

    /// Takes the report of a host, this one included. `from` identifies the host; it stays the same when
    /// its process restarts. Reports on orders that this host does not conduct have no effect.
    pub fn on_report(&mut self, now: Timestamp, from: u64, report: RolloutReport) {
        let known = self.rollouts.get_mut(&report.service);
        if let Some(known) = known.filter(|known| known.order.identity == report.order) {
            known.began_at = known.began_at.min(now - report.age);
            known.evidence.on_report(now, from, report);
        }
    }

    /// Takes the result of a write: the state that the status of the order now holds, which another
    /// conductor may have written, or why it is not known. `order` is the identity of the order.
    pub fn on_written(
        &mut self,
        now: Timestamp,
        order: u64,
        result: Result<RolloutState, WriteError>,
    ) {
        let mut rollouts = self.rollouts.values_mut();
        let Some(known) = rollouts.find(|known| known.order.identity == order) else {
            return;
        };
        known.writing = None;
        match result {
            Ok(state) => known.on_stored(now, state),
            Err(_) => known.next_write_at = now + WRITE_RETRY,
        }
    }

    /// Decides what is due. To be called every 50 ms or so.
    pub fn tick(&mut self, now: Timestamp) -> Vec<ConductorAction> {
        let mut actions = Vec::new();
        for rollout in self.rollouts.values_mut() {
            rollout.notice_gap(now);
            if !rollout.order.state.is_final() && rollout.collect_until.has_passed(now) {
                actions.extend(rollout.judge(now, &self.bounds));
            }
            actions.extend(rollout.write(now));
            actions.extend(rollout.permit(now, &self.bounds));
        }
        actions
    }
}

impl Rollout {
    fn new(now: Timestamp, order: Order, bounds: &RolloutBounds) -> Self {
        // Nobody has sent anything yet under an order without status.
        let is_taken_over = order.state != RolloutState::Ordered;
        let collect = if is_taken_over {
            COLLECT
        } else {
            Duration::ZERO
        };
        Self {
            stored: order.state,
            stage: Stage::Canary,
            evidence: Evidence::default(),
            began_at: order.learned_at,
            ticked_at: now,
            collect_until: now + collect,
            share: SHARE_FIRST.min(CANARY_SHARE * bounds.exposure_share),
            next_share_at: now + SHARE_INTERVAL,
            next_permit_at: now,
            revert_permits: 0,
            writing: None,
            next_write_at: now,
            quiet_at: now + FINAL_PERMITS,
            order,
        }
    }

    fn deadline(&self) -> Timestamp {
        self.began_at + self.order.duration
    }

    fn planned_completion(&self) -> Timestamp {
        let lead = COMPLETION_LEAD.min(self.order.duration / COMPLETION_LEAD_PART);
        self.deadline() - lead
    }

    fn latest_completion(&self) -> Timestamp {
        let lead = WRITE_LEAD.min(self.order.duration / WRITE_LEAD_PART);
        self.deadline() - lead
    }

    /// Takes the state that the store holds. A final state stays.
    fn on_stored(&mut self, now: Timestamp, state: RolloutState) {
        self.stored = state;
        if self.order.state.is_final() {
            return;
        }
        self.order.state = state;
        if state.is_final() {
            self.next_permit_at = now;
            self.quiet_at = now + FINAL_PERMITS;
        }
    }

    fn notice_gap(&mut self, now: Timestamp) {
        if now.since(self.ticked_at) > FROZEN_AFTER {
            self.collect_until = now + COLLECT;
        }
        self.ticked_at = now;
    }

    /// Moves on to what the evidence and the time call for.
    fn judge(&mut self, now: Timestamp, bounds: &RolloutBounds) -> Option<ConductorAction> {
        if self.stage == Stage::Reverting {
            return None;
        }
        let verdict = self.evidence.verdict(now);
        if let Verdict::Bad { route, reason } = &verdict {
            let place = route.map_or("all routes".into(), |route| format!("route {route:016x}"));
            return Some(self.enter(now, Stage::Reverting, &format!("{place}: {reason}")));
        }
        let is_writing = self.stage == Stage::Completing;
        let last_start = if is_writing {
            Duration::ZERO
        } else {
            WRITE_TOO_LATE
        };
        if (self.deadline() - last_start).has_passed(now) {
            let reason = "deadline passed without completion";
            return Some(self.enter(now, Stage::Reverting, reason));
        }
        let is_sound = verdict == Verdict::Sound && self.evidence.is_connected(now);
        let trial_end = self.began_at + self.order.duration.mul_f64(TRIAL_PART);
        match self.stage {
            Stage::Canary if is_sound && trial_end.has_passed(now) => {
                Some(self.enter(now, Stage::Shift, "proven"))
            }
            Stage::Shift if !is_sound => Some(self.enter(now, Stage::Canary, "no longer proven")),
            Stage::Shift if self.is_completion_due(now) => Some(self.enter(
                now,
                Stage::Completing,
                "proven until the planned completion",
            )),
            Stage::Canary => {
                self.set_share(now, bounds);
                None
            }
            Stage::Shift | Stage::Completing | Stage::Reverting => None,
        }
    }

    fn is_completion_due(&self, now: Timestamp) -> bool {
        let is_planned = self.planned_completion().has_passed(now);
        let is_latest = self.latest_completion().has_passed(now);
        is_latest || is_planned && self.evidence.is_old_idle(now)
    }

    fn enter(&mut self, now: Timestamp, stage: Stage, reason: &str) -> ConductorAction {
        self.stage = stage;
        self.next_permit_at = now;
        self.next_write_at = now;
        let step = match stage {
            Stage::Canary => "canary",
            Stage::Shift => "shift",
            Stage::Completing => "completing",
            Stage::Reverting => "reverting",
        };
        ConductorAction::Step(RolloutStep {
            service: self.order.service.clone(),
            target: self.order.target_name.clone(),
            order: self.order.identity,
            step,
            reason: format!("{reason}; {}", self.evidence.summary()),
        })
    }

    /// Sets the share that hosts are told, so that all of them together send the intended one.
    fn set_share(&mut self, now: Timestamp, bounds: &RolloutBounds) {
        if !self.next_share_at.has_passed(now) {
            return;
        }
        self.next_share_at = now + SHARE_INTERVAL;
        let intended = self.intended_share(now, bounds);
        let requests = self.evidence.requests() as f64;
        let is_less = (self.evidence.target_requests() as f64) < intended * requests;
        if !is_less || !self.evidence.is_unsuspicious() {
            self.share = self.share.min(intended);
            return;
        }
        let most = CANARY_SHARE_MAX * bounds.exposure_share;
        self.share = (self.share * SHARE_GROWTH).max(intended).min(most);
    }

    /// Share of all requests that is to go to the target version. In a service with few requests, part of
    /// the slack is spread over the requests until the deadline.
    fn intended_share(&self, now: Timestamp, bounds: &RolloutBounds) -> f64 {
        let share = CANARY_SHARE * bounds.exposure_share;
        let age = now.since(self.began_at).as_secs_f64().max(0.1);
        let requests = self.evidence.requests().max(1) as f64;
        if self.evidence.target_responses() < FIRST_RESPONSES {
            let soon = requests / age * FIRST_RESPONSES_TIME.as_secs_f64();
            return (FIRST_RESPONSES as f64 / soon).max(SHARE_FIRST).min(share);
        }
        let expected = requests * (self.order.duration.as_secs_f64() / age).max(1.0);
        let with_slack = share + CANARY_SLACK * bounds.exposure_slack / expected;
        with_slack.min(CANARY_SHARE_MAX * bounds.exposure_share)
    }

    /// The state that the store should hold.
    fn wanted(&self) -> Option<RolloutState> {
        let wanted = match (self.order.state, self.stage) {
            (state, _) if state.is_final() => state,
            (_, Stage::Completing) => RolloutState::Completed,
            (_, Stage::Reverting) if self.revert_permits >= REVERT_PERMITS => {
                RolloutState::Reverted
            }
            _ => RolloutState::InProgress,
        };
        (wanted != self.stored).then_some(wanted)
    }

    fn write(&mut self, now: Timestamp) -> Option<ConductorAction> {
        let state = self.wanted()?;
        let is_outstanding = self
            .writing
            .is_some_and(|(writing, until)| writing == state && !until.has_passed(now));
        if is_outstanding || !self.next_write_at.has_passed(now) {
            return None;
        }
        self.writing = Some((state, now + WRITE_TIMEOUT));
        let order = self.order.clone();
        Some(ConductorAction::Write { order, state })
    }

    fn permit(&mut self, now: Timestamp, bounds: &RolloutBounds) -> Option<ConductorAction> {
        let is_settled = self.order.state.is_final() && self.quiet_at.has_passed(now);
        let is_collecting = !self.order.state.is_final() && !self.collect_until.has_passed(now);
        if is_settled || is_collecting || !self.next_permit_at.has_passed(now) {
            return None;
        }
        self.next_permit_at = now + PERMIT_INTERVAL;
        let phase = match (self.order.state, self.stage) {
            (RolloutState::Completed, _) => RolloutPhase::Completed,
            (RolloutState::Reverted, _) => RolloutPhase::Reverted,
            (_, Stage::Reverting) => {
                self.revert_permits += 1;
                RolloutPhase::Reverted
            }
            (_, Stage::Canary) => RolloutPhase::Canary {
                share_millionths: (self.share * 1e6) as u32,
            },
            (_, Stage::Shift | Stage::Completing) => RolloutPhase::Shift {
                remaining: self.planned_completion().remaining(now),
            },
        };
        Some(ConductorAction::Send(RolloutPermit {
            service: self.order.service_hash,
            target: self.order.target,
            order: self.order.identity,
            valid_for: PERMIT_VALID.min(bounds.rollback / PERMIT_ROLLBACK),
            phase,
        }))
    }
}
