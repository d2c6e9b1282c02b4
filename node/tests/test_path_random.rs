//! Random runs of the whole path over the real core and the real claims.
//!
//! Endpoints, the key-value service and callers fail at random, on paused
//! time. The endpoints' ledger judges what the callers were told.

mod chain;
mod wild;

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
    limit::Table,
    metrics::Metrics,
    replay::Attempts,
    rules::Rules,
    settings::Limits,
};
use dottereltally_lib::{
    endpoint::{Record, Standing},
    event::{self, Event},
    id,
    scheduler::{Scheduler, Settings},
    size::Tokens,
    text::Kind,
};
use dottereltally_store::memory::{Fault, Store};
use http_body_util::Full;
use prometheus_client::{encoding::text::encode, registry::Registry};
use ractor::Actor;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use tokio::time::{sleep, timeout};
use wild::{Endpoints, Ledger};

/// Callers of one run.
const CALLERS: usize = 200;
/// Time over which the callers come, milliseconds.
const SPREAD_MS: u64 = 4_000;
/// Idempotency keys that the payments share.
const KEYS: usize = 16;

/// Answers every probe that the core asks for.
struct Probes;

impl Sink for Probes {
    fn probe(&self, core: &Sender, endpoint: id::Endpoint) {
        core.tell(Event::Probed(endpoint, true));
    }

    fn quarantine(&self, _: id::Fingerprint) {}

    fn send(&self, _: id::Node, _: event::Message) {}
}

/// What one caller sent and was told.
struct Told {
    key: Option<String>,
    /// Position among all that happened; none if it left.
    order: u64,
    seen: Reply,
}

type Subject = Chain<Sender, Endpoints, claim::Keeper<Store, NoPeers>>;

async fn start_core(clock: Clock, seed: u64) -> Sender {
    let arguments = Arguments {
        core: Scheduler::new(Settings {
            node: id::Node::from("entry-1"),
            data_centre: id::DataCentre::from("plovdiv"),
            seed,
            ..Settings::default()
        }),
        clock,
        sink: Box::new(Probes),
    };
    let (actor, _) = Actor::spawn(None, Dispatcher, arguments)
        .await
        .expect("the actor starts");
    let sender = Sender::new(actor, clock);
    let mut text = chain::text();
    for service in text.services.values_mut() {
        service.window = Tokens(match service.kind {
            Kind::Model => 30,
            Kind::Plain => 1,
        });
    }
    sender.tell(Event::Configured(Arc::new(text)));
    sender.tell(Event::Members(vec![(
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
            });
        }
    }
    sender.tell(Event::Listed(records));
    sender
}

/// Returns a key-value service whose calls fail at random.
fn faulty_store(seed: u64) -> Store {
    let store = Store::default().connect();
    let mut rng = SmallRng::seed_from_u64(seed);
    store.script(move |_| match rng.random_range(0..100) {
        0..3 => Some(Fault::Unreachable),
        3..6 => Some(Fault::CallLost),
        6..9 => Some(Fault::AnswerLost),
        _ => None,
    });
    store
}

async fn build(seed: u64, endpoints: &Endpoints, registry: &mut Registry) -> Arc<Subject> {
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
    let rules = Rules::new(id::Generation(1), Arc::new(chain::text()));
    Arc::new(Chain {
        node,
        limits: Limits::default(),
        clock,
        rules: tokio::sync::watch::channel(Some(Arc::new(rules))).1,
        places: Table::default(),
        dispatcher: start_core(clock, seed).await,
        resolve: Arc::new(|endpoint| Some(endpoint.to_string())),
        upstream: endpoints.clone(),
        keeper,
        metrics,
        next: AtomicU64::new(1),
    })
}

/// Draws a request and its idempotency key; some are in a hurry.
fn draw(rng: &mut SmallRng) -> (http::Request<Full<Bytes>>, Option<String>) {
    let (request, key) = draw_call(rng);
    if rng.random_range(0..10) >= 4 {
        return (request, key);
    }
    let deadline = format!("{}ms", rng.random_range(50..3_000));
    (
        with_header(request, "dottereltally-deadline", &deadline),
        key,
    )
}

fn draw_call(rng: &mut SmallRng) -> (http::Request<Full<Bytes>>, Option<String>) {
    match rng.random_range(0..10) {
        0..5 => (chat(), None),
        5 => (request("GET", "/tickets/1", ""), None),
        6 => (request("POST", "/log", "{}"), None),
        _ => {
            let key = format!("key-{}", rng.random_range(0..KEYS));
            (payment(&key), Some(key))
        }
    }
}

