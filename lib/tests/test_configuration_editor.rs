//! Concurrent operators that change the configuration through an unreliable store.
//!
//! The tests guard against lost, repeated or wrongly reported changes: every call to the store may
//! conflict, fail, read a stale version, or lose its response.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use cardamomshift_lib::configuration::Change;
use cardamomshift_lib::configuration::ChangeError;
use cardamomshift_lib::configuration::ChangeRequest;
use cardamomshift_lib::configuration::Configuration;
use cardamomshift_lib::configuration::ConfigurationStore;
use cardamomshift_lib::configuration::EditError;
use cardamomshift_lib::configuration::Editor;
use cardamomshift_lib::configuration::Effect;
use cardamomshift_lib::configuration::MAX_CHANGE_RECORDS;
use cardamomshift_lib::configuration::hash_key;
use cardamomshift_lib::platform::Object;
use cardamomshift_lib::platform::ObjectError;
use compact_str::CompactString;
use futures::FutureExt;
use futures::future::join_all;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;
use tokio::time::sleep;

/// Faults of the store, each with its probability in percent.
#[derive(Clone, Copy, Default)]
struct Faults {
    /// The call fails without effect.
    unavailable: u32,
    /// A read returns an older version.
    stale_read: u32,
    /// A write is lost before it reaches the store.
    write_lost: u32,
    /// The store handles a write, but the response is lost.
    response_lost: u32,
    /// The response to a write is lost, and the write reaches the store later.
    write_delayed: u32,
}

/// A store that keeps every version of the object. Version `n` is `versions[n - 1]`.
struct FakeStore {
    versions: Vec<Bytes>,
    faults: Faults,
    rng: StdRng,
    /// Whether the next write is lost before it reaches the store.
    lose_next_write: bool,
    /// Each hook runs before one of the next writes, in order.
    before_write_hooks: VecDeque<Hook>,
}

type Hook = Box<dyn FnOnce(&mut FakeStore) + Send>;
type SharedStore = Arc<Mutex<FakeStore>>;

impl FakeStore {
    fn shared(seed: u64, faults: Faults) -> SharedStore {
        Arc::new(Mutex::new(Self {
            versions: Vec::new(),
            faults,
            rng: StdRng::seed_from_u64(seed),
            lose_next_write: false,
            before_write_hooks: VecDeque::new(),
        }))
    }

    /// Whether an event of the given probability occurs.
    fn roll(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn check_available(&mut self) -> Result<(), ObjectError> {
        if self.roll(self.faults.unavailable) {
            let reason = CompactString::const_new("outage");
            return Err(ObjectError::Unavailable { reason });
        }
        Ok(())
    }

    fn read(&mut self) -> Result<Object, ObjectError> {
        self.check_available()?;
        let mut version = self.versions.len();
        if self.roll(self.faults.stale_read) {
            version -= version.min(self.rng.random_range(0..4));
        }
        let newest = version.checked_sub(1).ok_or(ObjectError::NotFound)?;
        Ok(Object {
            version: version as u64,
            bytes: self.versions[newest].clone(),
        })
    }

    fn store(&mut self, expected: Option<u64>, bytes: Bytes) -> Result<u64, ObjectError> {
        if expected.unwrap_or(0) != self.versions.len() as u64 {
            return Err(ObjectError::Conflict);
        }
        self.versions.push(bytes);
        Ok(self.versions.len() as u64)
    }
}

fn lost_response() -> Result<u64, ObjectError> {
    let reason = CompactString::const_new("answer lost");
    Err(ObjectError::Unknown { reason })
}

async fn write(
    store: SharedStore,
    expected: Option<u64>,
    bytes: Bytes,
) -> Result<u64, ObjectError> {
    sleep(Duration::from_micros(200)).await;
    let mut fake = store.lock().unwrap();
    if let Some(hook) = fake.before_write_hooks.pop_front() {
        hook(&mut fake);
    }
    fake.check_available()?;
    let faults = fake.faults;
    if std::mem::take(&mut fake.lose_next_write) || fake.roll(faults.write_lost) {
        return lost_response();
    }
    if fake.roll(faults.write_delayed) {
        let delay = Duration::from_millis(fake.rng.random_range(0..30));
        let store = store.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            let _ = store.lock().unwrap().store(expected, bytes);
        });
        return lost_response();
    }
    let stored = fake.store(expected, bytes);
    if fake.roll(faults.response_lost) {
        return lost_response();
    }
    stored
}

