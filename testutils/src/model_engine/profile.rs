//! What an engine bears and how fast it is.

use std::time::Duration;

/// What an engine bears and how fast it is. Routers do not see any of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineProfile {
    /// Length of a step with an empty batch. Zero makes an engine without pace, which gives every
    /// answer at once.
    pub step: Duration,
    /// Additional length of a step for each request in the batch.
    pub step_per_request: Duration,
    /// Tokens that each request gets in a step.
    pub tokens_per_step: u32,
    /// Time to the first token of a prompt whose prefix is not cached.
    pub prefill: Duration,
    /// Time to the first token of a prompt whose prefix is cached.
    pub cached_prefill: Duration,
    /// Prompt prefixes that the cache holds.
    pub cached_prefixes: usize,
    /// Requests that the cold engine bears at once.
    pub cold_limit: usize,
    /// Requests that the warm engine bears at once; above it, prompts and steps take longer with
    /// the square of the excess.
    pub warm_limit: usize,
    /// Completions that make a cold engine warm.
    pub warm_after: u32,
    /// Factor by which a cold engine's prompts and steps take longer.
    pub cold_slowdown: f64,
    /// Time that the engine answers 503 after it fell over.
    pub crash_downtime: Duration,
    /// Age of the load that the engine reports.
    pub load_lag: Duration,
    /// Whether tokens are recorded by time.
    pub record_samples: bool,
}

impl Default for EngineProfile {
    fn default() -> Self {
        Self {
            step: Duration::from_millis(5),
            step_per_request: Duration::from_micros(250),
            tokens_per_step: 4,
            prefill: Duration::from_millis(20),
            cached_prefill: Duration::from_millis(5),
            cached_prefixes: 32,
            cold_limit: 2,
            warm_limit: 8,
            warm_after: 6,
            cold_slowdown: 1.5,
            crash_downtime: Duration::from_millis(500),
            load_lag: Duration::from_millis(500),
            record_samples: true,
        }
    }
}

impl EngineProfile {
    /// An engine without pace or limits, for measurements of the router alone.
    pub fn unpaced() -> Self {
        Self {
            step: Duration::ZERO,
            prefill: Duration::ZERO,
            cached_prefill: Duration::ZERO,
            cold_limit: usize::MAX,
            warm_limit: usize::MAX,
            record_samples: false,
            ..Self::default()
        }
    }

    /// Slots that a warm batch of `running` requests uses: as many as it has, or, above the limit,
    /// the part of the full engine's pace that it still reaches.
    pub fn effective_slots(&self, running: usize) -> f64 {
        if running <= self.warm_limit {
            return running as f64;
        }
        let pace = |running| running as f64 / self.step_duration(running, true).as_secs_f64();
        self.warm_limit as f64 * pace(running) / pace(self.warm_limit)
    }

    /// Time to the first token of a prompt that joins a batch, which it then is part of.
    pub(super) fn prefill_duration(&self, running: usize, warm: bool, cached: bool) -> Duration {
        let base = if cached {
            self.cached_prefill
        } else {
            self.prefill
        };
        base.mul_f64(self.slowdown(running, warm))
    }

    /// Length of a step of a batch.
    pub(super) fn step_duration(&self, running: usize, warm: bool) -> Duration {
        let base = self.step + self.step_per_request * u32::try_from(running).unwrap_or(u32::MAX);
        base.mul_f64(self.slowdown(running, warm))
    }

    /// Factor by which everything takes longer than on a warm engine within its limit.
    fn slowdown(&self, running: usize, warm: bool) -> f64 {
        let excess = if running > self.warm_limit {
            running as f64 / self.warm_limit as f64
        } else {
            1.0
        };
        let slowdown = if warm { 1.0 } else { self.cold_slowdown };
        excess * excess * slowdown
    }
}
