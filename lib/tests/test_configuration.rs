//! Changes of the configuration and their validation, and the follower, which never replaces the
//! configuration in force by an older revision.

use std::sync::Arc;

use cardamomshift_lib::configuration::Change;
use cardamomshift_lib::configuration::ChangeError;
use cardamomshift_lib::configuration::Configuration;
use cardamomshift_lib::configuration::DocumentError;
use cardamomshift_lib::configuration::Follower;
use cardamomshift_lib::configuration::MAX_CHANGE_RECORDS;
use cardamomshift_lib::configuration::MAX_CLASSES;
use cardamomshift_lib::configuration::MAX_DOCUMENT_BYTES;
use cardamomshift_lib::configuration::differences;
use cardamomshift_lib::configuration::hash_key;
use cardamomshift_lib::id::DomainId;
use cardamomshift_lib::id::WorkspaceId;
use proptest::prelude::*;

const AT: u64 = 1_700_000_000;

fn create(name: &str) -> Change {
    Change::CreateWorkspace {
        name: name.into(),
        key_hash: hash_key(name.as_bytes()),
    }
}

fn set_class(name: &str, target_ms: u64) -> Change {
    let name = name.into();
    Change::SetClass { name, target_ms }
}

fn take_domain_out(name: &str) -> Change {
    Change::TakeDomainOut { name: name.into() }
}

fn bring_domain_back(name: &str) -> Change {
    Change::BringDomainBack { name: name.into() }
}

/// Applies changes one after another under the identifiers `c0`, `c1`, ...
fn apply_all(changes: &[Change]) -> Configuration {
    let start = Configuration::default();
    changes.iter().enumerate().fold(start, |cfg, (i, change)| {
        cfg.apply(&format!("c{i}"), AT, change).unwrap()
    })
}

#[test]
fn workspace_numbers_and_keys() {
    let cfg = apply_all(&[create("arcade-a"), create("arcade-b")]);
    let found = cfg.workspace_by_key_hash(&hash_key(b"arcade-b")).unwrap();
    assert_eq!(
        (found.id, found.name.as_str()),
        (WorkspaceId(1), "arcade-b")
    );
    assert_eq!(cfg.workspace_by_key_hash(&hash_key(b"other")), None);
    assert_eq!(cfg.workspace_by_key_hash(""), None);

    let key_hash = hash_key(b"new");
    let name = "arcade-b".into();
    let rotated = cfg
        .apply("r", AT, &Change::RotateKey { name, key_hash })
        .unwrap();
    assert_eq!(rotated.workspace_by_key_hash(&hash_key(b"arcade-b")), None);
    assert_eq!(
        rotated.workspace_by_key_hash(&hash_key(b"new")).unwrap().id,
        WorkspaceId(1)
    );
}

#[test]
fn keys_with_equal_fingerprints_are_distinguished() {
    let hash = |last: &str| format!("{}{last}", "ab".repeat(31)).into();
    let create = |name: &str, last| Change::CreateWorkspace {
        name: name.into(),
        key_hash: hash(last),
    };
    let cfg = apply_all(&[create("arcade-a", "00"), create("arcade-b", "01")]);
    assert_eq!(
        cfg.workspace_by_key_hash(&hash("01")).unwrap().name,
        "arcade-b"
    );
    assert_eq!(cfg.workspace_by_key_hash(&hash("02")), None);
    assert_eq!(cfg.workspace_by_key_hash("abababab"), None);
}

#[test]
fn first_class_is_the_default() {
    let cfg = apply_all(&[set_class("interactive", 2_000), set_class("batch", 60_000)]);
    assert_eq!(cfg.default_class().unwrap().name, "interactive");
    assert_eq!(cfg.class("batch").unwrap().target_ms, 60_000);
    let cfg = cfg
        .apply("again", AT, &set_class("interactive", 1_500))
        .unwrap();
    assert_eq!(cfg.default_class().unwrap().target_ms, 1_500);
    assert_eq!(cfg.classes.len(), 2);
}

