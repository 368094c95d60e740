//! Memory of entry hosts that run as separate processes, measured by the operating system.

#[path = "../../platform/tests/stand_ins/mod.rs"]
mod stand_ins;

#[path = "soak/host.rs"]
mod host;

use std::ops::RangeInclusive;
use std::time::Duration;

use rustix::process::Signal;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

use crate::host::Host;
use crate::stand_ins::HOST;
use crate::stand_ins::KEY;
use crate::stand_ins::StandInStore;
use crate::stand_ins::config;

/// Memory of the smallest hosts, bytes.
const HOST_BYTES: usize = 88 << 20;
/// Largest object that the store accepts, bytes.
const OBJECT_MAX_BYTES: usize = 1 << 20;
/// Changes that the store keeps for hosts that watch it.
const HISTORY: usize = 16;

/// A configuration with this many routes besides the usual ones.
fn grown_config(version: u64, routes: usize) -> Value {
    let mut config = config(version, &[KEY]);
    let list = config["routes"].as_array_mut().unwrap();
    list.extend((0..routes).map(|n| {
        json!({
            "name": format!("grown-{n}"), "host": HOST, "path-prefix": format!("/grown-{n}/"),
            "type": "idempotent", "timeout-ms": 4000, "latency-target-ms": 800, "priority": 1,
            "service": "ledger", "max-attempts": 2, "anonymous": true,
        })
    }));
    config
}

/// Hosts of one failure domain, of which one reads the store and the others read from each other. Tests
/// that run at the same time need other numbers.
async fn start_hosts(numbers: RangeInclusive<u8>, store: &StandInStore) -> (TempDir, Vec<Host>) {
    let folder = tempfile::tempdir().unwrap();
    store.put("config", "main", config(1, &[KEY]));
    let start = |n| Host::start(n, folder.path(), store.address);
    let hosts: Vec<_> = numbers.map(start).collect();
    for host in &hosts {
        wait_for("ready host", async || host.is_ready().await).await;
    }
    let is_registered = async || store.names("cardamomshift-hosts").len() == hosts.len();
    wait_for("registered hosts", is_registered).await;
    (folder, hosts)
}

async fn wait_for(what: &str, condition: impl AsyncFn() -> bool) {
    for _ in 0..1_500 {
        if condition().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("no {what} after 1500 checks");
}

/// Waits until each host has activated a version of the configuration.
async fn wait_for_version(hosts: &[Host], version: u64) {
    for host in hosts {
        wait_for("active configuration", async || {
            let name = &host.name;
            assert!(host.is_running(), "{name} ended before version {version}");
            host.config_version() >= version
        })
        .await;
    }
}

/// Replaces the configuration by `changes` versions with that many more routes, one after the other as fast
/// as all hosts activate one of every few. Returns the most memory that a host has used, bytes.
async fn peak_of_changes(hosts: RangeInclusive<u8>, changes: u64, routes: usize) -> usize {
    let store = StandInStore::start().await;
    let (_folder, hosts) = start_hosts(hosts, &store).await;
    for version in 2..2 + changes {
        store.put("config", "main", grown_config(version, routes));
        store.keep_history(HISTORY);
        tokio::time::sleep(Duration::from_millis(2)).await;
        if version % (HISTORY as u64 / 2) == 0 || version == 1 + changes {
            wait_for_version(&hosts, version).await;
        }
    }
    hosts.iter().map(Host::peak_memory).max().unwrap()
}

/// Guards against hosts that keep what the configuration was before: 600 versions of 40 KB took 146 MB.
#[tokio::test]
async fn changes_of_the_configuration_do_not_add_up() {
    let peak = peak_of_changes(1..=2, 600, 200).await;
    println!("{peak} bytes at most");
    assert!(peak < HOST_BYTES, "{peak} bytes");
}

/// Guards against a copy of the configuration for each host that reads it, and for each version that a
/// host has missed.
#[tokio::test]
async fn largest_configuration_fits_in_the_memory_of_a_small_host() {
    let routes = 4_000;
    let size = grown_config(2, routes).to_string().len();
    assert!(
        (OBJECT_MAX_BYTES * 7 / 10..OBJECT_MAX_BYTES).contains(&size),
        "{size}"
    );
    let peak = peak_of_changes(11..=18, 24, routes).await;
    println!("{peak} bytes at most");
    assert!(peak < HOST_BYTES, "{peak} bytes");
}

/// Guards against a host that parses each version that it has missed: seven of 0.9 MB, in one response of
/// the store.
#[tokio::test]
async fn missed_configurations_fit_in_the_memory_of_a_small_host() {
    let store = StandInStore::start().await;
    let (_folder, hosts) = start_hosts(21..=21, &store).await;
    hosts[0].signal(Signal::STOP);
    for version in 2..=8 {
        store.put("config", "main", grown_config(version, 4_000));
    }
    hosts[0].signal(Signal::CONT);
    wait_for_version(&hosts, 8).await;
    let peak = hosts[0].peak_memory();
    println!("{peak} bytes at most");
    assert!(peak < HOST_BYTES, "{peak} bytes");
}
