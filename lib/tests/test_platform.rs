//! Clients of the platform against a server with scripted responses.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cardamomshift_lib::platform::Backoff;
use cardamomshift_lib::platform::CallOptions;
use cardamomshift_lib::platform::HostListClient;
use cardamomshift_lib::platform::HostListError;
use cardamomshift_lib::platform::MAX_OBJECT_BYTES;
use cardamomshift_lib::platform::Object;
use cardamomshift_lib::platform::ObjectClient;
use cardamomshift_lib::platform::ObjectError;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// A call that the server has received: the head of the request as text, and the body.
#[derive(Debug)]
struct ReceivedCall {
    head: String,
    body: Vec<u8>,
    /// Number of the connection, counted from zero.
    connection: usize,
}

/// A server that sends the given responses in order. For an empty one, and after the last, it
/// closes the connection without a response.
struct ScriptedServer {
    address: SocketAddr,
    calls: mpsc::UnboundedReceiver<ReceivedCall>,
}

impl ScriptedServer {
    async fn start(responses: &[&str]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (tx, calls) = mpsc::unbounded_channel();
        let responses: Vec<String> = responses
            .iter()
            .map(|&response| response.to_owned())
            .collect();
        tokio::spawn(async move {
            let mut responses = responses.into_iter();
            for connection in 0.. {
                let (mut stream, _) = listener.accept().await.unwrap();
                while let Some((head, body)) = read_call(&mut stream).await {
                    let _ = tx.send(ReceivedCall {
                        head,
                        body,
                        connection,
                    });
                    let response = responses.next().unwrap_or_default();
                    if response.is_empty() {
                        break;
                    }
                    stream.write_all(response.as_bytes()).await.unwrap();
                }
            }
        });
        Self { address, calls }
    }

    fn objects(&self) -> ObjectClient {
        ObjectClient::new(self.address, options())
    }

    fn hosts(&self) -> HostListClient {
        HostListClient::new(self.address, options())
    }

    async fn call(&mut self) -> ReceivedCall {
        self.calls.recv().await.unwrap()
    }
}

async fn read_call(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut buf = Vec::new();
    let end = loop {
        if let Some(end) = buf.windows(4).position(|window| window == b"\r\n\r\n") {
            break end;
        }
        if stream.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8(buf[..end].to_vec()).unwrap();
    let mut body = buf.split_off(end + 4);
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(": ")?;
        let found = name.eq_ignore_ascii_case("content-length");
        found.then(|| value.parse().unwrap())
    });
    while body.len() < length.unwrap_or(0) {
        stream.read_buf(&mut body).await.ok()?;
    }
    Some((head, body))
}

fn options() -> CallOptions {
    CallOptions {
        call_timeout: Duration::from_millis(300),
        ..CallOptions::default()
    }
}

fn response(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}")
}

#[tokio::test]
async fn object_is_read_with_its_version() {
    let ok = response("200 OK", "x-version: 7\r\n", "text");
    let mut server = ScriptedServer::start(&[&ok]).await;
    let object = server.objects().read("operation", "k/ 1").await.unwrap();
    let bytes = Bytes::from_static(b"text");
    assert_eq!(object, Object { version: 7, bytes });
    assert!(
        server
            .call()
            .await
            .head
            .starts_with("GET /objects/operation/k%2F%201 HTTP/1.1")
    );
}

#[tokio::test]
async fn writes_are_conditional_and_connections_reused() {
    let stored = response("200 OK", "x-version: 3\r\n", "");
    let deleted = response("200 OK", "", "");
    let mut server = ScriptedServer::start(&[&stored, &stored, &deleted]).await;
    let objects = server.objects();
    assert_eq!(
        objects.create("k", "n", Bytes::from_static(b"one")).await,
        Ok(3)
    );
    assert_eq!(
        objects
            .update("k", "n", 2, Bytes::from_static(b"two"))
            .await,
        Ok(3)
    );
    assert_eq!(objects.delete("k", "n", 3).await, Ok(()));
    let created = server.call().await;
    assert!(
        created.head.contains("if-none-match: *"),
        "{}",
        created.head
    );
    assert_eq!(created.body, b"one");
    let updated = server.call().await;
    assert!(updated.head.contains("if-match: 2"), "{}", updated.head);
    let deleted = server.call().await;
    assert!(
        deleted.head.starts_with("DELETE /objects/k/n"),
        "{}",
        deleted.head
    );
    assert!(deleted.head.contains("if-match: 3"), "{}", deleted.head);
    assert_eq!(deleted.connection, 0);
}

#[tokio::test]
async fn write_statuses_map_to_errors() {
    let unavailable = |err: &ObjectError| matches!(err, ObjectError::Unavailable { .. });
    let unknown = |err: &ObjectError| matches!(err, ObjectError::Unknown { .. });
    type Expected<'a> = (&'a str, &'a dyn Fn(&ObjectError) -> bool);
    let cases: [Expected<'_>; 7] = [
        ("412 Precondition Failed", &|err| {
            *err == ObjectError::Conflict
        }),
        ("404 Not Found", &|err| *err == ObjectError::NotFound),
        ("413 Payload Too Large", &|err| {
            *err == ObjectError::TooLarge
        }),
        ("429 Too Many Requests", &|err| {
            *err == ObjectError::RateLimited
        }),
        ("503 Service Unavailable", &unavailable),
        ("500 Internal Server Error", &unknown),
        ("200 OK", &unknown), // The response lacks the version.
    ];
    for (status, expected) in cases {
        let server = ScriptedServer::start(&[&response(status, "", "")]).await;
        let err = server
            .objects()
            .update("k", "n", 1, Bytes::new())
            .await
            .unwrap_err();
        assert!(expected(&err), "{status}: {err:?}");
    }
}

