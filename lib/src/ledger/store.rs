//! The ledger's cells and their change log.
//!
//! A cell ([`TotalCell`]) is the cumulative cost that one incarnation (process start) of a gateway,
//! the part of a host that accepts callers' requests, has charged to one workspace. Each shard, the
//! servers of a service in one failure domain, has a ledger, and the shards exchange their cells.
//! The change log lets a shard send only those cells that changed since its last message.

use std::collections::BTreeMap;

use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::WorkspaceId;
use crate::message::TotalCell;

/// Origin of the cells that hold lifts instead of costs. It must not be the ID of a host; a host's
/// ID is the hash of its name.
pub const LIFT_ORIGIN: HostId = HostId(0);

/// Position in a ledger's change log. The default lies before the first change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cursor(u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CellKey {
    workspace: WorkspaceId,
    origin: HostId,
    incarnation: Incarnation,
}

#[derive(Clone, Copy, Debug)]
struct CellState {
    /// Cumulative cost or lift, in the unit of the service (tokens, or microseconds of run time).
    cost: u64,
    /// Position of the cell's latest change in the change log.
    version: u64,
}

#[derive(Clone, Copy, Debug)]
struct Change {
    key: CellKey,
    /// Whether the change came from another shard. It is then not sent on as a change.
    relayed: bool,
}

/// Cumulative cost of each workspace, merged from the cells of every gateway, and the lift of each
/// workspace.
///
/// The scheduler serves the workspace with the smallest sum of cost and lift first. A lift is an
/// amount that it adds to a workspace that was idle or is too far behind, as if the workspace's
/// requests had caused that cost. Lifts, like costs, only grow, and are stored as cells with
/// [`LIFT_ORIGIN`].
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    cells: BTreeMap<CellKey, CellState>,
    /// Sum of the cells of each workspace, including its lift.
    totals: BTreeMap<WorkspaceId, u64>,
    /// Change log: the latest change of each cell, by its position.
    changes: BTreeMap<u64, Change>,
    /// Position of the latest change in the change log.
    version: u64,
}

impl Ledger {
    /// Merges a cell that a gateway reported to this shard. Returns the increase of the workspace's
    /// counter, zero if the known cost of the cell is the same or higher.
    pub fn merge(&mut self, cell: TotalCell) -> u64 {
        self.apply(cell, false)
    }

    /// Merges a cell that another shard sent. [`Self::changed_since`] leaves it out and only
    /// [`Self::all`] contains it, so that the shards do not send each other's changes back and
    /// forth. Returns the increase of the workspace's counter.
    pub fn merge_relayed(&mut self, cell: TotalCell) -> u64 {
        self.apply(cell, true)
    }

    /// Sum of the cost and the lift of a workspace, in the unit of the service.
    pub fn counter(&self, workspace: WorkspaceId) -> u64 {
        self.totals.get(&workspace).copied().unwrap_or_default()
    }

    /// Adds `amount`, in the unit of the service, to the lift of a workspace. All shards use the
    /// same cell for it, so that lifts of several shards at the same time merge by maximum and
    /// count once.
    pub fn lift(&mut self, workspace: WorkspaceId, amount: u64) {
        let key = CellKey {
            workspace,
            origin: LIFT_ORIGIN,
            incarnation: Incarnation(0),
        };
        let lifted = self.cells.get(&key).map_or(0, |cell| cell.cost);
        self.merge(TotalCell {
            origin: LIFT_ORIGIN,
            incarnation: Incarnation(0),
            workspace,
            cost: lifted.saturating_add(amount),
        });
    }

    /// Position of the latest change in the change log.
    pub fn cursor(&self) -> Cursor {
        Cursor(self.version)
    }

    /// Cells that changed after `cursor` by a report to this shard or by a lift, but not those
    /// whose latest change came from another shard.
    pub fn changed_since(&self, cursor: Cursor) -> Vec<TotalCell> {
        self.changes
            .range(cursor.0 + 1..)
            .filter(|(_, change)| !change.relayed)
            .map(|(_, change)| self.cell(change.key))
            .collect()
    }

    /// Every cell, including those that other shards sent.
    pub fn all(&self) -> Vec<TotalCell> {
        self.cells.keys().map(|key| self.cell(*key)).collect()
    }

    /// Workspaces with at least one cell, in ascending order.
    pub fn workspaces(&self) -> impl Iterator<Item = WorkspaceId> {
        self.totals.keys().copied()
    }

    fn apply(&mut self, cell: TotalCell, relayed: bool) -> u64 {
        let key = CellKey {
            workspace: cell.workspace,
            origin: cell.origin,
            incarnation: cell.incarnation,
        };
        let known = self.cells.get(&key).copied();
        let before = known.map_or(0, |state| state.cost);
        if cell.cost <= before {
            return 0;
        }
        self.version += 1;
        if let Some(state) = known {
            self.changes.remove(&state.version);
        }
        self.changes.insert(self.version, Change { key, relayed });
        let state = CellState {
            cost: cell.cost,
            version: self.version,
        };
        self.cells.insert(key, state);
        let growth = cell.cost - before;
        let total = self.totals.entry(cell.workspace).or_default();
        *total = total.saturating_add(growth);
        growth
    }

    fn cell(&self, key: CellKey) -> TotalCell {
        TotalCell {
            origin: key.origin,
            incarnation: key.incarnation,
            workspace: key.workspace,
            cost: self.cells[&key].cost,
        }
    }
}
