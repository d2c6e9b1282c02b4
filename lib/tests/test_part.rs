//! Parts of prompts that crash endpoints.

use std::collections::BTreeSet;

use dottereltally_lib::{
    crash::{Detector, Finding, Subject, Trial},
    id::{self, Fingerprint},
    quarantine::Verdict,
    suspicion::{Kind, Mark, SUSPICION_TTL, Source},
    time,
};
use rstest::rstest;

/// Time from a death until a part is refused for it.
const WITHDRAWAL_MS: u64 = 500;

/// Endpoints that may end of a part that is known to crash them.
const MOST_ENDED: usize = 3;

fn at(millis: u64) -> time::Instant {
    time::Instant::from_micros(millis * 1000)
}

fn endpoint(number: u64) -> id::Endpoint {
    id::Endpoint::from(format!("e{number}"))
}

fn part(text: &str) -> Fingerprint {
    let part: id::Part = text.parse().unwrap();
    part.into()
}

/// Returns a request that is unlike all others.
fn subject(number: u64, parts: &[&str]) -> Subject {
    Subject {
        request: Fingerprint::of_request(number),
        parts: parts.iter().map(|text| part(text)).collect(),
    }
}

/// Loses a request at an endpoint of its own, and examines that.
fn lose(detector: &mut Detector, millis: u64, subject: &Subject, finding: Finding) {
    let endpoint = endpoint(millis);
    let attempt = detector.start(at(millis), subject.clone(), &endpoint);
    detector.lose(at(millis + 1), attempt.unwrap());
    detector.conclude(at(millis + 3), &endpoint, at(millis + 2), finding);
}

/// Loses `count` requests with these parts, at as many endpoints.
fn lose_all(detector: &mut Detector, start_ms: u64, parts: &[&str], count: u64) {
    for number in 0..count {
        let millis = start_ms + number * 10;
        lose(detector, millis, &subject(millis, parts), Finding::Dead);
    }
}

fn refused(detector: &Detector, millis: u64, parts: &[&str]) -> Option<Fingerprint> {
    detector.refused(at(millis), &subject(u64::MAX, parts))
}

fn share(from: &mut Detector, to: &mut Detector, millis: u64) {
    for mark in from.marks_to_share(at(millis)) {
        to.apply_mark(at(millis), mark);
    }
}

/// Guards against BUDGET: no two requests with the part are alike.
#[rstest]
#[case::died(Finding::Dead)]
#[case::silent(Finding::Silent)]
fn a_part_at_three_deaths_is_refused(#[case] finding: Finding) {
    let mut detector = Detector::default();
    for millis in [0, 10, 20] {
        assert_eq!(refused(&detector, millis, &["bad"]), None);
        lose(
            &mut detector,
            millis,
            &subject(millis, &["a", "bad"]),
            finding,
        );
        let answered = [part("a")];
        detector.clear_parts(at(millis + 5), &answered);
    }
    assert_eq!(
        refused(&detector, 100, &["bad"]),
        None,
        "others may withdraw it"
    );
    let later = 23 + WITHDRAWAL_MS;
    assert_eq!(refused(&detector, later, &["a", "bad"]), Some(part("bad")));
    assert_eq!(refused(&detector, later, &["a", "b"]), None);
}

#[test]
fn the_last_deaths_may_be_known_to_other_nodes() {
    let (mut one, mut other) = (Detector::default(), Detector::default());
    lose_all(&mut one, 0, &["bad"], 2);
    lose_all(&mut other, 50, &["bad"], 1);
    share(&mut one, &mut other, 100);
    share(&mut other, &mut one, 100);
    for detector in [&one, &other] {
        assert_eq!(refused(detector, 700, &["bad"]), Some(part("bad")));
    }
    let mut late = Detector::default();
    share(&mut one, &mut late, 60_000);
    assert_eq!(refused(&late, 60_600, &["bad"]), Some(part("bad")));
}

