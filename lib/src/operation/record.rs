//! The record of one keyed operation and the rules that it follows.

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

/// Why a stored record cannot be used.
#[derive(Debug, Snafu)]
#[snafu(display("the record of an operation is malformed"))]
pub struct DecodeError {
    source: serde_json::Error,
}

/// Unique number of one claim, hexadecimal. It tells a host whether a record is its own.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Nonce(pub CompactString);

impl Nonce {
    /// Draws a number that no other claim has.
    ///
    /// # Errors
    ///
    /// Gives the system's error if it has no random numbers.
    pub fn generate() -> Result<Self, getrandom::Error> {
        let mut bytes = [0; 16];
        getrandom::fill(&mut bytes)?;
        Ok(Self(hex::encode(bytes).into()))
    }
}

/// Hash of what a request asks for, hexadecimal. Requests with one key must ask for the same.
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

/// Who wants to run an operation, and what it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claimant {
    /// Number of the claim.
    pub nonce: Nonce,
    /// Name of the host.
    pub host: CompactString,
    /// What the request asks for.
    pub fingerprint: Fingerprint,
    /// Wall-clock time of the claim, seconds since the Unix epoch.
    pub at: u64,
    /// Wall-clock time after which an unfinished run is reported as unknown, seconds since the
    /// Unix epoch. It never lets another run begin, so clocks need not agree.
    pub lapses_at: u64,
}

/// A header field of a kept answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredHeader {
    /// Name, lower case.
    pub name: CompactString,
    /// Value.
    pub value: CompactString,
}

/// An answer that can be given again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Kept header fields.
    pub headers: Vec<StoredHeader>,
    /// The body.
    #[serde(serialize_with = "write_hex", deserialize_with = "read_hex")]
    pub body: Vec<u8>,
}

/// How far an operation has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordState {
    /// The host of the record may be running it.
    Pending,
    /// It has run, and this was the answer.
    Completed(StoredResponse),
    /// It has run, and its answer was too large to be kept.
    CompletedWithoutBody {
        /// HTTP status of the answer.
        status: u16,
    },
    /// It may have run.
    Unknown,
    /// It has not run, and its host will not run it: another claim may.
    NotRun,
}

/// How the holder of a record ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalState {
    /// The operation ran to its end.
    Completed(StoredResponse),
    /// The operation ran to its end, and its answer is too large.
    CompletedWithoutBody {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The operation may have run.
    Unknown,
    /// The operation provably did not run and will not.
    NotRun,
}

impl FinalState {
    /// The same end without the body of an answer.
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

/// What a record means for another request with the same key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyStatus {
    /// The request may claim the operation.
    Free,
    /// The key belongs to a different request.
    KeyReused,
    /// Another request may be running the operation.
    InProgress,
    /// The operation has run; this is its answer.
    Replay(StoredResponse),
    /// The operation has run; its answer was not kept.
    AnswerNotKept {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The operation may have run.
    Unknown,
}

/// The record of one operation. The store versions it; only conditional writes change it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    nonce: Nonce,
    host: CompactString,
    fingerprint: Fingerprint,
    at: u64,
    lapses_at: u64,
    state: RecordState,
}

impl Record {
    /// The record of a claim before its operation is dispatched.
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

    /// How far the operation has come.
    pub fn state(&self) -> &RecordState {
        &self.state
    }

    /// Whether this claim may run the operation.
    pub fn is_held_by(&self, nonce: &Nonce) -> bool {
        self.state == RecordState::Pending && self.nonce == *nonce
    }

    /// What the record means for a request with the same key.
    pub fn key_status(&self, claimant: &Claimant) -> KeyStatus {
        if self.fingerprint != claimant.fingerprint {
            // Even an operation that has not run keeps its key: the caller mixed two up.
            return KeyStatus::KeyReused;
        }
        match &self.state {
            RecordState::NotRun => KeyStatus::Free,
            RecordState::Pending if claimant.at < self.lapses_at => KeyStatus::InProgress,
            RecordState::Pending | RecordState::Unknown => KeyStatus::Unknown,
            RecordState::Completed(response) => KeyStatus::Replay(response.clone()),
            RecordState::CompletedWithoutBody { status } => {
                KeyStatus::AnswerNotKept { status: *status }
            }
        }
    }

    /// The record after a new claim, or `None` if the operation is not free.
    pub fn reclaimed(&self, claimant: &Claimant) -> Option<Self> {
        (self.key_status(claimant) == KeyStatus::Free).then(|| Self::pending(claimant))
    }

    /// The record after its holder has ended it, or `None` if the claim does not hold it.
    pub fn settled(&self, nonce: &Nonce, final_state: FinalState) -> Option<Self> {
        self.is_held_by(nonce).then(|| Self {
            state: final_state.into(),
            ..self.clone()
        })
    }

    /// Whether the claim has ended the record in this way.
    pub fn is_settled_by(&self, nonce: &Nonce, final_state: &FinalState) -> bool {
        self.nonce == *nonce && self.state == final_state.clone().into()
    }

    /// The text that is stored.
    pub fn encode(&self) -> Vec<u8> {
        // Every field has a JSON form, so that there is nothing to fail.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads a stored text.
    ///
    /// # Errors
    ///
    /// Gives an error if the text is no record.
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
