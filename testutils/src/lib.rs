//! Test doubles of the systems around a cardamomshift fleet, and checks of what they record.
//!
//! cardamomshift routes the requests of workspaces (customers) to backend servers: model engines
//! and plain HTTP services. A stand-in is a test server that takes the place of a backend server,
//! of the platform's host list or object API, or of a network link. Each one listens on a loopback
//! socket, runs on threads apart from the code under test, and stops when it is dropped. It records
//! the calls that it received, with times of one clock ([`now_us`]). A cloneable handle injects
//! faults and reads the records while it runs.
//!
//! [`history`] checks these records and the callers' records for violations such as an operation
//! that ran twice. [`SimulatedEngine`] models a model engine without sockets or real time.

pub mod history;

mod clock;
mod fault;
mod host_list;
mod link_relay;
mod model_engine;
mod object_api;
mod plain_service;
mod server;
mod simulated_engine;

pub use clock::now_us;
pub use fault::ResponseFault;
pub use host_list::HostListApi;
pub use host_list::HostListHandle;
pub use link_relay::Link;
pub use link_relay::LinkRelay;
pub use link_relay::LinkRoute;
pub use link_relay::LinkState;
pub use link_relay::Network;
pub use model_engine::EngineHandle;
pub use model_engine::EngineOutcome;
pub use model_engine::EngineProfile;
pub use model_engine::EngineRecord;
pub use model_engine::ModelEngine;
pub use model_engine::OverloadViolation;
pub use model_engine::TokenSample;
pub use model_engine::response_nonce;
pub use model_engine::token_text;
pub use object_api::ObjectApi;
pub use object_api::ObjectApiCounts;
pub use object_api::ObjectApiHandle;
pub use object_api::ObjectWrite;
pub use object_api::Outage;
pub use plain_service::Execution;
pub use plain_service::ExecutionOutcome;
pub use plain_service::PlainProfile;
pub use plain_service::PlainService;
pub use plain_service::PlainServiceHandle;
pub use simulated_engine::EngineEvent;
pub use simulated_engine::EngineEventKind;
pub use simulated_engine::EngineRequest;
pub use simulated_engine::SimulatedEngine;
pub use simulated_engine::SimulatedEngineProfile;
