//! Builders shared by the tests of the decision core.
#![allow(dead_code, reason = "no test file uses all of them")]

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use dottereltally_lib::{
    balance::Policy,
    configuration::{Configuration, Kind, Service, Workspace},
    effect::Effect,
    endpoint::{Load, Record, Standing},
    event::Event,
    id,
    request::Profile,
    scheduler::{Scheduler, Settings},
    size::Tokens,
    time::Instant,
};

/// Returns the instant at this many milliseconds.
pub fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1000)
}

/// Returns a configuration with a model service `llm`, a plain service `app` and
/// five workspaces.
pub fn configuration(window: u64) -> Arc<Configuration> {
    let service = |kind, window| Service {
        kind,
        depends_on: BTreeSet::new(),
        models: BTreeSet::new(),
        adapters: BTreeSet::new(),
        window: Tokens(window),
    };
    let mut workspaces = BTreeMap::new();
    for number in 0..5 {
        let workspace = Workspace {
            keys: BTreeSet::new(),
            share: 1,
            limit: None,
        };
        workspaces.insert(id::Workspace::from(format!("w{number}")), workspace);
    }
    Arc::new(Configuration {
        tiers: ["gate", "chat", "plan", "tag"].map(String::from).to_vec(),
        services: BTreeMap::from([
            (id::Service::from("llm"), service(Kind::Model, window)),
            (id::Service::from("app"), service(Kind::Plain, 4)),
        ]),
        calls: BTreeMap::new(),
        workspaces,
    })
}

/// Returns an endpoint of a service in data centre `a`.
pub fn record(name: &str, service: &str) -> Record {
    Record {
        id: name.into(),
        address: String::from("127.0.0.1:1"),
        service: service.into(),
        data_centre: "a".into(),
        standing: Standing::Live,
        capacity: None,
        version: None,
    }
}

/// Returns a request of this tier and prompt length that asks for `output`
/// tokens.
pub fn profile(tier: u8, prompt: u64, output: u64) -> Profile {
    Profile {
        call: "chat".into(),
        service: "llm".into(),
        model: None,
        workspace: "w0".into(),
        tier: id::Tier(tier),
        received: at(0),
        deadline: at(60_000),
        prompt: Tokens(prompt),
        output: Tokens(output),
        prefixes: Vec::new(),
        fingerprint: id::Fingerprint(0),
        idempotent: true,
    }
}

/// Returns a load report of this many tokens.
pub fn load(tokens: u64) -> Load {
    Load {
        tokens: Tokens(tokens),
        ..Load::default()
    }
}

/// Returns a core with the configuration of [`configuration`] and this many
/// endpoints of `llm`, named `e0`, `e1` and so on.
pub fn core(policy: Policy, window: u64, endpoints: usize) -> Scheduler {
    let mut core = Scheduler::new(Settings {
        node: "n0".into(),
        data_centre: "a".into(),
        seed: 1,
        policy,
    });
    core.handle(at(0), Event::Configured(configuration(window)));
    let mut records = Vec::new();
    for number in 0..endpoints {
        records.push(record(&format!("e{number}"), "llm"));
    }
    core.handle(at(0), Event::Listed(records));
    core
}

/// Hands a new request to the core and returns the effects.
pub fn arrive(core: &mut Scheduler, now: u64, request: u64, profile: Profile) -> Vec<Effect> {
    core.handle(
        at(now),
        Event::Arrived(id::Request(request), Arc::new(profile)),
    )
}

/// Returns the endpoint that the effects admit this request to.
pub fn admitted(effects: &[Effect], request: u64) -> Option<id::Endpoint> {
    for effect in effects {
        if let Effect::Admit(id, endpoint) = effect
            && id.0 == request
        {
            return Some(endpoint.clone());
        }
    }
    None
}

/// Returns the reason and retry delay with which the effects refuse this request.
pub fn refused(
    effects: &[Effect],
    request: u64,
) -> Option<(dottereltally_lib::refusal::Reason, Duration)> {
    for effect in effects {
        if let Effect::Refuse(id, refusal) = effect
            && id.0 == request
        {
            return Some((refusal.reason, refusal.retry_after));
        }
    }
    None
}
