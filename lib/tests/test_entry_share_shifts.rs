//! Shares of workspaces (customers) while demand and capacity change within a second.
//!
//! The load: a workspace that had nearly all engines (servers that run a model) to itself when a
//! quarter of them crashes and others begin to flood the service; and many workspaces whose demand
//! jumps between a fiftieth and ten times the usual at different moments, while engines slow down
//! and the reports of schedulers to each other are late or lost. What a workspace was granted while
//! there was more for it must not be held against it.

mod common;

use common::deployment::Deployment;
use common::deployment::Workspace;
use common::deployment::check_shares;
use common::deployment::play;

fn play_takeover(hosts: u32, engines: u32) {
    let mut deployment = Deployment::new(hosts, engines);
    let mut workspaces: Vec<_> = (10..26)
        .map(|id| Workspace {
            id,
            sessions: (id * 1_000..id * 1_000 + 20).collect(),
            interval_ms: deployment.interval_ms(0.4 / 16.0),
            changes: Vec::new(),
        })
        .collect();
    for (id, from_ms) in [(1, 9_000), (2, 13_000), (3, 13_000), (4, 13_000)] {
        workspaces.push(Workspace {
            id,
            sessions: (id * 100_000..id * 100_000 + 20).collect(),
            interval_ms: deployment.interval_ms(0.02),
            changes: vec![(from_ms..21_000, deployment.interval_ms(1.5))],
        });
    }
    let all = play(
        &mut deployment,
        &workspaces,
        22_000,
        |deployment, now_ms| {
            if now_ms == 13_000 {
                let left = deployment.engines.len() * 3 / 4;
                deployment.engines.truncate(left);
            }
        },
    );
    check_shares(&all, &format!("{hosts} hosts"));
    deployment.check_empty_engines(&format!("{hosts} hosts"));
}

#[test]
fn early_flood_is_not_held_against_a_workspace_on_seven_hosts() {
    play_takeover(7, 18);
}

#[test]
fn early_flood_is_not_held_against_a_workspace_on_73_hosts() {
    play_takeover(73, 60);
}

fn play_jumps(hosts: u32, engines: u32, end_ms: u64) {
    let mut deployment = Deployment::new(hosts, engines);
    let workspaces: Vec<_> = (1..=30_u64)
        .map(|id| {
            let usual = 0.9 / 30.0;
            // Every workspace is flooding for 7 s and nearly idle for 5 s, at moments of its own.
            let offset = id * 7_919 % 17_000;
            let changes = (0..4).flat_map(|round| {
                let from = (round * 17_000 + offset).saturating_sub(17_000);
                let high = from..from + 7_000;
                let low = from + 7_000..from + 12_000;
                [(high, 10.0 * usual), (low, usual / 50.0)]
            });
            Workspace {
                id,
                sessions: (id * 1_000..id * 1_000 + 20).collect(),
                interval_ms: deployment.interval_ms(usual),
                changes: changes
                    .map(|(span, demand)| (span, deployment.interval_ms(demand)))
                    .collect(),
            }
        })
        .collect();
    let all = play(
        &mut deployment,
        &workspaces,
        end_ms,
        |deployment, now_ms| {
            match now_ms {
                // A third of the engines runs at a fifth of the speed.
                4_000 => {
                    let slow = deployment.engines.iter().step_by(3);
                    deployment.slowness = slow.map(|engine| (engine.hash, 5.0)).collect();
                }
                10_000 => deployment.slowness.clear(),
                // One scheduler is late, then a third of them is cut from the others.
                6_000 => {
                    let late = deployment.by_shard[0];
                    deployment.report_delays.insert(late, Some(1_000));
                }
                9_000 => {
                    let cut = deployment.by_shard.iter().step_by(3);
                    deployment.report_delays = cut.map(|address| (*address, None)).collect();
                }
                15_000 => deployment.report_delays.clear(),
                _ => {}
            }
        },
    );
    check_shares(&all, &format!("{hosts} hosts"));
    deployment.check_empty_engines(&format!("{hosts} hosts"));
}

#[test]
fn jumping_demand_gets_even_shares_on_seven_hosts() {
    play_jumps(7, 18, 34_000);
}

#[test]
fn jumping_demand_gets_even_shares_on_73_hosts() {
    play_jumps(73, 60, 28_000);
}

#[test]
fn jumping_demand_gets_even_shares_on_195_hosts() {
    play_jumps(195, 266, 14_000);
}

/// With eight engines a workspace is granted a request or two a second. A span in which its share is
/// less than a request says nothing about it.
#[test]
fn jumping_demand_gets_even_shares_on_a_small_service() {
    play_jumps(7, 8, 28_000);
}
