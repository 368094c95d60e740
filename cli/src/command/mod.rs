//! Implementation of the commands.

mod change;
mod config;
mod names;
mod status;

use serde_json::Value;

use crate::args::ClassCommand;
use crate::args::Command;
use crate::args::WorkspaceCommand;
use crate::client::Client;
use crate::error::CliError;

/// Output of a command, as text and as JSON.
pub(crate) struct Report {
    text: String,
    json: Value,
}

impl Report {
    fn new(text: impl Into<String>, json: Value) -> Self {
        Self {
            text: text.into(),
            json,
        }
    }

    /// The output as JSON or as text, ended by a line feed.
    pub(crate) fn into_text(self, json: bool) -> String {
        let mut text = if json {
            format!("{:#}", self.json)
        } else {
            self.text
        };
        if !text.ends_with('\n') {
            text.push('\n');
        }
        text
    }
}

/// Runs a command. `Completions` is not handled here, since it needs no host.
pub(crate) async fn run(client: &Client, command: Command) -> Result<Report, CliError> {
    match command {
        Command::Workspace(WorkspaceCommand::List) => config::list_workspaces(client).await,
        Command::Workspace(command) => change::workspace(client, command).await,
        Command::Class(ClassCommand::List) => config::list_classes(client).await,
        Command::Class(command) => change::class(client, command).await,
        Command::Domain(command) => change::domain(client, command).await,
        Command::Server(command) => change::server(client, command).await,
        Command::Status => status::status(client).await,
        Command::Config(command) => config::config(client, command).await,
        Command::Completions { .. } => unreachable!("completions need no host"),
    }
}
