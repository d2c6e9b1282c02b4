//! Randomised tests of the request path with the real scheduler and the real
//! claims.
//!
//! Endpoints, the key-value service and callers fail at random, on paused
//! time. The responses that the callers received are checked against the
//! requests that the endpoints recorded.

mod chain;
mod faulty;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, atomic::AtomicU64},
    time::Duration,
};

use bytes::Bytes;
use chain::{NoPeers, Reply, chat, payment, read, request, with_header};
use dottereltally::{
    claim,
    clock::Clock,
    dispatcher::{Arguments, Dispatcher, Handle, Sender, Sink},
    filter::Chain,
    limit::Limiter,
    metrics::Metrics,
    replay::Attempts,
    rules::Rules,
    settings::Limits,
};
use dottereltally_lib::{
    configuration::Kind,
    endpoint::{Record, Standing},
    event::{self, Event},
    id,
    scheduler::{Scheduler, Settings},
    size::Tokens,
};
use dottereltally_store::{
    buffer, ingress,
    memory::{Fault, Store},
};
use faulty::{Endpoints, History};
use http_body_util::Full;
use prometheus_client::{encoding::text::encode, registry::Registry};
use ractor::Actor;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use tokio::time::{sleep, timeout};

/// Number of callers in one run.
const CALLER_COUNT: usize = 200;
/// Time span over which the callers arrive, in milliseconds.
const ARRIVAL_SPAN_MS: u64 = 4_000;
/// Number of idempotency keys that the payments share.
const KEY_COUNT: usize = 16;

/// A sink that answers every probe with success and ignores everything else.
struct SuccessfulProbes;

impl Sink for SuccessfulProbes {
    fn probe(&self, dispatcher: &Sender, endpoint: id::Endpoint) {
        dispatcher.send(Event::Probed(endpoint, true));
    }

    fn quarantine(&self, _: id::Fingerprint) {}

    fn send(&self, _: id::Node, _: event::Message) {}
}

/// The response that one caller received.
struct Received {
    /// Idempotency key of the request, if any.
    key: Option<String>,
    /// Position of the response in the order of the history.
    order: u64,
    response: Reply,
}

/// The filter chain under test.
type Subject = Chain<Sender, Endpoints, claim::Keeper<Store, NoPeers>>;

async fn start_dispatcher(clock: Clock, seed: u64) -> Sender {
    let arguments = Arguments {
        scheduler: Scheduler::new(Settings {
            node: id::Node::from("entry-1"),
            data_centre: id::DataCentre::from("plovdiv"),
            seed,
            ..Settings::default()
        }),
        clock,
        sink: Box::new(SuccessfulProbes),
    };
    let (actor, _) = Actor::spawn(None, Dispatcher, arguments)
        .await
        .expect("the actor starts");
    let sender = Sender::new(actor, clock);
    let mut configuration = chain::configuration();
    for service in configuration.services.values_mut() {
        service.window = Tokens(match service.kind {
            Kind::Model => 30,
            Kind::Plain => 1,
        });
    }
    sender.send(Event::Configured(Arc::new(configuration)));
    sender.send(Event::Members(vec![(
        id::Node::from("entry-1"),
        id::DataCentre::from("plovdiv"),
    )]));
    let mut records = Vec::new();
    for (service, count) in [("tally-llm", 3), ("yard-app", 2)] {
        for number in 0..count {
            records.push(Record {
                id: id::Endpoint::from(format!("{service}-{number}").as_str()),
                address: "127.0.0.1:1".to_owned(),
                service: id::Service::from(service),
                data_centre: id::DataCentre::from("plovdiv"),
                standing: Standing::Live,
                capacity: None,
                version: None,
            });
        }
    }
    sender.send(Event::Listed(records));
    sender
}

