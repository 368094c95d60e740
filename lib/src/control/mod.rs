//! Interface between the traffic threads and the control thread.
//!
//! The traffic threads handle callers' connections and requests; the single control thread decides
//! which request runs where. They communicate over channels: the traffic threads send
//! [`ControlRequest`]s, receive each decision as a [`Verdict`], and read configuration and routes
//! from [`FleetView`] snapshots.

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
