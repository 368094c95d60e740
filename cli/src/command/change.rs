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
use crate::args::ClassCommand;
use crate::args::ServiceCommand;
use crate::args::WorkspaceCommand;
use crate::client::Client;
use crate::error::CliError;
use crate::error::RandomSnafu;

/// Random bytes of a workspace's key.
const KEY_BYTES: usize = 32;
/// Random bytes of a change's identifier.
const CHANGE_ID_BYTES: usize = 16;

pub(super) async fn workspace(
    client: &Client,
    command: WorkspaceCommand,
) -> Result<Report, CliError> {
    match command {
        WorkspaceCommand::Create { name } => {
            let key = draw::<KEY_BYTES>()?;
            let key_hash = hash_key(key.as_bytes());
            submit_key(client, Change::CreateWorkspace { name, key_hash }, &key).await
        }
        WorkspaceCommand::RotateKey { name } => {
            let key = draw::<KEY_BYTES>()?;
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

pub(super) async fn domain(client: &Client, command: ServiceCommand) -> Result<Report, CliError> {
    match command {
        ServiceCommand::Out { name, unlisted } => {
            submit(client, Change::TakeDomainOut { name }, unlisted).await
        }
        ServiceCommand::Back { name, unlisted } => {
            submit(client, Change::BringDomainBack { name }, unlisted).await
        }
    }
}

pub(super) async fn server(client: &Client, command: ServiceCommand) -> Result<Report, CliError> {
    match command {
        ServiceCommand::Out { name, unlisted } => {
            submit(client, Change::TakeServerOut { name }, unlisted).await
        }
        ServiceCommand::Back { name, unlisted } => {
            submit(client, Change::BringServerBack { name }, unlisted).await
        }
    }
}

async fn submit(client: &Client, change: Change, unlisted: bool) -> Result<Report, CliError> {
    let (body, answer) = send(client, change, unlisted).await?;
    let json = json!({ "id": body.id, "revision": answer.revision, "effect": answer.effect });
    Ok(Report::new(describe(&body.change, &answer), json))
}

/// Submits a change that carries the hash of a new key, and shows the key itself.
async fn submit_key(client: &Client, change: Change, key: &str) -> Result<Report, CliError> {
    let (body, answer) = send(client, change, false).await?;
    let told = describe(&body.change, &answer);
    let text = format!("{told}\nkey: {key}\nThe key is shown only here; its hash is stored.");
    let json = json!({
        "id": body.id,
        "revision": answer.revision,
        "effect": answer.effect,
        "key": key,
    });
    Ok(Report::new(text, json))
}

async fn send(
    client: &Client,
    change: Change,
    allow_unlisted: bool,
) -> Result<(ChangeBody, ChangeResponse), CliError> {
    let body = ChangeBody {
        id: draw::<CHANGE_ID_BYTES>()?.into(),
        change,
        allow_unlisted,
    };
    let answer = client.change(&body).await?;
    Ok((body, answer))
}

fn describe(change: &Change, answer: &ChangeResponse) -> CompactString {
    let note = match answer.effect {
        EffectCode::Made | EffectCode::StoredBefore => "",
        EffectCode::AlreadySo => ", it was already so",
    };
    format!("{change}: stored in revision {}{note}", answer.revision).into()
}

/// Hexadecimal text of random bytes.
fn draw<const BYTES: usize>() -> Result<String, CliError> {
    let mut bytes = [0; BYTES];
    getrandom::fill(&mut bytes).context(RandomSnafu)?;
    Ok(hex::encode(bytes))
}
