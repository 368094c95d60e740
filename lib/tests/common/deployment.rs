//! A deployment without a network: the decision code of all hosts, and engines (servers that run a
//! model) that keep to the plan of their scheduler unless a test makes them slower.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use cardamomshift_lib::entry::EngineView;
use cardamomshift_lib::entry::Peer;
use cardamomshift_lib::entry::Peers;
use cardamomshift_lib::entry::Progress;
use cardamomshift_lib::entry::ProgressStep;
use cardamomshift_lib::entry::PromptPart;
use cardamomshift_lib::entry::ReservationId;
use cardamomshift_lib::entry::ScheduleRequest;
use cardamomshift_lib::entry::Scheduler;
use cardamomshift_lib::entry::SearchStep;
use cardamomshift_lib::entry::Shard;
use cardamomshift_lib::entry::ShardSearch;
use cardamomshift_lib::entry::ShardWork;
use cardamomshift_lib::time::Timestamp;

const SERVICE: u64 = 1;
/// Interval at which schedulers report the work at their shards to each other, milliseconds.
const SHARES_PERIOD_MS: u64 = 250;
/// Span over which shares are compared, seconds.
const WINDOW_SECONDS: usize = 6;
/// Tokens of a prompt that its session shares, and of the rest.
const SHARED_TOKENS: u32 = 5_400;
const OWN_TOKENS: u32 = 6_600;
/// Tokens of a prompt.
pub const PROMPT_TOKENS: u64 = SHARED_TOKENS as u64 + OWN_TOKENS as u64;
/// Longest time for which an engine may stay empty while requests are refused, milliseconds: two
/// reports of schedulers.
const EMPTY_MAX_MS: u64 = 2 * SHARES_PERIOD_MS;
/// Refusals further apart than this are not of the same span, milliseconds.
const REFUSALS_APART_MS: u64 = 50;
/// Prefill speed of engines that the scheduler assumes, tokens/ms.
const ENGINE_SPEED: f64 = 38.7;
/// Fraction of an engine's time that prefills take at most.
const PREFILL_SHARE: f64 = 0.85;
/// Time from the end of the prefill to the first event, milliseconds.
const FIRST_EVENT_MS: u64 = 60;
/// Time from the start of a response to its end, milliseconds.
const RESPONSE_MS: u64 = 840;
/// Time in which responses should start.
const OBJECTIVE: Duration = Duration::from_millis(1_000);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

/// A workspace and its traffic.
pub struct Workspace {
    pub id: u64,
    pub sessions: Vec<u64>,
    /// Interval between requests, milliseconds; infinite for none.
    pub interval_ms: f64,
    /// Spans in which the interval is another one, milliseconds.
    pub changes: Vec<(Range<u64>, f64)>,
}

impl Workspace {
    fn interval_at(&self, now_ms: u64) -> f64 {
        let change = self.changes.iter().find(|(span, _)| span.contains(&now_ms));
        change.map_or(self.interval_ms, |(_, interval_ms)| *interval_ms)
    }
}

/// Tokens of a workspace in each second.
#[derive(Clone, Default)]
pub struct Work {
    pub asked: Vec<u64>,
    pub granted: Vec<u64>,
    /// Whether a request was refused, or its response started after the objective.
    pub has_unserved: Vec<bool>,
}

/// Work of each workspace by second.
pub type WorkByWorkspace = BTreeMap<u64, Work>;

/// Report on a running request to the scheduler that started it.
struct Event {
    scheduler: SocketAddr,
    progress: Progress,
    /// Engine that the request has left.
    left: Option<u64>,
}

/// All hosts of a deployment with the schedulers that run on them.
pub struct Deployment {
    pub engines: Vec<EngineView>,
    /// Factors by which prefills take longer than planned, by engine.
    pub slowness: HashMap<u64, f64>,
    /// Delays of the reports of schedulers to each other, milliseconds; `None` if they are lost.
    pub report_delays: HashMap<SocketAddr, Option<u64>>,
    /// Scheduler of each shard. The number of shards stays the same.
    pub by_shard: Vec<SocketAddr>,
    /// Workspaces that come by one host only, and how many of their requests a second that host has time for. It
    /// refuses the others.
    pub passed_per_second: HashMap<u64, f64>,
    /// Part of the next request of these workspaces for which their host has had time.
    passed_credit: HashMap<u64, f64>,
    /// Span during which requests have been refused, milliseconds.
    refusing_ms: Range<u64>,
    /// Longest time for which an engine was empty while requests were refused, milliseconds.
    longest_empty_ms: u64,
    /// When the engines became empty, milliseconds.
    empty_since_ms: HashMap<u64, u64>,
    schedulers: HashMap<SocketAddr, Scheduler>,
    running: HashMap<u64, u32>,
    events: BTreeMap<(u64, u64), Event>,
    reports: BTreeMap<(u64, u64), (SocketAddr, u64, ShardWork)>,
    event_count: u64,
}

