//! Generated settings, stored configuration, host list and addresses of a fleet.

use cardamomshift_bench::fleet::Fleet;
use cardamomshift_bench::fleet::FleetPlan;
use cardamomshift_lib::host::Role;
use cardamomshift_lib::settings::Settings;

#[test]
fn every_host_has_valid_settings() {
    for relays in [false, true] {
        let plan = FleetPlan {
            relays,
            ..FleetPlan::teranga()
        };
        let fleet = Fleet::start(plan);
        assert_eq!(fleet.hosts().len(), 6);
        for host in fleet.hosts() {
            let settings =
                Settings::parse(&fleet.settings_text(host)).expect("generated settings are valid");
            assert_eq!(settings.host.name, host.name);
            assert_eq!(settings.fleet.source, Some(host.peers.ip()));
        }
    }
}

#[test]
fn configuration_and_host_list_match_the_plan() {
    let fleet = Fleet::start(FleetPlan::flipperliga());
    let configuration = fleet.stored_configuration();
    assert_eq!(configuration.workspaces.len(), 6);
    assert_eq!(configuration.classes[0].name, "ruling");
    let list = fleet.platform().hosts().list();
    let entries = list.hosts.iter().filter(|h| h.role == Role::Entry);
    assert_eq!(entries.count(), 8);
    let backends = list.hosts.iter().filter(|h| h.role == Role::Backend);
    assert_eq!(backends.count(), 12);
    assert_eq!(fleet.domain_addresses("bern-a").len(), 5);
}

#[test]
fn fleets_on_one_machine_use_separate_addresses() {
    let first = Fleet::start(FleetPlan::teranga());
    let second = Fleet::start(FleetPlan::teranga());
    assert_ne!(first.subnet().platform(), second.subnet().platform());
}
