//! Error responses to operators.

use axum::Json;
use axum::extract::rejection::JsonRejection;
use axum::extract::rejection::QueryRejection;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use compact_str::CompactString;
use compact_str::ToCompactString;

use super::wire::ErrorBody;
use super::wire::ErrorCode;
use super::wire::ErrorDetail;
use crate::configuration::EditError;

/// An HTTP error response: its status code follows from `code`, and its body is an [`ErrorBody`].
#[derive(Debug)]
pub(super) struct ErrorResponse {
    code: ErrorCode,
    message: CompactString,
}

impl ErrorResponse {
    pub(super) fn new(code: ErrorCode, message: impl Into<CompactString>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }
}

impl IntoResponse for ErrorResponse {
    fn into_response(self) -> Response {
        let error = ErrorDetail {
            code: self.code,
            message: self.message,
        };
        (status(self.code), Json(ErrorBody { error })).into_response()
    }
}

impl From<EditError> for ErrorResponse {
    fn from(err: EditError) -> Self {
        let code = match &err {
            EditError::Refused { .. } => ErrorCode::ChangeRefused,
            EditError::Document { .. } | EditError::NewerFormat => ErrorCode::ConfigurationUnusable,
            EditError::NotStored { .. } => ErrorCode::NotStored,
            EditError::Unknown { .. } => ErrorCode::OutcomeUnknown,
        };
        Self::new(code, err.to_compact_string())
    }
}

impl From<JsonRejection> for ErrorResponse {
    fn from(rejection: JsonRejection) -> Self {
        Self::new(ErrorCode::BadRequest, rejection.body_text())
    }
}

impl From<QueryRejection> for ErrorResponse {
    fn from(rejection: QueryRejection) -> Self {
        Self::new(ErrorCode::BadRequest, rejection.body_text())
    }
}

/// Returns the HTTP status for an error code.
fn status(code: ErrorCode) -> StatusCode {
    match code {
        ErrorCode::Unauthorized => StatusCode::UNAUTHORIZED,
        ErrorCode::NoSuchPath | ErrorCode::RevisionNotKept => StatusCode::NOT_FOUND,
        ErrorCode::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
        ErrorCode::BadRequest => StatusCode::BAD_REQUEST,
        ErrorCode::ChangeRefused => StatusCode::CONFLICT,
        ErrorCode::NotListed => StatusCode::UNPROCESSABLE_ENTITY,
        ErrorCode::NotStored
        | ErrorCode::ConfigurationUnusable
        | ErrorCode::NoConfiguration
        | ErrorCode::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        ErrorCode::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
    }
}
