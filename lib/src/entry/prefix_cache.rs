//! Estimate of the parts of prompts that a backend server keeps in its memory.

use std::collections::HashMap;

use super::dialect::PromptPart;
use crate::time::Timestamp;

/// Parts that are remembered for one server. Above the number of sessions that a server's memory
/// holds: 230,000 tokens at 60 tokens or more a session.
const PARTS_MAX: usize = 4096;

/// Parts that this host has seen a server read, with the time of the last use.
///
/// Only parts that requests share are remembered. The engine forgets the least recently used ones
/// first; so does this estimate, by the number of tokens that the engine has room for.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    parts: HashMap<u64, CachedPart>,
    tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    used_at: Timestamp,
}

impl PrefixCache {
    /// Tokens at the start of a prompt that the server need not read: those of the `parts` before
    /// the first one that it does not keep.
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u32 {
        let cached = parts
            .iter()
            .take_while(|part| self.parts.contains_key(&part.id));
        cached.map(|part| part.tokens).sum()
    }

    /// The server reads a prompt with these `parts`, and has `capacity` tokens for parts.
    pub fn on_read(&mut self, now: Timestamp, parts: &[PromptPart], capacity: u64) {
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

    /// Drops the least recently used parts until a tenth of the room is free again, so that the
    /// parts need not be sorted for every request.
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
