//! Records of keyed operations kept in the platform's object API.

use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use futures::FutureExt;

use crate::operation::Created;
use crate::operation::Store;
use crate::operation::StoreError;
use crate::operation::Stored;
use crate::operation::Updated;
use crate::platform::OPERATION_KIND;
use crate::platform::ObjectClient;
use crate::platform::ObjectError;

/// The calls of the object API that operation records need.
pub(super) fn operation_store(objects: &ObjectClient) -> Store {
    let objects = Arc::new(objects.clone());
    let (for_create, for_read, for_update) = (objects.clone(), objects.clone(), objects);
    Store {
        create: Box::new(move |name, bytes| create(for_create.clone(), name, bytes).boxed()),
        read: Box::new(move |name| read(for_read.clone(), name).boxed()),
        update: Box::new(move |name, version, bytes| {
            update(for_update.clone(), name, version, bytes).boxed()
        }),
    }
}

async fn create(
    objects: Arc<ObjectClient>,
    name: CompactString,
    bytes: Bytes,
) -> Result<Created, StoreError> {
    match objects.create(OPERATION_KIND, &name, bytes).await {
        Ok(version) => Ok(Created::Made { version }),
        Err(ObjectError::Conflict) => Ok(Created::Exists),
        Err(_) => Err(StoreError),
    }
}

async fn read(
    objects: Arc<ObjectClient>,
    name: CompactString,
) -> Result<Option<Stored>, StoreError> {
    match objects.read(OPERATION_KIND, &name).await {
        Ok(object) => Ok(Some(Stored {
            version: object.version,
            bytes: object.bytes,
        })),
        Err(ObjectError::NotFound) => Ok(None),
        Err(_) => Err(StoreError),
    }
}

async fn update(
    objects: Arc<ObjectClient>,
    name: CompactString,
    version: u64,
    bytes: Bytes,
) -> Result<Updated, StoreError> {
    match objects.update(OPERATION_KIND, &name, version, bytes).await {
        Ok(version) => Ok(Updated::Made { version }),
        Err(ObjectError::Conflict | ObjectError::NotFound) => Ok(Updated::Conflict),
        Err(_) => Err(StoreError),
    }
}
