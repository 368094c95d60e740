//! Finds the backend servers that may get a request now, and places the request on one of them:
//! chooses the server and counts the request there. The servers are those in [`Fleet`], the host's
//! view of the fleet.
//!
//! A request to a plain service, one that runs no model, is placed by this host alone (see the
//! `selection` module). The backend servers that run a model are its engines. They are divided into
//! shards, each with a scheduler on one of the hosts. For a request to a model the host asks the
//! scheduler of one shard, and then places the request on the server that the scheduler chose.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::admission::Admitted;
use super::budget::cold_share;
use super::dialect::Prompt;
use super::dialect::ServerAnnouncement;
use super::fleet::Fleet;
use super::fleet::InFlight;
use super::fleet::InFlightKey;
use super::health::is_failing;
use super::health::median;
use super::rate_limit::ServerLimit;
use super::rate_limit::TOLD_LIMITS_MAX;
use super::rate_limit::ToldLimit;
use super::rate_limit::rate_limit_share;
use super::refusal::Reason;
use super::refusal::Refusal;
use super::rollout::VersionChoice;
use super::schedule::EngineView;
use super::schedule::PartCrash;
use super::schedule::Progress;
use super::schedule::ProgressStep;
use super::schedule::QuarantineChange;
use super::schedule::ScheduleDecision;
use super::schedule::ScheduleRequest;
use super::schedule::ScheduleSummary;
use super::schedule::Shard;
use super::schedule::ShardWork;
use super::schedule::max_min_share;
use super::selection::Candidate;
use super::selection::healthy_candidates;
use super::selection::select_by_evidence;
use super::selection::select_server;
use super::servers::ServerKey;
use super::stream_origins::VersionId;
use crate::crashing::RequestClearance;
use crate::crashing::RequestDigest;
use crate::crashing::SentRequest;
use crate::time::Timestamp;

/// Retry delay after a refusal for lack of a server: about the interval at which changes of servers
/// are announced.
const SERVER_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Fraction of the counted requests that is kept from one sweep of the host to the next. With sweeps
/// every 100 ms the half-life is 0.7 s.
const READ_PROMPTS_KEPT: f64 = 0.9;
/// Number of requests of a workspace below which they are forgotten.
const READ_PROMPTS_MIN: f64 = 0.05;

/// Server that was chosen for a request, which is counted there.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Key of the request in flight, which [`Fleet::end`] takes.
    pub flight: InFlightKey,
    /// Key of the server.
    pub server: ServerKey,
    /// Hash that identifies the run of the server.
    pub run: u64,
    /// Software version of the server.
    pub version: VersionId,
    /// The server's last announcement, which it renews in the platform's object store.
    pub entry: ServerAnnouncement,
    /// Prompt tokens that the server has to process according to the scheduler, 0 for a plain
    /// service.
    pub uncached_tokens: u32,
}

/// Servers of a service that may get a request from this host.
struct Usable {
    candidates: Vec<Candidate>,
    /// Whether servers were left out because they are in their cold start (the time just after
    /// their start, with a limited request rate) and this host has already sent them as many
    /// requests as its share of that rate allows.
    has_cold: bool,
    /// End of the first pause among the servers that were left out because they asked this host to
    /// send them nothing for a time.
    first_resume_at: Option<Timestamp>,
    /// Whether servers were left out because this host has used up its share of the rate that they
    /// name.
    has_limited: bool,
    /// When this host's share at one of them has room again, if it has a share.
    first_room_at: Option<Timestamp>,
}

impl Usable {
    /// The refusal of a request that none of the servers can take.
    fn refusal(&self, now: Timestamp) -> Refusal {
        if self.has_cold {
            return Refusal::with_retry_after(Reason::ServersCold, SERVER_RETRY_AFTER);
        }
        if self.has_limited {
            let wait = self
                .first_room_at
                .map_or(SERVER_RETRY_AFTER, |at| at.remaining(now));
            return Refusal::with_retry_after(Reason::ServersLimited, wait);
        }
        match self.first_resume_at {
            Some(at) => Refusal::with_retry_after(Reason::ServersPaused, at.remaining(now)),
            None => Refusal::with_retry_after(Reason::NoServer, SERVER_RETRY_AFTER),
        }
    }
}

