//! Where this host last sent each session of prompts.
//!
//! A scheduler that takes over knows nothing of the parts that engines keep. Hosts tell it with
//! each bid where the session was.

use std::collections::HashMap;

use crate::time::Timestamp;

/// Sessions that are remembered: several times those of a busy service.
const SESSIONS_MAX: usize = 4096;

/// Servers by session.
#[derive(Clone, Debug, Default)]
pub(crate) struct SessionHomes {
    homes: HashMap<u64, Home>,
}

#[derive(Clone, Copy, Debug)]
struct Home {
    server: u64,
    used_at: Timestamp,
}

impl SessionHomes {
    /// Hash of the server that a session was sent to last.
    pub(crate) fn get(&self, session: u64) -> Option<u64> {
        self.homes.get(&session).map(|home| home.server)
    }

    /// A session is sent to a server.
    pub(crate) fn set(&mut self, now: Timestamp, session: u64, server: u64) {
        let home = Home {
            server,
            used_at: now,
        };
        self.homes.insert(session, home);
        if self.homes.len() > SESSIONS_MAX {
            self.forget_older_half();
        }
    }

    fn forget_older_half(&mut self) {
        let mut times: Vec<_> = self.homes.values().map(|home| home.used_at).collect();
        times.sort_unstable();
        let middle = times[times.len() / 2];
        self.homes.retain(|_, home| home.used_at > middle);
    }
}