/// Guards against LOST: endpoints that lose power together end requests with parts that
/// most others share.
#[test]
fn a_part_that_was_answered_is_never_refused() {
    let mut detector = Detector::default();
    detector.clear_parts(at(0), &[part("a")]);
    lose_all(&mut detector, 10, &["a"], 9);
    assert_eq!(refused(&detector, 5000, &["a"]), None);
    assert!(detector.marks_to_share(at(100)).len() <= 9, "requests only");
}

/// Guards against BUDGET: endpoints may crash on a part only since an update.
#[test]
fn a_part_that_was_answered_long_ago_is_refused() {
    let mut detector = Detector::default();
    detector.clear_parts(at(0), &[part("a")]);
    lose_all(&mut detector, 4000, &["a"], 3);
    assert_eq!(refused(&detector, 5000, &["a"]), Some(part("a")));
}

#[test]
fn a_node_that_knows_an_answer_withdraws_the_suspicion() {
    let (mut one, mut other) = (Detector::default(), Detector::default());
    other.clear_parts(at(0), &[part("a")]);
    lose_all(&mut one, 10, &["a"], 3);
    share(&mut one, &mut other, 100);
    share(&mut other, &mut one, 200);
    assert_eq!(refused(&one, 5000, &["a"]), None);
}

/// At one death, nobody has to know that a part is innocent; at the second, all must.
#[test]
fn the_withdrawal_of_one_suspicion_is_reported_with_the_next() {
    let (mut one, mut other) = (Detector::default(), Detector::default());
    lose_all(&mut one, 0, &["a"], 1);
    share(&mut one, &mut other, 50);
    other.clear_parts(at(60), &[part("a")]);
    share(&mut one, &mut other, 65);
    assert_eq!(other.marks_to_share(at(70)).len(), 0);
    lose_all(&mut one, 6000, &["a"], 2);
    share(&mut one, &mut other, 6100);
    other.clear_parts(at(6200), &[part("a")]);
    assert_eq!(other.marks_to_share(at(6300)).len(), 3);
    share(&mut other, &mut one, 6300);
    assert_eq!(refused(&one, 7000, &["a"]), None);
    other.clear_parts(at(20_000), &[part("a")]);
    assert_eq!(other.marks_to_share(at(20_100)).len(), 0, "known by now");
}

#[test]
fn an_answer_ends_the_refusal_everywhere() {
    let (mut one, mut other) = (Detector::default(), Detector::default());
    lose_all(&mut one, 0, &["a"], 3);
    share(&mut one, &mut other, 100);
    assert_eq!(refused(&other, 700, &["a"]), Some(part("a")));
    one.clear_parts(at(800), &[part("a")]);
    share(&mut one, &mut other, 900);
    assert_eq!(refused(&other, 1000, &["a"]), None);
}

/// Guards against LOST: sound requests share the other parts of the prompts.
#[test]
fn deaths_are_put_down_to_the_part_that_was_at_more_of_them() {
    let mut detector = Detector::default();
    lose_all(&mut detector, 0, &["5e", "bad"], 3);
    lose_all(&mut detector, 50, &["7e", "bad"], 1);
    assert_eq!(refused(&detector, 700, &["5e"]), None);
    assert_eq!(refused(&detector, 700, &["bad"]), Some(part("bad")));
}

/// Guards against LOST: where all requests with the part share another one, a sound
/// request with that one decides.
#[rstest]
#[case::it_is_answered(true)]
#[case::it_ends_its_endpoint(false)]
fn parts_that_were_at_the_same_deaths_are_told_apart(#[case] is_answered: bool) {
    let mut detector = Detector::default();
    for millis in 0..6 {
        let both = subject(millis, &["5e", "bad"]);
        lose(&mut detector, millis * 10, &both, Finding::Dead);
    }
    let both = Some(part("5e"));
    assert_eq!(refused(&detector, 700, &["5e", "bad"]), both);
    let sound = detector.start(at(700), subject(7, &["5e", "7e"]), &endpoint(7));
    let sound = sound.expect("it is tried");
    let second = detector.start(at(700), subject(8, &["5e"]), &endpoint(8));
    assert_eq!(second.unwrap_err(), Verdict::Suspect, "one at a time");
    if is_answered {
        detector.finish(&sound);
        detector.clear_parts(at(800), &[part("5e"), part("7e")]);
        assert_eq!(refused(&detector, 800, &["5e", "7e"]), None);
        assert_eq!(refused(&detector, 800, &["bad"]), Some(part("bad")));
    } else {
        detector.lose(at(800), sound);
        detector.conclude(at(802), &endpoint(7), at(801), Finding::Dead);
        assert_eq!(refused(&detector, 1400, &["5e"]), Some(part("5e")));
        assert_eq!(refused(&detector, 1400, &["bad"]), None);
    }
}

