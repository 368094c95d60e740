//! Roles of this host: scheduler of shards, home of slots, and watcher of the configuration.
//!
//! The scheduler of a shard (the servers of one service in one failure domain) grants servers to
//! the requests for which gateways bid. The gateway of a request is the host that accepted it. A
//! slot is one unit of the limit of a server that is not warm (whose capacity is not learnt yet);
//! its home permits it to one request at a time. A watcher reads the configuration from the
//! platform, the external system that stores it, on behalf of its failure domain.
//!
//! Each host works out by itself which host has which role, from the host list and from which hosts
//! are alive. A host that takes over a role has none of its predecessor's state, so every gateway
//! announces its requests, and the slots that it holds, to new schedulers and homes. The
//! announcements are also repeated at intervals, which makes up for lost messages.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Node;
use super::NodeAction;
use super::state::LastAnnouncement;
use super::state::SLOT_QUARANTINE;
use crate::host::HostList;
use crate::host::MembershipChange;
use crate::id::DomainId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::message::Heartbeat;
use crate::message::PeerMessage;
use crate::message::PermitHoldings;
use crate::permit::SlotGateways;
use crate::pool::PoolEvent;
use crate::pool::PoolKey;
use crate::pool::PoolMembers;
use crate::pool::Scheduler;
use crate::request::RequestAction;
use crate::time::Timestamp;

/// Time between two announcements to the same scheduler, and between two announcements of held
/// slots. Repeating them makes up for lost messages.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(2);

/// Time from the detected death of a host until the capacity that its requests take on warm servers
/// is freed.
const DEAD_HOST_GRACE: Duration = Duration::from_secs(1);

impl Node {
    /// Records that a message arrived from a host, which shows that the host is alive.
    pub(super) fn record_contact(
        &mut self,
        now: Timestamp,
        from: HostId,
        incarnation: Incarnation,
        message: &PeerMessage,
        out: &mut Vec<NodeAction>,
    ) {
        let heartbeat = match message {
            PeerMessage::Heartbeat(heartbeat) => Some(*heartbeat),
            _ => None,
        };
        let changes = self.members.on_message(now, from, incarnation, heartbeat);
        self.apply_changes(now, changes, out);
    }

    /// Handles a new link to a host: sends it a heartbeat and the slots that this gateway holds,
    /// and repeats the announcements to the schedulers on that host, which may have missed earlier
    /// messages.
    pub(super) fn link_up(
        &mut self,
        now: Timestamp,
        host: HostId,
        incarnation: Incarnation,
        out: &mut Vec<NodeAction>,
    ) {
        let changes = self.members.link_up(now, host, incarnation);
        self.send_heartbeat(now, host, out);
        self.send_held_slots(now, host, out);
        self.last_announcements
            .retain(|_, last| last.scheduler != host);
        self.apply_changes(now, changes, out);
        self.announce(now, out);
    }

    /// Records that the link to a host has broken.
    pub(super) fn link_down(&mut self, now: Timestamp, host: HostId) {
        self.members.link_down(now, host);
    }

    /// Handles a new host list: updates membership, links and catalogue, and announces the slots
    /// that this gateway holds, since the homes of these slots may have changed.
    pub(super) fn list_read(&mut self, now: Timestamp, list: HostList, out: &mut Vec<NodeAction>) {
        let changes = self.members.on_host_list(now, list.clone());
        self.list = list;
        out.push(NodeAction::Connect(self.members.peers_to_connect()));
        self.handle_host_changes(now, &changes, out);
        self.rebuild_catalog(now, out);
        self.announce_held_slots(now, out);
    }

    /// Performs everything that is due at `now`: heartbeats, deadlines and periodic announcements.
    pub(super) fn tick(&mut self, now: Timestamp, out: &mut Vec<NodeAction>) {
        let step = self.members.tick(now);
        for host in step.heartbeats {
            self.send_heartbeat(now, host, out);
        }
        for (host, findings) in step.findings {
            self.send(now, host, PeerMessage::Findings(findings), out);
        }
        self.apply_changes(now, step.changes, out);
        self.with_requests(now, out, |table, routing, actions| {
            table.tick(now, routing, actions);
        });
        let keys: Vec<_> = self.pools.keys().copied().collect();
        for key in keys {
            self.with_scheduler(now, key, PoolEvent::Tick, out);
        }
        self.free_capacity_of_dead_hosts(now, out);
        self.announce(now, out);
        if self.next_slot_announcement.has_passed(now) {
            self.repeat_held_slots(now, out);
        }
    }

    /// Starts a planned stop: tells the other hosts by a heartbeat, so that they take over this
    /// host's roles as scheduler and watcher. Open requests continue.
    pub(super) fn stop(&mut self, now: Timestamp, out: &mut Vec<NodeAction>) {
        self.stopping = true;
        self.members.stop(now);
        for host in self.other_alive_hosts() {
            self.send_heartbeat(now, host, out);
        }
        self.publish_view(out);
        self.reassign_roles(now, out);
    }