#[test]
fn domain_is_taken_out_and_brought_back() {
    let out = apply_all(&[take_domain_out("bern-a")]);
    assert!(out.is_domain_out(DomainId::of("bern-a")));
    let back = out.apply("back", AT, &bring_domain_back("bern-a")).unwrap();
    assert!(!back.is_domain_out(DomainId::of("bern-a")));
    assert_eq!(
        back.changes.last().unwrap().summary,
        "bring failure domain bern-a back"
    );
}

#[test]
fn invalid_changes_are_refused() {
    let cfg = apply_all(&[
        create("arcade-a"),
        set_class("batch", 5),
        take_domain_out("bern-a"),
    ]);
    let rejection = |change: Change| cfg.apply("id", AT, &change).unwrap_err();
    let key_hash = hash_key(b"arcade-a");
    let name = || "arcade-b".into();

    assert!(matches!(
        rejection(create("arcade-a")),
        ChangeError::Duplicate { .. }
    ));
    assert!(matches!(
        rejection(create("Arcade B")),
        ChangeError::InvalidName { .. }
    ));
    assert!(matches!(
        rejection(create(&"a".repeat(64))),
        ChangeError::InvalidName { .. }
    ));
    assert!(matches!(
        rejection(set_class("", 1)),
        ChangeError::InvalidName { .. }
    ));
    let taken = Change::CreateWorkspace {
        name: name(),
        key_hash: key_hash.clone(),
    };
    assert_eq!(rejection(taken), ChangeError::DuplicateKey);
    let plain = Change::CreateWorkspace {
        name: name(),
        key_hash: "secret".into(),
    };
    assert_eq!(rejection(plain), ChangeError::InvalidKeyHash);
    let unknown = Change::DisableWorkspace { name: name() };
    assert!(matches!(rejection(unknown), ChangeError::NoSuch { .. }));
    let removed = Change::RemoveClass { name: name() };
    assert!(matches!(rejection(removed), ChangeError::NoSuch { .. }));
    assert_eq!(
        rejection(set_class("batch", 0)),
        ChangeError::InvalidTarget { target_ms: 0 }
    );
    for id in ["", "a b", &"i".repeat(65)] {
        assert_eq!(cfg.apply(id, AT, &create("x")), Err(ChangeError::InvalidId));
    }
}

#[test]
fn change_without_effect_is_only_recorded() {
    let cfg = apply_all(&[
        create("arcade-a"),
        set_class("batch", 5),
        take_domain_out("bern-a"),
    ]);
    let name = || "arcade-a".into();
    let key_hash = hash_key(b"arcade-a");
    for change in [
        set_class("batch", 5),
        take_domain_out("bern-a"),
        bring_domain_back("zurich-b"),
        Change::EnableWorkspace { name: name() },
        Change::RotateKey {
            name: name(),
            key_hash,
        },
    ] {
        let mut next = cfg.apply("id", AT, &change).unwrap();
        assert!(next.is_same_state(&cfg), "{change}");
        assert_eq!(next.changes.pop().unwrap().id, "id");
        assert_eq!(next, cfg);
    }
    let next = cfg.apply("id", AT, &set_class("batch", 6)).unwrap();
    assert!(!next.is_same_state(&cfg));
}

#[test]
fn classes_are_bounded() {
    let changes: Vec<_> = (0..MAX_CLASSES)
        .map(|i| set_class(&format!("c{i}"), 1))
        .collect();
    let err = apply_all(&changes)
        .apply("id", AT, &set_class("more", 1))
        .unwrap_err();
    assert!(matches!(err, ChangeError::TooMany { .. }));
}

#[test]
fn repeated_change_is_made_once() {
    let cfg = apply_all(&[create("arcade-a")]);
    assert_eq!(cfg.apply("c0", AT + 9, &create("arcade-a")).unwrap(), cfg);
    let other = cfg.apply("c0", AT, &create("arcade-b")).unwrap_err();
    assert!(matches!(other, ChangeError::IdReused { .. }));
}

