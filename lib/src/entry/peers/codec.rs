//! Encodes and decodes the datagrams between entry hosts, as packed Cap'n Proto messages.
//!
//! An entry host is a reverse proxy that forwards callers' requests to backend servers. Before it
//! sends a request to a model, it asks a scheduler, which runs on one of the hosts, when and on
//! which server the request may start. The scheduler makes a reservation for the request, by which
//! its progress is reported. Some fields have other names in the messages than here: `is_returning`
//! is `is_caller_retry`, `unread_tokens` is `uncached_tokens` and `begun_after` is the time in
//! `ResponseStarted`.

use std::time::Duration;

use capnp::message::Builder;
use capnp::message::ReaderOptions;
use capnp::serialize_packed;
use snafu::ResultExt;
use snafu::Snafu;

use super::rollout_codec::read_rollout_permit;
use super::rollout_codec::read_rollout_report;
use super::rollout_codec::write_rollout_permit;
use super::rollout_codec::write_rollout_report;
use super::schedule_capnp::bid;
use super::schedule_capnp::datagram;
use super::schedule_capnp::origin_reply;
use super::schedule_capnp::part_crash;
use super::schedule_capnp::progress;
use super::schedule_capnp::request_crash;
use super::schedule_capnp::server_limit;
use super::schedule_capnp::share;
use super::schedule_capnp::shares;
use super::schedule_capnp::stream_origin;
use super::schedule_capnp::suspect_request;
use super::schedule_capnp::verdict;
use crate::crashing::RequestCrash;
use crate::crashing::RequestDigest;
use crate::crashing::SuspectRequest;
use crate::entry::dialect::PromptPart;
use crate::entry::rate_limit::ServerLimit;
use crate::entry::rollout::RolloutPermit;
use crate::entry::rollout::RolloutReport;
use crate::entry::schedule::PartCrash;
use crate::entry::schedule::Progress;
use crate::entry::schedule::ProgressStep;
use crate::entry::schedule::ReservationId;
use crate::entry::schedule::ScheduleDecision;
use crate::entry::schedule::ScheduleRequest;
use crate::entry::schedule::Shard;
use crate::entry::schedule::ShardWork;
use crate::entry::schedule::WorkspaceWork;
use crate::entry::stream_origins::KnownOrigin;
use crate::entry::stream_origins::StreamKey;
use crate::entry::stream_origins::StreamOrigin;
use crate::entry::stream_origins::VersionId;

/// Most words (8 bytes each) that are read from one datagram, so that a malformed one cannot take
/// much time. The largest valid one, a schedule request that excludes all servers of a service, has
/// a small fraction of this.
const TRAVERSAL_LIMIT_WORDS: usize = 16 << 10;

/// A datagram between entry hosts. The variants have the names of the messages in
/// `lib/schema/schedule.capnp`.
#[derive(Clone, Debug, PartialEq)]
pub enum Datagram {
    /// A schedule request: asks a scheduler for a decision on a request to a model.
    Bid {
        /// Identifier chosen by the asking host; the reply carries it.
        id: u64,
        /// The request to be scheduled.
        request: ScheduleRequest,
        /// Crashes that the asking host knows of.
        crashes: Vec<PartCrash>,
        /// Limits that engines have named to the asking host.
        limits: Vec<ServerLimit>,
    },
    /// Reply of a scheduler: its decision.
    Verdict {
        /// Identifier of the schedule request.
        id: u64,
        /// Where and when to send the request, or a refusal.
        decision: ScheduleDecision,
        /// Crashes that the scheduler knows of.
        crashes: Vec<PartCrash>,
    },
    /// Progress of scheduled requests, reported to the scheduler that made their reservations.
    Progress(Vec<Progress>),
    /// Reply of a host that is stopping and no longer schedules.
    Leaving {
        /// Identifier of the schedule request.
        id: u64,
    },
    /// Recent work of workspaces at the shards of the sending scheduler, for the schedulers of the
    /// service's other shards.
    Shares {
        /// Hash of the name of the service.
        service: u64,
        /// Work and contention.
        shards: ShardWork,
    },
    /// What the sending host knows of requests under which servers have crashed.
    SuspectRequests(Vec<SuspectRequest>),
    /// A stream has begun at the sending host.
    Origin(StreamOrigin),
    /// Asks where a stream began.
    OriginRequest {
        /// Identifier chosen by the asking host; the reply carries it.
        id: u64,
        /// The stream.
        key: StreamKey,
        /// Hash of the name of its service.
        service: u64,
        /// Tokens of a request that claims to continue the stream, 0 if it makes no claim.
        claimed_tokens: u64,
    },
    /// What the sending host knows of where a stream began.
    OriginReply {
        /// Identifier of the request.
        id: u64,
        /// What is known.
        origin: KnownOrigin,
        /// Whether the request has the claim to continue the stream.
        is_claimed: bool,
    },
    /// What the sending host has seen of the versions of a service during a roll-out.
    RolloutReport(RolloutReport),
    /// What the receiving host may send to servers of the version that is rolled out.
    RolloutPermit(RolloutPermit),
    /// Asks a host that did not reply whether it can schedule again.
    Probe,
    /// Reply of a host that can schedule.
    ProbeReply,
}

