//! Changes of the configuration: one of several concurrent proposals is
//! accepted, a lost answer is resolved by reading back, and the audit trail has
//! each accepted change once and in order.

use std::time::Duration;

use dottereltally_lib::id::Generation;
use dottereltally_store::{
    kv, layout,
    memory::{Call, Fault, Store},
    proposal::{self, Accepted, Error, Proposal},
};
use rstest::rstest;
use tokio::{task::JoinSet, time};

/// Time for which a proposal is retried.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);

fn proposal(base: u64, token: &str) -> Proposal {
    Proposal {
        base: Generation(base),
        floor: Generation(0),
        text: format!("marker: {token}"),
        author: format!("author of {token}"),
        time: "2026-01-01T00:00:00Z".to_owned(),
        token: token.to_owned(),
    }
}

async fn tokens(store: &Store) -> Vec<String> {
    let audits = proposal::audits_since(store, Generation(0)).await.unwrap();
    audits.into_iter().map(|audit| audit.token).collect()
}

fn is_generation(accepted: &Accepted, expected: u64) -> bool {
    matches!(accepted, Accepted::Changed(generation, _) if generation.0 == expected)
}

/// Waits until the first configuration is in the store.
async fn wait_until_written(store: &Store) {
    while store.get_directly(layout::CONFIGURATION_KEY).is_none() {
        time::sleep(Duration::from_millis(1)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn each_accepted_proposal_gets_the_next_generation() {
    let store = Store::default();
    for base in 0..3 {
        let proposal = proposal(base, &format!("t{base}"));
        let accepted = proposal.submit(&store, SUBMIT_TIMEOUT).await.unwrap();
        assert!(is_generation(&accepted, base + 1));
    }
    assert_eq!(tokens(&store).await, ["t0", "t1", "t2"]);
}

#[tokio::test(start_paused = true)]
async fn an_equal_text_writes_nothing() {
    let store = Store::default();
    proposal(0, "a")
        .submit(&store, SUBMIT_TIMEOUT)
        .await
        .unwrap();
    let mut again = proposal(1, "b");
    again.text = "marker: a".to_owned();
    let accepted = again.submit(&store, SUBMIT_TIMEOUT).await.unwrap();
    assert_eq!(accepted, Accepted::Unchanged(Generation(1)));
    assert_eq!(tokens(&store).await, ["a"]);
}

#[tokio::test(start_paused = true)]
async fn the_next_generation_is_above_that_of_every_node() {
    let store = Store::default();
    let mut first = proposal(0, "a");
    first.floor = Generation(7);
    let accepted = first.submit(&store, SUBMIT_TIMEOUT).await.unwrap();
    assert!(is_generation(&accepted, 8));
}

#[rstest]
#[case(2)]
#[case(10)]
#[tokio::test(start_paused = true)]
async fn one_of_several_concurrent_proposals_wins_and_the_others_get_its_change(
    #[case] operators: usize,
) {
    let store = Store::default();
    proposal(0, "first")
        .submit(&store, SUBMIT_TIMEOUT)
        .await
        .unwrap();
    let mut tasks = JoinSet::new();
    for operator in 0..operators {
        let client = store.connect();
        // Delays the writes, so that all clients read before the first write
        // takes effect.
        client.inject(Call::Transact, Fault::Slow(Duration::from_millis(100)));
        let proposal = proposal(1, &format!("t{operator}"));
        tasks.spawn(async move { proposal.submit(&client, SUBMIT_TIMEOUT).await });
    }
    let mut winners = 0;
    for result in tasks.join_all().await {
        match result {
            Ok(accepted) => {
                assert!(is_generation(&accepted, 2));
                winners += 1;
            }
            Err(Error::Conflict { since, .. }) => assert_eq!(since.len(), 1),
            Err(other) => panic!("unexpected: {other:?}"),
        }
    }
    assert_eq!(winners, 1);
    assert_eq!(tokens(&store).await.len(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_resolved_by_reading_back() {
    let store = Store::default();
    store.inject(Call::Transact, Fault::AnswerLost);
    let accepted = proposal(0, "a")
        .submit(&store, SUBMIT_TIMEOUT)
        .await
        .unwrap();
    assert!(is_generation(&accepted, 1));
    assert_eq!(tokens(&store).await, ["a"]);
}

#[tokio::test(start_paused = true)]
async fn a_write_that_takes_effect_late_is_not_repeated() {
    let store = Store::default();
    store.inject(Call::Transact, Fault::Delayed(Duration::from_millis(1500)));
    let accepted = proposal(0, "a")
        .submit(&store, SUBMIT_TIMEOUT)
        .await
        .unwrap();
    assert!(is_generation(&accepted, 1));
    time::sleep(Duration::from_secs(5)).await;
    assert_eq!(tokens(&store).await, ["a"]);
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_resolved_after_another_change() {
    let store = Store::default();
    let client = store.connect();
    client.inject(Call::Transact, Fault::AnswerLost);
    let task = tokio::spawn(async move { proposal(0, "a").submit(&client, SUBMIT_TIMEOUT).await });
    wait_until_written(&store).await;
    proposal(1, "b")
        .submit(&store, SUBMIT_TIMEOUT)
        .await
        .unwrap();
    let accepted = task.await.unwrap().unwrap();
    assert!(is_generation(&accepted, 1), "{accepted:?}");
    assert_eq!(tokens(&store).await, ["a", "b"]);
}

#[tokio::test(start_paused = true)]
async fn an_outage_before_the_write_is_reported_as_no_change() {
    let store = Store::default();
    store.set_down(true);
    let error = proposal(0, "a")
        .submit(&store, SUBMIT_TIMEOUT)
        .await
        .unwrap_err();
    assert!(
        matches!(error, Error::Platform(kv::Error::Unreachable { .. })),
        "{error:?}"
    );
    store.set_down(false);
    assert_eq!(proposal::current(&store).await.unwrap(), None);
}

#[tokio::test(start_paused = true)]
async fn an_outage_after_the_write_is_reported_as_indeterminate() {
    let store = Store::default();
    let client = store.connect();
    client.inject(Call::Transact, Fault::AnswerLost);
    let same_client = client.clone();
    let task = tokio::spawn(async move { proposal(0, "a").submit(&client, SUBMIT_TIMEOUT).await });
    wait_until_written(&store).await;
    same_client.set_down(true);
    let error = task.await.unwrap().unwrap_err();
    assert!(matches!(error, Error::Indeterminate(..)), "{error:?}");
}
