//! Tests of the stand-in host list: reads, long polls, lag and outage.

mod common;

use std::time::Duration;

use cardamomshift_lib::host::HostEntry;
use cardamomshift_lib::host::HostList;
use cardamomshift_lib::host::HostState;
use cardamomshift_lib::host::Role;
use cardamomshift_testutils::HostListApi;
use common::TestResponse;
use common::any_port;
use common::get;
use hyper::StatusCode;

fn entry(name: &str) -> HostEntry {
    HostEntry {
        name: name.into(),
        domain: "bern-a".into(),
        role: Role::Entry,
        state: HostState::Live,
        address: any_port(),
        services: Vec::new(),
        checks_fencing: false,
    }
}

fn list(response: &TestResponse) -> HostList {
    serde_json::from_slice(&response.body).expect("body as host list")
}

#[tokio::test]
async fn reader_waits_for_a_newer_list() {
    let api = HostListApi::start(any_port());
    let at = api.address();
    let handle = api.handle();
    assert_eq!(list(&get(at, "/hosts").await), HostList::default());
    let reader = tokio::spawn(async move { get(at, "/hosts?after=0&timeout_ms=10000").await });
    handle.put(entry("one"));
    let seen = list(&reader.await.expect("task of the reader"));
    assert_eq!((seen.revision, seen.hosts.len()), (1, 1));
    handle.set_leaving("one");
    let seen = list(&get(at, "/hosts?after=1").await);
    assert_eq!(seen.hosts[0].state, HostState::Leaving);
    handle.remove("one");
    assert!(list(&get(at, "/hosts").await).hosts.is_empty());
    let idle = get(at, "/hosts?after=3&timeout_ms=10").await;
    assert_eq!(idle.status, StatusCode::NOT_MODIFIED);
    handle.set_outage(true);
    let outage = get(at, "/hosts").await;
    assert_eq!(outage.status, StatusCode::SERVICE_UNAVAILABLE);
}

#[tokio::test]
async fn lagging_changes_keep_their_order() {
    let api = HostListApi::start(any_port());
    let handle = api.handle();
    handle.set_lag(Duration::from_millis(30));
    for name in ["one", "two", "three"] {
        handle.put(entry(name));
    }
    handle.remove("three");
    assert_eq!(handle.list().revision, 0);
    get(api.address(), "/hosts?after=3&timeout_ms=10000").await;
    let names: Vec<_> = handle.list().hosts.into_iter().map(|h| h.name).collect();
    assert_eq!(names, ["one", "two"]);
}
