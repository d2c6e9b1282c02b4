//! The highest configuration comes into force from any source and never goes
//! back.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use dottereltally::{
    configuration::{Arguments, Controller, Counters, Handle, Message},
    peer::{self, Answer, Peers},
};
use dottereltally_lib::{event, id};
use dottereltally_store::{
    layout,
    memory::{Call, Fault, Store},
};
use ractor::ActorRef;
use rstest::rstest;
use tokio::time::{self, Instant};

/// Time in which an accepted configuration has to be in force.
const PROMISE: Duration = Duration::from_secs(3);

const TEXT: &str = include_str!("data/text.yaml");

/// Peers that hand out one configuration.
#[derive(Clone, Default)]
struct Peer {
    record: Arc<Mutex<Option<layout::Configuration>>>,
    asked: Arc<Mutex<u64>>,
}

impl Peers for Peer {
    async fn answer(
        &self,
        node: &id::Node,
        _claim: &str,
        _token: &str,
    ) -> Result<Answer, peer::Error> {
        Err(peer::Error::NotLive(node.clone()))
    }

    async fn configuration(&self, above: id::Generation) -> Option<layout::Configuration> {
        *self.asked.lock().unwrap() += 1;
        let record = self.record.lock().unwrap().clone()?;
        (record.generation > above).then_some(record)
    }

    fn send(&self, _node: &id::Node, _message: event::Message) {}
}

struct Node {
    store: Store,
    peer: Peer,
    handle: Handle,
    counters: Counters,
    actor: ActorRef<Message>,
}

impl Node {
    async fn start(store: Store) -> Self {
        let peer = Peer::default();
        let handle = Handle::default();
        let counters = Counters::default();
        let (actor, _task) = Controller::start(Arguments {
            handle: handle.clone(),
            store: store.clone(),
            peers: peer.clone(),
            counters: counters.clone(),
        })
        .await
        .unwrap();
        Self {
            store,
            peer,
            handle,
            counters,
            actor,
        }
    }

    fn offer(&self, record: layout::Configuration) {
        self.actor.cast(Message::Offer(record)).unwrap();
    }

    /// Waits until a generation is in force and returns how long it took.
    async fn reach(&self, generation: u64) -> Duration {
        let start = Instant::now();
        let mut receiver = self.handle.receiver();
        let reached = receiver.wait_for(|current| {
            current
                .as_ref()
                .is_some_and(|current| current.record.generation.0 >= generation)
        });
        let _current = time::timeout(Duration::from_mins(5), reached)
            .await
            .expect("the generation comes into force")
            .unwrap();
        start.elapsed()
    }
}

fn record(generation: u64) -> layout::Configuration {
    layout::Configuration {
        generation: id::Generation(generation),
        text: TEXT.to_owned(),
        author: "ana".to_owned(),
        time: "2026-01-01T00:00:00Z".to_owned(),
        token: format!("token-{generation}"),
    }
}

fn invalid(generation: u64) -> layout::Configuration {
    layout::Configuration {
        text: "services: 5".to_owned(),
        token: format!("invalid-{generation}"),
        ..record(generation)
    }
}

/// Writes the configuration as the operators' tool does.
fn write(store: &Store, record: &layout::Configuration) {
    let value = serde_json::to_vec(record).unwrap();
    store.poke(layout::CONFIGURATION, value);
}

/// Waits for the periodic reads of a while.
async fn settle() {
    time::sleep(Duration::from_secs(10)).await;
}

#[tokio::test(start_paused = true)]
async fn a_configuration_that_was_there_before_the_node_comes_into_force() {
    let store = Store::default();
    write(&store, &record(5));
    let node = Node::start(store).await;
    assert!(node.reach(5).await < PROMISE);
    assert_eq!(node.handle.generation(), id::Generation(5));
}

#[tokio::test(start_paused = true)]
async fn the_watch_brings_a_change_at_once() {
    let store = Store::default();
    let node = Node::start(store.clone()).await;
    settle().await;
    let reads = node.store.count();
    write(&store, &record(1));
    assert_eq!(node.reach(1).await, Duration::ZERO);
    assert_eq!(node.store.count(), reads);
}

#[rstest]
#[case::every_answer(&[])]
#[case::one_answer_lost(&[Fault::CallLost])]
#[tokio::test(start_paused = true)]
async fn a_change_comes_into_force_in_time_though_the_watch_is_silent(#[case] faults: &[Fault]) {
    for seed in 0..50_u64 {
        let store = Store::default();
        let node = Node::start(store.clone()).await;
        settle().await;
        time::sleep(Duration::from_millis(seed * 37)).await;
        store.set_silent(true);
        store.set_timeout(Duration::from_mins(1));
        for fault in faults {
            store.inject(Call::Transact, *fault);
        }
        write(&store, &record(1));
        let took = node.reach(1).await;
        assert!(took <= PROMISE, "took {took:?}");
        node.actor.stop(None);
    }
}

