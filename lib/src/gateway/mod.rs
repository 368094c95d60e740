//! HTTP proxy between callers and backend servers: accepts requests, forwards each to the backend
//! server that the scheduler chose, and relays the response.
//!
//! There are two kinds of services: *model* services are language models with an OpenAI-compatible
//! interface, and *plain* services are other HTTP services.
//!
//! The gateway runs on the traffic threads. For each request it asks the control thread (through
//! [`ControlHandle`]) which backend server may be used, and reports back how the request ended. The
//! gateway and the control thread share no other mutable state.

mod accept;
mod auth;
mod backend;
mod caller_socket;
mod dispatch;
mod error_code;
mod error_response;
mod estimate;
mod handover;
mod headers;
mod held_body;
mod http2_body;
mod idle_connections;
mod keyed;
mod memory_budget;
mod model;
mod own_port;
mod preface;
mod request;
mod request_counter;
mod response;
mod response_body;
mod response_head;
mod routes;
mod run_flag;
mod running;
mod scan;
mod server;
mod waiting;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use tokio::net::TcpListener;
use tokio::sync::watch;

pub(crate) use self::accept::Accepted;
pub(crate) use self::accept::AcceptedConnection;
pub(crate) use self::accept::ConnectionDecision;
pub(crate) use self::accept::Refusing;
use self::accept::accept_in_task;
pub(crate) use self::accept::accept_on_thread;
pub(crate) use self::accept::limit_receive_buffers;
use self::auth::Authenticator;
pub(crate) use self::backend::BackendPool;
pub(crate) use self::backend::ConnectError;
pub(crate) use self::backend::Connection;
pub(crate) use self::backend::READY_TIMEOUT;
pub(crate) use self::backend::Written;
use self::dispatch::Shared;
pub use self::error_code::ErrorCode;
pub use self::error_response::Outcome;
pub(crate) use self::handover::EndGuard;
pub(crate) use self::handover::HandedOver;
pub(crate) use self::handover::Handover;
pub(crate) use self::handover::HandoverLinks;
pub(crate) use self::handover::HandoverOutcome;
pub(crate) use self::handover::LINK_PATH;
pub(crate) use self::handover::LINK_PROTOCOL;
pub(crate) use self::headers::end_to_end;
pub(crate) use self::held_body::BodyFault;
pub(crate) use self::held_body::HeldBody;
pub(crate) use self::held_body::read_held_body;
pub use self::memory_budget::BodyMemory;
pub use self::memory_budget::HeldBytes;
pub use self::memory_budget::HeldParts;
pub use self::memory_budget::MemoryBudget;
pub use self::memory_budget::MemoryChange;
pub use self::memory_budget::MemoryShort;
pub(crate) use self::own_port::PortLimits;
pub(crate) use self::own_port::serve_port;
pub(crate) use self::response_head::check_response_head;
use self::routes::RouterState;
use self::routes::router;
use self::server::BUFFER_BYTES;
pub(crate) use self::server::ConnectionLimits;
pub(crate) use self::server::Server;
use self::waiting::WaitingLimit;
use crate::control::ControlHandle;
use crate::metrics::Metrics;
use crate::operation::Records;
use crate::settings::LimitSettings;
use crate::time::Clock;

/// Everything that a [`Gateway`] needs to run.
pub struct GatewayParts {
    /// Listener for callers' connections.
    pub listener: TcpListener,
    /// Channel to the control thread, which schedules requests.
    pub control: ControlHandle,
    /// Sizes, counts and timeouts for callers and backend servers.
    pub limits: LimitSettings,
    /// Clock shared with the control thread, so that deadlines can be compared.
    pub clock: Clock,
    /// Stored records of requests with an idempotency key.
    pub records: Arc<Records>,
    /// Metrics of this host.
    pub metrics: Arc<Metrics>,
    /// Set to `true`, or closed, when no new connections are to be accepted.
    pub stop: watch::Receiver<bool>,
}

/// HTTP proxy that serves the callers' connections on one listener.
pub struct Gateway {
    listener: TcpListener,
    server: Server,
}

impl Gateway {
    /// Creates a gateway that does not serve yet; see [`Gateway::serve`].
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if it cannot provide random bytes for the prefix of
    /// request identifiers.
    pub fn new(parts: GatewayParts) -> Result<Self, getrandom::Error> {
        limit_receive_buffers(&parts.listener, BUFFER_BYTES);
        let shared = Arc::new(Shared {
            control: parts.control,
            limits: parts.limits.clone(),
            clock: parts.clock,
            metrics: parts.metrics.clone(),
            // No limit on the open connections to backend servers.
            pool: BackendPool::new(parts.clock, usize::MAX, BUFFER_BYTES),
            estimates: Arc::default(),
            body_memory: BodyMemory::new(MemoryBudget::new(parts.limits.held_body_bytes)),
            waiting: WaitingLimit::new(parts.limits.waiting_per_workspace),
            quarantine: Arc::default(),
        });
        let state = RouterState {
            shared,
            records: parts.records,
            authenticator: Authenticator::default(),
            id_prefix: getrandom::u64()?,
            next_id: AtomicU64::new(0),
        };
        let limits = ConnectionLimits::from(&parts.limits);
        Ok(Self {
            listener: parts.listener,
            server: Server {
                router: router(Arc::new(state)),
                limits: Box::new(move || limits),
                // Bodies have a limit of their own.
                has_room: Box::new(|_| true),
                close_idle: Arc::default(),
                connections: parts.metrics.connections.clone(),
                connections_refused: parts.metrics.connections_refused.clone(),
                stop: parts.stop,
            },
        })
    }

    /// Serves until the stop signal, then waits until the open requests have ended or the drain
    /// timeout has passed.
    pub async fn serve(self) {
        let accepted = accept_in_task(self.listener, self.server.stop.clone());
        self.server.run(accepted).await;
    }
}
