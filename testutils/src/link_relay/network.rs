//! State of all links of a network.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::sync::watch;

/// Connections from one address to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Link {
    /// Address that opens the connections.
    pub source: IpAddr,
    /// Address that accepts them.
    pub destination: IpAddr,
}

/// What a link does with its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// It passes bytes on.
    #[default]
    Open,
    /// It passes bytes on after a delay in each direction.
    Slow(Duration),
    /// It keeps its connections and holds their bytes back, as a network that loses every packet.
    Stalled,
    /// It breaks its connections and refuses new ones.
    Cut,
}

#[derive(Debug, Default)]
struct State {
    links: HashMap<Link, LinkState>,
    delay: Duration,
    bytes: HashMap<Link, u64>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changes: watch::Sender<u64>,
}

/// Handle on the state of all links; clones share it.
#[derive(Clone, Debug)]
pub struct Network {
    shared: Arc<Shared>,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            shared: Arc::new(Shared {
                state: Mutex::default(),
                changes: watch::Sender::new(0),
            }),
        }
    }
}

impl Network {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().expect("network state")
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.lock());
        self.shared.changes.send_modify(|count| *count += 1);
    }

    /// Sets the delay in each direction of every link that has no state of its own.
    pub fn set_delay(&self, delay: Duration) {
        self.change(|state| state.delay = delay);
    }

    /// Sets the state of the links from `source` to `destination`, not of those back.
    pub fn set(&self, source: IpAddr, destination: IpAddr, to: LinkState) {
        let link = Link {
            source,
            destination,
        };
        self.change(|state| {
            state.links.insert(link, to);
        });
    }

    /// Sets the state of all links between two sets of addresses, in both directions.
    pub fn set_between(&self, one: &[IpAddr], other: &[IpAddr], to: LinkState) {
        self.change(|state| {
            for (a, b) in pairs(one, other) {
                let there = Link {
                    source: a,
                    destination: b,
                };
                let back = Link {
                    source: b,
                    destination: a,
                };
                state.links.insert(there, to);
                state.links.insert(back, to);
            }
        });
    }

    /// Opens every link.
    pub fn heal(&self) {
        self.change(|state| state.links.clear());
    }

    /// Bytes passed on by link, both directions of its connections together.
    pub fn bytes(&self) -> HashMap<Link, u64> {
        self.lock().bytes.clone()
    }

    fn state(&self, link: Link) -> LinkState {
        self.lock().links.get(&link).copied().unwrap_or_default()
    }

    pub(super) fn count_bytes(&self, link: Link, bytes: usize) {
        *self.lock().bytes.entry(link).or_default() += bytes as u64;
    }

    pub(super) fn delay(&self, link: Link) -> Duration {
        let state = self.lock();
        match state.links.get(&link) {
            Some(LinkState::Slow(delay)) => *delay,
            _ => state.delay,
        }
    }

    /// Waits until the link is cut.
    pub(super) async fn wait_until_cut(&self, link: Link) {
        self.wait(|| self.state(link) == LinkState::Cut).await;
    }

    /// Waits until the link is not silent.
    pub(super) async fn wait_until_passable(&self, link: Link) {
        self.wait(|| self.state(link) != LinkState::Stalled).await;
    }

    async fn wait(&self, reached: impl Fn() -> bool) {
        if reached() {
            return;
        }
        let mut changes = self.shared.changes.subscribe();
        while !reached() {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }
}

fn pairs<'a>(
    one: &'a [IpAddr],
    other: &'a [IpAddr],
) -> impl Iterator<Item = (IpAddr, IpAddr)> + 'a {
    one.iter()
        .flat_map(move |a| other.iter().map(move |b| (*a, *b)))
}
