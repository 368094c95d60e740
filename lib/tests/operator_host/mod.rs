//! Test host that serves the operators' interface. Its control thread is a fake that only keeps the
//! configuration and returns a fixed status.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cardamomshift_lib::configuration::ConfigurationStore;
use cardamomshift_lib::configuration::Editor;
use cardamomshift_lib::configuration::Follower;
use cardamomshift_lib::control::ControlHandle;
use cardamomshift_lib::control::ControlRequest;
use cardamomshift_lib::control::FleetView;
use cardamomshift_lib::id::DomainId;
use cardamomshift_lib::id::ServerId;
use cardamomshift_lib::id::ServiceId;
use cardamomshift_lib::id::WorkspaceId;
use cardamomshift_lib::message::ServerPhase;
use cardamomshift_lib::operator;
use cardamomshift_lib::operator::OperatorParts;
use cardamomshift_lib::platform::CallOptions;
use cardamomshift_lib::platform::ObjectClient;
use cardamomshift_lib::settings::Secret;
use cardamomshift_lib::status::HostStatus;
use cardamomshift_lib::status::ListedServerStatus;
use cardamomshift_lib::status::PoolStatus;
use cardamomshift_lib::status::ServerStatus;
use cardamomshift_lib::status::Status;
use cardamomshift_lib::status::WorkspaceStatus;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Key by which operators authenticate.
pub(crate) const KEY: &str = "operator-key-0123456789abcdef";

/// A running host with the operators' interface.
pub(crate) struct OperatorHost {
    /// Address of the operators' interface.
    pub(crate) address: SocketAddr,
    /// Handle on the fake control thread.
    pub(crate) control: ControlHandle,
    /// Task of the interface, which ends when the control thread has ended.
    pub(crate) served: JoinHandle<()>,
}

impl OperatorHost {
    /// Starts a host whose configuration is stored in the object API at `objects`.
    pub(crate) async fn start(name: &str, objects: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (tx, rx) = mpsc::unbounded_channel();
        let (view_tx, view) = watch::channel(Arc::default());
        let control = ControlHandle::new(tx, view);
        tokio::spawn(run_control(status_of(name), rx, view_tx));
        let options = CallOptions {
            call_timeout: Duration::from_millis(300),
            ..CallOptions::default()
        };
        let client = ObjectClient::new(objects, options);
        let parts = OperatorParts {
            host: name.into(),
            key: Secret::new(KEY),
            control: control.clone(),
            editor: Editor::new(ConfigurationStore::over(client)),
        };
        Self {
            address,
            control,
            served: tokio::spawn(operator::serve(listener, parts)),
        }
    }
}

/// Status of a fleet with one entry host and one backend server in each of two failure domains.
fn status_of(name: &str) -> Status {
    let host = |name: &str, domain: &str| HostStatus {
        name: name.into(),
        domain: domain.into(),
        alive: true,
        leaving: false,
        revision: 0,
    };
    let server = |name: &str, domain: &str| ListedServerStatus {
        name: name.into(),
        domain: domain.into(),
        leaving: false,
        out: false,
        services: vec!["chat".into()],
    };
    Status {
        host: name.into(),
        domain: "bern-a".into(),
        hosts: vec![host("entry-1", "bern-a"), host("entry-2", "zurich-b")],
        pools: vec![pool()],
        servers: vec![server("worker-1", "bern-a"), server("worker-2", "zurich-b")],
        ..Status::default()
    }
}

/// A pool with a warm server and three workspaces, two of which have waiting requests.
fn pool() -> PoolStatus {
    let workspace = |id, waiting, counter| WorkspaceStatus {
        workspace: WorkspaceId(id),
        waiting,
        counter,
        ..WorkspaceStatus::default()
    };
    PoolStatus {
        service: ServiceId::of("chat"),
        domain: DomainId::of("bern-a"),
        waiting: 5,
        running: 4,
        servers: vec![ServerStatus {
            server: ServerId::of("worker-1"),
            phase: ServerPhase::Warm,
            limit: 4,
            running: 4,
            usable: true,
            cold_returns: 0,
        }],
        workspaces: vec![
            workspace(0, 3, 70),
            workspace(1, 2, 100),
            workspace(2, 0, 9),
        ],
    }
}

/// Fake control thread.
async fn run_control(
    mut status: Status,
    mut rx: mpsc::UnboundedReceiver<ControlRequest>,
    view: watch::Sender<Arc<FleetView>>,
) {
    let mut follower = Follower::new();
    while let Some(req) = rx.recv().await {
        match req {
            ControlRequest::Status { reply } => {
                status.revision = follower.revision();
                let _ = reply.send(status.clone());
            }
            ControlRequest::OfferConfiguration { configuration } => {
                if let Some(configuration) = follower.offer(&configuration).unwrap() {
                    view.send_replace(Arc::new(FleetView {
                        configuration: Some(configuration),
                        ..FleetView::default()
                    }));
                }
            }
            ControlRequest::Stop => return,
            other => panic!("{other:?}"),
        }
    }
}
