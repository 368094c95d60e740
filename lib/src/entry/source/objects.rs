//! Keeps the objects of one kind, also those that the platform has lost.
//!
//! When the platform goes back to an older state, objects that were written since are gone until
//! their owners write them again. A host keeps those that it knew for some time, so that what they
//! say does not lapse in between: a failure domain that was taken out of service stays out, and a
//! host that runs counts in the shares of the fleet's limits.

use std::collections::HashMap;

use compact_str::CompactString;

use super::RESTORE_GRACE;
use crate::time::Timestamp;

/// Objects by name.
#[derive(Debug)]
pub struct KeptObjects<T> {
    objects: HashMap<CompactString, KeptObject<T>>,
    /// Until when objects that are missing from a list are kept. Set when the platform has gone
    /// back to an older state.
    keep_until: Timestamp,
}

#[derive(Debug)]
struct KeptObject<T> {
    value: T,
    /// When the object is dropped, if it is missing on the platform.
    drop_at: Option<Timestamp>,
}

impl<T> Default for KeptObjects<T> {
    fn default() -> Self {
        Self {
            objects: HashMap::new(),
            keep_until: Timestamp::ZERO,
        }
    }
}

impl<T: PartialEq> KeptObjects<T> {
    /// Records that the platform has gone back to an older state.
    pub fn on_restored(&mut self, now: Timestamp) {
        self.keep_until = now + RESTORE_GRACE;
    }

    /// Replaces the objects by a complete list. Returns whether they have changed.
    pub fn list(&mut self, now: Timestamp, listed: Vec<(CompactString, T)>) -> bool {
        let mut is_changed = false;
        let mut before = std::mem::take(&mut self.objects);
        for (name, value) in listed {
            let old = before.remove(&name);
            is_changed |= old.is_none_or(|old| old.value != value);
            let object = KeptObject {
                value,
                drop_at: None,
            };
            self.objects.insert(name, object);
        }
        if self.keep_until.has_passed(now) {
            return is_changed || !before.is_empty();
        }
        for (name, object) in before {
            let drop_at = object.drop_at.or(Some(self.keep_until));
            let object = KeptObject { drop_at, ..object };
            self.objects.insert(name, object);
        }
        is_changed
    }

    /// Adds or replaces an object. Returns whether it has changed.
    pub fn set(&mut self, name: CompactString, value: T) -> bool {
        let is_changed = self.objects.get(&name).map(|object| &object.value) != Some(&value);
        let object = KeptObject {
            value,
            drop_at: None,
        };
        self.objects.insert(name, object);
        is_changed
    }

    /// Removes an object. Returns whether it was there.
    pub fn remove(&mut self, name: &str) -> bool {
        self.objects.remove(name).is_some()
    }

    /// Drops the objects that were not written again in time. Returns whether there were any.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let before = self.objects.len();
        self.objects
            .retain(|_, object| object.drop_at.is_none_or(|at| !at.has_passed(now)));
        self.objects.len() < before
    }

    /// Names and objects, those that are kept included.
    pub fn iter(&self) -> impl Iterator<Item = (&CompactString, &T)> {
        self.objects
            .iter()
            .map(|(name, object)| (name, &object.value))
    }

    /// An object that is on the platform as far as known.
    pub fn stored(&self, name: &str) -> Option<&T> {
        let object = self.objects.get(name)?;
        object.drop_at.is_none().then_some(&object.value)
    }
}
