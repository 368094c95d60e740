//! Slots of cold backend servers, and the home hosts that give them out.
//!
//! Two schedulers of one shard may be at work at once. A slot of a cold server has one home host,
//! which gives it to one request at a time, so their sum stays within what the server bears.

mod slot_home;

pub use slot_home::SlotGateways;
pub use slot_home::SlotHome;
pub use slot_home::slot_home;
