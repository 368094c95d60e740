//! Limits and speed of an engine.

use std::time::Duration;

/// Limits and speed of an engine. The router under test (cardamomshift) is not told any of it.
///
/// The batch is the set of requests that run at the same time. In every step the engine generates
/// tokens for each of them. A prefill is the processing of a prompt before its first token. A cold
/// engine has completed fewer than `warm_after` requests since its start, reset or crash.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineProfile {
    /// Duration of a step with an empty batch. At zero, a request whose prefill takes no time gets
    /// all of its tokens on admission.
    pub step: Duration,
    /// Additional duration of a step for each request in the batch.
    pub step_per_request: Duration,
    /// Tokens generated for each request in a step.
    pub tokens_per_step: u32,
    /// Duration of the prefill of a prompt whose prefix is not cached.
    pub prefill: Duration,
    /// Duration of the prefill of a prompt whose prefix is cached.
    pub cached_prefill: Duration,
    /// Prompt prefixes that the cache holds at most.
    pub cached_prefixes: usize,
    /// Requests at once above which a cold engine crashes.
    pub cold_limit: usize,
    /// Requests at once above which prefills and steps slow down, by the square of the ratio of
    /// requests to this limit.
    pub warm_limit: usize,
    /// Completions after which a cold engine is warm.
    pub warm_after: u32,
    /// Factor by which prefills and steps take longer on a cold engine.
    pub cold_slowdown: f64,
    /// Time after a crash in which the engine responds with status 503.
    pub crash_downtime: Duration,
    /// Age of the load that the engine reports, so that routers can be tested with outdated
    /// reports.
    pub load_lag: Duration,
    /// Whether the engine records when it generated tokens.
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
    /// An engine without limits that generates responses at once, to measure the router
    /// (cardamomshift) alone.
    pub fn instant() -> Self {
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

    /// Slots that a warm batch of `running` requests uses effectively.
    ///
    /// A slot is the capacity for one request at the warm limit. Up to the limit each request uses
    /// one slot. Above it the engine is slower than a full one, and the result is the warm limit
    /// times the ratio of its throughput to that of the full engine.
    pub fn effective_slots(&self, running: usize) -> f64 {
        if running <= self.warm_limit {
            return running as f64;
        }
        let pace = |running| running as f64 / self.step_duration(running, true).as_secs_f64();
        self.warm_limit as f64 * pace(running) / pace(self.warm_limit)
    }

    /// Duration of the prefill of a request that joins the batch; `running` includes that request.
    pub(super) fn prefill_duration(&self, running: usize, warm: bool, cached: bool) -> Duration {
        let base = if cached {
            self.cached_prefill
        } else {
            self.prefill
        };
        base.mul_f64(self.slowdown(running, warm))
    }

    /// Duration of a step of a batch.
    pub(super) fn step_duration(&self, running: usize, warm: bool) -> Duration {
        let base = self.step + self.step_per_request * u32::try_from(running).unwrap_or(u32::MAX);
        base.mul_f64(self.slowdown(running, warm))
    }

    /// Factor by which prefills and steps take longer than on a warm engine within its limit.
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
