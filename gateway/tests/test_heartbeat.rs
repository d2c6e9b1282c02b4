//! Encoding and decoding of heartbeats.

use std::{collections::BTreeMap, time::Duration};

use dottereltally_gateway::{heartbeat::Heartbeat, listing};
use dottereltally_lib::{
    dispatcher::{Load, limit, rejection, slow_start, speed},
    era::{Era, Revision},
    exchange::{self, Scope, View},
    id, notice,
    quota::Usage,
    rollout::{Counts, Group, MAX_LAGGING, MAX_ROUTES, Report, Step},
    suspicion::{Kind, Mark, Register},
    time,
};

/// An era that was announced, in which the revision fell.
const ERA: Era = Era {
    announced: 3,
    falls: 1,
};

fn listing_report(started_ms: Option<u64>, is_listed: bool) -> listing::Report {
    listing::Report {
        endpoint: id::Endpoint::from("e"),
        process: listing::Process {
            started_ms,
            sequence: 4,
        },
        revision: Revision {
            era: ERA,
            number: i64::MAX / 5,
        },
        is_listed,
        age: Duration::from_millis(70),
    }
}

#[test]
fn a_heartbeat_survives_encoding_and_decoding() {
    let heartbeat = Heartbeat {
        node: id::Node::from("n1"),
        incarnation: 7,
        sequence: 9,
        data_centre: id::DataCentre::from("dc"),
        generation: id::Generation(4),
        loads: vec![(
            id::Endpoint::from("e"),
            Load {
                requests: 3,
                pending: 1200,
                event_interval: Some(Duration::from_micros(25_300)),
            },
        )],
        usage: BTreeMap::from([(
            id::Workspace::from("w"),
            Usage {
                admitted: 10.5,
                demand: 2.0,
            },
        )]),
        marks: [Kind::Silent, Kind::Died, Kind::Withdrawn]
            .map(|kind| Mark {
                fingerprint: id::Fingerprint(5),
                incarnation: id::Incarnation(6),
                kind,
                valid: Duration::from_secs(3),
            })
            .to_vec(),
        carries: true,
        limits: vec![limit_report("e", Some("1.8")), limit_report("f", None)],
        notices: vec![leaving("e"), brittle("f")],
        exchange: exchange::VERSION,
        scope: Scope::Fleet,
        carriers: vec![id::Node::from("n2")],
        view: Some(View {
            digest: u64::MAX / 3,
            number: 17,
            age: Duration::from_millis(40),
            era: ERA,
        }),
        listings: vec![listing_report(Some(3), false), listing_report(None, true)],
        speeds: vec![speed_report("e", Some("250")), speed_report("f", None)],
        rollouts: vec![(id::Service::from("s"), rollout_report(16, 16))],
    };
    let bytes = heartbeat.encode().unwrap();
    assert_eq!(Heartbeat::decode(&bytes).unwrap(), heartbeat);
}

fn speed_report(endpoint: &str, percent: Option<&str>) -> speed::Report {
    let slowdown = percent.map(|percent| percent.parse().unwrap());
    speed::Report {
        endpoint: id::Endpoint::from(endpoint),
        started_ms: slowdown.map(|_| 12),
        stated: slowdown.map(|slowdown| (slowdown, Duration::from_millis(70))),
        window: Some(slow_start::Report {
            size: 2.5,
            age: Duration::from_millis(30),
            answers: 7,
        }),
    }
}

/// Guards against reports of speed that take too much of a node's control traffic: a
/// coordinator sends some 60 heartbeats a second to others.
#[test]
fn speeds_of_as_many_endpoints_as_are_reported_are_small() {
    let empty = Heartbeat::default().encode().unwrap().len();
    let mut heartbeat = Heartbeat::default();
    for number in 0..speed::MAX_REPORTS {
        let name = format!("i-{number:010x}");
        heartbeat.speeds.push(speed_report(&name, Some("250")));
    }
    let bytes = heartbeat.encode().unwrap();
    println!("{} bytes of speeds", bytes.len() - empty);
    assert!(bytes.len() - empty < 1024);
}

fn rollout_report(routes: u32, lagging: u32) -> Report {
    let mut report = Report {
        order: Revision {
            era: ERA,
            number: 812,
        },
        step: Step(4),
        nodes: 50,
        baseline_in_flight: 12,
        ..Report::default()
    };
    for number in 0..lagging {
        report.lagging.push(id::Node::from(format!("n{number}")));
    }
    for number in 0..routes {
        for group in [Group::Baseline, Group::Canary] {
            let counts = Counts {
                sent: 100 + number,
                answered: 90,
                failed: 2,
                slow: 1,
            };
            report.record(&id::Route::from(format!("r{number}")), group, counts);
        }
    }
    report
}

/// Guards against control traffic beyond the 16 KB/s of a node: at 50 heartbeats a second, the
/// most that a node sends, a report on a roll-out of a service with three routes takes at most
/// half of it.
#[test]
fn a_report_on_a_roll_out_is_small() {
    let without = Heartbeat::default().encode().unwrap().len();
    let heartbeat = Heartbeat {
        rollouts: vec![(id::Service::from("s-4f2a91"), rollout_report(3, 0))],
        ..Heartbeat::default()
    };
    let bytes = heartbeat.encode().unwrap().len() - without;
    println!("{bytes} bytes");
    assert!(bytes * 50 <= 8 * 1024, "{bytes} bytes");
}

