//! State of all links (connections from one IP address to another) of a simulated network.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::sync::watch;

/// All connections from one IP address to another. The connections in the opposite direction are
/// another link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Link {
    /// Address that opens the connections.
    pub source: IpAddr,
    /// Address that accepts them.
    pub destination: IpAddr,
}

/// How a link treats its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// Forwards bytes.
    #[default]
    Open,
    /// Forwards bytes after this delay in each direction.
    Slow(Duration),
    /// Keeps its connections open but holds their bytes back until the state changes, like a
    /// network that loses every packet.
    Stalled,
    /// Breaks its connections and every new one.
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

/// State of all links; clones share it. Links are open until a state is set.
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
        self.shared.state.lock().expect("lock of the network state")
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.lock());
        self.shared.changes.send_modify(|count| *count += 1);
    }

    /// Sets the delay in each direction for every link that is not [`LinkState::Slow`].
    pub fn set_delay(&self, delay: Duration) {
        self.change(|state| state.delay = delay);
    }

    /// Sets the state of the link from `source` to `destination`, but not of the opposite link.
    pub fn set(&self, source: IpAddr, destination: IpAddr, to: LinkState) {
        let link = Link {
            source,
            destination,
        };
        self.change(|state| {
            state.links.insert(link, to);
        });
    }

    /// Sets the state of every link from an address of one set to an address of the other, and of
    /// the opposite links.
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

    /// Resets every link to [`LinkState::Open`]. The delay of [`Self::set_delay`] stays.
    pub fn heal(&self) {
        self.change(|state| state.links.clear());
    }

    /// Bytes forwarded so far by each link, in both directions of its connections together.
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

    /// Waits until the link is not stalled.
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
