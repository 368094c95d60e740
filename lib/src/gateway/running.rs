//! State of a request on a connection to a backend server: measures latency and cost, and reports
//! its progress and end to the control thread, which decides which request runs on which server.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use axum::http::response::Parts;
use xxhash_rust::xxh3::xxh3_64;

use super::backend::Connection;
use super::backend::WriteGate;
use super::backend::Written;
use super::estimate::Estimates;
use super::headers;
use super::request::Call;
use super::run_flag::RunFlag;
use super::scan::StreamScan;
use super::scan::Usage;
use crate::control::EndReport;
use crate::control::Ticket;
use crate::crashing::RequestQuarantine;
use crate::crashing::SentRequest;
use crate::host::ServiceKind;
use crate::id::ServerId;
use crate::id::ServiceId;
use crate::id::WorkspaceId;
use crate::message::EndOutcome;
use crate::metrics::Metrics;
use crate::metrics::RequestHistograms;
use crate::time::Clock;
use crate::time::Timestamp;

/// Generated tokens between two progress reports of a stream. Each event counts as one token.
const PROGRESS_TOKENS: u64 = 64;

/// Clock, metrics and estimates that a running request updates.
#[derive(Clone)]
pub(crate) struct Instruments {
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
    /// Metrics of the request's workspace and class.
    pub(crate) histograms: Arc<RequestHistograms>,
    pub(crate) estimates: Arc<Estimates>,
    pub(crate) quarantine: Arc<Mutex<RequestQuarantine>>,
}

impl Instruments {
    fn quarantine(&self) -> MutexGuard<'_, RequestQuarantine> {
        let lock = self.quarantine.lock();
        lock.unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request on a connection to a backend server.
///
/// Dropping it without [`RunningRequest::end`] means that the caller disconnected: the connection
/// is closed, so that the backend server cancels the request, and the request is reported as
/// cancelled.
pub(crate) struct RunningRequest {
    pub(crate) connection: Connection,
    pub(crate) tracker: RequestTracker,
}

impl RunningRequest {
    pub(crate) fn new(
        call: &Call,
        server: ServerId,
        ticket: Ticket,
        connection: Connection,
        instruments: Instruments,
    ) -> Self {
        let gate = connection.gate.clone();
        let tracker = RequestTracker::new(call, server, ticket, gate, instruments);
        Self {
            connection,
            tracker,
        }
    }

    /// Reports a complete response and returns the connection for reuse. A 5xx status of a model
    /// engine is reported as a failure, see [`RequestTracker::on_head`]. `usage` is the token usage
    /// in the response, if it was read.
    pub(crate) fn complete(self, usage: Option<Usage>) -> Connection {
        let outcome = if self.tracker.is_engine_error {
            EndOutcome::Failed
        } else {
            EndOutcome::Complete
        };
        self.end(outcome, usage)
    }

    /// Reports the end of the request and returns the connection. Dropping that closes it.
    pub(crate) fn end(mut self, outcome: EndOutcome, usage: Option<Usage>) -> Connection {
        self.tracker.report(outcome, usage);
        self.connection
    }
}

/// Tracks cost and latency of a running request. Dropping it without a report reports the request
/// as cancelled.
pub(crate) struct RequestTracker {
    sent: SentRequest,
    /// Whether the connection broke before the server had begun to respond.
    has_broken: bool,
    /// Handle for reports to the control thread; `None` once the end has been reported.
    ticket: Option<Ticket>,
    /// Gate of the connection, which tells a dropped tracker whether the request was sent.
    gate: Arc<WriteGate>,
    run_flag: RunFlag,
    instruments: Instruments,
    workspace: WorkspaceId,
    service: ServiceId,
    kind: ServiceKind,
    /// Estimated prompt tokens, zero for plain services.
    prompt_tokens: u64,
    /// Time at which the head of the request arrived.
    arrived: Timestamp,
    /// Time at which the request was assigned to the connection.
    dispatched: Timestamp,
    /// Time from the dispatch to the first byte of the response body.
    first_byte: Option<Duration>,
    /// Time of the latest events of a stream; before them, of the first byte or the dispatch.
    last_event: Timestamp,
    /// Number of events at the latest progress report.
    reported_events: u64,
    /// Hash of the server's instance name, zero if unknown.
    instance: u64,
    /// Whether a model engine (backend server of a model service) responded with a 5xx status.
    is_engine_error: bool,
    /// Counts the events of a stream and finds its end marker and token usage.
    scan: StreamScan,
}

impl RequestTracker {
    fn new(
        call: &Call,
        server: ServerId,
        ticket: Ticket,
        gate: Arc<WriteGate>,
        instruments: Instruments,
    ) -> Self {
        let now = instruments.clock.now();
        let sent = instruments
            .quarantine()
            .send(now, call.digest, server.0, Timestamp::FAR_FUTURE);
        Self {
            sent,
            has_broken: false,
            ticket: Some(ticket),
            gate,
            run_flag: call.run_flag.clone(),
            instruments,
            workspace: call.spec.workspace,
            service: call.spec.service,
            kind: call.kind,
            prompt_tokens: call.prompt_tokens,
            arrived: call.arrived,
            dispatched: now,
            first_byte: None,
            last_event: now,
            reported_events: 0,
            instance: 0,
            is_engine_error: false,
            scan: StreamScan::default(),
        }
    }

