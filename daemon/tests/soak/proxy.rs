//! A TCP proxy on loopback that simulates faults of the network.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

/// Delay of each chunk of data on a slow link, many times the response time on loopback.
const DELAY: Duration = Duration::from_millis(80);

/// How a link transmits data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkState {
    Healthy,
    /// Each chunk of data is delayed.
    Slow,
    /// No data is transmitted, and connections stay open.
    Stalled,
    /// Requests are transmitted, responses are not.
    ResponsesLost,
    /// Connections are reset.
    Reset,
}

/// A link to one target. Clients connect to `address`.
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    state: watch::Sender<LinkState>,
}

impl Proxy {
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = watch::Sender::new(LinkState::Healthy);
        let rx = state.subscribe();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(forward_connection(client, target, rx.clone()));
            }
        });
        Self { address, state }
    }

    pub(crate) fn set_state(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

/// Forwards a connection to the target until either direction ends.
async fn forward_connection(
    client: TcpStream,
    target: SocketAddr,
    state: watch::Receiver<LinkState>,
) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    // With a linger time of zero, dropping the socket resets the connection.
    let _ = client.set_zero_linger();
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_rx, client_tx) = client.into_split();
    let (server_rx, server_tx) = server.into_split();
    tokio::select! {
        () = copy_bytes(client_rx, server_tx, state.clone(), false) => {}
        () = copy_bytes(server_rx, client_tx, state, true) => {}
    }
}

/// Copies bytes in one direction until the connection ends or is reset.
async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
    is_response: bool,
) {
    let mut buf = vec![0; 16 << 10];
    loop {
        let len = tokio::select! {
            read = from.read(&mut buf) => match read {
                Ok(len) if len > 0 => len,
                _ => return,
            },
            _ = state.wait_for(|state| *state == LinkState::Reset) => return,
        };
        let now = *state.borrow();
        match now {
            LinkState::Slow => tokio::time::sleep(DELAY).await,
            LinkState::Stalled => wait_until_changed(&mut state, now).await,
            LinkState::ResponsesLost if is_response => wait_until_changed(&mut state, now).await,
            _ => {}
        }
        if *state.borrow() == LinkState::Reset || to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}

async fn wait_until_changed(state: &mut watch::Receiver<LinkState>, now: LinkState) {
    // Fails only after the proxy, which holds the sender, was dropped.
    let _ = state.wait_for(|state| *state != now).await;
}
