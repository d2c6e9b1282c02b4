//! Tests of calls between nodes over real connections, including silent
//! connections and malformed bytes.

mod common;

use std::{net::TcpListener, sync::Arc, time::Duration};

use common::{Messages, Service};
use dottereltally::peer::{self, Error, Handle, Metrics, Peers, Response, Status};
use dottereltally_lib::{event, id, size};
use rand::{Rng, RngCore, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional},
    net::{TcpListener as Listener, TcpStream},
    sync::watch,
};

/// Seed of the random bytes.
const SEED: u64 = 1;

/// The peer connections of one node, without a membership.
struct Node {
    handle: Handle,
    service: Arc<Service>,
    messages: Messages,
    metrics: Metrics,
    address: String,
}

/// Starts a node.
fn start(name: &str) -> Node {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (service, messages) = Service::new();
    let metrics = Metrics::default();
    let (handle, _) = peer::start(name.into(), listener, service.clone(), metrics.clone()).unwrap();
    Node {
        handle,
        service,
        messages,
        metrics,
        address,
    }
}

/// Makes a node at this address the only peer of `node`.
fn set_peer(node: &Node, other: &str, address: &str) {
    node.handle
        .set_addresses(vec![(other.into(), address.to_owned())]);
}

/// Returns a demand that is identified by its number of requests.
fn demand(requests: u32) -> event::Message {
    event::Message::Demand(vec![event::Demand {
        service: "drafter".into(),
        tier: id::Tier(1),
        tokens: size::Tokens(10),
        requests,
    }])
}

/// Returns the number of requests of a message that `demand` built.
fn request_count(message: &event::Message) -> u32 {
    match message {
        event::Message::Demand(demands) => demands[0].requests,
        _ => panic!("not a demand"),
    }
}

#[rstest]
#[case(Status::Unknown)]
#[case(Status::Running)]
#[case(Status::NotRun)]
#[case(Status::Lost)]
#[case(Status::Done(Response {
    status: 200,
    content_type: "application/json".to_owned(),
    body: vec![0, 1, 255],
}))]
#[tokio::test]
async fn the_status_of_an_attempt_arrives_unchanged(#[case] status: Status) {
    let (a, b) = (start("a"), start("b"));
    set_peer(&a, "b", &b.address);
    let key = ("claim".to_owned(), "token".to_owned());
    b.service
        .statuses
        .lock()
        .unwrap()
        .insert(key, status.clone());
    let got = a.handle.attempt_status(&"b".into(), "claim", "token").await;
    assert_eq!(got, Ok(status));
}

#[rstest]
#[tokio::test]
async fn a_call_to_an_unknown_node_fails_as_not_live() {
    let a = start("a");
    let got = a.handle.attempt_status(&"b".into(), "claim", "token").await;
    assert_eq!(got, Err(Error::NotLive("b".into())));
}

#[rstest]
#[tokio::test]
async fn a_configuration_comes_only_from_a_peer_with_a_higher_generation() {
    let (a, b) = (start("a"), start("b"));
    set_peer(&a, "b", &b.address);
    b.service.set_generation(3);
    let got = a.handle.configuration(id::Generation(2)).await;
    assert_eq!(got, Some(common::record(3)));
    assert_eq!(a.handle.configuration(id::Generation(3)).await, None);
}

#[rstest]
#[tokio::test]
async fn admission_messages_arrive_complete_and_in_order() {
    let (a, mut b) = (start("a"), start("b"));
    set_peer(&a, "b", &b.address);
    let grant = event::Grant {
        endpoint: "tally-1".into(),
        tier: id::Tier(2),
        tokens: size::Tokens(7),
        valid: Duration::from_millis(1500),
    };
    let sent = [
        demand(1),
        event::Message::Granted(vec![grant.clone()]),
        event::Message::Returned(vec![grant]),
    ];
    for message in &sent {
        a.handle.send(&"b".into(), message.clone());
    }
    for message in sent {
        assert_eq!(b.messages.recv().await, Some(("a".into(), message)));
    }
}

#[rstest]
#[tokio::test]
async fn one_connection_serves_many_calls() {
    let (a, b) = (start("a"), start("b"));
    set_peer(&a, "b", &b.address);
    for _ in 0..20 {
        a.handle
            .attempt_status(&"b".into(), "claim", "token")
            .await
            .unwrap();
    }
    assert_eq!(a.metrics.opened.get(), 1);
}

/// Forwards connections to `target`; a change of `silence` stops the forwarding
/// on the connections that are open.
async fn proxy(listener: Listener, target: String, silence: watch::Receiver<bool>) {
    loop {
        let (mut inbound, _) = listener.accept().await.unwrap();
        let mut outbound = TcpStream::connect(&target).await.unwrap();
        let mut silence = silence.clone();
        silence.mark_unchanged();
        tokio::spawn(async move {
            tokio::select! {
                biased;
                _ = silence.changed() => {
                    // Both ends stay open, but nothing is forwarded any more.
                    std::future::pending::<()>().await;
                }
                _ = copy_bidirectional(&mut inbound, &mut outbound) => {}
            }
        });
    }
}

#[rstest]
#[tokio::test]
async fn a_silent_connection_is_replaced_before_the_call_fails() {
    let (a, b) = (start("a"), start("b"));
    let listener = Listener::bind("127.0.0.1:0").await.unwrap();
    set_peer(&a, "b", &listener.local_addr().unwrap().to_string());
    let (silence, silenced) = watch::channel(false);
    let proxy = tokio::spawn(proxy(listener, b.address.clone(), silenced));
    a.handle
        .attempt_status(&"b".into(), "claim", "token")
        .await
        .unwrap();
    silence.send(true).unwrap();
    a.handle
        .attempt_status(&"b".into(), "claim", "token")
        .await
        .unwrap();
    assert_eq!(a.metrics.opened.get(), 2);
    assert_eq!(a.metrics.replaced.get(), 1);
    proxy.abort();
}

