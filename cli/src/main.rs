//! Command-line tool for operators of a cardamomshift fleet.
//!
//! It calls the operators' interface, an HTTP API that every host of the fleet serves, to show the
//! state of the fleet and to change its configuration.

mod access;
mod args;
mod client;
mod command;
mod error;
mod table;

use std::io::Write;
use std::process::ExitCode;

use clap::CommandFactory;
use clap::Parser;

use crate::args::Args;
use crate::args::Command;
use crate::command::Report;
use crate::error::CliError;

fn main() -> ExitCode {
    let args = Args::parse();
    if let Command::Completions { shell } = args.command {
        let mut script = Vec::new();
        clap_complete::generate(shell, &mut Args::command(), "cardamomshift", &mut script);
        return print(&script);
    }
    let json = args.json;
    match run(args) {
        Ok(report) => print(report.into_text(json).as_bytes()),
        Err(err) => fail(&err, json),
    }
}

fn run(args: Args) -> Result<Report, CliError> {
    let client = access::client(&args)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("cannot start the async runtime");
    runtime.block_on(command::run(&client, args.command))
}

/// Writes to standard output. A write error is ignored: it usually means that the reader of a pipe
/// has closed it, as `head` does.
fn print(text: &[u8]) -> ExitCode {
    let _ = std::io::stdout().write_all(text);
    ExitCode::SUCCESS
}

/// Writes an error to standard error and returns its exit code.
fn fail(err: &CliError, json: bool) -> ExitCode {
    if json {
        eprintln!("{}", err.to_json());
    } else {
        eprintln!("cardamomshift: {err}");
    }
    ExitCode::from(err.exit_code())
}
