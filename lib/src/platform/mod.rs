//! Clients of the platform, the external system that the fleet runs on.
//!
//! The platform offers an object API, which stores versioned objects such as the configuration of
//! the fleet, and a host list, which names the entry hosts and backend servers.

mod backoff;
mod host_list;
mod http;
mod object;

pub use backoff::Backoff;
pub use host_list::HostListClient;
pub use host_list::HostListError;
pub use http::CallError;
pub use http::CallOptions;
pub use http::HttpClient;
pub use http::Reply;
pub use http::encode_name;
pub(crate) use http::format_error_chain;
pub use object::CONFIGURATION_KIND;
pub use object::CONFIGURATION_NAME;
pub use object::MAX_OBJECT_BYTES;
pub use object::OPERATION_KIND;
pub use object::Object;
pub use object::ObjectClient;
pub use object::ObjectError;