#[test]
fn change_records_are_bounded_and_keep_the_latest() {
    let flips: Vec<_> = (0..MAX_CHANGE_RECORDS + 10)
        .map(|i| set_class("batch", 1 + i as u64 % 2))
        .collect();
    let cfg = apply_all(&flips);
    assert_eq!(cfg.changes.len(), MAX_CHANGE_RECORDS);
    assert_eq!(
        cfg.changes.last().unwrap().id,
        format!("c{}", flips.len() - 1)
    );
}

#[test]
fn document_carries_1200_workspaces() {
    let mut cfg = Configuration::default();
    for i in 0..1_200 {
        // Names and identifiers of the maximum length give the largest document.
        let name = format!("{i:0>63}");
        cfg = cfg.apply(&format!("{i:0>64}"), AT, &create(&name)).unwrap();
    }
    for i in 0..MAX_CLASSES {
        cfg = cfg
            .apply(&format!("k{i}"), AT, &set_class(&format!("{i:0>63}"), 1))
            .unwrap();
    }
    let document = cfg.to_document().unwrap();
    assert!(
        document.len() <= MAX_DOCUMENT_BYTES / 2,
        "{}",
        document.len()
    );
    let read = Configuration::parse(7, &document).unwrap();
    assert_eq!(read.revision, 7);
    assert_eq!(
        Configuration {
            revision: 0,
            ..read
        },
        cfg
    );
}

#[test]
fn inconsistent_documents_are_refused() {
    let cfg = apply_all(&[
        create("arcade-a"),
        create("arcade-b"),
        set_class("batch", 5),
    ]);
    let text = String::from_utf8(cfg.to_document().unwrap()).unwrap();
    for (from, to) in [
        ("\"name\":\"arcade-b\"", "\"name\":\"arcade-a\""),
        ("\"name\":\"arcade-b\"", "\"name\":\"\""),
        ("\"next_workspace\":2", "\"next_workspace\":1"),
        ("\"id\":1", "\"id\":0"),
        ("\"target_ms\":5", "\"target_ms\":0"),
        (
            hash_key(b"arcade-b").as_str(),
            hash_key(b"arcade-a").as_str(),
        ),
        (hash_key(b"arcade-b").as_str(), "00"),
        ("\"domains_out\":[]", "\"domains_out\":[\"\"]"),
    ] {
        let altered = text.replacen(from, to, 1);
        assert_ne!(altered, text);
        let err = Configuration::parse(1, altered.as_bytes()).unwrap_err();
        assert!(
            matches!(err, DocumentError::Inconsistent { .. }),
            "{to}: {err}"
        );
    }
    let err = Configuration::parse(1, b"[1").unwrap_err();
    assert!(matches!(err, DocumentError::Malformed { .. }));
    let err = Configuration::parse(1, &vec![b' '; MAX_DOCUMENT_BYTES + 1]).unwrap_err();
    assert!(matches!(err, DocumentError::TooLarge { .. }));
}

#[test]
fn follower_never_lowers_its_revision() {
    let first = apply_all(&[take_domain_out("bern-a")])
        .to_document()
        .unwrap();
    let second = apply_all(&[take_domain_out("zurich-b")])
        .to_document()
        .unwrap();
    let mut follower = Follower::new();
    assert_eq!(follower.configuration(), None);
    assert!(follower.offer_document(4, first.clone()).unwrap().is_some());
    assert!(
        follower
            .offer_document(6, second.clone())
            .unwrap()
            .is_some()
    );
    for stale in 0..=6 {
        assert_eq!(follower.offer_document(stale, first.clone()), Ok(None));
    }
    assert!(follower.offer_document(9, &b"{"[..]).is_err());
    assert_eq!(follower.revision(), 6);
    assert_eq!(follower.document().unwrap(), &second);

    let stored = Configuration {
        revision: 7,
        ..apply_all(&[])
    };
    assert!(follower.offer(&Arc::new(stored.clone())).unwrap().is_some());
    assert!(follower.offer(&Arc::new(stored)).unwrap().is_none());
    assert_eq!(
        follower.document().unwrap(),
        &apply_all(&[]).to_document().unwrap()
    );
}

