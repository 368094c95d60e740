//! Counts a request at a server for the roll-outs: when it is sent, when its response starts, and what
//! becomes of it.

use compact_str::CompactString;
use xxhash_rust::xxh3::xxh3_64;

use super::admission::Admitted;
use super::fleet::Fleet;
use super::fleet::RequestOutcome;
use super::request_placement::Placement;
use super::rollout::AttemptOutcome;
use super::rollout::VersionChoice;
use super::stream_origins::VersionId;
use crate::time::Timestamp;

/// A request that was sent to a server of a version.
#[derive(Clone, Debug)]
pub(crate) struct VersionTraffic {
    /// Name of the service.
    pub(crate) service: CompactString,
    /// Name of the version of the server.
    pub(crate) version_name: CompactString,
    service_hash: u64,
    route: u64,
    version: VersionId,
    sent_at: Timestamp,
    /// Whether the server was in its cold start.
    is_cold: bool,
    has_responded: bool,
}

impl Fleet {
    /// Decides which software versions the server of a request may have. `bound_to` is set if the
    /// request continues a stream, which only servers of that version may do. A request that has failed
    /// at a server is not used to try a version: its caller would lose it to a bad one.
    pub(super) fn choose_versions(
        &mut self,
        now: Timestamp,
        admitted: &Admitted,
        bound_to: Option<VersionId>,
        is_retry: bool,
    ) -> VersionChoice {
        if let Some(version) = bound_to {
            return VersionChoice::Only(version);
        }
        let service = xxh3_64(admitted.service.as_bytes());
        if is_retry && let Some(target) = self.rollouts.target_in_progress(service) {
            return VersionChoice::Except(target);
        }
        let route = xxh3_64(admitted.route.name.as_bytes());
        self.rollouts.exposure().choose(now, service, route)
    }

    /// Counts a request that is sent to the server of its placement. `None` if no orders are followed.
    pub(super) fn on_version_sent(
        &mut self,
        now: Timestamp,
        admitted: &Admitted,
        placed: &Placement,
    ) -> Option<VersionTraffic> {
        if !self.rollouts.is_enabled() {
            return None;
        }
        let server = self.servers.get(placed.server);
        let traffic = VersionTraffic {
            service: admitted.service.clone(),
            version_name: placed.entry.version.clone(),
            service_hash: xxh3_64(admitted.service.as_bytes()),
            route: xxh3_64(admitted.route.name.as_bytes()),
            version: placed.version,
            sent_at: now,
            is_cold: server.is_some_and(|server| server.is_cold(now)),
            has_responded: false,
        };
        let exposure = self.rollouts.exposure();
        exposure.on_sent(now, traffic.service_hash, traffic.route, traffic.version);
        Some(traffic)
    }

    /// Counts that the response to a request has started.
    pub(super) fn on_version_response(&mut self, now: Timestamp, traffic: &mut VersionTraffic) {
        if std::mem::replace(&mut traffic.has_responded, true) {
            return;
        }
        let after = (!traffic.is_cold).then(|| now.since(traffic.sent_at));
        self.count_outcome(traffic, AttemptOutcome::Responded { after });
    }

    /// Counts that a request no longer runs at its server. Returns the name of its outcome if the service
    /// has an order to roll out a version.
    pub(super) fn on_version_ended(
        &mut self,
        now: Timestamp,
        traffic: &VersionTraffic,
        outcome: RequestOutcome,
    ) -> Option<&'static str> {
        let (outcome, name) = match outcome {
            RequestOutcome::Answered => (None, "answered"),
            // What has started to respond is counted as that.
            RequestOutcome::Expired | RequestOutcome::Abandoned if traffic.has_responded => {
                (None, "abandoned")
            }
            RequestOutcome::Expired | RequestOutcome::Abandoned => {
                (Some(AttemptOutcome::Neutral), "abandoned")
            }
            RequestOutcome::Refused | RequestOutcome::Misdirected => {
                (Some(AttemptOutcome::Neutral), "refused")
            }
            RequestOutcome::Unreachable => (Some(AttemptOutcome::Unreachable), "unreachable"),
            RequestOutcome::Failed | RequestOutcome::Broken | RequestOutcome::TimedOut => {
                (Some(AttemptOutcome::Failed), "failed")
            }
        };
        if let Some(outcome) = outcome {
            self.count_outcome(traffic, outcome);
        }
        let took = now.since(traffic.sent_at);
        let exposure = self.rollouts.exposure();
        exposure.on_ended(traffic.service_hash, traffic.route, traffic.version, took);
        exposure.state(traffic.service_hash).map(|_| name)
    }

    fn count_outcome(&mut self, traffic: &VersionTraffic, outcome: AttemptOutcome) {
        let exposure = self.rollouts.exposure();
        exposure.on_outcome(
            traffic.service_hash,
            traffic.route,
            traffic.version,
            outcome,
        );
    }
}
