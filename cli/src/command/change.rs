//! Commands that change the configuration.

use cardamomshift_lib::configuration::Change;
use cardamomshift_lib::configuration::hash_key;
use cardamomshift_lib::operator::ChangeBody;
use cardamomshift_lib::operator::ChangeResponse;
use cardamomshift_lib::operator::EffectCode;
use compact_str::CompactString;
use serde_json::json;
use snafu::ResultExt;

use super::Report;
use crate::args::AvailabilityCommand;
use crate::args::ClassCommand;
use crate::args::WorkspaceCommand;
use crate::client::Client;
use crate::error::CliError;
use crate::error::RandomSnafu;

/// Length of a workspace's key, bytes. The key is shown as hexadecimal text of twice this length.
const KEY_BYTES: usize = 32;
/// Length of a change's identifier, bytes, before its encoding as hexadecimal text.
const CHANGE_ID_BYTES: usize = 16;

pub(super) async fn workspace(
    client: &Client,
    command: WorkspaceCommand,
) -> Result<Report, CliError> {
    match command {
        WorkspaceCommand::Create { name } => {
            let key = random_hex::<KEY_BYTES>()?;
            let key_hash = hash_key(key.as_bytes());
            submit_key(client, Change::CreateWorkspace { name, key_hash }, &key).await
        }
        WorkspaceCommand::RotateKey { name } => {
            let key = random_hex::<KEY_BYTES>()?;
            let key_hash = hash_key(key.as_bytes());
            submit_key(client, Change::RotateKey { name, key_hash }, &key).await
        }
        WorkspaceCommand::Disable { name } => {
            submit(client, Change::DisableWorkspace { name }, false).await
        }
        WorkspaceCommand::Enable { name } => {
            submit(client, Change::EnableWorkspace { name }, false).await
        }
        WorkspaceCommand::List => super::config::list_workspaces(client).await,
    }
}

pub(super) async fn class(client: &Client, command: ClassCommand) -> Result<Report, CliError> {
    match command {
        ClassCommand::Set { name, target_ms } => {
            submit(client, Change::SetClass { name, target_ms }, false).await
        }
        ClassCommand::Remove { name } => submit(client, Change::RemoveClass { name }, false).await,
        ClassCommand::List => super::config::list_classes(client).await,
    }
}

pub(super) async fn domain(
    client: &Client,
    command: AvailabilityCommand,
) -> Result<Report, CliError> {
    match command {
        AvailabilityCommand::Out { name, unlisted } => {
            submit(client, Change::TakeDomainOut { name }, unlisted).await
        }
        AvailabilityCommand::Back { name, unlisted } => {
            submit(client, Change::BringDomainBack { name }, unlisted).await
        }
    }
}

pub(super) async fn server(
    client: &Client,
    command: AvailabilityCommand,
) -> Result<Report, CliError> {
    match command {
        AvailabilityCommand::Out { name, unlisted } => {
            submit(client, Change::TakeServerOut { name }, unlisted).await
        }
        AvailabilityCommand::Back { name, unlisted } => {
            submit(client, Change::BringServerBack { name }, unlisted).await
        }
    }
}

/// Sends a change and reports its result.
async fn submit(client: &Client, change: Change, unlisted: bool) -> Result<Report, CliError> {
    let (body, response) = send(client, change, unlisted).await?;
    let json = json!({ "id": body.id, "revision": response.revision, "effect": response.effect });
    Ok(Report::new(describe(&body.change, &response), json))
}

/// Sends a change that contains the hash of a new key, and reports the key itself with the result.
async fn submit_key(client: &Client, change: Change, key: &str) -> Result<Report, CliError> {
    let (body, response) = send(client, change, false).await?;
    let summary = describe(&body.change, &response);
    let text =
        format!("{summary}\nkey: {key}\nThe key is not shown again; only its hash is stored.");
    let json = json!({
        "id": body.id,
        "revision": response.revision,
        "effect": response.effect,
        "key": key,
    });
    Ok(Report::new(text, json))
}

/// Sends a change under a new random identifier. `allow_unlisted` permits names that are not in the
/// host list.
async fn send(
    client: &Client,
    change: Change,
    allow_unlisted: bool,
) -> Result<(ChangeBody, ChangeResponse), CliError> {
    let body = ChangeBody {
        id: random_hex::<CHANGE_ID_BYTES>()?.into(),
        change,
        allow_unlisted,
    };
    let response = client.change(&body).await?;
    Ok((body, response))
}

fn describe(change: &Change, response: &ChangeResponse) -> CompactString {
    let note = match response.effect {
        EffectCode::Made | EffectCode::StoredBefore => "",
        EffectCode::AlreadySo => ", without effect (already in this state)",
    };
    format!("{change}: stored in revision {}{note}", response.revision).into()
}

/// Random bytes from the operating system, as hexadecimal text.
fn random_hex<const BYTES: usize>() -> Result<String, CliError> {
    let mut bytes = [0; BYTES];
    getrandom::fill(&mut bytes).context(RandomSnafu)?;
    Ok(hex::encode(bytes))
}
