//! Crowds of clients that don't behave, at a host that runs as a separate process on a small machine.
//!
//! The process must live, stay within the memory and the descriptors of its machine, and still answer an
//! ordinary request of another workspace. One test runs at a time.

#[path = "../../platform/tests/stand_ins/mod.rs"]
mod stand_ins;

#[path = "soak/host.rs"]
mod host;

mod crowd;

use std::time::Duration;

use hyper::StatusCode;
use rustix::process::Signal;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;
use tokio::sync::Mutex;
use tokio::sync::MutexGuard;

use crate::crowd::Crowd;
use crate::crowd::Form;
use crate::crowd::Usage;
use crate::crowd::raise_descriptor_limit;
use crate::crowd::send_crowd;
use crate::host::Host;
use crate::stand_ins::Behavior;
use crate::stand_ins::GRACE_S;
use crate::stand_ins::KEY;
use crate::stand_ins::MachineLimits;
use crate::stand_ins::StandInServer;
use crate::stand_ins::StandInStore;
use crate::stand_ins::call;
use crate::stand_ins::config;

static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// API key of the workspace that behaves.
const OTHER_KEY: &str = "key-two";
/// The smallest machine that hosts run on.
const MACHINE: MachineLimits = MachineLimits {
    memory_mb: 55,
    descriptors: 500,
};
/// A machine on which more connections fit.
const LARGER_MACHINE: MachineLimits = MachineLimits {
    memory_mb: 110,
    descriptors: 4_100,
};
/// Limit of bodies in the configuration, bytes.
const BODY_BYTES: usize = 2 << 20;
/// The largest bodies that configurations of the users allow.
const LARGEST_BODY_BYTES: usize = 4 << 20;
/// Paths of a model, of a plain service, and of one that may run once.
const PATHS: &[&str] = &["/s/", "/i/", "/w/"];

/// Clients of one workspace whose bodies are of legal size.
const CROWD: Crowd = Crowd {
    form: Form::Announced,
    clients: 120,
    body_bytes: BODY_BYTES,
    paths: &["/s/"],
    complete_every: 8,
};

/// A host, a model and a plain service.
struct Site {
    host: Host,
    machine: MachineLimits,
    usage: Usage,
    store: StandInStore,
    _servers: [StandInServer; 2],
    _folder: TempDir,
    _turn: MutexGuard<'static, ()>,
}

/// A configuration with two workspaces, in which requests may take long.
fn crowded_config(version: u64, body_bytes: usize) -> Value {
    let mut config = config(version, &[KEY]);
    config["limits"]["max-body-bytes"] = body_bytes.into();
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeout-ms"] = 20_000.into();
    }
    let tenants = config["tenants"].as_array_mut().unwrap();
    tenants.push(json!({"name": "two", "api-keys": [OTHER_KEY]}));
    config
}

impl Site {
    async fn start(number: u8, body_bytes: usize) -> Self {
        Self::start_on(number, body_bytes, MACHINE).await
    }

    async fn start_on(number: u8, body_bytes: usize, machine: MachineLimits) -> Self {
        let turn = ONE_AT_A_TIME.lock().await;
        raise_descriptor_limit();
        let store = StandInStore::start().await;
        let mut servers = Vec::new();
        for service in ["model", "ledger"] {
            let server = StandInServer::start(service, Behavior::Healthy).await;
            store.put("servers", service, server.announcement(service));
            servers.push(server);
        }
        store.put("config", "main", crowded_config(1, body_bytes));
        let folder = tempfile::tempdir().unwrap();
        let host = Host::start_limited(number, folder.path(), store.address, machine);
        let site = Self {
            usage: Usage::start(host.process_id(), host.callers()),
            host,
            machine,
            store,
            _servers: servers.try_into().ok().unwrap(),
            _folder: folder,
            _turn: turn,
        };
        site.wait_for_ordinary().await;
        site
    }

    /// Sends a request of the workspace that behaves.
    async fn ordinary(&self, body: String) -> StatusCode {
        let host = self.host.callers();
        let call = async move {
            let key = format!("Token {OTHER_KEY}");
            let fields = [
                ("authorization", key.as_str()),
                ("token-usage", "1460,80"),
                ("prefix-hash", "77aa01:800,77aa02:660"),
            ];
            call(host, "/s/1", &fields, &body).await.status
        };
        // The request panics if the connection fails.
        let status = tokio::spawn(call).await;
        status.unwrap_or(StatusCode::BAD_GATEWAY)
    }

