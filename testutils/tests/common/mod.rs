//! HTTP client of the tests.
#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

/// Loopback address with a port that the system chooses.
pub(crate) fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("address")
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct TestResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl TestResponse {
    pub(crate) fn version(&self) -> u64 {
        self.header("x-version").parse().expect("version")
    }

    pub(crate) fn header(&self, name: &str) -> String {
        let value = self.headers.get(name).expect("header");
        value.to_str().expect("text header").to_owned()
    }

    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).expect("JSON body")
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8(self.body.to_vec()).expect("text body")
    }
}

/// Sends one request on a connection of its own and reads the whole answer.
pub(crate) async fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Result<TestResponse, String> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let mut req = Request::builder()
        .method(method)
        .uri(format!("http://{to}{path}"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req.body(Full::new(body.into())).expect("request");
    let response = client.request(req).await.map_err(|e| format!("{e:?}"))?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.map_err(|e| format!("{e:?}"))?;
    Ok(TestResponse {
        status: parts.status,
        headers: parts.headers,
        body: body.to_bytes(),
    })
}

/// Sends a request without body or special headers.
pub(crate) async fn get(to: SocketAddr, path: &str) -> TestResponse {
    call(to, "GET", path, &[], "").await.expect("answer")
}
