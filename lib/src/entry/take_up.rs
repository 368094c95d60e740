//! Finds the software version at which a stream began that a caller takes up, and whether it was admitted
//! then, and tells other hosts of the streams that begin here. What is known and decided is in `stream_origins`.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use log::info;
use xxhash_rust::xxh3::xxh3_64;

use super::config::RetryPolicy;
use super::dialect::Prompt;
use super::fleet::Fleet;
use super::forward::Call;
use super::forward::millis;
use super::host::EntryHost;
use super::peers::OriginQuestion;
use super::refusal::Reason;
use super::refusal::Refusal;
use super::request_placement::Placement;
use super::schedule::ScheduleRequest;
use super::stream_origins::Claimant;
use super::stream_origins::KnownOrigin;
use super::stream_origins::OriginSearch;
use super::stream_origins::RETENTION_MAX;
use super::stream_origins::StreamKey;
use super::stream_origins::StreamOrigin;
use super::stream_origins::VersionId;
use crate::time::Timestamp;

impl Fleet {
    /// Records that a stream of `tokens` has begun here. Returns what to tell other hosts.
    pub fn on_stream_started(
        &mut self,
        now: Timestamp,
        key: StreamKey,
        version: VersionId,
        tokens: u64,
        give_up_at: Timestamp,
    ) -> StreamOrigin {
        self.stream_origins
            .on_started(now, key, version, tokens, give_up_at)
    }

    /// Records at a home of a stream that it has begun.
    pub fn on_stream_told(&mut self, now: Timestamp, origin: &StreamOrigin) {
        self.stream_origins.on_told(now, origin);
    }

    /// Whether a request of `tokens` has the claim to continue a stream, as far as this host decides.
    pub fn claim_stream(
        &mut self,
        now: Timestamp,
        key: StreamKey,
        claimant: Claimant,
        tokens: u64,
    ) -> bool {
        tokens > 0 && self.stream_origins.claim(now, key, claimant, tokens)
    }

    /// What this host knows of the version at which a stream of a service began. `key` is `None` if its
    /// caller does not name it.
    pub fn stream_origin(
        &self,
        now: Timestamp,
        key: Option<StreamKey>,
        service: u64,
    ) -> KnownOrigin {
        if let Some(version) = key.and_then(|key| self.stream_origins.version(key)) {
            return KnownOrigin::Version(version);
        }
        let longest = self.longest_stream();
        let only = self.version_history.only_version(now, service, longest);
        only.map_or(KnownOrigin::Unknown, KnownOrigin::OnlyVersion)
    }

    /// Records the versions of the known servers.
    pub(super) fn record_versions(&mut self, now: Timestamp) {
        let lag = self.bounds.config_lag;
        let is_current = self
            .servers_confirmed_at
            .is_some_and(|at| now.since(at) < lag);
        let servers = self.servers.iter().map(|(_, server)| {
            let service = xxh3_64(server.entry.service.as_bytes());
            (service, server.version)
        });
        self.version_history.record(now, is_current, servers);
        let longest = self.longest_stream();
        self.version_history.sweep(now, longest);
        self.stream_origins.sweep(now);
    }

    /// Longest time from the first attempt of a caller to its last one. No caller can make it longer than
    /// streams are remembered.
    fn longest_stream(&self) -> Duration {
        let deadlines = self.longest_deadlines.values().copied();
        let config = self.config.as_ref();
        let by_route = config.map_or(Duration::ZERO, |config| config.longest_timeout());
        deadlines.fold(by_route, Duration::max).min(RETENTION_MAX)
    }
}

/// The stream that a request continues.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ContinuedStream {
    /// Software version that began the stream.
    pub(crate) version: VersionId,
    /// Whether the stream is known to have been admitted when it began. Otherwise it is scheduled like a new
    /// request.
    pub(crate) is_admitted: bool,
    /// Identifier of the last event that the caller received.
    pub(crate) last_event: Option<CompactString>,
}

