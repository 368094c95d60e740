//! Roll-outs of a software version over a fleet of hosts, without a network.
//!
//! The load: a service of four routes, with an order of 12 s. 1, 7 or 79 hosts send 400 requests a second,
//! three times as many in a burst. Messages are delayed, lost, duplicated and out of order, hosts are late,
//! cut off and restarted, conductors are killed or act side by side, and the store fails.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;

use cardamomshift_lib::entry::AttemptOutcome;
use cardamomshift_lib::entry::Conductor;
use cardamomshift_lib::entry::ConductorAction;
use cardamomshift_lib::entry::Evidence;
use cardamomshift_lib::entry::Exposure;
use cardamomshift_lib::entry::Order;
use cardamomshift_lib::entry::RolloutBounds;
use cardamomshift_lib::entry::RolloutPermit;
use cardamomshift_lib::entry::RolloutPhase;
use cardamomshift_lib::entry::RolloutReport;
use cardamomshift_lib::entry::RolloutState;
use cardamomshift_lib::entry::RouteOutcomes;
use cardamomshift_lib::entry::StartTimes;
use cardamomshift_lib::entry::StoreRevision;
use cardamomshift_lib::entry::Verdict;
use cardamomshift_lib::entry::VersionChoice;
use cardamomshift_lib::entry::VersionId;
use cardamomshift_lib::entry::WriteError;
use cardamomshift_lib::time::Timestamp;
use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// When the order is written, and its deadline, milliseconds.
const ORDERED_MS: u64 = 3_000;
const DEADLINE_MS: u64 = 15_000;
/// Weights of the routes, and their usual times until responses start, milliseconds.
const ROUTES: [(f64, f64); 4] = [(0.6, 60.0), (0.25, 200.0), (0.1, 400.0), (0.05, 120.0)];
const RATE: f64 = 400.0;
const SERVICE: &str = "model";

const BOUNDS: RolloutBounds = RolloutBounds {
    exposure_share: 0.1,
    exposure_slack: 50.0,
    rollback: Duration::from_millis(5_000),
};
/// How much longer requests may go to a bad version while the store is disturbed.
const PARTITION_MS: u64 = 6_000;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

fn old_version() -> VersionId {
    VersionId::new(SERVICE, "v1")
}

fn order(number: u64, learned_ms: u64) -> Order {
    let revision = StoreRevision { era: 0, number };
    let duration = Duration::from_millis(DEADLINE_MS - ORDERED_MS);
    Order::new(SERVICE, "v2", revision, duration, at(learned_ms))
}

/// A request at a server: milliseconds, route, and whether the server runs the target version.
#[derive(Clone, Copy)]
struct Call {
    now: u64,
    route: usize,
    is_target: bool,
}

/// Multiplies the usual time until the response starts; `None` if the server fails the request.
type Behaviour = fn(Call, &mut StdRng) -> Option<f64>;

/// What the store does with a write.
#[derive(Clone, Copy, PartialEq)]
enum Store {
    Works,
    Fails,
    Refuses,
    LosesResponses,
}

#[derive(Clone, Copy)]
struct Load {
    hosts: usize,
    seed: u64,
    /// Fraction of messages that are lost, and their longest delay.
    lost: f64,
    delay_ms: u64,
    behaviour: Behaviour,
    /// Factor of the usual rate.
    rate: fn(u64) -> f64,
    store: fn(u64) -> Store,
    /// Hosts that conduct. Each other host reports to one of them.
    conductors: fn(u64) -> &'static [usize],
    /// Whether a host can reach nobody.
    is_cut: fn(u64, usize) -> bool,
    /// Whether a host restarts now.
    restarts: fn(u64, usize) -> bool,
}

impl Load {
    fn new(hosts: usize, seed: u64, behaviour: Behaviour) -> Self {
        Self {
            hosts,
            seed,
            behaviour,
            lost: 0.05,
            delay_ms: 60,
            rate: |_| 1.0,
            store: |_| Store::Works,
            conductors: |_| &[0],
            is_cut: |_, _| false,
            restarts: |_, _| false,
        }
    }
}

