//! Heartbeats between nodes of this version and of commit 4588bab, side by side during an
//! update.

#[path = "old/beat_capnp.rs"]
#[allow(missing_docs, unused_qualifications, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
pub mod beat_capnp;

use std::{collections::BTreeMap, time::Duration};

use capnp::{
    message::{Builder, ReaderOptions},
    serialize_packed,
};
use dottereltally_gateway::heartbeat::Heartbeat;
use dottereltally_lib::{
    dispatcher::Load,
    era::Era,
    exchange::{self, Scope, View},
    id, notice,
    quota::Usage,
    rollout::{Report, Step},
};

use self::beat_capnp::beat;

/// A heartbeat of the old version is read: what it lacks has a meaning.
#[test]
fn a_heartbeat_of_the_old_version_is_read() {
    let mut message = Builder::new_default();
    let mut root = message.init_root::<beat::Builder<'_>>();
    root.set_node("old");
    root.set_incarnation(5);
    root.set_sequence(6);
    root.set_data_centre("dc");
    root.set_generation(3);
    root.set_carries(true);
    let mut usage = root.reborrow().init_usage(1).get(0);
    usage.set_workspace("w");
    usage.set_admitted(12.5);
    let mut held = root.init_held(1).get(0);
    held.set_endpoint("e");
    held.set_requests(2);
    let mut bytes = Vec::new();
    serialize_packed::write_message(&mut bytes, &message).unwrap();
    let heartbeat = Heartbeat::decode(&bytes).unwrap();
    assert_eq!(heartbeat.node.as_str(), "old");
    assert!(heartbeat.exchange < exchange::VERSION);
    assert_eq!(heartbeat.scope, Scope::Node);
    assert_eq!(heartbeat.view, None);
    assert!(heartbeat.notices.is_empty() && heartbeat.carriers.is_empty());
    assert!(heartbeat.rollouts.is_empty());
    assert!((heartbeat.usage[&id::Workspace::from("w")].admitted - 12.5).abs() < 1e-9);
    assert_eq!(heartbeat.loads[0].1.requests, 2);
}

/// The old version reads a heartbeat of this one, and passes over what it does not know.
#[test]
fn the_old_version_reads_a_heartbeat() {
    let heartbeat = Heartbeat {
        node: id::Node::from("new"),
        incarnation: 5,
        sequence: 6,
        data_centre: id::DataCentre::from("dc"),
        generation: id::Generation(3),
        loads: vec![(
            id::Endpoint::from("e"),
            Load {
                requests: 2,
                pending: 40,
                event_interval: None,
            },
        )],
        usage: BTreeMap::from([(
            id::Workspace::from("w"),
            Usage {
                admitted: 12.5,
                demand: 1.0,
            },
        )]),
        carries: true,
        rollouts: vec![(
            id::Service::from("s"),
            Report {
                step: Step(3),
                nodes: 1,
                ..Report::default()
            },
        )],
        notices: vec![notice::Report {
            endpoint: id::Endpoint::from("e"),
            started_ms: Some(1),
            leaving: Some(Duration::from_secs(1)),
            brittle: None,
        }],
        exchange: exchange::VERSION,
        scope: Scope::Node,
        carriers: vec![id::Node::from("other")],
        view: Some(View {
            digest: 1,
            number: 2,
            age: Duration::from_secs(3),
            era: Era::from(4),
        }),
        ..Heartbeat::default()
    };
    let bytes = heartbeat.encode().unwrap();
    let message = serialize_packed::read_message(&bytes[..], ReaderOptions::new()).unwrap();
    let root = message.get_root::<beat::Reader<'_>>().unwrap();
    assert_eq!(root.get_node().unwrap().to_str().unwrap(), "new");
    assert_eq!(root.get_sequence(), 6);
    assert!(root.get_carries());
    let usage = root.get_usage().unwrap().get(0);
    assert!((usage.get_admitted() - 12.5).abs() < 1e-9);
    assert_eq!(root.get_held().unwrap().get(0).get_requests(), 2);
}

/// A scope of a later version counts as that of the sender alone.
#[test]
fn an_unknown_scope_is_that_of_the_sender() {
    assert_eq!(Scope::from(9), Scope::Node);
}

/// Bad datagrams are errors, however large.
#[test]
fn truncated_and_huge_datagrams_are_errors() {
    let mut heartbeat = Heartbeat::default();
    for number in 0..100_000 {
        heartbeat
            .carriers
            .push(id::Node::from(format!("n{number}")));
    }
    let bytes = heartbeat.encode().unwrap();
    assert!(Heartbeat::decode(&bytes).is_err(), "{} bytes", bytes.len());
    for length in [1, 7, 100] {
        assert!(Heartbeat::decode(&bytes[..length]).is_err());
    }
}
