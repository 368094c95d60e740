//! How much work each workspace (customer) has recently requested from a service, and how much it
//! was granted. A request is granted if the scheduler lets it start. Work is counted in tokens of
//! prompts and responses.
//!
//! This limits workspaces that flood a service: when requests have to be refused, those of
//! workspaces that were granted more than half of their fair share are refused first. Fairness is
//! max-min: a workspace that requests less than an even share is granted all that it requests, and
//! the others divide the rest evenly. A workspace is not limited while no other one sends requests,
//! so that it can use idle capacity.
//!
//! Demand and capacity change within a second: workspaces begin to flood the service, and engines
//! crash. Workspaces are therefore judged by the work of about the last second, so that what one was
//! granted while there was more for it does not count against it for long. If the share of a
//! workspace in that time is only a request or so, the work of a longer span is used.
//!
//! The engines of a large service are divided into shards with a scheduler each. A workspace whose
//! sessions are at the engines of one shard competes with other workspaces there than one whose
//! sessions are elsewhere. Schedulers therefore report the work at their shards to each other, and judge
//! each workspace by the work at all of them.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::time::Timestamp;

/// Half-life of the recent work, two periods of the reports of schedulers to each other. With 2 s, a
/// workspace got almost nothing for 3 s after others had begun to flood the service too.
const RECENT_HALF_LIFE: Duration = Duration::from_millis(500);
/// Half-life of the lasting work, which is the work in reports. The shares of workspaces are judged
/// over spans of 4 to 6 s, which are two to three half-lives.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// A workspace is judged by the recent work if its fair share of that is at least this many
/// requests, otherwise by the lasting work. With eight engines and 30 workspaces the recent work of
/// most is one request or none, which says little about their shares.
const RECENT_REQUESTS_MIN: f64 = 1.2;
/// A workspace is underserved if it was granted less than this fraction of the work that it
/// requested, and also less than this fraction of the most work granted to any workspace. Each
/// workspace is guaranteed at least half of the smaller of the two amounts. The margin above half
/// covers the time until a request is served, and that the lengths of responses are estimates.
const UNDERSERVED_FRACTION: f64 = 0.75;
/// The recorded work of a workspace, requested or granted, is forgotten once it is at most this,
/// tokens: less than one small prompt.
const USAGE_TOKENS_MIN: f64 = 50.0;
/// Most workspaces in a report to other schedulers. With at most 24 bytes for each, they fit in
/// a datagram; a workspace with less work than these does not flood the service.
const REPORTED_WORKSPACES_MAX: usize = 256;
/// How long a report of another scheduler counts. It is several periods of these
/// messages, so that a lost one has no effect.
const REPORT_RETENTION: Duration = Duration::from_secs(2);
/// Interval at which a refused request is sent to other shards although none of them has reported
/// room. A shard that gets no requests sends no reports, so that its free engines are not known.
/// With 250 ms, engines stayed empty for more than two reports.
const EXPLORATION_PERIOD: Duration = Duration::from_millis(100);

/// Recent work of one workspace at the shards of one scheduler, tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkspaceWork {
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// Work of its requests, granted or not.
    pub requested_tokens: u64,
    /// Work of those that were allowed to start.
    pub granted_tokens: u64,
}

/// Report of a scheduler on the work at its shards of a service, for those of the other shards.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardWork {
    /// How much the requests compete for the engines: 0 if engines are free, 1 if a request has to
    /// wait for others at any of them.
    pub contention: f32,
    /// Work of each workspace.
    pub work: Vec<WorkspaceWork>,
}

/// Sums of work that decay over time, tokens.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    /// Sum that decays with [`RECENT_HALF_LIFE`].
    recent: f64,
    /// Sum that decays with [`HALF_LIFE`].
    lasting: f64,
}

impl Work {
    /// What is left of the sums after `age`.
    fn after(&self, age: Duration) -> Self {
        let left = |half_life: Duration| (-age.as_secs_f64() / half_life.as_secs_f64()).exp2();
        Self {
            recent: self.recent * left(RECENT_HALF_LIFE),
            lasting: self.lasting * left(HALF_LIFE),
        }
    }

    fn add(&mut self, tokens: f64) {
        self.recent += tokens;
        self.lasting += tokens;
    }

    fn take(&mut self, tokens: f64) {
        self.recent = (self.recent - tokens).max(0.0);
        self.lasting = (self.lasting - tokens).max(0.0);
    }

    /// Sums at a scheduler that reports `lasting` tokens. `before` are those that follow from its
    /// last report, `None` if there is none.
    fn reported(lasting: f64, before: Option<Self>) -> Self {
        let recent = match before {
            Some(before) => before.recent + (lasting - before.lasting).max(0.0),
            // As if the work had come evenly.
            None => lasting * RECENT_HALF_LIFE.as_secs_f64() / HALF_LIFE.as_secs_f64(),
        };
        Self { recent, lasting }
    }
}

impl std::ops::AddAssign for Work {
    fn add_assign(&mut self, other: Self) {
        self.recent += other.recent;
        self.lasting += other.lasting;
    }
}

