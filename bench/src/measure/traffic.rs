//! Load that several measurements use: one workspace sends far more than its share.

use crate::fleet::FleetPlan;
use crate::load::Arrivals;
use crate::load::ModelWork;
use crate::load::Work;
use crate::load::WorkspaceLoad;

/// Concurrent requests of the flooding workspace.
const FLOOD_REQUESTS: usize = 200;
/// Concurrent requests of each other workspace: more than its share of the slots, so that it always
/// has requests waiting.
const STEADY_REQUESTS: usize = 24;
/// Factor by which the announced response lengths are wrong.
const HINT_ERROR: u32 = 4;

/// Load in which the first workspace floods one host and the others send through all hosts. All
/// workspaces have requests waiting at any time.
pub(super) fn loads_with_flood(plan: &FleetPlan) -> Vec<WorkspaceLoad> {
    let hosts = plan.domains.len() * plan.hosts_per_domain;
    (0..plan.workspaces)
        .map(|number| WorkspaceLoad {
            workspace: plan.workspace_name(number),
            key: plan.workspace_key(number),
            class: Some("bulletin".to_owned()),
            hosts: match number {
                0 => vec![0],
                _ => (0..hosts).map(|host| (host + number) % hosts).collect(),
            },
            arrivals: Arrivals::Closed(if number == 0 {
                FLOOD_REQUESTS
            } else {
                STEADY_REQUESTS
            }),
            work: Work::Model(ModelWork {
                hint_error: HINT_ERROR,
                ..ModelWork::default()
            }),
        })
        .collect()
}
