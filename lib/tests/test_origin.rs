//! Memory of the versions that began streams.

use std::{collections::BTreeSet, time::Duration};

use dottereltally_lib::{
    id,
    origin::{Candidate, Key, Knowledge, Limits, Memory, Origin, askable, holders},
    time::Instant,
};

const SECOND: Duration = Duration::from_secs(1);

fn at(seconds: u64) -> Instant {
    Instant::from_micros(seconds * 1_000_000)
}

fn origin(version: &str, endpoint: &str) -> Origin {
    Origin {
        version: id::Version::from(version),
        endpoint: id::Endpoint::from(endpoint),
    }
}

#[test]
fn an_origin_is_found_until_it_expires() {
    let mut memory = Memory::default();
    let key = Key::new("a");
    memory.record(at(0), key, origin("v1", "e"), SECOND * 10);
    let known = Knowledge::Known(origin("v1", "e"));
    assert_eq!(memory.find(at(9), key, SECOND * 5), known);
    // The look-up at 9 s kept it until 14 s.
    assert_eq!(memory.find(at(13), key, SECOND), known);
    assert_eq!(memory.find(at(14), key, SECOND), Knowledge::Unknown);
    assert_eq!((memory.len(), memory.bytes()), (0, 0));
}

#[test]
fn reports_of_two_versions_contradict_each_other_for_good() {
    let mut memory = Memory::default();
    let key = Key::new("a");
    for version in ["v1", "v2", "v1"] {
        memory.record(at(0), key, origin(version, "e"), SECOND * 10);
    }
    assert_eq!(memory.find(at(1), key, SECOND), Knowledge::Contradictory);
}

#[test]
fn a_second_report_of_the_version_keeps_the_first_endpoint() {
    let mut memory = Memory::default();
    let key = Key::new("a");
    memory.record(at(0), key, origin("v1", "e"), SECOND);
    memory.record(at(0), key, origin("v1", "f"), SECOND);
    let known = Knowledge::Known(origin("v1", "e"));
    assert_eq!(memory.find(at(0), key, SECOND), known);
    assert_eq!(memory.len(), 1);
}

#[test]
fn a_full_memory_drops_and_counts_what_expires_first() {
    let mut memory = Memory::new(Limits {
        entries: 3,
        ..Limits::default()
    });
    for number in 0..5 {
        let key = Key::new(&number.to_string());
        let lifetime = SECOND * (10 - number);
        memory.record(at(0), key, origin("v1", "e"), lifetime);
    }
    assert_eq!((memory.len(), memory.take_dropped()), (3, 2));
    assert_eq!(memory.take_dropped(), 0);
    for (number, known) in [(0, true), (1, true), (2, true), (3, false), (4, false)] {
        let key = Key::new(&i32::to_string(&number));
        let found = memory.find(at(0), key, SECOND) != Knowledge::Unknown;
        assert_eq!(found, known, "{number}");
    }
}

#[test]
fn the_bytes_of_a_memory_are_bounded() {
    let limits = Limits {
        bytes: 4000,
        ..Limits::default()
    };
    let mut memory = Memory::new(limits);
    for number in 0..100 {
        let key = Key::new(&number.to_string());
        memory.record(at(0), key, origin("v1", &"e".repeat(100)), SECOND);
        assert!(memory.bytes() <= limits.bytes);
    }
    assert!(memory.len() > 5, "{}", memory.len());
    let key = Key::new("long");
    memory.record(at(0), key, origin("v1", &"e".repeat(300)), SECOND);
    assert_eq!(memory.find(at(0), key, SECOND), Knowledge::Unknown);
}

fn candidates(nodes: usize, data_centres: usize) -> Vec<Candidate<usize>> {
    let candidate = |number| Candidate {
        name: id::Node::from(format!("n{number}")),
        data_centre: id::DataCentre::from(format!("dc{}", number % data_centres)),
        address: number,
    };
    (0..nodes).map(candidate).collect()
}

#[test]
fn two_holders_are_near_and_one_is_far() {
    let nodes = candidates(30, 3);
    for number in 0..50 {
        let key = Key::new(&number.to_string());
        let near = id::DataCentre::from("dc1");
        let chosen = holders(key, &near, &nodes);
        let near = chosen.iter().filter(|node| node.data_centre == near);
        assert_eq!((near.count(), chosen.len()), (2, 3));
    }
}

#[test]
fn holders_are_made_up_from_what_is_there() {
    let near = id::DataCentre::from("dc0");
    for (nodes, data_centres, expected) in [(0, 1, 0), (1, 1, 1), (2, 2, 2), (9, 1, 3), (4, 4, 3)] {
        let nodes = candidates(nodes, data_centres);
        let chosen = holders(Key::new("a"), &near, &nodes);
        let names: BTreeSet<_> = chosen.iter().map(|node| &node.name).collect();
        assert_eq!((names.len(), chosen.len()), (expected, expected));
    }
}

/// Streams are spread evenly over the holders.
#[test]
fn holders_are_spread_over_the_nodes() {
    let nodes = candidates(30, 3);
    let mut counts = [0; 30];
    for number in 0..3000 {
        let key = Key::new(&number.to_string());
        for node in holders(key, &id::DataCentre::from("dc0"), &nodes) {
            counts[node.address] += 1;
        }
    }
    for (number, count) in counts.iter().enumerate() {
        // Two of three in the own data centre, one in the two others.
        let expected = if number % 3 == 0 { 600 } else { 150 };
        assert!(
            *count > expected * 3 / 4 && *count < expected * 5 / 4,
            "{counts:?}"
        );
    }
}

/// A node that asks finds every holder although neither knows itself among the
/// others and both know some nodes that the other doesn't.
#[test]
fn nodes_with_different_views_find_the_holders() {
    let all = candidates(60, 3);
    let without = |missing: &[usize]| -> Vec<Candidate<usize>> {
        let known = all.iter().filter(|node| !missing.contains(&node.address));
        known.cloned().collect()
    };
    let told_by = without(&[0, 10, 20, 31]);
    let asked_by = without(&[1, 11, 21, 41]);
    let mut found = 0;
    let mut told = 0;
    for number in 0..500 {
        let key = Key::new(&number.to_string());
        let chosen = holders(key, &id::DataCentre::from("dc0"), &told_by);
        let rounds = askable(key, &asked_by, 4, 2);
        let asked: BTreeSet<usize> = rounds.iter().flatten().map(|node| node.address).collect();
        let reachable = chosen
            .iter()
            .filter(|node| ![1, 11, 21, 41].contains(&node.address));
        for node in reachable {
            told += 1;
            found += usize::from(asked.contains(&node.address));
        }
        assert!(rounds[0].len() <= 12, "{}", rounds[0].len());
    }
    assert_eq!(found, told);
}