/// Sends one request; some callers leave before the end.
async fn call(
    subject: Arc<Subject>,
    ledger: Arc<Mutex<Ledger>>,
    seed: u64,
    told: Arc<Mutex<Vec<Told>>>,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    sleep(Duration::from_millis(rng.random_range(0..SPREAD_MS))).await;
    let (request, key) = draw(&mut rng);
    let patience = if rng.random_range(0..10) == 0 {
        Duration::from_millis(rng.random_range(0..800))
    } else {
        Duration::from_hours(1)
    };
    let answering = async { read(subject.serve(request).await).await };
    let Ok(answer) = timeout(patience, answering).await else {
        return;
    };
    let order = ledger.lock().expect("unpoisoned").tick();
    told.lock().expect("unpoisoned").push(Told {
        key,
        order,
        seen: answer,
    });
}

/// Returns the correlation value of the attempt that was told.
fn correlation(told: &Told) -> String {
    let number = told.seen.headers["dottereltally-request"].to_str();
    format!("entry-1-{}", number.expect("text"))
}

/// Checks that a refusal that says "not run" is true.
fn check_not_run(told: &Told, ledger: &Ledger) {
    assert!(!ledger.handed.contains_key(&correlation(told)));
    let Some(key) = &told.key else {
        return;
    };
    for handed in ledger.handed.values().flatten() {
        let earlier = handed.key.as_ref() == Some(key) && handed.order < told.order;
        assert!(!earlier, "{key} had run: {}", told.seen.text);
    }
}

/// Checks that an answer is whole and belongs to its request.
fn check_answer(told: &Told, answers: &mut BTreeMap<String, String>) {
    let text = &told.seen.text;
    if let Some(key) = &told.key {
        let first = answers.entry(key.clone()).or_insert_with(|| text.clone());
        assert_eq!(first, text, "{key} was answered twice");
        return;
    }
    let own = format!("\"id\": \"{}\"", correlation(told));
    assert_eq!(
        text.matches(&own).count(),
        text.matches("\"id\": ").count(),
        "{text}"
    );
    if told.seen.headers["content-type"] == "text/event-stream" {
        let whole = text.trim_end().ends_with("data: [DONE]");
        assert_eq!(whole, told.seen.complete, "{text}");
    } else if told.seen.complete {
        assert!(text.ends_with('}'), "{text}");
    }
}

fn check(told: &[Told], ledger: &Ledger) -> BTreeMap<String, u64> {
    let mut by_key: BTreeMap<&str, u64> = BTreeMap::new();
    for (correlation, handed) in &ledger.handed {
        assert_eq!(handed.len(), 1, "{correlation} was dispatched twice");
        if let Some(key) = &handed[0].key {
            *by_key.entry(key).or_default() += 1;
        }
    }
    for (key, runs) in by_key {
        assert_eq!(runs, 1, "{key} ran {runs} times");
    }
    let mut answers = BTreeMap::new();
    let mut tally: BTreeMap<String, u64> = BTreeMap::new();
    for told in told {
        if told.seen.status.is_success() {
            check_answer(told, &mut answers);
            *tally.entry("answered".to_owned()).or_default() += 1;
            continue;
        }
        let run = told.seen.member("run");
        if run == "not-run" {
            check_not_run(told, ledger);
        }
        let kind = format!("{run} {}", told.seen.member("reason"));
        *tally.entry(kind).or_default() += 1;
    }
    tally
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn no_run_breaks_a_promise(#[values(0, 100, 200, 300)] first: u64) {
    let mut total: BTreeMap<String, u64> = BTreeMap::new();
    for seed in first..first + 25 {
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
        assert!(total.contains_key(kind), "no caller was told {kind}");
    }
}

/// Runs one seed; returns what the callers were told.
async fn run(seed: u64) -> BTreeMap<String, u64> {
    let endpoints = Endpoints::new(seed);
    let mut registry = Registry::default();
    let subject = build(seed, &endpoints, &mut registry).await;
    let told = Arc::new(Mutex::new(Vec::new()));
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    for _ in 0..CALLERS {
        let ledger = Arc::clone(&endpoints.ledger);
        let calling = call(
            Arc::clone(&subject),
            ledger,
            rng.random(),
            Arc::clone(&told),
        );
        calls.push(tokio::spawn(calling));
    }
    for call in calls {
        call.await.expect("no caller panics");
    }
    subject.places.idle().await;
    let ledger = endpoints.ledger.lock().expect("unpoisoned");
    let mut content = String::new();
    encode(&mut content, &registry).expect("metrics encode");
    assert!(content.contains("in_flight 0\n"), "{content}");
    check(&told.lock().expect("unpoisoned"), &ledger)
}
