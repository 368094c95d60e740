//! Where the configuration object is kept.

use std::fmt;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;

use crate::platform::CONFIGURATION_KIND;
use crate::platform::CONFIGURATION_NAME;
use crate::platform::Object;
use crate::platform::ObjectClient;
use crate::platform::ObjectError;

/// A call that runs on its own.
type Call<T> = BoxFuture<'static, Result<T, ObjectError>>;

/// Access to the configuration object.
pub struct ConfigurationStore {
    /// Reads the object; may give an older version than the latest.
    pub read: Box<dyn Fn() -> Call<Object> + Send + Sync>,
    /// Stores bytes in place of the given version, or creates the object if none is given, and
    /// returns the new version.
    pub write: Box<dyn Fn(Option<u64>, Bytes) -> Call<u64> + Send + Sync>,
}

impl ConfigurationStore {
    /// The configuration object in the object API.
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
