//! Tells other hosts where streams began, and asks them where a stream began that a caller takes up.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::mpsc;

use super::codec::Datagram;
use super::codec::encode;
use super::link::Link;
use super::link::REPLY_TIMEOUTS;
use super::link::WaitGuard;
use super::reply::wait_for;
use super::selection::Peers;
use crate::entry::host::EntryHost;
use crate::entry::stream_origins::Claimant;
use crate::entry::stream_origins::KnownOrigin;
use crate::entry::stream_origins::OriginSearch;
use crate::entry::stream_origins::StreamKey;
use crate::entry::stream_origins::StreamOrigin;
use crate::entry::stream_origins::VersionId;
use crate::time::Timestamp;

/// Hosts that are told where a stream began and keep its claim, the homes of the stream, all in different failure domains if there are enough. A
/// fleet loses what it knows only if it loses all of them and the host of the stream at once.
const ORIGIN_HOMES: usize = 4;
/// Hosts that are asked. It is more than are told, since hosts may have joined meanwhile.
const ORIGIN_HOMES_ASKED: usize = 6;

/// What a host asks the homes of a stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OriginQuestion {
    pub(crate) key: StreamKey,
    /// Hash of the name of the service.
    pub(crate) service: u64,
    /// Tokens of the request that claims to continue the stream, 0 if it makes no claim.
    pub(crate) claimed_tokens: u64,
}

/// Hosts that remember a stream.
struct Homes {
    others: Vec<SocketAddr>,
    /// Whether this host is one of them.
    has_own: bool,
}

impl Homes {
    /// The homes among the hosts that are known now.
    fn new(peers: &Peers, key: StreamKey) -> Self {
        let others = peers.homes(key.0, ORIGIN_HOMES);
        // The list is complete without this host only if it is none of them.
        let has_own = others.len() < ORIGIN_HOMES;
        Self { others, has_own }
    }

    fn count(&self) -> usize {
        self.others.len() + usize::from(self.has_own)
    }
}

impl Link {
    /// Tells the homes of a stream where it began.
    pub(crate) async fn tell_origin(&self, host: &Arc<EntryHost>, origin: &StreamOrigin) {
        let homes = Homes::new(&self.inner().peers, origin.key);
        if homes.has_own {
            host.fleet().on_stream_told(host.clock.now(), origin);
        }
        let bytes = encode(&Datagram::Origin(*origin));
        for address in homes.others {
            self.send(address, &bytes).await;
        }
    }

    /// Asks other hosts where a stream of a service began, until one knows it and it is clear whether the
    /// request has the claim to continue the stream, or all have answered. Hosts that do not answer are
    /// asked once more. `own_version` is what this host knows. The answers of the others are in `search`.
    /// Returns the version, and whether the request has the claim. Nobody is waited for after `give_up_at`.
    pub(crate) async fn find_origin(
        &self,
        host: &Arc<EntryHost>,
        give_up_at: Timestamp,
        question: OriginQuestion,
        own_version: Option<VersionId>,
        search: &mut OriginSearch,
    ) -> (Option<VersionId>, bool) {
        let OriginQuestion {
            key,
            service,
            claimed_tokens,
        } = question;
        let (tx, mut rx) = mpsc::unbounded_channel();
        let (id, homes, asked) = {
            let mut inner = self.inner();
            inner.next_id += 1;
            let id = inner.next_id;
            inner.origin_requests.insert(id, tx);
            let asked = inner.peers.homes(key.0, ORIGIN_HOMES_ASKED);
            (id, Homes::new(&inner.peers, key), asked)
        };
        let _waiting = WaitGuard { link: self, id };
        if homes.has_own {
            let claimant = Claimant { host: None, id };
            let now = host.clock.now();
            let is_claimed = host
                .fleet()
                .claim_stream(now, key, claimant, claimed_tokens);
            search.on_claim_answer(is_claimed);
        }
        let homes = homes.count();
        let mut version = own_version;
        let mut silent: HashSet<_> = asked.into_iter().collect();
        let bytes = encode(&Datagram::OriginRequest {
            id,
            key,
            service,
            claimed_tokens,
        });
        for timeout in REPLY_TIMEOUTS {
            for address in &silent {
                self.send(*address, &bytes).await;
            }
            let answers = async {
                while !is_settled(version, search, claimed_tokens, homes, silent.len()) {
                    let (from, origin, is_claimed) = rx.recv().await?;
                    if silent.remove(&from) {
                        version = version.or(search.on_answer(origin));
                        search.on_claim_answer(is_claimed);
                    }
                }
                Some(())
            };
            let timeout = timeout.min(give_up_at.remaining(host.clock.now()));
            if wait_for(std::pin::pin!(answers), timeout).await.is_some() {
                break;
            }
        }
        (version, version.is_some() && search.has_claim(homes))
    }

    /// Answers another host that asks where a stream began.
    pub(super) async fn on_origin_request(
        &self,
        host: &Arc<EntryHost>,
        from: SocketAddr,
        id: u64,
        question: OriginQuestion,
    ) {
        let OriginQuestion {
            key,
            service,
            claimed_tokens,
        } = question;
        let now = host.clock.now();
        let claimant = Claimant {
            host: Some(from),
            id,
        };
        let (origin, is_claimed) = {
            let mut fleet = host.fleet();
            let origin = fleet.stream_origin(now, Some(key), service);
            let is_claimed = fleet.claim_stream(now, key, claimant, claimed_tokens);
            (origin, is_claimed)
        };
        let bytes = encode(&Datagram::OriginReply {
            id,
            origin,
            is_claimed,
        });
        self.send(from, &bytes).await;
    }

    /// Hands the answer of another host to the request that waits for it.
    pub(super) fn on_origin_reply(
        &self,
        from: SocketAddr,
        id: u64,
        origin: KnownOrigin,
        is_claimed: bool,
    ) {
        let inner = self.inner();
        // Sending fails if the request no longer waits for this reply.
        let _ = inner
            .origin_requests
            .get(&id)
            .map(|tx| tx.send((from, origin, is_claimed)));
    }
}

/// Whether nothing more can be learned from the hosts that have not answered, of which there are
/// `unanswered`.
fn is_settled(
    version: Option<VersionId>,
    search: &OriginSearch,
    claimed_tokens: u64,
    homes: usize,
    unanswered: usize,
) -> bool {
    let is_claim_settled =
        claimed_tokens == 0 || search.has_claim(homes) || !search.may_get_claim(homes, unanswered);
    unanswered == 0 || version.is_some() && is_claim_settled
}
