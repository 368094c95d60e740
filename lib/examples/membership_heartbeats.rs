//! Measures membership by the number of hosts: the heartbeats that one host sends per second, and
//! the time that a tick (a periodic update of its view of the fleet) takes.
//!
//! `cargo run --release -p cardamomshift-lib --example membership_heartbeats`

use std::time::Duration;
use std::time::Instant;

use cardamomshift_lib::host::HostEntry;
use cardamomshift_lib::host::HostList;
use cardamomshift_lib::host::HostState;
use cardamomshift_lib::host::Membership;
use cardamomshift_lib::host::Role;
use cardamomshift_lib::host::TICK_INTERVAL;
use cardamomshift_lib::id::Incarnation;
use cardamomshift_lib::time::Timestamp;

/// Number of failure domains of the fleet.
const DOMAINS: usize = 7;
/// Measured period on the simulated clock, seconds.
const MEASURED_SECONDS: u32 = 60;

fn list(hosts: usize) -> HostList {
    let entry = |i: usize| HostEntry {
        name: format!("host-{i}").into(),
        domain: format!("domain-{}", i % DOMAINS).into(),
        role: Role::Entry,
        state: HostState::Live,
        address: ([127, 0, 0, 1], 1000 + i as u16).into(),
        services: Vec::new(),
        checks_fencing: false,
    };
    HostList {
        revision: 1,
        hosts: (0..hosts).map(entry).collect(),
    }
}

/// Returns the heartbeats that one host sends per second and the mean duration of a tick, measured
/// after 5 s in which messages from all other hosts arrive.
fn measure(hosts: usize) -> (f64, Duration) {
    let mut now = Timestamp::from_micros(1_000_000);
    let list = list(hosts);
    let (id, domain) = (list.hosts[0].host_id(), list.hosts[0].domain_id());
    let mut view = Membership::new(id, domain, Incarnation(1), now);
    view.on_host_list(now, list.clone());
    let (mut sent, mut spent) = (0, Duration::ZERO);
    // There are 20 ticks per second, and one message from each host every 250 ms.
    let ticks = (MEASURED_SECONDS + 5) * 20;
    for tick in 0..ticks {
        now = now + TICK_INTERVAL;
        if tick % 5 == 0 {
            for other in &list.hosts {
                view.on_message(now, other.host_id(), Incarnation(1), None);
            }
        }
        let started = Instant::now();
        let due = view.tick(now);
        if tick >= 100 {
            spent += started.elapsed();
            sent += due.heartbeats.len();
        }
    }
    let per_second = sent as f64 / f64::from(MEASURED_SECONDS);
    (per_second, spent / (ticks - 100))
}

fn main() {
    println!("hosts | heartbeats per second and host | duration of a tick");
    for hosts in [3, 6, 9, 16, 17, 35, 70, 140, 280, 480] {
        let (heartbeats, tick) = measure(hosts);
        println!("{hosts} | {heartbeats:.1} | {tick:.1?}");
    }
}
