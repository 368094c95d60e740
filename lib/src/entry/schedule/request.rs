//! Messages between a host that has a request to a model and the scheduler of the model's engines.
//!
//! An engine is a backend server that runs a model. The engines of a service are divided into
//! shards, and each shard has one scheduler, which runs on one of the entry hosts (the hosts that
//! forward callers' requests to backend servers). A host asks the scheduler with a
//! [`ScheduleRequest`] when and where a request may start; the [`ScheduleDecision`] is the reply.
//! Requests whose prompts share the same leading parts form a session and go to the same shard,
//! whose engines have cached these parts.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::super::dialect::PromptPart;
use super::super::stream_origins::VersionId;

/// Subset of the engines of a service that has a scheduler of its own.
///
/// Engines are assigned to shards, and sessions to engines, by rendezvous hashing. If an engine
/// arrives or leaves, only its own sessions get another shard; all others stay where their prompts
/// are cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Shard {
    /// Index of this shard, less than `count`.
    pub index: u32,
    /// Number of shards of the service, at least 1.
    pub count: u32,
}

impl Shard {
    /// The shard of a session in a service whose engines have the given hashes: the shard of the
    /// engine with the highest rank for the session.
    pub fn of_session(session: u64, engines: impl ExactSizeIterator<Item = u64>) -> Self {
        let count = u32::try_from(engines.len().div_ceil(SHARD_ENGINES_MAX)).unwrap_or(u32::MAX);
        let count = count.max(1);
        let index = match count {
            1 => 0,
            _ => {
                let rank = |engine: &u64| xxh3_64_with_seed(&session.to_le_bytes(), *engine);
                let home = engines.max_by_key(rank);
                home.map_or(0, |engine| Self::index_of_engine(engine, count))
            }
        };
        Self { index, count }
    }

    /// Index of the shard of an engine, among `count` shards. If the number of shards grows by one,
    /// only the engines of the new shard change theirs.
    fn index_of_engine(engine: u64, count: u32) -> u32 {
        let rank = |index: &u32| xxh3_64_with_seed(&engine.to_le_bytes(), u64::from(*index));
        (0..count).max_by_key(rank).unwrap_or(0)
    }

    /// The shard whose index is higher by `by`, counted from 0 again after the last.
    pub fn shifted(&self, by: u32) -> Self {
        Self {
            index: (self.index + by) % self.count,
            ..*self
        }
    }

    /// Selects the engines of this shard, none if the number of shards is out of range.
    pub fn select<T>(&self, mut engines: Vec<T>, hash: impl Fn(&T) -> u64) -> Vec<T> {
        if self.count > SHARDS_MAX {
            return Vec::new();
        }
        if self.count > 1 {
            engines.retain(|engine| Self::index_of_engine(hash(engine), self.count) == self.index);
        }
        engines
    }

    /// Key by which every host selects the same host as the scheduler of this shard. `service` is
    /// the hash of the service's name.
    pub fn scheduler_key(&self, service: u64) -> u64 {
        service.wrapping_add(u64::from(self.index))
    }
}

/// Mean number of engines in a full shard. With 14 requests/s for each engine, the rate of current services, the
/// scheduler of a full shard makes about 340 decisions/s, which take a hundredth of a core.
const SHARD_ENGINES_MAX: usize = 24;
/// Most shards of a service. The time to select engines grows with the number of shards, so that a message
/// with a number out of range would keep a host busy for minutes. It covers 24,000 engines.
const SHARDS_MAX: u32 = 1_024;

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
    /// Estimate of the tokens that will be generated; for a stream that continues, of those that are left.
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
    /// Hash of the class of requests of similar size that the request belongs to.
    pub kind: u64,
    /// Hash of what the request asks a server to do, the same for every repeat.
    pub content: u64,
    /// Software version that the server must run, `None` for any.
    pub version: Option<VersionId>,
    /// Software version that the server must not run, `None` for none.
    pub except_version: Option<VersionId>,
    /// Time in which the response should start, counted from the caller's first attempt.
    pub objective: Duration,
    /// Whether the request continues a stream that has begun. Its work was counted when it began. The asking
    /// host sets it only for a stream of its own or a claim that the homes of the stream have granted.
    pub continues_stream: bool,
    /// Whether the scheduler of another shard has refused the request before.
    pub was_refused: bool,
    /// Tokens of the workspace's requests that the asking host has refused by itself since its last
    /// schedule request for the workspace. They count as requested.
    pub refused_tokens: u64,
    /// Hashes of the servers that must not get the request: those that were tried already, those
    /// that the asking host cannot use, and those that fail its requests unless all do.
    pub excluded: Vec<u64>,
}

impl ScheduleRequest {
    /// Tokens of the prompt and the estimated response, the unit in which work is counted.
    pub fn work_tokens(&self) -> u64 {
        u64::from(self.input_tokens) + u64::from(self.output_tokens)
    }

    /// Tokens that the workspace is charged if the request starts on an engine that has not cached
    /// `uncached` tokens of the prompt. A stream that continues was charged when it began, so only what is
    /// left of its work is charged: the prompt tokens that the engine reads again, and the rest of the
    /// response.
    pub fn charged_tokens(&self, uncached: u32) -> u64 {
        match self.continues_stream {
            true => u64::from(uncached) + u64::from(self.output_tokens),
            false => self.work_tokens(),
        }
    }

    /// Identifiers of the shared parts.
    pub fn shared_ids(&self) -> impl Iterator<Item = u64> + '_ {
        self.shared_parts.iter().map(|part| part.id)
    }

    /// Total length of the shared parts, tokens.
    pub fn shared_tokens(&self) -> u32 {
        let tokens = self.shared_parts.iter().map(|part| part.tokens);
        tokens.fold(0, u32::saturating_add)
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
        /// Whether the workspace has requested more than its fair share of the engines, and gets it.
        is_over_share: bool,
        /// Whether the asking host should ask other shards: the workspace was granted far less than
        /// others, or engines of another shard are free.
        tries_others: bool,
    },
    /// A part of the prompt makes engines crash, or is suspected of it.
    HoldBack {
        /// Identifier of the part.
        part: u64,
        /// How long the caller should wait before it tries again.
        retry_after: Duration,
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
        /// How late the timers of the asking host fired meanwhile. `after` may contain such delays.
        host_lag: Duration,
    },
    /// The server says that it is about to shut down.
    ServerLeaving {
        /// Unix time at which the server started, milliseconds.
        started_at_ms: u64,
    },
    /// The asking host could not connect to the server. `Ended` follows.
    Unreachable,
    /// The server failed the request, or sent no valid response. `Ended` follows.
    Failed,
    /// The connection broke before the response was complete or had gone on for long. `Ended` follows.
    Broken,
    /// The deadline passed, and the server had sent nothing for the request for long. `Ended` follows.
    Silent,
    /// The response has gone on for long.
    Survived,
    /// The server has sent a complete response of success. The request is no longer there.
    Answered,
    /// The request is no longer at the server: it has completed in another way, failed, or was never
    /// sent.
    Ended,
}
