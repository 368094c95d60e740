//! Search for the number of requests at once with which a server does the most work.
//!
//! Batching servers do more work a second with more requests at once, up to a point that nobody
//! configures; beyond it every request slows down by more than the batch gains. The search tries a
//! neighbouring limit, measures the work done with it, and keeps the better one.

use std::time::Duration;

/// Completions that measure one limit, at least and at most.
const LEAST_SAMPLES: u32 = 8;
const MOST_SAMPLES: u32 = 64;
/// Share of the added requests, in percent, that must show as added work for a higher limit to
/// be kept.
const GAIN_PERCENT: u128 = 30;
/// Share of the work, in percent, that must remain for a lower limit to be kept.
const REMAIN_PERCENT: u128 = 98;
/// Measurements between two trials after a rejected one. The number doubles with each rejection in
/// a row.
const FIRST_PATIENCE: u32 = 16;
const MOST_PATIENCE: u32 = 96;
/// A trial moves the limit by one part in so many, and by one at least.
const FAST_STEP: u32 = 2;
const FINE_STEP: u32 = 8;

/// Work that ended requests did, and the time that they ran.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
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
    sample: Sample,
    trial: Option<Trial>,
    fast: bool,
    upwards: bool,
    patience: u32,
    measurements: u32,
}

impl LimitSearch {
    /// Starts at a limit, and grows it fast until a trial is rejected.
    pub(crate) fn starting_at(limit: u32, generation: u32) -> Self {
        Self {
            limit,
            generation,
            sample: Sample::default(),
            trial: None,
            fast: true,
            upwards: true,
            patience: 1,
            measurements: 0,
        }
    }

    /// Starts at a limit that was learnt before.
    pub(crate) fn settled_at(limit: u32, generation: u32) -> Self {
        Self {
            fast: false,
            patience: FIRST_PATIENCE,
            ..Self::starting_at(limit, generation)
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
    pub(crate) fn is_fast(&self) -> bool {
        self.fast
    }

    /// Lowers the limit at once, and measures anew.
    pub(crate) fn reduce_to(&mut self, limit: u32) {
        self.fast = false;
        self.trial = None;
        self.patience = FIRST_PATIENCE;
        self.move_to(limit.max(1));
    }

    /// Takes in a request of the current generation that ended on the full server. `ceiling` is
    /// the highest limit that may be tried.
    pub(crate) fn record(&mut self, work: u64, served: Duration, ceiling: u32) {
        self.sample.work = self.sample.work.saturating_add(work);
        let micros = u64::try_from(served.as_micros()).unwrap_or(u64::MAX);
        self.sample.time_us = self.sample.time_us.saturating_add(micros);
        self.sample.count += 1;
        if self.sample.count < self.limit.clamp(LEAST_SAMPLES, MOST_SAMPLES) {
            return;
        }
        let throughput = self.throughput();
        self.sample = Sample::default();
        match self.trial.take() {
            Some(trial) => self.judge(trial, throughput),
            None => self.measurements += 1,
        }
        if self.trial.is_none() && self.measurements >= self.patience {
            self.start_trial(throughput, ceiling);
        }
    }

    /// Work a second of a full server, in thousandths.
    fn throughput(&self) -> u128 {
        let work = u128::from(self.sample.work) * u128::from(self.limit);
        work * 1_000_000_000 / u128::from(self.sample.time_us.max(1))
    }

    fn judge(&mut self, trial: Trial, throughput: u128) {
        let kept = if self.limit > trial.from {
            let added = u128::from(self.limit - trial.from) * GAIN_PERCENT;
            let gain = trial.reference * added / (u128::from(trial.from.max(1)) * 100);
            throughput >= trial.reference + gain
        } else {
            throughput * 100 >= trial.reference * REMAIN_PERCENT
        };
        self.measurements = 0;
        if kept {
            self.patience = 1;
            self.measurements = 1;
        } else {
            self.reject(trial);
        }
    }

    fn reject(&mut self, trial: Trial) {
        self.upwards = self.fast || !self.upwards;
        self.patience = if self.fast {
            1
        } else {
            (self.patience * 2).clamp(FIRST_PATIENCE, MOST_PATIENCE)
        };
        self.fast = false;
        self.move_to(trial.from);
    }

    fn start_trial(&mut self, reference: u128, ceiling: u32) {
        let divisor = if self.fast { FAST_STEP } else { FINE_STEP };
        let step = (self.limit / divisor).max(1);
        let target = if self.upwards {
            (self.limit + step).min(ceiling)
        } else {
            self.limit.saturating_sub(step).max(1)
        };
        self.measurements = 0;
        if target == self.limit {
            self.upwards = !self.upwards;
            return;
        }
        self.trial = Some(Trial {
            from: self.limit,
            reference,
        });
        self.move_to(target);
    }

    fn move_to(&mut self, limit: u32) {
        self.limit = limit;
        self.generation = self.generation.wrapping_add(1);
        self.sample = Sample::default();
    }
}
