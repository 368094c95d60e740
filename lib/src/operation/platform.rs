//! Implements [`Store`], the store of operation records, with the object API of the platform, the
//! external system that the fleet runs on.

use std::sync::Arc;

use futures::FutureExt;

use super::records::Records;
use super::store::Created;
use super::store::Store;
use super::store::StoreError;
use super::store::Stored;
use super::store::Updated;
use crate::platform::OPERATION_KIND;
use crate::platform::ObjectClient;
use crate::platform::ObjectError;

impl Records {
    /// Creates records that are stored in the object API, written in the name of `host`.
    pub fn in_object_api(objects: &ObjectClient, host: &str) -> Self {
        Self::new(Store::in_object_api(objects), host.into())
    }
}

impl Store {
    /// Creates a store that calls the object API.
    pub fn in_object_api(objects: &ObjectClient) -> Self {
        let objects = Arc::new(objects.clone());
        let (creating, reading, updating) = (objects.clone(), objects.clone(), objects);
        Self {
            create: Box::new(move |name, bytes| {
                let objects = creating.clone();
                async move {
                    let result = objects.create(OPERATION_KIND, &name, bytes).await;
                    created(result)
                }
                .boxed()
            }),
            read: Box::new(move |name| {
                let objects = reading.clone();
                async move {
                    match objects.read(OPERATION_KIND, &name).await {
                        Ok(object) => Ok(Some(Stored {
                            version: object.version,
                            bytes: object.bytes,
                        })),
                        Err(ObjectError::NotFound) => Ok(None),
                        Err(_) => Err(StoreError),
                    }
                }
                .boxed()
            }),
            update: Box::new(move |name, version, bytes| {
                let objects = updating.clone();
                async move {
                    let result = objects.update(OPERATION_KIND, &name, version, bytes).await;
                    updated(result)
                }
                .boxed()
            }),
        }
    }
}

fn created(result: Result<u64, ObjectError>) -> Result<Created, StoreError> {
    match result {
        Ok(version) => Ok(Created::Made { version }),
        Err(ObjectError::Conflict) => Ok(Created::Exists),
        Err(_) => Err(StoreError),
    }
}

fn updated(result: Result<u64, ObjectError>) -> Result<Updated, StoreError> {
    match result {
        Ok(version) => Ok(Updated::Made { version }),
        Err(ObjectError::Conflict | ObjectError::NotFound) => Ok(Updated::Conflict),
        Err(_) => Err(StoreError),
    }
}
