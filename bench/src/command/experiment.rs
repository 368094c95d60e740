//! `experiment`: plays a load against the decisions in simulated time.

use std::path::PathBuf;
use std::time::Duration;

use cardamomshift_bench::experiment::LoadSpec;
use cardamomshift_bench::experiment::plot;
use cardamomshift_bench::experiment::sweep;
use cardamomshift_bench::experiment::table;
use clap::Args;

use super::CommandError;

/// Load and sweep.
#[derive(Args, Debug)]
pub(crate) struct ExperimentArgs {
    /// Requests a second for each engine, one row of the table each.
    #[arg(long, value_delimiter = ',', default_value = "8,11,14,17,20")]
    rates: Vec<f64>,
    /// Engines.
    #[arg(long, default_value_t = 12)]
    engines: usize,
    /// Seeds, from 1 on.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// Length, seconds.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Factor of the rate in the middle third.
    #[arg(long, default_value_t = 1.5)]
    burst: f64,
    /// Part of the requests that one of 16 workspaces sends beyond its even part.
    #[arg(long, default_value_t = 0.2)]
    flood: f64,
    /// File for a plot in SVG.
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
                reason: format!("{} cannot be drawn: {reason}", path.display()),
            })?;
        }
        Ok(())
    }
}