/// Why a datagram cannot be decoded.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum DatagramError {
    /// The bytes are not a valid Cap'n Proto message of the expected type.
    #[snafu(display("malformed datagram: {source}"))]
    Encoding {
        /// Error of the Cap'n Proto library.
        source: capnp::Error,
    },
    /// A union in the message has a variant that this version does not know; a newer host sent it.
    #[snafu(display("datagram of an unknown kind: {source}"))]
    Kind {
        /// Error of the Cap'n Proto library.
        source: capnp::NotInSchema,
    },
}

/// Encodes a datagram.
pub fn encode(message: &Datagram) -> Vec<u8> {
    let mut builder = Builder::new_default();
    let mut root = builder.init_root::<datagram::Builder<'_>>();
    match message {
        Datagram::Bid {
            id,
            request,
            crashes,
            limits,
        } => {
            let mut out = root.init_bid();
            out.set_id(*id);
            write_limits(limits, |count| out.reborrow().init_limits(count));
            write_crashes(crashes, |count| out.reborrow().init_crashes(count));
            write_schedule_request(out, request);
        }
        Datagram::Verdict {
            id,
            decision,
            crashes,
        } => {
            let mut out = root.init_verdict();
            out.set_id(*id);
            write_crashes(crashes, |count| out.reborrow().init_crashes(count));
            write_schedule_decision(out, decision);
        }
        Datagram::Progress(list) => {
            let count = u32::try_from(list.len()).unwrap_or(u32::MAX);
            let mut out = root.init_progress(count);
            for (at, progress) in (0..count).zip(list) {
                write_progress(out.reborrow().get(at), progress);
            }
        }
        Datagram::Leaving { id } => root.set_leaving(*id),
        Datagram::Shares { service, shards } => {
            write_shares(root.init_shares(), *service, shards);
        }
        Datagram::SuspectRequests(list) => {
            let count = u32::try_from(list.len()).unwrap_or(u32::MAX);
            let mut out = root.init_suspect_requests(count);
            for (at, suspect) in (0..count).zip(list) {
                write_suspect(out.reborrow().get(at), suspect);
            }
        }
        Datagram::Origin(origin) => write_origin(root.init_origin(), origin),
        Datagram::OriginRequest {
            id,
            key,
            service,
            claimed_tokens,
        } => {
            let mut out = root.init_origin_request();
            out.set_id(*id);
            out.set_key(key.0);
            out.set_service(*service);
            out.set_claimed_tokens(*claimed_tokens);
        }
        Datagram::OriginReply {
            id,
            origin,
            is_claimed,
        } => {
            let mut out = root.init_origin_reply();
            out.set_id(*id);
            out.set_is_claimed(*is_claimed);
            write_known_origin(out, *origin);
        }
        Datagram::RolloutReport(report) => {
            write_rollout_report(root.init_rollout_report(), report);
        }
        Datagram::RolloutPermit(permit) => {
            write_rollout_permit(root.init_rollout_permit(), permit);
        }
        Datagram::Probe => root.set_probe(()),
        Datagram::ProbeReply => root.set_probe_reply(()),
    }
    let mut bytes = Vec::new();
    serialize_packed::write_message(&mut bytes, &builder).expect("writing to a Vec cannot fail");
    bytes
}

