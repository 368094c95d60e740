//! Distribution of the configuration among hosts.
//!
//! Only two hosts of each failure domain, the watchers, read the configuration from the platform,
//! so that the load on the platform does not grow with the fleet. They send each new revision to
//! the other hosts. A host that misses one learns of the newer revision from heartbeats and asks
//! for it. The platform is the external system that stores the host list and the configuration.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use log::warn;

use super::Node;
use super::NodeAction;
use crate::configuration::Configuration;
use crate::configuration::DocumentError;
use crate::id::HostId;
use crate::message::ConfigurationRequest;
use crate::message::ConfigurationUpdate;
use crate::message::PeerMessage;
use crate::time::Timestamp;

/// Minimum time between two requests for a newer configuration, whichever hosts they go to.
const CONFIGURATION_REQUEST_INTERVAL: Duration = Duration::from_millis(200);

impl Node {
    /// Handles a configuration that this host has read from the platform, and relays it if it is
    /// new.
    pub(super) fn configuration_read(
        &mut self,
        now: Timestamp,
        revision: u64,
        document: Bytes,
        out: &mut Vec<NodeAction>,
    ) {
        let result = self.follower.offer_document(revision, document);
        if self.is_new(result) {
            self.relay_configuration(now, out);
            self.rebuild_catalog(now, out);
        }
    }

    /// Handles a configuration that this host has stored on the platform, and relays it if it is
    /// new.
    pub(super) fn configuration_stored(
        &mut self,
        now: Timestamp,
        configuration: &Arc<Configuration>,
        out: &mut Vec<NodeAction>,
    ) {
        let result = self.follower.offer(configuration);
        if self.is_new(result) {
            self.relay_configuration(now, out);
            self.rebuild_catalog(now, out);
        }
    }

    /// Handles a configuration that another host has sent. It is not relayed further: hosts that it
    /// does not reach ask for it.
    pub(super) fn configuration_received(
        &mut self,
        now: Timestamp,
        update: ConfigurationUpdate,
        out: &mut Vec<NodeAction>,
    ) {
        let result = self
            .follower
            .offer_document(update.revision, update.document);
        if self.is_new(result) {
            self.rebuild_catalog(now, out);
        }
    }

    /// Asks a host for its configuration if `revision`, which its heartbeat shows, is newer than
    /// the one in force here. Does so at most once in each [`CONFIGURATION_REQUEST_INTERVAL`].
    pub(super) fn request_newer_configuration(
        &mut self,
        now: Timestamp,
        host: HostId,
        revision: u64,
        out: &mut Vec<NodeAction>,
    ) {
        let have = self.follower.revision();
        if revision <= have || !self.next_configuration_request.has_passed(now) {
            return;
        }
        self.next_configuration_request = now + CONFIGURATION_REQUEST_INTERVAL;
        let message = PeerMessage::ConfigurationRequest(ConfigurationRequest { have });
        self.send(now, host, message, out);
    }

    /// Sends the configuration in force here to a host that has revision `have`: as a difference to
    /// that revision if possible, else as the whole document. Sends nothing if that host is up to
    /// date.
    pub(super) fn send_configuration(
        &mut self,
        now: Timestamp,
        to: HostId,
        have: u64,
        out: &mut Vec<NodeAction>,
    ) {
        let Some(document) = self.follower.update_for(have) else {
            return;
        };
        let message = PeerMessage::ConfigurationUpdate(ConfigurationUpdate {
            revision: self.follower.revision(),
            document: document.to_vec(),
        });
        self.send(now, to, message, out);
    }

    /// Sends a new configuration to the hosts of the own failure domain, and to the watchers of the
    /// other domains, which may have lost their connection to the platform. Hosts whose heartbeats
    /// show that they have it are left out.
    fn relay_configuration(&mut self, now: Timestamp, out: &mut Vec<NodeAction>) {
        let revision = self.follower.revision();
        let mut receivers = self.members.alive_hosts(self.own_domain);
        for domain in self.members.domains() {
            if domain != self.own_domain {
                receivers.extend(self.members.configuration_watchers(domain));
            }
        }
        receivers.retain(|host| {
            *host != self.own && self.members.configuration_revision(*host) < revision
        });
        for host in receivers {
            self.send_configuration(now, host, self.members.configuration_revision(host), out);
        }
    }

    /// Whether an offered configuration has come into force. Logs a warning if it is unusable.
    fn is_new(&self, result: Result<Option<Arc<Configuration>>, DocumentError>) -> bool {
        match result {
            Ok(accepted) => accepted.is_some(),
            Err(err) => {
                let revision = self.follower.revision();
                warn!("rejected an unusable configuration newer than revision {revision}: {err}");
                false
            }
        }
    }
}
