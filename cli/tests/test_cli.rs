//! Tests of the command-line tool with hosts that serve the operators' interface.

#[path = "../../lib/tests/operator_host/mod.rs"]
mod operator_host;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Output;

use cardamomshift_lib::configuration::Configuration;
use cardamomshift_lib::configuration::hash_key;
use cardamomshift_lib::platform::CONFIGURATION_KIND;
use cardamomshift_lib::platform::CONFIGURATION_NAME;
use cardamomshift_testutils::ObjectApi;
use cardamomshift_testutils::Outage;
use operator_host::KEY;
use operator_host::OperatorHost;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::process::Command;

/// Hosts that share a store of configurations.
struct Fleet {
    api: ObjectApi,
    hosts: Vec<OperatorHost>,
}

impl Fleet {
    async fn start(count: usize) -> Self {
        let api = ObjectApi::start("127.0.0.1:0".parse().unwrap());
        let mut hosts = Vec::new();
        for i in 1..=count {
            let name = format!("entry-{i}");
            hosts.push(OperatorHost::start(&name, api.address()).await);
        }
        Self { api, hosts }
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.address).collect()
    }

    /// Runs the tool with the arguments in `line` and the addresses of all hosts.
    async fn run(&self, line: &str) -> Output {
        run(&self.addresses(), line).await
    }

    async fn run_json(&self, line: &str) -> Value {
        let output = self.run(&format!("--json {line}")).await;
        assert!(output.status.success(), "{}", stderr(&output));
        serde_json::from_slice(&output.stdout).unwrap()
    }

    /// The configuration in the store.
    fn stored(&self) -> Configuration {
        let object = self
            .api
            .handle()
            .get(CONFIGURATION_KIND, CONFIGURATION_NAME);
        let (version, bytes) = object.unwrap();
        Configuration::parse(version, &bytes).unwrap()
    }
}

async fn run(hosts: &[SocketAddr], line: &str) -> Output {
    let mut command = cli_command();
    command.env("CARDAMOMSHIFT_KEY", KEY);
    for host in hosts {
        command.arg("--host").arg(host.to_string());
    }
    command
        .args(line.split_whitespace())
        .output()
        .await
        .unwrap()
}

/// The tool, without hosts and a key from the environment of the test.
fn cli_command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cardamomshift"));
    command
        .env_remove("CARDAMOMSHIFT_HOST")
        .env_remove("CARDAMOMSHIFT_KEY");
    command
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// An address on which nothing listens.
fn unreachable_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// A host that reads requests and closes the connection without a response.
async fn unresponsive_host() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4096]).await;
        }
    });
    address
}

#[tokio::test]
async fn workspace_keys_are_shown_once_and_only_hashes_stored() {
    let fleet = Fleet::start(1).await;
    let created = fleet.run_json("workspace create arcade-a").await;
    let key = created["key"].as_str().unwrap();
    assert_eq!(key.len(), 64);
    assert_eq!(
        fleet.stored().workspaces[0].key_hash,
        hash_key(key.as_bytes())
    );
    let rotated = fleet.run_json("workspace rotate-key arcade-a").await;
    assert_ne!(rotated["key"], key);
    for line in ["workspace list", "config show", "config history", "status"] {
        let text = stdout(&fleet.run(line).await);
        assert!(!text.contains(key), "{line}: {text}");
        assert!(!text.contains(KEY), "{line}: {text}");
    }
}

#[tokio::test]
async fn every_change_reaches_the_store() {
    let fleet = Fleet::start(1).await;
    for line in [
        "workspace create arcade-a",
        "workspace create arcade-b",
        "workspace disable arcade-a",
        "workspace enable arcade-a",
        "workspace disable arcade-b",
        "class set interactive 2000",
        "class set batch 60000",
        "class set night 1",
        "class remove night",
        "domain out bern-a",
        "domain out zurich-b",
        "domain back zurich-b",
        "server out worker-1",
        "server out worker-2",
        "server back worker-2",
    ] {
        let output = fleet.run(line).await;
        assert!(output.status.success(), "{line}: {}", stderr(&output));
        assert!(stdout(&output).contains("stored in revision"), "{line}");
    }
    let stored = fleet.stored();
    assert!(stored.workspaces[0].enabled && !stored.workspaces[1].enabled);
    assert_eq!(stored.classes.len(), 2);
    assert!(stored.domains_out.iter().eq(["bern-a"]));
    assert!(stored.servers_out.iter().eq(["worker-1"]));
    let again = fleet.run("domain out bern-a").await;
    assert!(stdout(&again).contains("without effect (already in this state)"));
}

#[tokio::test]
async fn refusals_exit_with_1_and_state_the_reason() {
    let fleet = Fleet::start(1).await;
    fleet.run("workspace create arcade-a").await;
    for (line, expected_text) in [
        ("workspace create arcade-a", "already a workspace arcade-a"),
        ("workspace create Arcade", "no valid name"),
        ("workspace disable arcade-b", "no workspace arcade-b"),
        ("class set batch 0", "between 1 and 3600000 ms"),
        ("domain out bern-b", "not in the host list"),
        ("config diff --from 99", "does not keep revision 99"),
    ] {
        let output = fleet.run(line).await;
        let has_text = stderr(&output).contains(expected_text);
        // Another host may still keep the revision, so that refusal counts as a failure.
        let expected = if line.starts_with("config") { 3 } else { 1 };
        assert_eq!(
            (output.status.code(), has_text),
            (Some(expected), true),
            "{output:?}"
        );
    }
    assert_eq!(fleet.stored().changes.len(), 1);
}

