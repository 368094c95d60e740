//! Remembers to which backend server this entry host last sent each session (the requests whose
//! prompts share the same leading parts).
//!
//! A scheduler decides on which engine (a server that runs a model) a request starts, and runs on
//! one of the entry hosts. One that takes over from one on another host does not know which prompt
//! parts the engines have cached. With each schedule request, a host therefore tells the scheduler
//! to which server it last sent the session.

use std::collections::HashMap;

use crate::time::Timestamp;

/// Most sessions that are remembered: several times as many as a busy service has.
const SESSIONS_MAX: usize = 4096;

/// Last server by session identifier.
#[derive(Clone, Debug, Default)]
pub(crate) struct SessionAffinity {
    last_servers: HashMap<u64, LastServer>,
}

#[derive(Clone, Copy, Debug)]
struct LastServer {
    /// Hash of the server's instance identifier.
    server: u64,
    used_at: Timestamp,
}

impl SessionAffinity {
    /// Hash of the server to which a session was last sent, `None` if it is not known.
    pub(crate) fn get(&self, session: u64) -> Option<u64> {
        self.last_servers
            .get(&session)
            .map(|last_server| last_server.server)
    }

    /// Records that a request of a session is sent to a server. If there are too many sessions, the
    /// least recently used half is forgotten.
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
