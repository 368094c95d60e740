//! What a host knows and does of roll-outs: it uses servers as the orders and the permits allow, and
//! conducts the orders whose first host it is.
//!
//! The load: up to 79 hosts, of which any may be killed, frozen or cut off while it conducts an order of
//! 12 s. No host is asked whether it is alive: a host that hears no permits from those before it in the
//! rendezvous order of the service conducts the order too. Two conductors do no harm.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;

use super::super::stream_origins::VersionId;
use super::conductor::Conductor;
use super::conductor::ConductorAction;
use super::conductor::WriteError;
use super::exposure::Exposure;
use super::exposure::VersionChoice;
use super::message::RolloutPermit;
use super::message::RolloutPhase;
use super::message::RolloutReport;
use super::order::Order;
use super::order::RolloutBounds;
use super::order::RolloutState;
use super::order_tracker::OrderChanges;
use super::order_tracker::OrderTracker;
use super::stored::StoredRollout;
use crate::time::Timestamp;

/// Hosts that may conduct the orders of a service, in rendezvous order. They get the reports of all
/// hosts, so that each can go on at once.
pub(crate) const CONDUCTOR_HOSTS: usize = 3;
/// How long a host hears no permits before it conducts an order too, for each host before it in the
/// order. Permits come every 250 ms and hold for a second.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1_000);
impl VersionChoice {
    /// Whether servers of a version may get the request.
    pub fn accepts(self, version: VersionId) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => version == only,
            Self::Except(except) => version != except,
        }
    }
}

/// What a host has heard of an order from the hosts that conduct it.
#[derive(Clone, Copy, Debug)]
struct Heard {
    order: u64,
    /// Number of hosts before the sender in the rendezvous order of the service.
    rank: usize,
    at: Timestamp,
}

/// What a host knows of roll-outs, and its part in conducting them.
#[derive(Debug)]
pub struct RolloutControl {
    bounds: Option<RolloutBounds>,
    exposure: Exposure,
    conductor: Option<Conductor>,
    orders: OrderTracker,
    /// Permits that this host has last heard, by hash of the service and rank of the sender.
    heard: HashMap<(u64, usize), Heard>,
    /// Phase of the last permit, by hash of the service.
    phases: HashMap<u64, RolloutPhase>,
    /// Orders that this host conducts, by identity, with the revision of their objects that the
    /// conductor was last told of.
    conducted: HashMap<u64, u64>,
    /// Time at which the known orders were current.
    confirmed_at: Option<Timestamp>,
}

impl RolloutControl {
    /// State of a host that has just started. Without `bounds`, roll-outs are off.
    pub fn new(incarnation: u64, bounds: Option<RolloutBounds>) -> Self {
        Self {
            bounds,
            exposure: Exposure::new(incarnation, bounds),
            conductor: bounds.map(Conductor::new),
            orders: OrderTracker::default(),
            heard: HashMap::new(),
            phases: HashMap::new(),
            conducted: HashMap::new(),
            confirmed_at: None,
        }
    }

    /// Whether orders are followed.
    pub fn is_enabled(&self) -> bool {
        self.bounds.is_some()
    }

    /// Decides which requests of this host go to which version.
    pub fn exposure(&mut self) -> &mut Exposure {
        &mut self.exposure
    }

    /// The orders as this host knows them.
    pub fn orders(&self) -> &OrderTracker {
        &self.orders
    }

    /// The version that is being rolled out for a service, `None` unless an order is in progress.
    pub fn target_in_progress(&self, service: u64) -> Option<VersionId> {
        let mut orders = self.orders.orders();
        let order = orders.find(|order| order.service_hash == service)?;
        let is_final = self.exposure.state(service)?.is_final();
        (!is_final).then_some(order.target)
    }