fn write_origin(mut out: stream_origin::Builder<'_>, origin: &StreamOrigin) {
    out.set_key(origin.key.0);
    out.set_version(origin.version.0);
    out.set_remaining(micros(origin.remaining));
    out.set_tokens(origin.tokens);
}

fn read_origin(origin: stream_origin::Reader<'_>) -> Datagram {
    Datagram::Origin(StreamOrigin {
        key: StreamKey(origin.get_key()),
        version: VersionId(origin.get_version()),
        remaining: Duration::from_micros(origin.get_remaining()),
        tokens: origin.get_tokens(),
    })
}

fn write_known_origin(mut out: origin_reply::Builder<'_>, origin: KnownOrigin) {
    match origin {
        KnownOrigin::Unknown => out.set_unknown(()),
        KnownOrigin::Version(version) => out.set_version(version.0),
        KnownOrigin::OnlyVersion(version) => out.set_only_version(version.0),
    }
}

fn read_known_origin(reply: origin_reply::Reader<'_>) -> Result<KnownOrigin, DatagramError> {
    Ok(match reply.which().context(KindSnafu)? {
        origin_reply::Unknown(()) => KnownOrigin::Unknown,
        origin_reply::Version(version) => KnownOrigin::Version(VersionId(version)),
        origin_reply::OnlyVersion(version) => KnownOrigin::OnlyVersion(VersionId(version)),
    })
}

fn write_schedule_request(mut out: bid::Builder<'_>, request: &ScheduleRequest) {
    out.set_service(request.service);
    out.set_shard_index(request.shard.index);
    out.set_shard_count(request.shard.count);
    out.set_workspace(request.workspace);
    out.set_domain(request.domain);
    out.set_input_tokens(request.input_tokens);
    out.set_output_tokens(request.output_tokens);
    out.set_until_objective(micros(request.until_objective));
    out.set_until_give_up(micros(request.until_give_up));
    out.set_rank(request.rank);
    out.set_is_returning(request.is_caller_retry);
    out.set_last_server(request.last_server);
    out.set_kind(request.kind);
    out.set_content(request.content);
    out.set_version(request.version.map_or(0, |version| version.0));
    out.set_except_version(request.except_version.map_or(0, |version| version.0));
    out.set_objective(micros(request.objective));
    out.set_continues_stream(request.continues_stream);
    out.set_was_refused(request.was_refused);
    out.set_refused_tokens(request.refused_tokens);
    let count = u32::try_from(request.shared_parts.len()).unwrap_or(u32::MAX);
    let mut parts = out.reborrow().init_shared_parts(count);
    for (at, part) in (0..count).zip(&request.shared_parts) {
        let mut out = parts.reborrow().get(at);
        out.set_id(part.id);
        out.set_tokens(part.tokens);
    }
    let count = u32::try_from(request.excluded.len()).unwrap_or(u32::MAX);
    let mut excluded = out.init_excluded(count);
    for (at, server) in (0..count).zip(&request.excluded) {
        excluded.set(at, *server);
    }
}

fn write_schedule_decision(mut out: verdict::Builder<'_>, decision: &ScheduleDecision) {
    match decision {
        ScheduleDecision::Start {
            reservation,
            server,
            send_after,
            uncached_tokens,
        } => {
            let mut out = out.init_start();
            out.set_epoch(reservation.epoch);
            out.set_number(reservation.number);
            out.set_server(*server);
            out.set_after(micros(*send_after));
            out.set_unread_tokens(*uncached_tokens);
        }
        ScheduleDecision::Refuse {
            retry_after,
            soonest,
            limit,
            is_over_share,
            tries_others,
        } => {
            let mut out = out.init_refusal();
            out.set_is_over_share(*is_over_share);
            out.set_retry_after(micros(*retry_after));
            out.set_soonest(micros(*soonest));
            out.set_limit(micros(*limit));
            out.set_tries_others(*tries_others);
        }
        ScheduleDecision::HoldBack { part, retry_after } => {
            let mut out = out.init_hold_back();
            out.set_part(*part);
            out.set_retry_after(micros(*retry_after));
        }
        ScheduleDecision::NoEngine => out.set_unknown(()),
    }
}

