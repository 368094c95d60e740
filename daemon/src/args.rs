//! Command-line arguments of the daemon.
//!
//! The daemon runs either a host of the fleet that serves the fleet's own interface to callers
//! (`--config FILE`), or an entry host (`entry`), which uses the settings file and the HTTP headers
//! that the platform it runs on defines.

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

/// Arguments for a host that serves the fleet's own interface.
#[derive(Args, Debug)]
pub(crate) struct HostArgs {
    /// Settings file, TOML.
    #[arg(long, value_name = "FILE", required = true)]
    pub(crate) config: Option<PathBuf>,
    /// Only check the settings. The exit code is 0 if they are valid, otherwise 2.
    #[arg(long)]
    pub(crate) check: bool,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Run an entry host, with the settings file that the platform provides.
    Entry(EntryArgs),
}

/// Arguments for an entry host: settings that are not in the platform's settings file.
#[derive(Args, Debug)]
pub(crate) struct EntryArgs {
    /// Settings file, JSON. Default: the path in the environment variable CARDAMOMSHIFT_CONFIG.
    #[arg(long, value_name = "FILE")]
    pub(crate) settings: Option<PathBuf>,
    /// Port on which metrics are served, at the IP address of the host. Default: no metrics.
    #[arg(long, value_name = "PORT")]
    pub(crate) metrics_port: Option<u16>,
    /// Least severe level of the messages that are logged.
    #[arg(long, default_value = "info")]
    pub(crate) log_level: log::LevelFilter,
    /// Only check the settings. The exit code is 0 if they are valid, otherwise 2.
    #[arg(long)]
    pub(crate) check: bool,
}
