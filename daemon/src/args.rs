//! Command line.

use std::path::PathBuf;

use clap::Args;
use clap::Parser;
use clap::Subcommand;

/// Daemon of the cardamomshift router fleet.
#[derive(Debug, Parser)]
#[command(version, about, args_conflicts_with_subcommands = true)]
pub(crate) struct Cli {
    #[command(flatten)]
    pub(crate) host: HostArgs,
    #[command(subcommand)]
    pub(crate) command: Option<Command>,
}

/// Runs a host of the fleet's own interface.
#[derive(Args, Debug)]
pub(crate) struct HostArgs {
    /// Settings, a TOML file.
    #[arg(long, value_name = "FILE", required = true)]
    pub(crate) config: Option<PathBuf>,
    /// Only check the settings: exits with 0 if they are valid, with 2 if not.
    #[arg(long)]
    pub(crate) check: bool,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Runs an entry host of the platform, by the settings file that the platform names.
    Entry(EntryArgs),
}

/// What the platform's settings file does not say.
#[derive(Args, Debug)]
pub(crate) struct EntryArgs {
    /// Settings, a JSON file; the environment variable CARDAMOMSHIFT_CONFIG names it if absent.
    #[arg(long, value_name = "FILE")]
    pub(crate) settings: Option<PathBuf>,
    /// Port on which measurements are served, at the address of the host.
    #[arg(long, value_name = "PORT")]
    pub(crate) metrics_port: Option<u16>,
    /// Least severe level that is logged.
    #[arg(long, default_value = "info")]
    pub(crate) log_level: log::LevelFilter,
    /// Only check the settings: exits with 0 if they are valid, with 2 if not.
    #[arg(long)]
    pub(crate) check: bool,
}
