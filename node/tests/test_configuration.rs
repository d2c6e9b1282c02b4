//! The highest configuration generation comes into force from any source and is
//! never replaced by a lower one.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use dottereltally::{
    configuration::{Arguments, Controller, Counters, Handle, Message},
    peer::{self, Peers, Status},
};
use dottereltally_lib::{event, id};
use dottereltally_store::{
    layout,
    memory::{Call, Fault, Store},
};
use ractor::ActorRef;
use rstest::rstest;
use tokio::time::{self, Instant};

/// Longest time until an accepted configuration is in force.
const MAX_DELAY: Duration = Duration::from_secs(3);

const CONFIGURATION: &str = include_str!("data/text.yaml");

/// Peers that provide one configuration and count the requests for it.
#[derive(Clone, Default)]
struct FakePeers {
    record: Arc<Mutex<Option<layout::Configuration>>>,
    requests: Arc<Mutex<u64>>,
}

impl Peers for FakePeers {
    async fn attempt_status(
        &self,
        node: &id::Node,
        _claim: &str,
        _token: &str,
    ) -> Result<Status, peer::Error> {
        Err(peer::Error::NotLive(node.clone()))
    }

    async fn configuration(&self, above: id::Generation) -> Option<layout::Configuration> {
        *self.requests.lock().unwrap() += 1;
        let record = self.record.lock().unwrap().clone()?;
        (record.generation > above).then_some(record)
    }

    fn send(&self, _node: &id::Node, _message: event::Message) {}
}

/// A configuration controller with its sources.
struct Node {
    store: Store,
    peers: FakePeers,
    handle: Handle,
    counters: Counters,
    actor: ActorRef<Message>,
}

impl Node {
    async fn start(store: Store) -> Self {
        let peers = FakePeers::default();
        let handle = Handle::default();
        let counters = Counters::default();
        let (actor, _task) = Controller::start(Arguments {
            handle: handle.clone(),
            store: store.clone(),
            peers: peers.clone(),
            counters: counters.clone(),
        })
        .await
        .unwrap();
        Self {
            store,
            peers,
            handle,
            counters,
            actor,
        }
    }

    fn offer(&self, record: layout::Configuration) {
        self.actor.cast(Message::Offer(record)).unwrap();
    }

    /// Waits until a generation is in force and returns how long that took.
    async fn wait_in_force(&self, generation: u64) -> Duration {
        let start = Instant::now();
        let mut receiver = self.handle.receiver();
        let reached = receiver.wait_for(|current| {
            current
                .as_ref()
                .is_some_and(|current| current.record.generation.0 >= generation)
        });
        let _current = time::timeout(Duration::from_mins(5), reached)
            .await
            .expect("the generation is in force in time")
            .unwrap();
        start.elapsed()
    }
}

fn record(generation: u64) -> layout::Configuration {
    layout::Configuration {
        generation: id::Generation(generation),
        text: CONFIGURATION.to_owned(),
        author: "ana".to_owned(),
        time: "2026-01-01T00:00:00Z".to_owned(),
        token: format!("token-{generation}"),
    }
}

/// Returns a record whose text is not a valid configuration.
fn invalid(generation: u64) -> layout::Configuration {
    layout::Configuration {
        text: "services: 5".to_owned(),
        token: format!("invalid-{generation}"),
        ..record(generation)
    }
}

/// Writes the configuration in the format of the operators' tool.
fn write(store: &Store, record: &layout::Configuration) {
    let value = serde_json::to_vec(record).unwrap();
    store.put_directly(layout::CONFIGURATION_KEY, value);
}

/// Waits so long that the node makes several periodic reads.
async fn wait_for_reads() {
    time::sleep(Duration::from_secs(10)).await;
}

#[tokio::test(start_paused = true)]
async fn a_configuration_written_before_the_start_comes_into_force() {
    let store = Store::default();
    write(&store, &record(5));
    let node = Node::start(store).await;
    assert!(node.wait_in_force(5).await < MAX_DELAY);
    assert_eq!(node.handle.generation(), id::Generation(5));
}

#[tokio::test(start_paused = true)]
async fn the_watch_delivers_a_change_at_once() {
    let store = Store::default();
    let node = Node::start(store.clone()).await;
    wait_for_reads().await;
    let reads = node.store.count();
    write(&store, &record(1));
    assert_eq!(node.wait_in_force(1).await, Duration::ZERO);
    assert_eq!(node.store.count(), reads);
}

#[rstest]
#[case::no_fault(&[])]
#[case::one_read_lost(&[Fault::CallLost])]
#[tokio::test(start_paused = true)]
async fn a_change_comes_into_force_in_time_while_the_watch_is_silent(#[case] faults: &[Fault]) {
    for seed in 0..50_u64 {
        let store = Store::default();
        let node = Node::start(store.clone()).await;
        wait_for_reads().await;
        time::sleep(Duration::from_millis(seed * 37)).await;
        store.set_silent(true);
        store.set_timeout(Duration::from_mins(1));
        for fault in faults {
            // The periodic reads are transactions.
            store.inject(Call::Transact, *fault);
        }
        write(&store, &record(1));
        let delay = node.wait_in_force(1).await;
        assert!(delay <= MAX_DELAY, "took {delay:?}");
        node.actor.stop(None);
    }
}

