//! The calling end of a link.

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

/// Time within which a connection must be open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which both ends must have proved the key.
pub(crate) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which a batch must be acknowledged.
const DELIVER_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest wait after the first failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest wait after many failures.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// Why an outgoing link ended.
#[derive(Debug, Snafu)]
enum DialError {
    #[snafu(display("cannot connect: {source}"))]
    Connect { source: std::io::Error },
    #[snafu(display("call failed: {source}"))]
    Call { source: capnp::Error },
    #[snafu(display("no answer in time"))]
    Timeout { source: tokio::time::error::Elapsed },
    #[snafu(display("cannot draw a nonce: {source}"))]
    Nonce { source: getrandom::Error },
    #[snafu(display("another host answers"))]
    WrongHost,
    #[snafu(display("the host does not know the key of the fleet"))]
    WrongKey,
    #[snafu(display("the connection was closed"))]
    Closed,
}

/// Keeps a link to one host and sends what waits in its queue. Ends only by being dropped.
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
        if link.established || !is_down {
            info!("no link to host {host} at {address}: {err}");
            ctx.emit(LinkEvent::Down { host });
            is_down = true;
        }
        tokio::time::sleep(jittered(backoff)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
        add(&ctx.counters.reconnects, 1);
    }
}

/// Between half of `max` and all of it, so that hosts do not return in step.
fn jittered(max: Duration) -> Duration {
    let half = max / 2;
    let share = f64::from(getrandom::u32().unwrap_or(u32::MAX)) / f64::from(u32::MAX);
    half + half.mul_f64(share)
}

/// One connection to a host.
struct Link<'a> {
    ctx: &'a Rc<LinkContext>,
    host: HostId,
    established: bool,
}

impl Link<'_> {
    /// Connects, proves the key and sends batches until something fails.
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

    async fn run_session(
        &mut self,
        gate: peer_capnp::gate::Client,
        queue: &Queue,
        guard: &socket::ConnectionGuard,
    ) -> Result<(), DialError> {
        let (peer, identity) = timeout(HANDSHAKE_TIMEOUT, self.handshake(&gate))
            .await
            .context(TimeoutSnafu)??;
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
