//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Parser;
use clap::Subcommand;
use clap_complete::Shell;
use compact_str::CompactString;

/// Operates a cardamomshift fleet through the operators' interface of its hosts.
#[derive(Debug, Parser)]
#[command(name = "cardamomshift", version, propagate_version = true)]
#[command(
    after_help = "Exit codes: 0 success; 1 refused, nothing changed; 2 usage error; 3 failed, may \
    succeed on a retry or on another host; 4 unknown whether the change is stored."
)]
pub(crate) struct Args {
    /// Address of the operators' listener of a host. If several are given, the next one is used
    /// when one cannot be reached; `status` asks all of them. Default: the comma-separated list in
    /// `CARDAMOMSHIFT_HOST`.
    #[arg(long = "host", global = true, value_name = "IP:PORT")]
    pub(crate) hosts: Vec<SocketAddr>,
    /// File with the operators' key. Default: the key in `CARDAMOMSHIFT_KEY`.
    #[arg(long, global = true, value_name = "FILE")]
    pub(crate) key_file: Option<PathBuf>,
    /// Print JSON.
    #[arg(long, global = true)]
    pub(crate) json: bool,
    /// Command to run.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Commands of the tool.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Manage workspaces (customers), each with its own key.
    #[command(subcommand)]
    Workspace(WorkspaceCommand),
    /// Manage classes of requests and their target times.
    #[command(subcommand)]
    Class(ClassCommand),
    /// Take failure domains (zones) out of service and bring them back.
    #[command(subcommand)]
    Domain(AvailabilityCommand),
    /// Take backend servers out of service and bring them back.
    #[command(subcommand)]
    Server(AvailabilityCommand),
    /// Show hosts, backend servers and pools from the status of all given hosts. A pool is the
    /// queue of a service in a failure domain, with its servers. Its fairness gap is the largest
    /// difference in work done so far between workspaces with waiting requests.
    Status,
    /// Show the configuration (workspaces, classes, what is out of service) and its history.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Print a shell completion script.
    Completions {
        /// Shell to print the script for.
        shell: Shell,
    },
}

/// Commands on workspaces.
#[derive(Debug, Subcommand)]
pub(crate) enum WorkspaceCommand {
    /// Create a workspace and print its key, which is not shown again.
    Create {
        /// Name of the workspace.
        name: CompactString,
    },
    /// List workspaces.
    List,
    /// Stop serving a workspace.
    Disable {
        /// Name of the workspace.
        name: CompactString,
    },
    /// Serve a disabled workspace again.
    Enable {
        /// Name of the workspace.
        name: CompactString,
    },
    /// Replace the key of a workspace and print the new one, which is not shown again.
    RotateKey {
        /// Name of the workspace.
        name: CompactString,
    },
}

/// Commands on classes.
#[derive(Debug, Subcommand)]
pub(crate) enum ClassCommand {
    /// Create a class or change its target.
    Set {
        /// Name of the class.
        name: CompactString,
        /// Time within which a request of the class should start to run, milliseconds.
        target_ms: u64,
    },
    /// List classes, oldest first. The first one applies to requests that name no class.
    List,
    /// Remove a class.
    Remove {
        /// Name of the class.
        name: CompactString,
    },
}

/// Commands on failure domains and backend servers.
#[derive(Debug, Subcommand)]
pub(crate) enum AvailabilityCommand {
    /// Take out of service: no new requests are sent there.
    Out {
        /// Name of the failure domain or backend server, as in the host list (the platform's list
        /// of hosts and backend servers with their failure domains).
        name: CompactString,
        /// Accept a name that is neither in the host list nor out of service. Without this flag,
        /// such a name is refused, since it is probably misspelled.
        #[arg(long)]
        unlisted: bool,
    },
    /// Bring back into service.
    Back {
        /// Name of the failure domain or backend server, as in the host list (the platform's list
        /// of hosts and backend servers with their failure domains).
        name: CompactString,
        /// Accept a name that is neither in the host list nor out of service. Without this flag,
        /// such a name is refused, since it is probably misspelled.
        #[arg(long)]
        unlisted: bool,
    },
}

/// Commands that show the configuration.
#[derive(Debug, Subcommand)]
pub(crate) enum ConfigCommand {
    /// Show the configuration in force.
    Show,
    /// Show the most recent changes.
    History,
    /// Show the differences between two revisions that the host still keeps.
    Diff {
        /// Earlier revision. Default: the one before the later revision.
        #[arg(long)]
        from: Option<u64>,
        /// Later revision. Default: the one in force.
        #[arg(long)]
        to: Option<u64>,
    },
}
