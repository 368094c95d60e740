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
/// Share of requests at which a roll-out starts.
const SHARE_FIRST: f64 = 0.02;

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

/// An order that this host conducts.
#[derive(Debug)]
struct Rollout {
    order: Order,
    evidence: Evidence,
    next_permit_at: Timestamp,
    is_writing: bool,
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
        if let Some(known) = known.filter(|known| known.order.identity == order.identity) {
            if !known.order.state.is_final() {
                known.order.state = order.state;
            }
            return;
        }
        let rollout = Rollout {
            evidence: Evidence::default(),
            next_permit_at: now,
            is_writing: false,
            order,
        };
        self.rollouts.insert(rollout.order.service_hash, rollout);
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
            known.evidence.on_report(now, from, report);
        }
    }

    /// Takes the result of a write: the state that the status of the order now holds, which another
    /// conductor may have written, or why it is not known. `order` is the identity of the order.
    pub fn on_written(
        &mut self,
        _now: Timestamp,
        order: u64,
        result: Result<RolloutState, WriteError>,
    ) {
        let mut rollouts = self.rollouts.values_mut();
        let Some(known) = rollouts.find(|known| known.order.identity == order) else {
            return;
        };
        known.is_writing = false;
        if let Ok(state) = result
            && !known.order.state.is_final()
        {
            known.order.state = state;
        }
    }

    /// Decides what is due. To be called every 50 ms or so.
    pub fn tick(&mut self, now: Timestamp) -> Vec<ConductorAction> {
        let mut actions = Vec::new();
        for rollout in self.rollouts.values_mut() {
            if rollout.order.state == RolloutState::Ordered && !rollout.is_writing {
                rollout.is_writing = true;
                actions.push(ConductorAction::Write {
                    order: rollout.order.clone(),
                    state: RolloutState::InProgress,
                });
            }
            if rollout.next_permit_at.has_passed(now) {
                rollout.next_permit_at = now + PERMIT_INTERVAL;
                actions.push(ConductorAction::Send(rollout.permit(now, &self.bounds)));
            }
        }
        actions
    }
}

impl Rollout {
    fn permit(&mut self, now: Timestamp, bounds: &RolloutBounds) -> RolloutPermit {
        let is_bad = matches!(self.evidence.verdict(now), Verdict::Bad { .. });
        let phase = match self.order.state {
            RolloutState::Completed => RolloutPhase::Completed,
            RolloutState::Reverted => RolloutPhase::Reverted,
            _ if is_bad => RolloutPhase::Reverted,
            _ => RolloutPhase::Canary {
                share_millionths: (SHARE_FIRST.min(bounds.exposure_share / 2.0) * 1e6) as u32,
            },
        };
        RolloutPermit {
            service: self.order.service_hash,
            target: self.order.target,
            order: self.order.identity,
            valid_for: PERMIT_VALID.min(bounds.rollback / 5),
            phase,
        }
    }
}
