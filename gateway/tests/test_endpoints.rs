//! The node's view of the endpoints across outages of the source.

use std::collections::BTreeMap;

use dottereltally_gateway::{
    controller::{Endpoints, Observation},
    directory::Entry,
    listing::Found,
};
use dottereltally_lib::{
    endpoint::{Record, Standing},
    era::Revision,
    id, time,
};
use rstest::rstest;

fn at(millis: u64) -> time::Instant {
    time::Instant::from_micros(millis * 1000)
}

fn entry(standing: Standing, started_ms: Option<u64>, sequence: u64) -> Entry {
    Entry {
        record: Record {
            id: id::Endpoint::from("e"),
            address: "10.0.0.1:80".to_owned(),
            service: id::Service::from("s"),
            data_centre: id::DataCentre::from("dc"),
            standing,
            capacity: Some(4),
            version: None,
        },
        started_ms,
        sequence,
        revision: None,
    }
}

fn endpoint() -> id::Endpoint {
    id::Endpoint::from("e")
}

fn with_live_endpoint() -> Endpoints {
    let mut endpoints = Endpoints::default();
    let entries = BTreeMap::from([(endpoint(), entry(Standing::Live, Some(100), 5))]);
    endpoints.replace(at(0), entries);
    assert_eq!(endpoints.take_changed(at(0)).unwrap().len(), 1);
    endpoints
}

#[test]
fn a_removal_takes_effect_at_once_while_the_source_is_available() {
    let mut endpoints = with_live_endpoint();
    endpoints.remove(at(1000), &endpoint(), Revision::default());
    assert!(endpoints.take_changed(at(1000)).unwrap().is_empty());
}

#[test]
fn a_description_that_expired_during_an_outage_is_kept_for_the_grace_period() {
    let mut endpoints = with_live_endpoint();
    endpoints.begin_outage(at(1000));
    endpoints.end_outage(at(6000));
    endpoints.replace(at(6000), BTreeMap::new());
    assert_eq!(
        endpoints.take_changed(at(7900)),
        None,
        "it may be written again"
    );
    assert!(endpoints.take_changed(at(8100)).unwrap().is_empty());
}

#[test]
fn a_description_renewed_within_the_grace_period_is_kept() {
    let mut endpoints = with_live_endpoint();
    endpoints.begin_outage(at(1000));
    endpoints.end_outage(at(6000));
    endpoints.remove(at(6000), &endpoint(), Revision::default());
    endpoints.update(at(7000), endpoint(), entry(Standing::Live, Some(100), 9));
    let records = endpoints.take_changed(at(9000)).unwrap();
    assert_eq!(records.len(), 1);
}

#[test]
fn a_leaving_endpoint_is_not_kept_after_an_outage() {
    let mut endpoints = with_live_endpoint();
    endpoints.update(at(500), endpoint(), entry(Standing::Leaving, Some(100), 6));
    endpoints.begin_outage(at(1000));
    endpoints.end_outage(at(6000));
    endpoints.remove(at(6000), &endpoint(), Revision::default());
    assert!(endpoints.take_changed(at(6000)).unwrap().is_empty());
}

#[rstest]
#[case::same_process(Some(100), 4)]
#[case::earlier_process(Some(50), 99)]
#[case::unknown_process(None, 99)]
fn an_older_description_does_not_undo_leaving(
    #[case] started_ms: Option<u64>,
    #[case] sequence: u64,
) {
    let mut endpoints = with_live_endpoint();
    endpoints.update(at(500), endpoint(), entry(Standing::Leaving, Some(100), 6));
    endpoints.update(
        at(600),
        endpoint(),
        entry(Standing::Live, started_ms, sequence),
    );
    let records = endpoints.take_changed(at(600)).unwrap();
    assert_eq!(records[0].standing, Standing::Leaving);
}

#[test]
fn a_new_process_replaces_the_description_of_the_earlier_one() {
    let mut endpoints = with_live_endpoint();
    endpoints.update(at(500), endpoint(), entry(Standing::Leaving, Some(100), 6));
    endpoints.update(at(900), endpoint(), entry(Standing::Live, Some(200), 1));
    let records = endpoints.take_changed(at(900)).unwrap();
    assert_eq!(records[0].standing, Standing::Live);
}

#[test]
fn an_unusable_description_removes_the_endpoint() {
    let mut endpoints = with_live_endpoint();
    endpoints.remove(at(500), &endpoint(), Revision::default());
    assert!(endpoints.take_changed(at(500)).unwrap().is_empty());
}

#[test]
fn the_start_and_end_of_an_outage_are_reported_once() {
    let mut endpoints = with_live_endpoint();
    assert!(endpoints.begin_outage(at(1000)));
    assert!(!endpoints.begin_outage(at(1500)));
    assert_eq!(endpoints.end_outage(at(3000)).unwrap().as_millis(), 2000);
    assert_eq!(endpoints.end_outage(at(3100)), None);
}

