//! Links between hosts (the connections over which they send each other messages), over loopback
//! sockets.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use cardamomshift_lib::id::DomainId;
use cardamomshift_lib::id::HostId;
use cardamomshift_lib::id::Incarnation;
use cardamomshift_lib::id::RequestId;
use cardamomshift_lib::id::ServerId;
use cardamomshift_lib::id::ServiceId;
use cardamomshift_lib::id::WorkspaceId;
use cardamomshift_lib::message::*;
use cardamomshift_lib::peer::LinkEvent;
use cardamomshift_lib::peer::LinkRefusal;
use cardamomshift_lib::peer::Links;
use cardamomshift_lib::peer::PeerOptions;
use cardamomshift_lib::settings::Secret;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;

/// Time limit of a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn run_test(test: impl Future<Output = ()>) {
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&rt, async {
        timeout(TEST_TIMEOUT, test)
            .await
            .expect("test did not end within the time limit");
    });
}

fn options(host: u64, key: &str) -> PeerOptions {
    PeerOptions {
        own: HostId(host),
        incarnation: Incarnation(host * 100),
        key: Secret::new(key),
        listen: "127.0.0.1:0".parse().unwrap(),
        source: None,
    }
}

fn start(options: PeerOptions) -> (Links, UnboundedReceiver<LinkEvent>) {
    let (tx, rx) = mpsc::unbounded_channel();
    (Links::start(options, tx).unwrap(), rx)
}

async fn next_message(rx: &mut UnboundedReceiver<LinkEvent>) -> (HostId, Incarnation, PeerMessage) {
    loop {
        if let LinkEvent::Message {
            from,
            incarnation,
            message,
        } = rx.recv().await.expect("links have stopped")
        {
            return (from, incarnation, message);
        }
    }
}

/// The next event that is not a message.
async fn next_change(rx: &mut UnboundedReceiver<LinkEvent>) -> LinkEvent {
    loop {
        let event = rx.recv().await.expect("links have stopped");
        if !matches!(event, LinkEvent::Message { .. }) {
            return event;
        }
    }
}

