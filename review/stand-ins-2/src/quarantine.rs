//! RECOVER: a suspicion that was withdrawn is in force again after all processes were killed.

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
    site::{self, Site},
};

/// Part with which all prompts begin.
const PART: &str = "5c1e07a2";

const ZONES: [&str; 3] = ["z-a", "z-b", "z-c"];
const REPLICAS: usize = 12;

/// Requests that a caller sends at once, and the time between two such batches.
const BATCH: usize = 12;
const BATCH_EVERY: Duration = Duration::from_secs(10);
const DEADLINE: Duration = Duration::from_secs(15);
/// Events of an answer, one in each of these times.
const EVENTS: usize = 64;
const EVENT_PAUSE: Duration = Duration::from_millis(60);

/// When replicas crash, for how long, and how many: a quarter of all.
const CRASH_AT: Duration = Duration::from_millis(1500);
const CRASH_FOR: Duration = Duration::from_secs(2);
const CRASHED: usize = 3;

/// When all processes are killed, and for how long they are down.
const KILL_AT: Duration = Duration::from_secs(16);
const DOWN_FOR: Duration = Duration::from_secs(1);

/// `recoveryS`, and the time after it in which requests are judged.
const RECOVERY: Duration = Duration::from_secs(12);
const JUDGED_FOR: Duration = Duration::from_secs(22);

/// Sends one request; the first part of its prompt is the same for all.
fn send(address: SocketAddr, number: usize, record: &Record) -> Option<u16> {
    let attempt = format!("a{number:08x}");
    let request = site::prompt(site::PLAN, &attempt, (PART, number), 384, DEADLINE);
    let answer = http::call(address, &request, DEADLINE);
    let come_back = answer
        .as_ref()
        .ok()
        .and_then(|answer| answer.head.header("retry-after"));
    let come_back = come_back.map_or(String::new(), |seconds| {
        format!(", to come back after {seconds} s")
    });
    match site::status(&answer) {
        Some(status) => record.line(&format!("{attempt}: {status}{come_back}")),
        None => record.line(&format!("{attempt}: no complete answer")),
    }
    site::status(&answer)
}

/// Sends batches until `end`; returns all outcomes once the last request has ended.
fn send_batches(
    addresses: &[SocketAddr],
    began: Instant,
    end: Duration,
    record: &Record,
) -> Outcomes {
    let outcomes = Outcomes::default();
    let mut requests = Vec::new();
    while began.elapsed() < end {
        for _ in 0..BATCH {
            let number = requests.len();
            let address = addresses[number % addresses.len()];
            let (outcomes, record) = (outcomes.clone(), record.clone());
            requests.push(thread::spawn(move || {
                let sent = began.elapsed();
                let status = send(address, number, &record);
                outcomes.add(0, sent, status);
            }));
        }
        thread::sleep(BATCH_EVERY);
    }
    for request in requests {
        request.join().unwrap();
    }
    outcomes
}

pub fn play(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(folder)?;
    let service = site::drafter(EVENTS, EVENT_PAUSE);
    let mut site = Site::start(&ZONES, site::PLAN_ROUTE, service, REPLICAS)?;
    record.say("traffic starts");
    let began = Instant::now();
    let back = KILL_AT + DOWN_FOR;
    let end = back + RECOVERY + JUDGED_FOR;
    let (addresses, log) = (site.addresses(), record.clone());
    let callers = thread::spawn(move || send_batches(&addresses, began, end, &log));
    let wait_until = |at: Duration| thread::sleep(at.saturating_sub(began.elapsed()));
    if has_trouble {
        wait_until(CRASH_AT);
        for replica in &site.replicas[..CRASHED] {
            record.say(&format!(
                "{} crashes with {} requests",
                replica.id,
                replica.running()
            ));
            replica.crash();
        }
        wait_until(CRASH_AT + CRASH_FOR);
        for (crashed, started) in site.replace_crashed(Duration::ZERO)? {
            record.say(&format!("{started} starts in the place of {crashed}"));
        }
    }
    wait_until(KILL_AT);
    record.say(&format!(
        "keys of the system: {}",
        site.store.keys("dottereltally/").join(" ")
    ));
    if has_trouble {
        site.configure(2, site::PLAN_ROUTE);
        record.say("all processes are killed, right after a change of the configuration");
        for gateway in &mut site.gateways {
            gateway.kill();
        }
        wait_until(back);
        for gateway in &mut site.gateways {
            gateway.run()?;
        }
        record.say("all processes start again");
    }
    let outcomes = callers.join().unwrap();
    for gateway in &site.gateways {
        let refused = gateway.count_log("\"reason\":\"quarantine\"");
        let kept = gateway.count_log("quarantine kept in");
        record.say(&format!("log of a machine: {refused} requests refused with the reason `quarantine`, {kept} suspicions written to the store"));
    }
    record.say(&format!(
        "{} runs at replicas",
        site.runs.lock().unwrap().len()
    ));
    let spans = [
        ("sent before the replicas crash", Duration::ZERO, CRASH_AT),
        ("sent from then until the final fault", CRASH_AT, KILL_AT),
        ("sent within recoveryS of the return", back, back + RECOVERY),
        ("sent later than recoveryS", back + RECOVERY, end),
    ];
    for (name, from, to) in spans {
        let (sent, served) = outcomes.count(0, from, to);
        record.say(&format!("{name}: {served} of {sent} served"));
    }
    let (sent, served) = outcomes.count(0, Duration::ZERO, KILL_AT);
    if served * 4 < sent {
        return Err(io::Error::other(
            "less than a quarter was served before the final fault",
        ));
    }
    let (sent, served) = outcomes.count(0, back + RECOVERY, end);
    if served * 4 < sent {
        record.say("RECOVER is broken: less than a quarter is served of what was sent later than recoveryS");
        return Ok(Verdict::Broken);
    }
    record.say("RECOVER holds");
    Ok(Verdict::Held)
}
