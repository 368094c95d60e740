//! Boundary between the control thread and the traffic threads.

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
