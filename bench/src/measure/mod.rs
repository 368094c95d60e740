//! Measurements of the properties that matter to users, each with a target.
//!
//! Most measurements also run the baseline, a round-robin router without coordination between
//! hosts, under the same load for comparison.

mod at_most_once;
mod cold;
mod configuration;
mod control_cost;
mod domain_outage;
mod fairness;
pub(crate) mod model_history;
mod overhead;
mod result;
mod rig;
mod traffic;
mod utilisation;

use clap::ValueEnum;

pub use result::MeasureError;
pub use result::MeasureResult;
pub use rig::Rig;
pub use rig::RouterKind;

/// A measurement. The variant names are the names on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Measurement {
    /// Largest difference of service between workspaces that have requests waiting.
    Fairness,
    /// Share of the capacity of warm engines that is in use while requests wait.
    Utilisation,
    /// Operations that ran twice or were falsely reported as not run, and mismatched or partial
    /// responses, under failures.
    AtMostOnce,
    /// Service while a failure domain is taken out of service and brought back.
    DomainOutage,
    /// Requests sent to a cold engine (not yet at its full capacity) above its limit.
    Cold,
    /// Time until a configuration change is in force on every host.
    Configuration,
    /// Latency that one host adds, and its throughput.
    Overhead,
    /// Network traffic, processor time and memory that hosts use for control.
    ControlCost,
}

impl Measurement {
    /// Takes the measurement. `seed` determines the random load and failures.
    ///
    /// # Errors
    ///
    /// The fleet could not be started or operated, or there was nothing to measure.
    pub async fn run(self, seed: u64) -> Result<MeasureResult, MeasureError> {
        match self {
            Self::Fairness => fairness::measure(seed).await,
            Self::Utilisation => utilisation::measure(seed).await,
            Self::AtMostOnce => at_most_once::measure(seed).await,
            Self::DomainOutage => domain_outage::measure(seed).await,
            Self::Cold => cold::measure(seed).await,
            Self::Configuration => configuration::measure(seed).await,
            Self::Overhead => overhead::measure(seed).await,
            Self::ControlCost => control_cost::measure(seed).await,
        }
    }
}
