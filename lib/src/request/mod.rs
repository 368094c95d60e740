//! Requests that a gateway has accepted, from their bid to their end.

mod accounts;
mod grants;
mod open;
mod table;

pub use accounts::Accounts;
pub use open::OpenRequest;
pub use open::RequestState;
pub use table::RequestAction;
pub use table::RequestTable;
pub use table::Routing;
