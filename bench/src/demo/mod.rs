//! Two fleets in one process under mixed traffic, while a failure domain leaves and returns.

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

/// Seconds of traffic.
const DURATION_S: u64 = 20;
/// Second in which a failure domain is taken out.
const DOMAIN_OUT_AT_S: u64 = 8;
/// Second in which it is brought back.
const DOMAIN_BACK_AT_S: u64 = 13;

/// Why the demonstration failed.
#[derive(Debug, Snafu)]
pub enum DemoError {
    /// The hosts do not run.
    #[snafu(context(false), display("{source}"))]
    HostStart {
        /// Why.
        source: HostStartError,
    },
    /// An operator's call failed.
    #[snafu(context(false), display("{source}"))]
    Operator {
        /// Why.
        source: OperatorError,
    },
}

/// Runs the demonstration and prints what came of it.
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

fn scaled_down(plan: FleetPlan) -> FleetPlan {
    FleetPlan {
        hosts_per_domain: 1,
        link_delay: Duration::from_millis(1),
        ..plan
    }
}

/// Takes the second failure domain out and back at the appointed seconds.
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
            "  {}: {:>6} answers",
            demo_fleet.name(),
            demo_fleet.ended_calls()
        );
    }
    // The line is only a sign of progress; a closed output does not matter.
    let _ = std::io::stdout().flush();
}
