//! Metrics of an entry host, in the text format of Prometheus.
//!
//! An entry host is a reverse proxy that forwards callers' requests to backend servers. A route is
//! a configured class of requests, and a service a group of interchangeable servers. The platform
//! is the external system that stores the configuration, the announcements of servers and the list
//! of hosts as named objects.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use prometheus::Encoder;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::core::Collector;
use prometheus::proto::LabelPair;

/// Upper bounds of the buckets for response times, seconds. They include the objectives of the
/// current routes, 0.15 to 0.8 s, and their deadlines, 1.5 to 15 s.
const TIME_BUCKETS_SECONDS: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.6, 0.8, 1.5, 3.0, 6.0, 15.0, 60.0,
];

/// Counters, gauges and histograms of an entry host, all with the prefix `cardamomshift_`.
#[derive(Debug)]
pub struct EntryStats {
    registry: Registry,
    /// Final responses to callers, by route and outcome: a status, or the reason of a refusal.
    pub(crate) responses: IntCounterVec,
    /// Time from the arrival of a request to the first byte of its response, for responses that are
    /// streams, by route, seconds.
    pub(crate) first_byte: HistogramVec,
    /// Time from the arrival of a request to the end of the response, by route, seconds.
    pub(crate) response_time: HistogramVec,
    /// Ended attempts to send a request to a server, by service and outcome: `answered` if a
    /// complete response went to the caller and was not a server error (status 5xx), or `failed`.
    pub(crate) attempts: IntCounterVec,
    /// Requests refused because this host had too little processor time.
    pub(crate) refused_overloaded: IntCounter,
    /// Requests refused because this host had no memory for their bodies.
    pub(crate) refused_memory: IntCounter,
    /// Bytes of bodies that this host holds, set when the metrics are read.
    pub(crate) held_bytes: IntGauge,
    /// Connections opened to servers since the start.
    pub(crate) connections_opened: IntCounter,
    /// Connections to servers that are open now.
    pub(crate) server_connections: IntGauge,
    /// Metrics of callers' connections.
    pub(crate) callers: CallerStats,
    /// Pauses that servers asked this host for.
    pub(crate) server_pauses: IntCounter,
    /// Times that a part of prompts was found to make servers crash and is held back.
    pub(crate) prompt_parts_held_back: IntCounter,
    /// Requests handed over to other hosts because this host was behind its work.
    pub(crate) handovers: IntCounter,
    /// Times that a request was found to make servers crash and is held back.
    pub(crate) requests_held_back: IntCounter,
    /// Requests that take a stream up, by outcome: `admitted` if they have the claim to continue it, `as_new`
    /// if they are treated as new requests, `unknown` if no host knows where the stream began.
    pub(crate) streams_taken_up: IntCounterVec,
    /// Headers of servers' responses and of platform responses whose values could not be read, by
    /// name.
    pub(crate) headers_unreadable: IntCounterVec,
    /// Calls that read objects of the platform, by kind, `list` or `watch`, and whether they were
    /// answered.
    pub(crate) platform_calls: IntCounterVec,
    /// Platform objects that were read but could not be parsed, by kind.
    pub(crate) unreadable: IntCounterVec,
    /// Times that reading from the platform started to fail, by kind of object.
    pub(crate) platform_lost: IntCounterVec,
    /// Metrics of roll-outs.
    pub(crate) rollout: RolloutStats,
    /// Version of the active configuration.
    pub(crate) config_version: IntGauge,
    /// Registered hosts known to this host, itself included.
    pub(crate) hosts: IntGauge,
    /// Backend servers known to this host.
    pub(crate) servers: IntGauge,
    /// Log lines dropped since the start, set from `log_dropped_count` when the metrics are read.
    log_dropped: IntGauge,
    log_dropped_count: Arc<AtomicU64>,
}

const REFUSED_MEMORY_HELP: &str = "Requests refused for lack of memory for their bodies";
const CONNECTIONS_OPENED_HELP: &str = "Connections opened to servers";

