//! The platform's object API, which stores versioned objects, in memory. It can lose calls and
//! responses on demand.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use bytes::Bytes;
use cardamomshift_lib::operation::Created;
use cardamomshift_lib::operation::Store;
use cardamomshift_lib::operation::StoreError;
use cardamomshift_lib::operation::Stored;
use cardamomshift_lib::operation::Updated;
use compact_str::CompactString;
use futures::FutureExt;

/// Fault that is injected into one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call succeeds.
    None,
    /// The call takes effect, but its response is lost.
    ResponseLost,
    /// The call is lost and takes no effect.
    RequestLost,
}

#[derive(Default)]
struct Inner {
    objects: HashMap<CompactString, Stored>,
    /// Number of writes so far, which is the version of the latest one.
    writes: u64,
    faults: VecDeque<Fault>,
    is_unreachable: bool,
}

impl Inner {
    fn next_fault(&mut self) -> Fault {
        if self.is_unreachable {
            return Fault::RequestLost;
        }
        self.faults.pop_front().unwrap_or(Fault::None)
    }

    fn put(&mut self, name: CompactString, bytes: Bytes) -> u64 {
        self.writes += 1;
        let version = self.writes;
        self.objects.insert(name, Stored { version, bytes });
        version
    }
}

/// The object API in memory. Clones share its objects.
#[derive(Clone, Default)]
pub struct Platform(Arc<Mutex<Inner>>);

impl Platform {
    /// Injects these faults into the next calls, one each.
    pub fn inject_faults(&self, faults: impl IntoIterator<Item = Fault>) {
        self.lock().faults.extend(faults);
    }

    pub fn set_unreachable(&self, is_unreachable: bool) {
        self.lock().is_unreachable = is_unreachable;
    }

    /// Returns the contents of all objects as text.
    pub fn texts(&self) -> Vec<String> {
        let inner = self.lock();
        let text = |stored: &Stored| String::from_utf8_lossy(&stored.bytes).into_owned();
        inner.objects.values().map(text).collect()
    }

    pub fn store(&self) -> Store {
        let (a, b, c) = (self.clone(), self.clone(), self.clone());
        Store {
            create: Box::new(move |name, bytes| {
                let result = a.call(|inner| match inner.objects.contains_key(&name) {
                    true => Created::Exists,
                    false => Created::Made {
                        version: inner.put(name, bytes),
                    },
                });
                std::future::ready(result).boxed()
            }),
            read: Box::new(move |name| {
                let result = b.call(|inner| inner.objects.get(&name).cloned());
                std::future::ready(result).boxed()
            }),
            update: Box::new(move |name, version, bytes| {
                let result = c.call(|inner| match inner.objects.get(&name) {
                    Some(stored) if stored.version == version => Updated::Made {
                        version: inner.put(name, bytes),
                    },
                    _ => Updated::Conflict,
                });
                std::future::ready(result).boxed()
            }),
        }
    }

    fn call<T>(&self, effect: impl FnOnce(&mut Inner) -> T) -> Result<T, StoreError> {
        let mut inner = self.lock();
        match inner.next_fault() {
            Fault::None => Ok(effect(&mut inner)),
            Fault::ResponseLost => {
                effect(&mut inner);
                Err(StoreError)
            }
            Fault::RequestLost => Err(StoreError),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap()
    }
}
