//! Moving averages of request costs, used to estimate the cost of new requests.
//!
//! Costs are tokens for model services (language models) and microseconds of server time for plain
//! services (other HTTP services). For a model service the averages leave out the prompt tokens,
//! which are estimated from the body of each request.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::id::ServiceId;
use crate::id::WorkspaceId;

/// Weight of a new sample in the moving average, as a divisor (1/8).
const SAMPLE_DIVISOR: i64 = 8;

/// Average cost per workspace and service. The number of entries is bounded by workspaces times
/// services.
#[derive(Default)]
pub(crate) struct Estimates {
    averages: Mutex<HashMap<(WorkspaceId, ServiceId), u64>>,
}

impl Estimates {
    /// Returns the average cost, or `None` before the first completed request.
    pub(crate) fn average(&self, workspace: WorkspaceId, service: ServiceId) -> Option<u64> {
        let averages = self.averages.lock().unwrap_or_else(PoisonError::into_inner);
        averages.get(&(workspace, service)).copied()
    }

    /// Adds the cost of a request whose response was complete to the average. The first cost
    /// becomes the average as it is.
    pub(crate) fn add_sample(&self, workspace: WorkspaceId, service: ServiceId, cost: u64) {
        let mut averages = self.averages.lock().unwrap_or_else(PoisonError::into_inner);
        let average = averages.entry((workspace, service)).or_insert(cost);
        let difference = cost.saturating_sub(*average).cast_signed()
            - average.saturating_sub(cost).cast_signed();
        *average = average.saturating_add_signed(difference / SAMPLE_DIVISOR);
    }
}
