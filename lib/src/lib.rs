//! Core of the cardamomshift router fleet: entry hosts that accept HTTP requests from callers and
//! route each to a backend server.
//!
//! The modules that make decisions, such as [`configuration`], [`host`] and [`pool`], are
//! deterministic: they take the current time and an event, return actions, and do no I/O. Adapters
//! such as [`gateway`], [`platform`], [`operator`] and [`peer`] communicate with callers, backend
//! servers, the platform, operators and other hosts. [`runtime`] connects them into one host.
//! [`entry`] is a separate kind of entry host, whose platform formats an adapter crate supplies.

pub mod backend_server;
pub mod configuration;
pub mod control;
pub mod crashing;
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
