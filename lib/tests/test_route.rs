//! Choice of a request's route and service.

use std::time::Duration;

use dottereltally_lib::{
    id,
    route::{Retry, Route, Table, Target},
};
use rstest::rstest;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: id::Route::from(name),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        targets: vec![Target {
            service: id::Service::from("s"),
            weight: 1,
        }],
        retry: Retry::Never,
        streaming: false,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        pause: None,
        patience: None,
        tier: id::Tier(0),
        attempts: 1,
        anonymous: false,
    }
}

fn table() -> Table {
    let routes = [
        route("root", "a.example", "/"),
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/"),
    ];
    routes.into_iter().collect()
}

#[rstest]
#[case("a.example", "/x/y/z", Some("long"))]
#[case("a.example", "/x/y", Some("short"))]
#[case("a.example", "/x/yy/z", Some("short"))]
#[case("a.example", "/xy", Some("root"))]
#[case("A.Example:8080", "/x/", Some("short"))]
#[case("b.example", "/x/1", Some("other"))]
#[case("b.example", "/y/1", None)]
#[case("c.example", "/x/", None)]
#[case("a.example", "x/", None)]
fn longest_prefix_of_the_host_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let table = table();
    let found = table.find(host, path);
    assert_eq!(found.map(|route| route.name.as_str()), expected);
}

#[test]
fn targets_share_requests_by_weight() {
    let mut route = route("r", "a.example", "/");
    route.targets = vec![
        Target {
            service: id::Service::from("most"),
            weight: 90,
        },
        Target {
            service: id::Service::from("few"),
            weight: 10,
        },
    ];
    let few = id::Service::from("few");
    let count = (0..1000).filter(|hash| route.service(*hash) == Some(&few));
    assert_eq!(count.count(), 100);
}

#[test]
fn a_route_without_weight_has_no_service() {
    let mut route = route("r", "a.example", "/");
    route.targets[0].weight = 0;
    assert_eq!(route.service(7), None);
}

#[test]
fn a_table_is_unchanged_after_serialising_it() {
    let table = table();
    let json = serde_json::to_string(&table).unwrap();
    assert_eq!(serde_json::from_str::<Table>(&json).unwrap(), table);
}
