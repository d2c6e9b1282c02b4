//! Load patterns in which callers ask for more than the endpoints can serve, in virtual time.
//!
//! Run with `--nocapture` to print what became of the calls of each pattern.

#[expect(dead_code, reason = "other tests use the rest")]
mod engines;

use std::{collections::BTreeMap, time::Duration};

use dottereltally_lib::{dispatcher::Request, id, time};
use engines::{Reply, Simulation, request};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;

/// Endpoints of speed 1, and requests that each runs at once.
const ENDPOINTS: usize = 6;
const PLACES: usize = 10;

/// Nodes whose requests one coordinator decides on.
const NODES: usize = 3;

/// Workspaces; the load of each is in inverse proportion to its number plus three.
const WORKSPACES: u32 = 16;

/// Time between two looks of the callers at their replies.
const STEP: Duration = Duration::from_millis(10);

/// Time for which the load is below the capacity at first, so that answer times are known.
const WARM_UP: Duration = Duration::from_secs(10);

/// Time after the last arrival in which the calls end.
const COOL_DOWN: Duration = Duration::from_secs(15);

/// Divisor of the time left that yields the longest wait of a caller before it comes back.
const WAIT_DIVISOR: u32 = 3;

/// Calls of one route.
#[derive(Clone, Copy, Debug)]
struct Kind {
    route: &'static str,
    prompt: u64,
    output: u64,
    target: Duration,
    deadline: Duration,
}

const CHAT: Kind = Kind {
    route: "chat",
    prompt: 600,
    output: 60,
    target: Duration::from_millis(300),
    deadline: Duration::from_millis(1500),
};

const PLAN: Kind = Kind {
    route: "plan",
    prompt: 2000,
    output: 240,
    target: Duration::from_millis(600),
    deadline: Duration::from_secs(5),
};

const REPORT: Kind = Kind {
    route: "report",
    prompt: 4000,
    output: 480,
    target: Duration::from_millis(1200),
    deadline: Duration::from_secs(12),
};

const KINDS: [Kind; 3] = [CHAT, PLAN, REPORT];

impl Kind {
    /// Returns the seconds for which a call takes a place.
    fn work(self) -> f64 {
        let events = f64::from(u32::try_from(self.output / 6).unwrap());
        let prompt = f64::from(u32::try_from(self.prompt).unwrap());
        0.04 + prompt * 15e-6 + events * 0.025
    }
}

/// When a refused caller comes back, at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Return {
    /// After the time that the refusal names, or a third of the time left if that is less.
    AsTold,
    /// Immediately, whatever the refusal names.
    AtOnce,
}

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Its first event came within the target, counted from the arrival of the attempt.
    Within,
    /// Its first event came later.
    Late,
    /// Refused, and not tried again as no time was left.
    Refused,
    /// Refused twice.
    RefusedTwice,
}

/// A call and its attempts.
struct Call {
    kind: Kind,
    tier: u8,
    workspace: u32,
    began: time::Instant,
    /// Arrival and id of the attempt that has no reply yet.
    attempt: Option<(time::Instant, id::Request)>,
    /// When it comes back after a refusal.
    returns: Option<time::Instant>,
    attempts: u32,
    /// How long its refused attempts were held before they were refused.
    held: Duration,
    end: Option<End>,
}

impl Call {
    fn request(&self, number: usize, now: time::Instant) -> Request {
        let mut request = request(now, 0, self.kind.prompt, self.kind.output, self.kind.target);
        request.route = id::Route::from(self.kind.route);
        request.tier = id::Tier(self.tier);
        request.deadline = self.began + self.kind.deadline;
        request.caller_leaves_at = request.deadline;
        request.workspace = Some(id::Workspace::from(format!("w{}", self.workspace)));
        request.fingerprint = Some(id::Fingerprint(u64::try_from(number).unwrap()));
        request
    }
}

