//! Entry hosts (the hosts that accept requests): the host list, which is maintained by the platform
//! (the external system that the fleet runs on), and membership, which detects the hosts that are
//! alive and assigns roles to them, such as scheduling the requests to a service.

mod findings;
mod hold_down;
mod host_list;
mod membership;
mod outgoing;
mod query;
mod record;
mod rendezvous;
mod ring;

pub use host_list::HostEntry;
pub use host_list::HostList;
pub use host_list::HostState;
pub use host_list::ListedService;
pub use host_list::Role;
pub use host_list::ServiceKind;
pub use membership::FULL_MESH_HOSTS;
pub use membership::Membership;
pub use membership::MembershipChange;
pub use membership::MembershipTick;
pub use membership::TICK_INTERVAL;
pub use rendezvous::rendezvous;
