//! Result of a measurement, and the errors that prevent one.

use std::collections::BTreeMap;
use std::fmt;
use std::io;

use serde::Serialize;
use snafu::Snafu;

use crate::fleet::HostStartError;
use crate::operator::OperatorError;

/// Result of a measurement, as printed or written as JSON.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MeasureResult {
    /// Name of the measurement.
    pub measure: &'static str,
    /// Measured value.
    pub value: f64,
    /// Unit of the value, the target and the baseline's value.
    pub unit: &'static str,
    /// Upper limit of the value, or lower limit if the value is a share.
    pub target: f64,
    /// Whether every target of the measurement is met.
    pub holds: bool,
    /// Value of the baseline, none if the measurement does not apply to it.
    pub baseline: Option<f64>,
    /// Seed of the random load and failures.
    pub seed: u64,
    /// Number of runs that the value is taken from.
    pub runs: u32,
    /// Further values by name. The name ends with the unit where there is one.
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

/// Why a measurement gave no result.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum MeasureError {
    /// The hosts could not be started.
    #[snafu(context(false), display("{source}"))]
    HostStart {
        /// Cause of the failure.
        source: HostStartError,
    },
    /// A call to the operator interface failed.
    #[snafu(context(false), display("{source}"))]
    Operator {
        /// Cause of the failure.
        source: OperatorError,
    },
    /// The operating system reported an error.
    #[snafu(context(false), display("{source}"))]
    System {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The run gave no data for the value.
    #[snafu(display("nothing to measure: {missing}"))]
    NoData {
        /// Description of the missing data.
        missing: &'static str,
    },
}
