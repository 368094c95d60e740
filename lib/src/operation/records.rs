//! Executes the claim and settle protocols against the store.
//!
//! An operation is one request with an idempotency key, which must run at most once. A host claims
//! it with a pending record before the run, and settles it with a final state afterwards. If the
//! host crashes in between, the record expires, and the operation counts as possibly run.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use compact_str::CompactString;
use compact_str::format_compact;
use sha2::Digest;
use sha2::Sha256;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

use super::claim::Claim;
use super::claim::ClaimDecision;
use super::claim::ClaimEvent;
use super::claim::ClaimStep;
use super::record::Claimant;
use super::record::FinalState;
use super::record::Fingerprint;
use super::record::KeyStatus;
use super::record::Nonce;
use super::record::Record;
use super::settle::Settle;
use super::settle::SettleEvent;
use super::settle::SettleStep;
use super::settle::Settled;
use super::store::Created;
use super::store::Store;
use super::store::Updated;
use crate::id::WorkspaceId;

/// Timeout of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an unfinished run is reported as unknown. It never allows a second run.
const PENDING_TIMEOUT: Duration = Duration::from_secs(900);
/// Maximum number of store calls for settling one record.
const SETTLE_CALLS_MAX: u32 = 12;
/// Backoff after the first failed call while settling; doubled after every further one.
const SETTLE_BACKOFF: Duration = Duration::from_millis(50);
/// Memory for final states that are being written to the store, KiB.
const SETTLING_KIB_MAX: usize = 64 << 10;
/// Longest idempotency key, bytes.
const KEY_BYTES_MAX: usize = 255;

/// Name of an operation's record: the workspace and the SHA-256 hash of the caller's key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperationKey(CompactString);

impl OperationKey {
    /// Creates the name, or returns `None` if the key is empty or longer than 255 bytes.
    pub fn new(workspace: WorkspaceId, key: &[u8]) -> Option<Self> {
        if key.is_empty() || key.len() > KEY_BYTES_MAX {
            return None;
        }
        let hash = hex::encode(Sha256::digest(key));
        Some(Self(format_compact!("{workspace}-{hash}")))
    }
}

/// Result of a claim, from which the gateway decides whether to dispatch the request.
pub enum ClaimOutcome {
    /// The operation may be run by the holder of this guard.
    Won(OperationGuard),
    /// Another request has claimed the operation: respond according to the status of the key.
    Lost(KeyStatus),
    /// The store does not respond, or the operating system provides no random bytes for the nonce:
    /// refuse the request as not run.
    Unavailable,
}

/// Claims and settles the records of operations in a store.
pub struct Records {
    store: Store,
    /// Name of this host, written into the records.
    host: CompactString,
    /// Memory left for final states that are being written, KiB.
    settling: Arc<Semaphore>,
}

impl Records {
    /// Creates records stored in `store` and written in the name of `host`.
    pub fn new(store: Store, host: CompactString) -> Self {
        Self::with_settling_limit(store, host, SETTLING_KIB_MAX)
    }

    /// Like [`Records::new`], with its own limit on the memory for final states that are being
    /// written to the store, KiB.
    pub fn with_settling_limit(store: Store, host: CompactString, settling_kib: usize) -> Self {
        Self {
            store,
            host,
            settling: Arc::new(Semaphore::new(settling_kib)),
        }
    }

    /// Claims an operation. It must be called before the operation is dispatched.
    pub async fn claim(
        self: &Arc<Self>,
        key: OperationKey,
        fingerprint: Fingerprint,
    ) -> ClaimOutcome {
        let Ok(nonce) = Nonce::generate() else {
            return ClaimOutcome::Unavailable;
        };
        let at = unix_seconds();
        let claimant = Claimant {
            nonce: nonce.clone(),
            host: self.host.clone(),
            fingerprint,
            at,
            lapses_at: at + PENDING_TIMEOUT.as_secs(),
        };
        // Until the claim is decided, dropping the guard settles a possibly written record as not
        // run.
        let guard = OperationGuard::undecided(self.clone(), key, nonce);
        let (mut claim, mut step) = Claim::start(claimant);
        loop {
            let event = match step {
                ClaimStep::Done(decision) => return guard.apply(decision),
                step => self.claim_step(&guard.key, step).await,
            };
            step = claim.on_event(event);
        }
    }

