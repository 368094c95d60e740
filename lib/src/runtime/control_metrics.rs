//! Metrics of the control thread.

use std::time::Duration;

use prometheus::IntCounter;
use prometheus::IntGauge;

use crate::message::ServerPhase;
use crate::metrics::Metrics;
use crate::peer::LinkCounters;
use crate::peer::LinkRefusal;
use crate::status::PoolStatus;
use crate::status::ServerStatus;
use crate::status::Status;

/// Time between two updates of the metrics.
pub(super) const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// Gauges and counters that mirror the state of the control thread. [`Self::new`] states the name
/// and the help text of each.
///
/// A shard, or pool, is the set of backend servers that offer one service in one failure domain.
/// The metrics of pools and servers cover only the shards that this host schedules. A bid announces
/// a waiting request to the scheduler. A server is cold while its capacity is unknown.
pub(super) struct ControlMetrics {
    revision: IntGauge,
    hosts_alive: IntGauge,
    waiting: IntGauge,
    running: IntGauge,
    pools: IntGauge,
    pool_backlog: IntGauge,
    servers_cold: IntGauge,
    cold_returns: IntCounter,
    peer_bytes_in: IntCounter,
    peer_bytes_out: IntCounter,
    peer_messages_out: IntCounter,
    peer_reconnects: IntCounter,
    peer_refused: IntCounter,
    peer_key_refused: IntCounter,
    /// Sum of the resets to the cold phase over all servers, at the last update.
    last_cold_returns: u64,
}

impl ControlMetrics {
    /// Registers the metrics.
    pub(super) fn new(metrics: &Metrics) -> prometheus::Result<Self> {
        Ok(Self {
            revision: metrics.gauge("config_revision", "Configuration in force.")?,
            hosts_alive: metrics.gauge("hosts_alive", "Hosts held to be alive.")?,
            waiting: metrics.gauge("requests_waiting", "Requests that wait on this host.")?,
            running: metrics.gauge("requests_running", "Requests that run through this host.")?,
            pools: metrics.gauge("pools_scheduled", "Shards that this host schedules.")?,
            pool_backlog: metrics.gauge("pool_backlog", "Bids that wait in those shards.")?,
            servers_cold: metrics.gauge("servers_cold", "Servers of those shards held cold.")?,
            cold_returns: metrics.counter("cold_returns_total", "Servers that turned cold.")?,
            peer_bytes_in: metrics.counter("peer_bytes_in_total", "Bytes from other hosts.")?,
            peer_bytes_out: metrics.counter("peer_bytes_out_total", "Bytes to other hosts.")?,
            peer_messages_out: metrics.counter("peer_messages_out_total", "Messages sent.")?,
            peer_reconnects: metrics.counter("peer_reconnects_total", "Links made again.")?,
            peer_refused: metrics.counter("peer_refused_total", "Refused by the links.")?,
            peer_key_refused: metrics.counter("peer_key_refused_total", "Wrong fleet keys.")?,
            last_cold_returns: 0,
        })
    }

    /// Sets the metrics to the current state.
    pub(super) fn update(&mut self, status: &Status, links: &LinkCounters) {
        let alive = status.hosts.iter().filter(|host| host.alive).count();
        set(&self.revision, status.revision);
        set(&self.hosts_alive, alive as u64);
        set(&self.waiting, status.waiting);
        set(&self.running, status.running);
        self.update_pools(&status.pools);
        self.update_links(links);
    }

    fn update_pools(&mut self, pools: &[PoolStatus]) {
        let servers = || pools.iter().flat_map(|pool| &pool.servers);
        let is_cold = |server: &&ServerStatus| server.phase == ServerPhase::Cold;
        set(&self.pools, pools.len() as u64);
        set(
            &self.pool_backlog,
            pools.iter().map(|pool| pool.waiting).sum(),
        );
        set(&self.servers_cold, servers().filter(is_cold).count() as u64);
        // The sum falls when this host stops scheduling a shard, but a counter must not fall.
        let returns = servers().map(|server| u64::from(server.cold_returns)).sum();
        self.cold_returns
            .inc_by(u64::saturating_sub(returns, self.last_cold_returns));
        self.last_cold_returns = returns;
    }

    fn update_links(&self, links: &LinkCounters) {
        let totals = links.snapshot();
        let refused = LinkRefusal::ALL.iter().map(|kind| links.refused(*kind));
        raise_to(&self.peer_bytes_in, totals.bytes_in);
        raise_to(&self.peer_bytes_out, totals.bytes_out);
        raise_to(&self.peer_messages_out, totals.messages_out);
        raise_to(&self.peer_reconnects, totals.reconnects);
        raise_to(&self.peer_refused, refused.sum());
        raise_to(&self.peer_key_refused, links.refused(LinkRefusal::Key));
    }
}

fn set(gauge: &IntGauge, value: u64) {
    gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
}

/// Raises a metric to `total`, the value of a counter of the links that never falls.
fn raise_to(counter: &IntCounter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}
