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
const OWED_PART: f64 = 0.7;
/// Work below which a workspace is forgotten, tokens: less than one small prompt.
const FORGOTTEN_BELOW: f64 = 50.0;

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
pub(crate) struct Shares {
    got: HashMap<u64, Usage>,
    asked: HashMap<u64, Usage>,
}

impl Shares {
    /// A workspace asks for work.
    pub(crate) fn on_asked(&mut self, now: Timestamp, workspace: u64, tokens: u64) {
        add(&mut self.asked, now, workspace, tokens as f64);
    }

    /// A workspace gets work.
    pub(crate) fn on_got(&mut self, now: Timestamp, workspace: u64, tokens: u64) {
        add(&mut self.got, now, workspace, tokens as f64);
    }

    /// Whether a workspace has got far less than it asks and than another one has got.
    pub(crate) fn is_owed(&self, now: Timestamp, workspace: u64) -> bool {
        let tokens = |usage: &Usage| usage.at(now);
        let asked = self.asked.get(&workspace).map_or(0.0, tokens);
        let own = self.got.get(&workspace).map_or(0.0, tokens);
        let most = self.got.values().map(tokens).fold(0.0, f64::max);
        own < OWED_PART * asked.min(most)
    }

    /// How many times its even share a workspace has got. The even share is the level up to which
    /// every workspace could be served what it asks, with all that was served.
    pub(crate) fn excess(&mut self, now: Timestamp, workspace: u64) -> f64 {
        self.asked
            .retain(|_, usage| usage.at(now) > FORGOTTEN_BELOW);
        self.got.retain(|_, usage| usage.at(now) > FORGOTTEN_BELOW);
        if self.asked.len() <= 1 {
            // Nobody else asks.
            return 0.0;
        }
        let own = self.got.get(&workspace).map_or(0.0, |usage| usage.at(now));
        let served: f64 = self.got.values().map(|usage| usage.at(now)).sum();
        let asked = self.asked.values().map(|usage| usage.at(now)).collect();
        let level = fair_level(asked, served);
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
pub(crate) fn fair_level(mut demands: Vec<f64>, capacity: f64) -> f64 {
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
