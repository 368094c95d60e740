//! Subcommands of the `cardamomshift-bench` tool.

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

/// Demonstration, load generator and measurements of a cardamomshift fleet.
#[derive(Debug, Parser)]
#[command(name = "cardamomshift-bench", version)]
pub(crate) struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run two fleets under mixed traffic while a failure domain is taken out of service and
    /// brought back.
    Demo(demo::DemoArgs),
    /// Take a measurement and fail if its target is not met.
    Measure(measure::MeasureArgs),
    /// Compare request placement policies under a load of model requests, in simulated time.
    Experiment(experiment::ExperimentArgs),
    /// Send requests of several workspaces to running hosts and print a summary of the outcomes.
    Load(load::LoadArgs),
    /// Start test servers for the platform and the backend servers of a fleet, and write a settings
    /// file for each of its hosts.
    StandIns(stand_ins::StandInsArgs),
    /// Run one host until it receives SIGTERM or its standard input closes.
    #[command(hide = true)]
    Host(host::HostArgs),
}

/// Why a subcommand failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CommandError {
    /// A file could not be written.
    #[snafu(display("cannot write {path}: {source}"))]
    Write {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// No handler could be installed for a signal.
    #[snafu(display("cannot wait for a signal: {source}"))]
    Signal {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The settings of a host are invalid.
    #[snafu(context(false), display("{source}"))]
    Settings {
        /// The invalid setting.
        source: SettingsError,
    },
    /// A host could not be started.
    #[snafu(context(false), display("{source}"))]
    Host {
        /// Cause of the failure.
        source: DaemonError,
    },
    /// A measurement gave no result.
    #[snafu(context(false), display("{source}"))]
    Measure {
        /// Cause of the failure.
        source: MeasureError,
    },
    /// The demonstration failed.
    #[snafu(context(false), display("{source}"))]
    Demo {
        /// Cause of the failure.
        source: DemoError,
    },
    /// A command-line argument is invalid.
    #[snafu(display("{reason}"))]
    Argument {
        /// Rule that the argument breaks.
        reason: String,
    },
}

impl Cli {
    /// Runs the subcommand and returns the exit code of the process.
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
