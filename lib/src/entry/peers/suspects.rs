//! Tells other hosts of requests that make servers crash.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::index::sample;

use super::codec::Datagram;
use super::codec::encode;
use super::link::Link;
use crate::crashing::SuspectRequest;
use crate::entry::host::EntryHost;
use crate::time::Timestamp;

/// Interval at which a host repeats which requests it suspects of making servers crash.
const SUSPECTS_PERIOD: Duration = Duration::from_secs(1);
/// Number of hosts that are told each time. Of the hosts that have restarted or were cut off, all but
/// one in 8,000 learn it within three seconds.
const SUSPECTS_PEERS: usize = 3;

impl Link {
    /// Tells the other hosts what is known of requests that make servers crash, until the task is
    /// dropped: news to all of them at once, and what is suspected to a few every second.
    pub(crate) async fn tell_suspects(host: Arc<EntryHost>) {
        let link = &host.link;
        let mut repeat_at = Timestamp::ZERO;
        loop {
            let news = link.has_suspect_news.notified();
            let has_suspects = host.fleet().request_quarantine().has_suspects();
            if has_suspects {
                // The end of the period ends the wait too, news or not.
                let period_end = host.clock.instant(repeat_at);
                let _ = tokio::time::timeout_at(period_end.into(), news).await;
            } else {
                news.await;
            }
            let now = host.clock.now();
            let news = host.fleet().request_quarantine().take_news(now);
            let all = link.inner().peers.addresses();
            link.send_suspects(&all, news).await;
            if repeat_at.has_passed(now) {
                repeat_at = now + SUSPECTS_PERIOD;
                let suspects = host.fleet().request_quarantine().suspects(now);
                let some = sample(&mut rand::rng(), all.len(), SUSPECTS_PEERS.min(all.len()));
                let some: Vec<_> = some.into_iter().map(|index| all[index]).collect();
                link.send_suspects(&some, vec![suspects]).await;
            }
        }
    }

    /// Adds what another host has told.
    pub(super) fn on_suspects_told(&self, host: &EntryHost, list: &[SuspectRequest]) {
        let now = host.clock.now();
        for report in list {
            host.fleet().request_quarantine().on_report(now, report);
        }
        self.on_suspect_news();
    }

    async fn send_suspects(&self, addresses: &[SocketAddr], lists: Vec<Vec<SuspectRequest>>) {
        for list in lists.into_iter().filter(|list| !list.is_empty()) {
            let bytes = encode(&Datagram::SuspectRequests(list));
            for address in addresses {
                self.send(*address, &bytes).await;
            }
        }
    }
}
