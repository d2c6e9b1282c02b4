//! A new version of the configuration takes a key away and adds many routes, each ranked after
//! the one before.

use std::{
    collections::BTreeSet,
    fmt::Write,
    net::TcpListener,
    path::PathBuf,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use review_stand_ins_3::{
    BROKEN, HELD, NOT_RUN, client,
    gateway::{Gateway, Machine},
    is_calm,
    record::Record,
    replica::{self, Listener},
    store::Store,
};

/// Routes that the configuration grows by: `count` of `big_config` on the site.
const ADDED: usize = 350;
/// `configApplyMs` of the site.
const APPLY: Duration = Duration::from_millis(2000);
/// `recoveryS` of the site.
const RECOVERY: Duration = Duration::from_secs(12);
/// Requests with the key that was taken away, and after the final fault.
const REQUESTS: usize = 30;

/// Returns a configuration in which the tenant has these keys, with further routes.
fn configuration(version: u64, keys: &str, added: usize) -> String {
    let mut routes = String::from(
        r#"{"name":"post","host":"yard.example","prefix":"/post/","routeType":"unsafe","timeoutMs":3000,"targetLatencyMs":150,"priority":0,"service":"yard-app","maxAttempts":2,"anonymous":false},
{"name":"stock","host":"yard.example","prefix":"/stock/","routeType":"safe","timeoutMs":3000,"targetLatencyMs":150,"priority":1,"service":"yard-app","maxAttempts":2,"anonymous":false}"#,
    );
    for number in 0..added {
        let rank = number + 2;
        let _ = write!(
            routes,
            r#",
{{"name":"r-{number}","host":"yard.example","prefix":"/r-{number}/","routeType":"safe","timeoutMs":3000,"targetLatencyMs":150,"priority":{rank},"service":"yard-app","maxAttempts":2,"anonymous":false}}"#
        );
    }
    format!(
        r#"{{"version":{version},"routes":[{routes}],
"services":[{{"name":"yard-app","healthPath":"/health","maxConns":110}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
"tenants":[{{"name":"depot","apiKeys":[{keys}],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":295234,"burst":295234}}]}}"#
    )
}

#[derive(Default)]
struct Seen(Mutex<BTreeSet<String>>);

impl Listener for Seen {
    fn begins(&self, id: &str, _path: &str, _tenant: &str) {
        self.0.lock().unwrap().insert(id.to_owned());
    }

    fn answered(&self, _id: &str) {}
}

fn main() {
    let record = Record::create();
    let folder = std::env::var("SCRATCH").map_or_else(|_| std::env::temp_dir(), PathBuf::from);
    let store = Store::start();
    store.set("op/config", &configuration(7, r#""kept","taken""#, 0));
    let seen = Arc::new(Seen::default());
    for number in 0..3 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port for a replica");
        let address = listener.local_addr().expect("no address of a replica");
        let id = format!("i-{number}");
        let entry = replica::entry("yard-app", address, "plovdiv", 6, 1_700_000_000_000);
        store.set(&format!("servers/{id}"), &entry);
        let heard = Arc::clone(&seen);
        thread::spawn(move || replica::serve(&listener, &id, 6, &heard));
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
    // In touch for `contactMs`, and longer.
    thread::sleep(Duration::from_secs(5));
    let ask = |gateways: &[Gateway], key: &str, id: &str, place: usize| {
        let headers = format!("Deadline-Remaining: 1500\r\nAuthorization: Bearer {key}\r\n");
        let request = client::request("POST", "/post/load/work-20", id, &headers, b"load");
        let answer = client::ask(gateways[place].callers, &request, Duration::from_secs(3));
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        record.line(&format!(
            "{id} with key `{key}` at machine {place} answered {status}"
        ));
        status
    };
    for place in 0..gateways.len() {
        for key in ["kept", "taken"] {
            if ask(&gateways, key, &format!("before-{place}-{key}"), place) != 200 {
                record.end(NOT_RUN, "a request was not served before the change");
            }
        }
    }
    let added = if is_calm() { 0 } else { ADDED };
    record.say(&format!(
        "version 8 takes the key `taken` away and adds {added} routes"
    ));
    store.set("op/config", &configuration(8, r#""kept""#, added));
    thread::sleep(APPLY + Duration::from_secs(3));
    let (mut run, mut refused) = (0, 0);
    for number in 0..REQUESTS {
        let id = format!("after-{number}");
        let status = ask(&gateways, "taken", &id, number % gateways.len());
        run += usize::from(status == 200 && seen.0.lock().unwrap().contains(&id));
        refused += usize::from(status == 401);
        thread::sleep(Duration::from_millis(50));
    }
    let kept = ask(&gateways, "kept", "after-kept", 0);
    for gateway in &gateways {
        for line in gateway.log_lines("op/config").iter().take(2) {
            record.line(&format!("log {}", &line[..line.len().min(400)]));
        }
    }
    record.say(&format!(
        "sent 5 s or more after the store's answer with the key that was taken away: {run} of {REQUESTS} run, {refused} refused with 401; with the kept key: {kept}"
    ));
    record.say("final fault: all processes are killed and start again");
    for gateway in &mut gateways {
        gateway.kill();
    }
    for gateway in &mut gateways {
        if let Err(error) = gateway.restart() {
            record.end(
                NOT_RUN,
                &format!("a gateway was not started again: {error}"),
            );
        }
    }
    thread::sleep(RECOVERY + Duration::from_secs(1));
    let ready = gateways.iter();
    let ready = ready.filter(|gateway| gateway.is_ready_within(Duration::from_millis(500)));
    let ready = ready.count();
    let mut served = 0;
    for number in 0..REQUESTS {
        let id = format!("recovered-{number}");
        let place = number % gateways.len();
        let headers = "Deadline-Remaining: 1500\r\nAuthorization: Bearer kept\r\n";
        let request = client::request("POST", "/post/load/work-20", &id, headers, b"load");
        let answer = client::ask(gateways[place].callers, &request, Duration::from_secs(3));
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        record.line(&format!("{id} at machine {place} answered {status}"));
        served += usize::from(status == 200);
        thread::sleep(Duration::from_millis(50));
    }
    drop(gateways);
    record.say(&format!(
        "sent later than 12 s after the machines are back with the kept key: {served} of {REQUESTS} served; {ready} of 2 machines ready"
    ));
    if run > 0 {
        record.end(BROKEN, "CONFIG: requests are run with a dropped key");
    }
    if served * 4 < REQUESTS {
        record.end(
            BROKEN,
            "RECOVER: less than a quarter is served after the final fault",
        );
    }
    if refused < REQUESTS || kept != 200 {
        record.end(NOT_RUN, "answers that say nothing about the configuration");
    }
    record.end(HELD, "the version is in force, also after the final fault");
}
