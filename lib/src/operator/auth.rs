//! Authenticates operators by a shared key in the `Authorization` header.

use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::header::AUTHORIZATION;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use super::error_response::ErrorResponse;
use super::wire::ErrorCode;
use crate::settings::Secret;

/// Prefix of the header value, before the key.
const SCHEME: &str = "Bearer ";

/// Middleware that answers a request without the operators' key with `401 Unauthorized`, and passes
/// any other request on to `next`.
pub(super) async fn require_key(State(key): State<Secret>, req: Request, next: Next) -> Response {
    if !presents_key(req.headers(), &key) {
        let message = "present the operators' key as `Authorization: Bearer KEY`";
        return ErrorResponse::new(ErrorCode::Unauthorized, message).into_response();
    }
    next.run(req).await
}

/// Whether the `Authorization` header carries the expected key.
fn presents_key(headers: &HeaderMap, key: &Secret) -> bool {
    let Some(value) = headers.get(AUTHORIZATION) else {
        return false;
    };
    let Some(presented) = value.as_bytes().strip_prefix(SCHEME.as_bytes()) else {
        return false;
    };
    // All hashes have the same length, so the duration of the comparison reveals neither the key
    // nor its length.
    let expected = Sha256::digest(key.expose());
    Sha256::digest(presented).ct_eq(&expected).into()
}