impl ContinuedStream {
    /// Makes a schedule request ask for the rest of the stream.
    pub(crate) fn direct(&self, request: &mut ScheduleRequest) {
        request.version = Some(self.version);
        request.continues_stream = self.is_admitted;
        if self.is_admitted {
            request.output_tokens = self.remaining_tokens(request.output_tokens);
        }
    }

    /// Estimate of the tokens that are left of a response of `output_tokens`. Servers number the events of a
    /// stream, and each event holds a token or more. All tokens are left if the identifier is no number.
    fn remaining_tokens(&self, output_tokens: u32) -> u32 {
        let received = self.last_event.as_ref().and_then(|id| id.parse().ok());
        output_tokens.saturating_sub(received.unwrap_or(0)).max(1)
    }
}

/// The stream that a request continues, `None` for a request that begins one.
///
/// # Errors
///
/// A refusal if the request continues a stream, and no host knows at which version it began.
pub(crate) async fn continued_stream(
    host: &Arc<EntryHost>,
    call: &Call,
) -> Result<Option<ContinuedStream>, Refusal> {
    let is_resumable = call.admitted.route.retry_policy == RetryPolicy::ResumableStream;
    if !is_resumable || call.head.resumes_after.is_none() {
        return Ok(None);
    }
    let key = call.stream_key();
    let service = xxh3_64(call.admitted.service.as_bytes());
    let now = host.clock.now();
    let own = host.fleet().stream_origin(now, key, service);
    let mut search = OriginSearch::default();
    let own_version = search.on_answer(own);
    let claimed_tokens = match (key, &call.head.prompt) {
        (Some(_), Some(prompt)) => prompt.work_tokens(),
        // Only requests to models are charged to their workspaces.
        _ => 0,
    };
    let continued = |version, is_admitted| ContinuedStream {
        version,
        is_admitted,
        last_event: call.head.resumes_after.clone(),
    };
    let own_only = search.only_version().filter(|_| key.is_none());
    if let Some(version) = own_version.filter(|_| claimed_tokens == 0).or(own_only) {
        return Ok(Some(continued(version, false)));
    }
    let question = OriginQuestion {
        // Without a key others can still tell that there is a single version.
        key: key.unwrap_or_default(),
        service,
        claimed_tokens,
    };
    let (found, is_admitted) = host
        .link
        .find_origin(
            host,
            call.admitted.give_up_at,
            question,
            own_version,
            &mut search,
        )
        .await;
    let version = found.or(search.only_version());
    info!(target: "request", id = call.head.id.as_str(), resumes = call.head.resumes.as_deref(),
        is_known = found.is_some(), is_single_version = search.only_version().is_some(),
        is_admitted = is_admitted, ms = millis(host.clock.now().since(now));
        "asked other hosts where stream began");
    let outcome = match (version, is_admitted) {
        (None, _) => "unknown",
        (Some(_), false) => "as_new",
        (Some(_), true) => "admitted",
    };
    host.stats
        .streams_taken_up
        .with_label_values(&[outcome])
        .inc();
    match version {
        Some(version) => Ok(Some(continued(version, is_admitted))),
        None => Err(Refusal::new(Reason::UnknownStreamVersion)),
    }
}

/// Tells other hosts where a stream began, before its first event is forwarded.
pub(crate) async fn tell_stream_origin(host: &Arc<EntryHost>, call: &Call, placed: &Placement) {
    if call.admitted.route.retry_policy != RetryPolicy::ResumableStream {
        return;
    }
    let attempt = call.head.id.as_str();
    let workspace = call.admitted.workspace.as_deref();
    let key = call
        .stream_key()
        .unwrap_or_else(|| StreamKey::new(workspace, attempt));
    let now = host.clock.now();
    let give_up_at = call.head.deadline.unwrap_or(call.admitted.give_up_at);
    let tokens = call.head.prompt.as_ref().map_or(0, Prompt::work_tokens);
    let origin = host
        .fleet()
        .on_stream_started(now, key, placed.version, tokens, give_up_at);
    host.link.tell_origin(host, &origin).await;
}
