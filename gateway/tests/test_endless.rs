//! Endpoints that send bytes without end, in a head, a body or a stream.

mod common;

use std::{cell::RefCell, io, sync::Once, time::Duration};

use common::{
    Endpoint, Gateway, Step, answer_with, chunk, event, events, is_complete, plan, status,
    stream_end, stream_head,
};
use dottereltally_lib::{plan::Plan, route::Retry};
use rstest::rstest;
use tokio::{io::AsyncWriteExt, net::TcpListener, sync::mpsc, time::timeout};

/// Guards against a test that waits for ever.
const PATIENCE: Duration = Duration::from_mins(1);

const HEAD: &str = "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-seal: s\r\n";

/// Installs the subscriber before any log line is written: one that is installed
/// later may miss lines.
static SUBSCRIBER: Once = Once::new();

thread_local! {
    /// The log lines of the test's thread.
    static LINES: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// Writes the log to the lines of the current thread.
struct Log;

impl io::Write for Log {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        LINES.with_borrow_mut(|lines| lines.extend_from_slice(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the log lines of this test that contain a text.
fn log_lines(text: &str) -> Vec<String> {
    let log = LINES.with_borrow(|lines| String::from_utf8_lossy(lines).into_owned());
    let lines = log.lines().filter(|line| line.contains(text));
    lines.map(str::to_owned).collect()
}

/// Starts a gateway, and the log of the test.
async fn start_gateway(plan: Plan, endpoints: &[&Endpoint]) -> Gateway {
    SUBSCRIBER.call_once(|| {
        let subscriber = tracing_subscriber::fmt()
            .with_ansi(false)
            .with_writer(|| Log)
            .finish();
        tracing::subscriber::set_global_default(subscriber).unwrap();
    });
    LINES.with_borrow_mut(Vec::clear);
    Gateway::start(Some(plan), endpoints).await
}

/// Returns the steps that send a start and then a part again and again.
fn endless(start: &str, part: &str) -> Vec<Step> {
    vec![Step::Send(start.to_owned()), Step::Endless(part.to_owned())]
}

/// Returns the plan with more time for each request than the bounds of size need
/// on a busy machine.
fn patient_plan() -> Plan {
    let routes = [
        ("/safe/", Retry::Whole, 2),
        ("/once/", Retry::Never, 2),
        ("/stream/", Retry::Resume, 3),
    ];
    let mut patient = Vec::new();
    for (prefix, retry, attempts) in routes {
        let mut route = common::route(prefix, retry, attempts);
        route.timeout = Duration::from_secs(20);
        patient.push(route);
    }
    Plan {
        routes: patient.into_iter().collect(),
        ..plan()
    }
}

async fn get(gateway: &Gateway, path: &str) -> String {
    let answer = timeout(PATIENCE, gateway.get(path, "")).await;
    answer.expect("the caller gets an answer or a closed connection")
}

async fn wait_for_close(endpoint: &Endpoint) {
    let closed = timeout(PATIENCE, endpoint.wait_for_close()).await;
    closed.expect("the gateway closes the connection");
}

/// The forms of a head or a whole body without end, each with the cause that the
/// log names.
#[rstest]
#[case::no_answer(endless("", "x"), "invalid HTTP version")]
#[case::empty_lines(endless("", "\r\n"), "head is too large")]
#[case::reason(endless("HTTP/1.1 200 ", "x"), "head is too large")]
#[case::header_value(endless("HTTP/1.1 200 X\r\na: ", "x"), "head is too large")]
#[case::header_count(endless("HTTP/1.1 200 X\r\n", "a: b\r\n"), "head is too large")]
#[case::interim_answers(
    endless("", "HTTP/1.1 100 Continue\r\n\r\n"),
    "interim answers to one request"
)]
#[case::declared_length(
    endless(&format!("{HEAD}content-length: 1000000000\r\n\r\n"), "x"),
    "larger than"
)]
#[case::no_length(endless(&format!("{HEAD}\r\n"), "x"), "larger than")]
#[case::chunks(
    endless(&format!("{HEAD}transfer-encoding: chunked\r\n\r\n"), &format!("400\r\n{}\r\n", "x".repeat(0x400))),
    "larger than"
)]
#[case::small_chunks(
    endless(&format!("{HEAD}transfer-encoding: chunked\r\n\r\n"), "1\r\nx\r\n"),
    "parts of an answer with a few bytes"
)]
#[case::chunk_size(
    endless(&format!("{HEAD}transfer-encoding: chunked\r\n\r\n"), "0"),
    "without a part of an answer"
)]
#[case::chunk_size_space(
    endless(&format!("{HEAD}transfer-encoding: chunked\r\n\r\n1"), " "),
    "without a part of an answer"
)]
#[case::chunk_extension(
    endless(&format!("{HEAD}transfer-encoding: chunked\r\n\r\n1;a="), "x"),
    "chunk extensions over limit"
)]
#[case::trailers(
    endless(&format!("{HEAD}transfer-encoding: chunked\r\n\r\n0\r\n"), "a: b\r\n"),
    "trailers"
)]
#[tokio::test]
async fn an_answer_without_end_is_broken_off(#[case] steps: Vec<Step>, #[case] cause: &str) {
    let broken = Endpoint::start(vec![steps.clone()]).await;
    let healthy = Endpoint::start(Vec::new()).await;
    let gateway = start_gateway(patient_plan(), &[&broken, &healthy]).await;
    let answer = get(&gateway, "/safe/x").await;
    wait_for_close(&broken).await;
    let failed = log_lines("attempt failed");
    assert_eq!(
        status(&answer),
        200,
        "a safe request is retried: {failed:?}"
    );
    assert!(answer.ends_with("usual"));
    assert_eq!(failed.len(), 1, "{failed:?}");
    assert!(failed[0].contains("failure=\"broken\""), "{failed:?}");
    assert!(failed[0].contains(cause), "{failed:?}");

    let broken = Endpoint::start(vec![steps]).await;
    let gateway = start_gateway(patient_plan(), &[&broken, &healthy]).await;
    let answer = get(&gateway, "/once/x").await;
    wait_for_close(&broken).await;
    assert_eq!(status(&answer), 502, "the endpoint may have run it");
    assert!(answer.contains("may-have-run"));
    assert_eq!(healthy.requests().len(), 1, "it is not retried");
}

