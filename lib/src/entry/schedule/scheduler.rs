//! Decides when and where requests to a model begin.
//!
//! Answers a load of prompts that share long parts, and that comes in bursts above what the
//! engines bear. All requests of a shard of engines are decided at one host, so that the times at
//! which each engine is free are known and not guessed from lagging reports. A request goes where
//! it costs least: waiting, reading parts again that another engine keeps, bytes between failure
//! domains. It is refused at once if no engine can begin in time. Reading is paced so that running
//! answers keep growing.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use slotmap::Key;
use slotmap::KeyData;
use slotmap::SlotMap;
use slotmap::new_key_type;

use super::bid::Bid;
use super::bid::Progress;
use super::bid::ProgressStep;
use super::bid::Ticket;
use super::bid::Verdict;
use super::engine::EngineBook;
use super::engine::FIRST_EVENT;
use super::shares::Shares;
use crate::time::Timestamp;

new_key_type! {
    struct RecordKey;
}

/// How long before an engine is free a request is sent to it, so that the engine does not run dry
/// while the request is on its way or a prompt is read faster than expected.
const LOOKAHEAD: Duration = Duration::from_millis(30);
/// Part of the time until the objective that may be planned away; the rest covers what the plan
/// does not know.
const OBJECTIVE_USED: f64 = 0.8;
/// Part of the limit that a prompt may wait whose reading alone takes the rest.
const LONG_PROMPT_WAIT: f64 = 0.3;
/// Longest wait planned for a request that cannot meet its objective any more, because its caller
/// was refused before.
const LATE_WAIT_MAX: Duration = Duration::from_millis(400);
/// Longest wait planned for a request of a workspace that is owed work: callers give up a stream
/// that has not begun after two seconds at the least.
const OWED_WAIT_MAX: Duration = Duration::from_millis(1_000);
/// Cost of reading a token of a shared part again, as a wait: beyond the time that it takes, it
/// displaces other parts.
const REREAD_COST: Duration = Duration::from_micros(100);
/// Cost of a request from another failure domain, as a wait, by the tokens of its prompt: a token
/// is about two bytes.
const FAR_COST: Duration = Duration::from_micros(4);
/// Shortest wait after which a refused caller is told to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);
/// Longest such wait.
const RETRY_AFTER_MAX: Duration = Duration::from_millis(2_000);
/// Times its even share up to which a workspace is not held back. Below one, since a workspace is to
/// be held back before it has taken what others are owed.
const EXCESS_FREE: f64 = 0.5;
/// Part of the room that a workspace may fill that is held back; the rest is left to others.
const HELD_BACK_ROOM: f64 = 0.8;
/// Part of an engine's memory that requests may fill; the rest keeps parts of prompts.
const MEMORY_USED: f64 = 0.9;

/// An engine that requests may be sent to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineView {
    /// Hash of its instance.
    pub hash: u64,
    /// Hash of its failure domain.
    pub domain: u64,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    service: u64,
    server: u64,
    unread_tokens: u32,
    memory_tokens: u64,
    planned: Duration,
    reading: Duration,
    has_begun: bool,
    /// When it is forgotten if nothing is heard of it.
    expires_at: Timestamp,
}

/// Engines of one service.
#[derive(Debug, Default)]
struct ServiceBook {
    engines: HashMap<u64, EngineBook>,
    shares: Shares,
    /// When requests of a rank were last let begin or refused.
    ranks: BTreeMap<u32, Timestamp>,
}

/// Decisions on bids.
#[derive(Debug)]
pub struct Scheduler {
    epoch: u32,
    services: HashMap<u64, ServiceBook>,
    records: SlotMap<RecordKey, Record>,
    swept_at: Timestamp,
}

/// Where a bid may go and at what cost.
struct Offer {
    hash: u64,
    unread: u32,
    cost: Duration,
    wait: Duration,
    begins_after: Duration,
}

impl Offer {
    /// Whether the answer begins within `limit`. A prompt that takes long to read itself may
    /// always wait for a part of the limit: refusing it would refuse all of its size.
    fn is_in_time(&self, limit: Duration) -> bool {
        self.begins_after <= limit || self.wait <= limit.mul_f64(LONG_PROMPT_WAIT)
    }
}