impl Deployment {
    pub fn new(hosts: u32, engines: u32) -> Self {
        let engines: Vec<_> = (1..=u64::from(engines))
            .map(|n| EngineView {
                hash: n.wrapping_mul(0x9e37_79b9_7f4a_7c15),
                run: n,
                domain: 0,
                slots: 64,
                memory_tokens: 500_000,
                rate_limit: None,
            })
            .collect();
        let list: Vec<_> = (1..=hosts)
            .map(|n| Peer {
                name: format!("h{n}").into(),
                address: SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7_400)),
                callers: None,
                domain: "d".into(),
                cores: 0.25,
            })
            .collect();
        let mut peers = Peers::new(&list[0]);
        peers.set(&list);
        let shards = Shard::of_session(0, engines.iter().map(|engine| engine.hash)).count;
        let by_shard: Vec<_> = (0..shards)
            .map(|index| {
                let shard = Shard {
                    index,
                    count: shards,
                };
                let key = shard.scheduler_key(SERVICE);
                peers.scheduler(at(0), key).unwrap_or(list[0].address)
            })
            .collect();
        let schedulers = by_shard
            .iter()
            .map(|address| (*address, Scheduler::new(1)))
            .collect();
        Self {
            engines,
            slowness: HashMap::new(),
            report_delays: HashMap::new(),
            by_shard,
            passed_per_second: HashMap::new(),
            passed_credit: HashMap::new(),
            refusing_ms: 0..0,
            longest_empty_ms: 0,
            empty_since_ms: HashMap::new(),
            schedulers,
            running: HashMap::new(),
            events: BTreeMap::new(),
            reports: BTreeMap::new(),
            event_count: 0,
        }
    }

    pub fn shards(&self) -> u32 {
        self.by_shard.len() as u32
    }

    fn shard_of(&self, session: u64) -> Shard {
        Shard::of_session(session, self.engines.iter().map(|engine| engine.hash))
    }

    /// Sessions whose engines are in one shard.
    pub fn sessions_of_shard(&self, index: u32, from: u64, count: usize) -> Vec<u64> {
        (from..)
            .filter(|session| self.shard_of(*session).index == index)
            .take(count)
            .collect()
    }

    /// Capacity of the engines for prompts, tokens per second.
    pub fn capacity(&self) -> f64 {
        self.engines.len() as f64 * ENGINE_SPEED * PREFILL_SHARE * 1_000.0
    }

    /// Interval between requests that ask for a fraction of the capacity, milliseconds.
    pub fn interval_ms(&self, fraction: f64) -> f64 {
        PROMPT_TOKENS as f64 * 1_000.0 / (self.capacity() * fraction)
    }

    /// Checks that no engine stays empty while requests are refused.
    pub fn check_empty_engines(&self, name: &str) {
        let longest_ms = self.longest_empty_ms;
        assert!(
            longest_ms <= EMPTY_MAX_MS,
            "{name}: an engine was empty for {longest_ms} ms while requests were refused"
        );
    }

    fn on_refused(&mut self, now_ms: u64) {
        if now_ms - self.refusing_ms.end > REFUSALS_APART_MS {
            self.refusing_ms.start = now_ms;
        }
        self.refusing_ms.end = now_ms;
        for engine in &self.engines {
            if self
                .running
                .get(&engine.hash)
                .is_none_or(|running| *running == 0)
            {
                let since = self.empty_since_ms.get(&engine.hash).copied().unwrap_or(0);
                let empty_ms = now_ms - since.max(self.refusing_ms.start);
                self.longest_empty_ms = self.longest_empty_ms.max(empty_ms);
            }
        }
    }

    /// Gives the hosts of workspaces that come by one host only the time of another millisecond.
    fn gain_host_time(&mut self) {
        for (workspace, per_second) in &self.passed_per_second {
            let credit = self.passed_credit.entry(*workspace).or_default();
            // Time that is not used is lost, apart from that for two requests.
            *credit = (*credit + per_second / 1_000.0).min(2.0);
        }
    }

    /// Whether the host of a workspace has time for a request. If not, it refuses the request, and tells
    /// schedulers.
    fn passes_host(&mut self, now_ms: u64, workspace: u64) -> bool {
        if !self.passed_per_second.contains_key(&workspace) {
            return true;
        }
        let credit = self.passed_credit.entry(workspace).or_default();
        if *credit >= 1.0 {
            *credit -= 1.0;
            return true;
        }
        let address = SocketAddr::from(([10, 1, 0, workspace as u8], 7_400));
        let host = self.schedulers.entry(address);
        let host = host.or_insert_with(|| Scheduler::new(1));
        let shards = self.by_shard.len() as u32;
        host.on_refused_by_host(at(now_ms), SERVICE, shards, workspace, PROMPT_TOKENS);
        false
    }

    /// Asks for a request as a host does. Returns the time after which its response starts, `None`
    /// if it is refused.
    fn ask(&mut self, now_ms: u64, workspace: u64, session: u64) -> Option<Duration> {
        let mut search = ShardSearch::default();
        loop {
            let mut request = ScheduleRequest {
                service: SERVICE,
                shard: self.shard_of(session),
                workspace,
                domain: 0,
                input_tokens: SHARED_TOKENS + OWN_TOKENS,
                output_tokens: 0,
                shared_parts: vec![PromptPart {
                    id: session,
                    tokens: SHARED_TOKENS,
                }],
                until_objective: OBJECTIVE,
                until_give_up: Duration::from_secs(15),
                rank: 0,
                is_caller_retry: false,
                last_server: 0,
                kind: 1,
                content: 0,
                version: None,
                except_version: None,
                objective: OBJECTIVE,
                continues_stream: false,
                was_refused: false,
                refused_tokens: 0,
                excluded: Vec::new(),
            };
            search.direct(&mut request);
            let engines = request
                .shard
                .select(self.engines.clone(), |engine| engine.hash);
            let address = self.by_shard[request.shard.index as usize % self.by_shard.len()];
            let scheduler = self.schedulers.get_mut(&address).unwrap();
            let decision = scheduler.decide(at(now_ms), &request, &engines);
            match search.on_decision(decision, request.shard.count) {
                SearchStep::Start {
                    reservation,
                    server,
                    send_after,
                    uncached_tokens,
                } => {
                    let slowness = self.slowness.get(&server).copied().unwrap_or(1.0);
                    let prefill = f64::from(uncached_tokens) / ENGINE_SPEED / PREFILL_SHARE;
                    let after = Duration::from_millis(FIRST_EVENT_MS + (prefill * slowness) as u64);
                    *self.running.entry(server).or_default() += 1;
                    let start = send_after + after;
                    self.report(now_ms, start, address, reservation, server, after);
                    return Some(start);
                }
                SearchStep::AskNext => {}
                SearchStep::Refuse(_) => {
                    self.on_refused(now_ms);
                    return None;
                }
            }
        }
    }

    /// Plans the reports on a request whose response starts after `start`.
    fn report(
        &mut self,
        now_ms: u64,
        start: Duration,
        scheduler: SocketAddr,
        reservation: ReservationId,
        server: u64,
        after: Duration,
    ) {
        let start_ms = now_ms + start.as_millis() as u64;
        let started = ProgressStep::ResponseStarted {
            after,
            host_lag: Duration::ZERO,
        };
        for (due_ms, step, left) in [
            (start_ms, started, None),
            (start_ms + RESPONSE_MS, ProgressStep::Ended, Some(server)),
        ] {
            self.event_count += 1;
            let event = Event {
                scheduler,
                progress: Progress { reservation, step },
                left,
            };
            self.events.insert((due_ms, self.event_count), event);
        }
    }

    fn deliver_reports(&mut self, now_ms: u64) {
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= now_ms
        {
            let event = entry.remove();
            let scheduler = self.schedulers.get_mut(&event.scheduler).unwrap();
            scheduler.on_progress(at(now_ms), &event.progress);
            if let Some(server) = event.left
                && let Some(running) = self.running.get_mut(&server)
            {
                *running -= 1;
                if *running == 0 {
                    self.empty_since_ms.insert(server, now_ms);
                }
            }
        }
        while let Some(entry) = self.reports.first_entry()
            && entry.key().0 <= now_ms
        {
            let (from, service, shards) = entry.remove();
            for (to, scheduler) in &mut self.schedulers {
                if *to != from && self.report_delays.get(to) != Some(&None) {
                    scheduler.on_shares(at(now_ms), from, service, shards.clone());
                }
            }
        }
    }

    fn send_shares(&mut self, now_ms: u64) {
        for (from, scheduler) in &self.schedulers {
            let delay = self.report_delays.get(from).copied().unwrap_or(Some(0));
            let Some(delay_ms) = delay else {
                continue;
            };
            for (service, _, shards) in scheduler.shares_to_send(at(now_ms)) {
                self.event_count += 1;
                let key = (now_ms + delay_ms, self.event_count);
                self.reports.insert(key, (*from, service, shards));
            }
        }
    }
}