#[tokio::test(start_paused = true)]
async fn a_watch_that_missed_a_change_is_replaced() {
    let store = Store::default();
    let node = Node::start(store.clone()).await;
    settle().await;
    store.set_silent(true);
    write(&store, &record(1));
    node.reach(1).await;
    settle().await;
    assert!(node.counters.silent_watches.get() > 0);
    store.set_silent(false);
    settle().await;
    write(&store, &record(2));
    assert_eq!(node.reach(2).await, Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn a_node_that_starts_during_an_outage_gets_it_from_its_peers() {
    let store = Store::default();
    store.set_down(true);
    let node = Node::start(store).await;
    *node.peer.record.lock().unwrap() = Some(record(7));
    assert!(node.reach(7).await <= PROMISE);
}

#[tokio::test(start_paused = true)]
async fn a_higher_generation_of_a_peer_is_fetched_during_an_outage() {
    let store = Store::default();
    write(&store, &record(1));
    let node = Node::start(store.clone()).await;
    node.reach(1).await;
    store.set_down(true);
    settle().await;
    *node.peer.record.lock().unwrap() = Some(record(2));
    node.handle.outdated(id::Generation(2));
    assert!(node.reach(2).await <= PROMISE);
    let asked = *node.peer.asked.lock().unwrap();
    node.handle.outdated(id::Generation(2));
    settle().await;
    assert_eq!(*node.peer.asked.lock().unwrap(), asked);
}

#[tokio::test(start_paused = true)]
async fn a_lower_generation_is_never_taken_whatever_the_source() {
    let store = Store::default();
    write(&store, &record(5));
    let node = Node::start(store.clone()).await;
    node.reach(5).await;
    // From the service, by the watch and by a read.
    write(&store, &record(4));
    settle().await;
    store.set_silent(true);
    write(&store, &record(3));
    settle().await;
    // From a peer.
    node.offer(record(2));
    *node.peer.record.lock().unwrap() = Some(record(2));
    node.handle.outdated(id::Generation(2));
    settle().await;
    assert_eq!(node.handle.generation(), id::Generation(5));
    assert_eq!(node.counters.taken.get(), 1);
    // The same generation with another text is not taken either.
    let other = layout::Configuration {
        author: "bo".to_owned(),
        token: "another".to_owned(),
        ..record(5)
    };
    node.offer(other);
    settle().await;
    assert_eq!(node.handle.newer(id::Generation(4)), Some(record(5)));
}

#[tokio::test(start_paused = true)]
async fn an_invalid_text_is_never_taken_and_the_next_valid_one_is() {
    let store = Store::default();
    write(&store, &record(1));
    let node = Node::start(store.clone()).await;
    node.reach(1).await;
    write(&store, &invalid(2));
    settle().await;
    node.offer(invalid(2));
    settle().await;
    assert_eq!(node.handle.generation(), id::Generation(1));
    assert_eq!(node.counters.invalid.get(), 2);
    write(&store, &record(3));
    assert!(node.reach(3).await <= PROMISE);
}

#[tokio::test(start_paused = true)]
async fn a_value_that_is_no_configuration_is_counted_and_passed_over() {
    let store = Store::default();
    write(&store, &record(1));
    let node = Node::start(store.clone()).await;
    node.reach(1).await;
    store.poke(layout::CONFIGURATION, b"{}".to_vec());
    settle().await;
    assert!(node.counters.unreadable.get() > 0);
    assert_eq!(node.handle.generation(), id::Generation(1));
}

#[tokio::test(start_paused = true)]
async fn an_outage_changes_nothing_and_its_end_brings_what_was_missed() {
    let store = Store::default();
    write(&store, &record(1));
    let node = Node::start(store.connect()).await;
    node.reach(1).await;
    node.store.set_down(true);
    write(&store, &record(2));
    settle().await;
    assert_eq!(node.handle.generation(), id::Generation(1));
    node.store.set_down(false);
    assert!(node.reach(2).await <= PROMISE);
}

#[tokio::test(start_paused = true)]
async fn a_node_at_rest_makes_one_read_a_second_and_keeps_one_watch() {
    let store = Store::default();
    write(&store, &record(1));
    let node = Node::start(store).await;
    settle().await;
    let before = node.store.count();
    let span = Duration::from_mins(10);
    time::sleep(span).await;
    let after = node.store.count();
    let calls = after.transactions + after.reads - before.transactions - before.reads;
    println!("{calls} reads in {span:?}");
    // The shortest period is four fifths of the mean of a second.
    assert!(calls <= 750, "{calls} reads in {span:?}");
    assert_eq!(after.watches, before.watches);
    assert_eq!(after.leases, before.leases);
}

#[tokio::test(start_paused = true)]
async fn a_record_is_handed_out_only_above_the_generation_asked_for() {
    let store = Store::default();
    write(&store, &record(5));
    let node = Node::start(store).await;
    node.reach(5).await;
    assert_eq!(node.handle.newer(id::Generation(4)), Some(record(5)));
    assert_eq!(node.handle.newer(id::Generation(5)), None);
}
