//! What is believed of endpoints while the source comes and goes.

use std::collections::BTreeMap;

use dottereltally_gateway::{controller::Belief, directory::Entry};
use dottereltally_lib::{
    endpoint::{Record, Standing},
    id, time,
};
use rstest::rstest;

fn at(millis: u64) -> time::Instant {
    time::Instant::from_micros(millis * 1000)
}

fn entry(standing: Standing, born: Option<u64>, sequence: u64) -> Entry {
    Entry {
        record: Record {
            id: id::Endpoint::from("e"),
            address: "10.0.0.1:80".to_owned(),
            service: id::Service::from("s"),
            data_centre: id::DataCentre::from("dc"),
            standing,
            places: Some(4),
        },
        born,
        sequence,
    }
}

fn name() -> id::Endpoint {
    id::Endpoint::from("e")
}

fn listed() -> Belief {
    let mut belief = Belief::default();
    let entries = BTreeMap::from([(name(), entry(Standing::Live, Some(100), 5))]);
    belief.replace(at(0), entries);
    assert_eq!(belief.changed(at(0)).unwrap().len(), 1);
    belief
}

#[test]
fn a_removal_counts_at_once_while_the_source_is_sound() {
    let mut belief = listed();
    belief.remove(at(1000), &name());
    assert!(belief.changed(at(1000)).unwrap().is_empty());
}

#[test]
fn a_description_that_lapsed_during_an_outage_is_kept_until_it_is_late() {
    let mut belief = listed();
    belief.lose(at(1000));
    belief.regain(at(6000));
    belief.replace(at(6000), BTreeMap::new());
    assert_eq!(belief.changed(at(7900)), None, "it may come back");
    assert!(belief.changed(at(8100)).unwrap().is_empty());
}

#[test]
fn a_description_that_comes_back_in_time_stays() {
    let mut belief = listed();
    belief.lose(at(1000));
    belief.regain(at(6000));
    belief.remove(at(6000), &name());
    belief.hear(at(7000), name(), Some(entry(Standing::Live, Some(100), 9)));
    let records = belief.changed(at(9000)).unwrap();
    assert_eq!(records.len(), 1);
}

#[test]
fn an_endpoint_that_said_it_leaves_is_not_expected_back() {
    let mut belief = listed();
    belief.hear(
        at(500),
        name(),
        Some(entry(Standing::Leaving, Some(100), 6)),
    );
    belief.lose(at(1000));
    belief.regain(at(6000));
    belief.remove(at(6000), &name());
    assert!(belief.changed(at(6000)).unwrap().is_empty());
}

#[rstest]
#[case::same_process(Some(100), 4)]
#[case::earlier_process(Some(50), 99)]
#[case::unknown_process(None, 99)]
fn an_older_description_does_not_undo_leaving(#[case] born: Option<u64>, #[case] sequence: u64) {
    let mut belief = listed();
    belief.hear(
        at(500),
        name(),
        Some(entry(Standing::Leaving, Some(100), 6)),
    );
    belief.hear(at(600), name(), Some(entry(Standing::Live, born, sequence)));
    let records = belief.changed(at(600)).unwrap();
    assert_eq!(records[0].standing, Standing::Leaving);
}

#[test]
fn a_new_process_under_the_same_name_counts_anew() {
    let mut belief = listed();
    belief.hear(
        at(500),
        name(),
        Some(entry(Standing::Leaving, Some(100), 6)),
    );
    belief.hear(at(900), name(), Some(entry(Standing::Live, Some(200), 1)));
    let records = belief.changed(at(900)).unwrap();
    assert_eq!(records[0].standing, Standing::Live);
}

#[test]
fn an_unusable_description_names_no_endpoint() {
    let mut belief = listed();
    belief.hear(at(500), name(), None);
    assert!(belief.changed(at(500)).unwrap().is_empty());
}

#[test]
fn losing_and_regaining_the_source_is_told_once() {
    let mut belief = listed();
    assert!(belief.lose(at(1000)));
    assert!(!belief.lose(at(1500)));
    assert_eq!(belief.regain(at(3000)).unwrap().as_millis(), 2000);
    assert_eq!(belief.regain(at(3100)), None);
}
