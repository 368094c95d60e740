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
//! crash. Shares are therefore judged by the work of about the last second, so that what a workspace
//! was granted while there was more for it does not count against it for long.
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

/// Half-life of recorded work, two periods of the reports of schedulers to each other. With 2 s, a
/// workspace got almost nothing for 3 s after others had begun to flood the service too; with one
/// period, flooded shards use less than half of their capacity.
const HALF_LIFE: Duration = Duration::from_millis(500);
/// A workspace is underserved if it was granted less than this fraction of the work that it
/// requested, and also less than this fraction of the most work granted to any workspace. Each
/// workspace is guaranteed at least half of the smaller of the two amounts; the margin above half
/// covers the time until a request is served.
const UNDERSERVED_FRACTION: f64 = 0.7;
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

/// Report of another scheduler.
#[derive(Clone, Debug)]
struct ReportedWork {
    at: Timestamp,
    shards: ShardWork,
}

/// Sum of work that decays with [`HALF_LIFE`].
#[derive(Clone, Copy, Debug)]
struct Usage {
    /// Sum at the time `updated`.
    tokens: f64,
    updated: Timestamp,
}

impl Usage {
    /// Sum at the time `now`.
    fn at(&self, now: Timestamp) -> f64 {
        let age = now.since(self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.tokens * (-age).exp2()
    }
}

/// Recent work of one service by workspace, in tokens that decay with [`HALF_LIFE`]. Workspaces are
/// identified by the hashes of their names.
#[derive(Clone, Debug)]
pub(crate) struct WorkspaceShares {
    granted: HashMap<u64, Usage>,
    requested: HashMap<u64, Usage>,
    /// Work at the shards of other schedulers, by the address of the scheduler.
    reports: HashMap<SocketAddr, ReportedWork>,
    /// When a request was last sent to other shards without a report of room there.
    explored_at: Timestamp,
}

impl Default for WorkspaceShares {
    fn default() -> Self {
        Self {
            granted: HashMap::new(),
            requested: HashMap::new(),
            reports: HashMap::new(),
            explored_at: Timestamp::ZERO,
        }
    }
}

/// Work at all shards, as numbers of tokens by workspace.
#[derive(Debug, Default)]
struct TotalWork {
    granted: HashMap<u64, f64>,
    requested: HashMap<u64, f64>,
}

impl WorkspaceShares {
    /// Counts a request of a workspace, whether or not it is granted.
    pub(crate) fn on_requested(&mut self, now: Timestamp, workspace: u64, tokens: u64) {
        add(&mut self.requested, now, workspace, tokens as f64);
    }

    /// Counts a request of a workspace that was allowed to start.
    pub(crate) fn on_granted(&mut self, now: Timestamp, workspace: u64, tokens: u64) {
        add(&mut self.granted, now, workspace, tokens as f64);
    }

    /// Replaces the report of the scheduler at `from` on the work at its shards.
    pub(crate) fn on_report_from(&mut self, now: Timestamp, from: SocketAddr, shards: ShardWork) {
        self.reports.insert(from, ReportedWork { at: now, shards });
    }

    /// Whether a request that is refused here may be started at another shard: another scheduler
    /// has lately reported a contention below `contention_max`, or it is time to find out.
    pub(crate) fn may_have_room_elsewhere(&mut self, now: Timestamp, contention_max: f64) -> bool {
        let has_room = |report: &ReportedWork| f64::from(report.shards.contention) < contention_max;
        if self.reports(now).any(has_room) {
            return true;
        }
        let is_due = now.since(self.explored_at) >= EXPLORATION_PERIOD;
        if is_due {
            self.explored_at = now;
        }
        is_due
    }

    /// Recent reports of other schedulers.
    fn reports(&self, now: Timestamp) -> impl Iterator<Item = &ReportedWork> {
        let reports = self.reports.values();
        reports.filter(move |report| now.since(report.at) < REPORT_RETENTION)
    }

    /// Work at the shards of this scheduler, for other schedulers: the workspaces with the most
    /// requested work.
    pub(crate) fn own_work(&self, now: Timestamp) -> Vec<WorkspaceWork> {
        let tokens = |usage: Option<&Usage>| usage.map_or(0, |usage| usage.at(now) as u64);
        let mut work: Vec<_> = self
            .requested
            .iter()
            .map(|(workspace, requested)| WorkspaceWork {
                workspace: *workspace,
                requested_tokens: tokens(Some(requested)),
                granted_tokens: tokens(self.granted.get(workspace)),
            })
            .filter(|work| work.requested_tokens as f64 > USAGE_TOKENS_MIN)
            .collect();
        work.sort_unstable_by_key(|work| (Reverse(work.requested_tokens), work.workspace));
        work.truncate(REPORTED_WORKSPACES_MAX);
        work
    }

    /// Drops what is too old or too little to count.
    pub(crate) fn sweep(&mut self, now: Timestamp) {
        self.requested
            .retain(|_, usage| usage.at(now) > USAGE_TOKENS_MIN);
        self.granted
            .retain(|_, usage| usage.at(now) > USAGE_TOKENS_MIN);
        self.reports
            .retain(|_, report| now.since(report.at) < REPORT_RETENTION);
    }

    /// Work at all shards of the service.
    fn total(&self, now: Timestamp) -> TotalWork {
        let of = |usages: &HashMap<u64, Usage>| {
            let tokens = usages
                .iter()
                .map(|(workspace, usage)| (*workspace, usage.at(now)));
            tokens.collect::<HashMap<_, _>>()
        };
        let mut total = TotalWork {
            granted: of(&self.granted),
            requested: of(&self.requested),
        };
        for report in self.reports(now) {
            for work in &report.shards.work {
                let decayed = |tokens: u64| Usage {
                    tokens: tokens as f64,
                    updated: report.at,
                };
                *total.granted.entry(work.workspace).or_default() +=
                    decayed(work.granted_tokens).at(now);
                *total.requested.entry(work.workspace).or_default() +=
                    decayed(work.requested_tokens).at(now);
            }
        }
        total
    }

    /// How a workspace is served at all shards of the service.
    pub(crate) fn standing(&self, now: Timestamp, workspace: u64) -> Standing {
        let total = self.total(now);
        let requested = total.requested.get(&workspace).copied().unwrap_or(0.0);
        let granted = total.granted.get(&workspace).copied().unwrap_or(0.0);
        let most_granted = total.granted.values().copied().fold(0.0, f64::max);
        let granted_total: f64 = total.granted.values().sum();
        let competing = total.requested.values().copied();
        let competing: Vec<_> = competing
            .filter(|tokens| *tokens > USAGE_TOKENS_MIN)
            .collect();
        // Infinite if more was granted than requested, or if no other workspace competes for the service.
        let share = match competing.len() {
            0 | 1 => f64::INFINITY,
            _ => max_min_share(competing, granted_total),
        };
        let is_underserved = granted < UNDERSERVED_FRACTION * requested.min(most_granted);
        Standing {
            share_ratio: if share <= 0.0 { 0.0 } else { granted / share },
            is_underserved,
            wants_more_than_share: requested > share && granted >= share && !is_underserved,
        }
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

fn add(usages: &mut HashMap<u64, Usage>, now: Timestamp, workspace: u64, tokens: f64) {
    let usage = usages.entry(workspace).or_insert(Usage {
        tokens: 0.0,
        updated: now,
    });
    usage.tokens = usage.at(now) + tokens;
    usage.updated = now;
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
