//! Requests that carry an idempotency key.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use axum::body::Body;
use axum::body::HttpBody;
use axum::http::HeaderName;
use axum::http::HeaderValue;
use axum::http::Response;
use axum::http::StatusCode;
use bytes::Bytes;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use tokio::task::JoinHandle;

use super::code::Code;
use super::dispatch::Shared;
use super::dispatch::dispatch;
use super::headers;
use super::refusal::Outcome;
use super::refusal::Refusal;
use super::request::Call;
use super::run_mark::RunMark;
use crate::operation::ClaimOutcome;
use crate::operation::Fingerprint;
use crate::operation::Hold;
use crate::operation::OperationKey;
use crate::operation::Records;
use crate::operation::Settlement;
use crate::operation::Standing;
use crate::operation::StoredAnswer;
use crate::operation::StoredHeader;

/// Largest answer body that is kept, bytes.
const KEPT_BODY_MAX: usize = 256 << 10;
/// Time that an answer waits for its record to be stored. It is passed on without, then.
const SETTLE_WAIT: Duration = Duration::from_millis(250);
/// Advised wait while another request with the same key runs.
const IN_PROGRESS_RETRY: Duration = Duration::from_secs(1);

/// Serves one request, under its idempotency key if it has one and is not safe anyway.
pub(crate) async fn serve(
    shared: &Arc<Shared>,
    records: &Arc<Records>,
    call: &Call,
) -> Result<Response<Body>, Refusal> {
    match call.headers.get(headers::IDEMPOTENCY_KEY) {
        Some(key) if !call.is_safe() => serve_keyed(shared, records, call, key).await,
        _ => dispatch(shared, call).await,
    }
}

async fn serve_keyed(
    shared: &Arc<Shared>,
    records: &Arc<Records>,
    call: &Call,
    key: &HeaderValue,
) -> Result<Response<Body>, Refusal> {
    let key = OperationKey::new(call.spec.workspace, key.as_bytes())
        .ok_or(Refusal::not_run(Code::MalformedRequest))?;
    let target = call.target.as_str();
    let fingerprint = Fingerprint::of(call.method.as_str(), target, &call.body);
    let hold = match records.claim(key, fingerprint).await {
        ClaimOutcome::Won(hold) => hold,
        ClaimOutcome::Lost(standing) => return answer_from(standing),
        ClaimOutcome::Unavailable => return Err(Refusal::not_run(Code::RecordsUnavailable)),
    };
    // Declared before the dispatch, so that it is dropped after it if the caller leaves.
    let operation = Operation {
        hold: Some(hold),
        mark: call.mark.clone(),
    };
    match dispatch(shared, call).await {
        Ok(answer) => Ok(keep_answer(operation, answer).await),
        Err(refusal) => {
            let settlement = match refusal.outcome {
                Outcome::NotRun => Settlement::NotRun,
                Outcome::Unknown | Outcome::Completed => Settlement::Unknown,
            };
            wait_for(operation.settle(settlement)).await;
            Err(refusal)
        }
    }
}

/// A claimed operation. Dropping it records what is known of its run.
struct Operation {
    hold: Option<Hold>,
    mark: RunMark,
}

impl Operation {
    fn settle(mut self, settlement: Settlement) -> Option<JoinHandle<bool>> {
        self.hold.take()?.settle(settlement)
    }
}

impl Drop for Operation {
    fn drop(&mut self) {
        let Some(hold) = self.hold.take() else {
            return;
        };
        let settlement = if self.mark.may_have_run() {
            Settlement::Unknown
        } else {
            Settlement::NotRun
        };
        // The task goes on by itself.
        drop(hold.settle(settlement));
    }
}

async fn wait_for(task: Option<JoinHandle<bool>>) {
    if let Some(task) = task {
        // The record is stored later, or lapses to unknown.
        let _ = tokio::time::timeout(SETTLE_WAIT, task).await;
    }
}

