//! Gossip-based membership: which nodes are live, and the updates that they
//! spread.
//!
//! Each period a node exchanges heartbeats with a few random peers. A peer that
//! does not answer becomes a suspect; the suspicion is gossiped, and the peer
//! either refutes it by raising its version or is dropped after a timeout. The
//! state machine performs no I/O: the caller passes in the time and the
//! received messages, and carries out the returned effects.

mod gossip;
pub mod heartbeat;
mod merge;
mod selection;
mod table;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    endpoint, id,
    membership::{
        gossip::{Queue, Update},
        heartbeat::{Heartbeat, Member, State},
        table::Table,
    },
    time::Instant,
};

/// Periods after which an exchange without a result is abandoned.
const EXCHANGE_TIMEOUT_PERIODS: u32 = 20;
/// Periods without a tick after which this process is taken to have been
/// paused.
const PAUSE_THRESHOLD_PERIODS: u32 = 4;

/// Intervals, timeouts and sizes of the protocol.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time between two rounds.
    pub period: Duration,
    /// Random live peers contacted per round.
    pub fan_out: usize,
    /// Suspicion timeout before `suspicion_timeout_step` is added.
    pub suspicion_timeout: Duration,
    /// Added to the suspicion timeout per doubling of the number of nodes.
    pub suspicion_timeout_step: Duration,
    /// Time that the record of a node that is not live is kept.
    pub retention: Duration,
    /// Maximum number of queued updates per heartbeat.
    pub max_updates: usize,
    /// Average number of rounds between two attempts to reach a node that is
    /// in the host list but not live.
    pub reconnect_rounds: u32,
    /// Expected number of nodes that contact a newly suspected node themselves.
    pub confirmations: usize,
    /// Minimum time between two exchanges of the full state.
    pub min_resync_interval: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(500),
            fan_out: 2,
            suspicion_timeout: Duration::from_millis(800),
            suspicion_timeout_step: Duration::from_millis(400),
            retention: Duration::from_mins(10),
            max_updates: 64,
            reconnect_rounds: 8,
            confirmations: 3,
            min_resync_interval: Duration::from_secs(5),
        }
    }
}

/// One entry host of the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Name of the node that runs on the host.
    pub node: id::Node,
    /// Peer address of the node, `ip:port`.
    pub address: String,
    /// Whether the host list marks the node as live or as leaving.
    pub standing: endpoint::Standing,
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a heartbeat to a node and report its answer with
    /// [`Membership::handle_answer`] or a failure with
    /// [`Membership::handle_failure`].
    Exchange {
        /// The target node.
        node: id::Node,
        /// Its peer address.
        address: String,
        /// The heartbeat to send.
        heartbeat: Heartbeat,
    },
    /// The set of live nodes has changed to these, the local node included.
    Members(Vec<Member>),
    /// A peer sent fingerprints of crashing requests, each with its remaining
    /// validity.
    Fingerprints(Vec<(id::Fingerprint, Duration)>),
    /// This peer has a higher configuration generation in force.
    NewerGeneration(id::Node, id::Generation),
}

/// Membership state machine of one node.
#[derive(Debug)]
pub struct Membership {
    settings: Settings,
    local: Member,
    generation: id::Generation,
    table: Table,
    gossip: Queue,
    hosts: BTreeMap<id::Node, Host>,
    /// Fingerprints of crashing requests, with the expiry of each.
    fingerprints: BTreeMap<id::Fingerprint, Instant>,
    /// Nodes that this node contacts itself in the next round, because their
    /// state is in doubt.
    to_probe: BTreeSet<id::Node>,
    /// Reports that a node was dropped which this node does not accept; sent to
    /// the node itself so that it can refute them.
    disputed: BTreeMap<id::Node, Member>,
    /// Members of the last [`Effect::Members`], without suspicions and versions.
    last_announced: Option<Vec<Member>>,
    /// Nodes with a running exchange, and when it started.
    pending: BTreeMap<id::Node, Instant>,
    last_tick: Instant,
    /// When the full state was last sent or received.
    last_resync: Instant,
    /// Whether the live members may have changed since they were announced.
    members_changed: bool,
    rng: SmallRng,
}

