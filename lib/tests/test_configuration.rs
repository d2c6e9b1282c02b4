//! Parsing of the operators' configuration: accepted documents, and the error
//! with its line for each kind of mistake.

use std::time::Duration;

use dottereltally_lib::{
    configuration::{Configuration, Kind, document},
    diff, id,
};
use rstest::rstest;

const SAMPLE: &str = r#"generation: 4
tiers: [gate, tag]
services:
  tally-llm: {kind: model, models: [tally-7b], adapters: [disputes], window: 40000, depends_on: [yard-app]}
  yard-app: {kind: plain}
calls:
  chat: {service: tally-llm, method: POST, path: /v1/chat/completions, tier: tag, deadline: 60s, idempotent: true}
  dispute: {service: tally-llm, method: POST, path: /v1/chat/completions, model: disputes, tier: gate, deadline: 20s, idempotent: true}
  pay: {service: yard-app, method: POST, path: /payments, tier: gate, deadline: 10s, idempotent: false}
  tickets: {service: yard-app, method: GET, path: "/tickets/*", tier: tag, deadline: 5s, idempotent: true}
workspaces:
  plovdiv: {keys: ["sha256:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"], share: 4, limit: 200}
"#;

/// Returns the errors of a document, which must not be accepted.
fn errors_of(document: &str) -> Vec<String> {
    match document::parse(document) {
        Ok(configuration) => panic!("accepted: {configuration:?}"),
        Err(list) => list.0.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn a_valid_document_is_parsed() {
    let configuration: Configuration = SAMPLE.parse().unwrap();
    assert_eq!(configuration.tier("tag"), Some(id::Tier(1)));
    let service = &configuration.services[&id::Service::from("tally-llm")];
    assert_eq!(service.kind, Kind::Model);
    assert_eq!(service.window.0, 40_000);
    let pay = &configuration.calls[&id::Call::from("pay")];
    assert!(!pay.idempotent);
    assert!(!pay.unkeyed);
    assert_eq!(pay.deadline, Duration::from_secs(10));
}

#[rstest]
#[case("POST", "/v1/chat/completions", None, Some("chat"))]
#[case("POST", "/v1/chat/completions", Some("tally-7b"), Some("chat"))]
#[case("POST", "/v1/chat/completions", Some("disputes"), Some("dispute"))]
#[case("GET", "/tickets/17", None, Some("tickets"))]
#[case("GET", "/payments", None, None)]
fn a_request_matches_its_call(
    #[case] method: &str,
    #[case] path: &str,
    #[case] model: Option<&str>,
    #[case] expected: Option<&str>,
) {
    let configuration = document::parse(SAMPLE).unwrap();
    let model = model.map(id::Model::from);
    let call = configuration.match_call(method, path, model.as_ref());
    assert_eq!(call.map(|(name, _)| name.as_str()), expected);
}

#[rstest]
#[case(
    "tier: gate, deadline: 10s",
    "tier: gaet, deadline: 10s",
    "line 9: calls.pay.tier: `gaet` is not a declared tier; use one of `gate`, `tag`"
)]
#[case(
    "kind: plain",
    "kind: plian",
    "line 5: services.yard-app.kind: `plian` is not a kind; use `model` or `plain`"
)]
#[case(
    "kind: plain",
    "kind: plain, colour: red",
    "line 5: services.yard-app.colour: unknown field; remove it or use one of `kind`, `depends_on`, `models`, `adapters`, `window`"
)]
#[case(
    "kind: plain",
    "kind: plain, depends_on: [tally-llm]",
    "line 4: services.tally-llm.depends_on: services depend on each other in a cycle: tally-llm, yard-app; remove one of the dependencies"
)]
#[case(
    "depends_on: [yard-app]",
    "depends_on: [yard]",
    "line 4: services.tally-llm.depends_on: `yard` is not a declared service; declare it under `services` or remove it"
)]
#[case(
    "deadline: 10s",
    "deadline: 2h",
    "line 9: calls.pay.deadline: `2h` is not a valid duration; write one from 1ms to 1h, such as `10s`"
)]
#[case(
    "path: /payments",
    "path: payments",
    "line 9: calls.pay.path: `payments` is not a valid path; start it with `/`, leave out the query and use `*` only as the last segment"
)]
#[case(
    "model: disputes, ",
    "",
    "line 8: calls.dispute: matches the same requests as `calls.chat`; change method, path or model of one"
)]
#[case(
    "model: disputes",
    "model: dispute",
    "line 8: calls.dispute.model: `dispute` is not a model or adapter of the service; add it there"
)]
#[case(
    "tiers: [gate, tag]",
    "tiers: [gate, tag, c, d, e]",
    "line 2: tiers: 5 tiers; at most 4 are allowed, remove some"
)]
#[case(
    "share: 4",
    "share: 0",
    "line 12: workspaces.plovdiv.share: `0` is out of range; write a whole number from 1 to 10000"
)]
#[case(
    "sha256:aa",
    "sha256:xx",
    "line 12: workspaces.plovdiv.keys: invalid key; write the output of `dottereltallyctl digest`, `sha256:` and 64 hexadecimal digits"
)]
#[case(
    "idempotent: false",
    "idempotent: maybe",
    "line 9: calls.pay.idempotent: `maybe` is not a boolean; write `true` or `false`"
)]
#[case(
    "deadline: 5s, idempotent: true",
    "deadline: 5s, idempotent: true, unkeyed: allow",
    "line 10: calls.tickets.unkeyed: an idempotent call does not need a key; remove the field"
)]
fn an_error_states_its_line_and_how_to_fix_it(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &str,
) {
    let document = SAMPLE.replacen(from, to, 1);
    assert_ne!(document, SAMPLE);
    assert_eq!(errors_of(&document), [expected]);
}

