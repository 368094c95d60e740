//! Decision core, adapters and runtime of the cardamomshift router fleet.
//!
//! The decisions (`configuration`, `host`, `pool`) are deterministic: they take the time and an
//! event and give actions, without input or output of their own. Adapters around them speak to
//! callers, backend servers, the platform, operators and the other hosts.

pub mod configuration;
pub mod control;
pub mod host;
pub mod id;
pub mod message;
pub mod operator;
pub mod platform;
pub mod pool;
pub mod request;
pub mod settings;
pub mod status;
pub mod time;
