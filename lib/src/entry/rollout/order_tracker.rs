//! Tells the orders of a service apart as their objects change on the platform.
//!
//! The load: an operator orders a version, and orders it again after it was reverted; hosts write the
//! status of the object in between, and a host that starts sees only the last state of it. A write of the
//! status changes the revision of the object as a write of the order does. The status therefore names the
//! revision of the order that it belongs to.

use std::collections::HashMap;

use compact_str::CompactString;

use super::super::source::StoreRevision;
use super::order::Order;
use super::order::RolloutState;
use super::stored::StoredRollout;
use super::stored::StoredStatus;
use crate::time::Timestamp;

/// An order with the object that it was read from.
#[derive(Clone, Debug, PartialEq)]
pub struct TrackedOrder {
    /// Name of the object.
    pub name: CompactString,
    /// The object as last read.
    pub stored: StoredRollout,
    /// Revision at which the order was written.
    pub ordered_at: u64,
    /// The order.
    pub order: Order,
    /// Status of an earlier order, which the object still had when this one was written.
    earlier_status: Option<StoredStatus>,
}

impl TrackedOrder {
    /// The order of an object that this host has not read before.
    fn new(now: Timestamp, name: &str, stored: &StoredRollout) -> Self {
        let status = stored.status.as_ref();
        let own = status.filter(|status| status.target == stored.target);
        let ordered_at = own.and_then(|status| status.ordered_at);
        let ordered_at = ordered_at.unwrap_or(stored.revision);
        let state = own.map_or(RolloutState::Ordered, |status| status.state);
        Self::with_state(now, name, stored, ordered_at, state)
    }

    fn with_state(
        now: Timestamp,
        name: &str,
        stored: &StoredRollout,
        ordered_at: u64,
        state: RolloutState,
    ) -> Self {
        let revision = StoreRevision {
            era: 0,
            number: ordered_at,
        };
        let (service, target) = (&stored.service, &stored.target);
        let mut order = Order::new(service, target, revision, stored.duration, now);
        order.state = state;
        Self {
            name: name.into(),
            stored: stored.clone(),
            ordered_at,
            order,
            earlier_status: None,
        }
    }

    /// The order of the same object as read later.
    #[must_use]
    pub fn updated(&self, now: Timestamp, stored: &StoredRollout) -> Self {
        let before = &self.stored;
        let is_same_spec = before.service == stored.service
            && before.target == stored.target
            && before.duration == stored.duration;
        let is_newer = stored.revision > before.revision;
        // Only a write of the order leaves the status as it is. The order of a version that already serves
        // all requests changes nothing.
        let is_rewritten = is_newer
            && before.status == stored.status
            && self.order.state != RolloutState::Completed;
        let later = stored
            .status
            .as_ref()
            .filter(|status| status.target == stored.target)
            .and_then(|status| status.ordered_at)
            .filter(|ordered_at| *ordered_at > self.ordered_at);
        if later.is_some() {
            return Self::new(now, &self.name, stored);
        }
        if !is_same_spec || is_rewritten {
            let state = RolloutState::Ordered;
            return Self {
                earlier_status: stored.status.clone(),
                ..Self::with_state(now, &self.name, stored, stored.revision, state)
            };
        }
        let mut updated = self.clone();
        updated.stored = stored.clone();
        // A final state is never changed, also if the platform has gone back to an older one.
        if !self.order.state.is_final() {
            updated.order.state = updated.stored_state();
        }
        updated
    }

    /// State of the order in the object as last read.
    pub fn stored_state(&self) -> RolloutState {
        let status = self.stored.status.as_ref().filter(|status| {
            let is_own = status.ordered_at.is_none_or(|at| at == self.ordered_at);
            let is_earlier = Some(*status) == self.earlier_status.as_ref();
            status.target == self.stored.target && is_own && !is_earlier
        });
        status.map_or(RolloutState::Ordered, |status| status.state)
    }

    /// The status that states a state of this order.
    pub fn status(&self, state: RolloutState) -> StoredStatus {
        StoredStatus {
            state,
            target: self.stored.target.clone(),
            ordered_at: Some(self.ordered_at),
        }
    }
}

/// What an update of the objects changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrderChanges {
    /// Orders that are new, or whose state has changed.
    pub set: Vec<Order>,
    /// Hashes of the services whose order was removed.
    pub removed: Vec<u64>,
}

/// The present order of each service.
#[derive(Debug, Default)]
pub struct OrderTracker {
    by_name: HashMap<CompactString, TrackedOrder>,
}

impl OrderTracker {
    /// Replaces the objects by those that are stored now.
    pub fn update<'a>(
        &mut self,
        now: Timestamp,
        objects: impl Iterator<Item = (&'a CompactString, &'a StoredRollout)>,
    ) -> OrderChanges {
        let mut changes = OrderChanges::default();
        let mut before = std::mem::take(&mut self.by_name);
        for (name, stored) in objects {
            let known = before.remove(name);
            let tracked = match &known {
                Some(known) => known.updated(now, stored),
                None => TrackedOrder::new(now, name, stored),
            };
            if known.is_none_or(|known| known.order != tracked.order) {
                changes.set.push(tracked.order.clone());
            }
            self.by_name.insert(name.clone(), tracked);
        }
        let kept: Vec<_> = self.orders().map(|order| order.service_hash).collect();
        let removed = before.values().map(|known| known.order.service_hash);
        changes.removed = removed.filter(|hash| !kept.contains(hash)).collect();
        changes
    }

    /// All orders.
    pub fn orders(&self) -> impl Iterator<Item = &Order> {
        self.by_name.values().map(|tracked| &tracked.order)
    }

    /// All orders with their objects.
    pub fn iter(&self) -> impl Iterator<Item = &TrackedOrder> {
        self.by_name.values()
    }

    /// The order with an identity, with its object.
    pub fn get(&self, identity: u64) -> Option<&TrackedOrder> {
        let mut all = self.by_name.values();
        all.find(|tracked| tracked.order.identity == identity)
    }
}
