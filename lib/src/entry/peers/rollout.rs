//! Exchanges reports and permits about roll-outs with other hosts, and tells the place of hosts in the
//! rendezvous order in which they conduct the orders of a service.

use std::net::SocketAddr;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use super::codec::Datagram;
use super::codec::encode;
use super::link::Link;
use crate::entry::host::EntryHost;
use crate::entry::rollout::CONDUCTOR_HOSTS;
use crate::entry::rollout::RolloutPermit;
use crate::entry::rollout::RolloutReport;

/// Identifies a host by its address, which stays the same when its process restarts.
fn host_id(address: SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}

impl Link {
    /// Place of a host, `None` for this one, among those that may conduct the orders of a service.
    /// `None` if it is not one of them.
    pub(crate) fn conductor_rank(
        &self,
        service: u64,
        address: Option<SocketAddr>,
    ) -> Option<usize> {
        let homes = self.inner().peers.home_order(service, CONDUCTOR_HOSTS);
        homes.iter().position(|home| *home == address)
    }

    /// Sends a permit to all other hosts, and applies it here.
    pub(crate) async fn send_permit(&self, host: &Arc<EntryHost>, permit: RolloutPermit) {
        let now = host.clock.now();
        host.fleet().rollouts().on_permit(now, None, permit);
        let bytes = encode(&Datagram::RolloutPermit(permit));
        let addresses = self.inner().peers.addresses();
        for address in addresses {
            self.send(address, &bytes).await;
        }
    }

    /// Sends a report to the hosts that may conduct the order, this one included.
    pub(crate) async fn send_report(&self, host: &Arc<EntryHost>, report: RolloutReport) {
        let homes = self
            .inner()
            .peers
            .home_order(report.service, CONDUCTOR_HOSTS);
        let bytes = encode(&Datagram::RolloutReport(report.clone()));
        if homes.contains(&None) {
            let now = host.clock.now();
            let own = host_id(self.own_address());
            host.fleet().rollouts().on_report(now, own, report);
        }
        for address in homes.into_iter().flatten() {
            self.send(address, &bytes).await;
        }
    }

    /// Passes on the report of another host.
    pub(super) fn on_report(&self, host: &EntryHost, from: SocketAddr, report: RolloutReport) {
        let now = host.clock.now();
        let mut fleet = host.fleet();
        fleet.rollouts().on_report(now, host_id(from), report);
    }

    /// Passes on a permit of another host.
    pub(super) fn on_permit(&self, host: &EntryHost, from: SocketAddr, permit: RolloutPermit) {
        let rank = self.conductor_rank(permit.service, Some(from));
        let now = host.clock.now();
        host.fleet().rollouts().on_permit(now, rank, permit);
    }
}