/// Requests after which the dispatcher must avoid an endpoint that fails all.
const FAILURES: usize = 10;

#[rstest]
#[case::head(endless("HTTP/1.1 200 X\r\na: ", "x"))]
#[case::interim_answers(endless("", "HTTP/1.1 100 Continue\r\n\r\n"))]
#[case::chunk_size(endless(&format!("{HEAD}transfer-encoding: chunked\r\n\r\n"), "0"))]
#[case::body(endless(&format!("{HEAD}content-length: 1000000000\r\n\r\n"), "x"))]
#[tokio::test]
async fn the_dispatcher_avoids_an_endpoint_whose_answers_have_no_end(#[case] steps: Vec<Step>) {
    let broken = Endpoint::start(vec![steps; 3 * FAILURES]).await;
    let healthy = Endpoint::start(Vec::new()).await;
    let gateway = start_gateway(patient_plan(), &[&broken, &healthy]).await;
    for _ in 0..FAILURES {
        assert_eq!(status(&get(&gateway, "/safe/x").await), 200);
    }
    // The others are examinations of the endpoint.
    let requests = broken.requests();
    let tried = requests
        .iter()
        .filter(|request| request.starts_with("GET /safe/"));
    let tried = tried.count();
    assert!(tried < FAILURES, "it was tried {tried} times");
}

