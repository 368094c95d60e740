//! Encodes and decodes the messages about roll-outs (see `codec`).

use std::time::Duration;

use snafu::ResultExt;

use super::codec::DatagramError;
use super::codec::KindSnafu;
use super::codec::micros;
use super::schedule_capnp::rollout_permit;
use super::schedule_capnp::rollout_report;
use super::schedule_capnp::route_outcomes;
use crate::entry::rollout::RolloutPermit;
use crate::entry::rollout::RolloutPhase;
use crate::entry::rollout::RolloutReport;
use crate::entry::rollout::RouteOutcomes;
use crate::entry::rollout::StartTimes;
use crate::entry::stream_origins::VersionId;

pub(super) fn write_rollout_report(mut out: rollout_report::Builder<'_>, report: &RolloutReport) {
    out.set_service(report.service);
    out.set_target(report.target.0);
    out.set_order(report.order);
    out.set_incarnation(report.incarnation);
    out.set_age(micros(report.age));
    out.set_running_old(report.running_old);
    out.set_requests(report.requests);
    let count = u32::try_from(report.outcomes.len()).unwrap_or(u32::MAX);
    let mut list = out.reborrow().init_outcomes(count);
    for (index, outcomes) in (0..count).zip(&report.outcomes) {
        let mut out = list.reborrow().get(index);
        out.set_route(outcomes.route);
        out.set_is_target(outcomes.is_target);
        out.set_sent(outcomes.sent);
        out.set_failed(outcomes.failed);
        let counts = outcomes.start_times.counts();
        let count = u32::try_from(counts.len()).unwrap_or(u32::MAX);
        let mut classes = out.init_start_times(count);
        for (index, number) in (0..count).zip(counts) {
            classes.set(index, *number);
        }
    }
}

pub(super) fn read_rollout_report(
    report: rollout_report::Reader<'_>,
) -> Result<RolloutReport, capnp::Error> {
    let read_outcomes = |outcomes: route_outcomes::Reader<'_>| {
        Ok(RouteOutcomes {
            route: outcomes.get_route(),
            is_target: outcomes.get_is_target(),
            sent: outcomes.get_sent(),
            failed: outcomes.get_failed(),
            start_times: StartTimes::from_counts(outcomes.get_start_times()?.iter()),
        })
    };
    let outcomes: Result<_, capnp::Error> =
        report.get_outcomes()?.iter().map(read_outcomes).collect();
    Ok(RolloutReport {
        service: report.get_service(),
        target: VersionId(report.get_target()),
        order: report.get_order(),
        incarnation: report.get_incarnation(),
        age: Duration::from_micros(report.get_age()),
        running_old: report.get_running_old(),
        requests: report.get_requests(),
        outcomes: outcomes?,
    })
}

pub(super) fn write_rollout_permit(mut out: rollout_permit::Builder<'_>, permit: &RolloutPermit) {
    out.set_service(permit.service);
    out.set_target(permit.target.0);
    out.set_order(permit.order);
    out.set_valid_for(micros(permit.valid_for));
    match permit.phase {
        RolloutPhase::Canary { share_millionths } => out.set_canary(share_millionths),
        RolloutPhase::Shift { remaining } => out.set_shift(micros(remaining)),
        RolloutPhase::Completed => out.set_completed(()),
        RolloutPhase::Reverted => out.set_reverted(()),
    }
}

pub(super) fn read_rollout_permit(
    permit: rollout_permit::Reader<'_>,
) -> Result<RolloutPermit, DatagramError> {
    let phase = match permit.which().context(KindSnafu)? {
        rollout_permit::Canary(share_millionths) => RolloutPhase::Canary { share_millionths },
        rollout_permit::Shift(remaining) => RolloutPhase::Shift {
            remaining: Duration::from_micros(remaining),
        },
        rollout_permit::Completed(()) => RolloutPhase::Completed,
        rollout_permit::Reverted(()) => RolloutPhase::Reverted,
    };
    Ok(RolloutPermit {
        service: permit.get_service(),
        target: VersionId(permit.get_target()),
        order: permit.get_order(),
        valid_for: Duration::from_micros(permit.get_valid_for()),
        phase,
    })
}
