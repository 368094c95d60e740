//! Decides which requests a stopping entry host still sends to servers.
//!
//! The load is a planned stop: callers go on using the connections that they have, and a request may arrive
//! late in the time that the host has left, or in parts. One that may last beyond that time would be cut off
//! without a response, and may have run. It is refused while that is still true of no server.

use std::time::Duration;

use tokio::sync::watch;

use crate::time::Clock;
use crate::time::Timestamp;

/// Time before the end of the stop at which requests are refused that have not arrived completely: enough to
/// send the response.
const UNREAD_MARGIN: Duration = Duration::from_millis(300);
/// Time after which the caller of such a request should try again. It opens a new connection then, which
/// the load balancer gives to another host.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(50);

/// When a stopping host refuses requests, and when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    /// From when on requests are refused that may last too long. Those that arrived before have been sent
    /// here by a load balancer that could not know of the stop.
    pub refuses_from: Timestamp,
    /// When the host ends.
    pub ends_at: Timestamp,
}

impl StopPlan {
    /// Whether a request is refused that is to be sent to a server at `now`, and whose response may last
    /// until `give_up_at`.
    pub fn refuses(&self, now: Timestamp, give_up_at: Timestamp) -> bool {
        self.refuses_from.has_passed(now) && give_up_at > self.ends_at
    }

    /// When requests are refused that have not arrived completely.
    pub fn unread_until(&self) -> Timestamp {
        let margin = UNREAD_MARGIN.min(self.ends_at.since(self.refuses_from));
        Timestamp::from_micros(self.ends_at.as_micros() - margin.as_micros() as u64)
    }
}

/// The stop of a host, once it has begun.
#[derive(Debug)]
pub(crate) struct Stopping {
    plan: watch::Sender<Option<StopPlan>>,
}

impl Default for Stopping {
    fn default() -> Self {
        Self {
            plan: watch::Sender::new(None),
        }
    }
}

impl Stopping {
    pub(crate) fn begin(&self, plan: StopPlan) {
        self.plan.send_replace(Some(plan));
    }

    /// Like [`StopPlan::refuses`], false while the host is not stopping.
    pub(crate) fn refuses(&self, now: Timestamp, give_up_at: Timestamp) -> bool {
        let plan = *self.plan.borrow();
        plan.is_some_and(|plan| plan.refuses(now, give_up_at))
    }

    /// Completes when requests are refused that have not arrived completely.
    pub(crate) async fn ends_reading(&self, clock: Clock) {
        let mut plan = self.plan.subscribe();
        let Ok(plan) = plan.wait_for(Option::is_some).await.map(|plan| *plan) else {
            return;
        };
        if let Some(plan) = plan {
            let until = clock.instant(plan.unread_until());
            tokio::time::sleep_until(until.into()).await;
        }
    }
}
