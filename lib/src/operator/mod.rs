//! The operators' interface of a host: status, configuration and changes, as JSON over HTTP.

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

/// What the operators' interface works with.
#[derive(Clone, Debug)]
pub struct OperatorParts {
    /// Name of the host.
    pub host: CompactString,
    /// Key that operators present.
    pub key: Secret,
    /// Control thread of the host.
    pub control: ControlHandle,
    /// Editor of the stored configuration.
    pub editor: Editor,
}
