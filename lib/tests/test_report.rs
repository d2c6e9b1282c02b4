//! State of endpoints and services, as shown to operators.

mod support;

use std::sync::Arc;

use dottereltally_lib::{
    balance::Policy,
    endpoint::{Load, Standing},
    event::{Event, Outcome},
    id,
    report::State,
    scheduler::Scheduler,
};

use support::{arrive, at, configuration, core, profile};

fn states(core: &Scheduler, now: u64) -> Vec<State> {
    let endpoints = core.endpoints(at(now));
    endpoints.iter().map(|endpoint| endpoint.state).collect()
}

#[test]
fn endpoint_state_says_why_it_gets_no_work() {
    let mut core = core(Policy::TwoChoices, 1000, 3);
    assert_eq!(states(&core, 0), [State::Open; 3]);
    let leaving = Load {
        standing: Standing::Leaving,
        ..Load::default()
    };
    core.handle(at(10), Event::Reported("e0".into(), leaving));
    core.handle(at(10), Event::Probed("e1".into(), false));
    assert_eq!(
        states(&core, 10),
        [State::Leaving, State::Dead, State::Open]
    );
    arrive(&mut core, 20, 1, profile(0, 100, 10));
    core.handle(at(30), Event::Ended(id::Request(1), Outcome::Broken));
    assert_eq!(states(&core, 30)[2], State::Probing);
}

#[test]
fn tokens_in_flight_are_counted() {
    let mut core = core(Policy::TwoChoices, 1000, 1);
    arrive(&mut core, 0, 1, profile(0, 100, 10));
    let endpoint = &core.endpoints(at(1))[0];
    assert_eq!(endpoint.requests, 1);
    assert!(endpoint.in_flight.0 > 0);
}

#[test]
fn service_lists_dependencies_without_endpoint() {
    let mut core = core(Policy::TwoChoices, 1000, 1);
    let mut depending = Arc::unwrap_or_clone(configuration(1000));
    let service = depending.services.get_mut(&id::Service::from("llm"));
    let service = service.expect("the configuration has the service");
    service.depends_on.insert("app".into());
    core.handle(at(0), Event::Configured(Arc::new(depending)));
    let services = core.services(at(1));
    assert_eq!(services[0].name.as_str(), "app");
    assert_eq!(services[0].open, 0);
    assert_eq!(services[1].open, 1);
    assert_eq!(services[1].missing, ["app".into()]);
}
