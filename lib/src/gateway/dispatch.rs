//! Dispatch of one request: submits it to the scheduler, sends it to the backend server that the
//! scheduler chose, and retries where that is safe.
//!
//! The dispatcher submits a request to the control thread, which passes it to the scheduler, and
//! gets a [`Ticket`] on which it waits for a [`Verdict`]. A verdict is either a refusal or a
//! [`DispatchOrder`], which names a backend server and the time by which the first byte of the
//! request must be written to it. Some time after that, the scheduler may count the request as
//! ended and give its capacity to another one. An order that was not used is returned, and the
//! ticket then waits for another verdict.
//!
//! The *write gate* of a connection sits between the HTTP client and the socket. It admits the
//! first byte of a request only before the order's deadline, and when it is closed it tells whether
//! any byte may have been written. A request counts as not sent until the gate admits the first
//! byte. After that it may have run unless the server states otherwise. It is retried only if it
//! was provably not sent, if the server states that it did not run it, or if its method is safe
//! (RFC 9110); and never after a part of a response has been forwarded.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use axum::body::Body;
use axum::http::HeaderValue;
use axum::http::Request;
use axum::http::Response;
use axum::http::header;
use bytes::Bytes;
use http_body_util::Full;
use log::info;
use log::warn;

use super::backend::BackendPool;
use super::backend::Connection;
use super::backend::READY_TIMEOUT;
use super::backend::Written;
use super::error_code::ErrorCode;
use super::error_response::ErrorResponse;
use super::error_response::Outcome;
use super::estimate::Estimates;
use super::headers;
use super::memory_budget::BodyMemory;
use super::request::Call;
use super::response;
use super::running::Instruments;
use super::running::RunningRequest;
use super::waiting::WaitingLimit;
use super::waiting::WaitingSlot;
use crate::control::ControlHandle;
use crate::control::DispatchOrder;
use crate::control::Ticket;
use crate::control::Verdict;
use crate::crashing::RequestClearance;
use crate::crashing::RequestDigest;
use crate::crashing::RequestQuarantine;
use crate::crashing::RequestQuarantineChange;
use crate::host::ServiceKind;
use crate::message::EndOutcome;
use crate::message::RefusalReason;
use crate::metrics::Fault;
use crate::metrics::Metrics;
use crate::metrics::RequestHistograms;
use crate::settings::LimitSettings;
use crate::time::Clock;

/// Retries of one request after the first submission to the scheduler. Returned orders are not
/// counted.
const RETRIES_MAX: u32 = 2;
/// Timeout for connecting to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// State shared by all requests of a gateway.
pub(crate) struct Shared {
    pub(crate) control: ControlHandle,
    pub(crate) limits: LimitSettings,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) pool: BackendPool,
    /// Average costs of earlier requests.
    pub(crate) estimates: Arc<Estimates>,
    /// Limit on the bodies that are held.
    pub(crate) body_memory: BodyMemory,
    /// Limit on waiting requests per workspace.
    pub(crate) waiting: WaitingLimit,
    /// Requests that make backend servers crash, as far as this host has sent them.
    pub(crate) quarantine: Arc<Mutex<RequestQuarantine>>,
}

impl Shared {
    /// Longest time between two parts of a response, after which it counts as stalled.
    pub(crate) fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.limits.idle_timeout_ms)
    }

    /// How long a request is held back because it makes backend servers crash, `None` if it is not.
    fn held_back(&self, digest: RequestDigest) -> Option<Duration> {
        let now = self.clock.now();
        let mut quarantine = self
            .quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        quarantine.sweep_when_due(now);
        // Gateways do not tell each other.
        quarantine.take_news(now);
        quarantine.take_changes().iter().for_each(log_change);
        match quarantine.clearance(now, digest) {
            RequestClearance::Free | RequestClearance::Trial => None,
            RequestClearance::HeldBack { retry_after } => Some(retry_after),
        }
    }

    /// Longest time from sending a request to the head of its response.
    pub(crate) fn answer_timeout(&self) -> Duration {
        Duration::from_millis(self.limits.answer_timeout_ms)
    }
}

fn log_change(change: &RequestQuarantineChange) {
    match change {
        RequestQuarantineChange::HeldBack {
            digest, crashes, ..
        } => {
            warn!(target: "request", digest = digest.log_value().as_str(), crashes = crashes;
                "request crashes servers: held back");
        }
        RequestQuarantineChange::Cleared { digest, crashes } => {
            info!(target: "request", digest = digest.log_value().as_str(), crashes = crashes;
                "request no longer suspected of crashing servers");
        }
    }
}

/// End of an attempt that gave no response that can be forwarded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Failure {
    pub(crate) error: ErrorResponse,
    /// Whether the gateway may submit the request again: it has not run or its method is safe, and
    /// no part of a response has been forwarded.
    pub(crate) can_retry: bool,
}

