//! Keyed operations run at most once, whatever happens to the store and the hosts.

use cardamomshift_lib::operation::Claim;
use cardamomshift_lib::operation::ClaimEvent;
use cardamomshift_lib::operation::ClaimStep;
use cardamomshift_lib::operation::Claimant;
use cardamomshift_lib::operation::Claimed;
use cardamomshift_lib::operation::Fingerprint;
use cardamomshift_lib::operation::Nonce;
use cardamomshift_lib::operation::Record;
use cardamomshift_lib::operation::RecordState;
use cardamomshift_lib::operation::Settle;
use cardamomshift_lib::operation::SettleEvent;
use cardamomshift_lib::operation::SettleStep;
use cardamomshift_lib::operation::Settlement;
use cardamomshift_lib::operation::Standing;
use cardamomshift_lib::operation::StoredAnswer;
use proptest::prelude::*;

fn claimant(nonce: u64, at: u64) -> Claimant {
    Claimant {
        nonce: Nonce(format!("{nonce:x}").into()),
        host: "host".into(),
        fingerprint: Fingerprint::of("POST", "/book", b"two"),
        at,
        lapses_at: at + 10,
    }
}

fn answer(nonce: &Nonce) -> StoredAnswer {
    StoredAnswer {
        status: 200,
        headers: vec![],
        body: nonce.0.as_bytes().to_vec(),
    }
}

/// What happens to a call. A delayed write arrives later; a delayed read sees an earlier state.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    AnswerLost,
    CallLost,
    Delayed,
}

/// One move of the schedule.
#[derive(Clone, Copy, Debug)]
enum Move {
    /// A host does the next thing, with this fate of its call.
    Step { host: usize, fate: Fate, run: bool },
    /// A host ends and comes back empty.
    Crash { host: usize },
    /// A delayed write arrives.
    Deliver,
}

fn moves() -> impl Strategy<Value = Vec<Move>> {
    let fate = prop_oneof![
        4 => Just(Fate::Answered),
        2 => Just(Fate::AnswerLost),
        1 => Just(Fate::CallLost),
        2 => Just(Fate::Delayed),
    ];
    let step = (0..3_usize, fate, any::<bool>());
    let step = step.prop_map(|(host, fate, run)| Move::Step { host, fate, run });
    let crash = (0..3_usize).prop_map(|host| Move::Crash { host });
    prop::collection::vec(
        prop_oneof![12 => step, 1 => crash, 3 => Just(Move::Deliver)],
        1..120,
    )
}

/// A write on its way to the store: the version that it replaces, if any.
type Write = (Option<u64>, Record);

#[derive(Default)]
struct StoreModel {
    object: Option<(u64, Record)>,
    /// States before the present one, oldest first.
    earlier: Vec<Option<(u64, Record)>>,
    delayed: Vec<Write>,
}

impl StoreModel {
    fn apply(&mut self, (replaces, record): Write) -> Option<u64> {
        let current = self.object.as_ref().map(|(version, _)| *version);
        if current != replaces {
            return None;
        }
        let version = current.unwrap_or(0) + 1;
        self.earlier.push(self.object.clone());
        self.object = Some((version, record));
        Some(version)
    }

    /// Result of a read, if there is any.
    fn read(&self, fate: Fate) -> Result<Option<(u64, Record)>, ()> {
        match fate {
            Fate::Answered => Ok(self.object.clone()),
            Fate::AnswerLost | Fate::CallLost => Err(()),
            Fate::Delayed => Ok(self.earlier.last().cloned().flatten()),
        }
    }

    /// Result of a write: its version, `None` for a conflict, or nothing at all.
    fn write(&mut self, write: Write, fate: Fate) -> Result<Option<u64>, ()> {
        match fate {
            Fate::Answered => Ok(self.apply(write)),
            Fate::AnswerLost => {
                self.apply(write);
                Err(())
            }
            Fate::CallLost => Err(()),
            Fate::Delayed => {
                self.delayed.push(write);
                Err(())
            }
        }
    }
}

enum Host {
    Idle,
    Claiming(Nonce, Claim, ClaimStep),
    Holding(Nonce, u64, Record),
    Ran(Nonce, u64, Record),
    Settling(Settle, SettleStep),
}

#[derive(Default)]
struct World {
    store: StoreModel,
    hosts: Vec<Host>,
    claims: u64,
    runs: Vec<Nonce>,
}

impl World {
    fn new() -> Self {
        Self {
            hosts: (0..3).map(|_| Host::Idle).collect(),
            ..Self::default()
        }
    }

    fn play(&mut self, next: Move) {
        match next {
            Move::Crash { host } => self.hosts[host] = Host::Idle,
            Move::Deliver if self.store.delayed.is_empty() => {}
            Move::Deliver => {
                let write = self.store.delayed.remove(0);
                self.store.apply(write);
            }
            Move::Step { host, fate, run } => {
                let state = std::mem::replace(&mut self.hosts[host], Host::Idle);
                self.hosts[host] = self.step(state, fate, run);
            }
        }
    }

    fn step(&mut self, state: Host, fate: Fate, run: bool) -> Host {
        match state {
            Host::Idle => {
                self.claims += 1;
                let claimant = claimant(self.claims, self.claims);
                let nonce = claimant.nonce.clone();
                let (claim, step) = Claim::start(claimant);
                Host::Claiming(nonce, claim, step)
            }
            Host::Claiming(nonce, claim, step) => self.claim(nonce, claim, step, fate),
            Host::Holding(nonce, version, record) if run => {
                self.runs.push(nonce.clone());
                Host::Ran(nonce, version, record)
            }
            Host::Holding(nonce, version, record) => {
                let (settle, step) = Settle::start(nonce, Settlement::NotRun, version, &record);
                Host::Settling(settle, step)
            }
            Host::Ran(nonce, version, record) => {
                let end = if run {
                    Settlement::Completed(answer(&nonce))
                } else {
                    Settlement::Unknown
                };
                let (settle, step) = Settle::start(nonce, end, version, &record);
                Host::Settling(settle, step)
            }
            Host::Settling(settle, step) => self.settle(settle, step, fate),
        }
    }

