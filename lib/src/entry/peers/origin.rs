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
use crate::entry::host::EntryHost;
use crate::entry::stream_origins::KnownOrigin;
use crate::entry::stream_origins::OriginSearch;
use crate::entry::stream_origins::StreamKey;
use crate::entry::stream_origins::StreamOrigin;
use crate::entry::stream_origins::VersionId;

/// Hosts that are told where a stream began, all in different failure domains if there are enough. A
/// fleet loses what it knows only if it loses all of them and the host of the stream at once.
const ORIGIN_HOMES: usize = 4;
/// Hosts that are asked. It is more than are told, since hosts may have joined meanwhile.
const ORIGIN_HOMES_ASKED: usize = 6;

impl Link {
    /// Tells a few other hosts where a stream began.
    pub(crate) async fn tell_origin(&self, origin: &StreamOrigin) {
        let homes = self.inner().peers.homes(origin.key.0, ORIGIN_HOMES);
        let bytes = encode(&Datagram::Origin(*origin));
        for address in homes {
            self.send(address, &bytes).await;
        }
    }

    /// Asks other hosts where a stream of a service began, until one knows it or all have answered.
    /// Hosts that do not answer are asked once more. The answers of the others are in `search`.
    pub(crate) async fn find_origin(
        &self,
        key: StreamKey,
        service: u64,
        search: &mut OriginSearch,
    ) -> Option<VersionId> {
        let (tx, mut rx) = mpsc::unbounded_channel();
        let (id, homes) = {
            let mut inner = self.inner();
            inner.next_id += 1;
            let id = inner.next_id;
            inner.origin_requests.insert(id, tx);
            (id, inner.peers.homes(key.0, ORIGIN_HOMES_ASKED))
        };
        let _waiting = WaitGuard { link: self, id };
        let mut silent: HashSet<_> = homes.into_iter().collect();
        let bytes = encode(&Datagram::OriginRequest {
            id,
            key,
            service,
            claimed_tokens: 0,
        });
        for timeout in REPLY_TIMEOUTS {
            for address in &silent {
                self.send(*address, &bytes).await;
            }
            let answers = async {
                while !silent.is_empty() {
                    let (from, answer) = rx.recv().await?;
                    let is_first = silent.remove(&from);
                    if is_first && let Some(version) = search.on_answer(answer) {
                        return Some(version);
                    }
                }
                None
            };
            // `None` also if the hosts that have answered do not know the stream.
            let found = wait_for(std::pin::pin!(answers), timeout).await.flatten();
            if found.is_some() || silent.is_empty() {
                return found;
            }
        }
        None
    }
    /// Answers another host that asks where a stream began.
    pub(super) async fn on_origin_request(
        &self,
        host: &Arc<EntryHost>,
        from: SocketAddr,
        id: u64,
        key: StreamKey,
        service: u64,
    ) {
        let now = host.clock.now();
        let origin = host.fleet().stream_origin(now, Some(key), service);
        let bytes = encode(&Datagram::OriginReply {
            id,
            origin,
            is_claimed: false,
        });
        self.send(from, &bytes).await;
    }

    /// Hands the answer of another host to the request that waits for it.
    pub(super) fn on_origin_reply(&self, from: SocketAddr, id: u64, origin: KnownOrigin) {
        let inner = self.inner();
        // Sending fails if the request no longer waits for this reply.
        let _ = inner
            .origin_requests
            .get(&id)
            .map(|tx| tx.send((from, origin)));
    }
}