/// Hashes of the names of a service and a workspace; 0 for requests without a workspace.
fn share_key(service: &str, workspace: Option<&str>) -> (u64, u64) {
    let workspace = workspace.map_or(0, |name| xxh3_64(name.as_bytes()));
    (xxh3_64(service.as_bytes()), workspace)
}

impl Fleet {
    /// Checks that a request is not held back because it makes servers crash.
    ///
    /// # Errors
    ///
    /// A refusal if it must not be sent now.
    pub fn check_request(&self, now: Timestamp, digest: RequestDigest) -> Result<(), Refusal> {
        match self.request_quarantine.clearance(now, digest) {
            RequestClearance::Free | RequestClearance::Trial => Ok(()),
            RequestClearance::HeldBack { retry_after } => {
                let reason = Reason::RequestCrashesServers;
                Err(Refusal::with_retry_after(reason, retry_after))
            }
        }
    }

    /// Records that a request is sent to the server of its placement.
    pub fn on_sent(
        &mut self,
        now: Timestamp,
        digest: RequestDigest,
        placed: &Placement,
        give_up_at: Timestamp,
    ) -> SentRequest {
        self.request_quarantine
            .send(now, digest, placed.run, give_up_at)
    }

    /// Chooses a server as [`Self::place_among`] does, of one software version or of any.
    ///
    /// # Errors
    ///
    /// A refusal if no server can take the request now.
    pub fn place(
        &mut self,
        now: Timestamp,
        service: &CompactString,
        version: Option<VersionId>,
        tried: &[ServerKey],
    ) -> Result<Placement, Refusal> {
        let versions = version.map_or(VersionChoice::Any, VersionChoice::Only);
        self.place_among(now, service, versions, tried)
    }

    /// Chooses a server for a request to a plain service, other than those in `tried`, and counts
    /// the request there. `versions` states which software versions the server may have.
    ///
    /// # Errors
    ///
    /// A refusal if no server can take the request now.
    pub fn place_among(
        &mut self,
        now: Timestamp,
        service: &CompactString,
        versions: VersionChoice,
        tried: &[ServerKey],
    ) -> Result<Placement, Refusal> {
        let usable = self.usable_of(now, service, versions, tried);
        let selected = match self.weighs_plain_servers {
            true => {
                let points = [self.next_point(), self.next_point()];
                select_by_evidence(&usable.candidates, points)
            }
            false => select_server(&usable.candidates),
        };
        match selected {
            Some(key) => self.add_in_flight(now, key, 0),
            None => Err(usable.refusal(now)),
        }
    }

    /// Builds a question as [`Self::schedule_request_among`] does, for engines of any software version.
    ///
    /// # Errors
    ///
    /// A refusal if no server can take the request now.
    pub fn schedule_request(
        &mut self,
        now: Timestamp,
        admitted: &Admitted,
        prompt: &Prompt,
        digest: RequestDigest,
        tried: &[ServerKey],
    ) -> Result<ScheduleRequest, Refusal> {
        self.schedule_request_among(now, admitted, prompt, digest, VersionChoice::Any, tried)
    }