/// Plays a load until `end_ms` and returns the work of each workspace. `disturb` is called once a
/// millisecond.
pub fn play(
    deployment: &mut Deployment,
    workspaces: &[Workspace],
    end_ms: u64,
    mut disturb: impl FnMut(&mut Deployment, u64),
) -> WorkByWorkspace {
    let seconds = (end_ms / 1_000) as usize;
    let empty = || Work {
        asked: vec![0; seconds],
        granted: vec![0; seconds],
        has_unserved: vec![false; seconds],
    };
    let mut all: WorkByWorkspace = workspaces.iter().map(|w| (w.id, empty())).collect();
    // Fraction of the time until the next request that has passed.
    let mut due: Vec<f64> = workspaces
        .iter()
        .map(|w| w.id as f64 / 50.0 % 1.0)
        .collect();
    let mut counts = vec![0_usize; workspaces.len()];
    for now_ms in 0..end_ms {
        disturb(deployment, now_ms);
        if now_ms % SHARES_PERIOD_MS == 0 {
            deployment.send_shares(now_ms);
        }
        deployment.deliver_reports(now_ms);
        deployment.gain_host_time();
        for (index, workspace) in workspaces.iter().enumerate() {
            due[index] += 1.0 / workspace.interval_at(now_ms);
            while due[index] >= 1.0 {
                due[index] -= 1.0;
                counts[index] += 1;
                let session = workspace.sessions[counts[index] % workspace.sessions.len()];
                let work = all.get_mut(&workspace.id).unwrap();
                let second = (now_ms / 1_000) as usize;
                work.asked[second] += PROMPT_TOKENS;
                let started = match deployment.passes_host(now_ms, workspace.id) {
                    true => deployment.ask(now_ms, workspace.id, session),
                    false => None,
                };
                if started.is_some() {
                    work.granted[second] += PROMPT_TOKENS;
                }
                if started.is_none_or(|after| after > OBJECTIVE) {
                    work.has_unserved[second] = true;
                }
            }
        }
    }
    all
}

