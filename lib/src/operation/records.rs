//! Carries out the protocols of claims and ends against the store.

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
use super::claim::ClaimEvent;
use super::claim::ClaimStep;
use super::claim::Claimed;
use super::record::Claimant;
use super::record::Fingerprint;
use super::record::Nonce;
use super::record::Record;
use super::record::Settlement;
use super::record::Standing;
use super::settle::Settle;
use super::settle::SettleEvent;
use super::settle::SettleStep;
use super::settle::Settled;
use super::store::Created;
use super::store::Store;
use super::store::Updated;
use crate::id::WorkspaceId;

/// Time that one call of the store may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an unfinished run is reported as unknown.
const PENDING_MAX: Duration = Duration::from_secs(900);
/// Calls that an attempt to end a record may need.
const SETTLE_CALLS_MAX: u32 = 12;
/// Pause after the first failed call of such an attempt; it doubles with every further one.
const SETTLE_PAUSE: Duration = Duration::from_millis(50);
/// Size of the ends that may be on their way to the store at once, KiB.
const SETTLING_KIB_MAX: usize = 64 << 10;
/// Longest key of a caller, bytes.
const KEY_BYTES_MAX: usize = 255;

/// Name of an operation's record: the workspace and the hash of the caller's key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperationKey(CompactString);

impl OperationKey {
    /// Makes the name, or gives `None` if the key is empty or too long.
    pub fn new(workspace: WorkspaceId, key: &[u8]) -> Option<Self> {
        if key.is_empty() || key.len() > KEY_BYTES_MAX {
            return None;
        }
        let hash = hex::encode(Sha256::digest(key));
        Some(Self(format_compact!("{workspace}-{hash}")))
    }
}

/// What a request may do about its operation.
pub enum ClaimOutcome {
    /// Run it.
    Won(Hold),
    /// Answer from the record.
    Lost(Standing),
    /// Refuse it as not run.
    Unavailable,
}

/// The records of operations.
pub struct Records {
    store: Store,
    host: CompactString,
    settling: Arc<Semaphore>,
}

impl Records {
    /// Keeps records in `store` on behalf of `host`.
    pub fn new(store: Store, host: CompactString) -> Self {
        Self::with_memory(store, host, SETTLING_KIB_MAX)
    }

    /// Keeps records in `store` on behalf of `host`, with a bound of its own on the size of the
    /// ends that may be on their way to the store at once, KiB.
    pub fn with_memory(store: Store, host: CompactString, settling_kib: usize) -> Self {
        Self {
            store,
            host,
            settling: Arc::new(Semaphore::new(settling_kib)),
        }
    }

    /// Claims an operation before it is dispatched.
    pub async fn claim(
        self: &Arc<Self>,
        key: OperationKey,
        fingerprint: Fingerprint,
    ) -> ClaimOutcome {
        let Ok(nonce) = Nonce::draw() else {
            return ClaimOutcome::Unavailable;
        };
        let at = unix_seconds();
        let claimant = Claimant {
            nonce: nonce.clone(),
            host: self.host.clone(),
            fingerprint,
            at,
            lapses_at: at + PENDING_MAX.as_secs(),
        };
        // Until the claim is decided, dropping the guard frees a record that may have been made.
        let guard = Hold::unknown(self.clone(), key, nonce);
        let (mut claim, mut step) = Claim::start(claimant);
        loop {
            let event = match step {
                ClaimStep::Done(decided) => return guard.decide(decided),
                step => self.claim_step(&guard.key, step).await,
            };
            step = claim.on(event);
        }
    }

