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

/// How long an endpoint that refused a connection is avoided.
pub const AVOID_PERIOD: Duration = Duration::from_secs(1);

/// Tiers of the operators' text at the most.
pub const TIERS: usize = 4;

/// Position of an endpoint in the table; stable while the endpoint is in use.
pub type Slot = usize;

/// Returns the index of a tier.
#[must_use]
pub fn rank(tier: id::Tier) -> usize {
    usize::from(tier.0).min(TIERS - 1)
}

/// Whether an endpoint is trusted to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It answers.
    Sound,
    /// A probe since then has not come back.
    Probing(time::Instant),
    /// It did not answer a probe; the next one is due then.
    Dead(time::Instant),
}

/// One endpoint.
#[derive(Clone, Debug)]
pub struct Member {
    /// What the host list says.
    pub record: Record,
    /// Hash of its name.
    pub key: u64,
    /// Whether the host list names it.
    pub listed: bool,
    /// What it last said of its load.
    pub load: Option<Load>,
    /// Tokens that this node has in flight there.
    pub own: u64,
    /// The same by tier, the highest first.
    pub by_tier: [u64; TIERS],
    /// Prompt tokens of this node that wait for their first token there.
    pub pending: u64,
    /// Requests that this node has in flight there.
    pub requests: u32,
    /// Tokens of the other nodes, by the last report.
    pub others: u64,
    /// Tokens that it may hold.
    pub window: Window,
    /// Whether it is trusted to answer.
    pub health: Health,
    /// It gets nothing before this time.
    pub avoided_until: time::Instant,
    /// The request that has it for itself.
    pub reserved: Option<id::Request>,
    /// Fingerprints of requests whose connection broke, until a probe decides.
    pub broken: BTreeSet<id::Fingerprint>,
}

impl Member {
    fn new(record: Record, window: u64) -> Self {
        Self {
            key: xxh3::xxh3_64(record.id.as_str().as_bytes()),
            record,
            listed: true,
            load: None,
            own: 0,
            by_tier: [0; TIERS],
            pending: 0,
            requests: 0,
            others: 0,
            window: Window::new(window),
            health: Health::Sound,
            avoided_until: time::Instant::default(),
            reserved: None,
            broken: BTreeSet::new(),
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

    /// Returns whether it leaves, by the host list or by its own word.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        let said = self.load.as_ref().map(|load| load.standing);
        self.record.standing == Standing::Leaving || said == Some(Standing::Leaving)
    }

    /// Returns whether new work may go there now.
    #[must_use]
    pub fn is_open(&self, now: time::Instant) -> bool {
        self.health == Health::Sound && self.avoided_until <= now && self.reserved.is_none()
    }

    /// Returns whether the model is loaded, as far as the endpoint says.
    #[must_use]
    pub fn has_loaded(&self, model: Option<&id::Model>) -> bool {
        let (Some(model), Some(load)) = (model, &self.load) else {
            return true;
        };
        load.models.is_empty() || load.models.contains(model)
    }

    /// Returns the tokens that this node holds there for this tier and those
    /// above it.
    #[must_use]
    pub fn held(&self, tier: id::Tier) -> u64 {
        self.by_tier[..=rank(tier)].iter().sum()
    }

    /// Returns the tokens that the last report gives.
    #[must_use]
    pub fn reported(&self) -> u64 {
        self.load.as_ref().map_or(0, |load| load.tokens.0)
    }
}

/// All endpoints, by position, name and service.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    members: Vec<Option<Member>>,
    free: Vec<Slot>,
    names: BTreeMap<id::Endpoint, Slot>,
    services: BTreeMap<id::Service, Vec<Slot>>,
}

impl Fleet {
    /// Takes over a host list; `window` gives the window of a service.
    ///
    /// Returns the positions that became free.
    pub fn replace(
        &mut self,
        records: Vec<Record>,
        window: impl Fn(&id::Service) -> u64,
    ) -> Vec<Slot> {
        let mut gone: BTreeSet<Slot> = self.names.values().copied().collect();
        for record in records {
            let Some(&slot) = self.names.get(&record.id) else {
                let tokens = window(&record.service);
                self.insert(Member::new(record, tokens));
                continue;
            };
            gone.remove(&slot);
            let Some(member) = self.get_mut(slot) else {
                continue;
            };
            member.listed = true;
            if member.record.address != record.address {
                member.health = Health::Sound;
                member.load = None;
            }
            member.record = record;
        }
        let mut freed = Vec::new();
        for slot in gone {
            if self.retire(slot) {
                freed.push(slot);
            }
        }
        self.index();
        freed
    }

    /// Returns the endpoint at this position.
    #[must_use]
    pub fn get(&self, slot: Slot) -> Option<&Member> {
        self.members.get(slot)?.as_ref()
    }

    /// Returns the endpoint at this position for a change.
    pub fn get_mut(&mut self, slot: Slot) -> Option<&mut Member> {
        self.members.get_mut(slot)?.as_mut()
    }

    /// Returns the position of a named endpoint.
    #[must_use]
    pub fn find(&self, name: &id::Endpoint) -> Option<Slot> {
        self.names.get(name).copied()
    }

    /// Returns the positions of a service's endpoints.
    #[must_use]
    pub fn of_service(&self, service: &id::Service) -> &[Slot] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns all positions in use.
    #[must_use]
    pub fn slots(&self) -> Vec<Slot> {
        self.names.values().copied().collect()
    }

    /// Frees the position of an endpoint that is neither listed nor in use;
    /// false if it is.
    pub fn release(&mut self, slot: Slot) -> bool {
        let idle = |member: &Member| !member.listed && member.requests == 0;
        if !self.get(slot).is_some_and(idle) {
            return false;
        }
        if let Some(member) = self.members[slot].take() {
            self.names.remove(&member.record.id);
            self.free.push(slot);
        }
        self.index();
        true
    }

    fn insert(&mut self, member: Member) {
        let name = member.record.id.clone();
        let slot = self.free.pop().unwrap_or(self.members.len());
        if slot == self.members.len() {
            self.members.push(None);
        }
        self.members[slot] = Some(member);
        self.names.insert(name, slot);
    }

    fn retire(&mut self, slot: Slot) -> bool {
        if let Some(member) = self.get_mut(slot) {
            member.listed = false;
        }
        self.release(slot)
    }

    fn index(&mut self) {
        self.services.clear();
        for &slot in self.names.values() {
            let Some(member) = &self.members[slot] else {
                continue;
            };
            let service = member.record.service.clone();
            self.services.entry(service).or_default().push(slot);
        }
    }
}
