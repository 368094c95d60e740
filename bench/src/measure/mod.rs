//! Measurements of what users weigh, each with its target and the baseline's figure.

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

/// A measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Measurement {
    /// Gap of service between backlogged workspaces.
    Fairness,
    /// Busy warm slots while work waits.
    Utilisation,
    /// Second runs, false refusals, foreign and partial answers.
    AtMostOnce,
    /// Service while a failure domain leaves and returns.
    DomainOutage,
    /// Admissions above what a cold server bears.
    Cold,
    /// Time until a change is in force everywhere.
    Configuration,
    /// Latency and throughput of one host.
    Overhead,
    /// Bytes, processor time and memory for control.
    ControlCost,
}

impl Measurement {
    /// Takes the measurement.
    ///
    /// # Errors
    ///
    /// The fleet could not be brought up or steered.
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
