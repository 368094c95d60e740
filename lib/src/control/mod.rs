//! Interface between the traffic threads and the control thread.
//!
//! The traffic threads handle callers' connections and requests; the single control thread decides
//! which request runs where. They share no locks: the traffic threads send [`ControlRequest`]s over
//! a channel, get each decision as a [`Verdict`], and read the rest from a [`FleetView`] snapshot.

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