/// An endpoint that floods each connection from its start; nothing of a request
/// may have been read.
#[rstest]
#[case::no_answer("x")]
#[case::interim_answers("HTTP/1.1 100 Continue\r\n\r\n")]
#[case::answers("HTTP/1.1 200 X\r\nx-id: other\r\nx-seal: s\r\ncontent-length: 3\r\n\r\nbad")]
#[tokio::test]
async fn bytes_before_a_request_are_no_answer_to_it(#[case] part: &'static str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (closed, mut closes) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let closed = closed.clone();
            tokio::spawn(async move {
                let block = part.repeat(400);
                while stream.write_all(block.as_bytes()).await.is_ok() {}
                let _sent = closed.send(());
            });
        }
    });
    let mut flooding = Endpoint::start(Vec::new()).await;
    flooding.address = address;
    let healthy = Endpoint::start(Vec::new()).await;
    let gateway = start_gateway(patient_plan(), &[&flooding, &healthy]).await;
    let answer = get(&gateway, "/safe/x").await;
    timeout(PATIENCE, closes.recv()).await.expect("a close");
    assert!(answer.ends_with("usual"), "{answer}");
}

/// The examiner closes the connection on which it asked.
#[rstest]
#[case::head("HTTP/1.1 200 X\r\na: ", "x")]
#[case::interim_answers("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::body("HTTP/1.1 200 X\r\n\r\n", "x")]
#[tokio::test]
async fn an_examination_that_is_answered_without_end_is_closed(
    #[case] start: &str,
    #[case] part: &str,
) {
    let script = vec![vec![Step::Close], endless(start, part)];
    let endpoint = Endpoint::start(script).await;
    let gateway = start_gateway(patient_plan(), &[&endpoint]).await;
    assert_eq!(status(&get(&gateway, "/once/x").await), 502);
    wait_for_close(&endpoint).await;
    let requests = endpoint.requests();
    assert!(requests[1].starts_with("GET /health"), "{requests:?}");
}

/// The forms of a stream without end, after its head.
#[rstest]
#[case::event("data: x", "larger than")]
#[case::lines("data: x\n", "larger than")]
#[case::comment_line(": x\n", "larger than")]
#[case::comments(": x\n\n", "larger than")]
#[case::blank_lines("\n", "larger than")]
#[tokio::test]
async fn a_stream_without_a_further_event_goes_on_at_another_endpoint(
    #[case] part: &str,
    #[case] cause: &str,
    #[values(0, 2)] before: u64,
) {
    let mut steps = vec![stream_head()];
    let mut rest = vec![stream_head()];
    for number in 1..=3 {
        if number <= before {
            steps.push(event(number));
        } else {
            rest.push(event(number));
        }
    }
    rest.push(stream_end());
    let part = part.repeat(1000);
    steps.push(Step::Endless(format!("{:x}\r\n{part}\r\n", part.len())));
    let broken = Endpoint::start(vec![steps]).await;
    let healthy = Endpoint::start(vec![rest]).await;
    let gateway = start_gateway(patient_plan(), &[&broken, &healthy]).await;
    let answer = get(&gateway, "/stream/x").await;
    wait_for_close(&broken).await;
    assert_eq!(events(&answer), ["d1", "d2", "d3"]);
    assert!(is_complete(&answer));
    let causes = log_lines(cause);
    assert_eq!(causes.len(), 1, "{causes:?}");
}

#[tokio::test]
async fn a_stream_of_events_without_end_is_cut_at_the_time_limit() {
    let steps = vec![
        stream_head(),
        event(1),
        Step::Endless("8\r\ndata: x\n\r\n1\r\n\n\r\n".to_owned()),
    ];
    let endpoint = Endpoint::start(vec![steps]).await;
    let mut plan = plan();
    let mut route = common::route("/flood/", Retry::Never, 1);
    route.streaming = true;
    route.timeout = Duration::from_millis(300);
    plan.routes = [route].into_iter().collect();
    let gateway = start_gateway(plan, &[&endpoint]).await;
    let answer = get(&gateway, "/flood/x").await;
    wait_for_close(&endpoint).await;
    assert_eq!(status(&answer), 200);
    assert!(!is_complete(&answer));
}

