//! Which nodes are live, and the updates that they pass on.
//!
//! Each period a node exchanges beats with a few random peers. A peer that
//! does not answer is suspected; the suspicion travels as an update, and the peer
//! refutes it with a higher version of itself or is dropped. The caller
//! hands in the time and what arrives, and performs the effects.

pub mod beat;
mod choice;
mod gossip;
mod intake;
mod table;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    endpoint, id,
    membership::{
        beat::{Beat, Member, State},
        gossip::{Queue, Topic},
        table::Table,
    },
    time::Instant,
};

/// Periods after which an exchange without a result is forgotten.
const PENDING_PERIODS: u32 = 20;
/// Periods without a round after which this process counts as paused.
const PAUSE_PERIODS: u32 = 4;

/// How the exchanges are paced.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time between two rounds.
    pub period: Duration,
    /// Peers per round.
    pub fan_out: usize,
    /// Least time for a suspected node to refute.
    pub suspicion: Duration,
    /// Further time to refute, per doubling of the number of nodes.
    pub suspicion_step: Duration,
    /// Time that a node which is not live is remembered.
    pub retention: Duration,
    /// Updates per beat.
    pub updates: usize,
    /// Rounds, on average, between two attempts to reach a node that is
    /// listed and not live.
    pub reconnect: u32,
    /// Expected number of nodes that try a newly suspected node themselves.
    pub confirmations: usize,
    /// Least time between two exchanges of everything that is known.
    pub resync: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(500),
            fan_out: 2,
            suspicion: Duration::from_millis(800),
            suspicion_step: Duration::from_millis(400),
            retention: Duration::from_mins(10),
            updates: 64,
            reconnect: 8,
            confirmations: 3,
            resync: Duration::from_secs(5),
        }
    }
}

/// One entry host of the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Name of its node.
    pub node: id::Node,
    /// Where peers reach it, `ip:port`.
    pub address: String,
    /// Whether it stays.
    pub standing: endpoint::Standing,
}

/// One thing to be done by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Exchange beats with a node and hand in the answer or the failure.
    Exchange {
        /// The node.
        node: id::Node,
        /// Where it is reached.
        address: String,
        /// What to send.
        beat: Beat,
    },
    /// These nodes are live now, this one included.
    Members(Vec<Member>),
    /// Fingerprints of crashing requests came from a peer.
    Suspected(Vec<(id::Fingerprint, Duration)>),
    /// A peer has a higher generation in force.
    Outdated(id::Node, id::Generation),
}

/// The membership as one node sees it.
#[derive(Debug)]
pub struct Membership {
    settings: Settings,
    own: Member,
    generation: id::Generation,
    table: Table,
    gossip: Queue,
    hosts: BTreeMap<id::Node, Host>,
    fingerprints: BTreeMap<id::Fingerprint, Instant>,
    confirm: BTreeSet<id::Node>,
    disputed: BTreeMap<id::Node, Member>,
    announced: Option<Vec<Member>>,
    pending: BTreeMap<id::Node, Instant>,
    ticked: Instant,
    resynced: Instant,
    changed: bool,
    rng: SmallRng,
}

