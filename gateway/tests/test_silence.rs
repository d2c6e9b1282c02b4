//! Endpoints that fall silent and go on, and those that stay silent.

mod common;

use std::{sync::Arc, time::Duration};

use common::{
    Endpoint, Gateway, Step, answer_with, event, events, header, is_complete, plan, read_message,
    route, status, stream_end, stream_head,
};
use dottereltally_lib::{
    budget::Limits,
    dispatcher::Dispatcher,
    endpoint::{Record, Standing},
    id,
    plan::Plan,
    route::Retry,
};
use prometheus_client::{encoding::text::encode, registry::Registry};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use tokio::{
    io::AsyncWriteExt,
    net::TcpListener,
    sync::Notify,
    task::JoinSet,
    time::{sleep, timeout},
};

/// A silence that is longer than the time after which another endpoint is sought.
const SILENCE: Duration = Duration::from_millis(2500);

/// Time limit of a step that waits on an event.
const PATIENCE: Duration = Duration::from_mins(1);

/// Returns a plan whose streams may take longer than any test.
fn patient_plan() -> Plan {
    let mut streaming = route("/stream/", Retry::Resume, 3);
    streaming.timeout = PATIENCE;
    let mut plan = plan();
    plan.routes = vec![streaming, route("/safe/", Retry::Whole, 2)]
        .into_iter()
        .collect();
    plan
}

/// Returns the answer to a request for a stream.
async fn get_stream(gateway: &Gateway) -> String {
    timeout(PATIENCE, gateway.get("/stream/x", ""))
        .await
        .expect("an answer")
}

/// Gives the node the units of retry budget, which nothing adds to.
fn set_budget(gateway: &Gateway, units: f64) {
    let mut budget = gateway.chain.budget.lock().unwrap();
    budget.set_limits(Limits {
        ratio: 0.0,
        // Two fifths of the allowance may be used at once.
        allowance: units * 2.5,
        window: Duration::from_hours(10),
    });
}

/// Returns how many requests for a stream arrived at an endpoint.
fn streams(endpoint: &Endpoint) -> usize {
    let requests = endpoint.requests();
    let streams = requests
        .iter()
        .filter(|request| request.contains("/stream/"));
    streams.count()
}

fn record(
    name: &str,
    endpoint: &Endpoint,
    service: &str,
    standing: Standing,
    capacity: u32,
) -> Record {
    Record {
        id: id::Endpoint::from(name),
        address: endpoint.address.to_string(),
        service: id::Service::from(service),
        data_centre: id::DataCentre::from("dc"),
        standing,
        version: Some(id::Version::from("v1")),
        capacity: Some(capacity),
    }
}

/// Replaces the list of endpoints.
fn list(gateway: &Gateway, records: Vec<Record>) {
    let admission = &gateway.chain.admission;
    admission.apply(|dispatcher, now| dispatcher.set_endpoints(now, records));
}

fn reject() -> Step {
    Step::Send(
        "HTTP/1.1 503 X\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n".to_owned(),
    )
}

fn start_of_stream() -> Vec<Step> {
    vec![stream_head(), event(1), event(2)]
}

fn rest_of_stream() -> Vec<Step> {
    vec![event(3), event(4), stream_end()]
}

