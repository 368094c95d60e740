//! Generates the settings files of the hosts.

use super::link::platform_addresses;
use super::plan::FLEET_KEY;
use super::plan::HostPlan;
use super::plan::OPERATOR_KEY;
use super::subnet::Subnet;

/// How long a host waits for running requests at a planned stop.
const DRAIN_TIMEOUT_MS: u64 = 10_000;

/// Settings file of a host, TOML text.
pub(super) fn settings_text(host: &HostPlan, subnet: &Subnet, relays: bool) -> String {
    let platform = platform_addresses(host, subnet, relays);
    let HostPlan {
        name,
        domain,
        callers,
        peers_listen,
        operators,
        metrics,
        ..
    } = host;
    format!(
        "[host]\n\
         name = \"{name}\"\n\
         domain = \"{domain}\"\n\
         [listen]\n\
         callers = \"{callers}\"\n\
         peers = \"{peers_listen}\"\n\
         operators = \"{operators}\"\n\
         metrics = \"{metrics}\"\n\
         [platform]\n\
         object_api = \"{}\"\n\
         host_list = \"{}\"\n\
         [fleet]\n\
         key = \"{FLEET_KEY}\"\n\
         source = \"{}\"\n\
         [operators]\n\
         key = \"{OPERATOR_KEY}\"\n\
         [limits]\n\
         drain_timeout_ms = {DRAIN_TIMEOUT_MS}\n\
         [log]\n\
         level = \"warn\"\n",
        platform.object_api,
        platform.host_list,
        peers_listen.ip(),
    )
}
