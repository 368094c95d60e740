//! Experiments that compare request placement policies for model services, in simulated time.
//!
//! A policy decides which engine a request is sent to, when, and whether it is refused. A random
//! load with the kinds of request that current deployments receive is simulated under each policy,
//! with several seeds and a range of request rates (a sweep).

mod load;
mod plot;
mod simulation;

use std::fmt::Write;
use std::path::Path;

pub use load::KINDS;
pub use load::LoadRequest;
pub use load::LoadSpec;
pub use load::RequestKind;
pub use load::generate_requests;
pub use simulation::Outcome;
pub use simulation::Policy;
pub use simulation::Tally;
pub use simulation::simulate;

/// Policies that are compared, with their names in tables.
pub const POLICIES: [(Policy, &str); 3] = [
    (Policy::Scheduler, "scheduler"),
    (Policy::SessionAffinity, "home"),
    (Policy::RoundRobin, "in turn"),
];

/// Results of one policy at one rate, averaged over seeds.
#[derive(Clone, Copy, Debug)]
pub struct Cell {
    /// Share of the requests with a complete response that started within the latency objective.
    pub in_time_share: f64,
    /// Lowest and highest `in_time_share` of any seed.
    pub spread: (f64, f64),
    /// Share of the requests with a complete response, in time or late.
    pub served_share: f64,
    /// `in_time_share` of the workspace for which it is lowest.
    pub worst_workspace: f64,
    /// Prompt tokens that the engines processed (prefill), in millions. Tokens that an engine still
    /// had cached are not processed again.
    pub prefilled_millions: f64,
}

/// Results at one rate.
#[derive(Clone, Debug)]
pub struct Row {
    /// Requests per second for each engine.
    pub rate: f64,
    /// Results by policy, in the order of [`POLICIES`].
    pub cells: Vec<Cell>,
}

/// Simulates the load at each rate under each policy with the seeds from 1 to `seeds`.
pub fn sweep(base: &LoadSpec, rates: &[f64], seeds: u64) -> Vec<Row> {
    let row = |rate: &f64| {
        let spec = LoadSpec {
            rate: *rate,
            ..*base
        };
        let cells = POLICIES
            .iter()
            .map(|(policy, _)| cell(&spec, *policy, seeds));
        Row {
            rate: *rate,
            cells: cells.collect(),
        }
    };
    rates.iter().map(row).collect()
}

fn cell(spec: &LoadSpec, policy: Policy, seeds: u64) -> Cell {
    let outcomes: Vec<_> = (1..=seeds)
        .map(|seed| simulate(spec, policy, seed))
        .collect();
    let mean = |value: &dyn Fn(&Outcome) -> f64| {
        outcomes.iter().map(value).sum::<f64>() / outcomes.len().max(1) as f64
    };
    let in_time_share = outcomes.iter().map(|outcome| outcome.all.in_time_share());
    Cell {
        in_time_share: mean(&|outcome| outcome.all.in_time_share()),
        spread: (
            in_time_share.clone().fold(1.0, f64::min),
            in_time_share.fold(0.0, f64::max),
        ),
        served_share: mean(&|outcome| outcome.all.served_share()),
        worst_workspace: mean(&Outcome::worst_workspace),
        prefilled_millions: mean(&|outcome| outcome.prefilled_tokens as f64 / 1e6),
    }
}

/// Formats the rows as a text table.
pub fn table(rows: &[Row]) -> String {
    let mut text = String::from(
        "rate  policy     in time (low-high)     whole  worst workspace  million tokens read\n",
    );
    for row in rows {
        for (cell, (_, name)) in row.cells.iter().zip(&POLICIES) {
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "{:4.1}  {name:9}  {:.3} ({:.3}-{:.3})    {:.3}  {:.3}            {:.2}",
                row.rate,
                cell.in_time_share,
                cell.spread.0,
                cell.spread.1,
                cell.served_share,
                cell.worst_workspace,
                cell.prefilled_millions
            );
        }
    }
    text
}

/// Draws the rows into an SVG file.
///
/// # Errors
///
/// The error text of the plot library if the file cannot be written.
pub fn plot(path: &Path, rows: &[Row]) -> Result<(), String> {
    plot::draw(path, rows)
}
