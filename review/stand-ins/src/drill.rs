//! The store comes back from a copy in a drill, and the operator changes the configuration.

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
    gateway::Gateway,
    http::ask,
    record::Record,
    server::Server,
    store::Store,
};

pub const ZONES: [&str; 3] = ["plovdiv", "stara-zagora", "haskovo"];

/// `configApplyMs`, `contactMs` and `outerMs` of the deployment.
const CONFIG_APPLY: Duration = Duration::from_millis(2000);
pub const CONTACT: Duration = Duration::from_millis(3000);
const OUTER: Duration = Duration::from_millis(5000);

/// Age of the copy when the store is back.
const COPY_AGE: Duration = Duration::from_secs(5);
/// Time for which the store is away.
pub const AWAY: Duration = Duration::from_secs(1);
/// Time between two tries of the operator's call while the store does not answer.
const OPERATOR_RETRY: Duration = Duration::from_millis(20);
/// Time for which requests are judged.
const JUDGED: Duration = Duration::from_secs(15);

/// Returns a configuration. The second version moves the unsafe route to another service,
/// takes a key away and adds a route.
fn configuration(version: u64) -> String {
    let is_new = version > 1;
    let ledger = if is_new { "ledger-b" } else { "ledger-a" };
    let keys = if is_new { "[\"key-one\"]" } else { "[\"key-one\",\"key-two\"]" };
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"yard.example\",\"prefix\":\"{prefix}\",\"routeType\":\"{kind}\",\
             \"timeoutMs\":1500,\"targetLatencyMs\":150,\"priority\":2,\"service\":\"{service}\",\"maxAttempts\":1}}"
        )
    };
    let mut routes = vec![
        route("post", "/post/", "unsafe", ledger),
        route("lookup", "/lookup/", "safe", "ledger-a"),
    ];
    if is_new {
        routes.push(route("added", "/added/", "safe", "ledger-b"));
    }
    let service = |name: &str| format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":110}}");
    format!(
        "{{\"version\":{},\"routes\":[{}],\"services\":[{},{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":5000,\"idleTimeoutMs\":60000}},\
         \"tenants\":[{{\"name\":\"tenant-one\",\"apiKeys\":{keys}}}]}}",
        version * 7,
        routes.join(","),
        service("ledger-a"),
        service("ledger-b"),
    )
}

/// One answered request, for the judgement.
struct Seen {
    sent: Instant,
    gateway: usize,
    path: &'static str,
    key: &'static str,
    status: u16,
    /// The service that ran it, as the answer's body says.
    service: String,
}

