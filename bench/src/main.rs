//! Command-line tool of the bench.

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

/// Shows what a measurement found beside its figure. Hosts stay silent.
fn start_log() {
    let started = fern::Dispatch::new()
        .level(log::LevelFilter::Off)
        .level_for("cardamomshift_bench", log::LevelFilter::Warn)
        .format(|out, message, record| out.finish(format_args!("{}: {message}", record.level())))
        .chain(std::io::stderr())
        .apply();
    // No other logger is ever installed, so that this one is the first.
    started.expect("logger");
}