impl Membership {
    /// Starts with this node alone; `own` is its word on itself.
    #[must_use]
    pub fn new(settings: Settings, own: Member, now: Instant, seed: u64) -> Self {
        Self {
            settings,
            own,
            generation: id::Generation::default(),
            table: Table::default(),
            gossip: Queue::default(),
            hosts: BTreeMap::new(),
            fingerprints: BTreeMap::new(),
            confirm: BTreeSet::new(),
            disputed: BTreeMap::new(),
            announced: None,
            pending: BTreeMap::new(),
            ticked: now,
            resynced: now,
            changed: true,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces what the host list says.
    pub fn listed(&mut self, hosts: Vec<Host>) -> Vec<Effect> {
        self.hosts.clear();
        for host in hosts {
            self.hosts.insert(host.node.clone(), host);
        }
        self.changed = true;
        self.settle(Vec::new())
    }

    /// Learns the generation that this node has in force.
    pub fn set_generation(&mut self, generation: id::Generation) {
        self.generation = generation;
    }

    /// Passes on a fingerprint of a crashing request.
    pub fn quarantine(&mut self, now: Instant, fingerprint: id::Fingerprint, valid: Duration) {
        self.fingerprints.insert(fingerprint, now + valid);
        self.gossip.push(Topic::Fingerprint(fingerprint));
    }

    /// Tells the peers that this node shuts down.
    pub fn leave(&mut self, now: Instant) -> Vec<Effect> {
        if self.own.state != State::Left {
            self.own.state = State::Left;
            self.own.version += 1;
            self.changed = true;
        }
        self.spread(now)
    }

    /// Passes updates on ahead of the next round.
    pub fn spread(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (node, address) in self.choose(2 * self.settings.fan_out) {
            effects.push(self.exchange(now, node, address, false));
        }
        self.settle(effects)
    }

    /// Starts a round; called once a period.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        self.notice_pause(now);
        self.expire(now);
        let mut effects = Vec::new();
        let mut targets = self.choose(self.settings.fan_out);
        targets.extend(self.choose_unverified());
        let alone = targets.is_empty();
        for (node, address) in targets {
            effects.push(self.exchange(now, node, address, false));
        }
        let extra = if alone {
            self.settings.fan_out
        } else {
            usize::from(self.rng.random_ratio(1, self.settings.reconnect.max(1)))
        };
        for (node, address) in self.choose_lost(extra) {
            effects.push(self.exchange(now, node, address, true));
        }
        self.settle(effects)
    }

    /// Takes a peer's beat and returns the answer.
    pub fn request(&mut self, now: Instant, beat: &Beat) -> (Beat, Vec<Effect>) {
        let known = self.is_live(&beat.sender.node);
        let mut effects = Vec::new();
        self.take(now, beat, &mut effects);
        let astray = beat.digest != self.table.digest(&self.own)
            && self.gossip.is_empty()
            && now.since(self.resynced) >= self.settings.resync;
        let whole = beat.whole || !known || astray;
        let answer = self.beat(now, &beat.sender.node, whole);
        (answer, self.settle(effects))
    }

    /// Takes a peer's answer.
    pub fn answered(&mut self, now: Instant, beat: &Beat) -> Vec<Effect> {
        self.pending.remove(&beat.sender.node);
        let mut effects = Vec::new();
        self.take(now, beat, &mut effects);
        self.settle(effects)
    }

    /// Learns that a node did not answer.
    pub fn failed(&mut self, now: Instant, node: &id::Node) -> Vec<Effect> {
        if self.pending.remove(node).is_none() {
            return Vec::new();
        }
        let Some(record) = self.table.get(node) else {
            return Vec::new();
        };
        if record.member.state == State::Alive {
            let mut member = record.member.clone();
            member.state = State::Suspect;
            self.merge(now, &member);
        }
        self.settle(Vec::new())
    }

    /// Returns where the nodes are reached that have not been dropped, those
    /// that are leaving included.
    #[must_use]
    pub fn addresses(&self) -> Vec<(id::Node, String)> {
        let mut addresses = Vec::new();
        for record in self.table.records() {
            if record.member.state == State::Dropped {
                continue;
            }
            addresses.push((record.member.node.clone(), record.member.address.clone()));
        }
        addresses
    }

    /// Returns the nodes that are live, this one included unless it leaves.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        let mut members = Vec::new();
        if self.own.state == State::Alive {
            members.push(self.own.clone());
        }
        for record in self.table.records() {
            if record.member.is_live() && !self.is_leaving(&record.member.node) {
                members.push(record.member.clone());
            }
        }
        members
    }

    /// Returns this node's word on itself.
    #[must_use]
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns what is known of another node.
    #[must_use]
    pub fn known(&self, node: &id::Node) -> Option<&Member> {
        Some(&self.table.get(node)?.member)
    }

