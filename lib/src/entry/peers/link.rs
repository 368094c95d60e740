//! Sends schedule requests to the schedulers on other entry hosts and answers those of other hosts,
//! over UDP.
//!
//! An entry host is a reverse proxy that forwards callers' requests to backend servers. With a
//! schedule request it asks a scheduler, which runs on one of the hosts, when and on which engine
//! (server that runs a model) a request to a model may start. With its decision the scheduler makes
//! a reservation for the request; the asking host reports the request's progress by this
//! reservation. Peers are the other entry hosts.
//!
//! Datagrams can be lost. A schedule request without a reply is sent once more to the same host and
//! then to the next one, until it has waited for a few hosts; then this host decides. Hosts that did not
//! reply are probed in the background. A scheduler that receives a schedule request twice repeats its decision
//! instead of making a second reservation. Progress reports are not repeated: the scheduler drops a
//! reservation if it receives no reports on it.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use super::asking::Asking;
use super::asking::Decider;
use super::codec::Datagram;
use super::codec::decode;
use super::codec::encode;
use super::origin::OriginQuestion;
use super::reply::wait_for;
use super::reply::wait_for_reply;
use super::selection::Helper;
use super::selection::Peer;
use super::selection::Peers;
use crate::entry::fleet::RequestOutcome;
use crate::entry::forward::millis;
use crate::entry::host::EntryHost;
use crate::entry::schedule::Progress;
use crate::entry::schedule::ProgressStep;
use crate::entry::schedule::ReservationId;
use crate::entry::schedule::ScheduleDecision;
use crate::entry::schedule::ScheduleRequest;
use crate::entry::schedule::Shard;
use crate::entry::stream_origins::KnownOrigin;
use crate::gateway::HandoverOutcome;
use crate::time::Timestamp;

/// How long to wait for a reply before a schedule request is sent again, and then before the asked
/// host counts as silent. A round trip between failure domains takes 2 to 3 ms, and a host
/// with a CPU quota may be paused for most of 100 ms.
pub(super) const REPLY_TIMEOUTS: [Duration; 2] =
    [Duration::from_millis(40), Duration::from_millis(60)];
/// How long a decision is kept in case the schedule request is sent again.
const DECISION_RETENTION: Duration = Duration::from_millis(500);
/// How long progress reports are held back so that later ones go out in the same datagram.
const REPORT_DELAY: Duration = Duration::from_millis(20);
/// Interval at which a scheduler sends reports on its work to those of other shards. Shares are judged
/// over spans of 4 to 6 s.
const SHARES_PERIOD: Duration = Duration::from_millis(250);
/// Pause after a failed read of the socket, so that a lasting fault does not cause a busy loop.
const RECEIVE_ERROR_PAUSE: Duration = Duration::from_millis(20);
/// Least number of kept decisions at which expired ones are dropped. A busy shard makes about that
/// many decisions within [`DECISION_RETENTION`].
const DECISION_SWEEP_THRESHOLD_MIN: usize = 256;
/// Most progress reports in one datagram. At about 25 bytes each, the datagram fits in one packet.
const REPORTS_PER_DATAGRAM: usize = 40;
/// Size of the receive buffer, bytes; longer datagrams are truncated and cannot be decoded.
const DATAGRAM_MAX_BYTES: usize = 8 << 10;

/// UDP socket of a host and the state of its communication with other hosts.
pub(crate) struct Link {
    socket: UdpSocket,
    inner: Mutex<Inner>,
    /// Notified when a progress report is queued, which wakes [`Link::report`].
    has_reports: Notify,
    /// Notified when this host has decided on a schedule request, which wakes
    /// [`Link::send_shares`].
    has_decided: Notify,
    /// Notified when something new is known of requests that make servers crash, which wakes
    /// [`Link::tell_suspects`].
    pub(super) has_suspect_news: Notify,
    /// Notified when a host was found silent, which wakes [`Link::probe`].
    has_silent: Notify,
    /// Whether the list of hosts was read.
    has_peers: watch::Sender<bool>,
}

