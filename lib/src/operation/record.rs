//! The stored record of one operation and its state transitions.
//!
//! An operation is one request with an idempotency key, which must run at most once. A host claims
//! it with a pending record before the run, and settles it with a final state afterwards.

use std::fmt;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use serde::de::Visitor;
use sha2::Digest;
use sha2::Sha256;
use snafu::ResultExt;
use snafu::Snafu;

/// Error for a stored record that cannot be decoded.
#[derive(Debug, Snafu)]
#[snafu(display("malformed operation record"))]
pub struct DecodeError {
    source: serde_json::Error,
}

/// Random 128-bit number of one claim, hexadecimal. It tells a host whether a record is its own.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Nonce(pub CompactString);

impl Nonce {
    /// Generates a random number that no other claim has.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if it cannot provide random bytes.
    pub fn generate() -> Result<Self, getrandom::Error> {
        let mut bytes = [0; 16];
        getrandom::fill(&mut bytes)?;
        Ok(Self(hex::encode(bytes).into()))
    }
}

/// SHA-256 hash of the content of a request, hexadecimal. Requests with the same idempotency key
/// must have the same fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub CompactString);

impl Fingerprint {
    /// Hashes the method, the path with its query, and the body of a request.
    pub fn of(method: &str, target: &str, body: &[u8]) -> Self {
        let digest = Sha256::new()
            .chain_update(method)
            .chain_update("\n")
            .chain_update(target)
            .chain_update("\n")
            .chain_update(body)
            .finalize();
        Self(hex::encode(digest).into())
    }
}

/// A claim's content: who wants to run an operation, and which request it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claimant {
    /// Nonce of the claim.
    pub nonce: Nonce,
    /// Name of the claiming host.
    pub host: CompactString,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Wall-clock time of the claim, seconds since the Unix epoch.
    pub at: u64,
    /// Wall-clock time after which an unfinished run is reported as unknown, seconds since the Unix
    /// epoch. It never allows a second run, so the hosts' clocks need not agree.
    pub lapses_at: u64,
}

/// A header field of a stored response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredHeader {
    /// Name, lower case.
    pub name: CompactString,
    /// Value.
    pub value: CompactString,
}

/// A response that can be replayed to later requests with the same key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Stored header fields, a subset of the response's fields.
    pub headers: Vec<StoredHeader>,
    /// Complete body, stored as hexadecimal text.
    #[serde(serialize_with = "write_hex", deserialize_with = "read_hex")]
    pub body: Vec<u8>,
}

/// State of an operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordState {
    /// The host named in the record has claimed the operation and may be running it.
    Pending,
    /// The operation has run, with this response.
    Completed(StoredResponse),
    /// The operation has run, and its response was too large to be stored.
    CompletedWithoutBody {
        /// HTTP status of the response.
        status: u16,
    },
    /// The operation may have run.
    Unknown,
    /// The operation has not run, and the host will not run it, so it may be claimed again.
    NotRun,
}

/// Final state that the holder of a claim writes to the record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalState {
    /// The operation ran completely, with this response.
    Completed(StoredResponse),
    /// The operation ran completely, but its response is too large to be stored.
    CompletedWithoutBody {
        /// HTTP status of the response.
        status: u16,
    },
    /// It is unknown whether the operation ran.
    Unknown,
    /// The operation provably did not run and will not.
    NotRun,
}

impl FinalState {
    /// Drops the body of a completed operation; other states stay the same.
    pub fn without_body(self) -> Self {
        match self {
            Self::Completed(response) => Self::CompletedWithoutBody {
                status: response.status,
            },
            other => other,
        }
    }
}

impl From<FinalState> for RecordState {
    fn from(final_state: FinalState) -> Self {
        match final_state {
            FinalState::Completed(response) => Self::Completed(response),
            FinalState::CompletedWithoutBody { status } => Self::CompletedWithoutBody { status },
            FinalState::Unknown => Self::Unknown,
            FinalState::NotRun => Self::NotRun,
        }
    }
}

