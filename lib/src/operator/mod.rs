//! The operators' interface of a host: an HTTP API with JSON bodies that shows the status of the
//! fleet and the configuration, and accepts changes of the configuration.
//!
//! Every host offers the same interface. Operators authenticate with a shared key.

mod auth;
mod connection;
mod error_response;
mod handler;
mod revision_history;
mod wire;

use compact_str::CompactString;

pub use connection::serve;
pub use wire::ChangeBody;
pub use wire::ChangeResponse;
pub use wire::ConfigurationView;
pub use wire::DiffView;
pub use wire::EffectCode;
pub use wire::ErrorBody;
pub use wire::ErrorCode;
pub use wire::ErrorDetail;
pub use wire::HistoryView;
pub use wire::WorkspaceView;

use crate::configuration::Editor;
use crate::control::ControlHandle;
use crate::settings::Secret;

/// Dependencies of the operators' interface.
#[derive(Clone, Debug)]
pub struct OperatorParts {
    /// Name of this host in the host list.
    pub host: CompactString,
    /// Key by which operators authenticate.
    pub key: Secret,
    /// Handle on the control thread, which knows the status and the configuration in force.
    pub control: ControlHandle,
    /// Writes changes to the stored configuration.
    pub editor: Editor,
}
