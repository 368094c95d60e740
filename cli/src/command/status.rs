//! Shows the state of the fleet, combined from the status of several hosts.
//!
//! A pool is the queue of requests for one service in one failure domain, with the backend servers
//! that run them. One host schedules it, and only that host reports its state.

use cardamomshift_lib::message::ServerPhase;
use cardamomshift_lib::operator::ConfigurationView;
use cardamomshift_lib::status::HostStatus;
use cardamomshift_lib::status::ListedServerStatus;
use cardamomshift_lib::status::PoolStatus;
use cardamomshift_lib::status::Status;
use cardamomshift_lib::status::WorkspaceStatus;
use serde_json::Value;
use serde_json::json;

use super::Report;
use super::names::Names;
use crate::client::Client;
use crate::error::CliError;
use crate::table::table;

/// Gets the status of every given host. Fails only if no host responds.
pub(super) async fn status(client: &Client) -> Result<Report, CliError> {
    let mut statuses: Vec<Status> = Vec::new();
    let mut errors = Vec::new();
    for host in client.hosts() {
        match client.get_from(*host, "/status").await {
            Ok(status) => statuses.push(status),
            Err(err) => errors.push((*host, err)),
        }
    }
    if statuses.is_empty() {
        let first = errors.into_iter().next();
        return Err(first.map_or(CliError::NoHost, |(_, err)| err));
    }
    let mut names = Names::default();
    statuses.iter().for_each(|status| names.add_status(status));
    // Fails if the fleet has no configuration yet; there are no names of workspaces then.
    if let Ok(view) = client.get::<ConfigurationView>("/configuration").await {
        names.add_workspaces(&view);
    }
    let mut text = describe(&statuses, &names);
    for (host, err) in &errors {
        text.push_str(&format!("\n{host} gave no status: {err}\n"));
    }
    let failed = errors.iter().map(|(host, err)| {
        let error = &err.to_json()["error"];
        json!({ "host": host, "error": error })
    });
    let failed: Vec<Value> = failed.collect();
    let pools: Vec<Value> = pools(&statuses)
        .map(|(_, pool)| pool_json(pool, &names))
        .collect();
    let json = json!({ "statuses": statuses, "pools": pools, "errors": failed });
    Ok(Report::new(text, json))
}

fn describe(statuses: &[Status], names: &Names) -> String {
    let mut parts = vec![responding_hosts(statuses)];
    // Hosts do not learn of changes in the host list at the same time, so their lists may differ.
    // Only that of the first host is shown.
    if let Some(first) = statuses.first() {
        parts.push(hosts(&first.hosts));
        parts.push(servers(&first.servers));
    }
    for (scheduler, found) in pools(statuses) {
        parts.push(pool(scheduler, found, names));
    }
    if pools(statuses).next().is_none() {
        parts.push("these hosts schedule no pool\n".to_owned());
    }
    parts.join("\n")
}

/// All pools, each with the name of the host that schedules it.
fn pools(statuses: &[Status]) -> impl Iterator<Item = (&str, &PoolStatus)> {
    statuses.iter().flat_map(|status| {
        let scheduler = status.host.as_str();
        status.pools.iter().map(move |pool| (scheduler, pool))
    })
}

/// Table of the hosts whose status was received.
fn responding_hosts(statuses: &[Status]) -> String {
    let row = |status: &Status| {
        let state = if status.stopping {
            "stopping"
        } else {
            "serving"
        };
        vec![
            status.host.to_string(),
            status.domain.to_string(),
            state.to_owned(),
            status.revision.to_string(),
            status.waiting.to_string(),
            status.running.to_string(),
        ]
    };
    let rows: Vec<_> = statuses.iter().map(row).collect();
    table(
        &[
            "ANSWERING HOST",
            "DOMAIN",
            "STATE",
            "REVISION",
            "WAITING",
            "RUNNING",
        ],
        &rows,
    )
}

/// Table of all hosts of the fleet, as one of them sees them.
fn hosts(hosts: &[HostStatus]) -> String {
    let row = |host: &HostStatus| {
        let state = match (host.alive, host.leaving) {
            (false, _) => "not alive",
            (true, true) => "leaving",
            (true, false) => "alive",
        };
        let revision = host.revision.to_string();
        vec![
            host.name.to_string(),
            host.domain.to_string(),
            state.to_owned(),
            revision,
        ]
    };
    let rows: Vec<_> = hosts.iter().map(row).collect();
    table(&["HOST", "DOMAIN", "STATE", "REVISION"], &rows)
}

