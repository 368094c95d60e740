//! Sends one request to a host and checks the response.
//!
//! The result of a call is a record with its times and its outcome, which later checks compare with
//! the records of the backend servers.

use std::net::SocketAddr;

use bytes::Bytes;
use cardamomshift_testutils::history::CallOutcome;
use cardamomshift_testutils::history::CallRecord;
use cardamomshift_testutils::now_us;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::header::CONTENT_TYPE;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

use super::check::StreamCheck;
use super::check::check_json_response;
use super::work::Request;

/// HTTP client that callers and operators use.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Creates a client with its own connection pool. The pool keeps any number of idle connections, so
/// that calls rarely wait for a connection to be opened.
pub fn http_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(usize::MAX)
        .build(connector)
}

/// Sends requests on behalf of one workspace.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Client that sends the requests.
    pub client: HttpClient,
    /// Name of the workspace.
    pub workspace: String,
    /// Key that authenticates the workspace.
    pub key: String,
    /// Class of work, which sets the latency target; the default class if absent.
    pub class: Option<String>,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Deserialize)]
struct ErrorDetail {
    code: String,
    outcome: String,
    #[serde(default)]
    retry_after_ms: Option<u64>,
}

/// Result of one call.
#[derive(Debug)]
pub struct CallResult {
    /// Times and outcome of the call.
    pub record: CallRecord,
    /// Delay before a retry that the host asked for in its error response, milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// Part of a call's result that is taken from the response.
struct ReceivedResponse {
    outcome: CallOutcome,
    first_byte: Option<u64>,
    tokens: u32,
    retry_after_ms: Option<u64>,
}

impl ReceivedResponse {
    /// No complete response: the connection failed.
    fn broken() -> Self {
        Self {
            outcome: CallOutcome::Broken,
            first_byte: None,
            tokens: 0,
            retry_after_ms: None,
        }
    }
}

impl Caller {
    /// Sends a request to `address` and checks the response. `host` is the number of the host in
    /// the call's record.
    pub async fn call(&self, host: usize, address: SocketAddr, request: &Request) -> CallResult {
        let sent = now_us();
        let received = match self
            .client
            .request(self.http_request(address, request))
            .await
        {
            Ok(response) => read_response(request, response).await,
            Err(_) => ReceivedResponse::broken(),
        };
        CallResult {
            record: CallRecord {
                workspace: self.workspace.clone(),
                host,
                operation: request.operation.clone(),
                nonce: request.nonce,
                sent,
                first_byte: received.first_byte,
                end: now_us(),
                tokens: received.tokens,
                outcome: received.outcome,
            },
            retry_after_ms: received.retry_after_ms,
        }
    }

    fn http_request(&self, address: SocketAddr, request: &Request) -> hyper::Request<Full<Bytes>> {
        let mut builder = hyper::Request::post(format!("http://{address}{}", request.path))
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .header(CONTENT_TYPE, "application/json")
            .header("x-operation", &request.operation)
            .header("x-test-tag", &self.workspace);
        if let Some(class) = &self.class {
            builder = builder.header("x-cardamomshift-class", class);
        }
        if let Some(key) = &request.key {
            builder = builder.header("idempotency-key", key);
        }
        builder
            .body(Full::new(request.body.clone().into()))
            .expect("parts of the request are valid")
    }
}

async fn read_response(request: &Request, response: hyper::Response<Incoming>) -> ReceivedResponse {
    let status = response.status();
    if status != StatusCode::OK {
        return read_error(status, response.into_body()).await;
    }
    if request.streamed {
        return read_stream(request, response.into_body()).await;
    }
    let Ok(body) = response.into_body().collect().await else {
        return ReceivedResponse::broken();
    };
    let first_byte = Some(now_us());
    let body = body.to_bytes();
    let (outcome, tokens) = if request.is_model {
        check_json_response(&body, request.nonce, request.tokens)
    } else {
        (check_plain_response(&body, &request.operation), 0)
    };
    ReceivedResponse {
        outcome,
        first_byte,
        tokens,
        retry_after_ms: None,
    }
}

/// Reads a streamed response. The time of its first byte is that of its first data frame.
async fn read_stream(request: &Request, mut body: Incoming) -> ReceivedResponse {
    let mut check = StreamCheck::new(request.nonce, request.tokens);
    let mut first_byte = None;
    let mut outcome = None;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            outcome = Some(CallOutcome::Broken);
            break;
        };
        if let Some(data) = frame.data_ref() {
            first_byte.get_or_insert_with(now_us);
            check.feed(data);
        }
    }
    ReceivedResponse {
        outcome: outcome.unwrap_or_else(|| check.outcome()),
        first_byte,
        tokens: check.tokens(),
        retry_after_ms: None,
    }
}

/// Reads an error response. The body of a host's error says whether the request was certainly not
/// run or its outcome is unknown.
async fn read_error(status: StatusCode, body: Incoming) -> ReceivedResponse {
    let mut received = ReceivedResponse::broken();
    let Ok(body) = body.collect().await else {
        return received;
    };
    let parsed = serde_json::from_slice::<ErrorBody>(&body.to_bytes());
    received.outcome = match parsed {
        Ok(ErrorBody { error }) => {
            received.retry_after_ms = error.retry_after_ms;
            match error.outcome.as_str() {
                "not_run" => CallOutcome::NotRun(error.code),
                _ => CallOutcome::Unknown(error.code),
            }
        }
        Err(_) => CallOutcome::Rejected(status.as_u16()),
    };
    received
}

/// Checks the response of the plain service, which repeats the name of the operation.
fn check_plain_response(body: &[u8], operation: &str) -> CallOutcome {
    match serde_json::from_slice::<serde_json::Value>(body) {
        Err(_) => CallOutcome::Partial,
        Ok(value) if value["operation"] == operation => CallOutcome::Complete,
        Ok(_) => CallOutcome::Mismatched,
    }
}
