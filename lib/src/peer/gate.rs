//! The listening end of a link.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use capnp::Error;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::codec::decode;
use super::counters::LinkCounters;
use super::counters::LinkRefusal;
use super::counters::add;
use super::links::LinkEvent;
use super::links::Local;
use super::peer_capnp;
use super::proof::Identity;
use super::proof::NONCE_BYTES;
use super::proof::Nonce;
use super::proof::PROTOCOL_VERSION;
use super::proof::Side;
use super::proof::Transcript;
use super::proof::draw_nonce;
use super::queue::BATCH_MESSAGES;
use super::socket::Limit;
use crate::id::HostId;
use crate::id::Incarnation;

/// Bootstrap capability for one accepted connection.
pub(crate) struct Gate {
    local: Rc<Local>,
    limit: Limit,
    transcript: Cell<Option<Transcript>>,
    proved: RefCell<Option<oneshot::Sender<HostId>>>,
}

impl Gate {
    /// Makes the gate of one connection; `proved` is told the caller once it has proved the key.
    pub(crate) fn new(local: Rc<Local>, limit: Limit, proved: oneshot::Sender<HostId>) -> Self {
        Self {
            local,
            limit,
            transcript: Cell::new(None),
            proved: RefCell::new(Some(proved)),
        }
    }

    fn refuse(&self, kind: LinkRefusal) -> Error {
        self.local.counters.refuse(kind);
        // The caller learns nothing that could help it to guess.
        Error::failed("refused".to_owned())
    }

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
        let listener = self.local.identity();
        if caller.host == listener.host {
            return Err(self.refuse(LinkRefusal::Identity));
        }
        let caller_nonce = read_nonce(params.get_nonce()?)?;
        let listener_nonce = draw_nonce().map_err(|err| Error::failed(err.to_string()))?;
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

    fn prove(
        &self,
        params: &peer_capnp::gate::ProveParams,
        results: &mut peer_capnp::gate::ProveResults,
    ) -> Result<(), Error> {
        let key = &self.local.options.key;
        // A greeting allows one attempt.
        let transcript = self
            .transcript
            .take()
            .ok_or_else(|| self.refuse(LinkRefusal::Key))?;
        if !transcript.verify(key, Side::Caller, params.get()?.get_proof()?) {
            return Err(self.refuse(LinkRefusal::Key));
        }
        self.limit.lift();
        let inbox = Inbox {
            local: self.local.clone(),
            from: transcript.caller,
        };
        let mut results = results.get();
        results.set_proof(&transcript.prove(key, Side::Listener));
        results.set_peer(capnp_rpc::new_client(inbox));
        if let Some(proved) = self.proved.take() {
            // The connection may have ended meanwhile.
            let _ = proved.send(transcript.caller.host);
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

/// Takes in the messages of one host that has proved the key.
struct Inbox {
    local: Rc<Local>,
    from: Identity,
}

impl Inbox {
    fn deliver(&self, params: &peer_capnp::peer::DeliverParams) -> Result<(), Error> {
        let counters = &self.local.counters;
        let messages = params.get()?.get_messages()?;
        if messages.len() as usize > BATCH_MESSAGES {
            counters.refuse(LinkRefusal::Size);
            return Err(Error::failed("batch is too large".to_owned()));
        }
        for reader in messages {
            self.take_in(reader, counters, &self.local.events)?;
        }
        Ok(())
    }

    fn take_in(
        &self,
        reader: peer_capnp::message::Reader<'_>,
        counters: &LinkCounters,
        events: &mpsc::UnboundedSender<LinkEvent>,
    ) -> Result<(), Error> {
        let message = match decode(reader) {
            Ok(message) => message,
            Err(_) => {
                // One message that cannot be read does not spoil the others.
                counters.refuse(LinkRefusal::Malformed);
                return Ok(());
            }
        };
        add(&counters.messages_in, 1);
        events
            .send(LinkEvent::Message {
                from: self.from.host,
                incarnation: self.from.incarnation,
                message,
            })
            .map_err(|_| Error::disconnected("stopping".to_owned()))
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

/// Reads a host and its life.
pub(crate) fn read_identity(reader: peer_capnp::identity::Reader<'_>) -> Identity {
    Identity {
        host: HostId(reader.get_host()),
        incarnation: Incarnation(reader.get_incarnation()),
    }
}

/// Writes a host and its life.
pub(crate) fn write_identity(mut builder: peer_capnp::identity::Builder<'_>, identity: Identity) {
    builder.set_host(identity.host.0);
    builder.set_incarnation(identity.incarnation.0);
}

/// Reads a nonce of the right length.
pub(crate) fn read_nonce(data: &[u8]) -> Result<Nonce, Error> {
    data.try_into()
        .map_err(|_| Error::failed(format!("a nonce has {NONCE_BYTES} bytes")))
}
