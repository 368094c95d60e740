//! Requests with an idempotency key, which must run at most once across all hosts.
//!
//! Before such a request is dispatched, its operation is *claimed* by a record in the object API of
//! the platform, the external system that the fleet runs on. Afterwards the operation is *settled*:
//! the record receives its final state, with the response if it is small enough, which is then
//! replayed to later requests with the same key.

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

use super::dispatch::Shared;
use super::dispatch::dispatch;
use super::error_code::ErrorCode;
use super::error_response::ErrorResponse;
use super::error_response::Outcome;
use super::headers;
use super::request::Call;
use super::run_flag::RunFlag;
use crate::operation::ClaimOutcome;
use crate::operation::FinalState;
use crate::operation::Fingerprint;
use crate::operation::KeyStatus;
use crate::operation::OperationGuard;
use crate::operation::OperationKey;
use crate::operation::Records;
use crate::operation::StoredHeader;
use crate::operation::StoredResponse;

/// Largest response body that is stored, bytes.
const STORED_BODY_BYTES_MAX: usize = 256 << 10;
/// Longest time that a response is delayed until its record is stored.
const SETTLE_WAIT: Duration = Duration::from_millis(250);
/// Retry delay sent to the caller while another request with the same key runs.
const IN_PROGRESS_RETRY: Duration = Duration::from_secs(1);

/// Serves one request. An idempotency key is ignored if the method is safe (RFC 9110), as repeating
/// such a request does no harm.
pub(crate) async fn serve(
    shared: &Arc<Shared>,
    records: &Arc<Records>,
    call: &Call,
) -> Result<Response<Body>, ErrorResponse> {
    match call.headers.get(headers::IDEMPOTENCY_KEY) {
        Some(key) if !call.is_safe() => serve_keyed(shared, records, call, key).await,
        _ => dispatch(shared, call).await,
    }
}

/// Claims the operation, dispatches the request, and settles the operation with the result.
async fn serve_keyed(
    shared: &Arc<Shared>,
    records: &Arc<Records>,
    call: &Call,
    key: &HeaderValue,
) -> Result<Response<Body>, ErrorResponse> {
    let key = OperationKey::new(call.spec.workspace, key.as_bytes())
        .ok_or(ErrorResponse::not_run(ErrorCode::MalformedRequest))?;
    let target = call.target.as_str();
    let fingerprint = Fingerprint::of(call.method.as_str(), target, &call.body.bytes);
    let guard = match records.claim(key, fingerprint).await {
        ClaimOutcome::Won(guard) => guard,
        ClaimOutcome::Lost(key_status) => return response_from(key_status),
        ClaimOutcome::Unavailable => {
            return Err(ErrorResponse::not_run(ErrorCode::RecordsUnavailable));
        }
    };
    // Declared before the dispatch so that, if the caller disconnects, it is dropped after the
    // dispatch, which clears the run flag in its drop if nothing was sent.
    let operation = ClaimedOperation {
        guard: Some(guard),
        run_flag: call.run_flag.clone(),
    };
    match dispatch(shared, call).await {
        Ok(response) => Ok(store_response(operation, response).await),
        Err(error) => {
            let final_state = match error.outcome {
                Outcome::NotRun => FinalState::NotRun,
                Outcome::Unknown | Outcome::Completed => FinalState::Unknown,
            };
            wait_until_stored(operation.settle(final_state)).await;
            Err(error)
        }
    }
}

/// A claimed operation. Dropping it without settling records it as not run or as unknown, depending
/// on the run flag.
struct ClaimedOperation {
    /// The right to run the operation, `None` once it is settled.
    guard: Option<OperationGuard>,
    run_flag: RunFlag,
}

impl ClaimedOperation {
    fn settle(mut self, final_state: FinalState) -> Option<JoinHandle<bool>> {
        self.guard.take()?.settle(final_state)
    }
}

impl Drop for ClaimedOperation {
    fn drop(&mut self) {
        let Some(guard) = self.guard.take() else {
            return;
        };
        let final_state = if self.run_flag.may_have_run() {
            FinalState::Unknown
        } else {
            FinalState::NotRun
        };
        // The spawned task continues without being awaited.
        drop(guard.settle(final_state));
    }
}

/// Waits until the record is stored, at most for [`SETTLE_WAIT`].
async fn wait_until_stored(task: Option<JoinHandle<bool>>) {
    if let Some(task) = task {
        // After the timeout the task continues. If it fails, the record expires and counts as
        // unknown.
        let _ = tokio::time::timeout(SETTLE_WAIT, task).await;
    }
}

