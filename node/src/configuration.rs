//! Keeps the configuration with the highest known generation in force.
//!
//! A configuration comes from a watch on the key-value service, from a
//! periodic read of it, or from a peer that has a higher generation in force.
//! From any source, it is accepted only if its generation is higher than the
//! one in force and its text is valid.

mod controller;
mod counters;
mod source;

use std::sync::Arc;

use dottereltally_lib::{configuration, id};
use dottereltally_store::layout;
use tokio::sync::watch;

pub use controller::{Arguments, Controller, Message};
pub use counters::Counters;

/// The configuration in force.
#[derive(Clone, Debug)]
pub struct Current {
    /// The stored record.
    pub record: layout::Configuration,
    /// The record's text, parsed and validated.
    pub configuration: Arc<configuration::Configuration>,
}

/// Reads the configuration in force, none until one is known, and waits for
/// changes.
pub type Receiver = watch::Receiver<Option<Arc<Current>>>;

/// The configuration in force and the highest generation that a peer has
/// reported; clones share them.
#[derive(Clone, Default)]
pub struct Handle {
    current: Arc<watch::Sender<Option<Arc<Current>>>>,
    reported: Arc<watch::Sender<id::Generation>>,
}

impl Handle {
    /// Returns a receiver of the configuration in force.
    #[must_use]
    pub fn receiver(&self) -> Receiver {
        self.current.subscribe()
    }

    /// Returns the generation in force, zero if there is none.
    #[must_use]
    pub fn generation(&self) -> id::Generation {
        let current = self.current.borrow();
        current
            .as_ref()
            .map_or_else(id::Generation::default, |current| current.record.generation)
    }

    /// Returns the configuration in force if its generation is higher than
    /// `above`.
    #[must_use]
    pub fn record_above(&self, above: id::Generation) -> Option<layout::Configuration> {
        let current = self.current.borrow();
        let record = &current.as_ref()?.record;
        (record.generation > above).then(|| record.clone())
    }

    /// Records a generation that a peer has in force, so that its configuration
    /// is fetched if the generation is higher than this node's.
    pub fn note_generation(&self, generation: id::Generation) {
        self.reported.send_if_modified(|reported| {
            let is_higher = generation > *reported;
            if is_higher {
                *reported = generation;
            }
            is_higher
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