/// State of a [`Link`] behind its lock.
pub(super) struct Inner {
    pub(super) peers: Peers,
    /// Identifier of the last request sent to another host.
    pub(super) next_id: u64,
    /// Schedule requests sent that wait for a reply, by identifier.
    waiting: HashMap<u64, oneshot::Sender<Reply>>,
    /// Questions sent to other hosts where a stream began, by identifier. An answer also has whether the
    /// request has the claim to continue the stream.
    pub(super) origin_requests:
        HashMap<u64, mpsc::UnboundedSender<(SocketAddr, KnownOrigin, bool)>>,
    /// Decisions sent to other hosts, by asking host and identifier.
    decisions: HashMap<(SocketAddr, u64), RecentDecision>,
    /// Number of kept decisions at which expired ones are dropped next: twice the number that
    /// remained the last time.
    decision_sweep_threshold: usize,
    /// Progress reports to be sent, by scheduler.
    reports: HashMap<SocketAddr, Vec<Progress>>,
    /// What the last host that was found silent had been asked about.
    silent_subject: u64,
}

/// Reply to a schedule request.
#[derive(Clone, Copy)]
enum Reply {
    Decision(ScheduleDecision),
    /// The asked host is stopping; another one must be asked.
    Leaving,
}

/// How asking a host has ended.
enum Answer {
    Replied(Reply),
    /// The host did not reply.
    Silent,
    /// The request has given up meanwhile.
    Expired,
}

/// A decision kept in case its schedule request is received again.
#[derive(Clone, Copy)]
struct RecentDecision {
    decision: ScheduleDecision,
    drop_at: Timestamp,
}

/// A request for which a scheduler made a reservation. Its end is reported to the scheduler when
/// this is dropped.
pub(crate) struct ScheduledRequest {
    host: Weak<EntryHost>,
    /// Address of the scheduler, `None` for this host itself.
    scheduler: Option<SocketAddr>,
    reservation: ReservationId,
    /// When the request was sent to its server; until then, when the reservation was received.
    sent_at: Timestamp,
    /// Lag of this host's timers at that time.
    lag_at_sending: Duration,
    /// Identifiers of the shared parts of the prompt.
    parts: Box<[u64]>,
    /// Whether a complete response of success has arrived.
    is_answered: bool,
}

impl ScheduledRequest {
    /// Records that the request is sent to its server now.
    pub(crate) fn on_sent(&mut self, now: Timestamp) {
        self.sent_at = now;
        if let Some(host) = self.host.upgrade() {
            self.lag_at_sending = host.lag.current(now);
        }
    }

    /// Reports to the scheduler how long after sending the response started.
    pub(crate) fn on_response_started(&self, now: Timestamp) {
        let Some(host) = self.host.upgrade() else {
            return;
        };
        let after = now.since(self.sent_at);
        let host_lag = self.lag_at_sending.max(host.lag.current(now));
        self.report(ProgressStep::ResponseStarted { after, host_lag });
    }

    /// Reports to the scheduler that the server says that it is about to shut down.
    pub(crate) fn on_server_leaving(&self, started_at_ms: u64) {
        self.report(ProgressStep::ServerLeaving { started_at_ms });
    }

    /// Reports to the scheduler how the request ended at its server, if that says something of the
    /// server.
    pub(crate) fn on_outcome(&self, outcome: RequestOutcome) {
        match outcome {
            RequestOutcome::Unreachable => self.report(ProgressStep::Unreachable),
            RequestOutcome::Failed | RequestOutcome::TimedOut => self.report(ProgressStep::Failed),
            RequestOutcome::Broken => self.report(ProgressStep::Broken),
            RequestOutcome::Answered
            | RequestOutcome::Refused
            | RequestOutcome::Misdirected
            | RequestOutcome::Expired
            | RequestOutcome::Abandoned => {}
        }
    }

    /// Reports to the scheduler that the deadline has passed and the server had sent nothing for long.
    pub(crate) fn on_silent(&self) {
        self.report(ProgressStep::Silent);
    }

    /// Reports to the scheduler that the response has gone on for long.
    pub(crate) fn on_survived(&self) {
        self.report(ProgressStep::Survived);
    }

    /// Records that a complete response of success has arrived.
    pub(crate) fn on_answered(&mut self) {
        self.is_answered = true;
    }

    /// Identifiers of the shared parts of the prompt.
    pub(crate) fn parts(&self) -> &[u64] {
        &self.parts
    }

    /// Reports progress, by a datagram unless this host is the scheduler.
    fn report(&self, step: ProgressStep) {
        let Some(host) = self.host.upgrade() else {
            return;
        };
        let progress = Progress {
            reservation: self.reservation,
            step,
        };
        match self.scheduler {
            None => host.fleet().on_progress(host.clock.now(), &progress),
            Some(address) => host.link.add_report(address, progress),
        }
    }
}

