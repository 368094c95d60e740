//! Conducts the roll-outs of this host: ticks the conductor, sends its permits and the reports of this
//! host, writes the status of orders, and logs each step.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::sync::Notify;
use tokio::task::JoinSet;

use super::host::EntryHost;
use super::rollout::ConductorAction;
use super::rollout::Order;
use super::rollout::ReadRollout;
use super::rollout::RolloutState;
use super::rollout::RolloutStep;
use super::rollout::TrackedOrder;
use super::rollout::WriteError;
use super::rollout::WriteStatus;
use crate::time::Timestamp;

/// Interval between two ticks of the conductor.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Interval between the reports of a host.
const REPORT_PERIOD: Duration = Duration::from_millis(250);
/// Writes of a status before the conductor decides again: the first, and those after it was read back.
const WRITES_MAX: u32 = 3;
/// Pause after a write whose result could not be found out. The store may be down.
const WRITE_FAILED_PAUSE: Duration = Duration::from_millis(200);

/// Reads and writes objects of orders on the platform.
pub(crate) struct StatusWriter {
    /// Reads the present state of an object.
    pub(crate) read: ReadRollout,
    /// Writes the status of an object.
    pub(crate) write: WriteStatus,
}

/// Takes part in roll-outs until the task is dropped.
pub(crate) async fn run(host: Arc<EntryHost>, writer: StatusWriter) {
    let writer = Arc::new(writer);
    let mut writes = JoinSet::new();
    let written = Arc::new(Notify::new());
    let mut next_report_at = Timestamp::ZERO;
    loop {
        // Hosts are told at once that an order is completed: the old servers stop then.
        let _ = tokio::time::timeout(TICK_PERIOD, written.notified()).await;
        while writes.try_join_next().is_some() {}
        let now = host.clock.now();
        if next_report_at.has_passed(now) {
            next_report_at = now + REPORT_PERIOD;
            let reports = host.fleet().rollouts().exposure().reports(now);
            for report in reports {
                host.link.send_report(&host, report).await;
            }
        }
        let is_stopping = host.fleet().is_stopping();
        let rank_of = |service| {
            let rank = host.link.conductor_rank(service, None);
            rank.filter(|_| !is_stopping)
        };
        let actions = host.fleet().rollouts().tick(now, rank_of);
        for action in actions {
            match action {
                ConductorAction::Send(permit) => host.link.send_permit(&host, permit).await,
                ConductorAction::Write { order, state } => {
                    let written = written.clone();
                    let writing = write_state(host.clone(), writer.clone(), order, state);
                    writes.spawn(async move {
                        writing.await;
                        written.notify_one();
                    });
                }
                ConductorAction::Step(step) => log_step(&step),
            }
        }
        show_states(&host);
    }
}

fn log_step(step: &RolloutStep) {
    info!(target: "rollout", service = step.service.as_str(), version = step.target.as_str(),
        order = format!("{:x}", step.order), step = step.step, reason = step.reason.as_str();
        "step of roll-out");
}

/// Sets the gauges of roll-outs.
fn show_states(host: &EntryHost) {
    let mut fleet = host.fleet();
    let orders: Vec<_> = fleet.rollouts().orders().orders().cloned().collect();
    for order in orders {
        let service = order.service.as_str();
        let state = fleet.rollouts().exposure().state(order.service_hash);
        let number = state.map_or(0, state_number);
        let gauge = &host.stats.rollout.state;
        gauge.with_label_values(&[service]).set(number);
        let is_conducting = fleet.rollouts().is_conducting(order.identity);
        let gauge = &host.stats.rollout.conducting;
        gauge
            .with_label_values(&[service])
            .set(is_conducting.into());
    }
}

/// Value of the gauge of a state.
fn state_number(state: RolloutState) -> i64 {
    match state {
        RolloutState::Ordered | RolloutState::InProgress => 1,
        RolloutState::Completed => 2,
        RolloutState::Reverted => 3,
    }
}

/// Writes a state to the status of an order, and tells the conductor what the status holds then.
async fn write_state(
    host: Arc<EntryHost>,
    writer: Arc<StatusWriter>,
    order: Order,
    state: RolloutState,
) {
    let known = host
        .fleet()
        .rollouts()
        .orders()
        .get(order.identity)
        .cloned();
    let result = match known {
        Some(known) => write_until_known(&host, &writer, known, state).await,
        // The order was removed or replaced meanwhile.
        None => Err(WriteError::Conflict),
    };
    let (service, version) = (order.service.as_str(), order.target_name.as_str());
    match result {
        Ok(held) => info!(target: "rollout", service = service, version = version,
            state = state.name(), held = held.name(); "status written"),
        Err(err) => {
            warn!(target: "rollout", service = service, version = version, state = state.name(),
                error:? = err; "status not written");
            tokio::time::sleep(WRITE_FAILED_PAUSE).await;
        }
    }
    let now = host.clock.now();
    host.fleet()
        .rollouts()
        .on_written(now, order.identity, result);
}

/// Writes a status on condition of the revision of its object. If the write is refused, or its response
/// is lost, the object is read back: the write may have taken effect, or another host may have written a
/// final state, which holds.
async fn write_until_known(
    host: &EntryHost,
    writer: &StatusWriter,
    mut known: TrackedOrder,
    state: RolloutState,
) -> Result<RolloutState, WriteError> {
    let identity = known.order.identity;
    let mut error = WriteError::Failed;
    for _ in 0..WRITES_MAX {
        let held = known.stored_state();
        if held.is_final() || held == state {
            return Ok(held);
        }
        let status = known.status(state);
        let written = (writer.write)(&known.name, known.stored.revision, &status).await;
        let Err(reason) = written else {
            return Ok(state);
        };
        info!(target: "rollout", service = known.order.service.as_str(), state = state.name(),
            revision = known.stored.revision, reason = reason.to_string();
            "reading back the status after a failed write");
        let stored = match (writer.read)(&known.name).await {
            Ok(Some(stored)) => stored,
            Ok(None) => return Err(WriteError::Conflict),
            Err(reason) => {
                warn!(target: "rollout", service = known.order.service.as_str(),
                    reason = reason.to_string(); "cannot read back the status");
                return Err(WriteError::Failed);
            }
        };
        known = known.updated(host.clock.now(), &stored);
        if known.order.identity != identity {
            return Err(WriteError::Conflict);
        }
        error = WriteError::Conflict;
    }
    let held = known.stored_state();
    match held.is_final() || held == state {
        true => Ok(held),
        false => Err(error),
    }
}