/// A slow answer stays below every limit of size; the time limit of the route
/// ends it.
#[rstest]
#[case::head("HTTP/1.1 200 X\r\n", "a")]
#[case::body(
    "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-seal: s\r\ncontent-length: 900000\r\n\r\n",
    "x"
)]
#[case::interim("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[tokio::test]
async fn a_slow_answer_ends_at_the_time_limit(#[case] start: &str, #[case] part: &str) {
    let steps = vec![Step::Send(start.to_owned()), Step::Trickle(part.to_owned())];
    let endpoint = Endpoint::start(vec![steps]).await;
    let gateway = start_gateway(plan(), &[&endpoint]).await;
    let answer = get(&gateway, "/short/x").await;
    assert_eq!(status(&answer), 504);
    assert!(answer.contains("may-have-run"));
    wait_for_close(&endpoint).await;
}

/// Comments keep no stream alive: its endpoint counts as silent.
#[tokio::test]
async fn a_slow_stream_of_comments_goes_on_at_another_endpoint() {
    let comment = Step::Trickle("4\r\n: x\n\r\n1\r\n\n\r\n".to_owned());
    let broken = Endpoint::start(vec![vec![stream_head(), event(1), comment]]).await;
    let rest = vec![stream_head(), event(2), stream_end()];
    let healthy = Endpoint::start(vec![rest]).await;
    let gateway = start_gateway(patient_plan(), &[&broken, &healthy]).await;
    let answer = get(&gateway, "/stream/x").await;
    wait_for_close(&broken).await;
    assert_eq!(events(&answer), ["d1", "d2"]);
    assert!(is_complete(&answer));
}

#[tokio::test]
async fn a_stream_with_few_comments_is_relayed_with_them() {
    let script = vec![vec![
        stream_head(),
        chunk(": one\n\n"),
        event(1),
        chunk(": two\n\n"),
        stream_end(),
    ]];
    let endpoint = Endpoint::start(script).await;
    let gateway = start_gateway(patient_plan(), &[&endpoint]).await;
    let answer = get(&gateway, "/stream/x").await;
    assert_eq!(events(&answer), ["d1"]);
    assert!(answer.contains(": one\n\n"), "{answer}");
    assert!(is_complete(&answer), "{answer}");
}

/// Bytes after a complete answer belong to no request, however many follow.
#[rstest]
#[case::one_answer(Step::Hang)]
#[case::endless(Step::Endless("HTTP/1.1 200 X\r\nx-id: one\r\nx-seal: s\r\ncontent-length: 3\r\n\r\nbad".to_owned()))]
#[tokio::test]
async fn bytes_after_a_complete_answer_reach_no_caller(#[case] then: Step) {
    let extra = "HTTP/1.1 200 X\r\nx-id: one\r\nx-seal: s\r\ncontent-length: 3\r\n\r\nbad";
    let first = vec![answer_with(200, "good"), Step::Send(extra.to_owned()), then];
    let endpoint = Endpoint::start(vec![first]).await;
    let gateway = start_gateway(patient_plan(), &[&endpoint]).await;
    assert!(get(&gateway, "/safe/x").await.ends_with("good"));
    wait_for_close(&endpoint).await;
    assert!(get(&gateway, "/safe/x").await.ends_with("usual"));
}

/// Answers up to the limit reach the caller unharmed.
#[rstest]
#[case::declared(true)]
#[case::chunked(false)]
#[tokio::test]
async fn a_large_answer_reaches_the_caller(#[case] declared: bool) {
    let body = "y".repeat(15 << 20);
    let answer = if declared {
        answer_with(200, &body)
    } else {
        let chunk = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
        Step::Send(format!("{HEAD}transfer-encoding: chunked\r\n\r\n{chunk}"))
    };
    let endpoint = Endpoint::start(vec![vec![answer]]).await;
    let gateway = start_gateway(patient_plan(), &[&endpoint]).await;
    let answer = get(&gateway, "/safe/x").await;
    assert_eq!(status(&answer), 200);
    assert!(answer.ends_with(&body));
}
