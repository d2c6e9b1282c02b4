//! Memory of the process while many endpoints send bytes without end; a file of
//! its own, as the memory of other tests would count.

mod common;

use common::{Endpoint, Gateway, Step, plan, send_raw, status, stream_head};
use rstest::rstest;
use tokio::{sync::Mutex, task::JoinSet};

/// Memory of a small host, bytes; endpoints and callers of the test count as well.
const HOST_BYTES: u64 = 110_000_000;

/// Requests at once.
const REQUESTS: usize = 32;

/// The cases run one after the other, as they measure the same process.
static ALONE: Mutex<()> = Mutex::const_new(());

/// Returns the memory of this process at its peak since the last reset, bytes.
fn peak() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.unwrap().trim().trim_end_matches(" kB");
    kilobytes.parse::<u64>().unwrap() * 1024
}

fn reset_peak() {
    std::fs::write("/proc/self/clear_refs", "5").unwrap();
}

fn endless(head: &str, part: &str) -> Vec<Step> {
    vec![Step::Send(head.to_owned()), Step::Endless(part.to_owned())]
}

fn chunk(size: usize) -> String {
    format!("{size:x}\r\n{}\r\n", "x".repeat(size))
}

const CHUNKED: &str =
    "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n";
const DECLARED: &str =
    "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-seal: s\r\ncontent-length: 16700000\r\n\r\n";
const ENDED_BY_CLOSE: &str = "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-seal: s\r\n\r\n";

#[rstest]
#[case::chunks("/long/x", endless(CHUNKED, &chunk(4096)))]
#[case::small_chunks("/long/x", endless(CHUNKED, &chunk(32)))]
#[case::declared("/long/x", vec![
    Step::Send(DECLARED.to_owned()),
    Step::Repeat("x".repeat(16_000), 1000),
    Step::Hang,
])]
#[case::ended_by_close("/long/x", endless(ENDED_BY_CLOSE, "x"))]
#[case::head("/long/x", endless("HTTP/1.1 200 X\r\na: ", "x"))]
#[case::event("/stream/x", vec![stream_head(), Step::Endless(chunk(4096))])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_answers_fit_into_the_memory_of_a_small_host(
    #[case] path: &'static str,
    #[case] steps: Vec<Step>,
) {
    let _alone = ALONE.lock().await;
    let mut plan = plan();
    let mut long = common::route("/long/", dottereltally_lib::route::Retry::Whole, 2);
    long.timeout = std::time::Duration::from_secs(10);
    let stream = common::route("/stream/", dottereltally_lib::route::Retry::Resume, 3);
    plan.routes = [long, stream].into_iter().collect();
    let mut endpoints = Vec::new();
    for _ in 0..REQUESTS / 4 {
        endpoints.push(Endpoint::start(vec![steps.clone(); 2 * REQUESTS]).await);
    }
    let endpoints: Vec<&Endpoint> = endpoints.iter().collect();
    let gateway = Gateway::start(Some(plan), &endpoints).await;
    reset_peak();
    let mut callers = JoinSet::new();
    for number in 0..REQUESTS {
        let address = gateway.address;
        let request = format!(
            "GET {path} HTTP/1.1\r\nhost: a.example\r\nx-id: {number}\r\nconnection: close\r\n\r\n"
        );
        callers.spawn(async move { status(&send_raw(address, &request).await) });
    }
    let statuses = callers.join_all().await;
    let peak = peak();
    println!("{peak} bytes at the peak; statuses {statuses:?}");
    assert!(statuses.iter().all(|status| *status >= 500), "{statuses:?}");
    assert!(peak < HOST_BYTES, "{peak} bytes at the peak");
}