    fn claim(&mut self, nonce: Nonce, mut claim: Claim, step: ClaimStep, fate: Fate) -> Host {
        let write = match step {
            ClaimStep::Create(record) => Some((None, record)),
            ClaimStep::Update { version, record } => Some((Some(version), record)),
            ClaimStep::Read => None,
            ClaimStep::Done(Claimed::Won { version, record }) => {
                return Host::Holding(nonce, version, record);
            }
            ClaimStep::Done(Claimed::Unavailable) => {
                let (settle, step) = Settle::start_unknown(nonce, Settlement::NotRun);
                return Host::Settling(settle, step);
            }
            ClaimStep::Done(Claimed::Lost(standing)) => {
                if let Standing::Replay(kept) = standing {
                    assert_eq!(kept, answer(&self.runs[0]), "the answer of the only run");
                }
                return Host::Idle;
            }
        };
        let event = match write.map(|write| self.store.write(write, fate)) {
            Some(Ok(Some(version))) => ClaimEvent::Written { version },
            Some(Ok(None)) => ClaimEvent::Conflict,
            Some(Err(())) => ClaimEvent::Lost,
            None => match self.store.read(fate) {
                Ok(Some((version, record))) => ClaimEvent::Found { version, record },
                Ok(None) => ClaimEvent::Absent,
                Err(()) => ClaimEvent::Unreadable,
            },
        };
        let step = claim.on(event);
        Host::Claiming(nonce, claim, step)
    }

    fn settle(&mut self, settle: Settle, step: SettleStep, fate: Fate) -> Host {
        let event = match step {
            SettleStep::Done(_) => return Host::Idle,
            SettleStep::Update { version, record } => {
                match self.store.write((Some(version), record), fate) {
                    Ok(Some(_)) => SettleEvent::Written,
                    Ok(None) => SettleEvent::Conflict,
                    Err(()) => SettleEvent::Lost,
                }
            }
            SettleStep::Read => match self.store.read(fate) {
                Ok(Some((version, record))) => SettleEvent::Found { version, record },
                Ok(None) => SettleEvent::Absent,
                Err(()) => SettleEvent::Unreadable,
            },
        };
        let step = settle.on(event);
        Host::Settling(settle, step)
    }

    fn holders(&self) -> usize {
        let holds = |host: &&Host| matches!(host, Host::Holding(..) | Host::Ran(..));
        self.hosts.iter().filter(holds).count()
    }

    fn check(&self) {
        assert!(self.runs.len() <= 1, "ran {} times", self.runs.len());
        assert!(self.holders() <= 1, "two hosts hold the operation");
        let Some((_, record)) = &self.store.object else {
            return;
        };
        if *record.state() == RecordState::NotRun {
            assert!(
                self.runs.is_empty(),
                "a run operation is recorded as not run"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4096))]

    #[test]
    fn operation_runs_at_most_once(moves in moves()) {
        let mut world = World::new();
        for next in moves {
            world.play(next);
            world.check();
        }
    }

    #[test]
    fn record_survives_its_text(body in prop::collection::vec(any::<u8>(), 0..64)) {
        let claimant = claimant(1, 0);
        let stored = StoredAnswer { body, ..answer(&claimant.nonce) };
        let record = Record::pending(&claimant)
            .settled(&claimant.nonce, Settlement::Completed(stored))
            .unwrap();
        prop_assert_eq!(Record::decode(&record.encode()).unwrap(), record);
    }
}

#[test]
fn schedules_reach_runs_replays_and_second_claims() {
    let answered = |host, run| Move::Step {
        host,
        fate: Fate::Answered,
        run,
    };
    let mut world = World::new();
    // The first host claims and does not run it; the second one claims it again and runs it.
    let first = std::iter::repeat_n(answered(0, false), 6);
    let second = std::iter::repeat_n(answered(1, true), 9);
    for next in first.chain(second) {
        world.play(next);
        world.check();
    }
    assert_eq!(world.runs.len(), 1);
    let (_, record) = world.store.object.clone().unwrap();
    let late = record.standing(&claimant(99, 5));
    assert_eq!(late, Standing::Replay(answer(&world.runs[0])));
}

#[test]
fn unfinished_run_lapses_to_unknown_and_never_runs_again() {
    let record = Record::pending(&claimant(1, 100));
    assert_eq!(record.standing(&claimant(2, 105)), Standing::InProgress);
    assert_eq!(record.standing(&claimant(2, 200)), Standing::Unknown);
    assert!(record.claimed(&claimant(2, 200)).is_none());
}

#[test]
fn key_of_another_request_is_refused_in_every_state() {
    let first = claimant(1, 0);
    let other = Claimant {
        fingerprint: Fingerprint::of("POST", "/book", b"three"),
        ..claimant(2, 0)
    };
    let pending = Record::pending(&first);
    let free = pending.settled(&first.nonce, Settlement::NotRun).unwrap();
    for record in [pending, free] {
        assert_eq!(record.standing(&other), Standing::KeyReused);
        assert!(record.claimed(&other).is_none());
    }
}

#[test]
fn malformed_record_is_an_error() {
    assert!(Record::decode(b"{}").is_err());
    assert!(Record::decode(b"\xff").is_err());
}
