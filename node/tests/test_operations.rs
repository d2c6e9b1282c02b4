//! Tests of the pages for operators: health, metrics and status.

use dottereltally::{
    operations::{Pages, Source, Status},
    process::Process,
};
use dottereltally_lib::{id, report, size};
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use prometheus_client::{encoding::text::encode, metrics::counter::Counter, registry::Registry};
use rstest::rstest;
use serde_json::{Value, json};

/// A source with a constant status.
struct Stub {
    ready: bool,
}

impl Source for Stub {
    async fn status(&self) -> Status {
        Status {
            node: id::Node::from("entry-1"),
            data_centre: id::DataCentre::from("plovdiv"),
            generation: id::Generation(4),
            draining: false,
            platform: true,
            peers: vec![id::Node::from("entry-2")],
            services: vec![report::Service {
                name: "tally-llm".into(),
                open: 1,
                missing: vec!["yard-app".into()],
            }],
            endpoints: vec![report::Endpoint {
                name: "tally-1".into(),
                service: "tally-llm".into(),
                data_centre: "plovdiv".into(),
                state: report::State::Avoided,
                window: size::Tokens(40_000),
                in_flight: size::Tokens(1_200),
                requests: 3,
            }],
        }
    }

    fn is_ready(&self) -> bool {
        self.ready
    }
}

async fn get(ready: bool, method: Method, path: &str) -> (StatusCode, String) {
    let mut registry = Registry::default();
    registry.register("things", "Things", Counter::<u64>::default());
    let pages = Pages::new(registry, Stub { ready });
    let response = pages.get(&method, path).await;
    let status = response.status();
    let body = response
        .into_body()
        .collect()
        .await
        .expect("a complete body");
    let text = String::from_utf8(body.to_bytes().to_vec()).expect("a body in UTF-8");
    (status, text)
}

#[rstest]
#[case(true, "/livez", 200)]
#[case(false, "/livez", 200)]
#[case(true, "/readyz", 200)]
#[case(false, "/readyz", 503)]
#[case(true, "/other", 404)]
#[tokio::test]
async fn reports_health(#[case] ready: bool, #[case] path: &str, #[case] expected: u16) {
    let (status, _) = get(ready, Method::GET, path).await;
    assert_eq!(status, expected);
}

#[tokio::test]
async fn refuses_methods_other_than_get() {
    let (status, _) = get(true, Method::POST, "/metrics").await;
    assert_eq!(status, StatusCode::METHOD_NOT_ALLOWED);
}

#[tokio::test]
async fn encodes_metrics() {
    let (_, text) = get(true, Method::GET, "/metrics").await;
    assert!(text.contains("things_total 0"), "{text}");
    assert!(text.ends_with("# EOF\n"), "{text}");
}

#[test]
fn reports_cpu_time_and_memory_of_the_process() {
    let mut registry = Registry::default();
    registry.register_collector(Box::new(Process));
    let mut text = String::new();
    encode(&mut text, &registry).expect("metrics encode");
    for name in [
        "process_cpu_seconds_total ",
        "process_resident_memory_bytes ",
    ] {
        let line = text.lines().find(|line| line.starts_with(name));
        let value = line.and_then(|line| line.strip_prefix(name));
        let value: Option<f64> = value.and_then(|value| value.parse().ok());
        assert!(value.is_some_and(|value| value >= 0.0), "{text}");
    }
}

#[tokio::test]
async fn reports_the_status_of_the_node() {
    let (_, text) = get(true, Method::GET, "/status").await;
    let status: Value = serde_json::from_str(&text).expect("a JSON body");
    let expected = json!({
        "node": "entry-1",
        "data_centre": "plovdiv",
        "generation": 4,
        "draining": false,
        "platform": true,
        "peers": ["entry-2"],
        "services": [{"name": "tally-llm", "open": 1, "missing": ["yard-app"]}],
        "endpoints": [{
            "name": "tally-1",
            "service": "tally-llm",
            "data_centre": "plovdiv",
            "state": "avoided",
            "window": 40_000,
            "in_flight": 1_200,
            "requests": 3,
        }],
    });
    assert_eq!(status, expected);
}
