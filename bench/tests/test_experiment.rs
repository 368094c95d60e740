//! Played loads: what callers get from the scheduler of entry hosts.

use std::time::Duration;

use cardamomshift_bench::experiment::LoadSpec;
use cardamomshift_bench::experiment::Outcome;
use cardamomshift_bench::experiment::Policy;
use cardamomshift_bench::experiment::play;
use cardamomshift_bench::experiment::plot;
use cardamomshift_bench::experiment::sweep;
use cardamomshift_bench::experiment::table;

fn load(rate: f64, flood: f64) -> LoadSpec {
    LoadSpec {
        engines: 12,
        rate,
        burst: 1.5,
        workspaces: 16,
        flood,
        length: Duration::from_secs(20),
    }
}

#[test]
fn sessions_that_stay_at_home_spare_the_reading_of_their_parts() {
    let spec = load(6.0, 0.0);
    let scheduler = play(&spec, Policy::Scheduler, 1);
    let in_turn = play(&spec, Policy::InTurn, 1);
    let shared = |outcome: &Outcome| outcome.read_tokens - outcome.own_tokens;
    assert!(
        shared(&scheduler) * 2 < shared(&in_turn),
        "{} against {}",
        shared(&scheduler),
        shared(&in_turn)
    );
}

#[test]
fn in_a_burst_more_callers_are_served_in_time_than_without_refusals() {
    for seed in 1..=3 {
        let spec = load(14.0, 0.2);
        let scheduler = play(&spec, Policy::Scheduler, seed).all;
        let home = play(&spec, Policy::Home, seed).all;
        assert!(scheduler.timely() > home.timely(), "{scheduler:?} {home:?}");
        assert!(scheduler.served() > home.served(), "{scheduler:?} {home:?}");
    }
}

#[test]
fn what_is_let_begin_is_served() {
    for seed in 1..=3 {
        let all = play(&load(14.0, 0.2), Policy::Scheduler, seed).all;
        let lost = all.asked - all.refused - all.in_time - all.late;
        assert!(f64::from(lost) < 0.05 * f64::from(all.asked), "{all:?}");
    }
}

#[test]
fn every_kind_and_workspace_is_served_in_a_flood() {
    for seed in 1..=3 {
        let outcome = play(&load(14.0, 0.5), Policy::Scheduler, seed);
        for kind in outcome.kinds {
            // A kind may not be served less than a quarter as often as all.
            assert!(kind.served() > 0.25 * outcome.all.served(), "{outcome:?}");
        }
        for (workspace, tally) in &outcome.workspaces {
            assert!(
                tally.served() > 0.25 * outcome.all.served(),
                "{workspace}: {tally:?}"
            );
        }
        let flood = outcome.workspaces[&0];
        let others = outcome.workspaces.iter().filter(|(name, _)| **name != 0);
        assert!(
            others
                .clone()
                .all(|(_, tally)| tally.served() >= flood.served()),
            "{outcome:?}"
        );
    }
}

#[test]
fn the_same_seed_gives_the_same_outcome() {
    let spec = load(10.0, 0.2);
    let first = play(&spec, Policy::Scheduler, 7);
    let second = play(&spec, Policy::Scheduler, 7);
    assert_eq!(first.all, second.all);
    assert_eq!(first.read_tokens, second.read_tokens);
}

#[test]
fn a_sweep_gives_a_table_and_a_plot() {
    let rows = sweep(&load(1.0, 0.0), &[2.0, 4.0], 1);
    let text = table(&rows);
    assert_eq!(text.lines().count(), 1 + 2 * 3);
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("plot.svg");
    plot(&path, &rows).unwrap();
    assert!(std::fs::read_to_string(path).unwrap().contains("<svg"));
}
