//! Checks invariants of the core in random sequences of events, some of which are
//! late, reordered or repeated.

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use dottereltally_lib::{
    balance::Policy,
    effect::Effect,
    endpoint::{Cache, Change, Standing},
    event::{Event, Outcome},
    id,
    refusal::Reason,
    request::Profile,
    scheduler::{Scheduler, Settings},
    size::Tokens,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use support::{at, configuration, load, profile, record};

/// Number of events in one run.
const EVENTS: u64 = 4000;

/// State of a request according to the effects that its caller has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Waiting,
    Running,
    Ended,
}

/// One random sequence of events and the expected states of its requests.
struct Run {
    rng: SmallRng,
    core: Scheduler,
    /// Virtual time in milliseconds.
    now: u64,
    states: BTreeMap<u64, State>,
    tiers: BTreeMap<u64, u8>,
    /// Endpoints that are listed as leaving or not listed.
    leaving: BTreeSet<id::Endpoint>,
    admissions: u64,
    refusals: u64,
}

impl Run {
    fn new(seed: u64) -> Self {
        let core = Scheduler::new(Settings {
            node: "n0".into(),
            data_centre: "a".into(),
            seed,
            policy: Policy::TwoChoices,
        });
        Self {
            rng: SmallRng::seed_from_u64(seed),
            core,
            now: 0,
            states: BTreeMap::new(),
            tiers: BTreeMap::new(),
            leaving: BTreeSet::new(),
            admissions: 0,
            refusals: 0,
        }
    }

    /// Hands an event to the core, updates the expected states from the effects
    /// and compares them with the core's counts.
    fn handle(&mut self, event: Event) {
        let effects = self.core.handle(at(self.now), event);
        let mut probes = Vec::new();
        for effect in effects {
            match effect {
                Effect::Admit(request, endpoint) => {
                    let state = self.states.insert(request.0, State::Running);
                    assert_eq!(state, Some(State::Waiting), "request {request}");
                    assert!(!self.leaving.contains(&endpoint), "{endpoint} is leaving");
                    self.admissions += 1;
                }
                Effect::Refuse(request, refusal) => {
                    let state = self.states.insert(request.0, State::Ended);
                    assert_eq!(state, Some(State::Waiting), "request {request}");
                    assert!(!refusal.retry_after.is_zero());
                    self.refusals += 1;
                    if refusal.reason == Reason::Overload {
                        self.check_overload(request.0);
                    }
                }
                Effect::Probe(endpoint) => probes.push(endpoint),
                Effect::Quarantine(_) | Effect::Send(..) => {}
            }
        }
        let count = |state| self.states.values().filter(|each| **each == state).count();
        assert_eq!(self.core.waiting(), count(State::Waiting));
        assert_eq!(self.core.running(), count(State::Running));
        for endpoint in probes {
            let answered = self.rng.random_bool(0.7);
            if self.rng.random_bool(0.9) {
                self.now += 1;
                self.handle(Event::Probed(endpoint, answered));
            }
        }
    }

    /// Checks that no request of a lower tier waits when a request is refused
    /// for overload.
    fn check_overload(&self, request: u64) {
        for (other, state) in &self.states {
            let lower = self.tiers[other] > self.tiers[&request];
            assert!(
                *state != State::Waiting || !lower,
                "{other} waits, {request} is refused"
            );
        }
    }

