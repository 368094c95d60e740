//! The links over which a host hands requests over, one for each other host that helps it.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
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

use super::link::LinkEnd;
use super::link::NewLink;
use super::stream::Stream;

/// Path at which a host accepts links, at its address for other hosts.
pub(crate) const LINK_PATH: &str = "/handover";
/// Name of the protocol to which the connection is upgraded.
pub(crate) const LINK_PROTOCOL: HeaderValue = HeaderValue::from_static("cardamomshift-handover");
/// Longest time to connect to another host: many round trips within a failure domain.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after a failure until the next attempt to connect.
const RECONNECT_AFTER: Duration = Duration::from_secs(2);

/// Links to other hosts.
#[derive(Default)]
pub(crate) struct HandoverLinks {
    links: Mutex<HashMap<SocketAddr, Arc<tokio::sync::Mutex<Link>>>>,
}

/// A link to one host, if there is one.
#[derive(Default)]
struct Link {
    end: Option<Arc<LinkEnd>>,
    /// When to connect again after a failure.
    retry_at: Option<Instant>,
}

impl HandoverLinks {
    /// Opens a stream to the host at `to` with the first bytes of a request. `None` if the host cannot be
    /// reached; nothing was sent then.
    pub(super) async fn open(&self, to: SocketAddr, first: Bytes) -> Option<Stream> {
        let link = {
            let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
            links.entry(to).or_default().clone()
        };
        // Requests that come while a link is being established wait for it.
        let mut link = link.lock().await;
        link.end(to).await?.open(first)
    }
}

impl Link {
    /// The end of an open link, which is established first if there is none.
    async fn end(&mut self, to: SocketAddr) -> Option<&Arc<LinkEnd>> {
        let now = Instant::now();
        if let Some(end) = self.end.take_if(|end| end.is_closed())
            && end.was_given_up()
        {
            info!(target: "peer", peer = to.to_string(); "link for handed-over requests given up");
            self.retry_at = Some(now + RECONNECT_AFTER);
        }
        if self.end.is_none() {
            if self.retry_at.is_some_and(|at| now < at) {
                return None;
            }
            match tokio::time::timeout(CONNECT_TIMEOUT, connect(to)).await {
                Ok(Ok(io)) => self.end = Some(start(io)),
                failed => {
                    let reason = match failed {
                        Ok(Err(err)) => err.to_string(),
                        _ => format!("no connection within {} ms", CONNECT_TIMEOUT.as_millis()),
                    };
                    info!(target: "peer", peer = to.to_string(), reason = reason.as_str();
                        "no link for handed-over requests");
                    self.retry_at = Some(Instant::now() + RECONNECT_AFTER);
                }
            }
        }
        self.end.as_ref()
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
