//! Tests of the stand-in object API: conditional writes, watches and injected faults.

mod common;

use std::time::Duration;

use cardamomshift_testutils::ObjectApi;
use cardamomshift_testutils::Outage;
use common::any_port;
use common::call;
use common::get;
use hyper::StatusCode;

const PATH: &str = "/objects/configuration/fleet";

#[tokio::test]
async fn conditional_writes_conflict() {
    let api = ObjectApi::start(any_port());
    let at = api.address();
    assert_eq!(get(at, PATH).await.status, StatusCode::NOT_FOUND);
    let created = call(at, "PUT", PATH, &[("if-none-match", "*")], "one").await;
    let version = created.expect("response to the creation").version();
    let again = call(at, "PUT", PATH, &[("if-none-match", "*")], "two").await;
    let refused = StatusCode::PRECONDITION_FAILED;
    assert_eq!(again.expect("response").status, refused);
    let text = version.to_string();
    let changed = call(at, "PUT", PATH, &[("if-match", &text)], "two").await;
    assert!(changed.expect("response to the change").version() > version);
    let late = call(at, "PUT", PATH, &[("if-match", &text)], "three").await;
    assert_eq!(late.expect("response").status, refused);
    assert_eq!(get(at, PATH).await.text(), "two");
    let names = get(at, "/objects/configuration").await;
    assert_eq!(names.text(), "[\"fleet\"]");
    let unconditional = call(at, "PUT", PATH, &[], "four").await;
    let required = StatusCode::PRECONDITION_REQUIRED;
    assert_eq!(unconditional.expect("response").status, required);
    let large = vec![0_u8; (1 << 20) + 1];
    let large = call(at, "PUT", PATH, &[("if-none-match", "*")], large).await;
    assert_eq!(
        large.expect("response").status,
        StatusCode::PAYLOAD_TOO_LARGE
    );
    let version = get(at, PATH).await.version().to_string();
    let deleted = call(at, "DELETE", PATH, &[("if-match", &version)], "").await;
    assert_eq!(
        deleted.expect("response to the deletion").status,
        StatusCode::OK
    );
    assert_eq!(get(at, PATH).await.status, StatusCode::NOT_FOUND);
    assert_eq!(api.handle().writes().len(), 3);
}

#[tokio::test]
async fn watch_waits_for_a_newer_version() {
    let api = ObjectApi::start(any_port());
    let at = api.address();
    let handle = api.handle();
    let watch =
        tokio::spawn(async move { get(at, &format!("{PATH}?watch=0&timeout_ms=10000")).await });
    while handle.counts().waiting_watches == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let version = handle.put("configuration", "fleet", "one");
    let response = watch.await.expect("task of the watch");
    assert_eq!(response.version(), version);
    assert_eq!(handle.counts().waiting_watches, 0);
    let idle = get(at, &format!("{PATH}?watch={version}&timeout_ms=20")).await;
    assert_eq!(idle.status, StatusCode::NOT_MODIFIED);
}

#[tokio::test]
async fn dropped_response_follows_the_write() {
    let api = ObjectApi::start(any_port());
    let handle = api.handle();
    handle.drop_write_responses(1);
    let result = call(api.address(), "PUT", PATH, &[("if-none-match", "*")], "x").await;
    assert!(result.is_err());
    assert!(handle.get("configuration", "fleet").is_some());
    assert_eq!(get(api.address(), PATH).await.text(), "x");
}

#[tokio::test]
async fn outage_ends_waiting_watches() {
    let api = ObjectApi::start(any_port());
    let at = api.address();
    let handle = api.handle();
    let watch =
        tokio::spawn(async move { get(at, &format!("{PATH}?watch=0&timeout_ms=10000")).await });
    while handle.counts().waiting_watches == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    handle.set_outage(Outage::Unavailable);
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    assert_eq!(watch.await.expect("task of the watch").status, unavailable);
    assert_eq!(get(at, PATH).await.status, unavailable);
    handle.set_outage(Outage::Broken);
    assert!(call(at, "GET", PATH, &[], "").await.is_err());
    handle.set_outage(Outage::None);
    assert_eq!(get(at, PATH).await.status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn stale_reads_and_rate_limit() {
    let api = ObjectApi::start(any_port());
    let handle = api.handle();
    let old = handle.put("configuration", "fleet", "old");
    handle.serve_stale(Duration::from_secs(60));
    handle.put("configuration", "fleet", "new");
    let stale = get(api.address(), PATH).await;
    assert_eq!((stale.version(), stale.text().as_str()), (old, "old"));
    handle.serve_stale(Duration::ZERO);
    assert_eq!(get(api.address(), PATH).await.text(), "new");
    handle.set_rate_limit(1);
    let mut limited = 0;
    for _ in 0..5 {
        let status = get(api.address(), PATH).await.status;
        limited += u64::from(status == StatusCode::TOO_MANY_REQUESTS);
    }
    assert!(limited > 0);
    assert_eq!(handle.counts().limited, limited);
}
