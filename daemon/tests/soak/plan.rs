//! Faults of a soak, drawn from its seed.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::proxy::LinkState;
use crate::stand_ins::Behavior;

/// Faults in ten seconds: several at a time, since each lasts up to three seconds.
const FAULTS_PER_10_S: u64 = 14;
/// States of links that are faults.
const LINK_FAULTS: [LinkState; 4] = [
    LinkState::Slow,
    LinkState::Silent,
    LinkState::ResponsesLost,
    LinkState::Reset,
];
/// Manners of servers that are faults.
const FAULTY_BEHAVIORS: [Behavior; 7] = [
    Behavior::NotRun,
    Behavior::Crossed,
    Behavior::Unsealed,
    Behavior::Fails,
    Behavior::Breaks,
    Behavior::BreaksStream,
    Behavior::Slow,
];

/// What happens.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The process of a host is killed, and started again at the end.
    Kill,
    /// It is stopped by plan, told so `signals` times, and started again.
    Stop { signals: u32 },
    /// It is paused.
    Pause,
    /// It is told to read its settings again.
    Reload,
    /// Its link to the store is in a state.
    StoreLink(LinkState),
    /// The store answers that it is unavailable.
    StoreDown,
    /// The store forgets its history.
    StoreHistoryLost,
    /// The link to a server is in a state.
    ServerLink(LinkState),
    /// A server answers otherwise than it should.
    ServerBehavior(Behavior),
    /// A server is no longer listed, and comes back as another life.
    ServerRemoved,
    /// The configuration is replaced by a newer one.
    Configure,
}

/// A fault at a time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedFault {
    pub(crate) at: Duration,
    pub(crate) duration: Duration,
    pub(crate) fault: Fault,
    /// Which host or server, by its position; both kinds count from zero.
    pub(crate) target: usize,
}

/// Draws the faults of `seconds`.
pub(crate) fn random_faults(seed: u64, seconds: u64) -> Vec<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    (0..seconds * FAULTS_PER_10_S / 10)
        .map(|_| PlannedFault {
            at: Duration::from_millis(rng.random_range(200..seconds * 1_000)),
            duration: Duration::from_millis(rng.random_range(50..3_000)),
            fault: random_fault(&mut rng),
            target: rng.random_range(0..usize::from(u16::MAX)),
        })
        .collect()
}

fn random_fault(rng: &mut StdRng) -> Fault {
    let link = LINK_FAULTS[rng.random_range(0..LINK_FAULTS.len())];
    match rng.random_range(0..11) {
        0 => Fault::Kill,
        1 => Fault::Stop {
            signals: rng.random_range(1..4),
        },
        2 => Fault::Pause,
        3 => Fault::Reload,
        4 => Fault::StoreLink(link),
        5 => Fault::StoreDown,
        6 => Fault::StoreHistoryLost,
        7 => Fault::ServerLink(link),
        8 => Fault::ServerBehavior(FAULTY_BEHAVIORS[rng.random_range(0..FAULTY_BEHAVIORS.len())]),
        9 => Fault::ServerRemoved,
        _ => Fault::Configure,
    }
}