/// Guards against answers that were cut, or replaced by a 502, as their endpoint fell
/// silent for a moment while no other endpoint could take them over.
#[rstest]
#[tokio::test]
async fn a_silent_endpoint_is_kept_while_no_other_takes_over(
    #[values(0, 1, 3)] steps_before_silence: usize,
    #[values("alone", "rejects", "breaks", "fails", "answers", "breaks_in_stream")] second: &str,
) {
    let mut script = start_of_stream();
    script.extend(rest_of_stream());
    script.insert(steps_before_silence, Step::Pause(SILENCE));
    let silent = Endpoint::start(vec![script]).await;
    let steps = match second {
        "rejects" => vec![reject()],
        "fails" => vec![answer_with(500, "oops")],
        "answers" => vec![answer_with(404, "no stream")],
        "breaks_in_stream" => vec![stream_head(), Step::Close],
        _ => vec![Step::Close],
    };
    let other = Endpoint::start(vec![steps]).await;
    let mut endpoints = vec![&silent];
    if second != "alone" {
        endpoints.push(&other);
    }
    let gateway = Gateway::start(Some(patient_plan()), &endpoints).await;
    let answer = get_stream(&gateway).await;
    assert_eq!(status(&answer), 200);
    assert_eq!(events(&answer), ["d1", "d2", "d3", "d4"], "{answer}");
    assert!(is_complete(&answer));
    assert_eq!(streams(&silent), 1);
    assert_eq!(
        streams(&other),
        usize::from(second != "alone"),
        "it is asked once"
    );
}

/// Guards against answers that were cut as nobody listened at the other endpoint.
#[rstest]
#[tokio::test]
async fn a_silent_endpoint_is_kept_while_the_other_is_unreachable(
    #[values(0, 1, 3)] steps_before_silence: usize,
) {
    let mut script = start_of_stream();
    script.extend(rest_of_stream());
    script.insert(steps_before_silence, Step::Pause(SILENCE));
    let silent = Endpoint::start(vec![script]).await;
    let unreachable = Endpoint::unreachable().await;
    let gateway = Gateway::start(Some(patient_plan()), &[&silent, &unreachable]).await;
    let answer = get_stream(&gateway).await;
    assert_eq!(events(&answer), ["d1", "d2", "d3", "d4"], "{answer}");
    assert!(is_complete(&answer));
}

/// Guards against answers that were cut as no retry was left for a silent endpoint.
#[rstest]
#[tokio::test]
async fn a_silent_endpoint_is_kept_without_a_retry_budget(
    #[values(0, 1, 3)] steps_before_silence: usize,
) {
    let mut script = start_of_stream();
    script.extend(rest_of_stream());
    script.insert(steps_before_silence, Step::Pause(SILENCE));
    let silent = Endpoint::start(vec![script]).await;
    let other = Endpoint::start(Vec::new()).await;
    let gateway = Gateway::start(Some(patient_plan()), &[&silent, &other]).await;
    set_budget(&gateway, 0.0);
    let answer = get_stream(&gateway).await;
    assert_eq!(events(&answer), ["d1", "d2", "d3", "d4"], "{answer}");
    assert!(is_complete(&answer));
    assert_eq!(streams(&other), 0);
}

/// Guards against answers that were cut as a changed plan or list of endpoints left
/// nothing to go on at.
#[rstest]
#[case::service_without_endpoints(false)]
#[case::all_leave(true)]
#[tokio::test]
async fn a_silent_endpoint_is_kept_when_its_service_loses_the_others(
    #[case] leaving: bool,
    #[values(0, 1, 3)] steps_before_silence: usize,
) {
    let mut script = start_of_stream();
    script.extend(rest_of_stream());
    let moved = Arc::<Notify>::default();
    script.insert(steps_before_silence, Step::Pause(SILENCE));
    script.insert(steps_before_silence, Step::Wait(Arc::clone(&moved)));
    let silent = Endpoint::start(vec![script]).await;
    let other = Endpoint::start(Vec::new()).await;
    let gateway = Gateway::start(Some(patient_plan()), &[&silent, &other]).await;
    let moving = async {
        silent.wait_for_requests(1).await;
        let mut next = patient_plan();
        next.generation = id::Generation(2);
        let mut elsewhere = route("/stream/", Retry::Resume, 3);
        elsewhere.targets[0].service = id::Service::from("t");
        next.routes = [elsewhere].into_iter().collect();
        gateway.plan.send_replace(Some(next.into()));
        let standing = if leaving {
            Standing::Leaving
        } else {
            Standing::Live
        };
        let service = if leaving { "s" } else { "t" };
        let records = vec![
            record("e0", &silent, service, standing, 4),
            record("e1", &other, service, standing, 4),
        ];
        list(&gateway, records);
        moved.notify_one();
    };
    let (answer, ()) = tokio::join!(get_stream(&gateway), moving);
    assert_eq!(events(&answer), ["d1", "d2", "d3", "d4"], "{answer}");
    assert!(is_complete(&answer));
    assert_eq!(streams(&other), 0);
}