/// Status of an idempotency key for another request that uses it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyStatus {
    /// The operation has not run, and the request may claim it.
    Free,
    /// The key was used for a request with another fingerprint.
    KeyReused,
    /// Another request may be running the operation.
    InProgress,
    /// The operation has run, with this response.
    Replay(StoredResponse),
    /// The operation has run, but its response was not stored.
    ResponseNotStored {
        /// HTTP status of the response.
        status: u16,
    },
    /// It is unknown whether the operation ran.
    Unknown,
}

/// Record of one operation, stored as JSON. The store assigns versions, and only conditional writes
/// change a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    // The fields up to `lapses_at` are those of the claimant.
    nonce: Nonce,
    host: CompactString,
    fingerprint: Fingerprint,
    at: u64,
    lapses_at: u64,
    state: RecordState,
}

impl Record {
    /// Creates the record of a claim, written before the operation is dispatched.
    pub fn pending(claimant: &Claimant) -> Self {
        Self {
            nonce: claimant.nonce.clone(),
            host: claimant.host.clone(),
            fingerprint: claimant.fingerprint.clone(),
            at: claimant.at,
            lapses_at: claimant.lapses_at,
            state: RecordState::Pending,
        }
    }

    /// Returns the state of the operation.
    pub fn state(&self) -> &RecordState {
        &self.state
    }

    /// Whether the claim with this nonce holds the record and may run the operation.
    pub fn is_held_by(&self, nonce: &Nonce) -> bool {
        self.state == RecordState::Pending && self.nonce == *nonce
    }

    /// Status of the key for a request that claims it with this fingerprint at this time.
    pub fn key_status(&self, claimant: &Claimant) -> KeyStatus {
        if self.fingerprint != claimant.fingerprint {
            // This holds even if the operation has not run: the caller has used one key for two
            // requests.
            return KeyStatus::KeyReused;
        }
        match &self.state {
            RecordState::NotRun => KeyStatus::Free,
            RecordState::Pending if claimant.at < self.lapses_at => KeyStatus::InProgress,
            RecordState::Pending | RecordState::Unknown => KeyStatus::Unknown,
            RecordState::Completed(response) => KeyStatus::Replay(response.clone()),
            RecordState::CompletedWithoutBody { status } => {
                KeyStatus::ResponseNotStored { status: *status }
            }
        }
    }

    /// Returns the record that replaces this one in a new claim, or `None` if the operation may not
    /// be claimed.
    pub fn reclaimed(&self, claimant: &Claimant) -> Option<Self> {
        (self.key_status(claimant) == KeyStatus::Free).then(|| Self::pending(claimant))
    }

    /// Returns the record with its final state, or `None` if this claim does not hold it.
    pub fn settled(&self, nonce: &Nonce, final_state: FinalState) -> Option<Self> {
        self.is_held_by(nonce).then(|| Self {
            state: final_state.into(),
            ..self.clone()
        })
    }

    /// Whether this claim has already written this final state.
    pub fn is_settled_by(&self, nonce: &Nonce, final_state: &FinalState) -> bool {
        self.nonce == *nonce && self.state == final_state.clone().into()
    }

    /// Encodes the record as JSON.
    pub fn encode(&self) -> Vec<u8> {
        // Every field can be represented in JSON, so encoding cannot fail.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a stored record.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a record in JSON.
    pub fn decode(text: &[u8]) -> Result<Self, DecodeError> {
        serde_json::from_slice(text).context(DecodeSnafu)
    }
}

fn write_hex<S: Serializer>(body: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&hex::encode(body))
}

fn read_hex<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    deserializer.deserialize_str(HexVisitor)
}

struct HexVisitor;

impl Visitor<'_> for HexVisitor {
    type Value = Vec<u8>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("hexadecimal text")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Vec<u8>, E> {
        hex::decode(text).map_err(E::custom)
    }
}