/// A request that was sent to a server.
#[derive(Clone, Copy)]
struct Attempt {
    host: usize,
    incarnation: u64,
    route: u64,
    version: VersionId,
}

enum Event {
    Outcome(Attempt, AttemptOutcome),
    Ended(Attempt, Duration),
    Report(usize, u64, RolloutReport),
    Permit(usize, RolloutPermit),
    Written(usize, u64, Result<RolloutState, WriteError>),
    /// A host reads the store.
    Read(usize),
}

/// What happened in a run.
#[derive(Default)]
struct Outcome {
    state: Option<RolloutState>,
    written_ms: u64,
    /// Requests to all and to the target version until the end of the order.
    requests: u64,
    at_target: u64,
    tried: BTreeMap<usize, u64>,
    bad_ms: Vec<u64>,
    last_at_target_ms: u64,
    steps: Vec<String>,
}

struct Fleet {
    load: Load,
    rng: StdRng,
    now: u64,
    order: Order,
    stored: RolloutState,
    hosts: Vec<(u64, Exposure)>,
    conductors: HashMap<usize, Conductor>,
    events: BTreeMap<u64, Event>,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    next_event: u64,
    outcome: Outcome,
}

impl Fleet {
    fn new(load: Load) -> Self {
        Self {
            rng: StdRng::seed_from_u64(load.seed),
            now: 0,
            order: order(1, ORDERED_MS),
            stored: RolloutState::Ordered,
            hosts: (0..load.hosts as u64)
                .map(|host| (host, Exposure::new(host, Some(BOUNDS))))
                .collect(),
            conductors: HashMap::new(),
            events: BTreeMap::new(),
            due: BinaryHeap::new(),
            next_event: 0,
            outcome: Outcome::default(),
            load,
        }
    }

    fn after(&mut self, millis: u64, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.due.push(Reverse((self.now + millis, self.next_event)));
    }

    /// Sends a message, which may be lost or arrive twice; `None` for the time if it is lost.
    fn delays(&mut self, from: usize, to: usize) -> Vec<u64> {
        let is_cut = |host| (self.load.is_cut)(self.now, host);
        if from != to && (is_cut(from) || is_cut(to) || self.rng.random_bool(self.load.lost)) {
            return Vec::new();
        }
        let count = if self.rng.random_bool(0.05) { 2 } else { 1 };
        let mut delay = || self.rng.random_range(1..=self.load.delay_ms);
        (0..count).map(|_| delay()).collect()
    }

    fn request(&mut self) {
        let host = self.rng.random_range(0..self.load.hosts);
        let mut pick = self.rng.random_range(0.0..1.0);
        let route = ROUTES.iter().position(|(weight, _)| {
            pick -= weight;
            pick < 0.0
        });
        let route = route.unwrap_or(0);
        let (service, target) = (self.order.service_hash, self.order.target);
        let now = at(self.now);
        let (incarnation, exposure) = &mut self.hosts[host];
        let choice = exposure.choose(now, service, route as u64);
        let is_target = choice == VersionChoice::Only(target);
        let version = if is_target { target } else { old_version() };
        // The new servers start after the order.
        assert!(!is_target || exposure.allows(now, service, target, at(ORDERED_MS)));
        exposure.on_sent(now, service, route as u64, version);
        let attempt = Attempt {
            host,
            incarnation: *incarnation,
            route: route as u64,
            version,
        };
        let call = Call {
            now: self.now,
            route,
            is_target,
        };
        self.count(call);
        let factor = (self.load.behaviour)(call, &mut self.rng);
        let spread = self.rng.random_range(0.5..2.0);
        let start = (ROUTES[route].1 * spread * factor.unwrap_or(0.3)) as u64;
        let after = Some(Duration::from_millis(start));
        let (outcome, took) = match factor {
            Some(_) => (AttemptOutcome::Responded { after }, 2 * start),
            None => (AttemptOutcome::Failed, start),
        };
        if is_target && factor.is_none_or(|factor| factor > 2.0) {
            self.outcome.bad_ms.push(self.now + start);
        }
        self.after(start, Event::Outcome(attempt, outcome));
        self.after(took, Event::Ended(attempt, Duration::from_millis(took)));
    }

