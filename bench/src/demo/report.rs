//! The table at the end of the demonstration.

use std::collections::BTreeMap;

use cardamomshift_testutils::history::CallOutcome;
use cardamomshift_testutils::history::check_responses;
use cardamomshift_testutils::history::largest_service_gap;

use super::show::Ended;
use crate::load::summarize;

/// Prints what came of one fleet.
pub(super) fn print_report(ended: &Ended) {
    let seconds = ended.window.length() as f64 / 1e6;
    println!("\n{} over {seconds:.0} s", ended.name);
    print_workspaces(ended, seconds);
    print_fleet(ended, seconds);
}

fn print_workspaces(ended: &Ended, seconds: f64) {
    println!(
        "{:<10} {:>8} {:>10} {:>8} {:>8} {:>22} {:>22}",
        "workspace",
        "answers",
        "tokens/s",
        "refused",
        "unknown",
        "first byte p50/p99 ms",
        "whole p50/p99 ms"
    );
    let mut service: BTreeMap<String, u64> = BTreeMap::new();
    for sample in ended.history.service() {
        *service.entry(sample.workspace).or_default() += sample.cost;
    }
    for (workspace, summary) in summarize(&ended.calls) {
        let calls = ended.calls.iter().filter(|c| c.workspace == workspace);
        let mut refused = 0;
        let mut unknown = 0;
        for call in calls {
            match call.outcome {
                CallOutcome::NotRun(_) | CallOutcome::Rejected(_) => refused += 1,
                CallOutcome::Unknown(_) | CallOutcome::Broken => unknown += 1,
                _ => {}
            }
        }
        let tokens = service.get(&workspace).copied().unwrap_or(0) as f64;
        println!(
            "{workspace:<10} {:>8} {:>10.0} {refused:>8} {unknown:>8} {:>22} {:>22}",
            summary.whole.count,
            tokens / seconds,
            format!(
                "{:.1} / {:.1}",
                summary.first_byte.p50, summary.first_byte.p99
            ),
            format!("{:.1} / {:.1}", summary.whole.p50, summary.whole.p99),
        );
    }
}

fn print_fleet(ended: &Ended, seconds: f64) {
    let service = ended.history.service();
    // Only workspaces that are backlogged on the same service are compared; the others use plain
    // services, whose cost is no token.
    let mut backlog = ended.history.backlog(&ended.calls);
    backlog.retain(|name, _| service.iter().any(|sample| sample.workspace == *name));
    let gap = largest_service_gap(&service, &backlog, ended.window);
    let waiting = ended.history.waiting(&ended.calls, ended.window);
    let busy = ended.history.busy_share(&waiting, |_| true).unwrap_or(0.0);
    let bytes = ended.control_bytes as f64 / 1e3 / seconds / ended.hosts as f64;
    println!("largest fairness gap:           {gap} tokens");
    println!(
        "warm slots busy while work waits: {:.1} %, with the warming up and the outage",
        busy * 100.0
    );
    println!("control traffic:                {bytes:.1} KB/s a host");
    println!(
        "cold overloads:                 {}; foreign or partial answers: {}",
        ended.cold_overloads,
        check_responses(&ended.calls).len()
    );
}
