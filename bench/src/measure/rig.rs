//! Test rig of a measurement: stand-ins for the platform (object API and host list) and for the
//! backend servers (model engines and plain services), and in front of the backend servers either
//! the hosts of the fleet, which are the router under test, or the routers of the baseline.

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

/// Kind of router that a rig runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouterKind {
    /// The router under test: hosts of the fleet, each in its own process.
    Fleet,
    /// Round-robin routers of the baseline, at the addresses of the fleet's hosts.
    Baseline,
}

/// Running stand-ins and routers.
#[derive(Debug)]
pub struct Rig {
    hosts: Option<HostProcesses>,
    /// Kept because dropping it stops its routers.
    baseline: Option<Baseline>,
    /// Stand-ins, and the addresses at which the routers of either kind accept calls.
    fleet: Fleet,
    client: HttpClient,
}

impl Rig {
    /// Starts the stand-ins of a plan and the routers, and waits until the routers are ready.
    ///
    /// # Errors
    ///
    /// A router could not be started.
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
                // The `host` command of this program runs one host.
                let program = std::env::current_exe()?;
                rig.hosts = Some(HostProcesses::start(&rig.fleet, &program).await?);
            }
            RouterKind::Baseline => rig.baseline = Some(Baseline::start(&rig.fleet).await?),
        }
        Ok(rig)
    }

    /// Stand-ins, and the addresses at which the routers of either kind accept calls.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Host processes, none if the rig runs the baseline.
    pub fn hosts(&mut self) -> Option<&mut HostProcesses> {
        self.hosts.as_mut()
    }

    /// Whether the rig runs hosts of the fleet rather than the baseline.
    pub fn is_fleet(&self) -> bool {
        self.hosts.is_some()
    }

    /// HTTP client that all callers share.
    pub fn client(&self) -> &HttpClient {
        &self.client
    }

    /// Client of the operator interface of the host with the number `host`.
    pub fn operator(&self, host: usize) -> Operator {
        let address = self.fleet.hosts()[host].operators;
        Operator::new(self.client.clone(), address)
    }

    /// Makes every model engine warm, so that the run starts at full capacity.
    pub fn warm_engines(&self) {
        for (_, engine) in self.fleet.engines() {
            engine.set_warm();
        }
    }

    /// Starts a load on all routers. `seed` determines its random requests.
    pub fn load(&self, loads: Vec<WorkspaceLoad>, seed: u64) -> Load {
        Load::start(
            self.fleet.addresses_for_callers(),
            &self.client,
            loads,
            seed,
        )
    }
}

/// Sleeps, and returns the time afterwards in microseconds.
pub(super) async fn sleep_then_now(span: Duration) -> u64 {
    tokio::time::sleep(span).await;
    now_us()
}