    async fn claim_step(&self, key: &OperationKey, step: ClaimStep) -> ClaimEvent {
        match step {
            ClaimStep::Create(record) => self.create(key, &record).await,
            ClaimStep::Update { version, record } => {
                match self.update(key, version, &record).await {
                    Some(Updated::Made { version }) => ClaimEvent::Written { version },
                    Some(Updated::Conflict) => ClaimEvent::Conflict,
                    None => ClaimEvent::NoResponse,
                }
            }
            // `Done` is handled by the caller and does not occur here.
            ClaimStep::Read | ClaimStep::Done(_) => match self.read(key).await {
                ReadOutcome::Found { version, record } => ClaimEvent::Found { version, record },
                ReadOutcome::Absent => ClaimEvent::Absent,
                ReadOutcome::Unreadable => ClaimEvent::Unreadable,
            },
        }
    }

    async fn settle_step(&self, key: &OperationKey, step: SettleStep) -> SettleEvent {
        match step {
            SettleStep::Update { version, record } => {
                match self.update(key, version, &record).await {
                    Some(Updated::Made { .. }) => SettleEvent::Written,
                    Some(Updated::Conflict) => SettleEvent::Conflict,
                    None => SettleEvent::NoResponse,
                }
            }
            // `Done` is handled by the caller and does not occur here.
            SettleStep::Read | SettleStep::Done(_) => match self.read(key).await {
                ReadOutcome::Found { version, record } => SettleEvent::Found { version, record },
                ReadOutcome::Absent => SettleEvent::Absent,
                ReadOutcome::Unreadable => SettleEvent::Unreadable,
            },
        }
    }

    async fn create(&self, key: &OperationKey, record: &Record) -> ClaimEvent {
        let call = (self.store.create)(key.0.clone(), record.encode().into());
        match tokio::time::timeout(CALL_TIMEOUT, call).await {
            Ok(Ok(Created::Made { version })) => ClaimEvent::Written { version },
            Ok(Ok(Created::Exists)) => ClaimEvent::Conflict,
            Ok(Err(_)) | Err(_) => ClaimEvent::NoResponse,
        }
    }

    /// Returns the result of a conditional update, or `None` if there was no response.
    async fn update(&self, key: &OperationKey, version: u64, record: &Record) -> Option<Updated> {
        let call = (self.store.update)(key.0.clone(), version, record.encode().into());
        tokio::time::timeout(CALL_TIMEOUT, call).await.ok()?.ok()
    }

    async fn read(&self, key: &OperationKey) -> ReadOutcome {
        let call = (self.store.read)(key.0.clone());
        let stored = match tokio::time::timeout(CALL_TIMEOUT, call).await {
            Ok(Ok(Some(stored))) => stored,
            Ok(Ok(None)) => return ReadOutcome::Absent,
            Ok(Err(_)) | Err(_) => return ReadOutcome::Unreadable,
        };
        // A malformed record must not allow a run.
        match Record::decode(&stored.bytes) {
            Ok(record) => ReadOutcome::Found {
                version: stored.version,
                record,
            },
            Err(_) => ReadOutcome::Unreadable,
        }
    }

    /// Reserves memory for a final state. If too little is left, the response body is dropped; if
    /// even that is not enough, returns `None`.
    fn reserve(&self, final_state: FinalState) -> Option<(OwnedSemaphorePermit, FinalState)> {
        let settling = &self.settling;
        if let Ok(permit) = settling
            .clone()
            .try_acquire_many_owned(size_kib(&final_state))
        {
            return Some((permit, final_state));
        }
        let small = final_state.without_body();
        let permit = settling.clone().try_acquire_many_owned(size_kib(&small));
        permit.ok().map(|permit| (permit, small))
    }

