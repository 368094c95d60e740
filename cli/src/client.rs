//! HTTP client of the operators' interface of a fleet.
//!
//! Every host can serve a call, so the client tries the given hosts in order until one gives a
//! result. A change to the configuration carries an identifier, by which hosts recognize a repeated
//! call, so that it is stored at most once.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cardamomshift_lib::operator::ChangeBody;
use cardamomshift_lib::operator::ChangeResponse;
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
/// Longest wait for a response. A host tries to store a change for 5 s and then still completes the
/// call to the store that is in progress.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest body of a response that is read, bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// How often all hosts are tried while it is unknown whether a change is stored.
const MAX_ROUNDS: usize = 3;

/// Client of the hosts of a fleet, with the operators' key.
pub(crate) struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    hosts: Vec<SocketAddr>,
    authorization: HeaderValue,
}

/// Why a call to one host gave no result.
enum CallFailure {
    /// The connection failed, so the host did not receive the request.
    NotSent(String),
    /// No readable response arrived. The host may have carried out the request.
    ResponseLost(String),
    /// The host responded with an error.
    ErrorResponse(ErrorDetail),
}

impl Client {
    /// Creates a client that authenticates with `key` to `hosts`.
    ///
    /// # Errors
    ///
    /// `InvalidKey` if the key is not valid in an HTTP header.
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

    /// Addresses of the hosts, in the order in which they are tried.
    pub(crate) fn hosts(&self) -> &[SocketAddr] {
        &self.hosts
    }

    /// Sends a GET request to one host after another until one gives a result. An error that all
    /// hosts would give is returned at once.
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

    /// Sends a GET request to one host only.
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

    /// Sends a change to one host after another until one has stored or refused it. All calls carry
    /// the same identifier, so the change is stored at most once.
    ///
    /// # Errors
    ///
    /// `OutcomeUnknown` if a host may have stored the change and none has confirmed it.
    pub(crate) async fn change(&self, body: &ChangeBody) -> Result<ChangeResponse, CliError> {
        let text = serde_json::to_vec(body).expect("a change can always be serialized to JSON");
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

    /// Sends a request to one host and parses the response.
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
            .expect("method, path and headers of a call are valid");
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, self.send(req)).await;
        let (success, body) = response.unwrap_or_else(|_| {
            let reason = format!("no response within {} s", RESPONSE_TIMEOUT.as_secs());
            Err(CallFailure::ResponseLost(reason))
        })?;
        read_response(success, &body)
    }

    /// Sends a request. Returns whether the status is a success, and the body.
    async fn send(&self, req: Request<Full<Bytes>>) -> Result<(bool, Bytes), CallFailure> {
        let response = self.http.request(req).await.map_err(|err| {
            let reason = format_error_chain(&err);
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
            "cannot parse the response; is this the operators' listener? {err}"
        ))
    };
    if success {
        return serde_json::from_slice(body).map_err(unreadable);
    }
    let response: ErrorBody = serde_json::from_slice(body).map_err(unreadable)?;
    Err(CallFailure::ErrorResponse(response.error))
}

/// The failed calls of one command.
#[derive(Default)]
struct FailedCalls {
    /// A line for each call, with the address of the host.
    messages: Vec<String>,
    /// The last error that a host responded with.
    last_error: Option<ErrorDetail>,
    /// Whether a host may have stored the change.
    maybe_stored: bool,
}

impl FailedCalls {
    /// Records a failed call. Returns an error if every other host would respond in the same way.
    fn record(&mut self, host: SocketAddr, failure: CallFailure) -> Result<(), CliError> {
        match failure {
            CallFailure::NotSent(reason) | CallFailure::ResponseLost(reason) => {
                self.messages.push(format!("{host}: {reason}"));
            }
            CallFailure::ErrorResponse(error) if error.code.may_succeed_on_another_host() => {
                self.messages.push(format!("{host}: {}", error.message));
                self.last_error = Some(error);
            }
            CallFailure::ErrorResponse(error) => return Err(into_cli_error(error)),
        }
        Ok(())
    }

    /// Records a failed call with a change. After a call whose outcome is unknown, a refusal by
    /// another host does not show that the change is not stored, because the first host may still
    /// be storing it.
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

    /// The error of the command after all hosts have failed.
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

/// Joins the messages of an error and of its sources with colons.
fn format_error_chain(err: &dyn std::error::Error) -> String {
    let mut text = err.to_string();
    let mut source = err.source();
    while let Some(inner) = source {
        text = format!("{text}: {inner}");
        source = inner.source();
    }
    text
}
