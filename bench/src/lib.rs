//! Demonstration, load generator and measurements of a cardamomshift fleet.
//!
//! A fleet is a set of entry hosts that route the requests of workspaces (customers) to backend
//! servers: model engines and plain HTTP services. Everything runs on loopback: the hosts, the
//! callers, and stand-ins, which are test servers that take the place of the backend servers and of
//! the platform. Results are computed from the records of the stand-ins and the callers, not from
//! the hosts' own metrics.

pub mod baseline;
pub mod demo;
pub mod experiment;
pub mod fleet;
pub mod load;
pub mod measure;
pub mod operator;