impl Drop for ScheduledRequest {
    fn drop(&mut self) {
        self.report(match self.is_answered {
            true => ProgressStep::Answered,
            false => ProgressStep::Ended,
        });
    }
}

/// Ends the wait for replies to a request of this host when it is dropped.
pub(super) struct WaitGuard<'a> {
    pub(super) link: &'a Link,
    pub(super) id: u64,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.link.stop_waiting(self.id);
    }
}

impl Link {
    /// A link without peers. `first_id` should be random: identifiers must differ from those of an
    /// earlier run at the same address, whose decisions schedulers may still keep.
    pub(crate) fn new(socket: UdpSocket, own: &Peer, first_id: u64) -> Self {
        Self {
            socket,
            inner: Mutex::new(Inner {
                peers: Peers::new(own),
                next_id: first_id,
                waiting: HashMap::new(),
                origin_requests: HashMap::new(),
                decisions: HashMap::new(),
                decision_sweep_threshold: DECISION_SWEEP_THRESHOLD_MIN,
                reports: HashMap::new(),
                silent_subject: 0,
            }),
            has_reports: Notify::new(),
            has_decided: Notify::new(),
            has_suspect_news: Notify::new(),
            has_silent: Notify::new(),
            has_peers: watch::Sender::new(false),
        }
    }

    /// Queues a progress report.
    fn add_report(&self, scheduler: SocketAddr, progress: Progress) {
        let mut inner = self.inner();
        inner.reports.entry(scheduler).or_default().push(progress);
        self.has_reports.notify_one();
    }

    /// Wakes [`Link::tell_suspects`].
    pub(crate) fn on_suspect_news(&self) {
        self.has_suspect_news.notify_one();
    }

    pub(super) fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the list of hosts in the fleet.
    pub(crate) fn set_peers(&self, peers: &[Peer]) {
        self.inner().peers.set(peers);
    }

    /// Whether a connection from this address is that of a host.
    pub(crate) fn is_peer(&self, from: IpAddr) -> bool {
        self.inner().peers.is_peer(from)
    }

    /// Whether there is a host to hand requests over to.
    pub(crate) fn has_helper(&self, now: Timestamp) -> bool {
        self.inner().peers.has_helper(now)
    }

    /// Chooses a host to hand a request over to, and counts the request there until
    /// [`Self::on_handover_ended`].
    pub(crate) fn choose_helper(&self, now: Timestamp, subject: u64) -> Option<Helper> {
        self.inner().peers.choose_helper(now, subject)
    }

    /// Records how a request ended that was handed over to the host with this address.
    pub(crate) fn on_handover_ended(
        &self,
        now: Timestamp,
        peer: SocketAddr,
        outcome: HandoverOutcome,
    ) {
        let was_reached = outcome == HandoverOutcome::Ended;
        self.inner().peers.on_handover_ended(now, peer, was_reached);
    }

    /// Address of this host.
    pub(crate) fn own_address(&self) -> SocketAddr {
        self.inner().peers.own_address()
    }

    /// Records that the list of hosts was read, also if it is empty.
    pub(crate) fn on_peers_listed(&self) {
        self.has_peers.send_replace(true);
    }

    /// Waits until the list of hosts was read for the first time.
    pub(crate) async fn wait_for_peers(&self) {
        let mut has_peers = self.has_peers.subscribe();
        // Fails only if the sender, a field of `self`, was dropped.
        let _ = has_peers.wait_for(|has_peers| *has_peers).await;
    }

    /// Prefers other hosts as schedulers from now on, because this host is stopping.
    pub(crate) fn leave(&self) {
        self.inner().peers.leave();
    }

    /// Addresses of the hosts to read objects of a kind from instead of the platform; empty if this
    /// host reads them from the platform.
    pub(crate) fn mirror_hosts(&self, kind: &str) -> Vec<SocketAddr> {
        self.inner().peers.mirror_hosts(xxh3_64(kind.as_bytes()))
    }

