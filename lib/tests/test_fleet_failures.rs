//! Tests of several daemons together while hosts crash, stop or are replaced, and while the
//! platform (the external system that stores the configuration and the host list) is unavailable.
//!
//! Each daemon is one host, which accepts requests and forwards them to backend servers. An engine
//! is a backend server that runs a language model. The servers of one service in one failure domain
//! are a shard (`pools` in a status), and one host of the domain schedules it. A server is cold
//! until its capacity is learnt, and warm from then on. A request to a cold server needs a slot,
//! one unit of the server's limit.

mod fleet;

use std::time::Duration;

use cardamomshift_lib::host::ServiceKind;
use cardamomshift_lib::message::ServerPhase;
use cardamomshift_testutils::EngineOutcome;
use cardamomshift_testutils::EngineProfile;
use cardamomshift_testutils::HostListHandle;
use cardamomshift_testutils::ModelEngine;
use cardamomshift_testutils::Outage;
use cardamomshift_testutils::PlainService;
use fleet::Fleet;
use fleet::call;
use fleet::loopback;

const PATH: &str = "/v1/chat/completions";

/// Name and failure domain of each host.
const HOSTS: [(&str, &str); 4] = [
    ("dakar-1", "dakar-plateau"),
    ("dakar-2", "dakar-plateau"),
    ("dakar-3", "dakar-plateau"),
    ("rufisque-1", "dakar-rufisque"),
];

fn body(tokens: u32) -> String {
    format!(
        r#"{{"model":"fitting","stream":true,"max_tokens":{tokens},
        "messages":[{{"role":"user","content":"describe"}}]}}"#
    )
}

/// Starts the [`HOSTS`] with an engine in the failure domain of the first three. The host at index
/// 3 is in another domain, so it never schedules the engine's shard.
async fn fleet_with_engine(engine: &ModelEngine) -> Fleet {
    let mut fleet = Fleet::start(&["shop-one", "shop-two"]);
    for (name, domain) in HOSTS {
        fleet.add_host(name, domain);
    }
    let address = engine.address();
    fleet.add_server(
        "engine-1",
        "dakar-plateau",
        address,
        ("fitting", ServiceKind::Model),
    );
    fleet.wait_until_converged().await;
    fleet
}

/// Crashes a host and removes it from the host list.
fn remove_host(hosts: &HostListHandle, fleet: &mut Fleet, index: usize) {
    let member = fleet.daemons.remove(index);
    hosts.remove(&member.name);
    drop(member);
}

/// Whether a streamed response has arrived up to its end mark.
fn is_complete(response: &hyper::Response<bytes::Bytes>) -> bool {
    let text = String::from_utf8_lossy(response.body());
    response.status() == 200 && text.trim_end().ends_with("data: [DONE]")
}

/// Every waiting request is served although two of the three hosts in the shard's failure domain
/// crash while they wait, each time the one that schedules the shard.
#[tokio::test]
async fn waiting_requests_survive_the_crash_of_their_scheduler() {
    let engine = ModelEngine::start(loopback());
    let mut fleet = fleet_with_engine(&engine).await;
    let callers = fleet.daemons[3].callers;
    let requests: Vec<_> = (0..12)
        .map(|_| tokio::spawn(async move { call(callers, "shop-one", PATH, &[], body(40)).await }))
        .collect();
    fleet
        .wait_until_any(|status| status.pools.iter().any(|pool| pool.running > 0))
        .await;
    for _ in 0..2 {
        let scheduler = fleet.scheduler().await;
        fleet.daemons.remove(scheduler);
    }
    for request in requests {
        let response = request.await.unwrap();
        assert!(is_complete(&response), "{response:?}");
    }
}

/// A host in a planned stop forwards its open stream to the end before it exits.
#[tokio::test]
async fn planned_stop_completes_open_streams() {
    let engine = ModelEngine::start(loopback());
    let mut fleet = fleet_with_engine(&engine).await;
    let callers = fleet.daemons[3].callers;
    let request = tokio::spawn(async move {
        call(
            callers,
            "shop-one",
            "/v1/chat/completions",
            &[],
            body(2_000),
        )
        .await
    });
    while engine.handle().running() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let mut stopping = fleet.daemons.remove(3);
    stopping.daemon.stop();
    stopping.daemon.stopped().await;
    let response = request.await.unwrap();
    assert!(is_complete(&response), "{response:?}");
    let records = engine.handle().records();
    assert!(
        records
            .iter()
            .all(|record| record.outcome == EngineOutcome::Complete)
    );
}

