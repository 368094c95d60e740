//! Counts the work that each workspace (customer) asks of this host, and what of it the host sends to
//! backend servers, for log lines.
//!
//! The load is several workspaces that ask for more than there is. The sums over all hosts show how each
//! is served, also if hosts refuse requests that no scheduler hears of. A request that is handed over to
//! another host is counted there.

use std::collections::HashMap;
use std::fmt::Write as _;

use compact_str::CompactString;

use super::admission::Admitted;
use super::dialect::Prompt;

/// Most workspaces in a log line, those that ask for the most. With about 30 bytes for each, the line stays
/// within 2 KB.
const LOGGED_WORKSPACES_MAX: usize = 64;

/// Tokens of prompts and estimated responses.
#[derive(Clone, Copy, Debug, Default)]
struct TokenCounts {
    asked: u64,
    sent: u64,
}

/// Work by workspace since the last log line.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkspaceTally {
    counts: HashMap<CompactString, TokenCounts>,
}

impl WorkspaceTally {
    /// Counts a request that has arrived, whether or not it is refused.
    pub(crate) fn on_asked(&mut self, admitted: &Admitted, prompt: &Prompt) {
        self.counts_of(admitted).asked += prompt.work_tokens();
    }

    /// Counts a request that is sent to a backend server for the first time.
    pub(crate) fn on_sent(&mut self, admitted: &Admitted, prompt: &Prompt) {
        self.counts_of(admitted).sent += prompt.work_tokens();
    }

    fn counts_of(&mut self, admitted: &Admitted) -> &mut TokenCounts {
        let workspace = admitted.workspace.clone().unwrap_or_default();
        self.counts.entry(workspace).or_default()
    }

    /// Takes the counts since the last call as text: for each workspace its name, the tokens that it asked
    /// for and those that were sent, `None` if there are none.
    pub(crate) fn take_text(&mut self) -> Option<String> {
        let mut counts: Vec<_> = std::mem::take(&mut self.counts).into_iter().collect();
        counts.sort_unstable_by(|(a_name, a), (b_name, b)| {
            b.asked.cmp(&a.asked).then_with(|| a_name.cmp(b_name))
        });
        counts.truncate(LOGGED_WORKSPACES_MAX);
        let mut text = String::new();
        for (workspace, TokenCounts { asked, sent }) in counts {
            let separator = if text.is_empty() { "" } else { ", " };
            // Writing to a string does not fail.
            let _ = write!(text, "{separator}{workspace} {asked} {sent}");
        }
        (!text.is_empty()).then_some(text)
    }
}