    async fn claim_step(&self, key: &OperationKey, step: ClaimStep) -> ClaimEvent {
        match step {
            ClaimStep::Create(record) => self.create(key, &record).await,
            ClaimStep::Update { version, record } => {
                match self.update(key, version, &record).await {
                    Some(Updated::Made { version }) => ClaimEvent::Written { version },
                    Some(Updated::Conflict) => ClaimEvent::Conflict,
                    None => ClaimEvent::Lost,
                }
            }
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
                    None => SettleEvent::Lost,
                }
            }
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
            Ok(Err(_)) | Err(_) => ClaimEvent::Lost,
        }
    }

    /// Result of a conditional update, or `None` if there was no answer.
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
        // A malformed record allows no run.
        match Record::decode(&stored.bytes) {
            Ok(record) => ReadOutcome::Found {
                version: stored.version,
                record,
            },
            Err(_) => ReadOutcome::Unreadable,
        }
    }

    /// Reserves memory for an end, without the answer's body if there is too little.
    fn reserve(&self, settlement: Settlement) -> Option<(OwnedSemaphorePermit, Settlement)> {
        let settling = &self.settling;
        if let Ok(permit) = settling.clone().try_acquire_many_owned(kib(&settlement)) {
            return Some((permit, settlement));
        }
        let small = settlement.without_body();
        let permit = settling.clone().try_acquire_many_owned(kib(&small));
        permit.ok().map(|permit| (permit, small))
    }

    /// Carries an end to the store, within a bound on the calls.
    async fn settle(&self, key: &OperationKey, settle: &Settle, mut step: SettleStep) -> bool {
        let mut pause = SETTLE_PAUSE;
        for _ in 0..SETTLE_CALLS_MAX {
            if let SettleStep::Done(settled) = step {
                return settled == Settled::Stored;
            }
            let event = self.settle_step(key, step).await;
            if matches!(event, SettleEvent::Lost | SettleEvent::Unreadable) {
                tokio::time::sleep(pause).await;
                pause *= 2;
            }
            step = settle.on(event);
        }
        false
    }
}

enum ReadOutcome {
    Found { version: u64, record: Record },
    Absent,
    Unreadable,
}

/// What the holder knows of its record.
enum Known {
    /// Its version and content.
    Exactly { version: u64, record: Record },
    /// The store may have made it.
    Perhaps,
    /// There is nothing to end.
    Nothing,
}

/// The right to run an operation. Dropping it without an end records that the operation may have
/// run, or, before the claim was decided, that it has not.
pub struct Hold {
    records: Arc<Records>,
    key: OperationKey,
    nonce: Nonce,
    known: Known,
}

impl Hold {
    fn unknown(records: Arc<Records>, key: OperationKey, nonce: Nonce) -> Self {
        Self {
            records,
            key,
            nonce,
            known: Known::Perhaps,
        }
    }

    fn decide(mut self, decided: Claimed) -> ClaimOutcome {
        match decided {
            Claimed::Won { version, record } => {
                self.known = Known::Exactly { version, record };
                ClaimOutcome::Won(self)
            }
            Claimed::Lost(standing) => {
                self.known = Known::Nothing;
                ClaimOutcome::Lost(standing)
            }
            // Dropping the hold frees a record that may have been made.
            Claimed::Unavailable => ClaimOutcome::Unavailable,
        }
    }

    /// Records the end of the operation. The returned task says whether it is stored; it goes on
    /// without being awaited.
    pub fn settle(mut self, settlement: Settlement) -> Option<JoinHandle<bool>> {
        self.spawn_settle(settlement)
    }

    fn spawn_settle(&mut self, settlement: Settlement) -> Option<JoinHandle<bool>> {
        let nonce = self.nonce.clone();
        let known = std::mem::replace(&mut self.known, Known::Nothing);
        // Beyond the bound the record stays pending, which is safe, and lapses to unknown.
        let (permit, settlement) = self.records.reserve(settlement)?;
        let (settle, step) = match known {
            Known::Exactly { version, record } => {
                Settle::start(nonce, settlement, version, &record)
            }
            Known::Perhaps => Settle::start_unknown(nonce, settlement),
            Known::Nothing => return None,
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

impl Drop for Hold {
    fn drop(&mut self) {
        let settlement = match self.known {
            Known::Exactly { .. } => Settlement::Unknown,
            Known::Perhaps => Settlement::NotRun,
            Known::Nothing => return,
        };
        self.spawn_settle(settlement);
    }
}

/// Size of an end, KiB, rounded up.
fn kib(settlement: &Settlement) -> u32 {
    let bytes = match settlement {
        Settlement::Completed(answer) => answer.body.len(),
        Settlement::CompletedWithoutBody { .. } | Settlement::Unknown | Settlement::NotRun => 0,
    };
    u32::try_from(bytes / 1024).map_or(u32::MAX, |kib| kib.saturating_add(1))
}

/// Wall-clock time, seconds since the Unix epoch.
fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_secs())
}