/// Work of one workspace.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    requested: Work,
    granted: Work,
}

impl Usage {
    /// What is left of the work after `age`.
    fn after(&self, age: Duration) -> Self {
        Self {
            requested: self.requested.after(age),
            granted: self.granted.after(age),
        }
    }
}

/// Work by workspace, as it was at the time `updated`.
#[derive(Clone, Debug)]
struct UsageTable {
    updated: Timestamp,
    usages: HashMap<u64, Usage>,
}

impl Default for UsageTable {
    fn default() -> Self {
        Self {
            updated: Timestamp::ZERO,
            usages: HashMap::new(),
        }
    }
}

impl UsageTable {
    /// Work at the time `now`.
    fn at(&self, now: Timestamp) -> impl Iterator<Item = (u64, Usage)> {
        let age = now.since(self.updated);
        let usages = self.usages.iter();
        usages.map(move |(workspace, usage)| (*workspace, usage.after(age)))
    }

    /// Work of a workspace, to be changed at the time `now`.
    fn entry(&mut self, now: Timestamp, workspace: u64) -> &mut Usage {
        if now != self.updated {
            self.usages = self.at(now).collect();
            self.updated = now;
        }
        self.usages.entry(workspace).or_default()
    }
}

/// Work of one service by workspace. Workspaces are identified by the hashes of their names.
#[derive(Clone, Debug)]
pub(crate) struct WorkspaceShares {
    /// Work at the shards of this scheduler.
    own: UsageTable,
    /// Work at the shards of other schedulers, by the address of the scheduler.
    reports: HashMap<SocketAddr, Report>,
    /// When a request was last sent to other shards without a report of room there.
    explored_at: Timestamp,
}

/// Report of another scheduler.
#[derive(Clone, Debug)]
struct Report {
    contention: f32,
    work: UsageTable,
}

impl Default for WorkspaceShares {
    fn default() -> Self {
        Self {
            own: UsageTable::default(),
            reports: HashMap::new(),
            explored_at: Timestamp::ZERO,
        }
    }
}

impl WorkspaceShares {
    /// Counts a request of a workspace, whether or not it is granted.
    pub(crate) fn on_requested(&mut self, now: Timestamp, workspace: u64, tokens: u64) {
        let usage = self.own.entry(now, workspace);
        usage.requested.add(tokens as f64);
    }

    /// Counts a request of a workspace that was allowed to start.
    pub(crate) fn on_granted(&mut self, now: Timestamp, workspace: u64, tokens: u64) {
        let usage = self.own.entry(now, workspace);
        usage.granted.add(tokens as f64);
    }

    /// Takes back a request that was allowed to start and did not run. `tokens` are what it was counted as.
    pub(crate) fn on_not_run(&mut self, now: Timestamp, workspace: u64, tokens: u64) {
        let usage = self.own.entry(now, workspace);
        usage.requested.take(tokens as f64);
        usage.granted.take(tokens as f64);
    }

    /// Replaces the report of the scheduler at `from` on the work at its shards.
    pub(crate) fn on_report_from(&mut self, now: Timestamp, from: SocketAddr, shards: ShardWork) {
        let before = self.reports.get(&from).filter(|last| last.is_valid(now));
        let before: Option<HashMap<_, _>> = before.map(|last| last.work.at(now).collect());
        let usage = |work: &WorkspaceWork| {
            let before = before.as_ref();
            let before = before.map(|b| b.get(&work.workspace).copied().unwrap_or_default());
            let reported =
                |tokens: u64, before: Option<Work>| Work::reported(tokens as f64, before);
            let usage = Usage {
                requested: reported(work.requested_tokens, before.map(|b| b.requested)),
                granted: reported(work.granted_tokens, before.map(|b| b.granted)),
            };
            (work.workspace, usage)
        };
        let work = UsageTable {
            updated: now,
            usages: shards.work.iter().map(usage).collect(),
        };
        let contention = shards.contention;
        self.reports.insert(from, Report { contention, work });
    }

    /// Whether a request that is refused here may be started at another shard: another scheduler
    /// has lately reported a contention below `contention_max`, or it is time to find out.
    pub(crate) fn may_have_room_elsewhere(&mut self, now: Timestamp, contention_max: f64) -> bool {
        let has_room = |report: &Report| f64::from(report.contention) < contention_max;
        if self.valid_reports(now).any(has_room) {
            return true;
        }
        let is_due = now.since(self.explored_at) >= EXPLORATION_PERIOD;
        if is_due {
            self.explored_at = now;
        }
        is_due
    }

    /// Recent reports of other schedulers.
    fn valid_reports(&self, now: Timestamp) -> impl Iterator<Item = &Report> {
        let reports = self.reports.values();
        reports.filter(move |report| report.is_valid(now))
    }

