//! An in-memory network between the peers.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dottereltally::{
    peer::{self, Peers, Status},
    replay::Attempts,
};
use dottereltally_lib::{event, id};
use dottereltally_store::layout;
use rand::{Rng, rngs::SmallRng};
use tokio::time;

/// Time after which an unanswered request to a peer fails.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

struct Inner {
    /// Attempts of the process that each node's name is routed to.
    nodes: BTreeMap<id::Node, Attempts>,
    random: SmallRng,
    /// Probability that a request or a response is lost.
    loss_rate: f64,
}

/// The network between the nodes; clones share it.
#[derive(Clone)]
pub struct Network(Arc<Mutex<Inner>>);

impl Network {
    /// Builds a network that loses each message with the probability `loss_rate`.
    pub fn new(random: SmallRng, loss_rate: f64) -> Self {
        Self(Arc::new(Mutex::new(Inner {
            nodes: BTreeMap::new(),
            random,
            loss_rate,
        })))
    }

    /// Routes a node's name to the attempts of a process, or makes the node
    /// unreachable.
    pub fn route(&self, node: &id::Node, attempts: Option<Attempts>) {
        let nodes = &mut self.lock().nodes;
        match attempts {
            Some(attempts) => nodes.insert(node.clone(), attempts),
            None => nodes.remove(node),
        };
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Draws whether a message is lost, and its delay otherwise.
    fn draw(&self) -> (bool, Duration) {
        let mut inner = self.lock();
        let loss_rate = inner.loss_rate;
        let lost = inner.random.random_bool(loss_rate);
        let delay = Duration::from_micros(inner.random.random_range(100..20_000));
        (lost, delay)
    }
}

impl Peers for Network {
    async fn attempt_status(
        &self,
        node: &id::Node,
        claim: &str,
        token: &str,
    ) -> Result<Status, peer::Error> {
        let unreachable = || peer::Error::Unreachable {
            node: node.clone(),
            cause: "lost".to_owned(),
        };
        let (lost, delay) = self.draw();
        if lost {
            time::sleep(REQUEST_TIMEOUT).await;
            return Err(unreachable());
        }
        time::sleep(delay).await;
        let attempts = self.lock().nodes.get(node).cloned();
        let Some(attempts) = attempts else {
            return Err(peer::Error::NotLive(node.clone()));
        };
        let status = attempts.status(claim, token);
        let (lost, delay) = self.draw();
        if lost {
            time::sleep(REQUEST_TIMEOUT).await;
            return Err(unreachable());
        }
        time::sleep(delay).await;
        Ok(status)
    }

    async fn configuration(&self, _above: id::Generation) -> Option<layout::Configuration> {
        None
    }

    fn send(&self, _node: &id::Node, _message: event::Message) {}
}
