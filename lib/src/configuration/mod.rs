//! The configuration of the fleet: workspaces (customers), classes of requests, and the failure
//! domains and backend servers that operators have taken out of service.
//!
//! The platform, the external system that the fleet runs on, stores the configuration as one JSON
//! object, whose version is called the revision. An [`Editor`] writes operators' changes to it. On
//! each host a [`Follower`] holds the revision in force there, the one by which the host serves
//! requests.

mod change;
mod delta;
mod difference;
mod document;
mod editor;
mod follower;
mod lookup;
mod name;
mod store;
mod stored;

pub use change::Change;
pub use change::ChangeError;
pub use change::MAX_CHANGE_ID_BYTES;
pub use change::MAX_CHANGE_RECORDS;
pub use change::MAX_CLASSES;
pub use change::MAX_TARGET_MS;
pub use change::fingerprint;
pub use difference::Difference;
pub use difference::differences;
pub use document::ChangeRecord;
pub use document::Class;
pub use document::Configuration;
pub use document::Workspace;
pub use editor::Accepted;
pub use editor::ChangeRequest;
pub use editor::EditError;
pub use editor::Editor;
pub use editor::Effect;
pub use follower::Follower;
pub use lookup::hash_key;
pub use name::MAX_NAME_BYTES;
pub use store::ConfigurationStore;
pub use stored::DocumentError;
pub use stored::MAX_DOCUMENT_BYTES;
