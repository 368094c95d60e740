//! `stand-ins`: runs test servers for the platform and the backend servers of a fleet, for hosts
//! that are started by hand.

use std::path::PathBuf;

use cardamomshift_bench::fleet::Fleet;
use cardamomshift_bench::fleet::FleetPlan;
use clap::Args;
use clap::ValueEnum;
use snafu::ResultExt;

use super::CommandError;
use super::SignalSnafu;
use super::WriteSnafu;

/// Predefined fleet.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Plan {
    /// Fleet with four failure domains.
    Flipperliga,
    /// Fleet with three failure domains.
    Teranga,
}

#[derive(Debug, Args)]
pub(crate) struct StandInsArgs {
    /// Predefined fleet.
    #[arg(long, value_enum, default_value = "teranga")]
    plan: Plan,
    /// Existing directory for the settings files, one NAME.toml for each host.
    #[arg(long, value_name = "DIRECTORY")]
    settings: PathBuf,
    /// Number of workspaces in the configuration.
    #[arg(long, default_value_t = 6)]
    workspaces: usize,
}

impl StandInsArgs {
    pub(crate) async fn run(self) -> Result<(), CommandError> {
        let plan = match self.plan {
            Plan::Flipperliga => FleetPlan::flipperliga(),
            Plan::Teranga => FleetPlan::teranga(),
        };
        let fleet = Fleet::start(FleetPlan {
            workspaces: self.workspaces,
            ..plan
        });
        for host in fleet.hosts() {
            let path = self.settings.join(format!("{}.toml", host.name));
            let shown = path.display().to_string();
            std::fs::write(&path, fleet.settings_text(host))
                .context(WriteSnafu { path: &shown })?;
            println!(
                "host {}: callers {}, operators {}, settings {shown}",
                host.name, host.callers, host.operators
            );
        }
        for backend in fleet.backends() {
            println!("backend server {}: {}", backend.name, backend.address);
        }
        for number in 0..fleet.plan().workspaces {
            let plan = fleet.plan();
            let (name, key) = (plan.workspace_name(number), plan.workspace_key(number));
            println!("workspace {name}={key}");
        }
        println!("operator key {}", Fleet::operator_key());
        println!("running until interrupted");
        tokio::signal::ctrl_c().await.context(SignalSnafu)
    }
}
