//! Many clients keep connections to one machine, each of which carried one request with a
//! body. A platform ends the process if it exceeds its memory.

use std::{
    collections::BTreeSet,
    net::TcpListener,
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use review_stand_ins_3::{
    BROKEN, HELD, NOT_RUN,
    client::{self, Connection},
    gateway::{Gateway, Machine},
    is_calm,
    record::Record,
    replica::{self, Listener},
    store::Store,
};

/// `memoryMb` of a machine of `bms-aftercare`; counted as MiB, the larger unit.
const MEMORY_MB: u32 = 110;
/// `maxFds` of a machine of `bms-aftercare`.
const DESCRIPTORS: u32 = 4100;
/// Largest body of a request on the sheets of the site, bytes; `maxBodyBytes` is 4,194,304.
const BODY_BYTES: usize = 72_000;
/// Clients that keep a connection: `maxFds` leaves 3,900 sockets.
const CROWD: usize = 1600;
/// Kept connections of the undisturbed run: the clients of a zone on the site's sheet.
const USUAL: usize = 36;
/// Requests with a body, in both runs.
const REQUESTS: usize = 1600;
/// Clients that send bookings all the while, one after the other on a kept connection.
const BOOKERS: usize = 8;
/// Time that a booking takes at its replica.
const BOOKING_MS: u64 = 300;
/// `idleTimeoutMs` is 15,000: clients reuse connections for up to four fifths of it.
const IDLE_LIMIT: Duration = Duration::from_millis(12_000);
/// Time for which the crowd stays connected after its last request.
const STAY: Duration = Duration::from_secs(2);

const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"plan","host":"yard.example","prefix":"/plan/","routeType":"safe","timeoutMs":15000,"targetLatencyMs":800,"priority":0,"service":"drafter","maxAttempts":2,"anonymous":false},
{"name":"book","host":"yard.example","prefix":"/book/","routeType":"unsafe","timeoutMs":3000,"targetLatencyMs":600,"priority":2,"service":"bookings","maxAttempts":2,"anonymous":false}],
"services":[{"name":"drafter","healthPath":"/health","maxConns":300},{"name":"bookings","healthPath":"/health","maxConns":110}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// What the replicas saw.
#[derive(Default)]
struct Seen {
    begun: Mutex<BTreeSet<String>>,
    record: Mutex<Option<Record>>,
}

impl Listener for Seen {
    fn begins(&self, id: &str, path: &str, _tenant: &str) {
        self.begun.lock().unwrap().insert(id.to_owned());
        if path.starts_with("/book/")
            && let Some(record) = &*self.record.lock().unwrap()
        {
            record.line(&format!("replica runs {id}"));
        }
    }

    fn answered(&self, _id: &str) {}
}

fn main() {
    let record = Record::create();
    let crowd = if is_calm() { USUAL } else { CROWD };
    record.say(&format!(
        "{crowd} kept connections, {REQUESTS} requests of {BODY_BYTES} bytes, memory {MEMORY_MB} MiB"
    ));
    let folder = std::env::var("SCRATCH").map_or_else(|_| std::env::temp_dir(), PathBuf::from);
    let store = Store::start();
    store.set("op/config", CONFIG);
    let seen = Arc::new(Seen::default());
    *seen.record.lock().unwrap() = Some(record.clone());
    for (service, count, slots) in [("drafter", 6, 11), ("bookings", 3, 6)] {
        for number in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").expect("no free port for a replica");
            let address = listener.local_addr().expect("no address of a replica");
            let id = format!("i-{service}-{number}");
            let entry = replica::entry(service, address, "kl-a", slots, 1_700_000_000_000);
            store.set(&format!("servers/{id}"), &entry);
            let heard = Arc::clone(&seen);
            thread::spawn(move || replica::serve(&listener, &id, slots, &heard));
        }
    }
    let machine = Machine {
        name: "front-kl-a-1",
        zone: "kl-a",
        memory_mb: MEMORY_MB,
        descriptors: DESCRIPTORS,
    };
    let gateway = match Gateway::start(&machine, &store, &folder) {
        Ok(gateway) => gateway,
        Err(error) => record.end(NOT_RUN, &format!("the gateway was not started: {error}")),
    };
    if !gateway.is_ready_within(Duration::from_secs(10)) {
        record.end(NOT_RUN, "the gateway was not ready within 10 s");
    }
    let callers = gateway.callers;
    let gateway = Arc::new(Mutex::new(gateway));
    let (stop, killed) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicBool::new(false)),
    );
    let peak = Arc::new(AtomicU64::new(0));

    // The platform: a process that exceeds its memory is killed.
    let platform = {
        let (gateway, stop, killed) =
            (Arc::clone(&gateway), Arc::clone(&stop), Arc::clone(&killed));
        let (peak, record) = (Arc::clone(&peak), record.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let mut gateway = gateway.lock().unwrap();
                let used = gateway.memory().unwrap_or(0);
                peak.fetch_max(used, Ordering::SeqCst);
                if used > u64::from(MEMORY_MB) << 20 {
                    record.say(&format!(
                        "platform: {used} bytes are over the limit: killed"
                    ));
                    gateway.kill();
                    killed.store(true, Ordering::SeqCst);
                    return;
                }
                drop(gateway);
                thread::sleep(Duration::from_millis(10));
            }
        })
    };

    // Bookings, which may run once.
    let lost = Arc::new(Mutex::new(Vec::new()));
    let mut bookers = Vec::new();
    for booker in 0..BOOKERS {
        let (stop, lost, record) = (Arc::clone(&stop), Arc::clone(&lost), record.clone());
        bookers.push(thread::spawn(move || {
            let Ok(mut connection) = Connection::open(callers) else {
                return (0, 1);
            };
            let mut answered = 0;
            for number in 0.. {
                if stop.load(Ordering::SeqCst) {
                    break;
                }
                let id = format!("book-{booker}-{number}");
                let path = format!("/book/slot/work-{BOOKING_MS}");
                let headers = "Deadline-Remaining: 3000\r\n";
                let request = client::request("POST", &path, &id, headers, b"slot");
                match connection.ask(&request, Duration::from_secs(5)) {
                    Ok(answer) => {
                        record.line(&format!("{id} answered {}", answer.status()));
                        answered += 1;
                    }
                    Err(error) => {
                        record.line(&format!("{id} got no answer: {error}"));
                        lost.lock().unwrap().push(id);
                        return (answered, 1);
                    }
                }
            }
            (answered, 0)
        }));
    }

    // The crowd.
    let first = Instant::now();
    let mut kept: Vec<Connection> = Vec::new();
    let (mut served, mut failed) = (0, 0);
    for number in 0..REQUESTS {
        if killed.load(Ordering::SeqCst) {
            break;
        }
        let mut body = format!("{number} ").into_bytes();
        body.resize(BODY_BYTES, b'x');
        let request = client::request(
            "POST",
            &format!("/plan/{number}"),
            &format!("plan-{number}"),
            "Deadline-Remaining: 15000\r\n",
            &body,
        );
        let place = number % crowd;
        if place >= kept.len() {
            match Connection::open(callers) {
                Ok(connection) => kept.push(connection),
                Err(error) => {
                    // The platform may just have killed the process.
                    thread::sleep(Duration::from_millis(200));
                    if killed.load(Ordering::SeqCst) {
                        break;
                    }
                    record.end(NOT_RUN, &format!("connection {number} not opened: {error}"));
                }
            }
        }
        match kept[place].ask(&request, Duration::from_secs(5)) {
            Ok(answer) if answer.status() == 200 => served += 1,
            Ok(answer) => {
                failed += 1;
                record.line(&format!("plan-{number} answered {}", answer.status()));
            }
            Err(error) => {
                failed += 1;
                record.line(&format!("plan-{number} got no answer: {error}"));
            }
        }
    }
    record.say(&format!(
        "{} connections kept after {} ms: {served} requests with a body served, {failed} not",
        kept.len(),
        first.elapsed().as_millis()
    ));
    if !killed.load(Ordering::SeqCst) {
        thread::sleep(STAY);
    }
    let in_time = first.elapsed() <= IDLE_LIMIT;
    stop.store(true, Ordering::SeqCst);
    let mut answered = 0;
    for booker in bookers {
        answered += booker.join().map_or(0, |(answered, _)| answered);
    }
    let _ended = platform.join();
    let runs = gateway.lock().unwrap().is_running();
    gateway.lock().unwrap().kill();
    drop(kept);
    let begun = seen.begun.lock().unwrap();
    let lost = lost.lock().unwrap();
    let run_and_lost = lost.iter().filter(|id| begun.contains(*id)).count();
    record.say(&format!(
        "peak {} bytes; {answered} bookings answered, {run_and_lost} ran at a replica and got no answer",
        peak.load(Ordering::SeqCst)
    ));
    if killed.load(Ordering::SeqCst) && run_and_lost > 3 {
        record.end(
            BROKEN,
            "LOST: the process exceeded its memory and cut requests that ran",
        );
    }
    if !in_time {
        record.end(
            NOT_RUN,
            "the connections were idle for longer than clients reuse them",
        );
    }
    if !runs || run_and_lost > 3 {
        record.end(BROKEN, "LOST: requests that ran got no answer");
    }
    record.end(
        HELD,
        "the process stayed within its memory, and all bookings were answered",
    );
}