    /// Takes the orders that are stored now. Returns what has changed.
    pub fn on_orders<'a>(
        &mut self,
        now: Timestamp,
        objects: impl Iterator<Item = (&'a CompactString, &'a StoredRollout)>,
    ) -> OrderChanges {
        let changes = self.orders.update(now, objects);
        for order in &changes.set {
            self.exposure.on_state(now, order.clone());
        }
        for service in &changes.removed {
            self.exposure.on_removed(*service);
            if let Some(conductor) = &mut self.conductor {
                conductor.on_order_removed(*service);
            }
            self.phases.remove(service);
            self.heard.retain(|(of, _), _| of != service);
        }
        changes
    }

    /// Records that the known orders are those that the store had at `at` or later.
    pub fn on_confirmed(&mut self, at: Timestamp) {
        self.exposure.on_confirmed(at);
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Whether the orders are known as of a time, so that servers that were first seen then can be used.
    pub fn is_confirmed_after(&self, at: Timestamp) -> bool {
        !self.is_enabled() || self.confirmed_at.is_some_and(|confirmed| confirmed > at)
    }

    /// Takes a permit of the host that is at place `rank`, from 0, in the rendezvous order of the
    /// service; `None` if it is not known there.
    pub fn on_permit(&mut self, now: Timestamp, rank: Option<usize>, permit: RolloutPermit) {
        self.exposure.on_permit(now, permit);
        if self.orders.get(permit.order).is_some() {
            self.phases.insert(permit.service, permit.phase);
        }
        if let Some(rank) = rank {
            let heard = Heard {
                order: permit.order,
                rank,
                at: now,
            };
            self.heard.insert((permit.service, rank), heard);
        }
    }

    /// Takes the report of a host, this one included.
    pub fn on_report(&mut self, now: Timestamp, from: u64, report: RolloutReport) {
        if let Some(conductor) = &mut self.conductor {
            conductor.on_report(now, from, report);
        }
    }

    /// Takes the result of a write of the status of an order.
    pub fn on_written(
        &mut self,
        now: Timestamp,
        order: u64,
        result: Result<RolloutState, WriteError>,
    ) {
        if let Some(conductor) = &mut self.conductor {
            conductor.on_written(now, order, result);
        }
    }

    /// Decides what this host has to do as the conductor of orders. `rank_of` gives its place in the
    /// rendezvous order of a service, `None` if it conducts none.
    pub fn tick(
        &mut self,
        now: Timestamp,
        rank_of: impl Fn(u64) -> Option<usize>,
    ) -> Vec<ConductorAction> {
        let Some(conductor) = &mut self.conductor else {
            return Vec::new();
        };
        let mut conducted = HashMap::new();
        for tracked in self.orders.iter() {
            let order = &tracked.order;
            let rank = rank_of(order.service_hash);
            if rank.is_some_and(|rank| is_first_alive(now, order, rank, &self.heard)) {
                let revision = tracked.stored.revision;
                let known = self.conducted.get(&order.identity);
                if known.is_none() {
                    conductor.on_order(now, order.clone());
                }
                // What was written since is known before it is read. The platform may also have gone
                // back to a state from before a final one was written.
                if known != Some(&revision) {
                    let mut stored = order.clone();
                    stored.state = tracked.stored_state();
                    conductor.on_order(now, stored);
                }
                conducted.insert(order.identity, revision);
            } else {
                conductor.on_order_removed(order.service_hash);
            }
        }
        self.conducted = conducted;
        conductor.tick(now)
    }

    /// Whether this host conducts an order.
    pub fn is_conducting(&self, order: u64) -> bool {
        self.conducted.contains_key(&order)
    }

    /// Number of servers that the requests to the target version are sent to while few of them are, so
    /// that each of these has as many requests as one of the `others`, the servers of other versions. A
    /// version that is bad only under load shows it only then. `None` if requests need not be
    /// concentrated.
    pub fn trial_servers(&self, service: u64, version: VersionId, others: usize) -> Option<usize> {
        let bounds = self.bounds?;
        self.target_in_progress(service)
            .filter(|target| *target == version)?;
        let is_canary = matches!(self.phases.get(&service), Some(RolloutPhase::Canary { .. }));
        let servers = bounds.exposure_share / 2.0 * others as f64;
        is_canary.then_some((servers as usize).max(1))
    }
}

/// Whether no host before the one of a rank has been heard of lately, as far as that one can know.
fn is_first_alive(
    now: Timestamp,
    order: &Order,
    rank: usize,
    heard: &HashMap<(u64, usize), Heard>,
) -> bool {
    let of_service = heard
        .iter()
        .filter(|((of, _), _)| *of == order.service_hash);
    let before = of_service
        .map(|(_, heard)| heard)
        .filter(|heard| heard.order == order.identity && heard.rank < rank);
    let heard_at = before.map(|heard| heard.at).max();
    let silent_since = heard_at.unwrap_or(order.learned_at);
    let ranks = u32::try_from(rank).unwrap_or(u32::MAX);
    now.since(silent_since) >= TAKEOVER_DELAY.saturating_mul(ranks)
}