#[test]
fn deaths_are_put_down_to_a_request_that_is_repeated() {
    let mut detector = Detector::default();
    let repeated = subject(1, &["5e"]);
    for millis in [0, 35_000, 70_000] {
        lose(&mut detector, millis, &repeated, Finding::Dead);
    }
    let verdict = detector.verdict(at(71_000), repeated.request);
    assert_eq!(verdict, Verdict::Confirmed);
    assert_eq!(refused(&detector, 71_000, &["5e"]), None);
}

#[test]
fn three_deaths_refuse_for_a_short_time_and_five_for_long() {
    let mut detector = Detector::default();
    lose_all(&mut detector, 0, &["bad"], 3);
    assert_eq!(refused(&detector, 29_000, &["bad"]), Some(part("bad")));
    assert_eq!(refused(&detector, 31_000, &["bad"]), None);
    lose_all(&mut detector, 31_000, &["bad"], 1);
    assert_eq!(refused(&detector, 31_010, &["bad"]), Some(part("bad")));
    assert_eq!(refused(&detector, 62_000, &["bad"]), None);
    lose_all(&mut detector, 62_000, &["bad"], 1);
    assert_eq!(refused(&detector, 500_000, &["bad"]), Some(part("bad")));
}

/// Guards against BUDGET: in a large fleet, one trial at each node is many.
#[test]
fn a_part_is_tried_by_one_request_at_a_node_that_found_a_death() {
    let (mut one, mut other) = (Detector::default(), Detector::default());
    lose_all(&mut one, 0, &["bad"], 3);
    share(&mut one, &mut other, 100);
    assert_eq!(refused(&other, 31_000, &["bad"]), Some(part("bad")));
    let trial = one.start(at(31_000), subject(1, &["bad"]), &endpoint(1));
    let second = one.start(at(31_000), subject(2, &["bad"]), &endpoint(2));
    assert_eq!(second.unwrap_err(), Verdict::Suspect);
    one.lose(at(31_100), trial.unwrap());
    let third = one.start(at(31_200), subject(3, &["bad"]), &endpoint(3));
    assert_eq!(third.unwrap_err(), Verdict::Suspect, "still examined");
}

/// Guards against BUDGET: an answer that ends with its connection looks complete when
/// the endpoint dies.
#[rstest]
#[case::dead(Finding::Dead, true)]
#[case::alive(Finding::Alive, false)]
fn an_unconfirmed_answer_counts_by_the_state_of_its_endpoint(
    #[case] finding: Finding,
    #[case] is_refused: bool,
) {
    let mut detector = Detector::default();
    for millis in [0, 10, 20] {
        let endpoint = endpoint(millis);
        let attempt = detector.start(at(millis), subject(millis, &["bad"]), &endpoint);
        assert!(detector.finish_unconfirmed(at(millis + 1), attempt.unwrap()));
        detector.conclude(at(millis + 3), &endpoint, at(millis + 2), finding);
    }
    assert_eq!(refused(&detector, 700, &["bad"]).is_some(), is_refused);
    if !is_refused {
        lose_all(&mut detector, 800, &["bad"], 3);
        assert_eq!(refused(&detector, 1400, &["bad"]), None, "it was answered");
    }
}

