//! Requests of callers that make every server that runs them crash: how they are recognized, and when
//! they are held back.
//!
//! Entry hosts of the platform and the gateways of the product's own interface both send requests to
//! servers, and use these decisions.

use std::time::Duration;

mod digest;
mod quarantine;

pub use digest::RequestDigest;
pub use quarantine::RequestClearance;
pub use quarantine::RequestCrash;
pub use quarantine::RequestQuarantine;
pub use quarantine::RequestQuarantineChange;
pub use quarantine::SentRequest;
pub use quarantine::SuspectRequest;

/// A server whose response still goes on this long after its first bytes has survived the request. One
/// that a request ends may have sent many events before.
pub const SURVIVAL_SPAN: Duration = Duration::from_secs(5);
