//! The state of the node that its status and readiness pages show.

use std::sync::Arc;

use crate::{
    address::Book,
    dispatcher, membership,
    operations::{Source, Status},
    rules,
    settings::Settings,
    shutdown::Phase,
};

/// Returns whether the key-value service is available, as far as this node knows.
pub type Availability = Arc<dyn Fn() -> bool + Send + Sync>;

/// Handles to the parts of the node whose state the pages show.
pub struct State {
    /// Settings of the node.
    pub settings: Settings,
    /// The rules in force.
    pub rules: rules::Receiver,
    /// Addresses of the endpoints.
    pub book: Book,
    /// Provides the decision core's view of services and endpoints.
    pub dispatcher: dispatcher::Sender,
    /// Provides the live nodes.
    pub membership: membership::Handle,
    /// Whether the key-value service is available.
    pub is_platform_available: Availability,
    /// Phase of the shutdown.
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
            platform: (self.is_platform_available)(),
            peers,
            services: view.services,
            endpoints: view.endpoints,
        }
    }

    fn is_ready(&self) -> bool {
        let configured = self.rules.borrow().is_some();
        configured && self.book.is_loaded() && !self.phase.is_announced()
    }
}
