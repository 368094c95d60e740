//! How much work of a service each workspace (customer) has recently requested and been granted.
//! Work is counted in tokens of prompts and responses.
//!
//! This limits workspaces that flood a service: while requests have to be refused, the workspace
//! that was granted more than its fair share is refused first. Fairness is max-min: a workspace
//! that requests less than an even share gets all of it, and the others divide the rest. Without
//! refusals nobody is limited, so that idle capacity is available to all.

use std::collections::HashMap;
use std::time::Duration;

use crate::time::Timestamp;

/// Half-life of recorded work. Shares are judged over spans of 4 to 6 s.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// A workspace is underserved if it was granted less than this fraction of both its own requests
/// and the grants of the best-served workspace. Each workspace is guaranteed at least half of
/// these; the margin above half covers the time until a request is served.
const UNDERSERVED_FRACTION: f64 = 0.7;
/// Work below which a workspace is forgotten, tokens: less than one small prompt.
const USAGE_TOKENS_MIN: f64 = 50.0;

/// Decaying sum of work.
#[derive(Clone, Copy, Debug)]
struct Usage {
    /// Sum at the time `updated`.
    tokens: f64,
    updated: Timestamp,
}

impl Usage {
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
    /// Counts a request of a workspace.
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
        let served: f64 = self.granted.values().map(|usage| usage.at(now)).sum();
        let requested = self.requested.values().map(|usage| usage.at(now)).collect();
        let level = max_min_share(requested, served);
        if level <= 0.0 { 0.0 } else { own / level }
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

/// Max-min fair share of `capacity` among `demands`: the level for which the demands, each cut off
/// at it, add up to `capacity`. Infinite if the capacity covers all demands.
pub(crate) fn max_min_share(mut demands: Vec<f64>, capacity: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut left = capacity;
    let mut count = demands.len();
    for demand in demands {
        let level = left / count as f64;
        if demand >= level {
            return level;
        }
        left -= demand;
        count -= 1;
    }
    f64::INFINITY
}
