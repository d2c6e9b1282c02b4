//! Tests of settings files: values, defaults, overrides from the environment
//! and reports of all faults at once.

use std::{path::Path, time::Duration};

use dottereltally::settings::{Format, Settings, wire};
use rstest::rstest;

/// Settings with every field.
const ALL_SETTINGS: &str = r#"
node: entry-1
data_centre: plovdiv
listen: {callers: "127.0.0.1:1", peers: "127.0.0.1:2", operations: "127.0.0.1:3"}
platform: {kv: ["127.0.0.1:2379", "127.0.0.1:2380"], hosts: "http://127.0.0.1:9000/hosts", timeout: 250ms}
limits: {head: 32KiB, body: 1MiB, head_timeout: 1s, body_timeout: 2s, inactivity: 3s}
shutdown: {notice: 4s, grace: 5s}
log: {format: text, level: warn}
"#;

/// Settings with only the required fields.
const REQUIRED_SETTINGS: &str = r#"
node: entry-1
data_centre: plovdiv
listen: {callers: "127.0.0.1:1", peers: "127.0.0.1:2", operations: "127.0.0.1:3"}
platform: {kv: ["127.0.0.1:2379"], hosts: "http://127.0.0.1:9000/hosts"}
"#;

fn parse(content: &str) -> Result<Settings, Vec<wire::Fault>> {
    wire::parse(Path::new("node.yaml"), content, &|_| None)
}

/// Returns the lines and remedies of the faults.
fn faults(content: &str) -> Vec<(Option<u64>, String)> {
    let faults = parse(content).expect_err("faults");
    let mut found = Vec::new();
    for fault in faults {
        found.push((fault.line, fault.message));
    }
    found
}

#[test]
fn reads_every_value() {
    let settings = parse(ALL_SETTINGS).expect("valid settings");
    assert_eq!(settings.node.as_str(), "entry-1");
    assert_eq!(settings.data_centre.as_str(), "plovdiv");
    assert_eq!(settings.listen.peers, "127.0.0.1:2");
    assert_eq!(settings.platform.kv, ["127.0.0.1:2379", "127.0.0.1:2380"]);
    assert_eq!(settings.platform.timeout, Duration::from_millis(250));
    assert_eq!(settings.limits.head, 32 * 1024);
    assert_eq!(settings.limits.body, 1024 * 1024);
    assert_eq!(settings.limits.inactivity, Duration::from_secs(3));
    assert_eq!(settings.shutdown.notice, Duration::from_secs(4));
    assert_eq!(settings.log.format, Format::Text);
    assert_eq!(settings.log.level, tracing::Level::WARN);
}

#[rstest]
#[case(include_str!("../../examples/settings-balkan.yaml"))]
#[case(include_str!("../../examples/settings-bulu-mata.yaml"))]
fn reads_the_example_files(#[case] content: &str) {
    assert!(parse(content).is_ok(), "{:?}", parse(content));
}

#[test]
fn fills_in_defaults() {
    let settings = parse(REQUIRED_SETTINGS).expect("valid settings");
    assert_eq!(settings.limits.head, 16 * 1024);
    assert_eq!(settings.limits.body, 4 * 1024 * 1024);
    assert_eq!(settings.limits.body_timeout, Duration::from_secs(30));
    assert_eq!(settings.shutdown.grace, Duration::from_mins(1));
    assert_eq!(settings.log.format, Format::Json);
}

#[test]
fn takes_addresses_from_the_environment() {
    let environment = |name: &str| {
        let value = match name {
            "DOTTERELTALLY_LISTEN_CALLERS" => "127.0.0.1:11",
            "DOTTERELTALLY_KV" => "127.0.0.1:12, 127.0.0.1:13",
            "DOTTERELTALLY_HOSTS" => "http://127.0.0.1:14/list",
            _ => return None,
        };
        Some(value.to_owned())
    };
    let settings = wire::parse(Path::new("node.yaml"), REQUIRED_SETTINGS, &environment);
    let settings = settings.expect("valid settings");
    assert_eq!(settings.listen.callers, "127.0.0.1:11");
    assert_eq!(settings.listen.peers, "127.0.0.1:2");
    assert_eq!(settings.platform.kv, ["127.0.0.1:12", "127.0.0.1:13"]);
    assert_eq!(settings.platform.hosts, "http://127.0.0.1:14/list");
}

#[test]
fn reports_every_fault_with_its_line() {
    let content = r#"data_centre: "a b"
listen:
  callers: localhost
  peers: "127.0.0.1:2"
platform:
  kv: ["127.0.0.1:2379", "nowhere"]
  hosts: "https://127.0.0.1/hosts"
limits:
  head: 1KiB
  body: 5
  inactivity: 3
log: {level: loud}
"#;
    let found = faults(content);
    let mut lines = Vec::new();
    for (line, _) in &found {
        lines.push(*line);
    }
    let expected = [
        None,
        Some(1),
        Some(3),
        None,
        Some(6),
        Some(7),
        Some(9),
        Some(10),
        Some(11),
        Some(12),
    ];
    assert_eq!(lines, expected, "{found:#?}");
    for (_, message) in &found {
        assert!(message.contains(';'), "no remedy in {message}");
    }
}

#[rstest]
#[case::not_yaml("node: a\nlisten: {\n", Some(2))]
#[case::wrong_type("node: {a: b}\n", Some(1))]
#[case::wrong_section_type("node: a\nlisten: 3\n", Some(2))]
fn reports_the_line_of_a_syntax_or_type_error(#[case] content: &str, #[case] line: Option<u64>) {
    let found = faults(content);
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!(found[0].0, line, "{found:?}");
    assert!(!found[0].1.contains('\n'), "{found:?}");
}

#[test]
fn lists_unknown_fields_with_the_other_faults() {
    let content = r#"node: a
nods: b
data_centre: d
listen: {callers: "127.0.0.1:1", peers: "127.0.0.1:2", operations: "127.0.0.1:3"}
platform:
  kv: ["127.0.0.1:4"]
  hosts: "http://127.0.0.1:5/hosts"
  colour: red
log: {level: loud}
"#;
    let found = faults(content);
    let mut lines = Vec::new();
    for (line, _) in &found {
        lines.push(*line);
    }
    assert_eq!(lines, [Some(2), Some(8), Some(9)], "{found:#?}");
    assert!(found[0].1.contains("`nods`"), "{found:#?}");
}

#[test]
fn names_the_file_and_line() {
    let faults = parse("node: {a: b}\n").expect_err("a fault");
    assert!(faults[0].to_string().starts_with("node.yaml:1: "));
}
