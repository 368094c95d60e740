//! Simulation of a fleet: the memberships of several hosts on a simulated clock. Messages between
//! them take one tick.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use cardamomshift_lib::host::HostEntry;
use cardamomshift_lib::host::HostList;
use cardamomshift_lib::host::HostState;
use cardamomshift_lib::host::Membership;
use cardamomshift_lib::host::MembershipChange;
use cardamomshift_lib::host::Role;
use cardamomshift_lib::host::TICK_INTERVAL;
use cardamomshift_lib::id::DomainId;
use cardamomshift_lib::id::HostId;
use cardamomshift_lib::id::Incarnation;
use cardamomshift_lib::id::ServiceId;
use cardamomshift_lib::message::Finding;
use cardamomshift_lib::message::Heartbeat;
use cardamomshift_lib::pool::PoolKey;
use cardamomshift_lib::time::Timestamp;

/// Content of a message.
enum Payload {
    Heartbeat(Heartbeat),
    Findings(Vec<Finding>),
}

/// A message that has not arrived yet.
struct Packet {
    from: usize,
    to: HostId,
    incarnation: Incarnation,
    payload: Payload,
}

/// One simulated host.
pub(crate) struct Member {
    pub(crate) id: HostId,
    pub(crate) domain: DomainId,
    pub(crate) running: bool,
    /// Whether the host's heartbeats say that it is about to stop.
    pub(crate) stopping: bool,
    pub(crate) incarnation: Incarnation,
    pub(crate) view: Membership,
    /// Changes of membership since the start of the host, with their times.
    pub(crate) changes: Vec<(Timestamp, MembershipChange)>,
}

/// A simulated fleet. Hosts are numbered by their position in `members`.
pub(crate) struct Fleet {
    pub(crate) now: Timestamp,
    pub(crate) members: Vec<Member>,
    pub(crate) list: HostList,
    /// Pairs of a sender and a receiver between which messages are lost.
    pub(crate) blocked: BTreeSet<(usize, usize)>,
    /// Number of heartbeats sent.
    pub(crate) heartbeats: u64,
    /// Number of messages sent with findings, the reports on whether a third host is alive.
    pub(crate) findings: u64,
    /// Messages that are delivered with the next tick.
    in_flight: Vec<Packet>,
}

fn entry(i: usize, domains: usize) -> HostEntry {
    HostEntry {
        name: format!("host-{i}").into(),
        domain: format!("domain-{}", i % domains).into(),
        role: Role::Entry,
        state: HostState::Live,
        address: format!("127.0.0.1:{}", 1000 + i).parse().unwrap(),
        services: Vec::new(),
        checks_fencing: false,
    }
}

impl Fleet {
    /// Starts `hosts` hosts, assigned round-robin to `domains` failure domains.
    pub(crate) fn start(hosts: usize, domains: usize) -> Self {
        let now = Timestamp::from_micros(1_000_000);
        let list = HostList {
            revision: 1,
            hosts: (0..hosts).map(|i| entry(i, domains)).collect(),
        };
        let members = list.hosts.iter().map(|host| member(host, now)).collect();
        let mut fleet = Self {
            now,
            members,
            list,
            blocked: BTreeSet::new(),
            heartbeats: 0,
            findings: 0,
            in_flight: Vec::new(),
        };
        fleet.publish();
        fleet
    }

    /// Gives the current host list to every running host.
    pub(crate) fn publish(&mut self) {
        for member in self.members.iter_mut().filter(|m| m.running) {
            let changes = member.view.on_host_list(self.now, self.list.clone());
            record_changes(member, self.now, changes);
        }
    }

    /// Changes the state of a host in the host list and publishes the list.
    pub(crate) fn set_state(&mut self, i: usize, state: HostState) {
        self.list.hosts[i].state = state;
        self.list.revision += 1;
        self.publish();
    }

    /// Stops a host without announcement.
    pub(crate) fn kill(&mut self, i: usize) {
        self.members[i].running = false;
    }

    /// Restarts a host: it gets the next incarnation (start of its process) and a new view,
    /// which only has the host list.
    pub(crate) fn restart(&mut self, i: usize) {
        let incarnation = Incarnation(self.members[i].incarnation.0 + 1);
        let mut member = member(&self.list.hosts[i], self.now);
        member.incarnation = incarnation;
        member.view = Membership::new(member.id, member.domain, incarnation, self.now);
        member.view.on_host_list(self.now, self.list.clone());
        self.members[i] = member;
    }

    /// Starts or stops to drop messages from `a` to `b`.
    pub(crate) fn set_blocked(&mut self, a: usize, b: usize, blocked: bool) {
        if blocked {
            self.blocked.insert((a, b));
        } else {
            self.blocked.remove(&(a, b));
        }
    }

