//! Choice of the backend server for a request.
//!
//! Answers two loads. Prompts of which callers share long parts: each session has a home among all
//! servers of its service, by rendezvous hashing, so that a part is read once and the homes of
//! other sessions stay when a server comes or goes. Requests to plain services: the least occupied
//! server, one in the host's own failure domain before others, since bytes between domains cost.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::servers::ServerKey;

/// Prompt tokens that may wait at one server for this host before it refuses more.
const WAITING_TOKENS_MAX: u64 = 32_000;

/// A server that may get the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The server.
    pub key: ServerKey,
    /// Hash of its instance.
    pub hash: u64,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Requests of this host without a final answer.
    pub requests: u32,
    /// Prompt tokens that wait to be read.
    pub waiting_tokens: u64,
    /// Whether it stands in the failure domain of this host.
    pub is_local: bool,
    /// Whether it fails many requests.
    pub is_failing: bool,
}

/// What a choice depends on, besides the servers.
#[derive(Clone, Copy, Debug)]
pub enum Demand {
    /// A request to a model.
    Prompt {
        /// Session of the prompt.
        session: u64,
    },
    /// A request to a plain service.
    Plain,
}

/// Outcome of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The server to send to.
    Server(ServerKey),
    /// Every server that may be used has too much to do.
    Full,
    /// There is no server that may be used.
    None,
}

/// Chooses a server.
pub fn choose(demand: Demand, candidates: &[Candidate]) -> Choice {
    let sound = candidates.iter().filter(|c| !c.is_failing);
    let mut usable: Vec<&Candidate> = sound.collect();
    if usable.is_empty() {
        usable = candidates.iter().collect();
    }
    match demand {
        Demand::Prompt { session } => choose_home(session, &usable),
        Demand::Plain => choose_least_occupied(&usable),
    }
}

fn choose_home(session: u64, usable: &[&Candidate]) -> Choice {
    let home = usable
        .iter()
        .max_by_key(|c| xxh3_64_with_seed(&session.to_le_bytes(), c.hash));
    match home {
        None => Choice::None,
        Some(home) if home.waiting_tokens > WAITING_TOKENS_MAX => Choice::Full,
        Some(home) => Choice::Server(home.key),
    }
}

fn choose_least_occupied(usable: &[&Candidate]) -> Choice {
    // A server of the own domain counts as free until half of its slots are taken by this host.
    let least = usable.iter().min_by_key(|c| {
        let is_near_and_free = c.is_local && c.requests < c.slots / 2;
        (!is_near_and_free, c.requests, !c.is_local, c.hash)
    });
    least.map_or(Choice::None, |c| Choice::Server(c.key))
}
