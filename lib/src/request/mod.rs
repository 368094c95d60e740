//! Requests that a gateway has accepted, from their bid to their end.
//!
//! Every entry host (a host that accepts requests) is a gateway for its callers. It sends a bid for
//! each request to the scheduler of a shard (one service in one failure domain), which grants it a
//! backend server. The gateway may also need a permit: the exclusive use of one slot, a unit of the
//! limit on concurrent requests of a server whose capacity is not learnt yet.

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
