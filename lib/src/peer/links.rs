//! All links of one host.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp;
use capnp_rpc::twoparty::VatNetwork;
use log::warn;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::counters::LinkCounters;
use super::counters::LinkRefusal;
use super::dial::HANDSHAKE_TIMEOUT;
use super::dial::maintain_link;
use super::gate::Gate;
use super::peer_capnp;
use super::proof::Identity;
use super::queue::MAX_MESSAGE_BYTES;
use super::queue::Queue;
use super::socket;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::message::PeerMessage;
use crate::settings::Secret;

/// Accepted connections at once at most.
const MAX_CONNECTIONS: usize = 2048;
/// Accepted connections at once at most that have not proved the key.
const MAX_UNAUTHENTICATED_CONNECTIONS: usize = 256;
/// Wait after the system has refused to accept a connection.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);
/// Bytes of a received frame at most: a message of the largest size with room for its framing.
const MAX_FRAME_BYTES: usize = MAX_MESSAGE_BYTES * 2;
/// Nested structures in a received frame at most.
const MAX_FRAME_NESTING: i32 = 16;

/// Settings of the links.
#[derive(Clone, Debug)]
pub struct PeerOptions {
    /// This host.
    pub own: HostId,
    /// This life of the host.
    pub incarnation: Incarnation,
    /// Key that both ends of a link prove.
    pub key: Secret,
    /// Listener for links of other hosts.
    pub listen: SocketAddr,
    /// Address that outgoing connections are bound to; the system chooses if absent.
    pub source: Option<IpAddr>,
}

/// Why the links cannot start.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// The listener cannot be opened.
    #[snafu(display("cannot listen for hosts on {address}: {source}"))]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
}

/// What happens on the links.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkEvent {
    /// A host that has proved the key sent a message.
    Message {
        /// The sender.
        from: HostId,
        /// Its life.
        incarnation: Incarnation,
        /// What it sent.
        message: PeerMessage,
    },
    /// The outgoing link to a host is established.
    Up {
        /// The host.
        host: HostId,
        /// Its life.
        incarnation: Incarnation,
    },
    /// The outgoing link to a host is lost, or the first attempt to establish it failed.
    Down {
        /// The host.
        host: HostId,
    },
}

/// What every connection needs of its host.
pub(crate) struct LinkContext {
    pub(crate) options: PeerOptions,
    pub(crate) counters: Arc<LinkCounters>,
    pub(crate) events: mpsc::UnboundedSender<LinkEvent>,
}

impl LinkContext {
    pub(crate) fn identity(&self) -> Identity {
        Identity {
            host: self.options.own,
            incarnation: self.options.incarnation,
        }
    }

    pub(crate) fn emit(&self, event: LinkEvent) {
        // Without a receiver the host is stopping.
        let _ = self.events.send(event);
    }
}

/// Outgoing link to one host; dropping it ends the link.
struct OutgoingLink {
    address: SocketAddr,
    queue: Rc<Queue>,
    _open: oneshot::Sender<()>,
}

/// All links of one host. Dropping it closes the listener and every connection.
pub struct Links {
    ctx: Rc<LinkContext>,
    address: SocketAddr,
    outgoing: RefCell<HashMap<HostId, OutgoingLink>>,
    _open: watch::Sender<()>,
}

impl Links {
    /// Opens the listener and accepts links. Must be called within a `LocalSet` of a tokio
    /// runtime.
    pub fn start(
        options: PeerOptions,
        events: mpsc::UnboundedSender<LinkEvent>,
    ) -> Result<Self, PeerError> {
        let address = options.listen;
        let listener = bind(address).context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        let ctx = Rc::new(LinkContext {
            options,
            counters: Arc::default(),
            events,
        });
        let (open, closed) = watch::channel(());
        spawn_local(accept(ctx.clone(), listener, closed));
        Ok(Self {
            ctx,
            address,
            outgoing: RefCell::default(),
            _open: open,
        })
    }

    /// Address of the listener.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Counters of all links.
    pub fn counters(&self) -> Arc<LinkCounters> {
        self.ctx.counters.clone()
    }

