//! One attempt at one process, and what its caller is told.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use dottereltally::{
    claim::{Error, Held, Lost, Scope},
    peer::Response,
};
use dottereltally_lib::id;
use rand::{Rng, rngs::SmallRng};
use tokio::time::{self, Instant};

use super::{
    ledger,
    world::{Process, World, hours, lock, millis},
};

/// Time from a call's effect to its answer at the most, with the clock's
/// resolution of a millisecond.
const ANSWER_DELAY: Duration = Duration::from_millis(11);

/// Runs one attempt at one process.
pub async fn attempt(world: &World, process: Process, key: ledger::Key, random: &mut SmallRng) {
    let scope = Scope {
        workspace: id::Workspace::from("studio"),
        service: id::Service::from("bookings"),
        key: format!("key-{key}"),
    };
    let other_content = random.random_bool(0.02);
    let fingerprint = id::Fingerprint(u64::from(other_content));
    let deadline = Instant::now() + millis(random, 100, 10_000);
    let leaves = random.random_bool(0.05);
    let acquire = process.keeper.acquire(scope, fingerprint, deadline);
    let result = if leaves {
        let patience = millis(random, 0, 600);
        let Ok(result) = time::timeout(patience, acquire).await else {
            lock(&world.ledger).count("left while claiming");
            return;
        };
        result
    } else {
        acquire.await
    };
    let held = match result {
        Ok(held) => held,
        Err(lost) => {
            judge(world, &process, key, lost);
            return;
        }
    };
    let queued = if random.random_bool(world.rates.pause) {
        hours(random)
    } else {
        millis(random, 0, 2_000)
    };
    let dead = Arc::clone(&process.dead);
    // A killed process must not be kept alive by the calls that wait in it.
    drop(process);
    time::sleep(queued).await;
    if *lock(&dead) {
        std::mem::forget(held);
        return;
    }
    go_on(world, &dead, key, held, random).await;
}

fn judge(world: &World, process: &Process, key: ledger::Key, lost: Lost) {
    let mut ledger = lock(&world.ledger);
    if *lock(&process.dead) {
        return;
    }
    match lost {
        Lost::Replay(response) => ledger.replay(key, &response.body),
        Lost::Running { .. } => ledger.count("running"),
        Lost::Unknown { .. } => ledger.count("unknown"),
        Lost::Mismatch => ledger.count("mismatch"),
        Lost::Away { .. } => ledger.count("away"),
    }
}

/// Dispatches the call of a held claim, or gives the claim back.
async fn go_on(
    world: &World,
    dead: &Mutex<bool>,
    key: ledger::Key,
    held: Held,
    random: &mut SmallRng,
) {
    match random.random_range(0..10) {
        0..4 => refuse(world, key, held).await,
        4 => {
            lock(&world.ledger).count("left while queued");
            drop(held);
        }
        5 => {
            let Ok(dispatched) = held.dispatch() else {
                lock(&world.ledger).count("expired");
                return;
            };
            let held = dispatched.undo(&());
            lock(&world.ledger).count("undone");
            refuse(world, key, held).await;
        }
        _ => run(world, dead, key, held, random).await,
    }
}

async fn refuse(world: &World, key: ledger::Key, held: Held) {
    let result = held.release().await;
    let mut ledger = lock(&world.ledger);
    match result {
        Ok(()) => ledger.not_run(key, Instant::now() - ANSWER_DELAY),
        Err(Error::Taken) => ledger.count("taken"),
        Err(Error::Expired) => ledger.count("expired"),
        Err(Error::Unconfirmed | Error::Refused(_)) => ledger.count("unconfirmed"),
    }
}

async fn run(
    world: &World,
    dead: &Mutex<bool>,
    key: ledger::Key,
    held: Held,
    random: &mut SmallRng,
) {
    let Ok(dispatched) = held.dispatch() else {
        lock(&world.ledger).count("expired");
        return;
    };
    let answer = random.random::<u64>().to_be_bytes().to_vec();
    lock(&world.ledger).run(key, answer.clone());
    time::sleep(millis(random, 0, 3_000)).await;
    if *lock(dead) || random.random_bool(0.2) {
        dispatched.lose();
        return;
    }
    dispatched.complete(Response {
        status: 200,
        content_type: String::new(),
        body: answer,
    });
}
