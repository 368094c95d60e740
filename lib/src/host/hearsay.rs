//! What other hosts tell of a host. Own evidence goes before it.

use std::time::Duration;

use super::Membership;
use super::MembershipChange;
use crate::id::HostId;
use crate::message::Finding;
use crate::time::Timestamp;

impl Membership {
    /// Takes in findings of another host. They count only in a large fleet and only from hosts of
    /// the own failure domain, because hosts of another one may be on the other side of a
    /// network partition.
    pub fn told(
        &mut self,
        now: Timestamp,
        from: HostId,
        findings: &[Finding],
    ) -> Vec<MembershipChange> {
        self.now = now;
        let mut changes = Vec::new();
        if !self.uses_hearsay() || self.domain(from) != Some(self.own_domain) {
            return changes;
        }
        for finding in findings {
            self.take_in(from, finding, &mut changes);
        }
        changes
    }

    fn take_in(&mut self, from: HostId, finding: &Finding, changes: &mut Vec<MembershipChange>) {
        if finding.host == self.own {
            if !finding.alive {
                self.greetings.insert(from);
            }
            return;
        }
        let age = Duration::from_micros(finding.age_us);
        let sign = Timestamp::ZERO + self.now.since(Timestamp::ZERO + age);
        if finding.alive {
            self.take_in_alive(finding, sign, changes);
        } else {
            self.take_in_dead(from, finding, sign, changes);
        }
    }

    /// A host is dead by hearsay if neither this host nor any that told it has heard of it since.
    fn take_in_dead(
        &mut self,
        from: HostId,
        finding: &Finding,
        sign: Timestamp,
        changes: &mut Vec<MembershipChange>,
    ) {
        let Some(record) = self.records.get_mut(&finding.host) else {
            return;
        };
        if !record.alive {
            return;
        }
        let is_old_life = finding.incarnation < record.incarnation;
        let has_fresher = record.sign > sign;
        let watches = record.monitored && !record.silence_deadline.has_passed(self.now);
        if is_old_life || has_fresher || watches {
            self.contradict(from, finding.host);
            return;
        }
        self.bury(finding.host, changes);
    }

    /// A host lives by hearsay if the sign of life is later than any that this host knows of.
    fn take_in_alive(
        &mut self,
        finding: &Finding,
        sign: Timestamp,
        changes: &mut Vec<MembershipChange>,
    ) {
        let Some(record) = self.records.get_mut(&finding.host) else {
            return;
        };
        if finding.incarnation < record.incarnation || sign <= record.sign {
            return;
        }
        record.sign = sign;
        let was_alive = record.alive;
        self.note_incarnation(finding.host, finding.incarnation, changes);
        let revived = self.revive(finding.host, changes);
        if revived && !was_alive {
            self.rely_on_others(finding.host);
        }
    }

    /// This host does not hear a host that others hear: it does not judge its silence until it
    /// hears it again, so that the two findings do not alternate.
    fn rely_on_others(&mut self, host: HostId) {
        if let Some(record) = self.records.get_mut(&host) {
            record.silence_deadline = Timestamp::FAR_FUTURE;
        }
        if self.is_watched(host) {
            self.spread(host);
        }
    }

    /// Tells a host that another one is alive; all of them, if this host watches it.
    fn contradict(&mut self, receiver: HostId, host: HostId) {
        if self.is_watched(host) {
            self.spread(host);
        } else {
            self.outbox.entry(receiver).or_default().insert(host);
        }
    }
}
