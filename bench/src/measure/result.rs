//! The figure of a measurement.

use std::collections::BTreeMap;
use std::fmt;
use std::io;

use serde::Serialize;
use snafu::Snafu;

use crate::fleet::HostStartError;
use crate::operator::OperatorError;

/// The figure of a measurement.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MeasureResult {
    /// Name of the measurement.
    pub measure: &'static str,
    /// The figure.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
    /// What the figure must not exceed, or must reach for shares.
    pub target: f64,
    /// Whether every target of the measurement is met.
    pub holds: bool,
    /// The same figure of the baseline, if the baseline does the same thing.
    pub baseline: Option<f64>,
    /// Seed of the load and the failures.
    pub seed: u64,
    /// Runs that the figure is taken from.
    pub runs: u32,
    /// Figures beside the main one.
    pub details: BTreeMap<&'static str, f64>,
}

impl fmt::Display for MeasureResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let holds = if self.holds { "holds" } else { "DOES NOT HOLD" };
        write!(
            f,
            "{}: {:.3} {} (target {:.3}, {holds}",
            self.measure, self.value, self.unit, self.target
        )?;
        if let Some(baseline) = self.baseline {
            write!(f, ", baseline {baseline:.3}")?;
        }
        write!(f, ", seed {})", self.seed)?;
        for (name, value) in &self.details {
            write!(f, "\n    {name}: {value:.3}")?;
        }
        Ok(())
    }
}

/// Why a measurement gave no figure.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum MeasureError {
    /// The hosts do not run.
    #[snafu(context(false), display("{source}"))]
    HostStart {
        /// Why.
        source: HostStartError,
    },
    /// An operator's call failed.
    #[snafu(context(false), display("{source}"))]
    Operator {
        /// Why.
        source: OperatorError,
    },
    /// The system refused something.
    #[snafu(context(false), display("{source}"))]
    System {
        /// What it says.
        source: io::Error,
    },
    /// There was nothing to take a figure from.
    #[snafu(display("nothing to measure: {missing}"))]
    NoData {
        /// What was missing.
        missing: &'static str,
    },
}
