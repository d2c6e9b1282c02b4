//! A node's side: has its home decide, and notices when it can't.

use std::{
    cell::Cell,
    collections::HashMap,
    net::{AddrParseError, SocketAddr},
    rc::Rc,
    time::Duration,
};

use capnp::Error;
use dottereltally::clock::Clock;
use dottereltally_lib::id;
use dottereltally_proto::gateway_capnp::desk;
use tokio::{
    select,
    sync::{mpsc, watch},
    task::JoinSet,
    time::{Instant, MissedTickBehavior, interval, sleep, timeout},
};

use crate::{
    admission::{self, Order},
    beat::{length, write_held},
    directory::Node,
    exchange,
    home::wire,
};

/// Time for a connection and for the first answer; the way there and back
/// within a data centre takes a millisecond.
const OPEN: Duration = Duration::from_millis(400);

/// Time without a word from the home, while requests wait there, after which
/// it is asked whether it lives.
const QUIET: Duration = Duration::from_millis(150);

/// Time for the answer to that question; a request on time has some hundred
/// milliseconds in all.
const LIFE_SIGN: Duration = Duration::from_millis(250);

/// Time between two looks at the home.
const TICK: Duration = Duration::from_millis(50);

/// Nodes of the order that are tried; while all of a data centre start, none is
/// ready, and a node decides alone as well.
const CANDIDATES: usize = 3;

/// Time for which a home that failed is passed over.
const PASS_OVER: Duration = Duration::from_secs(1);

/// Why a home does not decide any more.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// It can't be asked.
    #[error(transparent)]
    Unreachable(#[from] exchange::Failure),
    /// Its address can't be read.
    #[error("unreadable address: {0}; run the same version on all nodes")]
    Address(#[from] AddrParseError),
    /// Another node is the home now.
    #[error("another node is the home")]
    Replaced,
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        exchange::Failure::from(error).into()
    }
}

/// A node's side of the delegation.
pub struct Link {
    own: id::Node,
    admission: admission::Handle,
    clock: Clock,
    /// The nodes of the data centre, the home first.
    homes: watch::Receiver<Vec<Node>>,
    /// Homes that failed lately, and until when they are passed over.
    passed_over: HashMap<id::Node, Instant>,
}

impl Link {
    /// Builds a link; nothing is opened yet.
    #[must_use]
    pub fn new(
        own: id::Node,
        admission: admission::Handle,
        clock: Clock,
        homes: watch::Receiver<Vec<Node>>,
    ) -> Self {
        Self {
            own,
            admission,
            clock,
            homes,
            passed_over: HashMap::new(),
        }
    }

    /// Keeps the node linked to its home for ever; needs a local task set.
    pub async fn run(mut self) {
        loop {
            let now = Instant::now();
            self.passed_over.retain(|_, until| *until > now);
            let Some(home) = self.home() else {
                // This node is the home, or the others failed for now.
                select! {
                    changed = self.homes.changed() => if changed.is_err() {
                        return;
                    },
                    () = sleep(PASS_OVER) => {}
                }
                continue;
            };
            if let Err(failure) = self.follow(&home).await {
                tracing::info!(home = %home.name, cause = %failure, "this node decides itself");
                if !matches!(failure, Failure::Replaced) {
                    let until = Instant::now() + PASS_OVER;
                    self.passed_over.insert(home.name, until);
                }
            }
        }
    }

    /// Returns the home, unless it is this node.
    fn home(&self) -> Option<Node> {
        let now = Instant::now();
        let homes = self.homes.borrow();
        let mut homes = homes.iter().take(CANDIDATES);
        let home = homes.find(|node| {
            let until = self.passed_over.get(&node.name);
            until.is_none_or(|until| *until <= now)
        })?;
        (home.name != self.own).then(|| home.clone())
    }

