//! Queue of the updates that are still to be gossiped.

use std::collections::BTreeMap;

use crate::id;

/// Times that an update is sent, per doubling of the number of nodes.
const SENDS_PER_DOUBLING: u32 = 2;

/// An update to gossip, by its subject; the content is looked up on sending.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Update {
    /// The state of a node.
    Member(id::Node),
    /// The fingerprint of a crashing request.
    Fingerprint(id::Fingerprint),
}

/// Queued updates with the number of times that each was sent.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    sends: BTreeMap<Update, u32>,
}

impl Queue {
    /// Queues an update; the count of one that is queued already is reset.
    pub fn push(&mut self, update: Update) {
        self.sends.insert(update, 0);
    }

    /// Returns whether no update is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    /// Returns up to `limit` updates, least often sent first, and counts one more
    /// send of each. Updates that were sent often enough for `nodes` nodes are
    /// removed.
    pub fn take(&mut self, limit: usize, nodes: usize) -> Vec<Update> {
        let mut order = Vec::new();
        for (update, sent) in &self.sends {
            order.push((*sent, update));
        }
        order.sort_unstable();
        order.truncate(limit);
        let mut chosen = Vec::new();
        for (_, update) in order {
            chosen.push(update.clone());
        }
        let max_sends = max_sends(nodes);
        for update in &chosen {
            let Some(sent) = self.sends.get_mut(update) else {
                continue;
            };
            *sent += 1;
            if *sent >= max_sends {
                self.sends.remove(update);
            }
        }
        chosen
    }
}

/// Returns how often a node sends an update among `nodes` nodes.
fn max_sends(nodes: usize) -> u32 {
    SENDS_PER_DOUBLING * (doublings(nodes) + 1)
}

/// Returns the number of bits of `nodes`, its rounded-down base-2 logarithm
/// plus one; zero for zero.
pub fn doublings(nodes: usize) -> u32 {
    usize::BITS - nodes.leading_zeros()
}