impl Failure {
    /// A refusal that the gateway does not retry. The caller may retry, and the error response may
    /// say after which time.
    pub(crate) fn without_retry(error: ErrorResponse) -> Self {
        Self {
            error,
            can_retry: false,
        }
    }

    /// The request may have run, so it may be retried only if its method is safe.
    pub(crate) fn unknown(call: &Call, code: ErrorCode) -> Self {
        Self {
            error: ErrorResponse::unknown(code),
            can_retry: call.is_safe(),
        }
    }
}

/// Result of executing one [`DispatchOrder`].
enum OrderResult {
    /// No byte of the request was sent, so the ticket can be used for another order.
    NotSent {
        ticket: Ticket,
        /// Whether the connection could not be opened or failed before the first byte, which the
        /// scheduler counts as a failure of the server. False if the write gate reports that its
        /// deadline has passed.
        unreachable: bool,
    },
    /// The request was sent, with this result.
    Sent(Result<Response<Body>, Failure>),
}

/// Serves one request until its response is complete, or until a streamed response has started.
pub(crate) async fn dispatch(
    shared: &Arc<Shared>,
    call: &Call,
) -> Result<Response<Body>, ErrorResponse> {
    let histograms = shared
        .metrics
        .request_histograms(&call.caller.workspace_name, &call.caller.class);
    let dispatcher = Dispatcher {
        shared,
        call,
        histograms: &histograms,
    };
    let mut retries = 0;
    let mut may_have_run = false;
    loop {
        if let Some(wait) = shared.held_back(call.digest) {
            let error = ErrorResponse::not_run(ErrorCode::RequestCrashesServers);
            return Err(error.with_retry_after(wait).unknown_if(may_have_run));
        }
        let failure = match dispatcher.attempt().await {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        may_have_run |= failure.error.outcome != Outcome::NotRun;
        let deadline_passed = call.spec.deadline.has_passed(shared.clock.now());
        if !failure.can_retry || deadline_passed || retries == RETRIES_MAX {
            // An earlier attempt may have run the request even if the last one did not.
            return Err(failure.error.unknown_if(may_have_run));
        }
        retries += 1;
        shared.metrics.retries.inc();
    }
}

/// Dispatch of one request.
struct Dispatcher<'a> {
    shared: &'a Arc<Shared>,
    call: &'a Call,
    /// Metrics of the request's workspace and class (kind of work, named by the caller).
    histograms: &'a Arc<RequestHistograms>,
}

