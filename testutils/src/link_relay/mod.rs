//! TCP relays that stand for the network between hosts and can be cut, silenced or slowed.

mod network;

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

pub use network::Link;
pub use network::LinkState;
pub use network::Network;

use crate::server::bind;
use crate::server::runtime;

/// Bytes read at once.
const CHUNK_BYTES: usize = 64 << 10;
/// Chunks under way in one direction of a connection.
const MAX_CHUNKS_IN_FLIGHT: usize = 256;
/// Pause after a failed accept.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// A relay in front of one listener, running until it is dropped.
#[derive(Debug)]
pub struct LinkRelay {
    address: SocketAddr,
    stop: CancellationToken,
}

/// Where a relay leads and which link its connections belong to.
#[derive(Clone, Debug)]
pub struct LinkRoute {
    /// Source of every connection; the address that a connection comes from if absent.
    pub source: Option<IpAddr>,
    /// Destination that the links are known by.
    pub destination: IpAddr,
    /// Listener behind the relay.
    pub target: SocketAddr,
    /// The network that decides about the links.
    pub network: Network,
}

impl LinkRelay {
    /// Starts a relay.
    ///
    /// # Panics
    ///
    /// Panics if the address cannot be had.
    pub fn start(addr: SocketAddr, route: LinkRoute) -> Self {
        let (listener, address) = bind(addr);
        let stop = CancellationToken::new();
        runtime().spawn(accept_loop(listener, route, stop.clone()));
        Self { address, stop }
    }

    /// Address of the relay.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for LinkRelay {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn accept_loop(listener: TcpListener, route: LinkRoute, stop: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, from)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        let route = route.clone();
        let stop = stop.clone();
        tokio::spawn(async move {
            let link = Link {
                source: route.source.unwrap_or(from.ip()),
                destination: route.destination,
            };
            tokio::select! {
                () = stop.cancelled() => {}
                () = route.network.wait_until_cut(link) => {}
                // A connection that ends in an error is one that its ends broke.
                _ = relay(stream, link, &route) => {}
            }
        });
    }
}

async fn relay(caller: TcpStream, link: Link, route: &LinkRoute) -> io::Result<()> {
    let network = &route.network;
    network.wait_until_passable(link).await;
    let listener = TcpStream::connect(route.target).await?;
    caller.set_nodelay(true)?;
    listener.set_nodelay(true)?;
    let (caller_rx, caller_tx) = caller.into_split();
    let (listener_rx, listener_tx) = listener.into_split();
    tokio::try_join!(
        forward(caller_rx, listener_tx, link, network),
        forward(listener_rx, caller_tx, link, network),
    )?;
    Ok(())
}

/// Passes one direction of a connection on, each chunk after the delay of its link.
async fn forward(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    link: Link,
    network: &Network,
) -> io::Result<()> {
    let (due_tx, mut due_rx) = mpsc::channel::<(Instant, Bytes)>(MAX_CHUNKS_IN_FLIGHT);
    let read = async {
        loop {
            let mut buf = BytesMut::with_capacity(CHUNK_BYTES);
            if rx.read_buf(&mut buf).await? == 0 {
                break;
            }
            let send_at = Instant::now() + network.delay(link);
            if due_tx.send((send_at, buf.freeze())).await.is_err() {
                break;
            }
        }
        drop(due_tx);
        Ok::<(), io::Error>(())
    };
    let write = async {
        while let Some((send_at, chunk)) = due_rx.recv().await {
            if send_at > Instant::now() {
                tokio::time::sleep_until(send_at.into()).await;
            }
            network.wait_until_passable(link).await;
            network.count_bytes(link, chunk.len());
            tx.write_all(&chunk).await?;
        }
        tx.shutdown().await
    };
    tokio::try_join!(read, write)?;
    Ok(())
}
