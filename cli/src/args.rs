//! Arguments of the command line.

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
    after_help = "Exit codes: 0 done; 1 refused, nothing changed; 2 wrong usage; \
    3 not done, but another try or host may do it; 4 unknown whether a change is stored."
)]
pub(crate) struct Args {
    /// Operators' listener of a host. Give several to fall back on the next when one cannot be
    /// reached; `CARDAMOMSHIFT_HOST` holds a comma-separated list.
    #[arg(long = "host", global = true, value_name = "IP:PORT")]
    pub(crate) hosts: Vec<SocketAddr>,
    /// File with the operators' key; `CARDAMOMSHIFT_KEY` holds the key itself.
    #[arg(long, global = true, value_name = "FILE")]
    pub(crate) key_file: Option<PathBuf>,
    /// Print JSON.
    #[arg(long, global = true)]
    pub(crate) json: bool,
    /// What to do.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Workspaces, who are charged for requests.
    #[command(subcommand)]
    Workspace(WorkspaceCommand),
    /// Classes of work and their targets.
    #[command(subcommand)]
    Class(ClassCommand),
    /// Failure domains: take out of service and bring back.
    #[command(subcommand)]
    Domain(AvailabilityCommand),
    /// Backend servers: take out of service and bring back.
    #[command(subcommand)]
    Server(AvailabilityCommand),
    /// Hosts, servers, pools, backlog and fairness, as each given host sees them.
    Status,
    /// The configuration.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Print a completion script.
    Completions {
        /// Shell that the script is for.
        shell: Shell,
    },
}

/// Commands on workspaces.
#[derive(Debug, Subcommand)]
pub(crate) enum WorkspaceCommand {
    /// Create a workspace and print its key, once.
    Create {
        /// Name.
        name: CompactString,
    },
    /// List workspaces.
    List,
    /// Stop serving a workspace.
    Disable {
        /// Name.
        name: CompactString,
    },
    /// Serve a workspace again.
    Enable {
        /// Name.
        name: CompactString,
    },
    /// Replace the key of a workspace and print the new one, once.
    RotateKey {
        /// Name.
        name: CompactString,
    },
}

/// Commands on classes.
#[derive(Debug, Subcommand)]
pub(crate) enum ClassCommand {
    /// Create a class or change its target.
    Set {
        /// Name.
        name: CompactString,
        /// Time within which a request of the class must have started, milliseconds.
        target_ms: u64,
    },
    /// List classes; the first one is the default.
    List,
    /// Remove a class.
    Remove {
        /// Name.
        name: CompactString,
    },
}

/// Commands on failure domains and backend servers.
#[derive(Debug, Subcommand)]
pub(crate) enum AvailabilityCommand {
    /// Take out of service: no new work.
    Out {
        /// Name in the host list.
        name: CompactString,
        /// Accept a name that the host list does not show.
        #[arg(long)]
        unlisted: bool,
    },
    /// Bring back into service.
    Back {
        /// Name in the host list.
        name: CompactString,
        /// Accept a name that the host list does not show.
        #[arg(long)]
        unlisted: bool,
    },
}

/// Commands on the configuration.
#[derive(Debug, Subcommand)]
pub(crate) enum ConfigCommand {
    /// Show the configuration in force.
    Show,
    /// Show the latest changes.
    History,
    /// Show what differs between two revisions that the host has seen.
    Diff {
        /// Earlier revision; by default the one before the later.
        #[arg(long)]
        from: Option<u64>,
        /// Later revision; by default the one in force.
        #[arg(long)]
        to: Option<u64>,
    },
}
