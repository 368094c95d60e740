//! Decisions of an entry host, a reverse proxy between callers and backend servers: which requests
//! it admits, under which configuration, and to which servers it sends them.

mod entry;

use std::collections::HashSet;
use std::time::Duration;

use cardamomshift_lib::crashing::RequestDigest;
use cardamomshift_lib::entry::KnownOrigin;
use cardamomshift_lib::entry::Reason;
use cardamomshift_lib::entry::RequestOutcome;
use cardamomshift_lib::entry::RetryPolicy;
use cardamomshift_lib::entry::ScheduleDecision;
use cardamomshift_lib::entry::ServerChange;
use cardamomshift_lib::entry::Target;
use cardamomshift_lib::entry::VersionId;
use hyper::StatusCode;
use xxhash_rust::xxh3::xxh3_64;

use crate::entry::KEY;
use crate::entry::LEDGER;
use crate::entry::MODEL;
use crate::entry::at;
use crate::entry::config;
use crate::entry::default_routes;
use crate::entry::fleet;
use crate::entry::head;
use crate::entry::prompt;
use crate::entry::route;
use crate::entry::server;

/// Digest of a request of the tests.
const DIGEST: RequestDigest = RequestDigest {
    workspace: 1,
    content: 1,
};

/// Time at which the tests start, milliseconds.
const START_MS: u64 = 10_000;

