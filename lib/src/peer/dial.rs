//! The calling end of a link: connects to another host, proves that it knows the fleet key (the
//! secret that all hosts of the fleet share) and delivers the queued messages in batches (lists of
//! messages sent in one RPC call).

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp;
use capnp_rpc::twoparty::VatNetwork;
use log::info;
use snafu::ResultExt;
use snafu::Snafu;
use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::batch::encode_batch;
use super::counters::LinkRefusal;
use super::counters::add;
use super::gate::read_identity;
use super::gate::read_nonce;
use super::gate::write_identity;
use super::links::LinkContext;
use super::links::LinkEvent;
use super::links::reader_options;
use super::peer_capnp;
use super::proof::Identity;
use super::proof::PROTOCOL_VERSION;
use super::proof::Side;
use super::proof::Transcript;
use super::proof::generate_nonce;
use super::queue::Queue;
use super::socket;
use crate::id::HostId;
use crate::message::PeerMessage;

/// Time limit for opening the TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for the handshake, in which both ends prove that they know the fleet key.
pub(crate) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for the acknowledgement of a batch.
const DELIVER_TIMEOUT: Duration = Duration::from_secs(3);
/// Upper bound of the random wait after the first failure, and after the loss of a link.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of the random wait after any number of failures.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// Reason for which an outgoing link ended or could not be established.
#[derive(Debug, Snafu)]
enum DialError {
    #[snafu(display("cannot connect: {source}"))]
    Connect { source: std::io::Error },
    #[snafu(display("RPC failed: {source}"))]
    Call { source: capnp::Error },
    #[snafu(display("timed out waiting for the other host"))]
    Timeout { source: tokio::time::error::Elapsed },
    #[snafu(display("cannot generate a nonce: {source}"))]
    Nonce { source: getrandom::Error },
    #[snafu(display("the listener at this address is another host"))]
    WrongHost,
    #[snafu(display("the host did not prove that it knows the fleet key"))]
    WrongKey,
    #[snafu(display("connection closed"))]
    Closed,
}

/// Keeps a link to one host up, dialling again with exponential backoff, and sends the messages in
/// `queue`. Never returns; dropping the future ends the link.
pub(crate) async fn maintain_link(
    ctx: Rc<LinkContext>,
    host: HostId,
    address: SocketAddr,
    queue: Rc<Queue>,
) {
    let mut backoff = INITIAL_BACKOFF;
    let mut is_down = false;
    loop {
        let mut link = Link {
            ctx: &ctx,
            host,
            established: false,
        };
        let err = match link.run(address, &queue).await {
            Ok(()) => DialError::Closed,
            Err(err) => err,
        };
        if link.established {
            backoff = INITIAL_BACKOFF;
        }
        // Logs and reports the loss of an established link, and a failure of the first attempt, but
        // no further failures in a row.
        if link.established || !is_down {
            info!("link to host {host} at {address} is down: {err}");
            ctx.emit(LinkEvent::Down { host });
            is_down = true;
        }
        tokio::time::sleep(jittered(backoff)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
        add(&ctx.counters.reconnects, 1);
    }
}

/// A random time between half of `max` and `max`, so that the hosts do not all reconnect at the
/// same moment. It is `max` if the operating system gives no random number.
fn jittered(max: Duration) -> Duration {
    let half = max / 2;
    let share = f64::from(getrandom::u32().unwrap_or(u32::MAX)) / f64::from(u32::MAX);
    half + half.mul_f64(share)
}

/// One attempt at a link to a host, and the connection if it succeeds.
struct Link<'a> {
    ctx: &'a Rc<LinkContext>,
    host: HostId,
    /// Whether the handshake has succeeded.
    established: bool,
}

