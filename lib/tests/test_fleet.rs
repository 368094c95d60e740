//! Tests of several daemons together: routing of requests, configuration changes, and start-up.
//!
//! Each daemon is one host, which accepts requests and forwards them to backend servers: engines,
//! which run a language model, and plain services, which are HTTP services of any other kind. The
//! platform is the external system that stores the configuration and the host list.

mod fleet;

use cardamomshift_lib::host::ServiceKind;
use cardamomshift_lib::runtime::Daemon;
use cardamomshift_testutils::EngineProfile;
use cardamomshift_testutils::ModelEngine;
use cardamomshift_testutils::PlainService;
use fleet::Fleet;
use fleet::OPERATOR_KEY;
use fleet::call;
use fleet::loopback;

const OPERATOR_CHANGE: &str =
    r#"{"id":"change-1","change":{"kind":"set_class","name":"live","target_ms":900}}"#;

const STREAMED: &str =
    r#"{"model":"ruling","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"x"}]}"#;

/// Two hosts in one failure domain and one in another, without backend servers.
fn two_domains() -> Fleet {
    let mut fleet = Fleet::start(&["arcade-one", "arcade-two"]);
    for (name, domain) in [
        ("bern-1", "bern-a"),
        ("bern-2", "bern-a"),
        ("zurich-1", "zurich-b"),
    ] {
        fleet.add_host(name, domain);
    }
    fleet
}

#[tokio::test]
async fn streamed_response_is_complete_through_every_host() {
    let fleet = two_domains();
    let engine = ModelEngine::start_with(loopback(), EngineProfile::instant());
    fleet.add_server(
        "engine-1",
        "bern-a",
        engine.address(),
        ("ruling", ServiceKind::Model),
    );
    fleet.wait_until_converged().await;
    for member in &fleet.daemons {
        let response = call(
            member.callers,
            "arcade-one",
            "/v1/chat/completions",
            &[],
            STREAMED,
        )
        .await;
        let text = String::from_utf8(response.body().to_vec()).unwrap();
        assert_eq!(response.status(), 200, "{}: {text}", member.name);
        assert!(text.trim_end().ends_with("data: [DONE]"), "{text}");
    }
    assert_eq!(engine.handle().records().len(), fleet.daemons.len());
}

#[tokio::test]
async fn plain_request_is_served_by_a_server_in_another_domain() {
    let fleet = two_domains();
    let service = PlainService::start(loopback());
    fleet.add_server(
        "league-1",
        "zurich-b",
        service.address(),
        ("league", ServiceKind::Plain),
    );
    fleet.wait_until_converged().await;
    let bern = &fleet.daemons[0];
    let response = call(
        bern.callers,
        "arcade-two",
        "/services/league/scores",
        &[("x-operation", "score-1")],
        "{}",
    )
    .await;
    assert_eq!(response.status(), 200, "{:?}", response.body());
    assert_eq!(service.handle().executions().len(), 1);
}

/// A change that the operators' interface of one host accepts is stored on the platform and reaches
/// the other hosts.
#[tokio::test]
async fn accepted_change_is_in_force_on_every_host() {
    let fleet = two_domains();
    fleet.wait_until_converged().await;
    let operators = fleet.daemons[2].operators;
    let response = call(operators, OPERATOR_KEY, "/changes", &[], OPERATOR_CHANGE).await;
    assert_eq!(response.status(), 200, "{:?}", response.body());
    let stored = fleet
        .objects
        .handle()
        .get("configuration", "fleet")
        .unwrap();
    fleet.wait_until(|status| status.revision == stored.0).await;
    let view = fleet.daemons[0].daemon.control().view();
    let configuration = view.configuration.clone().unwrap();
    assert!(configuration.class("live").is_some());
}

#[tokio::test]
async fn start_fails_with_the_name_of_a_listener_in_use_and_closes_the_others() {
    let mut fleet = Fleet::start(&["arcade-one"]);
    let taken = std::net::TcpListener::bind(loopback()).unwrap();
    let mut settings = fleet.settings("bern-1", "bern-a");
    settings.listen.operators = taken.local_addr().unwrap();
    let callers = settings.listen.callers;
    let err = Daemon::start(settings)
        .err()
        .expect("start must fail while the port is in use");
    assert!(err.to_string().contains("operators"), "{err}");
    // The listeners that the failed start had opened are closed, so another daemon can use their
    // addresses.
    let mut settings = fleet.settings("bern-1", "bern-a");
    settings.listen.callers = callers;
    fleet.add_host_with_settings("bern-1", "bern-a", settings);
}
