//! Learnt costs of requests, from which those of the next ones are estimated.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::id::ServiceId;
use crate::id::WorkspaceId;

/// Share of a new sample in the average, as a divisor.
const SAMPLE_DIVISOR: i64 = 8;

/// Averages of the costs that end the requests of one workspace on one service, without the part
/// that is known at the start. There are as many as workspaces times services at most.
#[derive(Default)]
pub(crate) struct Estimates {
    averages: Mutex<HashMap<(WorkspaceId, ServiceId), u64>>,
}

impl Estimates {
    /// The average cost, if a request has ended.
    pub(crate) fn average(&self, workspace: WorkspaceId, service: ServiceId) -> Option<u64> {
        let averages = self.averages.lock().unwrap_or_else(PoisonError::into_inner);
        averages.get(&(workspace, service)).copied()
    }

    /// Takes in the cost of a request that has ended with a whole answer.
    pub(crate) fn learn(&self, workspace: WorkspaceId, service: ServiceId, cost: u64) {
        let mut averages = self.averages.lock().unwrap_or_else(PoisonError::into_inner);
        let average = averages.entry((workspace, service)).or_insert(cost);
        let step = cost.saturating_sub(*average).cast_signed()
            - average.saturating_sub(cost).cast_signed();
        *average = average.saturating_add_signed(step / SAMPLE_DIVISOR);
    }
}
