//! Requests of callers: taken in, sent to backend servers, and answered.
//!
//! The gateway runs on the traffic threads. It learns from the control thread where a request
//! may go and tells it how the request ended; nothing else joins the two.

mod auth;
mod backend;
mod dispatch;
mod error_code;
mod error_response;
mod estimate;
mod headers;
mod http2_body;
mod keyed;
mod model;
mod preface;
mod request;
mod request_counter;
mod response;
mod response_body;
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

use self::auth::Authenticator;
pub(crate) use self::backend::BackendPool;
pub(crate) use self::backend::ConnectError;
pub(crate) use self::backend::Connection;
pub(crate) use self::backend::Written;
use self::dispatch::Shared;
pub use self::error_code::ErrorCode;
pub use self::error_response::Outcome;
pub(crate) use self::headers::end_to_end;
use self::routes::RouterState;
use self::routes::router;
pub(crate) use self::server::ConnectionLimits;
pub(crate) use self::server::Server;
use self::waiting::WaitingLimit;
use crate::control::ControlHandle;
use crate::metrics::Metrics;
use crate::operation::Records;
use crate::settings::LimitSettings;
use crate::time::Clock;

/// What a gateway is made of.
pub struct GatewayParts {
    /// Where callers connect.
    pub listener: TcpListener,
    /// The control thread.
    pub control: ControlHandle,
    /// Limits on callers and backend servers.
    pub limits: LimitSettings,
    /// The clock that the control thread uses, too.
    pub clock: Clock,
    /// Records of keyed operations.
    pub records: Arc<Records>,
    /// Measurements of the host.
    pub metrics: Arc<Metrics>,
    /// Turns true, or closes, when no new connection is to be accepted.
    pub stop: watch::Receiver<bool>,
}

/// Serves callers.
pub struct Gateway {
    server: Server,
}

impl Gateway {
    /// Puts a gateway together.
    ///
    /// # Errors
    ///
    /// Gives the system's error if it has no random numbers for the request identifiers.
    pub fn new(parts: GatewayParts) -> Result<Self, getrandom::Error> {
        let shared = Arc::new(Shared {
            control: parts.control,
            limits: parts.limits.clone(),
            clock: parts.clock,
            metrics: parts.metrics.clone(),
            pool: BackendPool::new(parts.clock, usize::MAX),
            estimates: Arc::default(),
            waiting: WaitingLimit::new(parts.limits.waiting_per_workspace),
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
            server: Server {
                listener: parts.listener,
                router: router(Arc::new(state)),
                limits: Box::new(move || limits),
                connections: parts.metrics.connections.clone(),
                connections_refused: parts.metrics.connections_refused.clone(),
                stop: parts.stop,
            },
        })
    }

    /// Serves until the stop, then until the open requests have ended or the drain timeout.
    pub async fn serve(self) {
        self.server.run().await;
    }
}
