//! Client of the hosts' operator interface, which changes the configuration and reports the status.

use std::net::SocketAddr;

use bytes::Bytes;
use cardamomshift_lib::configuration::Change;
use cardamomshift_lib::status::Status;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::AUTHORIZATION;
use hyper::header::CONTENT_TYPE;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

use crate::fleet::Fleet;
use crate::load::HttpClient;

/// Why a call to the operator interface failed.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// The host sent no response.
    #[snafu(display("no response from the host: {source}"))]
    NoResponse {
        /// Error of the HTTP client.
        source: hyper_util::client::legacy::Error,
    },
    /// The response ended early.
    #[snafu(display("incomplete response from the host: {source}"))]
    IncompleteResponse {
        /// Error of the HTTP client.
        source: hyper::Error,
    },
    /// The host responded with an error status.
    #[snafu(display("the host responded with {status}: {text}"))]
    Refused {
        /// HTTP status of the response.
        status: StatusCode,
        /// Body of the response.
        text: String,
    },
    /// The response body does not have the expected form.
    #[snafu(display("cannot parse the response of the host: {source}"))]
    InvalidResponse {
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
}

#[derive(Serialize)]
struct ChangeRequest<'a> {
    id: &'a str,
    change: &'a Change,
}

/// Client of one host's operator interface.
#[derive(Clone, Debug)]
pub struct Operator {
    client: HttpClient,
    address: SocketAddr,
}

impl Operator {
    /// Creates a client of the host whose operator interface listens at `address`.
    pub fn new(client: HttpClient, address: SocketAddr) -> Self {
        Self { client, address }
    }

    /// Submits a configuration change. `Ok` means that the host accepted it; a repeated call with
    /// the same `id` does not apply it again.
    ///
    /// # Errors
    ///
    /// See [`OperatorError`].
    pub async fn change(&self, id: &str, change: &Change) -> Result<(), OperatorError> {
        let body = serde_json::to_vec(&ChangeRequest { id, change }).expect("change is valid JSON");
        let request = Request::post(format!("http://{}/changes", self.address))
            .header(CONTENT_TYPE, "application/json");
        self.call(request, body).await?;
        Ok(())
    }

    /// Fetches the state of the fleet as the host sees it.
    ///
    /// # Errors
    ///
    /// See [`OperatorError`].
    pub async fn status(&self) -> Result<Status, OperatorError> {
        let request = Request::get(format!("http://{}/status", self.address));
        let body = self.call(request, Vec::new()).await?;
        serde_json::from_slice(&body).context(InvalidResponseSnafu)
    }

    async fn call(
        &self,
        request: hyper::http::request::Builder,
        body: Vec<u8>,
    ) -> Result<Bytes, OperatorError> {
        let key = Fleet::operator_key();
        let request = request
            .header(AUTHORIZATION, format!("Bearer {key}"))
            .body(Full::new(body.into()))
            .expect("parts of the request are valid");
        let response = self
            .client
            .request(request)
            .await
            .context(NoResponseSnafu)?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.context(IncompleteResponseSnafu)?.to_bytes();
        if !status.is_success() {
            let text = String::from_utf8_lossy(&body).into_owned();
            return Err(OperatorError::Refused { status, text });
        }
        Ok(body)
    }
}
