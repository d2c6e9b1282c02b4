//! Streams of a new software version are taken up again at machines that have not read of it.

use std::{
    io::Read,
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome, Verdict,
    drill::{CONTACT, ZONES, wait_until},
    engine::{EVENTS, Engine},
    gateway::Gateway,
    http::Connection,
    record::Record,
    store::Store,
};

/// Longest time limit of the resumable routes, ms.
const TIMEOUT_MS: u64 = 12_000;
/// Time for which the machines run before the disruption: the only version of a service is
/// taken for certain after twice the time limit and 10 s.
const STEADY: Duration = Duration::from_millis(2 * TIMEOUT_MS + 14_000);

/// Clients that start a stream.
const CLIENTS: usize = 24;

/// A way to the store that can fall silent.
struct Road {
    address: SocketAddr,
    silent: Arc<AtomicBool>,
}

impl Road {
    fn start(store: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let silent = Arc::new(AtomicBool::new(false));
        let state = Arc::clone(&silent);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(store) else {
                    continue;
                };
                let (near2, far2) = (near.try_clone().expect("a clone"), far.try_clone().expect("a clone"));
                let (one, two) = (Arc::clone(&state), Arc::clone(&state));
                thread::spawn(move || copy(near, far, &one));
                thread::spawn(move || copy(far2, near2, &two));
            }
        });
        Self { address, silent }
    }
}

/// Copies bytes while the path is not silent; nothing is sent or closed while it is.
fn copy(mut from: TcpStream, mut to: TcpStream, silent: &AtomicBool) {
    let mut bytes = [0; 8192];
    loop {
        let length = from.read(&mut bytes).unwrap_or(0);
        while silent.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(20));
        }
        if length == 0 || std::io::Write::write_all(&mut to, &bytes[..length]).is_err() {
            let _ = to.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"review\",\"host\":\"yard.example\",\"prefix\":\"/review/\",\
         \"routeType\":\"streaming\",\"resumable\":true,\"timeoutMs\":{TIMEOUT_MS},\"targetLatencyMs\":800,\
         \"targetGapMs\":300,\"priority\":0,\"service\":\"llm\",\"maxAttempts\":2,\"sticky\":true}}],\
         \"services\":[{{\"name\":\"llm\",\"healthPath\":\"/health\",\"maxConns\":240,\"engine\":{{}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":5000,\"idleTimeoutMs\":60000}}}}"
    )
}

/// What a client has of its stream.
#[derive(Default, Clone)]
struct Text {
    /// The version that wrote each event.
    versions: Vec<String>,
    first_attempt: String,
    is_complete: bool,
    /// Whether an answer of 200 went on with the stream.
    was_resumed: bool,
    last_status: u16,
}