    /// Has a home decide until it fails or another one takes its place.
    async fn follow(&self, home: &Node) -> Result<(), Failure> {
        let address: SocketAddr = home.calls.parse()?;
        let silent = |_| exchange::Failure::Silent;
        let connecting = timeout(OPEN, exchange::connect(address));
        let connection = connecting.await.map_err(silent)??;
        let mut open = connection.client.open_request();
        open.get().set_node(self.own.as_str());
        let held = self.admission.reclaim();
        write_held(&held, open.get().init_held(length(held.len())));
        let opening = timeout(OPEN, open.send().promise);
        let desk = opening.await.map_err(silent)??;
        let desk = desk.get()?.get_desk()?;
        tracing::info!(home = %home.name, %address, "home decides for this node");
        let (orders, queue) = mpsc::unbounded_channel();
        self.admission.delegate(Some(orders));
        let ended = self.pass(home, &desk, queue).await;
        self.admission.delegate(None);
        ended
    }

    /// Passes orders on.
    async fn pass(
        &self,
        home: &Node,
        desk: &desk::Client,
        mut queue: mpsc::UnboundedReceiver<Order>,
    ) -> Result<(), Failure> {
        let mut calls: JoinSet<Result<(), Error>> = JoinSet::new();
        let watch = Rc::new(Watch::default());
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            select! {
                biased;
                Some(ended) = calls.join_next() => if let Ok(ended) = ended {
                    ended?;
                },
                order = queue.recv() => match order {
                    Some(order) => self.call(desk, order, &watch, &mut calls),
                    None => return Err(Failure::Replaced),
                },
                _ = ticks.tick() => {
                    if self.home().is_none_or(|best| best.name != home.name) {
                        return Err(Failure::Replaced);
                    }
                    if watch.is_silent() {
                        return Err(exchange::Failure::Silent.into());
                    }
                    if watch.is_due() {
                        watch.asked.set(Some(Instant::now()));
                        let answer = desk.ping_request().send().promise;
                        let watch = Rc::clone(&watch);
                        calls.spawn_local(async move {
                            answer.await?;
                            watch.hear();
                            Ok(())
                        });
                    }
                }
            }
        }
    }

    fn call(
        &self,
        desk: &desk::Client,
        order: Order,
        watch: &Rc<Watch>,
        calls: &mut JoinSet<Result<(), Error>>,
    ) {
        match order {
            Order::Admit(request, ask, reply) => {
                let mut message = desk.admit_request();
                message.get().set_request(request.0);
                wire::write_ask(&ask, self.clock.now(), message.get().init_ask());
                let answer = message.send().promise;
                let watch = Rc::clone(watch);
                watch.waiting.set(watch.waiting.get() + 1);
                calls.spawn_local(async move {
                    let answer = answer.await?;
                    watch.waiting.set(watch.waiting.get().saturating_sub(1));
                    watch.hear();
                    let decision = wire::read_decision(answer.get()?.get_decision()?)?;
                    // The caller may have left meanwhile.
                    let _left = reply.send(decision);
                    Ok(())
                });
            }
            Order::Start(request) => {
                let mut message = desk.start_request();
                message.get().set_request(request.0);
                let answer = message.send().promise;
                calls.spawn_local(async move { answer.await.map(|_| ()) });
            }
            Order::End(request, outcome) => {
                let mut message = desk.end_request();
                message.get().set_request(request.0);
                wire::write_outcome(outcome, message.get());
                let answer = message.send().promise;
                calls.spawn_local(async move { answer.await.map(|_| ()) });
            }
        }
    }
}

/// Tells whether the home lives.
struct Watch {
    /// Requests that wait for its decision.
    waiting: Cell<usize>,
    heard: Cell<Instant>,
    /// When it was asked for a sign of life that has not come.
    asked: Cell<Option<Instant>>,
}

impl Default for Watch {
    fn default() -> Self {
        Self {
            waiting: Cell::new(0),
            heard: Cell::new(Instant::now()),
            asked: Cell::new(None),
        }
    }
}

impl Watch {
    fn hear(&self) {
        self.heard.set(Instant::now());
        self.asked.set(None);
    }

    fn is_due(&self) -> bool {
        self.waiting.get() > 0 && self.asked.get().is_none() && self.heard.get().elapsed() >= QUIET
    }

    fn is_silent(&self) -> bool {
        let asked = self.asked.get();
        asked.is_some_and(|asked| asked.elapsed() >= LIFE_SIGN)
    }
}
