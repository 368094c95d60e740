//! Hill climbing for the concurrency limit at which a server has the highest throughput.
//!
//! A server that batches has a higher throughput with more concurrent requests, up to a point that
//! is not configured anywhere; beyond it each request slows down by more than the larger batch
//! gains. The search measures the throughput at the current limit, tries a neighbouring limit in a
//! trial, and keeps the one that does better. A higher limit must bring a clear gain, and a lower
//! one may cost a little: of two limits with similar throughput the lower one is kept.

use std::time::Duration;

/// Bounds on the number of completed requests that make up one measurement. Between the bounds the
/// number equals the limit.
const MIN_COMPLETIONS: u32 = 8;
const MAX_COMPLETIONS: u32 = 64;
/// Smallest gain that keeps a higher limit: if the limit rises by a fraction `x`, throughput must
/// rise by at least this percentage of `x`.
const MIN_GAIN_PERCENT: u128 = 30;
/// Smallest throughput that keeps a lower limit, in percent of the throughput at the limit before
/// the trial.
const MIN_REMAINING_PERCENT: u128 = 98;
/// Measurements between a rejected trial and the next one, once fast growth has ended. The number
/// doubles with each further rejection in a row, up to [`MAX_TRIAL_INTERVAL`].
const INITIAL_TRIAL_INTERVAL: u32 = 16;
const MAX_TRIAL_INTERVAL: u32 = 96;
/// A trial changes the limit by the limit divided by this, and by at least one: by half during fast
/// growth, by an eighth after it.
const FAST_STEP_DIVISOR: u32 = 2;
const FINE_STEP_DIVISOR: u32 = 8;

/// Work and run time of the requests that ended since the measurement began.
#[derive(Clone, Copy, Debug, Default)]
struct Measurement {
    /// Sum of the requests' work, in the unit that the server's requests share.
    work: u64,
    /// Sum of the requests' run times.
    time_us: u64,
    /// Number of requests.
    count: u32,
}

/// A trial of another limit, which is the current limit while the trial is measured.
#[derive(Clone, Copy, Debug)]
struct Trial {
    /// Limit before the trial, restored if the trial is rejected.
    from: u32,
    /// Throughput at the limit `from`, in the unit of [`LimitSearch::throughput`].
    reference: u128,
}

/// State of the search, and the current limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitSearch {
    /// Current limit, in concurrent requests.
    limit: u32,
    /// Counts the changes of the limit. A measurement takes only requests that were admitted in the
    /// current generation, because earlier ones ran under another limit.
    generation: u32,
    measurement: Measurement,
    /// The trial that is being measured, if any.
    trial: Option<Trial>,
    /// Whether trials take large upward steps, as they do until the first one is rejected.
    fast_growth: bool,
    /// Whether the next trial is of a higher limit rather than of a lower one.
    trial_upwards: bool,
    /// Measurements to take before the next trial.
    trial_interval: u32,
    /// Measurements taken since the latest trial ended.
    measurements_since_trial: u32,
}

impl LimitSearch {
    /// Starts a search in fast growth, which lasts until a trial is rejected.
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

    /// Resumes at a limit that was learnt before, without fast growth.
    pub(crate) fn restored_at(limit: u32, generation: u32) -> Self {
        Self {
            fast_growth: false,
            trial_interval: INITIAL_TRIAL_INTERVAL,
            ..Self::new(limit, generation)
        }
    }

    /// The current limit, in concurrent requests. At least one.
    pub(crate) fn limit(&self) -> u32 {
        self.limit
    }

    /// Number of limit changes so far. It tells whether a request was admitted under the current
    /// limit.
    pub(crate) fn generation(&self) -> u32 {
        self.generation
    }

    /// Whether no trial has been rejected yet.
    pub(crate) fn is_growing_fast(&self) -> bool {
        self.fast_growth
    }

    /// Sets a lower limit at once, drops a running trial, and ends fast growth.
    pub(crate) fn reduce_to(&mut self, limit: u32) {
        self.fast_growth = false;
        self.trial = None;
        self.trial_interval = INITIAL_TRIAL_INTERVAL;
        self.set_limit(limit.max(1));
    }

    /// Adds to the measurement a request of the current generation that ended while the server ran
    /// as many requests as its limit allows. `ceiling` is the highest limit that a trial may use.
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

    /// Throughput of the server at its limit, in thousandths of a work unit per second.
    ///
    /// Every request runs next to `limit - 1` others, so the throughput is the work per second of
    /// run time times the limit.
    fn throughput(&self) -> u128 {
        let work = u128::from(self.measurement.work) * u128::from(self.limit);
        work * 1_000_000_000 / u128::from(self.measurement.time_us.max(1))
    }

    /// Ends a trial: keeps its limit if the throughput suffices, or else rejects it.
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
            // The measurement of a kept trial counts as the one before the next trial, which
            // therefore starts at once.
            self.trial_interval = 1;
            self.measurements_since_trial = 1;
        } else {
            self.reject(trial);
        }
    }

    /// Restores the limit before the trial. The first rejected trial ends fast growth; later ones
    /// reverse the direction and lengthen the interval to the next trial.
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

    /// Starts a trial of a neighbouring limit, or reverses the direction if there is none.
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