    /// Handles changes of the membership and reassigns roles if there are any.
    pub(super) fn apply_changes(
        &mut self,
        now: Timestamp,
        changes: Vec<MembershipChange>,
        out: &mut Vec<NodeAction>,
    ) {
        if changes.is_empty() {
            return;
        }
        self.handle_host_changes(now, &changes, out);
        self.reassign_roles(now, out);
    }

    /// Frees the slots and the server capacity of requests that have ended with their gateway:
    /// those of earlier incarnations of restarted hosts, and those of dead hosts that are no longer
    /// in the host list. Starts the grace period of hosts that have just died.
    fn handle_host_changes(
        &mut self,
        now: Timestamp,
        changes: &[MembershipChange],
        out: &mut Vec<NodeAction>,
    ) {
        for change in changes {
            match *change {
                MembershipChange::HostRestarted { host, .. } => {
                    self.forget_incarnation(now, host, out)
                }
                // The slots that the host holds stay occupied: it may be merely unreachable.
                MembershipChange::HostDown(host) => {
                    self.slots.stop_awaiting(host);
                    self.dead_hosts.insert(host, now + DEAD_HOST_GRACE);
                }
                MembershipChange::HostUp(host) => {
                    self.dead_hosts.remove(&host);
                }
                _ => (),
            }
        }
        self.forget_unlisted(now, out);
    }

    /// Frees the capacity that requests of dead hosts take on warm servers, after
    /// [`DEAD_HOST_GRACE`].
    ///
    /// A host that is considered dead may be merely unreachable and still run requests there; a
    /// warm server tolerates this excess. Slots of servers that are not warm stay occupied until
    /// the host has restarted or the host list has dropped it.
    fn free_capacity_of_dead_hosts(&mut self, now: Timestamp, out: &mut Vec<NodeAction>) {
        let expired: Vec<_> = self
            .dead_hosts
            .iter()
            .filter(|(_, until)| **until != Timestamp::FAR_FUTURE && until.has_passed(now))
            .map(|(host, _)| *host)
            .collect();
        for host in expired {
            self.dead_hosts.insert(host, Timestamp::FAR_FUTURE);
            self.notify_gateway_lost(now, host, out);
        }
    }

    /// Frees the slots and the server capacity of dead hosts that are no longer in the host list.
    fn forget_unlisted(&mut self, now: Timestamp, out: &mut Vec<NodeAction>) {
        let unlisted: Vec<_> = self
            .dead_hosts
            .keys()
            .filter(|host| !self.members.is_listed(**host))
            .copied()
            .collect();
        for host in unlisted {
            self.dead_hosts.remove(&host);
            self.forget_incarnation(now, host, out);
        }
    }

    /// Frees the slots and the server capacity of requests of a host's ended incarnations.
    fn forget_incarnation(&mut self, now: Timestamp, host: HostId, out: &mut Vec<NodeAction>) {
        self.clocks.remove(&host);
        self.slots.gateway_lost(host);
        self.notify_gateway_lost(now, host, out);
    }

    /// Tells all schedulers on this host to drop the requests of a gateway.
    fn notify_gateway_lost(&mut self, now: Timestamp, host: HostId, out: &mut Vec<NodeAction>) {
        let keys: Vec<_> = self.pools.keys().copied().collect();
        for key in keys {
            self.with_scheduler(now, key, PoolEvent::GatewayLost(host), out);
        }
    }

    /// Takes up and gives up roles according to membership and catalogue, moves waiting bids to the
    /// current schedulers, and announces this gateway's state to new schedulers.
    pub(super) fn reassign_roles(&mut self, now: Timestamp, out: &mut Vec<NodeAction>) {
        self.update_slot_homes(now);
        self.update_schedulers(now, out);
        self.with_requests(now, out, |table, routing, actions| {
            table.reroute_bids(now, routing, actions);
        });
        self.announce(now, out);
        self.update_watch(out);
    }

    /// Updates the hosts that are homes of the slots in the own failure domain. After a change this
    /// host refuses permits for free slots until the quarantine is over ([`SLOT_QUARANTINE`]),
    /// since the earlier home of a slot may still permit it.
    fn update_slot_homes(&mut self, now: Timestamp) {
        let listed = self.members.listed_hosts(self.own_domain);
        if listed == self.slot_homes {
            return;
        }
        self.slot_homes = listed;
        let gateways = SlotGateways {
            listed: self.members.listed_hosts_everywhere(),
            alive: self.alive_hosts(),
            revision: self.list.revision,
        };
        self.slots.set_hosts(gateways, now + SLOT_QUARANTINE);
    }

    fn alive_hosts(&self) -> Vec<HostId> {
        let mut hosts = self.members.known_hosts();
        hosts.retain(|host| self.members.alive(*host));
        hosts
    }

    pub(super) fn other_alive_hosts(&self) -> Vec<HostId> {
        let mut hosts = self.alive_hosts();
        hosts.retain(|host| *host != self.own);
        hosts
    }

