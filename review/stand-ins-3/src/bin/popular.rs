//! Three screens refresh the same lookup each second. Three of twelve replicas crash while they
//! run it, and others take their places.

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
    replica::content_of,
    store::Store,
};

const ZONES: [&str; 12] = [
    "plovdiv",
    "plovdiv",
    "plovdiv",
    "haskovo",
    "haskovo",
    "haskovo",
    "haskovo",
    "stara-zagora",
    "stara-zagora",
    "stara-zagora",
    "stara-zagora",
    "stara-zagora",
];
const SLOTS: usize = 6;
/// Replicas that crash: a quarter, the largest share on the sites' days.
const CRASHED: usize = 3;
/// Time until others take their places; replicas are down for up to 5.1 s on the sites' days.
const AWAY: Duration = Duration::from_millis(4500);
/// Time without a heartbeat after which the entry of a replica is removed: three intervals.
const SILENCE: Duration = Duration::from_millis(3600);
/// Time of the crash, and of the whole run.
const CRASH_AT: Duration = Duration::from_millis(8_300);
const LENGTH: Duration = Duration::from_secs(70);
/// Requests of the popular lookup at a time, and how often they come.
const SCREENS: usize = 3;
const REFRESH: Duration = Duration::from_secs(1);
/// Time between two other lookups.
const OTHERS: Duration = Duration::from_millis(100);
/// Longest wait that a client takes from `Retry-After`: a third of its time.
const LONGEST_WAIT: f64 = 1.0;

const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"board","host":"yard.example","prefix":"/board/","routeType":"safe","timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"service":"board-app","maxAttempts":1,"anonymous":false},
{"name":"stock","host":"yard.example","prefix":"/stock/","routeType":"safe","timeoutMs":3000,"targetLatencyMs":150,"priority":2,"service":"yard-app","maxAttempts":2,"anonymous":false}],
"services":[{"name":"board-app","healthPath":"/health","maxConns":110},{"name":"yard-app","healthPath":"/health","maxConns":110}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"depot","apiKeys":["k1depot"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":295234,"burst":295234}]}"#;

/// A lookup: when it was sent first, its kind, and whether it was served.
struct Outcome {
    at: Duration,
    is_popular: bool,
    is_served: bool,
}

/// Sends a lookup, and once more if it fails, as clients do with safe requests.
fn look_up(callers: SocketAddr, path: &str, id: &str, record: &Record) -> bool {
    let start = Instant::now();
    let limit = Duration::from_secs(3);
    for attempt in 0..2 {
        let left = limit.saturating_sub(start.elapsed());
        if left.is_zero() {
            return false;
        }
        let id = format!("{id}-{attempt}");
        let headers = format!(
            "Deadline-Remaining: {}\r\nAuthorization: Bearer k1depot\r\n",
            left.as_millis()
        );
        let request = client::request("GET", path, &id, &headers, b"");
        match client::ask(callers, &request, left) {
            Ok(answer) => {
                record.line(&format!("{id} {path} answered {}", answer.status()));
                if answer.status() == 200 {
                    return answer.body == content_of(path).as_bytes();
                }
                let wait: f64 = answer.header("retry-after").parse().unwrap_or(0.1);
                thread::sleep(Duration::from_secs_f64(wait.clamp(0.0, LONGEST_WAIT)));
            }
            Err(error) => record.line(&format!("{id} {path} got no answer: {error}")),
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
    let boards = ZONES.iter().map(|zone| ("board-app", *zone));
    let others = ["plovdiv", "haskovo", "stara-zagora"];
    let others = others.iter().map(|zone| ("yard-app", *zone));
    for (number, (service, zone)) in boards.chain(others).enumerate() {
        match Replica::start(service, number, zone, SLOTS, &store, &record) {
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
    let send = |is_popular: bool, path: String, id: String, callers: SocketAddr| {
        let (outcomes, record) = (Arc::clone(&outcomes), record.clone());
        let at = start.elapsed();
        thread::spawn(move || {
            let is_served = look_up(callers, &path, &id, &record);
            outcomes.lock().unwrap().push(Outcome {
                at,
                is_popular,
                is_served,
            });
        })
    };
    let mut requests: Vec<JoinHandle<()>> = Vec::new();
    let (mut waves, mut others) = (0, 0);
    let (mut crashed_at, mut removed, mut replaced) = (None, false, false);
    while start.elapsed() < LENGTH {
        let now = start.elapsed();
        if now >= REFRESH * waves {
            for screen in 0..SCREENS {
                let id = format!("board-{waves}-{screen}");
                requests.push(send(
                    true,
                    "/board/today/work-600".to_owned(),
                    id,
                    callers[0],
                ));
            }
            waves += 1;
        }
        if now >= OTHERS * others {
            let path = format!("/stock/{others}/work-20");
            let place = callers[others as usize % callers.len()];
            requests.push(send(false, path, format!("stock-{others}"), place));
            others += 1;
        }
        if !is_calm() && now >= CRASH_AT && crashed_at.is_none() {
            record.say("the replicas of plovdiv crash");
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
                record.say("three others are there");
                for number in 0..CRASHED {
                    let number = 100 + number;
                    match Replica::start("board-app", number, "plovdiv", SLOTS, &store, &record) {
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
        for line in gateway.log_lines("request not sent").iter().take(2) {
            record.line(&format!("log {line}"));
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
    let (popular, popular_text) = share(&|outcome| outcome.is_popular);
    let (all, all_text) = share(&|_| true);
    let (_, late) = share(&|outcome| outcome.is_popular && outcome.at > back);
    let (_, late_others) = share(&|outcome| !outcome.is_popular && outcome.at > back);
    record.say(&format!(
        "served: kind `board` {popular_text}, all kinds {all_text}"
    ));
    record.say(&format!(
        "served of what was sent later than 5 s after the replicas were replaced: `board` {late}, `stock` {late_others}"
    ));
    if popular < all / 4.0 {
        record.end(
            BROKEN,
            "Starved: a kind of request is served less than a quarter as often as all",
        );
    }
    record.end(HELD, "no kind of request is starved");
}