fn write_crashes<'a>(
    crashes: &[PartCrash],
    init: impl FnOnce(u32) -> capnp::struct_list::Builder<'a, part_crash::Owned>,
) {
    if crashes.is_empty() {
        return;
    }
    let count = u32::try_from(crashes.len()).unwrap_or(u32::MAX);
    let mut list = init(count);
    for (at, crash) in (0..count).zip(crashes) {
        let mut out = list.reborrow().get(at);
        out.set_part(crash.part);
        out.set_run(crash.run);
        out.set_content(crash.content);
        out.set_age(micros(crash.age));
        out.set_remaining(micros(crash.remaining));
        out.set_is_blamed(crash.is_blamed);
        out.set_was_trial(crash.was_trial);
    }
}

fn read_crashes(list: capnp::struct_list::Reader<'_, part_crash::Owned>) -> Vec<PartCrash> {
    let read = |crash: part_crash::Reader<'_>| PartCrash {
        part: crash.get_part(),
        run: crash.get_run(),
        content: crash.get_content(),
        age: Duration::from_micros(crash.get_age()),
        remaining: Duration::from_micros(crash.get_remaining()),
        is_blamed: crash.get_is_blamed(),
        was_trial: crash.get_was_trial(),
    };
    list.iter().map(read).collect()
}

fn write_limits<'a>(
    limits: &[ServerLimit],
    init: impl FnOnce(u32) -> capnp::struct_list::Builder<'a, server_limit::Owned>,
) {
    if limits.is_empty() {
        return;
    }
    let count = u32::try_from(limits.len()).unwrap_or(u32::MAX);
    let mut list = init(count);
    for (at, limit) in (0..count).zip(limits) {
        let mut out = list.reborrow().get(at);
        out.set_server(limit.server);
        out.set_run(limit.run);
        out.set_is_limited(limit.per_second.is_some());
        out.set_per_second(limit.per_second.unwrap_or(0.0));
        out.set_age(micros(limit.age));
    }
}

fn read_limits(list: capnp::struct_list::Reader<'_, server_limit::Owned>) -> Vec<ServerLimit> {
    let read = |limit: server_limit::Reader<'_>| ServerLimit {
        server: limit.get_server(),
        run: limit.get_run(),
        per_second: limit.get_is_limited().then_some(limit.get_per_second()),
        age: Duration::from_micros(limit.get_age()),
    };
    list.iter().map(read).collect()
}

fn write_shares(mut out: shares::Builder<'_>, service: u64, shards: &ShardWork) {
    out.set_service(service);
    out.set_contention(shards.contention);
    let count = u32::try_from(shards.work.len()).unwrap_or(u32::MAX);
    let mut list = out.init_workspaces(count);
    for (at, work) in (0..count).zip(&shards.work) {
        let mut out = list.reborrow().get(at);
        out.set_workspace(work.workspace);
        out.set_requested_tokens(work.requested_tokens);
        out.set_granted_tokens(work.granted_tokens);
    }
}

fn read_share(share: share::Reader<'_>) -> WorkspaceWork {
    WorkspaceWork {
        workspace: share.get_workspace(),
        requested_tokens: share.get_requested_tokens(),
        granted_tokens: share.get_granted_tokens(),
    }
}

fn write_suspect(mut out: suspect_request::Builder<'_>, suspect: &SuspectRequest) {
    out.set_workspace(suspect.digest.workspace);
    out.set_content(suspect.digest.content);
    out.set_is_answered(suspect.answered_age.is_some());
    out.set_answered_age(micros(suspect.answered_age.unwrap_or_default()));
    out.set_trial_remaining(micros(suspect.trial_remaining));
    let count = u32::try_from(suspect.crashes.len()).unwrap_or(u32::MAX);
    let mut list = out.init_crashes(count);
    for (at, crash) in (0..count).zip(&suspect.crashes) {
        let mut out = list.reborrow().get(at);
        out.set_run(crash.run);
        out.set_age(micros(crash.age));
        out.set_was_trial(crash.was_trial);
    }
}

fn read_suspect(suspect: suspect_request::Reader<'_>) -> Result<SuspectRequest, capnp::Error> {
    let crash = |crash: request_crash::Reader<'_>| RequestCrash {
        run: crash.get_run(),
        age: Duration::from_micros(crash.get_age()),
        was_trial: crash.get_was_trial(),
    };
    let answered_age = Duration::from_micros(suspect.get_answered_age());
    Ok(SuspectRequest {
        digest: RequestDigest {
            workspace: suspect.get_workspace(),
            content: suspect.get_content(),
        },
        crashes: suspect.get_crashes()?.iter().map(crash).collect(),
        answered_age: suspect.get_is_answered().then_some(answered_age),
        trial_remaining: Duration::from_micros(suspect.get_trial_remaining()),
    })
}

