//! Carries out the effects of the decision core that do not answer a waiting
//! request: probes, messages to peers and quarantine marks, which are
//! fingerprints of suspected requests (`dottereltally_lib::quarantine`).

use std::sync::{Arc, OnceLock};

use dottereltally_lib::{
    event::{self, Event},
    id, quarantine,
};

use prometheus_client::{metrics::counter::Counter, registry::Registry};

use crate::{
    address::Book,
    dispatcher::{Handle, Sender, Sink},
    membership, observer,
    peer::{self, Peers},
};

/// Carries out the effects through the other parts of the node.
pub struct Executor {
    /// Addresses of the endpoints to probe.
    pub book: Book,
    /// Sends admission messages to the peers.
    pub peers: peer::Handle,
    /// Membership protocol, which gossips the quarantine marks; set once it runs.
    /// Earlier marks are not gossiped.
    pub membership: Arc<OnceLock<membership::Handle>>,
    /// Counts the fingerprints that the core asked to gossip.
    pub quarantine_marks: Counter,
}

impl Executor {
    /// Registers the counter.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "quarantine_marks",
            "Marks of requests in flight at an endpoint's death that were spread",
            self.quarantine_marks.clone(),
        );
    }
}

impl Sink for Executor {
    fn probe(&self, dispatcher: &Sender, endpoint: id::Endpoint) {
        let address = self.book.get(&endpoint);
        let dispatcher = dispatcher.clone();
        tokio::spawn(async move {
            let answers = match address {
                Some(address) => observer::probe(&address).await,
                None => false,
            };
            dispatcher.send(Event::Probed(endpoint, answers));
        });
    }

    fn quarantine(&self, fingerprint: id::Fingerprint) {
        self.quarantine_marks.inc();
        if let Some(membership) = self.membership.get() {
            membership.quarantine(fingerprint, quarantine::MARK_TTL);
        }
    }

    fn send(&self, node: id::Node, message: event::Message) {
        self.peers.send(&node, message);
    }
}
