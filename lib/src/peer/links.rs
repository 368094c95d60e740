//! All links of one host: outgoing links, which deliver messages to other hosts, and the listener,
//! which receives theirs.
//!
//! Both ends of a link must prove that they know the fleet key, the secret that all hosts share. An
//! outgoing link delivers messages in batches: lists of messages that are sent in one RPC call, in
//! the packed encoding of Cap'n Proto.

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

/// Limit on simultaneous accepted connections.
const MAX_CONNECTIONS: usize = 2048;
/// Limit on simultaneous accepted connections whose caller has not yet proved that it knows the
/// fleet key.
const MAX_UNAUTHENTICATED_CONNECTIONS: usize = 256;
/// Wait after accepting a connection has failed, for example for lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);
/// Largest RPC frame, and largest batch after unpacking, that is accepted, bytes. A message above
/// 256 KiB is sent in a batch of its own, so a batch is little larger than the largest message at
/// most. Twice that size leaves room for framing.
const MAX_FRAME_BYTES: usize = MAX_MESSAGE_BYTES * 2;
/// Largest nesting depth of structures in a received frame.
const MAX_FRAME_NESTING: i32 = 16;

/// Settings of the links of one host.
#[derive(Clone, Debug)]
pub struct PeerOptions {
    /// This host.
    pub own: HostId,
    /// Incarnation of this host: identifies this run of its process, and rises with each restart.
    pub incarnation: Incarnation,
    /// Fleet key.
    pub key: Secret,
    /// Address of the listener for connections from other hosts.
    pub listen: SocketAddr,
    /// Source address of outgoing connections. The operating system chooses if absent.
    pub source: Option<IpAddr>,
}

/// Reason for which the links cannot start.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// The listener cannot be opened.
    #[snafu(display("cannot listen for connections from other hosts on {address}: {source}"))]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Event on a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkEvent {
    /// A message arrived from a host that has proved that it knows the fleet key.
    Message {
        /// The sender.
        from: HostId,
        /// Incarnation of the sender at the time of the handshake.
        incarnation: Incarnation,
        /// The decoded message.
        message: PeerMessage,
    },
    /// The outgoing link to a host is established.
    Up {
        /// The host.
        host: HostId,
        /// Incarnation of the host.
        incarnation: Incarnation,
    },
    /// The outgoing link to a host was lost, or the first attempt to establish it failed. Further
    /// failed attempts emit no event.
    Down {
        /// The host.
        host: HostId,
    },
}

/// State of this host that all of its connections share.
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
        // The receiver is gone only when the host is stopping.
        let _ = self.events.send(event);
    }
}

/// Outgoing link to one host; dropping it ends the link.
struct OutgoingLink {
    address: SocketAddr,
    /// Messages that wait for the link.
    queue: Rc<Queue>,
    /// Ends the task of the link when it is dropped.
    _open: oneshot::Sender<()>,
}

/// All links of one host. Dropping it closes the listener and every connection.
pub struct Links {
    ctx: Rc<LinkContext>,
    /// Address of the listener.
    address: SocketAddr,
    outgoing: RefCell<HashMap<HostId, OutgoingLink>>,
    /// Ends the listener and the accepted connections when it is dropped.
    _open: watch::Sender<()>,
}

impl Links {
    /// Opens the listener and starts to accept connections. Sends what happens on the links to
    /// `events`. Must be called within a `LocalSet` of a tokio runtime.
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

    /// Address of the listener, with the port that the operating system chose if the setting has 0.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Counters of all links.
    pub fn counters(&self) -> Arc<LinkCounters> {
        self.ctx.counters.clone()
    }

    /// Replaces the set of hosts to keep a link to. A link is left alone if its host is still in
    /// the set with the same address.
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

    /// Queues a message for a host, also while the link to it is down. The message is dropped if
    /// the host is not in the set of [`Self::set_peers`]. A queued message may be lost too, for
    /// example if the queue is full, if it waits too long, or if the connection breaks.
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

/// Limits for reading received frames and batches.
pub(crate) fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_FRAME_BYTES / 8));
    options.nesting_limit(MAX_FRAME_NESTING);
    options
}

/// For each host that has proved that it knows the fleet key, the latest connection accepted from
/// it. Dropping the sender closes the connection.
type Incoming = Rc<RefCell<HashMap<HostId, oneshot::Sender<()>>>>;

/// Accepts connections until the sender of `closed` is dropped, and serves each in a task of its
/// own.
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
    // The guard closes the socket when this function ends. The streams count the bytes, and read
    // only a limited number of them until the gate lifts the limit.
    let Ok((guard, reader, writer)) = socket::wrap(stream, ctx.counters.clone()) else {
        return;
    };
    let (authenticated_tx, authenticated_rx) = oneshot::channel();
    // The only RPC object that the caller can reach before it has proved that it knows the key.
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

/// Waits until the calling host has failed to prove in time that it knows the fleet key, or has
/// opened a newer connection; [`serve`] then closes this one. Releases `handshake`, the permit of
/// an unauthenticated connection, once the calling host has given its proof.
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
    // Dropping the previous entry closes the previous connection.
    incoming.borrow_mut().insert(host, current);
    let _ = replaced.await;
}

/// Counts and logs an accepted connection that ended with an error. The error of the RPC library
/// does not tell lost connections from malformed data, so every error counts as
/// [`LinkRefusal::Malformed`].
fn record_end(ctx: &LinkContext, result: Result<(), capnp::Error>) {
    let Err(err) = result else {
        return;
    };
    ctx.counters.record_refusal(LinkRefusal::Malformed);
    warn!("closed a connection from another host: {err}");
}
