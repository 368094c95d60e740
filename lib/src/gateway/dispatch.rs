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

use super::answer;
use super::backend::BackendPool;
use super::backend::Connection;
use super::backend::Written;
use super::code::Code;
use super::estimate::Estimates;
use super::headers;
use super::refusal::Outcome;
use super::refusal::Refusal;
use super::request::Call;
use super::running::Gauges;
use super::running::Running;
use super::waiting::WaitingLimit;
use super::waiting::WaitingPlace;
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
    pub(crate) refusal: Refusal,
    /// Whether another attempt can neither run the request twice nor mix two answers.
    pub(crate) is_repeatable: bool,
}

impl Failure {
    pub(crate) fn last(refusal: Refusal) -> Self {
        Self {
            refusal,
            is_repeatable: false,
        }
    }

    /// The request may have been run: only a safe one is tried again.
    pub(crate) fn unknown(call: &Call, code: Code) -> Self {
        Self {
            refusal: Refusal::unknown(code),
            is_repeatable: call.is_safe(),
        }
    }
}

/// Result of one order.
enum Tried {
    /// No byte of the request was sent.
    NotSent { ticket: Ticket, unreachable: bool },
    /// The request was sent, and this came of it.
    Sent(Result<Response<Body>, Failure>),
}

/// Serves one request to its end, or to the start of a streamed answer.
pub(crate) async fn dispatch(shared: &Arc<Shared>, call: &Call) -> Result<Response<Body>, Refusal> {
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
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        may_have_run |= failure.refusal.outcome != Outcome::NotRun;
        let expired = call.spec.deadline.has_passed(shared.clock.now());
        if !failure.is_repeatable || expired || retries == RETRIES_MAX {
            // The last attempt says nothing of those before it.
            return Err(failure.refusal.after(may_have_run));
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
        let full = || Failure::last(Refusal::not_run(Code::QueueFull));
        let mut place = Some(self.shared.waiting.enter(workspace).ok_or_else(full)?);
        let mut ticket = self.shared.control.submit(self.call.spec);
        loop {
            let order = self.next_order(&mut ticket).await.map_err(Failure::last)?;
            match self.follow(ticket, &order, &mut place).await {
                Tried::Sent(result) => return result,
                Tried::NotSent {
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

    /// Waits for an order, at most until the request must have started.
    async fn next_order(&self, ticket: &mut Ticket) -> Result<DispatchOrder, Refusal> {
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
            })) => Err(Refusal::not_run(reason.into()).with_retry_after(retry_after)),
            Ok(None) => Err(Refusal::not_run(Code::Stopping)),
            Err(_) => Err(Refusal::not_run(RefusalReason::DeadlinePassed.into())),
        }
    }

    /// Carries out an order, over an idle connection if there is a usable one.
    async fn follow(
        &self,
        mut ticket: Ticket,
        order: &DispatchOrder,
        place: &mut Option<WaitingPlace>,
    ) -> Tried {
        if let Some(connection) = self.shared.pool.take_idle(order.address) {
            match self.exchange(ticket, connection, order, place).await {
                // The server had closed the idle connection.
                Tried::NotSent {
                    ticket: unused,
                    unreachable: true,
                } => ticket = unused,
                tried => return tried,
            }
        }
        let connect = self.shared.pool.connect(order.address);
        match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
            Ok(Ok(connection)) => self.exchange(ticket, connection, order, place).await,
            Ok(Err(_)) | Err(_) => {
                self.shared.metrics.count_fault(Fault::Unreachable);
                Tried::NotSent {
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
        place: &mut Option<WaitingPlace>,
    ) -> Tried {
        let gauges = Gauges {
            clock: self.shared.clock,
            metrics: self.shared.metrics.clone(),
            pair: self.pair.clone(),
            estimates: self.shared.estimates.clone(),
        };
        let mut running = Running::new(self.call, ticket, connection, gauges);
        if running.connection.sender.ready().await.is_err() {
            return self.on_no_answer(running, Fault::Unreachable);
        }
        place.take();
        self.call.mark.set();
        running.connection.gate.arm(order.deadline);
        let req = self.backend_request(order);
        let answer = running.connection.sender.send_request(req);
        match tokio::time::timeout(self.shared.answer_timeout(), answer).await {
            Ok(Ok(answer)) => {
                let received = answer::receive(self.shared, self.call, running, answer);
                Tried::Sent(received.await)
            }
            Ok(Err(e)) => self.on_no_answer(running, fault_of(&e)),
            Err(_) => self.on_no_answer(running, Fault::Late),
        }
    }

    /// Decides from the bytes written what became of a request without an answer.
    fn on_no_answer(&self, mut running: Running, fault: Fault) -> Tried {
        let written = running.connection.gate.close();
        if let Written::Nothing { expired } = written
            && let Some(ticket) = running.account.take_unsent()
        {
            self.call.mark.clear();
            return Tried::NotSent {
                ticket,
                unreachable: !expired,
            };
        }
        self.shared.metrics.count_fault(fault);
        drop(running.end(EndOutcome::Failed, None));
        let code = match fault {
            Fault::Late => Code::ServerTimeout,
            _ => Code::ServerFailed,
        };
        Tried::Sent(Err(Failure::unknown(self.call, code)))
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
