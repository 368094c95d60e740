//! Prints the results of the demonstration.

use std::collections::BTreeMap;

use cardamomshift_testutils::history::CallOutcome;
use cardamomshift_testutils::history::check_responses;
use cardamomshift_testutils::history::largest_service_gap;

use super::demo_fleet::DemoResult;
use crate::load::summarize;

/// Prints the results of one fleet.
pub(super) fn print_report(result: &DemoResult) {
    let seconds = result.window.length() as f64 / 1e6;
    println!("\n{} over {seconds:.0} s", result.name);
    print_workspaces(result, seconds);
    print_fleet(result, seconds);
}

fn print_workspaces(result: &DemoResult, seconds: f64) {
    println!(
        "{:<10} {:>8} {:>10} {:>8} {:>8} {:>22} {:>22}",
        "workspace",
        "complete",
        "tokens/s",
        "refused",
        "unknown",
        "first byte p50/p99 ms",
        "response p50/p99 ms"
    );
    let mut service: BTreeMap<String, u64> = BTreeMap::new();
    for sample in result.history.service() {
        *service.entry(sample.workspace).or_default() += sample.cost;
    }
    for (workspace, summary) in summarize(&result.calls) {
        let calls = result.calls.iter().filter(|c| c.workspace == workspace);
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
            summary.response_time.count,
            tokens / seconds,
            format!(
                "{:.1} / {:.1}",
                summary.first_byte.p50, summary.first_byte.p99
            ),
            format!(
                "{:.1} / {:.1}",
                summary.response_time.p50, summary.response_time.p99
            ),
        );
    }
}

fn print_fleet(result: &DemoResult, seconds: f64) {
    let service = result.history.service();
    // Fairness is compared only between workspaces that have requests waiting for the same service.
    // The others use the plain service, whose cost is not counted in tokens.
    let mut backlog = result.history.backlog(&result.calls);
    backlog.retain(|name, _| service.iter().any(|sample| sample.workspace == *name));
    let gap = largest_service_gap(&service, &backlog, result.window);
    let waiting = result.history.waiting(&result.calls, result.window);
    let busy = result
        .history
        .warm_slot_utilisation(&waiting, |_| true)
        .unwrap_or(0.0);
    let bytes = result.control_bytes as f64 / 1e3 / seconds / result.hosts as f64;
    println!("largest fairness gap:           {gap} tokens");
    println!(
        "warm slots in use while requests wait: {:.1} %, including warm-up and outage",
        busy * 100.0
    );
    println!("control traffic:                {bytes:.1} KB/s per host");
    println!(
        "cold overloads:                 {}; mismatched or partial responses: {}",
        result.cold_overloads,
        check_responses(&result.calls).len()
    );
}
