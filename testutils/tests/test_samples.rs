//! Tests that the sample configurations are valid.

use dottereltally_lib::configuration::document;
use dottereltally_testutils::deployment;
use rstest::rstest;

#[rstest]
#[case(include_str!("../../examples/balkan.yaml"), 5)]
#[case(include_str!("../../examples/bulu-mata.yaml"), 5)]
#[case(include_str!("../../examples/demo.yaml"), 1)]
fn samples_are_valid(#[case] document: &str, #[case] workspaces: usize) {
    let configuration = document::parse(document).expect("a valid configuration");
    assert_eq!(configuration.workspaces.len(), workspaces);
    for name in configuration.workspaces.keys() {
        let key = deployment::hash_bearer_key(&format!("{name}-key"));
        assert!(document.contains(&key), "{name}: {key}");
    }
}
