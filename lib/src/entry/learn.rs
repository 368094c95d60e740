//! Takes what the sources bring over into what the host knows.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use log::info;
use log::warn;
use tokio::task::JoinSet;

use super::config::FleetConfig;
use super::dialect::ServerEntry;
use super::host::EntryHost;
use super::host::RegisterFuture;
use super::host::Sources;
use super::peers::Peer;
use super::servers::ServerChange;
use super::source::Change;
use super::source::Item;
use super::source::Update;
use super::source::follow;
use crate::platform::Backoff;
use crate::time::Timestamp;

/// How long after the platform came back an announcement may be missing because it lapsed while
/// the platform was away. A little less than the bounds give servers, to keep within them.
const LAPSE_MARGIN: Duration = Duration::from_millis(200);
/// First pause after a failed registration: about twenty answer times of the platform.
const REGISTER_RETRY_FIRST: Duration = Duration::from_millis(100);
/// Longest pause after failed registrations: nothing waits for it but the share of this host.
const REGISTER_RETRY_MAX: Duration = Duration::from_secs(2);

/// Follows all sources until the tasks are dropped.
pub(crate) fn spawn_all(tasks: &mut JoinSet<()>, host: &Arc<EntryHost>, sources: Sources) {
    let clock = host.clock;
    let at = host.clone();
    tasks.spawn(follow(sources.config, clock, move |update| {
        on_config(&at, update);
    }));
    let at = host.clone();
    let mut regained_at = None;
    tasks.spawn(follow(sources.servers, clock, move |update| {
        on_servers(&at, &mut regained_at, update);
    }));
    let at = host.clone();
    let mut evacuated = HashSet::new();
    tasks.spawn(follow(sources.evacuations, clock, move |update| {
        if apply_names(&mut evacuated, update) {
            let domains: Vec<_> = evacuated.iter().map(CompactString::as_str).collect();
            info!(target: "fleet", domains = domains.join(","); "domains out of service");
            at.fleet().set_evacuated(evacuated.clone());
        }
    }));
    let at = host.clone();
    let mut peers = HashMap::new();
    tasks.spawn(follow(sources.hosts, clock, move |update| {
        on_peers(&at, &mut peers, update);
    }));
}

/// Registers this host, again and again until it is known to be.
pub(crate) async fn register(call: Box<dyn Fn() -> RegisterFuture + Send + Sync>) {
    let mut backoff = Backoff::new(REGISTER_RETRY_FIRST, REGISTER_RETRY_MAX);
    while let Err(err) = call().await {
        warn!(target: "platform", reason = err.to_string(); "registration failed");
        tokio::time::sleep(backoff.next_delay()).await;
    }
    info!(target: "platform", "registered");
}

fn on_config(host: &EntryHost, update: Update<FleetConfig>) {
    let items = match update {
        Update::Listed(items) => items,
        Update::Changed(changes) => changes.into_iter().filter_map(into_item).collect(),
        Update::Confirmed(at) => {
            host.fleet().confirm_config(at);
            return;
        }
        Update::Lost => {
            host.stats.platform_lost.with_label_values(&["config"]).inc();
            return;
        }
        Update::Regained => return,
    };
    for item in items {
        match item.value {
            Ok(config) => apply_config(host, config),
            Err(reason) => on_unreadable(host, "config", &item.name, &reason),
        }
    }
}

fn apply_config(host: &EntryHost, config: FleetConfig) {
    let version = config.version;
    let routes = config.route_count();
    let workspaces = config.workspaces.len();
    if host.fleet().apply_config(config) {
        host.stats.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        info!(target: "config", version = version, routes = routes, workspaces = workspaces;
            "in force");
    }
}