/// Another process under the name, or another endpoint at the address, shows that a
/// live endpoint died; that of a leaving one ended as planned.
#[rstest]
#[case::live(Standing::Live, true)]
#[case::leaving(Standing::Leaving, false)]
fn a_successor_shows_the_death_of_a_live_endpoint_only(
    #[case] standing: Standing,
    #[case] died: bool,
) {
    let mut endpoints = with_live_endpoint();
    endpoints.update(at(500), endpoint(), entry(standing, Some(100), 6));
    let _before = endpoints.take_observations();
    let successor = entry(Standing::Live, Some(200), 1);
    endpoints.update(at(1000), endpoint(), successor.clone());
    let forgotten = Observation::Removed(endpoint());
    let started = Observation::Started(endpoint(), 200);
    let observed = endpoints.take_observations();
    assert_eq!(observed.contains(&forgotten), !died);
    assert_eq!(observed.last(), Some(&started));

    let mut endpoints = with_live_endpoint();
    endpoints.update(at(500), endpoint(), entry(standing, Some(100), 6));
    let _before = endpoints.take_observations();
    endpoints.update(at(1000), id::Endpoint::from("other"), successor);
    let replaced = Observation::Replaced(endpoint());
    assert_eq!(endpoints.take_observations().contains(&replaced), died);
}

/// Guards against requests for a version that an endpoint had before it started again
/// under its name.
#[test]
fn a_changed_version_of_a_kept_name_is_published() {
    let mut endpoints = with_live_endpoint();
    let mut again = entry(Standing::Live, Some(200), 1);
    again.record.version = Some(id::Version::from("v2"));
    endpoints.update(at(1000), endpoint(), again);
    let records = endpoints.take_changed(at(1000)).unwrap();
    assert_eq!(records[0].version, Some(id::Version::from("v2")));
    let late = entry(Standing::Live, Some(100), 9);
    endpoints.update(at(1100), endpoint(), late);
    assert_eq!(endpoints.take_changed(at(1100)), None);
}

/// Guards against DRAIN after the clock of an endpoint's host was set back: its new
/// process has an earlier start time than the former one, and then leaves.
#[test]
fn the_revision_decides_which_description_is_newer() {
    let mut endpoints = with_live_endpoint();
    let at_revision = |revision, standing, started_ms| Entry {
        revision: Some(Revision::from(revision)),
        ..entry(standing, Some(started_ms), 1)
    };
    endpoints.update(at(100), endpoint(), at_revision(10, Standing::Live, 200));
    endpoints.update(at(200), endpoint(), at_revision(11, Standing::Live, 150));
    let leaving = at_revision(12, Standing::Leaving, 150);
    endpoints.update(at(300), endpoint(), leaving);
    let records = endpoints.take_changed(at(300)).unwrap();
    assert_eq!(records[0].standing, Standing::Leaving);

    endpoints.update(at(400), endpoint(), at_revision(10, Standing::Live, 200));
    assert_eq!(endpoints.take_changed(at(400)), None, "it is older");
}

/// Guards against an endpoint that lives and is given up: its description was removed and written
/// again, or by the next process, between two reads.
#[rstest]
#[case::same_process(100)]
#[case::next_process(200)]
#[case::next_process_of_a_clock_that_was_set_back(50)]
fn a_description_that_is_written_again_in_one_read_is_used(#[case] started_ms: u64) {
    let mut endpoints = with_live_endpoint();
    endpoints.begin_read(at(500), Revision::from(10));
    endpoints.remove(at(500), &endpoint(), Revision::from(8));
    let again = Entry {
        revision: Some(Revision::from(9)),
        ..entry(Standing::Live, Some(started_ms), 1)
    };
    endpoints.update(at(500), endpoint(), again);
    assert_eq!(endpoints.take_changed(at(500)).unwrap().len(), 1);
    let reports = endpoints.take_listings(at(500)).unwrap();
    assert_eq!(reports.len(), 1);
    assert!(reports[0].is_listed, "{reports:?}");
    assert_eq!(reports[0].process.started_ms, Some(started_ms));
}

/// Guards against ORDER: the version of a process that ended, as its endpoint says of itself, is
/// out of use. The endpoint, which lives, is not.
#[test]
fn an_endpoint_with_another_process_is_used_without_its_version() {
    let versioned = |started_ms: u64, sequence: u64| {
        let mut entry = entry(Standing::Live, Some(started_ms), sequence);
        entry.record.version = Some(id::Version::from("v1"));
        entry
    };
    let found = |listed_ms: u64, started_ms: u64| Found {
        endpoint: endpoint(),
        listed_ms,
        started_ms,
    };
    let mut endpoints = with_live_endpoint();
    endpoints.update(at(100), endpoint(), versioned(100, 6));
    endpoints.take_changed(at(100));
    let _seen = endpoints.take_observations();

    // About a process that is not listed any more.
    endpoints.record_found(&found(90, 95));
    assert_eq!(endpoints.take_changed(at(200)), None);
    endpoints.record_found(&found(100, 200));
    let records = endpoints.take_changed(at(300)).unwrap();
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].version, None);
    assert_eq!(
        endpoints.take_observations(),
        [Observation::Found(endpoint(), 200)]
    );
    // Its own description names the version, and is news to other nodes.
    let _reported = endpoints.take_listings(at(400));
    endpoints.update(at(400), endpoint(), versioned(200, 1));
    assert_eq!(endpoints.take_listings(at(400)).unwrap().len(), 1);
    let records = endpoints.take_changed(at(400)).unwrap();
    assert_eq!(records[0].version, Some(id::Version::from("v1")));
}
