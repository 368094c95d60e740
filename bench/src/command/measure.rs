//! `measure`: takes one measurement and exits with a failure code if it misses its target.

use std::process::ExitCode;

use cardamomshift_bench::measure::Measurement;
use clap::Args;

use super::CommandError;

#[derive(Debug, Args)]
pub(crate) struct MeasureArgs {
    /// Measurement to take.
    #[arg(value_enum, value_name = "NAME")]
    measure: Measurement,
    /// Print the result as JSON.
    #[arg(long)]
    json: bool,
    /// Seed of the random load and failures.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl MeasureArgs {
    pub(crate) async fn run(self) -> Result<ExitCode, CommandError> {
        let result = self.measure.run(self.seed).await?;
        if self.json {
            println!(
                "{}",
                serde_json::to_string(&result).expect("result is valid JSON")
            );
        } else {
            println!("{result}");
        }
        Ok(if result.holds {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        })
    }
}