fn editor(store: &SharedStore) -> Editor {
    let (reader, writer) = (store.clone(), store.clone());
    Editor::new(ConfigurationStore {
        read: Box::new(move || {
            let read = reader.lock().unwrap().read();
            async move { read }.boxed()
        }),
        write: Box::new(move |expected, bytes| write(writer.clone(), expected, bytes).boxed()),
    })
}

fn request(id: &str, change: Change) -> ChangeRequest {
    ChangeRequest {
        id: id.into(),
        at: 1_700_000_000,
        change,
    }
}

fn take_out(name: &str) -> Change {
    Change::TakeDomainOut { name: name.into() }
}

fn short_deadline() -> Instant {
    Instant::now() + Duration::from_millis(300)
}

/// One submission of a change by an operator, and its result.
struct Submission {
    req: ChangeRequest,
    started: Instant,
    finished: Instant,
    result: Result<(u64, Effect), EditError>,
}

fn random_change(rng: &mut StdRng) -> Change {
    let name: CompactString = ["a", "b", "c"][rng.random_range(0..3)].into();
    let n = rng.random_range(1..4u64);
    match rng.random_range(0..6) {
        0 => Change::CreateWorkspace {
            key_hash: hash_key(name.as_bytes()),
            name,
        },
        1 => Change::SetClass { name, target_ms: n },
        2 => Change::RemoveClass { name },
        3 => Change::TakeDomainOut { name },
        4 => Change::BringDomainBack { name },
        _ => Change::TakeServerOut { name },
    }
}

/// Simulates one operator, who submits changes through random hosts. A change that is not known to
/// be stored is submitted a second time, again through a random host.
async fn run_operator(hosts: Vec<Editor>, operator: usize, seed: u64) -> Vec<Submission> {
    let mut rng = StdRng::seed_from_u64(seed ^ (operator as u64) << 32);
    let mut submissions = Vec::new();
    for i in 0..12 {
        let req = request(&format!("o{operator}-{i}"), random_change(&mut rng));
        for _ in 0..2 {
            let host = &hosts[rng.random_range(0..hosts.len())];
            let started = Instant::now();
            let result = host.submit(&req, short_deadline()).await;
            let result = result.map(|done| (done.configuration.revision, done.effect));
            let is_unresolved = matches!(
                result,
                Err(EditError::Unknown { .. } | EditError::NotStored { .. })
            );
            submissions.push(Submission {
                req: req.clone(),
                started,
                finished: Instant::now(),
                result,
            });
            if !is_unresolved {
                break;
            }
        }
    }
    submissions
}

/// Checks that each stored version follows from the one before by the change that it records, and
/// that no change is stored twice. Returns the revision of each change.
fn replay(store: &SharedStore, submissions: &[Submission]) -> HashMap<CompactString, u64> {
    let requests: HashMap<_, _> = submissions
        .iter()
        .map(|submission| (&submission.req.id, &submission.req))
        .collect();
    let mut revisions = HashMap::new();
    let mut before = Configuration::default();
    for (revision, document) in (1..).zip(&store.lock().unwrap().versions) {
        let after = Configuration::parse(0, document).unwrap();
        let id = after.changes.last().unwrap().id.clone();
        let req = requests[&id];
        assert_eq!(before.apply(&id, req.at, &req.change), Ok(after.clone()));
        assert_eq!(revisions.insert(id, revision), None, "applied twice");
        before = after;
    }
    revisions
}

