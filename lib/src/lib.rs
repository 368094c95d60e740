//! Decision core, adapters and runtime of the cardamomshift router fleet.
//!
//! The decisions (`configuration`, `host`, `pool`) are deterministic: they take the time and an
//! event and give actions, without input or output of their own. Adapters around them speak to
//! callers, backend servers, the platform, operators and the other hosts.

pub mod backend_server;
pub mod configuration;
pub mod control;
pub mod entry;
pub mod gateway;
pub mod host;
pub mod id;
pub mod ledger;
pub mod message;
pub mod metrics;
pub mod node;
pub mod operation;
pub mod operator;
pub mod peer;
pub mod permit;
pub mod platform;
pub mod pool;
pub mod request;
pub mod runtime;
pub mod settings;
pub mod status;
pub mod time;
