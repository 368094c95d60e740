//! What each workspace has got of a service lately.
//!
//! Answers workspaces that flood a service: while requests have to be refused, the workspace that
//! has got more than its even share is refused first. Idle capacity is nobody's: without refusals
//! the shares limit no one.

use std::collections::HashMap;
use std::time::Duration;

use crate::time::Timestamp;

/// Time after which work counts half. Shares are judged over spans of four to six seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Part of what it asks, or of what the best served workspace got, below which a workspace is
/// owed work. Half is the least that each is promised; the rest is the time until it is served.
const UNDERSERVED_FRACTION: f64 = 0.7;
/// Work below which a workspace is forgotten, tokens: less than one small prompt.
const USAGE_TOKENS_MIN: f64 = 50.0;

#[derive(Clone, Copy, Debug)]
struct Usage {
    tokens: f64,
    updated: Timestamp,
}

impl Usage {
    fn at(&self, now: Timestamp) -> f64 {
        let age = now.since(self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.tokens * (-age).exp2()
    }
}

/// Recent work by workspace.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkspaceShares {
    granted: HashMap<u64, Usage>,
    requested: HashMap<u64, Usage>,
}

impl WorkspaceShares {
    /// A workspace asks for work.
    pub(crate) fn on_requested(&mut self, now: Timestamp, workspace: u64, tokens: u64) {
        add(&mut self.requested, now, workspace, tokens as f64);
    }

    /// A workspace gets work.
    pub(crate) fn on_granted(&mut self, now: Timestamp, workspace: u64, tokens: u64) {
        add(&mut self.granted, now, workspace, tokens as f64);
    }

    /// Whether a workspace has got far less than it asks and than another one has got.
    pub(crate) fn is_underserved(&self, now: Timestamp, workspace: u64) -> bool {
        let tokens = |usage: &Usage| usage.at(now);
        let requested = self.requested.get(&workspace).map_or(0.0, tokens);
        let own = self.granted.get(&workspace).map_or(0.0, tokens);
        let most = self.granted.values().map(tokens).fold(0.0, f64::max);
        own < UNDERSERVED_FRACTION * requested.min(most)
    }

    /// How many times its even share a workspace has got. The even share is the level up to which
    /// every workspace could be served what it asks, with all that was served.
    pub(crate) fn share_ratio(&mut self, now: Timestamp, workspace: u64) -> f64 {
        self.requested
            .retain(|_, usage| usage.at(now) > USAGE_TOKENS_MIN);
        self.granted
            .retain(|_, usage| usage.at(now) > USAGE_TOKENS_MIN);
        if self.requested.len() <= 1 {
            // Nobody else asks.
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

/// The level such that `capacity` covers every demand up to it.
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
