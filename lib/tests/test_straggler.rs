//! An endpoint that slows down gets a smaller window, but still some work, so that
//! its recovery is noticed.

mod support;

use dottereltally_lib::{
    balance::Policy,
    event::{Event, Outcome},
    id::Request,
    request::Profile,
    scheduler::Scheduler,
    size::Tokens,
};
use support::{admitted, arrive, at, core, profile};

/// Sends four requests every 500 ms, which `e0` serves at the given speed and
/// the other endpoints at 50 tokens per second, and counts the admissions to
/// `e0`.
fn serve(core: &mut Scheduler, from: u64, millis: u64, speed: u64) -> u64 {
    let mut admissions = 0;
    let mut running: Vec<(u64, bool)> = Vec::new();
    for now in (from..from + millis).step_by(500) {
        for _ in 0..4 {
            let request = now * 10 + running.len() as u64;
            let wanted = Profile {
                deadline: at(now + 60_000),
                ..profile(1, 400, 100)
            };
            let effects = arrive(core, now, request, wanted);
            if let Some(endpoint) = admitted(&effects, request) {
                let slow = endpoint.as_str() == "e0";
                admissions += u64::from(slow);
                running.push((request, slow));
                core.handle(at(now + 10), Event::Started(Request(request)));
            } else {
                core.handle(at(now), Event::Withdrawn(Request(request)));
            }
        }
        let served = std::mem::take(&mut running);
        for (request, slow) in served {
            let tokens = Tokens(if slow { speed / 2 } else { 25 });
            core.handle(at(now + 510), Event::Progressed(Request(request), tokens));
            let outcome = Outcome::Answered {
                cached: Tokens(0),
                output: tokens,
            };
            core.handle(at(now + 520), Event::Ended(Request(request), outcome));
        }
    }
    admissions
}

#[test]
fn straggler_loses_window_and_recovers() {
    let mut core = core(Policy::TwoChoices, 1200, 3);
    serve(&mut core, 0, 10_000, 50);
    let normal = serve(&mut core, 20_000, 10_000, 50);
    serve(&mut core, 40_000, 20_000, 4);
    let slow = serve(&mut core, 70_000, 10_000, 4);
    serve(&mut core, 90_000, 60_000, 50);
    let recovered = serve(&mut core, 160_000, 10_000, 50);
    assert!(
        slow > 0,
        "a slow endpoint gets some work, so that its recovery is noticed"
    );
    assert!(
        slow * 4 <= normal * 3,
        "{normal} admissions at full speed, {slow} when slow"
    );
    assert!(
        recovered * 4 >= normal * 3,
        "{normal} admissions before the slowdown, {recovered} after"
    );
}
