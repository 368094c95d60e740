//! Stand-ins for the platform that a fleet runs on.

use cardamomshift_testutils::HostListApi;
use cardamomshift_testutils::HostListHandle;
use cardamomshift_testutils::ObjectApi;
use cardamomshift_testutils::ObjectApiHandle;

use super::subnet::Subnet;
use super::subnet::socket_addr;

/// Port of the object API.
pub(crate) const OBJECT_API_PORT: u16 = 7001;
/// Port of the host list.
pub(crate) const HOST_LIST_PORT: u16 = 7002;

/// Running object API, which stores the configuration, and host list, which names the hosts and
/// backend servers of the fleet.
#[derive(Debug)]
pub struct Platform {
    object_api: ObjectApi,
    host_list: HostListApi,
}

impl Platform {
    pub(super) fn start(subnet: &Subnet) -> Self {
        let address = subnet.platform();
        Self {
            object_api: ObjectApi::start(socket_addr(address, OBJECT_API_PORT)),
            host_list: HostListApi::start(socket_addr(address, HOST_LIST_PORT)),
        }
    }

    /// Handle that reads objects and injects faults into the object API.
    pub fn objects(&self) -> ObjectApiHandle {
        self.object_api.handle()
    }

    /// Handle that reads and edits the host list.
    pub fn hosts(&self) -> HostListHandle {
        self.host_list.handle()
    }
}
