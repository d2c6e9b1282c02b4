//! Nodes that lose their paths to all endpoints, while callers and nodes reach them.

mod common;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use common::{
    Endpoint,
    cluster::Cluster,
    cut::{Dialer, Paths},
    event, get, is_complete, record, status, stream_end, stream_head,
};
use rstest::rstest;
use tokio::{task::JoinSet, time::sleep};

/// Number of endpoints, each with four places.
const ENDPOINTS: usize = 6;

/// Requests to each group of nodes, and the time between two of them.
const REQUESTS: (usize, Duration) = (60, Duration::from_millis(25));

/// Time after the beginning of a cut from which first attempts count.
const CONTACT_TIME: Duration = Duration::from_secs(3);

struct Fleet {
    cluster: Cluster,
    dialers: Vec<Dialer>,
    endpoints: Vec<Endpoint>,
    /// Requests that were sent so far.
    sent: usize,
}

impl Fleet {
    async fn start(nodes: usize, streams: bool) -> Self {
        let mut endpoints = Vec::new();
        let mut records = Vec::new();
        for number in 0..ENDPOINTS {
            let mut script = Vec::new();
            if streams {
                let steps = vec![stream_head(), event(1), event(2), stream_end()];
                script.resize(1000, steps);
            }
            let endpoint = Endpoint::start(script).await;
            records.push(record(number, &endpoint, Some("v1")));
            endpoints.push(endpoint);
        }
        let mut cluster = Cluster::default();
        let mut dialers = Vec::new();
        for number in 0..nodes {
            let dialer = Dialer::default();
            let data_centre = if number < 2 { "dc" } else { "far" };
            cluster
                .add_over(data_centre, records.clone(), Arc::new(dialer.clone()))
                .await;
            dialers.push(dialer);
        }
        sleep(Duration::from_millis(500)).await;
        Self {
            cluster,
            dialers,
            endpoints,
            sent: 0,
        }
    }

    /// Sends requests to these nodes in turn; returns the part that is served.
    async fn serve(&mut self, nodes: &[usize], path: &str) -> f64 {
        let mut callers = JoinSet::new();
        for turn in 0..REQUESTS.0 {
            let address = self.cluster.gateways[nodes[turn % nodes.len()]].address;
            let headers = format!("x-left: 1500\r\nx-turn: t{}\r\n", self.sent);
            self.sent += 1;
            let path = path.to_owned();
            callers.spawn(async move { get(address, &path, &headers).await });
            sleep(REQUESTS.1).await;
        }
        let mut served = 0;
        while let Some(answer) = callers.join_next().await {
            let answer = answer.unwrap();
            let is_whole = answer.ends_with("usual") || is_complete(&answer);
            served += usize::from(status(&answer) == 200 && is_whole);
        }
        #[expect(clippy::cast_precision_loss, reason = "few requests")]
        let part = served as f64 / REQUESTS.0 as f64;
        part
    }

    /// Returns how often the request arrived that arrived most often.
    fn most_arrivals(&self) -> usize {
        let mut arrivals = BTreeMap::<String, usize>::new();
        for endpoint in &self.endpoints {
            for request in endpoint.requests() {
                if let Some(turn) = common::header(&request, "x-turn") {
                    *arrivals.entry(turn).or_default() += 1;
                }
            }
        }
        arrivals.into_values().max().unwrap_or_default()
    }

    fn marks(&self) -> usize {
        let gateways = self.cluster.gateways.iter();
        gateways
            .map(|gateway| gateway.chain.crashes.marks_to_share().len())
            .sum()
    }
}

