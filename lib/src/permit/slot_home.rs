//! The home host of slots: which requests occupy them, and when it may grant them.
//!
//! A slot is one unit of the number of requests that a cold or warming backend server may run at
//! once. Each slot has one home host, which alone grants it. A gateway, the part of an entry host
//! (a host that accepts requests from callers) that dispatches the requests to servers, first gets
//! a grant from a scheduler, which names the server and the slot. If the server is not warm, the
//! gateway also asks the slot's home host for a permit before it dispatches. Two schedulers may be
//! active for a server at once; the home host grants a slot to one request at a time and so keeps
//! them within the server's limit. The home host keeps its state in memory only. A new home host
//! therefore first learns from the gateways' announcements which slots are in use.

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

/// The home host of a slot, chosen by rendezvous hashing among `listed`, the listed hosts of the
/// server's failure domain. `None` if there are none. It does not depend on which hosts are alive,
/// because hosts may disagree on that.
pub fn slot_home(
    listed: impl IntoIterator<Item = HostId>,
    server: ServerId,
    slot: u32,
) -> Option<HostId> {
    let key = xxh3_64_with_seed(&server.0.to_le_bytes(), u64::from(slot));
    rendezvous(listed, key)
}

/// A server and the number of one of its slots.
type SlotKey = (ServerId, u32);

/// Time in which a gateway that was granted a slot has dispatched the request or given up, so that
/// its announcements show whether it uses the slot. Longer than a scheduler's grant is valid (2 s),
/// because the gateway may dispatch the request until that grant expires.
const DISPATCH_TIMEOUT: Duration = Duration::from_secs(3);

/// A request that occupies a slot.
#[derive(Clone, Copy, Debug)]
struct Holder {
    gateway: HostId,
    /// Identifies the process start of the gateway's host.
    incarnation: Incarnation,
    request: RequestId,
    /// Until this time the gateway's announcements may omit the request although it uses the slot.
    dispatch_by: Timestamp,
}

impl Holder {
    /// Whether both are the same request of the same incarnation. `dispatch_by` does not count.
    fn is_same_holder(&self, other: &Self) -> bool {
        (self.gateway, self.incarnation, self.request)
            == (other.gateway, other.incarnation, other.request)
    }
}

/// Hosts whose gateways may occupy slots.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SlotGateways {
    /// Every host in the host list, of all failure domains.
    pub listed: Vec<HostId>,
    /// Hosts that are considered alive.
    pub alive: Vec<HostId>,
    /// Revision of the host list.
    pub revision: u64,
}

/// Occupancy of the slots whose home is one host.
///
/// A slot stays occupied until its holder, the request that was granted it, releases it or the
/// holder's gateway is lost. After its start and after a change of the listed hosts, a home host
/// may not know every holder and refuses permit requests for free slots. It is ready again
/// - once every listed host has announced its slots under the same or a newer host list, because
///   then no gateway asks an earlier home host any more; or
/// - if some listed host is silent, once the quarantine has passed and every live host has
///   announced its slots. The quarantine is a waiting time, set by the caller of
///   [`Self::set_hosts`], in which other hosts may still use an older host list and ask an earlier
///   home host.
#[derive(Clone, Debug)]
pub struct SlotHome {
    own_host: HostId,
    domain: DomainId,
    /// End of the latest quarantine.
    quarantine_end: Timestamp,
    /// Requests that occupy each slot. A slot has more than one only if gateways announced several.
    holders: BTreeMap<SlotKey, Vec<Holder>>,
    /// Latest incarnation seen of each gateway.
    incarnations: BTreeMap<HostId, Incarnation>,
    /// Live hosts that have not announced their slots under the required host list.
    pending_alive: BTreeSet<HostId>,
    /// Listed hosts that have not announced their slots under the required host list, `None` before
    /// the first call of [`Self::set_hosts`].
    pending_listed: Option<BTreeSet<HostId>>,
    /// Lowest revision of the host list that an announcement must be based on to count.
    required_revision: u64,
    /// Revision of the host list in each gateway's latest announcement.
    announced_revisions: BTreeMap<HostId, u64>,
}

impl SlotHome {
    /// Creates a home host without any state. It refuses permit requests until it is ready, see
    /// [`Self::is_ready`]. `quarantine_end` is the time until which a silent listed host delays
    /// readiness.
    pub fn new(own_host: HostId, domain: DomainId, quarantine_end: Timestamp) -> Self {
        Self {
            own_host,
            domain,
            quarantine_end,
            holders: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            pending_alive: BTreeSet::new(),
            pending_listed: None,
            required_revision: 0,
            announced_revisions: BTreeMap::new(),
        }
    }

    /// ID of the home host.
    pub fn own_host(&self) -> HostId {
        self.own_host
    }

    /// Failure domain of the home host and the servers.
    pub fn domain(&self) -> DomainId {
        self.domain
    }

