//! Request handlers of the operators' interface, one per path.
//!
//! The control thread, which owns the state of the host, provides the status and the configuration
//! in force, that is, the one by which the host serves requests. Changes are written to the
//! platform, the external system that stores the configuration.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use axum::Json;
use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::extract::Query;
use axum::extract::State;
use axum::extract::rejection::JsonRejection;
use axum::extract::rejection::QueryRejection;
use axum::middleware;
use axum::routing::get;
use axum::routing::post;
use compact_str::CompactString;
use compact_str::format_compact;
use log::info;
use serde::Deserialize;
use tokio::time::Instant;

use super::OperatorParts;
use super::auth::require_key;
use super::error_response::ErrorResponse;
use super::revision_history::RevisionHistory;
use super::wire::ChangeBody;
use super::wire::ChangeResponse;
use super::wire::ConfigurationView;
use super::wire::DiffView;
use super::wire::EffectCode;
use super::wire::ErrorCode;
use super::wire::HistoryView;
use crate::configuration::Accepted;
use crate::configuration::Change;
use crate::configuration::ChangeRequest;
use crate::configuration::Configuration;
use crate::configuration::Effect;
use crate::configuration::differences;
use crate::status::Status;

/// Time limit for storing a change, with all attempts.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for the control thread to return the status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 10;

/// State shared by all handlers.
#[derive(Clone, Debug)]
pub(super) struct HandlerState {
    pub(super) parts: OperatorParts,
    pub(super) revisions: RevisionHistory,
}

/// Creates the router of the operators' interface. Every path requires the operators' key.
pub(super) fn router(state: HandlerState) -> Router {
    let key = state.parts.key.clone();
    Router::new()
        .route("/status", get(status))
        .route("/configuration", get(configuration))
        .route("/configuration/history", get(history))
        .route("/configuration/diff", get(diff))
        .route("/changes", post(change))
        .fallback(async || ErrorResponse::new(ErrorCode::NoSuchPath, "there is no such path"))
        .method_not_allowed_fallback(async || {
            ErrorResponse::new(ErrorCode::MethodNotAllowed, "the path takes another method")
        })
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .layer(middleware::from_fn_with_state(key, require_key))
        .with_state(state)
}

async fn status(State(state): State<HandlerState>) -> Result<Json<Status>, ErrorResponse> {
    state.status().await.map(Json)
}

async fn configuration(
    State(state): State<HandlerState>,
) -> Result<Json<ConfigurationView>, ErrorResponse> {
    let configuration = state.configuration()?;
    Ok(Json(ConfigurationView::of(&configuration)))
}

async fn history(State(state): State<HandlerState>) -> Result<Json<HistoryView>, ErrorResponse> {
    let configuration = state.configuration()?;
    Ok(Json(HistoryView {
        revision: configuration.revision,
        changes: configuration.changes.clone(),
        kept_revisions: state.revisions.numbers(),
    }))
}

/// Query of `GET /configuration/diff`. By default the revision in force (`to`) is compared with the
/// highest lower revision that this host keeps (`from`).
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DiffQuery {
    from: Option<u64>,
    to: Option<u64>,
}

async fn diff(
    State(state): State<HandlerState>,
    query: Result<Query<DiffQuery>, QueryRejection>,
) -> Result<Json<DiffView>, ErrorResponse> {
    let Query(DiffQuery { from, to }) = query?;
    let to = match to {
        Some(to) => state.kept_revision(to)?,
        None => state.configuration()?,
    };
    let kept = state.revisions.numbers();
    let before = kept.into_iter().rev().find(|kept| *kept < to.revision);
    let from = state.kept_revision(from.or(before).unwrap_or(to.revision))?;
    Ok(Json(DiffView {
        from: from.revision,
        to: to.revision,
        differences: differences(&from, &to),
    }))
}

async fn change(
    State(state): State<HandlerState>,
    body: Result<Json<ChangeBody>, JsonRejection>,
) -> Result<Json<ChangeResponse>, ErrorResponse> {
    let Json(body) = body?;
    if !body.allow_unlisted {
        state.check_listed(&body.change).await?;
    }
    // The change runs in a separate task, because this handler is cancelled if the operator
    // disconnects, and a write must not be interrupted.
    let submitted = tokio::spawn(state.submit(body)).await;
    let accepted = submitted.unwrap_or_else(|_| {
        let message = "the host failed while it stored the change";
        Err(ErrorResponse::new(ErrorCode::OutcomeUnknown, message))
    })?;
    Ok(Json(ChangeResponse {
        revision: accepted.configuration.revision,
        effect: match accepted.effect {
            Effect::Made => EffectCode::Made,
            Effect::AlreadySo => EffectCode::AlreadySo,
            Effect::StoredBefore => EffectCode::StoredBefore,
        },
    }))
}

