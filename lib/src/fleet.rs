//! The table of endpoints.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use xxhash_rust::xxh3;

use crate::{
    endpoint::{Load, Record, Standing},
    id, time,
    window::Window,
};

/// Time for which an endpoint that refused a connection or a request gets no
/// new work.
pub const AVOID_PERIOD: Duration = Duration::from_secs(1);

/// Most tiers that the configuration can name.
pub const MAX_TIERS: usize = 4;

/// Index of an endpoint in the table; stable while the endpoint is listed or
/// serves a request.
pub type Slot = usize;

/// Returns the index of a tier in per-tier arrays, the highest tier first.
#[must_use]
pub fn tier_index(tier: id::Tier) -> usize {
    usize::from(tier.0).min(MAX_TIERS - 1)
}

/// Whether an endpoint is known to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It answers.
    Healthy,
    /// A probe was sent at this time and has no result yet.
    Probing(time::Instant),
    /// It did not answer a probe; the next probe is due at this time.
    Dead(time::Instant),
}

/// One endpoint and what this node knows of it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its entry in the host list.
    pub record: Record,
    /// Hash of its name.
    pub name_hash: u64,
    /// Whether the current host list names it.
    pub listed: bool,
    /// Its last load report; `None` before the first.
    pub load: Option<Load>,
    /// Tokens that this node has in flight there.
    pub own_tokens: u64,
    /// Tokens that this node has in flight there by tier, the highest first.
    pub own_tokens_by_tier: [u64; MAX_TIERS],
    /// Uncached prompt tokens of this node's requests there that have no first
    /// token yet.
    pub pending_prompt_tokens: u64,
    /// Requests that this node has in flight there.
    pub own_requests: u32,
    /// Tokens that other nodes have in flight there, by its last load report.
    pub other_tokens: u64,
    /// Limit of the tokens that this node may have in flight there.
    pub window: Window,
    /// Whether it is known to answer.
    pub health: Health,
    /// Time before which it gets no new work.
    pub avoided_until: time::Instant,
    /// The suspect request that it is reserved for, if any.
    pub reserved: Option<id::Request>,
    /// Fingerprints of the requests whose connection broke, until a probe shows
    /// whether the endpoint is dead.
    pub broken_fingerprints: BTreeSet<id::Fingerprint>,
}

impl Endpoint {
    fn new(record: Record, window: u64) -> Self {
        Self {
            name_hash: xxh3::xxh3_64(record.id.as_str().as_bytes()),
            record,
            listed: true,
            load: None,
            own_tokens: 0,
            own_tokens_by_tier: [0; MAX_TIERS],
            pending_prompt_tokens: 0,
            own_requests: 0,
            other_tokens: 0,
            window: Window::new(window),
            health: Health::Healthy,
            avoided_until: time::Instant::default(),
            reserved: None,
            broken_fingerprints: BTreeSet::new(),
        }
    }

    /// Returns whether the endpoint can serve the model, now or after a
    /// pending probe.
    #[must_use]
    pub fn is_usable(&self, model: Option<&id::Model>) -> bool {
        self.listed
            && !self.is_leaving()
            && !matches!(self.health, Health::Dead(_))
            && self.has_loaded(model)
    }

    /// Returns whether the host list or its load report says that it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        let reported = self.load.as_ref().map(|load| load.standing);
        self.record.standing == Standing::Leaving || reported == Some(Standing::Leaving)
    }

    /// Returns whether it is healthy and neither avoided nor reserved.
    #[must_use]
    pub fn is_open(&self, now: time::Instant) -> bool {
        self.health == Health::Healthy && self.avoided_until <= now && self.reserved.is_none()
    }

    /// Returns whether the model is loaded; true if the endpoint doesn't report
    /// its models.
    #[must_use]
    pub fn has_loaded(&self, model: Option<&id::Model>) -> bool {
        let (Some(model), Some(load)) = (model, &self.load) else {
            return true;
        };
        load.models.is_empty() || load.models.contains(model)
    }

    /// Returns the tokens that this node has in flight there for this tier and
    /// those above it.
    #[must_use]
    pub fn own_tokens_at_or_above(&self, tier: id::Tier) -> u64 {
        self.own_tokens_by_tier[..=tier_index(tier)].iter().sum()
    }

    /// Returns the tokens of its last load report, zero without one.
    #[must_use]
    pub fn reported_tokens(&self) -> u64 {
        self.load.as_ref().map_or(0, |load| load.tokens.0)
    }
}

