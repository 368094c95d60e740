//! Applies updates of platform objects to the state of an entry host.
//!
//! An entry host is a reverse proxy between callers and backend servers. The platform is the
//! external system that stores the configuration, the announcements of servers and the list of
//! hosts as named objects. The fleet is the entry hosts and the backend servers together; this host
//! keeps what it knows of it in `Fleet`.
//!
//! One task follows each kind of object: configuration, servers, evacuations (failure domains taken
//! out of service) and hosts. Objects that cannot be parsed are counted and logged, and the rest is
//! still applied. When the platform is unreachable, the host goes on with the state it has.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use futures::FutureExt;
use log::info;
use log::warn;
use tokio::sync::Notify;
use tokio::task::JoinSet;

use super::config::FleetConfig;
use super::dialect::ServerAnnouncement;
use super::forward::millis;
use super::host::EntryHost;
use super::host::RegisterFuture;
use super::host::Sources;
use super::peers::Peer;
use super::rollout::StoredRollout;
use super::servers::ServerChange;
use super::source::Item;
use super::source::KeptObjects;
use super::source::Source;
use super::source::Update;
use super::source::follow;
use crate::platform::Backoff;
use crate::time::Timestamp;

/// Safety margin subtracted from the announce grace. A server's announcement on the platform
/// expires if the server cannot renew it during an outage of the platform. The announce grace is
/// the setting that limits how long such a server stays in use after the outage. With the margin, a
/// server that does not announce itself again is removed before that limit.
const ANNOUNCE_GRACE_MARGIN: Duration = Duration::from_millis(200);
/// Pause after changes to servers, so that the next call returns several changes, as a fraction of
/// the announce grace, for which a leaving server may still get requests. Every server announces
/// itself once per second at its own time, and each call to the platform is paid for.
const SERVER_BATCH_FRACTION: f64 = 0.2;
/// Longest time for which a starting host waits for the list of hosts before it reads other objects.
const PEERS_WAIT: Duration = Duration::from_millis(500);
/// Pause after changes to the list of hosts. When the whole fleet starts, each host registers itself
/// at another time.
const HOSTS_BATCH_INTERVAL: Duration = Duration::from_millis(250);
/// First pause after a failed registration: about twenty times the response time of the platform.
const REGISTER_RETRY_FIRST: Duration = Duration::from_millis(100);
/// Longest pause after failed registrations. A late registration delays only this host's share of
/// the limits that are divided among the registered hosts: on retries, and on requests to servers
/// in a cold start, the time after a server's start in which it can take only a few requests per
/// second.
const REGISTER_RETRY_MAX: Duration = Duration::from_secs(2);

/// For each source, spawns a task that follows the source and applies its updates.
/// `registration` is notified when the list of hosts lacks `own`, the entry of this host.
pub(crate) fn spawn_all(
    tasks: &mut JoinSet<()>,
    host: &Arc<EntryHost>,
    sources: Sources,
    own: &Peer,
    registration: Arc<Notify>,
) {
    // A host that starts asks other hosts for most objects, so it reads the list of hosts first.
    let start = host.clone();
    let after_peers = move || {
        let host = start.clone();
        async move {
            wait_for_peers(&host).await;
        }
    };
    let state = host.clone();
    let config = follow(
        sources.config,
        Duration::ZERO,
        host.clone(),
        move |update| {
            on_config(&state, update);
        },
    );
    tasks.spawn(after_peers().then(|()| config));
    let state = host.clone();
    let mut regained_at = None;
    let announce_grace = host.fleet().bounds().announce_grace;
    let servers = follow(
        sources.servers,
        announce_grace.mul_f64(SERVER_BATCH_FRACTION),
        host.clone(),
        move |update| {
            on_servers(&state, &mut regained_at, update);
        },
    );
    tasks.spawn(after_peers().then(|()| servers));
    let state = host.clone();
    let mut evacuated = KeptObjects::default();
    let evacuations = follow(
        sources.evacuations,
        Duration::ZERO,
        host.clone(),
        move |update| {
            if apply_update(&state, "evacuation", &mut evacuated, update) {
                let domains: HashSet<_> = evacuated.iter().map(|(name, ())| name.clone()).collect();
                let names: Vec<_> = domains.iter().map(CompactString::as_str).collect();
                info!(target: "fleet", domains = names.join(",");
                    "failure domains out of service changed");
                state.fleet().set_evacuated(domains);
            }
        },
    );
    tasks.spawn(after_peers().then(|()| evacuations));
    let state = host.clone();
    let mut peers = KeptObjects::default();
    let own = own.clone();
    tasks.spawn(follow(
        sources.hosts,
        HOSTS_BATCH_INTERVAL,
        host.clone(),
        move |update| {
            let is_complete = matches!(update, Update::Listed(_) | Update::Removed(_));
            if apply_update(&state, "host", &mut peers, update) {
                let count = peers.iter().count();
                info!(target: "fleet", hosts = count; "registered hosts changed");
                let count = i64::try_from(count).unwrap_or(i64::MAX);
                state.stats.hosts.set(count);
                // The fleet divides its limits among the hosts by name. The link, which exchanges
                // datagrams with other hosts, selects schedulers and mirror hosts among them.
                state
                    .fleet()
                    .set_hosts(peers.iter().map(|(name, _)| name.as_str()));
                let list: Vec<_> = peers.iter().map(|(_, peer)| peer.clone()).collect();
                state.link.set_peers(&list);
            }
            if is_complete {
                state.link.on_peers_listed();
            }
            if is_complete && peers.stored(&own.name) != Some(&own) {
                registration.notify_one();
            }
        },
    ));
}