impl Scheduler {
    /// A scheduler that knows nothing; `epoch` tells its records from those of another life.
    pub fn new(epoch: u32) -> Self {
        Self {
            epoch,
            services: HashMap::new(),
            records: SlotMap::with_key(),
            swept_at: Timestamp::ZERO,
        }
    }

    /// Decides on a bid among the engines that may be used.
    pub fn decide(&mut self, now: Timestamp, bid: &Bid, engines: &[EngineView]) -> Verdict {
        self.sweep(now);
        let book = self.services.entry(bid.service).or_default();
        book.forget_replaced(engines);
        let tokens = u64::from(bid.input_tokens) + u64::from(bid.output_tokens);
        book.shares.on_asked(now, bid.workspace, tokens);
        let mut usable = engines.to_vec();
        usable.retain(|engine| !bid.excluded.contains(&engine.hash));
        if usable.is_empty() {
            return Verdict::Unknown;
        }
        let excess = book.shares.excess(now, bid.workspace);
        let room = if excess > EXCESS_FREE {
            HELD_BACK_ROOM
        } else {
            1.0
        };
        let offers: Vec<_> = usable
            .iter()
            .filter_map(|engine| book.offer(now, bid, engine, room))
            .collect();
        let mut limit = wait_limit(bid, excess).mul_f64(book.rank_part(now, bid.rank));
        if book.shares.is_owed(now, bid.workspace) {
            limit = limit.max(OWED_WAIT_MAX.min(bid.until_give_up));
        }
        let best = offers
            .iter()
            .filter(|offer| offer.is_in_time(limit))
            .min_by_key(|offer| (offer.cost, offer.hash));
        let Some(best) = best else {
            let soonest = offers.iter().map(|offer| offer.begins_after).min();
            let soonest = soonest.unwrap_or(FULL_LASTS);
            return Verdict::Refuse {
                retry_after: retry_after(soonest, limit),
                soonest,
                limit,
            };
        };
        let memory = usable
            .iter()
            .find(|engine| engine.hash == best.hash)
            .map_or(0, |engine| engine.memory_tokens);
        let (hash, unread) = (best.hash, best.unread);
        book.shares.on_got(now, bid.workspace, tokens);
        let engine = book.engines.entry(hash).or_default();
        let wait = engine.wait(now);
        let reading = engine.reading_time(unread, bid.input_tokens);
        let after = wait.saturating_sub(LOOKAHEAD);
        let key = self.records.insert(Record {
            service: bid.service,
            server: hash,
            unread_tokens: unread,
            memory_tokens: bid.memory_tokens(),
            planned: wait - after + reading + FIRST_EVENT,
            reading,
            has_begun: false,
            expires_at: now + bid.until_give_up,
        });
        let number = key.data().as_ffi();
        engine.begin(now, bid, unread, memory);
        Verdict::Start {
            ticket: Ticket {
                epoch: self.epoch,
                number,
            },
            server: hash,
            after,
            unread_tokens: unread,
        }
    }

    /// Takes in what became of a request.
    pub fn on_progress(&mut self, now: Timestamp, progress: &Progress) {
        if progress.ticket.epoch != self.epoch {
            return;
        }
        let key = RecordKey::from(KeyData::from_ffi(progress.ticket.number));
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        let book = self.services.get_mut(&record.service);
        let engine = book.and_then(|book| book.engines.get_mut(&record.server));
        match progress.step {
            ProgressStep::Begun { after } => {
                record.has_begun = true;
                let (unread, planned) = (record.unread_tokens, record.planned);
                if let Some(engine) = engine {
                    engine.on_begun(now, unread, after, planned);
                }
            }
            ProgressStep::Ended => {
                if let Some(engine) = engine {
                    engine.end(record.memory_tokens);
                    if !record.has_begun {
                        engine.refund(now, record.reading);
                    }
                }
                self.records.remove(key);
            }
        }
    }