impl Membership {
    /// Creates a membership that knows only the local node.
    #[must_use]
    pub fn new(settings: Settings, local: Member, now: Instant, seed: u64) -> Self {
        Self {
            settings,
            local,
            generation: id::Generation::default(),
            table: Table::default(),
            gossip: Queue::default(),
            hosts: BTreeMap::new(),
            fingerprints: BTreeMap::new(),
            to_probe: BTreeSet::new(),
            disputed: BTreeMap::new(),
            last_announced: None,
            pending: BTreeMap::new(),
            last_tick: now,
            last_resync: now,
            members_changed: true,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces the host list.
    pub fn set_hosts(&mut self, hosts: Vec<Host>) -> Vec<Effect> {
        self.hosts.clear();
        for host in hosts {
            self.hosts.insert(host.node.clone(), host);
        }
        self.members_changed = true;
        self.with_members(Vec::new())
    }

    /// Sets the configuration generation that this node has in force.
    pub fn set_generation(&mut self, generation: id::Generation) {
        self.generation = generation;
    }

    /// Gossips the fingerprint of a crashing request, which stays valid for the
    /// given time.
    pub fn gossip_fingerprint(
        &mut self,
        now: Instant,
        fingerprint: id::Fingerprint,
        valid: Duration,
    ) {
        self.fingerprints.insert(fingerprint, now + valid);
        self.gossip.push(Update::Fingerprint(fingerprint));
    }

    /// Announces to peers that this node is shutting down.
    pub fn leave(&mut self, now: Instant) -> Vec<Effect> {
        if self.local.state != State::Left {
            self.local.state = State::Left;
            self.local.version += 1;
            self.members_changed = true;
        }
        self.gossip_now(now)
    }

    /// Sends queued updates now instead of waiting for the next round.
    pub fn gossip_now(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (node, address) in self.choose_live(2 * self.settings.fan_out) {
            effects.push(self.exchange(now, node, address, false));
        }
        self.with_members(effects)
    }

    /// Runs one gossip round; call it once per period.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        self.detect_pause(now);
        self.expire(now);
        let mut effects = Vec::new();
        let mut targets = self.choose_live(self.settings.fan_out);
        targets.extend(self.choose_to_probe());
        let isolated = targets.is_empty();
        for (node, address) in targets {
            effects.push(self.exchange(now, node, address, false));
        }
        let reconnects = if isolated {
            self.settings.fan_out
        } else {
            usize::from(
                self.rng
                    .random_ratio(1, self.settings.reconnect_rounds.max(1)),
            )
        };
        for (node, address) in self.choose_unreachable_hosts(reconnects) {
            effects.push(self.exchange(now, node, address, true));
        }
        self.with_members(effects)
    }

    /// Handles a heartbeat that a peer sent and returns the answer to it.
    pub fn handle_request(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
    ) -> (Heartbeat, Vec<Effect>) {
        let known = self.is_live(&heartbeat.sender.node);
        let mut effects = Vec::new();
        self.merge_heartbeat(now, heartbeat, &mut effects);
        let diverged = heartbeat.digest != self.table.digest(&self.local)
            && self.gossip.is_empty()
            && now.since(self.last_resync) >= self.settings.min_resync_interval;
        let full_state = heartbeat.full_state || !known || diverged;
        let answer = self.build_heartbeat(now, &heartbeat.sender.node, full_state);
        (answer, self.with_members(effects))
    }

    /// Handles a peer's answer to a heartbeat of this node.
    pub fn handle_answer(&mut self, now: Instant, heartbeat: &Heartbeat) -> Vec<Effect> {
        self.pending.remove(&heartbeat.sender.node);
        let mut effects = Vec::new();
        self.merge_heartbeat(now, heartbeat, &mut effects);
        self.with_members(effects)
    }

    /// Handles an exchange in which the peer did not answer: the peer becomes a
    /// suspect if it was alive.
    pub fn handle_failure(&mut self, now: Instant, node: &id::Node) -> Vec<Effect> {
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
        self.with_members(Vec::new())
    }

    /// Returns the peer addresses of all other known nodes that have not been
    /// dropped, including nodes that are leaving.
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

    /// Returns the live nodes, without those that the host list marks as
    /// leaving; the local node is included unless it is leaving.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        let mut members = Vec::new();
        if self.local.state == State::Alive {
            members.push(self.local.clone());
        }
        for record in self.table.records() {
            if record.member.is_live() && !self.is_leaving(&record.member.node) {
                members.push(record.member.clone());
            }
        }
        members
    }