impl Dispatcher<'_> {
    /// Submits the request and executes the scheduler's orders until the request has been sent.
    async fn attempt(&self) -> Result<Response<Body>, Failure> {
        let workspace = self.call.spec.workspace;
        let queue_full = || Failure::without_retry(ErrorResponse::not_run(ErrorCode::QueueFull));
        let mut slot = Some(
            self.shared
                .waiting
                .enter(workspace)
                .ok_or_else(queue_full)?,
        );
        let mut ticket = self.shared.control.submit(self.call.spec);
        loop {
            let order = self
                .next_order(&mut ticket)
                .await
                .map_err(Failure::without_retry)?;
            match self.execute(ticket, &order, &mut slot).await {
                OrderResult::Sent(result) => return result,
                OrderResult::NotSent {
                    ticket: unused,
                    unreachable,
                } => {
                    // Counted by the metric, but not limited by `RETRIES_MAX`: nothing was sent,
                    // and the request's deadline ends the wait for the next order.
                    unused.return_order(unreachable);
                    self.shared.metrics.retries.inc();
                    ticket = unused;
                }
            }
        }
    }

    /// Waits for an order, at most until the deadline for the start of the request.
    async fn next_order(&self, ticket: &mut Ticket) -> Result<DispatchOrder, ErrorResponse> {
        let deadline = self.shared.clock.instant(self.call.spec.deadline);
        let verdict = tokio::time::timeout_at(deadline.into(), ticket.verdict()).await;
        match verdict {
            Ok(Some(Verdict::Dispatch(order))) => {
                let wait = self.shared.clock.now().since(self.call.arrived);
                self.histograms.queue_wait.observe(wait.as_secs_f64());
                Ok(order)
            }
            Ok(Some(Verdict::Refuse {
                reason,
                retry_after,
            })) => Err(ErrorResponse::not_run(reason.into()).with_retry_after(retry_after)),
            Ok(None) => Err(ErrorResponse::not_run(ErrorCode::Stopping)),
            Err(_) => Err(ErrorResponse::not_run(RefusalReason::DeadlinePassed.into())),
        }
    }

    /// Executes an order over an idle connection if there is one, otherwise over a new one. `slot`
    /// counts the request as waiting until a connection is ready.
    async fn execute(
        &self,
        mut ticket: Ticket,
        order: &DispatchOrder,
        slot: &mut Option<WaitingSlot>,
    ) -> OrderResult {
        if let Some(connection) = self.shared.pool.take_idle(order.address) {
            match self.exchange(ticket, connection, order, slot).await {
                // The idle connection failed before the first byte, for example because the server
                // had closed it: try a new one.
                OrderResult::NotSent {
                    ticket: unused,
                    unreachable: true,
                } => ticket = unused,
                result => return result,
            }
        }
        let connect = self.shared.pool.connect(order.address);
        match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
            Ok(Ok(connection)) => self.exchange(ticket, connection, order, slot).await,
            Ok(Err(_)) | Err(_) => {
                self.shared.metrics.count_fault(Fault::Unreachable);
                OrderResult::NotSent {
                    ticket,
                    unreachable: true,
                }
            }
        }
    }

    /// Sends the request over a connection and waits for the response.
    async fn exchange(
        &self,
        ticket: Ticket,
        connection: Connection,
        order: &DispatchOrder,
        slot: &mut Option<WaitingSlot>,
    ) -> OrderResult {
        let instruments = Instruments {
            clock: self.shared.clock,
            metrics: self.shared.metrics.clone(),
            histograms: self.histograms.clone(),
            estimates: self.shared.estimates.clone(),
            quarantine: self.shared.quarantine.clone(),
        };
        let mut running =
            RunningRequest::new(self.call, order.server, ticket, connection, instruments);
        let ready = tokio::time::timeout(READY_TIMEOUT, running.connection.sender.ready());
        if !matches!(ready.await, Ok(Ok(()))) {
            // Nothing was written, so the result is `NotSent`, for which `on_no_response` counts no
            // fault.
            return self.on_no_response(running, Fault::Unreachable);
        }
        // The request no longer waits, which frees its waiting slot. If the order has to be
        // returned, the request waits again without a slot.
        slot.take();
        // The caller may disconnect at any time from here on. The flag then tells `super::keyed`,
        // which records the outcome of requests with an idempotency key, whether the request may
        // have run.
        self.call.run_flag.set();
        running.connection.gate.arm(order.deadline);
        let req = self.backend_request(order);
        let response = running.connection.sender.send_request(req);
        match tokio::time::timeout(self.shared.answer_timeout(), response).await {
            Ok(Ok(response)) => {
                running.connection.gate.on_response_head();
                let received = response::receive(self.shared, self.call, running, response);
                OrderResult::Sent(received.await)
            }
            Ok(Err(e)) => self.on_no_response(running, fault_of(&e)),
            Err(_) => self.on_no_response(running, Fault::Late),
        }
    }

    /// Classifies a request without a response by the bytes written: not sent, or possibly run.
    fn on_no_response(&self, mut running: RunningRequest, fault: Fault) -> OrderResult {
        let written = running.connection.gate.close();
        // The tracker holds the ticket until it has reported the end of the request, which it has
        // not done yet.
        if let Written::Nothing { expired } = written
            && let Some(ticket) = running.tracker.take_ticket()
        {
            self.call.run_flag.clear();
            return OrderResult::NotSent {
                ticket,
                unreachable: !expired,
            };
        }
        self.shared.metrics.count_fault(fault);
        if fault == Fault::Truncated {
            running.tracker.on_broken();
        }
        // No token usage is known. Dropping the connection closes it.
        drop(running.end(EndOutcome::Failed, None));
        let code = match fault {
            Fault::Late => ErrorCode::ServerTimeout,
            _ => ErrorCode::ServerFailed,
        };
        OrderResult::Sent(Err(Failure::unknown(self.call, code)))
    }

    /// Builds the request for the backend server, with the gateway's request identifier.
    fn backend_request(&self, order: &DispatchOrder) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.call.body.bytes.clone()));
        *req.method_mut() = self.call.method.clone();
        *req.uri_mut() = self.call.target.clone().into();
        let mut fields = headers::for_backend(&self.call.headers);
        if self.call.kind == ServiceKind::Model {
            // The gateway looks for the end marker `data: [DONE]` in the event stream to tell a
            // complete response from a truncated one, which it cannot do if the stream is
            // compressed.
            fields.remove(header::ACCEPT_ENCODING);
        }
        let values = [
            (headers::REQUEST_ID, HeaderValue::from_str(&self.call.id)),
            (
                header::HOST,
                HeaderValue::from_str(&order.address.to_string()),
            ),
        ];
        // Both values are ASCII text and therefore valid.
        for (name, value) in values {
            if let Ok(value) = value {
                fields.insert(name, value);
            }
        }
        *req.headers_mut() = fields;
        req
    }
}

/// Classifies an error of the HTTP client for the metrics.
fn fault_of(e: &hyper::Error) -> Fault {
    if e.is_parse() {
        Fault::Malformed
    } else {
        // The connection closed or failed before the head of the response was complete.
        Fault::Truncated
    }
}
