//! The home host's side of slots.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::host::rendezvous;
use crate::id::DomainId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::id::ServerId;
use crate::message::PermitAnswer;
use crate::message::PermitRelease;
use crate::message::PermitRequest;
use crate::time::Timestamp;

/// The home host of a slot, over the listed hosts of the server's failure domain.
pub fn slot_home(
    listed: impl IntoIterator<Item = HostId>,
    server: ServerId,
    slot: u32,
) -> Option<HostId> {
    let key = xxh3_64_with_seed(&server.0.to_le_bytes(), u64::from(slot));
    rendezvous(listed, key)
}

type SlotKey = (ServerId, u32);

/// Time within which a gateway that was given a slot has dispatched the request, so that its
/// announcements list it. It exceeds the term of a grant.
const DISPATCH_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
struct Holder {
    gateway: HostId,
    incarnation: Incarnation,
    request: RequestId,
    /// Until then the gateway's announcements may not list the request yet.
    dispatch_by: Timestamp,
}

impl Holder {
    fn is_same(&self, other: &Self) -> bool {
        (self.gateway, self.incarnation, self.request)
            == (other.gateway, other.incarnation, other.request)
    }
}

/// Hosts whose gateways may hold slots.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SlotGateways {
    /// Every listed host.
    pub listed: Vec<HostId>,
    /// Those that are held to be alive.
    pub alive: Vec<HostId>,
    /// Revision of the host list.
    pub revision: u64,
}

/// Slots that one host gives out.
///
/// A slot stays occupied until its holder releases it or is lost. A home that may not know every
/// holder refuses all requests: after its start, and after a change of the listed hosts. It knows
/// them once every listed host has announced what it holds by the same or a newer host list,
/// because then no gateway asks an earlier home any more. If some host is silent, the quarantine
/// must pass, and every host alive must have announced.
#[derive(Clone, Debug)]
pub struct SlotHome {
    own_host: HostId,
    domain: DomainId,
    quarantine: Timestamp,
    holders: BTreeMap<SlotKey, Vec<Holder>>,
    incarnations: BTreeMap<HostId, Incarnation>,
    /// Hosts alive that have not announced.
    pending_alive: BTreeSet<HostId>,
    /// Listed hosts that have not announced by the list that `required_revision` numbers, or none known.
    pending_listed: Option<BTreeSet<HostId>>,
    required_revision: u64,
    /// Revision of the list by which each gateway announced last.
    announced_revisions: BTreeMap<HostId, u64>,
}

impl SlotHome {
    /// Makes a home that refuses until `quarantine` has passed and every host of `set_hosts` has
    /// announced what it holds.
    pub fn new(own_host: HostId, domain: DomainId, quarantine: Timestamp) -> Self {
        Self {
            own_host,
            domain,
            quarantine,
            holders: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            pending_alive: BTreeSet::new(),
            pending_listed: None,
            required_revision: 0,
            announced_revisions: BTreeMap::new(),
        }
    }

    /// The host that gives the slots out.
    pub fn own_host(&self) -> HostId {
        self.own_host
    }

    /// Failure domain of the servers.
    pub fn domain(&self) -> DomainId {
        self.domain
    }

    /// Starts a quarantine, because homes have moved.
    pub fn set_hosts(&mut self, gateways: SlotGateways, quarantine: Timestamp) {
        self.required_revision = gateways.revision;
        self.quarantine = self.quarantine.max(quarantine);
        self.pending_alive = self.pending_among(gateways.alive);
        self.pending_listed = Some(self.pending_among(gateways.listed));
    }

    fn pending_among(&self, gateways: Vec<HostId>) -> BTreeSet<HostId> {
        let is_pending = |host: &HostId| {
            let announced_revisions = self.announced_revisions.get(host);
            announced_revisions.is_none_or(|revision| *revision < self.required_revision)
        };
        gateways.into_iter().filter(is_pending).collect()
    }

    /// Stops waiting for the announcement of a host that is no longer held to be alive. What it
    /// holds stays occupied.
    pub fn stop_awaiting(&mut self, gateway: HostId) {
        self.pending_alive.remove(&gateway);
    }