#[test]
fn changes_of_refused_parts_are_reported_once() {
    let mut detector = Detector::default();
    lose_all(&mut detector, 0, &["bad"], 3);
    assert_eq!(detector.review(at(100)), []);
    let changes = detector.review(at(700));
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].fingerprint, part("bad"));
    assert_eq!(changes[0].count.died, 3);
    assert_eq!(detector.review(at(800)), []);
    detector.clear_parts(at(900), &[part("bad")]);
    assert_eq!(detector.review(at(1000)).len(), 1);
    assert_eq!(detector.refused_parts(), 0);

    lose_all(&mut detector, 2000, &["7e"], 3);
    assert_eq!(detector.review(at(3000)).len(), 1);
    lose_all(&mut detector, 33_000, &["7e"], 1);
    assert_eq!(detector.review(at(34_000)), []);
    lose_all(&mut detector, 64_000, &["7e"], 1);
    let changes = detector.review(at(65_000));
    assert_eq!(changes.len(), 1, "refused for longer");
    assert_eq!(changes[0].count.died, 5);
}

#[test]
fn the_memory_of_answered_parts_is_bounded() {
    let mut detector = Detector::default();
    for number in 0..20_000_u64 {
        let text = format!("{number:x}");
        detector.clear_parts(at(0), &[part(&text)]);
    }
    let is_known = |detector: &mut Detector, start_ms: u64, text: &str| {
        lose_all(detector, start_ms, &[text], 3);
        refused(detector, start_ms + 600, &[text]).is_none()
    };
    assert!(is_known(&mut detector, 100, "4e1f"), "the newest");
    assert!(!is_known(&mut detector, 1000, "1"), "the oldest");
}

#[rstest]
#[case("5C1E", "5c1e")]
#[case("0005c1e", "5c1e")]
#[case("0", "0")]
fn ids_are_equal_without_case_and_zeros(#[case] text: &str, #[case] expected: &str) {
    let part: id::Part = text.parse().unwrap();
    assert_eq!(part.to_string(), expected);
}

#[test]
fn long_ids_differ() {
    let long = |last: char| format!("{}{last}", "f".repeat(40));
    let parts: Vec<id::Part> = ['0', '1'].map(|last| long(last).parse().unwrap()).into();
    assert_ne!(parts[0], parts[1]);
    assert!(Fingerprint::from(parts[0]).is_part());
    assert!(!Fingerprint::of_request(u64::MAX).is_part());
}

#[rstest]
#[case("")]
#[case("5g")]
#[case("-1")]
fn other_texts_are_no_ids(#[case] text: &str) {
    assert!(text.parse::<id::Part>().is_err());
}

/// Guards against BUDGET: a part of another request that ran at the same endpoints is no
/// reason to send a repeated request again.
#[test]
fn parts_of_other_requests_do_not_release_a_repeated_one() {
    let mut detector = Detector::default();
    let repeated = subject(1, &["a"]);
    for millis in [0, 35_000] {
        let other = subject(millis + 2, &["bad"]);
        let endpoint = endpoint(millis);
        let attempts = [&repeated, &other]
            .map(|sent| detector.start(at(millis), sent.clone(), &endpoint).unwrap());
        for attempt in attempts {
            detector.lose(at(millis + 1), attempt);
        }
        detector.conclude(at(millis + 3), &endpoint, at(millis + 2), Finding::Dead);
    }
    let refused = detector.refused(at(36_000), &repeated);
    assert_eq!(refused, Some(repeated.request));
}

/// Where a suspicion comes from tells whether a living node can know better.
#[test]
fn evidence_names_its_source_and_age() {
    let mark = |incarnation| Mark {
        fingerprint: part("bad"),
        incarnation: id::Incarnation(incarnation),
        kind: Kind::Died,
        valid: SUSPICION_TTL,
    };
    let mut detector = Detector::default();
    let evidence = |detector: &Detector| detector.evidence(at(1000), part("bad"));
    assert_eq!(evidence(&detector), None);
    detector.inherit_mark(at(100), mark(1));
    assert_eq!(evidence(&detector).unwrap().source, Source::Inherited);
    detector.apply_mark(at(200), mark(1));
    assert_eq!(evidence(&detector).unwrap().source, Source::Inherited);
    detector.apply_mark(at(300), mark(2));
    assert_eq!(evidence(&detector).unwrap().source, Source::Reported);
    lose_all(&mut detector, 400, &["bad"], 1);
    let evidence = evidence(&detector).unwrap();
    assert_eq!(evidence.source, Source::Own);
    assert_eq!(evidence.oldest.as_millis(), 900);
    assert!(evidence.newest.as_millis() < 600);
}

