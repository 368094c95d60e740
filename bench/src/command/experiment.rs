//! `experiment`: simulates a load under each request placement policy.

use std::path::PathBuf;
use std::time::Duration;

use cardamomshift_bench::experiment::LoadSpec;
use cardamomshift_bench::experiment::plot;
use cardamomshift_bench::experiment::sweep;
use cardamomshift_bench::experiment::table;
use clap::Args;

use super::CommandError;

/// Load, range of request rates, and output of the simulation.
#[derive(Args, Debug)]
pub(crate) struct ExperimentArgs {
    /// Requests per second for each engine; each rate becomes one row of the table.
    #[arg(long, value_delimiter = ',', default_value = "8,11,14,17,20")]
    rates: Vec<f64>,
    /// Number of model engines.
    #[arg(long, default_value_t = 12)]
    engines: usize,
    /// Number of seeds; the seeds are 1, 2 and so on.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// Simulated duration of the load, seconds.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Factor by which the rate is multiplied in the middle third of the duration.
    #[arg(long, default_value_t = 1.5)]
    burst: f64,
    /// Share of all requests, from 0 to 1, that one of the 16 workspaces sends in addition to its
    /// equal share of the others.
    #[arg(long, default_value_t = 0.2)]
    flood: f64,
    /// SVG file to draw a plot into.
    #[arg(long, value_name = "FILE")]
    plot: Option<PathBuf>,
}

impl ExperimentArgs {
    pub(crate) fn run(self) -> Result<(), CommandError> {
        let is_possible = self.engines > 0
            && self.seconds > 0
            && self.seeds > 0
            && self.rates.iter().all(|rate| *rate > 0.0)
            && self.burst > 0.0
            && (0.0..=1.0).contains(&self.flood);
        if !is_possible {
            let reason = "engines, seeds, seconds, rates and burst must be above 0, \
                flood between 0 and 1"
                .to_owned();
            return Err(CommandError::Argument { reason });
        }
        let base = LoadSpec {
            engines: self.engines,
            rate: 0.0,
            burst_factor: self.burst,
            workspaces: 16,
            flood_share: self.flood,
            length: Duration::from_secs(self.seconds),
        };
        let rows = sweep(&base, &self.rates, self.seeds);
        print!("{}", table(&rows));
        if let Some(path) = self.plot {
            plot(&path, &rows).map_err(|reason| CommandError::Argument {
                reason: format!("cannot draw plot {}: {reason}", path.display()),
            })?;
        }
        Ok(())
    }
}