    /// Sends ordinary requests until one is answered.
    async fn wait_for_ordinary(&self) {
        for _ in 0..400 {
            assert!(self.host.is_running(), "the process has ended");
            if self.host.is_ready().await && self.ordinary("prompt".to_owned()).await.is_success() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("no ordinary request is answered");
    }

    /// Checks what must hold after a crowd.
    async fn check(&self) {
        assert!(self.host.is_running(), "the process has ended");
        let (resident, queued) = (self.usage.resident_bytes(), self.usage.socket_bytes());
        let descriptors = self.usage.descriptors();
        println!(
            "{resident} bytes resident, {queued} in sockets, {descriptors} descriptors at most"
        );
        assert!(
            resident + queued <= self.machine.memory_mb << 20,
            "{resident} bytes resident, {queued} in sockets"
        );
        assert!(descriptors <= self.machine.descriptors, "{descriptors}");
        self.wait_for_ordinary().await;
    }

    /// Sends a crowd, with ordinary requests beside it.
    async fn endure(&self, crowd: Crowd) {
        let crowd = tokio::spawn(send_crowd(self.host.callers(), crowd));
        tokio::time::sleep(Duration::from_secs(1)).await;
        self.wait_for_ordinary().await;
        crowd.await.unwrap();
        self.check().await;
    }
}

async fn endure(number: u8, crowd: Crowd) {
    Site::start(number, BODY_BYTES).await.endure(crowd).await;
}

/// 120 bodies of 2 MB, most of which lack their last byte.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn announced_bodies_that_stop_short() {
    endure(1, CROWD).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_in_pieces_that_stop_short() {
    endure(
        2,
        Crowd {
            form: Form::Pieces,
            ..CROWD
        },
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_in_large_chunks_that_stop_short() {
    endure(
        3,
        Crowd {
            form: Form::Chunked(256 << 10),
            ..CROWD
        },
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_in_chunks_of_one_byte_that_stop_short() {
    let crowd = Crowd {
        form: Form::Chunked(1),
        body_bytes: 32 << 10,
        ..CROWD
    };
    endure(4, crowd).await;
}

/// As many clients as a larger machine has connections for. Chunks of one byte are read more slowly than
/// they arrive.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_in_chunks_of_one_byte_on_all_connections() {
    let crowd = Crowd {
        form: Form::Chunked(1),
        clients: 1_200,
        body_bytes: 64 << 10,
        ..CROWD
    };
    let site = Site::start_on(17, BODY_BYTES, LARGER_MACHINE).await;
    site.endure(crowd).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_that_are_announced_far_over_the_limit() {
    let crowd = Crowd {
        form: Form::OverAnnounced,
        body_bytes: 32 << 20,
        ..CROWD
    };
    endure(5, crowd).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn chunked_bodies_far_over_the_limit() {
    let crowd = Crowd {
        form: Form::OverChunked,
        body_bytes: 32 << 20,
        ..CROWD
    };
    endure(6, crowd).await;
}

/// Requests with a key and without one, to a model and to plain services.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_on_all_kinds_of_routes() {
    endure(
        7,
        Crowd {
            paths: PATHS,
            ..CROWD
        },
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn connections_that_say_nothing() {
    let crowd = Crowd {
        form: Form::Silent,
        clients: 800,
        ..CROWD
    };
    endure(8, crowd).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn heads_that_do_not_end() {
    let crowd = Crowd {
        form: Form::PartOfHead,
        clients: 400,
        body_bytes: 15 << 10,
        ..CROWD
    };
    endure(9, crowd).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crowds_that_come_again() {
    let site = Site::start(10, BODY_BYTES).await;
    for form in [Form::Announced, Form::Chunked(64 << 10), Form::Announced] {
        site.endure(Crowd { form, ..CROWD }).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn configuration_that_changes_beside_a_crowd() {
    let site = Site::start(11, BODY_BYTES).await;
    let crowd = tokio::spawn(send_crowd(site.host.callers(), CROWD));
    for version in 2..8 {
        let config = crowded_config(version, BODY_BYTES);
        site.store.put("config", "main", config);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    crowd.await.unwrap();
    site.check().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn process_that_stops_beside_a_crowd() {
    let site = Site::start(12, BODY_BYTES).await;
    let crowd = tokio::spawn(send_crowd(site.host.callers(), CROWD));
    tokio::time::sleep(Duration::from_secs(1)).await;
    site.host.signal(Signal::TERM);
    let exit = site.host.wait_for_exit(Duration::from_secs(5 * GRACE_S));
    let exit = exit.await.expect("the process does not end");
    assert!(exit.success(), "{exit}");
    crowd.await.unwrap();
}

/// The port of readiness checks is another one than that of callers.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn silent_connections_at_the_port_of_readiness_checks() {
    let site = Site::start(13, BODY_BYTES).await;
    let crowd = Crowd {
        form: Form::Silent,
        clients: 800,
        ..CROWD
    };
    let crowd = tokio::spawn(send_crowd(site.host.readiness(), crowd));
    tokio::time::sleep(Duration::from_secs(1)).await;
    site.wait_for_ordinary().await;
    crowd.await.unwrap();
    site.check().await;
}

/// Clients that send a whole request and read nothing of its response, which is as long.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn responses_that_nobody_reads() {
    let crowd = Crowd {
        body_bytes: 250 << 10,
        paths: &["/i/"],
        complete_every: 1,
        ..CROWD
    };
    endure(14, crowd).await;
}

/// One request of the largest legal size is served by the smallest machine.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn largest_legal_body_in_calm() {
    let site = Site::start(15, LARGEST_BODY_BYTES).await;
    for _ in 0..8 {
        let body = "b".repeat(LARGEST_BODY_BYTES);
        assert_eq!(site.ordinary(body).await, StatusCode::OK);
    }
    site.check().await;
}

/// HTTP/2 callers that begin many requests with large heads on each connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_streams_on_each_connection() {
    let crowd = Crowd {
        form: Form::Streams(150),
        clients: 60,
        body_bytes: 16 << 10,
        paths: &["/i/"],
        ..CROWD
    };
    endure(16, crowd).await;
}
