//! The node's state, and how events are passed to its parts.
//!
//! A node is one host's part in the fleet. For its callers (clients) it is a gateway, which sends a
//! bid for each request to the scheduler of a shard: the servers of one service in one failure
//! domain (`pool` in identifiers). The scheduler answers with a grant of a server. A server is warm
//! once its capacity has been learnt. Before that, a request also needs a permit for a slot, one
//! unit of the server's limit, from the host that is the slot's home. The platform is the external
//! system that stores the host list and the configuration.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;

use super::Catalog;
use super::NodeAction;
use super::NodeEvent;
use super::routes::Routes;
use crate::configuration::Configuration;
use crate::configuration::Follower;
use crate::control::DispatchOrder;
use crate::control::FleetView;
use crate::control::Verdict;
use crate::host::HostList;
use crate::host::Membership;
use crate::id::DomainId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::message::Grant;
use crate::message::PeerMessage;
use crate::permit::SlotHome;
use crate::pool::PoolAction;
use crate::pool::PoolEvent;
use crate::pool::PoolKey;
use crate::pool::Scheduler;
use crate::request::RequestAction;
use crate::request::RequestTable;
use crate::request::Routing;
use crate::time::Timestamp;

/// Quarantine of a home host: time after its start, or after a change of the home hosts, in which
/// it refuses permits. Requests with permits from before may still run, and other hosts may still
/// use an older host list. The quarantine ends early once all listed hosts have announced the slots
/// that they hold, and is extended while a live host has not.
pub(super) const SLOT_QUARANTINE: Duration = Duration::from_secs(5);

/// Identity of a node.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// Name in the host list.
    pub name: CompactString,
    /// Name of the failure domain.
    pub domain: CompactString,
    /// Incarnation: identifies this start of the host, and rises with each restart.
    pub incarnation: Incarnation,
}

/// Reading of another host's clock, from the latest heartbeat of that host.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerClock {
    /// Time on the other host's clock when it sent the heartbeat.
    peer_time: Timestamp,
    /// Time on this host's clock when the heartbeat arrived.
    received_at: Timestamp,
}

/// The latest announcement of this gateway's state to the scheduler of a shard.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastAnnouncement {
    /// Host of the scheduler.
    pub(super) scheduler: HostId,
    /// Incarnation of that host.
    pub(super) incarnation: Incarnation,
    /// When the next announcement is due.
    pub(super) next: Timestamp,
    /// Number of charges up to which cost totals were announced.
    pub(super) charges: u64,
}

/// State and decision logic of one entry host.
pub struct Node {
    pub(super) identity: NodeIdentity,
    /// This host.
    pub(super) own: HostId,
    /// Failure domain of this host.
    pub(super) own_domain: DomainId,
    /// What this host knows of every host: whether it is listed and alive, and its roles.
    pub(super) members: Membership,
    /// Latest host list from the platform.
    pub(super) list: HostList,
    /// Servers, services and shards, from the host list and the configuration.
    pub(super) catalog: Catalog,
    /// Configuration in force.
    pub(super) follower: Follower,
    /// Open requests of this host's callers.
    pub(super) requests: RequestTable,
    /// Schedulers of the shards that this host is responsible for.
    pub(super) pools: BTreeMap<PoolKey, Scheduler>,
    /// Slots of which this host is the home. Each is one unit of the limit of a server that is not
    /// warm, and is permitted to one request at a time.
    pub(super) slots: SlotHome,
    /// Dead hosts, each with the time when the capacity that its requests take on warm servers is
    /// freed. [`Timestamp::FAR_FUTURE`] means that it has been freed already.
    pub(super) dead_hosts: BTreeMap<HostId, Timestamp>,
    /// Hosts that are homes of the own failure domain's slots.
    pub(super) slot_homes: Vec<HostId>,
    /// When this gateway next announces which slots it holds.
    pub(super) next_slot_announcement: Timestamp,
    /// Clocks of other hosts. The expiry of a grant is given on the clock of its gateway.
    pub(super) clocks: BTreeMap<HostId, PeerClock>,
    /// Latest announcement to the scheduler of each shard.
    pub(super) last_announcements: BTreeMap<PoolKey, LastAnnouncement>,
    /// Whether this gateway held slots at the previous periodic announcement of held slots.
    pub(super) had_held_slots: bool,
    /// No newer configuration is requested before this time.
    pub(super) next_configuration_request: Timestamp,
    /// Whether a planned stop has begun.
    pub(super) stopping: bool,
    /// Whether this host watches the configuration on the platform.
    pub(super) watching: bool,
    /// Messages from the node to itself, handled before [`Node::handle`] returns.
    self_messages: VecDeque<PeerMessage>,
}

