//! Client of the host list, which names all entry hosts (the machines that run this router and
//! accept requests) and backend servers of the fleet. It is provided by the platform, the external
//! system that the fleet runs on.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use log::warn;
use serde::Deserialize;
use serde_json::value::RawValue;
use snafu::Snafu;

use super::http::CallOptions;
use super::http::HttpClient;
use crate::host::HostEntry;
use crate::host::HostList;

/// Reason why the host list could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HostListError {
    /// The platform could not be reached or did not serve the call.
    #[snafu(display("the host list is unavailable: {reason}"))]
    Unavailable {
        /// Error of the connection, or HTTP status.
        reason: CompactString,
    },
    /// The body of the response is not a host list.
    #[snafu(display("the host list is malformed: {reason}"))]
    Malformed {
        /// Message of the JSON parser.
        reason: CompactString,
    },
}

/// Client of the host list. Clones share one connection pool and may be used from any thread with
/// a `tokio` runtime.
#[derive(Clone, Debug)]
pub struct HostListClient {
    http: HttpClient,
}

impl HostListClient {
    /// Creates a client of the host list at `address`. Connects on the first call.
    pub fn new(address: SocketAddr, options: CallOptions) -> Self {
        Self {
            http: HttpClient::new(address, options),
        }
    }

    /// Reads the host list without waiting. Returns `None` if it has never been written.
    ///
    /// # Errors
    ///
    /// A [`HostListError`] if the call fails or the response is not a host list.
    pub async fn read(&self) -> Result<Option<HostList>, HostListError> {
        self.watch(0, Duration::ZERO).await
    }

    /// Waits until the list has a revision above `after` and returns it (long poll). Returns `None`
    /// if that does not happen within `wait`.
    ///
    /// # Errors
    ///
    /// A [`HostListError`] if the call fails or the response is not a host list.
    pub async fn watch(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<Option<HostList>, HostListError> {
        let millis = wait.as_millis();
        let uri = self
            .http
            .uri(&format!("/hosts?after={after}&timeout_ms={millis}"));
        let req = Request::get(uri)
            .body(Full::new(Bytes::new()))
            .expect("the URI should be valid, since it contains only an address and numbers");
        let response = self.http.call_long_poll(req, wait).await;
        let reply = response.map_err(|err| unavailable(err.to_string()))?;
        match reply.status {
            StatusCode::OK => parse(&reply.body).map(Some),
            StatusCode::NOT_MODIFIED => Ok(None),
            status => Err(unavailable(format!("status {status}"))),
        }
    }
}

/// A list whose entries have not been parsed.
#[derive(Deserialize)]
struct RawList {
    revision: u64,
    hosts: Vec<Box<RawValue>>,
}

/// Parses a list. Each entry is read by itself: one that cannot be read names no host, and must not hide the
/// others. Bytes that are not UTF-8 are replaced, so that they concern only the entries that have them.
fn parse(body: &[u8]) -> Result<HostList, HostListError> {
    let text = String::from_utf8_lossy(body);
    let list: RawList = serde_json::from_str(&text).map_err(|err| HostListError::Malformed {
        reason: err.to_string().into(),
    })?;
    Ok(HostList {
        revision: list.revision,
        hosts: list
            .hosts
            .iter()
            .filter_map(|raw| read_entry(raw))
            .collect(),
    })
}

fn read_entry(raw: &RawValue) -> Option<HostEntry> {
    let entry = serde_json::from_str(raw.get());
    entry
        .inspect_err(|err| warn!("entry of the host list is left out: {err}"))
        .ok()
}

fn unavailable(reason: impl Into<CompactString>) -> HostListError {
    HostListError::Unavailable {
        reason: reason.into(),
    }
}
