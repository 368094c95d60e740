//! The operators' HTTP interface of a host, over a fake of the platform's object API.

mod operator_host;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cardamomshift_lib::configuration::Configuration;
use cardamomshift_lib::configuration::hash_key;
use cardamomshift_lib::platform::CONFIGURATION_KIND;
use cardamomshift_lib::platform::CONFIGURATION_NAME;
use cardamomshift_testutils::ObjectApi;
use cardamomshift_testutils::Outage;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use operator_host::KEY;
use operator_host::OperatorHost;
use serde_json::Value;
use serde_json::json;

struct Fixture {
    api: ObjectApi,
    host: OperatorHost,
}

impl Fixture {
    async fn start() -> Self {
        let api = ObjectApi::start("127.0.0.1:0".parse().unwrap());
        let host = OperatorHost::start("entry-1", api.address()).await;
        Self { api, host }
    }

    async fn get(&self, path: &str) -> (u16, Value) {
        call(self.host.address, Method::GET, path, KEY, String::new()).await
    }

    async fn change(&self, id: &str, change: Value) -> (u16, Value) {
        let body = json!({ "id": id, "change": change });
        self.post(body.to_string()).await
    }

    async fn post(&self, body: String) -> (u16, Value) {
        call(self.host.address, Method::POST, "/changes", KEY, body).await
    }

    fn stored(&self) -> Option<Configuration> {
        let object = self
            .api
            .handle()
            .get(CONFIGURATION_KIND, CONFIGURATION_NAME);
        let (version, bytes) = object?;
        Some(Configuration::parse(version, &bytes).unwrap())
    }
}

async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    key: &str,
    body: String,
) -> (u16, Value) {
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {key}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .unwrap();
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(req).await.unwrap();
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    (status, serde_json::from_slice(&body).unwrap())
}

/// Returns the HTTP status and the error code of a response.
fn status_and_code(response: &(u16, Value)) -> (u16, &str) {
    (response.0, response.1["error"]["code"].as_str().unwrap())
}

fn create(name: &str) -> Value {
    json!({ "kind": "create_workspace", "name": name, "key_hash": hash_key(name.as_bytes()) })
}

fn take_domain_out(name: &str) -> Value {
    json!({ "kind": "take_domain_out", "name": name })
}

#[tokio::test]
async fn requests_without_the_key_are_unauthorized() {
    let fixture = Fixture::start().await;
    let address = fixture.host.address;
    for key in ["", "wrong", &KEY[1..], &format!("{KEY}x")] {
        for (method, path) in [(Method::GET, "/status"), (Method::POST, "/changes")] {
            let response = call(address, method, path, key, String::new()).await;
            assert_eq!(status_and_code(&response), (401, "unauthorized"));
            assert!(!response.1.to_string().contains(KEY));
        }
    }
    assert_eq!(fixture.get("/status").await.0, 200);
}

#[tokio::test]
async fn accepted_change_is_stored_and_in_force() {
    let fixture = Fixture::start().await;
    assert_eq!(
        status_and_code(&fixture.get("/configuration").await),
        (503, "no_configuration")
    );
    let (status, response) = fixture.change("c1", create("arcade-a")).await;
    assert_eq!((status, &response["effect"]), (200, &json!("made")));
    let stored = fixture.stored().unwrap();
    assert_eq!(response["revision"], stored.revision);
    assert!(stored.workspace("arcade-a").is_some());

    let mut view = fixture.host.control.watch_view();
    view.wait_for(|view| view.configuration.is_some())
        .await
        .unwrap();
    let (_, shown) = fixture.get("/configuration").await;
    assert_eq!(shown["workspaces"][0]["name"], "arcade-a");
    let hash = hash_key(b"arcade-a");
    assert!(!shown.to_string().contains(hash.as_str()), "{shown}");
}

#[tokio::test]
async fn repeated_change_is_stored_once() {
    let fixture = Fixture::start().await;
    fixture.change("c1", create("arcade-a")).await;
    let (status, response) = fixture.change("c1", create("arcade-a")).await;
    assert_eq!(
        (status, &response["effect"]),
        (200, &json!("stored_before"))
    );
    assert_eq!(fixture.stored().unwrap().changes.len(), 1);
    let other = fixture.change("c1", create("arcade-b")).await;
    assert_eq!(status_and_code(&other), (409, "change_refused"));
}

#[tokio::test]
async fn lost_response_of_the_platform_is_resolved() {
    let fixture = Fixture::start().await;
    fixture.api.handle().drop_write_responses(1);
    let (status, response) = fixture.change("c1", create("arcade-a")).await;
    assert_eq!(
        (status, &response["effect"]),
        (200, &json!("stored_before"))
    );
    assert_eq!(fixture.stored().unwrap().changes.len(), 1);
}

