//! Tests of the dispatcher with the real scheduler.

mod chain;

use std::{
    sync::{Arc, Mutex},
    task::Poll,
    time::Duration,
};

use dottereltally::{
    clock::Clock,
    dispatcher::{Arguments, Dispatcher, Handle, Sender, Sink},
};
use dottereltally_lib::{
    endpoint::{Record, Standing},
    event::{self, Event, Outcome},
    id, refusal,
    request::{Claimed, Profile, Request},
    scheduler::{Scheduler, Settings},
    size::Tokens,
};
use ractor::Actor;
use tokio::sync::watch;

/// Seed of the scheduler.
const SEED: u64 = 7;

/// Records the probes that the scheduler requests, and lets them succeed.
#[derive(Clone)]
struct Probes(Arc<watch::Sender<Vec<id::Endpoint>>>);

impl Sink for Probes {
    fn probe(&self, dispatcher: &Sender, endpoint: id::Endpoint) {
        self.0.send_modify(|probes| probes.push(endpoint.clone()));
        dispatcher.send(Event::Probed(endpoint, true));
    }

    fn quarantine(&self, _: id::Fingerprint) {}

    fn send(&self, _: id::Node, _: event::Message) {}
}

/// A dispatcher with one endpoint.
struct Harness {
    sender: Sender,
    clock: Clock,
    probes: Probes,
    /// Number of the last request that was built.
    last_request: Mutex<u64>,
}

impl Harness {
    /// Starts a dispatcher with one plain endpoint that runs one request at a
    /// time.
    async fn start() -> Self {
        let probes = Probes(Arc::new(watch::Sender::new(Vec::new())));
        let clock = Clock::start();
        let arguments = Arguments {
            scheduler: Scheduler::new(Settings {
                node: id::Node::from("entry-1"),
                data_centre: id::DataCentre::from("plovdiv"),
                seed: SEED,
                ..Settings::default()
            }),
            clock,
            sink: Box::new(probes.clone()),
        };
        let (actor, _) = Actor::spawn(None, Dispatcher, arguments)
            .await
            .expect("the actor starts");
        let sender = Sender::new(actor, clock);
        let mut configuration = chain::configuration();
        for service in configuration.services.values_mut() {
            service.window = Tokens(1);
        }
        sender.send(Event::Configured(Arc::new(configuration)));
        sender.send(Event::Members(vec![(
            id::Node::from("entry-1"),
            id::DataCentre::from("plovdiv"),
        )]));
        sender.send(Event::Listed(vec![Record {
            id: id::Endpoint::from("ledger-1"),
            address: "127.0.0.1:1".to_owned(),
            service: id::Service::from("yard-app"),
            data_centre: id::DataCentre::from("plovdiv"),
            standing: Standing::Live,
            capacity: None,
            version: None,
        }]));
        Self {
            sender,
            clock,
            probes,
            last_request: Mutex::new(0),
        }
    }

    /// Builds a claimed request to a service.
    fn request(&self, service: &str) -> Request<Claimed> {
        let mut number = self.last_request.lock().expect("unpoisoned");
        *number += 1;
        let now = self.clock.now();
        let profile = Profile {
            call: id::Call::from("tickets"),
            service: id::Service::from(service),
            model: None,
            workspace: id::Workspace::from("demo"),
            tier: id::Tier(1),
            received: now,
            deadline: now + Duration::from_mins(1),
            prompt: Tokens(1),
            output: Tokens(0),
            prefixes: Vec::new(),
            fingerprint: id::Fingerprint(*number),
            idempotent: true,
        };
        Request::new(id::Request(*number), Arc::new(profile)).claim()
    }

    /// Reports the end of a request.
    fn end(&self, request: id::Request, outcome: Outcome) {
        self.sender.send(Event::Ended(request, outcome));
    }
}

const ANSWERED: Outcome = Outcome::Answered {
    cached: Tokens(0),
    output: Tokens(1),
};

#[tokio::test]
async fn admits_a_request_when_the_endpoint_is_free() {
    let harness = Harness::start().await;
    let first = harness.sender.admit(harness.request("yard-app")).await;
    let first = first.expect("an endpoint");
    assert_eq!(first.endpoint().as_str(), "ledger-1");
    let second = harness.sender.admit(harness.request("yard-app"));
    tokio::pin!(second);
    let early = tokio::time::timeout(Duration::from_millis(20), &mut second).await;
    assert!(early.is_err());
    harness.end(first.id(), ANSWERED);
    assert!(second.await.is_ok());
}

#[tokio::test]
async fn a_waiting_request_that_is_dropped_is_withdrawn() {
    let harness = Harness::start().await;
    let first = harness.sender.admit(harness.request("yard-app")).await;
    let first = first.expect("an endpoint");
    let waiting = harness.sender.admit(harness.request("yard-app"));
    let dropped = tokio::time::timeout(Duration::from_millis(20), waiting).await;
    assert!(dropped.is_err());
    harness.end(first.id(), ANSWERED);
    let third = harness.sender.admit(harness.request("yard-app")).await;
    assert!(third.is_ok());
}

/// The endpoint is free again whether the drop comes before or after the
/// decision.
#[tokio::test]
async fn a_request_dropped_at_any_moment_does_not_occupy_the_endpoint() {
    let harness = Harness::start().await;
    for round in 0..200 {
        let admission = harness.sender.admit(harness.request("yard-app"));
        let mut admission = Box::pin(admission);
        for _ in 0..round % 4 {
            if let Poll::Ready(admitted) = futures_util::poll!(&mut admission) {
                let request = admitted.expect("an endpoint").id();
                harness.end(request, ANSWERED);
                break;
            }
            tokio::task::yield_now().await;
        }
        drop(admission);
    }
    let last = harness.sender.admit(harness.request("yard-app")).await;
    assert!(last.is_ok());
}

#[tokio::test]
async fn refuses_a_service_without_endpoints() {
    let harness = Harness::start().await;
    let refused = harness.sender.admit(harness.request("tally-llm")).await;
    let refused = refused.expect_err("no endpoint");
    assert_eq!(refused.refusal.reason, refusal::Reason::NoEndpoint);
}

#[tokio::test]
async fn an_unsent_request_gets_another_decision() {
    let harness = Harness::start().await;
    let admitted = harness.sender.admit(harness.request("yard-app")).await;
    let request = admitted.expect("an endpoint").requeue();
    let again = harness.sender.readmit(request).await;
    let refused = again.expect_err("the only endpoint is avoided");
    assert_eq!(refused.refusal.reason, refusal::Reason::NoEndpoint);
}

#[tokio::test]
async fn a_stalled_response_makes_the_scheduler_probe() {
    let harness = Harness::start().await;
    let mut probes = harness.probes.0.subscribe();
    let admitted = harness.sender.admit(harness.request("yard-app")).await;
    harness.end(admitted.expect("an endpoint").id(), Outcome::Stalled);
    let requested = probes.wait_for(|probes| !probes.is_empty()).await;
    assert_eq!(
        requested.expect("the dispatcher is alive")[0].as_str(),
        "ledger-1"
    );
    let next = harness.sender.admit(harness.request("yard-app")).await;
    assert!(next.is_ok());
}

#[tokio::test]
async fn a_draining_node_refuses_requests_that_would_wait() {
    let harness = Harness::start().await;
    let first = harness.sender.admit(harness.request("yard-app")).await;
    assert!(first.is_ok());
    harness.sender.send(Event::Draining);
    let refused = harness.sender.admit(harness.request("yard-app")).await;
    let refused = refused.expect_err("it would wait");
    assert_eq!(refused.refusal.reason, refusal::Reason::Shutdown);
}
