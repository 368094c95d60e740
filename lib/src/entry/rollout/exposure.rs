//! Decides on one host which requests go to servers of a version that is being rolled out.
//!
//! The load: a service of some hundred requests a second behind up to 79 hosts, of which some are late,
//! partitioned or restarted. A version that turns out to be bad must get no more than a tenth of the
//! requests, summed over all hosts. Each host therefore pays for each request to the new version from the
//! requests that it has itself sent since it learned of the order. This holds whatever hosts know of each
//! other, for any number of conductors, and after a restart, which begins with nothing to spend.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::super::stream_origins::VersionId;
use super::message::RolloutPermit;
use super::message::RolloutPhase;
use super::message::RolloutReport;
use super::message::RouteOutcomes;
use super::message::StartTimes;
use super::order::Order;
use super::order::RolloutBounds;
use super::order::RolloutState;
use crate::time::Timestamp;

/// Fraction of the exposure share that a host uses before completion. The rest covers requests that
/// were counted as sent here and never reached a server.
const EXPOSURE_USED: f64 = 0.9;
/// Credit that can accumulate, in requests. Up to twice the cost of a request, so that a route with few
/// requests can wait for its turn while others hold back.
const CREDIT_MAX: f64 = 2.0;
/// Time before the planned completion from which all requests may go to the target version.
const SHIFT_ALL: Duration = Duration::from_millis(500);
/// Longest time between two calls of [`Exposure::reports`] on a host that runs. After a longer gap the
/// host was frozen, and permits that it reads then may have waited in its socket.
const FROZEN_AFTER: Duration = Duration::from_millis(800);
/// Time after a gap in which permits to use the target version are ignored.
const FROZEN_HOLD: Duration = Duration::from_millis(400);
/// Responses of a route from which its usual duration is known.
const DURATIONS_MIN: u64 = 5;
/// Durations after which all of a route are halved, so that recent ones weigh more.
const DURATIONS_MAX: u64 = 2_000;

/// Which servers may get a request, by their software version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionChoice {
    /// Servers of all versions.
    Any,
    /// Servers of this version.
    Only(VersionId),
    /// Servers of all versions but this one.
    Except(VersionId),
}

/// What became of a request that was sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A response that is not a failure started. `after` is the time since the request was sent; `None`
    /// if it says nothing of the version, as at a server in its cold start.
    Responded {
        /// Time from sending the request until the response started.
        after: Option<Duration>,
    },
    /// The server failed the request: status 5xx other than a refusal to run it, connection closed
    /// within the response, or no response until the deadline of the caller. May follow `Responded`.
    Failed,
    /// No connection to the server. The request has not reached it, and it is no evidence of its
    /// version.
    Unreachable,
    /// The outcome says nothing of the version: the server refused to run the request because it is
    /// full, leaving or another instance (421), or the caller or this host gave up early.
    Neutral,
}

#[derive(Clone, Debug, Default)]
struct RouteSums {
    sent: u32,
    failed: u32,
    start_times: StartTimes,
}

/// What a host has sent and may send under an order.
#[derive(Debug)]
struct Rollout {
    order: Order,
    incarnation: u64,
    /// Whether a conductor has said that the order is reverted. It may not have been written yet.
    is_withdrawn: bool,
    /// Until when the last permit holds.
    permitted_until: Timestamp,
    /// When completion is planned, once the permits say so.
    shift_at: Option<Timestamp>,
    /// Share of requests that adds to the credit.
    share: f64,
    /// Requests that may go to the target version now.
    credit: f64,
    /// Requests that were chosen for the target version and have not been sent yet.
    chosen: u32,
    /// Requests for the service that were sent to any version.
    sent: u64,
    /// Requests that were sent to the target version or chosen for it.
    spent: u64,
    /// Sums by route, and whether at the target version.
    outcomes: BTreeMap<(u64, bool), RouteSums>,
}

impl Rollout {
    fn new(order: Order, incarnation: u64) -> Self {
        Self {
            order,
            incarnation,
            is_withdrawn: false,
            permitted_until: Timestamp::ZERO,
            shift_at: None,
            share: 0.0,
            credit: 0.0,
            chosen: 0,
            sent: 0,
            spent: 0,
            outcomes: BTreeMap::new(),
        }
    }

