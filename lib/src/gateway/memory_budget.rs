//! Decides how many bytes of request and response bodies an entry host holds at once.
//!
//! An entry host is a reverse proxy between callers and backend servers. It holds a request body while
//! servers may still need it, and a response that is not a stream until its caller has taken it.
//! Hosts have as little as 88 MB. The load that this module addresses is one workspace (customer) with
//! many large bodies and callers that read slowly, beside others with small bodies: without a limit the
//! process exceeds its memory and ends, and with a common limit the large bodies take all of it.
//!
//! A workspace may hold as much as is left free. Alone it gets half of the memory; `n` workspaces that
//! all want more settle at `limit / (n + 1)` each. So there is always room for one that holds little,
//! a workspace that holds more than its even part is refused before one that holds less, and no
//! body that was accepted has to be dropped for another one.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use compact_str::CompactString;

/// Name of a workspace. Requests on routes that need no key have none, and share one part.
type Workspace = Option<CompactString>;

/// The budget has no room for more bytes of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryShort {
    /// Bytes that the workspace holds.
    pub workspace_bytes: usize,
    /// Bytes that all workspaces hold.
    pub held_bytes: usize,
}

/// Change of the state of a budget since it was last asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemoryChange {
    /// Bytes have been refused.
    Short {
        /// Bytes held at the last refusal.
        held_bytes: usize,
        /// The workspace that was refused last, `None` for requests without one.
        workspace: Option<CompactString>,
        /// Bytes that it held then.
        workspace_bytes: usize,
    },
    /// No bytes have been refused any more.
    Relieved,
}

/// Bytes held for each workspace, with a limit on their sum.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    held: usize,
    by_workspace: HashMap<Workspace, usize>,
    /// The last refusal since changes were last asked for.
    last_refused: Option<(Workspace, MemoryShort)>,
    is_short: bool,
}

impl MemoryBudget {
    /// A budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            held: 0,
            by_workspace: HashMap::new(),
            last_refused: None,
            is_short: false,
        }
    }

    /// Changes the limit. What is held stays, also if it is more.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Bytes held for all workspaces.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Bytes held for a workspace.
    pub fn held_by(&self, workspace: &Option<CompactString>) -> usize {
        self.by_workspace.get(workspace).copied().unwrap_or(0)
    }

    /// Checks that a workspace may hold `bytes` more.
    ///
    /// # Errors
    ///
    /// Fails if it would then hold more than is left free.
    pub fn check(
        &mut self,
        workspace: &Option<CompactString>,
        bytes: usize,
    ) -> Result<(), MemoryShort> {
        let workspace_bytes = self.held_by(workspace);
        let free = self.limit.saturating_sub(self.held);
        let is_admitted = free
            .checked_sub(bytes)
            .is_some_and(|left| workspace_bytes.saturating_add(bytes) <= left);
        if is_admitted {
            return Ok(());
        }
        let short = MemoryShort {
            workspace_bytes,
            held_bytes: self.held,
        };
        self.last_refused = Some((workspace.clone(), short));
        Err(short)
    }

    /// Holds `bytes` more for a workspace.
    ///
    /// # Errors
    ///
    /// Like [`Self::check`]; nothing is held then.
    pub fn hold(
        &mut self,
        workspace: &Option<CompactString>,
        bytes: usize,
    ) -> Result<(), MemoryShort> {
        self.check(workspace, bytes)?;
        if bytes > 0 {
            self.held += bytes;
            *self.by_workspace.entry(workspace.clone()).or_default() += bytes;
        }
        Ok(())
    }

    /// Releases bytes that were held for a workspace.
    pub fn release(&mut self, workspace: &Option<CompactString>, bytes: usize) {
        let Some(held) = self.by_workspace.get_mut(workspace) else {
            return;
        };
        let released = bytes.min(*held);
        *held -= released;
        self.held -= released;
        if *held == 0 {
            self.by_workspace.remove(workspace);
        }
    }

    /// What has changed since the last call. To be called at regular intervals: the budget is short
    /// in an interval in which it refused bytes.
    pub fn take_change(&mut self) -> Option<MemoryChange> {
        let refused = self.last_refused.take();
        let was_short = std::mem::replace(&mut self.is_short, refused.is_some());
        match (was_short, refused) {
            (false, Some((workspace, short))) => Some(MemoryChange::Short {
                held_bytes: short.held_bytes,
                workspace,
                workspace_bytes: short.workspace_bytes,
            }),
            (true, None) => Some(MemoryChange::Relieved),
            _ => None,
        }
    }
}