fn on_servers(
    host: &EntryHost,
    regained_at: &mut Option<Timestamp>,
    update: Update<ServerEntry>,
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
            info!(target: "server", count = entries.len(); "listed");
            let missing = host.fleet().list_servers(entries, until);
            for instance in missing {
                info!(target: "server", server = instance.as_str(), kept = until.is_some();
                    "not announced any more");
            }
        }
        Update::Changed(changes) => {
            for change in changes {
                on_server_change(host, usable_until(host, *regained_at, now), change);
            }
        }
        Update::Confirmed(_) => {}
        Update::Lost => host.stats.platform_lost.with_label_values(&["server"]).inc(),
        Update::Regained => *regained_at = Some(now),
    }
    let servers = host.fleet().servers().iter().count();
    host.stats.servers.set(i64::try_from(servers).unwrap_or(i64::MAX));
}

/// Until when a server is used whose announcement goes missing now: for a while if the platform has
/// just come back, not at all otherwise.
fn usable_until(host: &EntryHost, regained: Option<Timestamp>, now: Timestamp) -> Option<Timestamp> {
    let grace = host.fleet().bounds().announce_grace;
    let until = regained? + grace.saturating_sub(LAPSE_MARGIN);
    (!until.has_passed(now)).then_some(until)
}

fn on_server_change(host: &EntryHost, until: Option<Timestamp>, change: Change<ServerEntry>) {
    match change {
        Change::Removed(instance) => {
            if host.fleet().withdraw_server(&instance, until) {
                info!(target: "server", server = instance.as_str(), kept = until.is_some();
                    "not announced any more");
            }
        }
        Change::Set(item) => match item.value {
            Ok(entry) => {
                let cold = !entry.cold_until.has_passed(host.clock.now());
                let service = entry.service.clone();
                match host.fleet().announce_server(entry) {
                    ServerChange::Unchanged => {}
                    change => info!(target: "server", server = item.name.as_str(),
                        service = service.as_str(), cold = cold, change:? = change; "announced"),
                }
            }
            Err(reason) => {
                on_unreadable(host, "server", &item.name, &reason);
                host.fleet().withdraw_server(&item.name, None);
            }
        },
    }
}

fn on_unreadable(host: &EntryHost, kind: &str, name: &str, reason: &str) {
    host.stats.unreadable.with_label_values(&[kind]).inc();
    warn!(target: "platform", kind = kind, name = name, reason = reason; "unreadable object");
}

fn into_item<T>(change: Change<T>) -> Option<Item<T>> {
    match change {
        Change::Set(item) => Some(item),
        Change::Removed(_) => None,
    }
}

fn on_peers(host: &EntryHost, peers: &mut HashMap<CompactString, Peer>, update: Update<Peer>) {
    match update {
        Update::Listed(items) => {
            peers.clear();
            items.into_iter().for_each(|item| set_peer(host, peers, item));
        }
        Update::Changed(changes) => {
            for change in changes {
                match change {
                    Change::Set(item) => set_peer(host, peers, item),
                    Change::Removed(name) => drop(peers.remove(&name)),
                }
            }
        }
        Update::Confirmed(_) | Update::Lost | Update::Regained => return,
    }
    info!(target: "fleet", hosts = peers.len(); "hosts known");
    host.fleet().set_hosts(peers.keys().map(CompactString::as_str));
    let list: Vec<_> = peers.values().cloned().collect();
    host.link.set_peers(&list);
}

fn set_peer(host: &EntryHost, peers: &mut HashMap<CompactString, Peer>, item: Item<Peer>) {
    match item.value {
        Ok(peer) => drop(peers.insert(item.name, peer)),
        Err(reason) => on_unreadable(host, "host", &item.name, &reason),
    }
}

/// Keeps a set of names up to date. Says whether it has changed.
fn apply_names(names: &mut HashSet<CompactString>, update: Update<()>) -> bool {
    match update {
        Update::Listed(items) => {
            let listed: HashSet<_> = items.into_iter().map(|item| item.name).collect();
            let is_changed = listed != *names;
            *names = listed;
            is_changed
        }
        Update::Changed(changes) => changes.into_iter().fold(false, |changed, change| {
            let is_new = match change {
                Change::Set(item) => names.insert(item.name),
                Change::Removed(name) => names.remove(&name),
            };
            changed || is_new
        }),
        Update::Confirmed(_) | Update::Lost | Update::Regained => false,
    }
}
