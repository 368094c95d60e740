//! A gateway that keeps to the protocol.

use std::collections::BTreeMap;
use std::time::Duration;

use cardamomshift_lib::id::HostId;
use cardamomshift_lib::id::Incarnation;
use cardamomshift_lib::id::RequestId;
use cardamomshift_lib::id::ServerId;
use cardamomshift_lib::id::WorkspaceId;
use cardamomshift_lib::message::Announcement;
use cardamomshift_lib::message::Bid;
use cardamomshift_lib::message::EndOutcome;
use cardamomshift_lib::message::Finished;
use cardamomshift_lib::message::Grant;
use cardamomshift_lib::message::GrantReturn;
use cardamomshift_lib::message::PeerMessage;
use cardamomshift_lib::message::PermitAnswer;
use cardamomshift_lib::message::PermitRelease;
use cardamomshift_lib::message::PermitRequest;
use cardamomshift_lib::message::Refusal;
use cardamomshift_lib::message::Running;
use cardamomshift_lib::message::ServerPhase;
use cardamomshift_lib::message::ServerSight;
use cardamomshift_lib::message::TotalCell;
use cardamomshift_lib::message::Withdrawal;
use cardamomshift_lib::permit::slot_home;
use cardamomshift_lib::time::Timestamp;

use super::Pump;
use super::SERVICE;

const FIRST_BYTE_US: u64 = 20_000;

/// A request as its caller sees it. It runs one millisecond for each unit of its cost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spec {
    pub(crate) workspace: u32,
    pub(crate) estimate: u64,
    pub(crate) cost: u64,
    pub(crate) patience: Duration,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Open {
    pub(crate) spec: Spec,
    deadline: Timestamp,
    granted: Option<(HostId, Grant, Timestamp)>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) spec: Spec,
    pub(crate) server: ServerId,
    pub(crate) started: Timestamp,
    ends: Timestamp,
    grant: Grant,
    /// Scheduler that granted it.
    from: HostId,
    overloaded: bool,
}

#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) host: HostId,
    pub(crate) incarnation: Incarnation,
    pub(crate) open: BTreeMap<RequestId, Open>,
    pub(crate) running: BTreeMap<RequestId, Run>,
    pub(crate) ended: BTreeMap<RequestId, Spec>,
    pub(crate) refused: Vec<Refusal>,
    /// Cost of the dispatched requests per workspace.
    pub(crate) service: BTreeMap<u32, u64>,
    pub(crate) returned: u64,
    totals: BTreeMap<WorkspaceId, u64>,
    sights: BTreeMap<ServerId, ServerSight>,
    next: u64,
}

impl Gateway {
    pub(crate) fn new(host: HostId) -> Self {
        Self {
            host,
            incarnation: Incarnation(1),
            open: BTreeMap::new(),
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            refused: Vec::new(),
            service: BTreeMap::new(),
            returned: 0,
            totals: BTreeMap::new(),
            sights: BTreeMap::new(),
            next: 1,
        }
    }

    pub(crate) fn waiting_of(&self, workspace: u32) -> usize {
        let open = self.open.values();
        open.filter(|open| open.spec.workspace == workspace).count()
    }

    pub(crate) fn submit(&mut self, pump: &mut Pump, spec: Spec) {
        self.next += 1;
        let request = RequestId {
            gateway: self.host,
            sequence: self.next,
        };
        let open = Open {
            spec,
            deadline: pump.now + spec.patience,
            granted: None,
        };
        self.open.insert(request, open);
        let bid = bid_of(request, &open, pump.now);
        pump.send(self.host, self.host, PeerMessage::Bid(bid));
    }

    pub(crate) fn bid_again(&mut self, pump: &mut Pump) {
        let now = pump.now;
        self.open.retain(|_, open| {
            let late = open.deadline + Duration::from_secs(1);
            !late.has_passed(now)
        });
        for (request, open) in &mut self.open {
            if open
                .granted
                .is_some_and(|(_, _, lapses)| lapses.has_passed(now))
            {
                open.granted = None;
            }
            let bid = bid_of(*request, open, now);
            pump.send(self.host, self.host, PeerMessage::Bid(bid));
        }
    }