impl HandlerState {
    /// Returns the status of the fleet as this host sees it.
    async fn status(&self) -> Result<Status, ErrorResponse> {
        let status = self.parts.control.status();
        let reply = tokio::time::timeout(STATUS_TIMEOUT, status).await;
        reply.ok().flatten().ok_or_else(|| {
            let message = "the host is stopping, or its control thread does not answer";
            ErrorResponse::new(ErrorCode::Unavailable, message)
        })
    }

    /// Returns the configuration in force, and adds it to the history.
    fn configuration(&self) -> Result<Arc<Configuration>, ErrorResponse> {
        let view = self.parts.control.view();
        let configuration = view.configuration.clone().ok_or_else(|| {
            let message = "the host has no configuration yet";
            ErrorResponse::new(ErrorCode::NoConfiguration, message)
        })?;
        self.revisions.insert(&configuration);
        Ok(configuration)
    }

    /// Returns the configuration of a revision that this host keeps in memory.
    fn kept_revision(&self, revision: u64) -> Result<Arc<Configuration>, ErrorResponse> {
        self.revisions.get(revision).ok_or_else(|| {
            let host = &self.parts.host;
            let kept = self.revisions.numbers();
            let message = format!("{host} does not keep revision {revision}, but these: {kept:?}");
            ErrorResponse::new(ErrorCode::RevisionNotKept, message)
        })
    }

    /// Stores a change. Then passes the new configuration to the control thread, so that it comes
    /// into force here without waiting for the platform to report it.
    async fn submit(self, body: ChangeBody) -> Result<Accepted, ErrorResponse> {
        if let Some(configuration) = &self.parts.control.view().configuration {
            self.parts.editor.record_revision(configuration.revision);
        }
        let req = ChangeRequest {
            id: body.id,
            at: unix_seconds(),
            change: body.change,
        };
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        let accepted = self.parts.editor.submit(&req, deadline).await?;
        let configuration = &accepted.configuration;
        self.revisions.insert(configuration);
        self.parts
            .control
            .offer_configuration(configuration.clone());
        info!(
            "change stored in configuration revision {}: {}",
            configuration.revision, req.change
        );
        Ok(accepted)
    }

    /// Refuses a change that names a failure domain or backend server which neither the host list
    /// nor the configuration contains, since the name is probably misspelled. The configuration may
    /// contain names of removed hosts that are still out of service.
    async fn check_listed(&self, change: &Change) -> Result<(), ErrorResponse> {
        let (name, listed) = match change {
            Change::TakeDomainOut { name } | Change::BringDomainBack { name } => {
                (name, self.domains().await?)
            }
            Change::TakeServerOut { name } | Change::BringServerBack { name } => {
                (name, self.servers().await?)
            }
            _ => return Ok(()),
        };
        if listed.contains(name) {
            return Ok(());
        }
        let listed: Vec<&str> = listed.iter().map(CompactString::as_str).collect();
        let listed = listed.join(", ");
        let message = format_compact!("{name} is not in the host list, which has: {listed}");
        Err(ErrorResponse::new(ErrorCode::NotListed, message))
    }

    /// Returns the names of the failure domains in the host list and of those out of service.
    async fn domains(&self) -> Result<BTreeSet<CompactString>, ErrorResponse> {
        let status = self.status().await?;
        let mut names = match &self.parts.control.view().configuration {
            Some(configuration) => configuration.domains_out.clone(),
            None => BTreeSet::new(),
        };
        names.extend(status.hosts.into_iter().map(|host| host.domain));
        names.extend(status.servers.into_iter().map(|server| server.domain));
        Ok(names)
    }

    /// Returns the names of the backend servers in the host list and of those out of service.
    async fn servers(&self) -> Result<BTreeSet<CompactString>, ErrorResponse> {
        let status = self.status().await?;
        let mut names = match &self.parts.control.view().configuration {
            Some(configuration) => configuration.servers_out.clone(),
            None => BTreeSet::new(),
        };
        names.extend(status.servers.into_iter().map(|server| server.name));
        Ok(names)
    }
}

fn unix_seconds() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |span| span.as_secs())
}
