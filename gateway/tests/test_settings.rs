//! Parsing of settings: all faults are reported at once, each with a correction.

use dottereltally_gateway::settings::parse;

const VALID: &str = r#"
node: "n"
data_centre: "dc"
listen:
  callers: "127.0.0.1:1"
  health: "127.0.0.1:2"
  peers: "127.0.0.1:3"
  beats: "127.0.0.1:4"
  operations: "127.0.0.1:5"
store: "127.0.0.1:6"
seeds: ["127.0.0.1:7"]
bounds:
  drain_ms: 2000
  apply_ms: 2000
  grace_s: 8
retries:
  ratio: 0.2
  allowance: 56
  window_s: 10
quotas:
  tolerated_part: 0.1
  tolerated_tokens: 140000
  window_s: 8
"#;

#[test]
fn valid_settings_are_parsed() {
    let settings = parse(VALID).unwrap();
    assert_eq!(settings.seeds.len(), 1);
    assert_eq!(settings.bounds.grace.as_secs(), 8);
}

/// Guards against a pool for bodies that does not follow the memory of the host.
#[test]
fn the_memory_of_the_host_is_optional() {
    assert_eq!(parse(VALID).unwrap().memory, 110_000_000);
    let stated = |value: &str| parse(&format!("memory_mb: {value}{VALID}"));
    assert_eq!(stated("512").unwrap().memory, 512_000_000);
    assert_eq!(stated("").unwrap().memory, 110_000_000);
    assert_eq!(stated("-1").unwrap_err()[0].field, "memory_mb");
}

#[test]
fn all_faults_are_reported_at_once() {
    let wrong = VALID
        .replace("127.0.0.1:1\"", "here\"")
        .replace("allowance: 56", "allowance: -1")
        .replace("node: \"n\"", "node: \"\"");
    let faults = parse(&wrong).unwrap_err();
    let fields: Vec<&str> = faults.iter().map(|fault| fault.field.as_str()).collect();
    assert_eq!(fields, ["node", "listen.callers", "retries.allowance"]);
    assert!(faults[1].to_string().contains("write `IP:PORT`"));
}

#[test]
fn an_unknown_field_is_a_fault() {
    let faults = parse(&format!("{VALID}\nspeed: 3\n")).unwrap_err();
    assert!(faults[0].to_string().contains("speed"), "{}", faults[0]);
}
