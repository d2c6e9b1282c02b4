//! Requests that wait for an endpoint, and what can keep their decision from them.

mod common;

use std::{
    panic::{AssertUnwindSafe, catch_unwind},
    time::Duration,
};

use common::{Endpoint, Gateway, plan, status};
use dottereltally_lib::{
    dispatcher::Dispatcher,
    endpoint::{Record, Standing},
    id, time,
};
use tokio::time::{sleep, timeout};

/// Time limit of a step that waits on an event.
const PATIENCE: Duration = Duration::from_secs(20);

fn record(endpoint: &Endpoint, service: &str, standing: Standing) -> Record {
    Record {
        id: id::Endpoint::from("e0"),
        address: endpoint.address.to_string(),
        service: id::Service::from(service),
        data_centre: id::DataCentre::from("dc"),
        standing,
        version: Some(id::Version::from("v1")),
        capacity: Some(1),
    }
}

/// Starts a gateway at which every request waits, as its endpoint leaves.
async fn start_with_leaving(endpoint: &Endpoint) -> Gateway {
    let gateway = Gateway::start(Some(plan()), &[]).await;
    let leaving = record(endpoint, "s", Standing::Leaving);
    gateway
        .chain
        .admission
        .apply(|dispatcher, now| dispatcher.set_endpoints(now, vec![leaving]));
    gateway
}

async fn wait_until_waiting(gateway: &Gateway) {
    while gateway.chain.admission.read(Dispatcher::waiting) == 0 {
        sleep(Duration::from_millis(2)).await;
    }
}

/// Guards against a request that is held for ever, as the decision on it was lost in a
/// panic of another holder of the dispatcher.
#[tokio::test]
async fn a_request_whose_decision_is_lost_is_refused_at_its_deadline() {
    let endpoint = Endpoint::start(Vec::new()).await;
    let gateway = start_with_leaving(&endpoint).await;
    let losing = async {
        wait_until_waiting(&gateway).await;
        let live = record(&endpoint, "s", Standing::Live);
        let lost = catch_unwind(AssertUnwindSafe(|| {
            gateway.chain.admission.apply(|dispatcher, now| {
                let _lost = dispatcher.set_endpoints(now, vec![live]);
                panic!("a holder of the dispatcher fails");
            });
        }));
        assert!(lost.is_err());
    };
    let answering = timeout(PATIENCE, gateway.get("/short/x", ""));
    let (answer, ()) = tokio::join!(answering, losing);
    let answer = answer.expect("an answer");
    assert_eq!(status(&answer), 503);
    assert!(answer.contains("not-run"), "{answer}");
    assert!(endpoint.requests().is_empty());
    assert_eq!(gateway.chain.admission.read(Dispatcher::running), 0);
}

/// Guards against a waiting request that gets no answer as its service lost its
/// endpoints to another one, under their ids.
#[tokio::test]
async fn a_request_that_waits_while_its_endpoints_move_is_refused() {
    let endpoint = Endpoint::start(Vec::new()).await;
    let gateway = start_with_leaving(&endpoint).await;
    let moving = async {
        wait_until_waiting(&gateway).await;
        let admission = &gateway.chain.admission;
        let moved = record(&endpoint, "t", Standing::Live);
        admission.apply(|dispatcher, now| dispatcher.set_endpoints(now, vec![moved]));
        admission.apply(|dispatcher, now| dispatcher.set_endpoints(now, Vec::new()));
        // Ticks as a node's timer does, until the request's time has passed.
        while admission.read(Dispatcher::waiting) > 0 {
            admission.apply(Dispatcher::tick);
            sleep(Duration::from_millis(10)).await;
        }
    };
    let answering = timeout(PATIENCE, gateway.get("/short/x", ""));
    let (answer, ()) = tokio::join!(answering, moving);
    let answer = answer.expect("an answer");
    assert_eq!(status(&answer), 503);
    assert!(answer.contains("not-run"), "{answer}");
}

/// Guards against the panic of a request that waits while every change of the
/// dispatcher that can meet it comes at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn requests_that_wait_are_answered_in_any_order_of_changes() {
    let endpoint = Endpoint::start(Vec::new()).await;
    let gateway = start_with_leaving(&endpoint).await;
    let mut callers = tokio::task::JoinSet::new();
    for _ in 0..40 {
        let address = gateway.address;
        callers.spawn(async move {
            let mut answers = Vec::new();
            for _ in 0..5 {
                answers.push(status(&common::get(address, "/short/x", "").await));
            }
            answers
        });
    }
    let admission = gateway.chain.admission.clone();
    let mut turn = 0_u64;
    let mut answers = Vec::new();
    let started = tokio::time::Instant::now();
    while !callers.is_empty() {
        assert!(started.elapsed() < PATIENCE, "{} answers", answers.len());
        let standing = if turn.is_multiple_of(3) {
            Standing::Live
        } else {
            Standing::Leaving
        };
        let service = if turn.is_multiple_of(4) { "t" } else { "s" };
        let listed = record(&endpoint, service, standing);
        admission.apply(|dispatcher, now| dispatcher.set_endpoints(now, vec![listed]));
        let (commands, receiver) = tokio::sync::mpsc::unbounded_channel();
        admission.set_coordinator(Some(commands));
        tokio::task::yield_now().await;
        drop(receiver);
        admission.set_coordinator(None);
        admission.apply(|dispatcher, now: time::Instant| dispatcher.tick(now));
        turn += 1;
        sleep(Duration::from_millis(1)).await;
        while let Some(ended) = callers.try_join_next() {
            answers.extend(ended.expect("no panic"));
        }
    }
    assert_eq!(answers.len(), 200);
    for answer in answers {
        assert!([200, 502, 503, 504].contains(&answer), "{answer}");
    }
}
