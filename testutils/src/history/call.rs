//! Records of callers, and the check that no caller got a wrong or partial response as its own.

use super::Violation;

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Its own response arrived complete.
    Complete,
    /// A response that belongs to another request arrived and ended without an error.
    Mismatched,
    /// A part of its own response arrived and ended without an error.
    Partial,
    /// A refusal that states that the request was not run, with its error code.
    NotRun(String),
    /// An error that states that the outcome is unknown, with its error code.
    Unknown(String),
    /// An error that does not state whether the request was run, with its HTTP status.
    Rejected(u16),
    /// The connection broke or the response ended in an error.
    Broken,
    /// The caller stopped waiting because the test run ended.
    Unfinished,
}

/// One call, as its caller recorded it. Times are microseconds of [`crate::now_us`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// Name of the workspace.
    pub workspace: String,
    /// Index of the cardamomshift host that was called.
    pub host: usize,
    /// Name of the operation; retries of the same operation share it.
    pub operation: String,
    /// Nonce that the response of a model engine must repeat ([`crate::response_nonce`]), and that
    /// the engine's record of the request has too; zero for a call of a plain service.
    pub nonce: u64,
    /// When the call was sent.
    pub sent: u64,
    /// When the first byte of the response body arrived.
    pub first_byte: Option<u64>,
    /// When the call ended.
    pub end: u64,
    /// Tokens in the response of a model engine.
    pub tokens: u32,
    /// How the call ended.
    pub outcome: CallOutcome,
}

/// Finds calls that got a mismatched or partial response without an error. A caller would take
/// such a response for its own complete one.
pub fn check_responses(calls: &[CallRecord]) -> Vec<Violation> {
    calls
        .iter()
        .filter_map(|call| {
            let operation = call.operation.clone();
            match call.outcome {
                CallOutcome::Mismatched => Some(Violation::MismatchedResponse { operation }),
                CallOutcome::Partial => Some(Violation::PartialResponse { operation }),
                _ => None,
            }
        })
        .collect()
}