    fn count(&mut self, call: Call) {
        let is_counted = (ORDERED_MS..DEADLINE_MS).contains(&call.now);
        if !is_counted || self.stored == RolloutState::Completed {
            return;
        }
        self.outcome.requests += 1;
        if call.is_target {
            self.outcome.at_target += 1;
            self.outcome.last_at_target_ms = call.now;
            *self.outcome.tried.entry(call.route).or_default() += 1;
        }
    }

    /// The host that sent a request, unless it has restarted since.
    fn sender(&mut self, attempt: Attempt) -> Option<&mut Exposure> {
        let (incarnation, exposure) = &mut self.hosts[attempt.host];
        (*incarnation == attempt.incarnation).then_some(exposure)
    }

    fn apply(&mut self, event: Event) {
        let (now, service) = (at(self.now), self.order.service_hash);
        match event {
            Event::Outcome(attempt, outcome) => {
                if let Some(exposure) = self.sender(attempt) {
                    exposure.on_outcome(service, attempt.route, attempt.version, outcome);
                }
            }
            Event::Ended(attempt, took) => {
                if let Some(exposure) = self.sender(attempt) {
                    exposure.on_ended(service, attempt.route, attempt.version, took);
                }
            }
            Event::Report(to, from, report) => {
                if let Some(conductor) = self.conductors.get_mut(&to) {
                    conductor.on_report(now, from, report);
                }
            }
            Event::Permit(host, permit) => self.hosts[host].1.on_permit(now, permit),
            Event::Written(host, order, result) => {
                if let Some(conductor) = self.conductors.get_mut(&host) {
                    conductor.on_written(now, order, result);
                }
            }
            Event::Read(host) => {
                let mut order = order(1, self.now);
                order.state = self.stored;
                let exposure = &mut self.hosts[host].1;
                exposure.on_confirmed(now);
                exposure.on_state(now, order.clone());
                if let Some(conductor) = self.conductors.get_mut(&host) {
                    conductor.on_order(now, order);
                }
            }
        }
    }

    fn act(&mut self, host: usize, action: ConductorAction) {
        match action {
            ConductorAction::Send(permit) => {
                for to in 0..self.load.hosts {
                    for delay in self.delays(host, to) {
                        self.after(delay, Event::Permit(to, permit));
                    }
                }
            }
            ConductorAction::Write { order, state } => {
                let is_applied = match (self.load.store)(self.now) {
                    Store::Works | Store::LosesResponses => true,
                    Store::Fails | Store::Refuses => false,
                };
                if is_applied && !self.stored.is_final() && self.stored != state {
                    self.stored = state;
                    self.outcome.written_ms = self.now;
                    (0..self.load.hosts).for_each(|to| self.announce(to));
                }
                let result = match (self.load.store)(self.now) {
                    Store::Works => Ok(self.stored),
                    Store::Refuses => Err(WriteError::Conflict),
                    Store::Fails | Store::LosesResponses => Err(WriteError::Failed),
                };
                self.after(40, Event::Written(host, order.identity, result));
            }
            ConductorAction::Step(step) => {
                let text = format!("{} {}: {}", self.now, step.step, step.reason);
                self.outcome.steps.push(text);
            }
        }
    }

    /// A host reads a change of the store, unless it is cut off or the store fails.
    fn announce(&mut self, host: usize) {
        if !(self.load.is_cut)(self.now, host) && (self.load.store)(self.now) != Store::Fails {
            let delay = self.rng.random_range(20..300);
            self.after(delay, Event::Read(host));
        }
    }

