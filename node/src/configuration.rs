//! Keeps the highest configuration that is known in force.
//!
//! A configuration comes from a watch of the key-value service, from a
//! periodic read of it, or from a peer that has a higher generation. Only a
//! higher generation with a valid text is taken, whatever the source.

mod controller;
mod counters;
mod source;

use std::sync::Arc;

use dottereltally_lib::{id, text};
use dottereltally_store::layout;
use tokio::sync::watch;

pub use controller::{Arguments, Controller, Message};
pub use counters::Counters;

/// A configuration in force.
#[derive(Clone, Debug)]
pub struct Current {
    /// As stored.
    pub record: layout::Configuration,
    /// Its checked text.
    pub text: Arc<text::Text>,
}

/// Reads the configuration in force and waits for the next.
pub type Receiver = watch::Receiver<Option<Arc<Current>>>;

/// The configuration in force and the highest generation that is known of;
/// clones share them.
#[derive(Clone, Default)]
pub struct Handle {
    current: Arc<watch::Sender<Option<Arc<Current>>>>,
    known: Arc<watch::Sender<id::Generation>>,
}

impl Handle {
    /// Returns a receiver of the configuration in force.
    #[must_use]
    pub fn receiver(&self) -> Receiver {
        self.current.subscribe()
    }

    /// Returns the generation in force, zero for none.
    #[must_use]
    pub fn generation(&self) -> id::Generation {
        let current = self.current.borrow();
        current
            .as_ref()
            .map_or_else(id::Generation::default, |current| current.record.generation)
    }

    /// Returns the configuration in force if it is above this generation.
    #[must_use]
    pub fn newer(&self, above: id::Generation) -> Option<layout::Configuration> {
        let current = self.current.borrow();
        let record = &current.as_ref()?.record;
        (record.generation > above).then(|| record.clone())
    }

    /// Learns that a peer has a higher generation in force.
    pub fn outdated(&self, generation: id::Generation) {
        self.known.send_if_modified(|known| {
            let higher = generation > *known;
            if higher {
                *known = generation;
            }
            higher
        });
    }

    /// Puts a configuration in force.
    ///
    /// # Panics
    ///
    /// Panics if its generation is not above the one in force.
    fn publish(&self, current: Current) {
        let generation = current.record.generation;
        self.current.send_modify(|slot| {
            let old = slot.as_ref().map(|old| old.record.generation);
            assert!(
                old < Some(generation),
                "generation {generation} would replace {old:?}"
            );
            *slot = Some(Arc::new(current));
        });
    }
}
