//! The store comes back from a copy in a drill, without the servers that had just been added;
//! they write their descriptions again with their next heartbeats.

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
    drill::{AWAY, CONTACT, ZONES, wait_until},
    gateway::Gateway,
    http::ask,
    record::Record,
    server::{HEARTBEAT, Server},
    store::Store,
};

/// Time after the store's return from which requests are judged: the servers are back within
/// about two seconds, and machines are in touch again.
const SETTLING: Duration = Duration::from_secs(10);
/// Machines that run from the start.
const MACHINES: usize = 8;
/// Time for which requests are judged.
const JUDGED: Duration = Duration::from_secs(20);

/// Returns a configuration; the second version adds a route to a service of its own, the third
/// one changes its time limit.
fn configuration(version: u64) -> String {
    let route = |name: &str, service: &str, timeout: u64| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"yard.example\",\"prefix\":\"/{name}/\",\"routeType\":\"safe\",\
             \"timeoutMs\":{timeout},\"targetLatencyMs\":150,\"priority\":2,\"service\":\"{service}\",\"maxAttempts\":2}}"
        )
    };
    let mut routes = vec![route("first", "ledger-a", 1500)];
    if version > 1 {
        routes.push(route("added", "ledger-b", if version > 2 { 1400 } else { 1500 }));
    }
    let service = |name: &str| format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":110}}");
    format!(
        "{{\"version\":{},\"routes\":[{}],\"services\":[{},{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":5000,\"idleTimeoutMs\":60000}}}}",
        version * 7,
        routes.join(","),
        service("ledger-a"),
        service("ledger-b"),
    )
}

struct Seen {
    sent: Instant,
    path: &'static str,
    status: u16,
}

fn servers(service: &str, first: usize, store: &Store, record: &Record) -> Vec<Server> {
    let mut servers = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let number = first + index;
        let server = Server::start(&format!("i-{number}f3a91c2"), service, zone, record);
        server.register(store, 1_790_000_000_000 + number as u64);
        servers.push(server);
        thread::sleep(Duration::from_millis(20));
    }
    servers
}

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> Outcome {
    let store = Store::start(record);
    let _first = servers("ledger-a", 0, &store, record);
    store.write_outside("op/config", Some(&configuration(1)));
    let mut gateways = Vec::new();
    for number in 0..MACHINES + ZONES.len() {
        let zone = ZONES[number % 3];
        gateways.push(Gateway::new(&format!("front-{zone}-{number}"), zone, store.address, folder));
    }
    // The last machines, one in each zone, are added later.
    let added = MACHINES;
    for gateway in &mut gateways[..added] {
        gateway.start().map_err(|error| format!("a gateway did not start: {error}"))?;
    }
    if !wait_until(Duration::from_secs(20), || gateways[..added].iter().all(Gateway::is_ready)) {
        return Err("the gateways were not ready".to_owned());
    }
    thread::sleep(CONTACT + Duration::from_secs(2));
    // Planned work: machines and a route are added, and the servers of its service start.
    store.take_copy();
    let copied = Instant::now();
    let before = store.revision();
    record.line("operator: adds a machine in each zone");
    for gateway in &mut gateways[added..] {
        gateway.start().map_err(|error| format!("a gateway did not start: {error}"))?;
    }
    if !wait_until(Duration::from_secs(3), || store.revision() >= before + ZONES.len() as u64) {
        return Err("the added gateways did not register".to_owned());
    }
    record.line("operator: adds a route, then changes its time limit");
    for version in [2, 3] {
        store.write_outside("op/config", Some(&configuration(version)));
        thread::sleep(Duration::from_millis(100));
    }
    record.line("operator: starts the servers of the added route");
    let started = Instant::now();
    let _second = servers("ledger-b", 10, &store, record);

    let stop = Arc::new(AtomicBool::new(false));
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let count = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for (index, gateway) in gateways[..added].iter().enumerate() {
        for path in ["/first/2f", "/added/2f"] {
            let address = gateway.callers;
            let (stop, seen, count, record) = (stop.clone(), seen.clone(), count.clone(), record.clone());
            clients.push(thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("{:016x}", count.fetch_add(1, Ordering::Relaxed));
                    let request = format!(
                        "GET {path} HTTP/1.1\r\nhost: yard.example\r\nattempt-id: {id}\r\n\
                         deadline-remaining: 1500\r\nconnection: close\r\n\r\n"
                    );
                    let sent = Instant::now();
                    record.line(&format!("client: sends {id} GET {path} to gateway {index}"));
                    match ask(address, &request, Duration::from_secs(2)) {
                        Ok(answer) => {
                            let status = answer.status();
                            record.line(&format!("client: {id} gets {status}"));
                            seen.lock().unwrap().push(Seen { sent, path, status });
                        }
                        Err(error) => {
                            record.line(&format!("client: {id} gets no answer: {error}"));
                            seen.lock().unwrap().push(Seen { sent, path, status: 0 });
                        }
                    }
                    thread::sleep(Duration::from_millis(300));
                }
            }));
        }
    }
    // The servers' next heartbeats come a second after the store's return.
    let returns = started + HEARTBEAT * 5 - Duration::from_secs(1);
    thread::sleep((returns - AWAY).saturating_duration_since(Instant::now()));
    let away = Instant::now();
    if has_trouble {
        store.go_away();
    }
    thread::sleep(AWAY);
    if has_trouble {
        store.come_back();
    }
    record.line(&format!("the copy is {:.1} s old", copied.elapsed().as_secs_f64()));
    let judged_from = Instant::now() + SETTLING;
    thread::sleep(SETTLING + JUDGED);
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
    let share = |path: &str, holds: &dyn Fn(&Seen) -> bool| {
        let asked = seen.iter().filter(|seen| seen.path == path && holds(seen)).count();
        let served = seen
            .iter()
            .filter(|seen| seen.path == path && holds(seen) && seen.status == 200)
            .count();
        (served, asked)
    };
    let late = |seen: &Seen| seen.sent >= judged_from;
    let early = |seen: &Seen| seen.sent < away;
    let (first, first_asked) = share("/first/2f", &late);
    let (added_served, added_asked) = share("/added/2f", &late);
    let (before, before_asked) = share("/added/2f", &early);
    let text = format!(
        "of requests sent {SETTLING:?} and more after the store's return, {first} of {first_asked} were served on the \
         first route and {added_served} of {added_asked} on the added one; before the drill {before} of {before_asked} \
         on the added one; in the store: {:?}",
        store.keys("servers/").iter().map(|(key, _)| key.as_str()).collect::<Vec<_>>()
    );
    if first_asked < 100 || first * 10 < first_asked * 9 {
        return Err(format!("the first route was not served: {text}"));
    }
    // In steady state, less than a quarter as often as on the first routes, of 20 or more.
    if added_asked >= 20 && added_served * first_asked * 4 < first * added_asked {
        return Ok(Verdict::Broken(format!("CONFIG: {text}")));
    }
    Ok(Verdict::Held(text))
}
