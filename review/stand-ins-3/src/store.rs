//! The platform's metadata store, as `PROTOCOL.md` describes it: one revision counter, pages,
//! watches, transactions and leases that run out.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    base64,
    http::{Message, Reader},
    json::{self, Value},
};

/// Items on a page.
const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    /// In base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Revision and JSON of each change.
    events: Vec<(u64, String)>,
    revision: u64,
    next_lease: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
}

impl State {
    fn set(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.events.push((revision, write_item(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        let key = json::quote(key);
        let event = format!("{{\"key\":{key},\"revision\":{revision},\"removed\":true}}");
        self.events.push((revision, event));
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
        true
    }
}

fn write_item(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        json::quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts the store on a free port.
    ///
    /// # Panics
    ///
    /// Panics if there is none.
    #[must_use]
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port for the store");
        let store = Self {
            address: listener.local_addr().expect("no address of the store"),
            shared: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                let mut state = expiring.lock();
                let over = state
                    .leases
                    .iter()
                    .filter(|(_, (end, _))| *end <= Instant::now());
                let over: Vec<u64> = over.map(|(lease, _)| *lease).collect();
                for lease in over {
                    state.end_lease(lease);
                }
                expiring.shared.1.notify_all();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared
            .0
            .lock()
            .unwrap_or_else(|error| error.into_inner())
    }

    /// Writes a key as the operator or a replica does.
    pub fn set(&self, key: &str, value: &str) {
        self.lock().set(key, base64::encode(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.lock().remove(key);
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = Reader::new(stream);
        while let Ok(Some(message)) = reader.message() {
            let (status, body) = self.answer(&message);
            let head = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all(format!("{head}{body}").as_bytes()).ok()?;
        }
        Some(())
    }

    fn answer(&self, message: &Message) -> (u16, String) {
        let target = message.second();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let mut parameters = BTreeMap::new();
        for pair in query.split('&') {
            if let Some((name, value)) = pair.split_once('=') {
                parameters.insert(name, decode(value));
            }
        }
        let text = |name: &str| parameters.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        if let Some(lease) = path.strip_prefix("/api/kv-keep/") {
            let mut state = self.lock();
            let lease = lease.parse().unwrap_or(0);
            return match state.leases.get_mut(&lease) {
                Some((end, ttl)) => {
                    *end = Instant::now() + *ttl;
                    (200, format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
                }
                None => (404, "{}".to_owned()),
            };
        }
        if let Some(lease) = path.strip_prefix("/api/kv-lease-end/") {
            let ended = self.lock().end_lease(lease.parse().unwrap_or(0));
            self.shared.1.notify_all();
            return (if ended { 200 } else { 404 }, "{}".to_owned());
        }
        match path {
            "/api/kv-key" => {
                let state = self.lock();
                let key = text("key");
                match state.items.get(&key) {
                    Some(item) => (200, write_item(&key, item)),
                    None => (404, "{}".to_owned()),
                }
            }
            "/api/kv-range" => {
                let state = self.lock();
                let (prefix, after) = (text("prefix"), text("after"));
                let found = state.items.iter();
                let found = found.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let found: Vec<String> = found.map(|(key, item)| write_item(key, item)).collect();
                let page = found[..found.len().min(PAGE)].join(",");
                let body = format!(
                    "{{\"items\":[{page}],\"hasMore\":{},\"storeRevision\":{}}}",
                    found.len() > PAGE,
                    state.revision
                );
                (200, body)
            }
            "/api/kv-watch" => self.watch(&text("prefix"), number("after"), number("waitMs")),
            "/api/kv-lease" => {
                let body = json::parse(&String::from_utf8_lossy(&message.body));
                let ttl = body
                    .and_then(|body| body.get("ttlMs").number())
                    .unwrap_or(10_000);
                let mut state = self.lock();
                state.next_lease += 1;
                let lease = state.next_lease;
                let ttl = Duration::from_millis(ttl.max(1000));
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (
                    200,
                    format!("{{\"lease\":{lease},\"ttlMs\":{}}}", ttl.as_millis()),
                )
            }
            "/api/kv-txn" => self.transact(&String::from_utf8_lossy(&message.body)),
            _ => (404, "{}".to_owned()),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.lock();
        loop {
            if after > state.revision {
                return (410, "{}".to_owned());
            }
            let newer = state
                .events
                .iter()
                .filter(|(revision, event)| *revision > after && event[8..].starts_with(prefix));
            let newer: Vec<&str> = newer.map(|(_, event)| event.as_str()).collect();
            if !newer.is_empty() || Instant::now() >= end {
                let revision = state.revision;
                let events = newer.join(",");
                return (
                    200,
                    format!("{{\"events\":[{events}],\"storeRevision\":{revision}}}"),
                );
            }
            let left = end.saturating_duration_since(Instant::now());
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(|error| error.into_inner()).0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(body) = json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.lock();
        let mut current = Vec::new();
        let mut holds = true;
        for row in body.get("precondition").list() {
            let key = row.get("key").text();
            let item = state.items.get(key);
            holds &=
                item.map_or(0, |item| item.revision) == row.get("revision").number().unwrap_or(0);
            current.extend(item.map(|item| write_item(key, item)));
        }
        if !holds {
            return (412, format!("{{\"items\":[{}]}}", current.join(",")));
        }
        for row in body.get("setKeys").list() {
            let lease = row.get("lease").number().unwrap_or(0);
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        for row in body.get("setKeys").list() {
            let lease = row.get("lease").number().unwrap_or(0);
            state.set(
                row.get("key").text(),
                row.get("value").text().to_owned(),
                lease,
            );
        }
        for key in body.get("remove").list() {
            if let Value::Text(key) = key {
                state.remove(key);
            }
        }
        self.shared.1.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

/// Decodes a value of a query.
fn decode(value: &str) -> String {
    let bytes = value.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = value.get(at + 1..at + 3);
        let byte = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[at], byte) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
