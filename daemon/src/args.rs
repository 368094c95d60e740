//! Command line.

use std::path::PathBuf;

use clap::Parser;

/// Daemon of the cardamomshift router fleet.
#[derive(Debug, Parser)]
#[command(version, about)]
pub(crate) struct Args {
    /// Settings, a TOML file.
    #[arg(long, value_name = "FILE")]
    pub(crate) config: PathBuf,
    /// Only check the settings: exits with 0 if they are valid, with 2 if not.
    #[arg(long)]
    pub(crate) check: bool,
}
