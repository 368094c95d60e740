//! Clients of the platform: the object API and the host list.

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
pub(crate) use http::format_error_chain;
pub use object::CONFIGURATION_KIND;
pub use object::CONFIGURATION_NAME;
pub use object::MAX_OBJECT_BYTES;
pub use object::OPERATION_KIND;
pub use object::Object;
pub use object::ObjectClient;
pub use object::ObjectError;