    /// Forgets requests whose end was not reported.
    fn sweep(&mut self, now: Timestamp) {
        if now.since(self.swept_at) < SWEEP_PERIOD {
            return;
        }
        self.swept_at = now;
        let services = &mut self.services;
        self.records.retain(|_, record| {
            if !record.expires_at.has_passed(now) {
                return true;
            }
            let book = services.get_mut(&record.service);
            if let Some(engine) = book.and_then(|book| book.engines.get_mut(&record.server)) {
                engine.end(record.memory_tokens);
            }
            false
        });
    }
}

/// Part of the wait limit that each more urgent rank takes from a rank: with a third less of the
/// wait a rank is refused first in every overload, and still served.
const RANK_PART: f64 = 0.65;
/// Ranks that are told apart.
const RANKS_MAX: i32 = 4;
/// How long a rank counts after its last request: the span over which callers see a rank served.
const RANK_LASTS: Duration = Duration::from_secs(5);
/// Books of engines that are gone which may stay besides as many as there are engines.
const ENGINES_SPARE: usize = 16;
/// Time to the end of some answer where all engines are full: short answers take about a second.
const FULL_LASTS: Duration = Duration::from_secs(1);
/// Period of the removal of records whose end was not reported.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);

impl ServiceBook {
    /// Part of the wait limit for a rank: requests of a less urgent one are refused sooner, while
    /// more urgent ones are about.
    fn rank_part(&mut self, now: Timestamp, rank: u32) -> f64 {
        self.ranks.insert(rank, now);
        self.ranks.retain(|_, at| now.since(*at) < RANK_LASTS);
        let above = self.ranks.range(..rank).count();
        // A service has a few ranks at most; the bound keeps the power small.
        RANK_PART.powi(i32::try_from(above).unwrap_or(i32::MAX).min(RANKS_MAX))
    }

    /// Drops the books of engines that are gone, once there are many of them.
    fn forget_replaced(&mut self, engines: &[EngineView]) {
        if self.engines.len() <= 2 * engines.len() + ENGINES_SPARE {
            return;
        }
        let known: HashSet<_> = engines.iter().map(|engine| engine.hash).collect();
        self.engines
            .retain(|hash, engine| engine.running > 0 || known.contains(hash));
    }

    /// What it would take to send a bid to an engine, `None` if the engine has no room.
    /// Only the part `room` of its memory and slots may be filled.
    fn offer(&self, now: Timestamp, bid: &Bid, view: &EngineView, room: f64) -> Option<Offer> {
        let fresh = EngineBook::default();
        let engine = self.engines.get(&view.hash).unwrap_or(&fresh);
        let memory = (view.memory_tokens as f64 * MEMORY_USED * room) as u64;
        let slots = (f64::from(view.slots) * room) as u32;
        let has_memory = engine.memory_tokens + bid.memory_tokens() <= memory;
        if engine.running >= slots.max(1) || (!has_memory && engine.running > 0) {
            return None;
        }
        let mut kept = engine.prefixes.kept_tokens(&bid.shared_parts);
        if kept == 0 && view.hash == bid.last_server {
            // Another scheduler may have sent the session there.
            kept = bid.shared_tokens();
        }
        let unread = bid.input_tokens.saturating_sub(kept);
        let unread_shared = bid.shared_tokens().saturating_sub(kept);
        let wait = engine.wait(now);
        let reading = engine.reading_time(unread, bid.input_tokens);
        let far = if view.domain == bid.domain {
            Duration::ZERO
        } else {
            FAR_COST * bid.input_tokens
        };
        Some(Offer {
            hash: view.hash,
            unread,
            cost: wait + reading + REREAD_COST * unread_shared + far,
            wait,
            begins_after: wait + reading + FIRST_EVENT,
        })
    }
}

/// Longest time to the first event for which a bid is let begin.
fn wait_limit(bid: &Bid, excess: f64) -> Duration {
    let whole = bid.until_objective.mul_f64(OBJECTIVE_USED);
    let whole = if bid.is_returning {
        whole.max(LATE_WAIT_MAX)
    } else {
        whole
    };
    if excess <= EXCESS_FREE {
        return whole;
    }
    whole.mul_f64(EXCESS_FREE / excess)
}

fn retry_after(soonest: Duration, limit: Duration) -> Duration {
    let over = soonest.saturating_sub(limit);
    over.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
}