/// Returns the response to a request whose operation another request has claimed.
fn response_from(key_status: KeyStatus) -> Result<Response<Body>, ErrorResponse> {
    match key_status {
        KeyStatus::Replay(response) => Ok(replay(response)),
        KeyStatus::KeyReused => Err(ErrorResponse::not_run(ErrorCode::KeyReused)),
        KeyStatus::InProgress => {
            let error = ErrorResponse::unknown(ErrorCode::OperationInProgress);
            Err(error.with_retry_after(IN_PROGRESS_RETRY))
        }
        KeyStatus::ResponseNotStored { .. } => {
            Err(ErrorResponse::completed(ErrorCode::AnswerNotKept))
        }
        // `Free` cannot occur here: a free operation would have been claimed.
        KeyStatus::Unknown | KeyStatus::Free => {
            Err(ErrorResponse::unknown(ErrorCode::OperationUnknown))
        }
    }
}

/// Builds the response from a stored one, marked as replayed.
fn replay(stored: StoredResponse) -> Response<Body> {
    let mut response = Response::new(Body::from(stored.body));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    for field in stored.headers {
        let name = HeaderName::try_from(field.name.as_str());
        let value = HeaderValue::try_from(field.value.as_str());
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().insert(name, value);
        }
    }
    let yes = HeaderValue::from_static("true");
    response.headers_mut().insert(headers::REPLAYED, yes);
    response
}

/// Stores a response: before it is forwarded if its length is known and small, otherwise while its
/// body is forwarded.
async fn store_response(operation: ClaimedOperation, response: Response<Body>) -> Response<Body> {
    let (parts, body) = response.into_parts();
    let mut recorder = ResponseRecorder {
        operation: Some(operation),
        status: parts.status.as_u16(),
        headers: headers::stored(&parts.headers),
        body: Some(Vec::new()),
    };
    let is_small = body
        .size_hint()
        .exact()
        .is_some_and(|length| length <= STORED_BODY_BYTES_MAX as u64);
    if !is_small {
        let body = Body::new(RecordedBody {
            inner: body,
            recorder,
        });
        return Response::from_parts(parts, body);
    }
    let bytes = match body.collect().await {
        Ok(collected) => collected.to_bytes(),
        // Dropping the recorder records that the operation may have run.
        Err(e) => return Response::from_parts(parts, broken_body(e)),
    };
    recorder.on_data(&bytes);
    wait_until_stored(recorder.complete()).await;
    Response::from_parts(parts, Body::from(bytes))
}

/// A body that fails with this error, so that the caller detects the truncation.
fn broken_body(e: axum::Error) -> Body {
    Body::from_stream(futures::stream::iter([Err::<Bytes, _>(e)]))
}

/// Collects a response to store it in the record of its operation.
struct ResponseRecorder {
    /// The operation, `None` once it is settled.
    operation: Option<ClaimedOperation>,
    status: u16,
    headers: Vec<StoredHeader>,
    /// Body bytes so far, or `None` once they exceed [`STORED_BODY_BYTES_MAX`].
    body: Option<Vec<u8>>,
}

impl ResponseRecorder {
    fn on_data(&mut self, data: &[u8]) {
        let Some(body) = &mut self.body else {
            return;
        };
        if body.len() + data.len() > STORED_BODY_BYTES_MAX {
            self.body = None;
        } else {
            body.extend_from_slice(data);
        }
    }

    /// Settles the operation as completed, with the response if it is small enough. Further calls
    /// have no effect.
    fn complete(&mut self) -> Option<JoinHandle<bool>> {
        let status = self.status;
        let final_state = match self.body.take() {
            Some(body) => FinalState::Completed(StoredResponse {
                status,
                headers: std::mem::take(&mut self.headers),
                body,
            }),
            None => FinalState::CompletedWithoutBody { status },
        };
        self.operation.take()?.settle(final_state)
    }
}

/// Response body that is recorded while it is forwarded.
struct RecordedBody {
    inner: Body,
    recorder: ResponseRecorder,
}

impl HttpBody for RecordedBody {
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
            this.recorder.on_data(data);
        }
        let is_failed = matches!(frame, Some(Err(_)));
        if !is_failed && (frame.is_none() || this.inner.is_end_stream()) {
            // The spawned task continues: the end of the response does not wait for the record.
            drop(this.recorder.complete());
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