    /// The order's state as far as this host knows.
    fn state(&self) -> RolloutState {
        match self.order.state {
            RolloutState::Ordered | RolloutState::InProgress if self.is_withdrawn => {
                RolloutState::Reverted
            }
            state => state,
        }
    }

    fn is_permitted(&self, now: Timestamp) -> bool {
        !self.permitted_until.has_passed(now)
    }

    /// Whether one more request to the target version stays within the exposure share of the requests
    /// that this host has sent.
    fn is_within_exposure(&self, bounds: &RolloutBounds) -> bool {
        let allowed = EXPOSURE_USED * bounds.exposure_share * self.sent as f64;
        (self.spent + 1) as f64 <= allowed
    }

    /// Whether it is the turn of a route: the one with fewest requests at the target version, or any if
    /// that one has left the credit unused for long. Each host takes the routes in an order of its own:
    /// with many hosts, each has only a few requests to give.
    fn is_turn(&self, route: u64) -> bool {
        let key = |route: u64| {
            let sums = self.outcomes.get(&(route, true));
            let seed = self.order.identity ^ self.incarnation;
            let rank = xxh3_64_with_seed(&route.to_le_bytes(), seed);
            (sums.map_or(0, |sums| sums.sent), rank)
        };
        let mut routes = self.outcomes.keys().map(|(route, _)| *route);
        self.credit >= CREDIT_MAX || routes.all(|other| key(route) <= key(other))
    }

    /// Whether a request is to go to the target version. `usual` is how long requests of its route
    /// usually take.
    fn takes_target(
        &self,
        now: Timestamp,
        bounds: &RolloutBounds,
        route: u64,
        usual: Option<Duration>,
    ) -> bool {
        if !self.is_permitted(now) || !self.is_within_exposure(bounds) {
            return false;
        }
        if let Some(shift_at) = self.shift_at {
            let remaining = shift_at.remaining(now);
            if remaining <= SHIFT_ALL || usual.is_some_and(|usual| usual > remaining) {
                return true;
            }
        }
        self.credit >= 1.0 && self.is_turn(route)
    }
}

/// What a host knows of a service.
#[derive(Debug, Default)]
struct ServiceTraffic {
    rollout: Option<Rollout>,
    /// Requests that run at servers of each version.
    running: HashMap<VersionId, u32>,
    /// How long requests of each route took.
    durations: HashMap<u64, StartTimes>,
}

/// Decides which requests of this host go to servers of versions that are being rolled out, and counts
/// what becomes of them.
#[derive(Debug)]
pub struct Exposure {
    incarnation: u64,
    bounds: Option<RolloutBounds>,
    /// Time at which the known orders were current.
    confirmed_at: Option<Timestamp>,
    /// Time of the last call of [`Self::reports`].
    reported_at: Option<Timestamp>,
    /// Until when permits are ignored because this host was frozen.
    hold_until: Timestamp,
    services: HashMap<u64, ServiceTraffic>,
}

impl Exposure {
    /// State of a host that has just started. `incarnation` identifies this run of its process.
    /// Without `bounds`, roll-outs are off and every version may be used.
    pub fn new(incarnation: u64, bounds: Option<RolloutBounds>) -> Self {
        Self {
            incarnation,
            bounds,
            confirmed_at: None,
            reported_at: None,
            hold_until: Timestamp::ZERO,
            services: HashMap::new(),
        }
    }

    /// Records that the known orders are those that the store had at time `at` or later.
    pub fn on_confirmed(&mut self, at: Timestamp) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Records an order as read from the store. The same order again updates its state; another one for
    /// the same service replaces it, with all sums at zero.
    pub fn on_state(&mut self, _now: Timestamp, order: Order) {
        if self.bounds.is_none() {
            return;
        }
        let traffic = self.services.entry(order.service_hash).or_default();
        match &mut traffic.rollout {
            Some(known) if known.order.identity == order.identity => {
                // A status that is read late does not take back a final state.
                if !known.order.state.is_final() {
                    known.order.state = order.state;
                }
            }
            rollout => *rollout = Some(Rollout::new(order, self.incarnation)),
        }
    }

    /// Records that the order for a service was removed from the store.
    pub fn on_removed(&mut self, service: u64) {
        if let Some(traffic) = self.services.get_mut(&service) {
            traffic.rollout = None;
        }
    }