impl EntryStats {
    /// Registers all metrics. `log_dropped_count` is the logger's count of dropped lines.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have the same name.
    pub fn new(log_dropped_count: Arc<AtomicU64>) -> Result<Self, prometheus::Error> {
        let registry = Registry::new_custom(Some("cardamomshift".into()), None)?;
        let counters = |name: &str, help: &str, labels: &[&str]| {
            register(
                &registry,
                IntCounterVec::new(Opts::new(name, help), labels)?,
            )
        };
        let times = |name: &str, help: &str| {
            let opts = HistogramOpts::new(name, help).buckets(TIME_BUCKETS_SECONDS.to_vec());
            register(&registry, HistogramVec::new(opts, &["route"])?)
        };
        let gauge = |name: &str, help: &str| register(&registry, IntGauge::new(name, help)?);
        let counter = |name: &str, help: &str| register(&registry, IntCounter::new(name, help)?);
        // The metrics keep their names and help texts, in which a response is an "answer", an
        // overloaded host is "behind its work" and an object that cannot be parsed "unreadable".
        Ok(Self {
            responses: counters("answers_total", "Final answers", &["route", "outcome"])?,
            first_byte: times("first_byte_seconds", "Time to the first byte of an answer")?,
            response_time: times("whole_answer_seconds", "Time to the end of an answer")?,
            attempts: counters(
                "attempts_total",
                "Requests sent to servers",
                &["service", "outcome"],
            )?,
            refused_overloaded: counter(
                "refused_behind_total",
                "Requests refused since the host was behind its work",
            )?,
            refused_memory: counter("refused_memory_total", REFUSED_MEMORY_HELP)?,
            held_bytes: gauge("held_bytes", "Bytes of request and response bodies held")?,
            connections_opened: counter("server_connections_total", CONNECTIONS_OPENED_HELP)?,
            server_connections: gauge("server_connections", "Open connections to servers")?,
            callers: CallerStats::new(&registry)?,
            server_pauses: counter(
                "server_pauses_total",
                "Times that a server asked to be sent nothing for a time",
            )?,
            handovers: counter("handovers_total", "Requests handed over to other hosts")?,
            prompt_parts_held_back: counter(
                "prompt_parts_held_back_total",
                "Times that a part of prompts was held back because it makes servers crash",
            )?,
            requests_held_back: counter(
                "requests_held_back_total",
                "Times that a request was held back because it makes servers crash",
            )?,
            streams_taken_up: counters(
                "streams_taken_up_total",
                "Streams that callers took up",
                &["outcome"],
            )?,
            headers_unreadable: counters(
                "headers_unreadable_total",
                "Headers of responses that could not be read",
                &["name"],
            )?,
            platform_calls: counters(
                "platform_calls_total",
                "Calls that read objects of the platform",
                &["kind", "call", "outcome"],
            )?,
            unreadable: counters(
                "objects_unreadable_total",
                "Objects of the platform that could not be read",
                &["kind"],
            )?,
            platform_lost: counters(
                "platform_lost_total",
                "Times that the platform stopped answering",
                &["kind"],
            )?,
            rollout: RolloutStats::new(&registry)?,
            config_version: gauge("config_version", "Version of the configuration")?,
            hosts: gauge("hosts", "Registered hosts known")?,
            servers: gauge("servers", "Backend servers known")?,
            log_dropped: gauge("log_lines_dropped", "Log lines dropped")?,
            log_dropped_count,
            registry,
        })
    }

    /// Counts a final response to a caller and the time since its request arrived.
    pub(crate) fn on_response(&self, route: &str, outcome: &str, elapsed: Duration) {
        self.responses.with_label_values(&[route, outcome]).inc();
        let response_time = self.response_time.with_label_values(&[route]);
        response_time.observe(elapsed.as_secs_f64());
    }

