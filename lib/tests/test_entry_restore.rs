//! The platform goes back to an older state: it has lost its latest changes and gives out their
//! numbers again, in a later era.

mod entry;

use std::collections::BTreeSet;
use std::time::Duration;

use cardamomshift_lib::entry::Acceptance;
use cardamomshift_lib::entry::Fleet;
use cardamomshift_lib::entry::FollowPosition;
use cardamomshift_lib::entry::KeptObjects;
use cardamomshift_lib::entry::Reason;
use cardamomshift_lib::entry::StoreRevision;
use cardamomshift_lib::time::Timestamp;
use proptest::prelude::*;

use crate::entry::KEY;
use crate::entry::LEDGER;
use crate::entry::at;
use crate::entry::config;
use crate::entry::default_routes;
use crate::entry::fleet;
use crate::entry::head;
use crate::entry::server;

/// Time at which the tests start, milliseconds.
const START_MS: u64 = 10_000;

fn revision(era: u64, number: u64) -> StoreRevision {
    StoreRevision { era, number }
}

/// A position that has applied the list at `applied`.
fn position(applied: StoreRevision) -> FollowPosition {
    let mut position = FollowPosition::default();
    let acceptance = position.accept(applied.era, applied, true, true);
    assert_eq!(acceptance, Acceptance::Apply);
    position
}

#[test]
fn changes_of_a_later_era_are_not_applied_to_objects_of_an_earlier_one() {
    let mut position = position(revision(1, 50));
    // The number 60 was given out in both eras.
    let acceptance = position.accept(2, revision(2, 60), false, true);
    assert_eq!(acceptance, Acceptance::ListAgain);
    assert_eq!(position.watch_after(), None);
    let acceptance = position.accept(2, revision(2, 45), true, true);
    assert_eq!(acceptance, Acceptance::ApplyRestored);
    assert_eq!(position.watch_after(), Some(revision(2, 45)));
}

#[test]
fn mirror_host_of_an_earlier_era_does_not_lead_a_host_back() {
    let mut position = position(revision(2, 45));
    for is_full in [true, false] {
        let acceptance = position.accept(2, revision(1, 99), is_full, false);
        assert_eq!(acceptance, Acceptance::Outdated);
    }
    // The era was seen with another kind of object only.
    let mut position = self::position(revision(1, 50));
    let acceptance = position.accept(2, revision(1, 60), true, false);
    assert_eq!(acceptance, Acceptance::Outdated);
}

#[test]
fn mirror_host_that_is_behind_does_not_lead_a_host_back() {
    let mut position = position(revision(1, 50));
    position.list_next();
    let acceptance = position.accept(1, revision(1, 49), true, false);
    assert_eq!(acceptance, Acceptance::Outdated);
    assert_eq!(position.watch_after(), None);
}

/// A platform that does not state its era is believed, too.
#[test]
fn list_of_the_platform_with_a_lower_number_is_a_restored_state() {
    let mut position = position(revision(0, 50));
    position.list_next();
    let acceptance = position.accept(0, revision(0, 49), true, true);
    assert_eq!(acceptance, Acceptance::ApplyRestored);
}

#[test]
fn lost_objects_are_kept_until_their_owners_had_time_to_write_them_again() {
    let mut objects = KeptObjects::default();
    let object = |name: &str| (name.into(), 1);
    objects.list(at(0), vec![object("a"), object("b"), object("c")]);
    objects.on_restored(at(1_000));
    assert!(!objects.list(at(1_000), vec![object("a")]));
    assert_eq!(objects.iter().count(), 3);
    assert_eq!(objects.stored("b"), None);
    // One is written again, and one is removed by its owner.
    assert!(!objects.set("b".into(), 1));
    assert_eq!(objects.stored("b"), Some(&1));
    assert!(objects.remove("c"));
    assert!(!objects.expire(at(60_000)));
    let names: BTreeSet<_> = objects.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(names, BTreeSet::from(["a", "b"]));
}

#[test]
fn lost_objects_that_nobody_writes_again_are_dropped() {
    let mut objects = KeptObjects::default();
    objects.list(at(0), vec![("a".into(), 1)]);
    objects.on_restored(at(1_000));
    objects.list(at(1_000), Vec::new());
    assert!(!objects.expire(at(5_000)));
    assert!(objects.expire(at(30_000)));
    assert_eq!(objects.iter().count(), 0);
    // Later lists remove what they lack at once.
    objects.list(at(31_000), vec![("a".into(), 1)]);
    assert!(objects.list(at(32_000), Vec::new()));
}