    /// Records a permit of a conductor. Permits for orders that this host does not know have no effect.
    pub fn on_permit(&mut self, now: Timestamp, permit: RolloutPermit) {
        self.notice_gap(now);
        let hold = !self.hold_until.has_passed(now);
        let traffic = self.services.get_mut(&permit.service);
        let Some(rollout) = traffic.and_then(|traffic| traffic.rollout.as_mut()) else {
            return;
        };
        if rollout.order.identity != permit.order || rollout.order.state.is_final() {
            return;
        }
        match permit.phase {
            RolloutPhase::Completed => rollout.order.state = RolloutState::Completed,
            RolloutPhase::Reverted => rollout.is_withdrawn = true,
            RolloutPhase::Canary { .. } | RolloutPhase::Shift { .. } if hold => {}
            RolloutPhase::Canary { share_millionths } => {
                rollout.share = f64::from(share_millionths) / 1e6;
                rollout.shift_at = None;
                rollout.permitted_until = now + permit.valid_for;
            }
            RolloutPhase::Shift { remaining } => {
                rollout.shift_at = Some(now + remaining);
                rollout.permitted_until = now + permit.valid_for;
            }
        }
    }

    /// Servers of which versions may get a request that is placed now. If the choice is `Only` and the
    /// request is not sent to a server of that version, [`Self::on_unused`] has to be called.
    pub fn choose(&mut self, now: Timestamp, service: u64, route: u64) -> VersionChoice {
        let Some(bounds) = &self.bounds else {
            return VersionChoice::Any;
        };
        let Some(traffic) = self.services.get_mut(&service) else {
            return VersionChoice::Any;
        };
        let Some(rollout) = &mut traffic.rollout else {
            return VersionChoice::Any;
        };
        let target = rollout.order.target;
        match rollout.state() {
            RolloutState::Completed => return VersionChoice::Only(target),
            RolloutState::Reverted => return VersionChoice::Except(target),
            RolloutState::Ordered | RolloutState::InProgress => {}
        }
        let durations = traffic.durations.get(&route);
        let known = durations.filter(|durations| durations.total() >= DURATIONS_MIN);
        let usual = known.and_then(|durations| durations.quantile(0.9));
        if !rollout.takes_target(now, bounds, route, usual) {
            return VersionChoice::Except(target);
        }
        rollout.credit = (rollout.credit - 1.0).max(0.0);
        rollout.chosen += 1;
        rollout.spent += 1;
        VersionChoice::Only(target)
    }

    /// Takes back a choice of `Only`: the request was not sent to a server of the target version.
    pub fn on_unused(&mut self, service: u64) {
        let Some(rollout) = self.rollout_mut(service) else {
            return;
        };
        if rollout.chosen > 0 {
            rollout.chosen -= 1;
            rollout.spent -= 1;
            rollout.credit = (rollout.credit + 1.0).min(CREDIT_MAX);
        }
    }

    /// Whether requests may be sent to servers of a version, which this host first saw at
    /// `first_seen_at`. [`Self::choose`] decides on single requests; this also holds for requests that
    /// are bound to a version, such as continued streams.
    pub fn allows(
        &self,
        now: Timestamp,
        service: u64,
        version: VersionId,
        first_seen_at: Timestamp,
    ) -> bool {
        if self.bounds.is_none() {
            return true;
        }
        if self.confirmed_at.is_none_or(|at| at <= first_seen_at) {
            return false;
        }
        let Some(rollout) = self.rollout(service) else {
            return true;
        };
        let is_target = rollout.order.target == version;
        match rollout.state() {
            RolloutState::Completed => is_target,
            RolloutState::Reverted => !is_target,
            RolloutState::Ordered | RolloutState::InProgress => {
                !is_target || rollout.is_permitted(now)
            }
        }
    }

    /// Counts a request that is sent to a server.
    pub fn on_sent(&mut self, now: Timestamp, service: u64, route: u64, version: VersionId) {
        if self.bounds.is_none() {
            return;
        }
        let traffic = self.services.entry(service).or_default();
        *traffic.running.entry(version).or_default() += 1;
        let Some(rollout) = &mut traffic.rollout else {
            return;
        };
        let is_target = rollout.order.target == version;
        rollout.sent += 1;
        let sums = rollout.outcomes.entry((route, is_target)).or_default();
        sums.sent += 1;
        if rollout.is_permitted(now) {
            rollout.credit = (rollout.credit + rollout.share).min(CREDIT_MAX);
        }
        if is_target && rollout.chosen > 0 {
            rollout.chosen -= 1;
        } else if is_target {
            // A continued stream, which is bound to its version.
            rollout.spent += 1;
            rollout.credit -= 1.0;
        }
    }