/// Answers a request from what is known of its operation.
fn answer_from(standing: Standing) -> Result<Response<Body>, Refusal> {
    match standing {
        Standing::Replay(answer) => Ok(replay(answer)),
        Standing::KeyReused => Err(Refusal::not_run(Code::KeyReused)),
        Standing::InProgress => {
            let refusal = Refusal::unknown(Code::OperationInProgress);
            Err(refusal.with_retry_after(IN_PROGRESS_RETRY))
        }
        Standing::AnswerNotKept { .. } => Err(Refusal::completed(Code::AnswerNotKept)),
        // A free operation would have been claimed.
        Standing::Unknown | Standing::Free => Err(Refusal::unknown(Code::OperationUnknown)),
    }
}

fn replay(stored: StoredAnswer) -> Response<Body> {
    let mut answer = Response::new(Body::from(stored.body));
    *answer.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    for field in stored.headers {
        let name = HeaderName::try_from(field.name.as_str());
        let value = HeaderValue::try_from(field.value.as_str());
        if let (Ok(name), Ok(value)) = (name, value) {
            answer.headers_mut().insert(name, value);
        }
    }
    let yes = HeaderValue::from_static("true");
    answer.headers_mut().insert(headers::REPLAYED, yes);
    answer
}

/// Keeps an answer: at once if it is there, or while it passes.
async fn keep_answer(operation: Operation, answer: Response<Body>) -> Response<Body> {
    let (parts, body) = answer.into_parts();
    let mut keeper = Keeper {
        operation: Some(operation),
        status: parts.status.as_u16(),
        headers: headers::kept(&parts.headers),
        body: Some(Vec::new()),
    };
    let is_small = body
        .size_hint()
        .exact()
        .is_some_and(|length| length <= KEPT_BODY_MAX as u64);
    if !is_small {
        let body = Body::new(KeptBody {
            inner: body,
            keeper,
        });
        return Response::from_parts(parts, body);
    }
    let bytes = match body.collect().await {
        Ok(collected) => collected.to_bytes(),
        // Dropping the keeper records that the operation may have run.
        Err(e) => return Response::from_parts(parts, broken_body(e)),
    };
    keeper.on_data(&bytes);
    wait_for(keeper.complete()).await;
    Response::from_parts(parts, Body::from(bytes))
}

fn broken_body(e: axum::Error) -> Body {
    Body::from_stream(futures::stream::iter([Err::<Bytes, _>(e)]))
}

/// Collects an answer for its operation's record.
struct Keeper {
    operation: Option<Operation>,
    status: u16,
    headers: Vec<StoredHeader>,
    /// The body so far, or `None` once it is too large.
    body: Option<Vec<u8>>,
}

impl Keeper {
    fn on_data(&mut self, data: &[u8]) {
        let Some(body) = &mut self.body else {
            return;
        };
        if body.len() + data.len() > KEPT_BODY_MAX {
            self.body = None;
        } else {
            body.extend_from_slice(data);
        }
    }

    fn complete(&mut self) -> Option<JoinHandle<bool>> {
        let status = self.status;
        let settlement = match self.body.take() {
            Some(body) => Settlement::Completed(StoredAnswer {
                status,
                headers: std::mem::take(&mut self.headers),
                body,
            }),
            None => Settlement::CompletedWithoutBody { status },
        };
        self.operation.take()?.settle(settlement)
    }
}

/// A streamed answer that is kept while it passes.
struct KeptBody {
    inner: Body,
    keeper: Keeper,
}

impl HttpBody for KeptBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        let this = self.get_mut();
        let frame = ready!(Pin::new(&mut this.inner).poll_frame(cx));
        if let Some(Ok(frame)) = &frame
            && let Some(data) = frame.data_ref()
        {
            this.keeper.on_data(data);
        }
        let is_failed = matches!(frame, Some(Err(_)));
        if !is_failed && (frame.is_none() || this.inner.is_end_stream()) {
            // The task goes on by itself: the answer does not wait for its record.
            drop(this.keeper.complete());
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
