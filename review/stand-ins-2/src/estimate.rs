//! CONFIG: requests whose callers allow long answers are refused for good, as others of their
//! route show that short ones end in time.

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
    replica::Replica,
    site::{self, Site},
};

const ZONES: [&str; 3] = ["z-a", "z-b", "z-c"];
const REPLICAS: usize = 12;
const DEADLINE: Duration = Duration::from_secs(12);
/// Events of every answer, one in each of these times; an event holds six tokens.
const EVENTS: usize = 49;
const EVENT_PAUSE: Duration = Duration::from_millis(40);

/// When the route is added.
const ADDED_AT: Duration = Duration::from_secs(1);
/// From when on requests are judged, and when the last ones are sent.
const JUDGED_FROM: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(45);

/// Fewest requests on added routes that the rule judges.
const FEWEST: usize = 20;

/// Callers that send the same kind of request at regular times.
#[derive(Clone, Copy)]
struct Group {
    name: &'static str,
    prefix: &'static str,
    is_added: bool,
    /// Most tokens of an answer that they allow.
    output: usize,
    begins: Duration,
    every: Duration,
}

const FIRST: Group = Group {
    name: "callers of the first route",
    prefix: site::REPLY,
    is_added: false,
    output: 300,
    begins: Duration::ZERO,
    every: Duration::from_millis(160),
};
/// Callers of the added route that allow about as many tokens as they get.
const CLOSE: Group = Group {
    name: "callers of the added route that allow 300 tokens",
    prefix: site::PLAN,
    is_added: true,
    output: 300,
    begins: Duration::from_secs(3),
    every: Duration::from_millis(330),
};
/// Those that come later and allow many more than they get.
const GENEROUS: Group = Group {
    name: "callers of the added route that came later",
    prefix: site::PLAN,
    is_added: true,
    output: 8192,
    begins: Duration::from_secs(6),
    every: Duration::from_millis(65),
};

/// Sends the requests of a group; returns once the last one has ended.
fn send(
    (index, group): (usize, Group),
    addresses: &[SocketAddr],
    began: Instant,
    outcomes: &Outcomes,
    record: &Record,
) {
    let mut requests = Vec::new();
    let mut at = group.begins;
    while at < END {
        thread::sleep(at.saturating_sub(began.elapsed()));
        let number = requests.len();
        let address = addresses[number % addresses.len()];
        let (outcomes, record) = (outcomes.clone(), record.clone());
        requests.push(thread::spawn(move || {
            let sent = began.elapsed();
            let attempt = format!("a{index}{number:07x}");
            let part = (
                if group.is_added {
                    "5c1e07a2"
                } else {
                    "0b7d11e4"
                },
                number,
            );
            let request = site::prompt(group.prefix, &attempt, part, group.output, DEADLINE);
            let status = site::status(&http::call(address, &request, DEADLINE));
            let took = began.elapsed().saturating_sub(sent).as_millis();
            record.line(&format!(
                "{attempt}, {}: {status:?} after {took} ms",
                group.name
            ));
            outcomes.add(index, sent, status);
        }));
        at += group.every;
    }
    for request in requests {
        request.join().unwrap();
    }
}

pub fn play(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(folder)?;
    let service = site::drafter(EVENTS, EVENT_PAUSE);
    let site = Site::start(&ZONES, site::REPLY_ROUTE, service, REPLICAS)?;
    let mut groups = [FIRST, CLOSE, GENEROUS];
    if !has_trouble {
        groups[2].output = CLOSE.output;
    }
    record.say("traffic starts");
    let began = Instant::now();
    let outcomes = Outcomes::default();
    let mut callers = Vec::new();
    for group in groups.into_iter().enumerate() {
        let (addresses, outcomes, record) = (site.addresses(), outcomes.clone(), record.clone());
        callers.push(thread::spawn(move || {
            send(group, &addresses, began, &outcomes, &record);
        }));
    }
    thread::sleep(ADDED_AT.saturating_sub(began.elapsed()));
    site.configure(2, &format!("{},{}", site::REPLY_ROUTE, site::PLAN_ROUTE));
    record.say("a version with a further route is acknowledged");
    let mut most = 0;
    while callers.iter().any(|caller| !caller.is_finished()) {
        thread::sleep(Duration::from_millis(100));
        most = most.max(site.replicas.iter().map(Replica::running).sum());
    }
    for caller in callers {
        caller.join().unwrap();
    }
    record.say(&format!(
        "at most {most} of {} places of replicas were taken",
        REPLICAS * 11
    ));
    let (mut first, mut added) = ((0, 0), (0, 0));
    for (index, group) in groups.iter().enumerate() {
        let (sent, served) = outcomes.count(index, JUDGED_FROM, Duration::MAX);
        record.say(&format!(
            "{}, at most {} tokens: {served} of {sent} served",
            group.name, group.output
        ));
        let sums = if group.is_added {
            &mut added
        } else {
            &mut first
        };
        *sums = (sums.0 + sent, sums.1 + served);
    }
    if first.1 * 2 < first.0 {
        return Err(io::Error::other("the first route was not served"));
    }
    if added.0 >= FEWEST && added.1 * first.0 * 4 < first.1 * added.0 {
        record.say("CONFIG is broken: the added route is served less than a quarter as often as the first one");
        return Ok(Verdict::Broken);
    }
    record.say("CONFIG holds");
    Ok(Verdict::Held)
}