#[tokio::test]
async fn outage_is_reported_as_not_stored() {
    let fixture = Fixture::start().await;
    fixture.api.handle().set_outage(Outage::Unavailable);
    let response = fixture.change("c1", create("arcade-a")).await;
    assert_eq!(status_and_code(&response), (503, "not_stored"));
    assert_eq!(fixture.stored(), None);
}

#[tokio::test]
async fn unlisted_names_are_refused() {
    let fixture = Fixture::start().await;
    let response = fixture.change("c1", take_domain_out("bern-b")).await;
    assert_eq!(status_and_code(&response), (422, "not_listed"));
    assert!(
        response.1["error"]["message"]
            .as_str()
            .unwrap()
            .contains("bern-a")
    );
    let server = json!({ "kind": "take_server_out", "name": "bern-a" });
    assert_eq!(
        status_and_code(&fixture.change("c2", server).await),
        (422, "not_listed")
    );
    assert_eq!(fixture.stored(), None);

    assert_eq!(fixture.change("c3", take_domain_out("bern-a")).await.0, 200);
    let unlisted = json!({ "id": "c4", "change": take_domain_out("gone"), "allow_unlisted": true });
    assert_eq!(fixture.post(unlisted.to_string()).await.0, 200);
    let mut view = fixture.host.control.watch_view();
    let is_second = |configuration: &Configuration| configuration.domains_out.len() == 2;
    let both_out = view.wait_for(|view| view.configuration.as_deref().is_some_and(is_second));
    drop(both_out.await.unwrap());
    // A failure domain that is out of service can be brought back although it is not in the host
    // list.
    let bring_back = json!({ "kind": "bring_domain_back", "name": "gone" });
    assert_eq!(fixture.change("c5", bring_back).await.0, 200);
    assert_eq!(fixture.stored().unwrap().domains_out.len(), 1);
}

#[tokio::test]
async fn unreadable_requests_are_refused() {
    let fixture = Fixture::start().await;
    let change = create("arcade-a");
    for body in [
        String::new(),
        "{".to_owned(),
        json!({ "id": "c1" }).to_string(),
        json!({ "id": "c1", "change": { "kind": "melt", "name": "x" } }).to_string(),
        json!({ "id": "c1", "change": change, "weight": 3 }).to_string(),
        format!(
            "{}{}",
            json!({ "id": "c1", "change": change }),
            " ".repeat(20_000)
        ),
    ] {
        assert_eq!(
            status_and_code(&fixture.post(body).await),
            (400, "bad_request")
        );
    }
    assert_eq!(
        status_and_code(&fixture.get("/changes").await),
        (405, "method_not_allowed")
    );
    assert_eq!(
        status_and_code(&fixture.get("/elsewhere").await),
        (404, "no_such_path")
    );
    assert_eq!(
        status_and_code(&fixture.get("/configuration/diff?from=x").await),
        (400, "bad_request")
    );
    assert_eq!(fixture.stored(), None);
}

#[tokio::test]
async fn history_and_diff_show_what_changed() {
    let fixture = Fixture::start().await;
    fixture.change("c1", create("arcade-a")).await;
    fixture.change("c2", take_domain_out("bern-a")).await;
    let mut view = fixture.host.control.watch_view();
    let reached = view.wait_for(|view| {
        let configuration = view.configuration.as_deref();
        configuration.is_some_and(|configuration| configuration.revision == 2)
    });
    drop(reached.await.unwrap());

    let (_, history) = fixture.get("/configuration/history").await;
    assert_eq!(
        history["changes"][1]["summary"],
        "take failure domain bern-a out of service"
    );
    assert_eq!(history["kept_revisions"], json!([1, 2]));
    let (_, diff) = fixture.get("/configuration/diff").await;
    let expected = json!([{ "kind": "domain_out", "name": "bern-a" }]);
    assert_eq!(
        (&diff["from"], &diff["differences"]),
        (&json!(1), &expected)
    );
    let (_, same) = fixture.get("/configuration/diff?from=2&to=2").await;
    assert_eq!(same["differences"], json!([]));
    let unknown = fixture.get("/configuration/diff?from=9").await;
    assert_eq!(status_and_code(&unknown), (404, "revision_not_kept"));
}

#[tokio::test]
async fn interface_ends_with_the_control_thread() {
    let fixture = Fixture::start().await;
    assert_eq!(fixture.get("/status").await.1["host"], "entry-1");
    fixture.host.control.stop();
    let ended = tokio::time::timeout(Duration::from_secs(30), fixture.host.served).await;
    ended
        .expect("the operators' interface should end with the control thread")
        .unwrap();
}