/// Returns a key-value service whose calls fail at random.
fn faulty_store(seed: u64) -> Store {
    let store = Store::default().connect();
    let mut rng = SmallRng::seed_from_u64(seed);
    store.set_fault_script(move |_| match rng.random_range(0..100) {
        0..3 => Some(Fault::Unreachable),
        3..6 => Some(Fault::CallLost),
        6..9 => Some(Fault::AnswerLost),
        _ => None,
    });
    store
}

async fn build_chain(seed: u64, endpoints: &Endpoints, registry: &mut Registry) -> Arc<Subject> {
    let clock = Clock::start();
    let node = id::Node::from("entry-1");
    let keeper = claim::Keeper::start(
        node.clone(),
        faulty_store(seed),
        NoPeers,
        Attempts::default(),
        claim::Limits::default(),
    );
    let metrics = Metrics::default();
    metrics.register(registry);
    let rules = Rules::new(id::Generation(1), Arc::new(chain::configuration()));
    Arc::new(Chain {
        node,
        limits: Limits::default(),
        clock,
        rules: tokio::sync::watch::channel(Some(Arc::new(rules))).1,
        limiter: Limiter::default(),
        dispatcher: start_dispatcher(clock, seed).await,
        resolve: Arc::new(|endpoint| Some(endpoint.to_string())),
        upstream: endpoints.clone(),
        answers: buffer::Pool::default(),
        bodies: ingress::Pool::default(),
        keeper,
        metrics,
        next_request: AtomicU64::new(1),
    })
}

/// Draws a request, in some cases with a short deadline, and its idempotency
/// key.
fn draw_request(rng: &mut SmallRng) -> (http::Request<Full<Bytes>>, Option<String>) {
    let (request, key) = draw_request_without_deadline(rng);
    if rng.random_range(0..10) >= 4 {
        return (request, key);
    }
    let deadline = format!("{}ms", rng.random_range(50..3_000));
    (
        with_header(request, "dottereltally-deadline", &deadline),
        key,
    )
}

fn draw_request_without_deadline(
    rng: &mut SmallRng,
) -> (http::Request<Full<Bytes>>, Option<String>) {
    match rng.random_range(0..10) {
        0..5 => (chat(), None),
        5 => (request("GET", "/tickets/1", ""), None),
        6 => (request("POST", "/log", "{}"), None),
        _ => {
            let key = format!("key-{}", rng.random_range(0..KEY_COUNT));
            (payment(&key), Some(key))
        }
    }
}

/// Sends one request and records the response; some callers disconnect before
/// its end.
async fn call(
    subject: Arc<Subject>,
    history: Arc<Mutex<History>>,
    seed: u64,
    received: Arc<Mutex<Vec<Received>>>,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    sleep(Duration::from_millis(rng.random_range(0..ARRIVAL_SPAN_MS))).await;
    let (request, key) = draw_request(&mut rng);
    let disconnect_after = if rng.random_range(0..10) == 0 {
        Duration::from_millis(rng.random_range(0..800))
    } else {
        Duration::from_hours(1)
    };
    let response = async { read(subject.serve(request).await).await };
    let Ok(response) = timeout(disconnect_after, response).await else {
        return;
    };
    let order = history.lock().expect("unpoisoned").tick();
    received.lock().expect("unpoisoned").push(Received {
        key,
        order,
        response,
    });
}

/// Returns the correlation value of the attempt that the response names.
fn correlation(received: &Received) -> String {
    let number = received.response.headers["dottereltally-request"].to_str();
    format!("entry-1-{}", number.expect("text"))
}

/// Checks that a request that was refused as "not-run" did not reach an
/// endpoint, and neither did an earlier one with its key.
fn check_not_run(received: &Received, history: &History) {
    assert!(!history.deliveries.contains_key(&correlation(received)));
    let Some(key) = &received.key else {
        return;
    };
    for delivery in history.deliveries.values().flatten() {
        let earlier = delivery.key.as_ref() == Some(key) && delivery.order < received.order;
        assert!(!earlier, "{key} had run: {}", received.response.text);
    }
}