/// Calls of one pattern.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Load of all kinds, as a fraction of the capacity; each causes the same work.
    utilisation: f64,
    /// Factor on the calls of the first kind.
    burst: f64,
    /// Factor on the calls of the workspace [`HEAVY`].
    heavy: f64,
    /// Share of the calls that are of tier 1.
    lower_tier: f64,
}

/// The workspace that at times sends many calls.
const HEAVY: u32 = 5;

const NORMAL: Load = Load {
    utilisation: 0.8,
    burst: 1.0,
    heavy: 1.0,
    lower_tier: 0.0,
};

/// Callers in front of simulated endpoints.
struct Callers {
    simulation: Simulation,
    rng: SmallRng,
    returning: Return,
    calls: Vec<Call>,
}

/// Shares of the calls by what became of them.
#[derive(Clone, Copy, Debug, Default)]
struct Shares {
    calls: usize,
    within: f64,
    late: f64,
    refused: f64,
    refused_twice: f64,
    /// Mean time for which refused attempts were held, in milliseconds.
    held_ms: u128,
}

impl Callers {
    fn new(seed: u64, returning: Return) -> Self {
        let simulation = Simulation::new(NODES, &[1.0; ENDPOINTS], PLACES).with_coordinator();
        let mut callers = Self {
            simulation,
            rng: SmallRng::seed_from_u64(seed),
            returning,
            calls: Vec::new(),
        };
        callers.play(NORMAL, WARM_UP);
        callers
    }

    fn workspace(&mut self, heavy: f64) -> u32 {
        let weight = |number: u32| {
            let factor = if number == HEAVY { heavy } else { 1.0 };
            factor / f64::from(number + 3)
        };
        let total: f64 = (0..WORKSPACES).map(weight).sum();
        let mut draw = self.rng.random_range(0.0..total);
        for number in 0..WORKSPACES {
            draw -= weight(number);
            if draw < 0.0 {
                return number;
            }
        }
        WORKSPACES - 1
    }

    /// Plays a load for some time; returns the numbers of its calls.
    fn play(&mut self, load: Load, span: Duration) -> std::ops::Range<usize> {
        let first = self.calls.len();
        let end = self.simulation.now + span;
        let places = f64::from(u32::try_from(ENDPOINTS * PLACES).unwrap());
        let share = load.utilisation * places / f64::from(u32::try_from(KINDS.len()).unwrap());
        // A heavier workspace adds to the calls of the others.
        let usual: f64 = (0..WORKSPACES)
            .map(|number| 1.0 / f64::from(number + 3))
            .sum();
        let added = (load.heavy - 1.0) / f64::from(HEAVY + 3) / usual;
        while self.simulation.now < end {
            let next = self.simulation.now + STEP;
            self.simulation.run(next);
            self.look();
            for (index, kind) in KINDS.into_iter().enumerate() {
                let factor = if index == 0 { load.burst } else { 1.0 };
                let rate = share * factor * (1.0 + added) / kind.work();
                let mut expected = rate * STEP.as_secs_f64();
                while expected > 0.0 {
                    if self.rng.random_bool(expected.min(1.0)) {
                        self.call(kind, load);
                    }
                    expected -= 1.0;
                }
            }
        }
        first..self.calls.len()
    }

    fn call(&mut self, kind: Kind, load: Load) {
        let tier = u8::from(self.rng.random_bool(load.lower_tier));
        let workspace = self.workspace(load.heavy);
        self.calls.push(Call {
            kind,
            tier,
            workspace,
            began: self.simulation.now,
            attempt: None,
            returns: None,
            attempts: 0,
            held: Duration::ZERO,
            end: None,
        });
        self.attempt(self.calls.len() - 1);
    }

    fn attempt(&mut self, number: usize) {
        let now = self.simulation.now;
        let call = &mut self.calls[number];
        call.returns = None;
        call.attempts += 1;
        let request = call.request(number, now);
        let node = (number + usize::try_from(call.attempts).unwrap()) % NODES;
        let id = self.simulation.arrive(node, request);
        self.calls[number].attempt = Some((now, id));
    }

