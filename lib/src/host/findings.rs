//! Findings: reports by other hosts of the failure domain on whether a third host is alive.
//!
//! In a large fleet most hosts do not send heartbeats to each other, so a host relies on findings
//! for the hosts that it does not monitor itself. A finding takes effect only if this host has no
//! later evidence than the reporter that the third host is alive.

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

/// A host that is reported dead is marked dead although this host has later evidence than the
/// reporter that it is alive, if that evidence is later by at most this much. The evidence may
/// itself come from a finding. A finding carries the age of the evidence and takes time to arrive,
/// so that the evidence seems later than it was.
const REPORT_DELAY_MARGIN: Duration = Duration::from_secs(3);

impl Membership {
    /// Applies findings received from `from`; ignores them in a full mesh, where every host
    /// receives heartbeats from every other. Findings on third hosts count only from hosts of this
    /// host's failure domain, because a host of another one may be on the other side of a network
    /// partition. Any host may report this host itself as suspect or dead, and gets a heartbeat in
    /// return.
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
        // The clocks of two hosts cannot be compared, so the age is subtracted from the own time.
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
    /// from that host after `evidence_at`, the time of the latest evidence known to `from`, or
    /// knows a later incarnation of it. Returns whether it does so. Evidence that other hosts have
    /// reported does not count: relayed again and again, it would seem ever more recent.
    fn refute(&mut self, from: HostId, finding: &Finding, evidence_at: Timestamp) -> bool {
        let Some(record) = self.records.get(&finding.host) else {
            return false;
        };
        let is_old_incarnation = is_old_incarnation(finding, record);
        let is_newer = is_old_incarnation || record.last_message > evidence_at;
        if !record.alive || record.is_suspect() || !is_newer {
            return false;
        }
        self.outbox.entry(from).or_default().insert(finding.host);
        true
    }

    /// Marks a host dead that another host reports dead, unless this host has later evidence that
    /// it is alive (see [`REPORT_DELAY_MARGIN`]).
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

    /// Marks a host alive that another host reports alive, if the reported evidence is later than
    /// the start of the silence that this host has seen.
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
            // Others receive messages from the host, but this one does not. If the host stays
            // silent, this host suspects it again and asks the others again.
            self.reset_silence_deadline(finding.host, MONITOR_GRACE);
        }
        if revived && self.reports_on(finding.host) {
            // As a monitor, this host may have reported the host dead to its failure domain.
            self.report_to_domain(finding.host);
        }
    }
}

/// Whether a finding is about an earlier incarnation (process start) of a host than the known one.
/// The default incarnation means that the reporter does not know the host's incarnation, because no
/// message or finding has brought it.
fn is_old_incarnation(finding: &Finding, record: &Record) -> bool {
    finding.incarnation != Incarnation::default() && finding.incarnation < record.incarnation
}
