//! Measures the cost of links between hosts: bytes per message at the socket by batch size, and
//! memory of idle links.
//!
//! `cargo run --release -p cardamomshift-lib --example peer_bytes`

use std::time::Duration;
use std::time::Instant;

use cardamomshift_lib::id::HostId;
use cardamomshift_lib::id::Incarnation;
use cardamomshift_lib::id::RequestId;
use cardamomshift_lib::id::ServerId;
use cardamomshift_lib::id::ServiceId;
use cardamomshift_lib::id::WorkspaceId;
use cardamomshift_lib::message::Bid;
use cardamomshift_lib::message::Grant;
use cardamomshift_lib::message::Heartbeat;
use cardamomshift_lib::message::PeerMessage;
use cardamomshift_lib::peer::LinkEvent;
use cardamomshift_lib::peer::Links;
use cardamomshift_lib::peer::PeerOptions;
use cardamomshift_lib::settings::Secret;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;

/// Bids (or heartbeats) sent for each batch size, rounded down to whole batches. A bid announces a
/// waiting request to a scheduler.
const BIDS: usize = 10_000;
/// Hosts in the full mesh of links whose memory is measured.
const MESH_HOSTS: u64 = 20;

struct Host {
    id: HostId,
    links: Links,
    rx: UnboundedReceiver<LinkEvent>,
}

impl Host {
    fn start(id: u64) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let options = PeerOptions {
            own: HostId(id),
            incarnation: Incarnation(id),
            key: Secret::new("key of the measurement"),
            listen: "127.0.0.1:0".parse().expect("the address is valid"),
            source: None,
        };
        let links = Links::start(options, tx).expect("a port is free");
        let id = HostId(id);
        Self { id, links, rx }
    }

    /// Waits until an outgoing link is established.
    async fn wait_until_up(&mut self) {
        while !matches!(self.rx.recv().await, Some(LinkEvent::Up { .. })) {}
    }

    /// Waits until `count` messages have arrived.
    async fn receive(&mut self, mut count: usize) {
        while count > 0 {
            if let Some(LinkEvent::Message { .. }) = self.rx.recv().await {
                count -= 1;
            }
        }
    }

    /// Waits until the delivery of `messages` messages since the start is acknowledged.
    async fn wait_until_acknowledged(&self, messages: u64) {
        while self.links.counters().snapshot().messages_out < messages {
            tokio::task::yield_now().await;
        }
    }

    /// Bytes sent and received so far at the sockets of this host.
    fn socket_bytes(&self) -> u64 {
        let snapshot = self.links.counters().snapshot();
        snapshot.bytes_in + snapshot.bytes_out
    }
}

fn bid(sequence: usize) -> PeerMessage {
    PeerMessage::Bid(Bid {
        request: request(sequence),
        service: ServiceId(u64::MAX / 3),
        workspace: WorkspaceId(17),
        estimate: 700,
        remaining_us: 1_900_000,
        prefix: u64::MAX / 5,
    })
}

fn grant(sequence: usize) -> PeerMessage {
    PeerMessage::Grant(Grant {
        request: request(sequence),
        service: ServiceId(u64::MAX / 3),
        server: ServerId(u64::MAX / 7),
        limit: 8,
        remaining_us: 500_000,
        ..Grant::default()
    })
}

fn heartbeat(_: usize) -> PeerMessage {
    PeerMessage::Heartbeat(Heartbeat {
        revision: 4_000,
        clock_us: 1 << 40,
        ..Heartbeat::default()
    })
}

fn request(sequence: usize) -> RequestId {
    RequestId {
        gateway: HostId(u64::MAX / 11),
        sequence: (1 << 50) + sequence as u64,
    }
}

/// Returns the bytes per message, sent and received, when `batch` messages are sent at a time.
async fn bytes_per_message(batch: usize, message: fn(usize) -> PeerMessage) -> f64 {
    let (a, mut b) = (Host::start(1), Host::start(2));
    let count = BIDS / batch * batch;
    let mut a = connect(a, &b).await;
    let before = a.socket_bytes();
    for start in (0..count).step_by(batch) {
        for sequence in start..start + batch {
            a.links.send(b.id, message(sequence));
        }
        b.receive(batch).await;
        a.wait_until_acknowledged((start + batch) as u64).await;
    }
    a.rx.close();
    (a.socket_bytes() - before) as f64 / count as f64
}

/// Establishes the link from `a` to `b`.
async fn connect(mut a: Host, b: &Host) -> Host {
    a.links.set_peers(vec![(b.id, b.links.local_addr())]);
    a.wait_until_up().await;
    a
}

/// Returns the bytes per pair of a bid and its grant (the reply that permits the dispatch), sent
/// and received, and the time per pair, when `batch` bids are sent at a time.
async fn bid_and_grant(batch: usize) -> (f64, Duration) {
    let (a, b) = (Host::start(1), Host::start(2));
    let mut a = connect(a, &b).await;
    let mut b = connect(b, &a).await;
    let count = BIDS / batch * batch;
    let before = a.socket_bytes();
    let started = Instant::now();
    for start in (0..count).step_by(batch) {
        for sequence in start..start + batch {
            a.links.send(b.id, bid(sequence));
        }
        b.receive(batch).await;
        for sequence in start..start + batch {
            b.links.send(a.id, grant(sequence));
        }
        a.receive(batch).await;
        a.wait_until_acknowledged((start + batch) as u64).await;
        b.wait_until_acknowledged((start + batch) as u64).await;
    }
    let socket_bytes = (a.socket_bytes() - before) as f64 / count as f64;
    (socket_bytes, started.elapsed() / count as u32)
}

/// Resident memory of this process, zero if it cannot be read.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

/// Resident memory of one idle link, both ends together.
async fn idle_link_bytes() -> u64 {
    let mut hosts: Vec<_> = (1..=MESH_HOSTS).map(Host::start).collect();
    let peers: Vec<_> = hosts
        .iter()
        .map(|host| (host.id, host.links.local_addr()))
        .collect();
    let before = resident_bytes();
    for host in &hosts {
        host.links.set_peers(peers.clone());
    }
    for host in &mut hosts {
        for _ in 1..MESH_HOSTS {
            host.wait_until_up().await;
        }
    }
    resident_bytes().saturating_sub(before) / (MESH_HOSTS * (MESH_HOSTS - 1))
}

/// Runs all measurements and prints their results.
async fn peer_bytes() {
    println!(
        "idle link, both ends: {} bytes resident",
        idle_link_bytes().await
    );
    println!(
        "single heartbeat: {:.1} bytes",
        bytes_per_message(1, heartbeat).await
    );
    println!("batch size | bytes per bid | bytes per bid and grant | time per bid and grant");
    for batch in [1, 4, 16, 64] {
        let alone = bytes_per_message(batch, bid).await;
        let (pair, time) = bid_and_grant(batch).await;
        println!("{batch} | {alone:.1} | {pair:.1} | {time:.1?}");
    }
}

fn main() {
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    tokio::task::LocalSet::new().block_on(&rt, peer_bytes());
}