/// While the platform is unavailable, hosts keep serving with the configuration and host list that
/// they have. An operation with an idempotency key needs a record on the platform and is therefore
/// refused, with the statement that it was not run.
#[tokio::test]
async fn requests_are_served_during_a_platform_outage() {
    let engine = ModelEngine::start(loopback());
    let service = PlainService::start(loopback());
    let fleet = fleet_with_engine(&engine).await;
    fleet.add_server(
        "shop-1",
        "dakar-rufisque",
        service.address(),
        ("shop", ServiceKind::Plain),
    );
    fleet.wait_until_converged().await;
    fleet.objects.handle().set_outage(Outage::Broken);
    fleet.hosts.handle().set_outage(true);
    let callers = fleet.daemons[0].callers;
    let model = call(callers, "shop-one", PATH, &[], body(8)).await;
    assert!(is_complete(&model), "{model:?}");
    let plain = call(callers, "shop-two", "/services/shop/book", &[], "{}").await;
    assert_eq!(plain.status(), 200, "{plain:?}");
    let keyed = [("idempotency-key", "booking-1")];
    let refused = call(callers, "shop-two", "/services/shop/book", &keyed, "{}").await;
    let text = String::from_utf8_lossy(refused.body());
    assert_eq!(refused.status(), 503, "{text}");
    assert!(text.contains(r#""outcome":"not_run""#), "{text}");
    assert_eq!(service.handle().executions().len(), 1);
}

/// Requests are served as before after one host has joined and another one has been removed.
#[tokio::test]
async fn hosts_are_replaced_while_requests_run() {
    let engine = ModelEngine::start_with(loopback(), EngineProfile::default());
    let mut fleet = fleet_with_engine(&engine).await;
    let hosts = fleet.hosts.handle();
    let callers = fleet.daemons[3].callers;
    for index in 4..7 {
        fleet.add_host(&format!("dakar-{index}"), "dakar-plateau");
        remove_host(&hosts, &mut fleet, 0);
        fleet.wait_until_converged().await;
        let response = call(callers, "shop-two", PATH, &[], body(8)).await;
        assert!(is_complete(&response), "{response:?}");
    }
}

/// A host in a planned stop serves requests that still arrive, because the load balancer needs time
/// to stop sending them there.
#[tokio::test]
async fn stopping_host_serves_requests_that_still_arrive() {
    let engine = ModelEngine::start(loopback());
    let mut fleet = fleet_with_engine(&engine).await;
    let mut stopping = fleet.daemons.remove(3);
    stopping.daemon.stop();
    let mut view = stopping.daemon.control().watch_view();
    view.wait_for(|view| view.stopping).await.unwrap();
    let response = call(stopping.callers, "shop-one", PATH, &[], body(8)).await;
    assert!(is_complete(&response), "{response:?}");
    stopping.daemon.stopped().await;
}

/// A host crashes while its request holds the only slot of a cold server. The slot stays occupied
/// while the host is listed, and is freed once the host list drops the host, however long after the
/// crash.
#[tokio::test]
async fn slot_of_a_crashed_host_is_freed_once_the_host_is_unlisted() {
    let engine = ModelEngine::start(loopback());
    let mut fleet = fleet_with_engine(&engine).await;
    let holder = fleet.daemons[3].callers;
    // The response to this request is lost when its host crashes.
    tokio::spawn(async move { call(holder, "shop-one", PATH, &[], body(2_000)).await });
    while engine.handle().running() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    fleet.daemons.remove(3);
    fleet
        .wait_until(|status| status.hosts.iter().any(|host| !host.alive))
        .await;
    let callers = fleet.daemons[0].callers;
    let waiting = tokio::spawn(async move { call(callers, "shop-two", PATH, &[], body(8)).await });
    fleet.wait_until_any(|status| status.waiting > 0).await;
    fleet.hosts.handle().remove("rufisque-1");
    let response = waiting.await.unwrap();
    assert!(is_complete(&response), "{response:?}");
}

/// A host crashes while it runs requests on a warm server, and stays in the host list. The capacity
/// that its requests take is freed all the same.
#[tokio::test]
async fn warm_server_capacity_of_a_crashed_host_is_freed() {
    let engine = ModelEngine::start(loopback());
    let mut fleet = fleet_with_engine(&engine).await;
    engine.handle().set_warm();
    let survivor = fleet.daemons[0].callers;
    while !fleet.has_server(ServerPhase::Warm).await {
        let ended = call(survivor, "shop-one", PATH, &[], body(8)).await;
        assert!(is_complete(&ended), "{ended:?}");
        let many = (0..8).map(|_| call(survivor, "shop-one", PATH, &[], body(8)));
        futures::future::join_all(many).await;
    }
    let holder = fleet.daemons[3].callers;
    for _ in 0..64 {
        tokio::spawn(async move { call(holder, "shop-one", PATH, &[], body(2_000)).await });
    }
    while engine.handle().running() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    fleet.daemons.remove(3);
    let response = call(survivor, "shop-two", PATH, &[], body(8)).await;
    assert!(is_complete(&response), "{response:?}");
    fleet
        .wait_until(|status| status.pools.iter().all(|pool| pool.running == 0))
        .await;
}