/// Checks every result against the stored versions: an accepted change is stored at the reported
/// revision, and a change that was reported as not stored is absent.
fn check_history(store: &SharedStore, submissions: &[Submission]) {
    let revisions = replay(store, submissions);
    // Identifiers of changes with a submission that may have stored them.
    let mut may_be_stored = HashSet::new();
    for submission in submissions {
        let stored = revisions.get(&submission.req.id);
        match &submission.result {
            Ok((revision, Effect::StoredBefore)) => assert!(stored.unwrap() <= revision),
            Ok((revision, _)) => assert_eq!(stored, Some(revision)),
            Err(EditError::Unknown { .. }) => {}
            Err(_) => continue,
        }
        may_be_stored.insert(&submission.req.id);
    }
    for id in revisions.keys() {
        assert!(
            may_be_stored.contains(id),
            "{id} is stored but was reported as not stored"
        );
    }
    check_order(submissions);
}

/// Checks that a change accepted before another one was submitted has the lower revision.
fn check_order(submissions: &[Submission]) {
    let made = |submission: &Submission| match submission.result {
        Ok((revision, effect)) if effect != Effect::StoredBefore => Some(revision),
        _ => None,
    };
    for first in submissions {
        for second in submissions
            .iter()
            .filter(|second| first.finished < second.started)
        {
            if let (Some(before), Some(after)) = (made(first), made(second)) {
                assert!(before < after);
            }
        }
    }
}

