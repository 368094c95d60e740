//! Comparison of two configurations for display to operators.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use super::Class;
use super::Configuration;
use super::Workspace;

/// One difference between an earlier and a later configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Difference {
    /// A workspace was created.
    WorkspaceCreated {
        /// Name of the workspace.
        name: CompactString,
    },
    /// The later configuration lacks a workspace. No change removes one, but an object that was
    /// restored by hand may lack it.
    WorkspaceRemoved {
        /// Name of the workspace.
        name: CompactString,
    },
    /// The key of a workspace was replaced.
    KeyRotated {
        /// Name of the workspace.
        name: CompactString,
    },
    /// A workspace was enabled: its requests are served again.
    WorkspaceEnabled {
        /// Name of the workspace.
        name: CompactString,
    },
    /// A workspace was disabled: its requests are refused.
    WorkspaceDisabled {
        /// Name of the workspace.
        name: CompactString,
    },
    /// A class of requests was created.
    ClassCreated {
        /// Name of the class.
        name: CompactString,
        /// Longest time that a request of the class may wait to be dispatched, in milliseconds from
        /// its arrival.
        target_ms: u64,
    },
    /// A class was removed.
    ClassRemoved {
        /// Name of the class.
        name: CompactString,
    },
    /// The target of a class was changed.
    TargetChanged {
        /// Name of the class.
        name: CompactString,
        /// Earlier target, in milliseconds.
        from_ms: u64,
        /// Later target, in milliseconds.
        to_ms: u64,
    },
    /// A failure domain was taken out of service.
    DomainOut {
        /// Name of the failure domain.
        name: CompactString,
    },
    /// A failure domain was put back into service.
    DomainBack {
        /// Name of the failure domain.
        name: CompactString,
    },
    /// A backend server was taken out of service.
    ServerOut {
        /// Name of the backend server.
        name: CompactString,
    },
    /// A backend server was put back into service.
    ServerBack {
        /// Name of the backend server.
        name: CompactString,
    },
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::WorkspaceCreated { name } => write!(f, "+ workspace {name}"),
            Self::WorkspaceRemoved { name } => write!(f, "- workspace {name}"),
            Self::KeyRotated { name } => write!(f, "~ workspace {name}: new key"),
            Self::WorkspaceEnabled { name } => write!(f, "~ workspace {name}: enabled"),
            Self::WorkspaceDisabled { name } => write!(f, "~ workspace {name}: disabled"),
            Self::ClassCreated { name, target_ms } => {
                write!(f, "+ class {name}: target {target_ms} ms")
            }
            Self::ClassRemoved { name } => write!(f, "- class {name}"),
            Self::TargetChanged {
                name,
                from_ms,
                to_ms,
            } => write!(f, "~ class {name}: target {from_ms} ms -> {to_ms} ms"),
            Self::DomainOut { name } => write!(f, "~ failure domain {name}: out of service"),
            Self::DomainBack { name } => write!(f, "~ failure domain {name}: back in service"),
            Self::ServerOut { name } => write!(f, "~ backend server {name}: out of service"),
            Self::ServerBack { name } => write!(f, "~ backend server {name}: back in service"),
        }
    }
}

/// Lists the differences between two configurations, grouped by kind. Workspaces are matched by
/// their numbers, classes by their names. Revisions, change records, the order of classes and
/// `next_workspace` are ignored.
pub fn differences(from: &Configuration, to: &Configuration) -> Vec<Difference> {
    let mut found = Vec::new();
    compare_workspaces(&from.workspaces, &to.workspaces, &mut found);
    compare_classes(&from.classes, &to.classes, &mut found);
    let (domains, servers) = (&to.domains_out, &to.servers_out);
    found.extend(added(&from.domains_out, domains).map(|name| Difference::DomainOut { name }));
    found.extend(added(domains, &from.domains_out).map(|name| Difference::DomainBack { name }));
    found.extend(added(&from.servers_out, servers).map(|name| Difference::ServerOut { name }));
    found.extend(added(servers, &from.servers_out).map(|name| Difference::ServerBack { name }));
    found
}

/// Returns the names in `to` that are not in `from`.
fn added<'a>(
    from: &'a BTreeSet<CompactString>,
    to: &'a BTreeSet<CompactString>,
) -> impl Iterator<Item = CompactString> + 'a {
    to.difference(from).cloned()
}

fn compare_workspaces(from: &[Workspace], to: &[Workspace], found: &mut Vec<Difference>) {
    let mut earlier: HashMap<_, _> = from.iter().map(|entry| (entry.id, entry)).collect();
    for later in to {
        let name = later.name.clone();
        let Some(before) = earlier.remove(&later.id) else {
            found.push(Difference::WorkspaceCreated { name });
            continue;
        };
        if before.key_hash != later.key_hash {
            let name = name.clone();
            found.push(Difference::KeyRotated { name });
        }
        if before.enabled != later.enabled {
            found.push(if later.enabled {
                Difference::WorkspaceEnabled { name }
            } else {
                Difference::WorkspaceDisabled { name }
            });
        }
    }
    let removed = from.iter().filter(|entry| earlier.contains_key(&entry.id));
    found.extend(removed.map(|entry| Difference::WorkspaceRemoved {
        name: entry.name.clone(),
    }));
}

fn compare_classes(from: &[Class], to: &[Class], found: &mut Vec<Difference>) {
    for later in to {
        let name = later.name.clone();
        match from.iter().find(|class| class.name == later.name) {
            None => found.push(Difference::ClassCreated {
                name,
                target_ms: later.target_ms,
            }),
            Some(before) if before.target_ms != later.target_ms => {
                found.push(Difference::TargetChanged {
                    name,
                    from_ms: before.target_ms,
                    to_ms: later.target_ms,
                });
            }
            Some(_) => {}
        }
    }
    let gone = |class: &&Class| !to.iter().any(|later| later.name == class.name);
    found.extend(
        from.iter()
            .filter(gone)
            .map(|class| Difference::ClassRemoved {
                name: class.name.clone(),
            }),
    );
}