    fn tick(&mut self) {
        let conductors = (self.load.conductors)(self.now);
        self.conductors.retain(|host, _| conductors.contains(host));
        for host in conductors {
            if self.now >= ORDERED_MS && !self.conductors.contains_key(host) {
                self.conductors.insert(*host, Conductor::new(BOUNDS));
                self.announce(*host);
            }
            let conductor = self.conductors.get_mut(host);
            let actions = conductor.map(|conductor| conductor.tick(at(self.now)));
            actions
                .into_iter()
                .flatten()
                .for_each(|action| self.act(*host, action));
        }
        for host in 0..self.load.hosts {
            if (self.load.restarts)(self.now, host) {
                let incarnation = self.now + host as u64;
                self.hosts[host] = (incarnation, Exposure::new(incarnation, Some(BOUNDS)));
                self.announce(host);
            }
            // Hosts read the store now and then, whatever was lost.
            if self.now >= ORDERED_MS && (self.now + 100 * host as u64) % 2_000 < 50 {
                self.announce(host);
            }
            if (self.now + 50 * host as u64) % 250 < 50 && !conductors.is_empty() {
                let to = conductors[host % conductors.len()];
                for report in self.hosts[host].1.reports(at(self.now)) {
                    for delay in self.delays(host, to) {
                        self.after(delay, Event::Report(to, host as u64, report.clone()));
                    }
                }
            }
        }
    }

    fn run(mut self) -> Outcome {
        let mut owed = 0.0;
        while self.now < DEADLINE_MS + 1_000 {
            if self.now.is_multiple_of(50) {
                self.tick();
            }
            if self.now == ORDERED_MS {
                (0..self.load.hosts).for_each(|host| self.announce(host));
            }
            owed += RATE / 1_000.0 * (self.load.rate)(self.now);
            while owed >= 1.0 {
                owed -= 1.0;
                self.request();
            }
            while self
                .due
                .peek()
                .is_some_and(|Reverse((due, _))| *due <= self.now)
            {
                let Reverse((_, number)) = self.due.pop().unwrap();
                let event = self.events.remove(&number).unwrap();
                self.apply(event);
            }
            self.now += 1;
        }
        self.outcome.state = Some(self.stored);
        self.outcome
    }
}

/// Runs a load on fleets of several sizes and checks the bounds and the state at the end.
fn check(behaviour: Behaviour, expected: RolloutState, change: impl Fn(&mut Load)) {
    for (hosts, seed) in [(1, 1), (7, 2), (7, 3), (79, 4), (79, 5), (79, 6)] {
        let mut load = Load::new(hosts, seed, behaviour);
        change(&mut load);
        let outcome = Fleet::new(load).run();
        let place = format!("{hosts} hosts, seed {seed}: {:#?}", outcome.steps);
        let allowed = 0.1 * outcome.requests as f64 + 50.0;
        assert!(
            outcome.at_target as f64 <= allowed,
            "{} {place}",
            outcome.at_target
        );
        assert_eq!(outcome.state, Some(expected), "{place}");
        if expected == RolloutState::Completed {
            assert!(outcome.written_ms < DEADLINE_MS, "{place}");
            assert_eq!(outcome.tried.len(), ROUTES.len(), "{place}");
        }
        let mut bad = outcome.bad_ms.clone();
        bad.sort_unstable();
        let is_disturbed = (0..DEADLINE_MS).any(|now| (load.store)(now) != Store::Works);
        if let Some(fiftieth) = bad.get(49).filter(|_| expected == RolloutState::Reverted) {
            let rollback = BOUNDS.rollback.as_millis() as u64;
            let extended = rollback + if is_disturbed { PARTITION_MS } else { 0 };
            let last = outcome.last_at_target_ms;
            assert!(last <= fiftieth + extended, "{last} {fiftieth} {place}");
        }
    }
}

fn good(_: Call, _: &mut StdRng) -> Option<f64> {
    Some(1.0)
}

