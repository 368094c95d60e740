//! TCP relays in place of network links, to inject network faults between hosts.
//!
//! A relay listens in front of a real listener and forwards bytes in both directions. A link is all
//! connections from one IP address to another. The shared [`Network`] holds the state of every
//! link: open, slow, stalled or cut.

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

/// Bytes read at once at most.
const CHUNK_BYTES: usize = 64 << 10;
/// Chunks that are read but not yet forwarded, in one direction of a connection. They wait for the
/// delay of the link.
const MAX_CHUNKS_IN_FLIGHT: usize = 256;
/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// A relay in front of one listener; it runs until it is dropped.
#[derive(Debug)]
pub struct LinkRelay {
    address: SocketAddr,
    stop: CancellationToken,
}

/// Target of a relay, and the link that its connections belong to.
#[derive(Clone, Debug)]
pub struct LinkRoute {
    /// Source address of the link; if absent, the address that a connection comes from.
    pub source: Option<IpAddr>,
    /// Destination address of the link. It identifies the link and may differ from `target`.
    pub destination: IpAddr,
    /// Address that the relay connects to.
    pub target: SocketAddr,
    /// State of the links.
    pub network: Network,
}

impl LinkRelay {
    /// Starts a relay.
    ///
    /// # Panics
    ///
    /// Panics if the address cannot be bound.
    pub fn start(addr: SocketAddr, route: LinkRoute) -> Self {
        let (listener, address) = bind(addr);
        let stop = CancellationToken::new();
        runtime().spawn(accept_loop(listener, route, stop.clone()));
        Self { address, stop }
    }

    /// Address that the relay listens on.
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
                // Errors are expected: one end of the connection broke it.
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

/// Forwards one direction of a connection, each chunk after the delay of the link. Reading and
/// writing run concurrently, so that the delay adds latency without limiting the throughput to one
/// chunk at a time.
async fn forward(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    link: Link,
    network: &Network,
) -> io::Result<()> {
    let (queue_tx, mut queue_rx) = mpsc::channel::<(Instant, Bytes)>(MAX_CHUNKS_IN_FLIGHT);
    let read = async {
        loop {
            let mut buf = BytesMut::with_capacity(CHUNK_BYTES);
            if rx.read_buf(&mut buf).await? == 0 {
                break;
            }
            let send_at = Instant::now() + network.delay(link);
            if queue_tx.send((send_at, buf.freeze())).await.is_err() {
                break;
            }
        }
        drop(queue_tx);
        Ok::<(), io::Error>(())
    };
    let write = async {
        while let Some((send_at, chunk)) = queue_rx.recv().await {
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
