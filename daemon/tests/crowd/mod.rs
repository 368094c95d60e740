//! Crowds of clients that don't behave, and the resources of the process that they come to.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::body::Body;
use axum::body::Bytes;
use futures::StreamExt;
use futures::stream;
use hyper::client::conn::http2;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::getrlimit;
use rustix::process::setrlimit;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

use crate::stand_ins::HOST;
use crate::stand_ins::KEY;

/// Longest time for a client to send all that it wants to. One whose bytes are no longer read stays open.
const SEND_TIMEOUT: Duration = Duration::from_secs(6);
/// How long the clients stay open after that.
const STAY: Duration = Duration::from_secs(2);
/// Bytes of chunks that are written at once, at least one chunk.
const WRITTEN_BYTES: usize = 16 << 10;
/// How often the resources are read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// How a client sends its body.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Form {
    /// With its length announced, all at once.
    Announced,
    /// With its length announced, in pieces with pauses between them.
    Pieces,
    /// In chunks of this many bytes.
    Chunked(usize),
    /// Announced and sent, with more bytes than are allowed.
    OverAnnounced,
    /// In chunks, with more bytes than are allowed.
    OverChunked,
    /// Only a connection.
    Silent,
    /// A head that never ends.
    PartOfHead,
    /// This many HTTP/2 requests on one connection, with large heads, that stop short.
    Streams(usize),
}

/// Clients that send alike.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Crowd {
    pub(crate) form: Form,
    pub(crate) clients: usize,
    /// Length of each body, bytes.
    pub(crate) body_bytes: usize,
    /// Paths of their requests, in turn.
    pub(crate) paths: &'static [&'static str],
    /// One in this many clients completes its request.
    pub(crate) complete_every: usize,
}

/// Lets this process open as many connections as it may.
pub(crate) fn raise_descriptor_limit() {
    let limit = getrlimit(Resource::Nofile);
    let raised = Rlimit {
        current: limit.maximum,
        ..limit
    };
    setrlimit(Resource::Nofile, raised).unwrap();
}

/// Sends all that the crowd has to send, and stays for a while. Clients don't read their responses.
pub(crate) async fn send_crowd(host: SocketAddr, crowd: Crowd) {
    let mut clients = JoinSet::new();
    for number in 0..crowd.clients {
        clients.spawn(async move {
            let Ok(mut stream) = TcpStream::connect(host).await else {
                return;
            };
            if let Form::Streams(count) = crowd.form {
                send_streams(stream, crowd, count).await;
                return;
            }
            let sending = send(&mut stream, crowd, number);
            // Hosts may refuse a client or close its connection.
            let _ = tokio::time::timeout(SEND_TIMEOUT, sending).await;
            tokio::time::sleep(STAY).await;
        });
    }
    clients.join_all().await;
}

