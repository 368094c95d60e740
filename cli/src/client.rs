//! HTTP client of the operators' interface, over one host after another.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cardamomshift_lib::operator::ChangeAnswer;
use cardamomshift_lib::operator::ChangeBody;
use cardamomshift_lib::operator::ErrorBody;
use cardamomshift_lib::operator::ErrorCode;
use cardamomshift_lib::operator::ErrorDetail;
use cardamomshift_lib::settings::Secret;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::header::AUTHORIZATION;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

use crate::error::CliError;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for an answer: a host tries for 5 s to store a change, and ends the call under
/// way then.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest answer, bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Rounds over the hosts while it is unknown whether a change is stored.
const MAX_ROUNDS: usize = 3;

/// Client of the hosts of a fleet.
pub(crate) struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    hosts: Vec<SocketAddr>,
    authorization: HeaderValue,
}

/// Why one host gave no result.
enum CallFailure {
    /// The host was not reached.
    NotSent(String),
    /// The host may have acted, and its answer is lost.
    ResponseLost(String),
    /// The host has answered with an error.
    ErrorResponse(ErrorDetail),
}

impl Client {
    /// Makes a client that presents `key` to `hosts`.
    pub(crate) fn new(hosts: Vec<SocketAddr>, key: &Secret) -> Result<Self, CliError> {
        let value = [b"Bearer ", key.expose()].concat();
        let authorization = HeaderValue::from_bytes(&value).map_err(|_| CliError::InvalidKey)?;
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Ok(Self {
            http: HttpClient::builder(TokioExecutor::new()).build(connector),
            hosts,
            authorization,
        })
    }

    /// The hosts that the client asks.
    pub(crate) fn hosts(&self) -> &[SocketAddr] {
        &self.hosts
    }

    /// Reads from the first host that can tell.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        let mut failed = FailedCalls::default();
        for host in &self.hosts {
            match self.call(*host, Method::GET, path, Bytes::new()).await {
                Ok(found) => return Ok(found),
                Err(failure) => failed.record(*host, failure)?,
            }
        }
        Err(failed.into_error())
    }

    /// Reads from one host.
    pub(crate) async fn get_from<T: DeserializeOwned>(
        &self,
        host: SocketAddr,
        path: &str,
    ) -> Result<T, CliError> {
        let response = self.call(host, Method::GET, path, Bytes::new()).await;
        response.map_err(|failure| {
            let mut failed = FailedCalls::default();
            let recorded = failed.record(host, failure);
            recorded.err().unwrap_or_else(|| failed.into_error())
        })
    }

    /// Sends a change to one host after another until one has stored or refused it. The same
    /// identifier makes this safe.
    pub(crate) async fn change(&self, body: &ChangeBody) -> Result<ChangeAnswer, CliError> {
        let text = serde_json::to_vec(body).expect("a change has a JSON form");
        let text = Bytes::from(text);
        let mut failed = FailedCalls::default();
        for _ in 0..MAX_ROUNDS {
            for host in &self.hosts {
                match self
                    .call(*host, Method::POST, "/changes", text.clone())
                    .await
                {
                    Ok(response) => return Ok(response),
                    Err(failure) => failed.record_change(*host, failure)?,
                }
            }
            if !failed.maybe_stored {
                break;
            }
        }
        if failed.maybe_stored {
            return Err(CliError::OutcomeUnknown {
                id: body.id.to_string(),
                failures: failed.messages,
            });
        }
        Err(failed.into_error())
    }

    async fn call<T: DeserializeOwned>(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, CallFailure> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{host}{path}"))
            .header(AUTHORIZATION, &self.authorization)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .expect("paths are fixed");
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, self.send(req)).await;
        let (success, body) = response.unwrap_or_else(|_| {
            let reason = format!("no answer within {} s", RESPONSE_TIMEOUT.as_secs());
            Err(CallFailure::ResponseLost(reason))
        })?;
        read_response(success, &body)
    }

    async fn send(&self, req: Request<Full<Bytes>>) -> Result<(bool, Bytes), CallFailure> {
        let response = self.http.request(req).await.map_err(|err| {
            let reason = error_chain(&err);
            if err.is_connect() {
                CallFailure::NotSent(reason)
            } else {
                CallFailure::ResponseLost(reason)
            }
        })?;
        let success = response.status().is_success();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect();
        let body = body
            .await
            .map_err(|err| CallFailure::ResponseLost(err.to_string()))?;
        Ok((success, body.to_bytes()))
    }
}

fn read_response<T: DeserializeOwned>(success: bool, body: &[u8]) -> Result<T, CallFailure> {
    let unreadable = |err: serde_json::Error| {
        CallFailure::ResponseLost(format!(
            "the answer is none of an operators' listener: {err}"
        ))
    };
    if success {
        return serde_json::from_slice(body).map_err(unreadable);
    }
    let response: ErrorBody = serde_json::from_slice(body).map_err(unreadable)?;
    Err(CallFailure::ErrorResponse(response.error))
}

/// What the hosts so far have said.
#[derive(Default)]
struct FailedCalls {
    messages: Vec<String>,
    last_error: Option<ErrorDetail>,
    /// Whether a change may be stored.
    maybe_stored: bool,
}

impl FailedCalls {
    /// Notes an attempt. Fails with an answer that every host would give.
    fn record(&mut self, host: SocketAddr, failure: CallFailure) -> Result<(), CliError> {
        match failure {
            CallFailure::NotSent(reason) | CallFailure::ResponseLost(reason) => {
                self.messages.push(format!("{host}: {reason}"));
            }
            CallFailure::ErrorResponse(error) if error.code.may_differ_elsewhere() => {
                self.messages.push(format!("{host}: {}", error.message));
                self.last_error = Some(error);
            }
            CallFailure::ErrorResponse(error) => return Err(into_cli_error(error)),
        }
        Ok(())
    }

    /// Notes an attempt at a change. Once one may have been stored, a refusal proves nothing: the
    /// host whose answer was lost may still be at it.
    fn record_change(&mut self, host: SocketAddr, failure: CallFailure) -> Result<(), CliError> {
        self.maybe_stored |= match &failure {
            CallFailure::NotSent(_) => false,
            CallFailure::ResponseLost(_) => true,
            CallFailure::ErrorResponse(error) => error.code == ErrorCode::OutcomeUnknown,
        };
        match failure {
            CallFailure::ErrorResponse(error) if self.maybe_stored => {
                self.messages.push(format!("{host}: {}", error.message));
                Ok(())
            }
            failure => self.record(host, failure),
        }
    }

    fn into_error(self) -> CliError {
        match self.last_error {
            Some(error) => into_cli_error(error),
            None => CliError::Unreachable {
                failures: self.messages,
            },
        }
    }
}

fn into_cli_error(error: ErrorDetail) -> CliError {
    CliError::ErrorResponse {
        code: error.code,
        message: error.message.into(),
    }
}

fn error_chain(err: &dyn std::error::Error) -> String {
    let mut text = err.to_string();
    let mut source = err.source();
    while let Some(inner) = source {
        text = format!("{text}: {inner}");
        source = inner.source();
    }
    text
}