    /// Builds the question to the scheduler for a request to a model. The request excludes the
    /// servers in `tried` and those that this host cannot use. It also excludes servers
    /// that fail far more requests than is usual for their service, unless all usable ones do.
    /// `versions` states which software versions the server may have. While a version is rolled out, the
    /// shard is one of the engines of these versions only, so that sessions stay at their engines when
    /// others arrive.
    ///
    /// # Errors
    ///
    /// A refusal if no server can take the request now.
    pub fn schedule_request_among(
        &mut self,
        now: Timestamp,
        admitted: &Admitted,
        prompt: &Prompt,
        digest: RequestDigest,
        versions: VersionChoice,
        tried: &[ServerKey],
    ) -> Result<ScheduleRequest, Refusal> {
        let parts = prompt.shared_parts().iter().map(|part| part.id);
        if let Some((_, left)) = self.scheduler.quarantine().held_back(now, parts) {
            let reason = Reason::PromptCrashesServers;
            return Err(Refusal::with_retry_after(reason, left));
        }
        self.on_prompt_read(admitted, prompt);
        let usable = self.usable_of(now, &admitted.service, versions, tried);
        if usable.candidates.is_empty() {
            return Err(usable.refusal(now));
        }
        let healthy: HashSet<_> = healthy_candidates(&usable.candidates)
            .iter()
            .map(|c| c.hash)
            .collect();
        let keys = self.servers.of_service(&admitted.service);
        // A session is a series of requests with the same beginning of the prompt. A request
        // without a session gets a shard by its time of arrival.
        let session = prompt.session().unwrap_or(admitted.arrived.as_micros());
        let servers = || keys.iter().filter_map(|key| self.servers.get(*key));
        let is_followed = self.rollouts.is_enabled();
        let of_shards: Vec<_> = servers()
            .filter(|server| !is_followed || versions.accepts(server.version))
            .map(|server| server.hash)
            .collect();
        let shard = Shard::of_session(session, of_shards.into_iter());
        let mut excluded: Vec<_> = servers().map(|server| server.hash).collect();
        excluded.retain(|hash| !healthy.contains(hash));
        let (service, workspace_hash) = share_key(&admitted.service, admitted.workspace.as_deref());
        let last_server = prompt
            .session()
            .and_then(|session| self.session_affinity.get(session));
        Ok(ScheduleRequest {
            service,
            shard,
            workspace: workspace_hash,
            domain: self.own_domain_hash,
            input_tokens: prompt.input_tokens,
            output_tokens: prompt.output_tokens(),
            // Leading parts of the prompt that other requests share.
            shared_parts: prompt.shared_parts().to_vec(),
            // Time left until the response should have started to meet the objective of the route.
            until_objective: admitted.objective_at.remaining(now),
            until_give_up: admitted.give_up_at.remaining(now),
            // Priority of the workspace (customer) or route, 0 is the most urgent.
            rank: admitted.rank,
            is_caller_retry: admitted.is_caller_retry,
            last_server: last_server.unwrap_or(0),
            kind: xxh3_64(admitted.route.name.as_bytes()),
            content: digest.content,
            version: match versions {
                VersionChoice::Only(version) => Some(version),
                VersionChoice::Any | VersionChoice::Except(_) => None,
            },
            except_version: match versions {
                VersionChoice::Except(version) => Some(version),
                VersionChoice::Any | VersionChoice::Only(_) => None,
            },
            objective: admitted.route.objective,
            continues_stream: false,
            was_refused: false,
            refused_tokens: self.take_refused_tokens(admitted),
            excluded,
        })
    }

    /// Decides on a request as the scheduler of its shard.
    pub fn decide(&mut self, now: Timestamp, request: &ScheduleRequest) -> ScheduleDecision {
        let Some(config) = &self.config else {
            return ScheduleDecision::NoEngine;
        };
        let mut services = config.services.values();
        let spec = services.find(|spec| xxh3_64(spec.name.as_bytes()) == request.service);
        let Some((spec, engine)) = spec.and_then(|spec| Some((spec, spec.engine?))) else {
            return ScheduleDecision::NoEngine;
        };
        let servers = self.servers.of_service(&spec.name);
        let servers = servers.iter().filter_map(|key| self.servers.get(*key));
        let servers = request
            .shard
            .select(servers.collect(), |server| server.hash);
        let engines: Vec<_> = servers
            .into_iter()
            .filter(|server| {
                server.is_available(now)
                    && !self.evacuated.contains(&server.entry.domain)
                    && request
                        .version
                        .is_none_or(|version| server.version == version)
                    && request.except_version != Some(server.version)
            })
            .map(|server| EngineView {
                hash: server.hash,
                run: server.run_hash(),
                domain: server.domain_hash,
                // Both the server and the configuration limit how many requests run at once.
                slots: server.entry.slots.min(engine.slots),
                memory_tokens: engine.memory_tokens,
                rate_limit: server.rate_limit(now),
            })
            .collect();
        self.scheduler.decide(now, request, &engines)
    }

    /// Updates the scheduler with a report on a request that it assigned to an engine.
    pub fn on_progress(&mut self, now: Timestamp, progress: &Progress) {
        if let ProgressStep::ServerLeaving { started_at_ms } = progress.step
            && let Some(server) = self.scheduler.server_of(progress.reservation)
        {
            self.servers.on_leaving(server, started_at_ms);
        }
        self.scheduler.on_progress(now, progress);
    }