#[test]
fn newer_configuration_stays_active_while_the_operators_write_it_again() {
    let mut fleet = fleet(at(START_MS));
    fleet.apply_config(config(7, default_routes(), &["seven"]));
    fleet.on_config_restored(at(START_MS));
    assert!(!fleet.apply_config(config(5, default_routes(), &["five"])));
    assert_eq!(fleet.config().unwrap().version, 7);
    // The same version, written again with other content.
    assert!(fleet.apply_config(config(7, default_routes(), &["other"])));
    assert!(!fleet.apply_config(config(7, default_routes(), &["other"])));
    assert_eq!(fleet.adopt_stored_config(at(START_MS + 300_000)), None);
    assert_eq!(fleet.config().unwrap().version, 7);
}

#[test]
fn stored_configuration_is_adopted_if_nobody_writes_a_newer_one() {
    let mut fleet = fleet(at(START_MS));
    fleet.apply_config(config(6, default_routes(), &["kept", "revoked"]));
    fleet.apply_config(config(7, default_routes(), &["kept"]));
    fleet.on_config_restored(at(START_MS));
    fleet.apply_config(config(6, default_routes(), &["kept", "revoked"]));
    assert_eq!(fleet.adopt_stored_config(at(START_MS + 5_000)), None);
    let now = START_MS + 300_000;
    assert_eq!(fleet.adopt_stored_config(at(now)), Some(6));
    fleet.confirm_config(at(now));
    let admit = |fleet: &mut Fleet, key| {
        let head = head(Some(key), at(now + 4_000));
        fleet.admit(at(now), &head, "/s/x").map(|_| ())
    };
    assert!(admit(&mut fleet, "kept").is_ok());
    let refusal = admit(&mut fleet, "revoked").unwrap_err();
    assert_eq!(refusal.reason, Reason::UnknownKey);
    // The lost version is no obstacle to lower ones that the operators write from here on, but only
    // a higher one can bring the key back.
    assert!(fleet.apply_config(config(7, default_routes(), &["kept", "revoked"])));
    assert!(admit(&mut fleet, "revoked").is_err());
    assert!(fleet.apply_config(config(8, default_routes(), &["kept", "revoked"])));
    assert!(admit(&mut fleet, "revoked").is_ok());
}

/// A server that has left can be announced in the older state; its address may belong to another
/// service by now.
#[test]
fn server_that_was_removed_is_not_used_again_until_it_renews_its_announcement() {
    let mut fleet = fleet(at(START_MS));
    let run = |name: &str| {
        let mut run = server(name, LEDGER, "d1");
        run.started_at_ms = 5;
        run
    };
    fleet.apply_server_list(at(START_MS), vec![run("l1"), run("l2")], None);
    fleet.withdraw_server(at(START_MS), "l1", None);
    fleet.on_servers_restored();
    fleet.apply_server_list(at(START_MS), vec![run("l1"), run("l2")], None);
    let used = |fleet: &mut Fleet| {
        let mut names = BTreeSet::new();
        for _ in 0..4 {
            let placed = fleet
                .place(at(START_MS), &LEDGER.into(), None, &[])
                .unwrap();
            names.insert(placed.entry.instance.to_string());
        }
        names
    };
    assert_eq!(used(&mut fleet), BTreeSet::from(["l2".to_owned()]));
    fleet.announce_server(at(START_MS), run("l1"));
    assert!(used(&mut fleet).contains("l1"));
}

/// Number of hosts in the model.
const HOSTS: usize = 4;
/// Key that operators revoke in the model.
const REVOKED: &str = "revoked";

/// A step of the model.
#[derive(Clone, Copy, Debug)]
enum Step {
    Wait(u64),
    /// The operators write a configuration, with or without the key.
    Write(bool),
    Snapshot,
    /// The platform goes back to the last snapshot.
    Restore,
    /// The operators write the newest configuration again.
    WriteAgain,
    /// A host reads the configuration from the platform.
    Read(usize),
    /// A host reads it from a mirror host.
    ReadFrom(usize, usize),
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (100..3_000_u64).prop_map(Step::Wait),
        2 => any::<bool>().prop_map(Step::Write),
        1 => Just(Step::Snapshot),
        1 => Just(Step::Restore),
        2 => Just(Step::WriteAgain),
        6 => (0..HOSTS).prop_map(Step::Read),
        4 => (0..HOSTS, 0..HOSTS).prop_map(|(host, from)| Step::ReadFrom(host, from)),
        1 => (0..HOSTS).prop_map(Step::Restart),
    ]
}

/// A configuration in the model.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Stored {
    version: u64,
    has_key: bool,
}

struct ModelHost {
    fleet: Fleet,
    position: FollowPosition,
    /// What the host has read last, with its position and the time at which it was current.
    read: Option<(StoreRevision, Stored, Timestamp)>,
    latest_era: u64,
}

impl ModelHost {
    fn new() -> Self {
        Self {
            fleet: fleet_without_config(),
            position: FollowPosition::default(),
            read: None,
            latest_era: 0,
        }
    }

