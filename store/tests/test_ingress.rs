//! Memory for the bodies of requests: which bodies wait, and which are refused.

use std::time::Duration;

use dottereltally_store::ingress::{Body, Pool, Refused};
use rstest::rstest;
use tokio::time::timeout;

const KILOBYTE: usize = 1024;
const SEGMENT: usize = 64 * KILOBYTE;
const LIMIT: usize = 16 * SEGMENT;

/// Appends content in large parts.
async fn append(body: &mut Body, bytes: usize) -> Result<(), Refused> {
    let mut missing = bytes;
    while missing > 0 {
        let part = missing.min(16 * KILOBYTE);
        body.append(&vec![b'x'; part]).await?;
        missing -= part;
    }
    Ok(())
}

/// Returns whether a body waits for memory for this many bytes.
async fn waits(body: &mut Body, bytes: usize) -> bool {
    let appending = append(body, bytes);
    timeout(Duration::from_millis(1), appending).await.is_err()
}

async fn is_refused(body: &Body) -> bool {
    timeout(Duration::from_millis(1), body.refused())
        .await
        .is_ok()
}

#[rstest]
#[case(0)]
#[case(1)]
#[case(SEGMENT)]
#[case(3 * SEGMENT + 1)]
#[tokio::test(start_paused = true)]
async fn a_body_is_whole_and_its_memory_is_freed_with_it(#[case] length: usize) {
    let pool = Pool::new(16 * SEGMENT);
    let mut body = pool.body(LIMIT);
    append(&mut body, length).await.unwrap();
    let bytes = body.finish().unwrap();
    assert_eq!(bytes, vec![b'x'; length]);
    assert!(pool.used() >= length);
    drop(bytes);
    assert_eq!(pool.used(), 0);
}

/// Guards against bodies inside the limit that a small host could never take.
#[tokio::test(start_paused = true)]
async fn a_single_body_fits_although_it_is_larger_than_the_pool() {
    let pool = Pool::new(2 * SEGMENT);
    let mut body = pool.body(LIMIT);
    append(&mut body, LIMIT).await.unwrap();
    assert_eq!(body.finish().unwrap().len(), LIMIT);
}

#[tokio::test(start_paused = true)]
async fn the_largest_body_is_refused_first() {
    let pool = Pool::new(9 * SEGMENT);
    let (mut large, mut medium, mut new) = (pool.body(LIMIT), pool.body(LIMIT), pool.body(LIMIT));
    append(&mut medium, 3 * SEGMENT).await.unwrap();
    append(&mut large, 3 * SEGMENT + 1).await.unwrap();
    assert!(waits(&mut new, 2 * SEGMENT).await, "until memory is freed");
    assert!(is_refused(&large).await);
    assert!(!is_refused(&medium).await);
    assert_eq!(large.finish().unwrap_err(), Refused::Capacity);
    append(&mut new, SEGMENT).await.unwrap();
    assert!(medium.finish().is_ok());
}

#[tokio::test(start_paused = true)]
async fn among_equal_bodies_the_one_that_received_nothing_for_longest_is_refused() {
    let pool = Pool::new(8 * SEGMENT);
    let (mut first, mut second, mut new) = (pool.body(LIMIT), pool.body(LIMIT), pool.body(LIMIT));
    append(&mut second, 3 * SEGMENT - 1).await.unwrap();
    append(&mut first, 3 * SEGMENT).await.unwrap();
    append(&mut second, 1).await.unwrap();
    assert!(waits(&mut new, 2 * SEGMENT).await);
    assert!(is_refused(&first).await);
    assert!(!is_refused(&second).await);
}

/// Guards against ordinary requests that are refused as others fill the memory.
#[tokio::test(start_paused = true)]
async fn small_bodies_fit_while_complete_large_ones_fill_the_pool() {
    let pool = Pool::new(16 * SEGMENT);
    let mut large = pool.body(LIMIT);
    append(&mut large, 13 * SEGMENT).await.unwrap();
    let large = large.finish().unwrap();
    let mut other = pool.body(LIMIT);
    assert!(
        waits(&mut other, 2 * SEGMENT).await,
        "nothing can be refused"
    );
    assert!(other.is_waiting());
    let mut small = pool.body(LIMIT);
    append(&mut small, KILOBYTE).await.unwrap();
    drop(large);
    append(&mut other, SEGMENT).await.unwrap();
    assert!(!other.is_waiting());
}

#[tokio::test(start_paused = true)]
async fn the_largest_body_is_refused_as_it_grows_itself() {
    let pool = Pool::new(8 * SEGMENT);
    let (mut one, mut other) = (pool.body(LIMIT), pool.body(LIMIT));
    append(&mut other, 2 * SEGMENT).await.unwrap();
    assert_eq!(append(&mut one, LIMIT).await, Err(Refused::Capacity));
    drop(one);
    append(&mut other, LIMIT - 2 * SEGMENT).await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn a_body_over_its_limit_is_refused() {
    let pool = Pool::default();
    let mut body = pool.body(10);
    assert_eq!(body.check_length(10), Ok(()));
    assert_eq!(body.check_length(11), Err(Refused::Limit(10)));
    body.append(b"0123456789").await.unwrap();
    assert_eq!(body.append(b"x").await, Err(Refused::Limit(10)));
}

/// Guards against parts that cost far more time than their bytes show.
#[tokio::test(start_paused = true)]
async fn the_number_of_small_parts_is_bounded() {
    let pool = Pool::default();
    let mut body = pool.body(LIMIT);
    let mut refused = None;
    for _ in 0..LIMIT {
        refused = body.append(b"x").await.err();
        if refused.is_some() {
            break;
        }
    }
    assert_eq!(refused, Some(Refused::Parts));
}
