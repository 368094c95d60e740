//! A small fleet of daemons in one process, with a simulated platform on loopback.
//!
//! Each daemon is one entry host, which accepts requests and forwards them to backend servers. The
//! platform is the external system that stores the configuration and the host list.

// No single test program uses all of this module.
#![allow(dead_code)]

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use cardamomshift_lib::configuration::Class;
use cardamomshift_lib::configuration::Configuration;
use cardamomshift_lib::configuration::Workspace;
use cardamomshift_lib::configuration::hash_key;
use cardamomshift_lib::host::HostEntry;
use cardamomshift_lib::host::HostState;
use cardamomshift_lib::host::ListedService;
use cardamomshift_lib::host::Role;
use cardamomshift_lib::host::ServiceKind;
use cardamomshift_lib::id::WorkspaceId;
use cardamomshift_lib::message::ServerPhase;
use cardamomshift_lib::runtime::Daemon;
use cardamomshift_lib::settings::FleetSettings;
use cardamomshift_lib::settings::HostSettings;
use cardamomshift_lib::settings::LimitSettings;
use cardamomshift_lib::settings::ListenSettings;
use cardamomshift_lib::settings::LogSettings;
use cardamomshift_lib::settings::OperatorSettings;
use cardamomshift_lib::settings::PlatformSettings;
use cardamomshift_lib::settings::Secret;
use cardamomshift_lib::settings::Settings;
use cardamomshift_testutils::HostListApi;
use cardamomshift_testutils::ObjectApi;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

/// Time after which a step of a test fails as hung.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);

/// Daemons, and the simulated platform that they use.
pub(crate) struct Fleet {
    /// Object API, which stores the configuration.
    pub(crate) objects: ObjectApi,
    /// Host-list API, which lists the entry hosts and the backend servers.
    pub(crate) hosts: HostListApi,
    /// Running daemons. Removing one drops it, which ends it like a crash.
    pub(crate) daemons: Vec<TestDaemon>,
}

/// A daemon with the addresses of its listeners for callers and operators.
pub(crate) struct TestDaemon {
    pub(crate) name: String,
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) daemon: Daemon,
}

impl Fleet {
    /// Starts a platform with a stored configuration of `workspaces`. Each workspace's key is its
    /// name. No daemon is started.
    pub(crate) fn start(workspaces: &[&str]) -> Self {
        let objects = ObjectApi::start(loopback());
        let hosts = HostListApi::start(loopback());
        let document = configuration(workspaces).to_document().unwrap();
        objects.handle().put("configuration", "fleet", document);
        Self {
            objects,
            hosts,
            daemons: Vec::new(),
        }
    }

    /// Starts a daemon in a failure domain and adds it to the host list.
    pub(crate) fn add_host(&mut self, name: &str, domain: &str) {
        let settings = self.settings(name, domain);
        self.add_host_with_settings(name, domain, settings);
    }

    /// Starts a daemon with the given settings and adds it to the host list.
    pub(crate) fn add_host_with_settings(&mut self, name: &str, domain: &str, settings: Settings) {
        let (callers, operators) = (settings.listen.callers, settings.listen.operators);
        let entry = entry(name, domain, settings.listen.peers, Role::Entry, &[]);
        let daemon = Daemon::start(settings).unwrap();
        self.hosts.handle().put(entry);
        self.daemons.push(TestDaemon {
            name: name.to_owned(),
            callers,
            operators,
            daemon,
        });
    }

    /// Adds a backend server of one service to the host list.
    pub(crate) fn add_server(
        &self,
        name: &str,
        domain: &str,
        address: SocketAddr,
        service: (&str, ServiceKind),
    ) {
        let listed = entry(name, domain, address, Role::Backend, &[service]);
        self.hosts.handle().put(listed);
    }

    /// Waits until every daemon has a configuration and sees every listed host alive and every
    /// listed server.
    pub(crate) async fn wait_until_converged(&self) {
        let listed = self.hosts.handle().list().hosts;
        let entries = listed.iter().filter(|host| host.role == Role::Entry);
        let hosts = entries.count();
        let servers = listed.len() - hosts;
        self.wait_until(|status| {
            let alive = status.hosts.iter().filter(|host| host.alive).count();
            status.revision > 0 && alive == hosts && status.servers.len() == servers
        })
        .await;
    }