    /// Counts the outcome of a request that was sent.
    pub fn on_outcome(
        &mut self,
        service: u64,
        route: u64,
        version: VersionId,
        outcome: AttemptOutcome,
    ) {
        let Some(rollout) = self.rollout_mut(service) else {
            return;
        };
        let is_target = rollout.order.target == version;
        let Some(sums) = rollout.outcomes.get_mut(&(route, is_target)) else {
            // It was sent before the order was known.
            return;
        };
        match outcome {
            AttemptOutcome::Responded { after: Some(after) } => sums.start_times.add(after),
            AttemptOutcome::Failed => sums.failed = sums.failed.saturating_add(1),
            AttemptOutcome::Responded { after: None } => {}
            AttemptOutcome::Neutral => sums.sent = sums.sent.saturating_sub(1),
            AttemptOutcome::Unreachable => {
                sums.sent = sums.sent.saturating_sub(1);
                rollout.sent = rollout.sent.saturating_sub(1);
            }
        }
    }

    /// Counts that a request no longer runs at its server, `took` after it was sent. Has to be called
    /// once for each [`Self::on_sent`].
    pub fn on_ended(&mut self, service: u64, route: u64, version: VersionId, took: Duration) {
        let Some(traffic) = self.services.get_mut(&service) else {
            return;
        };
        if let Some(running) = traffic.running.get_mut(&version) {
            *running = running.saturating_sub(1);
            if *running == 0 {
                traffic.running.remove(&version);
            }
        }
        let durations = traffic.durations.entry(route).or_default();
        durations.add(took);
        if durations.total() >= DURATIONS_MAX {
            let halves = durations.counts().iter().map(|count| count / 2);
            *durations = StartTimes::from_counts(halves);
        }
    }

    /// Reports for the conductors of all orders that are in progress. To be called every 250 ms, also
    /// if nothing is sent.
    pub fn reports(&mut self, now: Timestamp) -> Vec<RolloutReport> {
        self.notice_gap(now);
        self.reported_at = Some(now);
        let mut reports: Vec<_> = self
            .services
            .iter()
            .filter_map(|(service, traffic)| self.report(now, *service, traffic))
            .collect();
        reports.sort_unstable_by_key(|report| report.service);
        reports
    }

    /// State of the order for a service, as this host knows it.
    pub fn state(&self, service: u64) -> Option<RolloutState> {
        self.rollout(service).map(Rollout::state)
    }

    fn report(
        &self,
        now: Timestamp,
        service: u64,
        traffic: &ServiceTraffic,
    ) -> Option<RolloutReport> {
        let rollout = traffic.rollout.as_ref()?;
        let order = &rollout.order;
        if order.state.is_final() {
            return None;
        }
        let running = traffic.running.iter();
        let old = running.filter(|(version, _)| **version != order.target);
        let outcomes = rollout.outcomes.iter();
        Some(RolloutReport {
            service,
            target: order.target,
            order: order.identity,
            incarnation: self.incarnation,
            age: now.since(order.learned_at),
            running_old: old.map(|(_, count)| count).sum(),
            requests: rollout.sent,
            outcomes: outcomes
                .map(|((route, is_target), sums)| RouteOutcomes {
                    route: *route,
                    is_target: *is_target,
                    sent: sums.sent,
                    failed: sums.failed,
                    start_times: sums.start_times,
                })
                .collect(),
        })
    }

    /// Starts to ignore permits if this host was frozen until now.
    fn notice_gap(&mut self, now: Timestamp) {
        if self
            .reported_at
            .is_some_and(|at| now.since(at) > FROZEN_AFTER)
        {
            self.hold_until = now + FROZEN_HOLD;
            self.reported_at = Some(now);
        }
    }

    fn rollout(&self, service: u64) -> Option<&Rollout> {
        self.services.get(&service)?.rollout.as_ref()
    }

    fn rollout_mut(&mut self, service: u64) -> Option<&mut Rollout> {
        self.services.get_mut(&service)?.rollout.as_mut()
    }
}
