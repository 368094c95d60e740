//! Creates the client from the hosts and the key that the arguments or environment variables give.

use std::env;
use std::fs;
use std::net::SocketAddr;

use cardamomshift_lib::settings::Secret;
use snafu::ResultExt;

use crate::args::Args;
use crate::client::Client;
use crate::error::CliError;
use crate::error::KeyFileSnafu;

const HOST_VARIABLE: &str = "CARDAMOMSHIFT_HOST";
const KEY_VARIABLE: &str = "CARDAMOMSHIFT_KEY";

/// Creates a client of the hosts in `args` or the environment, with the operators' key.
pub(crate) fn client(args: &Args) -> Result<Client, CliError> {
    Client::new(hosts(args)?, &key(args)?)
}

/// Addresses of the hosts. Those in `args` replace the list in the environment.
fn hosts(args: &Args) -> Result<Vec<SocketAddr>, CliError> {
    if !args.hosts.is_empty() {
        return Ok(args.hosts.clone());
    }
    let listed = env::var(HOST_VARIABLE).unwrap_or_default();
    let texts = listed
        .split(',')
        .map(str::trim)
        .filter(|text| !text.is_empty());
    let parsed = texts.map(|text| {
        text.parse().map_err(|_| CliError::InvalidHost {
            text: text.to_owned(),
        })
    });
    let hosts: Vec<SocketAddr> = parsed.collect::<Result<_, _>>()?;
    if hosts.is_empty() {
        return Err(CliError::NoHost);
    }
    Ok(hosts)
}

/// The operators' key, from the key file if `args` names one, otherwise from the environment. Line
/// breaks at its end are ignored.
fn key(args: &Args) -> Result<Secret, CliError> {
    let text = match &args.key_file {
        Some(path) => fs::read_to_string(path).context(KeyFileSnafu { path })?,
        None => env::var(KEY_VARIABLE).map_err(|_| CliError::NoKey)?,
    };
    let key = text.trim_end_matches(['\r', '\n']);
    if key.is_empty() || !key.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(CliError::InvalidKey);
    }
    Ok(Secret::new(key))
}