#[test]
fn all_errors_are_reported_at_once() {
    let document = SAMPLE
        .replace("kind: plain", "kind: plian")
        .replace("deadline: 60s", "deadline: soon")
        .replace("share: 4", "share: many");
    let errors = errors_of(&document);
    let lines: Vec<&str> = errors
        .iter()
        .map(|error| error.split(':').next().unwrap())
        .collect();
    assert_eq!(lines, ["line 5", "line 7", "line 12"]);
}

#[test]
fn an_empty_document_reports_each_missing_section_once() {
    let paths: Vec<String> = document::parse("")
        .unwrap_err()
        .0
        .into_iter()
        .map(|error| error.path)
        .collect();
    assert_eq!(paths, ["calls", "services", "tiers", "workspaces"]);
}

#[rstest]
#[case("")]
#[case("[")]
#[case("tiers: {a: b}\nservices: 3\ncalls: []\nworkspaces: x")]
#[case("tiers: [a]\ntiers: [b]")]
#[case("a: &a [*a]")]
fn a_malformed_document_is_rejected(#[case] document: &str) {
    assert!(!errors_of(document).is_empty());
}

#[test]
fn a_document_over_the_maximum_size_is_rejected() {
    let document = format!("{SAMPLE}# {}", "x".repeat(document::MAX_DOCUMENT_BYTES));
    assert_eq!(errors_of(&document).len(), 1);
}

#[test]
fn a_difference_lists_each_changed_field() {
    let new = SAMPLE
        .replace("generation: 4", "generation: 5")
        .replace("deadline: 10s", "deadline: 12s")
        .replace(", limit: 200", "")
        .replace("kind: plain", "kind: plain, window: 3");
    assert_eq!(
        diff::lines(SAMPLE, &new).unwrap(),
        [
            "~ calls.pay.deadline: 10s -> 12s",
            "+ services.yard-app.window: 3",
            "- workspaces.plovdiv.limit: 200",
        ]
    );
}
