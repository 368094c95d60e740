//! Deterministic simulation of schedulers, gateways, slot homes and fake servers on a few hosts.
//!
//! Each failure domain has one host, which is scheduler, gateway and slot home. A gateway accepts
//! callers' requests and sends the scheduler a bid for each; the scheduler grants them to servers;
//! a slot home permits the requests to servers that are not warm. Tests can add hosts. Messages
//! between hosts are delayed; tests can also have them lost or duplicated at random, and cut links.
//! Simulated time advances in steps of 1 ms.

#![allow(dead_code, reason = "each test file uses a part of the simulation")]

mod gateway;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cardamomshift_lib::host::ServiceKind;
use cardamomshift_lib::id::DomainId;
use cardamomshift_lib::id::HostId;
use cardamomshift_lib::id::Incarnation;
use cardamomshift_lib::id::ServerId;
use cardamomshift_lib::id::ServiceId;
use cardamomshift_lib::message::PeerMessage;
use cardamomshift_lib::permit::SlotHome;
use cardamomshift_lib::pool::PoolAction;
use cardamomshift_lib::pool::PoolEvent;
use cardamomshift_lib::pool::PoolKey;
use cardamomshift_lib::pool::PoolMembers;
use cardamomshift_lib::pool::PoolServer;
use cardamomshift_lib::pool::Scheduler;
use cardamomshift_lib::time::Timestamp;

pub(crate) use gateway::Gateway;
pub(crate) use gateway::RequestSpec;

pub(crate) const SERVICE: ServiceId = ServiceId(9);
const STEP: Duration = Duration::from_millis(1);
/// Steps between two ticks of a scheduler.
const TICK_STEPS: u64 = 20;
/// Steps after which a gateway sends its bids again.
const RESEND_BIDS_STEPS: u64 = 400;
/// Steps between two announcements of a gateway.
const ANNOUNCE_STEPS: u64 = 2_000;

/// A backend server that fails requests beyond its capacity.
#[derive(Debug)]
pub(crate) struct FakeServer {
    pub(crate) domain: DomainId,
    /// Number of requests that can run at the same time and succeed.
    pub(crate) capacity: u32,
    /// Identifies the process of the server.
    pub(crate) instance: u64,
    pub(crate) usable: bool,
    /// Whether every request fails, also within the capacity.
    pub(crate) failing: bool,
    pub(crate) running: u32,
    /// Most requests that ran at the same time.
    pub(crate) peak_running: u32,
    /// Requests dispatched so far.
    pub(crate) dispatched: u64,
    /// Requests dispatched so far beyond the capacity.
    pub(crate) overloaded: u64,
}

/// Network faults. Shares are in thousandths of the messages.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) lost_per_mille: u64,
    pub(crate) duplicated_per_mille: u64,
    /// Longest random delay in addition to the regular delay of 1 ms, in milliseconds.
    pub(crate) jitter_ms: u64,
}

pub(crate) struct Simulation {
    pub(crate) now: Timestamp,
    pub(crate) faults: Faults,
    /// Links, as sender and receiver, on which messages are dropped.
    pub(crate) cut_links: BTreeSet<(HostId, HostId)>,
    pub(crate) domains: BTreeMap<HostId, DomainId>,
    pub(crate) schedulers: BTreeMap<HostId, Scheduler>,
    pub(crate) gateways: BTreeMap<HostId, Gateway>,
    pub(crate) homes: BTreeMap<HostId, SlotHome>,
    pub(crate) servers: BTreeMap<ServerId, FakeServer>,
    /// Messages by time of delivery and sending order, with sender and receiver.
    in_transit: BTreeMap<(Timestamp, u64), (HostId, HostId, PeerMessage)>,
    /// Steps simulated so far.
    steps: u64,
    /// Messages sent so far.
    sent: u64,
    /// State of the pseudo-random number generator.
    seed: u64,
}

