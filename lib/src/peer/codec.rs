//! Conversion of messages between the types of [`crate::message`] and the Cap'n Proto schema
//! `peer.capnp`.

use capnp::struct_list;
use snafu::ResultExt;
use snafu::Snafu;

use super::peer_capnp;
use super::peer_capnp::message;
use crate::id::DomainId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::id::ServerId;
use crate::id::ServiceId;
use crate::id::WorkspaceId;
use crate::message::Announcement;
use crate::message::BacklogEntry;
use crate::message::Bid;
use crate::message::ConfigurationRequest;
use crate::message::ConfigurationUpdate;
use crate::message::EndOutcome;
use crate::message::Finding;
use crate::message::Finished;
use crate::message::Grant;
use crate::message::GrantReturn;
use crate::message::Handover;
use crate::message::Health;
use crate::message::Heartbeat;
use crate::message::PeerMessage;
use crate::message::PermitAnswer;
use crate::message::PermitHoldings;
use crate::message::PermitRelease;
use crate::message::PermitRequest;
use crate::message::Progress;
use crate::message::Pull;
use crate::message::Refusal;
use crate::message::RefusalReason;
use crate::message::Running;
use crate::message::ServerPhase;
use crate::message::ServerSight;
use crate::message::Summary;
use crate::message::TotalCell;
use crate::message::Totals;
use crate::message::Withdrawal;

/// Estimated size of an encoded message without its lists, bytes.
const MESSAGE_BASE_BYTES: usize = 128;
/// Estimated size of an element of any list, bytes.
const ELEMENT_BYTES: usize = 80;

/// Reason for which a message cannot be decoded.
#[derive(Debug, Snafu)]
pub(crate) enum CodecError {
    /// The message does not follow the schema.
    #[snafu(display("malformed message: {source}"))]
    Malformed { source: capnp::Error },
    /// The message is of a kind, or has a value of an enumeration, that this version of the schema
    /// lacks.
    #[snafu(display("unknown message kind or enumeration value {}", source.0))]
    Unknown { source: capnp::NotInSchema },
}

type Result<T> = std::result::Result<T, CodecError>;

/// Upper estimate of the encoded size of a message, bytes. The queue uses it for its limits,
/// because the actual size is known only after encoding.
pub(crate) fn encoded_bytes(message: &PeerMessage) -> usize {
    let elements = match message {
        PeerMessage::Announcement(m) => {
            m.bids.len() + m.running.len() + m.sights.len() + m.totals.len()
        }
        PeerMessage::Totals(m) => m.cells.len(),
        PeerMessage::Summary(m) => m.backlog.len(),
        PeerMessage::Handover(m) => m.bids.len(),
        PeerMessage::Findings(m) => m.len(),
        PeerMessage::PermitHoldings(m) => m.held.len(),
        _ => 0,
    };
    let document = match message {
        PeerMessage::ConfigurationUpdate(m) => m.document.len(),
        _ => 0,
    };
    MESSAGE_BASE_BYTES + elements * ELEMENT_BYTES + document
}

/// Encodes a message into a builder of the schema.
pub(crate) fn encode(message: &PeerMessage, to: message::Builder<'_>) {
    match message {
        PeerMessage::Heartbeat(m) => encode_heartbeat(m, to.init_heartbeat()),
        PeerMessage::Bid(m) => encode_bid(m, to.init_bid()),
        PeerMessage::Withdrawal(m) => encode_withdrawal(m, to.init_withdrawal()),
        PeerMessage::Grant(m) => encode_grant(m, to.init_grant()),
        PeerMessage::Refusal(m) => encode_refusal(m, to.init_refusal()),
        PeerMessage::GrantReturn(m) => encode_grant_return(m, to.init_grant_return()),
        PeerMessage::Finished(m) => encode_finished(m, to.init_finished()),
        PeerMessage::Progress(m) => encode_progress(m, to.init_progress()),
        PeerMessage::Announcement(m) => encode_announcement(m, to.init_announcement()),
        PeerMessage::PermitRequest(m) => {
            encode_permit(m.request, m.server, m.slot, to.init_permit_request());
        }
        PeerMessage::PermitAnswer(m) => encode_permit_answer(m, to.init_permit_answer()),
        PeerMessage::PermitRelease(m) => {
            encode_permit(m.request, m.server, m.slot, to.init_permit_release());
        }
        PeerMessage::Totals(m) => encode_totals(m, to.init_totals()),
        PeerMessage::Summary(m) => encode_summary(m, to.init_summary()),
        PeerMessage::Pull(m) => encode_pull(m, to.init_pull()),
        PeerMessage::Handover(m) => encode_handover(m, to.init_handover()),
        PeerMessage::ConfigurationRequest(m) => {
            to.init_configuration_request().set_have(m.have);
        }
        PeerMessage::ConfigurationUpdate(m) => {
            let mut to = to.init_configuration_update();
            to.set_revision(m.revision);
            to.set_document(&m.document);
        }
        PeerMessage::PermitHoldings(m) => {
            let mut to = to.init_permit_holdings();
            to.set_list_revision(m.list_revision);
            encode_list(&m.held, to.init_held(m.held.len() as u32), |held, to| {
                encode_permit(held.request, held.server, held.slot, to);
            });
        }
        PeerMessage::Findings(m) => {
            encode_list(m, to.init_findings(m.len() as u32), encode_finding);
        }
    }
}