    fn is_live(&self, node: &id::Node) -> bool {
        self.table
            .get(node)
            .is_some_and(|record| record.member.is_live())
    }

    fn is_leaving(&self, node: &id::Node) -> bool {
        self.hosts
            .get(node)
            .is_some_and(|host| host.standing == endpoint::Standing::Leaving)
    }

    /// Gives every running suspicion its full time again if this process was
    /// stopped for a while, since it could not hear any refutation.
    fn notice_pause(&mut self, now: Instant) {
        let gap = now.since(self.ticked);
        self.ticked = now;
        if gap >= self.settings.retention {
            self.table.clear();
            self.changed = true;
        }
        if gap > self.settings.period * PAUSE_PERIODS {
            self.table.restart_suspicions(now);
            self.pending.clear();
        }
    }

    fn expire(&mut self, now: Instant) {
        let doublings = gossip::doublings(self.table.len());
        let span = self.settings.suspicion + self.settings.suspicion_step * doublings;
        let dropped = self.table.drop_suspects(now, span);
        self.changed |= dropped > 0;
        self.table.forget(now, self.settings.retention);
        let fingerprints = &mut self.fingerprints;
        fingerprints.retain(|_, until| *until > now);
        let limit = self.settings.period * PENDING_PERIODS;
        self.pending
            .retain(|_, started| now.since(*started) < limit);
    }

    fn exchange(&mut self, now: Instant, node: id::Node, address: String, whole: bool) -> Effect {
        let beat = self.beat(now, &node, whole);
        self.pending.insert(node.clone(), now);
        Effect::Exchange {
            node,
            address,
            beat,
        }
    }

    /// Builds a beat for a node; `whole` puts everything in that is known.
    fn beat(&mut self, now: Instant, to: &id::Node, whole: bool) -> Beat {
        let nodes = self.table.len() + 1;
        let topics = self.gossip.take(self.settings.updates, nodes);
        let mut members = Vec::new();
        let mut suspects = Vec::new();
        for topic in topics {
            match topic {
                Topic::Member(node) => members.extend(self.update_on(&node, to, whole)),
                Topic::Fingerprint(fingerprint) if !whole => {
                    suspects.extend(self.fingerprint(now, fingerprint));
                }
                Topic::Fingerprint(_) => {}
            }
        }
        if whole {
            self.resynced = now;
            for record in self.table.records() {
                members.push(record.member.clone());
            }
            for fingerprint in self.fingerprints.keys() {
                suspects.extend(self.fingerprint(now, *fingerprint));
            }
        } else if let Some(record) = self.table.get(to)
            && record.member.state != State::Alive
        {
            members.push(record.member.clone());
        }
        members.extend(self.disputed.remove(to));
        Beat {
            sender: self.own.clone(),
            generation: self.generation,
            digest: self.table.digest(&self.own),
            whole,
            members,
            suspects,
        }
    }

    /// Returns the update on a node for one beat, unless it goes in anyway.
    fn update_on(&self, node: &id::Node, to: &id::Node, whole: bool) -> Option<Member> {
        if whole || node == to {
            return None;
        }
        Some(self.table.get(node)?.member.clone())
    }

    fn fingerprint(
        &self,
        now: Instant,
        fingerprint: id::Fingerprint,
    ) -> Option<(id::Fingerprint, Duration)> {
        let until = self.fingerprints.get(&fingerprint)?;
        Some((fingerprint, until.since(now)))
    }

    /// Adds the members if they have changed since they were last announced.
    fn settle(&mut self, mut effects: Vec<Effect>) -> Vec<Effect> {
        if !std::mem::take(&mut self.changed) {
            return effects;
        }
        let members = self.members();
        let mut announced = members.clone();
        for member in &mut announced {
            // Neither a suspicion nor its refutation changes who is live.
            member.state = State::Alive;
            member.version = 0;
        }
        if self.announced.as_ref() != Some(&announced) {
            self.announced = Some(announced);
            effects.push(Effect::Members(members));
        }
        effects
    }
}