impl Link<'_> {
    /// Connects, performs the handshake and sends batches until the connection fails or is closed.
    async fn run(&mut self, address: SocketAddr, queue: &Queue) -> Result<(), DialError> {
        let stream = timeout(CONNECT_TIMEOUT, self.connect(address))
            .await
            .context(TimeoutSnafu)?
            .context(ConnectSnafu)?;
        let (guard, reader, writer) =
            socket::wrap(stream, self.ctx.counters.clone()).context(ConnectSnafu)?;
        let network = VatNetwork::new(
            futures::io::BufReader::new(reader),
            futures::io::BufWriter::new(writer),
            rpc_twoparty_capnp::Side::Client,
            reader_options(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let gate: peer_capnp::gate::Client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
        tokio::select! {
            result = system => result.context(CallSnafu),
            result = self.run_session(gate, queue, &guard) => result,
        }
    }

    /// Opens the TCP connection, from the configured source address if there is one.
    async fn connect(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_nonblocking(true)?;
        if let Some(source) = self.ctx.options.source {
            socket.bind(&SocketAddr::new(source, 0).into())?;
        }
        TcpSocket::from_std_stream(socket.into())
            .connect(address)
            .await
    }

    /// Performs the handshake, then delivers batches until an RPC fails.
    async fn run_session(
        &mut self,
        gate: peer_capnp::gate::Client,
        queue: &Queue,
        guard: &socket::ConnectionGuard,
    ) -> Result<(), DialError> {
        let (peer, identity) = timeout(HANDSHAKE_TIMEOUT, self.handshake(&gate))
            .await
            .context(TimeoutSnafu)??;
        // The listener has proved that it knows the fleet key.
        guard.read_limit().lift();
        self.established = true;
        add(&self.ctx.counters.connects, 1);
        self.ctx.emit(LinkEvent::Up {
            host: identity.host,
            incarnation: identity.incarnation,
        });
        loop {
            let batch = queue.next_batch().await;
            self.deliver(&peer, &batch).await?;
        }
    }

    /// Exchanges identities and nonces with the listener, then proofs of the fleet key, and checks
    /// that the listener is the expected host. The calling end proves the key first. Returns the
    /// capability to deliver messages, and the identity of the listener.
    async fn handshake(
        &self,
        gate: &peer_capnp::gate::Client,
    ) -> Result<(peer_capnp::peer::Client, Identity), DialError> {
        let key = &self.ctx.options.key;
        let caller = self.ctx.identity();
        let caller_nonce = generate_nonce().context(NonceSnafu)?;
        let mut req = gate.greet_request();
        let mut params = req.get();
        params.set_version(PROTOCOL_VERSION);
        write_identity(params.reborrow().init_identity(), caller);
        params.set_nonce(&caller_nonce);
        let response = req.send().promise.await.context(CallSnafu)?;
        let response = response.get().context(CallSnafu)?;
        let transcript = Transcript {
            caller,
            listener: read_identity(response.get_identity().context(CallSnafu)?),
            caller_nonce,
            listener_nonce: read_nonce(response.get_nonce().context(CallSnafu)?)
                .context(CallSnafu)?,
        };
        if transcript.listener.host != self.host {
            self.ctx.counters.record_refusal(LinkRefusal::Identity);
            return Err(DialError::WrongHost);
        }
        let mut req = gate.prove_request();
        req.get().set_proof(&transcript.prove(key, Side::Caller));
        let response = req.send().promise.await.context(CallSnafu)?;
        let response = response.get().context(CallSnafu)?;
        let proof = response.get_proof().context(CallSnafu)?;
        if !transcript.verify(key, Side::Listener, proof) {
            self.ctx.counters.record_refusal(LinkRefusal::Key);
            return Err(DialError::WrongKey);
        }
        let peer = response.get_peer().context(CallSnafu)?;
        Ok((peer, transcript.listener))
    }

    /// Sends a batch and waits until it is acknowledged.
    async fn deliver(
        &self,
        peer: &peer_capnp::peer::Client,
        batch: &[PeerMessage],
    ) -> Result<(), DialError> {
        let mut request = peer.deliver_request();
        let packed = encode_batch(batch).context(CallSnafu)?;
        request.get().set_batch(&packed);
        timeout(DELIVER_TIMEOUT, request.send().promise)
            .await
            .context(TimeoutSnafu)?
            .context(CallSnafu)?;
        add(&self.ctx.counters.messages_out, batch.len() as u64);
        add(&self.ctx.counters.batches_out, 1);
        Ok(())
    }
}