/// Decodes a message. Fails if a part of it is malformed or unknown to this version of the schema.
pub(crate) fn decode(from: message::Reader<'_>) -> Result<PeerMessage> {
    let message = match from.which().context(UnknownSnafu)? {
        message::Heartbeat(m) => PeerMessage::Heartbeat(decode_heartbeat(read(m)?)),
        message::Bid(m) => PeerMessage::Bid(decode_bid(read(m)?)?),
        message::Withdrawal(m) => PeerMessage::Withdrawal(decode_withdrawal(read(m)?)?),
        message::Grant(m) => PeerMessage::Grant(decode_grant(read(m)?)?),
        message::Refusal(m) => PeerMessage::Refusal(decode_refusal(read(m)?)?),
        message::GrantReturn(m) => PeerMessage::GrantReturn(decode_grant_return(read(m)?)?),
        message::Finished(m) => PeerMessage::Finished(decode_finished(read(m)?)?),
        message::Progress(m) => PeerMessage::Progress(decode_progress(read(m)?)?),
        message::Announcement(m) => PeerMessage::Announcement(decode_announcement(read(m)?)?),
        message::PermitRequest(m) => PeerMessage::PermitRequest(decode_permit(read(m)?)?),
        message::PermitAnswer(m) => PeerMessage::PermitAnswer(decode_permit_answer(read(m)?)?),
        message::PermitRelease(m) => {
            let PermitRequest {
                request,
                server,
                slot,
            } = decode_permit(read(m)?)?;
            PeerMessage::PermitRelease(PermitRelease {
                request,
                server,
                slot,
            })
        }
        message::Totals(m) => PeerMessage::Totals(decode_totals(read(m)?)?),
        message::Summary(m) => PeerMessage::Summary(decode_summary(read(m)?)?),
        message::Pull(m) => PeerMessage::Pull(decode_pull(read(m)?)),
        message::Handover(m) => PeerMessage::Handover(decode_handover(read(m)?)?),
        message::ConfigurationRequest(m) => {
            let have = read(m)?.get_have();
            PeerMessage::ConfigurationRequest(ConfigurationRequest { have })
        }
        message::ConfigurationUpdate(m) => {
            let m = read(m)?;
            PeerMessage::ConfigurationUpdate(ConfigurationUpdate {
                revision: m.get_revision(),
                document: read(m.get_document())?.to_vec(),
            })
        }
        message::PermitHoldings(m) => {
            let m = read(m)?;
            PeerMessage::PermitHoldings(PermitHoldings {
                held: decode_list(read(m.get_held())?, decode_permit)?,
                list_revision: m.get_list_revision(),
            })
        }
        message::Findings(m) => PeerMessage::Findings(decode_list(read(m)?, decode_finding)?),
    };
    Ok(message)
}

/// Converts an error of the Cap'n Proto library into a [`CodecError`].
fn read<T>(result: capnp::Result<T>) -> Result<T> {
    result.context(MalformedSnafu)
}

