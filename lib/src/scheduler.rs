//! The decision core: takes events and returns effects.

use std::{collections::BTreeMap, sync::Arc};

use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    affinity,
    backlog::Backlog,
    balance::{Context, Policy},
    configuration,
    effect::Effect,
    event::Event,
    fleet::{Fleet, Slot},
    flight::{InFlight, Waiting},
    id,
    isolation::Isolation,
    quarantine::Marks,
    time,
};

/// Properties of the node that a core decides for.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The node's own name.
    pub node: id::Node,
    /// The node's data centre.
    pub data_centre: id::DataCentre,
    /// Seed of every random choice.
    pub seed: u64,
    /// How the node chooses endpoints.
    pub policy: Policy,
}

impl Settings {
    /// Returns the inputs of a choice other than the endpoints.
    pub(crate) fn context(&self, now: time::Instant, nodes: usize) -> Context<'_> {
        Context {
            now,
            policy: self.policy,
            nodes: u64::try_from(nodes).unwrap_or(u64::MAX).max(1),
            data_centre: &self.data_centre,
        }
    }
}

/// The decision core of one node.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) settings: Settings,
    /// The configuration in force; `None` until the first one was received.
    pub(crate) configuration: Option<Arc<configuration::Configuration>>,
    pub(crate) fleet: Fleet,
    pub(crate) backlogs: BTreeMap<id::Service, Backlog>,
    /// Waiting requests, queued in `backlogs` or in `isolation`.
    pub(crate) waiting: BTreeMap<id::Request, Waiting>,
    /// Admitted requests that have not ended.
    pub(crate) in_flight: BTreeMap<id::Request, InFlight>,
    pub(crate) prefixes: affinity::Index,
    pub(crate) isolation: Isolation,
    pub(crate) marks: Marks,
    /// Last death of each endpoint that died recently.
    pub(crate) deaths: BTreeMap<Slot, time::Instant>,
    /// Recent deaths, ascribed to the network, at which each request was in flight.
    pub(crate) unmarked_deaths: BTreeMap<id::Fingerprint, BTreeMap<id::Endpoint, time::Instant>>,
    /// The live nodes, this one included, with their data centres.
    pub(crate) members: Vec<(id::Node, id::DataCentre)>,
    pub(crate) rng: SmallRng,
    /// Number of choices made by the round-robin policy.
    pub(crate) round_robin_turn: u64,
    /// Whether the node is shutting down.
    pub(crate) draining: bool,
    /// Effects of the current event, returned by [`Scheduler::handle`].
    pub(crate) effects: Vec<Effect>,
}

impl Scheduler {
    /// Creates a core without a configuration, endpoints or peers.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let rng = SmallRng::seed_from_u64(settings.seed);
        Self {
            settings,
            configuration: None,
            fleet: Fleet::default(),
            backlogs: BTreeMap::new(),
            waiting: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            prefixes: affinity::Index::default(),
            isolation: Isolation::default(),
            marks: Marks::default(),
            deaths: BTreeMap::new(),
            unmarked_deaths: BTreeMap::new(),
            members: Vec::new(),
            rng,
            round_robin_turn: 0,
            draining: false,
            effects: Vec::new(),
        }
    }

    /// Handles one event and returns the effects to be carried out.
    ///
    /// # Panics
    ///
    /// Panics if an invariant is broken: a request identifier that is used
    /// twice, a wrong count of tokens or requests in flight, or a refusal for
    /// overload while a lower tier waits for the same service.
    pub fn handle(&mut self, now: time::Instant, event: Event) -> Vec<Effect> {
        match event {
            Event::Configured(configuration) => self.configure(now, configuration),
            Event::Listed(records) => self.replace_endpoints(now, records),
            Event::Reported(endpoint, load) => self.record_load(now, &endpoint, load),
            Event::Cached(endpoint, cache) => self.record_cache_change(&endpoint, &cache),
            Event::Arrived(request, profile) => self.arrive(now, request, profile),
            Event::Withdrawn(request) => self.withdraw(now, request),
            Event::Unsent(request) => self.requeue_unsent(now, request),
            Event::Started(request) => self.record_first_byte(now, request),
            Event::Progressed(request, tokens) => self.record_progress(now, request, tokens),
            Event::Ended(request, outcome) => self.record_end(now, request, outcome),
            Event::Probed(endpoint, answered) => self.record_probe(now, &endpoint, answered),
            Event::Suspected(marks) => self.apply_marks(now, marks),
            // No policy sends messages of the admission protocol yet.
            Event::Peer(..) => {}
            Event::Members(members) => self.set_members(members),
            Event::Draining => self.draining = true,
            Event::Tick => self.tick(now),
        }
        std::mem::take(&mut self.effects)
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of admitted requests that have not ended.
    #[must_use]
    pub fn running(&self) -> usize {
        self.in_flight.len()
    }
}
