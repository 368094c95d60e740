//! Prometheus metrics of a host.
//!
//! Latencies are measured for each pair of workspace (customer) and class of requests. Both are
//! defined in the configuration.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use compact_str::CompactString;
use prometheus::Encoder;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::gateway::ErrorCode;

/// Maximum number of pairs of workspace and class with their own histograms, which bounds the
/// number of time series. All further pairs share one set of histograms.
const MAX_LABEL_PAIRS: usize = 2048;
/// Value of both labels for the pairs beyond [`MAX_LABEL_PAIRS`].
const OVERFLOW_LABEL: &str = "other";
/// Upper bounds of the buckets of all time histograms, in seconds. They include the latency
/// targets, 33 ms between tokens and 1.9 s to the first token, so that the share of requests
/// within the target can be read directly.
const TIME_BUCKETS: [f64; 13] = [
    0.001, 0.0025, 0.005, 0.01, 0.02, 0.033, 0.05, 0.1, 0.3, 1.0, 1.9, 5.0, 60.0,
];

/// Kind of failure of a backend server, a label value of a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The connection could not be opened.
    Unreachable,
    /// The response ended early.
    Truncated,
    /// The response belongs to another request.
    Crossed,
    /// The response violates the protocol.
    Malformed,
    /// The response did not arrive in time.
    Late,
}

impl Fault {
    const ALL: [Self; 5] = [
        Self::Unreachable,
        Self::Truncated,
        Self::Crossed,
        Self::Malformed,
        Self::Late,
    ];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Truncated => "truncated",
            Self::Crossed => "crossed",
            Self::Malformed => "malformed",
            Self::Late => "late",
        }
    }
}

/// Latency histograms for the requests of one workspace and class.
#[derive(Clone, Debug)]
pub struct RequestHistograms {
    /// Time from the arrival of a request to the decision to dispatch it, in seconds.
    pub queue_wait: Histogram,
    /// Time from the arrival of a request to the first byte of the response body, in seconds.
    pub first_byte: Histogram,
    /// Time between two server-sent events of a streamed response, in seconds.
    pub between_tokens: Histogram,
    /// Time from the arrival of a request to the end of the response, in seconds.
    pub response_time: Histogram,
}

/// The histograms of [`RequestHistograms`] before workspace and class are chosen as labels.
struct HistogramFamilies {
    queue_wait: HistogramVec,
    first_byte: HistogramVec,
    between_tokens: HistogramVec,
    response_time: HistogramVec,
}

impl HistogramFamilies {
    fn new(registry: &Registry) -> prometheus::Result<Self> {
        Ok(Self {
            queue_wait: time_family(registry, "queue_wait_seconds", "Arrival to dispatch.")?,
            first_byte: time_family(registry, "first_byte_seconds", "Arrival to first byte.")?,
            between_tokens: time_family(registry, "between_tokens_seconds", "Between events.")?,
            response_time: time_family(registry, "answer_seconds", "Arrival to the answer's end.")?,
        })
    }

    fn request_histograms(&self, workspace: &str, class: &str) -> RequestHistograms {
        let labels = [workspace, class];
        RequestHistograms {
            queue_wait: self.queue_wait.with_label_values(&labels),
            first_byte: self.first_byte.with_label_values(&labels),
            between_tokens: self.between_tokens.with_label_values(&labels),
            response_time: self.response_time.with_label_values(&labels),
        }
    }
}

/// All metrics of a host.
pub struct Metrics {
    registry: Registry,
    families: HistogramFamilies,
    /// Histograms by workspace and class.
    histograms: RwLock<HashMap<(CompactString, CompactString), Arc<RequestHistograms>>>,
    /// Refused requests, by error code.
    refusals: IntCounterVec,
    /// Failures of backend servers, by [`Fault`].
    faults: IntCounterVec,
    /// Number of retries of requests, after an attempt that the server did not run or that is safe
    /// to repeat.
    pub retries: IntCounter,
    /// Number of requests whose caller was told that the outcome is unknown.
    pub unknown_outcomes: IntCounter,
    /// Number of requests whose caller disconnected before the end of the response.
    pub cancelled: IntCounter,
    /// Number of open connections of callers.
    pub connections: IntGauge,
    /// Number of connections of callers that were closed immediately because too many were open.
    pub connections_refused: IntCounter,
    /// Counters created by [`Metrics::counter`], by name.
    counters: RwLock<HashMap<CompactString, IntCounter>>,
    /// Gauges created by [`Metrics::gauge`], by name.
    gauges: RwLock<HashMap<CompactString, IntGauge>>,
}

