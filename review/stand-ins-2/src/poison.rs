//! CONFIG: requests that crash replicas take with them all requests whose prompts begin with
//! the same part.

use std::{
    io,
    net::SocketAddr,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    callers::Outcomes,
    http,
    record::Record,
    replica::CRASHING,
    site::{self, Site},
};

const ZONES: [&str; 3] = ["z-a", "z-b", "z-c"];
const REPLICAS: usize = 12;

/// Groups of requests: those on the first route and on the added one.
const FIRST: usize = 0;
const ADDED: usize = 1;

/// Parts with which the prompts of the first route and of the added one begin.
const FIRST_PART: &str = "0b7d11e4";
const ADDED_PART: &str = "5c1e07a2";

/// Requests that are sent at once on each route, and the time between two such batches.
const BATCH: usize = 6;
const BATCH_EVERY: Duration = Duration::from_secs(8);
const DEADLINE: Duration = Duration::from_secs(15);
/// Events of an answer, one in each of these times.
const EVENTS: usize = 49;
const EVENT_PAUSE: Duration = Duration::from_millis(40);

/// When the route is added, and when the first batch is sent on it.
const ADDED_AT: Duration = Duration::from_secs(1);
const FIRST_BATCH_AT: Duration = Duration::from_secs(4);

/// When the first request that crashes replicas is sent: between two batches.
const CRASHING_AT: Duration = Duration::from_millis(8500);
/// Such requests, how often each is sent, and the time between two sends.
const CRASHING_REQUESTS: usize = 3;
const CRASHING_SENDS: usize = 3;
const CRASHING_EVERY: Duration = Duration::from_millis(350);
/// Time after which a replica that crashed is back.
const BACK_AFTER: Duration = Duration::from_secs(2);

/// From when on requests are judged: `contactMs` after the last replica is back, at the
/// latest, the system is in steady state; and when the last batch is sent.
const JUDGED_FROM: Duration = Duration::from_secs(19);
const END: Duration = Duration::from_secs(62);

/// Fewest requests on added routes that the rule judges.
const FEWEST: usize = 20;

/// Sends batches on both routes; returns all outcomes once the last request has ended.
fn send_batches(addresses: &[SocketAddr], began: Instant, record: &Record) -> Outcomes {
    let outcomes = Outcomes::default();
    let mut requests = Vec::new();
    let mut at = FIRST_BATCH_AT;
    while at < END {
        thread::sleep(at.saturating_sub(began.elapsed()));
        for number in 0..2 * BATCH {
            let group = number % 2;
            let (prefix, part) = if group == ADDED {
                (site::PLAN, ADDED_PART)
            } else {
                (site::REPLY, FIRST_PART)
            };
            let number = requests.len();
            let address = addresses[number / 2 % addresses.len()];
            let (outcomes, record) = (outcomes.clone(), record.clone());
            requests.push(thread::spawn(move || {
                let sent = began.elapsed();
                let attempt = format!("a{number:08x}");
                let request = site::prompt(prefix, &attempt, (part, number), 294, DEADLINE);
                let status = site::status(&http::call(address, &request, DEADLINE));
                record.line(&format!(
                    "{attempt} on {prefix}, sent at {:.3} s: {status:?}",
                    sent.as_secs_f64()
                ));
                outcomes.add(group, sent, status);
            }));
        }
        at += BATCH_EVERY;
    }
    for request in requests {
        request.join().unwrap();
    }
    outcomes
}

/// Sends the requests that crash replicas, each again and again, at one machine after the other.
fn send_crashing(addresses: &[SocketAddr], record: &Record) {
    for send in 0..CRASHING_SENDS * CRASHING_REQUESTS {
        let (address, request) = (addresses[send % addresses.len()], send % CRASHING_REQUESTS);
        let record = record.clone();
        thread::spawn(move || {
            let attempt = format!("b{send:08x}");
            let target = format!("{}{request}{CRASHING}", site::PLAN);
            let message = site::prompt(
                &target,
                &attempt,
                (ADDED_PART, 0xbad_000 + request),
                294,
                DEADLINE,
            );
            let status = site::status(&http::call(address, &message, DEADLINE));
            record.say(&format!(
                "{attempt}, request {request} of those that crash replicas: {status:?}"
            ));
        });
        thread::sleep(CRASHING_EVERY);
    }
}

pub fn play(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(folder)?;
    let service = site::drafter(EVENTS, EVENT_PAUSE);
    let mut site = Site::start(&ZONES, site::REPLY_ROUTE, service, REPLICAS)?;
    record.say("traffic starts");
    let began = Instant::now();
    let addresses = site.addresses();
    let (to, log) = (addresses.clone(), record.clone());
    let callers = thread::spawn(move || send_batches(&to, began, &log));
    thread::sleep(ADDED_AT.saturating_sub(began.elapsed()));
    site.configure(2, &format!("{},{}", site::REPLY_ROUTE, site::PLAN_ROUTE));
    record.say("a version with a further route is acknowledged");
    thread::sleep(CRASHING_AT.saturating_sub(began.elapsed()));
    let log = record.clone();
    let crashing = thread::spawn(move || {
        if has_trouble {
            send_crashing(&addresses, &log);
        }
    });
    while !callers.is_finished() {
        thread::sleep(Duration::from_millis(20));
        for (crashed, started) in site.replace_crashed(BACK_AFTER)? {
            record.say(&format!(
                "{crashed} had crashed; {started} starts in its place"
            ));
        }
    }
    crashing.join().unwrap();
    let outcomes = callers.join().unwrap();
    let crashed = site.replicas.iter();
    let crashed = crashed.filter(|replica| replica.crashed_at().is_some());
    record.say(&format!("{} replicas crashed", crashed.count()));
    for gateway in &site.gateways {
        let refused = gateway.count_log("\"reason\":\"quarantine\"");
        record.say(&format!(
            "log of a machine: {refused} requests refused with the reason `quarantine`"
        ));
    }
    let (early_sent, early) = outcomes.count(ADDED, Duration::ZERO, CRASHING_AT);
    record.say(&format!(
        "added route, before: {early} of {early_sent} served"
    ));
    if early * 2 < early_sent || early_sent == 0 {
        return Err(io::Error::other("the added route was not served before"));
    }
    let (first_sent, first) = outcomes.count(FIRST, JUDGED_FROM, END);
    let (added_sent, added) = outcomes.count(ADDED, JUDGED_FROM, END);
    record.say(&format!(
        "first route, in steady state: {first} of {first_sent} served"
    ));
    record.say(&format!(
        "added route, in steady state: {added} of {added_sent} served"
    ));
    if added_sent >= FEWEST && added * first_sent * 4 < first * added_sent {
        record.say("CONFIG is broken: the added route is served less than a quarter as often as the first one");
        return Ok(Verdict::Broken);
    }
    record.say("CONFIG holds");
    Ok(Verdict::Held)
}
