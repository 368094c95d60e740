//! Tests that schedulers know of the requests that entry hosts refuse by themselves.

mod common;
mod entry;

use std::net::SocketAddr;
use std::time::Duration;

use cardamomshift_lib::crashing::RequestDigest;
use cardamomshift_lib::entry::Fleet;

use cardamomshift_lib::entry::ScheduleDecision;
use cardamomshift_lib::entry::ScheduleRequest;
use cardamomshift_lib::entry::ShardWork;
use cardamomshift_lib::entry::WorkspaceWork;
use cardamomshift_lib::time::Timestamp;
use xxhash_rust::xxh3::xxh3_64;

use crate::common::deployment::Deployment;
use crate::common::deployment::PROMPT_TOKENS;
use crate::common::deployment::WorkByWorkspace;
use crate::common::deployment::Workspace;
use crate::common::deployment::check_shares;
use crate::common::deployment::play;
use crate::entry::KEY;
use crate::entry::at;
use crate::entry::fleet;
use crate::entry::fleet_of_host;
use crate::entry::head;
use crate::entry::prompt;

/// Time at which the tests start, milliseconds.
const START_MS: u64 = 10_000;
/// Address of the host that a workspace floods.
const FLOODED: ([u8; 4], u16) = ([10, 0, 0, 1], 7_400);
/// Address of another scheduler.
const OTHER: ([u8; 4], u16) = ([10, 0, 0, 4], 7_400);

/// Schedule request of a workspace as another host would send it, which the response should meet within
/// `until_objective`.
fn request(
    host: &mut Fleet,
    now: Timestamp,
    workspace: &str,
    until_objective: Duration,
) -> ScheduleRequest {
    let head = head(Some(KEY), now + Duration::from_secs(3));
    let mut admitted = host.admit(now, &head, "/s/x").unwrap();
    admitted.workspace = Some(workspace.into());
    let digest = RequestDigest {
        workspace: 1,
        content: 1,
    };
    let request = host.schedule_request(now, &admitted, &prompt(), digest, &[]);
    let mut request = request.unwrap();
    request.until_objective = until_objective;
    // Prompts that share nothing keep the engines busy.
    request.shared_parts.clear();
    request
}

/// Starts requests of a workspace until the engines of a scheduler are full, at most `most`.
fn start_requests(
    scheduler: &mut Fleet,
    helper: &mut Fleet,
    now: Timestamp,
    workspace: &str,
    most: usize,
) {
    for _ in 0..most {
        let request = request(helper, now, workspace, Duration::from_millis(800));
        let decision = scheduler.decide(now, &request);
        if !matches!(decision, ScheduleDecision::Start { .. }) {
            return;
        }
    }
}

/// Report of another scheduler, at which the workspace `served` has got much.
fn report_of_served() -> ShardWork {
    ShardWork {
        contention: 1.0,
        work: vec![WorkspaceWork {
            workspace: xxh3_64(b"served"),
            requested_tokens: 4_000_000,
            granted_tokens: 2_000_000,
        }],
    }
}

/// Refuses connections of the workspace `refused` at a host for a second, and tells a scheduler what the host
/// has to tell.
fn refuse_for_a_second(host: &mut Fleet, scheduler: &mut Fleet, now: Timestamp) {
    let head = head(Some(KEY), now + Duration::from_secs(3));
    let mut admitted = host.admit(now, &head, "/s/x").unwrap();
    admitted.workspace = Some("refused".into());
    for ms in 0..1_000 {
        host.on_refused_connection(&admitted, Some(&prompt()));
        if ms % 100 == 0 {
            host.on_connections_refused(0);
        }
        if ms % 250 == 0 {
            let now = now + Duration::from_millis(ms);
            for (service, _, shards) in host.shares_to_send(now) {
                scheduler.on_shares(now, SocketAddr::from(FLOODED), service, shards);
            }
        }
    }
}