impl Simulation {
    /// Creates `hosts` failure domains, each with one host and `servers` servers that run up to
    /// `capacity` requests each.
    pub(crate) fn new(hosts: u64, servers: u64, capacity: u32, seed: u64) -> Self {
        let mut sim = Self {
            now: Timestamp::ZERO + Duration::from_secs(1),
            faults: Faults::default(),
            cut_links: BTreeSet::new(),
            domains: BTreeMap::new(),
            schedulers: BTreeMap::new(),
            gateways: BTreeMap::new(),
            homes: BTreeMap::new(),
            servers: BTreeMap::new(),
            in_transit: BTreeMap::new(),
            steps: 0,
            sent: 0,
            seed: seed | 1,
        };
        for host in (1..=hosts).map(HostId) {
            let domain = DomainId(host.0);
            sim.add_host(host, domain);
            for number in 0..servers {
                let server = FakeServer {
                    domain,
                    capacity,
                    instance: 1,
                    usable: true,
                    failing: false,
                    running: 0,
                    peak_running: 0,
                    dispatched: 0,
                    overloaded: 0,
                };
                sim.servers.insert(ServerId(host.0 * 100 + number), server);
            }
        }
        for host in (1..=hosts).map(HostId) {
            sim.start_scheduler(host);
        }
        sim
    }

    /// Adds a host with a gateway and a slot home, but no scheduler, to a failure domain. The slot
    /// home grants slots at once, because its quarantine ends now.
    pub(crate) fn add_host(&mut self, host: HostId, domain: DomainId) {
        self.domains.insert(host, domain);
        self.gateways.insert(host, Gateway::new(host));
        let home = SlotHome::new(host, domain, self.now);
        self.homes.insert(host, home);
    }

    /// Starts a scheduler without state on a host, in place of the previous one. Messages from that
    /// host that have not been delivered are lost. All gateways announce their state.
    pub(crate) fn start_scheduler(&mut self, host: HostId) {
        self.in_transit.retain(|_, (from, _, _)| *from != host);
        let scheduler = Scheduler::new(self.key_of(host), host, self.now);
        self.schedulers.insert(host, scheduler);
        self.send_members(host);
        self.announce_all();
    }

    /// Passes the current hosts and servers to the scheduler of a host. Hosts behind cut links are
    /// not alive.
    pub(crate) fn send_members(&mut self, host: HostId) {
        let hosts: Vec<_> = self.gateways.keys().copied().collect();
        let alive = hosts.iter().copied();
        let alive = alive.filter(|h| !self.cut_links.contains(&(host, *h)));
        let domain = self.domains[&host];
        let servers = self.servers.iter().filter(|(_, s)| s.domain == domain);
        let mut peers: BTreeMap<_, _> = self.domains.iter().map(|(h, d)| (*d, *h)).collect();
        peers.remove(&domain);
        let members = PoolMembers {
            listed: hosts.clone(),
            alive: alive.collect(),
            servers: servers
                .map(|(server, fake)| PoolServer {
                    server: *server,
                    kind: ServiceKind::Model,
                    usable: fake.usable,
                })
                .collect(),
            peers: peers.into_iter().collect(),
        };
        self.handle_event(host, PoolEvent::Members(members));
    }

    /// Cuts the links of a host to and from all others, or restores them.
    pub(crate) fn isolate(&mut self, host: HostId, cut: bool) {
        let hosts: Vec<_> = self.gateways.keys().copied().collect();
        for other in hosts.iter().filter(|other| **other != host) {
            for link in [(host, *other), (*other, host)] {
                if cut {
                    self.cut_links.insert(link);
                } else {
                    self.cut_links.remove(&link);
                }
            }
        }
        for other in hosts {
            self.send_members(other);
        }
    }

    /// Simulates a period of `span` and calls `check` after each millisecond.
    pub(crate) fn run(&mut self, span: Duration, mut check: impl FnMut(&mut Self)) {
        let end = self.now + span;
        while !end.has_passed(self.now) {
            self.step();
            check(self);
        }
    }

    /// Passes an event to a host's scheduler and sends the resulting messages.
    pub(crate) fn handle_event(&mut self, host: HostId, event: PoolEvent) {
        let mut out = Vec::new();
        if let Some(scheduler) = self.schedulers.get_mut(&host) {
            scheduler.handle(self.now, event, &mut out);
        }
        for PoolAction::Send { to, message } in out {
            self.send(host, to, message);
        }
    }

    /// Sends a message, unless the link is cut or the message is lost. It may arrive twice.
    pub(crate) fn send(&mut self, from: HostId, to: HostId, message: PeerMessage) {
        if self.random_below(1_000) < self.faults.lost_per_mille
            || self.cut_links.contains(&(from, to))
        {
            return;
        }
        let copies = 1 + u64::from(self.random_below(1_000) < self.faults.duplicated_per_mille);
        for _ in 0..copies {
            let jitter = self.random_below(self.faults.jitter_ms + 1);
            let due = self.now + Duration::from_millis(1 + jitter);
            self.sent += 1;
            self.in_transit
                .insert((due, self.sent), (from, to, message.clone()));
        }
    }

