//! Entry hosts: what the host list says of them, and which of them are alive.

mod hearsay;
mod hold_down;
mod listing;
mod membership;
mod outgoing;
mod query;
mod record;
mod rendezvous;
mod ring;

pub use listing::HostEntry;
pub use listing::HostList;
pub use listing::HostState;
pub use listing::ListedService;
pub use listing::Role;
pub use listing::ServiceKind;
pub use membership::FULL_MESH_HOSTS;
pub use membership::Membership;
pub use membership::MembershipChange;
pub use membership::MembershipTick;
pub use membership::TICK_INTERVAL;
pub use rendezvous::rendezvous;