/// Deaths of the part `bad` that a node reads when it starts.
fn kept_deaths(count: u64) -> Vec<Mark> {
    let mut marks = Vec::new();
    for incarnation in 0..count {
        marks.push(Mark {
            fingerprint: part("bad"),
            incarnation: id::Incarnation(incarnation),
            kind: Kind::Died,
            valid: SUSPICION_TTL,
        });
    }
    marks
}

/// Starts a node that reads what the key-value service keeps.
fn heir(millis: u64, marks: &[Mark], claims: &BTreeSet<Trial>) -> Detector {
    let mut detector = Detector::default();
    for mark in marks {
        detector.inherit_mark(at(millis), *mark);
    }
    for trial in claims {
        detector.record_trial(at(millis), *trial, Source::Inherited);
    }
    detector
}

/// Claims the trials that a request with the part needs, as the key-value service grants
/// each of them once; returns whether it may be sent.
fn try_at(detector: &mut Detector, millis: u64, claims: &mut BTreeSet<Trial>) -> bool {
    let subject = subject(millis, &["bad"]);
    let claimable = detector.claimable(at(millis), &subject);
    for trial in claimable.unwrap_or_default() {
        if claims.insert(trial) {
            detector.grant(at(millis), trial);
        } else {
            detector.record_trial(at(millis), trial, Source::Reported);
        }
    }
    detector.refused(at(millis), &subject).is_none()
}

/// Guards against BUDGET: what nodes inherit is in force from their start.
#[rstest]
fn an_inherited_suspicion_is_in_force_at_once(#[values(3, 5)] count: u64) {
    let detector = heir(0, &kept_deaths(count), &BTreeSet::new());
    assert_eq!(refused(&detector, 0, &["bad"]), Some(part("bad")));
}

/// Guards against RECOVER: nothing but an answer can disprove what all nodes inherited.
#[rstest]
fn the_answer_to_a_trial_ends_an_inherited_refusal(#[values(3, 5)] count: u64) {
    let marks = kept_deaths(count);
    let mut claims = BTreeSet::new();
    let mut one = heir(0, &marks, &claims);
    let mut other = heir(0, &marks, &claims);
    for millis in [100, 4900] {
        assert!(
            !try_at(&mut one, millis, &mut claims),
            "others may know better"
        );
    }
    assert!(try_at(&mut one, 5100, &mut claims));
    assert!(
        !try_at(&mut other, 5100, &mut claims),
        "one trial for all nodes"
    );
    let attempt = one.start(at(5100), subject(1, &["bad"]), &endpoint(1));
    let attempt = attempt.unwrap();
    assert_eq!(
        refused(&one, 5200, &["bad"]),
        Some(part("bad")),
        "one request"
    );
    one.finish(&attempt);
    one.clear_parts(at(5300), &[part("bad")]);
    share(&mut one, &mut other, 5400);
    for detector in [&one, &other] {
        assert_eq!(refused(detector, 6000, &["bad"]), None);
    }
}

/// Guards against BUDGET: trials must not let a crashing part through, in however many
/// nodes, and however often all of them are killed.
#[rstest]
fn trials_end_few_endpoints(#[values(8, 350)] nodes: usize, #[values(3, 5)] count: u64) {
    let marks = kept_deaths(count);
    let mut claims = BTreeSet::new();
    let mut ended = 0;
    for start in [0, 50_000, 100_000, 150_000, 300_000] {
        let mut fleet = vec![heir(start, &marks, &claims); nodes];
        for millis in (start..start + 50_000).step_by(500) {
            for (number, detector) in fleet.iter_mut().enumerate() {
                if !try_at(detector, millis, &mut claims) {
                    continue;
                }
                let name = endpoint(millis * 1000 + u64::try_from(number).unwrap());
                let attempt = detector.start(at(millis), subject(millis, &["bad"]), &name);
                detector.lose(at(millis + 1), attempt.unwrap());
                detector.conclude(at(millis + 2), &name, at(millis + 1), Finding::Dead);
                ended += 1;
            }
        }
    }
    assert!(ended >= 1, "a trial was made");
    assert!(ended <= MOST_ENDED, "{ended} endpoints ended");
}

