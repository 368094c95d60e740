//! `demo`: runs two fleets under mixed traffic during a failure domain outage.

use cardamomshift_bench::demo;
use clap::Args;

use super::CommandError;

#[derive(Debug, Args)]
pub(crate) struct DemoArgs {
    /// Seed of the random load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl DemoArgs {
    pub(crate) async fn run(self) -> Result<(), CommandError> {
        demo::run(self.seed).await?;
        Ok(())
    }
}