/// Guards against answers that were lost as their endpoint went on after the request
/// had been sent to another one.
#[rstest]
#[tokio::test]
async fn an_endpoint_that_goes_on_in_the_overlap_keeps_its_stream(
    #[values(0, 1, 3)] steps_before_silence: usize,
) {
    let mut script = start_of_stream();
    script.extend(rest_of_stream());
    let go_on = Arc::<Notify>::default();
    script.insert(steps_before_silence, Step::Wait(Arc::clone(&go_on)));
    let silent = Endpoint::start(vec![script]).await;
    let other = Endpoint::start(vec![vec![Step::Hang]]).await;
    let gateway = Gateway::start(Some(patient_plan()), &[&silent, &other]).await;
    let going_on = async {
        other.wait_for_requests(1).await;
        go_on.notify_one();
        other.wait_for_close().await;
    };
    let (answer, ()) = tokio::join!(get_stream(&gateway), going_on);
    assert_eq!(events(&answer), ["d1", "d2", "d3", "d4"], "{answer}");
    assert!(is_complete(&answer));
    assert_eq!(streams(&silent), 1);
}

/// Guards against a silent endpoint that is waited for until its caller leaves.
#[rstest]
#[tokio::test]
async fn an_endpoint_that_stays_silent_is_replaced(#[values(0, 1, 3)] steps_before_silence: usize) {
    let mut script = start_of_stream();
    script.truncate(steps_before_silence);
    script.push(Step::Hang);
    let silent = Endpoint::start(vec![script]).await;
    let resumed = if steps_before_silence == 3 {
        Vec::new()
    } else {
        vec![event(1), event(2)]
    };
    let mut script = vec![stream_head()];
    script.extend(resumed);
    script.extend(rest_of_stream());
    let other = Endpoint::start(vec![script]).await;
    let gateway = Gateway::start(Some(patient_plan()), &[&silent, &other]).await;
    let answer = get_stream(&gateway).await;
    assert_eq!(events(&answer), ["d1", "d2", "d3", "d4"], "{answer}");
    assert!(is_complete(&answer));
    timeout(PATIENCE, silent.wait_for_close())
        .await
        .expect("the silent endpoint is told that the request ended");
}

/// Guards against a request that ends with its silent endpoint while another one
/// already works on it.
#[rstest]
#[tokio::test]
async fn a_stream_goes_on_if_its_silent_endpoint_breaks_after_the_search(
    #[values(0, 1, 3)] steps_before_silence: usize,
) {
    let mut script = start_of_stream();
    script.truncate(steps_before_silence);
    let (break_off, begin) = (Arc::<Notify>::default(), Arc::<Notify>::default());
    script.push(Step::Wait(Arc::clone(&break_off)));
    script.push(Step::Close);
    let silent = Endpoint::start(vec![script]).await;
    let mut script = vec![Step::Wait(Arc::clone(&begin)), stream_head()];
    if steps_before_silence < 3 {
        script.extend([event(1), event(2)]);
    }
    script.extend(rest_of_stream());
    let other = Endpoint::start(vec![script]).await;
    let gateway = Gateway::start(Some(patient_plan()), &[&silent, &other]).await;
    let breaking = async {
        other.wait_for_requests(1).await;
        break_off.notify_one();
        sleep(Duration::from_millis(20)).await;
        begin.notify_one();
    };
    let (answer, ()) = tokio::join!(get_stream(&gateway), breaking);
    assert_eq!(events(&answer), ["d1", "d2", "d3", "d4"], "{answer}");
    assert!(is_complete(&answer));
}

