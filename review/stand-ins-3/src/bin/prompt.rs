//! Long summaries, all of them different, begin with the same shared part of a prompt. Five of
//! twenty replicas crash while they run five of them, and others take their places.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use review_stand_ins_3::{
    BROKEN, HELD, NOT_RUN, client,
    gateway::{Gateway, Machine},
    is_calm,
    process::Replica,
    record::Record,
    replica::{content_of, piece},
    store::Store,
};

/// Replicas of the model service in each zone.
const ENGINES: [(&str, usize); 3] = [("plovdiv", 5), ("haskovo", 7), ("stara-zagora", 8)];
const ENGINE_SLOTS: usize = 10;
/// Replicas of the other service in each zone.
const OTHER_SLOTS: usize = 6;
/// Replicas that crash: a quarter, the largest share on the sites' days.
const CRASHED: usize = 5;
/// Time until others take their places; replicas are down for up to 5.1 s on the sites' days.
const AWAY: Duration = Duration::from_millis(4500);
/// Time without a heartbeat after which the entry of a replica is removed: three intervals.
const SILENCE: Duration = Duration::from_millis(3600);
/// Time of the crash, and of the whole run.
const CRASH_AT: Duration = Duration::from_millis(9_200);
const LENGTH: Duration = Duration::from_secs(70);
/// Summaries that are asked for at a time, and how often.
const CLERKS: usize = 5;
const EVERY: Duration = Duration::from_secs(4);
/// Events of a summary, and the milliseconds between two.
const EVENTS: u32 = 30;
const GAP_MS: u64 = 80;
/// Time between two lookups.
const OTHERS: Duration = Duration::from_millis(200);

