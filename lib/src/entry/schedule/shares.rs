//! How much work each workspace (customer) has recently requested from a service, and how much it
//! was granted. A request is granted if the scheduler lets it start. Work is counted in tokens of
//! prompts and responses.
//!
//! This limits workspaces that flood a service: when requests have to be refused, those of
//! workspaces that were granted more than half of their fair share are refused first. Fairness is
//! max-min: a workspace that requests less than an even share is granted all that it requests, and
//! the others divide the rest evenly. A workspace is not limited while no other one sends requests,
//! so that it can use idle capacity.

use std::collections::HashMap;
use std::time::Duration;

use crate::time::Timestamp;

/// Half-life of recorded work. The shares of workspaces are judged over spans of 4 to 6 s, which
/// are two to three half-lives.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// A workspace is underserved if it was granted less than this fraction of the work that it
/// requested, and also less than this fraction of the most work granted to any workspace. Each
/// workspace is guaranteed at least half of the smaller of the two amounts; the margin above half
/// covers the time until a request is served.
const UNDERSERVED_FRACTION: f64 = 0.7;
/// The recorded work of a workspace, requested or granted, is forgotten once it is at most this,
/// tokens: less than one small prompt.
const USAGE_TOKENS_MIN: f64 = 50.0;

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
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkspaceShares {
    granted: HashMap<u64, Usage>,
    requested: HashMap<u64, Usage>,
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

    /// Whether a workspace was granted far less than it requested and far less than another
    /// workspace.
    pub(crate) fn is_underserved(&self, now: Timestamp, workspace: u64) -> bool {
        let tokens = |usage: &Usage| usage.at(now);
        let requested = self.requested.get(&workspace).map_or(0.0, tokens);
        let own = self.granted.get(&workspace).map_or(0.0, tokens);
        let most = self.granted.values().map(tokens).fold(0.0, f64::max);
        own < UNDERSERVED_FRACTION * requested.min(most)
    }

    /// Ratio of the work granted to a workspace to its max-min fair share. The fair share is the
    /// largest amount that every workspace could be granted, up to what it requested, from all the
    /// work granted to all of them.
    pub(crate) fn share_ratio(&mut self, now: Timestamp, workspace: u64) -> f64 {
        self.requested
            .retain(|_, usage| usage.at(now) > USAGE_TOKENS_MIN);
        self.granted
            .retain(|_, usage| usage.at(now) > USAGE_TOKENS_MIN);
        if self.requested.len() <= 1 {
            // No other workspace competes for the service.
            return 0.0;
        }
        let own = self
            .granted
            .get(&workspace)
            .map_or(0.0, |usage| usage.at(now));
        let granted_total: f64 = self.granted.values().map(|usage| usage.at(now)).sum();
        let requested = self.requested.values().map(|usage| usage.at(now)).collect();
        // Infinite if more was granted than requested; the ratio is then 0.
        let share = max_min_share(requested, granted_total);
        if share <= 0.0 { 0.0 } else { own / share }
    }
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
