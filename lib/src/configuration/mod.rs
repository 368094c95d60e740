//! The configuration: workspaces, classes of work, and what operators have taken out of service.

mod document;

pub use document::ChangeRecord;
pub use document::Class;
pub use document::Configuration;
pub use document::Workspace;