/// Guards against RECOVER: the nodes that found out the deaths, and would try the part, may
/// be gone, while others that were told are left.
#[test]
fn a_node_that_was_told_tries_a_part_that_no_other_has_tried() {
    let mut told = Detector::default();
    for mark in kept_deaths(3) {
        told.apply_mark(at(0), mark);
    }
    let mut claims = BTreeSet::new();
    assert!(
        !try_at(&mut told, 50_000, &mut claims),
        "left to those that found it out"
    );
    assert!(try_at(&mut told, 61_000, &mut claims));
}

/// A node that knows of the deaths for certain from living nodes would hear of a withdrawal.
#[test]
fn a_node_that_was_told_for_certain_makes_no_trial() {
    let mut told = Detector::default();
    for mark in kept_deaths(5) {
        told.apply_mark(at(0), mark);
    }
    let mut claims = BTreeSet::new();
    for millis in (0..500_000).step_by(10_000) {
        assert!(!try_at(&mut told, millis + 1000, &mut claims));
    }
}

/// Guards against BUDGET: a whole request at three deaths ends no further endpoint, however
/// often nodes start.
#[rstest]
#[case::tried(2, true)]
#[case::certain(3, false)]
fn a_whole_request_is_tried_only_before_its_third_death(
    #[case] count: u64,
    #[case] is_tried: bool,
) {
    let request = Fingerprint::of_request(7);
    let mut marks = kept_deaths(count);
    for mark in &mut marks {
        mark.fingerprint = request;
    }
    let detector = heir(0, &marks, &BTreeSet::new());
    let subject = Subject::from(request);
    for millis in [6000, 20_000] {
        assert!(detector.refused(at(millis), &subject).is_some());
        let claimable = detector.claimable(at(millis), &subject);
        assert_eq!(claimable.is_some(), is_tried);
    }
}

/// Parts that were at the same deaths are disproved by one trial.
#[test]
fn parts_at_the_same_deaths_need_one_trial() {
    let mut marks = kept_deaths(3);
    for mark in kept_deaths(3) {
        let fingerprint = part("a150");
        marks.push(Mark {
            fingerprint,
            ..mark
        });
    }
    let mut detector = heir(0, &marks, &BTreeSet::new());
    let both = subject(1, &["bad", "a150"]);
    let claimable = detector.claimable(at(6000), &both).unwrap();
    assert_eq!(claimable.len(), 1);
    for trial in claimable {
        detector.grant(at(6000), trial);
    }
    assert_eq!(detector.refused(at(6000), &both), None);
    assert!(detector.start(at(6000), both.clone(), &endpoint(1)).is_ok());
    assert!(detector.refused(at(6001), &both).is_some(), "one request");
}

/// Callers come back when a trial may have ended the refusal, and not after ten minutes.
#[test]
fn refused_callers_come_back_for_the_trial() {
    let mut claims = BTreeSet::new();
    let mut detector = heir(0, &kept_deaths(5), &claims);
    let retry_ms = |detector: &Detector, millis| {
        let retry_after = detector.retry_after(at(millis), part("bad"));
        retry_after.unwrap().as_millis()
    };
    assert_eq!(retry_ms(&detector, 2000), 3000);
    assert_eq!(retry_ms(&detector, 4900), 1000);
    assert!(try_at(&mut detector, 5100, &mut claims));
    assert_eq!(retry_ms(&detector, 5200), 1000, "the trial may run");
    assert_eq!(retry_ms(&detector, 16_000), 49_100, "the next one");
    assert!(try_at(&mut detector, 66_000, &mut claims));
    assert!(retry_ms(&detector, 80_000) > 500_000, "no trial is left");
}
