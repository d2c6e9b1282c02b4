//! The nodes, their service and their network.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dottereltally::{
    claim::{Keeper, Limits},
    replay::Attempts,
};
use dottereltally_lib::id;
use dottereltally_store::memory::{Call, Fault, Store};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{ledger::Ledger, network::Network};

/// Number of nodes.
pub const NODES: usize = 4;

/// Delay of a call that is answered, at the most.
const CALL_DELAY: Duration = Duration::from_millis(20);

/// Probabilities of the faults of one seed.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Of each fault of a call of the key-value service.
    pub call: f64,
    /// Of a lost message between nodes.
    pub message: f64,
    /// Of a pause of hours between the claim and the dispatch, and between
    /// two sends of a caller.
    pub pause: f64,
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
pub struct Process {
    pub keeper: Keeper<Store, Network>,
    pub store: Store,
    /// Set when the process is killed: it does nothing from then on.
    pub dead: Arc<Mutex<bool>>,
}

pub struct World {
    pub service: Store,
    pub network: Network,
    pub rates: Rates,
    pub processes: Mutex<Vec<Process>>,
    /// Processes that were replaced but go on running.
    pub replaced: Mutex<Vec<Process>>,
    /// Claims that killed processes had taken over.
    pub taken_over: Mutex<u64>,
    pub ledger: Mutex<Ledger>,
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn millis(random: &mut SmallRng, from: u64, to: u64) -> Duration {
    Duration::from_millis(random.random_range(from..to))
}

pub fn hours(random: &mut SmallRng) -> Duration {
    Duration::from_mins(random.random_range(1..2_000))
}

pub fn name(index: usize) -> id::Node {
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
    pub fn new(random: &mut SmallRng) -> Self {
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

    pub fn process(&self, index: usize) -> Process {
        lock(&self.processes)[index].clone()
    }

    /// Kills a process: nothing that it does has an effect from then on.
    fn kill(process: &Process) {
        *lock(&process.dead) = true;
        process.store.set_down(true);
    }

    /// Puts a new process in the place of one, which may go on running.
    pub fn replace(&self, index: usize, kill: bool, random: &mut SmallRng) {
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