    /// Whether a workspace sends at least as many of the requests to models that this host has read lately
    /// as one does on average. While the host is behind its work, it refuses these workspaces first: their
    /// requests are what it is late with.
    pub fn is_busy_workspace(&self, admitted: &Admitted) -> bool {
        let count_of = |key| self.read_prompts.get(key).map_or(0.0, |read| read.count);
        let total: f64 = self.read_prompts.values().map(|read| read.count).sum();
        let mean = total / self.read_prompts.len().max(1) as f64;
        let key = (admitted.service.clone(), admitted.workspace.clone());
        count_of(&key) >= mean
    }

    /// Decides whether a request is refused, for which this host has no processor time, if `refused_fraction`
    /// of all are to be. What is left is divided evenly among the workspaces; what one of them does not
    /// use the others get.
    pub fn refuses_for_share(&mut self, admitted: &Admitted, refused_fraction: f64) -> bool {
        if refused_fraction <= 0.0 {
            return false;
        }
        let counts: Vec<_> = self.read_prompts.values().map(|read| read.count).collect();
        let accepted = counts.iter().sum::<f64>() * (1.0 - refused_fraction);
        let share = max_min_share(counts, accepted);
        let key = (admitted.service.clone(), admitted.workspace.clone());
        let Some(read) = self.read_prompts.get_mut(&key) else {
            return false;
        };
        read.refusal_credit += (1.0 - share / read.count).max(0.0);
        let refuses = read.refusal_credit >= 1.0;
        if refuses {
            read.refusal_credit -= 1.0;
        }
        refuses
    }

    /// Counts a request that has arrived on a new connection and is not scheduled by this host.
    pub fn on_arrived(&mut self, admitted: &Admitted, prompt: Option<&Prompt>) {
        let key = (admitted.service.clone(), admitted.workspace.clone());
        let read = self.read_prompts.entry(key).or_default();
        read.count += 1.0;
        read.tokens += prompt.map_or(0.0, |prompt| prompt.work_tokens() as f64);
    }

    /// Counts a request whose connection this host refuses.
    pub fn on_refused_connection(&mut self, admitted: &Admitted, prompt: Option<&Prompt>) {
        match prompt {
            Some(prompt) => {
                self.tally.on_asked(admitted, prompt);
                self.on_refused_locally(admitted, prompt);
            }
            None => self.on_arrived(admitted, None),
        }
    }

    /// Counts a request to a model that this host refuses by itself, without a schedule request. The next
    /// schedule request for its workspace tells a scheduler, or the next report to schedulers.
    pub fn on_refused_locally(&mut self, admitted: &Admitted, prompt: &Prompt) {
        self.on_prompt_read(admitted, prompt);
        let key = (admitted.service.clone(), admitted.workspace.clone());
        let tokens = prompt.work_tokens();
        *self.refused_tokens.entry(key).or_default() += tokens;
        if let Some(workspace) = &admitted.workspace {
            *self.refused_counts.entry(workspace.clone()).or_default() += 1;
        }
    }

    /// Counts a request to a model whose head this host has read.
    fn on_prompt_read(&mut self, admitted: &Admitted, prompt: &Prompt) {
        self.on_arrived(admitted, Some(prompt));
    }

    /// Counts connections of callers that this host has refused unread. Their requests are assumed to
    /// be like those that were read lately. To be called once in each sweep of the host.
    pub fn on_connections_refused(&mut self, count: u64) {
        let read_count: f64 = self.read_prompts.values().map(|read| read.count).sum();
        for (key, read) in &mut self.read_prompts {
            if count > 0 && read_count > 0.0 {
                let tokens = read.tokens / read_count * count as f64;
                *self.refused_tokens.entry(key.clone()).or_default() += tokens as u64;
            }
            read.count *= READ_PROMPTS_KEPT;
            read.tokens *= READ_PROMPTS_KEPT;
        }
        self.read_prompts
            .retain(|_, read| read.count > READ_PROMPTS_MIN);
    }

    /// The workspace that has sent this host the most requests to models lately, and its fraction of them.
    pub fn busiest_workspace(&self) -> Option<(CompactString, f64)> {
        let total: f64 = self.read_prompts.values().map(|read| read.count).sum();
        let reads = self.read_prompts.iter();
        let most = reads.max_by(|(_, a), (_, b)| a.count.total_cmp(&b.count));
        let ((_, workspace), read) = most?;
        Some((workspace.clone().unwrap_or_default(), read.count / total))
    }

