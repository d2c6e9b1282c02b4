//! Claims under lost responses, outages, pauses, restarts and races.

#[path = "../examples/claim_runs/simulation/network.rs"]
mod network;

use std::time::Duration;

use dottereltally::{
    claim::{Error, Held, Keeper, Limits, Rejection, Scope},
    peer::{self, Peers, Response, Status},
    replay::{self, Attempts},
};
use dottereltally_lib::{event, id};
use dottereltally_store::{
    kv::{Entry, Lease, Store as _},
    layout,
    memory::{Call, Fault, Store},
};
use network::Network;
use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;
use tokio::time::{self, Instant};

const FINGERPRINT: id::Fingerprint = id::Fingerprint(7);
const OTHER_FINGERPRINT: id::Fingerprint = id::Fingerprint(8);
/// Deadline of an attempt to acquire a claim, from its start.
const ACQUIRE_TIMEOUT: Duration = Duration::from_secs(30);

/// A node with its own client of the shared key-value service.
struct Node {
    name: id::Node,
    store: Store,
    attempts: Attempts,
    keeper: Keeper<Store, Network>,
}

/// The key-value service and the network that the nodes of a test share.
struct Cluster {
    service: Store,
    network: Network,
}

impl Cluster {
    fn new() -> Self {
        Self {
            service: Store::default(),
            network: Network::new(SmallRng::seed_from_u64(1), 0.0),
        }
    }

    fn node(&self, name: &str) -> Node {
        self.node_with(name, Attempts::default())
    }

    fn node_with(&self, name: &str, attempts: Attempts) -> Node {
        let name = id::Node::from(name);
        let store = self.service.connect();
        self.network.route(&name, Some(attempts.clone()));
        let keeper = Keeper::start(
            name.clone(),
            store.clone(),
            self.network.clone(),
            attempts.clone(),
            Limits::default(),
        );
        Node {
            name,
            store,
            attempts,
            keeper,
        }
    }

    /// Returns the only claim that the key-value service holds.
    async fn claim(&self) -> Option<Entry> {
        let mut entries = self.service.list(layout::CLAIMS_PREFIX, 10).await.unwrap();
        assert!(entries.len() <= 1, "{entries:?}");
        entries.pop()
    }

    /// Returns the attempt token of the only claim.
    async fn token(&self) -> Option<String> {
        let entry = self.claim().await?;
        let record: layout::Claim = serde_json::from_slice(&entry.value).unwrap();
        Some(record.token)
    }
}

impl Node {
    async fn acquire(&self) -> Result<Held, Rejection> {
        self.acquire_as(FINGERPRINT).await
    }

    async fn acquire_as(&self, fingerprint: id::Fingerprint) -> Result<Held, Rejection> {
        let deadline = Instant::now() + ACQUIRE_TIMEOUT;
        self.keeper
            .acquire(scope("pay-1"), fingerprint, deadline)
            .await
    }

    fn transactions(&self) -> u64 {
        self.store.count().transactions
    }
}

fn scope(key: &str) -> Scope {
    Scope {
        workspace: id::Workspace::from("yard"),
        service: id::Service::from("ledger"),
        key: key.to_owned(),
    }
}

fn response(body: &str) -> Response {
    Response {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: body.as_bytes().to_vec(),
    }
}

/// Loses every transaction before it reaches the service.
fn lose_transactions(call: Call) -> Option<Fault> {
    (call == Call::Transact).then_some(Fault::CallLost)
}

/// Returns why an attempt did not acquire its claim.
fn expect_rejection(result: Result<Held, Rejection>) -> Rejection {
    match result {
        Ok(_) => panic!("two attempts acquired the claim"),
        Err(rejection) => rejection,
    }
}

#[tokio::test(start_paused = true)]
async fn a_claim_and_its_release_take_one_transaction_each() {
    let cluster = Cluster::new();
    let node = cluster.node("a");
    let held = node.acquire().await.unwrap();
    assert_eq!(node.transactions(), 1);
    assert_eq!(cluster.token().await.as_deref(), Some(held.token()));
    held.release().await.unwrap();
    assert_eq!(node.transactions(), 2);
    assert_eq!(cluster.claim().await, None);
}