async fn run_history(seed: u64, faults: Faults) -> Vec<Submission> {
    let store = FakeStore::shared(seed, faults);
    let hosts: Vec<_> = (0..3).map(|_| editor(&store)).collect();
    let operators = (0..6).map(|operator| run_operator(hosts.clone(), operator, seed));
    let submissions: Vec<_> = join_all(operators).await.into_iter().flatten().collect();
    sleep(Duration::from_millis(50)).await; // Delayed writes take at most 30 ms.
    check_history(&store, &submissions);
    submissions
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn racing_operators_neither_lose_nor_repeat_changes() {
    let faults = [
        Faults::default(),
        Faults {
            response_lost: 30,
            ..Faults::default()
        },
        Faults {
            unavailable: 20,
            stale_read: 20,
            write_lost: 10,
            response_lost: 10,
            write_delayed: 10,
        },
        Faults {
            unavailable: 60,
            write_delayed: 30,
            ..Faults::default()
        },
    ];
    let seeds = (0..5).flat_map(|seed| faults.iter().map(move |faults| (seed, *faults)));
    let runs = join_all(seeds.map(|(seed, faults)| run_history(seed, faults))).await;
    let accepted = runs
        .iter()
        .flatten()
        .filter(|submission| submission.result.is_ok())
        .count();
    assert!(accepted > 100, "{accepted}");
}

#[tokio::test]
async fn conflicting_change_is_reapplied_or_refused() {
    let store = FakeStore::shared(1, Faults::default());
    let editor = editor(&store);
    let competing_write = |change: Change| {
        move |fake: &mut FakeStore| {
            let versions = &mut fake.versions;
            let base = versions
                .last()
                .map_or(Configuration::default(), |document| {
                    Configuration::parse(0, document).unwrap()
                });
            let id = format!("rival-{}", versions.len());
            let next = base.apply(&id, 0, &change).unwrap();
            versions.push(next.to_document().unwrap().into());
        }
    };
    let add_competing_write = |change| {
        let hook = Box::new(competing_write(change));
        store.lock().unwrap().before_write_hooks.push_back(hook);
    };

    add_competing_write(take_out("zurich-b"));
    let done = editor
        .submit(&request("one", take_out("bern-a")), short_deadline())
        .await
        .unwrap();
    let out: Vec<_> = done
        .configuration
        .domains_out
        .iter()
        .map(|name| name.as_str())
        .collect();
    assert_eq!(
        (out, done.configuration.revision),
        (vec!["bern-a", "zurich-b"], 2)
    );

    let key_hash = hash_key(b"key");
    let create = |key_hash| Change::CreateWorkspace {
        name: "arcade-a".into(),
        key_hash,
    };
    add_competing_write(create(hash_key(b"rival")));
    let result = editor
        .submit(&request("two", create(key_hash)), short_deadline())
        .await;
    let refused = matches!(
        result,
        Err(EditError::Refused {
            source: ChangeError::Duplicate { .. }
        })
    );
    assert!(refused, "{result:?}");

    add_competing_write(take_out("basel-c"));
    let done = editor
        .submit(&request("three", take_out("basel-c")), short_deadline())
        .await;
    assert_eq!(done.unwrap().effect, Effect::AlreadySo);
}

#[tokio::test]
async fn lost_response_is_resolved_by_reading_back() {
    let faults = Faults {
        response_lost: 100,
        ..Faults::default()
    };
    let store = FakeStore::shared(1, faults);
    let done = editor(&store)
        .submit(&request("one", take_out("bern-a")), short_deadline())
        .await;
    assert_eq!(done.unwrap().effect, Effect::StoredBefore);
    assert_eq!(store.lock().unwrap().versions.len(), 1);
}

#[tokio::test]
async fn outage_is_reported_as_not_stored() {
    let faults = Faults {
        unavailable: 100,
        ..Faults::default()
    };
    let store = FakeStore::shared(1, faults);
    let result = editor(&store)
        .submit(&request("one", take_out("bern-a")), short_deadline())
        .await;
    assert!(
        matches!(result, Err(EditError::NotStored { .. })),
        "{result:?}"
    );
}

#[tokio::test]
async fn repeatedly_lost_write_is_unknown() {
    let faults = Faults {
        write_lost: 100,
        ..Faults::default()
    };
    let store = FakeStore::shared(1, faults);
    let result = editor(&store)
        .submit(&request("one", take_out("bern-a")), short_deadline())
        .await;
    assert!(
        matches!(result, Err(EditError::Unknown { .. })),
        "{result:?}"
    );
}

#[tokio::test]
async fn lost_write_that_may_still_arrive_is_unknown() {
    let store = FakeStore::shared(1, Faults::default());
    let before_write = |hook: Hook| store.lock().unwrap().before_write_hooks.push_back(hook);
    before_write(Box::new(|fake| fake.lose_next_write = true));
    // The lost write is followed by a read that still returns the old version. Then an outage
    // starts, so the editor cannot find out whether the write arrives later.
    before_write(Box::new(|fake| fake.faults.unavailable = 100));
    let result = editor(&store)
        .submit(&request("one", take_out("bern-a")), short_deadline())
        .await;
    assert!(
        matches!(result, Err(EditError::Unknown { .. })),
        "{result:?}"
    );
}

#[tokio::test]
async fn lost_write_followed_by_too_many_changes_is_unknown() {
    let store = FakeStore::shared(1, Faults::default());
    let editor = editor(&store);
    editor
        .submit(&request("first", take_out("basel-c")), short_deadline())
        .await
        .unwrap();
    store
        .lock()
        .unwrap()
        .before_write_hooks
        .push_back(Box::new(|fake| {
            fake.lose_next_write = true;
            let mut cfg = Configuration::parse(0, fake.versions.last().unwrap()).unwrap();
            for i in 0..MAX_CHANGE_RECORDS {
                let id = format!("rival-{i}");
                cfg = cfg.apply(&id, 0, &take_out("zurich-b")).unwrap();
            }
            fake.versions.push(cfg.to_document().unwrap().into());
        }));
    let result = editor
        .submit(&request("one", take_out("bern-a")), short_deadline())
        .await;
    assert!(
        matches!(result, Err(EditError::Unknown { .. })),
        "{result:?}"
    );
}

#[tokio::test]
async fn stale_base_is_not_changed() {
    let store = FakeStore::shared(1, Faults::default());
    let editor = editor(&store);
    editor.record_revision(5);
    let result = editor
        .submit(&request("one", take_out("bern-a")), short_deadline())
        .await;
    assert!(
        matches!(result, Err(EditError::NotStored { .. })),
        "{result:?}"
    );
    assert!(store.lock().unwrap().versions.is_empty());
}

#[tokio::test]
async fn unknown_members_are_not_dropped() {
    let store = FakeStore::shared(1, Faults::default());
    let newer = Bytes::from_static(br#"{"next_workspace":0,"quotas":[]}"#);
    store.lock().unwrap().versions.push(newer);
    let result = editor(&store)
        .submit(&request("one", take_out("bern-a")), short_deadline())
        .await;
    assert_eq!(result.unwrap_err(), EditError::NewerFormat);
}
