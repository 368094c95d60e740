//! Dispatch of one request: submits it to the scheduler, sends it to the backend server that the
//! scheduler chose, and retries where that is safe.
//!
//! The control thread holds a *ticket* for each submitted request. The scheduler's *verdict* on it
//! is either a refusal or a dispatch *order*, which names a backend server and a deadline for the
//! first byte.
//!
//! A request counts as not sent until the write gate of its connection admits the first byte. After
//! that it may have run unless the server states otherwise. It is retried only if it was provably
//! not sent, if the server states that it did not run it, or if its method is safe (RFC 9110); and
//! never after a part of a response has been forwarded.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::http::HeaderValue;
use axum::http::Request;
use axum::http::Response;
use axum::http::header;
use bytes::Bytes;
use http_body_util::Full;

use super::backend::BackendPool;
use super::backend::Connection;
use super::backend::Written;
use super::error_code::ErrorCode;
use super::error_response::ErrorResponse;
use super::error_response::Outcome;
use super::estimate::Estimates;
use super::headers;
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
use crate::host::ServiceKind;
use crate::message::EndOutcome;
use crate::message::RefusalReason;
use crate::metrics::Fault;
use crate::metrics::Metrics;
use crate::metrics::RequestHistograms;
use crate::settings::LimitSettings;
use crate::time::Clock;

/// Retries of one request after the first submission to the scheduler.
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
    /// Learned costs of requests.
    pub(crate) estimates: Arc<Estimates>,
    /// Limit on waiting requests per workspace.
    pub(crate) waiting: WaitingLimit,
}

impl Shared {
    /// Longest pause between two parts of a response.
    pub(crate) fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.limits.idle_timeout_ms)
    }

    /// Longest time from sending a request to the head of its response.
    fn answer_timeout(&self) -> Duration {
        Duration::from_millis(self.limits.answer_timeout_ms)
    }
}

/// End of an attempt that gave no response that can be forwarded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Failure {
    pub(crate) error: ErrorResponse,
    /// Whether a retry can neither run the request twice nor mix two responses.
    pub(crate) can_retry: bool,
}

impl Failure {
    /// A failure that no retry can change.
    pub(crate) fn permanent(error: ErrorResponse) -> Self {
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
    NotSent { ticket: Ticket, unreachable: bool },
    /// The request was sent, with this result.
    Sent(Result<Response<Body>, Failure>),
}

/// Serves one request until its response is complete, or until a streamed response has started.
pub(crate) async fn dispatch(
    shared: &Arc<Shared>,
    call: &Call,
) -> Result<Response<Body>, ErrorResponse> {
    let pair = shared
        .metrics
        .request_histograms(&call.caller.workspace_name, &call.caller.class);
    let dispatcher = Dispatcher {
        shared,
        call,
        pair: &pair,
    };
    let mut retries = 0;
    let mut may_have_run = false;
    loop {
        let failure = match dispatcher.attempt().await {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        may_have_run |= failure.error.outcome != Outcome::NotRun;
        let expired = call.spec.deadline.has_passed(shared.clock.now());
        if !failure.can_retry || expired || retries == RETRIES_MAX {
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
    /// Metrics of the request's workspace and class.
    pair: &'a Arc<RequestHistograms>,
}

impl Dispatcher<'_> {
    /// Submits the request and executes the scheduler's orders until the request has been sent.
    async fn attempt(&self) -> Result<Response<Body>, Failure> {
        let workspace = self.call.spec.workspace;
        let full = || Failure::permanent(ErrorResponse::not_run(ErrorCode::QueueFull));
        let mut slot = Some(self.shared.waiting.enter(workspace).ok_or_else(full)?);
        let mut ticket = self.shared.control.submit(self.call.spec);
        loop {
            let order = self
                .next_order(&mut ticket)
                .await
                .map_err(Failure::permanent)?;
            match self.execute(ticket, &order, &mut slot).await {
                OrderResult::Sent(result) => return result,
                OrderResult::NotSent {
                    ticket: unused,
                    unreachable,
                } => {
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
                self.pair.queue_wait.observe(wait.as_secs_f64());
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

    /// Executes an order over an idle connection if there is one, otherwise over a new one.
    async fn execute(
        &self,
        mut ticket: Ticket,
        order: &DispatchOrder,
        slot: &mut Option<WaitingSlot>,
    ) -> OrderResult {
        if let Some(connection) = self.shared.pool.take_idle(order.address) {
            match self.exchange(ticket, connection, order, slot).await {
                // The server had closed the idle connection: try a new one.
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
            pair: self.pair.clone(),
            estimates: self.shared.estimates.clone(),
        };
        let mut running = RunningRequest::new(self.call, ticket, connection, instruments);
        if running.connection.sender.ready().await.is_err() {
            return self.on_no_response(running, Fault::Unreachable);
        }
        slot.take();
        self.call.run_flag.set();
        running.connection.gate.arm(order.deadline);
        let req = self.backend_request(order);
        let response = running.connection.sender.send_request(req);
        match tokio::time::timeout(self.shared.answer_timeout(), response).await {
            Ok(Ok(response)) => {
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
        drop(running.end(EndOutcome::Failed, None));
        let code = match fault {
            Fault::Late => ErrorCode::ServerTimeout,
            _ => ErrorCode::ServerFailed,
        };
        OrderResult::Sent(Err(Failure::unknown(self.call, code)))
    }

    /// Builds the request for the backend server, with the gateway's request identifier.
    fn backend_request(&self, order: &DispatchOrder) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.call.body.clone()));
        *req.method_mut() = self.call.method.clone();
        *req.uri_mut() = self.call.target.clone().into();
        let mut fields = headers::for_backend(&self.call.headers);
        if self.call.kind == ServiceKind::Model {
            // The end marker of a compressed event stream could not be detected.
            fields.remove(header::ACCEPT_ENCODING);
        }
        let values = [
            (headers::REQUEST_ID, HeaderValue::from_str(&self.call.id)),
            (
                header::HOST,
                HeaderValue::from_str(&order.address.to_string()),
            ),
        ];
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
        Fault::Truncated
    }
}
