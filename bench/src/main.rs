//! Command-line tool for demonstrations, load and measurements of a cardamomshift fleet.

mod command;

use std::process::ExitCode;

use clap::Parser;

#[tokio::main]
async fn main() -> ExitCode {
    start_log();
    match command::Cli::parse().run().await {
        Ok(code) => code,
        Err(err) => {
            eprintln!("error: {err}");
            ExitCode::FAILURE
        }
    }
}

/// Logs the warnings of this crate, such as violations found by a measurement, to standard error.
/// Hosts that run in this process log nothing.
fn start_log() {
    let started = fern::Dispatch::new()
        .level(log::LevelFilter::Off)
        .level_for("cardamomshift_bench", log::LevelFilter::Warn)
        .format(|out, message, record| out.finish(format_args!("{}: {message}", record.level())))
        .chain(std::io::stderr())
        .apply();
    // Fails only if a logger is installed already, and this is the only place that installs one.
    started.expect("no logger is installed yet");
}
