//! The listening end of a link: checks that a caller knows the fleet key (the secret that all hosts
//! of the fleet share), proves in turn that this host knows it, and receives the caller's messages.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use capnp::Error;
use tokio::sync::oneshot;

use super::batch::BatchError;
use super::batch::decode_batch;
use super::counters::LinkRefusal;
use super::counters::add;
use super::links::LinkContext;
use super::links::LinkEvent;
use super::peer_capnp;
use super::proof::Identity;
use super::proof::NONCE_BYTES;
use super::proof::Nonce;
use super::proof::PROTOCOL_VERSION;
use super::proof::Side;
use super::proof::Transcript;
use super::proof::generate_nonce;
use super::socket::ReadLimit;
use crate::id::HostId;
use crate::id::Incarnation;

/// Bootstrap capability of one accepted connection: the only RPC object that a caller gets before
/// it has proved that it knows the fleet key. The caller calls `greet`, then `prove`, which returns
/// the object that receives messages.
pub(crate) struct Gate {
    ctx: Rc<LinkContext>,
    read_limit: ReadLimit,
    /// Identities and nonces exchanged by the latest `greet` call, until `prove` takes them.
    transcript: Cell<Option<Transcript>>,
    /// Receives the caller's host identifier once the caller has proved that it knows the key.
    authenticated: RefCell<Option<oneshot::Sender<HostId>>>,
}

impl Gate {
    /// Creates the gate of one connection. `authenticated` receives the caller's host identifier
    /// once the caller has proved that it knows the fleet key, which also lifts `read_limit`.
    pub(crate) fn new(
        ctx: Rc<LinkContext>,
        read_limit: ReadLimit,
        authenticated: oneshot::Sender<HostId>,
    ) -> Self {
        Self {
            ctx,
            read_limit,
            transcript: Cell::new(None),
            authenticated: RefCell::new(Some(authenticated)),
        }
    }

    /// Counts a refusal and returns the error for the caller.
    fn refuse(&self, reason: LinkRefusal) -> Error {
        self.ctx.counters.record_refusal(reason);
        // The reason is withheld, since it could help a caller to guess the fleet key.
        Error::failed("refused".to_owned())
    }

    /// Exchanges identities and nonces with the caller.
    fn greet(
        &self,
        params: &peer_capnp::gate::GreetParams,
        results: &mut peer_capnp::gate::GreetResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        if params.get_version() != PROTOCOL_VERSION {
            return Err(self.refuse(LinkRefusal::Version));
        }
        let caller = read_identity(params.get_identity()?);
        let listener = self.ctx.identity();
        if caller.host == listener.host {
            return Err(self.refuse(LinkRefusal::Identity));
        }
        let caller_nonce = read_nonce(params.get_nonce()?)?;
        let listener_nonce = generate_nonce().map_err(|err| Error::failed(err.to_string()))?;
        self.transcript.set(Some(Transcript {
            caller,
            listener,
            caller_nonce,
            listener_nonce,
        }));
        let mut results = results.get();
        write_identity(results.reborrow().init_identity(), listener);
        results.set_nonce(&listener_nonce);
        Ok(())
    }

    /// Checks the caller's proof of the fleet key, and returns this host's proof and the object
    /// that receives messages.
    fn prove(
        &self,
        params: &peer_capnp::gate::ProveParams,
        results: &mut peer_capnp::gate::ProveResults,
    ) -> Result<(), Error> {
        let key = &self.ctx.options.key;
        // Taking the transcript allows one attempt per `greet` call.
        let transcript = self
            .transcript
            .take()
            .ok_or_else(|| self.refuse(LinkRefusal::Key))?;
        if !transcript.verify(key, Side::Caller, params.get()?.get_proof()?) {
            return Err(self.refuse(LinkRefusal::Key));
        }
        self.read_limit.lift();
        let inbox = Inbox {
            ctx: self.ctx.clone(),
            from: transcript.caller,
        };
        let mut results = results.get();
        results.set_proof(&transcript.prove(key, Side::Listener));
        results.set_peer(capnp_rpc::new_client(inbox));
        if let Some(authenticated) = self.authenticated.take() {
            // The receiver is gone if the connection has ended in the meantime.
            let _ = authenticated.send(transcript.caller.host);
        }
        Ok(())
    }
}

impl peer_capnp::gate::Server for Gate {
    async fn greet(
        self: Rc<Self>,
        params: peer_capnp::gate::GreetParams,
        mut results: peer_capnp::gate::GreetResults,
    ) -> Result<(), Error> {
        Self::greet(&self, &params, &mut results)
    }

    async fn prove(
        self: Rc<Self>,
        params: peer_capnp::gate::ProveParams,
        mut results: peer_capnp::gate::ProveResults,
    ) -> Result<(), Error> {
        Self::prove(&self, &params, &mut results)
    }
}

/// Receives the messages of one host that has proved that it knows the fleet key.
struct Inbox {
    ctx: Rc<LinkContext>,
    from: Identity,
}

impl Inbox {
    /// Decodes a batch and emits an event for each message.
    fn deliver(&self, params: &peer_capnp::peer::DeliverParams) -> Result<(), Error> {
        let counters = &self.ctx.counters;
        let decoded = decode_batch(params.get()?.get_batch()?).map_err(|err| self.refuse(err))?;
        add(&counters.messages_in, decoded.messages.len() as u64);
        counters.record_refusals(LinkRefusal::Malformed, decoded.malformed);
        for message in decoded.messages {
            self.ctx.emit(LinkEvent::Message {
                from: self.from.host,
                incarnation: self.from.incarnation,
                message,
            });
        }
        Ok(())
    }

    /// Counts a refused batch and returns the error for the sender.
    fn refuse(&self, err: BatchError) -> Error {
        let (reason, err) = match err {
            BatchError::TooMany => (LinkRefusal::Size, Error::failed("too large".to_owned())),
            BatchError::Malformed(err) => (LinkRefusal::Malformed, err),
        };
        self.ctx.counters.record_refusal(reason);
        err
    }
}

impl peer_capnp::peer::Server for Inbox {
    async fn deliver(
        self: Rc<Self>,
        params: peer_capnp::peer::DeliverParams,
        _results: peer_capnp::peer::DeliverResults,
    ) -> Result<(), Error> {
        Self::deliver(&self, &params)
    }
}

/// Reads the identity of a host.
pub(crate) fn read_identity(reader: peer_capnp::identity::Reader<'_>) -> Identity {
    Identity {
        host: HostId(reader.get_host()),
        incarnation: Incarnation(reader.get_incarnation()),
    }
}

/// Writes the identity of a host.
pub(crate) fn write_identity(mut builder: peer_capnp::identity::Builder<'_>, identity: Identity) {
    builder.set_host(identity.host.0);
    builder.set_incarnation(identity.incarnation.0);
}

/// Reads a nonce. Fails if its length is not [`NONCE_BYTES`].
pub(crate) fn read_nonce(data: &[u8]) -> Result<Nonce, Error> {
    data.try_into()
        .map_err(|_| Error::failed(format!("a nonce has {NONCE_BYTES} bytes")))
}
