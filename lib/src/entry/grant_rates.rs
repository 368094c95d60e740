//! Decides which requests to models a host that is behind its work refuses without asking a scheduler.
//!
//! The load: the callers of one failure domain send several times what the engines (servers that run a
//! model) can serve, by a few small hosts. Schedulers refuse most of these requests, and to ask them
//! takes a host more processor time than anything else that it does for a refused request. While it has
//! too little of it, the requests that do start are late.
//!
//! The host therefore remembers how many of the recent requests of each workspace (customer) the
//! schedulers have let start. While its timers are late, it asks for that part of the requests only and
//! refuses the rest at once. The fewer it asks for, the larger is the part that may start, so that engines
//! do not run empty.

use std::collections::HashMap;
use std::time::Duration;

use super::refusal::Refusal;
use crate::time::Timestamp;

/// Lag of the host's timers from which on requests are refused without asking. A request waits for the
/// host about eight times until its response starts, so that this lag delays it by 80 ms.
const ASKING_LAG_MAX: Duration = Duration::from_millis(10);
/// Half-life of the counted decisions. Demand and room change within a second.
const DECISIONS_HALF_LIFE: Duration = Duration::from_millis(300);
/// Least fraction of the requests for which schedulers are asked, so that more room is noticed.
const ASKED_FRACTION_MIN: f64 = 0.1;
/// Factor from the fraction of requests that may start to the fraction that is asked for.
const ASKED_PER_GRANTED: f64 = 1.5;
/// Number of counted decisions below which the workspace is forgotten.
const DECISIONS_MIN: f64 = 0.1;

/// Recent decisions of schedulers on the requests of one workspace to one service.
#[derive(Clone, Copy, Debug)]
struct Decisions {
    granted: f64,
    refused: f64,
    updated: Timestamp,
    /// The last refusal by a scheduler.
    refusal: Refusal,
    /// Grows with each request by the fraction to be asked for; one that is asked for costs 1.
    credit: f64,
}

impl Decisions {
    fn decay(&mut self, now: Timestamp) {
        let age = now.since(self.updated).as_secs_f64() / DECISIONS_HALF_LIFE.as_secs_f64();
        let kept = (-age).exp2();
        self.granted *= kept;
        self.refused *= kept;
        self.updated = now;
    }
}

/// Recent decisions of schedulers, by the hashes of service and workspace. Only workspaces of which
/// requests were refused are kept.
#[derive(Clone, Debug, Default)]
pub struct GrantRates {
    workspaces: HashMap<(u64, u64), Decisions>,
}

impl GrantRates {
    /// Counts a request that a scheduler has let start.
    pub fn on_granted(&mut self, now: Timestamp, service: u64, workspace: u64) {
        if let Some(decisions) = self.workspaces.get_mut(&(service, workspace)) {
            decisions.decay(now);
            decisions.granted += 1.0;
        }
    }

    /// Counts a request that schedulers have refused.
    pub fn on_refused(&mut self, now: Timestamp, service: u64, workspace: u64, refusal: Refusal) {
        let decisions = self
            .workspaces
            .entry((service, workspace))
            .or_insert(Decisions {
                granted: 0.0,
                refused: 0.0,
                updated: now,
                refusal,
                credit: 0.0,
            });
        decisions.decay(now);
        decisions.refused += 1.0;
        decisions.refusal = refusal;
    }

    /// The refusal of a request for which no scheduler is asked, `None` if one is to be asked. `lag` is
    /// how late the host's timers fire.
    pub fn refusal(
        &mut self,
        now: Timestamp,
        service: u64,
        workspace: u64,
        lag: Duration,
    ) -> Option<Refusal> {
        if lag <= ASKING_LAG_MAX {
            return None;
        }
        let decisions = self.workspaces.get_mut(&(service, workspace))?;
        decisions.decay(now);
        // One granted request is assumed beforehand, so that a single refusal does not stop them all.
        let granted = 1.0 + decisions.granted;
        let fraction = ASKED_PER_GRANTED * granted / (granted + decisions.refused);
        decisions.credit += fraction.clamp(ASKED_FRACTION_MIN, 1.0);
        if decisions.credit >= 1.0 {
            decisions.credit -= 1.0;
            return None;
        }
        Some(decisions.refusal)
    }

    /// Forgets workspaces without recent decisions.
    pub fn sweep(&mut self, now: Timestamp) {
        self.workspaces.retain(|_, decisions| {
            decisions.decay(now);
            decisions.granted + decisions.refused > DECISIONS_MIN
        });
    }
}