/// Guards against nodes that serve only what they reach themselves (RECOVER): callers of
/// a node without a path to the endpoints are served like those of the others.
#[rstest]
#[case::silent(3, &[0], Paths::Silent, "/safe/x")]
#[case::reset(3, &[0], Paths::Reset, "/safe/x")]
#[case::most_silent(5, &[0, 1, 2], Paths::Silent, "/safe/x")]
#[case::whole_data_centre_silent(4, &[0, 1], Paths::Silent, "/safe/x")]
#[case::whole_data_centre_reset(4, &[0, 1], Paths::Reset, "/safe/x")]
#[case::streams_silent(3, &[0], Paths::Silent, "/stream/x")]
#[case::once_silent(3, &[0], Paths::Silent, "/once/x")]
#[case::once_reset(3, &[0], Paths::Reset, "/once/x")]
#[tokio::test]
async fn nodes_without_a_path_to_endpoints_serve_their_callers(
    #[case] nodes: usize,
    #[case] cut: &[usize],
    #[case] paths: Paths,
    #[case] path: &str,
) {
    let mut fleet = Fleet::start(nodes, path.starts_with("/stream")).await;
    let all: Vec<usize> = (0..nodes).collect();
    let whole: Vec<usize> = all
        .iter()
        .copied()
        .filter(|node| !cut.contains(node))
        .collect();
    assert!(fleet.serve(&all, path).await > 0.99);
    for node in cut {
        fleet.dialers[*node].set(paths);
    }
    fleet.serve(&all, path).await;
    sleep(CONTACT_TIME.saturating_sub(REQUESTS.1 * 60)).await;
    let served = fleet.serve(cut, path).await;
    let others = fleet.serve(&whole, path).await;
    assert!(others > 0.95, "the others served {others}");
    assert!(served >= others * 2.0 / 3.0, "{served} against {others}");
    assert_eq!(fleet.marks(), 0, "a cut is no sign of a crash");
    if path.starts_with("/once") {
        assert_eq!(fleet.most_arrivals(), 1);
    }
    for node in cut {
        fleet.dialers[*node].set(Paths::Whole);
    }
    sleep(Duration::from_secs(2)).await;
    assert!(fleet.serve(&all, path).await > 0.99, "after the cut");
}

/// Guards against nodes that take a data centre without a path for one service as able to
/// pass connections on, because its nodes reach another service (RECOVER).
#[rstest]
#[case::silent(Paths::Silent)]
#[case::reset(Paths::Reset)]
#[tokio::test]
async fn a_data_centre_without_a_path_to_one_service_goes_through_another(#[case] paths: Paths) {
    let mut fleet = Fleet::start(5, false).await;
    let cut = [0, 1];
    let all: Vec<usize> = (0..5).collect();
    assert!(fleet.serve(&all, "/safe/x").await > 0.99);
    let mut others = JoinSet::new();
    for node in cut {
        fleet.dialers[node].set(paths);
        let chain = Arc::clone(&fleet.cluster.gateways[node].chain);
        others.spawn(async move {
            loop {
                // An endpoint of the other service answers.
                chain.paths.record_direct();
                sleep(Duration::from_millis(50)).await;
            }
        });
    }
    fleet.serve(&all, "/safe/x").await;
    sleep(CONTACT_TIME.saturating_sub(REQUESTS.1 * 60)).await;
    let served = fleet.serve(&cut, "/safe/x").await;
    let rest = fleet.serve(&[2, 3, 4], "/safe/x").await;
    assert!(rest > 0.95, "the others served {rest}");
    assert!(served >= rest * 2.0 / 3.0, "{served} against {rest}");
    assert_eq!(fleet.marks(), 0, "a cut is no sign of a crash");
}

/// Guards against paths that accept connections and lose what is sent on them, which are
/// not found to be cut (RECOVER).
#[tokio::test]
#[ignore = "known red: listed in KNOWN-RED.txt"]
async fn nodes_whose_connections_are_swallowed_serve_their_callers() {
    let mut fleet = Fleet::start(3, false).await;
    assert!(fleet.serve(&[0, 1, 2], "/safe/x").await > 0.99);
    fleet.dialers[0].set(Paths::Swallowed);
    fleet.serve(&[0, 1, 2], "/safe/x").await;
    sleep(CONTACT_TIME.saturating_sub(REQUESTS.1 * 60)).await;
    let served = fleet.serve(&[0], "/safe/x").await;
    assert!(served >= 2.0 / 3.0, "{served} served");
}