impl Node {
    /// Creates the node of a host that knows no other host and has no configuration yet.
    pub fn new(identity: NodeIdentity, now: Timestamp) -> Self {
        let own = HostId::of(&identity.name);
        let own_domain = DomainId::of(&identity.domain);
        let incarnation = identity.incarnation;
        Self {
            own,
            own_domain,
            members: Membership::new(own, own_domain, incarnation, now),
            list: HostList::default(),
            catalog: Catalog::default(),
            follower: Follower::default(),
            requests: RequestTable::new(own, incarnation),
            pools: BTreeMap::new(),
            slots: SlotHome::new(own, own_domain, now + SLOT_QUARANTINE),
            dead_hosts: BTreeMap::new(),
            slot_homes: Vec::new(),
            next_slot_announcement: now,
            clocks: BTreeMap::new(),
            last_announcements: BTreeMap::new(),
            had_held_slots: false,
            next_configuration_request: now,
            stopping: false,
            watching: false,
            self_messages: VecDeque::new(),
            identity,
        }
    }

    /// Handles an event at time `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Timestamp, event: NodeEvent, out: &mut Vec<NodeAction>) {
        self.handle_one(now, event, out);
        while let Some(message) = self.self_messages.pop_front() {
            self.receive(now, self.own, self.identity.incarnation, message, out);
        }
    }

    fn handle_one(&mut self, now: Timestamp, event: NodeEvent, out: &mut Vec<NodeAction>) {
        match event {
            NodeEvent::Submit { ticket, spec } => {
                self.with_requests(now, out, |table, routing, actions| {
                    table.submit(now, routing, ticket, spec, actions);
                });
            }
            NodeEvent::ReturnOrder {
                ticket,
                unreachable,
            } => self.with_requests(now, out, |table, routing, actions| {
                table.return_order(now, routing, ticket, unreachable, actions);
            }),
            NodeEvent::Progress { ticket, cost } => {
                self.with_requests(now, out, |table, routing, actions| {
                    table.progress(routing, ticket, cost, actions);
                });
            }
            NodeEvent::Finish { ticket, report } => {
                self.with_requests(now, out, |table, routing, actions| {
                    table.finish(routing, ticket, report, actions);
                });
            }
            NodeEvent::Abandon { ticket } => {
                self.with_requests(now, out, |table, routing, actions| {
                    table.abandon(routing, ticket, actions);
                })
            }
            NodeEvent::Message {
                from,
                incarnation,
                message,
            } => self.receive(now, from, incarnation, message, out),
            NodeEvent::LinkUp { host, incarnation } => self.link_up(now, host, incarnation, out),
            NodeEvent::LinkDown(host) => self.link_down(now, host),
            NodeEvent::HostList(list) => self.list_read(now, list, out),
            NodeEvent::ConfigurationRead { revision, document } => {
                self.configuration_read(now, revision, document, out);
            }
            NodeEvent::ConfigurationStored(configuration) => {
                self.configuration_stored(now, &configuration, out);
            }
            NodeEvent::Tick => self.tick(now, out),
            NodeEvent::Stop => self.stop(now, out),
        }
    }

    /// Routing queries on the current membership and catalogue.
    pub(super) fn routes(&self) -> Routes<'_> {
        Routes {
            own_domain: self.own_domain,
            members: &self.members,
            catalog: &self.catalog,
        }
    }

    /// Calls `step` with the request table and performs the resulting actions.
    pub(super) fn with_requests(
        &mut self,
        now: Timestamp,
        out: &mut Vec<NodeAction>,
        step: impl FnOnce(&mut RequestTable, &Routing<'_>, &mut Vec<RequestAction>),
    ) {
        let mut actions = Vec::new();
        let routes = Routes {
            own_domain: self.own_domain,
            members: &self.members,
            catalog: &self.catalog,
        };
        let routing = Routing {
            route_bid: &|service, sequence| routes.route_bid(service, sequence),
            scheduler: &|key| routes.members.scheduler(key),
            usable_domain: &|server| routes.usable_domain(server),
            domain: &|server| routes.domain(server),
            slot_home: &|server, slot| routes.slot_home(server, slot),
        };
        step(&mut self.requests, &routing, &mut actions);
        for action in actions {
            self.perform(now, action, out);
        }
    }

    /// Passes an event to the scheduler of a shard and sends the resulting messages. Does nothing
    /// if this host does not schedule the shard.
    pub(super) fn with_scheduler(
        &mut self,
        now: Timestamp,
        key: PoolKey,
        event: PoolEvent,
        out: &mut Vec<NodeAction>,
    ) {
        let Some(pool) = self.pools.get_mut(&key) else {
            return;
        };
        let mut actions = Vec::new();
        pool.handle(now, event, &mut actions);
        for PoolAction::Send { to, message } in actions {
            self.send(now, to, message, out);
        }
    }

    /// Sends a message to a host, which may be this one. The expiry time of a grant is set first. A
    /// grant is not sent if the clock of its gateway is not known.
    pub(super) fn send(
        &mut self,
        now: Timestamp,
        to: HostId,
        message: PeerMessage,
        out: &mut Vec<NodeAction>,
    ) {
        let message = match message {
            PeerMessage::Grant(grant) => match self.with_expiry(now, to, grant) {
                Some(grant) => PeerMessage::Grant(grant),
                // The gateway's clock is not known yet. Its next announcement contains the bid
                // again, and the scheduler then sends the grant again.
                None => return,
            },
            message => message,
        };
        if to == self.own {
            self.self_messages.push_back(message);
        } else {
            out.push(NodeAction::Send { to, message });
        }
    }

    /// Records the clock of another host from its heartbeat.
    pub(super) fn record_clock(&mut self, now: Timestamp, host: HostId, clock_us: u64) {
        let clock = PeerClock {
            peer_time: Timestamp::from_micros(clock_us),
            received_at: now,
        };
        self.clocks.insert(host, clock);
    }

    /// Sets the expiry time of a grant on the clock of its gateway, or returns `None` if that clock
    /// is not known.
    ///
    /// Clocks of hosts are not synchronised, so the gateway's clock is extrapolated from its latest
    /// heartbeat. The gateway read its clock before it sent the heartbeat, so the estimate is never
    /// ahead of that clock and the grant never expires late.
    fn with_expiry(&self, now: Timestamp, to: HostId, mut grant: Grant) -> Option<Grant> {
        let gateway_now = if to == self.own {
            now
        } else {
            let clock = self.clocks.get(&to)?;
            clock.peer_time + now.since(clock.received_at)
        };
        let expires_at = gateway_now + Duration::from_micros(grant.remaining_us);
        grant.expires_at_us = expires_at.as_micros();
        Some(grant)
    }

    /// Performs an action of the request table.
    fn perform(&mut self, now: Timestamp, action: RequestAction, out: &mut Vec<NodeAction>) {
        match action {
            RequestAction::Send { to, message } => self.send(now, to, message, out),
            RequestAction::Refuse {
                ticket,
                reason,
                retry_after,
            } => out.push(NodeAction::Verdict {
                ticket,
                verdict: Verdict::Refuse {
                    reason,
                    retry_after,
                },
            }),
            RequestAction::Dispatch {
                ticket,
                server,
                deadline,
            } => {
                let Some(listed) = self.catalog.server(server) else {
                    return;
                };
                let order = DispatchOrder {
                    server,
                    server_name: listed.entry.name.clone(),
                    address: listed.entry.address,
                    deadline,
                };
                out.push(NodeAction::Verdict {
                    ticket,
                    verdict: Verdict::Dispatch(order),
                });
            }
        }
    }

    /// Configuration in force on this host, if there is one.
    pub(super) fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.follower.configuration()
    }

    /// Rebuilds the catalogue from the host list and the configuration, publishes the new snapshot
    /// and reassigns roles.
    pub(super) fn rebuild_catalog(&mut self, now: Timestamp, out: &mut Vec<NodeAction>) {
        let configuration = self.follower.configuration().cloned();
        self.catalog = Catalog::build(&self.list, configuration.as_deref());
        self.publish_view(out);
        self.reassign_roles(now, out);
    }

    /// Publishes a snapshot of the fleet to the traffic threads.
    pub(super) fn publish_view(&self, out: &mut Vec<NodeAction>) {
        let view: FleetView = self.view();
        out.push(NodeAction::View(Arc::new(view)));
    }
}