#[rstest]
#[tokio::test]
async fn a_message_on_a_silent_connection_is_lost_and_not_sent_twice() {
    let (a, mut b) = (start("a"), start("b"));
    let listener = Listener::bind("127.0.0.1:0").await.unwrap();
    set_peer(&a, "b", &listener.local_addr().unwrap().to_string());
    let (silence, silenced) = watch::channel(false);
    let proxy = tokio::spawn(proxy(listener, b.address.clone(), silenced));
    a.handle.send(&"b".into(), demand(1));
    assert_eq!(request_count(&b.messages.recv().await.unwrap().1), 1);
    // The reply to the message comes before the reply to this call.
    a.handle
        .attempt_status(&"b".into(), "claim", "token")
        .await
        .unwrap();
    silence.send(true).unwrap();
    a.handle.send(&"b".into(), demand(2));
    a.handle.send(&"b".into(), demand(3));
    assert_eq!(request_count(&b.messages.recv().await.unwrap().1), 3);
    assert_eq!(a.metrics.lost.get(), 1);
    proxy.abort();
}

#[rstest]
#[tokio::test]
async fn the_oldest_messages_to_a_slow_peer_are_dropped() {
    let (a, mut b) = (start("a"), start("b"));
    let listener = Listener::bind("127.0.0.1:0").await.unwrap();
    set_peer(&a, "b", &listener.local_addr().unwrap().to_string());
    a.handle.send(&"b".into(), demand(0));
    // The first message is in flight on a connection that nobody reads yet.
    let (mut inbound, _) = listener.accept().await.unwrap();
    for requests in 1..=1000 {
        a.handle.send(&"b".into(), demand(requests));
    }
    assert!(a.metrics.dropped.get() > 0);
    let target = b.address.clone();
    let relay = tokio::spawn(async move {
        let mut outbound = TcpStream::connect(&target).await.unwrap();
        // Either end may close first.
        let _ = copy_bidirectional(&mut inbound, &mut outbound).await;
    });
    let mut last = 0;
    while last != 1000 {
        let next = request_count(&b.messages.recv().await.unwrap().1);
        assert!(next >= last, "{next} after {last}");
        last = next;
    }
    relay.abort();
}

/// Returns bytes that are not a valid message: random bytes, headers that
/// announce huge sizes, and valid headers followed by random bytes, often fewer
/// than announced.
fn garbage(random: &mut SmallRng) -> Vec<u8> {
    let mut bytes = match random.random_range(0..4) {
        // Header with the largest number of segments.
        0 => u32::MAX.to_le_bytes().to_vec(),
        // Header with one segment of the largest size.
        1 => [0_u32.to_le_bytes(), u32::MAX.to_le_bytes()].concat(),
        // Header with one segment of 16 words.
        2 => [0_u32.to_le_bytes(), 16_u32.to_le_bytes()].concat(),
        _ => Vec::new(),
    };
    let mut tail = vec![0; random.random_range(0..256)];
    random.fill_bytes(&mut tail);
    bytes.extend(tail);
    bytes
}

#[rstest]
#[tokio::test]
async fn malformed_bytes_from_a_peer_do_not_stop_the_node() {
    let (a, b) = (start("a"), start("b"));
    set_peer(&a, "b", &b.address);
    let mut random = SmallRng::seed_from_u64(SEED);
    for round in 0..300 {
        let mut stream = TcpStream::connect(&b.address).await.unwrap();
        // The node may close while the bytes are written.
        let _ = stream.write_all(&garbage(&mut random)).await;
        let _ = stream.shutdown().await;
        let mut rest = Vec::new();
        // The node may reset the connection instead of closing it.
        let _ = stream.read_to_end(&mut rest).await;
        if round % 50 == 0 {
            let status = a.handle.attempt_status(&"b".into(), "claim", "token").await;
            assert_eq!(status, Ok(Status::Unknown), "seed {SEED}, round {round}");
        }
    }
    let status = a.handle.attempt_status(&"b".into(), "claim", "token").await;
    assert_eq!(status, Ok(Status::Unknown), "seed {SEED}");
    assert!(b.metrics.malformed.get() > 0, "seed {SEED}");
}

#[rstest]
#[tokio::test]
async fn a_malformed_reply_fails_only_its_call() {
    let (a, b) = (start("a"), start("b"));
    let listener = Listener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    a.handle.set_addresses(vec![
        ("bad".into(), address),
        ("b".into(), b.address.clone()),
    ]);
    let bad_peer = tokio::spawn(async move {
        let mut random = SmallRng::seed_from_u64(SEED);
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            // The node may close while the bytes are written.
            let _ = stream.write_all(&garbage(&mut random)).await;
        }
    });
    for _ in 0..20 {
        let status = a
            .handle
            .attempt_status(&"bad".into(), "claim", "token")
            .await;
        assert!(
            matches!(status, Err(Error::Unreachable { .. })),
            "seed {SEED}"
        );
    }
    let status = a.handle.attempt_status(&"b".into(), "claim", "token").await;
    assert_eq!(status, Ok(Status::Unknown), "seed {SEED}");
    bad_peer.abort();
}
