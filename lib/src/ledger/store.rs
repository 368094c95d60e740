//! Merged cells and the record of their changes.

use std::collections::BTreeMap;

use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::WorkspaceId;
use crate::message::TotalCell;

/// Origin of the cells that carry lifts instead of service. No host has this key: a host's key
/// is the hash of its name.
pub const LIFT_ORIGIN: HostId = HostId(0);

/// Position in a ledger's record of changes. The default lies before every change.
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
    cost: u64,
    version: u64,
}

#[derive(Clone, Copy, Debug)]
struct Change {
    key: CellKey,
    relayed: bool,
}

/// Cumulative service per workspace, merged from the cells of every gateway, and the lift of each
/// workspace: service that it is held to have received while it had no work.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    cells: BTreeMap<CellKey, CellState>,
    totals: BTreeMap<WorkspaceId, u64>,
    changes: BTreeMap<u64, Change>,
    version: u64,
}

impl Ledger {
    /// Merges a cell that a gateway of this shard reported. Returns the growth of the workspace's
    /// counter.
    pub fn merge(&mut self, cell: TotalCell) -> u64 {
        self.apply(cell, false)
    }

    /// Merges a cell that another shard reported. It is passed on by full exchanges only, which
    /// keeps the shards from echoing each other's changes.
    pub fn merge_relayed(&mut self, cell: TotalCell) -> u64 {
        self.apply(cell, true)
    }

    /// Service of a workspace with its lift, in the unit of the service.
    pub fn counter(&self, workspace: WorkspaceId) -> u64 {
        self.totals.get(&workspace).copied().unwrap_or_default()
    }

    /// Adds `amount` to the lift of a workspace.
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

    /// The latest position in the record of changes.
    pub fn cursor(&self) -> Cursor {
        Cursor(self.version)
    }

    /// Cells that gateways of this shard, or this shard itself, changed after `cursor`.
    pub fn changed_since(&self, cursor: Cursor) -> Vec<TotalCell> {
        self.changes
            .range(cursor.0 + 1..)
            .filter(|(_, change)| !change.relayed)
            .map(|(_, change)| self.cell(change.key))
            .collect()
    }

    /// Every cell.
    pub fn all(&self) -> Vec<TotalCell> {
        self.cells.keys().map(|key| self.cell(*key)).collect()
    }

    /// Workspaces with a cell, in ascending order.
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
