//! Entry hosts whose store sends bytes without end.

#[path = "../../platform/tests/stand_ins/mod.rs"]
mod stand_ins;

#[path = "soak/host.rs"]
mod host;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::host::Host;
use crate::stand_ins::Behavior;
use crate::stand_ins::KEY;
use crate::stand_ins::StandInServer;
use crate::stand_ins::StandInStore;
use crate::stand_ins::call;
use crate::stand_ins::config;

/// Requests of callers, one every 20 ms.
const REQUESTS: usize = 150;

/// Passes connections on to the store until `is_faulty`; then it closes them and answers each call on a new one
/// with `start`, and `text` again and again.
async fn start_front(
    store: SocketAddr,
    is_faulty: Arc<AtomicBool>,
    start: &'static str,
    text: &'static str,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            match is_faulty.load(Ordering::Relaxed) {
                true => tokio::spawn(send_endlessly(client, start, text)),
                false => tokio::spawn(pass_on(client, store, is_faulty.clone())),
            };
        }
    });
    address
}

async fn pass_on(mut client: TcpStream, store: SocketAddr, is_faulty: Arc<AtomicBool>) {
    let mut server = TcpStream::connect(store).await.unwrap();
    let fault = async {
        while !is_faulty.load(Ordering::Relaxed) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::select! {
        _ = copy_bidirectional(&mut client, &mut server) => {}
        () = fault => {}
    }
}

async fn send_endlessly(mut client: TcpStream, start: &str, text: &str) {
    // One read takes a whole call.
    let _ = client.read(&mut [0; 4_096]).await;
    let _ = client.write_all(start.as_bytes()).await;
    let text = text.repeat(16_384 / text.len());
    while client.write_all(text.as_bytes()).await.is_ok() {}
}

/// Number of requests that host `number` serves while its store answers so.
async fn served(number: u8, start: &'static str, text: &'static str) -> usize {
    let store = StandInStore::start().await;
    let server = StandInServer::start("sound", Behavior::Healthy).await;
    store.put("servers", "sound", server.announcement("ledger"));
    store.put("config", "main", config(1, &[KEY]));
    let is_faulty = Arc::new(AtomicBool::new(false));
    let front = start_front(store.address, is_faulty.clone(), start, text).await;
    let folder = tempfile::tempdir().unwrap();
    let host = Host::start(number, folder.path(), front);
    while !host.is_ready().await {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    is_faulty.store(true, Ordering::Relaxed);
    let callers = host.callers();
    let mut calls = Vec::new();
    for _ in 0..REQUESTS {
        calls.push(tokio::spawn(async move {
            call(callers, "/i/1", &[], "").await.status
        }));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let calls = futures::future::join_all(calls).await;
    let served = calls.iter();
    served
        .filter(|call| call.as_ref().is_ok_and(|status| status.is_success()))
        .count()
}

/// Guards against calls to the store that keep a host from its callers' requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn callers_are_served_while_the_store_sends_a_response_without_end() {
    for (number, start) in [
        (1, "HTTP/1.1 200 OK\r\n\r\n"),
        (2, "HTTP/1.1 200 OK\r\nX: "),
    ] {
        let served = served(number, start, "a").await;
        assert!(2 * served >= REQUESTS, "{start:?}: {served} of {REQUESTS}");
    }
}

/// Like the test above, for heads that precede a response.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn callers_are_served_while_the_store_sends_interim_heads_without_end() {
    let served = served(3, "", "HTTP/1.1 100 Continue\r\n\r\n").await;
    assert!(2 * served >= REQUESTS, "{served} of {REQUESTS}");
}