/// Guards against silent endpoints that use up the retries of requests whose endpoints
/// broke.
#[tokio::test]
async fn silent_endpoints_without_a_replacement_cost_no_retry() {
    let go_on = Arc::<Notify>::default();
    let mut script = start_of_stream();
    script.push(Step::Pause(SILENCE));
    script.push(Step::Wait(Arc::clone(&go_on)));
    script.extend(rest_of_stream());
    let silent = Endpoint::start(vec![script; 4]).await;
    let gateway = Gateway::start(Some(patient_plan()), &[&silent]).await;
    set_budget(&gateway, 1.1);
    let silence_passed = async {
        silent.wait_for_requests(4).await;
        sleep(SILENCE).await;
        let service = id::Service::from("s");
        let now = gateway.chain.clock.now();
        let left = gateway.chain.budget.lock().unwrap().spend(now, &service);
        for _ in 0..4 {
            go_on.notify_one();
            tokio::task::yield_now().await;
        }
        left
    };
    let (.., left) = tokio::join!(
        get_stream(&gateway),
        get_stream(&gateway),
        get_stream(&gateway),
        get_stream(&gateway),
        silence_passed
    );
    assert!(left, "the retry is left for others");
}

/// Guards against answers that were cut while the search for another endpoint waited,
/// and against searches that go on although the endpoint did.
#[tokio::test]
async fn a_search_that_waits_is_withdrawn_once_the_endpoint_goes_on() {
    let full = Endpoint::start(vec![vec![Step::Hang]]).await;
    let mut script = start_of_stream();
    let go_on = Arc::<Notify>::default();
    script.push(Step::Wait(Arc::clone(&go_on)));
    script.extend(rest_of_stream());
    let silent = Endpoint::start(vec![script]).await;
    let gateway = Gateway::start(Some(patient_plan()), &[]).await;
    let full_record = record("e1", &full, "s", Standing::Live, 1);
    list(&gateway, vec![full_record.clone()]);
    let filling = tokio::spawn(common::get(gateway.address, "/safe/x", ""));
    full.wait_for_requests(1).await;
    let silent_record = record("e0", &silent, "s", Standing::Live, 1);
    list(&gateway, vec![silent_record, full_record]);
    let admission = &gateway.chain.admission;
    let going_on = async {
        while admission.read(Dispatcher::waiting) == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        go_on.notify_one();
        while admission.read(Dispatcher::waiting) > 0 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    let both = async { tokio::join!(get_stream(&gateway), going_on) };
    let (answer, ()) = timeout(PATIENCE, both).await.expect("both end");
    assert_eq!(events(&answer), ["d1", "d2", "d3", "d4"], "{answer}");
    assert!(is_complete(&answer));
    assert_eq!(streams(&full), 0);
    filling.abort();
}

/// Guards against a silent endpoint that stays the first choice for new requests.
#[tokio::test]
async fn new_requests_prefer_an_endpoint_that_was_not_silent() {
    let mut script = start_of_stream();
    script.push(Step::Hang);
    let silent = Endpoint::start(vec![script]).await;
    let mut rest = vec![stream_head()];
    rest.extend(rest_of_stream());
    let other = Endpoint::start(vec![rest]).await;
    let gateway = Gateway::start(Some(patient_plan()), &[&silent, &other]).await;
    assert!(is_complete(&get_stream(&gateway).await));
    assert_eq!(status(&gateway.get("/safe/x", "").await), 200);
    let asked = |endpoint: &Endpoint| {
        let requests = endpoint.requests();
        requests.iter().any(|request| request.contains("/safe/"))
    };
    assert!(asked(&other));
    assert!(!asked(&silent));
}

/// Guards against a request that is suspected of crashing endpoints, as the one at which
/// it was lost did not answer the first question about its health in time.
#[tokio::test]
async fn an_endpoint_that_pauses_while_it_is_examined_is_found_alive() {
    // Its process sends nothing for 1.2 s after the connection broke.
    let script = vec![
        vec![Step::Close],
        vec![
            Step::Pause(Duration::from_millis(1200)),
            answer_with(200, ""),
        ],
        vec![
            Step::Pause(Duration::from_millis(200)),
            answer_with(200, ""),
        ],
    ];
    let endpoint = Endpoint::start(script).await;
    let gateway = Gateway::start(Some(plan()), &[&endpoint]).await;
    assert_eq!(status(&gateway.get("/once/x", "").await), 502);
    let mut registry = Registry::default();
    gateway.chain.metrics.register(&mut registry);
    let examinations = async {
        loop {
            let mut page = String::new();
            encode(&mut page, &registry).unwrap();
            if let Some(line) = page
                .lines()
                .find(|line| line.starts_with("examinations_total"))
            {
                return line.to_owned();
            }
            sleep(Duration::from_millis(5)).await;
        }
    };
    let found = timeout(PATIENCE, examinations).await.expect("a finding");
    assert_eq!(found, "examinations_total{finding=\"alive\"} 1");
    assert_eq!(endpoint.requests().len(), 3, "it is asked twice");
}

/// Events of a stream of a [`pausing`] endpoint.
const EVENTS: u64 = 6;

/// Serves streams that go on after the event that the request names, and pauses at
/// random for up to 2.5 s; returns its record.
async fn pausing(name: String, seed: u64) -> Record {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut connections = 0;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            connections += 1;
            let mut rng = SmallRng::seed_from_u64(seed * 1000 + connections);
            tokio::spawn(async move {
                while let Some(request) = read_message(&mut stream).await {
                    let id = header(&request, "x-id").unwrap_or_default();
                    let after = header(&request, "x-after").and_then(|after| after.parse().ok());
                    let mut steps = vec![stream_head()];
                    for number in after.unwrap_or(0) + 1..=EVENTS {
                        steps.push(event(number));
                    }
                    let last = steps.len();
                    steps.push(stream_end());
                    for (number, step) in steps.into_iter().enumerate() {
                        // A stream whose last event is known can't be resumed.
                        if number < last && rng.random_bool(0.15) {
                            sleep(Duration::from_millis(rng.random_range(100..2500))).await;
                        }
                        let Step::Send(bytes) = step else {
                            continue;
                        };
                        let bytes = bytes.replace("{id}", &id);
                        if stream.write_all(bytes.as_bytes()).await.is_err() {
                            return;
                        }
                    }
                }
            });
        }
    });
    Record {
        id: id::Endpoint::from(name),
        address: address.to_string(),
        service: id::Service::from("s"),
        data_centre: id::DataCentre::from("dc"),
        standing: Standing::Live,
        version: Some(id::Version::from("v1")),
        capacity: Some(100),
    }
}