    /// Creates, updates and drops schedulers, so that this host runs those of exactly the shards
    /// for which it is responsible.
    fn update_schedulers(&mut self, now: Timestamp, out: &mut Vec<NodeAction>) {
        let mut wanted = BTreeSet::new();
        let scheduled: Vec<_> = self
            .catalog
            .pools()
            .filter(|(key, _)| key.domain == self.own_domain)
            .filter(|(key, _)| self.members.scheduler(*key) == Some(self.own))
            .map(|(key, servers)| (key, servers.to_vec()))
            .collect();
        for (key, servers) in scheduled {
            wanted.insert(key);
            let members = PoolMembers {
                listed: self.members.known_hosts(),
                alive: self.alive_hosts(),
                servers,
                peers: self.peer_schedulers(key),
            };
            let own = self.own;
            self.pools
                .entry(key)
                .or_insert_with(|| Scheduler::new(key, own, now));
            self.with_scheduler(now, key, PoolEvent::Members(members), out);
        }
        self.pools.retain(|key, _| wanted.contains(key));
    }

    /// Schedulers of the same service in other failure domains.
    fn peer_schedulers(&self, key: PoolKey) -> Vec<(DomainId, HostId)> {
        self.catalog
            .pools()
            .filter(|(other, _)| other.service == key.service && other.domain != key.domain)
            .filter_map(|(other, _)| {
                let host = self.members.scheduler(other)?;
                Some((other.domain, host))
            })
            .collect()
    }

    /// Starts or stops watching the configuration on the platform.
    fn update_watch(&mut self, out: &mut Vec<NodeAction>) {
        let watching = self
            .members
            .configuration_watchers(self.own_domain)
            .contains(&self.own);
        if watching != self.watching {
            self.watching = watching;
            out.push(NodeAction::WatchConfiguration(watching));
        }
    }

    /// Announces this gateway's state to the schedulers of all shards that are new or for which
    /// [`ANNOUNCEMENT_INTERVAL`] has passed.
    fn announce(&mut self, now: Timestamp, out: &mut Vec<NodeAction>) {
        let keys: Vec<_> = self.catalog.pools().map(|(key, _)| key).collect();
        for key in keys {
            self.announce_to(now, key, out);
        }
    }

    /// Announces this gateway's state to the scheduler of one shard if that is due. If the latest
    /// announcement went to the same incarnation of the same host, only the cost totals that have
    /// changed since then are included.
    fn announce_to(&mut self, now: Timestamp, key: PoolKey, out: &mut Vec<NodeAction>) {
        let Some(scheduler) = self.members.scheduler(key) else {
            self.last_announcements.remove(&key);
            return;
        };
        let incarnation = self.members.incarnation(scheduler).unwrap_or_default();
        let last = self
            .last_announcements
            .get(&key)
            .filter(|last| last.scheduler == scheduler && last.incarnation == incarnation);
        if last.is_some_and(|last| !last.next.has_passed(now)) {
            return;
        }
        let since = last.map_or(0, |last| last.charges);
        let announcement = LastAnnouncement {
            scheduler,
            incarnation,
            next: now + ANNOUNCEMENT_INTERVAL,
            charges: self.requests.charges(),
        };
        self.last_announcements.insert(key, announcement);
        self.with_requests(now, out, |table, routing, actions| {
            let announcement = table.announcement(now, routing, key, since);
            actions.push(RequestAction::Send {
                to: scheduler,
                message: PeerMessage::Announcement(announcement),
            });
        });
    }

    fn send_heartbeat(&mut self, now: Timestamp, to: HostId, out: &mut Vec<NodeAction>) {
        let message = PeerMessage::Heartbeat(Heartbeat {
            revision: self.follower.revision(),
            stopping: self.stopping,
            clock_us: now.as_micros(),
        });
        self.send(now, to, message, out);
    }

    /// Repeats the announcement of held slots. It is left out if there are none now and there were
    /// none at the previous repetition.
    fn repeat_held_slots(&mut self, now: Timestamp, out: &mut Vec<NodeAction>) {
        self.next_slot_announcement = now + ANNOUNCEMENT_INTERVAL;
        let holds = !self.requests.held_slots().is_empty();
        if holds || self.had_held_slots {
            self.announce_held_slots(now, out);
        }
        self.had_held_slots = holds;
    }

    /// Announces the slots that this gateway holds to every host alive, including its own.
    fn announce_held_slots(&mut self, now: Timestamp, out: &mut Vec<NodeAction>) {
        self.next_slot_announcement = now + ANNOUNCEMENT_INTERVAL;
        for host in self.alive_hosts() {
            self.send_held_slots(now, host, out);
        }
    }

    fn send_held_slots(&mut self, now: Timestamp, to: HostId, out: &mut Vec<NodeAction>) {
        let held = self.requests.held_slots();
        let message = PeerMessage::PermitHoldings(PermitHoldings {
            held,
            list_revision: self.list.revision,
        });
        self.send(now, to, message, out);
    }
}