    /// Returns a random request in this state.
    fn pick(&mut self, state: State) -> Option<u64> {
        let of_state = self.states.iter().filter(|(_, each)| **each == state);
        let requests: Vec<u64> = of_state.map(|(request, _)| *request).collect();
        if requests.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..requests.len());
        Some(requests[index])
    }

    fn arrive(&mut self, request: u64) {
        let tier = self.rng.random_range(0..4);
        let wanted = Profile {
            tier: id::Tier(tier),
            workspace: format!("w{}", self.rng.random_range(0..7)).into(),
            deadline: at(self.now + self.rng.random_range(0..20_000)),
            received: at(self.now),
            prompt: Tokens(self.rng.random_range(1..3000)),
            output: Tokens(self.rng.random_range(1..2000)),
            prefixes: (0..self.rng.random_range(0..6)).map(id::Prefix).collect(),
            fingerprint: id::Fingerprint(self.rng.random_range(0..400)),
            ..profile(0, 1, 1)
        };
        self.states.insert(request, State::Waiting);
        self.tiers.insert(request, tier);
        self.handle(Event::Arrived(id::Request(request), Arc::new(wanted)));
    }

    fn end(&mut self, request: u64) {
        let answered = Outcome::Answered {
            cached: Tokens(0),
            output: Tokens(50),
        };
        let outcomes = [
            answered,
            answered,
            answered,
            Outcome::Cancelled,
            Outcome::Rejected,
            Outcome::Broken,
            Outcome::Stalled,
        ];
        let outcome = outcomes[self.rng.random_range(0..outcomes.len())];
        self.states.insert(request, State::Ended);
        self.handle(Event::Ended(id::Request(request), outcome));
    }

    /// Replaces the host list by a random one.
    fn list(&mut self) {
        self.leaving.clear();
        let mut records = Vec::new();
        for number in 0..6 {
            if self.rng.random_bool(0.15) {
                self.leaving.insert(format!("e{number}").into());
                continue;
            }
            let mut listed = record(&format!("e{number}"), "llm");
            if self.rng.random_bool(0.15) {
                listed.standing = Standing::Leaving;
                self.leaving.insert(listed.id.clone());
            }
            records.push(listed);
        }
        self.handle(Event::Listed(records));
    }

    /// Handles a random event; an arrival gets `number` as its request.
    fn step(&mut self, number: u64) {
        self.now += self.rng.random_range(0..40);
        let endpoint = id::Endpoint::from(format!("e{}", self.rng.random_range(0..7)));
        let any = id::Request(self.rng.random_range(0..=number));
        match self.rng.random_range(0..100) {
            0..40 => self.arrive(number),
            40..60 => {
                if let Some(request) = self.pick(State::Running) {
                    self.end(request);
                }
            }
            60..65 => {
                if let Some(request) = self.pick(State::Running) {
                    self.states.insert(request, State::Waiting);
                    self.handle(Event::Unsent(id::Request(request)));
                }
            }
            65..70 => {
                if let Some(request) = self.pick(State::Waiting) {
                    self.states.insert(request, State::Ended);
                    self.handle(Event::Withdrawn(id::Request(request)));
                }
            }
            70..76 => self.handle(Event::Started(any)),
            76..82 => self.handle(Event::Progressed(any, Tokens(20))),
            82..86 => {
                let reported = load(self.rng.random_range(0..5000));
                self.handle(Event::Reported(endpoint, reported));
            }
            86..89 => {
                let sequence = self.rng.random_range(0..50);
                let change = Change::Stored(id::Prefix(self.rng.random_range(0..6)));
                self.handle(Event::Cached(endpoint, Cache { sequence, change }));
            }
            89..91 => self.list(),
            91 => {
                let mark = id::Fingerprint(self.rng.random_range(0..400));
                self.handle(Event::Suspected(vec![(mark, Duration::from_secs(5))]));
            }
            92 => self.handle(Event::Probed(endpoint, true)),
            93 => self.repeat_end(any.0),
            _ => self.handle(Event::Tick),
        }
    }

    /// Repeats the end of a request that is already over, which must change
    /// nothing.
    fn repeat_end(&mut self, request: u64) {
        if self.states.get(&request) == Some(&State::Ended) {
            let ended = Event::Ended(id::Request(request), Outcome::Broken);
            self.handle(ended);
            self.handle(Event::Unsent(id::Request(request)));
            self.handle(Event::Withdrawn(id::Request(request)));
        }
    }
}

#[rstest]
fn every_request_is_admitted_at_most_once_or_refused(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)] seed: u64,
) {
    let mut run = Run::new(seed);
    run.handle(Event::Configured(configuration(4000)));
    run.list();
    for number in 0..EVENTS {
        run.step(number);
    }
    assert!(run.admissions > 100, "{} admissions", run.admissions);
    assert!(run.refusals > 100, "{} refusals", run.refusals);
    run.now += 60_000;
    run.handle(Event::Tick);
    assert_eq!(
        run.core.waiting(),
        0,
        "no request waits beyond its deadline"
    );
}
