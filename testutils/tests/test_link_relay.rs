//! Tests of the link relay: cut, stalled, slow and one-way links.

mod common;

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use cardamomshift_testutils::Link;
use cardamomshift_testutils::LinkRelay;
use cardamomshift_testutils::LinkRoute;
use cardamomshift_testutils::LinkState;
use cardamomshift_testutils::Network;
use cardamomshift_testutils::PlainService;
use common::any_port;
use common::call;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

const DESTINATION: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 9));
const FIRST: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2));
const SECOND: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 3));

fn relay_to(target: SocketAddr, network: &Network) -> LinkRelay {
    let route = LinkRoute {
        source: None,
        destination: DESTINATION,
        target,
        network: network.clone(),
    };
    LinkRelay::start(SocketAddr::new(DESTINATION, 0), route)
}

/// Starts a server that sends every received byte back, and returns its address.
async fn start_echo_server() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind(any_port())
        .await
        .expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut rx, mut tx) = stream.split();
                tokio::io::copy(&mut rx, &mut tx).await
            });
        }
    });
    address
}

async fn connect_from(source: IpAddr, to: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("socket");
    socket.bind(SocketAddr::new(source, 0)).expect("bind");
    socket.connect(to).await.expect("connection")
}

/// Whether a byte sent on the stream comes back.
async fn echoes_one_byte(stream: &mut TcpStream) -> bool {
    let mut buf = [0];
    let sent = stream.write_all(b"x").await.is_ok();
    sent && stream.read_exact(&mut buf).await.is_ok()
}

#[tokio::test]
async fn cut_affects_only_links_of_its_source() {
    let network = Network::default();
    let relay = relay_to(start_echo_server().await, &network);
    let mut first = connect_from(FIRST, relay.address()).await;
    let mut second = connect_from(SECOND, relay.address()).await;
    assert!(echoes_one_byte(&mut first).await);
    assert!(echoes_one_byte(&mut second).await);
    network.set_between(&[FIRST], &[DESTINATION], LinkState::Cut);
    let mut buf = [0];
    assert!(matches!(first.read(&mut buf).await, Ok(0) | Err(_)));
    assert!(echoes_one_byte(&mut second).await);
    let mut refused = connect_from(FIRST, relay.address()).await;
    assert!(!echoes_one_byte(&mut refused).await);
    network.heal();
    let mut again = connect_from(FIRST, relay.address()).await;
    assert!(echoes_one_byte(&mut again).await);
    let link = Link {
        source: SECOND,
        destination: DESTINATION,
    };
    // Two echoes of one byte, counted in both directions.
    assert_eq!(network.bytes()[&link], 4);
}

#[tokio::test]
async fn stalled_link_holds_its_bytes() {
    let network = Network::default();
    let relay = relay_to(start_echo_server().await, &network);
    let mut stream = connect_from(FIRST, relay.address()).await;
    assert!(echoes_one_byte(&mut stream).await);
    network.set(FIRST, DESTINATION, LinkState::Stalled);
    stream
        .write_all(b"y")
        .await
        .expect("send bytes that are held back");
    let mut buf = [0];
    let read = tokio::time::timeout(Duration::from_millis(50), stream.read_exact(&mut buf));
    assert!(read.await.is_err());
    network.set(FIRST, DESTINATION, LinkState::Open);
    stream
        .read_exact(&mut buf)
        .await
        .expect("receive the bytes that were held back");
    assert_eq!(&buf, b"y");
}

#[tokio::test]
async fn relay_with_fixed_source_slows_http() {
    let service = PlainService::start(any_port());
    let network = Network::default();
    network.set(SECOND, FIRST, LinkState::Slow(Duration::from_millis(20)));
    let route = LinkRoute {
        source: Some(SECOND),
        destination: FIRST,
        target: service.address(),
        network: network.clone(),
    };
    let relay = LinkRelay::start(any_port(), route);
    let before = tokio::time::Instant::now();
    let response = call(relay.address(), "GET", "/", &[], "").await;
    assert_eq!(response.expect("response").json()["times"], 1);
    // The delay of 20 ms applies once in each direction.
    assert!(before.elapsed() >= Duration::from_millis(40));
}
