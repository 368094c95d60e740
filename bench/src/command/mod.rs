//! Commands of the bench.

mod load;
mod stand_ins;

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
    /// Sends requests of several workspaces to running hosts and sums up what became of them.
    Load(load::LoadArgs),
    /// Starts the systems around a fleet and writes a settings file for each of its hosts.
    StandIns(stand_ins::StandInsArgs),
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
    /// An argument is wrong.
    #[snafu(display("{reason}"))]
    Argument {
        /// What is wrong with it.
        reason: String,
    },
}

impl Cli {
    /// Runs the command.
    pub(crate) async fn run(self) -> Result<(), CommandError> {
        match self.command {
            Command::Load(args) => args.run().await,
            Command::StandIns(args) => args.run().await,
        }
    }
}