async fn send(stream: &mut TcpStream, crowd: Crowd, number: usize) -> std::io::Result<()> {
    let Crowd {
        form,
        body_bytes: len,
        paths,
        complete_every,
        ..
    } = crowd;
    let is_complete = number.is_multiple_of(complete_every);
    let sent = if is_complete { len } else { len - 1 };
    let path = paths[number % paths.len()];
    let head = format!(
        "POST {path}{number} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: crowd-{number}\r\n\
         Deadline-Ms: 20000\r\nAuthorization: Token {KEY}\r\nToken-Usage: 1460,80\r\n\
         Prefix-Hash: 5c1e07a2:800,{number:x}:660\r\n"
    );
    let chunk = |bytes: usize| {
        [
            format!("{bytes:x}\r\n").as_bytes(),
            &vec![b'b'; bytes],
            b"\r\n",
        ]
        .concat()
    };
    match form {
        Form::Silent | Form::Streams(_) => {}
        Form::PartOfHead => {
            let head = format!("{head}X: {}", "x".repeat(len));
            stream.write_all(head.as_bytes()).await?;
        }
        Form::Announced | Form::OverAnnounced => {
            let head = format!("{head}Content-Length: {len}\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(&vec![b'b'; sent]).await?;
        }
        Form::Pieces => {
            let head = format!("{head}Content-Length: {len}\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            for piece in vec![b'b'; sent].chunks(64 << 10) {
                stream.write_all(piece).await?;
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Form::Chunked(_) | Form::OverChunked => {
            let size = match form {
                Form::Chunked(size) => size,
                _ => 256 << 10,
            };
            let head = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            let one = chunk(size);
            // Chunks of a few bytes are written together.
            let together = WRITTEN_BYTES.div_ceil(size);
            let chunks = one.repeat(together);
            for _ in 0..(len / size).div_ceil(together) {
                stream.write_all(&chunks).await?;
            }
            if is_complete {
                stream.write_all(b"0\r\n\r\n").await?;
            }
        }
    }
    Ok(())
}

/// Begins requests over HTTP/2 and sends a part of each body.
async fn send_streams(stream: TcpStream, crowd: Crowd, count: usize) {
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let Ok((mut sender, driver)) = handshake.await else {
        return;
    };
    let driver = tokio::spawn(driver);
    let mut responses = JoinSet::new();
    for number in 0..count {
        let path = crowd.paths[number % crowd.paths.len()];
        let part = stream::iter([Ok::<_, Infallible>(Bytes::from(vec![
            b'b';
            crowd.body_bytes
        ]))]);
        let body = Body::from_stream(part.chain(stream::pending()));
        let req = hyper::Request::post(format!("http://{HOST}{path}{number}"))
            .header("attempt-id", format!("crowd-{number}"))
            .header("deadline-ms", "20000")
            .header("x", "x".repeat(14 << 10))
            .body(body)
            .unwrap();
        // Fails once the host closes the connection.
        if sender.ready().await.is_err() {
            break;
        }
        let response = sender.send_request(req);
        responses.spawn(async move { drop(response.await) });
    }
    tokio::time::sleep(SEND_TIMEOUT).await;
    driver.abort();
}

/// Most resources that a process has used at once.
pub(crate) struct Usage {
    process: u32,
    descriptors: Arc<AtomicUsize>,
    socket_bytes: Arc<AtomicUsize>,
    is_over: Arc<AtomicBool>,
    sampling: JoinHandle<()>,
}

impl Usage {
    /// Reads what a process uses until this is dropped. `host` is an address of the process.
    pub(crate) fn start(process: u32, host: SocketAddr) -> Self {
        let (descriptors, socket_bytes) = (Arc::<AtomicUsize>::default(), Arc::default());
        let is_over = Arc::<AtomicBool>::default();
        let sampling = {
            let (descriptors, is_over) = (descriptors.clone(), is_over.clone());
            let socket_bytes: Arc<AtomicUsize> = Arc::clone(&socket_bytes);
            tokio::task::spawn_blocking(move || {
                while !is_over.load(Ordering::Relaxed) {
                    descriptors.fetch_max(open_descriptors(process), Ordering::Relaxed);
                    socket_bytes.fetch_max(queued_bytes(host), Ordering::Relaxed);
                    std::thread::sleep(SAMPLE_INTERVAL);
                }
            })
        };
        Self {
            process,
            descriptors,
            socket_bytes,
            is_over,
            sampling,
        }
    }

    /// Most memory that was resident, bytes.
    pub(crate) fn resident_bytes(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process)).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let number = line.unwrap().trim().strip_suffix(" kB").unwrap();
        number.parse::<usize>().unwrap() << 10
    }

    /// Most bytes that waited in the kernel's buffers of the process's connections.
    pub(crate) fn socket_bytes(&self) -> usize {
        self.socket_bytes.load(Ordering::Relaxed)
    }

    pub(crate) fn descriptors(&self) -> usize {
        self.descriptors.load(Ordering::Relaxed)
    }
}

impl Drop for Usage {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.sampling.abort();
    }
}

/// Zero if the process has ended.
fn open_descriptors(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

/// Bytes in the send and receive queues of connections whose own address is one of the host's.
fn queued_bytes(host: SocketAddr) -> usize {
    let SocketAddr::V4(host) = host else {
        return 0;
    };
    let ip = format!("{:08X}:", u32::from_le_bytes(host.ip().octets()));
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let queued = table.lines().filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        fields.next().filter(|own| own.starts_with(&ip))?;
        // A listener counts the connections that wait.
        fields.nth(1).filter(|state| *state != "0A")?;
        let (sent, received) = fields.next()?.split_once(':')?;
        let bytes = |text| usize::from_str_radix(text, 16).unwrap_or(0);
        Some(bytes(sent) + bytes(received))
    });
    queued.sum()
}