/// Checks that a successful response belongs to its request, and that it is
/// complete or its connection ended with an error; all responses to one key must
/// be the same.
fn check_response(received: &Received, responses_by_key: &mut BTreeMap<String, String>) {
    let text = &received.response.text;
    if let Some(key) = &received.key {
        let first = responses_by_key
            .entry(key.clone())
            .or_insert_with(|| text.clone());
        assert_eq!(first, text, "{key} got two different responses");
        return;
    }
    let expected_id = format!("\"id\": \"{}\"", correlation(received));
    assert_eq!(
        text.matches(&expected_id).count(),
        text.matches("\"id\": ").count(),
        "{text}"
    );
    if received.response.headers["content-type"] == "text/event-stream" {
        let is_done = text.trim_end().ends_with("data: [DONE]");
        assert_eq!(is_done, received.response.complete, "{text}");
    } else if received.response.complete {
        assert!(text.ends_with('}'), "{text}");
    }
}

/// Checks the history and what every caller received; returns the number of
/// callers per outcome.
fn check(received: &[Received], history: &History) -> BTreeMap<String, u64> {
    let mut runs_by_key: BTreeMap<&str, u64> = BTreeMap::new();
    for (correlation, deliveries) in &history.deliveries {
        assert_eq!(deliveries.len(), 1, "{correlation} was dispatched twice");
        if let Some(key) = &deliveries[0].key {
            *runs_by_key.entry(key).or_default() += 1;
        }
    }
    for (key, runs) in runs_by_key {
        assert_eq!(runs, 1, "{key} ran {runs} times");
    }
    let mut responses_by_key = BTreeMap::new();
    let mut outcomes: BTreeMap<String, u64> = BTreeMap::new();
    for received in received {
        if received.response.status.is_success() {
            check_response(received, &mut responses_by_key);
            *outcomes.entry("answered".to_owned()).or_default() += 1;
            continue;
        }
        let run = received.response.member("run");
        if run == "not-run" {
            check_not_run(received, history);
        }
        let kind = format!("{run} {}", received.response.member("reason"));
        *outcomes.entry(kind).or_default() += 1;
    }
    outcomes
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn guarantees_hold_under_random_faults(#[values(0, 100, 200, 300)] first_seed: u64) {
    let mut total: BTreeMap<String, u64> = BTreeMap::new();
    for seed in first_seed..first_seed + 25 {
        println!("seed {seed}");
        for (kind, count) in run(seed).await {
            *total.entry(kind).or_default() += count;
        }
    }
    println!("{total:#?}");
    for kind in [
        "answered",
        "may-have-run broken",
        "may-have-run stalled",
        "may-have-run crossed",
        "may-have-run claimed",
        "may-have-run platform",
        "not-run overload",
        "not-run deadline",
    ] {
        assert!(total.contains_key(kind), "no caller got the outcome {kind}");
    }
}

/// Runs all callers with one seed; returns their number per outcome.
async fn run(seed: u64) -> BTreeMap<String, u64> {
    let endpoints = Endpoints::new(seed);
    let mut registry = Registry::default();
    let subject = build_chain(seed, &endpoints, &mut registry).await;
    let received = Arc::new(Mutex::new(Vec::new()));
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    for _ in 0..CALLER_COUNT {
        let history = Arc::clone(&endpoints.history);
        let call = call(
            Arc::clone(&subject),
            history,
            rng.random(),
            Arc::clone(&received),
        );
        calls.push(tokio::spawn(call));
    }
    for call in calls {
        call.await.expect("no caller panics");
    }
    subject.limiter.wait_idle().await;
    let history = endpoints.history.lock().expect("unpoisoned");
    let mut content = String::new();
    encode(&mut content, &registry).expect("metrics encode");
    assert!(content.contains("in_flight 0\n"), "{content}");
    check(&received.lock().expect("unpoisoned"), &history)
}