fn fails_a_tenth(call: Call, rng: &mut StdRng) -> Option<f64> {
    (!call.is_target || !rng.random_bool(0.1)).then_some(1.0)
}

#[test]
fn a_good_version_is_completed() {
    check(good, RolloutState::Completed, |_| {});
}

/// Guards against a version that is bad from the start or late, on all routes or on one, and is completed.
#[test]
fn bad_versions_are_reverted() {
    let fails_on_a_route = |call: Call, rng: &mut StdRng| {
        (!call.is_target || call.route != 3 || !rng.random_bool(0.4)).then_some(1.0)
    };
    let fails_all = |call: Call, _: &mut StdRng| (!call.is_target).then_some(1.0);
    let is_slow_on_a_route = |call: Call, _: &mut StdRng| {
        Some(if call.is_target && call.route == 2 {
            4.0
        } else {
            1.0
        })
    };
    for behaviour in [
        fails_a_tenth as Behaviour,
        fails_late,
        fails_on_a_route,
        fails_all,
        is_slow,
        is_slow_on_a_route,
    ] {
        check(behaviour, RolloutState::Reverted, |_| {});
    }
}

fn fails_late(call: Call, rng: &mut StdRng) -> Option<f64> {
    (!call.is_target || call.now < 9_500 || !rng.random_bool(0.3)).then_some(1.0)
}

fn is_slow(call: Call, _: &mut StdRng) -> Option<f64> {
    Some(if call.is_target { 4.0 } else { 1.0 })
}

fn in_burst(now: u64) -> bool {
    (6_000..10_000).contains(&now)
}

fn burst(load: &mut Load) {
    load.rate = |now| if in_burst(now) { 3.0 } else { 1.0 };
}

/// Both versions are slow in a burst, some old servers fail or are slow, and one server of the target
/// version crashes.
fn good_among_faults(call: Call, rng: &mut StdRng) -> Option<f64> {
    let is_crash = call.is_target && (7_000..7_100).contains(&call.now);
    if is_crash && rng.random_bool(0.7) {
        return None;
    }
    let is_faulty = !call.is_target && rng.random_bool(0.1);
    if is_faulty && rng.random_bool(0.3) {
        return None;
    }
    let slow = if is_faulty { 5.0 } else { 1.0 };
    Some(if in_burst(call.now) { 3.0 * slow } else { slow })
}

fn bad_among_faults(call: Call, rng: &mut StdRng) -> Option<f64> {
    good_among_faults(call, rng).filter(|_| !call.is_target || !rng.random_bool(0.15))
}

#[test]
fn bursts_and_old_servers_with_faults_are_not_attributed_to_the_version() {
    check(good_among_faults, RolloutState::Completed, burst);
    check(bad_among_faults, RolloutState::Reverted, burst);
    let fails_under_load = |call: Call, rng: &mut StdRng| {
        (!call.is_target || !in_burst(call.now) || !rng.random_bool(0.2)).then_some(1.0)
    };
    check(fails_under_load, RolloutState::Reverted, burst);
}

/// Some hosts are late, cut off for seconds, or restarted.
fn disturbed(load: &mut Load) {
    load.lost = 0.2;
    load.delay_ms = 400;
    load.is_cut = |now, host| host % 5 == 3 && (5_000..9_000).contains(&now);
    load.restarts = |now, host| host % 6 == 2 && now == 8_000 + 50 * host as u64;
}

#[test]
fn late_cut_off_and_restarted_hosts_stay_within_the_bounds() {
    check(good, RolloutState::Completed, disturbed);
    check(fails_a_tenth, RolloutState::Reverted, disturbed);
    check(is_slow, RolloutState::Reverted, disturbed);
}