    /// The workspace of which this host has refused the most requests by itself since the last call,
    /// and their number.
    pub fn take_most_refused(&mut self) -> Option<(CompactString, u64)> {
        let counts = std::mem::take(&mut self.refused_counts);
        counts.into_iter().max_by_key(|(_, count)| *count)
    }

    /// Takes the tokens of the requests that were refused for a workspace since the last call.
    fn take_refused_tokens(&mut self, admitted: &Admitted) -> u64 {
        if self.refused_tokens.is_empty() {
            return 0;
        }
        let key = (admitted.service.clone(), admitted.workspace.clone());
        self.refused_tokens.remove(&key).unwrap_or(0)
    }

    /// What the scheduler of this host has decided since the last call for each service of which it
    /// has refused requests, by the name of the service.
    pub fn take_schedule_summaries(&mut self) -> Vec<(CompactString, ScheduleSummary)> {
        let summaries = self.scheduler.take_summaries();
        let Some(config) = &self.config else {
            return Vec::new();
        };
        let name = |hash| {
            let mut services = config.services.values();
            services.find(|spec| xxh3_64(spec.name.as_bytes()) == hash)
        };
        summaries
            .into_iter()
            .filter_map(|(service, summary)| Some((name(service)?.name.clone(), summary)))
            .collect()
    }

    /// Limits that engines have named to this host, as far as the scheduler at an address has to be
    /// told of them.
    pub fn limits_to_tell(&mut self, now: Timestamp, scheduler: SocketAddr) -> Vec<ServerLimit> {
        let mut limits = Vec::new();
        for (_, server) in self.servers.iter() {
            let own = server.run.limit.filter(|limit| limit.is_own);
            let Some(limit) = own.filter(|limit| limit.is_recent(now)) else {
                continue;
            };
            let run = server.run_hash();
            let told = self.told_limits.entry((scheduler, run)).or_default();
            if limits.len() >= TOLD_LIMITS_MAX || !told.is_due(now, &limit) {
                continue;
            }
            *told = ToldLimit::new(now, &limit);
            limits.push(ServerLimit {
                server: server.hash,
                run,
                per_second: limit.per_second,
                age: now.since(limit.as_of),
            });
        }
        limits
    }

    /// Adds the limits of which another host has told.
    pub fn on_limits_told(&mut self, now: Timestamp, limits: &[ServerLimit]) {
        for limit in limits {
            self.servers.on_limit_told(now, limit);
        }
    }

    /// Crashes of engines to tell the other hosts of, with the parts of prompts under which they
    /// happened.
    pub fn crashes_to_share(&self, now: Timestamp) -> Vec<PartCrash> {
        self.scheduler.crashes_to_share(now)
    }

    /// Records that a request to a model was lost with the run of its engine. The scheduler of the request
    /// may be another host; this one tells whichever it asks next.
    pub(crate) fn on_prompt_lost(&mut self, now: Timestamp, sent: &SentRequest, parts: &[u64]) {
        let quarantine = self.scheduler.quarantine();
        quarantine.on_crash(now, sent.run, sent.digest.content, parts, false);
    }

    /// Forgets what no longer counts of the parts of prompts.
    pub(crate) fn sweep_parts(&mut self, now: Timestamp) {
        self.scheduler.quarantine().sweep(now);
    }

    /// Records that an engine has survived a request with the given shared parts.
    pub(crate) fn on_prompt_survived(&mut self, now: Timestamp, parts: &[u64]) {
        self.scheduler.quarantine().on_answered(now, parts);
    }

    /// Adds the crashes of which another host has told.
    pub fn on_crashes_shared(&mut self, now: Timestamp, crashes: &[PartCrash]) {
        self.scheduler.on_crashes_shared(now, crashes);
    }

    /// Records a complete response to a prompt: its parts do no harm.
    pub fn on_prompt_answered(&mut self, now: Timestamp, prompt: &Prompt) {
        let parts: Vec<_> = prompt.shared_parts().iter().map(|part| part.id).collect();
        self.scheduler.quarantine().on_answered(now, &parts);
    }

    /// What has changed since the last call about parts of prompts that make engines crash.
    pub fn take_quarantine_changes(&mut self) -> Vec<QuarantineChange> {
        self.scheduler.quarantine().take_changes()
    }

    /// Records a report of the scheduler at `from` on its shards of a service.
    pub fn on_shares(&mut self, now: Timestamp, from: SocketAddr, service: u64, shards: ShardWork) {
        self.scheduler.on_shares(now, from, service, shards);
    }

