//! Followers on several hosts that relay the configuration to each other as deltas or documents.

use std::sync::Arc;

use bytes::Bytes;
use cardamomshift_lib::configuration::Change;
use cardamomshift_lib::configuration::Configuration;
use cardamomshift_lib::configuration::Follower;
use cardamomshift_lib::configuration::hash_key;
use proptest::prelude::*;

/// Returns the revisions 1 to `changes.len()`, each of which adds one change to the one before.
fn revisions(changes: &[Change]) -> Vec<Arc<Configuration>> {
    let mut stored = vec![Arc::new(Configuration::default())];
    for (revision, change) in (1..).zip(changes) {
        let base = stored.last().unwrap();
        let mut next = base.apply(&format!("c{revision}"), 7, change).unwrap();
        next.revision = revision;
        stored.push(Arc::new(next));
    }
    stored.remove(0);
    stored
}

fn create(name: &str) -> Change {
    Change::CreateWorkspace {
        name: name.into(),
        key_hash: hash_key(name.as_bytes()),
    }
}

fn set_class(target_ms: u64) -> Change {
    Change::SetClass {
        name: "batch".into(),
        target_ms,
    }
}

/// Returns a change that is valid after any sequence of such changes.
fn any_change(step: usize, kind: u8, n: u8) -> Change {
    let domain = format!("domain-{}", n % 3).into();
    match kind {
        0 => create(&format!("arcade-{step}")),
        1 => set_class(1 + u64::from(n)),
        2 => Change::TakeDomainOut { name: domain },
        3 => Change::BringDomainBack { name: domain },
        4 => Change::TakeServerOut { name: domain },
        _ => Change::BringServerBack { name: domain },
    }
}

fn changes() -> impl Strategy<Value = Vec<Change>> {
    prop::collection::vec((0..6u8, any::<u8>()), 2..40).prop_map(|draws| {
        let steps = draws.into_iter().enumerate();
        steps
            .map(|(step, (kind, n))| any_change(step, kind, n))
            .collect()
    })
}

/// Returns a follower that has received the given revisions.
fn follower_after(stored: &[Arc<Configuration>]) -> Follower {
    let mut relay = Follower::new();
    for configuration in stored {
        relay.offer(configuration).unwrap();
    }
    relay
}

#[test]
fn one_change_among_1200_workspaces_makes_a_small_delta() {
    let mut all: Vec<_> = (0..1_200).map(|i| create(&format!("arcade-{i}"))).collect();
    all.push(Change::TakeDomainOut {
        name: "bern-a".into(),
    });
    let stored = revisions(&all);
    let relay = follower_after(&stored);
    let update = relay.update_for(1_200).unwrap();
    assert!(update.len() < 256, "{}", update.len());
    assert_eq!(relay.update_for(1_201), None);
    assert_eq!(relay.update_for(0).as_ref(), relay.document());
}

#[test]
fn delta_for_another_base_is_ignored() {
    let stored = revisions(&[set_class(1), set_class(2), set_class(3)]);
    let relay = follower_after(&stored);
    let update = relay.update_for(2).unwrap();
    let mut lagging = follower_after(&stored[..1]);
    assert_eq!(lagging.offer_document(3, update.clone()), Ok(None));
    assert_eq!(lagging.revision(), 1);
    assert_eq!(Follower::new().offer_document(3, update), Ok(None));
    let update = relay.update_for(1).unwrap();
    assert!(lagging.offer_document(3, update).unwrap().is_some());
}

#[test]
fn full_document_is_sent_when_no_delta_leads_to_it() {
    let with_workspace = revisions(&[create("arcade-a")]);
    // An operator has restored an object without the workspace, and a delta cannot remove it.
    let restored = revisions(&[set_class(1), set_class(2)]);
    let relay = follower_after(&[with_workspace[0].clone(), restored[1].clone()]);
    assert_eq!(relay.update_for(1).as_ref(), relay.document());
}

#[test]
fn malformed_deltas_are_refused() {
    let stored = revisions(&[create("arcade-a"), create("arcade-b")]);
    let update = follower_after(&stored).update_for(1).unwrap();
    let text = String::from_utf8(update.to_vec()).unwrap();
    for (from, to) in [
        ("}]}", "}],\"quotas\":1}"),
        ("}]}", "}]"),
        ("\"arcade-b\"", "\"arcade-a\""),
        ("\"next_workspace\":2", "\"next_workspace\":1"),
    ] {
        let altered = text.replacen(from, to, 1);
        assert_ne!(altered, text);
        let mut follower = follower_after(&stored[..1]);
        assert!(follower.offer_document(2, altered).is_err(), "{to}");
        assert_eq!(follower.configuration(), Some(&stored[0]));
    }
}

#[test]
fn full_document_is_sent_when_it_has_unknown_members() {
    let stored = revisions(&[set_class(1), set_class(2)]);
    let mut relay = follower_after(&stored[..1]);
    let text = String::from_utf8(stored[1].to_document().unwrap()).unwrap();
    let newer = Bytes::from(text.replacen('{', "{\"quotas\":[1],", 1));
    relay.offer_document(2, newer.clone()).unwrap();
    assert_eq!(relay.update_for(1), Some(newer.clone()));
    assert_eq!(relay.document(), Some(&newer));
    // Applying a delta would lose the unknown member, so the follower must not accept one.
    let update =
        follower_after(&revisions(&[set_class(1), set_class(2), set_class(3)])).update_for(2);
    assert_eq!(relay.offer_document(3, update.unwrap()), Ok(None));
}

proptest! {
    /// From any earlier revision, the update of an up-to-date host leads to exactly the latest
    /// stored configuration.
    #[test]
    fn update_leads_to_the_stored_revision(changes in changes(), from in any::<prop::sample::Index>()) {
        let stored = revisions(&changes);
        let latest = stored.last().unwrap();
        let have = from.index(stored.len());
        let mut host = follower_after(&stored[..have]);
        let relay = follower_after(&stored);
        let update = relay.update_for(host.revision()).unwrap();
        let taken = host.offer_document(latest.revision, update).unwrap();
        prop_assert_eq!(taken.as_ref(), Some(latest));
        prop_assert_eq!(host.document(), relay.document());
    }

    /// Hosts that send each other updates, which are delayed, lost or repeated, never return to an
    /// earlier revision, and hold only configurations that were stored.
    #[test]
    fn relayed_updates_never_lower_the_revision(
        changes in changes(),
        steps in prop::collection::vec((0..4usize, 0..4usize, any::<bool>()), 1..120),
    ) {
        let stored = revisions(&changes);
        let mut hosts = vec![Follower::new(); 4];
        let mut next = 0;
        let mut delayed: Vec<(usize, u64, Bytes)> = Vec::new();
        for (from, to, is_delayed) in steps {
            if from == to && next < stored.len() {
                hosts[from].offer(&stored[next]).unwrap();
                next += 1;
                continue;
            }
            let known = hosts[to].revision();
            if let Some(update) = hosts[from].update_for(known) {
                delayed.push((to, hosts[from].revision(), update));
            }
            let arrived = if is_delayed { delayed.first().cloned() } else { delayed.pop() };
            if let Some((to, revision, update)) = arrived {
                let before = hosts[to].revision();
                hosts[to].offer_document(revision, update).unwrap();
                prop_assert!(hosts[to].revision() >= before);
            }
            for host in hosts.iter().filter(|host| host.revision() > 0) {
                let index = usize::try_from(host.revision()).unwrap() - 1;
                prop_assert_eq!(host.configuration(), Some(&stored[index]));
            }
        }
    }
}
