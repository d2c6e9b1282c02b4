//! Several nodes claim few keys over one key-value service that fails.
//!
//! Everything that is random is drawn from the seed and time is tokio's paused
//! clock, so that a seed always gives the same run.

mod ledger;
mod network;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dottereltally::{
    claim::{Error, Held, Keeper, Limits, Lost, Scope},
    peer::Response,
    replay::Attempts,
};
use dottereltally_lib::id;
use dottereltally_platform::memory::{Call, Fault, Store};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{
    runtime,
    task::JoinSet,
    time::{self, Instant},
};

pub use ledger::{Ledger, Tally};
use network::Network;

const NODES: usize = 4;
const KEYS: usize = 3;
const CALLERS: usize = 5;
const SENDS: usize = 6;
const DISTURBANCES: usize = 25;

/// Delay of a call that is answered, at the most.
const CALL_DELAY: Duration = Duration::from_millis(20);

/// Time from a call's effect to its answer at the most, with the clock's
/// resolution of a millisecond.
const ANSWER_DELAY: Duration = Duration::from_millis(11);

/// Probabilities of the faults of one seed.
#[derive(Clone, Copy, Debug)]
struct Rates {
    /// Of each fault of a call of the key-value service.
    call: f64,
    /// Of a lost message between nodes.
    message: f64,
    /// Of a pause of hours between the claim and the dispatch, and between
    /// two sends of a caller.
    pause: f64,
}

impl Rates {
    fn draw(random: &mut SmallRng) -> Self {
        let pick = |random: &mut SmallRng, choices: &[f64]| {
            let index = random.random_range(0..choices.len());
            choices[index]
        };
        Self {
            call: pick(random, &[0.0, 0.02, 0.1, 0.2, 0.28]),
            message: pick(random, &[0.0, 0.0, 0.05, 0.3]),
            pause: pick(random, &[0.0, 0.0, 0.0, 0.1]),
        }
    }
}

/// One process of a node.
#[derive(Clone)]
struct Process {
    keeper: Keeper<Store, Network>,
    store: Store,
    /// Set when the process is killed: it does nothing from then on.
    dead: Arc<Mutex<bool>>,
}

struct World {
    service: Store,
    network: Network,
    rates: Rates,
    processes: Mutex<Vec<Process>>,
    /// Processes that were replaced but go on running.
    replaced: Mutex<Vec<Process>>,
    /// Claims that killed processes had taken over.
    taken_over: Mutex<u64>,
    ledger: Mutex<Ledger>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn millis(random: &mut SmallRng, from: u64, to: u64) -> Duration {
    Duration::from_millis(random.random_range(from..to))
}

fn hours(random: &mut SmallRng) -> Duration {
    Duration::from_mins(random.random_range(1..2_000))
}

fn name(index: usize) -> id::Node {
    id::Node::from(format!("entry-{index}"))
}

/// Returns a function that draws the fault of each call.
fn faults(mut random: SmallRng, rate: f64) -> impl FnMut(Call) -> Option<Fault> + Send + 'static {
    move |_| {
        let draw: f64 = random.random();
        let kind = draw / rate.max(f64::MIN_POSITIVE);
        if kind < 1.0 {
            return Some(Fault::Delayed(millis(&mut random, 10, 20_000)));
        }
        if kind < 2.0 {
            return Some(Fault::AnswerLost);
        }
        if kind < 3.0 {
            return Some(Fault::CallLost);
        }
        Some(Fault::Slow(random.random_range(Duration::ZERO..CALL_DELAY)))
    }
}

impl World {
    fn new(random: &mut SmallRng) -> Self {
        let rates = Rates::draw(random);
        let network = Network::new(SmallRng::from_rng(random), rates.message);
        let world = Self {
            service: Store::default(),
            network,
            rates,
            processes: Mutex::default(),
            replaced: Mutex::default(),
            taken_over: Mutex::default(),
            ledger: Mutex::default(),
        };
        for index in 0..NODES {
            let process = world.start(index, random);
            lock(&world.processes).push(process);
        }
        world
    }