    /// Whether requests are answered from complete knowledge at `now`.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        let all_listed_announced = self.pending_listed.as_ref().is_some_and(BTreeSet::is_empty);
        all_listed_announced || (self.quarantine.has_passed(now) && self.pending_alive.is_empty())
    }

    /// Answers a request for a slot. `is_home` says whether this host is the home of the slot by
    /// the host list. A repeated request of the holder is granted again.
    pub fn request(
        &mut self,
        now: Timestamp,
        from: HostId,
        from_incarnation: Incarnation,
        req: PermitRequest,
        is_home: bool,
    ) -> PermitAnswer {
        let current = self.observe_incarnation(from, from_incarnation);
        let holder = Holder {
            gateway: from,
            incarnation: from_incarnation,
            request: req.request,
            dispatch_by: now + DISPATCH_TIMEOUT,
        };
        let granted = current && self.occupy(now, (req.server, req.slot), holder, is_home);
        PermitAnswer {
            request: req.request,
            server: req.server,
            slot: req.slot,
            granted,
        }
    }

    /// Frees a slot if `from` holds it for that request.
    pub fn release(&mut self, from: HostId, release: PermitRelease) {
        let key = (release.server, release.slot);
        self.retain(key, |holder| {
            holder.gateway != from || holder.request != release.request
        });
    }

    /// Takes in everything that a gateway holds, in place of what was known of that gateway. A
    /// slot that was given lately stays occupied: the permit may have crossed the announcement.
    pub fn announced(
        &mut self,
        now: Timestamp,
        gateway: HostId,
        incarnation: Incarnation,
        list_revision: u64,
        held: impl IntoIterator<Item = (RequestId, ServerId, u32)>,
    ) {
        if !self.observe_incarnation(gateway, incarnation) {
            return;
        }
        self.forget(|holder| holder.gateway == gateway && holder.dispatch_by.has_passed(now));
        for (request, server, slot) in held {
            let holder = Holder {
                gateway,
                incarnation,
                request,
                dispatch_by: now,
            };
            let holders = self.holders.entry((server, slot)).or_default();
            holders.retain(|known| !known.is_same(&holder));
            holders.push(holder);
        }
        self.record_announcement(gateway, list_revision);
    }

    /// Frees everything that earlier lives of a gateway held, because they have ended.
    pub fn gateway_lost(&mut self, gateway: HostId) {
        self.forget(|holder| holder.gateway == gateway);
        self.pending_alive.remove(&gateway);
    }

    fn record_announcement(&mut self, gateway: HostId, list_revision: u64) {
        self.announced_revisions.insert(gateway, list_revision);
        if list_revision < self.required_revision {
            return;
        }
        self.pending_alive.remove(&gateway);
        if let Some(pending_listed) = &mut self.pending_listed {
            pending_listed.remove(&gateway);
        }
    }

    /// Slots that are occupied now.
    pub fn occupied(&self) -> usize {
        self.holders.len()
    }

    fn occupy(&mut self, now: Timestamp, key: SlotKey, holder: Holder, is_home: bool) -> bool {
        if let Some(holders) = self.holders.get(&key) {
            return holders.iter().all(|known| known.is_same(&holder));
        }
        if !is_home || !self.is_ready(now) {
            return false;
        }
        self.holders.insert(key, vec![holder]);
        true
    }

    /// Notes the life of a gateway; a later life frees what earlier ones held. Returns whether
    /// the life is the latest one.
    fn observe_incarnation(&mut self, gateway: HostId, incarnation: Incarnation) -> bool {
        let known = self.incarnations.entry(gateway).or_insert(incarnation);
        if incarnation < *known {
            return false;
        }
        if incarnation > *known {
            *known = incarnation;
            self.announced_revisions.remove(&gateway);
            self.forget(|holder| holder.gateway == gateway);
        }
        true
    }

    fn retain(&mut self, key: SlotKey, keep: impl Fn(&Holder) -> bool) {
        if let Some(holders) = self.holders.get_mut(&key) {
            holders.retain(keep);
            if holders.is_empty() {
                self.holders.remove(&key);
            }
        }
    }

    fn forget(&mut self, lost: impl Fn(&Holder) -> bool) {
        self.holders.retain(|_, holders| {
            holders.retain(|holder| !lost(holder));
            !holders.is_empty()
        });
    }
}