    /// Starts or stops to drop messages between the hosts that meet `side` and the others.
    pub(crate) fn set_partition(&mut self, side: impl Fn(usize) -> bool, blocked: bool) {
        for a in 0..self.members.len() {
            for b in 0..self.members.len() {
                if side(a) != side(b) {
                    self.set_blocked(a, b, blocked);
                }
            }
        }
    }

    /// Advances the clock by `span`, one tick at a time.
    pub(crate) fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the clock by one tick: delivers the messages of the previous tick, then runs every
    /// running host.
    pub(crate) fn step(&mut self) {
        self.now = self.now + TICK_INTERVAL;
        self.deliver();
        for i in 0..self.members.len() {
            if self.members[i].running {
                self.tick(i);
            }
        }
    }

    fn deliver(&mut self) {
        let positions: HashMap<_, _> = self.members.iter().map(|m| m.id).zip(0..).collect();
        for packet in std::mem::take(&mut self.in_flight) {
            let to: usize = positions[&packet.to];
            if self.blocked.contains(&(packet.from, to)) || !self.members[to].running {
                continue;
            }
            let from = self.members[packet.from].id;
            let now = self.now;
            let view = &mut self.members[to].view;
            let changes = match packet.payload {
                Payload::Heartbeat(beat) => {
                    view.on_message(now, from, packet.incarnation, Some(beat))
                }
                Payload::Findings(findings) => {
                    let mut changes = view.on_message(now, from, packet.incarnation, None);
                    changes.extend(view.on_findings(now, from, &findings));
                    changes
                }
            };
            record_changes(&mut self.members[to], now, changes);
        }
    }

    fn tick(&mut self, i: usize) {
        let member = &mut self.members[i];
        let tick = member.view.tick(self.now);
        record_changes(member, self.now, tick.changes);
        self.heartbeats += tick.heartbeats.len() as u64;
        self.findings += tick.findings.len() as u64;
        let beat = Heartbeat {
            revision: 1,
            stopping: member.stopping,
            clock_us: self.now.as_micros(),
        };
        let incarnation = member.incarnation;
        let packet = |to, payload| Packet {
            from: i,
            to,
            incarnation,
            payload,
        };
        let beats = tick
            .heartbeats
            .into_iter()
            .map(|to| packet(to, Payload::Heartbeat(beat)));
        self.in_flight.extend(beats);
        let findings = tick
            .findings
            .into_iter()
            .map(|(to, findings)| packet(to, Payload::Findings(findings)));
        self.in_flight.extend(findings);
    }

    pub(crate) fn running(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.running)
    }

    /// Running hosts that consider `host` alive.
    pub(crate) fn seen_alive_by(&self, host: usize) -> Vec<usize> {
        let id = self.members[host].id;
        let running = (0..self.members.len()).filter(|i| self.members[*i].running);
        running
            .filter(|i| self.members[*i].view.alive(id))
            .collect()
    }

    /// Fails unless all running hosts choose the same scheduler for each shard (service in a
    /// failure domain), and that host is running and eligible: of the shard's failure domain and
    /// not about to stop. A shard without an eligible host must have no scheduler.
    pub(crate) fn assert_agreement(&self) {
        if self.running().next().is_none() {
            return;
        }
        for pool in self.pools() {
            let choices: BTreeSet<_> = self.running().map(|m| m.view.scheduler(pool)).collect();
            assert_eq!(choices.len(), 1, "{pool:?}: {choices:?}");
            let choice = choices.into_iter().next().flatten();
            let is_eligible =
                |m: &&Member| m.domain == pool.domain && !m.stopping && !m.view.is_leaving(m.id);
            assert_eq!(choice.is_some(), self.running().any(|m| is_eligible(&m)));
            let chosen = self.running().find(|m| Some(m.id) == choice);
            assert_eq!(chosen.is_some_and(|m| is_eligible(&m)), choice.is_some());
        }
    }

    /// Twenty shards in each failure domain.
    pub(crate) fn pools(&self) -> Vec<PoolKey> {
        let domains: BTreeSet<_> = self.members.iter().map(|m| m.domain).collect();
        let pool = |domain, service| PoolKey {
            service: ServiceId(service),
            domain,
        };
        domains
            .into_iter()
            .flat_map(|domain| (0..20).map(move |service| pool(domain, service)))
            .collect()
    }
}

fn member(entry: &HostEntry, now: Timestamp) -> Member {
    let (id, domain, incarnation) = (entry.host_id(), entry.domain_id(), Incarnation(1));
    Member {
        id,
        domain,
        running: true,
        stopping: false,
        incarnation,
        view: Membership::new(id, domain, incarnation, now),
        changes: Vec::new(),
    }
}

fn record_changes(member: &mut Member, now: Timestamp, changes: Vec<MembershipChange>) {
    member
        .changes
        .extend(changes.into_iter().map(|change| (now, change)));
}
