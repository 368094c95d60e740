//! Questions to schedulers and their answers, over datagrams.

use std::collections::HashMap;
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
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64;

use super::codec::Datagram;
use super::codec::decode;
use super::codec::encode;
use super::selection::Peer;
use super::selection::Peers;
use crate::entry::host::EntryHost;
use crate::entry::schedule::Progress;
use crate::entry::schedule::ProgressStep;
use crate::entry::schedule::ReservationId;
use crate::entry::schedule::ScheduleDecision;
use crate::entry::schedule::ScheduleRequest;
use crate::time::Timestamp;

/// Times to wait for an answer before a bid is sent again, and before the scheduler counts as
/// silent. A round trip takes 2 to 3 ms between failure domains, and a host whose processor time
/// is a quota may pause for most of a tenth of a second.
const ANSWER_TIMEOUTS: [Duration; 2] = [Duration::from_millis(40), Duration::from_millis(60)];
/// How long the verdict on a bid is kept for the case that the bid is sent again.
const VERDICT_RETENTION: Duration = Duration::from_millis(500);
/// How long reports on what became of requests wait for others to go with them.
const REPORT_DELAY: Duration = Duration::from_millis(20);
/// Wait after a failed read of the socket, so that a lasting fault does not spin.
const RECEIVE_ERROR_PAUSE: Duration = Duration::from_millis(20);
/// Kept verdicts from which on those that are old are dropped: half a second of a busy shard.
const VERDICT_SWEEP_THRESHOLD: usize = 256;
/// Reports in one datagram: about 25 bytes each, well below the size of a packet.
const REPORTS_PER_DATAGRAM: usize = 40;
/// Largest datagram that is read, bytes.
const DATAGRAM_MAX_BYTES: usize = 8 << 10;

/// The link of a host to its peers.
pub(crate) struct Link {
    socket: UdpSocket,
    inner: Mutex<Inner>,
    /// Told when there are reports.
    has_reports: Notify,
}

struct Inner {
    peers: Peers,
    next_id: u64,
    waiting: HashMap<u64, oneshot::Sender<Reply>>,
    verdicts: HashMap<(SocketAddr, u64), KeptVerdict>,
    /// Number of kept verdicts at which those that are old are dropped.
    verdict_sweep_threshold: usize,
    reports: HashMap<SocketAddr, Vec<Progress>>,
}

/// Answer to a bid.
#[derive(Clone, Copy)]
enum Reply {
    Verdict(ScheduleDecision),
    /// The host is going to stop.
    Leaving,
}

#[derive(Clone, Copy)]
struct KeptVerdict {
    verdict: ScheduleDecision,
    drop_at: Timestamp,
}

/// A request that a scheduler let begin. Its end is reported when this is dropped.
pub(crate) struct ScheduledRequest {
    host: Weak<EntryHost>,
    /// Where the scheduler is, `None` for this host itself.
    scheduler: Option<SocketAddr>,
    reservation: ReservationId,
    sent_at: Timestamp,
}

impl ScheduledRequest {
    /// The request is being sent.
    pub(crate) fn on_sent(&mut self, now: Timestamp) {
        self.sent_at = now;
    }

    /// The answer has begun.
    pub(crate) fn on_response_started(&self, now: Timestamp) {
        let after = now.since(self.sent_at);
        self.report(ProgressStep::ResponseStarted { after });
    }

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
        self.report(ProgressStep::Ended);
    }
}

impl Link {
    pub(crate) fn new(socket: UdpSocket, own: &Peer, first_id: u64) -> Self {
        Self {
            socket,
            inner: Mutex::new(Inner {
                peers: Peers::new(own),
                next_id: first_id,
                waiting: HashMap::new(),
                verdicts: HashMap::new(),
                verdict_sweep_threshold: VERDICT_SWEEP_THRESHOLD,
                reports: HashMap::new(),
            }),
            has_reports: Notify::new(),
        }
    }

