//! One fleet of the demonstration and its traffic.

use std::time::Duration;

use cardamomshift_testutils::history::CallRecord;
use cardamomshift_testutils::history::Interval;
use cardamomshift_testutils::now_us;

use super::DemoError;
use crate::fleet::Fleet;
use crate::fleet::FleetPlan;
use crate::fleet::InProcessHosts;
use crate::load::Arrivals;
use crate::load::Load;
use crate::load::ModelWork;
use crate::load::PlainWork;
use crate::load::Work;
use crate::load::WorkspaceLoad;
use crate::load::http_client;
use crate::measure::model_history::ModelHistory;
use crate::operator::Operator;

/// Concurrent requests of the one workspace that sends far more than its share.
const FLOOD_REQUESTS: usize = 60;
/// Concurrent requests of each other workspace that uses the model.
const STEADY_REQUESTS: usize = 24;
/// Concurrent requests of each workspace that uses the plain service.
const PLAIN_REQUESTS: usize = 4;
/// How long to wait for open calls at the end.
const FINISH_TIMEOUT: Duration = Duration::from_secs(10);

/// A running fleet and its traffic.
pub(super) struct DemoFleet {
    name: &'static str,
    hosts: InProcessHosts,
    fleet: Fleet,
    load: Load,
    /// Start of the traffic, microseconds.
    start: u64,
}

/// Records of a fleet at the end of the demonstration.
pub(super) struct DemoResult {
    pub(super) name: &'static str,
    pub(super) calls: Vec<CallRecord>,
    pub(super) history: ModelHistory,
    pub(super) window: Interval,
    pub(super) hosts: usize,
    /// Bytes between hosts and to the platform, summed over all hosts.
    pub(super) control_bytes: u64,
    /// Number of requests that crashed an engine because it was cold and at its limit.
    pub(super) cold_overloads: usize,
}

impl DemoFleet {
    pub(super) async fn start(
        name: &'static str,
        plan: FleetPlan,
        seed: u64,
    ) -> Result<Self, DemoError> {
        let loads = loads(&plan);
        let fleet = Fleet::start(plan);
        let hosts = InProcessHosts::start(&fleet).await?;
        let load = Load::start(fleet.addresses_for_callers(), &http_client(), loads, seed);
        Ok(Self {
            name,
            hosts,
            fleet,
            load,
            start: now_us(),
        })
    }

    pub(super) fn name(&self) -> &'static str {
        self.name
    }

    pub(super) fn ended_calls(&self) -> usize {
        self.load.ended_calls()
    }

    pub(super) fn second_domain(&self) -> &str {
        &self.fleet.plan().domains[1]
    }

    pub(super) fn operator(&self) -> Operator {
        Operator::new(http_client(), self.fleet.hosts()[0].operators)
    }

    /// Ends the traffic, stops the hosts with a planned stop, and returns the records.
    pub(super) async fn end(self) -> DemoResult {
        let end = now_us();
        let control_bytes = self.fleet.control_bytes();
        let calls = self.load.finish(FINISH_TIMEOUT).await;
        self.hosts.stop().await;
        let engines = self.fleet.engines();
        DemoResult {
            name: self.name,
            calls,
            history: ModelHistory::read(&self.fleet),
            window: Interval {
                from: self.start,
                to: end,
            },
            hosts: self.fleet.hosts().len(),
            control_bytes,
            cold_overloads: engines.iter().map(|(_, e)| e.violations().len()).sum(),
        }
    }
}

/// Load of the six workspaces: the first floods one host with model requests, the others send model
/// or plain requests through all hosts.
fn loads(plan: &FleetPlan) -> Vec<WorkspaceLoad> {
    let hosts = plan.domains.len() * plan.hosts_per_domain;
    let model = |streamed_percent| {
        Work::Model(ModelWork {
            streamed_percent,
            hint_error: 4,
            ..ModelWork::default()
        })
    };
    let plain = |keyed| Work::Plain(PlainWork { keyed, retries: 3 });
    let works = [
        (model(100), FLOOD_REQUESTS),
        (model(100), STEADY_REQUESTS),
        (model(50), STEADY_REQUESTS),
        (model(0), STEADY_REQUESTS),
        (plain(false), PLAIN_REQUESTS),
        (plain(true), PLAIN_REQUESTS),
    ];
    works
        .into_iter()
        .enumerate()
        .map(|(number, (work, outstanding))| WorkspaceLoad {
            workspace: plan.workspace_name(number),
            key: plan.workspace_key(number),
            class: Some("ruling".to_owned()),
            hosts: match number {
                0 => vec![0],
                _ => (0..hosts).collect(),
            },
            arrivals: Arrivals::Closed(outstanding),
            work,
        })
        .collect()
}