fn write_progress(mut out: progress::Builder<'_>, progress: &Progress) {
    out.set_epoch(progress.reservation.epoch);
    out.set_number(progress.reservation.number);
    match progress.step {
        ProgressStep::ResponseStarted { after, host_lag } => {
            out.set_begun_after(micros(after));
            out.set_host_lag(micros(host_lag));
        }
        ProgressStep::ServerLeaving { started_at_ms } => out.set_server_leaving(started_at_ms),
        ProgressStep::Unreachable => out.set_unreachable(()),
        ProgressStep::Failed => out.set_failed(()),
        ProgressStep::Broken => out.set_broken(()),
        ProgressStep::Silent => out.set_silent(()),
        ProgressStep::Survived => out.set_survived(()),
        ProgressStep::Answered => {
            out.set_ended(());
            out.set_is_answered(true);
        }
        ProgressStep::Ended => out.set_ended(()),
    }
}

/// Decodes a datagram.
///
/// # Errors
///
/// Fails if the bytes are malformed or of a kind that this version does not know.
pub fn decode(bytes: &[u8]) -> Result<Datagram, DatagramError> {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(TRAVERSAL_LIMIT_WORDS));
    let message = serialize_packed::read_message(bytes, options).context(EncodingSnafu)?;
    let root = message.get_root::<datagram::Reader<'_>>();
    let root = root.context(EncodingSnafu)?;
    match root.which().context(KindSnafu)? {
        datagram::Bid(bid) => {
            let bid = bid.context(EncodingSnafu)?;
            Ok(Datagram::Bid {
                id: bid.get_id(),
                crashes: read_crashes(bid.get_crashes().context(EncodingSnafu)?),
                limits: read_limits(bid.get_limits().context(EncodingSnafu)?),
                request: read_schedule_request(bid).context(EncodingSnafu)?,
            })
        }
        datagram::Verdict(verdict) => {
            let verdict = verdict.context(EncodingSnafu)?;
            Ok(Datagram::Verdict {
                id: verdict.get_id(),
                crashes: read_crashes(verdict.get_crashes().context(EncodingSnafu)?),
                decision: read_schedule_decision(verdict)?,
            })
        }
        datagram::Progress(list) => {
            let list = list.context(EncodingSnafu)?;
            let list: Result<_, _> = list.iter().map(read_progress).collect();
            Ok(Datagram::Progress(list?))
        }
        datagram::SuspectRequests(list) => {
            let list = list.context(EncodingSnafu)?;
            let list: Result<_, _> = list.iter().map(read_suspect).collect();
            Ok(Datagram::SuspectRequests(list.context(EncodingSnafu)?))
        }
        datagram::Origin(origin) => Ok(read_origin(origin.context(EncodingSnafu)?)),
        datagram::OriginRequest(request) => {
            let request = request.context(EncodingSnafu)?;
            Ok(Datagram::OriginRequest {
                id: request.get_id(),
                key: StreamKey(request.get_key()),
                service: request.get_service(),
                claimed_tokens: request.get_claimed_tokens(),
            })
        }
        datagram::OriginReply(reply) => {
            let reply = reply.context(EncodingSnafu)?;
            Ok(Datagram::OriginReply {
                id: reply.get_id(),
                origin: read_known_origin(reply)?,
                is_claimed: reply.get_is_claimed(),
            })
        }
        datagram::Probe(()) => Ok(Datagram::Probe),
        datagram::ProbeReply(()) => Ok(Datagram::ProbeReply),
        datagram::Leaving(id) => Ok(Datagram::Leaving { id }),
        datagram::RolloutReport(report) => {
            let report = report.and_then(read_rollout_report);
            Ok(Datagram::RolloutReport(report.context(EncodingSnafu)?))
        }
        datagram::RolloutPermit(permit) => {
            let permit = permit.context(EncodingSnafu)?;
            Ok(Datagram::RolloutPermit(read_rollout_permit(permit)?))
        }
        datagram::Shares(shares) => {
            let shares = shares.context(EncodingSnafu)?;
            let work = shares.get_workspaces().context(EncodingSnafu)?;
            Ok(Datagram::Shares {
                service: shares.get_service(),
                shards: ShardWork {
                    contention: shares.get_contention(),
                    work: work.iter().map(read_share).collect(),
                },
            })
        }
    }
}