    /// Reports for other schedulers: by service, the number of its shards, and the work at the shards of this
    /// host together with what the host has refused by itself.
    pub fn shares_to_send(&mut self, now: Timestamp) -> Vec<(u64, u32, ShardWork)> {
        for ((service, workspace), tokens) in std::mem::take(&mut self.refused_tokens) {
            let keys = self.servers.of_service(&service).iter();
            let servers: Vec<_> = keys.filter_map(|key| self.servers.get(*key)).collect();
            let shard_count = Shard::of_session(0, servers.iter().map(|s| s.hash)).count;
            let (service, workspace) = share_key(&service, workspace.as_deref());
            self.scheduler
                .on_refused_by_host(now, service, shard_count, workspace, tokens);
        }
        self.scheduler.shares_to_send(now)
    }

    /// Counts a request as [`Self::place_scheduled_among`] does, at a server of one software version or
    /// of any.
    pub fn place_scheduled(
        &mut self,
        now: Timestamp,
        admitted: &Admitted,
        prompt: &Prompt,
        version: Option<VersionId>,
        server: u64,
        uncached_tokens: u32,
    ) -> Option<Placement> {
        let versions = version.map_or(VersionChoice::Any, VersionChoice::Only);
        self.place_scheduled_among(now, admitted, prompt, versions, server, uncached_tokens)
    }

    /// Counts a request at the server that a scheduler chose, and remembers the server for the
    /// session. `None` if this host may not use the server, or not for `versions`.
    pub fn place_scheduled_among(
        &mut self,
        now: Timestamp,
        admitted: &Admitted,
        prompt: &Prompt,
        versions: VersionChoice,
        server: u64,
        uncached_tokens: u32,
    ) -> Option<Placement> {
        let has_hash = |key: &ServerKey| self.servers.get(*key).is_some_and(|s| s.hash == server);
        let keys = self.servers.of_service(&admitted.service).iter().copied();
        let keys: Vec<_> = keys.filter(has_hash).collect();
        // The schedule request has excluded the servers that fail, so their rate is not needed here.
        let usable = self.usable_among(now, &admitted.service, versions, &[], &keys, 0.0);
        let key = usable.candidates.first()?.key;
        if let Some(session) = prompt.session() {
            self.session_affinity.set(now, session, server);
        }
        self.add_in_flight(now, key, uncached_tokens).ok()
    }

    /// The servers of [`Self::usable`], or a few of them while a version is tried with few requests.
    fn usable_of(
        &mut self,
        now: Timestamp,
        service: &CompactString,
        versions: VersionChoice,
        tried: &[ServerKey],
    ) -> Usable {
        let mut usable = self.usable(now, service, versions, tried);
        let VersionChoice::Only(version) = versions else {
            return usable;
        };
        let servers = self.servers.of_service(service).iter();
        let servers = servers.filter_map(|key| self.servers.get(*key));
        let others = servers.filter(|server| server.version != version).count();
        let hash = xxh3_64(service.as_bytes());
        if let Some(count) = self.rollouts.trial_servers(hash, version, others) {
            // All hosts choose the same ones.
            usable.candidates.sort_unstable_by_key(|c| c.hash);
            usable.candidates.truncate(count);
        }
        usable
    }

    /// Servers of a service, other than those in `tried`, that may get a request now: their software
    /// version is one of `versions` and may be used, they are
    /// available and reachable, they have not asked this host for a pause, their failure domain
    /// (zone) is in service, and this host has not used up its share of their connections or of their cold start limit. Each request in flight
    /// counts as one connection.
    fn usable(
        &mut self,
        now: Timestamp,
        service: &CompactString,
        versions: VersionChoice,
        tried: &[ServerKey],
    ) -> Usable {
        let keys = self.servers.of_service(service).to_vec();
        let rates: Vec<f64> = keys
            .iter()
            .filter_map(|key| self.servers.get(*key)?.failures.rate(now))
            .collect();
        self.usable_among(now, service, versions, tried, &keys, median(rates))
    }

