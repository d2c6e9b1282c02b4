//! Case 16: replicas are updated in place, one after the other, while the store turns one of
//! three gateways away. Each replica drains, exits and starts again under its id with the
//! next version. The gateway that the store turns away learns of the departures from the
//! other gateways.
//!
//! Rule ORDER: no stream may be joined from two versions.
//!
//! Usage: `updated_in_place GATEWAY FOLDER`. `GATEWAY` is the program, `FOLDER` gets
//! `record.txt`. With `TROUBLE=0` the store serves all gateways. Exits with 0 if the rule
//! held, 1 if it was broken, 2 if the case could not run. With `KEEP` set, the settings and
//! logs of the gateways stay in a temporary folder.

use std::{
    collections::{BTreeMap, HashMap},
    env, fs,
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, ExitCode, Stdio},
    sync::{
        Arc, Condvar, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Gateways, each in a zone of its own; the last one is turned away by the store.
const GATEWAYS: usize = 3;
/// Replicas of the service, and how many of them are updated: 0.4, of 0.45 allowed.
const REPLICAS: usize = 5;
const UPDATED: usize = 2;
/// The zone of each replica.
const ZONES: [&str; REPLICAS] = ["z3", "z3", "z1", "z2", "z1"];
/// Requests that a replica runs at once.
const SLOTS: usize = 11;
/// Events of a stream and the time between two of them; the route allows pauses of 300 ms.
const EVENTS: u64 = 100;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// Streams that begin at the last gateway, one after the other at this interval.
const STREAMS: usize = 9;
/// Time from the start of the release to the first of them.
const STREAMS_BEGIN: Duration = Duration::from_millis(1500);
const STREAM_INTERVAL: Duration = Duration::from_millis(60);
/// Streams that begin at the other gateways by turns, and the interval at each of them.
const BACKGROUND: usize = 14;
const BACKGROUND_INTERVAL: Duration = Duration::from_millis(2000);
/// `contactMs`, after which machines are in touch.
const CONTACT: Duration = Duration::from_millis(3000);
/// For how long the store turns a machine away: the site file has 9.0 s.
const TURNED_AWAY: Duration = Duration::from_millis(9000);
/// `drainMs`, and what a replica serves longer.
const DRAIN: Duration = Duration::from_millis(2000);
const LONGER: Duration = Duration::from_millis(400);
/// Time from the exit of a replica to its next start.
const RESTART: Duration = Duration::from_millis(700);
/// Time between the start of one update and that of the next: each waits for the one before.
const GAP: Duration = Duration::from_millis(4200);
/// `heartbeatMs`.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Limit on the whole run.
const LIMIT: Duration = Duration::from_secs(110);

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Lines of the record, with the time since the start of the run.
struct Log {
    started: Instant,
    file: Mutex<fs::File>,
}

impl Log {
    fn add(&self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {line}");
    }
}

/// A JSON value.
#[derive(Clone, Debug)]
enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        let mut at = 0;
        Self::value(bytes, &mut at)
    }

    fn skip(bytes: &[u8], at: &mut usize) {
        while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Self> {
        Self::skip(bytes, at);
        match bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut map = BTreeMap::new();
                loop {
                    Self::skip(bytes, at);
                    match bytes.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Self::Map(map));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Self::Text(key) = Self::value(bytes, at)? else {
                                return None;
                            };
                            Self::skip(bytes, at);
                            *at += 1;
                            map.insert(key, Self::value(bytes, at)?);
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::skip(bytes, at);
                    match bytes.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Self::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Self::value(bytes, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                loop {
                    match bytes.get(*at)? {
                        b'"' => break,
                        b'\\' => {
                            *at += 1;
                            text.push(match bytes.get(*at)? {
                                b'n' => b'\n',
                                b't' => b'\t',
                                other => *other,
                            });
                        }
                        other => text.push(*other),
                    }
                    *at += 1;
                }
                *at += 1;
                Some(Self::Text(String::from_utf8(text).ok()?))
            }
            b't' => {
                *at += 4;
                Some(Self::Bool)
            }
            b'f' => {
                *at += 5;
                Some(Self::Bool)
            }
            b'n' => {
                *at += 4;
                Some(Self::Null)
            }
            _ => {
                let start = *at;
                while bytes
                    .get(*at)
                    .is_some_and(|byte| b"+-.eE0123456789".contains(byte))
                {
                    *at += 1;
                }
                let number = std::str::from_utf8(&bytes[start..*at]).ok()?;
                Some(Self::Number(number.parse().ok()?))
            }
        }
    }

    fn get(&self, key: &str) -> &Self {
        match self {
            Self::Map(map) => map.get(key).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    fn list(&self) -> &[Self] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }

    fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "small numbers"
    )]
    fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = 0_u32;
        for index in 0..3 {
            group = group << 8 | u32::from(chunk.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index <= chunk.len() {
                let digit = group >> (18 - 6 * index) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// The head of a message and its body.
struct Message {
    first: String,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// Reads a head; `None` at the end of the connection.
fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    Some(Message {
        first: first.trim_end().to_owned(),
        headers,
        body: Vec::new(),
    })
}

/// Reads a request with its body, which has a length.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(reader)?;
    let length = message.header("content-length");
    let length = length.map_or(Some(0), |length| length.parse().ok())?;
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// One key of the store.
#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Content {
    items: BTreeMap<String, Item>,
    /// Each change, as the store's watch returns it.
    events: Vec<(u64, String)>,
    revision: u64,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

impl Content {
    fn set(&mut self, revision: u64, key: &str, value: &str, lease: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value: value.to_owned(),
            revision,
            created,
            lease,
        };
        self.events.push((revision, describe(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, revision: u64, key: &str) {
        if self.items.remove(key).is_some() {
            let event = format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#);
            self.events.push((revision, event));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let existed = self.leases.remove(&lease).is_some();
        let mut keys = Vec::new();
        for (key, item) in &self.items {
            if item.lease == lease {
                keys.push(key.clone());
            }
        }
        if !keys.is_empty() {
            self.revision += 1;
            for key in keys {
                self.remove(self.revision, &key);
            }
        }
        existed
    }
}

fn describe(key: &str, item: &Item) -> String {
    let Item {
        value,
        revision,
        created,
        lease,
    } = item;
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":{lease}}}"#
    )
}

/// The platform's store.
#[derive(Default)]
struct Store {
    content: Mutex<Content>,
    changed: Condvar,
}

impl Store {
    /// Writes a key that the operator or a replica owns.
    fn put(&self, key: &str, value: &str) {
        let mut content = self.content.lock().unwrap();
        content.revision += 1;
        let revision = content.revision;
        content.set(revision, key, &base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    fn delete(&self, key: &str) {
        let mut content = self.content.lock().unwrap();
        content.revision += 1;
        let revision = content.revision;
        content.remove(revision, key);
        self.changed.notify_all();
    }

    /// Ends leases that were not renewed.
    fn expire(&self) {
        let mut content = self.content.lock().unwrap();
        let now = Instant::now();
        let mut ended = Vec::new();
        for (lease, (_, until)) in &content.leases {
            if *until <= now {
                ended.push(*lease);
            }
        }
        for lease in ended {
            content.end_lease(lease);
        }
        self.changed.notify_all();
    }

    /// Listens at an address of its own, at which `turns_away` makes it answer 503.
    fn listen(self: &Arc<Self>, turns_away: Arc<AtomicBool>) -> Result<SocketAddr, Failure> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, turns_away) = (Arc::clone(&store), Arc::clone(&turns_away));
                thread::spawn(move || store.serve(stream, &turns_away));
            }
        });
        Ok(address)
    }

    fn serve(&self, mut stream: TcpStream, turns_away: &AtomicBool) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        loop {
            let request = read_request(&mut reader)?;
            thread::sleep(Duration::from_millis(4));
            let (status, body) = if turns_away.load(Ordering::SeqCst) {
                (503, "{}".to_owned())
            } else {
                self.answer(&request, turns_away)
            };
            let answer = format!(
                "HTTP/1.1 {status} S\r\nStore-Era: 1\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            stream.write_all(answer.as_bytes()).ok()?;
        }
    }

    fn answer(&self, request: &Message, turns_away: &AtomicBool) -> (u16, String) {
        let mut words = request.first.split(' ');
        let (method, target) = (
            words.next().unwrap_or_default(),
            words.next().unwrap_or_default(),
        );
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let pair = pairs.find(|(key, _)| *key == name);
            pair.map_or("", |(_, value)| value).replace("%2F", "/")
        };
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        match (method, path) {
            ("GET", "/api/kv-range") => {
                let content = self.content.lock().unwrap();
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                let mut items = Vec::new();
                for (key, item) in &content.items {
                    if key.starts_with(&prefix) && *key > after {
                        items.push(describe(key, item));
                    }
                }
                let revision = content.revision;
                let items = items.join(",");
                let body =
                    format!(r#"{{"items":[{items}],"hasMore":false,"storeRevision":{revision}}}"#);
                (200, body)
            }
            ("GET", "/api/kv-watch") => {
                let after: u64 = parameter("after").parse().unwrap_or_default();
                let wait: u64 = parameter("waitMs").parse().unwrap_or_default();
                let until = Instant::now() + Duration::from_millis(wait);
                let mut content = self.content.lock().unwrap();
                loop {
                    // A watch that waits may be cut.
                    if turns_away.load(Ordering::SeqCst) {
                        return (503, "{}".to_owned());
                    }
                    let left = until.saturating_duration_since(Instant::now());
                    if content.revision > after || left.is_zero() {
                        break;
                    }
                    let step = left.min(Duration::from_millis(20));
                    content = self.changed.wait_timeout(content, step).unwrap().0;
                }
                let mut events = Vec::new();
                for (revision, event) in &content.events {
                    if *revision > after {
                        events.push(event.as_str());
                    }
                }
                let (revision, events) = (content.revision, events.join(","));
                (
                    200,
                    format!(r#"{{"events":[{events}],"storeRevision":{revision}}}"#),
                )
            }
            ("POST", "/api/kv-lease") => {
                let mut content = self.content.lock().unwrap();
                let ttl = body.get("ttlMs").number();
                content.next_lease += 1;
                let lease = 70_000 + content.next_lease;
                let span = Duration::from_millis(ttl);
                content.leases.insert(lease, (span, Instant::now() + span));
                (200, format!(r#"{{"lease":{lease},"ttlMs":{ttl}}}"#))
            }
            ("POST", "/api/kv-txn") => self.transact(&body),
            _ => {
                let mut content = self.content.lock().unwrap();
                let lease = path.rsplit('/').next().and_then(|id| id.parse().ok());
                let lease: u64 = lease.unwrap_or_default();
                if method == "POST" && path.starts_with("/api/kv-keep/") {
                    let Some((span, until)) = content.leases.get_mut(&lease) else {
                        return (404, "{}".to_owned());
                    };
                    *until = Instant::now() + *span;
                    return (200, format!(r#"{{"ttlMs":{}}}"#, span.as_millis()));
                }
                if method == "DELETE" && path.starts_with("/api/kv-lease-end/") {
                    let existed = content.end_lease(lease);
                    self.changed.notify_all();
                    return (if existed { 200 } else { 404 }, "{}".to_owned());
                }
                (404, "{}".to_owned())
            }
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut content = self.content.lock().unwrap();
        for row in body.get("precondition").list() {
            let revision = content.items.get(row.get("key").text());
            if revision.map_or(0, |item| item.revision) != row.get("revision").number() {
                let mut items = Vec::new();
                for row in body.get("precondition").list() {
                    let key = row.get("key").text();
                    items.extend(content.items.get(key).map(|item| describe(key, item)));
                }
                return (412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
            }
        }
        for row in body.get("setKeys").list() {
            let lease = row.get("lease").number();
            if lease != 0 && !content.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        content.revision += 1;
        let revision = content.revision;
        for row in body.get("setKeys").list() {
            let (key, value) = (row.get("key").text(), row.get("value").text());
            content.set(revision, key, value, row.get("lease").number());
        }
        for key in body.get("remove").list() {
            content.remove(revision, key.text());
        }
        self.changed.notify_all();
        (200, format!(r#"{{"revision":{revision}}}"#))
    }
}

/// One process of a replica.
struct Life {
    version: &'static str,
    born: u128,
    leaving: AtomicBool,
    ended: AtomicBool,
    running: AtomicUsize,
    connections: Mutex<Vec<TcpStream>>,
}

/// A replica, which starts again under its id and address.
struct Replica {
    id: String,
    address: SocketAddr,
    zone: String,
    store: Arc<Store>,
    log: Arc<Log>,
}

impl Replica {
    fn new(number: usize, store: &Arc<Store>, log: &Arc<Log>) -> Result<Self, Failure> {
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        Ok(Self {
            id: format!("i-{}", number + 1),
            address,
            zone: ZONES[number].to_owned(),
            store: Arc::clone(store),
            log: Arc::clone(log),
        })
    }

    /// Starts a process.
    fn start(self: &Arc<Self>, version: &'static str) -> Result<Arc<Life>, Failure> {
        let listener = TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        let life = Arc::new(Life {
            version,
            born: SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis(),
            leaving: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            connections: Mutex::default(),
        });
        let (replica, accepting) = (Arc::clone(self), Arc::clone(&life));
        thread::spawn(move || {
            while !accepting.ended.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let Ok(kept) = stream.try_clone() else {
                    continue;
                };
                accepting.connections.lock().unwrap().push(kept);
                let (replica, life) = (Arc::clone(&replica), Arc::clone(&accepting));
                thread::spawn(move || replica.serve(stream, &life));
            }
        });
        let (replica, beating) = (Arc::clone(self), Arc::clone(&life));
        thread::spawn(move || {
            let mut sequence = 0;
            let mut was_leaving = false;
            let mut due = Instant::now();
            while !beating.ended.load(Ordering::SeqCst) {
                let leaving = beating.leaving.load(Ordering::SeqCst);
                if Instant::now() >= due || leaving != was_leaving {
                    sequence += 1;
                    was_leaving = leaving;
                    due = Instant::now() + HEARTBEAT;
                    replica.write(&beating, sequence);
                }
                thread::sleep(Duration::from_millis(5));
            }
        });
        self.log.add(&format!(
            "replica {} starts with version {version}",
            self.id
        ));
        Ok(life)
    }

    fn write(&self, life: &Life, sequence: u64) {
        let state = if life.leaving.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let entry = format!(
            r#"{{"service":"drafter","address":"{}","zone":"{}","version":"{}","slots":{SLOTS},"state":"{state}","coldRemainingMs":0,"seq":{sequence},"born":{}}}"#,
            self.address, self.zone, life.version, life.born
        );
        self.store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Updates the replica as planned: it reports that it drains, serves for `drainMs` and a
    /// little longer, exits, and starts again under its id.
    fn update(self: &Arc<Self>, life: &Life) -> Result<Arc<Life>, Failure> {
        self.log.add(&format!("replica {} drains", self.id));
        life.leaving.store(true, Ordering::SeqCst);
        thread::sleep(DRAIN + LONGER);
        life.ended.store(true, Ordering::SeqCst);
        let running = life.running.load(Ordering::SeqCst);
        self.log.add(&format!(
            "replica {} exits, {running} streams run there",
            self.id
        ));
        for connection in life.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.store.delete(&format!("servers/{}", self.id));
        thread::sleep(RESTART);
        self.start("v2")
    }

    fn serve(&self, mut stream: TcpStream, life: &Life) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        loop {
            let request = read_request(&mut reader)?;
            let running = life.running.load(Ordering::SeqCst);
            let leaving = if life.leaving.load(Ordering::SeqCst) {
                "Server-Leaving: 1\r\n"
            } else {
                ""
            };
            let own = format!(
                "Replica-Id: {}\r\nReplica-Load: {running},0,{SLOTS}\r\n{leaving}",
                self.id
            );
            let plain = |status: &str, id: &str| {
                format!("HTTP/1.1 {status}\r\n{id}{own}Content-Length: 0\r\n\r\n")
            };
            if request.first.starts_with("GET /health ") {
                let status = if leaving.is_empty() {
                    "200 OK"
                } else {
                    "503 Draining"
                };
                stream.write_all(plain(status, "").as_bytes()).ok()?;
                continue;
            }
            let Some(attempt) = request.header("attempt-id") else {
                let answer = plain("400 Bad Request\r\nNot-Executed: 1", "");
                stream.write_all(answer.as_bytes()).ok()?;
                continue;
            };
            let id = format!("Attempt-Id: {attempt}\r\n");
            if request
                .header("expected-replica")
                .is_some_and(|expected| expected != self.id)
            {
                let answer = plain("421 Misdirected Request\r\nNot-Executed: 1", &id);
                stream.write_all(answer.as_bytes()).ok()?;
                continue;
            }
            if running >= SLOTS {
                let answer = plain("503 Service Unavailable\r\nNot-Executed: 1", &id);
                stream.write_all(answer.as_bytes()).ok()?;
                continue;
            }
            life.running.fetch_add(1, Ordering::SeqCst);
            let streamed = self.stream(&mut stream, life, &request, attempt, &id, &own);
            life.running.fetch_sub(1, Ordering::SeqCst);
            streamed?;
        }
    }

    fn stream(
        &self,
        stream: &mut TcpStream,
        life: &Life,
        request: &Message,
        attempt: &str,
        id: &str,
        own: &str,
    ) -> Option<()> {
        let after = request.header("last-event-id").unwrap_or("0");
        let after: u64 = after.parse().ok()?;
        self.log.add(&format!(
            "run {attempt} at {} {} after event {after}",
            self.id, life.version
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\n{id}Response-Seal: 3e1b.{attempt}\r\n{own}Weight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).ok()?;
        for number in after + 1..=EVENTS {
            let event = format!(
                "id: {number}\ndata: {} {} for {attempt}\n\n",
                life.version, self.id
            );
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).ok()?;
            thread::sleep(EVENT_INTERVAL);
            if life.ended.load(Ordering::SeqCst) {
                return None;
            }
        }
        stream.write_all(b"0\r\n\r\n").ok()
    }
}

/// What a client saw of one stream.
struct Seen {
    attempt: String,
    status: String,
    /// Number of each event, with the version and the replica that made it.
    events: Vec<(u64, String)>,
    complete: bool,
}

impl Seen {
    /// Returns the makers of the events, each once for a row of events.
    fn makers(&self) -> Vec<String> {
        let mut makers: Vec<String> = Vec::new();
        for (_, maker) in &self.events {
            if makers.last() != Some(maker) {
                makers.push(maker.clone());
            }
        }
        makers
    }

    fn is_joined_from_two_versions(&self) -> bool {
        let version = |maker: &str| maker.split(' ').next().unwrap_or_default().to_owned();
        let mut versions = self.events.iter().map(|(_, maker)| version(maker));
        let first = versions.next();
        versions.any(|other| Some(&other) != first.as_ref())
    }
}

/// Asks a gateway for one stream.
fn call(gateway: SocketAddr, attempt: &str) -> Seen {
    let mut seen = Seen {
        attempt: attempt.to_owned(),
        status: "no answer".to_owned(),
        events: Vec::new(),
        complete: false,
    };
    let _ = ask(gateway, &mut seen);
    seen
}

fn ask(gateway: SocketAddr, seen: &mut Seen) -> Option<()> {
    let mut stream = TcpStream::connect_timeout(&gateway, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    let request = format!(
        "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: {}\r\nModel: m\r\n\
         Token-Count: 60,600\r\nDeadline-Remaining: 15000\r\nContent-Length: {}\r\n\r\n{}",
        seen.attempt,
        seen.attempt.len(),
        seen.attempt
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    seen.status = head.first.clone();
    if !head.first.contains(" 200 ") {
        return None;
    }
    let mut text = String::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let length = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk).ok()?;
        if length == 0 {
            seen.complete = true;
            return Some(());
        }
        text.push_str(&String::from_utf8_lossy(&chunk[..length]));
        while let Some((event, rest)) = text.split_once("\n\n") {
            let number = event.lines().find_map(|line| line.strip_prefix("id: "));
            let data = event.lines().find_map(|line| line.strip_prefix("data: "));
            let (maker, request) = data?.split_once(" for ")?;
            if request != seen.attempt {
                return None;
            }
            seen.events.push((number?.parse().ok()?, maker.to_owned()));
            text = rest.to_owned();
        }
    }
}

/// The processes that were started.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends the processes that were started.
fn end_children() {
    let mut children = CHILDREN.lock().unwrap_or_else(PoisonError::into_inner);
    for mut child in children.drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// The gateways, which are killed on drop.
struct Gateways {
    callers: Vec<SocketAddr>,
    health: Vec<SocketAddr>,
}

impl Drop for Gateways {
    fn drop(&mut self) {
        end_children();
    }
}

impl Gateways {
    fn start(program: &Path, folder: &Path, stores: &[SocketAddr]) -> Result<Self, Failure> {
        let mut ports = Vec::new();
        let mut held = Vec::new();
        for _ in 0..GATEWAYS * 5 {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            ports.push(listener.local_addr()?);
            held.push(listener);
        }
        drop(held);
        let of = |gateway: usize, index: usize| ports[gateway * 5 + index];
        let seeds: Vec<String> = (0..GATEWAYS)
            .map(|gateway| format!("\"{}\"", of(gateway, 2)))
            .collect();
        let mut gateways = Self {
            callers: Vec::new(),
            health: Vec::new(),
        };
        for (gateway, store) in stores.iter().enumerate() {
            let zone = gateway + 1;
            let settings = format!(
                "node: \"front-z{zone}-1\"\ndata_centre: \"z{zone}\"\nprocessor_share: 0.25\n\
                 memory_mb: 110\nmax_descriptors: 4100\nlisten:\n  callers: \"{}\"\n  \
                 health: \"{}\"\n  peers: \"{}\"\n  beats: \"{}\"\n  operations: \"{}\"\n\
                 store: \"{store}\"\nseeds: [{}]\nbounds:\n  drain_ms: 2000\n  apply_ms: 2000\n  \
                 grace_s: 8\nretries:\n  ratio: 0.2\n  allowance: 56\n  window_s: 10\nquotas:\n  \
                 tolerated_part: 0.1\n  tolerated_tokens: 140000\n  window_s: 8\nrollouts:\n  \
                 share: \n  allowance: \n  rollback_ms: \n",
                of(gateway, 0),
                of(gateway, 1),
                of(gateway, 2),
                of(gateway, 3),
                of(gateway, 4),
                seeds.join(",")
            );
            let file = folder.join(format!("gateway-{zone}.yaml"));
            fs::write(&file, settings)?;
            let log = fs::File::create(folder.join(format!("gateway-{zone}.log")))?;
            let child = Command::new(program)
                .arg("--settings")
                .arg(&file)
                .stdin(Stdio::null())
                .stdout(log)
                .spawn()?;
            CHILDREN.lock().unwrap().push(child);
            gateways.callers.push(of(gateway, 0));
            gateways.health.push(of(gateway, 1));
        }
        Ok(gateways)
    }

    fn wait_until_ready(&self) -> Result<(), Failure> {
        let limit = Instant::now() + Duration::from_secs(15);
        for health in &self.health {
            while !is_ready(*health) {
                if Instant::now() > limit {
                    return Err("a gateway is not ready after 15 s".into());
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }
}

fn is_ready(health: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(health) else {
        return false;
    };
    let request = b"GET /api/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    if stream.write_all(request).is_err() {
        return false;
    }
    let mut answer = String::new();
    let _ = BufReader::new(stream).read_line(&mut answer);
    answer.contains(" 200 ")
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-nr26tta","host":"ficu95.example","prefix":"/lohu930/","routeType":"streaming","timeoutMs":15000,"targetLatencyMs":800,"priority":0,"service":"drafter","maxAttempts":3,"anonymous":false,"sticky":true,"resumable":true,"targetGapMs":300}],"services":[{"name":"drafter","healthPath":"/health","maxConns":300,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

fn main() -> ExitCode {
    let mut arguments = env::args().skip(1).map(PathBuf::from);
    let (Some(program), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: updated_in_place GATEWAY FOLDER");
        return ExitCode::from(2);
    };
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("the run takes too long");
        end_children();
        std::process::exit(2);
    });
    match run(&program, &folder) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

/// Returns whether the rule held.
fn run(program: &Path, folder: &Path) -> Result<bool, Failure> {
    let is_troubled = env::var("TROUBLE").map_or(true, |value| value != "0");
    let log = Arc::new(Log {
        started: Instant::now(),
        file: Mutex::new(fs::File::create(folder.join("record.txt"))?),
    });
    let scratch = env::temp_dir().join(format!("case-16-{}", std::process::id()));
    fs::create_dir_all(&scratch)?;
    let store = Arc::new(Store::default());
    let expiring = Arc::clone(&store);
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(100));
            expiring.expire();
        }
    });
    store.put("op/config", CONFIG);
    let mut replicas = Vec::new();
    let mut lives = Vec::new();
    for number in 0..REPLICAS {
        let replica = Arc::new(Replica::new(number, &store, &log)?);
        lives.push(replica.start("v1")?);
        replicas.push(replica);
    }
    let turns_away = Arc::new(AtomicBool::new(false));
    let mut stores = Vec::new();
    for gateway in 0..GATEWAYS {
        let flag = if gateway == GATEWAYS - 1 {
            Arc::clone(&turns_away)
        } else {
            Arc::default()
        };
        stores.push(store.listen(flag)?);
    }
    let gateways = Gateways::start(program, &scratch, &stores)?;
    gateways.wait_until_ready()?;
    log.add("all gateways are ready");
    thread::sleep(CONTACT);

    let results = Arc::new(Mutex::new(Vec::new()));
    let number = Arc::new(AtomicU64::new(0));
    let mut callers = Vec::new();
    let mut begin = |gateway: usize| {
        let attempt = format!("g{}-{}", gateway + 1, number.fetch_add(1, Ordering::SeqCst));
        let (address, results, log) = (
            gateways.callers[gateway],
            Arc::clone(&results),
            Arc::clone(&log),
        );
        log.add(&format!("sent {attempt} to gateway {}", gateway + 1));
        callers.push(thread::spawn(move || {
            let seen = call(address, &attempt);
            log.add(&format!(
                "answered {}: {}, {} events of {:?}, {}",
                seen.attempt,
                seen.status,
                seen.events.len(),
                seen.makers(),
                if seen.complete {
                    "complete"
                } else {
                    "not complete"
                }
            ));
            results.lock().unwrap().push(seen);
        }));
    };
    if is_troubled {
        turns_away.store(true, Ordering::SeqCst);
        log.add("the store turns gateway 3 away");
    }
    let away_until = Instant::now() + TURNED_AWAY;
    let (updated, log_of_updates) = (replicas.clone(), Arc::clone(&log));
    let updating = thread::spawn(move || -> Result<(), Failure> {
        for index in 0..UPDATED {
            let next = Instant::now() + GAP;
            lives[index] = updated[index].update(&lives[index])?;
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        log_of_updates.add("the release has ended");
        Ok(())
    });
    thread::sleep(STREAMS_BEGIN);
    for _ in 0..STREAMS {
        begin(GATEWAYS - 1);
        thread::sleep(STREAM_INTERVAL);
    }
    for index in 0..BACKGROUND {
        begin(index % (GATEWAYS - 1));
        thread::sleep(BACKGROUND_INTERVAL / 2);
        if Instant::now() >= away_until && turns_away.swap(false, Ordering::SeqCst) {
            log.add("the store serves gateway 3 again");
        }
    }
    thread::sleep(away_until.saturating_duration_since(Instant::now()));
    if turns_away.swap(false, Ordering::SeqCst) {
        log.add("the store serves gateway 3 again");
    }
    updating.join().map_err(|_| "the release failed")??;
    for caller in callers {
        caller.join().map_err(|_| "a client failed")?;
    }
    drop(gateways);
    let results = results.lock().unwrap();
    let answered = results.iter().filter(|seen| seen.complete).count();
    let joined: Vec<&Seen> = results
        .iter()
        .filter(|seen| seen.is_joined_from_two_versions())
        .collect();
    for seen in &joined {
        log.add(&format!(
            "ORDER broken: {} is joined from {:?}, {}",
            seen.attempt,
            seen.makers(),
            if seen.complete {
                "complete"
            } else {
                "not complete"
            }
        ));
    }
    let summary = format!(
        "{} streams, {answered} complete, {} joined from two versions; trouble: {is_troubled}",
        results.len(),
        joined.len()
    );
    log.add(&summary);
    println!("{summary}");
    if results.len() != STREAMS + BACKGROUND || answered * 2 < results.len() {
        return Err("too few streams were answered".into());
    }
    if env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(&scratch);
    } else {
        println!("{}", scratch.display());
    }
    Ok(joined.is_empty())
}