#[tokio::test(start_paused = true)]
async fn a_lost_attempt_takes_one_transaction_and_a_takeover_two() {
    let cluster = Cluster::new();
    let (a, b, c) = (cluster.node("a"), cluster.node("b"), cluster.node("c"));
    let held = a.acquire().await.unwrap();
    let _running = expect_rejection(b.acquire().await);
    assert_eq!(b.transactions(), 1);
    a.store.set_down(true);
    assert_eq!(held.release().await, Err(Error::Unconfirmed));
    let _held = c.acquire().await.unwrap();
    assert_eq!(c.transactions(), 2);
}

#[rstest]
#[case::call_lost(&[Fault::CallLost])]
#[case::answer_lost(&[Fault::AnswerLost])]
#[case::two_answers_lost(&[Fault::AnswerLost, Fault::AnswerLost])]
#[case::call_then_answer_lost(&[Fault::CallLost, Fault::AnswerLost])]
#[case::late(&[Fault::Delayed(Duration::from_millis(700))])]
#[case::unreachable_after_loss(&[Fault::AnswerLost, Fault::Unreachable])]
#[tokio::test(start_paused = true)]
async fn a_transaction_without_response_is_repeated_with_the_same_token(#[case] faults: &[Fault]) {
    let cluster = Cluster::new();
    let node = cluster.node("a");
    for fault in faults {
        node.store.inject(Call::Transact, *fault);
    }
    let held = node.acquire().await.unwrap();
    assert_eq!(node.transactions(), faults.len() as u64 + 1);
    assert_eq!(cluster.token().await.as_deref(), Some(held.token()));
}

#[tokio::test(start_paused = true)]
async fn of_two_concurrent_nodes_one_wins_and_the_other_gets_its_response() {
    let cluster = Cluster::new();
    let (a, b) = (cluster.node("a"), cluster.node("b"));
    let run = |node: Node| async move {
        match node.acquire().await {
            Ok(held) => {
                let dispatched = held.dispatch().unwrap();
                time::sleep(Duration::from_secs(1)).await;
                dispatched.complete(response(&node.name.to_string()));
                Ok(node.name.to_string())
            }
            Err(rejection) => Err(rejection),
        }
    };
    let results = tokio::join!(run(a), run(b));
    let (winner, loser) = match results {
        (Ok(winner), Err(loser)) | (Err(loser), Ok(winner)) => (winner, loser),
        other => panic!("{other:?}"),
    };
    assert_eq!(loser, Rejection::Replay(response(&winner)));
}

