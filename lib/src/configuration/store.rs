//! Reads and writes of the configuration object, which the platform stores (the external system
//! that the fleet runs on), as functions that a test can replace.

use std::fmt;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;

use crate::platform::CONFIGURATION_KIND;
use crate::platform::CONFIGURATION_NAME;
use crate::platform::Object;
use crate::platform::ObjectClient;
use crate::platform::ObjectError;

/// A call in progress to the platform, which borrows nothing from the store.
type Call<T> = BoxFuture<'static, Result<T, ObjectError>>;

/// Access to the stored configuration object.
pub struct ConfigurationStore {
    /// Reads the object. May return an older version than the latest.
    pub read: Box<dyn Fn() -> Call<Object> + Send + Sync>,
    /// Replaces the given version of the object, or creates the object if no version is given, and
    /// returns the new version. Fails with a conflict if another version is stored.
    pub write: Box<dyn Fn(Option<u64>, Bytes) -> Call<u64> + Send + Sync>,
}

impl ConfigurationStore {
    /// Accesses the object through the platform's object API.
    pub fn over(client: ObjectClient) -> Self {
        let reader = client.clone();
        Self {
            read: Box::new(move || read(reader.clone()).boxed()),
            write: Box::new(move |version, bytes| write(client.clone(), version, bytes).boxed()),
        }
    }
}

impl fmt::Debug for ConfigurationStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ConfigurationStore(..)")
    }
}

async fn read(client: ObjectClient) -> Result<Object, ObjectError> {
    client.read(CONFIGURATION_KIND, CONFIGURATION_NAME).await
}

async fn write(
    client: ObjectClient,
    version: Option<u64>,
    bytes: Bytes,
) -> Result<u64, ObjectError> {
    let (kind, name) = (CONFIGURATION_KIND, CONFIGURATION_NAME);
    match version {
        Some(version) => client.update(kind, name, version, bytes).await,
        None => client.create(kind, name, bytes).await,
    }
}
