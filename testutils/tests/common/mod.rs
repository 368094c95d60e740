//! HTTP client for the tests of the stand-ins.
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

/// Loopback address with port zero, for which the operating system chooses a free port.
pub(crate) fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("valid address")
}

/// A complete HTTP response.
#[derive(Debug)]
pub(crate) struct TestResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl TestResponse {
    pub(crate) fn version(&self) -> u64 {
        self.header("x-version").parse().expect("numeric version")
    }

    pub(crate) fn header(&self, name: &str) -> String {
        let value = self.headers.get(name).expect("header in the response");
        value.to_str().expect("header value as text").to_owned()
    }

    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).expect("body as JSON")
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8(self.body.to_vec()).expect("body as text")
    }
}

/// Sends one request on a new connection and reads the complete response. Any failure is returned
/// as text.
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
    let req = req.body(Full::new(body.into())).expect("valid request");
    let response = client.request(req).await.map_err(|e| format!("{e:?}"))?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.map_err(|e| format!("{e:?}"))?;
    Ok(TestResponse {
        status: parts.status,
        headers: parts.headers,
        body: body.to_bytes(),
    })
}

/// Sends a `GET` request without body or extra headers.
pub(crate) async fn get(to: SocketAddr, path: &str) -> TestResponse {
    call(to, "GET", path, &[], "").await.expect("response")
}