    /// Replaces the hosts and waits for their announcements again, because slots may have moved
    /// from one home host to another. `quarantine_end` is the time until which a silent listed host
    /// delays readiness.
    pub fn set_hosts(&mut self, gateways: SlotGateways, quarantine_end: Timestamp) {
        self.required_revision = gateways.revision;
        self.quarantine_end = self.quarantine_end.max(quarantine_end);
        self.pending_alive = self.pending_among(gateways.alive);
        self.pending_listed = Some(self.pending_among(gateways.listed));
    }

    /// Hosts that have not announced their slots under the required host list.
    fn pending_among(&self, gateways: Vec<HostId>) -> BTreeSet<HostId> {
        let is_pending = |host: &HostId| {
            let announced = self.announced_revisions.get(host);
            announced.is_none_or(|revision| *revision < self.required_revision)
        };
        gateways.into_iter().filter(is_pending).collect()
    }

    /// Stops waiting for the announcement of a host that is no longer considered alive. Its slots
    /// stay occupied, because a host that is only unreachable may still run requests.
    pub fn stop_awaiting(&mut self, gateway: HostId) {
        self.pending_alive.remove(&gateway);
    }

    /// Whether every holder is known at `now`, so that free slots may be granted. See [`SlotHome`].
    pub fn is_ready(&self, now: Timestamp) -> bool {
        let all_listed_announced = self.pending_listed.as_ref().is_some_and(BTreeSet::is_empty);
        all_listed_announced
            || (self.quarantine_end.has_passed(now) && self.pending_alive.is_empty())
    }

    /// Answers a permit request. `is_home` tells whether this host is the home of the slot
    /// according to the host list. A repeated permit request for the holder is granted again, as
    /// the first answer may have been lost.
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

    /// Frees a slot if the gateway `from` holds it for the request in `release`.
    pub fn release(&mut self, from: HostId, release: PermitRelease) {
        let key = (release.server, release.slot);
        self.retain_holders(key, |holder| {
            holder.gateway != from || holder.request != release.request
        });
    }

    /// Replaces the known slots of a gateway by those that it announces. A slot that it was granted
    /// within the last 3 s stays occupied even if it is not announced, because the announcement may
    /// have been sent before the permit arrived.
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
        self.remove_holders(|holder| {
            holder.gateway == gateway && holder.dispatch_by.has_passed(now)
        });
        for (request, server, slot) in held {
            let holder = Holder {
                gateway,
                incarnation,
                request,
                dispatch_by: now,
            };
            let holders = self.holders.entry((server, slot)).or_default();
            holders.retain(|known| !known.is_same_holder(&holder));
            holders.push(holder);
        }
        self.record_announcement(gateway, list_revision);
    }

    /// Frees all slots of a gateway whose host has restarted, or is dead and no longer in the host
    /// list.
    pub fn gateway_lost(&mut self, gateway: HostId) {
        self.remove_holders(|holder| holder.gateway == gateway);
        self.pending_alive.remove(&gateway);
    }

    /// Records the host list revision of an announcement, and stops waiting for the gateway if the
    /// revision is recent enough.
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

    /// Number of slots that are occupied.
    pub fn occupied(&self) -> usize {
        self.holders.len()
    }

    /// Lets `holder` occupy a slot if the slot is free and may be granted, or if it is already the
    /// holder. Returns whether it occupies the slot.
    fn occupy(&mut self, now: Timestamp, key: SlotKey, holder: Holder, is_home: bool) -> bool {
        if let Some(holders) = self.holders.get(&key) {
            return holders.iter().all(|known| known.is_same_holder(&holder));
        }
        if !is_home || !self.is_ready(now) {
            return false;
        }
        self.holders.insert(key, vec![holder]);
        true
    }

    /// Records the incarnation of a gateway. A newer one frees the slots of earlier ones and
    /// discards the announced revision, so that the next [`Self::set_hosts`] waits for an
    /// announcement of the new incarnation. Returns whether `incarnation` is the latest.
    fn observe_incarnation(&mut self, gateway: HostId, incarnation: Incarnation) -> bool {
        let known = self.incarnations.entry(gateway).or_insert(incarnation);
        if incarnation < *known {
            return false;
        }
        if incarnation > *known {
            *known = incarnation;
            self.announced_revisions.remove(&gateway);
            self.remove_holders(|holder| holder.gateway == gateway);
        }
        true
    }

    /// Keeps only those holders of a slot that `keep` matches.
    fn retain_holders(&mut self, key: SlotKey, keep: impl Fn(&Holder) -> bool) {
        if let Some(holders) = self.holders.get_mut(&key) {
            holders.retain(keep);
            if holders.is_empty() {
                self.holders.remove(&key);
            }
        }
    }

    /// Frees all slots of the holders that `lost` matches.
    fn remove_holders(&mut self, lost: impl Fn(&Holder) -> bool) {
        self.holders.retain(|_, holders| {
            holders.retain(|holder| !lost(holder));
            !holders.is_empty()
        });
    }
}
