//! Stand-ins for the backend servers of a fleet: model engines and plain services.

use std::net::SocketAddr;

use cardamomshift_lib::host::HostEntry;
use cardamomshift_lib::host::HostState;
use cardamomshift_lib::host::ListedService;
use cardamomshift_lib::host::Role;
use cardamomshift_lib::host::ServiceKind;
use cardamomshift_testutils::EngineHandle;
use cardamomshift_testutils::LinkRelay;
use cardamomshift_testutils::LinkRoute;
use cardamomshift_testutils::ModelEngine;
use cardamomshift_testutils::Network;
use cardamomshift_testutils::PlainService;
use cardamomshift_testutils::PlainServiceHandle;

use super::plan::FleetPlan;
use super::plan::MODEL;
use super::plan::PLAIN_SERVICE;
use super::subnet::Subnet;
use super::subnet::socket_addr;

/// Port of a backend server in the host list.
const LISTED_PORT: u16 = 8000;
/// Port on which a backend server listens if a relay stands in front of it.
const LISTEN_PORT: u16 = 8001;

/// Service that a backend server runs.
#[derive(Debug)]
pub enum BackendKind {
    /// A model engine.
    Engine(ModelEngine),
    /// A plain service.
    Plain(PlainService),
}

/// A running backend server.
#[derive(Debug)]
pub struct Backend {
    /// Name in the host list.
    pub name: String,
    /// Name of its failure domain.
    pub domain: String,
    /// Address in the host list.
    pub address: SocketAddr,
    /// Service that it runs.
    pub kind: BackendKind,
    /// Relay in front of it, if the plan has relays.
    _relay: Option<LinkRelay>,
}

impl Backend {
    /// Handle of the engine, none if this is a plain service.
    pub fn engine(&self) -> Option<EngineHandle> {
        match &self.kind {
            BackendKind::Engine(engine) => Some(engine.handle()),
            BackendKind::Plain(_) => None,
        }
    }

    /// Handle of the plain service, none if this is an engine.
    pub fn plain(&self) -> Option<PlainServiceHandle> {
        match &self.kind {
            BackendKind::Engine(_) => None,
            BackendKind::Plain(plain) => Some(plain.handle()),
        }
    }

    /// Entry of this server in the host list.
    pub fn entry(&self) -> HostEntry {
        let (name, kind) = match &self.kind {
            BackendKind::Engine(_) => (MODEL, ServiceKind::Model),
            BackendKind::Plain(_) => (PLAIN_SERVICE, ServiceKind::Plain),
        };
        HostEntry {
            name: self.name.as_str().into(),
            domain: self.domain.as_str().into(),
            role: Role::Backend,
            state: HostState::Live,
            address: self.address,
            services: vec![ListedService {
                name: name.into(),
                kind,
            }],
            checks_fencing: false,
        }
    }
}

/// Starts the backend servers of all failure domains, each behind a relay if the plan has relays.
pub(super) fn start_all(plan: &FleetPlan, subnet: &Subnet, network: &Network) -> Vec<Backend> {
    let mut backends = Vec::new();
    for (number, domain) in plan.domains.iter().enumerate() {
        for index in 0..plan.engines_per_domain + plan.plain_services_per_domain {
            let is_engine = index < plan.engines_per_domain;
            let ip = subnet.backend(number, index);
            let port = if plan.relays {
                LISTEN_PORT
            } else {
                LISTED_PORT
            };
            let listen_address = socket_addr(ip, port);
            let (kind, name) = if is_engine {
                let engine = ModelEngine::start_with(listen_address, plan.engine);
                (
                    BackendKind::Engine(engine),
                    format!("{domain}-engine-{index}"),
                )
            } else {
                let plain = PlainService::start_with(listen_address, plan.plain);
                (BackendKind::Plain(plain), format!("{domain}-plain-{index}"))
            };
            let relay = plan.relays.then(|| {
                let route = LinkRoute {
                    source: None,
                    destination: ip,
                    target: listen_address,
                    network: network.clone(),
                };
                LinkRelay::start(socket_addr(ip, LISTED_PORT), route)
            });
            backends.push(Backend {
                name,
                domain: domain.clone(),
                address: socket_addr(ip, LISTED_PORT),
                kind,
                _relay: relay,
            });
        }
    }
    backends
}
