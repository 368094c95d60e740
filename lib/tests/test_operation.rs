//! Operations (requests with an idempotency key) run at most once, whatever happens to the store
//! and the hosts. Random schedules drive three simulated hosts against a simulated store.

use cardamomshift_lib::operation::Claim;
use cardamomshift_lib::operation::ClaimDecision;
use cardamomshift_lib::operation::ClaimEvent;
use cardamomshift_lib::operation::ClaimStep;
use cardamomshift_lib::operation::Claimant;
use cardamomshift_lib::operation::FinalState;
use cardamomshift_lib::operation::Fingerprint;
use cardamomshift_lib::operation::KeyStatus;
use cardamomshift_lib::operation::Nonce;
use cardamomshift_lib::operation::Record;
use cardamomshift_lib::operation::RecordState;
use cardamomshift_lib::operation::Settle;
use cardamomshift_lib::operation::SettleEvent;
use cardamomshift_lib::operation::SettleStep;
use cardamomshift_lib::operation::StoredResponse;
use proptest::prelude::*;

/// A claim for the same request, made at `at` and expiring 10 s later.
fn claimant(nonce: u64, at: u64) -> Claimant {
    Claimant {
        nonce: Nonce(format!("{nonce:x}").into()),
        host: "host".into(),
        fingerprint: Fingerprint::of("POST", "/book", b"two"),
        at,
        lapses_at: at + 10,
    }
}

/// The response of a run by the claim with this nonce.
fn response(nonce: &Nonce) -> StoredResponse {
    StoredResponse {
        status: 200,
        headers: vec![],
        body: nonce.0.as_bytes().to_vec(),
    }
}

/// What happens to a call to the store. A delayed write is applied later; a delayed read returns an
/// earlier state.
#[derive(Clone, Copy, Debug)]
enum CallOutcome {
    Succeeds,
    ResponseLost,
    RequestLost,
    Delayed,
}

/// One action of a random schedule.
#[derive(Clone, Copy, Debug)]
enum Action {
    /// A host takes its next step. `call_outcome` applies to its call to the store; `run` decides
    /// whether it runs the operation, and afterwards whether it knows the response.
    Step {
        host: usize,
        call_outcome: CallOutcome,
        run: bool,
    },
    /// A host crashes and restarts without any state.
    Crash { host: usize },
    /// The oldest delayed write is applied.
    Deliver,
}

fn actions() -> impl Strategy<Value = Vec<Action>> {
    let call_outcome = prop_oneof![
        4 => Just(CallOutcome::Succeeds),
        2 => Just(CallOutcome::ResponseLost),
        1 => Just(CallOutcome::RequestLost),
        2 => Just(CallOutcome::Delayed),
    ];
    let step = (0..3_usize, call_outcome, any::<bool>());
    let step = step.prop_map(|(host, call_outcome, run)| Action::Step {
        host,
        call_outcome,
        run,
    });
    let crash = (0..3_usize).prop_map(|host| Action::Crash { host });
    prop::collection::vec(
        prop_oneof![12 => step, 1 => crash, 3 => Just(Action::Deliver)],
        1..120,
    )
}

/// A write to the store: the version that it replaces (`None` to create the object), and the new
/// record.
type Write = (Option<u64>, Record);

/// A store with one object, whose writes may be delayed.
#[derive(Default)]
struct SimulatedStore {
    object: Option<(u64, Record)>,
    /// Earlier states, oldest first.
    earlier: Vec<Option<(u64, Record)>>,
    delayed: Vec<Write>,
}

impl SimulatedStore {
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

    /// Result of a read, or an error without a response.
    fn read(&self, call_outcome: CallOutcome) -> Result<Option<(u64, Record)>, ()> {
        match call_outcome {
            CallOutcome::Succeeds => Ok(self.object.clone()),
            CallOutcome::ResponseLost | CallOutcome::RequestLost => Err(()),
            CallOutcome::Delayed => Ok(self.earlier.last().cloned().flatten()),
        }
    }

