//! One attempt of a call at one process, and what its caller is told.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use dottereltally::{
    claim::{Error, Held, Rejection, Scope},
    peer::Response,
};
use dottereltally_lib::id;
use rand::{Rng, rngs::SmallRng};
use tokio::time::{self, Instant};

use super::{
    cluster::{Cluster, Process, lock, random_long_pause, random_millis},
    history,
};

/// Upper bound of the time from the effect of a key-value call to its response:
/// half of the longest call delay, plus the clock's resolution of a millisecond.
const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(11);

/// Runs one attempt of a call at one process.
pub async fn attempt(
    cluster: &Cluster,
    process: Process,
    key: history::Key,
    random: &mut SmallRng,
) {
    let scope = Scope {
        workspace: id::Workspace::from("studio"),
        service: id::Service::from("bookings"),
        key: format!("key-{key}"),
    };
    let other_content = random.random_bool(0.02);
    let fingerprint = id::Fingerprint(u64::from(other_content));
    let deadline = Instant::now() + random_millis(random, 100, 10_000);
    let disconnects = random.random_bool(0.05);
    let acquire = process.keeper.acquire(scope, fingerprint, deadline);
    let result = if disconnects {
        let disconnect_after = random_millis(random, 0, 600);
        let Ok(result) = time::timeout(disconnect_after, acquire).await else {
            lock(&cluster.history).count("left while claiming");
            return;
        };
        result
    } else {
        acquire.await
    };
    let held = match result {
        Ok(held) => held,
        Err(rejection) => {
            record_rejection(cluster, &process, key, rejection);
            return;
        }
    };
    let queue_time = if random.random_bool(cluster.rates.pause) {
        random_long_pause(random)
    } else {
        random_millis(random, 0, 2_000)
    };
    let killed = Arc::clone(&process.killed);
    // A killed process must not be kept alive by its queued calls.
    drop(process);
    time::sleep(queue_time).await;
    if *lock(&killed) {
        std::mem::forget(held);
        return;
    }
    proceed(cluster, &killed, key, held, random).await;
}

/// Records the outcome of an attempt that did not acquire its claim.
fn record_rejection(cluster: &Cluster, process: &Process, key: history::Key, rejection: Rejection) {
    let mut history = lock(&cluster.history);
    if *lock(&process.killed) {
        return;
    }
    match rejection {
        Rejection::Replay(response) => history.replay(key, &response.body),
        Rejection::Running { .. } => history.count("running"),
        Rejection::Unknown { .. } => history.count("unknown"),
        Rejection::Mismatch => history.count("mismatch"),
        Rejection::Unavailable { .. } => history.count("away"),
    }
}

/// Dispatches the call of a held claim, or releases or drops the claim.
async fn proceed(
    cluster: &Cluster,
    killed: &Mutex<bool>,
    key: history::Key,
    held: Held,
    random: &mut SmallRng,
) {
    match random.random_range(0..10) {
        0..4 => release(cluster, key, held).await,
        4 => {
            lock(&cluster.history).count("left while queued");
            drop(held);
        }
        5 => {
            let Ok(dispatched) = held.dispatch() else {
                lock(&cluster.history).count("expired");
                return;
            };
            let held = dispatched.undo(&());
            lock(&cluster.history).count("undone");
            release(cluster, key, held).await;
        }
        _ => run(cluster, killed, key, held, random).await,
    }
}

/// Releases a claim and records whether the caller may be told "not run".
async fn release(cluster: &Cluster, key: history::Key, held: Held) {
    let result = held.release().await;
    let mut history = lock(&cluster.history);
    match result {
        Ok(()) => history.not_run(key, Instant::now() - MAX_RESPONSE_DELAY),
        Err(Error::Claimed) => history.count("taken"),
        Err(Error::Expired) => history.count("expired"),
        Err(Error::Unconfirmed | Error::Refused(_)) => history.count("unconfirmed"),
    }
}

/// Dispatches a call; its response may be lost.
async fn run(
    cluster: &Cluster,
    killed: &Mutex<bool>,
    key: history::Key,
    held: Held,
    random: &mut SmallRng,
) {
    let Ok(dispatched) = held.dispatch() else {
        lock(&cluster.history).count("expired");
        return;
    };
    let response_body = random.random::<u64>().to_be_bytes().to_vec();
    lock(&cluster.history).run(key, response_body.clone());
    time::sleep(random_millis(random, 0, 3_000)).await;
    if *lock(killed) || random.random_bool(0.2) {
        dispatched.mark_lost();
        return;
    }
    dispatched.complete(Response {
        status: 200,
        content_type: String::new(),
        body: response_body,
    });
}
