//! Waiting requests of one service and model, ordered by tier, then fairly
//! between workspaces, then by deadline.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    fair::{self, Item},
    id, time,
};

/// A priority queue by tier that is fair between the workspaces of each tier.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    tiers: BTreeMap<id::Tier, fair::Queue>,
    items: BTreeMap<id::Request, (id::Tier, Item)>,
    deadlines: BTreeSet<(time::Instant, id::Request)>,
}

impl Queue {
    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Adds a request.
    ///
    /// # Panics
    ///
    /// Panics if the request waits already.
    pub fn push(&mut self, tier: id::Tier, item: Item) {
        self.tiers.entry(tier).or_default().push(&item);
        self.deadlines.insert((item.deadline, item.id));
        let previous = self.items.insert(item.id, (tier, item));
        assert!(previous.is_none(), "the request is already in the queue");
    }

    /// Returns the request to be served next and its tier.
    #[must_use]
    pub fn peek(&self) -> Option<(id::Tier, id::Request)> {
        let (&tier, fair) = self.tiers.first_key_value()?;
        fair.peek().map(|request| (tier, request))
    }

    /// Removes the request to be served next.
    pub fn pop(&mut self) -> Option<(id::Tier, Item)> {
        let (&tier, fair) = self.tiers.iter_mut().next()?;
        let request = fair.pop()?;
        self.drop_empty_tier(tier);
        self.remove_from_indexes(request)
    }

    /// Removes a request without serving it; returns `None` if it does not wait.
    pub fn remove(&mut self, request: id::Request) -> Option<(id::Tier, Item)> {
        let (tier, item) = self.remove_from_indexes(request)?;
        if let Some(fair) = self.tiers.get_mut(&tier) {
            fair.remove(&item);
        }
        self.drop_empty_tier(tier);
        Some((tier, item))
    }

    /// Returns the request to evict first, which is of the lowest waiting tier.
    #[must_use]
    pub fn victim(&self) -> Option<(id::Tier, id::Request)> {
        let (&tier, fair) = self.tiers.last_key_value()?;
        fair.victim().map(|request| (tier, request))
    }

    /// Returns the waiting requests, earliest deadline first.
    pub fn by_deadline(&self) -> impl Iterator<Item = (time::Instant, id::Request)> {
        self.deadlines.iter().copied()
    }

    /// Returns an upper bound of the tokens that are served before a new request.
    #[must_use]
    pub fn tokens_ahead(&self, tier: id::Tier, workspace: &id::Workspace, share: u32) -> u64 {
        let mut tokens = 0;
        for fair in self.tiers.range(..tier).map(|(_, fair)| fair) {
            tokens += fair.tokens();
        }
        let same_tier = self.tiers.get(&tier);
        tokens + same_tier.map_or(0, |fair| fair.tokens_ahead(workspace, share))
    }

    /// Returns the waiting tokens and requests of every tier.
    pub fn backlog(&self) -> impl Iterator<Item = (id::Tier, u64, usize)> {
        let tiers = self.tiers.iter();
        tiers.map(|(&tier, fair)| (tier, fair.tokens(), fair.len()))
    }

    /// Returns the identifiers of all waiting requests.
    #[must_use]
    pub fn requests(&self) -> Vec<id::Request> {
        self.items.keys().copied().collect()
    }

    /// Removes a request from the indexes by identifier and by deadline.
    fn remove_from_indexes(&mut self, request: id::Request) -> Option<(id::Tier, Item)> {
        let (tier, item) = self.items.remove(&request)?;
        self.deadlines.remove(&(item.deadline, request));
        Some((tier, item))
    }

    /// Drops the queue of a tier without waiting requests.
    fn drop_empty_tier(&mut self, tier: id::Tier) {
        if self.tiers.get(&tier).is_some_and(fair::Queue::is_empty) {
            self.tiers.remove(&tier);
        }
    }
}
