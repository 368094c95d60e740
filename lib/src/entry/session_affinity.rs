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
pub(crate) struct SessionAffinity {
    last_servers: HashMap<u64, LastServer>,
}

#[derive(Clone, Copy, Debug)]
struct LastServer {
    server: u64,
    used_at: Timestamp,
}

impl SessionAffinity {
    /// Hash of the server that a session was sent to last.
    pub(crate) fn get(&self, session: u64) -> Option<u64> {
        self.last_servers
            .get(&session)
            .map(|last_server| last_server.server)
    }

    /// A session is sent to a server.
    pub(crate) fn set(&mut self, now: Timestamp, session: u64, server: u64) {
        let last_server = LastServer {
            server,
            used_at: now,
        };
        self.last_servers.insert(session, last_server);
        if self.last_servers.len() > SESSIONS_MAX {
            self.forget_older_half();
        }
    }

    fn forget_older_half(&mut self) {
        let mut times: Vec<_> = self
            .last_servers
            .values()
            .map(|last_server| last_server.used_at)
            .collect();
        times.sort_unstable();
        let middle = times[times.len() / 2];
        self.last_servers
            .retain(|_, last_server| last_server.used_at > middle);
    }
}
