//! Experiments on the decisions for model services, in simulated time.
//!
//! A load of the kinds of request that the deployments of today serve is played against ways of
//! deciding, with several seeds, over a sweep of its rate.

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

/// Ways of deciding that are compared, with their names in tables.
pub const POLICIES: [(Policy, &str); 3] = [
    (Policy::Scheduler, "scheduler"),
    (Policy::SessionAffinity, "home"),
    (Policy::RoundRobin, "in turn"),
];

/// Means over seeds.
#[derive(Clone, Copy, Debug)]
pub struct Cell {
    /// Part of the requests that began in time.
    pub in_time_share: f64,
    /// Lowest and highest such part of a seed.
    pub spread: (f64, f64),
    /// Part with a whole answer.
    pub served_share: f64,
    /// Such part in time of the worst workspace.
    pub worst_workspace: f64,
    /// Millions of prompt tokens read.
    pub prefilled_millions: f64,
}

/// One rate of a sweep.
#[derive(Clone, Debug)]
pub struct Row {
    /// Requests a second for each engine.
    pub rate: f64,
    /// Results in the order of [`POLICIES`].
    pub cells: Vec<Cell>,
}

/// Plays the load at each rate with `seeds` seeds.
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

/// The rows as a table.
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
/// Gives the library's words if the file cannot be written.
pub fn plot(path: &Path, rows: &[Row]) -> Result<(), String> {
    plot::draw(path, rows)
}
