//! HTTP header fields that the gateway reads, sets, removes or stores.

use axum::http::HeaderMap;
use axum::http::HeaderName;
use axum::http::header;

use crate::operation::StoredHeader;

/// Identifier of a request. A backend server must repeat it in its response, so that a response to
/// another request is detected.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Class of a request (kind of work with a limit on its waiting time), named by the caller.
pub(crate) const CLASS: HeaderName = HeaderName::from_static("x-cardamomshift-class");
/// Instance name in a backend server's response. It changes when the server restarts.
pub(crate) const INSTANCE: HeaderName = HeaderName::from_static("x-instance");
/// Set to `true` by a backend server that refused a request without running it.
pub(crate) const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
/// Caller's key for an operation that must run at most once.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Set to `true` on a stored response that is sent again.
pub(crate) const REPLAYED: HeaderName = HeaderName::from_static("idempotent-replayed");

/// Header fields that are stored with the response of a keyed operation.
const STORED: [HeaderName; 6] = [
    header::CONTENT_TYPE,
    header::CONTENT_ENCODING,
    header::CONTENT_LANGUAGE,
    header::LOCATION,
    header::ETAG,
    header::LAST_MODIFIED,
];

/// Hop-by-hop fields, which apply to one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Returns the fields of a request that are forwarded to the backend server: without the caller's
/// credentials, fields for the gateway alone, and fields that the gateway or its HTTP client sets.
pub(crate) fn for_backend(caller: &HeaderMap) -> HeaderMap {
    let mut headers = end_to_end(caller);
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::PROXY_AUTHORIZATION);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    headers.remove(header::HOST);
    headers.remove(CLASS);
    headers.remove(REQUEST_ID);
    headers
}

/// Returns the fields of a response that are forwarded to the caller: without those that the
/// backend server sets for the gateway alone.
pub(crate) fn for_caller(response: &HeaderMap) -> HeaderMap {
    let mut headers = end_to_end(response);
    headers.remove(INSTANCE);
    headers.remove(NOT_RUN);
    headers
}

/// Returns the fields that are stored with a response. Values that are not ASCII text are omitted.
pub(crate) fn stored(response: &HeaderMap) -> Vec<StoredHeader> {
    STORED
        .iter()
        .filter_map(|name| {
            Some(StoredHeader {
                name: name.as_str().into(),
                value: response.get(name)?.to_str().ok()?.into(),
            })
        })
        .collect()
}

/// Returns the fields without the hop-by-hop ones and those named by `connection`.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    let named: Vec<_> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|list| list.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        kept.remove(name);
    }
    kept
}
