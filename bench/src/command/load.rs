//! `load`: requests of several workspaces to running hosts.

use std::net::SocketAddr;
use std::time::Duration;

use cardamomshift_bench::load::Arrivals;
use cardamomshift_bench::load::Load;
use cardamomshift_bench::load::ModelWork;
use cardamomshift_bench::load::PlainWork;
use cardamomshift_bench::load::Work;
use cardamomshift_bench::load::WorkspaceLoad;
use cardamomshift_bench::load::http_client;
use cardamomshift_bench::load::summarize;
use clap::Args;
use clap::ValueEnum;

use super::CommandError;

/// Time that open calls have to end.
const FINISH_TIMEOUT: Duration = Duration::from_secs(30);

/// Kind of the requests.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Kind {
    /// Model requests with streamed answers.
    Streamed,
    /// Model requests with whole answers.
    Whole,
    /// Requests to the plain service.
    Plain,
    /// Requests to the plain service with an `Idempotency-Key`, repeated while the outcome is
    /// unknown.
    Keyed,
}

#[derive(Debug, Args)]
pub(crate) struct LoadArgs {
    /// Listener of a host for callers; may be given several times.
    #[arg(long = "host", value_name = "IP:PORT", required = true)]
    hosts: Vec<SocketAddr>,
    /// Name and key of a workspace; may be given several times.
    #[arg(long = "workspace", value_name = "NAME=KEY", required = true)]
    workspaces: Vec<String>,
    /// Class of work, the default one if absent.
    #[arg(long)]
    class: Option<String>,
    /// Kinds of requests that every workspace sends.
    #[arg(long, value_enum, value_delimiter = ',', default_value = "streamed")]
    kinds: Vec<Kind>,
    /// Open requests of each workspace and kind.
    #[arg(long, default_value_t = 8, conflicts_with = "rate")]
    outstanding: usize,
    /// Requests a second of each workspace and kind, whatever becomes of them.
    #[arg(long)]
    rate: Option<f64>,
    /// Time to send, seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Seed of the requests.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Prints JSON.
    #[arg(long)]
    json: bool,
}

impl LoadArgs {
    pub(crate) async fn run(self) -> Result<(), CommandError> {
        let loads = self.loads()?;
        let client = http_client();
        let load = Load::start(self.hosts.clone(), &client, loads, self.seed);
        tokio::time::sleep(Duration::from_secs(self.seconds)).await;
        let records = load.finish(FINISH_TIMEOUT).await;
        let summaries = summarize(&records);
        if self.json {
            let text = serde_json::to_string_pretty(&summaries).expect("summary as JSON");
            println!("{text}");
            return Ok(());
        }
        for (workspace, summary) in summaries {
            println!(
                "{workspace}: {} calls, {} tokens, first byte p50 {:.1} ms p99 {:.1} ms, whole \
                 p50 {:.1} ms p99 {:.1} ms",
                summary.calls,
                summary.tokens,
                summary.first_byte.p50,
                summary.first_byte.p99,
                summary.response_time.p50,
                summary.response_time.p99,
            );
            for (outcome, count) in summary.outcomes {
                println!("    {count:>8} {outcome}");
            }
        }
        Ok(())
    }

    fn loads(&self) -> Result<Vec<WorkspaceLoad>, CommandError> {
        let arrivals = match self.rate {
            Some(rate) if rate > 0.0 => Arrivals::Open(rate),
            Some(_) => {
                let reason = "--rate must be above 0".to_owned();
                return Err(CommandError::Argument { reason });
            }
            None => Arrivals::Closed(self.outstanding),
        };
        let mut loads = Vec::new();
        for text in &self.workspaces {
            let Some((name, key)) = text.split_once('=') else {
                let reason = "--workspace must have the form NAME=KEY".to_owned();
                return Err(CommandError::Argument { reason });
            };
            loads.extend(self.kinds.iter().map(|kind| WorkspaceLoad {
                workspace: name.to_owned(),
                key: key.to_owned(),
                class: self.class.clone(),
                hosts: (0..self.hosts.len()).collect(),
                arrivals,
                work: kind.work(),
            }));
        }
        Ok(loads)
    }
}

impl Kind {
    fn work(self) -> Work {
        let model = |streamed_percent| {
            Work::Model(ModelWork {
                streamed_percent,
                ..ModelWork::default()
            })
        };
        match self {
            Self::Streamed => model(100),
            Self::Whole => model(0),
            Self::Plain => Work::Plain(PlainWork::default()),
            Self::Keyed => Work::Plain(PlainWork {
                keyed: true,
                retries: 3,
            }),
        }
    }
}
