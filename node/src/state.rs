//! State of the node for its status page.

use std::sync::Arc;

use crate::{
    address::Book,
    dispatcher, membership,
    operations::{Source, Status},
    rules,
    settings::Settings,
    shutdown::Phase,
};

/// Tells whether the platform answers.
pub type Platform = Arc<dyn Fn() -> bool + Send + Sync>;

/// The parts of the node that the status page tells of.
pub struct State {
    /// Its settings.
    pub settings: Settings,
    /// The rules in force.
    pub rules: rules::Receiver,
    /// The endpoints.
    pub book: Book,
    /// The decision core.
    pub dispatcher: dispatcher::Sender,
    /// The live nodes.
    pub membership: membership::Handle,
    /// Whether the platform answers.
    pub platform: Platform,
    /// Whether the node is shutting down.
    pub phase: Phase,
}

impl Source for State {
    async fn status(&self) -> Status {
        let generation = self.rules.borrow().as_ref().map(|rules| rules.generation);
        let mut peers = Vec::new();
        for member in self.membership.members().await {
            if member.node != self.settings.node {
                peers.push(member.node);
            }
        }
        let view = self.dispatcher.view().await;
        Status {
            node: self.settings.node.clone(),
            data_centre: self.settings.data_centre.clone(),
            generation: generation.unwrap_or_default(),
            draining: self.phase.is_announced(),
            platform: (self.platform)(),
            peers,
            services: view.services,
            endpoints: view.endpoints,
        }
    }

    fn is_ready(&self) -> bool {
        let configured = self.rules.borrow().is_some();
        configured && self.book.is_read() && !self.phase.is_announced()
    }
}
