//! The protocol between hosts, tested against peers that violate it: the tests are the other end of
//! the connection and use the generated RPC code directly.

mod peer;

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp::dynamic_struct;
use capnp::dynamic_value;
use capnp::introspect::Introspect;
use capnp::introspect::TypeVariant;
use capnp::struct_list;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use cardamomshift_lib::id::HostId;
use cardamomshift_lib::id::Incarnation;
use cardamomshift_lib::message::Bid;
use cardamomshift_lib::message::Heartbeat;
use cardamomshift_lib::message::PeerMessage;
use cardamomshift_lib::peer::LinkEvent;
use cardamomshift_lib::peer::LinkRefusal;
use cardamomshift_lib::peer::Links;
use cardamomshift_lib::peer::PeerOptions;
use cardamomshift_lib::settings::Secret;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use peer::peer_capnp::ServerPhase;
use peer::peer_capnp::batch;
use peer::peer_capnp::gate;
use peer::peer_capnp::grant;
use peer::peer_capnp::message;
use peer::peer_capnp::peer as peer_interface;
use sha2::Sha256;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;
use tokio::time::timeout;
use tokio_util::compat::TokioAsyncReadCompatExt;

/// Time limit of a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Version of the protocol.
const VERSION: u16 = 1;
/// Fleet key of the host under test.
const KEY: &[u8] = b"key of the fleet";
/// Identity and incarnation (start of the process) of the host under test.
const HOST: (u64, u64) = (1, 100);
/// Identity and incarnation of the other end, which the test plays.
const OTHER: (u64, u64) = (2, 200);

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

