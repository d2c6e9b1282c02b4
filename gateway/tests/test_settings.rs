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

/// Settings without limits of roll-outs, or with empty ones, have the platform's defaults.
#[test]
fn missing_limits_of_roll_outs_have_defaults() {
    for text in [
        "",
        "rollouts:\n  share:\n  allowance: null\n  rollback_ms:\n",
    ] {
        let settings = parse(&format!("{VALID}{text}")).unwrap();
        assert!((settings.rollouts.exposure.get() - 0.1).abs() < 1e-9);
        assert_eq!(settings.rollouts.allowance.0, 50);
        assert_eq!(settings.rollouts.rollback.as_millis(), 5000);
    }
}

#[test]
fn limits_of_roll_outs_are_read() {
    let text = "rollouts:\n  share: 0.2\n  allowance: 30\n  rollback_ms: 4000\n";
    let settings = parse(&format!("{VALID}{text}")).unwrap();
    assert!((settings.rollouts.exposure.get() - 0.2).abs() < 1e-9);
    assert_eq!(settings.rollouts.allowance.0, 30);
    assert_eq!(settings.rollouts.rollback.as_millis(), 4000);
    let wrong = text.replace("0.2", "1.5").replace("4000", "-1");
    let faults = parse(&format!("{VALID}{wrong}")).unwrap_err();
    let fields: Vec<&str> = faults.iter().map(|fault| fault.field.as_str()).collect();
    assert_eq!(fields, ["rollouts.share", "rollouts.rollback_ms"]);
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

/// Guards against a bound on connections that does not follow the descriptors of the host.
#[test]
fn the_descriptors_of_the_host_are_optional() {
    assert_eq!(parse(VALID).unwrap().descriptors, 2870);
    let stated = |value: &str| parse(&format!("max_descriptors: {value}{VALID}"));
    assert_eq!(stated("8192").unwrap().descriptors, 8192);
    assert_eq!(stated("").unwrap().descriptors, 2870);
    assert_eq!(stated("200").unwrap_err()[0].field, "max_descriptors");
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
