//! Decides which configuration is active after the platform has gone back to an older state.
//!
//! The host may then hold a newer configuration than the platform. Its operators write that again,
//! so the host keeps it: it must not follow dropped routes or accept revoked keys in between. If
//! they do not, what the platform holds becomes active after a grace period, but keys that the
//! newer configuration had revoked stay revoked until the operators write a newer one.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;

use super::config::FleetConfig;
use super::fleet::Fleet;
use crate::time::Timestamp;

/// How long the operators have to write a newer configuration again. It is several times the time
/// in which they notice, since a host that follows an older configuration too early breaks what
/// callers rely on, and one that follows it late only delays a change.
const REWRITE_GRACE: Duration = Duration::from_secs(30);

/// State that follows from a return of the platform to an older state.
#[derive(Clone, Debug, Default)]
pub(super) struct ConfigRestore {
    /// When the platform's configuration becomes active even if it is older than the active one.
    /// `None` if the platform has not gone back.
    adopt_at: Option<Timestamp>,
    /// Configuration on the platform, if it is older than the active one.
    stored: Option<FleetConfig>,
    /// Keys that the platform's configuration contains, but a newer one had revoked.
    revoked_keys: HashSet<CompactString>,
    /// Version of that newer configuration.
    lost_version: u64,
}

impl ConfigRestore {
    /// Whether a key was revoked by a configuration that the platform has lost.
    pub(super) fn is_revoked(&self, key: &str) -> bool {
        self.revoked_keys.contains(key)
    }
}

impl Fleet {
    /// Records that the platform has gone back to an older state.
    pub fn on_config_restored(&mut self, now: Timestamp) {
        self.restore.adopt_at = Some(now + REWRITE_GRACE);
        self.restore.stored = None;
    }

    /// Activates a configuration that was read from the platform if its version is higher than the
    /// active one's. After the platform has gone back, a different configuration of the same version
    /// replaces the active one too, and an older one may become active later. Returns whether the
    /// active configuration has changed.
    pub fn apply_config(&mut self, config: FleetConfig) -> bool {
        let Some(active) = &self.config else {
            self.config = Some(Arc::new(config));
            return true;
        };
        let is_restored = self.restore.adopt_at.is_some();
        let is_replaced = is_restored && config.version == active.version && config != **active;
        if config.version < active.version && is_restored {
            self.restore.stored = Some(config);
            return false;
        }
        self.restore.stored = None;
        if config.version <= active.version && !is_replaced {
            return false;
        }
        if config.version > self.restore.lost_version {
            self.restore.revoked_keys.clear();
        }
        self.config = Some(Arc::new(config));
        true
    }

    /// Activates the platform's configuration if it is older than the active one and the operators
    /// have not written a newer one in time. Returns its version if it did.
    pub fn adopt_stored_config(&mut self, now: Timestamp) -> Option<u64> {
        let adopt_at = self.restore.adopt_at?;
        if !adopt_at.has_passed(now) {
            return None;
        }
        self.restore.adopt_at = None;
        let stored = self.restore.stored.take()?;
        let active = self.config.as_ref()?;
        let revoked = stored.keys().filter(|key| !active.has_key(key));
        let revoked: Vec<_> = revoked.cloned().collect();
        self.restore.revoked_keys.extend(revoked);
        self.restore.lost_version = self.restore.lost_version.max(active.version);
        let version = stored.version;
        self.config = Some(Arc::new(stored));
        Some(version)
    }
}
