//! Decides which shards of a service are asked for a request, one after another.
//!
//! A request is first asked for at the shard of its session, whose engines may have cached the
//! beginning of the prompt. If a few busy sessions of a workspace are at the engines of one shard,
//! that shard may be full while others have room. The scheduler that refuses such a request says
//! whether it is worth asking other shards.

use std::time::Duration;

use super::super::refusal::Reason;
use super::super::refusal::Refusal;
use super::super::refusal::WaitEstimate;
use super::request::ReservationId;
use super::request::ScheduleDecision;
use super::request::ScheduleRequest;

/// Most shards that are asked for a request after a refusal. Each takes a round trip between hosts.
const ASKED_SHARDS_MAX: u32 = 3;
/// Retry time given to callers if no shard has an engine for the request. It is about the first
/// backoff after a failed connection to a server.
const NO_ENGINE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Shards that were asked for a request so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShardSearch {
    asked: u32,
    /// The first refusal by a scheduler.
    refusal: Option<Refusal>,
}

/// What follows from a scheduler's decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchStep {
    /// The request may be sent.
    Start {
        /// Reservation of the scheduler.
        reservation: ReservationId,
        /// Hash of the server that gets the request.
        server: u64,
        /// Time to wait before sending the request.
        send_after: Duration,
        /// Prompt tokens that the server has to process.
        uncached_tokens: u32,
    },
    /// The next shard is to be asked.
    AskNext,
    /// The request is refused.
    Refuse(Refusal),
}

impl ShardSearch {
    /// Makes a schedule request that was built for the shard of its session ask the next shard of
    /// this search.
    pub fn direct(&self, request: &mut ScheduleRequest) {
        request.shard = request.shard.shifted(self.asked);
        request.was_refused = self.refusal.is_some();
    }

    /// Handles the decision on the last schedule request. `shard_count` is the number of shards of
    /// the service.
    pub fn on_decision(&mut self, decision: ScheduleDecision, shard_count: u32) -> SearchStep {
        match decision {
            ScheduleDecision::Start {
                reservation,
                server,
                send_after,
                uncached_tokens,
            } => SearchStep::Start {
                reservation,
                server,
                send_after,
                uncached_tokens,
            },
            ScheduleDecision::Refuse {
                retry_after,
                soonest,
                limit,
                is_over_share,
                tries_others,
            } => {
                let reason = match is_over_share {
                    true => Reason::OverShare,
                    false => Reason::Overloaded,
                };
                let refusal = *self.refusal.get_or_insert(Refusal {
                    reason,
                    retry_after: Some(retry_after),
                    waits: Some(WaitEstimate { soonest, limit }),
                });
                match tries_others {
                    true => self.next_or(refusal, shard_count.min(ASKED_SHARDS_MAX)),
                    false => SearchStep::Refuse(refusal),
                }
            }
            // Engines of other shards would crash too.
            ScheduleDecision::HoldBack { retry_after, .. } => SearchStep::Refuse(
                Refusal::with_retry_after(Reason::PromptCrashesServers, retry_after),
            ),
            // The scheduler knows no usable engine in this shard; other shards may have one.
            ScheduleDecision::NoEngine => {
                let refusal = Refusal::with_retry_after(Reason::NoServer, NO_ENGINE_RETRY_AFTER);
                self.next_or(self.refusal.unwrap_or(refusal), shard_count)
            }
        }
    }

    fn next_or(&mut self, refusal: Refusal, shards_max: u32) -> SearchStep {
        if self.asked + 1 >= shards_max {
            return SearchStep::Refuse(refusal);
        }
        self.asked += 1;
        SearchStep::AskNext
    }
}
