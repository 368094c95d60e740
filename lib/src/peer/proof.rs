//! Mutual authentication: both ends of a connection prove that they know the fleet key, the secret
//! that all hosts of the fleet share, without sending it.
//!
//! Each end sends an HMAC-SHA256 with the fleet key over a label for its direction, the protocol
//! version, both identities and both nonces (random numbers, one from each end). A proof is
//! therefore not valid on another connection, to another host, in the other direction, or after a
//! restart of either host.

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

use crate::id::HostId;
use crate::id::Incarnation;
use crate::settings::Secret;

/// Version of the protocol between hosts. Hosts with different versions do not connect.
pub(crate) const PROTOCOL_VERSION: u16 = 1;

/// Length of a nonce, bytes.
pub(crate) const NONCE_BYTES: usize = 32;

/// A random number that is used for one connection only, so that a recorded proof cannot be
/// replayed.
pub(crate) type Nonce = [u8; NONCE_BYTES];

/// A host and its incarnation, which identifies one start of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Identity {
    pub(crate) host: HostId,
    pub(crate) incarnation: Incarnation,
}

/// End of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    /// The host that opened the connection.
    Caller,
    /// The host that accepted the connection.
    Listener,
}

/// Data that both ends of a connection have exchanged before the proofs, and that the proofs cover.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Transcript {
    pub(crate) caller: Identity,
    pub(crate) listener: Identity,
    pub(crate) caller_nonce: Nonce,
    pub(crate) listener_nonce: Nonce,
}

impl Transcript {
    /// Returns the proof that `side` knows `key`.
    pub(crate) fn prove(&self, key: &Secret, side: Side) -> Vec<u8> {
        self.mac(key, side).finalize().into_bytes().to_vec()
    }

    /// Whether `proof` is the proof that `side` knows `key`. The comparison takes constant time, so
    /// that its duration does not reveal how much of a wrong proof is correct.
    pub(crate) fn verify(&self, key: &Secret, side: Side, proof: &[u8]) -> bool {
        self.mac(key, side).verify_slice(proof).is_ok()
    }

    fn mac(&self, key: &Secret, side: Side) -> Hmac<Sha256> {
        let label: &[u8] = match side {
            Side::Caller => b"cardamomshift peer caller",
            Side::Listener => b"cardamomshift peer listener",
        };
        let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(key.expose())
            .expect("HMAC accepts keys of any length");
        mac.update(&(label.len() as u64).to_le_bytes());
        mac.update(label);
        mac.update(&PROTOCOL_VERSION.to_le_bytes());
        for identity in [self.caller, self.listener] {
            mac.update(&identity.host.0.to_le_bytes());
            mac.update(&identity.incarnation.0.to_le_bytes());
        }
        mac.update(&self.caller_nonce);
        mac.update(&self.listener_nonce);
        mac
    }
}

/// Returns random bytes from the operating system.
pub(crate) fn generate_nonce() -> Result<Nonce, getrandom::Error> {
    let mut nonce = [0; NONCE_BYTES];
    getrandom::fill(&mut nonce)?;
    Ok(nonce)
}
