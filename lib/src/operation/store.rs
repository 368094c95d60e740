//! Interface to the store of operation records. An operation is one request with an idempotency
//! key, which must run at most once. Tests use a store in memory.

use bytes::Bytes;
use compact_str::CompactString;
use futures::future::BoxFuture;
use snafu::Snafu;

/// The store gave no usable response. A write may have taken effect, or may still do so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("no usable response from the object API"))]
pub struct StoreError;

/// Result of creating an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Created {
    /// The object was created.
    Made {
        /// Its version.
        version: u64,
    },
    /// An object of this name exists already.
    Exists,
}

/// Result of replacing an object conditionally.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Updated {
    /// The object was replaced.
    Made {
        /// Its new version.
        version: u64,
    },
    /// The object has another version or does not exist.
    Conflict,
}

/// An object read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// Its version.
    pub version: u64,
    /// Its content, the encoded record.
    pub bytes: Bytes,
}

/// Creates an object of this name with this content if it does not exist.
pub type CreateFn =
    dyn Fn(CompactString, Bytes) -> BoxFuture<'static, Result<Created, StoreError>> + Send + Sync;
/// Reads an object by name, or returns `None` if it does not exist.
pub type ReadFn =
    dyn Fn(CompactString) -> BoxFuture<'static, Result<Option<Stored>, StoreError>> + Send + Sync;
/// Replaces the content of an object if it has the given version.
pub type UpdateFn = dyn Fn(CompactString, u64, Bytes) -> BoxFuture<'static, Result<Updated, StoreError>>
    + Send
    + Sync;

/// The three store calls that operation records need.
pub struct Store {
    /// Creates an object of this name with this content if it does not exist.
    pub create: Box<CreateFn>,
    /// Reads an object by name.
    pub read: Box<ReadFn>,
    /// Replaces the content of an object if it has the given version.
    pub update: Box<UpdateFn>,
}