    /// Lets the callers see their replies and come back.
    fn look(&mut self) {
        let now = self.simulation.now;
        let mut returning = Vec::new();
        for (number, call) in self.calls.iter_mut().enumerate() {
            if call.end.is_some() {
                continue;
            }
            if call.returns.is_some_and(|at| at <= now) {
                returning.push(number);
            }
            let Some((arrived, id)) = call.attempt else {
                continue;
            };
            match self.simulation.replies.get(&id) {
                Some(Reply::First(took)) if *took <= call.kind.target => {
                    call.end = Some(End::Within);
                }
                Some(Reply::First(_)) => call.end = Some(End::Late),
                Some(Reply::Refused(refusal)) => {
                    call.attempt = None;
                    call.held += now.since(arrived);
                    let left = (call.began + call.kind.deadline).since(now);
                    // Guards against a time to come back at which too little is left.
                    assert!(refusal.retry_after <= (left + STEP * 2) / WAIT_DIVISOR);
                    if call.attempts > 1 {
                        call.end = Some(End::RefusedTwice);
                        continue;
                    }
                    if left.is_zero() {
                        call.end = Some(End::Refused);
                        continue;
                    }
                    let wait = match self.returning {
                        Return::AsTold => refusal.retry_after.min(left / WAIT_DIVISOR),
                        Return::AtOnce => Duration::ZERO,
                    };
                    call.returns = Some(now + wait);
                }
                None => {}
            }
        }
        for number in returning {
            self.attempt(number);
        }
    }

    /// Ends all calls.
    fn finish(&mut self) {
        let end = self.simulation.now + COOL_DOWN;
        while self.simulation.now < end {
            self.simulation.run(self.simulation.now + STEP);
            self.look();
        }
    }

    /// Returns what became of the calls for which `select` holds.
    fn shares(&self, select: impl Fn(usize, &Call) -> bool) -> Shares {
        let mut counts: BTreeMap<u8, u32> = BTreeMap::new();
        let mut calls = 0;
        let mut held = (Duration::ZERO, 0);
        for (number, call) in self.calls.iter().enumerate() {
            if !select(number, call) {
                continue;
            }
            calls += 1;
            let end = call.end.expect("every call has ended");
            *counts.entry(end as u8).or_default() += 1;
            if call.attempts > 1 || matches!(end, End::Refused) {
                held.0 += call.held;
                held.1 += if end == End::RefusedTwice { 2 } else { 1 };
            }
        }
        let share = |end: End| {
            let count = counts.get(&(end as u8)).copied().unwrap_or_default();
            f64::from(count) / f64::from(u32::try_from(calls.max(1)).unwrap())
        };
        Shares {
            calls,
            within: share(End::Within),
            late: share(End::Late),
            refused: share(End::Refused),
            refused_twice: share(End::RefusedTwice),
            held_ms: held.0.as_millis() / u128::from(u32::try_from(held.1).unwrap().max(1)),
        }
    }

    fn print(&self, name: &str, range: &std::ops::Range<usize>) -> Shares {
        let shares = self.shares(|number, _| range.contains(&number));
        println!(
            "{name}: {} calls, within {:.3}, late {:.3}, refused {:.3}, twice {:.3}, held {} ms",
            shares.calls,
            shares.within,
            shares.late,
            shares.refused,
            shares.refused_twice,
            shares.held_ms
        );
        for kind in KINDS {
            let part = self
                .shares(|number, call| range.contains(&number) && call.kind.route == kind.route);
            println!(
                "  {}: {}, within {:.3}, late {:.3}, twice {:.3}",
                kind.route, part.calls, part.within, part.late, part.refused_twice
            );
        }
        shares
    }
}

