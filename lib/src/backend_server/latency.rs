//! Latency tracking of a backend server, by the time to the first byte of its responses.
//!
//! Rising latency shows overload before requests fail. Normal latency differs from server to server
//! and is not configured, so it is learnt as a baseline, and recent samples are compared to it.

/// Result of comparing a new sample to the baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LatencySignal {
    /// Neither the sample nor the recent average is above its threshold.
    Normal,
    /// The recent average is above [`ELEVATED_FACTOR`] times the baseline: the server is
    /// overloaded.
    Elevated,
    /// The sample is above [`SPIKE_FACTOR`] times the baseline: the server becomes cold, as after a
    /// failure or a restart, and its limit on concurrent requests is learnt anew.
    Spike,
}

/// Multiples of the baseline above which the recent average is elevated and one sample is a spike.
const ELEVATED_FACTOR: u64 = 3;
const SPIKE_FACTOR: u64 = 10;
/// Least threshold for elevated latency, because network and scheduling delays alone can cause
/// latencies up to this. The least threshold for a spike is five times as high.
const NOISE_FLOOR_US: u64 = 400_000;
/// Samples that the baseline needs before others are compared to it.
const MIN_SAMPLES: u32 = 4;

/// Baseline and recent average of the time to the first byte.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Latency {
    /// Moving average that falls fast and rises slowly: the latency that passes for normal.
    baseline_us: u64,
    /// Moving average over about the last four samples.
    recent_us: u64,
    /// Number of samples so far.
    samples: u32,
}

impl Latency {
    /// Adds a sample and compares it to the baseline learnt before. A sample of zero means that no
    /// time was measured, and changes nothing.
    pub(crate) fn record(&mut self, sample_us: u64) -> LatencySignal {
        if sample_us == 0 {
            return LatencySignal::Normal;
        }
        let signal = self.classify(sample_us);
        self.update_averages(sample_us);
        if signal == LatencySignal::Normal && self.is_elevated() {
            return LatencySignal::Elevated;
        }
        signal
    }

    fn classify(&self, sample_us: u64) -> LatencySignal {
        let threshold = self.baseline_us.saturating_mul(SPIKE_FACTOR);
        if self.has_baseline() && sample_us > threshold.max(5 * NOISE_FLOOR_US) {
            LatencySignal::Spike
        } else {
            LatencySignal::Normal
        }
    }

    /// Updates both averages. The baseline falls fast and rises slowly, so that overload must last
    /// for many samples before it passes for normal.
    fn update_averages(&mut self, sample_us: u64) {
        if self.samples == 0 {
            self.baseline_us = sample_us;
            self.recent_us = sample_us;
        } else {
            let divisor = if sample_us < self.baseline_us { 4 } else { 128 };
            self.baseline_us = ewma_step(self.baseline_us, sample_us, divisor);
            self.recent_us = ewma_step(self.recent_us, sample_us, 4);
        }
        self.samples = self.samples.saturating_add(1);
    }

    fn is_elevated(&self) -> bool {
        let threshold = self.baseline_us.saturating_mul(ELEVATED_FACTOR);
        self.has_baseline() && self.recent_us > threshold.max(NOISE_FLOOR_US)
    }

    fn has_baseline(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }
}

/// Exponentially weighted moving average: moves `value` by one `divisor`-th towards `target`.
fn ewma_step(value: u64, target: u64, divisor: u64) -> u64 {
    if target >= value {
        value + (target - value) / divisor
    } else {
        value - (value - target) / divisor
    }
}