    fn start(&self, index: usize, random: &mut SmallRng) -> Process {
        let store = self.service.connect();
        store.script(faults(SmallRng::from_rng(random), self.rates.call));
        let attempts = Attempts::default();
        self.network.route(&name(index), Some(attempts.clone()));
        let keeper = Keeper::start(
            name(index),
            store.clone(),
            self.network.clone(),
            attempts,
            Limits::default(),
        );
        Process {
            keeper,
            store,
            dead: Arc::default(),
        }
    }

    fn process(&self, index: usize) -> Process {
        lock(&self.processes)[index].clone()
    }

    /// Kills a process: nothing that it does has an effect from then on.
    fn kill(process: &Process) {
        *lock(&process.dead) = true;
        process.store.set_down(true);
    }

    /// Puts a new process in the place of one, which may go on running.
    fn replace(&self, index: usize, kill: bool, random: &mut SmallRng) {
        let new = self.start(index, random);
        let old = std::mem::replace(&mut lock(&self.processes)[index], new);
        if kill {
            Self::kill(&old);
            *lock(&self.taken_over) += old.keeper.counters().taken_over.get();
            return;
        }
        lock(&self.replaced).push(old);
    }
}

/// Makes the world fail at random.
async fn disturb(world: Arc<World>, mut random: SmallRng) {
    for _ in 0..DISTURBANCES {
        time::sleep(millis(&mut random, 50, 6_000)).await;
        let index = random.random_range(0..NODES);
        match random.random_range(0..9) {
            0 => {
                for process in lock(&world.processes).iter() {
                    process.store.set_down(true);
                }
            }
            1 => world.process(index).store.set_down(true),
            2 => world.replace(index, true, &mut random),
            3 => world.replace(index, false, &mut random),
            4 => world.network.route(&name(index), None),
            _ => {
                for process in lock(&world.processes).iter() {
                    process.store.set_down(false);
                }
            }
        }
    }
    for processes in [&world.processes, &world.replaced] {
        for process in lock(processes).iter() {
            process.store.set_down(false);
        }
    }
}

/// Sends one key several times through any nodes.
async fn call(world: Arc<World>, key: ledger::Key, mut random: SmallRng) {
    for _ in 0..SENDS {
        let wait = if random.random_bool(world.rates.pause) {
            hours(&mut random)
        } else if random.random_bool(0.3) {
            millis(&mut random, 0, 5)
        } else {
            millis(&mut random, 0, 8_000)
        };
        time::sleep(wait).await;
        let index = random.random_range(0..NODES);
        let process = world.process(index);
        let dead = Arc::clone(&process.dead);
        attempt(&world, process, key, &mut random).await;
        if *lock(&dead) {
            lock(&world.ledger).count("killed");
        }
    }
}

/// Runs one attempt at one process.
async fn attempt(world: &World, process: Process, key: ledger::Key, random: &mut SmallRng) {
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

async fn play(seed: u64) -> Ledger {
    let mut random = SmallRng::seed_from_u64(seed);
    let world = Arc::new(World::new(&mut random));
    let mut tasks = JoinSet::new();
    tasks.spawn(disturb(Arc::clone(&world), SmallRng::from_rng(&mut random)));
    for key in 0..KEYS {
        for _ in 0..CALLERS {
            let random = SmallRng::from_rng(&mut random);
            tasks.spawn(call(Arc::clone(&world), key, random));
        }
    }
    while let Some(result) = tasks.join_next().await {
        if let Err(error) = result {
            let mut ledger = lock(&world.ledger);
            ledger.violations.push(format!("assertion: {error}"));
        }
    }
    let mut ledger = std::mem::take(&mut *lock(&world.ledger));
    count_takeovers(&world, &mut ledger);
    ledger
}

fn count_takeovers(world: &World, ledger: &mut Ledger) {
    let mut total = *lock(&world.taken_over);
    for processes in [&world.processes, &world.replaced] {
        for process in lock(processes).iter() {
            total += process.keeper.counters().taken_over.get();
        }
    }
    *ledger.tally.0.entry("taken over").or_default() += total;
}

/// Runs one seed.
///
/// # Panics
///
/// Panics if no runtime can be built.
pub fn run_seed(seed: u64) -> Ledger {
    let runtime = runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime can be built");
    runtime.block_on(play(seed))
}
