//! Permits for the slots of cold backend servers.
//!
//! A server is cold while it is unknown how many requests it can run at once: it gets one request
//! at a time, and a growing number while it warms up. A scheduler, which decides when a waiting
//! request may be dispatched and to which server, enforces this limit, but two schedulers may be
//! active for the same servers at once, for example while hosts disagree on which hosts are alive.
//! Therefore each unit of the limit is a numbered slot, and each slot has one home host. A gateway
//! (the part of a host that accepts callers' requests and dispatches them) must get a permit from
//! the home host before it dispatches a request to the slot. The home host grants a slot to one
//! request at a time, so that two schedulers together stay within the server's limit.

mod slot_home;

pub use slot_home::SlotGateways;
pub use slot_home::SlotHome;
pub use slot_home::slot_home;