    /// Waits until the status of every daemon meets a condition.
    pub(crate) async fn wait_until(
        &self,
        condition: impl Fn(&cardamomshift_lib::status::Status) -> bool,
    ) {
        let all = async {
            for member in &self.daemons {
                loop {
                    let status = member.daemon.control().status().await.unwrap();
                    if condition(&status) {
                        break;
                    }
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        };
        tokio::time::timeout(STEP_TIMEOUT, all)
            .await
            .expect("fleet did not reach the condition within the step time-out");
    }

    /// Waits until the status of at least one daemon meets a condition.
    pub(crate) async fn wait_until_any(
        &self,
        condition: impl Fn(&cardamomshift_lib::status::Status) -> bool,
    ) {
        let any = async {
            loop {
                for member in &self.daemons {
                    if condition(&member.daemon.control().status().await.unwrap()) {
                        return;
                    }
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(STEP_TIMEOUT, any)
            .await
            .expect("fleet did not reach the condition within the step time-out");
    }

    /// Whether any scheduler reports a server in the given phase.
    pub(crate) async fn has_server(&self, phase: ServerPhase) -> bool {
        for member in &self.daemons {
            let status = member.daemon.control().status().await.unwrap();
            let mut servers = status.pools.iter().flat_map(|pool| &pool.servers);
            if servers.any(|server| server.phase == phase) {
                return true;
            }
        }
        false
    }

    /// Waits until a daemon schedules a shard (the servers of one service in one failure domain,
    /// `pools` in its status), and returns the position of that daemon in
    /// `daemons`.
    pub(crate) async fn scheduler(&self) -> usize {
        loop {
            for (position, member) in self.daemons.iter().enumerate() {
                let status = member.daemon.control().status().await.unwrap();
                if !status.pools.is_empty() {
                    return position;
                }
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Settings of a daemon with unused listener addresses.
    pub(crate) fn settings(&self, name: &str, domain: &str) -> Settings {
        Settings {
            host: HostSettings {
                name: name.into(),
                domain: domain.into(),
            },
            listen: ListenSettings {
                callers: free_address(),
                peers: free_address(),
                operators: free_address(),
                metrics: free_address(),
            },
            platform: PlatformSettings {
                object_api: self.objects.address(),
                host_list: self.hosts.address(),
            },
            fleet: FleetSettings {
                key: Secret::new("a key of the whole fleet, for tests"),
                source: None,
            },
            operators: OperatorSettings {
                key: Secret::new(OPERATOR_KEY),
            },
            limits: LimitSettings::default(),
            log: LogSettings::default(),
        }
    }
}

/// Key with which operators authenticate in every test fleet.
pub(crate) const OPERATOR_KEY: &str = "a key of the operators, for tests";

/// Sends a request with `key` as its bearer token and reads the complete response.
pub(crate) async fn call(
    address: SocketAddr,
    key: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Response<Bytes> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let mut req = Request::post(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {key}"))
        .header("content-type", "application/json");
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req.body(Full::new(body.into())).unwrap();
    let response = tokio::time::timeout(STEP_TIMEOUT, async {
        let (head, body) = client.request(req).await.unwrap().into_parts();
        Response::from_parts(head, body.collect().await.unwrap().to_bytes())
    });
    response
        .await
        .expect("no complete response within the step time-out")
}

/// The loopback address with port zero, for which the system chooses a free port.
pub(crate) fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// An unused address. Each has its own loopback IP, derived from the process id and a counter, so
/// that no outgoing connection can take the port before the daemon listens on it.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let last = NEXT.fetch_add(1, Ordering::Relaxed);
    let [low, high, ..] = std::process::id().to_le_bytes();
    let ip = Ipv4Addr::new(127, 64 | (high & 63), low, last);
    let listener = std::net::TcpListener::bind((ip, 0)).unwrap();
    listener.local_addr().unwrap()
}

fn entry(
    name: &str,
    domain: &str,
    address: SocketAddr,
    role: Role,
    services: &[(&str, ServiceKind)],
) -> HostEntry {
    let services = services.iter().map(|(name, kind)| ListedService {
        name: (*name).into(),
        kind: *kind,
    });
    HostEntry {
        name: name.into(),
        domain: domain.into(),
        role,
        state: HostState::Live,
        address,
        services: services.collect(),
        checks_fencing: false,
    }
}

fn configuration(workspaces: &[&str]) -> Configuration {
    let workspaces = workspaces.iter().zip(0..).map(|(name, id)| Workspace {
        id: WorkspaceId(id),
        name: (*name).into(),
        key_hash: hash_key(name.as_bytes()),
        enabled: true,
    });
    let workspaces: Vec<_> = workspaces.collect();
    Configuration {
        next_workspace: workspaces.len() as u32,
        workspaces,
        classes: vec![Class {
            name: "default".into(),
            target_ms: 30_000,
        }],
        ..Configuration::default()
    }
}