#[test]
fn another_conductor_takes_over() {
    let killed = |load: &mut Load| {
        load.conductors = |now| match now {
            0..6_000 => &[0],
            6_000..7_500 => &[],
            7_500..12_400 => &[2],
            12_400..12_900 => &[],
            _ => &[4],
        };
        load.hosts = load.hosts.max(5);
    };
    check(good, RolloutState::Completed, killed);
    check(fails_a_tenth, RolloutState::Reverted, killed);
    check(fails_late, RolloutState::Reverted, killed);
}

#[test]
fn two_conductors_stay_within_the_bounds() {
    let two = |load: &mut Load| {
        load.conductors = |_| &[0, 1];
        load.hosts = load.hosts.max(7);
    };
    check(good, RolloutState::Completed, two);
    check(fails_a_tenth, RolloutState::Reverted, two);
}

#[test]
fn the_store_may_fail() {
    let refuses = |load: &mut Load| {
        load.store = |now| match now {
            14_000..14_250 => Store::Refuses,
            3_000..5_000 | 14_250..14_450 => Store::LosesResponses,
            _ => Store::Works,
        };
    };
    check(good, RolloutState::Completed, refuses);
    let fails = |load: &mut Load| {
        load.store = |now| match now {
            4_000..14_500 => Store::Fails,
            _ => Store::Works,
        };
    };
    check(fails_a_tenth, RolloutState::Reverted, fails);
}

fn permit(order: &Order, phase: RolloutPhase) -> RolloutPermit {
    RolloutPermit {
        service: order.service_hash,
        target: order.target,
        order: order.identity,
        valid_for: Duration::from_secs(1),
        phase,
    }
}

/// The whole share, which a conductor never grants to one host.
const ALL: RolloutPhase = RolloutPhase::Canary {
    share_millionths: 1_000_000,
};

/// A host that knows an order and has sent 100 requests under it.
fn host(order: &Order) -> Exposure {
    let mut exposure = Exposure::new(1, Some(BOUNDS));
    exposure.on_confirmed(at(3_100));
    exposure.on_state(at(3_100), order.clone());
    exposure.on_permit(at(3_100), permit(order, ALL));
    (0..100).for_each(|_| exposure.on_sent(at(3_100), order.service_hash, 0, old_version()));
    exposure
}

fn choose(exposure: &mut Exposure, now: u64, order: &Order) -> VersionChoice {
    exposure.choose(at(now), order.service_hash, 0)
}

/// Guards against a host that is cut off, and goes on with the version after its permit has expired.
#[test]
fn a_host_without_a_permit_sends_nothing() {
    let order = order(1, 3_100);
    let (only, except) = (
        VersionChoice::Only(order.target),
        VersionChoice::Except(order.target),
    );
    let mut exposure = host(&order);
    assert_eq!(choose(&mut exposure, 4_099, &order), only);
    assert_eq!(choose(&mut exposure, 4_100, &order), except);
    assert!(!exposure.allows(at(4_100), order.service_hash, order.target, at(3_000)));
    // A permit of an earlier order for the same version.
    exposure.on_permit(at(4_200), permit(&self::order(2, 0), ALL));
    assert_eq!(choose(&mut exposure, 4_200, &order), except);
}

/// Guards against permits that waited in the socket of a host while it was frozen.
#[test]
fn a_host_that_was_frozen_ignores_the_permits_that_it_finds() {
    let order = order(1, 3_100);
    let mut exposure = host(&order);
    exposure.reports(at(3_300));
    exposure.on_permit(at(9_000), permit(&order, ALL));
    exposure.reports(at(9_000));
    exposure.on_permit(at(9_010), permit(&order, ALL));
    assert_eq!(
        choose(&mut exposure, 9_020, &order),
        VersionChoice::Except(order.target)
    );
    exposure.on_permit(at(9_450), permit(&order, ALL));
    assert_eq!(
        choose(&mut exposure, 9_450, &order),
        VersionChoice::Only(order.target)
    );
}