/// Fails if a link has come up or a message has arrived.
fn assert_never_up(rx: &mut UnboundedReceiver<LinkEvent>) {
    while let Ok(event) = rx.try_recv() {
        assert!(matches!(event, LinkEvent::Down { .. }), "{event:?}");
    }
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn request(sequence: u64) -> RequestId {
    RequestId {
        gateway: HostId(u64::MAX),
        sequence,
    }
}

fn bid(sequence: u64) -> Bid {
    Bid {
        request: request(sequence),
        service: ServiceId(2),
        workspace: WorkspaceId(u32::MAX),
        estimate: 4,
        remaining_us: 5,
        prefix: 6,
    }
}

fn cell(cost: u64) -> TotalCell {
    TotalCell {
        origin: HostId(1),
        incarnation: Incarnation(2),
        workspace: WorkspaceId(3),
        cost,
    }
}

fn scheduling_messages() -> Vec<PeerMessage> {
    vec![
        PeerMessage::Bid(bid(1)),
        PeerMessage::Withdrawal(Withdrawal {
            request: request(1),
            service: ServiceId(2),
        }),
        PeerMessage::Grant(Grant {
            request: request(1),
            service: ServiceId(2),
            server: ServerId(3),
            instance: 4,
            phase: ServerPhase::Warm,
            limit: 5,
            slot: 6,
            remaining_us: 7,
            expires_at_us: 9_000,
        }),
        PeerMessage::Refusal(Refusal {
            request: request(1),
            service: ServiceId(2),
            reason: RefusalReason::Stopping,
            retry_after_ms: 3,
        }),
        PeerMessage::GrantReturn(GrantReturn {
            request: request(1),
            service: ServiceId(2),
            server: ServerId(3),
            unreachable: true,
        }),
        PeerMessage::Finished(Finished {
            request: request(1),
            service: ServiceId(2),
            workspace: WorkspaceId(3),
            server: ServerId(4),
            instance: 5,
            outcome: EndOutcome::Failed,
            cost: 6,
            first_byte_us: 7,
            total: 8,
        }),
        PeerMessage::Progress(Progress {
            request: request(1),
            service: ServiceId(2),
            cost: 3,
        }),
        PeerMessage::PermitRequest(PermitRequest {
            request: request(1),
            server: ServerId(2),
            slot: 3,
        }),
        PeerMessage::PermitAnswer(PermitAnswer {
            request: request(1),
            server: ServerId(2),
            slot: 3,
            granted: true,
        }),
        PeerMessage::PermitRelease(PermitRelease {
            request: request(1),
            server: ServerId(2),
            slot: 3,
        }),
        PeerMessage::PermitHoldings(PermitHoldings {
            list_revision: 12,
            held: vec![PermitRequest {
                request: request(1),
                server: ServerId(2),
                slot: 3,
            }],
        }),
    ]
}

fn shard_messages() -> Vec<PeerMessage> {
    let running = Running {
        request: request(1),
        workspace: WorkspaceId(2),
        server: ServerId(3),
        estimate: 4,
        cost: 5,
    };
    let sight = ServerSight {
        server: ServerId(1),
        instance: 2,
        phase: ServerPhase::Warming,
        limit: 3,
    };
    let pull = Pull {
        service: ServiceId(1),
        domain: DomainId(2),
        workspace: None,
        count: 4,
    };
    vec![
        PeerMessage::Announcement(Announcement {
            service: ServiceId(1),
            domain: DomainId(2),
            bids: vec![bid(1), bid(2)],
            running: vec![running],
            sights: vec![sight; 3],
            totals: vec![cell(1), cell(2)],
        }),
        PeerMessage::Totals(Totals {
            service: ServiceId(1),
            cells: vec![cell(3)],
        }),
        PeerMessage::Summary(Summary {
            service: ServiceId(1),
            domain: DomainId(2),
            free_slots: 3,
            backlog: vec![BacklogEntry {
                workspace: WorkspaceId(1),
                queued: 2,
                counter: 3,
            }],
        }),
        PeerMessage::Pull(pull),
        PeerMessage::Pull(Pull {
            workspace: Some(WorkspaceId(0)),
            ..pull
        }),
        PeerMessage::Handover(Handover {
            service: ServiceId(1),
            bids: vec![bid(3)],
        }),
    ]
}

fn fleet_messages() -> Vec<PeerMessage> {
    vec![
        PeerMessage::Heartbeat(Heartbeat {
            revision: u64::MAX,
            stopping: true,
            clock_us: 77,
        }),
        PeerMessage::ConfigurationRequest(ConfigurationRequest { have: 9 }),
        PeerMessage::ConfigurationUpdate(ConfigurationUpdate {
            revision: 10,
            document: vec![7; 1 << 20],
        }),
        PeerMessage::Findings(vec![Finding {
            host: HostId(1),
            incarnation: Incarnation(2),
            health: Health::Suspect,
            age_us: 3,
        }]),
    ]
}

#[test]
fn every_message_arrives_unchanged_and_in_order() {
    run_test(async {
        let (a, _a_rx) = start(options(1, "key"));
        let (b, mut b_rx) = start(options(2, "key"));
        a.set_peers(vec![(HostId(2), b.local_addr())]);
        let sent = [scheduling_messages(), shard_messages(), fleet_messages()].concat();
        for message in &sent {
            a.send(HostId(2), message.clone());
        }
        for message in sent {
            let received = next_message(&mut b_rx).await;
            assert_eq!(received, (HostId(1), Incarnation(100), message));
        }
        let counters = b.counters();
        assert_eq!(counters.snapshot().messages_in, 21);
        assert!(counters.snapshot().bytes_in > 1 << 20);
        for kind in LinkRefusal::ALL {
            assert_eq!(counters.refused(kind), 0, "{kind:?}");
        }
    });
}

#[test]
fn wrong_key_is_refused_and_counted() {
    run_test(async {
        let (a, mut a_rx) = start(options(1, "wrong"));
        let (b, mut b_rx) = start(options(2, "right"));
        let (c, _c_rx) = start(options(3, "right"));
        a.set_peers(vec![(HostId(2), b.local_addr())]);
        a.send(HostId(2), PeerMessage::Bid(bid(1)));
        let counters = b.counters();
        wait_until(|| counters.refused(LinkRefusal::Key) >= 2).await;
        assert_never_up(&mut a_rx);
        // A host with the right key is served, and its message is the only one that arrives.
        c.set_peers(vec![(HostId(2), b.local_addr())]);
        c.send(HostId(2), PeerMessage::Bid(bid(2)));
        let (from, _, message) = next_message(&mut b_rx).await;
        assert_eq!((from, message), (HostId(3), PeerMessage::Bid(bid(2))));
    });
}

#[test]
fn listener_with_another_identity_is_refused() {
    run_test(async {
        let (a, mut a_rx) = start(options(1, "key"));
        let (b, _b_rx) = start(options(2, "key"));
        a.set_peers(vec![(HostId(9), b.local_addr())]);
        let counters = a.counters();
        wait_until(|| counters.refused(LinkRefusal::Identity) >= 1).await;
        assert_never_up(&mut a_rx);
    });
}

#[test]
fn link_to_a_restarted_host_is_reestablished() {
    run_test(async {
        let (a, mut a_rx) = start(options(1, "key"));
        let (b, _b_rx) = start(options(2, "key"));
        let address = b.local_addr();
        let host = HostId(2);
        a.set_peers(vec![(host, address)]);
        let up = LinkEvent::Up {
            host,
            incarnation: Incarnation(200),
        };
        assert_eq!(next_change(&mut a_rx).await, up);
        drop(b);
        assert_eq!(next_change(&mut a_rx).await, LinkEvent::Down { host });
        let (_b, mut b_rx) = start(restarted(address));
        let up = LinkEvent::Up {
            host,
            incarnation: Incarnation(201),
        };
        assert_eq!(next_change(&mut a_rx).await, up);
        a.send(host, PeerMessage::Bid(bid(5)));
        assert_eq!(next_message(&mut b_rx).await.2, PeerMessage::Bid(bid(5)));
        assert!(a.counters().snapshot().reconnects >= 1);
    });
}

/// Options of host 2 after a restart.
fn restarted(address: SocketAddr) -> PeerOptions {
    PeerOptions {
        incarnation: Incarnation(201),
        listen: address,
        ..options(2, "key")
    }
}

#[test]
fn dropping_the_links_ends_their_tasks_and_the_listener() {
    run_test(async {
        let (a, mut a_rx) = start(options(1, "key"));
        let (b, mut b_rx) = start(options(2, "key"));
        let address = a.local_addr();
        a.set_peers(vec![(HostId(2), b.local_addr())]);
        b.set_peers(vec![(HostId(1), address)]);
        a.send(HostId(2), PeerMessage::Bid(bid(1)));
        b.send(HostId(1), PeerMessage::Bid(bid(1)));
        next_message(&mut a_rx).await;
        next_message(&mut b_rx).await;
        drop(a);
        // The channel closes when the last task has ended and dropped its sender.
        while a_rx.recv().await.is_some() {}
        assert!(TcpStream::connect(address).await.is_err());
    });
}

#[test]
fn removed_peer_loses_its_link() {
    run_test(async {
        let (a, mut a_rx) = start(options(1, "key"));
        let (b, _b_rx) = start(options(2, "key"));
        a.set_peers(vec![(HostId(2), b.local_addr())]);
        next_change(&mut a_rx).await;
        a.set_peers(Vec::new());
        a.send(HostId(2), PeerMessage::Bid(bid(1)));
        assert_eq!(a.counters().refused(LinkRefusal::UnknownHost), 1);
        assert_eq!(a.counters().snapshot().messages_out, 0);
    });
}

#[test]
fn full_queue_drops_the_oldest() {
    run_test(async {
        let (a, _a_rx) = start(options(1, "key"));
        let (b, mut b_rx) = start(options(2, "key"));
        a.set_peers(vec![(HostId(2), b.local_addr())]);
        for sequence in 0..10_000 {
            a.send(HostId(2), PeerMessage::Bid(bid(sequence)));
        }
        let dropped = a.counters().refused(LinkRefusal::QueueFull);
        assert!(dropped > 0);
        for sequence in dropped..10_000 {
            let received = next_message(&mut b_rx).await.2;
            assert_eq!(received, PeerMessage::Bid(bid(sequence)));
        }
    });
}

#[test]
fn oversized_message_is_refused_by_the_sender() {
    run_test(async {
        let (a, _a_rx) = start(options(1, "key"));
        let (b, mut b_rx) = start(options(2, "key"));
        a.set_peers(vec![(HostId(2), b.local_addr())]);
        let update = ConfigurationUpdate {
            revision: 1,
            document: vec![0; 3 << 20],
        };
        a.send(HostId(2), PeerMessage::ConfigurationUpdate(update));
        assert_eq!(a.counters().refused(LinkRefusal::Size), 1);
        a.send(HostId(2), PeerMessage::Bid(bid(1)));
        assert_eq!(next_message(&mut b_rx).await.2, PeerMessage::Bid(bid(1)));
    });
}

#[test]
fn outgoing_links_use_the_source_address() {
    run_test(async {
        let (a, _a_rx) = start(PeerOptions {
            source: Some("127.0.0.3".parse().unwrap()),
            ..options(1, "key")
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        a.set_peers(vec![(HostId(2), listener.local_addr().unwrap())]);
        let (_, from) = listener.accept().await.unwrap();
        assert_eq!(from.ip().to_string(), "127.0.0.3");
    });
}
