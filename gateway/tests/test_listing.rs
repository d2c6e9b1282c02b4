//! What nodes report to each other about the endpoints that the directory lists.

use std::time::Duration;

use dottereltally_gateway::listing::{Listings, Process, REPORT_TIME, Report};
use dottereltally_lib::{
    era::{Era, Revision},
    id, time,
};
use rstest::rstest;

fn at(seconds: u64) -> time::Instant {
    time::Instant::from_micros(seconds * 1_000_000)
}

fn endpoint() -> id::Endpoint {
    id::Endpoint::from("e")
}

fn process(started_ms: Option<u64>) -> Process {
    Process {
        started_ms,
        sequence: 0,
    }
}

fn report(revision: i64, is_listed: bool) -> Report {
    Report {
        endpoint: endpoint(),
        process: process(Some(7)),
        revision: Revision::from(revision),
        is_listed,
        age: Duration::ZERO,
    }
}

/// A report is about one process, and older than a description that was read later.
#[rstest]
#[case::same_process(Some(7), 9, true)]
#[case::unknown_process(None, 9, true)]
#[case::later_process(Some(8), 9, false)]
#[case::later_description(Some(7), 10, false)]
#[case::much_later_description(Some(7), 11, false)]
fn a_report_of_leaving_holds_for_what_was_read_before(
    #[case] started_ms: Option<u64>,
    #[case] shown_at: i64,
    #[case] expected: bool,
) {
    let mut listings = Listings::default();
    assert!(listings.record(at(100), &report(10, false)));
    let left = listings.has_left(&endpoint(), process(started_ms), Revision::from(shown_at));
    assert_eq!(left, expected);
}

/// Guards against ORDER: what is reported of the next process of an endpoint does not bring the
/// one before back.
#[rstest]
#[case::earlier_process(Some(6), 9, true)]
#[case::earlier_process_read_later(Some(6), 13, false)]
#[case::reported_process(Some(7), 9, false)]
#[case::unknown_process(None, 9, false)]
#[case::later_start_read_before(Some(8), 9, true)]
#[case::later_start_read_later(Some(8), 13, false)]
fn an_ended_process_stays_ended_when_the_next_one_is_listed(
    #[case] started_ms: Option<u64>,
    #[case] shown_at: i64,
    #[case] expected: bool,
) {
    let mut listings = Listings::default();
    let departure = Report {
        process: process(Some(6)),
        ..report(10, false)
    };
    assert!(listings.record(at(100), &departure));
    assert!(listings.record(at(101), &report(12, true)));
    let left = listings.has_left(&endpoint(), process(started_ms), Revision::from(shown_at));
    assert_eq!(left, expected);
    // The next process left, too.
    assert!(listings.record(at(102), &report(14, false)));
    assert!(listings.has_left(&endpoint(), process(Some(6)), Revision::from(9)));
}

/// Returns a revision of an era that began when the source was restored from a copy.
fn restored(number: i64) -> Revision {
    Revision {
        era: Era::from(1),
        number,
    }
}

/// Guards against ORDER: that another process of an endpoint is listed later ends the one before,
/// also if nothing is known of its departure, and if a clock was set back between their starts.
#[rstest]
#[case::earlier_process(Some(6), 11, true)]
#[case::set_back(Some(8), 11, true)]
#[case::read_later(Some(6), 13, false)]
#[case::same_process(Some(7), 11, false)]
#[case::unknown_process(None, 11, false)]
fn a_process_ends_when_another_one_is_listed(
    #[case] started_ms: Option<u64>,
    #[case] shown_at: i64,
    #[case] expected: bool,
) {
    let mut listings = Listings::default();
    assert!(listings.record(at(100), &report(12, true)));
    let left = listings.has_left(&endpoint(), process(started_ms), Revision::from(shown_at));
    assert_eq!(left, expected);
}

/// Guards against a process that is given up because the source was restored from a copy that
/// lists the one before: there the start times decide.
#[rstest]
#[case::copy_of_the_one_before(8, 12, false)]
#[case::written_after_the_restoration(8, 41, true)]
#[case::copy_of_a_later_one(6, 12, true)]
fn a_restored_copy_ends_no_later_process(
    #[case] started_ms: u64,
    #[case] listed_at: i64,
    #[case] expected: bool,
) {
    let mut listings = Listings::default();
    let known = Revision::from(40);
    let listed = Report {
        revision: restored(listed_at),
        ..report(0, true)
    };
    assert!(listings.record(at(100), &listed));
    let left = listings.has_left(&endpoint(), process(Some(started_ms)), known);
    assert_eq!(left, expected);
}

/// Guards against a report of a restored copy that hides which process was listed before.
#[test]
fn a_restored_copy_does_not_replace_a_later_process() {
    let mut listings = Listings::default();
    assert!(listings.record(at(100), &report(40, true)));
    let copy = Report {
        process: process(Some(6)),
        revision: restored(12),
        ..report(0, true)
    };
    assert!(!listings.record(at(101), &copy));
    assert!(listings.has_left(&endpoint(), process(Some(6)), Revision::from(12)));
    assert!(!listings.has_left(&endpoint(), process(Some(7)), Revision::from(40)));
}

/// Reports that arrive late or twice change nothing; a later one brings the endpoint back.
#[test]
fn the_revision_decides_between_reports() {
    let mut listings = Listings::default();
    assert!(listings.record(at(100), &report(8, true)), "nothing known");
    assert!(
        !listings.record(at(100), &report(9, true)),
        "the same again"
    );
    assert!(listings.record(at(100), &report(10, false)));
    assert!(
        !listings.record(at(100), &report(10, false)),
        "a repetition"
    );
    assert!(!listings.record(at(100), &report(9, true)), "an older view");
    assert!(listings.has_left(&endpoint(), process(Some(7)), Revision::from(5)));
    assert!(listings.record(at(101), &report(12, true)));
    assert!(!listings.has_left(&endpoint(), process(Some(7)), Revision::from(5)));
    assert!(
        !listings.record(at(102), &report(11, false)),
        "an older view"
    );
    assert!(listings.record(at(103), &report(13, false)));
    assert!(listings.has_left(&endpoint(), process(Some(7)), Revision::from(12)));
}

/// Listings are passed on with their age, for a limited time; what they say holds longer.
#[test]
fn listings_are_reported_for_a_limited_time() {
    let mut listings = Listings::default();
    let age = REPORT_TIME / 2;
    let old = Report {
        age,
        ..report(10, false)
    };
    listings.record(at(100), &old);
    assert_eq!(listings.reports(at(100)), [old]);
    listings.expire(at(100) + age);
    assert!(listings.reports(at(100) + age).is_empty());
    assert!(listings.has_left(&endpoint(), process(Some(7)), Revision::from(5)));
}
