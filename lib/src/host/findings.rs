//! What other hosts tell of a host. Own evidence goes before it.

use std::time::Duration;

use super::Membership;
use super::MembershipChange;
use super::membership::MONITOR_GRACE;
use super::record::Record;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::message::Finding;
use crate::message::Health;
use crate::time::Timestamp;

/// How much later a sign of life may seem than it was, because findings take time to arrive.
const REPORT_DELAY_MARGIN: Duration = Duration::from_secs(3);

impl Membership {
    /// Takes in findings of another host. They count only in a large fleet and only from hosts of
    /// the own failure domain, because hosts of another one may be on the other side of a
    /// network partition; but any host may ask this one whether it lives.
    pub fn on_findings(
        &mut self,
        now: Timestamp,
        from: HostId,
        findings: &[Finding],
    ) -> Vec<MembershipChange> {
        self.now = now;
        let mut changes = Vec::new();
        let is_local = self.domain(from) == Some(self.own_domain);
        let counts = |finding: &&Finding| is_local || finding.host == self.own;
        if !self.uses_findings() {
            return changes;
        }
        let counting: Vec<_> = findings.iter().filter(counts).copied().collect();
        for finding in &counting {
            self.apply_finding(from, finding, &mut changes);
        }
        changes
    }

    fn apply_finding(
        &mut self,
        from: HostId,
        finding: &Finding,
        changes: &mut Vec<MembershipChange>,
    ) {
        if finding.host == self.own {
            self.refute_own_death(from, finding);
            return;
        }
        let age = Duration::from_micros(finding.age_us);
        let evidence_at = Timestamp::ZERO + self.now.since(Timestamp::ZERO + age);
        match finding.health {
            Health::Alive => self.apply_alive(finding, evidence_at, changes),
            Health::Suspect => {
                self.refute(from, finding, evidence_at);
            }
            Health::Dead => self.apply_dead(from, finding, evidence_at, changes),
        }
    }

    /// A host that is wrongly held to be dead shows the teller that it lives.
    fn refute_own_death(&mut self, from: HostId, finding: &Finding) {
        if finding.health != Health::Alive {
            self.immediate_heartbeats.insert(from);
        }
    }

    /// Tells `from` that a host is alive if this host itself has heard it later. Findings of third
    /// hosts are not passed on: with each pass a sign of life would seem fresher than it is.
    fn refute(&mut self, from: HostId, finding: &Finding, evidence_at: Timestamp) -> bool {
        let Some(record) = self.records.get(&finding.host) else {
            return false;
        };
        let is_old_incarnation = is_old_incarnation(finding, record);
        let is_fresher = is_old_incarnation || record.last_message > evidence_at;
        if !record.alive || record.is_suspect() || !is_fresher {
            return false;
        }
        self.outbox.entry(from).or_default().insert(finding.host);
        true
    }

    /// A host is dead by hearsay if this host knows of no later sign of life.
    fn apply_dead(
        &mut self,
        from: HostId,
        finding: &Finding,
        evidence_at: Timestamp,
        changes: &mut Vec<MembershipChange>,
    ) {
        if self.refute(from, finding, evidence_at) {
            return;
        }
        let Some(record) = self.records.get_mut(&finding.host) else {
            return;
        };
        let is_old_incarnation = is_old_incarnation(finding, record);
        if !record.alive
            || is_old_incarnation
            || record.last_evidence > evidence_at + REPORT_DELAY_MARGIN
        {
            return;
        }
        record.last_evidence = record.last_evidence.max(evidence_at);
        self.mark_dead(finding.host, changes);
    }

    /// A host lives by hearsay if the sign of life is later than any that this host knows of.
    fn apply_alive(
        &mut self,
        finding: &Finding,
        evidence_at: Timestamp,
        changes: &mut Vec<MembershipChange>,
    ) {
        let Some(record) = self.records.get_mut(&finding.host) else {
            return;
        };
        if is_old_incarnation(finding, record) || evidence_at <= record.silent_since() {
            return;
        }
        record.last_evidence = evidence_at;
        let is_suspect = record.is_suspect();
        if finding.incarnation != Incarnation::default() {
            self.record_incarnation(finding.host, finding.incarnation, changes);
        }
        let revived = self.mark_alive(finding.host, changes);
        if revived || is_suspect {
            // Others hear the host, this one does not. It asks again after further silence.
            self.reset_silence_deadline(finding.host, MONITOR_GRACE);
        }
        if revived && self.is_monitored(finding.host) {
            // This host has told all others that the host is dead.
            self.report_to_domain(finding.host);
        }
    }
}

/// Whether a finding is about an earlier life. The teller may never have heard the host and not
/// know which life it is.
fn is_old_incarnation(finding: &Finding, record: &Record) -> bool {
    finding.incarnation != Incarnation::default() && finding.incarnation < record.incarnation
}
