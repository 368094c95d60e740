//! Search for the number of requests at once with which a server does the most work.
//!
//! Batching servers do more work a second with more requests at once, up to a point that nobody
//! configures; beyond it every request slows down by more than the batch gains. The search tries a
//! neighbouring limit, measures the work done with it, and keeps the better one.

use std::time::Duration;

/// Completions that measure one limit, at least and at most.
const MIN_COMPLETIONS: u32 = 8;
const MAX_COMPLETIONS: u32 = 64;
/// Share of the added requests, in percent, that must show as added work for a higher limit to
/// be kept.
const MIN_GAIN_PERCENT: u128 = 30;
/// Share of the work, in percent, that must remain for a lower limit to be kept.
const MIN_REMAINING_PERCENT: u128 = 98;
/// Measurements between two trials after a rejected one. The number doubles with each rejection in
/// a row.
const INITIAL_TRIAL_INTERVAL: u32 = 16;
const MAX_TRIAL_INTERVAL: u32 = 96;
/// A trial moves the limit by one part in so many, and by one at least.
const FAST_STEP_DIVISOR: u32 = 2;
const FINE_STEP_DIVISOR: u32 = 8;

/// Work that ended requests did, and the time that they ran.
#[derive(Clone, Copy, Debug, Default)]
struct Measurement {
    work: u64,
    time_us: u64,
    count: u32,
}

/// A limit that is tried against the one that it may replace.
#[derive(Clone, Copy, Debug)]
struct Trial {
    from: u32,
    /// Work a second with the limit `from`, in the unit of [`LimitSearch::throughput`].
    reference: u128,
}

/// The search, and the limit that it holds now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitSearch {
    limit: u32,
    /// Counts the changes of the limit. Only requests of one generation measure its limit.
    generation: u32,
    measurement: Measurement,
    trial: Option<Trial>,
    fast_growth: bool,
    trial_upwards: bool,
    trial_interval: u32,
    measurements_since_trial: u32,
}

impl LimitSearch {
    /// Starts at a limit, and grows it fast until a trial is rejected.
    pub(crate) fn new(limit: u32, generation: u32) -> Self {
        Self {
            limit,
            generation,
            measurement: Measurement::default(),
            trial: None,
            fast_growth: true,
            trial_upwards: true,
            trial_interval: 1,
            measurements_since_trial: 0,
        }
    }

    /// Starts at a limit that was learnt before.
    pub(crate) fn restored_at(limit: u32, generation: u32) -> Self {
        Self {
            fast_growth: false,
            trial_interval: INITIAL_TRIAL_INTERVAL,
            ..Self::new(limit, generation)
        }
    }

    /// Requests at once.
    pub(crate) fn limit(&self) -> u32 {
        self.limit
    }

    /// Number of the current limit among all that were tried.
    pub(crate) fn generation(&self) -> u32 {
        self.generation
    }

    /// Whether no trial has been rejected yet.
    pub(crate) fn is_growing_fast(&self) -> bool {
        self.fast_growth
    }

    /// Lowers the limit at once, and measures anew.
    pub(crate) fn reduce_to(&mut self, limit: u32) {
        self.fast_growth = false;
        self.trial = None;
        self.trial_interval = INITIAL_TRIAL_INTERVAL;
        self.set_limit(limit.max(1));
    }

    /// Takes in a request of the current generation that ended on the full server. `ceiling` is
    /// the highest limit that may be tried.
    pub(crate) fn record(&mut self, work: u64, run_time: Duration, ceiling: u32) {
        self.measurement.work = self.measurement.work.saturating_add(work);
        let micros = u64::try_from(run_time.as_micros()).unwrap_or(u64::MAX);
        self.measurement.time_us = self.measurement.time_us.saturating_add(micros);
        self.measurement.count += 1;
        if self.measurement.count < self.limit.clamp(MIN_COMPLETIONS, MAX_COMPLETIONS) {
            return;
        }
        let throughput = self.throughput();
        self.measurement = Measurement::default();
        match self.trial.take() {
            Some(trial) => self.evaluate(trial, throughput),
            None => self.measurements_since_trial += 1,
        }
        if self.trial.is_none() && self.measurements_since_trial >= self.trial_interval {
            self.start_trial(throughput, ceiling);
        }
    }

    /// Work a second of a full server, in thousandths.
    fn throughput(&self) -> u128 {
        let work = u128::from(self.measurement.work) * u128::from(self.limit);
        work * 1_000_000_000 / u128::from(self.measurement.time_us.max(1))
    }

    fn evaluate(&mut self, trial: Trial, throughput: u128) {
        let kept = if self.limit > trial.from {
            let added = u128::from(self.limit - trial.from) * MIN_GAIN_PERCENT;
            let gain = trial.reference * added / (u128::from(trial.from.max(1)) * 100);
            throughput >= trial.reference + gain
        } else {
            throughput * 100 >= trial.reference * MIN_REMAINING_PERCENT
        };
        self.measurements_since_trial = 0;
        if kept {
            self.trial_interval = 1;
            self.measurements_since_trial = 1;
        } else {
            self.reject(trial);
        }
    }

    fn reject(&mut self, trial: Trial) {
        self.trial_upwards = self.fast_growth || !self.trial_upwards;
        self.trial_interval = if self.fast_growth {
            1
        } else {
            (self.trial_interval * 2).clamp(INITIAL_TRIAL_INTERVAL, MAX_TRIAL_INTERVAL)
        };
        self.fast_growth = false;
        self.set_limit(trial.from);
    }

    fn start_trial(&mut self, reference: u128, ceiling: u32) {
        let divisor = if self.fast_growth {
            FAST_STEP_DIVISOR
        } else {
            FINE_STEP_DIVISOR
        };
        let step = (self.limit / divisor).max(1);
        let target = if self.trial_upwards {
            (self.limit + step).min(ceiling)
        } else {
            self.limit.saturating_sub(step).max(1)
        };
        self.measurements_since_trial = 0;
        if target == self.limit {
            self.trial_upwards = !self.trial_upwards;
            return;
        }
        self.trial = Some(Trial {
            from: self.limit,
            reference,
        });
        self.set_limit(target);
    }

    fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
        self.generation = self.generation.wrapping_add(1);
        self.measurement = Measurement::default();
    }
}