    /// Returns the local node.
    #[must_use]
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// Returns what is known about another node.
    #[must_use]
    pub fn member(&self, node: &id::Node) -> Option<&Member> {
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

    /// Restarts the timeout of every suspicion if this process was paused,
    /// because it could not receive refutations in that time. After a pause of
    /// the retention time all records are discarded.
    fn detect_pause(&mut self, now: Instant) {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap >= self.settings.retention {
            self.table.clear();
            self.members_changed = true;
        }
        if gap > self.settings.period * PAUSE_THRESHOLD_PERIODS {
            self.table.restart_suspicions(now);
            self.pending.clear();
        }
    }

    fn expire(&mut self, now: Instant) {
        let doublings = gossip::doublings(self.table.len());
        let timeout =
            self.settings.suspicion_timeout + self.settings.suspicion_timeout_step * doublings;
        let dropped = self.table.drop_expired_suspects(now, timeout);
        self.members_changed |= dropped > 0;
        self.table.remove_expired(now, self.settings.retention);
        let fingerprints = &mut self.fingerprints;
        fingerprints.retain(|_, until| *until > now);
        let limit = self.settings.period * EXCHANGE_TIMEOUT_PERIODS;
        self.pending
            .retain(|_, started| now.since(*started) < limit);
    }

    fn exchange(
        &mut self,
        now: Instant,
        node: id::Node,
        address: String,
        full_state: bool,
    ) -> Effect {
        let heartbeat = self.build_heartbeat(now, &node, full_state);
        self.pending.insert(node.clone(), now);
        Effect::Exchange {
            node,
            address,
            heartbeat,
        }
    }

    /// Builds a heartbeat for a node, with the full state or with queued updates.
    fn build_heartbeat(&mut self, now: Instant, to: &id::Node, full_state: bool) -> Heartbeat {
        let nodes = self.table.len() + 1;
        let updates = self.gossip.take(self.settings.max_updates, nodes);
        let mut members = Vec::new();
        let mut fingerprints = Vec::new();
        for update in updates {
            match update {
                Update::Member(node) => members.extend(self.member_update(&node, to, full_state)),
                Update::Fingerprint(fingerprint) if !full_state => {
                    fingerprints.extend(self.fingerprint_update(now, fingerprint));
                }
                Update::Fingerprint(_) => {}
            }
        }
        if full_state {
            self.last_resync = now;
            for record in self.table.records() {
                members.push(record.member.clone());
            }
            for fingerprint in self.fingerprints.keys() {
                fingerprints.extend(self.fingerprint_update(now, *fingerprint));
            }
        } else if let Some(record) = self.table.get(to)
            && record.member.state != State::Alive
        {
            members.push(record.member.clone());
        }
        members.extend(self.disputed.remove(to));
        Heartbeat {
            sender: self.local.clone(),
            generation: self.generation,
            digest: self.table.digest(&self.local),
            full_state,
            members,
            fingerprints,
        }
    }

    /// Returns the update about a node for a heartbeat, or none if the
    /// heartbeat contains the full state or goes to that node.
    fn member_update(&self, node: &id::Node, to: &id::Node, full_state: bool) -> Option<Member> {
        if full_state || node == to {
            return None;
        }
        Some(self.table.get(node)?.member.clone())
    }

    /// Returns a fingerprint with its remaining validity.
    fn fingerprint_update(
        &self,
        now: Instant,
        fingerprint: id::Fingerprint,
    ) -> Option<(id::Fingerprint, Duration)> {
        let until = self.fingerprints.get(&fingerprint)?;
        Some((fingerprint, until.since(now)))
    }

    /// Appends [`Effect::Members`] if the live members have changed since they
    /// were last announced.
    fn with_members(&mut self, mut effects: Vec<Effect>) -> Vec<Effect> {
        if !std::mem::take(&mut self.members_changed) {
            return effects;
        }
        let members = self.members();
        let mut announced = members.clone();
        for member in &mut announced {
            // Suspicions and their refutations do not change the set of live nodes.
            member.state = State::Alive;
            member.version = 0;
        }
        if self.last_announced.as_ref() != Some(&announced) {
            self.last_announced = Some(announced);
            effects.push(Effect::Members(members));
        }
        effects
    }
}