fn read_schedule_request(bid: bid::Reader<'_>) -> Result<ScheduleRequest, capnp::Error> {
    let parts = bid.get_shared_parts()?.iter().map(|part| PromptPart {
        id: part.get_id(),
        tokens: part.get_tokens(),
    });
    Ok(ScheduleRequest {
        service: bid.get_service(),
        shard: Shard {
            index: bid.get_shard_index(),
            count: bid.get_shard_count(),
        },
        workspace: bid.get_workspace(),
        domain: bid.get_domain(),
        input_tokens: bid.get_input_tokens(),
        output_tokens: bid.get_output_tokens(),
        shared_parts: parts.collect(),
        until_objective: Duration::from_micros(bid.get_until_objective()),
        until_give_up: Duration::from_micros(bid.get_until_give_up()),
        rank: bid.get_rank(),
        is_caller_retry: bid.get_is_returning(),
        last_server: bid.get_last_server(),
        kind: bid.get_kind(),
        content: bid.get_content(),
        version: Some(bid.get_version())
            .filter(|version| *version != 0)
            .map(VersionId),
        except_version: Some(bid.get_except_version())
            .filter(|version| *version != 0)
            .map(VersionId),
        objective: Duration::from_micros(bid.get_objective()),
        continues_stream: bid.get_continues_stream(),
        was_refused: bid.get_was_refused(),
        refused_tokens: bid.get_refused_tokens(),
        excluded: bid.get_excluded()?.iter().collect(),
    })
}

fn read_schedule_decision(verdict: verdict::Reader<'_>) -> Result<ScheduleDecision, DatagramError> {
    Ok(match verdict.which().context(KindSnafu)? {
        verdict::Start(start) => {
            let start = start.context(EncodingSnafu)?;
            ScheduleDecision::Start {
                reservation: ReservationId {
                    epoch: start.get_epoch(),
                    number: start.get_number(),
                },
                server: start.get_server(),
                send_after: Duration::from_micros(start.get_after()),
                uncached_tokens: start.get_unread_tokens(),
            }
        }
        verdict::Refusal(refusal) => {
            let refusal = refusal.context(EncodingSnafu)?;
            ScheduleDecision::Refuse {
                retry_after: Duration::from_micros(refusal.get_retry_after()),
                soonest: Duration::from_micros(refusal.get_soonest()),
                limit: Duration::from_micros(refusal.get_limit()),
                is_over_share: refusal.get_is_over_share(),
                tries_others: refusal.get_tries_others(),
            }
        }
        verdict::HoldBack(held) => {
            let held = held.context(EncodingSnafu)?;
            ScheduleDecision::HoldBack {
                part: held.get_part(),
                retry_after: Duration::from_micros(held.get_retry_after()),
            }
        }
        verdict::Unknown(()) => ScheduleDecision::NoEngine,
    })
}

fn read_progress(progress: progress::Reader<'_>) -> Result<Progress, DatagramError> {
    let step = match progress.which().context(KindSnafu)? {
        progress::BegunAfter(after) => ProgressStep::ResponseStarted {
            after: Duration::from_micros(after),
            host_lag: Duration::from_micros(progress.get_host_lag()),
        },
        progress::ServerLeaving(started_at_ms) => ProgressStep::ServerLeaving { started_at_ms },
        progress::Unreachable(()) => ProgressStep::Unreachable,
        progress::Failed(()) => ProgressStep::Failed,
        progress::Broken(()) => ProgressStep::Broken,
        progress::Silent(()) => ProgressStep::Silent,
        progress::Survived(()) => ProgressStep::Survived,
        progress::Ended(()) if progress.get_is_answered() => ProgressStep::Answered,
        progress::Ended(()) => ProgressStep::Ended,
    };
    Ok(Progress {
        reservation: ReservationId {
            epoch: progress.get_epoch(),
            number: progress.get_number(),
        },
        step,
    })
}

/// Whole microseconds of a duration, the unit of all durations in datagrams.
pub(super) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
