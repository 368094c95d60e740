//! What a host asks of a scheduler, and what it is told.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::super::dialect::PromptPart;

/// A part of the engines of a service, with a scheduler of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Shard {
    /// Number of the part.
    pub index: u32,
    /// Number of parts.
    pub count: u32,
}

impl Shard {
    /// The shard of a session among the shards of a service with so many engines.
    pub fn of_session(session: u64, engines: usize) -> Self {
        let count = u32::try_from(engines.div_ceil(SHARD_ENGINES_MAX)).unwrap_or(u32::MAX);
        let count = count.max(1);
        let index = xxh3_64(&session.to_le_bytes()) % u64::from(count);
        Self {
            // Less than the count.
            index: index as u32,
            count,
        }
    }

    /// The shard that comes `by` after this one.
    pub fn shifted(&self, by: u32) -> Self {
        Self {
            index: (self.index + by) % self.count,
            ..*self
        }
    }

    /// The engines of the shard: every `count`th in the order of their hashes, so that shards are
    /// of one size.
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

    /// A number that stands for the shard of a service.
    pub fn scheduler_key(&self, service: u64) -> u64 {
        service.wrapping_add(u64::from(self.index))
    }
}

/// Engines that one scheduler decides on. At the rate of today's services, 14 requests a second for
/// each engine, that is about 340 decisions a second: a hundredth of a core.
const SHARD_ENGINES_MAX: usize = 24;

/// A request to a model that wants to begin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduleRequest {
    /// Hash of its service.
    pub service: u64,
    /// Which part of the engines decides on it.
    pub shard: Shard,
    /// Hash of its workspace, 0 if it has none.
    pub workspace: u64,
    /// Hash of the failure domain of its host.
    pub domain: u64,
    /// Length of its prompt, tokens.
    pub input_tokens: u32,
    /// Estimate of the tokens to be generated.
    pub output_tokens: u32,
    /// Parts of the prompt that other requests share, in order.
    pub shared_parts: Vec<PromptPart>,
    /// Time until its answer should have begun, zero if that has passed.
    pub until_objective: Duration,
    /// Time until its caller gives up.
    pub until_give_up: Duration,
    /// Rank of its workspace or route, 0 is the most urgent.
    pub rank: u32,
    /// Its caller was refused before.
    pub is_caller_retry: bool,
    /// Hash of the server that last read the session of the prompt for the host, 0 if none did.
    pub last_server: u64,
    /// Hashes of servers that it must not go to.
    pub excluded: Vec<u64>,
}

impl ScheduleRequest {
    /// Tokens of the shared parts.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts.iter().map(|part| part.tokens).sum()
    }

    /// Tokens that it takes in an engine's memory beside the parts that are kept there in any case.
    pub fn memory_tokens(&self) -> u64 {
        let own = self.input_tokens.saturating_sub(self.shared_tokens());
        u64::from(own) + u64::from(self.output_tokens)
    }
}

/// A scheduler's record of a request that it let begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReservationId {
    /// The scheduler's life, since records do not outlast it.
    pub epoch: u32,
    /// Number within it.
    pub number: u64,
}

/// Decision on a bid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScheduleDecision {
    /// The request begins.
    Start {
        /// Record, to be told of the answer's begin and of the end.
        reservation: ReservationId,
        /// Hash of the server.
        server: u64,
        /// Time to wait before it is sent.
        after: Duration,
        /// Prompt tokens that the server has to read.
        uncached_tokens: u32,
    },
    /// No server can begin in time.
    Refuse {
        /// When the caller had better come back.
        retry_after: Duration,
        /// Time after which the first engine could have begun an answer.
        soonest: Duration,
        /// Longest such time that was allowed.
        limit: Duration,
    },
    /// The scheduler knows no server of the service that may be used.
    Unknown,
}

/// What became of a request that a scheduler let begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The scheduler's record.
    pub reservation: ReservationId,
    /// How far the request is.
    pub step: ProgressStep,
}

/// A step of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgressStep {
    /// Its answer has begun.
    ResponseStarted {
        /// Time since it was sent to the server.
        after: Duration,
    },
    /// It has left the server.
    Ended,
}
