//! Tests of the observer, which polls the load pages of endpoints and reads
//! their cache events.

mod common;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use common::{Dispatcher, Events, wait_for};
use dottereltally::{
    hosts,
    observer::{self, Metrics, probe},
};
use dottereltally_lib::{
    endpoint::{Cache, Change, Record, Standing},
    event::Event,
    id,
};
use dottereltally_store::host::Snapshot;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

/// Responses of a fake endpoint.
#[derive(Clone, Debug, Default)]
struct Pages {
    /// Load page; `None` leaves requests for it unanswered.
    load: Option<String>,
    /// Cache events of each stream, in the order of requests; every stream but
    /// the last ends after its events.
    streams: Vec<String>,
    /// Number of requests for cache events so far.
    stream_requests: usize,
}

/// A fake endpoint on a local port.
struct Endpoint {
    address: String,
    pages: Arc<Mutex<Pages>>,
    server: JoinHandle<()>,
}

impl Endpoint {
    async fn start(pages: Pages) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let pages = Arc::new(Mutex::new(pages));
        let shared = pages.clone();
        let server = tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(serve(stream, shared.clone()));
            }
        });
        Self {
            address,
            pages,
            server,
        }
    }

    fn set_load(&self, load: Option<&str>) {
        self.pages.lock().unwrap().load = load.map(str::to_owned);
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.server.abort();
    }
}

/// Serves one connection.
async fn serve(mut stream: TcpStream, pages: Arc<Mutex<Pages>>) {
    let mut head = Vec::new();
    loop {
        let mut byte = [0];
        if stream.read_exact(&mut byte).await.is_err() {
            return;
        }
        head.push(byte[0]);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        let response = if head.starts_with(b"GET /load ") {
            load_response(&pages)
        } else {
            Some(events_response(&pages))
        };
        head.clear();
        let Some((response, keep_open)) = response else {
            // A silent endpoint keeps the connection open.
            std::future::pending::<()>().await;
            return;
        };
        if stream.write_all(response.as_bytes()).await.is_err() || !keep_open {
            return;
        }
    }
}

/// Returns the response to a request for the load page, and whether the
/// connection stays open; `None` if the endpoint is silent.
fn load_response(pages: &Mutex<Pages>) -> Option<(String, bool)> {
    let page = pages.lock().unwrap().load.clone()?;
    let length = page.len();
    let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{page}");
    Some((response, true))
}

/// Returns the response to a request for cache events, and whether the
/// connection stays open.
fn events_response(pages: &Mutex<Pages>) -> (String, bool) {
    let mut pages = pages.lock().unwrap();
    let index = pages.stream_requests;
    pages.stream_requests += 1;
    let Some(events) = pages.streams.get(index) else {
        return (
            "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n".to_owned(),
            true,
        );
    };
    let response = format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{events}");
    (response, index + 1 == pages.streams.len())
}

fn record(endpoint: &Endpoint) -> Record {
    Record {
        id: "tally-1".into(),
        address: endpoint.address.clone(),
        service: "tally-llm".into(),
        data_centre: "plovdiv".into(),
        standing: Standing::Live,
        capacity: None,
        version: None,
    }
}

/// A running observer with its output and its host list.
struct Observer {
    events: Events,
    metrics: Metrics,
    host_list: watch::Sender<Option<Arc<Snapshot>>>,
}

/// Starts an observer of these endpoints in the data centre plovdiv.
fn observe(endpoints: Vec<Record>) -> Observer {
    let snapshot = Snapshot {
        entries: Vec::new(),
        endpoints,
    };
    let (host_list, hosts): (_, hosts::Receiver) = watch::channel(Some(Arc::new(snapshot)));
    let (dispatcher, events) = Dispatcher::new();
    let metrics = Metrics::default();
    observer::spawn("plovdiv".into(), hosts, dispatcher, metrics.clone());
    Observer {
        events,
        metrics,
        host_list,
    }
}

/// Returns the cache events among these events.
fn cache_events(events: &[Event]) -> Vec<Cache> {
    let mut caches = Vec::new();
    for event in events {
        if let Event::Cached(_, cache) = event {
            caches.push(cache.clone());
        }
    }
    caches
}

/// Waits for at least `count` cache events and returns all so far.
async fn wait_for_cache_events(events: &Events, count: usize) -> Vec<Cache> {
    let mut events = events.clone();
    let seen = events.wait_for(|events| cache_events(events).len() >= count);
    cache_events(&seen.await.unwrap())
}

/// Formats a load page.
fn load_page(running: u32, state: &str) -> String {
    format!(
        r#"{{"running": {running}, "waiting": 1, "tokens": 9, "models": ["m"], "state": "{state}"}}"#
    )
}

#[rstest]
#[tokio::test]
async fn the_host_list_and_the_load_pages_reach_the_dispatcher() {
    let endpoint = Endpoint::start(Pages::default()).await;
    endpoint.set_load(Some(&load_page(3, "live")));
    let observer = observe(vec![record(&endpoint)]);
    let listed = record(&endpoint);
    wait_for(&observer.events, |event| match event {
        Event::Listed(records) => records.contains(&listed),
        _ => false,
    })
    .await;
    wait_for(&observer.events, |event| match event {
        Event::Reported(id, load) => {
            id.as_str() == "tally-1" && load.running == 3 && load.models.contains(&"m".into())
        }
        _ => false,
    })
    .await;
}