#[test]
fn differences_name_each_change() {
    let before = apply_all(&[
        create("arcade-a"),
        create("arcade-b"),
        set_class("interactive", 2_000),
        set_class("batch", 9_000),
        take_domain_out("zurich-b"),
    ]);
    let name = |name: &str| name.into();
    let changes = [
        create("arcade-c"),
        Change::RotateKey {
            name: name("arcade-a"),
            key_hash: hash_key(b"new"),
        },
        Change::DisableWorkspace {
            name: name("arcade-b"),
        },
        set_class("interactive", 1_500),
        Change::RemoveClass {
            name: name("batch"),
        },
        set_class("night", 60_000),
        take_domain_out("bern-a"),
        bring_domain_back("zurich-b"),
        Change::TakeServerOut {
            name: name("worker-1"),
        },
    ];
    let after = (0..)
        .zip(&changes)
        .fold(before.clone(), |cfg, (i, change)| {
            cfg.apply(&format!("d{i}"), AT, change).unwrap()
        });
    let shown: Vec<_> = differences(&before, &after)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        shown,
        [
            "~ workspace arcade-a: new key",
            "~ workspace arcade-b: disabled",
            "+ workspace arcade-c",
            "~ class interactive: target 2000 ms -> 1500 ms",
            "+ class night: target 60000 ms",
            "- class batch",
            "~ failure domain bern-a: out of service",
            "~ failure domain zurich-b: back in service",
            "~ backend server worker-1: out of service",
        ]
    );
    let back: Vec<_> = differences(&after, &before)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert!(back.contains(&"- workspace arcade-c".to_owned()));
    assert!(back.contains(&"~ backend server worker-1: back in service".to_owned()));
}

fn any_change() -> impl Strategy<Value = Change> {
    let name = prop_oneof![Just("a"), Just("b"), Just("c")];
    (name, 1..4u64, 0..10u8).prop_map(|(name, n, kind)| {
        let key_hash = hash_key(&n.to_le_bytes());
        let name = name.into();
        match kind {
            0 => Change::CreateWorkspace { name, key_hash },
            1 => Change::RotateKey { name, key_hash },
            2 => Change::EnableWorkspace { name },
            3 => Change::DisableWorkspace { name },
            4 => Change::SetClass { name, target_ms: n },
            5 => Change::RemoveClass { name },
            6 => Change::TakeDomainOut { name },
            7 => Change::BringDomainBack { name },
            8 => Change::TakeServerOut { name },
            _ => Change::BringServerBack { name },
        }
    })
}

proptest! {
    /// For any sequence of changes: an accepted change gives a configuration that can be stored,
    /// read back, and does not change if the change is sent again; a refused change is not
    /// recorded.
    #[test]
    fn accepted_changes_give_valid_configurations(changes in prop::collection::vec(any_change(), 1..60)) {
        let mut cfg = Configuration::default();
        for (i, change) in changes.iter().enumerate() {
            let id = format!("c{i}");
            let Ok(next) = cfg.apply(&id, AT, change) else {
                prop_assert_eq!(cfg.has_change(&id, change), Ok(false));
                continue;
            };
            prop_assert_ne!(&next, &cfg);
            prop_assert_eq!(differences(&cfg, &next).is_empty(), next.is_same_state(&cfg));
            prop_assert_eq!(next.apply(&id, AT + 1, change), Ok(next.clone()));
            let read = Configuration::parse(0, &next.to_document().unwrap());
            prop_assert_eq!(read, Ok(next.clone()));
            cfg = next;
        }
    }

    /// For any order of arrival the revision in force only rises, and ends at the highest.
    #[test]
    fn follower_ends_at_the_highest_revision(revisions in prop::collection::vec(0..50u64, 1..40)) {
        let document = apply_all(&[]).to_document().unwrap();
        let mut follower = Follower::new();
        for revision in &revisions {
            let before = follower.revision();
            let taken = follower.offer_document(*revision, document.clone()).unwrap();
            prop_assert_eq!(taken.is_some(), *revision > before);
            prop_assert!(follower.revision() >= before);
        }
        prop_assert_eq!(follower.revision(), *revisions.iter().max().unwrap());
    }
}
