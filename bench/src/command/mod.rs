//! Commands of the bench.

mod demo;
mod experiment;
mod host;
mod load;
mod measure;
mod stand_ins;

use std::process::ExitCode;

use cardamomshift_bench::demo::DemoError;
use cardamomshift_bench::measure::MeasureError;
use cardamomshift_lib::runtime::DaemonError;
use cardamomshift_lib::settings::SettingsError;
use clap::Parser;
use clap::Subcommand;
use snafu::Snafu;

/// Demonstration, load and measurements of a cardamomshift fleet.
#[derive(Debug, Parser)]
#[command(name = "cardamomshift-bench", version)]
pub(crate) struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Shows two fleets under mixed traffic while a failure domain leaves and returns.
    Demo(demo::DemoArgs),
    /// Takes a measurement and fails if its target is not met.
    Measure(measure::MeasureArgs),
    /// Plays a load of prompts against the decisions of entry hosts, in simulated time.
    Experiment(experiment::ExperimentArgs),
    /// Sends requests of several workspaces to running hosts and sums up what became of them.
    Load(load::LoadArgs),
    /// Starts the systems around a fleet and writes a settings file for each of its hosts.
    StandIns(stand_ins::StandInsArgs),
    /// Runs one host until it is stopped or its standard input closes.
    #[command(hide = true)]
    Host(host::HostArgs),
}

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CommandError {
    /// A file could not be written.
    #[snafu(display("cannot write {path}: {source}"))]
    Write {
        /// The file.
        path: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// A signal could not be awaited.
    #[snafu(display("cannot wait for a signal: {source}"))]
    Signal {
        /// What the system says.
        source: std::io::Error,
    },
    /// The settings of a host are wrong.
    #[snafu(context(false), display("{source}"))]
    Settings {
        /// What is wrong.
        source: SettingsError,
    },
    /// A host cannot be started.
    #[snafu(context(false), display("{source}"))]
    Host {
        /// Why.
        source: DaemonError,
    },
    /// A measurement gave no figure.
    #[snafu(context(false), display("{source}"))]
    Measure {
        /// Why.
        source: MeasureError,
    },
    /// The demonstration failed.
    #[snafu(context(false), display("{source}"))]
    Demo {
        /// Why.
        source: DemoError,
    },
    /// An argument is wrong.
    #[snafu(display("{reason}"))]
    Argument {
        /// What is wrong with it.
        reason: String,
    },
}

impl Cli {
    /// Runs the command.
    pub(crate) async fn run(self) -> Result<ExitCode, CommandError> {
        match self.command {
            Command::Demo(args) => args.run().await?,
            Command::Measure(args) => return args.run().await,
            Command::Experiment(args) => args.run()?,
            Command::Load(args) => args.run().await?,
            Command::StandIns(args) => args.run().await?,
            Command::Host(args) => args.run().await?,
        }
        Ok(ExitCode::SUCCESS)
    }
}
