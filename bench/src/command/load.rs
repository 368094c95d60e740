//! `load`: sends requests of several workspaces to running hosts and prints a summary.

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

/// How long to wait for open calls after the last request was sent.
const FINISH_TIMEOUT: Duration = Duration::from_secs(30);

/// Kind of requests to send.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Kind {
    /// Model requests with streamed responses.
    Streamed,
    /// Model requests with responses that are not streamed.
    Whole,
    /// Requests to the plain service.
    Plain,
    /// Requests to the plain service with an `Idempotency-Key`, retried while the outcome is
    /// unknown.
    Keyed,
}

#[derive(Debug, Args)]
pub(crate) struct LoadArgs {
    /// Address at which a host accepts calls; may be given several times.
    #[arg(long = "host", value_name = "IP:PORT", required = true)]
    hosts: Vec<SocketAddr>,
    /// Name and key of a workspace; may be given several times.
    #[arg(long = "workspace", value_name = "NAME=KEY", required = true)]
    workspaces: Vec<String>,
    /// Class of work, which sets the latency target; the default class if absent.
    #[arg(long)]
    class: Option<String>,
    /// Kinds of requests; every workspace sends all of them.
    #[arg(long, value_enum, value_delimiter = ',', default_value = "streamed")]
    kinds: Vec<Kind>,
    /// Number of requests that each workspace keeps open for each kind.
    #[arg(long, default_value_t = 8, conflicts_with = "rate")]
    outstanding: usize,
    /// Requests per second of each workspace and kind, sent without waiting for responses.
    #[arg(long)]
    rate: Option<f64>,
    /// How long to send requests, seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Seed of the random requests.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print the summary as JSON.
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
            let text = serde_json::to_string_pretty(&summaries).expect("summary is valid JSON");
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
