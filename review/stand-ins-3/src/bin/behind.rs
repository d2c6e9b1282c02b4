//! Case 15: a machine that the store has turned away for nine seconds does not catch up with
//! the versions that were written meanwhile, as one answer with all of them takes longer than
//! the time limit of its call.
//!
//! Rule CONFIG: requests that are sent later than `contactMs` after the store serves all
//! machines again must not run with a key that was taken away.
//!
//! Usage: `behind GATEWAY FOLDER`. `GATEWAY` is the program, `FOLDER` gets `record.txt`. With
//! `TROUBLE=0` the store serves all gateways. Exits with 0 if the rule held, 1 if it was
//! broken, 2 if the case could not run. With `KEEP` set, the settings and logs of the gateways
//! stay in a temporary folder.

use std::{
    collections::{BTreeMap, HashMap},
    env, fs,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, ExitCode, Stdio},
    sync::{
        Arc, Condvar, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Gateways, each in a zone of its own; the last one is turned away by the store.
const GATEWAYS: usize = 3;
/// Bytes that a machine's link carries in a hundredth of a second: 10 Mbit/s.
const LINK_BYTES: usize = 12_500;
/// Replicas of the service.
const REPLICAS: usize = 4;
/// Routes that the configuration grows by: `big_config` with `count` 1,400.
const ADDED_ROUTES: usize = 1400;
/// `contactMs` and `configApplyMs`.
const CONTACT: Duration = Duration::from_millis(4000);
const APPLY: Duration = Duration::from_millis(3000);
/// For how long the store turns a machine away: the site file has 9.0 s.
const TURNED_AWAY: Duration = Duration::from_millis(9000);
/// Time between two versions meanwhile.
const VERSION_INTERVAL: Duration = Duration::from_millis(1500);
/// Versions written meanwhile.
const VERSIONS: u64 = 5;
/// Added to the bounds before a request is judged.
const MARGIN: Duration = Duration::from_millis(1000);
/// `retentionS`: for how long the store keeps its history.
const RETENTION: Duration = Duration::from_secs(20);
/// Time after the store serves all machines again at which the run ends.
const WATCHED: Duration = Duration::from_secs(16);
/// Time between two requests with each key at each gateway.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);
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
    /// Each change, as the store's watch returns it, and when it was made.
    events: Vec<(u64, String, Instant)>,
    /// Up to this revision the history is dropped.
    dropped: u64,
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
        self.events
            .push((revision, describe(key, &item), Instant::now()));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, revision: u64, key: &str) {
        if self.items.remove(key).is_some() {
            let event = format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#);
            self.events.push((revision, event, Instant::now()));
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
struct Store {
    content: Mutex<Content>,
    changed: Condvar,
    log: Arc<Log>,
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
        let kept = content
            .events
            .iter()
            .position(|(_, _, at)| now.duration_since(*at) < RETENTION);
        let kept = kept.unwrap_or(content.events.len());
        let dropped = content.events.drain(..kept).next_back();
        if let Some((revision, ..)) = dropped {
            content.dropped = revision;
        }
        self.changed.notify_all();
    }

    /// Listens at an address of its own, at which `turns_away` makes it answer 503.
    fn listen(
        self: &Arc<Self>,
        gateway: usize,
        turns_away: Arc<AtomicBool>,
    ) -> Result<SocketAddr, Failure> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, turns_away) = (Arc::clone(&store), Arc::clone(&turns_away));
                thread::spawn(move || store.serve(stream, gateway, &turns_away));
            }
        });
        Ok(address)
    }

    fn serve(&self, mut stream: TcpStream, gateway: usize, turns_away: &AtomicBool) -> Option<()> {
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
            let (began, mut sent) = (Instant::now(), 0);
            for part in answer.as_bytes().chunks(LINK_BYTES) {
                if stream.write_all(part).is_err() {
                    break;
                }
                sent += part.len();
                // Waits until the link has carried what was sent.
                let hundredths = u32::try_from(sent / LINK_BYTES).unwrap_or(u32::MAX);
                let due = Duration::from_millis(10) * hundredths;
                thread::sleep(due.saturating_sub(began.elapsed()));
            }
            if answer.len() > 100_000 {
                let call = request.first.split(' ').nth(1).unwrap_or_default();
                self.log.add(&format!(
                    "store answers gateway {gateway} {status} to {call}: {} bytes, {sent} taken in {} ms",
                    answer.len(),
                    began.elapsed().as_millis()
                ));
            }
            if sent < answer.len() {
                return None;
            }
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
                if after < content.dropped {
                    return (410, "{}".to_owned());
                }
                let mut events = Vec::new();
                for (revision, event, _) in &content.events {
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
                "node: \"front-z{zone}-1\"\ndata_centre: \"z{zone}\"\nprocessor_share: 0.12\n\
                 memory_mb: 88\nmax_descriptors: 4100\nlisten:\n  callers: \"{}\"\n  \
                 health: \"{}\"\n  peers: \"{}\"\n  beats: \"{}\"\n  operations: \"{}\"\n\
                 store: \"{store}\"\nseeds: [{}]\nbounds:\n  drain_ms: 3000\n  apply_ms: 3000\n  \
                 grace_s: 8\nretries:\n  ratio: 0.2\n  allowance: 186\n  window_s: 10\nquotas:\n  \
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

fn main() -> ExitCode {
    let mut arguments = env::args().skip(1).map(PathBuf::from);
    let (Some(program), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: behind GATEWAY FOLDER");
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

/// Returns a configuration with the routes and keys.
fn configuration(version: u64, added_routes: usize, keys: &[&str]) -> String {
    let route = |name: String, prefix: String, timeout: u64| {
        format!(
            r#"{{"name":"{name}","host":"ficu95.example","prefix":"/{prefix}/","routeType":"unsafe","timeoutMs":{timeout},"targetLatencyMs":300,"priority":2,"service":"bookings","maxAttempts":2,"anonymous":false,"sticky":false,"resumable":false}}"#
        )
    };
    // Each version changes one time limit.
    let mut routes = vec![route(
        "r-1".to_owned(),
        "puxa403".to_owned(),
        1500 + version,
    )];
    for number in 0..added_routes {
        routes.push(route(
            format!("r-added-{number}"),
            format!("added{number}"),
            1500,
        ));
    }
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"bookings","healthPath":"/health","maxConns":500,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":[{}],"unit":"tokens","plainTokens":200,"ratePerS":0,"burst":0}}]}}"#,
        routes.join(","),
        keys.join(",")
    )
}

/// A replica of the service; runs what it gets.
fn start_replica(number: usize, store: &Arc<Store>) -> Result<(), Failure> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let id = format!("i-{}", number + 1);
    let (store, own) = (Arc::clone(store), id.clone());
    let born = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis();
    thread::spawn(move || {
        for sequence in 1_u64.. {
            let zone = number % GATEWAYS + 1;
            let entry = format!(
                r#"{{"service":"bookings","address":"{address}","zone":"z{zone}","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"seq":{sequence},"born":{born}}}"#
            );
            store.put(&format!("servers/{id}"), &entry);
            thread::sleep(HEARTBEAT);
        }
    });
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let own = own.clone();
            thread::spawn(move || serve(stream, &own));
        }
    });
    Ok(())
}

