//! Demonstration, load and measurements of a cardamomshift fleet.
//!
//! Everything runs on loopback: stand-ins for the platform and the backend servers, the hosts of
//! the fleet, and callers. Figures come from what stand-ins and callers recorded.

pub mod baseline;
pub mod demo;
pub mod experiment;
pub mod fleet;
pub mod load;
pub mod measure;
pub mod operator;