    /// Result of a write: its version, `None` for a conflict, or an error without a response.
    fn write(&mut self, write: Write, call_outcome: CallOutcome) -> Result<Option<u64>, ()> {
        match call_outcome {
            CallOutcome::Succeeds => Ok(self.apply(write)),
            CallOutcome::ResponseLost => {
                self.apply(write);
                Err(())
            }
            CallOutcome::RequestLost => Err(()),
            CallOutcome::Delayed => {
                self.delayed.push(write);
                Err(())
            }
        }
    }
}

/// State of a simulated host, with the nonce of its claim.
enum Host {
    Idle,
    Claiming(Nonce, Claim, ClaimStep),
    Holding(Nonce, u64, Record),
    Ran(Nonce, u64, Record),
    Settling(Settle, SettleStep),
}

/// Three hosts, their store, and the nonces of all runs.
#[derive(Default)]
struct Simulation {
    store: SimulatedStore,
    hosts: Vec<Host>,
    claims: u64,
    runs: Vec<Nonce>,
}

impl Simulation {
    fn new() -> Self {
        Self {
            hosts: (0..3).map(|_| Host::Idle).collect(),
            ..Self::default()
        }
    }

    fn perform(&mut self, next: Action) {
        match next {
            Action::Crash { host } => self.hosts[host] = Host::Idle,
            Action::Deliver if self.store.delayed.is_empty() => {}
            Action::Deliver => {
                let write = self.store.delayed.remove(0);
                self.store.apply(write);
            }
            Action::Step {
                host,
                call_outcome,
                run,
            } => {
                let state = std::mem::replace(&mut self.hosts[host], Host::Idle);
                self.hosts[host] = self.step(state, call_outcome, run);
            }
        }
    }

    fn step(&mut self, state: Host, call_outcome: CallOutcome, run: bool) -> Host {
        match state {
            Host::Idle => {
                self.claims += 1;
                let claimant = claimant(self.claims, self.claims);
                let nonce = claimant.nonce.clone();
                let (claim, step) = Claim::start(claimant);
                Host::Claiming(nonce, claim, step)
            }
            Host::Claiming(nonce, claim, step) => self.claim(nonce, claim, step, call_outcome),
            Host::Holding(nonce, version, record) if run => {
                self.runs.push(nonce.clone());
                Host::Ran(nonce, version, record)
            }
            Host::Holding(nonce, version, record) => {
                let (settle, step) = Settle::start(nonce, FinalState::NotRun, version, &record);
                Host::Settling(settle, step)
            }
            Host::Ran(nonce, version, record) => {
                let end = if run {
                    FinalState::Completed(response(&nonce))
                } else {
                    FinalState::Unknown
                };
                let (settle, step) = Settle::start(nonce, end, version, &record);
                Host::Settling(settle, step)
            }
            Host::Settling(settle, step) => self.settle(settle, step, call_outcome),
        }
    }

    fn claim(
        &mut self,
        nonce: Nonce,
        mut claim: Claim,
        step: ClaimStep,
        call_outcome: CallOutcome,
    ) -> Host {
        let write = match step {
            ClaimStep::Create(record) => Some((None, record)),
            ClaimStep::Update { version, record } => Some((Some(version), record)),
            ClaimStep::Read => None,
            ClaimStep::Done(ClaimDecision::Won { version, record }) => {
                return Host::Holding(nonce, version, record);
            }
            ClaimStep::Done(ClaimDecision::Unavailable) => {
                let (settle, step) = Settle::start_unknown(nonce, FinalState::NotRun);
                return Host::Settling(settle, step);
            }
            ClaimStep::Done(ClaimDecision::Lost(key_status)) => {
                if let KeyStatus::Replay(kept) = key_status {
                    assert_eq!(
                        kept,
                        response(&self.runs[0]),
                        "the replayed response must be that of the only run"
                    );
                }
                return Host::Idle;
            }
        };
        let event = match write.map(|write| self.store.write(write, call_outcome)) {
            Some(Ok(Some(version))) => ClaimEvent::Written { version },
            Some(Ok(None)) => ClaimEvent::Conflict,
            Some(Err(())) => ClaimEvent::NoResponse,
            None => match self.store.read(call_outcome) {
                Ok(Some((version, record))) => ClaimEvent::Found { version, record },
                Ok(None) => ClaimEvent::Absent,
                Err(()) => ClaimEvent::Unreadable,
            },
        };
        let step = claim.on_event(event);
        Host::Claiming(nonce, claim, step)
    }