    fn add_report(&self, scheduler: SocketAddr, progress: Progress) {
        let mut inner = self.inner();
        inner.reports.entry(scheduler).or_default().push(progress);
        self.has_reports.notify_one();
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// These are all hosts of the fleet.
    pub(crate) fn set_peers(&self, peers: &[Peer]) {
        self.inner().peers.set(peers);
    }

    /// This host is going to stop: others decide from now on.
    pub(crate) fn leave(&self) {
        self.inner().peers.leave();
    }

    /// Hosts to ask for objects of a kind in place of the platform.
    pub(crate) fn mirror_hosts(&self, kind: &str) -> Vec<SocketAddr> {
        self.inner().peers.mirror_hosts(xxh3_64(kind.as_bytes()))
    }

    /// Asks for a decision until a scheduler gives one; the last one is this host itself.
    pub(crate) async fn decide(
        &self,
        host: &Arc<EntryHost>,
        bid: &ScheduleRequest,
    ) -> (ScheduleDecision, Option<SocketAddr>) {
        loop {
            let now = host.clock.now();
            let scheduler = self
                .inner()
                .peers
                .scheduler(now, bid.shard.scheduler_key(bid.service));
            let Some(address) = scheduler else {
                return (host.fleet().decide(now, bid), None);
            };
            let reply = self.send_bid(address, bid).await;
            if let Some(Reply::Leaving) = reply {
                if self.inner().peers.on_leaving(host.clock.now(), address) {
                    info!(target: "peer", peer = address.to_string(); "is going to stop");
                }
                continue;
            }
            if let Some(Reply::Verdict(verdict)) = reply {
                if self.inner().peers.on_answer(address) {
                    info!(target: "peer", peer = address.to_string(); "answers again");
                }
                return (verdict, Some(address));
            }
            if self.inner().peers.on_no_answer(host.clock.now(), address) {
                warn!(target: "peer", peer = address.to_string(); "does not answer");
            }
        }
    }

    /// Puts a question to one host.
    async fn send_bid(&self, address: SocketAddr, bid: &ScheduleRequest) -> Option<Reply> {
        let (tx, mut rx) = oneshot::channel();
        let id = {
            let mut inner = self.inner();
            inner.next_id += 1;
            let id = inner.next_id;
            inner.waiting.insert(id, tx);
            id
        };
        let bytes = encode(&Datagram::Bid {
            id,
            bid: bid.clone(),
        });
        let mut answer = None;
        for timeout in ANSWER_TIMEOUTS {
            self.send(address, &bytes).await;
            if let Ok(reply) = tokio::time::timeout(timeout, &mut rx).await {
                answer = reply.ok();
                break;
            }
        }
        self.inner().waiting.remove(&id);
        answer
    }

    async fn send(&self, address: SocketAddr, bytes: &[u8]) {
        if let Err(err) = self.socket.send_to(bytes, address).await {
            // Nothing is lost that a missing answer would not show, too.
            log::debug!(target: "peer", peer = address.to_string(), reason = err.to_string();
                "datagram not sent");
        }
    }

    /// Reads datagrams until the task is dropped.
    pub(crate) async fn receive(host: Arc<EntryHost>) {
        let mut buf = vec![0; DATAGRAM_MAX_BYTES];
        loop {
            let (len, from) = match host.link.socket.recv_from(&mut buf).await {
                Ok(received) => received,
                Err(err) => {
                    warn!(target: "peer", reason = err.to_string(); "datagram not received");
                    tokio::time::sleep(RECEIVE_ERROR_PAUSE).await;
                    continue;
                }
            };
            match decode(&buf[..len]) {
                Ok(datagram) => host.link.on_datagram(&host, from, datagram).await,
                Err(err) => {
                    warn!(target: "peer", peer = from.to_string(), reason = err.to_string();
                        "unreadable datagram");
                }
            }
        }
    }

    async fn on_datagram(&self, host: &Arc<EntryHost>, from: SocketAddr, datagram: Datagram) {
        match datagram {
            Datagram::Bid { id, .. } if host.fleet().is_stopping() => {
                self.send(from, &encode(&Datagram::Leaving { id })).await;
            }
            Datagram::Leaving { id } => {
                let waiting = self.inner().waiting.remove(&id);
                // Whoever asked may have turned to another host.
                let _ = waiting.map(|tx| tx.send(Reply::Leaving));
            }
            Datagram::Bid { id, bid } => {
                let verdict = self.verdict_for(host, from, id, &bid);
                let bytes = encode(&Datagram::Verdict { id, verdict });
                self.send(from, &bytes).await;
            }
            Datagram::Verdict { id, verdict } => {
                let waiting = self.inner().waiting.remove(&id);
                let is_unclaimed = match waiting {
                    Some(tx) => tx.send(Reply::Verdict(verdict)).is_err(),
                    None => true,
                };
                if is_unclaimed && let ScheduleDecision::Start { reservation, .. } = verdict {
                    let step = ProgressStep::Ended;
                    self.add_report(from, Progress { reservation, step });
                }
            }
            Datagram::Progress(list) => {
                let now = host.clock.now();
                let mut fleet = host.fleet();
                for progress in &list {
                    fleet.on_progress(now, progress);
                }
            }
        }
    }

    /// Decides on a bid, once.
    fn verdict_for(
        &self,
        host: &EntryHost,
        from: SocketAddr,
        id: u64,
        bid: &ScheduleRequest,
    ) -> ScheduleDecision {
        let now = host.clock.now();
        let kept = self.inner().verdicts.get(&(from, id)).copied();
        if let Some(kept) = kept {
            return kept.verdict;
        }
        let verdict = host.fleet().decide(now, bid);
        let drop_at = now + VERDICT_RETENTION;
        let kept = KeptVerdict { verdict, drop_at };
        let mut inner = self.inner();
        if inner.verdicts.len() >= inner.verdict_sweep_threshold {
            inner
                .verdicts
                .retain(|_, kept| !kept.drop_at.has_passed(now));
            inner.verdict_sweep_threshold = VERDICT_SWEEP_THRESHOLD.max(2 * inner.verdicts.len());
        }
        inner.verdicts.insert((from, id), kept);
        verdict
    }

    /// Reports what became of requests until the task is dropped.
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

    /// The record of a request that a scheduler let begin.
    pub(crate) fn scheduled(
        host: &Arc<EntryHost>,
        scheduler: Option<SocketAddr>,
        reservation: ReservationId,
    ) -> ScheduledRequest {
        ScheduledRequest {
            host: Arc::downgrade(host),
            scheduler,
            reservation,
            sent_at: host.clock.now(),
        }
    }
}
