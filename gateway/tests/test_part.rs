//! Parts of prompts that crash the endpoints, through gateways that know each other.

mod common;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use common::{
    cluster::Cluster,
    fragile::{End, FATAL_PART, Fleet, Return},
    get, status,
};
use rstest::rstest;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

/// Number of nodes.
const NODES: usize = 3;

/// Number of endpoints.
const ENDPOINTS: usize = 24;

/// Endpoints return under another id.
const BACK: Return = Return {
    after: Some(Duration::from_millis(2500)),
    same_id: false,
};

/// Ends after which the part must be known.
const KNOWN_ENDS: usize = 5;

/// Time until every node must know it.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Requests with the part that may reach endpoints later.
const MOST_LATE: usize = 3;

/// Time between two requests with the part, and between two sound ones.
const INTERVALS: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(25));

/// Time for which sound requests are counted.
const SOUND_TIME: Duration = Duration::from_secs(3);

/// Time for which the part is answered at first.
const TOLERANT_TIME: Duration = Duration::from_secs(3);

/// Longest run.
const LONGEST_RUN: Duration = Duration::from_secs(25);

/// Where the part stands.
#[derive(Clone, Copy, Debug)]
enum Position {
    First,
    Middle,
    Last,
    /// At one of these, in turn.
    Changing,
}

/// Returns the parts of a prompt with the fatal part, of the request `number`.
fn fatal_parts(position: Position, number: usize) -> String {
    let session = format!("5e55{}:40", number % 4);
    let own = format!("ffff{number:x}:9");
    let fatal = format!("{FATAL_PART}:30");
    let place = match position {
        Position::First => 0,
        Position::Middle => 1,
        Position::Last => 2,
        Position::Changing => number % 3,
    };
    let mut parts = vec!["aaaa:60".to_owned(), session];
    parts.insert(place, fatal);
    parts.push(own);
    parts.join(",")
}

/// Returns the parts of the prompt of a sound request.
fn sound_parts(number: usize) -> String {
    format!("aaaa:60,5e55{}:40,eeee{number:x}:9", number % 8)
}

/// Counts of sound requests.
#[derive(Default)]
struct Sound {
    sent: AtomicUsize,
    served: AtomicUsize,
    quarantined: AtomicUsize,
}

impl Sound {
    async fn send(&self, address: SocketAddr, number: usize) {
        self.sent.fetch_add(1, Ordering::SeqCst);
        let headers = format!("x-parts: {}\r\nx-left: 2000\r\n", sound_parts(number));
        let path = format!("/safe/usual-{number}");
        let asking = get(address, &path, &headers);
        let answer = timeout(Duration::from_secs(4), asking).await;
        let answer = answer.unwrap_or_default();
        if status(&answer) == 200 {
            self.served.fetch_add(1, Ordering::SeqCst);
        }
        if answer.contains("quarantine") {
            self.quarantined.fetch_add(1, Ordering::SeqCst);
        }
    }
}

/// Guards against BUDGET: requests with a part that crashes endpoints, no two alike, were
/// sent on and on; and against LOST: sound ones share their other parts.
#[rstest]
#[case::closed_safe(End::Close, "/safe/", Position::Middle)]
#[case::closed_once(End::Close, "/once/", Position::First)]
#[case::closed_stream(End::Close, "/stream/", Position::Last)]
#[case::reset_stream(End::Reset, "/stream/", Position::Middle)]
#[case::part_stream(End::AfterPart, "/stream/", Position::Changing)]
#[case::event_stream(End::AfterEvent, "/stream/", Position::Middle)]
#[case::event_stream_once(End::AfterEvent, "/stream-once/", Position::Changing)]
#[case::silent_once(End::Silent, "/once/", Position::Middle)]
#[case::silent_stream(End::Silent, "/stream/", Position::Changing)]
#[tokio::test]
async fn requests_with_a_part_that_crashes_endpoints_are_refused(
    #[case] end: End,
    #[case] path: &'static str,
    #[case] position: Position,
) {
    let fleet = Fleet::start(ENDPOINTS, end, BACK).await;
    run(fleet, path, position).await;
}

/// Guards against the same where endpoints crash on a part only after a while, as after
/// an update: the answers of before must not speak for it.
#[rstest]
#[case::closed_safe(End::Close, "/safe/")]
#[case::reset_stream(End::Reset, "/stream/")]
#[tokio::test]
async fn a_part_that_was_answered_before_is_refused_as_well(
    #[case] end: End,
    #[case] path: &'static str,
) {
    let fleet = Fleet::start(ENDPOINTS, end, BACK).await;
    fleet.set_tolerant(true);
    let changing = fleet.clone();
    tokio::spawn(async move {
        sleep(TOLERANT_TIME).await;
        changing.set_tolerant(false);
    });
    run(fleet, path, Position::Middle).await;
}

/// Sends requests with and without the part until enough is known.
async fn run(fleet: Fleet, path: &'static str, position: Position) {
    let cluster = Cluster::start(NODES).await;
    let mut addresses = Vec::new();
    for gateway in &cluster.gateways {
        fleet.list_at(&gateway.chain);
        addresses.push(gateway.address);
    }
    let sound = Arc::new(Sound::default());
    let mut requests = JoinSet::new();
    let start = Instant::now();
    let mut next_fatal = start + Duration::from_secs(1);
    let mut number = 0;
    let mut counting = None;
    while start.elapsed() < LONGEST_RUN {
        number += 1;
        let address = addresses[number % NODES];
        let counted = counting.is_some().then(|| Arc::clone(&sound));
        requests.spawn(async move {
            let sound = counted.unwrap_or_default();
            sound.send(address, number).await;
        });
        if Instant::now() >= next_fatal {
            next_fatal += INTERVALS.0;
            let parts = fatal_parts(position, number);
            requests.spawn(async move {
                let headers = format!("x-parts: {parts}\r\nx-left: 2500\r\n");
                let path = format!("{path}usual-{number}");
                let asking = get(address, &path, &headers);
                // Only what reaches endpoints counts.
                let _answer = timeout(Duration::from_secs(4), asking).await;
            });
        }
        let ends = fleet.ends();
        let last_known = ends.get(KNOWN_ENDS - 1).or(ends.last());
        let known = last_known.is_some_and(|end| end.elapsed() >= CONTACT_TIME * 2);
        if known && counting.is_none() {
            counting = Some(Instant::now());
        }
        if counting.is_some_and(|since| since.elapsed() >= SOUND_TIME) {
            break;
        }
        while requests.try_join_next().is_some() {}
        sleep(INTERVALS.1).await;
    }
    while requests.join_next().await.is_some() {}

    let ends = fleet.ends();
    let mut late = 0;
    if let Some(fifth) = ends.get(KNOWN_ENDS - 1) {
        for arrival in fleet.arrivals() {
            late += usize::from(arrival > *fifth + CONTACT_TIME);
        }
    }
    let count = |counter: &AtomicUsize| counter.load(Ordering::SeqCst);
    let (sent, served) = (count(&sound.sent), count(&sound.served));
    let quarantined = count(&sound.quarantined);
    let ended = ends.len();
    println!("{ended} ended, {late} late; sound: {served} of {sent} served, {quarantined} refused");
    assert!(!ends.is_empty(), "no endpoint ended");
    assert!(late <= MOST_LATE, "{late} late, {ended} ended");
    assert!(
        served * 2 >= sent && sent > 0,
        "{served} of {sent} sound requests served"
    );
    assert_eq!(quarantined, 0, "sound requests refused of {sent}");
}
