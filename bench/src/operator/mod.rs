//! An operator of the fleet.

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

/// Why an operator's call failed.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// No answer came.
    #[snafu(display("no answer of the host: {source}"))]
    NoResponse {
        /// What the client says.
        source: hyper_util::client::legacy::Error,
    },
    /// The answer broke off.
    #[snafu(display("the answer broke off: {source}"))]
    IncompleteResponse {
        /// What the client says.
        source: hyper::Error,
    },
    /// The host refused.
    #[snafu(display("the host answered {status}: {text}"))]
    Refused {
        /// HTTP status.
        status: StatusCode,
        /// Body of the answer.
        text: String,
    },
    /// The answer is not what was asked for.
    #[snafu(display("the answer cannot be read: {source}"))]
    InvalidResponse {
        /// What the parser says.
        source: serde_json::Error,
    },
}

#[derive(Serialize)]
struct ChangeRequest<'a> {
    id: &'a str,
    change: &'a Change,
}

/// An operator who speaks to one host.
#[derive(Clone, Debug)]
pub struct Operator {
    client: HttpClient,
    address: SocketAddr,
}

impl Operator {
    /// An operator who speaks to the host with the listener `address`.
    pub fn new(client: HttpClient, address: SocketAddr) -> Self {
        Self { client, address }
    }

    /// Makes a change; it was accepted if this gives no error.
    ///
    /// # Errors
    ///
    /// See [`OperatorError`].
    pub async fn change(&self, id: &str, change: &Change) -> Result<(), OperatorError> {
        let body = serde_json::to_vec(&ChangeRequest { id, change }).expect("change as JSON");
        let request = Request::post(format!("http://{}/changes", self.address))
            .header(CONTENT_TYPE, "application/json");
        self.call(request, body).await?;
        Ok(())
    }

    /// The state of the fleet as the host sees it.
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
            .expect("request of an operator");
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