fn encode_list<T, O>(
    items: &[T],
    mut to: struct_list::Builder<'_, O>,
    encode: impl Fn(&T, O::Builder<'_>),
) where
    O: capnp::traits::OwnedStruct,
{
    for (i, item) in items.iter().enumerate() {
        encode(item, to.reborrow().get(i as u32));
    }
}

fn decode_list<'a, T, O>(
    from: struct_list::Reader<'a, O>,
    decode: impl Fn(O::Reader<'a>) -> Result<T>,
) -> Result<Vec<T>>
where
    O: capnp::traits::OwnedStruct,
{
    from.iter().map(decode).collect()
}

fn encode_request(request: RequestId, mut to: peer_capnp::request_id::Builder<'_>) {
    to.set_gateway(request.gateway.0);
    to.set_sequence(request.sequence);
}

fn decode_request(from: capnp::Result<peer_capnp::request_id::Reader<'_>>) -> Result<RequestId> {
    let from = read(from)?;
    Ok(RequestId {
        gateway: HostId(from.get_gateway()),
        sequence: from.get_sequence(),
    })
}

fn encode_heartbeat(m: &Heartbeat, mut to: peer_capnp::heartbeat::Builder<'_>) {
    to.set_revision(m.revision);
    to.set_stopping(m.stopping);
    to.set_clock_us(m.clock_us);
}

fn decode_heartbeat(from: peer_capnp::heartbeat::Reader<'_>) -> Heartbeat {
    Heartbeat {
        revision: from.get_revision(),
        stopping: from.get_stopping(),
        clock_us: from.get_clock_us(),
    }
}

fn encode_bid(m: &Bid, mut to: peer_capnp::bid::Builder<'_>) {
    encode_request(m.request, to.reborrow().init_request());
    to.set_service(m.service.0);
    to.set_workspace(m.workspace.0);
    to.set_estimate(m.estimate);
    to.set_remaining_us(m.remaining_us);
    to.set_prefix(m.prefix);
}

fn decode_bid(from: peer_capnp::bid::Reader<'_>) -> Result<Bid> {
    Ok(Bid {
        request: decode_request(from.get_request())?,
        service: ServiceId(from.get_service()),
        workspace: WorkspaceId(from.get_workspace()),
        estimate: from.get_estimate(),
        remaining_us: from.get_remaining_us(),
        prefix: from.get_prefix(),
    })
}

fn encode_withdrawal(m: &Withdrawal, mut to: peer_capnp::withdrawal::Builder<'_>) {
    encode_request(m.request, to.reborrow().init_request());
    to.set_service(m.service.0);
}

fn decode_withdrawal(from: peer_capnp::withdrawal::Reader<'_>) -> Result<Withdrawal> {
    Ok(Withdrawal {
        request: decode_request(from.get_request())?,
        service: ServiceId(from.get_service()),
    })
}

fn encode_phase(phase: ServerPhase) -> peer_capnp::ServerPhase {
    match phase {
        ServerPhase::Cold => peer_capnp::ServerPhase::Cold,
        ServerPhase::Warming => peer_capnp::ServerPhase::Warming,
        ServerPhase::Warm => peer_capnp::ServerPhase::Warm,
    }
}

fn decode_phase(
    phase: std::result::Result<peer_capnp::ServerPhase, capnp::NotInSchema>,
) -> Result<ServerPhase> {
    Ok(match phase.context(UnknownSnafu)? {
        peer_capnp::ServerPhase::Cold => ServerPhase::Cold,
        peer_capnp::ServerPhase::Warming => ServerPhase::Warming,
        peer_capnp::ServerPhase::Warm => ServerPhase::Warm,
    })
}

fn encode_grant(m: &Grant, mut to: peer_capnp::grant::Builder<'_>) {
    encode_request(m.request, to.reborrow().init_request());
    to.set_service(m.service.0);
    to.set_server(m.server.0);
    to.set_instance(m.instance);
    to.set_phase(encode_phase(m.phase));
    to.set_limit(m.limit);
    to.set_slot(m.slot);
    to.set_remaining_us(m.remaining_us);
    to.set_lapses_at_us(m.expires_at_us);
}

fn decode_grant(from: peer_capnp::grant::Reader<'_>) -> Result<Grant> {
    Ok(Grant {
        request: decode_request(from.get_request())?,
        service: ServiceId(from.get_service()),
        server: ServerId(from.get_server()),
        instance: from.get_instance(),
        phase: decode_phase(from.get_phase())?,
        limit: from.get_limit(),
        slot: from.get_slot(),
        remaining_us: from.get_remaining_us(),
        expires_at_us: from.get_lapses_at_us(),
    })
}

fn encode_reason(reason: RefusalReason) -> peer_capnp::RefusalReason {
    match reason {
        RefusalReason::QueueFull => peer_capnp::RefusalReason::QueueFull,
        RefusalReason::DeadlineUnreachable => peer_capnp::RefusalReason::DeadlineUnreachable,
        RefusalReason::DeadlinePassed => peer_capnp::RefusalReason::DeadlinePassed,
        RefusalReason::NoServer => peer_capnp::RefusalReason::NoServer,
        RefusalReason::NoScheduler => peer_capnp::RefusalReason::NoScheduler,
        RefusalReason::Stopping => peer_capnp::RefusalReason::Stopping,
    }
}

fn decode_reason(
    reason: std::result::Result<peer_capnp::RefusalReason, capnp::NotInSchema>,
) -> Result<RefusalReason> {
    Ok(match reason.context(UnknownSnafu)? {
        peer_capnp::RefusalReason::QueueFull => RefusalReason::QueueFull,
        peer_capnp::RefusalReason::DeadlineUnreachable => RefusalReason::DeadlineUnreachable,
        peer_capnp::RefusalReason::DeadlinePassed => RefusalReason::DeadlinePassed,
        peer_capnp::RefusalReason::NoServer => RefusalReason::NoServer,
        peer_capnp::RefusalReason::NoScheduler => RefusalReason::NoScheduler,
        peer_capnp::RefusalReason::Stopping => RefusalReason::Stopping,
    })
}

fn encode_refusal(m: &Refusal, mut to: peer_capnp::refusal::Builder<'_>) {
    encode_request(m.request, to.reborrow().init_request());
    to.set_service(m.service.0);
    to.set_reason(encode_reason(m.reason));
    to.set_retry_after_ms(m.retry_after_ms);
}

fn decode_refusal(from: peer_capnp::refusal::Reader<'_>) -> Result<Refusal> {
    Ok(Refusal {
        request: decode_request(from.get_request())?,
        service: ServiceId(from.get_service()),
        reason: decode_reason(from.get_reason())?,
        retry_after_ms: from.get_retry_after_ms(),
    })
}

fn encode_grant_return(m: &GrantReturn, mut to: peer_capnp::grant_return::Builder<'_>) {
    encode_request(m.request, to.reborrow().init_request());
    to.set_service(m.service.0);
    to.set_server(m.server.0);
    to.set_unreachable(m.unreachable);
}

fn decode_grant_return(from: peer_capnp::grant_return::Reader<'_>) -> Result<GrantReturn> {
    Ok(GrantReturn {
        request: decode_request(from.get_request())?,
        service: ServiceId(from.get_service()),
        server: ServerId(from.get_server()),
        unreachable: from.get_unreachable(),
    })
}

fn encode_outcome(outcome: EndOutcome) -> peer_capnp::EndOutcome {
    match outcome {
        EndOutcome::Complete => peer_capnp::EndOutcome::Complete,
        EndOutcome::Cancelled => peer_capnp::EndOutcome::Cancelled,
        EndOutcome::Rejected => peer_capnp::EndOutcome::Rejected,
        EndOutcome::Failed => peer_capnp::EndOutcome::Failed,
    }
}

fn decode_outcome(
    outcome: std::result::Result<peer_capnp::EndOutcome, capnp::NotInSchema>,
) -> Result<EndOutcome> {
    Ok(match outcome.context(UnknownSnafu)? {
        peer_capnp::EndOutcome::Complete => EndOutcome::Complete,
        peer_capnp::EndOutcome::Cancelled => EndOutcome::Cancelled,
        peer_capnp::EndOutcome::Rejected => EndOutcome::Rejected,
        peer_capnp::EndOutcome::Failed => EndOutcome::Failed,
    })
}

fn encode_finished(m: &Finished, mut to: peer_capnp::finished::Builder<'_>) {
    encode_request(m.request, to.reborrow().init_request());
    to.set_service(m.service.0);
    to.set_workspace(m.workspace.0);
    to.set_server(m.server.0);
    to.set_instance(m.instance);
    to.set_outcome(encode_outcome(m.outcome));
    to.set_cost(m.cost);
    to.set_first_byte_us(m.first_byte_us);
    to.set_total(m.total);
}

fn decode_finished(from: peer_capnp::finished::Reader<'_>) -> Result<Finished> {
    Ok(Finished {
        request: decode_request(from.get_request())?,
        service: ServiceId(from.get_service()),
        workspace: WorkspaceId(from.get_workspace()),
        server: ServerId(from.get_server()),
        instance: from.get_instance(),
        outcome: decode_outcome(from.get_outcome())?,
        cost: from.get_cost(),
        first_byte_us: from.get_first_byte_us(),
        total: from.get_total(),
    })
}

fn encode_progress(m: &Progress, mut to: peer_capnp::progress::Builder<'_>) {
    encode_request(m.request, to.reborrow().init_request());
    to.set_service(m.service.0);
    to.set_cost(m.cost);
}

fn decode_progress(from: peer_capnp::progress::Reader<'_>) -> Result<Progress> {
    Ok(Progress {
        request: decode_request(from.get_request())?,
        service: ServiceId(from.get_service()),
        cost: from.get_cost(),
    })
}

fn encode_running(m: &Running, mut to: peer_capnp::running::Builder<'_>) {
    encode_request(m.request, to.reborrow().init_request());
    to.set_workspace(m.workspace.0);
    to.set_server(m.server.0);
    to.set_estimate(m.estimate);
    to.set_cost(m.cost);
}

fn decode_running(from: peer_capnp::running::Reader<'_>) -> Result<Running> {
    Ok(Running {
        request: decode_request(from.get_request())?,
        workspace: WorkspaceId(from.get_workspace()),
        server: ServerId(from.get_server()),
        estimate: from.get_estimate(),
        cost: from.get_cost(),
    })
}

fn encode_sight(m: &ServerSight, mut to: peer_capnp::server_sight::Builder<'_>) {
    to.set_server(m.server.0);
    to.set_instance(m.instance);
    to.set_phase(encode_phase(m.phase));
    to.set_limit(m.limit);
}

fn decode_sight(from: peer_capnp::server_sight::Reader<'_>) -> Result<ServerSight> {
    Ok(ServerSight {
        server: ServerId(from.get_server()),
        instance: from.get_instance(),
        phase: decode_phase(from.get_phase())?,
        limit: from.get_limit(),
    })
}

fn encode_cell(m: &TotalCell, mut to: peer_capnp::total_cell::Builder<'_>) {
    to.set_origin(m.origin.0);
    to.set_incarnation(m.incarnation.0);
    to.set_workspace(m.workspace.0);
    to.set_cost(m.cost);
}

fn decode_cell(from: peer_capnp::total_cell::Reader<'_>) -> TotalCell {
    TotalCell {
        origin: HostId(from.get_origin()),
        incarnation: Incarnation(from.get_incarnation()),
        workspace: WorkspaceId(from.get_workspace()),
        cost: from.get_cost(),
    }
}

fn encode_announcement(m: &Announcement, mut to: peer_capnp::announcement::Builder<'_>) {
    to.set_service(m.service.0);
    to.set_domain(m.domain.0);
    encode_list(
        &m.bids,
        to.reborrow().init_bids(m.bids.len() as u32),
        encode_bid,
    );
    encode_list(
        &m.running,
        to.reborrow().init_running(m.running.len() as u32),
        encode_running,
    );
    encode_list(
        &m.sights,
        to.reborrow().init_sights(m.sights.len() as u32),
        encode_sight,
    );
    encode_list(
        &m.totals,
        to.init_totals(m.totals.len() as u32),
        encode_cell,
    );
}

fn decode_announcement(from: peer_capnp::announcement::Reader<'_>) -> Result<Announcement> {
    Ok(Announcement {
        service: ServiceId(from.get_service()),
        domain: DomainId(from.get_domain()),
        bids: decode_list(read(from.get_bids())?, decode_bid)?,
        running: decode_list(read(from.get_running())?, decode_running)?,
        sights: decode_list(read(from.get_sights())?, decode_sight)?,
        totals: decode_list(read(from.get_totals())?, |m| Ok(decode_cell(m)))?,
    })
}

fn encode_permit(
    request: RequestId,
    server: ServerId,
    slot: u32,
    mut to: peer_capnp::permit::Builder<'_>,
) {
    encode_request(request, to.reborrow().init_request());
    to.set_server(server.0);
    to.set_slot(slot);
}

fn decode_permit(from: peer_capnp::permit::Reader<'_>) -> Result<PermitRequest> {
    Ok(PermitRequest {
        request: decode_request(from.get_request())?,
        server: ServerId(from.get_server()),
        slot: from.get_slot(),
    })
}

fn encode_permit_answer(m: &PermitAnswer, mut to: peer_capnp::permit_answer::Builder<'_>) {
    encode_request(m.request, to.reborrow().init_request());
    to.set_server(m.server.0);
    to.set_slot(m.slot);
    to.set_granted(m.granted);
}

fn decode_permit_answer(from: peer_capnp::permit_answer::Reader<'_>) -> Result<PermitAnswer> {
    Ok(PermitAnswer {
        request: decode_request(from.get_request())?,
        server: ServerId(from.get_server()),
        slot: from.get_slot(),
        granted: from.get_granted(),
    })
}

fn encode_totals(m: &Totals, mut to: peer_capnp::totals::Builder<'_>) {
    to.set_service(m.service.0);
    encode_list(&m.cells, to.init_cells(m.cells.len() as u32), encode_cell);
}

fn decode_totals(from: peer_capnp::totals::Reader<'_>) -> Result<Totals> {
    Ok(Totals {
        service: ServiceId(from.get_service()),
        cells: decode_list(read(from.get_cells())?, |m| Ok(decode_cell(m)))?,
    })
}

fn encode_backlog(m: &BacklogEntry, mut to: peer_capnp::backlog_entry::Builder<'_>) {
    to.set_workspace(m.workspace.0);
    to.set_queued(m.queued);
    to.set_counter(m.counter);
}

fn decode_backlog(from: peer_capnp::backlog_entry::Reader<'_>) -> BacklogEntry {
    BacklogEntry {
        workspace: WorkspaceId(from.get_workspace()),
        queued: from.get_queued(),
        counter: from.get_counter(),
    }
}

fn encode_summary(m: &Summary, mut to: peer_capnp::summary::Builder<'_>) {
    to.set_service(m.service.0);
    to.set_domain(m.domain.0);
    to.set_free_slots(m.free_slots);
    encode_list(
        &m.backlog,
        to.init_backlog(m.backlog.len() as u32),
        encode_backlog,
    );
}

fn decode_summary(from: peer_capnp::summary::Reader<'_>) -> Result<Summary> {
    Ok(Summary {
        service: ServiceId(from.get_service()),
        domain: DomainId(from.get_domain()),
        free_slots: from.get_free_slots(),
        backlog: decode_list(read(from.get_backlog())?, |m| Ok(decode_backlog(m)))?,
    })
}

fn encode_pull(m: &Pull, mut to: peer_capnp::pull::Builder<'_>) {
    to.set_service(m.service.0);
    to.set_domain(m.domain.0);
    to.set_any_workspace(m.workspace.is_none());
    to.set_workspace(m.workspace.unwrap_or_default().0);
    to.set_count(m.count);
}

fn decode_pull(from: peer_capnp::pull::Reader<'_>) -> Pull {
    let workspace = WorkspaceId(from.get_workspace());
    Pull {
        service: ServiceId(from.get_service()),
        domain: DomainId(from.get_domain()),
        workspace: (!from.get_any_workspace()).then_some(workspace),
        count: from.get_count(),
    }
}

fn encode_handover(m: &Handover, mut to: peer_capnp::handover::Builder<'_>) {
    to.set_service(m.service.0);
    encode_list(&m.bids, to.init_bids(m.bids.len() as u32), encode_bid);
}

fn decode_handover(from: peer_capnp::handover::Reader<'_>) -> Result<Handover> {
    Ok(Handover {
        service: ServiceId(from.get_service()),
        bids: decode_list(read(from.get_bids())?, decode_bid)?,
    })
}

fn encode_health(health: Health) -> peer_capnp::Health {
    match health {
        Health::Alive => peer_capnp::Health::Alive,
        Health::Suspect => peer_capnp::Health::Suspect,
        Health::Dead => peer_capnp::Health::Dead,
    }
}

fn decode_health(
    health: std::result::Result<peer_capnp::Health, capnp::NotInSchema>,
) -> Result<Health> {
    Ok(match health.context(UnknownSnafu)? {
        peer_capnp::Health::Alive => Health::Alive,
        peer_capnp::Health::Suspect => Health::Suspect,
        peer_capnp::Health::Dead => Health::Dead,
    })
}

fn encode_finding(m: &Finding, mut to: peer_capnp::finding::Builder<'_>) {
    to.set_host(m.host.0);
    to.set_incarnation(m.incarnation.0);
    to.set_health(encode_health(m.health));
    to.set_age_us(m.age_us);
}

fn decode_finding(from: peer_capnp::finding::Reader<'_>) -> Result<Finding> {
    Ok(Finding {
        host: HostId(from.get_host()),
        incarnation: Incarnation(from.get_incarnation()),
        health: decode_health(from.get_health())?,
        age_us: from.get_age_us(),
    })
}
