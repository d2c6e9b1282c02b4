//! Which updates are still to be passed on.

use std::collections::BTreeMap;

use crate::id;

/// Times that an update is sent, per doubling of the number of nodes.
const SENDS_PER_DOUBLING: u32 = 2;

/// What an update is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// A node.
    Member(id::Node),
    /// A crashing request.
    Fingerprint(id::Fingerprint),
}

/// Updates with the number of times that each was sent.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    sent: BTreeMap<Topic, u32>,
}

impl Queue {
    /// Queues an update; one that is queued already starts anew.
    pub fn push(&mut self, topic: Topic) {
        self.sent.insert(topic, 0);
    }

    /// Returns whether nothing is left to be passed on.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }

    /// Returns up to `limit` updates, those sent least often first, and counts
    /// them as sent once more to one of `nodes` nodes.
    pub fn take(&mut self, limit: usize, nodes: usize) -> Vec<Topic> {
        let mut order = Vec::new();
        for (topic, sent) in &self.sent {
            order.push((*sent, topic));
        }
        order.sort_unstable();
        order.truncate(limit);
        let mut taken = Vec::new();
        for (_, topic) in order {
            taken.push(topic.clone());
        }
        let bound = bound(nodes);
        for topic in &taken {
            let Some(sent) = self.sent.get_mut(topic) else {
                continue;
            };
            *sent += 1;
            if *sent >= bound {
                self.sent.remove(topic);
            }
        }
        taken
    }
}

/// Returns how often an update is sent among so many nodes.
fn bound(nodes: usize) -> u32 {
    SENDS_PER_DOUBLING * (doublings(nodes) + 1)
}

/// Returns how often one node has to double to make up so many.
pub fn doublings(nodes: usize) -> u32 {
    usize::BITS - nodes.leading_zeros()
}
