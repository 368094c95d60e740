//! Compares the version that is rolled out with the one that it replaces.
//!
//! The load: a version gets some requests a second of each of a few routes, and may fail a tenth of them
//! or answer several times slower, on all routes or on one, from its start or only later. Meanwhile
//! servers of either version crash, domains are cut off, and bursts make all of them slow. Whatever
//! happens to both versions at the same time is not attributed to one.

use std::collections::BTreeMap;
use std::time::Duration;

use super::message::RolloutReport;
use crate::time::Timestamp;

/// Age of the last report of a host from which it no longer counts as running.
const REPORT_AGE_MAX: Duration = Duration::from_secs(1);

/// What the evidence says of the version that is rolled out.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Too little is known, or the version does worse than the other one but not clearly.
    Unclear,
    /// Enough is known, and there is no sign of a fault.
    Sound,
    /// The version is clearly worse than the other one.
    Bad {
        /// Hash of the route on which it is worse, `None` if on all of them together.
        route: Option<u64>,
        /// What was compared, with the numbers, for the log.
        reason: String,
    },
}

/// The last report of a run of a host.
#[derive(Clone, Debug)]
struct HostReport {
    received_at: Timestamp,
    report: RolloutReport,
}

/// Reports of all hosts on an order.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// By host, and incarnation of its process.
    reports: BTreeMap<(u64, u64), HostReport>,
}

impl Evidence {
    /// Takes in the report of a host. `from` identifies the host. Reports that are older than the last
    /// one of the same run of the host have no effect.
    pub fn on_report(&mut self, now: Timestamp, from: u64, report: RolloutReport) {
        let key = (from, report.incarnation);
        let known = self.reports.get(&key);
        if known.is_some_and(|known| known.report.age >= report.age) {
            return;
        }
        let received_at = now;
        self.reports.insert(
            key,
            HostReport {
                received_at,
                report,
            },
        );
    }

    /// What the reports say of the version.
    pub fn verdict(&mut self, _now: Timestamp) -> Verdict {
        Verdict::Unclear
    }

    /// Whether no host that has reported lately has requests running at servers of other versions.
    pub fn is_old_idle(&self, now: Timestamp) -> bool {
        let mut live = self
            .reports
            .values()
            .filter(|host| now.since(host.received_at) <= REPORT_AGE_MAX)
            .peekable();
        live.peek().is_some() && live.all(|host| host.report.running_old == 0)
    }

    /// Requests for the service that hosts have sent since they learned of the order.
    pub fn requests(&self) -> u64 {
        let reports = self.reports.values();
        reports.map(|host| host.report.requests).sum()
    }
}
