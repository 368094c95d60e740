//! Two fleets in one process under mixed traffic, while a failure domain leaves and returns.

mod report;
mod show;

use std::io::Write;
use std::time::Duration;

use cardamomshift_lib::configuration::Change;
use snafu::Snafu;

use self::report::print_report;
use self::show::Show;
use crate::fleet::FleetPlan;
use crate::fleet::RunError;
use crate::operator::OperatorError;

/// Seconds of traffic.
const SECONDS: u64 = 20;
/// Second in which a failure domain is taken out.
const OUT_AT: u64 = 8;
/// Second in which it is brought back.
const BACK_AT: u64 = 13;

/// Why the demonstration failed.
#[derive(Debug, Snafu)]
pub enum DemoError {
    /// The hosts do not run.
    #[snafu(context(false), display("{source}"))]
    Run {
        /// Why.
        source: RunError,
    },
    /// An operator's call failed.
    #[snafu(context(false), display("{source}"))]
    Operate {
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
    let shows = [
        Show::start("Flipperliga", scaled_down(FleetPlan::flipperliga()), seed).await?,
        Show::start("Teranga", scaled_down(FleetPlan::teranga()), seed).await?,
    ];
    for second in 1..=SECONDS {
        tokio::time::sleep(Duration::from_secs(1)).await;
        for show in &shows {
            operate(show, second).await?;
        }
        print_progress(&shows, second);
    }
    println!();
    for show in shows {
        print_report(&show.end().await);
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
async fn operate(show: &Show, second: u64) -> Result<(), DemoError> {
    let name = show.second_domain().into();
    let change = match second {
        OUT_AT => Change::TakeDomainOut { name },
        BACK_AT => Change::BringDomainBack { name },
        _ => return Ok(()),
    };
    show.operator()
        .change(&format!("demo-{second}"), &change)
        .await?;
    Ok(())
}

fn print_progress(shows: &[Show], second: u64) {
    let state = match second {
        OUT_AT..BACK_AT => "one failure domain out",
        _ => "all failure domains in",
    };
    print!("\r{second:>2}/{SECONDS} s  {state:<22}");
    for show in shows {
        print!("  {}: {:>6} answers", show.name(), show.ended());
    }
    // The line is only a sign of progress; a closed output does not matter.
    let _ = std::io::stdout().flush();
}
