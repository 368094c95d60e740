//! Load generator: callers that send requests, check the responses, and record every call.

mod caller;
mod check;
mod generator;
mod summary;
mod work;

pub use caller::Caller;
pub use caller::HttpClient;
pub use caller::http_client;
pub use check::StreamCheck;
pub use check::check_json_response;
pub use generator::Arrivals;
pub use generator::Load;
pub use generator::WorkspaceLoad;
pub use summary::CallSummary;
pub use summary::Latency;
pub use summary::summarize;
pub use work::ModelWork;
pub use work::PlainWork;
pub use work::Request;
pub use work::Work;
