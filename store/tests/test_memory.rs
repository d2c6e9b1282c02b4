//! The in-memory key-value service: the semantics that other tests rely on, and
//! its fault injection.

use std::time::Duration;

use dottereltally_store::{
    kv::{
        Change, Compare, Error, Lease, Operation, Outcome, Revision, Store as _, Transaction,
        Watch as _,
    },
    memory::{Call, Fault, Store},
};
use rstest::rstest;
use tokio::time;

/// Time to live of a lease.
const TTL: Duration = Duration::from_secs(10);

fn put(value: &str) -> Operation {
    Operation::Put("k".to_owned(), value.as_bytes().to_vec(), None)
}

fn get() -> Operation {
    Operation::Get("k".to_owned())
}

fn conditional(compare: Compare, success: Operation) -> Transaction {
    Transaction {
        compares: vec![compare],
        success: vec![success],
        failure: vec![get()],
    }
}

fn absent() -> Compare {
    Compare::Absent("k".to_owned())
}

fn value(outcome: &Outcome) -> Option<Vec<u8>> {
    outcome.reads[0].as_ref().map(|entry| entry.value.clone())
}

#[tokio::test(start_paused = true)]
async fn of_two_creations_the_first_wins_and_the_second_reads_it() {
    let store = Store::default();
    let first = store
        .transact(conditional(absent(), put("a")))
        .await
        .unwrap();
    let second = store
        .transact(conditional(absent(), put("b")))
        .await
        .unwrap();
    assert!(first.succeeded);
    assert!(!second.succeeded);
    assert_eq!(value(&second), Some(b"a".to_vec()));
}

#[rstest]
#[case::value(Compare::Value("k".to_owned(), b"a".to_vec()), true)]
#[case::other_value(Compare::Value("k".to_owned(), b"b".to_vec()), false)]
#[case::revision(Compare::Modified("k".to_owned(), Revision(1)), true)]
#[case::other_revision(Compare::Modified("k".to_owned(), Revision(2)), false)]
#[case::absent(Compare::Absent("k".to_owned()), false)]
#[tokio::test(start_paused = true)]
async fn a_transaction_runs_only_if_its_condition_holds(
    #[case] compare: Compare,
    #[case] holds: bool,
) {
    let store = Store::default();
    store.put_directly("k", b"a".to_vec());
    let delete = Operation::Delete("k".to_owned());
    let outcome = store.transact(conditional(compare, delete)).await.unwrap();
    assert_eq!(outcome.succeeded, holds);
    assert_eq!(store.get_directly("k").is_none(), holds);
}

#[tokio::test(start_paused = true)]
async fn an_expired_lease_deletes_its_keys_and_becomes_unknown() {
    let store = Store::default();
    let lease = store.grant(TTL).await.unwrap();
    let bound = Operation::Put("k".to_owned(), Vec::new(), Some(lease));
    store
        .transact(conditional(absent(), bound.clone()))
        .await
        .unwrap();
    time::sleep(TTL / 2).await;
    assert_eq!(store.renew(lease).await, Ok(TTL));
    time::sleep(TTL / 2).await;
    assert!(store.get_directly("k").is_some());
    time::sleep(TTL / 2).await;
    assert!(store.get_directly("k").is_none());
    assert_eq!(store.renew(lease).await, Err(Error::UnknownLease(lease)));
    let refused = store.transact(conditional(absent(), bound)).await;
    assert_eq!(refused, Err(Error::UnknownLease(Lease(1))));
    assert!(store.get_directly("k").is_none());
}

#[tokio::test(start_paused = true)]
async fn a_key_rewritten_without_its_lease_outlives_the_lease() {
    let store = Store::default();
    let lease = store.grant(TTL).await.unwrap();
    let bound = Operation::Put("k".to_owned(), Vec::new(), Some(lease));
    store.transact(conditional(absent(), bound)).await.unwrap();
    store.put_directly("k", b"a".to_vec());
    store.revoke(lease).await.unwrap();
    assert!(store.get_directly("k").is_some());
}

#[rstest]
#[case::answer_lost(Fault::AnswerLost, true, true)]
#[case::call_lost(Fault::CallLost, false, false)]
#[case::delayed(Fault::Delayed(Duration::from_secs(2)), false, true)]
#[tokio::test(start_paused = true)]
async fn a_lost_call_takes_effect_immediately_later_or_never(
    #[case] fault: Fault,
    #[case] at_once: bool,
    #[case] in_the_end: bool,
) {
    let store = Store::default();
    store.inject(Call::Transact, fault);
    let result = store.transact(conditional(absent(), put("a"))).await;
    assert!(result.unwrap_err().may_have_taken_effect());
    assert_eq!(store.get_directly("k").is_some(), at_once);
    time::sleep(Duration::from_secs(3)).await;
    assert_eq!(store.get_directly("k").is_some(), in_the_end);
}

#[tokio::test(start_paused = true)]
async fn an_outage_affects_only_its_client() {
    let store = Store::default();
    let other = store.connect();
    store.set_down(true);
    let result = store.transact(conditional(absent(), put("a"))).await;
    assert!(!result.unwrap_err().may_have_taken_effect());
    assert!(other.get("k").await.unwrap().is_none());
}

#[tokio::test(start_paused = true)]
async fn a_stale_read_returns_the_value_before_the_last_change() {
    let store = Store::default();
    store.put_directly("k", b"a".to_vec());
    store.put_directly("k", b"b".to_vec());
    store.inject(Call::Get, Fault::Stale);
    assert_eq!(store.get("k").await.unwrap().unwrap().value, b"a");
    assert_eq!(store.get("k").await.unwrap().unwrap().value, b"b");
}

#[tokio::test(start_paused = true)]
async fn a_watch_reports_changes_before_and_after_its_start() {
    let store = Store::default();
    store.put_directly("k", b"a".to_vec());
    store.put_directly("other", b"x".to_vec());
    let mut watch = store.watch("k", Revision(1)).await.unwrap();
    let changes = watch.next().await.unwrap();
    assert!(matches!(&changes[..], [Change::Put(entry)] if entry.value == b"a"));
    let writer = store.connect();
    let delete = conditional(
        Compare::Modified("k".to_owned(), Revision(1)),
        Operation::Delete("k".to_owned()),
    );
    let (changes, _) = tokio::join!(watch.next(), writer.transact(delete));
    assert_eq!(
        changes.unwrap(),
        [Change::Deleted("k".to_owned(), Revision(3))]
    );
}

#[tokio::test(start_paused = true)]
async fn a_silent_watch_reports_nothing_and_an_outage_ends_it() {
    let store = Store::default();
    let mut watch = store.watch("k", Revision(1)).await.unwrap();
    store.set_silent(true);
    store.put_directly("k", b"a".to_vec());
    let silent = time::timeout(Duration::from_mins(1), watch.next()).await;
    assert!(silent.is_err());
    store.set_silent(false);
    store.set_down(true);
    assert!(watch.next().await.is_err());
}

#[tokio::test(start_paused = true)]
async fn a_prefix_is_listed_in_order_and_bounded() {
    let store = Store::default();
    for key in ["a/2", "a/1", "b/1", "a/3"] {
        store.put_directly(key, Vec::new());
    }
    let keys: Vec<String> = store
        .list("a/", 2)
        .await
        .unwrap()
        .into_iter()
        .map(|entry| entry.key)
        .collect();
    assert_eq!(keys, ["a/1", "a/2"]);
}
