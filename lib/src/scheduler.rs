//! The decision core: events in, effects out.

use std::sync::Arc;

use crate::{effect, event, id, text, time};

/// What a core needs to know of its own node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node's own name.
    pub node: id::Node,
    /// The node's data centre.
    pub data_centre: id::DataCentre,
    /// Seed of every random choice.
    pub seed: u64,
}

/// The decision core of one node.
#[derive(Debug)]
pub struct Scheduler {
    settings: Settings,
    text: Option<Arc<text::Text>>,
}

impl Scheduler {
    /// Builds a core that knows nothing but its own node.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            text: None,
        }
    }

    /// Takes one event and returns what has to be done about it.
    pub fn handle(&mut self, now: time::Instant, event: event::Event) -> Vec<effect::Effect> {
        let _ = (now, &self.settings, &self.text, event);
        Vec::new()
    }
}