fn start() -> (Links, UnboundedReceiver<LinkEvent>) {
    let (tx, rx) = mpsc::unbounded_channel();
    let options = PeerOptions {
        own: HostId(HOST.0),
        incarnation: Incarnation(HOST.1),
        key: Secret::new(std::str::from_utf8(KEY).unwrap()),
        listen: "127.0.0.1:0".parse().unwrap(),
        source: None,
    };
    (Links::start(options, tx).unwrap(), rx)
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Computes a proof of the fleet key as the protocol defines it, independently of the library: an
/// HMAC-SHA256 over the label of the proving end, the protocol version, and the identities and
/// nonces of caller and listener.
fn proof(key: &[u8], label: &[u8], ends: [(u64, u64); 2], nonces: [&[u8]; 2]) -> Vec<u8> {
    let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(key).unwrap();
    mac.update(&(label.len() as u64).to_le_bytes());
    mac.update(label);
    mac.update(&VERSION.to_le_bytes());
    for (host, incarnation) in ends {
        mac.update(&host.to_le_bytes());
        mac.update(&incarnation.to_le_bytes());
    }
    for nonce in nonces {
        mac.update(nonce);
    }
    mac.finalize().into_bytes().to_vec()
}

/// Labels of the proofs by either end.
const CALLER: &[u8] = b"cardamomshift peer caller";
const LISTENER: &[u8] = b"cardamomshift peer listener";

/// Connects to a host and returns its gate, the object that a caller gets before it has proved that
/// it knows the fleet key.
async fn connect(address: SocketAddr) -> gate::Client {
    let stream = TcpStream::connect(address).await.unwrap();
    let (reader, writer) = stream.into_split();
    let network = VatNetwork::new(
        futures::io::BufReader::new(tokio_util::compat::TokioAsyncReadCompatExt::compat(reader)),
        futures::io::BufWriter::new(tokio_util::compat::TokioAsyncWriteCompatExt::compat_write(
            writer,
        )),
        Side::Client,
        capnp::message::ReaderOptions::new(),
    );
    let mut system = RpcSystem::new(Box::new(network), None);
    let gate = system.bootstrap(Side::Server);
    spawn_local(system);
    gate
}

/// Sends a version, an identity and a nonce to a host, and returns the host's nonce.
async fn greet(
    gate: &gate::Client,
    version: u16,
    identity: (u64, u64),
    nonce: &[u8],
) -> Result<Vec<u8>, capnp::Error> {
    let mut request = gate.greet_request();
    let mut params = request.get();
    params.set_version(version);
    let mut to = params.reborrow().init_identity();
    to.set_host(identity.0);
    to.set_incarnation(identity.1);
    params.set_nonce(nonce);
    let answer = request.send().promise.await?;
    Ok(answer.get()?.get_nonce()?.to_vec())
}

/// Sends a proof and returns the object that receives messages.
async fn prove(gate: &gate::Client, proof: &[u8]) -> Result<peer_interface::Client, capnp::Error> {
    let mut request = gate.prove_request();
    request.get().set_proof(proof);
    let answer = request.send().promise.await?;
    answer.get()?.get_peer()
}

/// Delivers a batch of `count` messages, which `fill` writes.
async fn deliver(
    peer: &peer_interface::Client,
    count: u32,
    fill: impl FnOnce(struct_list::Builder<'_, message::Owned>),
) -> Result<(), capnp::Error> {
    let mut builder = capnp::message::Builder::new_default();
    fill(
        builder
            .init_root::<batch::Builder<'_>>()
            .init_messages(count),
    );
    let mut packed = Vec::new();
    capnp::serialize_packed::write_message(&mut packed, &builder)?;
    deliver_packed(peer, &packed).await
}

async fn deliver_packed(peer: &peer_interface::Client, packed: &[u8]) -> Result<(), capnp::Error> {
    let mut request = peer.deliver_request();
    request.get().set_batch(packed);
    request.send().promise.await.map(|_| ())
}

/// Connects and authenticates as the protocol requires.
async fn authenticate(address: SocketAddr) -> peer_interface::Client {
    let gate = connect(address).await;
    let nonce_sent = [7; 32];
    let nonce_received = greet(&gate, VERSION, OTHER, &nonce_sent).await.unwrap();
    let valid_proof = proof(KEY, CALLER, [OTHER, HOST], [&nonce_sent, &nonce_received]);
    prove(&gate, &valid_proof).await.unwrap()
}

#[test]
fn caller_with_a_valid_proof_may_deliver() {
    run_test(async {
        let (links, mut rx) = start();
        let peer = authenticate(links.local_addr()).await;
        let sent = deliver(&peer, 1, |messages| {
            messages.get(0).init_heartbeat().set_revision(5);
        });
        sent.await.unwrap();
        let message = PeerMessage::Heartbeat(Heartbeat {
            revision: 5,
            ..Heartbeat::default()
        });
        let expected = LinkEvent::Message {
            from: HostId(OTHER.0),
            incarnation: Incarnation(OTHER.1),
            message,
        };
        assert_eq!(rx.recv().await, Some(expected));
    });
}

#[test]
fn wrong_version_and_own_identity_are_refused() {
    run_test(async {
        let (links, _rx) = start();
        let counters = links.counters();
        let gate = connect(links.local_addr()).await;
        assert!(greet(&gate, VERSION + 1, OTHER, &[7; 32]).await.is_err());
        assert_eq!(counters.refused(LinkRefusal::Version), 1);
        assert!(greet(&gate, VERSION, HOST, &[7; 32]).await.is_err());
        assert_eq!(counters.refused(LinkRefusal::Identity), 1);
        assert!(greet(&gate, VERSION, OTHER, &[7; 31]).await.is_err());
    });
}

#[test]
fn forged_proofs_are_refused() {
    run_test(async {
        let (links, _rx) = start();
        let counters = links.counters();
        let nonce_sent: &[u8] = &[7; 32];
        let other_incarnation = (OTHER.0, OTHER.1 + 1);
        type Forgery = Box<dyn Fn(&[u8]) -> Vec<u8>>;
        let ends = [OTHER, HOST];
        let forgeries: Vec<Forgery> = vec![
            // An empty proof.
            Box::new(|_| Vec::new()),
            // A wrong key.
            Box::new(move |nonce_received| {
                proof(b"wrong", CALLER, ends, [nonce_sent, nonce_received])
            }),
            // The label of the listener.
            Box::new(move |nonce_received| {
                proof(KEY, LISTENER, ends, [nonce_sent, nonce_received])
            }),
            // Identities in the wrong order.
            Box::new(move |nonce_received| {
                proof(KEY, CALLER, [HOST, OTHER], [nonce_sent, nonce_received])
            }),
            // Another incarnation of the caller.
            Box::new(move |nonce_received| {
                proof(
                    KEY,
                    CALLER,
                    [other_incarnation, HOST],
                    [nonce_sent, nonce_received],
                )
            }),
            // Nonces in the wrong order, and the caller's nonce twice.
            Box::new(move |nonce_received| proof(KEY, CALLER, ends, [nonce_received, nonce_sent])),
            Box::new(move |_| proof(KEY, CALLER, ends, [nonce_sent, nonce_sent])),
            // A valid proof without its last byte.
            Box::new(move |nonce_received| {
                proof(KEY, CALLER, ends, [nonce_sent, nonce_received])[..31].to_vec()
            }),
        ];
        for (i, forge) in forgeries.iter().enumerate() {
            let gate = connect(links.local_addr()).await;
            let nonce_received = greet(&gate, VERSION, OTHER, nonce_sent).await.unwrap();
            assert!(
                prove(&gate, &forge(&nonce_received)).await.is_err(),
                "forgery {i}"
            );
            // A greeting allows one attempt, so that the valid proof is refused as well.
            let valid_proof = proof(KEY, CALLER, ends, [nonce_sent, &nonce_received]);
            assert!(prove(&gate, &valid_proof).await.is_err(), "forgery {i}");
            assert_eq!(counters.refused(LinkRefusal::Key), 2 * (i as u64 + 1));
        }
    });
}

#[test]
fn proof_is_not_valid_on_another_connection() {
    run_test(async {
        let (links, _rx) = start();
        let nonce_sent = [7; 32];
        let first = connect(links.local_addr()).await;
        let nonce_received = greet(&first, VERSION, OTHER, &nonce_sent).await.unwrap();
        let valid_proof = proof(KEY, CALLER, [OTHER, HOST], [&nonce_sent, &nonce_received]);
        let second = connect(links.local_addr()).await;
        greet(&second, VERSION, OTHER, &nonce_sent).await.unwrap();
        assert!(prove(&second, &valid_proof).await.is_err());
        assert!(prove(&first, &valid_proof).await.is_ok());
    });
}

#[test]
fn batch_over_the_limit_is_refused_and_the_link_stays_up() {
    run_test(async {
        let (links, mut rx) = start();
        let peer = authenticate(links.local_addr()).await;
        assert!(deliver(&peer, 513, |_| ()).await.is_err());
        assert_eq!(links.counters().refused(LinkRefusal::Size), 1);
        assert!(rx.try_recv().is_err());
        deliver(&peer, 512, |_| ()).await.unwrap();
        assert_eq!(links.counters().snapshot().messages_in, 512);
    });
}

#[test]
fn malformed_message_does_not_affect_the_rest_of_its_batch() {
    run_test(async {
        let (links, mut rx) = start();
        let peer = authenticate(links.local_addr()).await;
        let sent = deliver(&peer, 2, |mut messages| {
            set_unknown_phase(messages.reborrow().get(0).init_grant());
            messages.get(1).init_bid().set_estimate(9);
        });
        sent.await.unwrap();
        let first = rx.recv().await.unwrap();
        let expected = PeerMessage::Bid(Bid {
            estimate: 9,
            ..Bid::default()
        });
        assert!(matches!(first, LinkEvent::Message { message, .. } if message == expected));
        assert_eq!(links.counters().refused(LinkRefusal::Malformed), 1);
    });
}

#[test]
fn malformed_batch_is_refused_and_the_link_stays_up() {
    run_test(async {
        let (links, _rx) = start();
        let peer = authenticate(links.local_addr()).await;
        // An empty batch, a truncated header, a header that announces a segment of 2^31 words, and
        // zeros that unpack to 128 MiB.
        let zeros = [0, 255].repeat(1 << 16);
        let malformed: [&[u8]; 4] = [&[], &[0x11], &[0x80, 0x80], &zeros];
        for (i, packed) in malformed.into_iter().enumerate() {
            let refused = links.counters().refused(LinkRefusal::Malformed);
            let _ = deliver_packed(&peer, packed).await;
            let now = links.counters().refused(LinkRefusal::Malformed);
            assert_eq!(now, refused + 1, "batch {i}");
        }
        deliver(&peer, 1, |_| ()).await.unwrap();
        assert_eq!(links.counters().snapshot().messages_in, 1);
    });
}

/// Sets a phase that is not in the schema.
fn set_unknown_phase(grant: grant::Builder<'_>) {
    let TypeVariant::Enum(phase) = ServerPhase::introspect().which() else {
        unreachable!("the phase is an enumeration");
    };
    let unknown = dynamic_value::Enum::new(99, phase.into());
    let grant: dynamic_value::Builder<'_> = grant.into();
    let mut grant: dynamic_struct::Builder<'_> = grant.downcast();
    grant.set_named("phase", unknown.into()).unwrap();
}

/// Sends raw bytes and waits until the host closes the connection.
async fn send_raw(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The host may close the connection before all bytes are written.
    let _ = stream.write_all(bytes).await;
    let mut buf = [0; 256];
    while matches!(stream.read(&mut buf).await, Ok(count) if count > 0) {}
}

#[test]
fn frame_over_the_limit_closes_the_connection() {
    run_test(async {
        let (links, _rx) = start();
        // One segment of 2^28 words.
        let head = [0, 0, 0, 0, 0, 0, 0, 0x10];
        send_raw(links.local_addr(), &head).await;
        let counters = links.counters();
        // The RPC library does not report why it cannot read a frame, so that this counts as
        // malformed instead of too large.
        wait_until(|| counters.refused(LinkRefusal::Malformed) == 1).await;
        assert_eq!(counters.snapshot().bytes_in, 8);
    });
}

#[test]
fn data_over_the_limit_before_the_proof_closes_the_connection() {
    run_test(async {
        let (links, _rx) = start();
        // One segment of 4,096 words, within the limit of a frame.
        let mut frame = vec![0, 0, 0, 0, 0, 0x10, 0, 0];
        frame.resize(8 + 8 * 4096, 0);
        send_raw(links.local_addr(), &frame).await;
        let counters = links.counters();
        wait_until(|| counters.refused(LinkRefusal::Malformed) == 1).await;
        assert!(counters.snapshot().bytes_in < 16 << 10);
    });
}

#[test]
fn unauthenticated_connections_do_not_exhaust_the_host() {
    run_test(async {
        let (links, mut rx) = start();
        let mut unauthenticated = Vec::new();
        for _ in 0..300 {
            unauthenticated.push(TcpStream::connect(links.local_addr()).await.unwrap());
        }
        let counters = links.counters();
        wait_until(|| counters.refused(LinkRefusal::Connections) >= 44).await;
        // Of the 300, 256 are accepted. They are closed when the handshake times out, and other
        // callers are served again.
        wait_until(|| counters.refused(LinkRefusal::Key) == 256).await;
        let peer = authenticate(links.local_addr()).await;
        deliver(&peer, 1, |_| ()).await.unwrap();
        assert!(rx.recv().await.is_some());
    });
}

/// A listener that proves that it knows `key`, which may be the wrong one, does not check the
/// caller's proof, and never acknowledges a batch.
struct FakeGate {
    key: &'static [u8],
    /// Nonces of the caller and of this listener.
    nonces: Cell<Option<([u8; 32], [u8; 32])>>,
}

impl gate::Server for FakeGate {
    async fn greet(
        self: Rc<Self>,
        params: gate::GreetParams,
        mut results: gate::GreetResults,
    ) -> Result<(), capnp::Error> {
        let nonce_received: [u8; 32] = params.get()?.get_nonce()?.try_into().unwrap();
        let nonce_sent = [9; 32];
        self.nonces.set(Some((nonce_received, nonce_sent)));
        let mut results = results.get();
        let mut identity = results.reborrow().init_identity();
        identity.set_host(OTHER.0);
        identity.set_incarnation(OTHER.1);
        results.set_nonce(&nonce_sent);
        Ok(())
    }

    async fn prove(
        self: Rc<Self>,
        _params: gate::ProveParams,
        mut results: gate::ProveResults,
    ) -> Result<(), capnp::Error> {
        let (nonce_received, nonce_sent) = self.nonces.get().unwrap();
        let proof = proof(
            self.key,
            LISTENER,
            [HOST, OTHER],
            [&nonce_received, &nonce_sent],
        );
        let mut results = results.get();
        results.set_proof(&proof);
        results.set_peer(capnp_rpc::new_client(SilentPeer));
        Ok(())
    }
}

/// Receives batches and never acknowledges them.
struct SilentPeer;

impl peer_interface::Server for SilentPeer {
    async fn deliver(
        self: Rc<Self>,
        _params: peer_interface::DeliverParams,
        _results: peer_interface::DeliverResults,
    ) -> Result<(), capnp::Error> {
        std::future::pending().await
    }
}

/// Starts a listener that serves a [`FakeGate`] on every connection.
async fn start_fake_gate(key: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let nonces = Cell::new(None);
            let gate: gate::Client = capnp_rpc::new_client(FakeGate { key, nonces });
            let (reader, writer) = futures::AsyncReadExt::split(stream.compat());
            let options = capnp::message::ReaderOptions::new();
            let network = VatNetwork::new(reader, writer, Side::Server, options);
            spawn_local(RpcSystem::new(Box::new(network), Some(gate.client)));
        }
    });
    address
}

#[test]
fn listener_without_the_key_gets_no_message() {
    run_test(async {
        let (links, mut rx) = start();
        links.set_peers(vec![(HostId(OTHER.0), start_fake_gate(b"wrong").await)]);
        let down = LinkEvent::Down {
            host: HostId(OTHER.0),
        };
        assert_eq!(rx.recv().await, Some(down));
        assert!(links.counters().refused(LinkRefusal::Key) >= 1);
        assert_eq!(links.counters().snapshot().connects, 0);
    });
}

#[test]
fn link_without_acknowledgements_is_closed() {
    run_test(async {
        let (links, mut rx) = start();
        let host = HostId(OTHER.0);
        links.set_peers(vec![(host, start_fake_gate(KEY).await)]);
        let up = LinkEvent::Up {
            host,
            incarnation: Incarnation(OTHER.1),
        };
        assert_eq!(rx.recv().await, Some(up));
        links.send(host, PeerMessage::Heartbeat(Heartbeat::default()));
        assert_eq!(rx.recv().await, Some(LinkEvent::Down { host }));
        assert_eq!(links.counters().snapshot().messages_out, 0);
    });
}