#[tokio::test(start_paused = true)]
async fn a_watch_that_missed_a_change_is_replaced() {
    let store = Store::default();
    let node = Node::start(store.clone()).await;
    wait_for_reads().await;
    store.set_silent(true);
    write(&store, &record(1));
    node.wait_in_force(1).await;
    wait_for_reads().await;
    assert!(node.counters.silent_watches.get() > 0);
    store.set_silent(false);
    wait_for_reads().await;
    write(&store, &record(2));
    assert_eq!(node.wait_in_force(2).await, Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn a_node_that_starts_during_an_outage_fetches_from_its_peers() {
    let store = Store::default();
    store.set_down(true);
    let node = Node::start(store).await;
    *node.peers.record.lock().unwrap() = Some(record(7));
    assert!(node.wait_in_force(7).await <= MAX_DELAY);
}

#[tokio::test(start_paused = true)]
async fn a_higher_generation_of_a_peer_is_fetched_during_an_outage() {
    let store = Store::default();
    write(&store, &record(1));
    let node = Node::start(store.clone()).await;
    node.wait_in_force(1).await;
    store.set_down(true);
    wait_for_reads().await;
    *node.peers.record.lock().unwrap() = Some(record(2));
    node.handle.note_generation(id::Generation(2));
    assert!(node.wait_in_force(2).await <= MAX_DELAY);
    let requests = *node.peers.requests.lock().unwrap();
    node.handle.note_generation(id::Generation(2));
    wait_for_reads().await;
    assert_eq!(*node.peers.requests.lock().unwrap(), requests);
}

#[tokio::test(start_paused = true)]
async fn a_lower_generation_is_never_accepted_from_any_source() {
    let store = Store::default();
    write(&store, &record(5));
    let node = Node::start(store.clone()).await;
    node.wait_in_force(5).await;
    // From the key-value service, through the watch and through a read.
    write(&store, &record(4));
    wait_for_reads().await;
    store.set_silent(true);
    write(&store, &record(3));
    wait_for_reads().await;
    // From a peer.
    node.offer(record(2));
    *node.peers.record.lock().unwrap() = Some(record(2));
    node.handle.note_generation(id::Generation(2));
    wait_for_reads().await;
    assert_eq!(node.handle.generation(), id::Generation(5));
    assert_eq!(node.counters.taken.get(), 1);
    // A different record of the same generation is not accepted either.
    let conflicting = layout::Configuration {
        author: "bo".to_owned(),
        token: "another".to_owned(),
        ..record(5)
    };
    node.offer(conflicting);
    wait_for_reads().await;
    assert_eq!(node.handle.record_above(id::Generation(4)), Some(record(5)));
}

#[tokio::test(start_paused = true)]
async fn an_invalid_text_is_never_accepted_and_the_next_valid_one_is() {
    let store = Store::default();
    write(&store, &record(1));
    let node = Node::start(store.clone()).await;
    node.wait_in_force(1).await;
    write(&store, &invalid(2));
    wait_for_reads().await;
    node.offer(invalid(2));
    wait_for_reads().await;
    assert_eq!(node.handle.generation(), id::Generation(1));
    assert_eq!(node.counters.invalid.get(), 2);
    write(&store, &record(3));
    assert!(node.wait_in_force(3).await <= MAX_DELAY);
}

#[tokio::test(start_paused = true)]
async fn a_value_that_is_not_a_configuration_is_counted_and_ignored() {
    let store = Store::default();
    write(&store, &record(1));
    let node = Node::start(store.clone()).await;
    node.wait_in_force(1).await;
    store.put_directly(layout::CONFIGURATION_KEY, b"{}".to_vec());
    wait_for_reads().await;
    assert!(node.counters.unreadable.get() > 0);
    assert_eq!(node.handle.generation(), id::Generation(1));
}

#[tokio::test(start_paused = true)]
async fn an_outage_changes_nothing_and_missed_changes_arrive_after_it() {
    let store = Store::default();
    write(&store, &record(1));
    let node = Node::start(store.connect()).await;
    node.wait_in_force(1).await;
    node.store.set_down(true);
    write(&store, &record(2));
    wait_for_reads().await;
    assert_eq!(node.handle.generation(), id::Generation(1));
    node.store.set_down(false);
    assert!(node.wait_in_force(2).await <= MAX_DELAY);
}

#[tokio::test(start_paused = true)]
async fn an_idle_node_makes_one_read_a_second_and_keeps_one_watch() {
    let store = Store::default();
    write(&store, &record(1));
    let node = Node::start(store).await;
    wait_for_reads().await;
    let before = node.store.count();
    let duration = Duration::from_mins(10);
    time::sleep(duration).await;
    let after = node.store.count();
    let reads = after.transactions + after.reads - before.transactions - before.reads;
    println!("{reads} reads in {duration:?}");
    // The read period is jittered around a mean of one second; the shortest is
    // 0.8 seconds.
    assert!(reads <= 750, "{reads} reads in {duration:?}");
    assert_eq!(after.watches, before.watches);
    assert_eq!(after.leases, before.leases);
}

#[tokio::test(start_paused = true)]
async fn a_record_is_returned_only_if_above_the_requested_generation() {
    let store = Store::default();
    write(&store, &record(5));
    let node = Node::start(store).await;
    node.wait_in_force(5).await;
    assert_eq!(node.handle.record_above(id::Generation(4)), Some(record(5)));
    assert_eq!(node.handle.record_above(id::Generation(5)), None);
}