    fn settle(&mut self, settle: Settle, step: SettleStep, call_outcome: CallOutcome) -> Host {
        let event = match step {
            SettleStep::Done(_) => return Host::Idle,
            SettleStep::Update { version, record } => {
                match self.store.write((Some(version), record), call_outcome) {
                    Ok(Some(_)) => SettleEvent::Written,
                    Ok(None) => SettleEvent::Conflict,
                    Err(()) => SettleEvent::NoResponse,
                }
            }
            SettleStep::Read => match self.store.read(call_outcome) {
                Ok(Some((version, record))) => SettleEvent::Found { version, record },
                Ok(None) => SettleEvent::Absent,
                Err(()) => SettleEvent::Unreadable,
            },
        };
        let step = settle.on_event(event);
        Host::Settling(settle, step)
    }

    fn holders(&self) -> usize {
        let holds = |host: &&Host| matches!(host, Host::Holding(..) | Host::Ran(..));
        self.hosts.iter().filter(holds).count()
    }

    /// Checks the invariants: at most one run and one holder, and no run recorded as not run.
    fn check(&self) {
        assert!(
            self.runs.len() <= 1,
            "the operation ran {} times",
            self.runs.len()
        );
        assert!(self.holders() <= 1, "two hosts hold the operation");
        let Some((_, record)) = &self.store.object else {
            return;
        };
        if *record.state() == RecordState::NotRun {
            assert!(
                self.runs.is_empty(),
                "an operation that ran is recorded as not run"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4096))]

    #[test]
    fn operation_runs_at_most_once(actions in actions()) {
        let mut simulation = Simulation::new();
        for next in actions {
            simulation.perform(next);
            simulation.check();
        }
    }

    #[test]
    fn record_round_trips_through_json(body in prop::collection::vec(any::<u8>(), 0..64)) {
        let claimant = claimant(1, 0);
        let stored = StoredResponse { body, ..response(&claimant.nonce) };
        let record = Record::pending(&claimant)
            .settled(&claimant.nonce, FinalState::Completed(stored))
            .unwrap();
        prop_assert_eq!(Record::decode(&record.encode()).unwrap(), record);
    }
}

#[test]
fn freed_operation_is_claimed_run_and_replayed() {
    // A step whose call to the store, if any, succeeds.
    let step = |host, run| Action::Step {
        host,
        call_outcome: CallOutcome::Succeeds,
        run,
    };
    let mut simulation = Simulation::new();
    // The first host claims the operation but does not run it; the second host claims it again and
    // runs it.
    let first = std::iter::repeat_n(step(0, false), 6);
    let second = std::iter::repeat_n(step(1, true), 9);
    for next in first.chain(second) {
        simulation.perform(next);
        simulation.check();
    }
    assert_eq!(simulation.runs.len(), 1);
    let (_, record) = simulation.store.object.clone().unwrap();
    let late = record.key_status(&claimant(99, 5));
    assert_eq!(late, KeyStatus::Replay(response(&simulation.runs[0])));
}

#[test]
fn unfinished_run_becomes_unknown_and_never_runs_again() {
    let record = Record::pending(&claimant(1, 100));
    assert_eq!(record.key_status(&claimant(2, 105)), KeyStatus::InProgress);
    assert_eq!(record.key_status(&claimant(2, 200)), KeyStatus::Unknown);
    assert!(record.reclaimed(&claimant(2, 200)).is_none());
}

#[test]
fn key_of_another_request_is_refused_in_every_state() {
    let first = claimant(1, 0);
    let other = Claimant {
        fingerprint: Fingerprint::of("POST", "/book", b"three"),
        ..claimant(2, 0)
    };
    let pending = Record::pending(&first);
    let free = pending.settled(&first.nonce, FinalState::NotRun).unwrap();
    for record in [pending, free] {
        assert_eq!(record.key_status(&other), KeyStatus::KeyReused);
        assert!(record.reclaimed(&other).is_none());
    }
}

#[test]
fn malformed_record_is_an_error() {
    assert!(Record::decode(b"{}").is_err());
    assert!(Record::decode(b"\xff").is_err());
}
