//! Estimates which parts of prompts a backend server that runs a model has cached.
//!
//! The server processes a prompt faster if it has cached the leading parts of it from an earlier
//! request.

use std::collections::HashMap;

use super::dialect::PromptPart;
use crate::time::Timestamp;

/// Largest number of parts remembered for one server: about one for each session (requests whose
/// prompts have the same leading parts) that the server can cache. A memory of 230,000 tokens holds
/// at most about 3,800 sessions, of 60 or more tokens each.
const PARTS_MAX: usize = 4096;

/// Parts of prompts that one server has processed, with the time of the last use.
///
/// Callers pass only the parts that other requests can share: all parts of a prompt but the last.
/// The server evicts the least recently used parts when its memory is full. The estimate does the
/// same when the tokens of the parts exceed that memory.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    /// Parts by identifier.
    parts: HashMap<u64, CachedPart>,
    /// Sum of the lengths of the parts, tokens.
    tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    /// Length of the part.
    tokens: u32,
    used_at: Timestamp,
}

impl PrefixCache {
    /// Number of tokens at the start of a prompt that the server has cached: those of the `parts`
    /// before the first one that is not cached.
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u32 {
        let cached = parts
            .iter()
            .take_while(|part| self.parts.contains_key(&part.id));
        cached.fold(0, |sum: u32, part| sum.saturating_add(part.tokens))
    }

    /// Records that the server processes a prompt with these `parts`. `capacity` is the server's
    /// memory for parts, tokens.
    pub fn record(&mut self, now: Timestamp, parts: &[PromptPart], capacity: u64) {
        for part in parts {
            let cached = CachedPart {
                tokens: part.tokens,
                used_at: now,
            };
            let before = self.parts.insert(part.id, cached);
            self.tokens += u64::from(part.tokens);
            self.tokens -= before.map_or(0, |cached| u64::from(cached.tokens));
        }
        if self.tokens > capacity || self.parts.len() > PARTS_MAX {
            self.evict_oldest(capacity);
        }
    }

    /// Evicts the least recently used parts until a tenth of the capacity is free and there are at
    /// most [`PARTS_MAX`] parts. If it stopped at the full capacity, the parts would have to be
    /// sorted again for the next request.
    fn evict_oldest(&mut self, capacity: u64) {
        let mut by_age: Vec<_> = self.parts.iter().map(|(id, k)| (k.used_at, *id)).collect();
        by_age.sort_unstable();
        let target = capacity - capacity / 10;
        for (_, id) in by_age {
            if self.tokens <= target && self.parts.len() <= PARTS_MAX {
                return;
            }
            if let Some(cached) = self.parts.remove(&id) {
                self.tokens -= u64::from(cached.tokens);
            }
        }
    }
}