    pub(crate) fn granted(&mut self, pump: &mut Pump, from: HostId, grant: Grant) {
        let known = self.running.get(&grant.request);
        if known.is_some_and(|run| run.server == grant.server) {
            return;
        }
        let lapses = pump.now + Duration::from_micros(grant.remaining_us);
        let Some(open) = self.open.get_mut(&grant.request) else {
            self.give_back(pump, from, grant);
            return;
        };
        if open
            .granted
            .is_some_and(|(_, known, _)| known.server != grant.server)
        {
            self.give_back(pump, from, grant);
            return;
        }
        open.granted = Some((from, grant, lapses));
        if grant.phase == ServerPhase::Warm {
            self.dispatch(pump, grant.request);
        } else if let Some(home) = self.home_of(pump, &grant) {
            let req = PermitRequest {
                request: grant.request,
                server: grant.server,
                slot: grant.slot,
            };
            pump.send(self.host, home, PeerMessage::PermitRequest(req));
        }
    }

    pub(crate) fn permitted(&mut self, pump: &mut Pump, answer: PermitAnswer) {
        let open = self.open.get_mut(&answer.request);
        let granted = open.as_ref().and_then(|open| open.granted);
        let current = granted
            .filter(|(_, grant, _)| (grant.server, grant.slot) == (answer.server, answer.slot));
        let Some((from, grant, lapses)) = current else {
            let runs = self.running.contains_key(&answer.request);
            if answer.granted && !runs {
                self.release(pump, answer.request, answer.server, answer.slot);
            }
            return;
        };
        if answer.granted && !lapses.has_passed(pump.now) {
            self.dispatch(pump, answer.request);
            return;
        }
        if let Some(open) = open {
            open.granted = None;
        }
        if answer.granted {
            self.release(pump, answer.request, answer.server, answer.slot);
        }
        self.give_back(pump, from, grant);
        if let Some(open) = self.open.get(&answer.request) {
            let bid = bid_of(answer.request, open, pump.now);
            pump.send(self.host, self.host, PeerMessage::Bid(bid));
        }
    }

    pub(crate) fn refused(&mut self, refusal: Refusal) {
        if self.open.remove(&refusal.request).is_some() {
            self.refused.push(refusal);
        }
    }

    pub(crate) fn end_due(&mut self, pump: &mut Pump) {
        let due: Vec<_> = self
            .running
            .iter()
            .filter(|(_, run)| run.ends.has_passed(pump.now))
            .map(|(request, run)| (*request, *run))
            .collect();
        for (request, run) in due {
            self.end(pump, request, run);
        }
    }

    pub(crate) fn announce(&mut self, pump: &mut Pump) {
        let hosts: Vec<_> = pump.schedulers.keys().copied().collect();
        for to in hosts {
            let announcement = self.announcement(pump, to);
            pump.send(self.host, to, PeerMessage::Announcement(announcement));
        }
        let now = pump.now;
        let held: Vec<_> = self
            .running
            .iter()
            .filter(|(_, run)| run.grant.phase != ServerPhase::Warm)
            .map(|(request, run)| (*request, run.server, run.grant.slot))
            .collect();
        for home in pump.homes.values_mut() {
            home.announced(now, self.host, self.incarnation, 0, held.iter().copied());
        }
    }

    fn announcement(&self, pump: &Pump, to: HostId) -> Announcement {
        let own = to == self.host;
        let open = self.open.iter().filter(|_| own);
        let here = |server: ServerId| pump.servers[&server].domain == pump.domains[&to];
        let running = self.running.iter().filter(|(_, run)| here(run.server));
        let totals = self.totals.iter();
        Announcement {
            service: SERVICE,
            domain: pump.domains[&to],
            bids: open
                .map(|(request, open)| bid_of(*request, open, pump.now))
                .collect(),
            running: running
                .map(|(request, run)| Running {
                    request: *request,
                    workspace: WorkspaceId(run.spec.workspace),
                    server: run.server,
                    estimate: run.spec.estimate,
                    cost: 0,
                })
                .collect(),
            sights: self
                .sights
                .values()
                .copied()
                .filter(|s| here(s.server))
                .collect(),
            totals: totals
                .map(|(workspace, cost)| TotalCell {
                    origin: self.host,
                    incarnation: self.incarnation,
                    workspace: *workspace,
                    cost: *cost,
                })
                .collect(),
        }
    }