    /// Gets a decision on a request to a model, with the address of the host that made it, `None`
    /// for this host itself. Hosts that do not decide are skipped, and the next one is asked; if
    /// none is left, or the request has waited for as many as it may, this host decides. `None` if the
    /// request gives up meanwhile.
    pub(crate) async fn decide(
        &self,
        host: &Arc<EntryHost>,
        request: &ScheduleRequest,
        asking: &mut Asking,
    ) -> Option<(ScheduleDecision, Option<SocketAddr>)> {
        let subject = request.shard.scheduler_key(request.service);
        loop {
            let now = host.clock.now();
            let decider = asking.next(now, &self.inner().peers, subject)?;
            let Decider::Peer(address) = decider else {
                self.has_decided.notify_one();
                return Some((host.fleet().decide(now, request), None));
            };
            let datagram = |id| {
                let mut fleet = host.fleet();
                Datagram::Bid {
                    id,
                    request: request.clone(),
                    crashes: fleet.crashes_to_share(now),
                    limits: fleet.limits_to_tell(now, address),
                }
            };
            let answer = self
                .send_request(host, address, asking.give_up_at, datagram)
                .await;
            match answer {
                Answer::Replied(Reply::Leaving) => {
                    if self.inner().peers.on_leaving(host.clock.now(), address) {
                        info!(target: "peer", peer = address.to_string(); "peer is stopping");
                    }
                }
                Answer::Replied(Reply::Decision(decision)) => {
                    self.on_reply(host.clock.now(), address);
                    return Some((decision, Some(address)));
                }
                Answer::Silent => {
                    asking.on_no_reply();
                    self.on_no_reply(host.clock.now(), now, address, subject);
                }
                Answer::Expired => return None,
            }
        }
    }

    /// Sends a schedule request to one host, and again if there is no reply.
    async fn send_request(
        &self,
        host: &EntryHost,
        address: SocketAddr,
        give_up_at: Timestamp,
        datagram: impl FnOnce(u64) -> Datagram,
    ) -> Answer {
        let (tx, mut rx) = oneshot::channel();
        let id = {
            let mut inner = self.inner();
            inner.next_id += 1;
            let id = inner.next_id;
            inner.waiting.insert(id, tx);
            id
        };
        // The task may be dropped while it waits, if the caller disconnects.
        let _waiting = WaitGuard { link: self, id };
        let bytes = encode(&datagram(id));
        for timeout in REPLY_TIMEOUTS {
            self.send(address, &bytes).await;
            let left = give_up_at.remaining(host.clock.now());
            if let Some(reply) = wait_for_reply(&mut rx, timeout.min(left)).await {
                return Answer::Replied(reply);
            }
            if left < timeout {
                return Answer::Expired;
            }
        }
        Answer::Silent
    }

    /// Records that a host replied.
    fn on_reply(&self, now: Timestamp, address: SocketAddr) {
        if self.inner().peers.on_reply(now, address) {
            info!(target: "peer", peer = address.to_string(); "peer answers again");
        }
    }

    /// Records that a host, asked about `subject` at `asked_at`, did not reply.
    fn on_no_reply(&self, now: Timestamp, asked_at: Timestamp, address: SocketAddr, subject: u64) {
        {
            let mut inner = self.inner();
            if !inner.peers.on_no_reply(now, address) {
                return;
            }
            inner.silent_subject = subject;
        }
        self.has_silent.notify_one();
        warn!(target: "peer", peer = address.to_string(),
            waited_ms = millis(now.since(asked_at)); "peer does not answer");
    }