    /// Those of the servers `keys` that are usable as [`Self::usable`] says. `service_rate` is the usual
    /// failure rate of the service's servers.
    fn usable_among(
        &mut self,
        now: Timestamp,
        service: &CompactString,
        versions: VersionChoice,
        tried: &[ServerKey],
        keys: &[ServerKey],
        service_rate: f64,
    ) -> Usable {
        let service_hash = xxh3_64(service.as_bytes());
        let spec = self.config.as_ref().and_then(|c| c.services.get(service));
        // Requests to engines are limited by their schedulers.
        let is_plain = spec.is_none_or(|spec| spec.engine.is_none());
        // Requests per second to a server in its cold start, 0 if the servers have no cold start.
        let cold_rate = spec.map_or(0.0, |spec| spec.cold_rate);
        let connections = spec.map_or(u32::MAX, |spec| spec.connections_max);
        let hosts = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX).max(1);
        // The hosts divide the connections that a server accepts evenly.
        let connections_per_host = (connections / hosts).max(1);
        let mut usable = Usable {
            candidates: Vec::with_capacity(keys.len()),
            has_cold: false,
            first_resume_at: None,
            has_limited: false,
            first_room_at: None,
        };
        for &key in keys {
            let Some(server) = self.servers.get_mut(key) else {
                continue;
            };
            let (version, seen_at) = (server.version, server.version_seen_at);
            let exposure = self.rollouts.exposure();
            let is_usable = versions.accepts(version)
                && exposure.allows(now, service_hash, version, seen_at)
                && server.is_available(now)
                && server.reachability.allows_requests(now)
                && server.load.requests < connections_per_host
                && !tried.contains(&key)
                && !self.evacuated.contains(&server.entry.domain);
            if !is_usable {
                continue;
            }
            if server.is_paused(now) {
                let resume_at = server.run.paused_until;
                let first = usable.first_resume_at.unwrap_or(resume_at);
                usable.first_resume_at = Some(first.min(resume_at));
                continue;
            }
            if server.is_cold(now) && cold_rate > 0.0 {
                let hash = server.hash;
                // Requests that remain after an even division go to hosts picked by the hashes of
                // host and server. `bounds` says how far the hosts together may exceed the rate.
                let share = cold_share(cold_rate, &self.bounds, &self.hosts, self.own_hash, hash);
                if !server.cold_start_limiter.has_room(now, share) {
                    usable.has_cold = true;
                    continue;
                }
            }
            if is_plain && let Some(rate) = server.rate_limit(now) {
                let share = rate_limit_share(rate, &self.hosts, self.own_hash, server.hash);
                if server.sent_while_limited.count(now) >= share {
                    usable.has_limited = true;
                    let room_at = server.sent_while_limited.next_expiry();
                    let first = usable.first_room_at.or(room_at);
                    usable.first_room_at = first.min(room_at.or(first));
                    continue;
                }
            }
            usable.candidates.push(Candidate {
                key,
                hash: server.hash,
                slots: server.entry.slots,
                requests: server.load.requests,
                is_local: server.entry.domain == self.own.domain,
                is_failing: is_failing(server.failures.rate(now), service_rate),
                rejected_fraction: server.slot_evidence.rejected_fraction(now),
                usual_time: server.slot_evidence.usual_time(),
            });
        }
        usable
    }

    /// The next number of a sequence that is spread evenly over 0 to 1, without 1, and differs between
    /// hosts.
    fn next_point(&mut self) -> f64 {
        self.points_drawn += 1;
        let hash = xxh3_64_with_seed(&self.points_drawn.to_le_bytes(), self.own_hash);
        // As many bits as the number holds exactly.
        (hash >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Counts a request at a server and records it as in flight.
    fn add_in_flight(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        uncached_tokens: u32,
    ) -> Result<Placement, Refusal> {
        let server = self
            .servers
            .get_mut(key)
            .ok_or_else(|| Refusal::with_retry_after(Reason::NoServer, SERVER_RETRY_AFTER))?;
        server.load.requests += 1;
        // Counted outside a cold start too, since this host may learn only later that the server
        // had restarted.
        server.cold_start_limiter.on_sent(now);
        if server.rate_limit(now).is_some() {
            server.sent_while_limited.add(now);
        }
        let (entry, run, version) = (server.entry.clone(), server.run_hash(), server.version);
        Ok(Placement {
            flight: self.in_flight.insert(InFlight {
                server: key,
                placed_at: now,
            }),
            server: key,
            run,
            version,
            entry,
            uncached_tokens,
        })
    }
}