    /// Takes a list that was current at `confirmed_at`.
    fn take(
        &mut self,
        now: u64,
        at: StoreRevision,
        stored: Stored,
        confirmed: Timestamp,
        direct: bool,
    ) {
        self.latest_era = self.latest_era.max(at.era);
        match self.position.accept(self.latest_era, at, true, direct) {
            Acceptance::Outdated | Acceptance::ListAgain => return,
            Acceptance::ApplyRestored => self.fleet.on_config_restored(self::at(now)),
            Acceptance::Apply => {}
        }
        let keys = [KEY, REVOKED];
        let keys = if stored.has_key {
            &keys[..]
        } else {
            &keys[..1]
        };
        self.fleet
            .apply_config(config(stored.version, default_routes(), keys));
        self.fleet.confirm_config(confirmed);
        self.read = Some((at, stored, confirmed));
    }

    fn accepts(&mut self, now: u64) -> bool {
        let head = head(Some(REVOKED), at(now + 4_000));
        self.fleet.admit(at(now), &head, "/s/x").is_ok()
    }
}

fn fleet_without_config() -> Fleet {
    let identity = cardamomshift_lib::entry::HostIdentity {
        name: "h1".into(),
        domain: "d1".into(),
    };
    Fleet::new(identity, entry::bounds(), 1)
}

proptest! {
    /// Hosts never go back in the platform's history, a host that has seen a revocation never
    /// accepts the key again before the operators allow it, no host accepts it later than the lease
    /// after the platform holds the revocation, and all agree in the end.
    #[test]
    fn hosts_follow_the_platform_through_eras(steps in proptest::collection::vec(step(), 1..80)) {
        let mut now = START_MS;
        let mut stored = Stored { version: 1, has_key: true };
        let mut newest = stored;
        let mut at_store = revision(1, 1);
        let mut snapshot = (stored, at_store.number);
        // Since when the platform has held a configuration without the key.
        let mut revoked_since = None;
        let mut hosts: Vec<_> = (0..HOSTS).map(|_| ModelHost::new()).collect();
        for step in steps {
            match step {
                Step::Wait(millis) => now += millis,
                Step::Write(has_key) => {
                    newest = Stored { version: newest.version + 1, has_key };
                    stored = newest;
                    at_store.number += 1;
                }
                Step::Snapshot => snapshot = (stored, at_store.number),
                Step::Restore => {
                    stored = snapshot.0;
                    at_store = revision(at_store.era + 1, snapshot.1);
                }
                Step::WriteAgain => {
                    if stored != newest {
                        stored = newest;
                        at_store.number += 1;
                    }
                }
                Step::Read(host) => hosts[host].take(now, at_store, stored, at(now), true),
                Step::ReadFrom(host, from) => {
                    if let Some((revision, stored, confirmed)) = hosts[from].read {
                        hosts[host].take(now, revision, stored, confirmed, false);
                    }
                }
                Step::Restart(host) => hosts[host] = ModelHost::new(),
            }
            revoked_since = match stored.has_key {
                true => None,
                false => revoked_since.or(Some(now)),
            };
            for host in &mut hosts {
                let version = |host: &ModelHost| host.fleet.config().map_or(0, |c| c.version);
                let before = version(host);
                host.fleet.adopt_stored_config(at(now));
                let accepts = host.accepts(now);
                if let Some(since) = revoked_since {
                    let lease = u64::try_from(entry::bounds().key_lease.as_millis()).unwrap();
                    // A host may know that the operators have allowed the key since, although the
                    // platform has lost that.
                    let knows_better = newest.has_key && version(host) == newest.version;
                    prop_assert!(
                        !accepts || knows_better || now < since + lease,
                        "accepted too late at {now}"
                    );
                }
                let knows_newest = before == newest.version;
                prop_assert!(!accepts || !knows_newest || newest.has_key, "accepted a revoked key");
                if let Some((revision, ..)) = host.read {
                    prop_assert!(revision <= at_store || revision.era < at_store.era);
                }
            }
        }
        stored = newest;
        at_store.number += 1;
        for host in &mut hosts {
            host.take(now, at_store, stored, at(now), true);
            prop_assert_eq!(host.fleet.config().unwrap().version, newest.version);
            prop_assert_eq!(host.accepts(now), newest.has_key);
        }
    }
}

#[test]
fn kept_objects_do_not_outlive_their_grace_by_repeated_returns() {
    let mut objects = KeptObjects::default();
    objects.list(at(0), vec![("a".into(), 1)]);
    objects.on_restored(at(1_000));
    objects.list(at(1_000), Vec::new());
    objects.on_restored(at(9_000));
    objects.list(at(9_000), Vec::new());
    // The first return sets the time, since the owner has not written the object since.
    assert!(objects.expire(at(1_000) + Duration::from_secs(10)));
}