pub fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if holds() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> Outcome {
    let store = Store::start(record);
    let mut servers = Vec::new();
    for (number, (service, zone)) in ["ledger-a", "ledger-b"]
        .iter()
        .flat_map(|service| ZONES.iter().map(move |zone| (service, zone)))
        .enumerate()
    {
        let id = format!("i-{number}f3a91c2");
        let server = Server::start(&id, service, zone, record);
        let born = 1_790_000_000_000 + number as u64;
        store.write_outside(&format!("servers/{id}"), Some(&server.description(born)));
        servers.push(server);
    }
    store.write_outside("op/config", Some(&configuration(1)));
    let mut gateways = Vec::new();
    for number in 0..8 {
        let zone = ZONES[number % 3];
        gateways.push(Gateway::new(&format!("front-{zone}-{number}"), zone, store.address, folder));
    }
    // The last machine is added later.
    let added = gateways.len() - 1;
    for gateway in &mut gateways[..added] {
        gateway.start().map_err(|error| format!("a gateway did not start: {error}"))?;
    }
    if !wait_until(Duration::from_secs(20), || gateways[..added].iter().all(Gateway::is_ready)) {
        return Err("the gateways were not ready".to_owned());
    }
    // All machines are in touch and registered.
    thread::sleep(CONTACT + Duration::from_secs(2));

    let stop = Arc::new(AtomicBool::new(false));
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let count = Arc::new(AtomicU64::new(0));
    let addresses: Vec<_> = gateways.iter().map(|gateway| gateway.callers).collect();
    let mut clients = Vec::new();
    for (index, address) in addresses.iter().copied().enumerate().take(added) {
        for (path, method, key) in [
            ("/post/2f", "POST", "key-one"),
            ("/lookup/2f", "GET", "key-one"),
            ("/lookup/2f", "GET", "key-two"),
            ("/added/2f", "GET", "key-one"),
        ] {
            let (stop, seen, count, record) = (stop.clone(), seen.clone(), count.clone(), record.clone());
            clients.push(thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let number = count.fetch_add(1, Ordering::Relaxed);
                    let id = format!("{number:016x}");
                    let body = if method == "POST" { "{}" } else { "" };
                    let length = body.len();
                    let request = format!(
                        "{method} {path} HTTP/1.1\r\nhost: yard.example\r\nattempt-id: {id}\r\n\
                         deadline-remaining: 1500\r\nauthorization: Bearer {key}\r\n\
                         content-length: {length}\r\nconnection: close\r\n\r\n{body}"
                    );
                    let sent = Instant::now();
                    record.line(&format!("client: sends {id} {method} {path} {key} to gateway {index}"));
                    let answer = ask(address, &request, Duration::from_secs(2));
                    match answer {
                        Ok(answer) => {
                            let body = String::from_utf8_lossy(&answer.body).into_owned();
                            let service = body.split(' ').next().unwrap_or_default().to_owned();
                            let status = answer.status();
                            record.line(&format!("client: {id} gets {status}"));
                            let service = if status == 200 { service } else { String::new() };
                            seen.lock().unwrap().push(Seen { sent, gateway: index, path, key, status, service });
                        }
                        Err(error) => record.line(&format!("client: {id} gets no answer: {error}")),
                    }
                    thread::sleep(Duration::from_millis(400));
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(1));

    // A machine is added, which registers itself in the store.
    store.take_copy();
    let copied = Instant::now();
    let before = store.revision();
    gateways[added].start().map_err(|error| format!("a gateway did not start: {error}"))?;
    record.line("operator: adds a machine");
    if !wait_until(Duration::from_secs(3), || gateways[added].is_ready() && store.revision() > before) {
        return Err("the added gateway did not register".to_owned());
    }
    thread::sleep((COPY_AGE - AWAY).saturating_sub(copied.elapsed()));
    if has_trouble {
        store.go_away();
    }
    // The operator changes the configuration; its call is repeated until the store answers.
    let operator = {
        let (store, record) = (store.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(AWAY / 2);
            record.line("operator: changes the configuration");
            loop {
                if let Some(revision) = store.write_outside("op/config", Some(&configuration(2))) {
                    record.line(&format!("operator: version 14 is acknowledged at revision {revision}"));
                    return Instant::now();
                }
                thread::sleep(OPERATOR_RETRY);
            }
        })
    };
    thread::sleep(AWAY);
    if has_trouble {
        store.come_back();
    }
    let acknowledged = operator.join().map_err(|_| "the operator failed".to_owned())?;
    // Requests are judged once the store is stable and all bounds have passed.
    let judged_from = acknowledged + CONTACT + CONFIG_APPLY + OUTER;
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
    let judged: Vec<&Seen> = seen.iter().filter(|seen| seen.sent >= judged_from).collect();
    let count = |holds: &dyn Fn(&Seen) -> bool| judged.iter().filter(|seen| holds(seen)).count();
    let by_old = count(&|seen| seen.path == "/post/2f" && seen.service == "ledger-a");
    let by_new = count(&|seen| seen.path == "/post/2f" && seen.service == "ledger-b");
    let with_key = count(&|seen| seen.key == "key-two" && seen.status == 200);
    let without_key = count(&|seen| seen.key == "key-two" && seen.status == 401);
    let missing = count(&|seen| seen.path == "/added/2f" && seen.status == 404);
    let found = count(&|seen| seen.path == "/added/2f" && seen.status == 200);
    let mut stale: Vec<usize> = judged
        .iter()
        .filter(|seen| seen.service == "ledger-a" && seen.path == "/post/2f")
        .map(|seen| seen.gateway)
        .collect();
    stale.sort_unstable();
    stale.dedup();
    let text = format!(
        "of requests sent over {:?} after the acknowledgement: unsafe ones run by the old service {by_old}, by the new \
         one {by_new}; with the key that was taken away run {with_key}, refused {without_key}; on the added route 404 \
         {missing}, 200 {found}; gateways that act on the old version: {stale:?} of {added}",
        judged_from - acknowledged
    );
    if by_new + by_old < 50 {
        return Err(format!("too few requests were answered: {text}"));
    }
    if by_old + with_key + missing > 0 {
        return Ok(Verdict::Broken(format!("CONFIG: {text}")));
    }
    Ok(Verdict::Held(text))
}