#[tokio::test]
async fn next_host_is_tried_when_one_cannot_be_reached() {
    let fleet = Fleet::start(1).await;
    let hosts = [unreachable_address(), fleet.hosts[0].address];
    let output = run(&hosts, "class set batch 5").await;
    assert!(output.status.success(), "{}", stderr(&output));
    assert!(run(&hosts, "config show").await.status.success());
}

#[tokio::test]
async fn stopped_host_is_skipped() {
    let mut fleet = Fleet::start(2).await;
    let hosts = fleet.addresses();
    let stopped = fleet.hosts.remove(0);
    stopped.control.stop();
    stopped.served.await.unwrap();
    let output = run(&hosts, "class set batch 5").await;
    assert!(output.status.success(), "{}", stderr(&output));
}

#[tokio::test]
async fn change_with_a_lost_response_is_stored_once() {
    let fleet = Fleet::start(1).await;
    fleet.api.handle().drop_write_responses(1);
    let hosts = [unresponsive_host().await, fleet.hosts[0].address];
    let output = run(&hosts, "class set batch 5").await;
    assert!(output.status.success(), "{}", stderr(&output));
    assert_eq!(fleet.stored().changes.len(), 1);
}

#[tokio::test]
async fn unknown_outcome_exits_with_4() {
    let output = run(&[unresponsive_host().await], "class set batch 5").await;
    assert_eq!(output.status.code(), Some(4), "{}", stderr(&output));
    assert!(stderr(&output).contains("unknown whether the change is stored"));
    // A refusal by the second host does not show that the change is not stored, since the first
    // host may still be storing it.
    let fleet = Fleet::start(1).await;
    let hosts = [unresponsive_host().await, fleet.hosts[0].address];
    let output = run(&hosts, "workspace disable nobody").await;
    assert_eq!(output.status.code(), Some(4), "{}", stderr(&output));
}

#[tokio::test]
async fn outage_and_unreachable_hosts_exit_with_3() {
    let fleet = Fleet::start(1).await;
    fleet.api.handle().set_outage(Outage::Unavailable);
    let output = fleet.run("--json class set batch 5").await;
    assert_eq!(output.status.code(), Some(3));
    let error: Value = serde_json::from_slice(&output.stderr).unwrap();
    assert_eq!(error["error"]["code"], "not_stored");
    let output = run(&[unreachable_address()], "status").await;
    assert_eq!(output.status.code(), Some(3));
}

#[tokio::test]
async fn wrong_usage_exits_with_2() {
    for (line, variables, expected_text) in [
        ("status", vec![], "--host"),
        ("--host 127.0.0.1:1 status", vec![], "--key-file"),
        (
            "--host 127.0.0.1:1 --key-file /nowhere status",
            vec![],
            "/nowhere",
        ),
        ("status", vec![("CARDAMOMSHIFT_HOST", "here:1")], "here:1"),
        ("--host here status", vec![], "--host"),
        ("workspace melt a", vec![], "melt"),
    ] {
        let mut command = cli_command();
        command.args(line.split_whitespace()).envs(variables);
        let output = command.output().await.unwrap();
        let has_text = stderr(&output).contains(expected_text);
        assert_eq!(
            (output.status.code(), has_text),
            (Some(2), true),
            "{output:?}"
        );
    }
}

#[tokio::test]
async fn wrong_key_is_refused_and_not_shown() {
    let fleet = Fleet::start(1).await;
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("operator.key");
    let host = fleet.hosts[0].address.to_string();
    for (key, expected) in [(format!("{KEY}\n"), 0), ("wrong-tell-tale".to_owned(), 1)] {
        std::fs::write(&file, key).unwrap();
        let mut command = cli_command();
        command
            .args(["--host", &host, "--key-file"])
            .arg(&file)
            .arg("status");
        let output = command.output().await.unwrap();
        assert_eq!(output.status.code(), Some(expected), "{output:?}");
        assert!(!stderr(&output).contains("tell-tale"));
    }
}

#[tokio::test]
async fn status_joins_the_hosts_that_answer() {
    let fleet = Fleet::start(2).await;
    let mut hosts = fleet.addresses();
    hosts.push(unreachable_address());
    let output = run(&hosts, "--json status").await;
    let status: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(status["statuses"][1]["host"], "entry-2");
    assert_eq!(status["errors"].as_array().unwrap().len(), 1);
    let pool = &status["pools"][0];
    assert_eq!(
        (&pool["service"], &pool["domain"]),
        (&json!("chat"), &json!("bern-a"))
    );
    assert_eq!(pool["servers"][0]["name"], "worker-1");
    assert_eq!(pool["fairness_gap"], 30);
    let text = stdout(&run(&hosts, "status").await);
    assert!(
        text.contains("pool chat in bern-a, scheduled by entry-1"),
        "{text}"
    );
    assert!(text.contains("gave no status"), "{text}");
}

#[tokio::test]
async fn history_and_diff_are_shown() {
    let fleet = Fleet::start(1).await;
    fleet.run("class set batch 5").await;
    fleet.run("class set batch 7").await;
    let history = stdout(&fleet.run("config history").await);
    assert!(
        history.contains("set target of class batch to 7 ms"),
        "{history}"
    );
    let diff = stdout(&fleet.run("config diff --from 1 --to 2").await);
    assert!(
        diff.contains("~ class batch: target 5 ms -> 7 ms"),
        "{diff}"
    );
    let diff = fleet.run_json("config diff --from 1").await;
    assert_eq!(diff["differences"][0]["to_ms"], 7);
}

#[tokio::test]
async fn completions_need_no_host() {
    for shell in ["bash", "zsh", "fish"] {
        let output = run(&[], &format!("completions {shell}")).await;
        assert!(stdout(&output).contains("rotate-key"), "{shell}");
    }
}
