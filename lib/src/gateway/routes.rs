//! Routes for callers: OpenAI-compatible model endpoints, and plain services (HTTP services other
//! than language models) under `/services/`.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::extract::State;
use axum::http::HeaderValue;
use axum::http::Method;
use axum::http::Request;
use axum::http::Response;
use axum::http::Uri;
use axum::http::Version;
use axum::http::request::Parts;
use axum::http::uri::PathAndQuery;
use axum::response::IntoResponse;
use axum::routing::any;
use axum::routing::get;
use axum::routing::post;
use compact_str::CompactString;
use compact_str::format_compact;
use serde::Serialize;

use super::auth::Authenticator;
use super::auth::Caller;
use super::dispatch::Shared;
use super::error_code::ErrorCode;
use super::error_response::ErrorResponse;
use super::error_response::Outcome;
use super::headers;
use super::held_body::HeldBody;
use super::http2_body;
use super::keyed;
use super::model::ModelRequest;
use super::model::prompt_tokens;
use super::request;
use super::request::Call;
use super::run_flag::RunFlag;
use crate::control::FleetView;
use crate::control::RequestSpec;
use crate::control::ServiceEntry;
use crate::crashing::RequestDigest;
use crate::host::ServiceKind;
use crate::operation::Records;

/// Path prefix of plain services; the name of the service follows.
const SERVICES_PREFIX: &str = "/services/";

/// State shared by the handlers of all routes.
pub(crate) struct RouterState {
    pub(crate) shared: Arc<Shared>,
    pub(crate) records: Arc<Records>,
    pub(crate) authenticator: Authenticator,
    /// Random number per process, which makes request identifiers unique across hosts and restarts.
    pub(crate) id_prefix: u64,
    /// Sequence number of the next request identifier.
    pub(crate) next_id: AtomicU64,
}

impl RouterState {
    /// Returns a new request identifier, unique across the fleet.
    fn next_request_id(&self) -> CompactString {
        let sequence = self.next_id.fetch_add(1, Ordering::Relaxed);
        format_compact!("{:016x}-{:x}", self.id_prefix, sequence)
    }

    /// Authenticates the caller and rejects HTTP/1.0 and requests before the first configuration.
    fn admit(&self, view: &FleetView, parts: &Parts) -> Result<Caller, ErrorCode> {
        if parts.version < Version::HTTP_11 {
            return Err(ErrorCode::VersionNotSupported);
        }
        let configuration = view
            .configuration
            .as_ref()
            .ok_or(ErrorCode::NotConfigured)?;
        self.authenticator.caller(configuration, &parts.headers)
    }

    async fn read_body(&self, caller: &Caller, body: Body) -> Result<HeldBody, ErrorCode> {
        let limits = &self.shared.limits;
        let timeout = Duration::from_millis(limits.body_timeout_ms);
        let workspace = caller.workspace_name.clone();
        let held = self.shared.body_memory.start(Some(workspace));
        request::read_body(body, limits.body_bytes, timeout, held).await
    }

    /// Builds the caller's response from the result of a request, and counts errors.
    fn respond(
        &self,
        request_id: &str,
        result: Result<Response<Body>, ErrorResponse>,
    ) -> Response<Body> {
        match result {
            Ok(mut response) => {
                if let Ok(value) = HeaderValue::from_str(request_id) {
                    response.headers_mut().insert(headers::REQUEST_ID, value);
                }
                response
            }
            Err(error) => {
                let metrics = &self.shared.metrics;
                metrics.count_refusal(error.code);
                if error.outcome == Outcome::Unknown {
                    metrics.unknown_outcomes.inc();
                }
                error.into_response(request_id)
            }
        }
    }
}

/// Router for all paths that callers use.
pub(crate) fn router(state: Arc<RouterState>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(serve_model))
        .route("/v1/completions", post(serve_model))
        .route("/v1/models", get(list_models))
        .route("/services/{service}", any(serve_plain))
        .route("/services/{service}/", any(serve_plain))
        .route("/services/{service}/{*path}", any(serve_plain))
        .fallback(not_found)
        .method_not_allowed_fallback(method_not_allowed)
        .with_state(state)
}

async fn serve_model(State(state): State<Arc<RouterState>>, req: Request<Body>) -> Response<Body> {
    let request_id = state.next_request_id();
    let version = req.version();
    let result = match model_call(&state, request_id.clone(), req).await {
        Ok(call) => keyed::serve(&state.shared, &state.records, &call).await,
        Err(code) => Err(ErrorResponse::not_run(code)),
    };
    http2_body::relay(&state.shared, version, state.respond(&request_id, result))
}

async fn serve_plain(State(state): State<Arc<RouterState>>, req: Request<Body>) -> Response<Body> {
    let request_id = state.next_request_id();
    let version = req.version();
    let result = match plain_call(&state, request_id.clone(), req).await {
        Ok(call) => keyed::serve(&state.shared, &state.records, &call).await,
        Err(code) => Err(ErrorResponse::not_run(code)),
    };
    http2_body::relay(&state.shared, version, state.respond(&request_id, result))
}

