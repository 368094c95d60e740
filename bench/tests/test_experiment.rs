//! Simulated loads: the scheduler of entry hosts compared with simpler placement policies.

use std::time::Duration;

use cardamomshift_bench::experiment::LoadSpec;
use cardamomshift_bench::experiment::Outcome;
use cardamomshift_bench::experiment::Policy;
use cardamomshift_bench::experiment::plot;
use cardamomshift_bench::experiment::simulate;
use cardamomshift_bench::experiment::sweep;
use cardamomshift_bench::experiment::table;

fn load(rate: f64, flood_share: f64) -> LoadSpec {
    LoadSpec {
        engines: 12,
        rate,
        burst_factor: 1.5,
        workspaces: 16,
        flood_share,
        length: Duration::from_secs(20),
    }
}

/// Requests of a session share parts of their prompts. The scheduler must send them to engines that
/// have these parts cached, so that it prefills less than half the shared tokens of round robin.
#[test]
fn scheduler_prefills_fewer_shared_tokens_than_round_robin() {
    let spec = load(6.0, 0.0);
    let scheduler = simulate(&spec, Policy::Scheduler, 1);
    let round_robin = simulate(&spec, Policy::RoundRobin, 1);
    let shared = |outcome: &Outcome| outcome.prefilled_tokens - outcome.unique_tokens;
    assert!(
        shared(&scheduler) * 2 < shared(&round_robin),
        "shared tokens prefilled: scheduler {}, round robin {}",
        shared(&scheduler),
        shared(&round_robin)
    );
}

/// Session affinity queues every request. Under overload, the scheduler, which refuses some
/// requests on arrival, must serve more requests, both in total and within the latency objective.
#[test]
fn scheduler_serves_more_requests_in_a_burst_than_session_affinity() {
    for seed in 1..=3 {
        let spec = load(14.0, 0.2);
        let scheduler = simulate(&spec, Policy::Scheduler, seed).all;
        let session_affinity = simulate(&spec, Policy::SessionAffinity, seed).all;
        assert!(
            scheduler.in_time_share() > session_affinity.in_time_share(),
            "{scheduler:?} {session_affinity:?}"
        );
        assert!(
            scheduler.served_share() > session_affinity.served_share(),
            "{scheduler:?} {session_affinity:?}"
        );
    }
}

/// The scheduler must refuse requests that it cannot serve in time rather than let them time out.
/// Requests that were neither refused nor answered timed out: fewer than 5 % of all requests may.
#[test]
fn few_admitted_requests_time_out() {
    for seed in 1..=3 {
        let all = simulate(&load(14.0, 0.2), Policy::Scheduler, seed).all;
        let lost = all.requests - all.refused - all.in_time - all.late;
        assert!(f64::from(lost) < 0.05 * f64::from(all.requests), "{all:?}");
    }
}

/// One workspace sends half of all requests. No kind and no workspace may starve, and the others
/// must be served at least as often as the flooding one.
#[test]
fn every_kind_and_workspace_is_served_in_a_flood() {
    for seed in 1..=3 {
        let outcome = simulate(&load(14.0, 0.5), Policy::Scheduler, seed);
        for kind in outcome.kinds {
            // Served share of a kind must exceed a quarter of the served share of all requests.
            assert!(
                kind.served_share() > 0.25 * outcome.all.served_share(),
                "{outcome:?}"
            );
        }
        for (workspace, tally) in &outcome.workspaces {
            assert!(
                tally.served_share() > 0.25 * outcome.all.served_share(),
                "{workspace}: {tally:?}"
            );
        }
        let flood = outcome.workspaces[&0];
        let others = outcome.workspaces.iter().filter(|(name, _)| **name != 0);
        assert!(
            others
                .clone()
                .all(|(_, tally)| tally.served_share() >= flood.served_share()),
            "{outcome:?}"
        );
    }
}

#[test]
fn the_same_seed_gives_the_same_outcome() {
    let spec = load(10.0, 0.2);
    let first = simulate(&spec, Policy::Scheduler, 7);
    let second = simulate(&spec, Policy::Scheduler, 7);
    assert_eq!(first.all, second.all);
    assert_eq!(first.prefilled_tokens, second.prefilled_tokens);
}

#[test]
fn sweep_renders_a_table_and_a_plot() {
    let rows = sweep(&load(1.0, 0.0), &[2.0, 4.0], 1);
    let text = table(&rows);
    assert_eq!(text.lines().count(), 1 + 2 * 3);
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("plot.svg");
    plot(&path, &rows).unwrap();
    assert!(std::fs::read_to_string(path).unwrap().contains("<svg"));
}
