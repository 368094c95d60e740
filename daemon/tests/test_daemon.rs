//! Tests of the command line, exit codes and signals of the daemon.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

const VALID: &str = r#"
[host]
name = "host-1"
domain = "domain-1"

[listen]
callers = "127.0.0.1:18080"
peers = "127.0.0.1:18081"
operators = "127.0.0.1:18082"
metrics = "127.0.0.1:18083"

[platform]
object_api = "127.0.0.1:18084"
host_list = "127.0.0.1:18085"

[fleet]
key = "fleet-key-0123456789abcdef"

[operators]
key = "operator-key-0123456789abcdef"
"#;

/// Writes a settings file and returns its path.
fn write_settings(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

/// Valid settings whose listeners have unused ports.
fn settings_with_free_ports() -> String {
    let listeners: Vec<_> = (0..4)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    (18080..)
        .zip(&listeners)
        .fold(VALID.to_owned(), |text, (port, listener)| {
            let free = listener.local_addr().unwrap().port();
            text.replace(&format!(":{port}\""), &format!(":{free}\""))
        })
}

fn daemon() -> Command {
    Command::new(env!("CARGO_BIN_EXE_cardamomshiftd"))
}

fn check(name: &str, text: &str) -> Output {
    daemon()
        .arg("--check")
        .arg("--config")
        .arg(write_settings(name, text))
        .output()
        .unwrap()
}

#[test]
fn valid_settings_pass_the_check() {
    let output = check("valid.toml", VALID);
    assert!(output.status.success(), "{output:?}");
}

#[test]
fn unknown_setting_is_named_and_refused() {
    let text = VALID.replace("domain =", "zone =");
    let output = check("unknown.toml", &text);
    assert_eq!(output.status.code(), Some(2));
    let err = String::from_utf8(output.stderr).unwrap();
    assert!(err.contains("zone"), "{err}");
    assert!(!err.contains("fleet-key"), "{err}");
}

#[test]
fn missing_file_is_named_and_refused() {
    let output = daemon()
        .args(["--check", "--config", "/nonexistent/settings.toml"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let err = String::from_utf8(output.stderr).unwrap();
    assert!(err.contains("/nonexistent/settings.toml"), "{err}");
}

#[test]
fn missing_argument_is_a_usage_error() {
    let output = daemon().output().unwrap();
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn each_stop_signal_ends_the_daemon_gracefully() {
    for signal in ["TERM", "INT"] {
        let mut process = daemon()
            .arg("--config")
            .arg(write_settings("signals.toml", &settings_with_free_ports()))
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(process.stderr.take().unwrap()).lines();
        // The first line is logged after the signal handlers are installed.
        let first = log.next().unwrap().unwrap();
        assert!(first.contains("host-1"), "{first}");
        let killed = Command::new("kill")
            .args([format!("-{signal}"), process.id().to_string()])
            .status()
            .unwrap();
        assert!(killed.success());
        let status = process.wait().unwrap();
        assert!(status.success(), "{signal}: {status}");
        assert!(log.any(|line| line.unwrap().ends_with("stopping")));
    }
}