/// Spawns a task that follows the orders to roll out versions.
pub(crate) fn spawn_rollouts(
    tasks: &mut JoinSet<()>,
    host: &Arc<EntryHost>,
    source: Source<StoredRollout>,
) {
    let state = host.clone();
    let mut stored = KeptObjects::default();
    let following = follow(source, Duration::ZERO, host.clone(), move |update| {
        let confirmed_at = match &update {
            Update::Confirmed(at) => Some(*at),
            _ => None,
        };
        if apply_update(&state, "rollout", &mut stored, update) {
            let now = state.clock.now();
            let changes = state.fleet().rollouts().on_orders(now, stored.iter());
            for order in &changes.set {
                info!(target: "rollout", service = order.service.as_str(),
                    version = order.target_name.as_str(), order = format!("{:x}", order.identity),
                    state = order.state.name(), duration_ms = millis(order.duration);
                    "order read");
            }
        }
        if let Some(at) = confirmed_at {
            state.fleet().rollouts().on_confirmed(at);
        }
    });
    let start = host.clone();
    tasks.spawn(async move {
        wait_for_peers(&start).await;
        following.await;
    });
}

/// Waits some time for the list of hosts, so that objects can be read from mirror hosts.
async fn wait_for_peers(host: &EntryHost) {
    let waited = tokio::time::timeout(PEERS_WAIT, host.link.wait_for_peers()).await;
    if waited.is_err() {
        info!(target: "platform", "list of hosts is not known yet; reading other objects");
    }
}

/// Registers this host on the platform each time that `registration` is notified; retries until a
/// call succeeds. A host is missing in the list when it starts for the first time, and when the
/// platform has gone back to a state from before that.
pub(crate) async fn register(
    call: Box<dyn Fn() -> RegisterFuture + Send + Sync>,
    registration: Arc<Notify>,
) {
    let mut backoff = Backoff::new(REGISTER_RETRY_FIRST, REGISTER_RETRY_MAX);
    loop {
        registration.notified().await;
        backoff.reset();
        while let Err(err) = call().await {
            warn!(target: "platform", reason = err.to_string();
                "cannot register this host; retrying");
            tokio::time::sleep(backoff.next_delay()).await;
        }
        info!(target: "platform", "host registered");
    }
}

/// Handles an update of the configuration.
fn on_config(host: &EntryHost, update: Update<FleetConfig>) {
    let items = match update {
        Update::Listed(items) => items,
        Update::Set(item) => vec![item],
        // Whether keys are accepted and requests denied depends on how long ago the configuration
        // was known to be the newest (see `admission`).
        Update::Confirmed(at) => {
            host.fleet().confirm_config(at);
            return;
        }
        Update::Lost => {
            host.stats
                .platform_lost
                .with_label_values(&["config"])
                .inc();
            return;
        }
        // A configuration stays active until a newer one arrives.
        Update::Removed(_) | Update::Regained => return,
        Update::Restored => {
            host.fleet().on_config_restored(host.clock.now());
            return;
        }
    };
    for item in items {
        match item.value {
            Ok(config) => apply_config(host, config),
            Err(reason) => on_unreadable(host, "config", &item.name, &reason),
        }
    }
}

/// Activates a configuration if its version is newer than the active one's.
fn apply_config(host: &EntryHost, config: FleetConfig) {
    let version = config.version;
    let routes = config.route_count();
    let workspaces = config.workspaces.len();
    let objective = config.shortest_model_objective();
    let names: HashSet<_> = config.route_names().cloned().collect();
    let has_removed = {
        let fleet = host.fleet();
        let active = fleet.config();
        active.is_some_and(|active| active.route_names().any(|name| !names.contains(name)))
    };
    if host.fleet().apply_config(config) {
        if has_removed {
            host.fleet().retain_routes(&names);
            host.stats.retain_routes(|name| names.contains(name));
        }
        host.stats
            .config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        host.lag.lag().set_objective(objective);
        info!(target: "config", version = version, routes = routes, workspaces = workspaces;
            "configuration activated");
    }
}