/// Reads events until the answer ends.
fn read_stream(address: SocketAddr, attempt: &str, text: &mut Text, record: &Record) {
    let Ok(mut connection) = Connection::open(address, Duration::from_secs(3)) else {
        record.line(&format!("client: {attempt} can't connect"));
        return;
    };
    let after = text.versions.len();
    let resume = if after > 0 {
        format!("last-event-id: {after}\r\n")
    } else {
        String::new()
    };
    let request = format!(
        "POST /review/2f HTTP/1.1\r\nhost: yard.example\r\nattempt-id: {attempt}\r\nmodel: m\r\ntoken-count: 600,400\r\n\
         prompt-prefix: 5c1e07a2:60,{attempt}:540\r\ndeadline-remaining: {TIMEOUT_MS}\r\n{resume}content-length: 2\r\n\r\n{{}}"
    );
    record.line(&format!("client: sends {attempt} to {address} after event {after}"));
    if connection.write(request.as_bytes()).is_err() {
        return;
    }
    let Ok(Some(head)) = connection.read_head() else {
        record.line(&format!("client: {attempt} gets no answer"));
        return;
    };
    let status: u16 = head.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    record.line(&format!("client: {attempt} gets {status}"));
    text.last_status = status;
    if status != 200 {
        return;
    }
    text.was_resumed |= after > 0;
    let mut pending = String::new();
    loop {
        match connection.chunk() {
            Ok(Some(chunk)) => {
                pending.push_str(&String::from_utf8_lossy(&chunk));
                while let Some(end) = pending.find("\n\n") {
                    let event: String = pending.drain(..end + 2).collect();
                    let data = event.lines().find_map(|line| line.strip_prefix("data: "));
                    let version = data.and_then(|data| data.split(' ').next()).unwrap_or_default();
                    text.versions.push(version.to_owned());
                }
            }
            Ok(None) => {
                text.is_complete = true;
                record.line(&format!("client: {attempt} is complete with event {}", text.versions.len()));
                return;
            }
            Err(error) => {
                record.line(&format!("client: {attempt} breaks off after event {}: {error}", text.versions.len()));
                return;
            }
        }
    }
}

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> Outcome {
    let store = Store::start(record);
    store.write_outside("op/config", Some(&configuration()));
    for (number, zone) in ZONES.iter().enumerate() {
        Engine::start(&format!("i-{number}a1"), zone, "v1", record).register(&store, 1_790_000_000_000 + number as u64);
    }
    // Three, three and two machines; the path to the store of the last two can fall silent.
    let mut gateways = Vec::new();
    let mut paths = Vec::new();
    for number in 0..8 {
        let zone = ZONES[[0, 0, 0, 1, 1, 1, 2, 2][number]];
        let address = if number < 6 {
            store.address
        } else {
            paths.push(Road::start(store.address));
            paths[paths.len() - 1].address
        };
        gateways.push(Gateway::new(&format!("front-{zone}-{number}"), zone, address, folder));
    }
    for gateway in &mut gateways {
        gateway.start().map_err(|error| format!("a gateway did not start: {error}"))?;
    }
    if !wait_until(Duration::from_secs(20), || gateways.iter().all(Gateway::is_ready)) {
        return Err("the gateways were not ready".to_owned());
    }
    thread::sleep(STEADY.max(CONTACT));

    if has_trouble {
        record.line("the store turns the last two machines away");
        for path in &paths {
            path.silent.store(true, Ordering::Relaxed);
        }
    }
    thread::sleep(Duration::from_millis(300));
    record.line("planned work: three servers of version v2 start");
    for (number, zone) in ZONES.iter().enumerate() {
        let number = number + 10;
        Engine::start(&format!("i-{number}a1"), zone, "v2", record).register(&store, 1_790_000_000_000 + number as u64);
    }
    thread::sleep(Duration::from_millis(150));
    let texts: Arc<Mutex<Vec<Text>>> = Arc::new(Mutex::new(vec![Text::default(); CLIENTS]));
    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.callers).collect();
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (texts, record, addresses) = (texts.clone(), record.clone(), addresses.clone());
        clients.push(thread::spawn(move || {
            let mut text = Text { first_attempt: format!("{client:016x}"), ..Text::default() };
            let first = text.first_attempt.clone();
            read_stream(addresses[client % 6], &first, &mut text, &record);
            // The client's connection broke: it takes the stream up again once, at one of the
            // machines that are left.
            if !text.is_complete && !text.versions.is_empty() {
                let again = format!("{:016x}", 1000 + client);
                read_stream(addresses[6 + client % 2], &again, &mut text, &record);
            }
            texts.lock().unwrap()[client] = text;
        }));
    }
    let started = Instant::now();
    thread::sleep(Duration::from_millis(600).saturating_sub(started.elapsed()));
    record.line("six machines are killed");
    for gateway in &mut gateways[..6] {
        gateway.kill();
    }
    for client in clients {
        let _ = client.join();
    }
    for path in &paths {
        path.silent.store(false, Ordering::Relaxed);
    }
    let texts = texts.lock().unwrap();
    let resumed = texts.iter().filter(|text| text.was_resumed).count();
    let mixed: Vec<&Text> = texts
        .iter()
        .filter(|text| text.versions.windows(2).any(|pair| pair[0] != pair[1]))
        .collect();
    for text in &mixed {
        record.line(&format!(
            "stream {}: {} events, from {} to {}",
            text.first_attempt,
            text.versions.len(),
            text.versions[0],
            text.versions[text.versions.len() - 1]
        ));
    }
    let began_new = texts.iter().filter(|text| text.versions.first().is_some_and(|v| v == "v2")).count();
    let complete = mixed.iter().filter(|text| text.is_complete && text.versions.len() as u64 == EVENTS).count();
    let summary = format!(
        "of {CLIENTS} streams, {began_new} began at v2; {resumed} went on with 200 when their clients took them up again; \
         {} are joined from two versions, {complete} of them ended as complete",
        mixed.len()
    );
    if began_new == 0 {
        return Err(format!("no stream began at the new version: {summary}"));
    }
    if mixed.is_empty() {
        return Ok(Verdict::Held(summary));
    }
    Ok(Verdict::Broken(format!("ORDER: {summary}")))
}
