//! Commands that show the configuration.

use std::time::Duration;
use std::time::UNIX_EPOCH;

use cardamomshift_lib::configuration::Class;
use cardamomshift_lib::operator::ConfigurationView;
use cardamomshift_lib::operator::DiffView;
use cardamomshift_lib::operator::HistoryView;
use cardamomshift_lib::operator::WorkspaceView;
use compact_str::CompactString;
use serde_json::json;

use super::Report;
use crate::args::ConfigCommand;
use crate::client::Client;
use crate::error::CliError;
use crate::table::table;

/// Path of the configuration in the operators' interface.
const CONFIGURATION: &str = "/configuration";

pub(super) async fn config(client: &Client, command: ConfigCommand) -> Result<Report, CliError> {
    match command {
        ConfigCommand::Show => show(client).await,
        ConfigCommand::History => history(client).await,
        ConfigCommand::Diff { from, to } => diff(client, from, to).await,
    }
}

pub(super) async fn list_workspaces(client: &Client) -> Result<Report, CliError> {
    let view: ConfigurationView = client.get(CONFIGURATION).await?;
    let text = workspaces(&view.workspaces);
    Ok(Report::new(text, json!(view.workspaces)))
}

pub(super) async fn list_classes(client: &Client) -> Result<Report, CliError> {
    let view: ConfigurationView = client.get(CONFIGURATION).await?;
    Ok(Report::new(classes(&view.classes), json!(view.classes)))
}

async fn show(client: &Client) -> Result<Report, CliError> {
    let view: ConfigurationView = client.get(CONFIGURATION).await?;
    let text = format!(
        "revision {}\n\n{}\n{}\nfailure domains out of service: {}\n\
         backend servers out of service: {}\n",
        view.revision,
        workspaces(&view.workspaces),
        classes(&view.classes),
        names(view.domains_out.iter()),
        names(view.servers_out.iter()),
    );
    Ok(Report::new(text, json!(view)))
}

async fn history(client: &Client) -> Result<Report, CliError> {
    let view: HistoryView = client.get("/configuration/history").await?;
    let rows: Vec<_> = view
        .changes
        .iter()
        .map(|record| {
            let summary = record.summary.to_string();
            vec![utc(record.at), record.id.to_string(), summary]
        })
        .collect();
    let text = format!(
        "revision {}, most recent change last\n{}",
        view.revision,
        table(&["TIME", "CHANGE", "WHAT"], &rows)
    );
    Ok(Report::new(text, json!(view)))
}

async fn diff(client: &Client, from: Option<u64>, to: Option<u64>) -> Result<Report, CliError> {
    let from = from.map(|from| format!("from={from}"));
    let to = to.map(|to| format!("to={to}"));
    let query: Vec<String> = from.into_iter().chain(to).collect();
    let path = format!("/configuration/diff?{}", query.join("&"));
    let view: DiffView = client.get(&path).await?;
    let mut text = format!("revision {} -> {}\n", view.from, view.to);
    for difference in &view.differences {
        text.push_str(&format!("{difference}\n"));
    }
    Ok(Report::new(text, json!(view)))
}

fn workspaces(workspaces: &[WorkspaceView]) -> String {
    let row = |entry: &WorkspaceView| {
        let state = if entry.enabled { "enabled" } else { "disabled" };
        let key = entry.key_fingerprint.to_string();
        vec![
            entry.id.to_string(),
            entry.name.to_string(),
            state.to_owned(),
            key,
        ]
    };
    let rows: Vec<_> = workspaces.iter().map(row).collect();
    table(&["ID", "WORKSPACE", "STATE", "KEY HASH"], &rows)
}

fn classes(classes: &[Class]) -> String {
    let row = |(i, class): (usize, &Class)| {
        let note = if i == 0 { "default" } else { "" };
        let target = format!("{} ms", class.target_ms);
        vec![class.name.to_string(), target, note.to_owned()]
    };
    let rows: Vec<_> = classes.iter().enumerate().map(row).collect();
    table(&["CLASS", "TARGET", ""], &rows)
}

fn names<'a>(names: impl Iterator<Item = &'a CompactString>) -> String {
    let names: Vec<&str> = names.map(|name| name.as_str()).collect();
    if names.is_empty() {
        return "none".to_owned();
    }
    names.join(", ")
}

/// Formats seconds since the Unix epoch as date and time in UTC.
fn utc(seconds: u64) -> String {
    let time = UNIX_EPOCH + Duration::from_secs(seconds);
    humantime::format_rfc3339_seconds(time).to_string()
}