    /// Replaces the hosts that links are kept to. A host whose address stays keeps its link.
    pub fn set_peers(&self, peers: Vec<(HostId, SocketAddr)>) {
        let wanted: HashMap<_, _> = peers
            .into_iter()
            .filter(|(host, _)| *host != self.ctx.options.own)
            .collect();
        let mut outgoing = self.outgoing.borrow_mut();
        outgoing.retain(|host, link| wanted.get(host) == Some(&link.address));
        for (host, address) in wanted {
            outgoing
                .entry(host)
                .or_insert_with(|| self.open_link(host, address));
        }
    }

    /// Queues a message for a host. It may be lost.
    pub fn send(&self, host: HostId, message: PeerMessage) {
        match self.outgoing.borrow().get(&host) {
            Some(link) => link.queue.push(message),
            None => self.ctx.counters.record_refusal(LinkRefusal::UnknownHost),
        }
    }

    fn open_link(&self, host: HostId, address: SocketAddr) -> OutgoingLink {
        let queue = Rc::new(Queue::new(self.ctx.counters.clone()));
        let link = maintain_link(self.ctx.clone(), host, address, queue.clone());
        let (open, closed) = oneshot::channel();
        spawn_local(async move {
            tokio::select! {
                _ = closed => {}
                () = link => {}
            }
        });
        OutgoingLink {
            address,
            queue,
            _open: open,
        }
    }
}

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Limits on what is read from a connection.
pub(crate) fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_FRAME_BYTES / 8));
    options.nesting_limit(MAX_FRAME_NESTING);
    options
}

/// The latest connection of each host that has proved the key.
type Incoming = Rc<RefCell<HashMap<HostId, oneshot::Sender<()>>>>;

async fn accept(ctx: Rc<LinkContext>, listener: TcpListener, mut closed: watch::Receiver<()>) {
    let incoming = Incoming::default();
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let handshakes = Arc::new(Semaphore::new(MAX_UNAUTHENTICATED_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            _ = closed.changed() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let slot = slots.clone().try_acquire_owned();
        let handshake = handshakes.clone().try_acquire_owned();
        let (Ok(slot), Ok(handshake)) = (slot, handshake) else {
            ctx.counters.record_refusal(LinkRefusal::Connections);
            continue;
        };
        let connection = serve(ctx.clone(), stream, incoming.clone(), handshake);
        let mut closed = closed.clone();
        spawn_local(async move {
            let _slot = slot;
            tokio::select! {
                _ = closed.changed() => {}
                () = connection => {}
            }
        });
    }
}

/// Serves one accepted connection to its end.
async fn serve(
    ctx: Rc<LinkContext>,
    stream: TcpStream,
    incoming: Incoming,
    handshake: OwnedSemaphorePermit,
) {
    let Ok((guard, reader, writer)) = socket::wrap(stream, ctx.counters.clone()) else {
        return;
    };
    let (authenticated_tx, authenticated_rx) = oneshot::channel();
    let gate = Gate::new(ctx.clone(), guard.read_limit(), authenticated_tx);
    let gate: peer_capnp::gate::Client = capnp_rpc::new_client(gate);
    let network = VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer),
        rpc_twoparty_capnp::Side::Server,
        reader_options(),
    );
    let system = RpcSystem::new(Box::new(network), Some(gate.client));
    tokio::select! {
        result = system => record_end(&ctx, result),
        () = wait_until_replaced(&ctx, authenticated_rx, &incoming, handshake) => {}
    }
}

/// Waits until the caller fails to prove the key in time, or opens a newer connection.
async fn wait_until_replaced(
    ctx: &LinkContext,
    authenticated: oneshot::Receiver<HostId>,
    incoming: &Incoming,
    handshake: OwnedSemaphorePermit,
) {
    let Ok(Ok(host)) = timeout(HANDSHAKE_TIMEOUT, authenticated).await else {
        ctx.counters.record_refusal(LinkRefusal::Key);
        return;
    };
    drop(handshake);
    let (current, replaced) = oneshot::channel();
    // Dropping the former entry ends the former connection.
    incoming.borrow_mut().insert(host, current);
    let _ = replaced.await;
}

fn record_end(ctx: &LinkContext, result: Result<(), capnp::Error>) {
    let Err(err) = result else {
        return;
    };
    ctx.counters.record_refusal(LinkRefusal::Malformed);
    warn!("connection from a host closed: {err}");
}