    /// Removes the metrics of routes that are not known any more: names that come and go would fill
    /// the memory.
    pub(crate) fn retain_routes(&self, is_known: impl Fn(&str) -> bool) {
        // Requests that were not admitted have no route.
        let is_gone = |route: &str| !route.is_empty() && !is_known(route);
        for labels in label_values(&self.responses, &["route", "outcome"]) {
            if is_gone(&labels[0]) {
                // Fails only if it was removed meanwhile.
                let _ = self.responses.remove_label_values(&labels);
            }
        }
        for times in [&self.first_byte, &self.response_time] {
            for labels in label_values(times, &["route"]) {
                if is_gone(&labels[0]) {
                    let _ = times.remove_label_values(&labels);
                }
            }
        }
    }

    /// All metrics in the text format of Prometheus.
    ///
    /// # Errors
    ///
    /// Fails if the library cannot encode a metric.
    pub fn text(&self) -> Result<String, prometheus::Error> {
        let dropped = self.log_dropped_count.load(Ordering::Relaxed);
        self.log_dropped
            .set(i64::try_from(dropped).unwrap_or(i64::MAX));
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        String::from_utf8(text).map_err(|err| prometheus::Error::Msg(err.to_string()))
    }
}

/// Metrics of callers' connections.
#[derive(Debug)]
pub(crate) struct CallerStats {
    /// Connections that are open now.
    pub(crate) connections: IntGauge,
    /// Connections accepted since the start.
    pub(crate) accepted: IntCounter,
    /// Connections refused, at the limit of connections or because the host is overloaded.
    pub(crate) refused: IntCounter,
    /// Requests whose heads were read.
    pub(crate) requests: IntCounter,
}

impl CallerStats {
    fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counter = |name: &str, help: &str| register(registry, IntCounter::new(name, help)?);
        let open = IntGauge::new("caller_connections", "Open connections of callers")?;
        Ok(Self {
            connections: register(registry, open)?,
            accepted: counter(
                "caller_connections_accepted_total",
                "Connections of callers accepted",
            )?,
            refused: counter(
                "caller_connections_refused_total",
                "Connections refused beyond the limit",
            )?,
            requests: counter("requests_read_total", "Requests whose heads were read")?,
        })
    }
}

/// Metrics of the orders to roll out software versions.
#[derive(Debug)]
pub(crate) struct RolloutStats {
    /// Requests sent to servers of services with an order, by service, version and outcome.
    pub(crate) requests: IntCounterVec,
    /// State of the order of a service: 1 if it is in progress, 2 completed, 3 reverted.
    pub(crate) state: IntGaugeVec,
    /// Whether this host conducts the order of a service.
    pub(crate) conducting: IntGaugeVec,
}

impl RolloutStats {
    fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let gauges = |name: &str, help: &str| {
            let gauges = IntGaugeVec::new(Opts::new(name, help), &["service"])?;
            register(registry, gauges)
        };
        let opts = Opts::new(
            "rollout_requests_total",
            "Requests sent to servers while a version is rolled out",
        );
        let requests = IntCounterVec::new(opts, &["service", "version", "outcome"])?;
        Ok(Self {
            requests: register(registry, requests)?,
            state: gauges(
                "rollout_state",
                "State of a roll-out: 1 in progress, 2 completed, 3 reverted",
            )?,
            conducting: gauges(
                "rollout_conducting",
                "Whether this host conducts a roll-out",
            )?,
        })
    }
}

/// Values of the named labels, of each metric of a collector.
fn label_values(metrics: &impl Collector, names: &[&str]) -> Vec<Vec<String>> {
    let families = metrics.collect();
    let metrics = families.iter().flat_map(|family| family.get_metric());
    let value = |labels: &[LabelPair], name: &str| {
        let label = labels.iter().find(|label| label.name() == name);
        label.map_or_else(String::new, |label| label.value().to_owned())
    };
    metrics
        .map(|metric| {
            let labels = metric.get_label();
            names.iter().map(|name| value(labels, name)).collect()
        })
        .collect()
}

/// Adds a metric to a registry and returns it.
fn register<T: Collector + Clone + 'static>(
    registry: &Registry,
    metric: T,
) -> Result<T, prometheus::Error> {
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}
