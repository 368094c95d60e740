//! Tests of placing requests while a version is rolled out.

mod entry;

use std::collections::HashSet;
use std::time::Duration;

use cardamomshift_lib::crashing::RequestDigest;
use cardamomshift_lib::entry::Fleet;
use cardamomshift_lib::entry::FleetBounds;
use cardamomshift_lib::entry::HostIdentity;
use cardamomshift_lib::entry::RolloutBounds;
use cardamomshift_lib::entry::RolloutPermit;
use cardamomshift_lib::entry::RolloutPhase;
use cardamomshift_lib::entry::ServerAnnouncement;
use cardamomshift_lib::entry::StoredRollout;
use cardamomshift_lib::entry::VersionChoice;
use cardamomshift_lib::entry::VersionId;
use compact_str::CompactString;
use xxhash_rust::xxh3::xxh3_64;

use crate::entry::KEY;
use crate::entry::LEDGER;
use crate::entry::MODEL;
use crate::entry::at;
use crate::entry::bounds;
use crate::entry::config;
use crate::entry::default_routes;
use crate::entry::head;
use crate::entry::prompt;
use crate::entry::server;

const DIGEST: RequestDigest = RequestDigest {
    workspace: 1,
    content: 1,
};
/// Servers of the old version of each service: two shards of engines.
const OLD_SERVERS: usize = 40;

fn new_server(name: &str, service: &str) -> ServerAnnouncement {
    ServerAnnouncement {
        version: "v2".into(),
        ..server(name, service, "d1")
    }
}

/// A host that follows roll-outs, with servers of version `v1`, and no order, as of 0 s.
fn rollout_fleet() -> Fleet {
    let bounds = FleetBounds {
        rollout: Some(RolloutBounds {
            exposure_share: 0.1,
            exposure_slack: 50.0,
            rollback: Duration::from_secs(5),
        }),
        ..bounds()
    };
    let identity = HostIdentity {
        name: "h1".into(),
        domain: "d1".into(),
    };
    let mut fleet = Fleet::new(identity, bounds, 1);
    fleet.apply_config(config(1, default_routes(), &[KEY]));
    fleet.confirm_config(at(0));
    fleet.set_hosts(["h1"].into_iter());
    let named = |service: &'static str| {
        (0..OLD_SERVERS).map(move |n| server(&format!("{service}{n}"), service, "d1"))
    };
    let servers = named(MODEL).chain(named(LEDGER)).collect();
    fleet.apply_server_list(at(0), servers, None);
    fleet
}

fn target(service: &str) -> VersionChoice {
    VersionChoice::Only(VersionId::new(service, "v2"))
}

/// Stores an order of a service, and permits a part of its requests at 1 s.
fn order(fleet: &mut Fleet, service: &str) {
    let stored = StoredRollout {
        service: service.into(),
        target: "v2".into(),
        duration: Duration::from_secs(12),
        revision: 5,
        status: None,
    };
    let name = CompactString::from(service);
    let rollouts = fleet.rollouts();
    let changes = rollouts.on_orders(at(1_000), std::iter::once((&name, &stored)));
    let order = &changes.set[0];
    let permit = RolloutPermit {
        service: order.service_hash,
        target: order.target,
        order: order.identity,
        valid_for: Duration::from_secs(1),
        phase: RolloutPhase::Canary {
            share_millionths: 50_000,
        },
    };
    rollouts.on_permit(at(1_000), Some(0), permit);
    rollouts.on_confirmed(at(1_001));
}

/// The order for a version is stored before its servers start, but a host may see these first.
#[test]
fn server_of_an_unknown_version_gets_nothing_until_the_orders_are_confirmed() {
    let mut fleet = rollout_fleet();
    assert!(!fleet.is_ready(at(10)));
    fleet.rollouts().on_confirmed(at(10));
    assert!(fleet.is_ready(at(10)));
    fleet.announce_server(at(500), new_server("new", LEDGER));
    assert!(!is_placed(&mut fleet, 500));
    fleet.rollouts().on_confirmed(at(500));
    assert!(!is_placed(&mut fleet, 600));
    fleet.rollouts().on_confirmed(at(501));
    assert!(is_placed(&mut fleet, 600));
    // Another server of the version is as well known.
    fleet.announce_server(at(700), new_server("newer", LEDGER));
    let servers = fleet.servers().iter();
    let seen: Vec<_> = servers
        .filter(|(_, server)| server.entry.version == "v2")
        .map(|(_, server)| server.version_seen_at)
        .collect();
    assert_eq!(seen, [at(500), at(500)]);
}

/// Whether a request to the new version is placed.
fn is_placed(fleet: &mut Fleet, now: u64) -> bool {
    let placed = fleet.place_among(at(now), &LEDGER.into(), target(LEDGER), &[]);
    placed.is_ok()
}

/// Without a permit that still holds, servers of the target version get nothing, also of streams that
/// are bound to it.
#[test]
fn target_version_gets_nothing_without_a_permit() {
    let mut fleet = rollout_fleet();
    fleet.announce_server(at(500), new_server("new", LEDGER));
    order(&mut fleet, LEDGER);
    assert!(is_placed(&mut fleet, 1_900));
    assert!(!is_placed(&mut fleet, 2_000));
}

/// Sessions must stay at the engines that have their prompts cached.
#[test]
fn sessions_keep_their_shards_when_engines_of_another_version_arrive() {
    let mut fleet = rollout_fleet();
    fleet.rollouts().on_confirmed(at(10));
    let mut call = head(Some(KEY), at(9_000));
    call.prompt = Some(prompt());
    let admitted = fleet.admit(at(1_000), &call, "/s/1").unwrap();
    let shard = |fleet: &mut Fleet, versions| {
        let request =
            fleet.schedule_request_among(at(1_100), &admitted, &prompt(), DIGEST, versions, &[]);
        request.unwrap().shard
    };
    let before = shard(&mut fleet, VersionChoice::Any);
    assert_eq!(before.count, 2);
    for n in 0..OLD_SERVERS {
        fleet.announce_server(at(500), new_server(&format!("new{n}"), MODEL));
    }
    order(&mut fleet, MODEL);
    let service = xxh3_64(MODEL.as_bytes());
    let choice = fleet.rollouts().exposure().choose(at(1_100), service, 1);
    assert_eq!(choice, VersionChoice::Except(VersionId::new(MODEL, "v2")));
    assert_eq!(shard(&mut fleet, choice), before);
}

/// A version that is bad only under load shows it only if its servers are as busy as the others.
#[test]
fn first_requests_go_to_few_servers_of_the_target_version() {
    let mut fleet = rollout_fleet();
    for n in 0..OLD_SERVERS {
        fleet.announce_server(at(500), new_server(&format!("new{n}"), LEDGER));
    }
    order(&mut fleet, LEDGER);
    let mut used = HashSet::new();
    for _ in 0..20 {
        let placed = fleet.place_among(at(1_100), &LEDGER.into(), target(LEDGER), &[]);
        used.insert(placed.unwrap().entry.instance);
    }
    // A twentieth of the requests, at a twentieth of as many servers.
    assert_eq!(used.len(), OLD_SERVERS / 20);
}
