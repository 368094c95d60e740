//! Interface between the traffic threads and the control thread.
//!
//! The traffic threads handle callers' connections and requests. The single control thread takes
//! part in the decision which request runs on which backend server, and passes the decision on. The
//! traffic threads send [`ControlRequest`]s to it over a channel, receive each decision on a
//! request as a [`Verdict`], and read the configuration, the services and the servers from
//! [`FleetView`] snapshots.

mod ticket;
mod view;

pub use ticket::ControlHandle;
pub use ticket::ControlRequest;
pub use ticket::DispatchOrder;
pub use ticket::EndReport;
pub use ticket::RequestSpec;
pub use ticket::Ticket;
pub use ticket::TicketKey;
pub use ticket::Verdict;
pub use view::FleetView;
pub use view::ServerEntry;
pub use view::ServiceEntry;