/// Guards against a workspace that seems to ask for only what the one host by which it comes lets pass.
#[test]
fn workspace_that_its_host_refuses_counts_as_underserved_at_schedulers() {
    let now = at(START_MS);
    let mut flooded = fleet(now);
    let hosts: Vec<_> = (1..=6).map(|n| format!("h{n}")).collect();
    let mut scheduler = fleet_of_host("h2", &hosts, now);
    let mut helper = fleet_of_host("h3", &hosts, now);
    refuse_for_a_second(&mut flooded, &mut scheduler, now);
    let now = now + Duration::from_secs(1);
    let service = request(&mut helper, now, "served", Duration::ZERO).service;
    scheduler.on_shares(now, SocketAddr::from(OTHER), service, report_of_served());
    // What its host lets pass is all started.
    start_requests(&mut scheduler, &mut helper, now, "refused", 8);
    start_requests(&mut scheduler, &mut helper, now, "served", usize::MAX);
    let soon = Duration::from_millis(300);
    let of_served = request(&mut helper, now, "served", soon);
    let decision = scheduler.decide(now, &of_served);
    assert!(
        matches!(decision, ScheduleDecision::Refuse { .. }),
        "{decision:?}"
    );
    // It may wait longer for an engine, since it has got far less than it asked for.
    let of_refused = request(&mut helper, now, "refused", soon);
    let decision = scheduler.decide(now, &of_refused);
    assert!(
        matches!(decision, ScheduleDecision::Start { .. }),
        "{decision:?}"
    );
}

/// Workspace that comes by one host only, and one that comes by all.
const LONE: u64 = 1;
const SPREAD: u64 = 2;
/// Span in which both ask for more than all engines can do, milliseconds.
const FLOODS_MS: std::ops::Range<u64> = 4_000..18_000;
/// Fraction of the engines' capacity that the host of the first one has time for.
const PASSED_FRACTION: f64 = 0.4;

/// Fraction of the engines' capacity that the ordinary workspaces ask for.
const ORDINARY_FRACTION: f64 = 0.3;

/// Plays both beside ordinary workspaces. Returns all work, and the requests a second that the first one should get:
/// what its host lets pass, but no more than an even share of the engines that are left.
fn play_lone_host(hosts: u32, engines: u32, engines_left: f64) -> (WorkByWorkspace, f64) {
    let mut deployment = Deployment::new(hosts, engines);
    let per_second = deployment.capacity() / PROMPT_TOKENS as f64;
    let passed = per_second * PASSED_FRACTION;
    let share = per_second * (engines_left - ORDINARY_FRACTION) / 2.0;
    deployment.passed_per_second.insert(LONE, passed);
    let sessions = |id: u64| (id * 1_000..id * 1_000 + 20).collect();
    let mut workspaces: Vec<_> = (10..26)
        .map(|id| Workspace {
            id,
            sessions: sessions(id),
            interval_ms: deployment.interval_ms(ORDINARY_FRACTION / 16.0),
            changes: Vec::new(),
        })
        .collect();
    for id in [LONE, SPREAD] {
        workspaces.push(Workspace {
            id,
            sessions: sessions(id),
            interval_ms: deployment.interval_ms(0.02),
            changes: vec![(FLOODS_MS, deployment.interval_ms(1.5))],
        });
    }
    let left = (f64::from(engines) * engines_left) as usize;
    let all = play(
        &mut deployment,
        &workspaces,
        20_000,
        |deployment, now_ms| {
            if now_ms == 10_000 {
                deployment.engines.truncate(left);
            }
        },
    );
    (all, passed.min(share))
}

/// Guards against engines that refuse what the scarcest host has spent its time on.
#[test]
fn requests_that_a_lone_host_lets_pass_are_started() {
    for (hosts, engines, engines_left) in
        [(7, 18, 1.0), (7, 18, 0.75), (73, 60, 1.0), (73, 60, 0.75)]
    {
        let name = format!("{hosts} hosts, {engines_left} of the engines left");
        let (all, due) = play_lone_host(hosts, engines, engines_left);
        check_shares(&all, &name);
        let seconds = (FLOODS_MS.start / 1_000) as usize + 1..(FLOODS_MS.end / 1_000) as usize;
        let granted: u64 = all[&LONE].granted[seconds.clone()].iter().sum();
        let started = granted as f64 / PROMPT_TOKENS as f64 / seconds.len() as f64;
        assert!(
            started >= 0.9 * due,
            "{name}: {started:.0} of {due:.0} requests a second"
        );
    }
}