    /// Takes the ticket for another order after the request was provably not sent.
    pub(crate) fn take_ticket(&mut self) -> Option<Ticket> {
        self.instruments.quarantine().on_ended(&self.sent);
        self.ticket.take()
    }

    /// Records that the connection broke.
    pub(crate) fn on_broken(&mut self) {
        self.has_broken = self.first_byte.is_none();
    }

    /// Records the server's instance and whether the response is an error of a model engine.
    ///
    /// A model engine's 5xx status counts as a failure of the server. A plain service's 5xx status
    /// may be caused by this caller's request, and one caller must not turn the server cold
    /// (limited to one request at a time) for all others.
    pub(crate) fn on_head(&mut self, head: &Parts) {
        self.is_engine_error = self.kind == ServiceKind::Model && head.status.is_server_error();
        if let Some(instance) = head.headers.get(headers::INSTANCE) {
            self.instance = xxh3_64(instance.as_bytes());
        }
    }

    /// Whether the end marker of the stream has arrived.
    pub(crate) fn is_stream_done(&self) -> bool {
        self.scan.done
    }

    /// Processes a part of the response body. Returns whether the response makes progress: an event of a
    /// stream is complete, or the response is no stream.
    pub(crate) fn on_bytes(&mut self, frame: &[u8], is_stream: bool) -> bool {
        if self.first_byte.is_none() {
            self.on_first_byte();
        }
        if !is_stream {
            return true;
        }
        let has_events = self.scan.feed(frame) > 0;
        if has_events {
            self.on_events();
        }
        has_events
    }

    fn on_first_byte(&mut self) {
        let now = self.instruments.clock.now();
        let wait = now.since(self.arrived);
        self.first_byte = Some(now.since(self.dispatched));
        self.last_event = now;
        self.instruments
            .histograms
            .first_byte
            .observe(wait.as_secs_f64());
    }

    fn on_events(&mut self) {
        let now = self.instruments.clock.now();
        let gap = now.since(self.last_event);
        if self.scan.events > 1 {
            self.instruments
                .histograms
                .between_tokens
                .observe(gap.as_secs_f64());
        }
        self.last_event = now;
        if self.scan.events - self.reported_events < PROGRESS_TOKENS {
            return;
        }
        self.reported_events = self.scan.events;
        if let Some(ticket) = &self.ticket {
            ticket.progress(self.prompt_tokens + self.scan.events);
        }
    }

    /// Reports the end to the control thread and the metrics, once.
    fn report(&mut self, outcome: EndOutcome, usage: Option<Usage>) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        let now = self.instruments.clock.now();
        {
            let mut quarantine = self.instruments.quarantine();
            if outcome == EndOutcome::Complete || self.is_engine_error {
                quarantine.on_answered(now, self.sent.digest);
            } else if self.has_broken {
                quarantine.on_crash(now, &self.sent);
            }
            quarantine.on_ended(&self.sent);
        }
        // The server refused a rejected request, so the workspace is not charged for it.
        let cost = match outcome {
            EndOutcome::Rejected => 0,
            _ => self.cost(now.since(self.dispatched), usage),
        };
        if outcome == EndOutcome::Complete {
            let response_time = now.since(self.arrived);
            self.instruments
                .histograms
                .response_time
                .observe(response_time.as_secs_f64());
            let cost_without_prompt = cost.saturating_sub(self.prompt_tokens);
            self.instruments.estimates.add_sample(
                self.workspace,
                self.service,
                cost_without_prompt,
            );
        }
        // In a model response that is not streamed, the first byte arrives with the last token, so
        // its latency says nothing about the load of the server.
        let is_unstreamed = self.kind == ServiceKind::Model && self.scan.events == 0;
        ticket.finish(EndReport {
            outcome,
            cost,
            first_byte: self.first_byte.filter(|_| !is_unstreamed),
            instance: self.instance,
        });
    }

    /// Measured cost: elapsed microseconds for a plain service; for a model the reported token
    /// usage, or else the estimated prompt tokens plus the number of events.
    fn cost(&self, elapsed: Duration, usage: Option<Usage>) -> u64 {
        match self.kind {
            ServiceKind::Plain => u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX),
            ServiceKind::Model => usage
                .or_else(|| self.scan.usage())
                .map_or(self.prompt_tokens + self.scan.events, Usage::total),
        }
    }
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        if self.ticket.is_none() {
            return;
        }
        self.instruments.metrics.cancelled.inc();
        // If nothing was sent, dropping the ticket reports the dispatch order as unused.
        if self.gate.close() == Written::Maybe {
            self.report(EndOutcome::Cancelled, None);
        } else {
            self.run_flag.clear();
        }
    }
}
