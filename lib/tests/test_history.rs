//! What a node has seen of the versions of services.

use std::time::Duration;

use dottereltally_lib::{history::History, id, time::Instant};

const HORIZON: Duration = Duration::from_secs(30);

fn at(seconds: u64) -> Instant {
    Instant::from_micros(seconds * 1_000_000)
}

/// A history that is read every second.
struct Reader {
    history: History,
    now: u64,
}

impl Reader {
    fn start() -> Self {
        let mut history = History::default();
        history.restart(at(100));
        Self { history, now: 100 }
    }

    fn list(&mut self, endpoint: &str, version: Option<&str>) {
        self.history.record_listed(
            at(self.now),
            id::Endpoint::from(endpoint),
            id::Service::from("s"),
            version.map(id::Version::from),
        );
    }

    fn read_for(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.now += 1;
            self.history.record_read(at(self.now));
            self.history.expire(at(self.now), HORIZON);
        }
    }

    fn sole(&self) -> Option<String> {
        let service = id::Service::from("s");
        let sole = self.history.sole_version(at(self.now), &service, HORIZON);
        sole.map(ToString::to_string)
    }
}

#[test]
fn the_only_version_is_known_after_the_horizon() {
    let mut reader = Reader::start();
    reader.list("e", Some("v1"));
    reader.list("f", Some("v1"));
    reader.read_for(30);
    assert_eq!(reader.sole(), None);
    reader.read_for(1);
    assert_eq!(reader.sole(), Some("v1".to_owned()));
}

/// Guards against a version that is unknown because its endpoints left.
#[test]
fn a_version_that_left_counts_for_the_horizon() {
    let mut reader = Reader::start();
    reader.list("e", Some("v1"));
    reader.list("f", Some("v2"));
    reader.read_for(40);
    assert_eq!(reader.sole(), None);
    let left = id::Endpoint::from("e");
    reader.history.record_removed(at(reader.now), &left);
    reader.read_for(30);
    assert_eq!(reader.sole(), None);
    reader.read_for(1);
    assert_eq!(reader.sole(), Some("v2".to_owned()));
}

/// Guards against endpoints that come and leave between two reads.
#[test]
fn an_endpoint_that_was_listed_for_a_moment_counts() {
    let mut reader = Reader::start();
    reader.list("e", Some("v1"));
    reader.read_for(40);
    reader.list("f", Some("v2"));
    let left = id::Endpoint::from("f");
    reader.history.record_removed(at(reader.now), &left);
    assert_eq!(reader.sole(), None);
}

/// Guards against a start under the same id with another version.
#[test]
fn the_earlier_version_of_an_endpoint_counts() {
    let mut reader = Reader::start();
    reader.list("e", Some("v1"));
    reader.read_for(40);
    reader.list("e", Some("v2"));
    reader.read_for(5);
    assert_eq!(reader.sole(), None);
    let endpoint = id::Endpoint::from("e");
    let version = reader.history.version_of(&endpoint).flatten();
    assert_eq!(version, Some(&id::Version::from("v2")));
}

#[test]
fn an_endpoint_without_a_version_makes_the_version_unknown() {
    let mut reader = Reader::start();
    reader.list("e", Some("v1"));
    reader.list("f", None);
    reader.read_for(40);
    assert_eq!(reader.sole(), None);
}

#[test]
fn a_gap_in_the_reads_starts_the_time_anew() {
    type Gap = fn(&mut Reader);
    let gaps: [Gap; 3] = [
        |reader| {
            reader.history.record_outage();
            reader.read_for(1);
        },
        |reader| {
            let now = at(reader.now);
            reader.history.restart(now);
            reader.list("e", Some("v1"));
        },
        // The process was paused.
        |reader| reader.now += 20,
    ];
    for gap in gaps {
        let mut reader = Reader::start();
        reader.list("e", Some("v1"));
        reader.read_for(40);
        assert_eq!(reader.sole(), Some("v1".to_owned()));
        gap(&mut reader);
        assert_eq!(reader.sole(), None);
        reader.read_for(25);
        assert_eq!(reader.sole(), None);
        reader.read_for(10);
        assert_eq!(reader.sole(), Some("v1".to_owned()));
    }
}

#[test]
fn nothing_is_known_during_an_outage() {
    let mut reader = Reader::start();
    reader.list("e", Some("v1"));
    reader.read_for(40);
    reader.history.record_outage();
    assert_eq!(reader.sole(), None);
}

#[test]
fn another_version_is_reported_to_nodes_that_ask() {
    let mut reader = Reader::start();
    let (service, version) = (id::Service::from("s"), id::Version::from("v1"));
    reader.list("e", Some("v1"));
    assert!(
        !reader
            .history
            .has_other(at(100), &service, &version, HORIZON)
    );
    reader.list("f", Some("v2"));
    assert!(
        reader
            .history
            .has_other(at(100), &service, &version, HORIZON)
    );
}
