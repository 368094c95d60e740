//! HTTP client of the operators' interface, over one host after another.

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
/// Longest wait for an answer: a host tries for 5 s to store a change, and ends the call under
/// way then.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest answer, bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Rounds over the hosts while it is unknown whether a change is stored.
const MAX_ROUNDS: usize = 3;

/// Client of the hosts of a fleet.
pub(crate) struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    hosts: Vec<SocketAddr>,
    authorization: HeaderValue,
}

/// Why one host gave no result.
enum Attempt {
    /// The host was not reached.
    NotSent(String),
    /// The host may have acted, and its answer is lost.
    Lost(String),
    /// The host has answered with an error.
    Answered(ErrorDetail),
}

impl Client {
    /// Makes a client that presents `key` to `hosts`.
    pub(crate) fn new(hosts: Vec<SocketAddr>, key: &Secret) -> Result<Self, CliError> {
        let value = [b"Bearer ", key.expose()].concat();
        let authorization = HeaderValue::from_bytes(&value).map_err(|_| CliError::KeyForm)?;
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
        let mut tried = Tried::default();
        for host in &self.hosts {
            match self.call(*host, Method::GET, path, Bytes::new()).await {
                Ok(found) => return Ok(found),
                Err(attempt) => tried.note(*host, attempt)?,
            }
        }
        Err(tried.into_error())
    }

    /// Reads from one host.
    pub(crate) async fn get_from<T: DeserializeOwned>(
        &self,
        host: SocketAddr,
        path: &str,
    ) -> Result<T, CliError> {
        let answer = self.call(host, Method::GET, path, Bytes::new()).await;
        answer.map_err(|attempt| {
            let mut tried = Tried::default();
            let noted = tried.note(host, attempt);
            noted.err().unwrap_or_else(|| tried.into_error())
        })
    }

    /// Sends a change to one host after another until one has stored or refused it. The same
    /// identifier makes this safe.
    pub(crate) async fn change(&self, body: &ChangeBody) -> Result<ChangeResponse, CliError> {
        let text = serde_json::to_vec(body).expect("a change has a JSON form");
        let text = Bytes::from(text);
        let mut tried = Tried::default();
        for _ in 0..MAX_ROUNDS {
            for host in &self.hosts {
                match self
                    .call(*host, Method::POST, "/changes", text.clone())
                    .await
                {
                    Ok(answer) => return Ok(answer),
                    Err(attempt) => tried.note_change(*host, attempt)?,
                }
            }
            if !tried.unknown {
                break;
            }
        }
        if tried.unknown {
            return Err(CliError::Unknown {
                id: body.id.to_string(),
                tried: tried.lines,
            });
        }
        Err(tried.into_error())
    }

    async fn call<T: DeserializeOwned>(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, Attempt> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{host}{path}"))
            .header(AUTHORIZATION, &self.authorization)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .expect("paths are fixed");
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, self.exchange(req)).await;
        let (success, body) = answer.unwrap_or_else(|_| {
            let reason = format!("no answer within {} s", ANSWER_TIMEOUT.as_secs());
            Err(Attempt::Lost(reason))
        })?;
        read_answer(success, &body)
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Result<(bool, Bytes), Attempt> {
        let answer = self.http.request(req).await.map_err(|err| {
            let reason = describe(&err);
            if err.is_connect() {
                Attempt::NotSent(reason)
            } else {
                Attempt::Lost(reason)
            }
        })?;
        let success = answer.status().is_success();
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES).collect();
        let body = body.await.map_err(|err| Attempt::Lost(err.to_string()))?;
        Ok((success, body.to_bytes()))
    }
}

fn read_answer<T: DeserializeOwned>(success: bool, body: &[u8]) -> Result<T, Attempt> {
    let unreadable = |err: serde_json::Error| {
        Attempt::Lost(format!(
            "the answer is none of an operators' listener: {err}"
        ))
    };
    if success {
        return serde_json::from_slice(body).map_err(unreadable);
    }
    let answer: ErrorBody = serde_json::from_slice(body).map_err(unreadable)?;
    Err(Attempt::Answered(answer.error))
}

/// What the hosts so far have said.
#[derive(Default)]
struct Tried {
    lines: Vec<String>,
    answered: Option<ErrorDetail>,
    /// Whether a change may be stored.
    unknown: bool,
}

impl Tried {
    /// Notes an attempt. Fails with an answer that every host would give.
    fn note(&mut self, host: SocketAddr, attempt: Attempt) -> Result<(), CliError> {
        match attempt {
            Attempt::NotSent(reason) | Attempt::Lost(reason) => {
                self.lines.push(format!("{host}: {reason}"));
            }
            Attempt::Answered(error) if error.code.may_succeed_on_another_host() => {
                self.lines.push(format!("{host}: {}", error.message));
                self.answered = Some(error);
            }
            Attempt::Answered(error) => return Err(answered(error)),
        }
        Ok(())
    }

    /// Notes an attempt at a change. Once one may have been stored, a refusal proves nothing: the
    /// host whose answer was lost may still be at it.
    fn note_change(&mut self, host: SocketAddr, attempt: Attempt) -> Result<(), CliError> {
        self.unknown |= match &attempt {
            Attempt::NotSent(_) => false,
            Attempt::Lost(_) => true,
            Attempt::Answered(error) => error.code == ErrorCode::OutcomeUnknown,
        };
        match attempt {
            Attempt::Answered(error) if self.unknown => {
                self.lines.push(format!("{host}: {}", error.message));
                Ok(())
            }
            attempt => self.note(host, attempt),
        }
    }

    fn into_error(self) -> CliError {
        match self.answered {
            Some(error) => answered(error),
            None => CliError::Unreachable { tried: self.lines },
        }
    }
}

fn answered(error: ErrorDetail) -> CliError {
    CliError::Answered {
        code: error.code,
        message: error.message.into(),
    }
}

fn describe(err: &dyn std::error::Error) -> String {
    let mut text = err.to_string();
    let mut source = err.source();
    while let Some(inner) = source {
        text = format!("{text}: {inner}");
        source = inner.source();
    }
    text
}