    /// Work at the shards of this scheduler, for other schedulers: the workspaces with the most
    /// requested work.
    pub(crate) fn own_work(&self, now: Timestamp) -> Vec<WorkspaceWork> {
        let mut work: Vec<_> = self
            .own
            .at(now)
            .map(|(workspace, usage)| WorkspaceWork {
                workspace,
                requested_tokens: usage.requested.lasting as u64,
                granted_tokens: usage.granted.lasting as u64,
            })
            .filter(|work| work.requested_tokens as f64 > USAGE_TOKENS_MIN)
            .collect();
        work.sort_unstable_by_key(|work| (Reverse(work.requested_tokens), work.workspace));
        work.truncate(REPORTED_WORKSPACES_MAX);
        work
    }

    /// Drops what is too old or too little to count.
    pub(crate) fn sweep(&mut self, now: Timestamp) {
        let age = now.since(self.own.updated);
        self.own.usages.retain(|_, usage| {
            let usage = usage.after(age);
            usage.requested.lasting.max(usage.granted.lasting) > USAGE_TOKENS_MIN
        });
        self.reports.retain(|_, report| report.is_valid(now));
    }

    /// Work at all shards of the service.
    fn total(&self, now: Timestamp) -> HashMap<u64, Usage> {
        let mut total: HashMap<_, _> = self.own.at(now).collect();
        for report in self.valid_reports(now) {
            for (workspace, usage) in report.work.at(now) {
                let sum: &mut Usage = total.entry(workspace).or_default();
                sum.requested += usage.requested;
                sum.granted += usage.granted;
            }
        }
        total
    }

    /// How a workspace is served at all shards of the service, for a request of `tokens`.
    pub(crate) fn standing(&self, now: Timestamp, workspace: u64, tokens: u64) -> Standing {
        let total = self.total(now);
        let recent_share = fair_share(&total, |work| work.recent);
        if recent_share >= RECENT_REQUESTS_MIN * tokens as f64 {
            return standing_by(&total, workspace, recent_share, |work| work.recent);
        }
        let lasting_share = fair_share(&total, |work| work.lasting);
        standing_by(&total, workspace, lasting_share, |work| work.lasting)
    }
}

/// How a workspace is served by one of the sums of work. `share` is its fair share by that sum.
fn standing_by(
    total: &HashMap<u64, Usage>,
    workspace: u64,
    share: f64,
    sum: impl Fn(&Work) -> f64,
) -> Standing {
    let usage = total.get(&workspace).copied().unwrap_or_default();
    let (requested, granted) = (sum(&usage.requested), sum(&usage.granted));
    let most_granted = total.values().map(|usage| sum(&usage.granted));
    let most_granted = most_granted.fold(0.0, f64::max);
    let is_underserved = granted < UNDERSERVED_FRACTION * requested.min(most_granted);
    Standing {
        share_ratio: if share <= 0.0 { 0.0 } else { granted / share },
        is_underserved,
        wants_more_than_share: requested > share && granted >= share && !is_underserved,
    }
}

impl Report {
    fn is_valid(&self, now: Timestamp) -> bool {
        now.since(self.work.updated) < REPORT_RETENTION
    }
}

/// Max-min fair share of a workspace by one of the sums of work. Infinite if more was granted than
/// requested, or if no other workspace competes for the service.
fn fair_share(total: &HashMap<u64, Usage>, sum: impl Fn(&Work) -> f64) -> f64 {
    let granted = total.values().map(|usage| sum(&usage.granted)).sum();
    let requested = total.values().map(|usage| sum(&usage.requested));
    let competing: Vec<_> = requested
        .filter(|tokens| *tokens > USAGE_TOKENS_MIN)
        .collect();
    match competing.len() {
        0 | 1 => f64::INFINITY,
        _ => max_min_share(competing, granted),
    }
}

/// How a workspace is served, compared with the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Standing {
    /// Ratio of the work granted to the workspace to its max-min fair share. The fair share is the
    /// largest amount that every workspace could be granted, up to what it requested, from all the
    /// work granted to all of them. 0 if no other workspace competes.
    pub(crate) share_ratio: f64,
    /// Whether the workspace was granted far less than it requested and far less than another
    /// workspace.
    pub(crate) is_underserved: bool,
    /// Whether the workspace has requested more than its fair share and was granted at least that.
    pub(crate) wants_more_than_share: bool,
}

impl Standing {
    /// Standing of a request that continues a stream. The stream was admitted when it began, so it is
    /// neither throttled nor refused as over the share of its workspace, and may start in other shards too.
    pub(crate) const CONTINUED_STREAM: Self = Self {
        share_ratio: 0.0,
        is_underserved: true,
        wants_more_than_share: false,
    };
}

/// Max-min fair share of `capacity` among `demands`: the value for which the demands, each cut off
/// at it, add up to `capacity`. Infinite if the capacity exceeds all demands together.
pub(crate) fn max_min_share(mut demands: Vec<f64>, capacity: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut left = capacity;
    let mut count = demands.len();
    for demand in demands {
        let share = left / count as f64;
        if demand >= share {
            return share;
        }
        left -= demand;
        count -= 1;
    }
    f64::INFINITY
}