#[tokio::test]
async fn lost_response_is_unknown_for_a_write_and_transient_for_a_read() {
    // The connection closes before the response, and within its body.
    for lost in [
        "",
        "HTTP/1.1 200 OK\r\nx-version: 3\r\ncontent-length: 9\r\n\r\nte",
    ] {
        let server = ScriptedServer::start(&[lost]).await;
        let err = server
            .objects()
            .update("k", "n", 1, Bytes::new())
            .await
            .unwrap_err();
        assert!(matches!(err, ObjectError::Unknown { .. }), "{err:?}");
        let server = ScriptedServer::start(&[lost]).await;
        let err = server.objects().read("k", "n").await.unwrap_err();
        assert!(err.is_transient(), "{err:?}");
    }
}

#[tokio::test]
async fn unreachable_platform_is_unavailable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let objects = ObjectClient::new(address, options());
    let err = objects.create("k", "n", Bytes::new()).await.unwrap_err();
    assert!(matches!(err, ObjectError::Unavailable { .. }), "{err:?}");
}

#[tokio::test]
async fn oversized_object_is_not_sent() {
    let mut server = ScriptedServer::start(&[]).await;
    let bytes = vec![0; MAX_OBJECT_BYTES + 1].into();
    assert_eq!(
        server.objects().create("k", "n", bytes).await,
        Err(ObjectError::TooLarge)
    );
    assert!(server.calls.try_recv().is_err());
}

#[tokio::test]
async fn watch_returns_none_when_nothing_changed() {
    let none = response("304 Not Modified", "", "");
    let changed = response("200 OK", "x-version: 5\r\n", "new");
    let mut server = ScriptedServer::start(&[&none, &changed]).await;
    let objects = server.objects();
    let wait = Duration::from_millis(250);
    assert_eq!(objects.watch("k", "n", 4, wait).await, Ok(None));
    assert_eq!(
        objects
            .watch("k", "n", 4, wait)
            .await
            .unwrap()
            .unwrap()
            .version,
        5
    );
    let head = server.call().await.head;
    assert!(
        head.starts_with("GET /objects/k/n?watch=4&timeout_ms=250 "),
        "{head}"
    );
}

#[tokio::test]
async fn object_names_are_listed() {
    let server = ScriptedServer::start(&[&response("200 OK", "", r#"["a","b"]"#)]).await;
    assert_eq!(server.objects().list("k").await.unwrap(), ["a", "b"]);
}

#[tokio::test]
async fn host_list_is_read_and_watched() {
    let list = r#"{"revision":3,"hosts":[{"name":"w1","domain":"bern-a","role":"backend",
        "state":"live","address":"10.0.0.1:80","services":[{"name":"m","kind":"model"}]}]}"#;
    let ok = response("200 OK", "", list);
    let none = response("304 Not Modified", "", "");
    let bad = response("200 OK", "", "{}");
    let mut server = ScriptedServer::start(&[&ok, &none, &bad]).await;
    let hosts = server.hosts();
    let read = hosts.read().await.unwrap().unwrap();
    assert_eq!((read.revision, read.hosts[0].name.as_str()), (3, "w1"));
    assert_eq!(hosts.watch(3, Duration::from_millis(20)).await, Ok(None));
    let err = hosts.watch(3, Duration::from_millis(20)).await.unwrap_err();
    assert!(matches!(err, HostListError::Malformed { .. }), "{err:?}");
    server.call().await;
    let head = server.call().await.head;
    assert!(
        head.starts_with("GET /hosts?after=3&timeout_ms=20 "),
        "{head}"
    );
}

/// Guards against one odd entry that keeps a host from knowing all others.
#[tokio::test]
async fn host_list_without_the_entries_that_cannot_be_read() {
    let entry = |name: &str, fields: &str| {
        let start = format!(r#""name":"{name}","domain":"bern-a","role":"backend","state":"live""#);
        format!(r#"{{{start},"address":"10.0.0.1:80"{fields}}}"#)
    };
    let nested = format!("{}0{}", "[".repeat(100_000), "]".repeat(100_000));
    let odd = [
        "1".to_owned(),
        "null".to_owned(),
        "{}".to_owned(),
        r#"{"name":7}"#.to_owned(),
        entry("a", "").replace("10.0.0.1:80", "10.0.0.1"),
        entry("b", "").replace("live", "resting"),
        entry("c", r#","services":1"#),
        entry("d", r#","services":[{"name":"m","kind":"other"}]"#),
        entry("e", r#","checks_fencing":"\ud800""#),
        format!(r#"{{"name":{nested}}}"#),
    ];
    for odd in odd {
        let (first, last) = (entry("w1", ""), entry("w2", ""));
        let list = format!(r#"{{"revision":3,"hosts":[{first},{odd},{last}]}}"#);
        let server = ScriptedServer::start(&[&response("200 OK", "", &list)]).await;
        let start = &odd[..odd.len().min(80)];
        let read = server.hosts().read().await;
        let read = read.unwrap_or_else(|err| panic!("{start}: {err}")).unwrap();
        let names: Vec<_> = read.hosts.iter().map(|host| host.name.as_str()).collect();
        assert_eq!((read.revision, names), (3, vec!["w1", "w2"]), "{start}");
    }
}

#[test]
fn backoff_doubles_up_to_its_bound_with_jitter() {
    let mut backoff = Backoff::new(Duration::from_millis(10), Duration::from_millis(40));
    for bound in [10, 20, 40, 40] {
        let delay = backoff.next_delay();
        let bound = Duration::from_millis(bound);
        assert!(delay >= bound / 2 && delay <= bound, "{delay:?}");
    }
    backoff.reset();
    assert!(backoff.next_delay() <= Duration::from_millis(10));
}
