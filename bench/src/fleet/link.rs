//! Relays on the links from hosts to other hosts and to the platform.
//!
//! A relay forwards connections, counts their bytes, and can delay or stall them, so that a test
//! can partition the network. Relays in front of backend servers are started with the servers.

use std::net::IpAddr;

use cardamomshift_testutils::LinkRelay;
use cardamomshift_testutils::LinkRoute;
use cardamomshift_testutils::Network;

use super::plan::HostPlan;
use super::platform::HOST_LIST_PORT;
use super::platform::OBJECT_API_PORT;
use super::subnet::Subnet;
use super::subnet::socket_addr;

/// Port of the relay to the object API, at the host's own address.
const OBJECT_API_LINK_PORT: u16 = 7101;
/// Port of the relay to the host list, at the host's own address.
const HOST_LIST_LINK_PORT: u16 = 7102;

/// Relays of one host: for connections from other hosts, and for its own to the platform.
#[derive(Debug)]
pub(super) struct HostLinks {
    _peers: LinkRelay,
    _object_api: LinkRelay,
    _host_list: LinkRelay,
}

/// Addresses through which a host reaches the platform.
pub(super) struct PlatformAddresses {
    pub(super) object_api: std::net::SocketAddr,
    pub(super) host_list: std::net::SocketAddr,
}

/// Addresses of the host's relays to the platform, or of the platform itself without relays.
pub(super) fn platform_addresses(
    host: &HostPlan,
    subnet: &Subnet,
    relays: bool,
) -> PlatformAddresses {
    if !relays {
        return PlatformAddresses {
            object_api: socket_addr(subnet.platform(), OBJECT_API_PORT),
            host_list: socket_addr(subnet.platform(), HOST_LIST_PORT),
        };
    }
    PlatformAddresses {
        object_api: socket_addr(host.peers.ip(), OBJECT_API_LINK_PORT),
        host_list: socket_addr(host.peers.ip(), HOST_LIST_LINK_PORT),
    }
}

/// Starts the relays of all hosts.
pub(super) fn start_all(hosts: &[HostPlan], subnet: &Subnet, network: &Network) -> Vec<HostLinks> {
    let platform = subnet.platform();
    hosts
        .iter()
        .map(|host| {
            let ip = host.peers.ip();
            let to_platform = |own_port, port| {
                let route = LinkRoute {
                    source: Some(ip),
                    destination: platform,
                    target: socket_addr(platform, port),
                    network: network.clone(),
                };
                LinkRelay::start(socket_addr(ip, own_port), route)
            };
            HostLinks {
                _peers: LinkRelay::start(host.peers, peer_route(host, ip, network)),
                _object_api: to_platform(OBJECT_API_LINK_PORT, OBJECT_API_PORT),
                _host_list: to_platform(HOST_LIST_LINK_PORT, HOST_LIST_PORT),
            }
        })
        .collect()
}

fn peer_route(host: &HostPlan, ip: IpAddr, network: &Network) -> LinkRoute {
    LinkRoute {
        source: None,
        destination: ip,
        target: host.peers_listen,
        network: network.clone(),
    }
}