/// The budget of a host, shared by its requests. Clones share it.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    budget: Arc<Mutex<MemoryBudget>>,
}

impl BodyMemory {
    /// Shares a budget.
    pub fn new(budget: MemoryBudget) -> Self {
        Self {
            budget: Arc::new(Mutex::new(budget)),
        }
    }

    /// Locks the budget.
    pub fn budget(&self) -> MutexGuard<'_, MemoryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Bytes held for a request of a workspace; none at first.
    pub fn start(&self, workspace: Option<CompactString>) -> HeldBytes {
        HeldBytes {
            memory: self.clone(),
            workspace,
            bytes: 0,
        }
    }
}

/// Bytes that a request or a response holds. They are released when this is dropped, whether the
/// request ends or its task is cancelled.
#[derive(Debug)]
pub struct HeldBytes {
    memory: BodyMemory,
    workspace: Workspace,
    bytes: usize,
}

impl HeldBytes {
    /// Checks that `bytes` more may be held.
    ///
    /// # Errors
    ///
    /// See [`MemoryBudget::check`].
    pub fn check(&self, bytes: usize) -> Result<(), MemoryShort> {
        self.memory.budget().check(&self.workspace, bytes)
    }

    /// Holds `bytes` more.
    ///
    /// # Errors
    ///
    /// See [`MemoryBudget::hold`].
    pub fn grow(&mut self, bytes: usize) -> Result<(), MemoryShort> {
        self.memory.budget().hold(&self.workspace, bytes)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Releases part of what is held.
    pub fn shrink(&mut self, bytes: usize) {
        let released = bytes.min(self.bytes);
        self.bytes -= released;
        self.memory.budget().release(&self.workspace, released);
    }

    /// Changes the number of held bytes.
    ///
    /// # Errors
    ///
    /// See [`MemoryBudget::hold`].
    pub fn set(&mut self, bytes: usize) -> Result<(), MemoryShort> {
        match bytes.checked_sub(self.bytes) {
            Some(0) => Ok(()),
            Some(more) => self.grow(more),
            None => {
                self.shrink(self.bytes - bytes);
                Ok(())
            }
        }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.shrink(self.bytes);
    }
}

/// Parts of a response that wait for its caller, in order. Each part is released as it is taken.
#[derive(Debug)]
pub struct HeldParts {
    parts: VecDeque<Bytes>,
    /// Bytes in `parts`.
    len: usize,
    held: HeldBytes,
}

impl HeldParts {
    /// No parts yet.
    pub fn new(held: HeldBytes) -> Self {
        Self {
            parts: VecDeque::new(),
            len: 0,
            held,
        }
    }

    /// Adds a part that has been read. It is kept in any case.
    ///
    /// # Errors
    ///
    /// Fails if the budget has no room for it; no further part is to be read then.
    pub fn push(&mut self, part: Bytes) -> Result<(), MemoryShort> {
        let result = self.held.grow(part.len());
        self.len += part.len();
        self.parts.push_back(part);
        result
    }

    /// Bytes that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no part waits.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Takes the first part.
    pub fn pop(&mut self) -> Option<Bytes> {
        let part = self.parts.pop_front()?;
        self.len -= part.len();
        self.held.shrink(part.len());
        Some(part)
    }
}
