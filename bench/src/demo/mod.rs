//! Demonstration: two fleets in one process under mixed traffic, while an operator takes a failure
//! domain out of service and brings it back.

mod demo_fleet;
mod report;

use std::io::Write;
use std::time::Duration;

use cardamomshift_lib::configuration::Change;
use snafu::Snafu;

use self::demo_fleet::DemoFleet;
use self::report::print_report;
use crate::fleet::FleetPlan;
use crate::fleet::HostStartError;
use crate::operator::OperatorError;

/// Duration of the traffic.
const DURATION_S: u64 = 20;
/// When a failure domain is taken out of service, counted from the start.
const DOMAIN_OUT_AT_S: u64 = 8;
/// When the failure domain is brought back, counted from the start.
const DOMAIN_BACK_AT_S: u64 = 13;

/// Why the demonstration failed.
#[derive(Debug, Snafu)]
pub enum DemoError {
    /// A host could not be started.
    #[snafu(context(false), display("{source}"))]
    HostStart {
        /// Cause of the failure.
        source: HostStartError,
    },
    /// A call to the operator interface failed.
    #[snafu(context(false), display("{source}"))]
    Operator {
        /// Cause of the failure.
        source: OperatorError,
    },
}

/// Runs the demonstration and prints a report for each fleet.
///
/// # Errors
///
/// See [`DemoError`].
pub async fn run(seed: u64) -> Result<(), DemoError> {
    println!("starting stand-ins and two fleets on loopback");
    let fleets = [
        DemoFleet::start("Flipperliga", scaled_down(FleetPlan::flipperliga()), seed).await?,
        DemoFleet::start("Teranga", scaled_down(FleetPlan::teranga()), seed).await?,
    ];
    for second in 1..=DURATION_S {
        tokio::time::sleep(Duration::from_secs(1)).await;
        for demo_fleet in &fleets {
            apply_change_due(demo_fleet, second).await?;
        }
        print_progress(&fleets, second);
    }
    println!();
    for demo_fleet in fleets {
        print_report(&demo_fleet.end().await);
    }
    Ok(())
}

/// Reduces a plan to one host per failure domain, since both fleets share this process.
fn scaled_down(plan: FleetPlan) -> FleetPlan {
    FleetPlan {
        hosts_per_domain: 1,
        link_delay: Duration::from_millis(1),
        ..plan
    }
}

/// Takes the second failure domain out of service or brings it back if that is due in this second.
async fn apply_change_due(demo_fleet: &DemoFleet, second: u64) -> Result<(), DemoError> {
    let name = demo_fleet.second_domain().into();
    let change = match second {
        DOMAIN_OUT_AT_S => Change::TakeDomainOut { name },
        DOMAIN_BACK_AT_S => Change::BringDomainBack { name },
        _ => return Ok(()),
    };
    demo_fleet
        .operator()
        .change(&format!("demo-{second}"), &change)
        .await?;
    Ok(())
}

fn print_progress(fleets: &[DemoFleet], second: u64) {
    let state = match second {
        DOMAIN_OUT_AT_S..DOMAIN_BACK_AT_S => "one failure domain out",
        _ => "all failure domains in",
    };
    print!("\r{second:>2}/{DURATION_S} s  {state:<22}");
    for demo_fleet in fleets {
        print!(
            "  {}: {:>6} calls",
            demo_fleet.name(),
            demo_fleet.ended_calls()
        );
    }
    // The progress line is not essential, so a closed output is ignored.
    let _ = std::io::stdout().flush();
}