/// Authenticates and parses a request to a model, whose name is in the JSON body.
async fn model_call(
    state: &RouterState,
    id: CompactString,
    req: Request<Body>,
) -> Result<Call, ErrorCode> {
    let arrived = state.shared.clock.now();
    let view = state.shared.control.view();
    let (parts, body) = req.into_parts();
    let caller = state.admit(&view, &parts)?;
    let body = state.read_body(&caller, body).await?;
    let model = ModelRequest::parse(&body.bytes)?;
    let service = service_of_kind(&view, &model.model, ServiceKind::Model)?;
    let prompt_tokens = prompt_tokens(&body.bytes);
    let average = state.shared.estimates.average(caller.workspace, service.id);
    let spec = RequestSpec {
        service: service.id,
        workspace: caller.workspace,
        estimate: model.estimate(prompt_tokens, average),
        deadline: arrived + caller.target,
        prefix: model.prefix(caller.workspace),
    };
    let target = path_and_query(&parts.uri)?;
    Ok(Call {
        digest: digest(&parts, &caller, &body.bytes),
        id,
        caller,
        kind: ServiceKind::Model,
        method: parts.method,
        target,
        headers: parts.headers,
        body: Arc::new(body),
        spec,
        prompt_tokens,
        arrived,
        run_flag: RunFlag::default(),
    })
}

/// Authenticates and parses a request to a plain service, whose name is in the path.
async fn plain_call(
    state: &RouterState,
    id: CompactString,
    req: Request<Body>,
) -> Result<Call, ErrorCode> {
    let arrived = state.shared.clock.now();
    let view = state.shared.control.view();
    let (parts, body) = req.into_parts();
    let caller = state.admit(&view, &parts)?;
    let (name, target) = plain_target(&parts.uri)?;
    let service = service_of_kind(&view, name, ServiceKind::Plain)?;
    let body = state.read_body(&caller, body).await?;
    let average = state.shared.estimates.average(caller.workspace, service.id);
    let spec = RequestSpec {
        service: service.id,
        workspace: caller.workspace,
        estimate: average.unwrap_or(request::PLAIN_ESTIMATE_US),
        deadline: arrived + caller.target,
        prefix: 0,
    };
    Ok(Call {
        digest: digest(&parts, &caller, &body.bytes),
        id,
        caller,
        kind: ServiceKind::Plain,
        method: parts.method,
        target,
        headers: parts.headers,
        body: Arc::new(body),
        spec,
        prompt_tokens: 0,
        arrived,
        run_flag: RunFlag::default(),
    })
}

/// Digest of a request. The path names the service, and callers reach no other host by this interface.
fn digest(parts: &Parts, caller: &Caller, body: &[u8]) -> RequestDigest {
    let workspace = Some(caller.workspace_name.as_str());
    RequestDigest::new(&parts.method, "", &parts.uri, workspace, body)
}

/// Splits a URI into the name of a plain service and the path and query for its servers.
fn plain_target(uri: &Uri) -> Result<(&str, PathAndQuery), ErrorCode> {
    let path = uri
        .path()
        .strip_prefix(SERVICES_PREFIX)
        .ok_or(ErrorCode::NotFound)?;
    let (name, rest) = path.split_once('/').unwrap_or((path, ""));
    let target = match uri.query() {
        Some(query) => format!("/{rest}?{query}"),
        None => format!("/{rest}"),
    };
    let target = PathAndQuery::try_from(target).map_err(|_| ErrorCode::MalformedRequest)?;
    Ok((name, target))
}

fn path_and_query(uri: &Uri) -> Result<PathAndQuery, ErrorCode> {
    uri.path_and_query()
        .cloned()
        .ok_or(ErrorCode::MalformedRequest)
}

/// Finds a service by name, if it is of this kind.
fn service_of_kind(
    view: &FleetView,
    name: &str,
    kind: ServiceKind,
) -> Result<ServiceEntry, ErrorCode> {
    view.services
        .get(name)
        .copied()
        .filter(|service| service.kind == kind)
        .ok_or(ErrorCode::UnknownService)
}

/// Response to `GET /v1/models`, in the format of the OpenAI API.
#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelObject>,
}

#[derive(Serialize)]
struct ModelObject {
    id: CompactString,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

async fn list_models(State(state): State<Arc<RouterState>>, req: Request<Body>) -> Response<Body> {
    let (parts, _) = req.into_parts();
    let request_id = state.next_request_id();
    let view = state.shared.control.view();
    let result = state
        .admit(&view, &parts)
        .map(|_| Json(model_list(&view)).into_response())
        .map_err(ErrorResponse::not_run);
    state.respond(&request_id, result)
}

/// Returns the models that backend servers offer, sorted by name.
fn model_list(view: &FleetView) -> ModelList {
    let mut data: Vec<_> = view
        .services
        .iter()
        .filter(|(_, service)| service.kind == ServiceKind::Model)
        .map(|(name, _)| ModelObject {
            id: name.clone(),
            object: "model",
            created: 0,
            owned_by: "cardamomshift",
        })
        .collect();
    data.sort_by(|a, b| a.id.cmp(&b.id));
    ModelList {
        object: "list",
        data,
    }
}

async fn not_found(State(state): State<Arc<RouterState>>) -> Response<Body> {
    let request_id = state.next_request_id();
    state.respond(
        &request_id,
        Err(ErrorResponse::not_run(ErrorCode::NotFound)),
    )
}

async fn method_not_allowed(
    State(state): State<Arc<RouterState>>,
    _method: Method,
) -> Response<Body> {
    let request_id = state.next_request_id();
    state.respond(
        &request_id,
        Err(ErrorResponse::not_run(ErrorCode::MethodNotAllowed)),
    )
}
