//! Requests of callers that make every server that runs them crash: how they are recognized, and when
//! they are held back.
//!
//! Entry hosts of the platform and the gateways of the product's own interface both send requests to
//! servers, and use these decisions.

mod digest;
mod quarantine;

pub use digest::RequestDigest;
pub use quarantine::RequestClearance;
pub use quarantine::RequestCrash;
pub use quarantine::RequestQuarantine;
pub use quarantine::RequestQuarantineChange;
pub use quarantine::SentRequest;
pub use quarantine::SuspectRequest;