/// Tokens granted to a workspace in the window of seconds that begins at `from`, and those that are
/// due to it before the halving: what it asked for or what the best served workspace was granted,
/// whichever is less in each second.
fn granted_and_due(all: &WorkByWorkspace, id: u64, window: Range<usize>) -> (u64, u64) {
    let work = &all[&id];
    let due = window.clone().map(|second| {
        let best = all.values().map(|work| work.granted[second]).max().unwrap();
        best.min(work.asked[second])
    });
    (work.granted[window.clone()].iter().sum(), due.sum())
}

/// Windows in which a workspace had an unserved request in every second, with the ratio of its
/// tokens and three requests to what is due to it; the worst first.
pub fn served_ratios(all: &WorkByWorkspace) -> Vec<(f64, u64, usize)> {
    let seconds = all.values().map(|work| work.asked.len()).max().unwrap_or(0);
    let mut ratios = Vec::new();
    for from in 0..=seconds - WINDOW_SECONDS {
        let window = from..from + WINDOW_SECONDS;
        for (id, work) in all {
            if work.has_unserved[window.clone()].iter().all(|has| *has) {
                let (granted, due) = granted_and_due(all, *id, window.clone());
                let ratio = (granted + 3 * PROMPT_TOKENS) as f64 / due.max(1) as f64;
                ratios.push((ratio, *id, from));
            }
        }
    }
    ratios.sort_by(|a, b| a.0.total_cmp(&b.0));
    ratios
}

/// Checks that in each window in which a workspace had an unserved request in every second it was
/// granted half of what it asked for or of what the best served workspace was granted, whichever is
/// less in each second, apart from three requests.
pub fn check_shares(all: &WorkByWorkspace, name: &str) {
    if let Some((ratio, id, from)) = served_ratios(all).first() {
        let window = *from..*from + WINDOW_SECONDS;
        let (granted, due) = granted_and_due(all, *id, window.clone());
        assert!(
            *ratio >= 0.5,
            "{name}, seconds {window:?}: workspace {id} was granted {granted} of {due} tokens"
        );
    }
}
