//! What other hosts tell of a host. Own evidence goes before it.

use std::time::Duration;

use super::Membership;
use super::MembershipChange;
use super::membership::ROLE_GRACE;
use super::record::Record;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::message::Finding;
use crate::message::Health;
use crate::time::Timestamp;

/// How much later a sign of life may seem than it was, because findings take time to arrive.
const SIGN_MARGIN: Duration = Duration::from_secs(3);

impl Membership {
    /// Takes in findings of another host. They count only in a large fleet and only from hosts of
    /// the own failure domain, because hosts of another one may be on the other side of a
    /// network partition; but any host may ask this one whether it lives.
    pub fn told(
        &mut self,
        now: Timestamp,
        from: HostId,
        findings: &[Finding],
    ) -> Vec<MembershipChange> {
        self.now = now;
        let mut changes = Vec::new();
        let is_near = self.domain(from) == Some(self.own_domain);
        let counts = |finding: &&Finding| is_near || finding.host == self.own;
        if !self.uses_hearsay() {
            return changes;
        }
        let counting: Vec<_> = findings.iter().filter(counts).copied().collect();
        for finding in &counting {
            self.take_in(from, finding, &mut changes);
        }
        changes
    }

    fn take_in(&mut self, from: HostId, finding: &Finding, changes: &mut Vec<MembershipChange>) {
        if finding.host == self.own {
            self.answer_for_itself(from, finding);
            return;
        }
        let age = Duration::from_micros(finding.age_us);
        let sign = Timestamp::ZERO + self.now.since(Timestamp::ZERO + age);
        match finding.health {
            Health::Alive => self.take_in_alive(finding, sign, changes),
            Health::Suspect => {
                self.contradict(from, finding, sign);
            }
            Health::Dead => self.take_in_dead(from, finding, sign, changes),
        }
    }

    /// A host that is wrongly held to be dead shows the teller that it lives.
    fn answer_for_itself(&mut self, from: HostId, finding: &Finding) {
        if finding.health != Health::Alive {
            self.greetings.insert(from);
        }
    }

    /// Tells `from` that a host is alive if this host itself has heard it later. Findings of third
    /// hosts are not passed on: with each pass a sign of life would seem fresher than it is.
    fn contradict(&mut self, from: HostId, finding: &Finding, sign: Timestamp) -> bool {
        let Some(record) = self.records.get(&finding.host) else {
            return false;
        };
        let is_old_life = is_old_life(finding, record);
        let is_fresher = is_old_life || record.direct > sign;
        if !record.alive || record.is_suspect() || !is_fresher {
            return false;
        }
        self.outbox.entry(from).or_default().insert(finding.host);
        true
    }

    /// A host is dead by hearsay if this host knows of no later sign of life.
    fn take_in_dead(
        &mut self,
        from: HostId,
        finding: &Finding,
        sign: Timestamp,
        changes: &mut Vec<MembershipChange>,
    ) {
        if self.contradict(from, finding, sign) {
            return;
        }
        let Some(record) = self.records.get_mut(&finding.host) else {
            return;
        };
        let is_old_life = is_old_life(finding, record);
        if !record.alive || is_old_life || record.sign > sign + SIGN_MARGIN {
            return;
        }
        record.sign = record.sign.max(sign);
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
        if is_old_life(finding, record) || sign <= record.known_until() {
            return;
        }
        record.sign = sign;
        let is_suspect = record.is_suspect();
        if finding.incarnation != Incarnation::default() {
            self.note_incarnation(finding.host, finding.incarnation, changes);
        }
        let revived = self.revive(finding.host, changes);
        if revived || is_suspect {
            // Others hear the host, this one does not. It asks again after further silence.
            self.expect_next(finding.host, ROLE_GRACE);
        }
        if revived && self.is_watched(finding.host) {
            // This host has told all others that the host is dead.
            self.spread(finding.host);
        }
    }
}

/// Whether a finding is about an earlier life. The teller may never have heard the host and not
/// know which life it is.
fn is_old_life(finding: &Finding, record: &Record) -> bool {
    finding.incarnation != Incarnation::default() && finding.incarnation < record.incarnation
}
