//! A fleet or the baseline, with callers in front of it.

use std::time::Duration;

use cardamomshift_testutils::now_us;

use super::MeasureError;
use crate::baseline::Baseline;
use crate::fleet::Fleet;
use crate::fleet::FleetPlan;
use crate::fleet::HostProcesses;
use crate::load::HttpClient;
use crate::load::Load;
use crate::load::WorkspaceLoad;
use crate::load::http_client;
use crate::operator::Operator;

/// What routes the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouterKind {
    /// The fleet, each host a process of its own.
    Fleet,
    /// The baseline.
    Baseline,
}

/// Stand-ins with routers before them.
#[derive(Debug)]
pub struct Rig {
    hosts: Option<HostProcesses>,
    /// Held so that its routers go on serving.
    baseline: Option<Baseline>,
    fleet: Fleet,
    client: HttpClient,
}

impl Rig {
    /// Starts the stand-ins of a plan and the routers.
    ///
    /// # Errors
    ///
    /// The hosts do not run.
    pub async fn start(plan: FleetPlan, kind: RouterKind) -> Result<Self, MeasureError> {
        let fleet = Fleet::start(plan);
        let mut rig = Self {
            hosts: None,
            baseline: None,
            fleet,
            client: http_client(),
        };
        match kind {
            RouterKind::Fleet => {
                let program = std::env::current_exe()?;
                rig.hosts = Some(HostProcesses::start(&rig.fleet, &program).await?);
            }
            RouterKind::Baseline => rig.baseline = Some(Baseline::start(&rig.fleet).await?),
        }
        Ok(rig)
    }

    /// The places and stand-ins of the fleet.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The hosts, if the fleet routes.
    pub fn hosts(&mut self) -> Option<&mut HostProcesses> {
        self.hosts.as_mut()
    }

    /// Whether the fleet routes.
    pub fn is_fleet(&self) -> bool {
        self.hosts.is_some()
    }

    /// Client of the callers.
    pub fn client(&self) -> &HttpClient {
        &self.client
    }

    /// An operator who speaks to a host.
    pub fn operator(&self, host: usize) -> Operator {
        let address = self.fleet.hosts()[host].operators;
        Operator::new(self.client.clone(), address)
    }

    /// Makes every engine warm.
    pub fn warm_engines(&self) {
        for (_, engine) in self.fleet.engines() {
            engine.set_warm();
        }
    }

    /// Starts load.
    pub fn load(&self, loads: Vec<WorkspaceLoad>, seed: u64) -> Load {
        Load::start(self.fleet.caller_addresses(), &self.client, loads, seed)
    }
}

/// Waits, and gives the time after it.
pub(super) async fn sleep_then_now(span: Duration) -> u64 {
    tokio::time::sleep(span).await;
    now_us()
}
