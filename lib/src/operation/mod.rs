//! Operations with an idempotency key, which must run at most once: their records in the object API
//! of the platform, the external system that the fleet runs on.
//!
//! An operation is one run of a request that carries an idempotency key. A host *claims* the
//! operation by writing a pending record before the run, and *settles* it by writing the final
//! state afterwards. Only conditional writes change a record, so that two hosts cannot claim the
//! same operation.
//!
//! [`Record`] holds the state transitions, [`Claim`] and [`Settle`] are the protocols with the
//! store as pure state machines, and [`Records`] executes them.

mod claim;
mod platform;
mod record;
mod records;
mod settle;
mod store;

pub use claim::Claim;
pub use claim::ClaimDecision;
pub use claim::ClaimEvent;
pub use claim::ClaimStep;
pub use record::Claimant;
pub use record::FinalState;
pub use record::Fingerprint;
pub use record::KeyStatus;
pub use record::Nonce;
pub use record::Record;
pub use record::RecordState;
pub use record::StoredHeader;
pub use record::StoredResponse;
pub use records::ClaimOutcome;
pub use records::OperationGuard;
pub use records::OperationKey;
pub use records::Records;
pub use settle::Settle;
pub use settle::SettleEvent;
pub use settle::SettleStep;
pub use settle::Settled;
pub use store::CreateFn;
pub use store::Created;
pub use store::ReadFn;
pub use store::Store;
pub use store::StoreError;
pub use store::Stored;
pub use store::UpdateFn;
pub use store::Updated;