/// Guards against a conductor that has not heard of a revert, and against a revert that came too late.
#[test]
fn a_revert_lasts_unless_the_store_says_completed() {
    let mut order = order(1, 3_100);
    let mut exposure = host(&order);
    exposure.on_permit(at(3_200), permit(&order, RolloutPhase::Reverted));
    exposure.on_permit(at(3_300), permit(&order, ALL));
    assert_eq!(
        choose(&mut exposure, 3_300, &order),
        VersionChoice::Except(order.target)
    );
    order.state = RolloutState::Completed;
    exposure.on_state(at(3_400), order.clone());
    exposure.on_permit(at(3_500), permit(&order, RolloutPhase::Reverted));
    assert_eq!(
        choose(&mut exposure, 3_500, &order),
        VersionChoice::Only(order.target)
    );
    assert!(exposure.reports(at(3_500)).is_empty());
    assert!(!exposure.allows(at(3_500), order.service_hash, old_version(), at(0)));
}

/// Guards against a host that sees the servers of a new version before it sees the order.
#[test]
fn a_version_is_unknown_until_the_orders_are_confirmed() {
    let order = order(1, 3_100);
    let service = order.service_hash;
    let mut exposure = Exposure::new(1, Some(BOUNDS));
    exposure.on_confirmed(at(3_000));
    assert!(!exposure.allows(at(3_200), service, order.target, at(3_050)));
    exposure.on_confirmed(at(3_100));
    // A version without an order.
    assert!(exposure.allows(at(3_200), service, order.target, at(3_050)));
    let off = Exposure::new(1, None);
    assert!(off.allows(at(3_200), service, order.target, at(3_050)));
}

/// Guards against a host that changes a final state of another conductor.
#[test]
fn a_final_state_of_the_store_holds() {
    let order = order(1, 3_100);
    let mut conductor = Conductor::new(BOUNDS);
    conductor.on_order(at(3_100), order.clone());
    let mut writes = Vec::new();
    for now in (3_100..30_000).step_by(50) {
        for action in conductor.tick(at(now)) {
            if let ConductorAction::Write { state, order } = action {
                writes.push(state);
                let is_revert = state == RolloutState::Reverted;
                let held = if is_revert {
                    RolloutState::Completed
                } else {
                    state
                };
                conductor.on_written(at(now), order.identity, Ok(held));
            } else if let ConductorAction::Send(permit) = action
                && writes.len() == 2
            {
                assert_eq!(permit.phase, RolloutPhase::Completed);
            }
        }
    }
    assert_eq!(writes, [RolloutState::InProgress, RolloutState::Reverted]);
}

/// Guards against a conductor that is cut off and completes by what its own host sees.
#[test]
fn a_conductor_that_is_cut_off_does_not_complete() {
    check(good, RolloutState::Reverted, |load| {
        load.hosts = load.hosts.max(7);
        load.is_cut = |now, host| host == 0 && now >= 7_000;
    });
}

/// Guards against a conductor that permits requests before it knows what the one before it had seen.
#[test]
fn a_conductor_that_takes_over_collects_reports_first() {
    let mut order = order(1, 3_100);
    order.state = RolloutState::InProgress;
    let mut conductor = Conductor::new(BOUNDS);
    conductor.on_order(at(3_100), order);
    assert_eq!(conductor.tick(at(3_100)), []);
    assert_eq!(conductor.tick(at(3_650)), []);
    assert_eq!(conductor.tick(at(3_700)).len(), 1);
}

/// Good and failed responses of the target version and of the other one.
type Responses = [u32; 4];