    /// Writes a final state to the store with at most [`SETTLE_CALLS_MAX`] calls. Returns whether
    /// it was stored.
    async fn settle(&self, key: &OperationKey, settle: &Settle, mut step: SettleStep) -> bool {
        let mut backoff = SETTLE_BACKOFF;
        for _ in 0..SETTLE_CALLS_MAX {
            if let SettleStep::Done(settled) = step {
                return settled == Settled::Stored;
            }
            let event = self.settle_step(key, step).await;
            if matches!(event, SettleEvent::NoResponse | SettleEvent::Unreadable) {
                tokio::time::sleep(backoff).await;
                backoff *= 2;
            }
            step = settle.on_event(event);
        }
        false
    }
}

/// Result of reading a record.
enum ReadOutcome {
    Found { version: u64, record: Record },
    Absent,
    Unreadable,
}

/// State of the guard's own record, as far as the guard knows.
enum OwnRecord {
    /// The record was written with this version and content.
    Written { version: u64, record: Record },
    /// The record may have been written.
    MaybeWritten,
    /// There is no record to settle, or it is being settled already.
    Released,
}

/// The exclusive right to run an operation. Dropping it without [`OperationGuard::settle`] records
/// that the operation may have run, or, before the claim is decided, that it has not run.
pub struct OperationGuard {
    records: Arc<Records>,
    key: OperationKey,
    nonce: Nonce,
    own_record: OwnRecord,
}

impl OperationGuard {
    /// Creates a guard for a claim that is not decided yet.
    fn undecided(records: Arc<Records>, key: OperationKey, nonce: Nonce) -> Self {
        Self {
            records,
            key,
            nonce,
            own_record: OwnRecord::MaybeWritten,
        }
    }

    fn apply(mut self, decision: ClaimDecision) -> ClaimOutcome {
        match decision {
            ClaimDecision::Won { version, record } => {
                self.own_record = OwnRecord::Written { version, record };
                ClaimOutcome::Won(self)
            }
            ClaimDecision::Lost(key_status) => {
                self.own_record = OwnRecord::Released;
                ClaimOutcome::Lost(key_status)
            }
            // Dropping the guard settles a possibly written record as not run.
            ClaimDecision::Unavailable => ClaimOutcome::Unavailable,
        }
    }

    /// Writes the final state of the operation. The returned task yields whether it was stored, and
    /// continues if it is not awaited. Returns `None` if nothing is written, because the memory
    /// limit is reached or there is no Tokio runtime.
    pub fn settle(mut self, final_state: FinalState) -> Option<JoinHandle<bool>> {
        self.spawn_settle(final_state)
    }

    fn spawn_settle(&mut self, final_state: FinalState) -> Option<JoinHandle<bool>> {
        let nonce = self.nonce.clone();
        let own_record = std::mem::replace(&mut self.own_record, OwnRecord::Released);
        // Beyond the memory limit the record stays pending, which allows no other run, and counts
        // as unknown once it expires.
        let (permit, final_state) = self.records.reserve(final_state)?;
        let (settle, step) = match own_record {
            OwnRecord::Written { version, record } => {
                Settle::start(nonce, final_state, version, &record)
            }
            OwnRecord::MaybeWritten => Settle::start_unknown(nonce, final_state),
            OwnRecord::Released => return None,
        };
        let runtime = tokio::runtime::Handle::try_current().ok()?;
        let (records, key) = (self.records.clone(), self.key.clone());
        Some(runtime.spawn(async move {
            let stored = records.settle(&key, &settle, step).await;
            drop(permit);
            stored
        }))
    }
}

impl Drop for OperationGuard {
    fn drop(&mut self) {
        let final_state = match self.own_record {
            OwnRecord::Written { .. } => FinalState::Unknown,
            OwnRecord::MaybeWritten => FinalState::NotRun,
            OwnRecord::Released => return,
        };
        self.spawn_settle(final_state);
    }
}

/// Memory for a final state, KiB, at least 1.
fn size_kib(final_state: &FinalState) -> u32 {
    let bytes = match final_state {
        FinalState::Completed(response) => response.body.len(),
        FinalState::CompletedWithoutBody { .. } | FinalState::Unknown | FinalState::NotRun => 0,
    };
    u32::try_from(bytes / 1024).map_or(u32::MAX, |kib| kib.saturating_add(1))
}

/// Returns the wall-clock time, seconds since the Unix epoch.
fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_secs())
}
