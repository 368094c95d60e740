//! Learnt time to the first byte.

/// What a new sample says about the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LatencySignal {
    /// As learnt.
    Normal,
    /// The average lies well above the baseline: the server bears no more than this.
    Elevated,
    /// The sample is far above the baseline: the server is cold or broken.
    Spike,
}

const ELEVATED_FACTOR: u64 = 3;
const SPIKE_FACTOR: u64 = 10;
/// Times below this one are noise of network and scheduling, microseconds.
const NOISE_FLOOR_US: u64 = 400_000;
/// Samples before the baseline is trusted.
const MIN_SAMPLES: u32 = 4;

/// Baseline and recent average of the time to the first byte, microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Latency {
    baseline_us: u64,
    recent_us: u64,
    samples: u32,
}

impl Latency {
    /// Takes in a sample. Zero means that none was measured.
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
        let limit = self.baseline_us.saturating_mul(SPIKE_FACTOR);
        if self.has_baseline() && sample_us > limit.max(5 * NOISE_FLOOR_US) {
            LatencySignal::Spike
        } else {
            LatencySignal::Normal
        }
    }

    /// The baseline falls fast and rises slowly, so that congestion does not become the norm.
    fn update_averages(&mut self, sample_us: u64) {
        if self.samples == 0 {
            self.baseline_us = sample_us;
            self.recent_us = sample_us;
        } else {
            let rate = if sample_us < self.baseline_us { 4 } else { 128 };
            self.baseline_us = ewma_step(self.baseline_us, sample_us, rate);
            self.recent_us = ewma_step(self.recent_us, sample_us, 4);
        }
        self.samples = self.samples.saturating_add(1);
    }

    fn is_elevated(&self) -> bool {
        let limit = self.baseline_us.saturating_mul(ELEVATED_FACTOR);
        self.has_baseline() && self.recent_us > limit.max(NOISE_FLOOR_US)
    }

    fn has_baseline(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }
}

fn ewma_step(value: u64, target: u64, rate: u64) -> u64 {
    if target >= value {
        value + (target - value) / rate
    } else {
        value - (value - target) / rate
    }
}
