//! From a caller's request to a backend server's answer.
//!
//! A request is *not sent* until the gate of its connection admits the first byte. From then on
//! it is *sending*, and it ends as *answered* or *unknown*. It is tried again only if it was
//! provably not sent, if the server says that it did not run it, or if it is safe; and never
//! after a part of an answer has been passed on.

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
use crate::metrics::PairMetrics;
use crate::settings::LimitSettings;
use crate::time::Clock;

/// Submissions of one request after the first one.
const RETRIES_MAX: u32 = 2;
/// Time within which a backend server must accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What all requests of a gateway share.
pub(crate) struct Shared {
    pub(crate) control: ControlHandle,
    pub(crate) limits: LimitSettings,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) pool: BackendPool,
    pub(crate) estimates: Arc<Estimates>,
    pub(crate) waiting: WaitingLimit,
}

impl Shared {
    pub(crate) fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.limits.idle_timeout_ms)
    }

    fn answer_timeout(&self) -> Duration {
        Duration::from_millis(self.limits.answer_timeout_ms)
    }
}

/// End of an attempt without an answer for the caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Failure {
    pub(crate) error: ErrorResponse,
    /// Whether another attempt can neither run the request twice nor mix two answers.
    pub(crate) can_retry: bool,
}

impl Failure {
    pub(crate) fn permanent(error: ErrorResponse) -> Self {
        Self {
            error,
            can_retry: false,
        }
    }

    /// The request may have been run: only a safe one is tried again.
    pub(crate) fn unknown(call: &Call, code: ErrorCode) -> Self {
        Self {
            error: ErrorResponse::unknown(code),
            can_retry: call.is_safe(),
        }
    }
}

/// Result of one order.
enum OrderResult {
    /// No byte of the request was sent.
    NotSent { ticket: Ticket, unreachable: bool },
    /// The request was sent, and this came of it.
    Sent(Result<Response<Body>, Failure>),
}

/// Serves one request to its end, or to the start of a streamed answer.
pub(crate) async fn dispatch(
    shared: &Arc<Shared>,
    call: &Call,
) -> Result<Response<Body>, ErrorResponse> {
    let pair = shared
        .metrics
        .pair(&call.caller.workspace_name, &call.caller.class);
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
            // The last attempt says nothing of those before it.
            return Err(failure.error.after(may_have_run));
        }
        retries += 1;
        shared.metrics.retries.inc();
    }
}

/// One request on its way.
struct Dispatcher<'a> {
    shared: &'a Arc<Shared>,
    call: &'a Call,
    pair: &'a Arc<PairMetrics>,
}

impl Dispatcher<'_> {
    /// Submits the request and follows orders until one of them is carried out.
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
                    unused.give_back(unreachable);
                    self.shared.metrics.retries.inc();
                    ticket = unused;
                }
            }
        }
    }

    /// Waits for an order, at most until the request must have started.
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

    /// Carries out an order, over an idle connection if there is a usable one.
    async fn execute(
        &self,
        mut ticket: Ticket,
        order: &DispatchOrder,
        slot: &mut Option<WaitingSlot>,
    ) -> OrderResult {
        if let Some(connection) = self.shared.pool.take_idle(order.address) {
            match self.exchange(ticket, connection, order, slot).await {
                // The server had closed the idle connection.
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

    /// Sends the request over a connection and waits for the answer.
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

    /// Decides from the bytes written what became of a request without an answer.
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

    fn backend_request(&self, order: &DispatchOrder) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.call.body.clone()));
        *req.method_mut() = self.call.method.clone();
        *req.uri_mut() = self.call.target.clone().into();
        let mut fields = headers::for_backend(&self.call.headers);
        if self.call.kind == ServiceKind::Model {
            // The end of a compressed stream could not be checked.
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

fn fault_of(e: &hyper::Error) -> Fault {
    if e.is_parse() {
        Fault::Malformed
    } else {
        Fault::Truncated
    }
}