    /// Probes silent hosts now and then, and those that are likely to be silent too, until the task is
    /// dropped.
    pub(crate) async fn probe(host: Arc<EntryHost>) {
        let link = &host.link;
        let bytes = encode(&Datagram::Probe);
        loop {
            let now = host.clock.now();
            let (due, likely) = {
                let mut inner = link.inner();
                let subject = inner.silent_subject;
                let likely = inner.peers.sweep(now, subject);
                (inner.peers.take_due_probes(now), likely)
            };
            for address in due {
                link.send(address, &bytes).await;
            }
            if !likely.is_empty() {
                link.sweep(&host, &likely, &bytes).await;
                continue;
            }
            let next = link.inner().peers.next_probe_at();
            let probe_due = async {
                match next {
                    Some(at) => tokio::time::sleep_until(host.clock.instant(at).into()).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = link.has_silent.notified() => {}
                () = probe_due => {}
            }
        }
    }

    /// Probes hosts, and skips those that do not answer.
    async fn sweep(&self, host: &EntryHost, peers: &[SocketAddr], probe: &[u8]) {
        let since = host.clock.now();
        let unanswered = || {
            let inner = self.inner();
            let known = peers.iter().copied();
            let silent = known.filter(|peer| !inner.peers.has_replied_since(*peer, since));
            silent.collect::<Vec<_>>()
        };
        for timeout in REPLY_TIMEOUTS {
            for address in unanswered() {
                self.send(address, probe).await;
            }
            // Waits for the receiving task, which records the replies.
            let _ = wait_for(std::pin::pin!(std::future::pending::<()>()), timeout).await;
        }
        let silent = unanswered();
        let now = host.clock.now();
        let found = {
            let mut inner = self.inner();
            let found = silent
                .iter()
                .filter(|peer| inner.peers.on_no_reply(now, **peer))
                .count();
            if silent.len() < peers.len() {
                inner.peers.end_sweep();
            }
            found
        };
        warn!(target: "peer", probed = peers.len(), silent = found,
            waited_ms = millis(now.since(since)); "probed peers, as several do not answer");
    }

    fn stop_waiting(&self, id: u64) {
        let mut inner = self.inner();
        inner.waiting.remove(&id);
        inner.origin_requests.remove(&id);
    }

    /// Sends a datagram. Errors are only logged: they have the same effect as a lost datagram.
    pub(super) async fn send(&self, address: SocketAddr, bytes: &[u8]) {
        if let Err(err) = self.socket.send_to(bytes, address).await {
            // The missing reply is noticed anyway, so this is logged for debugging only.
            log::debug!(target: "peer", peer = address.to_string(), reason = err.to_string();
                "cannot send datagram");
        }
    }

    /// Receives and handles datagrams until the task is dropped.
    pub(crate) async fn receive(host: Arc<EntryHost>) {
        let mut buf = vec![0; DATAGRAM_MAX_BYTES];
        loop {
            let (len, from) = match host.link.socket.recv_from(&mut buf).await {
                Ok(received) => received,
                Err(err) => {
                    warn!(target: "peer", reason = err.to_string(); "cannot receive datagram");
                    tokio::time::sleep(RECEIVE_ERROR_PAUSE).await;
                    continue;
                }
            };
            match decode(&buf[..len]) {
                Ok(datagram) => host.link.on_datagram(&host, from, datagram).await,
                Err(err) => {
                    warn!(target: "peer", peer = from.to_string(), reason = err.to_string();
                        "cannot decode datagram");
                }
            }
        }
    }

    /// Handles a datagram.
    async fn on_datagram(&self, host: &Arc<EntryHost>, from: SocketAddr, datagram: Datagram) {
        match datagram {
            Datagram::Bid { id, .. } if host.fleet().is_stopping() => {
                self.send(from, &encode(&Datagram::Leaving { id })).await;
            }
            Datagram::Leaving { id } => {
                let waiting = self.inner().waiting.remove(&id);
                // Sending fails if the request no longer waits for this reply.
                let _ = waiting.map(|tx| tx.send(Reply::Leaving));
            }
            Datagram::Bid {
                id,
                request,
                crashes,
                limits,
            } => {
                let now = host.clock.now();
                {
                    let mut fleet = host.fleet();
                    fleet.on_crashes_shared(now, &crashes);
                    fleet.on_limits_told(now, &limits);
                }
                let decision = self.decision_for(host, from, id, &request);
                let crashes = host.fleet().crashes_to_share(now);
                let bytes = encode(&Datagram::Verdict {
                    id,
                    decision,
                    crashes,
                });
                self.send(from, &bytes).await;
            }
            Datagram::Verdict {
                id,
                decision,
                crashes,
            } => {
                host.fleet().on_crashes_shared(host.clock.now(), &crashes);
                self.on_decision(from, id, decision);
            }
            Datagram::Shares { service, shards } => {
                let now = host.clock.now();
                host.fleet().on_shares(now, from, service, shards);
            }
            Datagram::SuspectRequests(list) => self.on_suspects_told(host, &list),
            Datagram::Origin(origin) => {
                let now = host.clock.now();
                host.fleet().on_stream_told(now, &origin);
            }
            Datagram::OriginRequest {
                id,
                key,
                service,
                claimed_tokens,
            } => {
                let question = OriginQuestion {
                    key,
                    service,
                    claimed_tokens,
                };
                self.on_origin_request(host, from, id, question).await;
            }
            Datagram::OriginReply {
                id,
                origin,
                is_claimed,
            } => self.on_origin_reply(from, id, origin, is_claimed),
            Datagram::Probe => self.on_probe(host, from).await,
            Datagram::ProbeReply => self.on_reply(host.clock.now(), from),
            Datagram::RolloutReport(report) => self.on_report(host, from, report),
            Datagram::RolloutPermit(permit) => self.on_permit(host, from, permit),
            Datagram::Progress(list) => on_progress(host, &list),
        }
    }

    /// Answers a probe, unless this host cannot schedule.
    async fn on_probe(&self, host: &EntryHost, from: SocketAddr) {
        let can_schedule = host.fleet().can_schedule();
        if can_schedule {
            self.send(from, &encode(&Datagram::ProbeReply)).await;
        }
    }

    /// Hands a decision to the request that waits for it. If none does any more, the reservation that the
    /// scheduler has made is released.
    fn on_decision(&self, from: SocketAddr, id: u64, decision: ScheduleDecision) {
        let waiting = self.inner().waiting.remove(&id);
        let is_unclaimed = match waiting {
            Some(tx) => tx.send(Reply::Decision(decision)).is_err(),
            None => true,
        };
        if is_unclaimed && let ScheduleDecision::Start { reservation, .. } = decision {
            let step = ProgressStep::Ended;
            self.add_report(from, Progress { reservation, step });
        }
    }

    /// The decision on a schedule request of another host: the kept one if the request has been
    /// received before, or else a new one.
    fn decision_for(
        &self,
        host: &EntryHost,
        from: SocketAddr,
        id: u64,
        request: &ScheduleRequest,
    ) -> ScheduleDecision {
        let now = host.clock.now();
        let recent = self.inner().decisions.get(&(from, id)).copied();
        if let Some(recent) = recent {
            return recent.decision;
        }
        self.has_decided.notify_one();
        let decision = host.fleet().decide(now, request);
        let drop_at = now + DECISION_RETENTION;
        let recent = RecentDecision { decision, drop_at };
        let mut inner = self.inner();
        if inner.decisions.len() >= inner.decision_sweep_threshold {
            inner
                .decisions
                .retain(|_, recent| !recent.drop_at.has_passed(now));
            inner.decision_sweep_threshold =
                DECISION_SWEEP_THRESHOLD_MIN.max(2 * inner.decisions.len());
        }
        inner.decisions.insert((from, id), recent);
        decision
    }

    /// Wakes [`Link::send_shares`], since this host has refused a request by itself.
    pub(crate) fn on_refused_by_host(&self) {
        self.has_decided.notify_one();
    }

    /// Sends reports on the work at this host's shards, and on what it has refused by itself, to the schedulers
    /// of other shards until the task is dropped.
    pub(crate) async fn send_shares(host: Arc<EntryHost>) {
        loop {
            host.link.has_decided.notified().await;
            tokio::time::sleep(SHARES_PERIOD).await;
            let now = host.clock.now();
            let to_send = host.fleet().shares_to_send(now);
            for (service, shard_count, shards) in to_send {
                let schedulers: HashSet<_> = {
                    let inner = host.link.inner();
                    let all = (0..shard_count).map(|index| Shard {
                        index,
                        count: shard_count,
                    });
                    all.filter_map(|shard| inner.peers.scheduler(now, shard.scheduler_key(service)))
                        .collect()
                };
                let bytes = encode(&Datagram::Shares { service, shards });
                for address in schedulers {
                    host.link.send(address, &bytes).await;
                }
            }
        }
    }

    /// Sends queued progress reports in batches until the task is dropped.
    pub(crate) async fn report(host: Arc<EntryHost>) {
        loop {
            host.link.has_reports.notified().await;
            tokio::time::sleep(REPORT_DELAY).await;
            let reports = std::mem::take(&mut host.link.inner().reports);
            for (address, list) in reports {
                for chunk in list.chunks(REPORTS_PER_DATAGRAM) {
                    let bytes = encode(&Datagram::Progress(chunk.to_vec()));
                    host.link.send(address, &bytes).await;
                }
            }
        }
    }

    /// Wraps a reservation, so that the progress of its request is reported to the scheduler.
    pub(crate) fn scheduled(
        host: &Arc<EntryHost>,
        scheduler: Option<SocketAddr>,
        reservation: ReservationId,
        parts: Box<[u64]>,
    ) -> ScheduledRequest {
        ScheduledRequest {
            host: Arc::downgrade(host),
            scheduler,
            reservation,
            sent_at: host.clock.now(),
            lag_at_sending: Duration::ZERO,
            parts,
            is_answered: false,
        }
    }
}

/// Passes reports on to this host's scheduler.
fn on_progress(host: &EntryHost, list: &[Progress]) {
    let now = host.clock.now();
    let mut fleet = host.fleet();
    for progress in list {
        fleet.on_progress(now, progress);
    }
}