/// Table of the backend servers in the host list, as one host sees them.
fn servers(servers: &[ListedServerStatus]) -> String {
    let row = |server: &ListedServerStatus| {
        let state = match (server.out, server.leaving) {
            (true, _) => "out of service",
            (false, true) => "leaving",
            (false, false) => "in service",
        };
        let services = server.services.join(", ");
        vec![
            server.name.to_string(),
            server.domain.to_string(),
            state.to_owned(),
            services,
        ]
    };
    let rows: Vec<_> = servers.iter().map(row).collect();
    table(&["BACKEND SERVER", "DOMAIN", "STATE", "SERVICES"], &rows)
}

/// Summary of a pool with tables of its servers and workspaces.
fn pool(scheduler: &str, pool: &PoolStatus, names: &Names) -> String {
    let mut text = format!(
        "pool {} in {}, scheduled by {scheduler}: {} waiting, {} running{}\n",
        names.service(pool.service),
        names.domain(pool.domain),
        pool.waiting,
        pool.running,
        match fairness_gap(&pool.workspaces) {
            Some(gap) => format!(", fairness gap {gap}"),
            None => String::new(),
        }
    );
    let servers = pool.servers.iter().map(|server| {
        let usable = if server.usable {
            ""
        } else {
            "takes no new work"
        };
        vec![
            names.server(server.server),
            phase(server.phase).to_owned(),
            format!("{}/{}", server.running, server.limit),
            usable.to_owned(),
        ]
    });
    let servers: Vec<_> = servers.collect();
    text.push_str(&table(
        &["  SERVER", "PHASE", "RUNNING", ""],
        &indented(servers),
    ));
    let workspaces = pool.workspaces.iter().map(|entry| {
        vec![
            names.workspace(entry.workspace),
            entry.waiting.to_string(),
            entry.running.to_string(),
            entry.counter.to_string(),
        ]
    });
    let header = ["  WORKSPACE", "WAITING", "RUNNING", "SERVICE"];
    text.push_str(&table(&header, &indented(workspaces.collect())));
    text
}

/// Indents the first cell of each row by two spaces.
fn indented(mut rows: Vec<Vec<String>>) -> Vec<Vec<String>> {
    for row in &mut rows {
        row[0].insert_str(0, "  ");
    }
    rows
}

fn phase(phase: ServerPhase) -> &'static str {
    match phase {
        ServerPhase::Cold => "cold",
        ServerPhase::Warming => "warming",
        ServerPhase::Warm => "warm",
    }
}

/// Difference between the highest and the lowest service counter (the work done for a workspace so
/// far) of the workspaces with waiting requests, in the unit of the counter. `None` if there are
/// fewer than two such workspaces.
fn fairness_gap(workspaces: &[WorkspaceStatus]) -> Option<u64> {
    let backlogged = workspaces.iter().filter(|entry| entry.waiting > 0);
    let counters: Vec<u64> = backlogged.map(|entry| entry.counter).collect();
    if counters.len() < 2 {
        return None;
    }
    Some(counters.iter().max()? - counters.iter().min()?)
}

fn pool_json(pool: &PoolStatus, names: &Names) -> Value {
    let workspaces = pool.workspaces.iter().map(|entry| {
        json!({
            "name": names.workspace(entry.workspace),
            "waiting": entry.waiting,
            "running": entry.running,
            "service": entry.counter,
        })
    });
    let servers = pool.servers.iter().map(|server| {
        json!({
            "name": names.server(server.server),
            "phase": phase(server.phase),
            "running": server.running,
            "limit": server.limit,
            "usable": server.usable,
        })
    });
    json!({
        "service": names.service(pool.service),
        "domain": names.domain(pool.domain),
        "waiting": pool.waiting,
        "running": pool.running,
        "fairness_gap": fairness_gap(&pool.workspaces),
        "servers": servers.collect::<Vec<_>>(),
        "workspaces": workspaces.collect::<Vec<_>>(),
    })
}