/// Handles an update of the servers. `regained_at` keeps the time at which the last outage of the
/// platform ended, `None` if there was none.
fn on_servers(
    host: &EntryHost,
    regained_at: &mut Option<Timestamp>,
    update: Update<ServerAnnouncement>,
) {
    let now = host.clock.now();
    match update {
        Update::Listed(items) => {
            let until = usable_until(host, *regained_at, now);
            let mut entries = Vec::new();
            for item in items {
                match item.value {
                    Ok(entry) => entries.push(entry),
                    Err(reason) => on_unreadable(host, "server", &item.name, &reason),
                }
            }
            info!(target: "server", count = entries.len(); "servers listed");
            let missing = host.fleet().apply_server_list(now, entries, until);
            for instance in missing {
                info!(target: "server", server = instance.as_str(), kept = until.is_some();
                    "announcement missing from the list");
            }
        }
        Update::Set(item) => on_announcement(host, item),
        Update::Removed(instance) => {
            let until = usable_until(host, *regained_at, now);
            if host.fleet().withdraw_server(now, &instance, until) {
                info!(target: "server", server = instance.as_str(), kept = until.is_some();
                    "announcement removed");
            }
        }
        Update::Confirmed(at) => {
            host.fleet().confirm_servers(at);
            return;
        }
        Update::Lost => host
            .stats
            .platform_lost
            .with_label_values(&["server"])
            .inc(),
        Update::Regained => *regained_at = Some(now),
        Update::Restored => {
            // Announcements that were written since are missing until the servers renew them, as
            // after an outage.
            *regained_at = Some(now);
            host.fleet().on_servers_restored();
        }
    }
    let servers = host.fleet().servers().count();
    host.stats
        .servers
        .set(i64::try_from(servers).unwrap_or(i64::MAX));
}

/// Time until which a server stays in use if its announcement goes missing now; `None` if it must
/// not be used any more. It stays in use only if the platform came back shortly before, because
/// then the announcement may have expired only because the server could not renew it.
fn usable_until(
    host: &EntryHost,
    regained_at: Option<Timestamp>,
    now: Timestamp,
) -> Option<Timestamp> {
    let grace = host.fleet().bounds().announce_grace;
    let until = regained_at? + grace.saturating_sub(ANNOUNCE_GRACE_MARGIN);
    (!until.has_passed(now)).then_some(until)
}

/// Adds or updates an announced server. If the announcement cannot be parsed, the server is removed
/// at once, also shortly after an outage.
fn on_announcement(host: &EntryHost, item: Item<ServerAnnouncement>) {
    let now = host.clock.now();
    match item.value {
        Ok(entry) => {
            // Whether the server is in its cold start.
            let cold = !entry.cold_until.has_passed(now);
            let service = entry.service.clone();
            match host.fleet().announce_server(now, entry) {
                ServerChange::Unchanged => {}
                change => info!(target: "server", server = item.name.as_str(),
                    service = service.as_str(), cold = cold, change:? = change; "server announced"),
            }
        }
        Err(reason) => {
            on_unreadable(host, "server", &item.name, &reason);
            host.fleet().withdraw_server(now, &item.name, None);
        }
    }
}

/// Counts and logs a platform object that cannot be parsed.
fn on_unreadable(host: &EntryHost, kind: &str, name: &str, reason: &str) {
    host.stats.unreadable.with_label_values(&[kind]).inc();
    warn!(target: "platform", kind = kind, name = name, reason = reason; "cannot parse object");
}

/// Applies an update to a set of objects. Returns whether the set has changed. An object that cannot
/// be parsed is left out of a complete list, which removes its earlier value; if a single change
/// cannot be parsed, the earlier value stays.
fn apply_update<T: PartialEq>(
    host: &EntryHost,
    kind: &str,
    known: &mut KeptObjects<T>,
    update: Update<T>,
) -> bool {
    let now = host.clock.now();
    let readable = |item: Item<T>| match item.value {
        Ok(value) => Some((item.name, value)),
        Err(reason) => {
            on_unreadable(host, kind, &item.name, &reason);
            None
        }
    };
    let is_expired = known.expire(now);
    let is_changed = match update {
        Update::Listed(items) => {
            let listed = items.into_iter().filter_map(readable).collect();
            known.list(now, listed)
        }
        Update::Set(item) => readable(item).is_some_and(|(name, value)| known.set(name, value)),
        Update::Removed(name) => known.remove(&name),
        Update::Restored => {
            known.on_restored(now);
            false
        }
        // During an outage the known objects stay in use. It is counted only for the configuration
        // and the servers.
        Update::Confirmed(_) | Update::Lost | Update::Regained => false,
    };
    is_changed || is_expired
}
