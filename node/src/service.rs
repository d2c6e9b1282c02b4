//! Handles the requests and messages of peers.

use std::sync::OnceLock;

use dottereltally_lib::{
    event::{self, Event},
    id,
};
use dottereltally_store::layout;

use crate::{
    configuration,
    dispatcher::{Handle, Sender},
    peer::{self, Status},
    replay::Attempts,
};

/// Answers peers from the state of this node.
pub struct Service {
    configuration: configuration::Handle,
    attempts: Attempts,
    dispatcher: OnceLock<Sender>,
}

impl Service {
    /// Builds the service; admission messages are dropped until
    /// [`set_dispatcher`](Self::set_dispatcher) is called.
    #[must_use]
    pub fn new(configuration: configuration::Handle, attempts: Attempts) -> Self {
        Self {
            configuration,
            attempts,
            dispatcher: OnceLock::new(),
        }
    }

    /// Sets the dispatcher that receives admission messages.
    pub fn set_dispatcher(&self, dispatcher: Sender) {
        // Already set: the process has only one dispatcher.
        let _ = self.dispatcher.set(dispatcher);
    }
}

impl peer::Service for Service {
    fn attempt_status(&self, claim: &str, token: &str) -> Status {
        self.attempts.status(claim, token)
    }

    fn configuration(&self, above: id::Generation) -> Option<layout::Configuration> {
        self.configuration.record_above(above)
    }

    fn generation(&self) -> id::Generation {
        self.configuration.generation()
    }

    fn note_generation(&self, generation: id::Generation) {
        self.configuration.note_generation(generation);
    }

    fn admission(&self, sender: id::Node, message: event::Message) {
        if let Some(dispatcher) = self.dispatcher.get() {
            dispatcher.send(Event::Peer(sender, message));
        }
    }
}