/// What hosts report that get some responses every 250 ms, by the time since the order.
fn judge(until: u64, responses: fn(u64) -> Responses) -> (Evidence, Verdict) {
    let order = order(1, 0);
    let mut report = Exposure::new(1, Some(BOUNDS));
    report.on_state(at(0), order.clone());
    let mut report = report.reports(at(0)).remove(0);
    let outcomes = [true, false].map(|is_target| RouteOutcomes {
        route: 1,
        is_target,
        sent: 0,
        failed: 0,
        start_times: StartTimes::default(),
    });
    report.outcomes = outcomes.to_vec();
    let mut evidence = Evidence::default();
    let mut verdict = Verdict::Unclear;
    for now in (0..=until).step_by(250) {
        let older = report.clone();
        let numbers = responses(now);
        for (outcome, [good, failed]) in report.outcomes.iter_mut().zip(numbers.as_chunks().0) {
            outcome.sent += good + failed;
            outcome.failed += failed;
            (0..*good).for_each(|_| outcome.start_times.add(Duration::from_millis(80)));
        }
        report.age = Duration::from_millis(now + 1);
        evidence.on_report(at(now), 1, report.clone());
        // A report that was overtaken.
        evidence.on_report(at(now), 1, older);
        verdict = evidence.verdict(at(now));
        if matches!(verdict, Verdict::Bad { .. }) {
            break;
        }
    }
    (evidence, verdict)
}

/// Guards against a crash of one server of the version that counts as a fault of all.
#[test]
fn failures_of_one_moment_do_not_decide() {
    let (evidence, verdict) = judge(8_000, |now| match now {
        7_000 => [10, 25, 200, 0],
        2_000 | 5_000 => [10, 1, 200, 0],
        _ => [10, 0, 200, 0],
    });
    assert!(!matches!(verdict, Verdict::Bad { .. }), "{verdict:?}");
    // Reports that were overtaken have no effect.
    assert_eq!(evidence.target_requests(), 33 * 10 + 27);
}

/// Guards against a version that turns bad late, whose good sums hide it.
#[test]
fn a_version_that_turns_bad_late_is_recognised() {
    let (_, verdict) = judge(13_000, |now| match now {
        0..10_000 => [49, 1, 196, 4],
        _ => [45, 5, 196, 4],
    });
    assert!(matches!(verdict, Verdict::Bad { .. }), "{verdict:?}");
}

/// Guards against a version that is completed by old evidence, while hosts send it nothing any more.
#[test]
fn a_version_that_gets_no_requests_is_not_sound() {
    let used = |now| {
        if now < 9_000 {
            [10, 0, 200, 0]
        } else {
            [0, 0, 200, 0]
        }
    };
    assert_eq!(judge(8_500, used).1, Verdict::Sound);
    assert_eq!(judge(12_000, used).1, Verdict::Unclear);
}

fn phase() -> impl Strategy<Value = RolloutPhase> {
    let share =
        (0..=1_000_000u32).prop_map(|share_millionths| RolloutPhase::Canary { share_millionths });
    let shift = (0..3_000u64).prop_map(|remaining| RolloutPhase::Shift {
        remaining: Duration::from_millis(remaining),
    });
    prop_oneof![share, shift]
}

proptest! {
    /// Whatever permits conductors send, in any order, a host stays within the share of what it sent.
    #[test]
    fn a_host_stays_within_the_share(
        steps in proptest::collection::vec((proptest::option::of(phase()), 0..4u64, 0..4u64), 1..400),
    ) {
        let order = order(1, 3_100);
        let mut exposure = Exposure::new(1, Some(BOUNDS));
        exposure.on_state(at(3_100), order.clone());
        let (mut sent, mut at_target) = (0, 0);
        for (n, (phase, route, skipped)) in steps.into_iter().enumerate() {
            let now = at(3_100 + 10 * n as u64);
            if let Some(phase) = phase {
                exposure.on_permit(now, permit(&order, phase));
            }
            let choice = exposure.choose(now, order.service_hash, route);
            let is_target = choice == VersionChoice::Only(order.target);
            if is_target && skipped == 0 {
                exposure.on_unused(order.service_hash);
                continue;
            }
            let version = if is_target { order.target } else { old_version() };
            exposure.on_sent(now, order.service_hash, route, version);
            sent += 1;
            at_target += u64::from(is_target);
            prop_assert!(at_target as f64 <= BOUNDS.exposure_share * sent as f64);
        }
    }
}