/// Guards against answers that are cut or repeated where many endpoints fall silent at
/// once. The variable `SEED` sets the first seed.
#[rstest]
#[tokio::test]
async fn streams_of_endpoints_that_pause_at_random_are_whole(#[values(0, 1, 2)] offset: u64) {
    let first: u64 = std::env::var("SEED").map_or(1, |seed| seed.parse().unwrap());
    let seed = first + offset;
    println!("seed {seed}");
    let gateway = Gateway::start(Some(patient_plan()), &[]).await;
    let mut records = Vec::new();
    for number in 0..4 {
        records.push(pausing(format!("e{number}"), seed * 10 + number).await);
    }
    list(&gateway, records);
    let mut callers = JoinSet::new();
    for _ in 0..40 {
        let address = gateway.address;
        callers.spawn(timeout(PATIENCE, common::get(address, "/stream/x", "")));
    }
    let whole: Vec<String> = (1..=EVENTS).map(|number| format!("d{number}")).collect();
    while let Some(answer) = callers.join_next().await {
        let answer = answer.unwrap().expect("an answer");
        assert_eq!(events(&answer), whole, "{answer}");
        assert!(is_complete(&answer));
    }
    let resumed = gateway.chain.metrics.resumed.get();
    println!("{resumed} streams resumed");
    assert!(resumed > 0, "the seed makes no endpoint silent for long");
}
