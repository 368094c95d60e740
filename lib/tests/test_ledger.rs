//! The merge rules and the change log of the ledger, which sums up the cost of each workspace's
//! requests from cells: one per gateway (origin), start of its process (incarnation) and workspace.

use cardamomshift_lib::id::HostId;
use cardamomshift_lib::id::Incarnation;
use cardamomshift_lib::id::WorkspaceId;
use cardamomshift_lib::ledger::Cursor;
use cardamomshift_lib::ledger::Ledger;
use cardamomshift_lib::message::TotalCell;
use proptest::collection::vec;
use proptest::prelude::*;

fn any_cell() -> impl Strategy<Value = TotalCell> {
    (1..4u64, 1..3u64, 0..3u32, 0..100u64).prop_map(|(origin, incarnation, workspace, cost)| {
        TotalCell {
            origin: HostId(origin),
            incarnation: Incarnation(incarnation),
            workspace: WorkspaceId(workspace),
            cost,
        }
    })
}

fn merged<'a>(cells: impl IntoIterator<Item = &'a TotalCell>) -> Ledger {
    let mut ledger = Ledger::default();
    for cell in cells {
        ledger.merge(*cell);
    }
    ledger
}

fn counters(ledger: &Ledger) -> Vec<u64> {
    (0..3).map(|w| ledger.counter(WorkspaceId(w))).collect()
}

/// Counter of a workspace calculated without the ledger: the largest cost of each origin and
/// incarnation, summed up.
fn expected(cells: &[TotalCell], workspace: u32) -> u64 {
    let mut keys: Vec<_> = cells
        .iter()
        .filter(|c| c.workspace.0 == workspace)
        .map(|c| (c.origin, c.incarnation))
        .collect();
    keys.sort();
    keys.dedup();
    keys.iter()
        .map(|key| {
            cells
                .iter()
                .filter(|c| c.workspace.0 == workspace && (c.origin, c.incarnation) == *key)
                .map(|c| c.cost)
                .max()
                .unwrap_or(0)
        })
        .sum()
}

proptest! {
    #[test]
    fn merge_ignores_order_and_repetition(
        cells in vec(any_cell(), 0..40),
        order in vec(any::<prop::sample::Index>(), 0..80),
    ) {
        let mut again = cells.clone();
        if !cells.is_empty() {
            again.extend(order.iter().map(|index| *index.get(&cells)));
        }
        again.reverse();
        let once = merged(&cells);
        let twice = merged(&again);
        prop_assert_eq!(counters(&once), counters(&twice));
        prop_assert_eq!(once.all(), twice.all());
        for workspace in 0..3 {
            prop_assert_eq!(
                once.counter(WorkspaceId(workspace)),
                expected(&cells, workspace)
            );
        }
    }

    #[test]
    fn changes_since_a_cursor_complete_a_copy(
        first in vec(any_cell(), 0..30),
        second in vec(any_cell(), 0..30),
    ) {
        let mut ledger = merged(&first);
        let mut copy = merged(&ledger.changed_since(Cursor::default()));
        let cursor = ledger.cursor();
        for cell in &second {
            ledger.merge(*cell);
        }
        for cell in ledger.changed_since(cursor) {
            copy.merge(cell);
        }
        prop_assert_eq!(copy.all(), ledger.all());
    }
}

#[test]
fn relayed_cells_are_sent_in_full_exchanges_only() {
    let cell = TotalCell {
        origin: HostId(1),
        incarnation: Incarnation(1),
        workspace: WorkspaceId(0),
        cost: 5,
    };
    let mut ledger = Ledger::default();
    assert_eq!(ledger.merge_relayed(cell), 5);
    assert_eq!(ledger.changed_since(Cursor::default()), []);
    assert_eq!(ledger.all(), [cell]);
}

#[test]
fn concurrent_lifts_of_two_shards_count_once() {
    let mut one = Ledger::default();
    let mut other = Ledger::default();
    one.lift(WorkspaceId(0), 100);
    other.lift(WorkspaceId(0), 90);
    for cell in other.all() {
        one.merge_relayed(cell);
    }
    assert_eq!(one.counter(WorkspaceId(0)), 100);
}
