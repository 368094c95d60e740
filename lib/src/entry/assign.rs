//! Assigns a backend server to a request of a caller and counts the request there.
//!
//! An entry host is a reverse proxy that forwards callers' requests to backend servers.
//!
//! A service is a group of interchangeable servers. For a request to a plain service, that is one
//! that runs no model, this host chooses the server by itself. The engines (servers that run a
//! model) are shared by all hosts, so for a request to a model this host sends a schedule request
//! to the scheduler of a shard (a part of the service's engines), which runs on one of the hosts.
//! The scheduler's decision names a server and a time to wait before sending, refuses the request,
//! or states that the shard has no usable engine.

use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::attempt::InFlightRequest;
use super::forward::Call;
use super::host::EntryHost;
use super::peers::Asking;
use super::peers::Link;
use super::refusal::Reason;
use super::refusal::Refusal;
use super::request_placement::Placement;
use super::rollout::RolloutState;
use super::rollout::VersionChoice;
use super::schedule::SearchStep;
use super::schedule::ShardSearch;
use super::servers::ServerKey;
use super::take_up::ContinuedStream;

/// Retry time given to callers when their request was not sent, because no server could be reached
/// or found, or because this host has reached its limit of connections. It is about the first
/// backoff after a failed connection to a server.
pub(crate) const UNSENT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// A server chosen for a request, which is already counted there and may be sent.
pub(crate) struct Assignment {
    /// The server.
    pub(crate) placed: Placement,
    /// The request counts at the server until this is dropped.
    pub(crate) in_flight: InFlightRequest,
}

/// A choice of the version that is rolled out for a request. If the request is not sent to a server of
/// that version, the choice is taken back when this is dropped.
struct TargetChoice<'a> {
    host: &'a EntryHost,
    service: u64,
    is_used: bool,
}

impl Drop for TargetChoice<'_> {
    fn drop(&mut self) {
        if !self.is_used {
            let mut fleet = self.host.fleet();
            fleet.rollouts().exposure().on_unused(self.service);
        }
    }
}

/// Chooses a server for a request, other than those in `tried`. A `stream` that the request continues may
/// only go on at a server of the software version that began it. For a request to a model this waits for
/// the scheduler's decision and then until the time at which the request may be sent.
///
/// # Errors
///
/// The refusal to send to the caller: no usable server, refused by the scheduler, or the deadline
/// has passed.
pub(crate) async fn assign_server(
    host: &Arc<EntryHost>,
    call: &Call,
    stream: Option<&ContinuedStream>,
    tried: &[ServerKey],
) -> Result<Assignment, Refusal> {
    let version = stream.map(|stream| stream.version);
    let now = host.clock.now();
    let admitted = &call.admitted;
    let is_retry = !tried.is_empty();
    let versions = host
        .fleet()
        .choose_versions(now, admitted, version, is_retry);
    let (None, VersionChoice::Only(target)) = (version, versions) else {
        return assign_of(host, call, versions, stream, tried).await;
    };
    let service = xxh3_64(admitted.service.as_bytes());
    let mut choice = TargetChoice {
        host: host.as_ref(),
        service,
        is_used: false,
    };
    let assignment = assign_of(host, call, versions, stream, tried).await;
    choice.is_used = assignment.is_ok();
    drop(choice);
    let state = host.fleet().rollouts().exposure().state(service);
    match assignment {
        // No server of the target version can take the request; those of others still do.
        Err(_) if state != Some(RolloutState::Completed) => {
            assign_of(host, call, VersionChoice::Except(target), stream, tried).await
        }
        assignment => assignment,
    }
}

/// Like [`assign_server`], for a request to a plain service.
fn assign_plain(
    host: &Arc<EntryHost>,
    call: &Call,
    versions: VersionChoice,
    tried: &[ServerKey],
) -> Result<Assignment, Refusal> {
    let now = host.clock.now();
    let admitted = &call.admitted;
    if admitted.give_up_at.has_passed(now) {
        return Err(Refusal::new(Reason::ExpiredUnsent));
    }
    let (placed, sent, traffic) = {
        let mut fleet = host.fleet();
        fleet.check_request(now, call.digest)?;
        let placed = fleet.place_among(now, &admitted.service, versions, tried)?;
        let sent = fleet.on_sent(now, call.digest, &placed, admitted.give_up_at);
        let traffic = fleet.on_version_sent(now, admitted, &placed);
        (placed, sent, traffic)
    };
    let in_flight = InFlightRequest::new(host.clone(), placed.flight, sent, None, traffic);
    Ok(Assignment { placed, in_flight })
}

/// Like [`assign_server`], for servers of the given versions.
async fn assign_of(
    host: &Arc<EntryHost>,
    call: &Call,
    versions: VersionChoice,
    stream: Option<&ContinuedStream>,
    tried: &[ServerKey],
) -> Result<Assignment, Refusal> {
    let Some(prompt) = &call.head.prompt else {
        return assign_plain(host, call, versions, tried);
    };
    // Hashes of the servers that the scheduler chose and this host could not use.
    let mut unusable = Vec::new();
    let mut search = ShardSearch::default();
    let mut asking = Asking::new(call.admitted.give_up_at);
    loop {
        let now = host.clock.now();
        if call.admitted.give_up_at.has_passed(now) {
            return Err(Refusal::new(Reason::ExpiredUnsent));
        }
        let mut request = {
            let mut fleet = host.fleet();
            fleet.check_request(now, call.digest)?;
            fleet.schedule_request_among(
                now,
                &call.admitted,
                prompt,
                call.digest,
                versions,
                tried,
            )?
        };
        if let Some(stream) = stream {
            stream.direct(&mut request);
        }
        request.excluded.extend(&unusable);
        search.direct(&mut request);
        let Some((decision, scheduler)) = host.link.decide(host, &request, &mut asking).await
        else {
            return Err(Refusal::new(Reason::ExpiredUnsent));
        };
        let (reservation, server, send_after, uncached) =
            match search.on_decision(decision, request.shard.count) {
                SearchStep::Start {
                    reservation,
                    server,
                    send_after,
                    uncached_tokens,
                } => (reservation, server, send_after, uncached_tokens),
                SearchStep::AskNext => continue,
                SearchStep::Refuse(refusal) => return Err(refusal),
            };
        let parts = request.shared_ids().collect();
        let mut scheduled = Link::scheduled(host, scheduler, reservation, parts);
        if !send_after.is_zero() {
            tokio::time::sleep(send_after).await;
        }
        let now = host.clock.now();
        scheduled.on_sent(now);
        let placed = {
            let mut fleet = host.fleet();
            // A repeat may have ended its server meanwhile.
            fleet.check_request(now, call.digest)?;
            let admitted = &call.admitted;
            let placed =
                fleet.place_scheduled_among(now, admitted, prompt, versions, server, uncached);
            placed.map(|placed| {
                let sent = fleet.on_sent(now, call.digest, &placed, admitted.give_up_at);
                let traffic = fleet.on_version_sent(now, admitted, &placed);
                (placed, sent, traffic)
            })
        };
        if let Some((placed, sent, traffic)) = placed {
            let flight = placed.flight;
            let in_flight =
                InFlightRequest::new(host.clone(), flight, sent, Some(scheduled), traffic);
            return Ok(Assignment { placed, in_flight });
        }
        // The scheduler chose a server that this host cannot use. Dropping `scheduled` releases the
        // reservation there; the next schedule request excludes the server.
        unusable.push(server);
    }
}
