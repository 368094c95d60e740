//! Messages that membership sends: heartbeats and findings (reports on whether a third host is
//! alive).
//!
//! In a small fleet, a full mesh, every host sends heartbeats to every other. In a large fleet a
//! host sends them to its monitors, a few hosts of its own failure domain and one of each other.

use std::time::Duration;

use super::Membership;
use super::membership::DIGEST_INTERVAL;
use super::membership::PROBE_INTERVAL;
use super::membership::START_GRACE;
use crate::id::HostId;
use crate::message::Finding;
use crate::message::Health;
use crate::time::Timestamp;

/// Time between two heartbeats to a host in a full mesh.
const MESH_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two heartbeats to a monitor in the same failure domain, in a large fleet.
const LOCAL_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two heartbeats to a monitor in another failure domain, in a large fleet.
const REMOTE_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Limit on the dead hosts in a digest, the periodic message that repeats which hosts are dead. If
/// there are more, those with the lowest identifiers are in it.
const MAX_DIGEST_FINDINGS: usize = 128;

impl Membership {
    /// Hosts that get a heartbeat with this tick.
    pub(crate) fn due_heartbeats(&mut self) -> Vec<HostId> {
        let mut due = std::mem::take(&mut self.immediate_heartbeats);
        if self.broadcast_rounds_left > 0 && self.broadcast_at.has_passed(self.now) {
            self.broadcast_rounds_left -= 1;
            self.broadcast_at = self.now + START_GRACE;
            due.extend(self.known_hosts());
        }
        let interval = if self.full_mesh {
            MESH_HEARTBEAT_INTERVAL
        } else {
            LOCAL_HEARTBEAT_INTERVAL
        };
        if advance_if_due(&mut self.local_heartbeat_at, self.now, interval) {
            if self.full_mesh {
                due.extend(self.known_hosts());
            } else {
                due.extend(&self.local_monitors);
            }
        }
        if advance_if_due(
            &mut self.remote_heartbeat_at,
            self.now,
            REMOTE_HEARTBEAT_INTERVAL,
        ) {
            due.extend(&self.remote_monitors);
        }
        if advance_if_due(&mut self.probe_at, self.now, PROBE_INTERVAL) {
            due.extend(self.next_dead_host());
        }
        due.remove(&self.own);
        due.into_iter().collect()
    }

    /// The listed host that is considered dead and whose turn it is to get a heartbeat.
    fn next_dead_host(&mut self) -> Option<HostId> {
        let dead = self.select(|record| record.listed && !record.alive);
        let next = next_after(&dead, self.last_probed)?;
        self.last_probed = next;
        Some(next)
    }

    /// Findings to send with this tick, with their receivers.
    pub(crate) fn due_findings(&mut self) -> Vec<(HostId, Vec<Finding>)> {
        if advance_if_due(&mut self.digest_at, self.now, DIGEST_INTERVAL) && !self.full_mesh {
            self.prepare_digest();
        }
        std::mem::take(&mut self.outbox)
            .into_iter()
            .map(|(receiver, hosts)| {
                let findings = hosts.into_iter().filter_map(|host| self.finding(host));
                (receiver, findings.collect::<Vec<_>>())
            })
            .filter(|(_, findings)| !findings.is_empty())
            .collect()
    }

    /// Prepares a digest for one host of this host's failure domain, each time the next one: a
    /// report of the hosts that are considered dead, in case an earlier report was lost.
    fn prepare_digest(&mut self) {
        let mut receivers = self.alive_hosts(self.own_domain);
        receivers.retain(|host| *host != self.own);
        let dead = self.select(|record| record.listed && !record.alive);
        let Some(receiver) = next_after(&receivers, self.last_digest_to) else {
            return;
        };
        self.last_digest_to = receiver;
        let about = dead.into_iter().take(MAX_DIGEST_FINDINGS);
        self.outbox.entry(receiver).or_default().extend(about);
    }

    /// What this host knows of `host`, as a report to others. `None` without a record of it.
    fn finding(&self, host: HostId) -> Option<Finding> {
        let record = self.records.get(&host)?;
        let age = self.now.since(record.silent_since()).as_micros();
        let health = match (record.alive, record.is_suspect()) {
            (true, false) => Health::Alive,
            (true, true) => Health::Suspect,
            (false, _) => Health::Dead,
        };
        Some(Finding {
            host,
            incarnation: record.incarnation,
            health,
            age_us: u64::try_from(age).unwrap_or(u64::MAX),
        })
    }
}

/// Returns whether the time `at` has passed, and if so moves it `interval` later. If that time has
/// passed as well, it becomes `interval` from now, so that missed rounds are not made up.
fn advance_if_due(at: &mut Timestamp, now: Timestamp, interval: Duration) -> bool {
    if !at.has_passed(now) {
        return false;
    }
    let next = *at + interval;
    *at = if next.has_passed(now) {
        now + interval
    } else {
        next
    };
    true
}

/// The host that follows `last` in the ascending list `hosts`, or the first one.
fn next_after(hosts: &[HostId], last: HostId) -> Option<HostId> {
    let next = hosts.iter().find(|host| **host > last);
    next.or(hosts.first()).copied()
}
