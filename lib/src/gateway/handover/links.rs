//! The links over which a host hands requests over, one for each other host that helps it.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use axum::body::Body;
use axum::http::HeaderValue;
use axum::http::Request;
use axum::http::StatusCode;
use axum::http::header;
use bytes::Bytes;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use log::info;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::link::LinkEnd;
use super::link::NewLink;
use super::stream::Stream;

/// Path at which a host accepts links, at its address for other hosts.
pub(crate) const LINK_PATH: &str = "/handover";
/// Name of the protocol to which the connection is upgraded.
pub(crate) const LINK_PROTOCOL: HeaderValue = HeaderValue::from_static("cardamomshift-handover");
/// Longest time to establish a link. It covers the delays of a host that is behind its work, which has to look at
/// the connection several times until the link is there.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after a failure until the next attempt to connect.
const RECONNECT_AFTER: Duration = Duration::from_secs(2);

/// Links to other hosts.
#[derive(Default)]
pub(crate) struct HandoverLinks {
    links: Mutex<HashMap<SocketAddr, Link>>,
}

/// A link to one host.
enum Link {
    /// It is being established. The channel is closed afterwards.
    Connecting(watch::Receiver<()>),
    Open(Arc<LinkEnd>),
    Failed {
        /// When to connect again.
        retry_at: Instant,
    },
}

impl HandoverLinks {
    /// Opens a stream to the host at `to` with the first bytes of a request, on a link that is established first
    /// if there is none. `None` if the host cannot be reached; nothing was sent then.
    pub(super) async fn open(self: &Arc<Self>, to: SocketAddr, first: Bytes) -> Option<Stream> {
        loop {
            let mut connecting = match self.link(to) {
                Link::Open(end) => return end.open(first),
                Link::Failed { .. } => return None,
                Link::Connecting(connecting) => connecting,
            };
            // The error says that the channel is closed.
            let _ = connecting.changed().await;
        }
    }

    fn links(&self) -> MutexGuard<'_, HashMap<SocketAddr, Link>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The present link to a host. Begins to establish one if it is time to.
    fn link(self: &Arc<Self>, to: SocketAddr) -> Link {
        let now = Instant::now();
        let mut links = self.links();
        match links.get(&to) {
            Some(Link::Open(end)) if !end.is_closed() => return Link::Open(end.clone()),
            Some(Link::Open(end)) if end.was_given_up() => {
                info!(target: "peer", peer = to.to_string(); "link for handed-over requests given up");
                let retry_at = now + RECONNECT_AFTER;
                links.insert(to, Link::Failed { retry_at });
                return Link::Failed { retry_at };
            }
            Some(Link::Failed { retry_at }) if now < *retry_at => {
                let retry_at = *retry_at;
                return Link::Failed { retry_at };
            }
            Some(Link::Connecting(connecting)) => return Link::Connecting(connecting.clone()),
            Some(Link::Open(_) | Link::Failed { .. }) | None => {}
        }
        let (tx, rx) = watch::channel(());
        links.insert(to, Link::Connecting(rx.clone()));
        tokio::spawn(self.clone().establish(to, tx));
        Link::Connecting(rx)
    }

    /// Establishes a link. Requests wait for it until `_connecting` is dropped.
    async fn establish(self: Arc<Self>, to: SocketAddr, _connecting: watch::Sender<()>) {
        let link = match tokio::time::timeout(CONNECT_TIMEOUT, connect(to)).await {
            Ok(Ok(io)) => Link::Open(start(io)),
            failed => {
                let reason = match failed {
                    Ok(Err(err)) => err.to_string(),
                    _ => format!("no connection within {} ms", CONNECT_TIMEOUT.as_millis()),
                };
                info!(target: "peer", peer = to.to_string(), reason = reason.as_str();
                    "no link for handed-over requests");
                let retry_at = Instant::now() + RECONNECT_AFTER;
                Link::Failed { retry_at }
            }
        };
        self.links().insert(to, link);
    }
}

/// Runs a link on a connection in a task of its own.
fn start(io: impl AsyncRead + AsyncWrite + Send + 'static) -> Arc<LinkEnd> {
    let link = NewLink::new();
    let end = link.end.clone();
    // The other host opens no streams; one that it opens all the same is given up.
    tokio::spawn(link.run(io, |stream, _| drop(stream)));
    end
}

/// Connects to another host and upgrades the connection to a link.
async fn connect(to: SocketAddr) -> io::Result<impl AsyncRead + AsyncWrite + Send + 'static> {
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    let (mut sender, driver) = http1::handshake::<_, Body>(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(driver.with_upgrades());
    let req = Request::get(LINK_PATH)
        .header(header::HOST, to.to_string())
        .header(header::CONNECTION, "upgrade")
        .header(header::UPGRADE, LINK_PROTOCOL)
        .body(Body::empty())
        .map_err(io::Error::other)?;
    let response = sender.send_request(req).await.map_err(io::Error::other)?;
    if response.status() != StatusCode::SWITCHING_PROTOCOLS {
        return Err(io::Error::other(format!("status {}", response.status())));
    }
    let upgraded = hyper::upgrade::on(response).await;
    upgraded.map(TokioIo::new).map_err(io::Error::other)
}