#[tokio::test(start_paused = true)]
async fn a_call_in_progress_is_reported_as_running() {
    let cluster = Cluster::new();
    let (a, b) = (cluster.node("a"), cluster.node("b"));
    let _running = a.acquire().await.unwrap().dispatch().unwrap();
    let rejection = expect_rejection(b.acquire().await);
    assert!(
        matches!(rejection, Rejection::Running { .. }),
        "{rejection:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn a_response_is_replayed_by_the_same_node_and_by_others() {
    let cluster = Cluster::new();
    let (a, b) = (cluster.node("a"), cluster.node("b"));
    let dispatched = a.acquire().await.unwrap().dispatch().unwrap();
    dispatched.complete(response("paid"));
    assert_eq!(
        expect_rejection(a.acquire().await),
        Rejection::Replay(response("paid"))
    );
    assert_eq!(
        expect_rejection(b.acquire().await),
        Rejection::Replay(response("paid"))
    );
}

#[tokio::test(start_paused = true)]
async fn a_key_used_for_another_request_is_a_mismatch() {
    let cluster = Cluster::new();
    let (a, b) = (cluster.node("a"), cluster.node("b"));
    let held = a.acquire().await.unwrap();
    assert_eq!(
        expect_rejection(b.acquire_as(OTHER_FINGERPRINT).await),
        Rejection::Mismatch
    );
    held.dispatch().unwrap().complete(response("paid"));
    assert_eq!(
        expect_rejection(b.acquire_as(OTHER_FINGERPRINT).await),
        Rejection::Mismatch
    );
}

#[rstest]
#[case::answer_lost(&[Fault::AnswerLost])]
#[case::call_lost(&[Fault::CallLost])]
#[case::both(&[Fault::AnswerLost, Fault::CallLost])]
#[tokio::test(start_paused = true)]
async fn a_release_without_response_is_repeated(#[case] faults: &[Fault]) {
    let cluster = Cluster::new();
    let node = cluster.node("a");
    let held = node.acquire().await.unwrap();
    for fault in faults {
        node.store.inject(Call::Transact, *fault);
    }
    held.release().await.unwrap();
    assert_eq!(cluster.claim().await, None);
}

#[tokio::test(start_paused = true)]
async fn a_release_does_not_delete_the_claim_of_another_attempt() {
    let cluster = Cluster::new();
    let (a, b) = (cluster.node("a"), cluster.node("b"));
    let held = a.acquire().await.unwrap();
    // The response to the first deletion is lost; its repetition finds b's claim.
    a.store.inject(Call::Transact, Fault::AnswerLost);
    let release = tokio::spawn(held.release());
    time::sleep(Duration::from_millis(100)).await;
    let other = b.acquire().await.unwrap();
    assert_eq!(release.await.unwrap(), Err(Error::Claimed));
    assert_eq!(cluster.token().await.as_deref(), Some(other.token()));
}

#[tokio::test(start_paused = true)]
async fn a_release_during_an_outage_is_unconfirmed_and_repeated_later() {
    let cluster = Cluster::new();
    let node = cluster.node("a");
    let held = node.acquire().await.unwrap();
    node.store.set_down(true);
    assert_eq!(held.release().await, Err(Error::Unconfirmed));
    assert!(cluster.claim().await.is_some());
    node.store.set_down(false);
    time::sleep(Duration::from_secs(5)).await;
    assert_eq!(cluster.claim().await, None);
}

#[tokio::test(start_paused = true)]
async fn during_an_outage_claims_are_refused_at_once_without_a_transaction() {
    let cluster = Cluster::new();
    let node = cluster.node("a");
    drop(node.acquire().await.unwrap());
    time::sleep(Duration::from_secs(1)).await;
    node.store.set_fault_script(|_| Some(Fault::CallLost));
    let first = expect_rejection(node.acquire().await);
    assert!(matches!(first, Rejection::Unavailable { .. }), "{first:?}");
    time::sleep(Duration::from_secs(10)).await;
    let (before, start) = (node.transactions(), Instant::now());
    for _ in 0..100 {
        let rejection = expect_rejection(node.acquire().await);
        assert!(
            matches!(rejection, Rejection::Unavailable { .. }),
            "{rejection:?}"
        );
    }
    assert_eq!(start.elapsed(), Duration::ZERO);
    assert_eq!(node.transactions(), before);
    assert!(!node.keeper.is_available());
}

#[tokio::test(start_paused = true)]
async fn one_read_at_a_time_probes_an_unavailable_service() {
    let cluster = Cluster::new();
    let node = cluster.node("a");
    drop(node.acquire().await.unwrap());
    node.store.set_down(true);
    let _unavailable = expect_rejection(node.acquire().await);
    let before = node.store.count();
    time::sleep(Duration::from_secs(10)).await;
    let after = node.store.count();
    assert!(after.reads - before.reads <= 20, "{before:?} {after:?}");
    node.store.set_down(false);
    time::sleep(Duration::from_secs(1)).await;
    assert!(node.keeper.is_available());
    let _held = node.acquire().await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn a_service_that_loses_writes_delays_one_claim_at_a_time() {
    let cluster = Cluster::new();
    let node = cluster.node("a");
    node.acquire().await.unwrap().release().await.unwrap();
    node.store.set_fault_script(lose_transactions);
    let _unavailable = expect_rejection(node.acquire().await);
    let mut delayed_rounds = 0;
    for _ in 0..200 {
        time::sleep(Duration::from_millis(50)).await;
        let start = Instant::now();
        let acquires = (0..10).map(|_| node.acquire());
        for result in futures_util::future::join_all(acquires).await {
            let rejection = expect_rejection(result);
            assert!(
                matches!(rejection, Rejection::Unavailable { .. }),
                "{rejection:?}"
            );
        }
        delayed_rounds += u64::from(start.elapsed() > Duration::ZERO);
    }
    let sent = node.keeper.counters().transactions.get();
    println!("{delayed_rounds} of 200 rounds waited, {sent} transactions");
    // Only a claim that the breaker admits sends its transaction, and repeats it
    // for two seconds, four times at most. The first two claims came before the
    // breaker opened.
    assert!(sent <= 1 + 4 * (delayed_rounds + 1), "{sent}");
    assert!(delayed_rounds > 0);
    node.store.set_fault_script(|_| None);
    time::sleep(Duration::from_secs(1)).await;
    let _held = node.acquire().await.unwrap();
    let _again = expect_rejection(node.acquire().await);
    assert!(node.keeper.is_available());
}

#[tokio::test(start_paused = true)]
async fn draining_waits_until_dropped_claims_are_released() {
    let cluster = Cluster::new();
    let node = cluster.node("a");
    let slow = Fault::Slow(Duration::from_secs(1));
    let held = node.acquire().await.unwrap();
    node.store.inject(Call::Transact, slow);
    drop(held);
    let soon = Instant::now() + Duration::from_millis(100);
    assert!(!node.keeper.drain(soon).await);
    assert!(node.keeper.drain(soon + ACQUIRE_TIMEOUT).await);
    assert_eq!(cluster.claim().await, None);
    assert!(node.keeper.drain(Instant::now()).await);
}

/// Peers that never respond.
#[derive(Clone)]
struct UnresponsivePeers;

impl Peers for UnresponsivePeers {
    async fn attempt_status(&self, _: &id::Node, _: &str, _: &str) -> Result<Status, peer::Error> {
        std::future::pending().await
    }

    async fn configuration(&self, _above: id::Generation) -> Option<layout::Configuration> {
        None
    }

    fn send(&self, _node: &id::Node, _message: event::Message) {}
}

#[tokio::test(start_paused = true)]
async fn an_unresponsive_holder_does_not_block_the_losing_attempt() {
    let cluster = Cluster::new();
    let a = cluster.node("a");
    let _held = a.acquire().await.unwrap();
    let b = Keeper::start(
        id::Node::from("b"),
        cluster.service.connect(),
        UnresponsivePeers,
        Attempts::default(),
        Limits::default(),
    );
    let deadline = Instant::now() + ACQUIRE_TIMEOUT;
    let acquire = b.acquire(scope("pay-1"), FINGERPRINT, deadline);
    let rejection = expect_rejection(time::timeout(ACQUIRE_TIMEOUT, acquire).await.unwrap());
    assert!(
        matches!(rejection, Rejection::Unknown { .. }),
        "{rejection:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn a_node_that_starts_during_an_outage_can_claim_after_it() {
    let cluster = Cluster::new();
    let node = cluster.node("a");
    node.store.set_down(true);
    let rejection = expect_rejection(node.acquire().await);
    assert!(
        matches!(rejection, Rejection::Unavailable { .. }),
        "{rejection:?}"
    );
    node.store.set_down(false);
    time::sleep(Duration::from_secs(2)).await;
    let _held = node.acquire().await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn an_outage_after_the_claim_does_not_stop_the_call() {
    let cluster = Cluster::new();
    let (a, b) = (cluster.node("a"), cluster.node("b"));
    let held = a.acquire().await.unwrap();
    a.store.set_down(true);
    held.dispatch().unwrap().complete(response("paid"));
    assert_eq!(
        expect_rejection(b.acquire().await),
        Rejection::Replay(response("paid"))
    );
}

#[tokio::test(start_paused = true)]
async fn a_claim_that_an_outage_left_behind_is_taken_over() {
    let cluster = Cluster::new();
    let (a, b) = (cluster.node("a"), cluster.node("b"));
    // The write takes effect, and no later call of this node arrives.
    a.store.inject(Call::Transact, Fault::AnswerLost);
    a.store.set_fault_script(lose_transactions);
    let refused = expect_rejection(a.acquire().await);
    assert!(
        matches!(refused, Rejection::Unavailable { .. }),
        "{refused:?}"
    );
    assert!(cluster.claim().await.is_some());
    let held = b.acquire().await.unwrap();
    assert_eq!(b.keeper.counters().taken_over.get(), 1);
    assert_eq!(cluster.token().await.as_deref(), Some(held.token()));
    // The first node's late deletion does not remove the new claim.
    a.store.set_fault_script(|_| None);
    time::sleep(Duration::from_mins(2)).await;
    assert_eq!(cluster.token().await.as_deref(), Some(held.token()));
}

#[tokio::test(start_paused = true)]
async fn a_delayed_write_neither_runs_nor_blocks_the_call() {
    let cluster = Cluster::new();
    let (a, b) = (cluster.node("a"), cluster.node("b"));
    let delay = Duration::from_mins(10);
    a.store.inject(Call::Transact, Fault::Delayed(delay));
    let held = a.acquire().await.unwrap();
    held.release().await.unwrap();
    assert_eq!(cluster.claim().await, None);
    time::sleep(delay).await;
    // The first transaction has written the released token again.
    assert!(cluster.claim().await.is_some());
    let held = b.acquire().await.unwrap();
    held.dispatch().unwrap().complete(response("paid"));
    assert_eq!(
        expect_rejection(a.acquire().await),
        Rejection::Replay(response("paid"))
    );
}

#[tokio::test(start_paused = true)]
async fn a_write_that_takes_effect_after_a_run_changes_nothing() {
    let cluster = Cluster::new();
    let (a, b) = (cluster.node("a"), cluster.node("b"));
    let delay = Duration::from_mins(1);
    for _ in 0..10 {
        a.store.inject(Call::Transact, Fault::Delayed(delay));
    }
    let refused = expect_rejection(a.acquire().await);
    assert!(
        matches!(refused, Rejection::Unavailable { .. }),
        "{refused:?}"
    );
    let held = b.acquire().await.unwrap();
    let token = held.token().to_owned();
    held.dispatch().unwrap().complete(response("paid"));
    time::sleep(delay * 2).await;
    assert_eq!(cluster.token().await, Some(token));
}

#[tokio::test(start_paused = true)]
async fn of_two_takeovers_one_wins() {
    let cluster = Cluster::new();
    let (a, b, c) = (cluster.node("a"), cluster.node("b"), cluster.node("c"));
    a.store.inject(Call::Transact, Fault::AnswerLost);
    a.store.set_fault_script(lose_transactions);
    let _unavailable = expect_rejection(a.acquire().await);
    let (first, second) = tokio::join!(b.acquire(), c.acquire());
    let results = [first, second];
    let winners = results.iter().filter(|result| result.is_ok()).count();
    assert_eq!(winners, 1);
    let taken_over = |node: &Node| node.keeper.counters().taken_over.get();
    assert_eq!(taken_over(&b) + taken_over(&c), 1);
}

#[tokio::test(start_paused = true)]
async fn the_claim_of_a_restarted_node_is_never_taken_over() {
    let cluster = Cluster::new();
    let (a, b) = (cluster.node("a"), cluster.node("b"));
    let _dispatched = a.acquire().await.unwrap().dispatch().unwrap();
    let token = cluster.token().await;
    let restarted = cluster.node("a");
    for node in [&b, &restarted] {
        let rejection = expect_rejection(node.acquire().await);
        assert_eq!(rejection, Rejection::Unknown { retry_after: None });
    }
    assert_eq!(cluster.token().await, token);
}

#[tokio::test(start_paused = true)]
async fn the_claim_of_an_unreachable_node_is_never_taken_over() {
    let cluster = Cluster::new();
    let (a, b) = (cluster.node("a"), cluster.node("b"));
    let held = a.acquire().await.unwrap();
    cluster.network.route(&a.name, None);
    let rejection = expect_rejection(b.acquire().await);
    assert!(
        matches!(
            rejection,
            Rejection::Unknown {
                retry_after: Some(_)
            }
        ),
        "{rejection:?}"
    );
    assert_eq!(cluster.token().await.as_deref(), Some(held.token()));
}

#[tokio::test(start_paused = true)]
async fn a_holder_that_was_paused_past_its_lease_does_not_dispatch() {
    let cluster = Cluster::new();
    let (a, b) = (cluster.node("a"), cluster.node("b"));
    let held = a.acquire().await.unwrap();
    time::sleep(Duration::from_hours(25)).await;
    assert_eq!(cluster.claim().await, None);
    let other = b.acquire().await.unwrap().dispatch().unwrap();
    assert_eq!(held.dispatch().err(), Some(Error::Expired));
    other.complete(response("paid"));
}

#[tokio::test(start_paused = true)]
async fn a_holder_that_was_paused_past_its_lease_does_not_report_not_run() {
    let cluster = Cluster::new();
    let a = cluster.node("a");
    let held = a.acquire().await.unwrap();
    time::sleep(Duration::from_hours(50)).await;
    assert_eq!(held.release().await, Err(Error::Expired));
}

#[tokio::test(start_paused = true)]
async fn the_claim_of_a_caller_that_disconnects_is_released() {
    let cluster = Cluster::new();
    let node = cluster.node("a");
    drop(node.acquire().await.unwrap());
    time::sleep(Duration::from_secs(1)).await;
    assert_eq!(cluster.claim().await, None);
    // The write takes effect after half of its delay, before the attempt is
    // dropped.
    let slow = Fault::Slow(Duration::from_secs(2));
    node.store.inject(Call::Transact, slow);
    let caller_timeout = Duration::from_millis(1500);
    assert!(time::timeout(caller_timeout, node.acquire()).await.is_err());
    assert!(cluster.claim().await.is_some());
    time::sleep(Duration::from_secs(1)).await;
    assert_eq!(cluster.claim().await, None);
}

#[tokio::test(start_paused = true)]
async fn a_dispatched_call_without_a_response_may_have_run() {
    let cluster = Cluster::new();
    let (a, b) = (cluster.node("a"), cluster.node("b"));
    drop(a.acquire().await.unwrap().dispatch().unwrap());
    for node in [&a, &b] {
        let rejection = expect_rejection(node.acquire().await);
        assert_eq!(rejection, Rejection::Unknown { retry_after: None });
    }
}

#[tokio::test(start_paused = true)]
async fn a_dispatch_that_sent_nothing_can_be_undone() {
    let cluster = Cluster::new();
    let (a, b) = (cluster.node("a"), cluster.node("b"));
    let held = a.acquire().await.unwrap().dispatch().unwrap().undo(&());
    held.release().await.unwrap();
    let _held = b.acquire().await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn a_revoked_lease_is_replaced() {
    let cluster = Cluster::new();
    let node = cluster.node("a");
    node.acquire().await.unwrap().release().await.unwrap();
    cluster.service.revoke(Lease(1)).await.unwrap();
    let held = node.acquire().await.unwrap();
    assert_eq!(cluster.token().await.as_deref(), Some(held.token()));
}

#[tokio::test(start_paused = true)]
async fn a_claim_outlives_its_node_and_expires_after_its_retention() {
    let cluster = Cluster::new();
    let node = cluster.node("a");
    time::sleep(Duration::from_mins(59)).await;
    let dispatched = node.acquire().await.unwrap().dispatch().unwrap();
    dispatched.complete(response("paid"));
    drop(node);
    time::sleep(Duration::from_hours(12)).await;
    assert!(cluster.claim().await.is_some());
    time::sleep(Duration::from_hours(12)).await;
    assert_eq!(cluster.claim().await, None);
}

#[tokio::test(start_paused = true)]
async fn the_key_of_a_claim_is_short_for_any_idempotency_key() {
    let cluster = Cluster::new();
    let node = cluster.node("a");
    let deadline = Instant::now() + ACQUIRE_TIMEOUT;
    let long_scope = scope(&"k".repeat(100_000));
    let _held = node.keeper.acquire(long_scope, FINGERPRINT, deadline).await;
    let entry = cluster.claim().await.unwrap();
    println!("key {}, value {}", entry.key.len(), entry.value.len());
    assert!(entry.key.len() < 128, "{}", entry.key);
}

#[tokio::test(start_paused = true)]
async fn a_response_too_large_to_keep_counts_as_lost() {
    let cluster = Cluster::new();
    let limits = replay::Limits {
        // One byte less than the response has.
        answer: 3,
        ..replay::Limits::default()
    };
    let node = cluster.node_with("a", Attempts::new(limits));
    let dispatched = node.acquire().await.unwrap().dispatch().unwrap();
    dispatched.complete(response("paid"));
    let rejection = expect_rejection(node.acquire().await);
    assert_eq!(rejection, Rejection::Unknown { retry_after: None });
}

#[tokio::test(start_paused = true)]
async fn kept_responses_are_limited_and_running_attempts_are_not_evicted() {
    let cluster = Cluster::new();
    let limits = replay::Limits {
        total: 0,
        ..replay::Limits::default()
    };
    let node = cluster.node_with("a", Attempts::new(limits));
    let dispatched = node.acquire().await.unwrap().dispatch().unwrap();
    let entry = cluster.claim().await.unwrap();
    let token = cluster.token().await.unwrap();
    let status = || node.attempts.status(&entry.key, &token);
    assert_eq!(status(), Status::Running);
    dispatched.complete(response("paid"));
    assert_eq!(status(), Status::Unknown);
}

#[tokio::test(start_paused = true)]
async fn an_attempt_is_unknown_under_another_key() {
    let cluster = Cluster::new();
    let node = cluster.node("a");
    let held = node.acquire().await.unwrap();
    let status = node.attempts.status("another", held.token());
    assert_eq!(status, Status::Unknown);
}