fn serve(mut stream: TcpStream, id: &str) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let request = read_request(&mut reader)?;
        let attempt = request.header("attempt-id").unwrap_or_default();
        let expected = request.header("expected-replica").unwrap_or(id);
        // What it answers is the request's own, as that of a ledger would be.
        let own = format!(
            "Replica-Id: {id}\r\nReplica-Load: 1,0,6\r\nContent-Length: {}\r\n\r\n{attempt}",
            attempt.len()
        );
        let answer = if request.first.starts_with("GET /health ") {
            format!("HTTP/1.1 200 OK\r\n{own}")
        } else if expected == id {
            thread::sleep(Duration::from_millis(15));
            format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: 3e1b.{attempt}\r\n{own}"
            )
        } else {
            format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n{own}"
            )
        };
        stream.write_all(answer.as_bytes()).ok()?;
    }
}

/// Sends one request with a key; returns the status of its answer, zero if there was none.
fn call(gateway: SocketAddr, attempt: &str, key: &str) -> u16 {
    ask(gateway, attempt, key).unwrap_or_default()
}

fn ask(gateway: SocketAddr, attempt: &str, key: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&gateway, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    let request = format!(
        "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: {attempt}\r\n\
         Deadline-Remaining: 1500\r\nAuthorization: Bearer {key}\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{attempt}",
        attempt.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    head.first.split(' ').nth(1)?.parse().ok()
}

/// Returns whether the rule held.
fn run(program: &Path, folder: &Path) -> Result<bool, Failure> {
    let is_troubled = env::var("TROUBLE").map_or(true, |value| value != "0");
    let log = Arc::new(Log {
        started: Instant::now(),
        file: Mutex::new(fs::File::create(folder.join("record.txt"))?),
    });
    let scratch = env::temp_dir().join(format!("case-15-{}", std::process::id()));
    fs::create_dir_all(&scratch)?;
    let store = Arc::new(Store {
        content: Mutex::default(),
        changed: Condvar::new(),
        log: Arc::clone(&log),
    });
    let expiring = Arc::clone(&store);
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(100));
            expiring.expire();
        }
    });
    let (dropped, kept) = ("i9n73hh2b9wu3fexd9dn", "n2ctnfzs989anu6wsjnb");
    store.put("op/config", &configuration(7, 0, &[dropped, kept]));
    for number in 0..REPLICAS {
        start_replica(number, &store)?;
    }
    let turns_away = Arc::new(AtomicBool::new(false));
    let mut stores = Vec::new();
    for gateway in 0..GATEWAYS {
        let flag = if gateway == GATEWAYS - 1 {
            Arc::clone(&turns_away)
        } else {
            Arc::default()
        };
        stores.push(store.listen(gateway + 1, flag)?);
    }
    let gateways = Gateways::start(program, &scratch, &stores)?;
    gateways.wait_until_ready()?;
    log.add("all gateways are ready");
    store.put(
        "op/config",
        &configuration(9, ADDED_ROUTES, &[dropped, kept]),
    );
    log.add("version 9: the configuration grows by 1,400 routes");
    thread::sleep(CONTACT + Duration::from_secs(1));

    let over = Arc::new(AtomicBool::new(false));
    let results = Arc::new(Mutex::new(Vec::new()));
    let number = Arc::new(AtomicU64::new(0));
    let mut callers = Vec::new();
    for (gateway, address) in gateways.callers.iter().copied().enumerate() {
        for key in [dropped, kept] {
            let (over, results) = (Arc::clone(&over), Arc::clone(&results));
            let (number, log) = (Arc::clone(&number), Arc::clone(&log));
            callers.push(thread::spawn(move || {
                while !over.load(Ordering::SeqCst) {
                    let attempt =
                        format!("g{}-{}", gateway + 1, number.fetch_add(1, Ordering::SeqCst));
                    let sent = Instant::now();
                    let status = call(address, &attempt, key);
                    let name = if key == dropped { "dropped" } else { "kept" };
                    log.add(&format!("{attempt} with the {name} key: {status}"));
                    results
                        .lock()
                        .unwrap()
                        .push((gateway, key == dropped, sent, status));
                    thread::sleep(REQUEST_INTERVAL.saturating_sub(sent.elapsed()));
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(1));
    if is_troubled {
        turns_away.store(true, Ordering::SeqCst);
        log.add("the store turns gateway 3 away");
    }
    let away_until = Instant::now() + TURNED_AWAY;
    for index in 1..=VERSIONS {
        thread::sleep(VERSION_INTERVAL);
        // The first of them takes a key away.
        let version = 9 + 3 * index;
        store.put("op/config", &configuration(version, ADDED_ROUTES, &[kept]));
        log.add(&format!(
            "version {version} is acknowledged, without the dropped key"
        ));
    }
    let acknowledged = Instant::now();
    thread::sleep(away_until.saturating_duration_since(Instant::now()));
    turns_away.store(false, Ordering::SeqCst);
    log.add("the store serves all gateways");
    let judged_from = (away_until + CONTACT).max(acknowledged + APPLY) + MARGIN;
    thread::sleep(WATCHED);
    over.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.join().map_err(|_| "a client failed")?;
    }
    drop(gateways);
    let results = results.lock().unwrap();
    let mut stale = [0; GATEWAYS];
    let mut judged = [0; GATEWAYS];
    let mut last_stale = Duration::ZERO;
    let mut served = 0;
    for (gateway, is_dropped, sent, status) in results.iter() {
        served += usize::from(!is_dropped && *status == 200);
        if !is_dropped || *sent < judged_from {
            continue;
        }
        judged[*gateway] += 1;
        if *status == 200 {
            stale[*gateway] += 1;
            last_stale = last_stale.max(sent.duration_since(away_until));
        }
    }
    let summary = format!(
        "requests with the dropped key, judged: {judged:?} by gateway, run: {stale:?}, the last one \
         {:.1} s after the store served all again; {served} with the other key served; trouble: \
         {is_troubled}",
        last_stale.as_secs_f64()
    );
    log.add(&summary);
    println!("{summary}");
    if judged.contains(&0) || served * 4 < results.len() {
        return Err("too few requests were answered".into());
    }
    if env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(&scratch);
    } else {
        println!("{}", scratch.display());
    }
    Ok(stale.iter().all(|count| *count == 0))
}