    fn dispatch(&mut self, pump: &mut Pump, request: RequestId) {
        let Some(open) = self.open.remove(&request) else {
            return;
        };
        let Some((from, grant, _)) = open.granted else {
            return;
        };
        assert!(!self.ended.contains_key(&request), "request ran twice");
        let server = pump.servers.get_mut(&grant.server).expect("granted server");
        server.running += 1;
        server.most_running = server.most_running.max(server.running);
        server.dispatched += 1;
        let overloaded = server.running > server.bears;
        server.overloaded += u64::from(overloaded);
        let sight = ServerSight {
            server: grant.server,
            instance: server.instance,
            phase: grant.phase,
            limit: grant.limit,
        };
        let failing = server.failing;
        self.sights.insert(grant.server, sight);
        let run = Run {
            spec: open.spec,
            server: grant.server,
            started: pump.now,
            ends: pump.now + Duration::from_millis(open.spec.cost),
            grant,
            from,
            overloaded: overloaded || failing,
        };
        self.running.insert(request, run);
        *self.service.entry(open.spec.workspace).or_default() += open.spec.cost;
        if from != self.host {
            let withdrawal = Withdrawal {
                request,
                service: SERVICE,
            };
            pump.send(self.host, self.host, PeerMessage::Withdrawal(withdrawal));
        }
    }

    fn end(&mut self, pump: &mut Pump, request: RequestId, run: Run) {
        self.running.remove(&request);
        self.ended.insert(request, run.spec);
        let workspace = WorkspaceId(run.spec.workspace);
        let total = self.totals.entry(workspace).or_default();
        *total += run.spec.cost;
        let total = *total;
        let server = pump.servers.get_mut(&run.server).expect("server");
        server.running -= 1;
        let outcome = if run.overloaded {
            EndOutcome::Failed
        } else {
            EndOutcome::Complete
        };
        let finished = Finished {
            request,
            service: SERVICE,
            workspace,
            server: run.server,
            instance: server.instance,
            outcome,
            cost: run.spec.cost,
            first_byte_us: FIRST_BYTE_US,
            total,
        };
        pump.send(self.host, run.from, PeerMessage::Finished(finished));
        if run.grant.phase != ServerPhase::Warm {
            self.release(pump, request, run.server, run.grant.slot);
        }
    }

    fn release(&self, pump: &mut Pump, request: RequestId, server: ServerId, slot: u32) {
        let hosts = pump.homes.keys().copied();
        if let Some(home) = slot_home(hosts, server, slot) {
            let release = PermitRelease {
                request,
                server,
                slot,
            };
            pump.send(self.host, home, PeerMessage::PermitRelease(release));
        }
    }

    fn home_of(&self, pump: &Pump, grant: &Grant) -> Option<HostId> {
        slot_home(pump.homes.keys().copied(), grant.server, grant.slot)
    }

    fn give_back(&mut self, pump: &mut Pump, to: HostId, grant: Grant) {
        self.returned += 1;
        let grant_return = GrantReturn {
            request: grant.request,
            service: SERVICE,
            server: grant.server,
            unreachable: false,
        };
        pump.send(self.host, to, PeerMessage::GrantReturn(grant_return));
    }
}

fn bid_of(request: RequestId, open: &Open, now: Timestamp) -> Bid {
    let remaining = open.deadline.remaining(now).as_micros();
    Bid {
        request,
        service: SERVICE,
        workspace: WorkspaceId(open.spec.workspace),
        estimate: open.spec.estimate,
        remaining_us: u64::try_from(remaining).unwrap_or(u64::MAX),
        prefix: 0,
    }
}
