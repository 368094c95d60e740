//! Parsing and validation of settings, and the key and line that errors name.

use std::path::Path;

use cardamomshift_lib::settings::Settings;
use cardamomshift_lib::settings::SettingsError;

const VALID: &str = r#"[host]
name = "entry-1"
domain = "bern-a"

[listen]
callers = "127.0.0.1:8080"
peers = "127.0.0.1:7100"
operators = "127.0.0.1:7200"
metrics = "127.0.0.1:9100"

[platform]
object_api = "127.0.0.1:2480"
host_list = "127.0.0.1:2481"

[fleet]
key = "fleet-key-0123456789abcdef"

[operators]
key = "operator-key-0123456789abcdef"

[limits]
body_bytes = 2048
connections = 10

[log]
level = "warn"
"#;

/// Parses the valid settings with `from` replaced by `to`. Returns the key, the line and the reason
/// of the error.
fn parse_error(from: &str, to: &str) -> (String, usize, String) {
    assert!(VALID.contains(from), "{from}");
    let text = VALID.replacen(from, to, 1);
    match Settings::parse(&text) {
        Err(SettingsError::Invalid { key, line, reason }) => (key, line, reason),
        other => panic!("{other:?}"),
    }
}

#[test]
fn valid_settings_are_read() {
    let settings = Settings::parse(VALID).unwrap();
    assert_eq!(settings.host.domain, "bern-a");
    assert_eq!(settings.limits.body_bytes, 2048);
    assert_eq!(settings.limits.idle_timeout_ms, 30_000);
    assert_eq!(settings.log.level, "warn");
}

#[test]
fn errors_name_key_and_line() {
    let cases = [
        ("name = \"entry-1\"", "name = \"\"", "host.name", 2),
        (
            "domain = \"bern-a\"",
            "domain = \"bern a\"",
            "host.domain",
            3,
        ),
        (
            "domain = \"bern-a\"",
            "domian = \"bern-a\"",
            "host.domian",
            3,
        ),
        ("name = \"entry-1\"", "name = 7", "host.name", 2),
        ("[log]", "[logs]", "logs", 25),
        ("127.0.0.1:8080", "127.0.0.1:0", "listen.callers", 6),
        ("127.0.0.1:8080", "localhost:8080", "listen.callers", 6),
        ("127.0.0.1:9100", "127.0.0.1:7200", "listen.metrics", 9),
        ("127.0.0.1:7200", "0.0.0.0:7100", "listen.operators", 8),
        ("127.0.0.1:7100", "0.0.0.0:7100", "listen.peers", 7),
        ("127.0.0.1:2481", "127.0.0.1:0", "platform.host_list", 13),
        (
            "body_bytes = 2048",
            "body_bytes = 12",
            "limits.body_bytes",
            22,
        ),
        (
            "body_bytes = 2048",
            "body_bytes = -1",
            "limits.body_bytes",
            22,
        ),
        (
            "connections = 10",
            "connections = 0",
            "limits.connections",
            23,
        ),
        (
            "connections = 10",
            "header_bytes = 100",
            "limits.header_bytes",
            23,
        ),
        (
            "connections = 10",
            "drain_timeout_ms = 0",
            "limits.drain_timeout_ms",
            23,
        ),
        (
            "connections = 10",
            "idle_timeout_ms = 3_600_001",
            "limits.idle_timeout_ms",
            23,
        ),
        ("level = \"warn\"", "level = \"loud\"", "log.level", 26),
        ("fleet-key-0123456789abcdef", "short", "fleet.key", 16),
        ("operator-key-", "fleet-key-", "operators.key", 19),
        (
            "[operators]",
            "source = \"::1\"\n[operators]",
            "fleet.source",
            18,
        ),
    ];
    for (from, to, key, line) in cases {
        let error = parse_error(from, to);
        assert_eq!(
            (error.0.as_str(), error.1),
            (key, line),
            "{to}: {}",
            error.2
        );
    }
}

#[test]
fn error_names_a_missing_key() {
    let (key, line, reason) = parse_error("domain = \"bern-a\"\n", "");
    assert_eq!((key.as_str(), line), ("host", 1));
    assert!(reason.contains("domain"), "{reason}");
}

#[test]
fn error_in_toml_syntax_has_its_line() {
    let (_, line, _) = parse_error("body_bytes = 2048", "body_bytes 2048");
    assert_eq!(line, 22);
}

#[test]
fn error_states_the_allowed_range() {
    let error = parse_error("body_bytes = 2048", "body_bytes = 12");
    assert_eq!(error.2, "must be between 1024 and 67108864, is 12");
}

#[test]
fn secrets_appear_in_no_error_and_no_debug_text() {
    let invalid_keys = [
        "\"tell-tale",
        "\"tell-tale\"",
        "tell-tale",
        "99887766554433221100",
        "998877665544",
        "[\"tell-tale-0123456789abcdef\"]",
        "{ tell-tale = 1 }",
        "\"tell-tale-0123456789 with spaces\"",
        "1998-08-07",
    ];
    for value in invalid_keys {
        let text = VALID.replacen("\"fleet-key-0123456789abcdef\"", value, 1);
        let err = Settings::parse(&text).unwrap_err();
        let shown = format!("{err} {err:?}");
        let leaks = ["tell-tale", "998877", "1998"]
            .iter()
            .any(|part| shown.contains(part));
        assert!(!leaks, "{shown}");
    }
    let shown = format!("{:?}", Settings::parse(VALID).unwrap());
    assert!(!shown.contains("0123456789abcdef"), "{shown}");
}

#[test]
fn examples_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples");
    for (file, domain) in [("flipperliga", "bern-a"), ("teranga", "dakar-plateau")] {
        let settings = Settings::load(&folder.join(file).with_extension("toml")).unwrap();
        assert_eq!(settings.host.domain, domain);
    }
}

#[test]
fn error_names_a_missing_file() {
    let err = Settings::load(Path::new("/nowhere/settings.toml")).unwrap_err();
    assert!(err.to_string().contains("/nowhere/settings.toml"), "{err}");
}