/// All endpoints, by slot, name and service.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    endpoints: Vec<Option<Endpoint>>,
    free_slots: Vec<Slot>,
    slots_by_name: BTreeMap<id::Endpoint, Slot>,
    slots_by_service: BTreeMap<id::Service, Vec<Slot>>,
}

impl Fleet {
    /// Replaces the host list; `window` returns the configured window of a
    /// service.
    ///
    /// Returns the slots that became free.
    pub fn replace(
        &mut self,
        records: Vec<Record>,
        window: impl Fn(&id::Service) -> u64,
    ) -> Vec<Slot> {
        let mut unlisted: BTreeSet<Slot> = self.slots_by_name.values().copied().collect();
        for record in records {
            let Some(&slot) = self.slots_by_name.get(&record.id) else {
                let tokens = window(&record.service);
                self.insert(Endpoint::new(record, tokens));
                continue;
            };
            unlisted.remove(&slot);
            let Some(endpoint) = self.get_mut(slot) else {
                continue;
            };
            endpoint.listed = true;
            if endpoint.record.address != record.address {
                endpoint.health = Health::Healthy;
                endpoint.load = None;
            }
            endpoint.record = record;
        }
        let mut freed = Vec::new();
        for slot in unlisted {
            if self.unlist(slot) {
                freed.push(slot);
            }
        }
        self.rebuild_service_index();
        freed
    }

    /// Returns the endpoint in this slot.
    #[must_use]
    pub fn get(&self, slot: Slot) -> Option<&Endpoint> {
        self.endpoints.get(slot)?.as_ref()
    }

    /// Returns a mutable reference to the endpoint in this slot.
    pub fn get_mut(&mut self, slot: Slot) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(slot)?.as_mut()
    }

    /// Returns the slot of a named endpoint.
    #[must_use]
    pub fn find(&self, name: &id::Endpoint) -> Option<Slot> {
        self.slots_by_name.get(name).copied()
    }

    /// Returns the slots of a service's endpoints.
    #[must_use]
    pub fn of_service(&self, service: &id::Service) -> &[Slot] {
        self.slots_by_service
            .get(service)
            .map_or(&[], Vec::as_slice)
    }

    /// Returns all slots in use.
    #[must_use]
    pub fn slots(&self) -> Vec<Slot> {
        self.slots_by_name.values().copied().collect()
    }

    /// Frees the slot if its endpoint is no longer listed and serves no request;
    /// returns whether it was freed.
    pub fn release(&mut self, slot: Slot) -> bool {
        let is_unused = |endpoint: &Endpoint| !endpoint.listed && endpoint.own_requests == 0;
        if !self.get(slot).is_some_and(is_unused) {
            return false;
        }
        if let Some(endpoint) = self.endpoints[slot].take() {
            self.slots_by_name.remove(&endpoint.record.id);
            self.free_slots.push(slot);
        }
        self.rebuild_service_index();
        true
    }

    fn insert(&mut self, endpoint: Endpoint) {
        let name = endpoint.record.id.clone();
        let slot = self.free_slots.pop().unwrap_or(self.endpoints.len());
        if slot == self.endpoints.len() {
            self.endpoints.push(None);
        }
        self.endpoints[slot] = Some(endpoint);
        self.slots_by_name.insert(name, slot);
    }

    /// Marks an endpoint as no longer listed; returns whether its slot was freed.
    fn unlist(&mut self, slot: Slot) -> bool {
        if let Some(endpoint) = self.get_mut(slot) {
            endpoint.listed = false;
        }
        self.release(slot)
    }

    /// Rebuilds the index by service.
    fn rebuild_service_index(&mut self) {
        self.slots_by_service.clear();
        for &slot in self.slots_by_name.values() {
            let Some(endpoint) = &self.endpoints[slot] else {
                continue;
            };
            let service = endpoint.record.service.clone();
            self.slots_by_service.entry(service).or_default().push(slot);
        }
    }
}
