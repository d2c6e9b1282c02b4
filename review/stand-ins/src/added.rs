//! A route for quick calls is added to a service that has only had long ones.

use std::{
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome, Verdict,
    drill::{CONTACT, ZONES, wait_until},
    gateway::Gateway,
    http::ask,
    record::Record,
    server::Server,
    store::Store,
};

/// Machines of the deployment.
const MACHINES: usize = 8;

/// Time for which the first route is used before the other one is added.
const BEFORE: Duration = Duration::from_secs(30);
/// Time after the acknowledgement from which requests are judged; `configApplyMs` is 2 s.
const SETTLING: Duration = Duration::from_secs(8);
/// Time for which they are judged.
const JUDGED: Duration = Duration::from_secs(25);

/// The two kinds of request: path, deadline in ms, and pause between two of a client.
const LONG: (&str, u64, Duration) = ("/report/work-2500", 15_000, Duration::from_millis(200));
const QUICK: (&str, u64, Duration) = ("/post/work-30", 1500, Duration::from_millis(300));

fn configuration(version: u64, has_quick: bool) -> String {
    let route = |name: &str, kind: &str, timeout: u64, target: u64| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"yard.example\",\"prefix\":\"/{name}/\",\"routeType\":\"{kind}\",\
             \"timeoutMs\":{timeout},\"targetLatencyMs\":{target},\"priority\":2,\"service\":\"yard-app\",\"maxAttempts\":1}}"
        )
    };
    let mut routes = vec![route("report", "safe", LONG.1, 4000)];
    if has_quick {
        routes.push(route("post", "unsafe", QUICK.1, 150));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"yard-app\",\"healthPath\":\"/health\",\
         \"maxConns\":110}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":5000,\"idleTimeoutMs\":60000}}}}",
        routes.join(",")
    )
}

struct Seen {
    sent: Instant,
    is_quick: bool,
    status: u16,
}

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> Outcome {
    let store = Store::start(record);
    for (number, zone) in ZONES.iter().enumerate() {
        let server = Server::start(&format!("i-{number}f3a91c2"), "yard-app", zone, record);
        server.register(&store, 1_790_000_000_000 + number as u64);
    }
    // Without the change, the route is there from the start.
    store.write_outside("op/config", Some(&configuration(7, !has_trouble)));
    let mut gateways = Vec::new();
    for number in 0..MACHINES {
        let zone = ZONES[number % 3];
        gateways.push(Gateway::new(&format!("front-{zone}-{number}"), zone, store.address, folder));
    }
    for gateway in &mut gateways {
        gateway.start().map_err(|error| format!("a gateway did not start: {error}"))?;
    }
    if !wait_until(Duration::from_secs(20), || gateways.iter().all(Gateway::is_ready)) {
        return Err("the gateways were not ready".to_owned());
    }
    thread::sleep(CONTACT);

    let stop = Arc::new(AtomicBool::new(false));
    let has_quick = Arc::new(AtomicBool::new(!has_trouble));
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let count = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for (index, gateway) in gateways.iter().enumerate() {
        for is_quick in [false, true] {
            let (path, deadline, pause) = if is_quick { QUICK } else { LONG };
            let method = if is_quick { "POST" } else { "GET" };
            let address = gateway.callers;
            let (stop, has_quick) = (stop.clone(), has_quick.clone());
            let (seen, count, record) = (seen.clone(), count.clone(), record.clone());
            clients.push(thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    thread::sleep(pause);
                    if is_quick && !has_quick.load(Ordering::Relaxed) {
                        continue;
                    }
                    let id = format!("{:016x}", count.fetch_add(1, Ordering::Relaxed));
                    let request = format!(
                        "{method} {path} HTTP/1.1\r\nhost: yard.example\r\nattempt-id: {id}\r\n\
                         deadline-remaining: {deadline}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
                    );
                    let sent = Instant::now();
                    record.line(&format!("client: sends {id} {method} {path} to gateway {index}"));
                    let answer = ask(address, &request, Duration::from_millis(deadline + 500));
                    let status = answer.map_or(0, |answer| answer.status());
                    record.line(&format!("client: {id} gets {status}"));
                    seen.lock().unwrap().push(Seen { sent, is_quick, status });
                }
            }));
        }
    }
    thread::sleep(BEFORE);
    if has_trouble {
        record.line("operator: adds a route");
        store.write_outside("op/config", Some(&configuration(14, true)));
    }
    let acknowledged = Instant::now();
    thread::sleep(Duration::from_secs(2));
    has_quick.store(true, Ordering::Relaxed);
    let judged_from = acknowledged + SETTLING;
    thread::sleep((judged_from + JUDGED).saturating_duration_since(Instant::now()));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    for gateway in &mut gateways {
        if !gateway.is_running() {
            return Err(format!("{} ended", gateway.name));
        }
    }
    let seen = seen.lock().unwrap();
    let share = |is_quick: bool| {
        let judged = seen.iter().filter(|seen| seen.is_quick == is_quick && seen.sent >= judged_from);
        let served = judged.clone().filter(|seen| seen.status == 200).count();
        (served, judged.count())
    };
    let (first, first_asked) = share(false);
    let (added, added_asked) = share(true);
    let refused = seen.iter().filter(|seen| seen.is_quick && seen.sent >= judged_from && seen.status == 503).count();
    let text = format!(
        "of requests sent {SETTLING:?} and more after the route was added, {first} of {first_asked} were served on the \
         first route and {added} of {added_asked} on the added one ({refused} were answered 503)"
    );
    if first_asked < 20 || added_asked < 20 || first * 10 < first_asked * 9 {
        return Err(format!("the first route was not served: {text}"));
    }
    // In steady state, less than a quarter as often as on the first routes, of 20 or more.
    if added * first_asked * 4 < first * added_asked {
        return Ok(Verdict::Broken(format!("CONFIG: {text}")));
    }
    Ok(Verdict::Held(text))
}
