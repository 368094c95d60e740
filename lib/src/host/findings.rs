//! Findings: reports by other hosts of the failure domain on whether a third host is alive.
//!
//! In a large fleet most hosts do not send heartbeats to each other, so a host relies on findings
//! for the hosts that it does not monitor itself. A finding takes effect only if this host has no
//! later sign of life than the reporter.

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

/// Tolerance when a reported time is compared with an own one. A finding carries the age of the
/// reporter's last sign of life and takes time to arrive, so that sign seems later than it was.
const REPORT_DELAY_MARGIN: Duration = Duration::from_secs(3);

impl Membership {
    /// Applies findings received from `from`; ignores them in a small fleet, where every host hears
    /// every other. Findings on third hosts count only from hosts of the own failure domain,
    /// because a host of another one may be on the other side of a network partition. Any host may
    /// report on this host itself, which then answers with a heartbeat.
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

    /// Sends a heartbeat to a host that reports this one as suspect or dead, to show that it is
    /// alive.
    fn refute_own_death(&mut self, from: HostId, finding: &Finding) {
        if finding.health != Health::Alive {
            self.immediate_heartbeats.insert(from);
        }
    }

    /// Reports to `from` that the host of a finding is alive, if this host has received a message
    /// from that host after `evidence_at`, the last sign of life known to `from`, or knows a later
    /// incarnation of it. Returns whether it does so. Signs of life that other hosts have reported
    /// do not count: relayed again and again, an old one would seem ever more recent.
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

    /// Marks a host dead that another host reports dead, unless this host knows of a later sign of
    /// life.
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

    /// Marks a host alive that another host reports alive, if the reported sign of life is later
    /// than any that this host knows of.
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
            // Others receive messages from the host, this one does not. It asks them again if the
            // host stays silent.
            self.reset_silence_deadline(finding.host, MONITOR_GRACE);
        }
        if revived && self.is_monitored(finding.host) {
            // This host had reported the host dead to its failure domain.
            self.report_to_domain(finding.host);
        }
    }
}

/// Whether a finding is about an earlier incarnation (process start) of a host than the known one.
/// The default incarnation means that the reporter has never received a message from the host and
/// does not know its incarnation.
fn is_old_incarnation(finding: &Finding, record: &Record) -> bool {
    finding.incarnation != Incarnation::default() && finding.incarnation < record.incarnation
}