/// Guards against a queue that keeps all requests just behind their targets while the load is
/// 1.5 times the capacity.
#[rstest]
fn sustained_overload_leaves_most_of_the_capacity_to_requests_within_target(
    #[values(Return::AsTold, Return::AtOnce)] returning: Return,
) {
    let mut callers = Callers::new(1, returning);
    let load = Load {
        utilisation: 1.5,
        ..NORMAL
    };
    let range = callers.play(load, Duration::from_secs(30));
    callers.finish();
    let shares = callers.print(&format!("sustained {returning:?}"), &range);
    // By due time alone it is 0.64 to 0.66.
    assert!(shares.within > 0.8, "{shares:?}");
    assert!(shares.late < 0.06, "{shares:?}");
    // By due time alone it is 0.27 to 0.28.
    assert!(shares.refused_twice < 0.13, "{shares:?}");
}

/// Guards against a burst of one kind that makes all kinds late, and against late answers after
/// it has ended.
#[test]
fn a_burst_of_one_kind_ends_with_its_callers() {
    let mut callers = Callers::new(2, Return::AsTold);
    let burst = Load {
        utilisation: 0.9,
        burst: 2.2,
        ..NORMAL
    };
    let range = callers.play(burst, Duration::from_secs(8));
    let first = callers.play(NORMAL, Duration::from_secs(2));
    let after = callers.play(NORMAL, Duration::from_secs(6));
    callers.finish();
    let during = callers.print("burst", &range);
    callers.print("first 2 s after the burst", &first);
    let after = callers.print("2 to 8 s after the burst", &after);
    // By due time alone it is 0.82.
    assert!(during.within > 0.9, "{during:?}");
    assert!(after.within > 0.98, "{after:?}");
}

/// Guards against one workspace whose calls push out those of the others.
#[test]
fn a_heavy_workspace_loses_first() {
    let mut callers = Callers::new(3, Return::AsTold);
    let load = Load {
        utilisation: 0.9,
        heavy: 7.0,
        ..NORMAL
    };
    let range = callers.play(load, Duration::from_secs(10));
    callers.finish();
    let shares = callers.print("heavy", &range);
    assert!(shares.within > 0.89, "{shares:?}");
    // Without returns that go before new requests it is 0.024.
    assert!(shares.refused_twice < 0.022, "{shares:?}");
    let others = callers.shares(|number, call| range.contains(&number) && call.workspace != HEAVY);
    let heavy = callers.shares(|number, call| range.contains(&number) && call.workspace == HEAVY);
    println!("others {others:?}\nheavy {heavy:?}");
    // Without regard to workspaces, the others lose as much as the heavy one.
    assert!(others.within > heavy.within, "{others:?}, {heavy:?}");
    assert!(
        others.refused_twice * 2.0 < heavy.refused_twice,
        "{others:?}, {heavy:?}"
    );
}

/// Guards against requests of a higher tier that are refused or late because of a lower one.
#[test]
fn a_lower_tier_delays_nothing_of_a_higher_one() {
    let mut callers = Callers::new(4, Return::AsTold);
    let load = Load {
        utilisation: 1.6,
        lower_tier: 0.5,
        ..NORMAL
    };
    let range = callers.play(load, Duration::from_secs(15));
    callers.finish();
    callers.print("tiers", &range);
    let upper = callers.shares(|number, call| range.contains(&number) && call.tier == 0);
    let lower = callers.shares(|number, call| range.contains(&number) && call.tier == 1);
    println!("upper {upper:?}\nlower {lower:?}");
    assert!(upper.within > 0.98, "{upper:?}");
    assert!(upper.refused_twice < 0.005, "{upper:?}");
    // By due time alone it is 0.26.
    assert!(lower.within > 0.33, "{lower:?}");
}

/// Guards against a load below the capacity that is refused or late.
#[test]
fn without_overload_nothing_is_refused() {
    let mut callers = Callers::new(5, Return::AsTold);
    let range = callers.play(NORMAL, Duration::from_secs(10));
    callers.finish();
    let shares = callers.print("normal", &range);
    assert!(shares.within > 0.99, "{shares:?}");
}