#[rstest]
#[tokio::test]
async fn a_leaving_state_on_the_load_page_reaches_the_dispatcher() {
    let endpoint = Endpoint::start(Pages::default()).await;
    endpoint.set_load(Some(&load_page(3, "live")));
    let observer = observe(vec![record(&endpoint)]);
    wait_for(&observer.events, |event| {
        matches!(event, Event::Reported(..))
    })
    .await;
    endpoint.set_load(Some(&load_page(3, "leaving")));
    wait_for(&observer.events, |event| match event {
        Event::Reported(_, load) => load.standing == Standing::Leaving,
        _ => false,
    })
    .await;
}

#[rstest]
#[case(None)]
#[case(Some("not JSON"))]
#[case(Some(r#"{"running": -1}"#))]
#[tokio::test]
async fn a_bad_load_page_is_counted_and_polled_again(#[case] bad: Option<&str>) {
    let endpoint = Endpoint::start(Pages::default()).await;
    endpoint.set_load(bad);
    let observer = observe(vec![record(&endpoint)]);
    while observer.metrics.failures.get() == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    endpoint.set_load(Some(&load_page(3, "live")));
    wait_for(&observer.events, |event| {
        matches!(event, Event::Reported(..))
    })
    .await;
}

#[rstest]
#[tokio::test]
async fn an_endpoint_removed_from_the_host_list_is_no_longer_polled() {
    let endpoint = Endpoint::start(Pages::default()).await;
    endpoint.set_load(Some(&load_page(3, "live")));
    let observer = observe(vec![record(&endpoint)]);
    wait_for(&observer.events, |event| {
        matches!(event, Event::Reported(..))
    })
    .await;
    let other = Endpoint::start(Pages::default()).await;
    other.set_load(Some(&load_page(5, "live")));
    let mut listed = record(&other);
    listed.id = "tally-2".into();
    let snapshot = Snapshot {
        entries: Vec::new(),
        endpoints: vec![listed],
    };
    observer.host_list.send_replace(Some(Arc::new(snapshot)));
    let count = |name: &str| {
        let mut count = 0;
        for event in observer.events.borrow().iter() {
            count += usize::from(matches!(event, Event::Reported(id, _) if id.as_str() == name));
        }
        count
    };
    while count("tally-2") == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let before = count("tally-1");
    while count("tally-2") < 3 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(count("tally-1"), before);
}

#[rstest]
#[tokio::test]
async fn cache_events_are_passed_on_and_gaps_are_counted() {
    let stream = concat!(
        ": a comment\n\n",
        "id: 4\ndata: {\"stored\": \"00000000000000ff\"}\n\n",
        "id: 5\ndata: {\"removed\": \"00000000000000ff\"}\n\n",
        "id: 5\ndata: {\"removed\": \"00000000000000fe\"}\n\n",
        "id: 6\ndata: nonsense\n\n",
        "id: 8\ndata: {\"cleared\": true}\n\n",
    );
    let pages = Pages {
        load: Some(load_page(0, "live")),
        streams: vec![stream.to_owned()],
        stream_requests: 0,
    };
    let endpoint = Endpoint::start(pages).await;
    let observer = observe(vec![record(&endpoint)]);
    let prefix = id::Prefix(255);
    let expected = [
        (1, Change::Stored(prefix)),
        (2, Change::Removed(prefix)),
        (5, Change::Cleared),
    ];
    let found = wait_for_cache_events(&observer.events, 3).await;
    for (cache, (sequence, change)) in found.iter().zip(expected) {
        assert_eq!((cache.sequence, cache.change), (sequence, change));
    }
    assert_eq!(observer.metrics.gaps.get(), 1);
}

#[rstest]
#[tokio::test]
async fn cache_events_of_a_restarted_endpoint_are_not_discarded_as_old() {
    let first = "id: 90\ndata: {\"stored\": \"01\"}\n\n";
    let second = "id: 1\ndata: {\"stored\": \"02\"}\n\n";
    let pages = Pages {
        load: Some(load_page(0, "live")),
        streams: vec![first.to_owned(), second.to_owned()],
        stream_requests: 0,
    };
    let endpoint = Endpoint::start(pages).await;
    let observer = observe(vec![record(&endpoint)]);
    let found = wait_for_cache_events(&observer.events, 3).await;
    let changes: Vec<Change> = found.iter().map(|cache| cache.change).collect();
    let expected = [
        Change::Stored(id::Prefix(1)),
        Change::Cleared,
        Change::Stored(id::Prefix(2)),
    ];
    assert_eq!(changes, expected);
    assert!(found.is_sorted_by(|a, b| a.sequence < b.sequence));
}

#[rstest]
#[case(Some(&*load_page(0, "live")), true)]
#[case(None, false)]
#[tokio::test]
async fn a_probe_reports_whether_the_endpoint_answers(
    #[case] load: Option<&str>,
    #[case] answers: bool,
) {
    let endpoint = Endpoint::start(Pages::default()).await;
    endpoint.set_load(load);
    assert_eq!(probe(&endpoint.address).await, answers);
}

#[rstest]
#[tokio::test]
async fn a_probe_of_a_closed_port_fails() {
    let endpoint = Endpoint::start(Pages::default()).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    assert!(!probe(&address).await);
    drop(endpoint);
}