impl Metrics {
    /// Creates a registry with the metrics of this module. Counters with a fixed set of label
    /// values start with all of them at zero.
    ///
    /// # Errors
    ///
    /// Returns an error if the library rejects the name of a metric. The names in this module are
    /// valid.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new_custom(Some("cardamomshift".to_owned()), None)?;
        let refusals = counter_family(&registry, "refusals_total", "Refusals by code.", "code")?;
        for code in ErrorCode::ALL {
            refusals.with_label_values(&[code.as_str()]);
        }
        let faults = counter_family(&registry, "backend_faults_total", "Faults.", "fault")?;
        for fault in Fault::ALL {
            faults.with_label_values(&[fault.as_str()]);
        }
        Ok(Self {
            families: HistogramFamilies::new(&registry)?,
            histograms: RwLock::default(),
            refusals,
            faults,
            retries: counter(&registry, "retries_total", "Requests tried again.")?,
            unknown_outcomes: counter(&registry, "unknown_outcomes_total", "Unknown outcomes.")?,
            cancelled: counter(&registry, "cancelled_total", "Callers that left.")?,
            connections: gauge(&registry, "connections", "Open connections of callers.")?,
            connections_refused: counter(
                &registry,
                "connections_refused_total",
                "Connections beyond the limit.",
            )?,
            counters: RwLock::default(),
            gauges: RwLock::default(),
            registry,
        })
    }

    /// Returns the histograms of a workspace and class. Both names must come from the
    /// configuration, never from a request, since they become label values.
    pub fn request_histograms(&self, workspace: &str, class: &str) -> Arc<RequestHistograms> {
        let key = (CompactString::new(workspace), CompactString::new(class));
        if let Some(known) = read(&self.histograms).get(&key) {
            return known.clone();
        }
        let mut histograms = write(&self.histograms);
        if let Some(known) = histograms.get(&key) {
            return known.clone();
        }
        let key = if histograms.len() < MAX_LABEL_PAIRS {
            key
        } else {
            (
                CompactString::new(OVERFLOW_LABEL),
                CompactString::new(OVERFLOW_LABEL),
            )
        };
        histograms
            .entry(key)
            .or_insert_with_key(|(workspace, class)| {
                Arc::new(self.families.request_histograms(workspace, class))
            })
            .clone()
    }

    /// Counts a request that was refused with an error code.
    pub fn count_refusal(&self, code: ErrorCode) {
        self.refusals.with_label_values(&[code.as_str()]).inc();
    }

    /// Counts a failure of a backend server.
    pub fn count_fault(&self, fault: Fault) {
        self.faults.with_label_values(&[fault.as_str()]).inc();
    }

    /// Returns the counter of a name, and registers it on first use. The name must be a constant of
    /// the program, never input.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is malformed or in use for another metric.
    pub fn counter(&self, name: &'static str, help: &str) -> prometheus::Result<IntCounter> {
        if let Some(known) = read(&self.counters).get(name) {
            return Ok(known.clone());
        }
        let mut counters = write(&self.counters);
        if let Some(known) = counters.get(name) {
            return Ok(known.clone());
        }
        let created = counter(&self.registry, name, help)?;
        counters.insert(CompactString::const_new(name), created.clone());
        Ok(created)
    }

    /// Returns the gauge of a name, and registers it on first use. The name must be a constant of
    /// the program, never input.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is malformed or in use for another metric.
    pub fn gauge(&self, name: &'static str, help: &str) -> prometheus::Result<IntGauge> {
        if let Some(known) = read(&self.gauges).get(name) {
            return Ok(known.clone());
        }
        let mut gauges = write(&self.gauges);
        if let Some(known) = gauges.get(name) {
            return Ok(known.clone());
        }
        let created = gauge(&self.registry, name, help)?;
        gauges.insert(CompactString::const_new(name), created.clone());
        Ok(created)
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be encoded.
    pub fn text(&self) -> prometheus::Result<Vec<u8>> {
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(buf)
    }
}

/// Locks for reading, even if a thread has panicked while it held the lock.
fn read<T>(lock: &RwLock<T>) -> std::sync::RwLockReadGuard<'_, T> {
    lock.read().unwrap_or_else(PoisonError::into_inner)
}

/// Locks for writing, even if a thread has panicked while it held the lock.
fn write<T>(lock: &RwLock<T>) -> std::sync::RwLockWriteGuard<'_, T> {
    lock.write().unwrap_or_else(PoisonError::into_inner)
}

/// Registers a histogram of durations with the labels `workspace` and `class`.
fn time_family(registry: &Registry, name: &str, help: &str) -> prometheus::Result<HistogramVec> {
    let opts = HistogramOpts::new(name, help).buckets(TIME_BUCKETS.to_vec());
    let family = HistogramVec::new(opts, &["workspace", "class"])?;
    registry.register(Box::new(family.clone()))?;
    Ok(family)
}

/// Registers a counter with one label.
fn counter_family(
    registry: &Registry,
    name: &str,
    help: &str,
    label: &str,
) -> prometheus::Result<IntCounterVec> {
    let family = IntCounterVec::new(Opts::new(name, help), &[label])?;
    registry.register(Box::new(family.clone()))?;
    Ok(family)
}

fn counter(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntCounter> {
    let created = IntCounter::new(name, help)?;
    registry.register(Box::new(created.clone()))?;
    Ok(created)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntGauge> {
    let created = IntGauge::new(name, help)?;
    registry.register(Box::new(created.clone()))?;
    Ok(created)
}