const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"summary","host":"yard.example","prefix":"/summary/","routeType":"streaming","timeoutMs":15000,"targetLatencyMs":800,"priority":0,"service":"tally-llm","maxAttempts":1,"anonymous":false,"sticky":true,"resumable":false,"targetGapMs":300},
{"name":"stock","host":"yard.example","prefix":"/stock/","routeType":"safe","timeoutMs":1500,"targetLatencyMs":150,"priority":2,"service":"yard-app","maxAttempts":2,"anonymous":false}],
"services":[{"name":"tally-llm","healthPath":"/health","maxConns":240},{"name":"yard-app","healthPath":"/health","maxConns":110}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"depot","apiKeys":["k1depot"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":295234,"burst":295234}]}"#;

/// A request: when it was sent first, its kind, and whether it was served.
struct Outcome {
    at: Duration,
    is_summary: bool,
    is_served: bool,
}

/// Sends a request, and once more after a promise that it has not run.
fn send(
    callers: SocketAddr,
    (method, path): (&str, &str),
    id: &str,
    (headers, body): (&str, &[u8]),
    limit: Duration,
    record: &Record,
) -> bool {
    let start = Instant::now();
    for attempt in 0..2 {
        let left = limit.saturating_sub(start.elapsed());
        if left.is_zero() {
            return false;
        }
        let id = format!("{id}-{attempt}");
        let headers = format!(
            "Deadline-Remaining: {}\r\nAuthorization: Bearer k1depot\r\n{headers}",
            left.as_millis()
        );
        let request = client::request(method, path, &id, &headers, body);
        let answer = match client::ask(callers, &request, left) {
            Ok(answer) => answer,
            Err(error) => {
                record.line(&format!("{id} {path} got no whole answer: {error}"));
                return false;
            }
        };
        record.line(&format!("{id} {path} answered {}", answer.status()));
        match answer.status() {
            200 if path.starts_with("/summary/") => {
                let last = piece(path, EVENTS, EVENTS);
                return answer.body.ends_with(last.as_bytes());
            }
            200 => return answer.body == content_of(path).as_bytes(),
            429 | 503 => {
                let wait: f64 = answer.header("retry-after").parse().unwrap_or(0.1);
                let longest = limit.saturating_sub(start.elapsed()).as_secs_f64() / 3.0;
                thread::sleep(Duration::from_secs_f64(wait.clamp(0.0, longest)));
            }
            _ => return false,
        }
    }
    false
}

fn main() {
    let record = Record::create();
    let folder = std::env::var("SCRATCH").map_or_else(|_| std::env::temp_dir(), PathBuf::from);
    let store = Store::start();
    store.set("op/config", CONFIG);
    let mut replicas = Vec::new();
    let mut places = Vec::new();
    for (zone, count) in ENGINES {
        places.extend(std::iter::repeat_n(
            ("tally-llm", zone, ENGINE_SLOTS),
            count,
        ));
    }
    places.extend(ENGINES.map(|(zone, _)| ("yard-app", zone, OTHER_SLOTS)));
    for (number, (service, zone, slots)) in places.into_iter().enumerate() {
        match Replica::start(service, number, zone, slots, &store, &record) {
            Ok(replica) => replicas.push(replica),
            Err(error) => record.end(NOT_RUN, &format!("replica {number} not started: {error}")),
        }
    }
    let mut gateways = Vec::new();
    for name in ["front-plovdiv-1", "front-plovdiv-2"] {
        let machine = Machine {
            name,
            zone: "plovdiv",
            memory_mb: 260,
            descriptors: 4100,
        };
        match Gateway::start(&machine, &store, &folder) {
            Ok(gateway) => gateways.push(gateway),
            Err(error) => record.end(NOT_RUN, &format!("{name} was not started: {error}")),
        }
    }
    for gateway in &gateways {
        if !gateway.is_ready_within(Duration::from_secs(10)) {
            record.end(NOT_RUN, "a gateway was not ready within 10 s");
        }
    }
    let callers: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.callers).collect();
    // The machines learn of each other before the traffic starts.
    thread::sleep(Duration::from_secs(4));

    let start = Instant::now();
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let mut requests: Vec<JoinHandle<()>> = Vec::new();
    let (mut waves, mut summaries, mut others) = (0, 0, 0);
    let (mut crashed_at, mut removed, mut replaced) = (None, false, false);
    while start.elapsed() < LENGTH {
        let now = start.elapsed();
        if now >= EVERY * waves {
            for _ in 0..CLERKS {
                let (outcomes, record) = (Arc::clone(&outcomes), record.clone());
                let place = callers[summaries % callers.len()];
                let number = summaries;
                requests.push(thread::spawn(move || {
                    let path = format!("/summary/contract-{number}/stream-{EVENTS}-{GAP_MS}");
                    // The shared part of all summaries, and the contract itself.
                    let headers = format!(
                        "Model: m\r\nToken-Count: 6670,384\r\nPrompt-Prefix: 5c1e07a2:60,{:x}:6610\r\n",
                        0x9000 + number
                    );
                    let body = format!("contract {number}");
                    let is_served = send(
                        place,
                        ("POST", &path),
                        &format!("summary-{number}"),
                        (&headers, body.as_bytes()),
                        Duration::from_secs(15),
                        &record,
                    );
                    outcomes.lock().unwrap().push(Outcome {
                        at: now,
                        is_summary: true,
                        is_served,
                    });
                }));
                summaries += 1;
            }
            waves += 1;
        }
        if now >= OTHERS * others {
            let (outcomes, record) = (Arc::clone(&outcomes), record.clone());
            let place = callers[others as usize % callers.len()];
            let number = others;
            requests.push(thread::spawn(move || {
                let is_served = send(
                    place,
                    ("GET", &format!("/stock/{number}/work-30")),
                    &format!("stock-{number}"),
                    ("", b""),
                    Duration::from_millis(1500),
                    &record,
                );
                outcomes.lock().unwrap().push(Outcome {
                    at: now,
                    is_summary: false,
                    is_served,
                });
            }));
            others += 1;
        }
        if !is_calm() && now >= CRASH_AT && crashed_at.is_none() {
            record.say("the five replicas of tally-llm in plovdiv crash");
            for replica in &mut replicas[..CRASHED] {
                replica.crash();
            }
            crashed_at = Some(now);
        }
        if let Some(at) = crashed_at {
            if now >= at + SILENCE && !removed {
                for replica in &replicas[..CRASHED] {
                    store.remove(&format!("servers/{}", replica.id));
                }
                removed = true;
            }
            if now >= at + AWAY && !replaced {
                record.say("five others are there");
                for number in 0..CRASHED {
                    let number = 100 + number;
                    let slots = ENGINE_SLOTS;
                    match Replica::start("tally-llm", number, "plovdiv", slots, &store, &record) {
                        Ok(replica) => replicas.push(replica),
                        Err(error) => record.end(NOT_RUN, &format!("not replaced: {error}")),
                    }
                }
                replaced = true;
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    for request in requests {
        let _ended = request.join();
    }
    for gateway in &gateways {
        for text in ["quarantined", "request not sent"] {
            for line in gateway.log_lines(text).iter().take(2) {
                record.line(&format!("log {line}"));
            }
        }
    }
    drop(gateways);
    drop(replicas);
    let outcomes = outcomes.lock().unwrap();
    let share = |is_meant: &dyn Fn(&Outcome) -> bool| {
        let meant: Vec<&Outcome> = outcomes
            .iter()
            .filter(|outcome| is_meant(outcome))
            .collect();
        let served = meant.iter().filter(|outcome| outcome.is_served).count();
        #[allow(clippy::cast_precision_loss)]
        let share = served as f64 / meant.len().max(1) as f64;
        (share, format!("{served} of {}", meant.len()))
    };
    let back = CRASH_AT + AWAY + Duration::from_secs(5);
    let (summary, summary_text) = share(&|outcome| outcome.is_summary);
    let (all, all_text) = share(&|_| true);
    let (_, late) = share(&|outcome| outcome.is_summary && outcome.at > back);
    let (_, late_others) = share(&|outcome| !outcome.is_summary && outcome.at > back);
    record.say(&format!(
        "served: kind `summary` {summary_text}, all kinds {all_text}"
    ));
    record.say(&format!(
        "served of what was sent later than 5 s after the replicas were replaced: `summary` {late}, `stock` {late_others}"
    ));
    if summary < all / 4.0 {
        record.end(
            BROKEN,
            "Starved: a kind of request is served less than a quarter as often as all",
        );
    }
    record.end(HELD, "no kind of request is starved");
}