/// Guards against a datagram that a sender of many names or counts makes a node keep: what is
/// beyond the bounds is left out or summed up.
#[test]
fn reports_on_roll_outs_are_bounded() {
    let mut report = rollout_report(16, 0);
    for number in 0..40 {
        report.lagging.push(id::Node::from(format!("n{number}")));
        let key = (id::Route::from(format!("x{number}")), Group::Canary);
        report.samples.insert(key, Counts::default());
    }
    let heartbeat = Heartbeat {
        rollouts: vec![(id::Service::from("s"), report)],
        ..Heartbeat::default()
    };
    let decoded = Heartbeat::decode(&heartbeat.encode().unwrap()).unwrap();
    let (_, report) = &decoded.rollouts[0];
    assert_eq!(report.lagging.len(), MAX_LAGGING);
    assert!(report.samples.len() <= 2 * (MAX_ROUTES + 1));
}

fn leaving(endpoint: &str) -> notice::Report {
    notice::Report {
        endpoint: id::Endpoint::from(endpoint),
        started_ms: Some(12),
        leaving: Some(Duration::from_millis(300)),
        brittle: None,
    }
}

fn brittle(endpoint: &str) -> notice::Report {
    notice::Report {
        endpoint: id::Endpoint::from(endpoint),
        started_ms: None,
        leaving: None,
        brittle: Some(rejection::Report {
            most: 3,
            age: Duration::from_millis(20),
            held: Some((4.5, Duration::from_millis(700))),
            recent: 2,
        }),
    }
}

fn limit_report(endpoint: &str, rate: Option<&str>) -> limit::Report {
    limit::Report {
        endpoint: id::Endpoint::from(endpoint),
        rate: rate.map(|rate| rate.parse().unwrap()),
        age: Duration::from_millis(1234),
        demand: 2.5,
    }
}

/// Limits cost bytes only for endpoints that name them, and those of 600 endpoints
/// leave room in a datagram for the load on each of them.
#[test]
fn limits_of_600_endpoints_fit_a_datagram() {
    let empty = Heartbeat::default().encode().unwrap().len();
    let mut heartbeat = Heartbeat::default();
    for number in 0..600 {
        let name = format!("i-{number:010x}");
        heartbeat.limits.push(limit_report(&name, Some("1.8")));
        let load = Load {
            requests: 7,
            pending: 12_345,
            event_interval: Some(Duration::from_micros(25_300)),
        };
        heartbeat.loads.push((id::Endpoint::from(name), load));
        if number == 1 {
            let size = heartbeat.encode().unwrap().len() - empty;
            println!("{size} bytes for two endpoints");
        }
    }
    let bytes = heartbeat.encode().unwrap();
    println!(
        "{} bytes for 600 endpoints with load and limit",
        bytes.len()
    );
    assert!(bytes.len() <= 60 * 1024);
    assert_eq!(Heartbeat::decode(&bytes).unwrap(), heartbeat);
}

#[test]
fn other_datagrams_are_errors() {
    assert!(Heartbeat::decode(b"").is_err());
    assert!(Heartbeat::decode(&[0xff; 40]).is_err());
}

/// A report of suspicions leaves most of a datagram to the rest of the heartbeat.
#[test]
fn a_full_report_of_suspicions_is_small() {
    let mut register = Register::default();
    let now = time::Instant::from_micros(1);
    for number in 0..200_u64 {
        let incarnation = id::Incarnation(number.wrapping_mul(u64::MAX / 3));
        let fingerprint = id::Fingerprint((number / 2).wrapping_mul(u64::MAX / 7));
        register.record(now, fingerprint, incarnation, Kind::Died);
    }
    let marks = register.share(now);
    assert_eq!(marks.len(), 32);
    let heartbeat = Heartbeat {
        marks,
        ..Heartbeat::default()
    };
    let full = heartbeat.encode().unwrap().len();
    let empty = Heartbeat::default().encode().unwrap().len();
    assert!(full - empty < 1024, "{full} and {empty} bytes");
    println!("{} bytes for {} marks", full - empty, heartbeat.marks.len());
}

/// A node that finds out a death sends its suspicions to all others within a second.
#[test]
fn a_heartbeat_full_of_suspicions_fits_a_packet() {
    let mut marks = Vec::new();
    for number in 0..32_u64 {
        marks.push(Mark {
            fingerprint: id::Fingerprint(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            incarnation: id::Incarnation(number.wrapping_mul(0xd6e8_feb8_6659_fd93)),
            kind: Kind::Died,
            valid: Duration::from_millis(599_999),
        });
    }
    let heartbeat = Heartbeat {
        node: id::Node::from("front-stara-zagora-3"),
        data_centre: id::DataCentre::from("stara-zagora"),
        marks,
        ..Heartbeat::default()
    };
    let length = heartbeat.encode().unwrap().len();
    println!("{length} bytes");
    assert!(length <= 1400, "{length} bytes");
}
