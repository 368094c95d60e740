//! Entry hosts: what the host list says of them, and which of them are alive.

mod listing;
mod rendezvous;

pub use listing::HostEntry;
pub use listing::HostList;
pub use listing::HostState;
pub use listing::ListedService;
pub use listing::Role;
pub use listing::ServiceKind;
pub use rendezvous::rendezvous;