#[test]
fn longest_path_prefix_on_matching_host_selects_route() {
    let routes = vec![
        route("short", "/a/", LEDGER, RetryPolicy::Idempotent),
        route("long", "/a/b/", LEDGER, RetryPolicy::Idempotent),
    ];
    let config = config(1, routes, &[]);
    let name = |host, path| config.route(host, path).map(|route| route.name.clone());
    assert_eq!(name("a.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("a.example", "/a/c").as_deref(), Some("short"));
    assert_eq!(name("a.example", "/b/"), None);
    assert_eq!(name("b.example", "/a/b/c"), None);
}

#[test]
fn target_weights_split_requests_proportionally() {
    let mut split = route("split", "/", LEDGER, RetryPolicy::Idempotent);
    split.targets = vec![
        Target {
            service: "x".into(),
            weight: 90,
        },
        Target {
            service: "y".into(),
            weight: 10,
        },
    ];
    let to_y = (0..1_000).filter(|point| split.service(*point).unwrap() == "y");
    assert_eq!(to_y.count(), 100);
}

/// Without a configuration a host cannot tell whether a route exists, so it must not answer 404.
#[test]
fn host_without_configuration_is_unready_and_refuses_with_503() {
    let identity = cardamomshift_lib::entry::HostIdentity {
        name: "h".into(),
        domain: "d".into(),
    };
    let mut fleet = cardamomshift_lib::entry::Fleet::new(identity, entry::bounds(), 1);
    let refusal = fleet.admit(at(START_MS), &head(None, at(START_MS + 4_000)), "/s/x");
    let refusal = refusal.unwrap_err();
    assert_eq!(refusal.reason, Reason::NoConfiguration);
    assert_eq!(refusal.reason.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(refusal.retry_after.is_some());
    assert!(!fleet.is_ready(at(START_MS)));
}

/// A host that is cut off from the platform may lack a newer configuration that allows the route or
/// key, so it must not reject them for good.
#[test]
fn unknown_routes_and_keys_are_rejected_only_with_a_recent_configuration() {
    let mut fleet = fleet(at(START_MS));
    let reason = |fleet: &mut cardamomshift_lib::entry::Fleet, now, key, path| {
        let head = head(key, at(now + 4_000));
        fleet
            .admit(at(now), &head, path)
            .map(|_| ())
            .unwrap_err()
            .reason
    };
    assert_eq!(
        reason(&mut fleet, START_MS, Some(KEY), "/no/"),
        Reason::NoRoute
    );
    assert_eq!(reason(&mut fleet, START_MS, None, "/s/x"), Reason::NoKey);
    assert_eq!(
        reason(&mut fleet, START_MS, Some("x"), "/s/x"),
        Reason::UnknownKey
    );
    // A configuration counts as recent for 2 s after it was confirmed.
    let later = START_MS + 4_000;
    let stale = Reason::StaleConfiguration;
    assert_eq!(reason(&mut fleet, later, Some(KEY), "/no/"), stale);
    assert_eq!(reason(&mut fleet, later, Some("x"), "/s/x"), stale);
}

#[test]
fn keys_are_refused_once_their_lease_may_have_expired() {
    let mut fleet = fleet(at(START_MS));
    // Keys are refused 300 ms before the end of their lease of 5 s.
    let late = at(START_MS + 4_800);
    let refusal = fleet.admit(late, &head(Some(KEY), at(START_MS + 9_000)), "/s/x");
    assert_eq!(refusal.unwrap_err().reason, Reason::StaleConfiguration);
    assert!(!fleet.is_ready(late));
    // Requests to routes without keys are still served.
    assert!(
        fleet
            .admit(late, &head(None, at(START_MS + 9_000)), "/w/x")
            .is_ok()
    );
    fleet.confirm_config(late);
    assert!(
        fleet
            .admit(late, &head(Some(KEY), at(START_MS + 9_000)), "/s/x")
            .is_ok()
    );
}

#[test]
fn older_configuration_versions_are_ignored() {
    let mut fleet = fleet(at(START_MS));
    assert!(fleet.apply_config(config(7, default_routes(), &["k7"])));
    assert!(!fleet.apply_config(config(6, default_routes(), &[KEY])));
    assert!(!fleet.apply_config(config(7, default_routes(), &[KEY])));
    fleet.confirm_config(at(START_MS));
    let admitted = fleet.admit(at(START_MS), &head(Some(KEY), at(START_MS + 4_000)), "/s/x");
    assert_eq!(admitted.unwrap_err().reason, Reason::UnknownKey);
}

#[test]
fn earlier_of_route_timeout_and_deadline_limits_the_request() {
    let mut fleet = fleet(at(START_MS));
    let admit = |fleet: &mut cardamomshift_lib::entry::Fleet, deadline| {
        let head = head(Some(KEY), at(deadline));
        fleet.admit(at(START_MS), &head, "/s/x").unwrap().give_up_at
    };
    assert_eq!(admit(&mut fleet, START_MS + 4_000), at(START_MS + 4_000));
    assert_eq!(admit(&mut fleet, START_MS + 9_000), at(START_MS + 6_000));
}

/// Callers that were refused come back with what is left of their deadline. Their objective counts
/// from the first attempt.
#[test]
fn a_much_shorter_deadline_marks_a_caller_retry() {
    let mut fleet = fleet(at(START_MS));
    let mut admit = |deadline| {
        let head = head(Some(KEY), at(START_MS + deadline));
        fleet.admit(at(START_MS), &head, "/s/x").unwrap()
    };
    assert!(!admit(6_000).is_caller_retry);
    // The first deadlines of callers vary by up to 15 %.
    assert!(!admit(5_150).is_caller_retry);
    // Less than 80 % of the longest deadline.
    let caller_retry = admit(4_500);
    assert!(caller_retry.is_caller_retry);
    assert_eq!(caller_retry.objective_at, at(START_MS));
}

#[test]
fn leaving_and_withdrawn_servers_get_no_requests() {
    let mut fleet = fleet(at(START_MS));
    let mut leaving = server("l1", LEDGER, "d1");
    leaving.is_leaving = true;
    assert_eq!(
        fleet.announce_server(at(START_MS), leaving),
        ServerChange::Leaving
    );
    assert!(fleet.withdraw_server(at(START_MS), "l2", None));
    let refusal = fleet
        .place(at(START_MS), &LEDGER.into(), None, &[])
        .unwrap_err();
    assert_eq!(refusal.reason, Reason::NoServer);
}

/// Announcements expire while servers cannot renew them during an outage of the platform. The
/// servers still run, so dropping them at once would leave requests without a server.
#[test]
fn servers_missing_after_a_platform_outage_stay_usable_for_a_grace_period() {
    let mut fleet = fleet(at(START_MS));
    let missing = fleet.apply_server_list(
        at(START_MS),
        vec![server("l1", LEDGER, "d1")],
        Some(at(START_MS + 1_800)),
    );
    assert_eq!(missing, ["l2", "m1", "m2"]);
    let has_usable_engine = |fleet: &mut cardamomshift_lib::entry::Fleet, now| {
        let head = head(Some(KEY), at(now + 4_000));
        fleet.confirm_config(at(now));
        let admitted = fleet.admit(at(now), &head, "/s/x").unwrap();
        fleet
            .schedule_request(at(now), &admitted, &prompt(), DIGEST, &[])
            .is_ok()
    };
    assert!(has_usable_engine(&mut fleet, START_MS + 1_700));
    assert!(!has_usable_engine(&mut fleet, START_MS + 1_800));
    // A server that announces itself again stays in use.
    fleet.announce_server(at(START_MS), server("m1", MODEL, "d1"));
    let removed = fleet.sweep(at(START_MS + 1_900));
    let removed: HashSet<_> = removed.iter().map(|name| name.as_str()).collect();
    assert_eq!(removed, HashSet::from(["l2", "m2"]));
    assert!(has_usable_engine(&mut fleet, START_MS + 2_000));
}

#[test]
fn evacuated_domains_get_no_requests_until_restored() {
    let mut fleet = fleet(at(START_MS));
    fleet.set_evacuated(HashSet::from(["d1".into()]));
    let placed = fleet
        .place(at(START_MS), &LEDGER.into(), None, &[])
        .unwrap();
    assert_eq!(placed.entry.instance, "l2");
    fleet.set_evacuated(HashSet::from(["d1".into(), "d2".into()]));
    assert!(
        fleet
            .place(at(START_MS), &LEDGER.into(), None, &[])
            .is_err()
    );
    fleet.set_evacuated(HashSet::new());
    let placed = fleet
        .place(at(START_MS), &LEDGER.into(), None, &[])
        .unwrap();
    assert_eq!(placed.entry.instance, "l1");
}

#[test]
fn restarted_instance_is_a_new_server() {
    let mut fleet = fleet(at(START_MS));
    let placed = fleet
        .place(at(START_MS), &LEDGER.into(), None, &[])
        .unwrap();
    let mut restarted = server("l1", LEDGER, "d1");
    restarted.started_at_ms = 5;
    assert_eq!(
        fleet.announce_server(at(START_MS), restarted),
        ServerChange::Arrived
    );
    let again = fleet
        .place(at(START_MS), &LEDGER.into(), None, &[])
        .unwrap();
    assert_ne!(placed.server, again.server);
    // The end of a request to the earlier incarnation leaves the new one's load unchanged.
    fleet.end(at(START_MS), placed.flight, RequestOutcome::Answered);
    assert_eq!(fleet.servers().get(again.server).unwrap().load.requests, 1);
}

#[test]
fn cold_servers_get_at_most_the_share_of_this_host() {
    let mut fleet = fleet(at(START_MS));
    for name in ["l1", "l2"] {
        let mut cold = server(name, LEDGER, "d1");
        cold.cold_until = at(START_MS + 3_000);
        fleet.announce_server(at(START_MS), cold);
    }
    let mut sent = 0;
    while fleet.place(at(START_MS), &LEDGER.into(), None, &[]).is_ok() {
        sent += 1;
        assert!(sent < 100, "cold servers get requests without a limit");
    }
    // Each of the two servers may get 14 requests a second (9.8 times 1.5). The share of one of the
    // six hosts is two or three.
    assert!((4..=6).contains(&sent), "{sent}");
    let refusal = fleet
        .place(at(START_MS), &LEDGER.into(), None, &[])
        .unwrap_err();
    assert_eq!(refusal.reason, Reason::ServersCold);
    assert!(
        fleet
            .place(at(START_MS + 1_000), &LEDGER.into(), None, &[])
            .is_ok()
    );
}

#[test]
fn unreachable_servers_are_skipped_and_count_as_cold() {
    let mut fleet = fleet(at(START_MS));
    let placed = fleet
        .place(at(START_MS), &LEDGER.into(), None, &[])
        .unwrap();
    fleet.end(at(START_MS), placed.flight, RequestOutcome::Unreachable);
    let known = fleet.servers().get(placed.server).unwrap();
    assert!(known.is_cold(at(START_MS + 2_000)));
    let other = fleet
        .place(at(START_MS), &LEDGER.into(), None, &[])
        .unwrap();
    assert_ne!(placed.server, other.server);
    // The backoff after a first failed connection is 250 ms.
    assert!(
        fleet
            .servers()
            .get(placed.server)
            .unwrap()
            .reachability
            .allows_requests(at(START_MS + 300))
    );
}

/// Avoiding every server of a service because of a common fault would leave it without any.
#[test]
fn servers_failing_more_than_others_are_avoided_unless_all_fail() {
    let mut fleet = fleet(at(START_MS));
    let run = |fleet: &mut cardamomshift_lib::entry::Fleet, name: &str, end| {
        let other = if name == "l1" { "l2" } else { "l1" };
        let tried = fleet.servers().key_of(other).unwrap();
        let placed = fleet
            .place(at(START_MS), &LEDGER.into(), None, &[tried])
            .unwrap();
        fleet.end(at(START_MS), placed.flight, end);
    };
    for _ in 0..6 {
        run(&mut fleet, "l1", RequestOutcome::Failed);
        run(&mut fleet, "l2", RequestOutcome::Answered);
    }
    for _ in 0..5 {
        let placed = fleet
            .place(at(START_MS), &LEDGER.into(), None, &[])
            .unwrap();
        assert_eq!(placed.entry.instance, "l2");
    }
    // Now both fail, so neither fails much more than is usual for the service.
    for _ in 0..40 {
        run(&mut fleet, "l2", RequestOutcome::Failed);
    }
    let placed = fleet
        .place(at(START_MS), &LEDGER.into(), None, &[])
        .unwrap();
    assert_eq!(
        placed.entry.instance, "l1",
        "less loaded, and not failing more than the other"
    );
}

#[test]
fn misdirected_response_removes_a_server_from_use() {
    let mut fleet = fleet(at(START_MS));
    let placed = fleet
        .place(at(START_MS), &LEDGER.into(), None, &[])
        .unwrap();
    fleet.end(at(START_MS), placed.flight, RequestOutcome::Misdirected);
    for _ in 0..5 {
        let placed = fleet
            .place(at(START_MS), &LEDGER.into(), None, &[])
            .unwrap();
        assert_eq!(placed.entry.instance, "l2");
    }
}

#[test]
fn scheduled_server_unusable_on_this_host_is_rejected() {
    let mut fleet = fleet(at(START_MS));
    let head = head(Some(KEY), at(START_MS + 6_000));
    let admitted = fleet.admit(at(START_MS), &head, "/s/x").unwrap();
    let request = fleet
        .schedule_request(at(START_MS), &admitted, &prompt(), DIGEST, &[])
        .unwrap();
    let ScheduleDecision::Start { server: chosen, .. } = fleet.decide(at(START_MS), &request)
    else {
        panic!("request refused although the engines are idle");
    };
    let names = ["m1", "m2"];
    let key = |name: &&str| {
        let key = fleet.servers().key_of(name).unwrap();
        fleet.servers().get(key).unwrap().hash == chosen
    };
    let name = *names.iter().find(|name| key(name)).unwrap();
    assert!(fleet.withdraw_server(at(START_MS), name, None));
    let started = fleet.place_scheduled(at(START_MS), &admitted, &prompt(), None, chosen, 300);
    assert!(started.is_none());
}

#[test]
fn connection_limit_of_a_server_is_divided_among_hosts() {
    let mut fleet = fleet(at(START_MS));
    fleet.withdraw_server(at(START_MS), "l2", None);
    // A server takes 360 connections, which six hosts share.
    let placed = (0..100).filter(|_| fleet.place(at(START_MS), &LEDGER.into(), None, &[]).is_ok());
    assert_eq!(placed.count(), 60);
}

#[test]
fn a_stopping_host_is_not_ready() {
    let mut fleet = fleet(at(START_MS));
    assert!(fleet.is_ready(at(START_MS)));
    fleet.stop();
    assert!(!fleet.is_ready(at(START_MS)));
}

#[test]
fn connections_refused_unread_count_as_requests_of_the_usual_workspaces() {
    let now = at(START_MS);
    let mut fleet = fleet(now);
    let head = head(Some(KEY), at(START_MS + 6_000));
    let admitted = fleet.admit(now, &head, "/s/x").unwrap();
    let prompt = prompt();
    let tokens = u64::from(prompt.input_tokens) + u64::from(prompt.output_tokens());
    let mut refused_tokens = |refused| {
        fleet.on_connections_refused(refused);
        let request = fleet.schedule_request(now, &admitted, &prompt, DIGEST, &[]);
        request.unwrap().refused_tokens
    };
    // Nothing is known yet of what callers send to this host.
    assert_eq!(refused_tokens(30), 0);
    assert_eq!(refused_tokens(30), 30 * tokens);
    assert_eq!(refused_tokens(0), 0);
}

/// A deadline that a caller of one workspace states must not decide for the others.
#[test]
fn caller_with_an_endless_deadline_does_not_end_the_knowledge_of_a_single_version() {
    let mut fleet = fleet(at(START_MS));
    let endless = at(START_MS) + Duration::from_secs(1 << 40);
    fleet
        .admit(at(START_MS), &head(Some(KEY), endless), "/s/1")
        .unwrap();
    for second in 0..200 {
        let now = at(START_MS + second * 1_000);
        fleet.confirm_servers(now);
        fleet.sweep(now);
    }
    let now = at(START_MS + 199_000);
    let origin = fleet.stream_origin(now, None, xxh3_64(MODEL.as_bytes()));
    let expected = VersionId::new(MODEL, "v1");
    assert_eq!(origin, KnownOrigin::OnlyVersion(expected));
}

/// Guards against a workspace that floods a host which is then behind its work, and so costs the others
/// at that host their requests.
#[test]
fn only_workspaces_with_many_requests_count_as_busy() {
    let now = at(START_MS);
    let mut fleet = fleet(now);
    let head = head(Some(KEY), at(START_MS + 4_000));
    let one = fleet.admit(now, &head, "/s/x").unwrap();
    let mut flooding = one.clone();
    flooding.workspace = Some("flooding".into());
    let mut idle = one.clone();
    idle.workspace = Some("idle".into());
    for n in 0..100 {
        fleet.on_refused_locally(&flooding, &prompt());
        if n % 10 == 0 {
            fleet.on_refused_locally(&one, &prompt());
        }
    }
    assert!(fleet.is_busy_workspace(&flooding));
    assert!(!fleet.is_busy_workspace(&one));
    assert!(!fleet.is_busy_workspace(&idle));
    // Once the flood is over, it does not count for long.
    for _ in 0..100 {
        fleet.on_connections_refused(0);
    }
    fleet.on_refused_locally(&one, &prompt());
    assert!(fleet.is_busy_workspace(&one));
    assert!(!fleet.is_busy_workspace(&flooding));
}
