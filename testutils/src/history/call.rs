//! What callers recorded.

use super::Violation;

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A clean end after the whole of its own answer.
    Complete,
    /// A clean end after an answer that belongs to another request.
    Mismatched,
    /// A clean end after a part of its own answer.
    Partial,
    /// A refusal that says that the request was not run, with its code.
    NotRun(String),
    /// An error that says that the outcome is unknown, with its code.
    Unknown(String),
    /// An error that says neither, with its HTTP status.
    Rejected(u16),
    /// The connection broke or the answer ended in an error.
    Broken,
    /// The caller itself gave up at the end of the run.
    Unfinished,
}

/// One call of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// Name of the workspace.
    pub workspace: String,
    /// Number of the host that was called.
    pub host: usize,
    /// Name of the operation; calls that repeat an operation share it.
    pub operation: String,
    /// Nonce of the prompt of a model request, zero for a plain service.
    pub nonce: u64,
    /// When the call was sent.
    pub sent: u64,
    /// When the first byte of the answer body arrived.
    pub first_byte: Option<u64>,
    /// When it ended.
    pub end: u64,
    /// Tokens in the answer of a model.
    pub tokens: u32,
    /// How it ended.
    pub outcome: CallOutcome,
}

/// Finds calls that took a foreign or partial answer for their whole own one.
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
