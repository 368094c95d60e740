//! Messages between a host that has a request to a model and the scheduler of the model's engines.
//!
//! An engine is a backend server that runs a model. The engines of a service are divided into
//! shards, and each shard has one scheduler, which runs on one of the entry hosts (the hosts that
//! forward callers' requests to backend servers). A host asks the scheduler with a
//! [`ScheduleRequest`] when and where a request may start; the [`ScheduleDecision`] is the reply.
//! Requests whose prompts share the same leading parts form a session and go to the same shard,
//! whose engines have cached these parts.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::super::dialect::PromptPart;

/// Subset of the engines of a service that has a scheduler of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Shard {
    /// Index of this shard, less than `count`.
    pub index: u32,
    /// Number of shards of the service, at least 1.
    pub count: u32,
}

impl Shard {
    /// The shard of a session in a service with `engines` engines. All requests of a session map to
    /// the same shard while the number of shards stays the same.
    pub fn of_session(session: u64, engines: usize) -> Self {
        let count = u32::try_from(engines.div_ceil(SHARD_ENGINES_MAX)).unwrap_or(u32::MAX);
        let count = count.max(1);
        let index = xxh3_64(&session.to_le_bytes()) % u64::from(count);
        Self {
            // The remainder is less than `count`, which is a `u32`.
            index: index as u32,
            count,
        }
    }

    /// The shard whose index is higher by `by`, counted from 0 again after the last.
    pub fn shifted(&self, by: u32) -> Self {
        Self {
            index: (self.index + by) % self.count,
            ..*self
        }
    }

    /// Selects the engines of this shard: every `count`th one in the order of their hashes, so that
    /// shard sizes differ by at most one.
    pub fn select<T>(&self, mut engines: Vec<T>, hash: impl Fn(&T) -> u64) -> Vec<T> {
        if self.count <= 1 {
            return engines;
        }
        engines.sort_by_key(|engine| hash(engine));
        let numbered = engines.into_iter().zip((0..self.count).cycle());
        numbered
            .filter(|(_, index)| *index == self.index)
            .map(|(engine, _)| engine)
            .collect()
    }

    /// Key by which every host selects the same host as the scheduler of this shard. `service` is
    /// the hash of the service's name.
    pub fn scheduler_key(&self, service: u64) -> u64 {
        service.wrapping_add(u64::from(self.index))
    }
}

/// Most engines in one shard. With 14 requests/s for each engine, the rate of current services, the
/// scheduler of a full shard makes about 340 decisions/s, which take a hundredth of a core.
const SHARD_ENGINES_MAX: usize = 24;

/// A host's question to the scheduler: when and on which engine may a request to a model start?
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduleRequest {
    /// Hash of the name of the service.
    pub service: u64,
    /// Shard of the service's engines to choose from.
    pub shard: Shard,
    /// Hash of the name of the workspace (customer), 0 if the request has none.
    pub workspace: u64,
    /// Hash of the failure domain (zone) of the asking host.
    pub domain: u64,
    /// Length of the prompt, tokens.
    pub input_tokens: u32,
    /// Estimate of the tokens that will be generated.
    pub output_tokens: u32,
    /// Leading parts of the prompt that other requests share, in order.
    pub shared_parts: Vec<PromptPart>,
    /// Time left until the response should have started to meet the objective of the route, zero if
    /// that time has passed.
    pub until_objective: Duration,
    /// Time left until the caller or the route times out. The asking host then ends the request,
    /// even if its response is still running.
    pub until_give_up: Duration,
    /// Priority rank of the workspace or route, 0 is the most urgent.
    pub rank: u32,
    /// Whether the caller seems to send the request again after a refusal. The objective counts
    /// from its first attempt.
    pub is_caller_retry: bool,
    /// Hash of the server to which the asking host last sent a request of the same session, 0 if
    /// none is known.
    pub last_server: u64,
    /// Hashes of the servers that must not get the request: those that were tried already, those
    /// that the asking host cannot use, and those that fail its requests unless all do.
    pub excluded: Vec<u64>,
}

impl ScheduleRequest {
    /// Total length of the shared parts, tokens.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts.iter().map(|part| part.tokens).sum()
    }

    /// Tokens of engine memory that the request occupies. Shared parts are not counted, since the
    /// engine caches them in any case.
    pub fn memory_tokens(&self) -> u64 {
        let own = self.input_tokens.saturating_sub(self.shared_tokens());
        u64::from(own) + u64::from(self.output_tokens)
    }
}

/// Identifies the engine time and memory that a scheduler has reserved for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReservationId {
    /// Identifies the run of the scheduler's process. Reservations do not outlast it.
    pub epoch: u32,
    /// Number of the reservation within the incarnation.
    pub number: u64,
}

/// A scheduler's reply to a [`ScheduleRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScheduleDecision {
    /// The request may be sent.
    Start {
        /// Reservation to name in reports of the request's [`Progress`].
        reservation: ReservationId,
        /// Hash of the server that gets the request.
        server: u64,
        /// Time to wait before sending the request.
        send_after: Duration,
        /// Prompt tokens that the server has to process because they are not in its cache.
        uncached_tokens: u32,
    },
    /// No engine can start the response in time.
    Refuse {
        /// How long the caller should wait before it tries again.
        retry_after: Duration,
        /// Shortest time after which an engine could have sent the first event of the response.
        soonest: Duration,
        /// Longest time to the first event of the response that was allowed for this request.
        limit: Duration,
    },
    /// No engine of the shard may get the request: the scheduler knows none that is available, or
    /// the request excludes all of them. Unlike after a refusal, the asking host tries the next
    /// shard.
    NoEngine,
}

/// Report on a request that a scheduler started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The scheduler's reservation for the request.
    pub reservation: ReservationId,
    /// Step that the request has reached.
    pub step: ProgressStep,
}

/// Step of a started request that is reported to the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgressStep {
    /// The first bytes of the response have arrived.
    ResponseStarted {
        /// Time from sending the request to these bytes.
        after: Duration,
    },
    /// The request is no longer at the server: it has completed, failed, or was never sent.
    Ended,
}
