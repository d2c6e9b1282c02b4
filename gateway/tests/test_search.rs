//! Searches for an endpoint that replaces a silent one.

mod common;

use std::{sync::Arc, thread, time::Duration};

use common::{
    Endpoint, Gateway, Step, event, events, is_complete, plan, route, stream_end, stream_head,
};
use dottereltally_lib::{
    endpoint::{Record, Standing},
    id,
    plan::Plan,
    route::Retry,
};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    runtime::Builder,
    sync::Notify,
    task::JoinSet,
    time::timeout,
};

/// Longest time without an event that callers wait for.
const GAP: Duration = Duration::from_secs(2);

/// Returns a plan whose streams may take longer than any test.
fn patient_plan() -> Plan {
    let mut streaming = route("/stream/", Retry::Resume, 3);
    streaming.timeout = Duration::from_mins(1);
    let mut plan = plan();
    plan.routes = vec![streaming, route("/safe/", Retry::Whole, 2)]
        .into_iter()
        .collect();
    plan
}

/// Replaces the list of endpoints, each with its data centre.
fn list(gateway: &Gateway, endpoints: &[(&Endpoint, &str)]) {
    let records = endpoints.iter().map(|(endpoint, data_centre)| Record {
        id: id::Endpoint::from(endpoint.address.to_string()),
        address: endpoint.address.to_string(),
        service: id::Service::from("s"),
        data_centre: id::DataCentre::from(*data_centre),
        standing: Standing::Live,
        version: Some(id::Version::from("v1")),
        capacity: Some(100),
    });
    let records = records.collect();
    let admission = &gateway.chain.admission;
    admission.apply(|dispatcher, now| dispatcher.set_endpoints(now, records));
}

/// Returns how many requests for a stream arrived at an endpoint.
fn streams(endpoint: &Endpoint) -> usize {
    let requests = endpoint.requests();
    let streams = requests
        .iter()
        .filter(|request| request.contains("/stream/"));
    streams.count()
}

/// Reads a stream as a caller that leaves after a gap; returns what it got.
async fn read_until_gap(gateway: &Gateway) -> String {
    let mut connection = TcpStream::connect(gateway.address).await.unwrap();
    let request =
        "GET /stream/x HTTP/1.1\r\nhost: a.example\r\nx-id: a1\r\nconnection: close\r\n\r\n";
    connection.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    while let Ok(Ok(length)) = timeout(GAP, connection.read_buf(&mut answer)).await {
        if length == 0 {
            break;
        }
    }
    String::from_utf8(answer).unwrap()
}

/// Guards against a stream whose caller leaves, as the search paused after the first
/// endpoint that was found did not take the request.
#[rstest]
#[tokio::test]
async fn a_search_goes_on_at_once_if_an_endpoint_does_not_take_the_request(
    #[values("rejects", "unreachable")] second: &str,
) {
    let silent = Endpoint::start(vec![vec![stream_head(), event(1), event(2), Step::Hang]]).await;
    let rejection = "HTTP/1.1 503 X\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    let other = match second {
        "rejects" => Endpoint::start(vec![vec![Step::Send(rejection.to_owned())]]).await,
        _ => Endpoint::unreachable().await,
    };
    let rest = vec![stream_head(), event(3), event(4), stream_end()];
    let third = Endpoint::start(vec![rest]).await;
    let gateway = Gateway::start(Some(patient_plan()), &[]).await;
    list(&gateway, &[(&silent, "dc")]);
    let listing = async {
        silent.wait_for_requests(1).await;
        // Endpoints of the gateway's own data centre are tried first.
        list(
            &gateway,
            &[(&silent, "dc"), (&other, "dc"), (&third, "far")],
        );
    };
    let (answer, ()) = tokio::join!(read_until_gap(&gateway), listing);
    assert_eq!(events(&answer), ["d1", "d2", "d3", "d4"], "{answer}");
    assert!(is_complete(&answer));
}

/// Guards against a silent endpoint that still works on a request long after the
/// request was sent to another one.
#[rstest]
#[tokio::test]
async fn a_silent_endpoint_is_cancelled_although_the_other_one_is_silent_too(
    #[values(0, 1, 3)] steps_before_silence: usize,
) {
    let mut script = vec![stream_head(), event(1), event(2)];
    script.truncate(steps_before_silence);
    script.push(Step::Hang);
    let silent = Endpoint::start(vec![script]).await;
    let begin = Arc::<Notify>::default();
    let mut script = vec![Step::Wait(Arc::clone(&begin)), stream_head()];
    if steps_before_silence < 3 {
        script.extend([event(1), event(2)]);
    }
    script.extend([event(3), event(4), stream_end()]);
    let other = Endpoint::start(vec![script]).await;
    let gateway = Gateway::start(Some(patient_plan()), &[&silent, &other]).await;
    let cancelling = async {
        silent.wait_for_close().await;
        begin.notify_one();
    };
    let both = async { tokio::join!(gateway.get("/stream/x", ""), cancelling) };
    let (answer, ()) = timeout(Duration::from_mins(1), both)
        .await
        .expect("both end");
    assert_eq!(events(&answer), ["d1", "d2", "d3", "d4"], "{answer}");
    assert!(is_complete(&answer));
}

/// Guards against a gateway that was paused itself and takes that for the silence of its
/// endpoints, whose events it has not read yet.
#[test]
fn a_paused_gateway_sends_its_streams_to_no_other_endpoint() {
    const STREAMS: usize = 40;
    const THREADS: usize = 3;
    const PAUSE: Duration = Duration::from_millis(1500);
    // The endpoints go on while all threads of the gateway stand still.
    let endpoints = Builder::new_multi_thread().enable_all().build().unwrap();
    let mut script = vec![stream_head()];
    for number in 1..60 {
        script.extend([event(number), Step::Pause(Duration::from_millis(50))]);
    }
    script.push(stream_end());
    let (first, other) = endpoints.block_on(async {
        let first = Endpoint::start(vec![script; STREAMS]).await;
        (first, Endpoint::start(Vec::new()).await)
    });
    let own = Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build()
        .unwrap();
    own.block_on(async {
        let gateway = Arc::new(Gateway::start(Some(patient_plan()), &[]).await);
        let get_all = |path: &'static str| {
            let mut answers = JoinSet::new();
            for _ in 0..STREAMS {
                let gateway = Arc::clone(&gateway);
                answers.spawn(async move { gateway.get(path, "").await });
            }
            answers
        };
        // Leaves idle connections to the other endpoint.
        list(&gateway, &[(&other, "dc")]);
        get_all("/safe/x").join_all().await;
        list(&gateway, &[(&first, "dc")]);
        let answers = get_all("/stream/x");
        first.wait_for_requests(STREAMS).await;
        list(&gateway, &[(&first, "dc"), (&other, "dc")]);
        for _ in 0..THREADS {
            tokio::spawn(async { thread::sleep(PAUSE) });
        }
        for answer in answers.join_all().await {
            assert!(is_complete(&answer));
        }
        assert_eq!(streams(&other), 0, "of {STREAMS} streams");
    });
}