    /// A pseudo-random number below `bound`, determined by the seed.
    pub(crate) fn random_below(&mut self, bound: u64) -> u64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        self.seed % bound
    }

    pub(crate) fn announce_all(&mut self) {
        let hosts: Vec<_> = self.gateways.keys().copied().collect();
        for host in hosts {
            self.with_gateway(host, Gateway::announce);
        }
    }

    pub(crate) fn submit(&mut self, host: HostId, spec: RequestSpec) {
        self.with_gateway(host, |gateway, sim| gateway.submit(sim, spec));
    }

    pub(crate) fn key_of(&self, host: HostId) -> PoolKey {
        PoolKey {
            service: SERVICE,
            domain: self.domains[&host],
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.steps += 1;
        while let Some(entry) = self.in_transit.first_entry() {
            if !entry.key().0.has_passed(self.now) {
                break;
            }
            let (from, to, message) = entry.remove();
            self.deliver(from, to, message);
        }
        let hosts: Vec<_> = self.gateways.keys().copied().collect();
        for host in hosts {
            self.with_gateway(host, Gateway::finish_due);
            if (self.steps + host.0).is_multiple_of(TICK_STEPS) {
                self.handle_event(host, PoolEvent::Tick);
            }
            if (self.steps + host.0).is_multiple_of(RESEND_BIDS_STEPS) {
                self.with_gateway(host, Gateway::resend_bids);
            }
            if (self.steps + host.0).is_multiple_of(ANNOUNCE_STEPS) {
                self.with_gateway(host, Gateway::announce);
            }
        }
    }

    /// Calls `act` with a gateway, which is taken out of the simulation meanwhile.
    fn with_gateway(&mut self, host: HostId, act: impl FnOnce(&mut Gateway, &mut Self)) {
        if let Some(mut gateway) = self.gateways.remove(&host) {
            act(&mut gateway, self);
            self.gateways.insert(host, gateway);
        }
    }

    fn deliver(&mut self, from: HostId, to: HostId, message: PeerMessage) {
        let known = self.gateways.get(&from).map(|g| g.incarnation);
        let incarnation = known.unwrap_or(Incarnation(1));
        let event = match message {
            PeerMessage::Bid(bid) => PoolEvent::Bid(bid),
            PeerMessage::Withdrawal(withdrawal) => PoolEvent::Withdrawal(withdrawal),
            PeerMessage::GrantReturn(grant_return) => PoolEvent::GrantReturn(grant_return),
            PeerMessage::Progress(progress) => PoolEvent::Progress(progress),
            PeerMessage::Totals(totals) => PoolEvent::Totals(totals),
            PeerMessage::Summary(summary) => PoolEvent::Summary { from, summary },
            PeerMessage::Pull(pull) => PoolEvent::Pull { from, pull },
            PeerMessage::Handover(handover) => PoolEvent::Handover(handover),
            PeerMessage::Finished(finished) => PoolEvent::Finished {
                incarnation,
                finished,
            },
            PeerMessage::Announcement(announcement) => PoolEvent::Announcement {
                from,
                incarnation,
                announcement,
            },
            other => return self.deliver_to_gateway(from, to, other),
        };
        self.handle_event(to, event);
    }

    fn deliver_to_gateway(&mut self, from: HostId, to: HostId, message: PeerMessage) {
        match message {
            PeerMessage::Grant(grant) => {
                self.with_gateway(to, |g, sim| g.on_grant(sim, from, grant))
            }
            PeerMessage::Refusal(refusal) => self.with_gateway(to, |g, _| g.on_refusal(refusal)),
            PeerMessage::PermitAnswer(answer) => {
                self.with_gateway(to, |g, sim| g.on_permit_answer(sim, answer));
            }
            PeerMessage::PermitRequest(req) => {
                let incarnation = self.gateways[&from].incarnation;
                if let Some(home) = self.homes.get_mut(&to) {
                    let answer = home.request(self.now, from, incarnation, req, true);
                    self.send(to, from, PeerMessage::PermitAnswer(answer));
                }
            }
            PeerMessage::PermitRelease(release) => {
                if let Some(home) = self.homes.get_mut(&to) {
                    home.release(from, release);
                }
            }
            other => panic!("unexpected message {other:?}"),
        }
    }
}
