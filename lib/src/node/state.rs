//! The node's state and the handling of its events.

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

/// Time after its start for which a home host grants no slot: requests of its earlier life may
/// still run, and host lists of others may still lag.
pub(super) const SLOT_QUARANTINE: Duration = Duration::from_secs(5);

/// Who a node is.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// Name in the host list.
    pub name: CompactString,
    /// Name of the failure domain.
    pub domain: CompactString,
    /// This life of the host.
    pub incarnation: Incarnation,
}

/// Clock of another host as its latest heartbeat gave it.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerClock {
    stamp: Timestamp,
    heard_at: Timestamp,
}

/// The latest announcement of a shard's state.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastAnnouncement {
    /// The scheduler that it went to.
    pub(super) scheduler: HostId,
    /// Life of the scheduler.
    pub(super) incarnation: Incarnation,
    /// When the next one is due.
    pub(super) next: Timestamp,
    /// Number of charges that it told.
    pub(super) charges: u64,
}

/// The decisions of one host.
pub struct Node {
    pub(super) identity: NodeIdentity,
    pub(super) own: HostId,
    pub(super) own_domain: DomainId,
    pub(super) members: Membership,
    pub(super) list: HostList,
    pub(super) catalog: Catalog,
    pub(super) follower: Follower,
    pub(super) requests: RequestTable,
    pub(super) pools: BTreeMap<PoolKey, Scheduler>,
    pub(super) slots: SlotHome,
    /// Dead hosts, and when the places of their requests are given to others.
    pub(super) dead_hosts: BTreeMap<HostId, Timestamp>,
    /// Hosts that give out the slots of the own failure domain.
    pub(super) slot_homes: Vec<HostId>,
    /// When this gateway tells next which slots it holds.
    pub(super) next_holdings: Timestamp,
    pub(super) clocks: BTreeMap<HostId, PeerClock>,
    /// To whom each shard's state was last announced.
    pub(super) last_announcements: BTreeMap<PoolKey, LastAnnouncement>,
    /// Whether this gateway held slots when it last told so.
    pub(super) had_holdings: bool,
    /// No configuration is asked for before this time.
    pub(super) next_configuration_request: Timestamp,
    pub(super) stopping: bool,
    pub(super) watching: bool,
    /// Messages of the node to itself that wait to be handled.
    self_messages: VecDeque<PeerMessage>,
}

impl Node {
    /// Makes the node of a host that knows nothing but itself.
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
            next_holdings: now,
            clocks: BTreeMap::new(),
            last_announcements: BTreeMap::new(),
            had_holdings: false,
            next_configuration_request: now,
            stopping: false,
            watching: false,
            self_messages: VecDeque::new(),
            identity,
        }
    }

    /// Handles an event and appends the actions that follow from it.
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

    /// The reading of the fleet that routing questions are answered from.
    pub(super) fn routes(&self) -> Routes<'_> {
        Routes {
            own_domain: self.own_domain,
            members: &self.members,
            catalog: &self.catalog,
        }
    }

    /// Runs a step of the request table and performs what it asks for.
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

    /// Runs a shard's scheduler and sends what it asks for.
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

    /// Sends a message to a host, which may be this one.
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
                // The gateway's clock is unknown. Its next announcement asks for the grant again.
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

    /// Notes the clock of another host from its heartbeat.
    pub(super) fn record_clock(&mut self, now: Timestamp, host: HostId, clock_us: u64) {
        let clock = PeerClock {
            stamp: Timestamp::from_micros(clock_us),
            heard_at: now,
        };
        self.clocks.insert(host, clock);
    }

    /// Sets the time at which a grant lapses on the clock of its gateway.
    ///
    /// The gateway read its clock before it sent the heartbeat, so the estimate never runs ahead
    /// of the gateway's clock and the grant never lapses late.
    fn with_expiry(&self, now: Timestamp, to: HostId, mut grant: Grant) -> Option<Grant> {
        let gateway_now = if to == self.own {
            now
        } else {
            let clock = self.clocks.get(&to)?;
            clock.stamp + now.since(clock.heard_at)
        };
        let expires_at = gateway_now + Duration::from_micros(grant.remaining_us);
        grant.lapses_at_us = expires_at.as_micros();
        Some(grant)
    }

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

    /// Configuration in force.
    pub(super) fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.follower.configuration()
    }

    /// Rebuilds what follows from the host list and the configuration, and shows it.
    pub(super) fn rebuild_catalog(&mut self, now: Timestamp, out: &mut Vec<NodeAction>) {
        let configuration = self.follower.configuration().cloned();
        self.catalog = Catalog::build(&self.list, configuration.as_deref());
        self.publish_view(out);
        self.reassign_roles(now, out);
    }

    /// Shows the traffic threads the current reading of the fleet.
    pub(super) fn publish_view(&self, out: &mut Vec<NodeAction>) {
        let view: FleetView = self.view();
        out.push(NodeAction::View(Arc::new(view)));
    }
}
