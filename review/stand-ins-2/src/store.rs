//! The platform's metadata store: items, watches, transactions and leases.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    io::{self, BufReader, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    json::{Json, base64},
};

/// Time between two looks for leases that have ended.
const LEASE_TICK: Duration = Duration::from_millis(50);

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Events, as JSON, with their revisions.
    events: Vec<(u64, String, String)>,
    revision: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
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
        self.events
            .push((revision, key.to_owned(), text(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = format!(
                r#"{{"key":"{key}","revision":{},"removed":true}}"#,
                self.revision
            );
            self.events.push((self.revision, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

fn text(key: &str, item: &Item) -> String {
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

/// The store; clones share its content.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            shared: Arc::default(),
        };
        let leases = store.clone();
        thread::spawn(move || leases.expire());
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                // The end of a connection is no failure.
                thread::spawn(move || store.serve(stream).ok());
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap()
    }

    /// Writes a key as the operator or a server does.
    pub fn set(&self, key: &str, value: &str) {
        self.lock().set(key, base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.lock().remove(key);
        self.shared.1.notify_all();
    }

    /// Returns the keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.lock();
        let keys = state.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    fn expire(&self) {
        loop {
            thread::sleep(LEASE_TICK);
            let mut state = self.lock();
            let now = Instant::now();
            let ended = state.leases.iter().filter(|(_, (end, _))| *end <= now);
            let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
            for lease in &ended {
                state.end_lease(*lease);
            }
            if !ended.is_empty() {
                self.shared.1.notify_all();
            }
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader)? {
            let body = http::read_body(&mut reader, &head)?;
            let body = String::from_utf8_lossy(&body).into_owned();
            let (status, answer) = self.answer(head.word(0), head.word(1), &body);
            let length = answer.len();
            let message = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                 Content-Length: {length}\r\n\r\n{answer}"
            );
            writer.write_all(message.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut found = pairs.filter(|(key, _)| *key == name);
            found.next().map_or("", |(_, value)| value).to_owned()
        };
        let number = path.rsplit('/').next().and_then(|last| last.parse().ok());
        match (method, path) {
            ("GET", "/api/kv-key") => {
                let (state, key) = (self.lock(), parameter("key"));
                match state.items.get(&key) {
                    Some(item) => (200, text(&key, item)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", "/api/kv-range") => {
                (200, self.range(&parameter("prefix"), &parameter("after")))
            }
            ("GET", "/api/kv-watch") => {
                let after = parameter("after").parse().unwrap_or_default();
                let wait = parameter("waitMs").parse().unwrap_or_default();
                (
                    200,
                    self.watch(&parameter("prefix"), after, Duration::from_millis(wait)),
                )
            }
            ("POST", "/api/kv-lease") => {
                let body = Json::parse(body).unwrap_or(Json::Null);
                let ttl = body.get("ttlMs").number().clamp(1000, 600_000);
                let mut state = self.lock();
                state.last_lease += 1;
                let (lease, span) = (state.last_lease, Duration::from_millis(ttl));
                state.leases.insert(lease, (Instant::now() + span, span));
                (200, format!(r#"{{"lease":{lease},"ttlMs":{ttl}}}"#))
            }
            ("POST", "/api/kv-txn") => self.transact(&Json::parse(body).unwrap_or(Json::Null)),
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let mut state = self.lock();
                let lease = number.and_then(|number| state.leases.get_mut(&number));
                let Some((end, ttl)) = lease else {
                    return (404, "{}".to_owned());
                };
                *end = Instant::now() + *ttl;
                (200, format!(r#"{{"ttlMs":{}}}"#, ttl.as_millis()))
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                self.lock().end_lease(number.unwrap_or_default());
                self.shared.1.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.lock();
        let found = state.items.iter();
        let found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let found: Vec<String> = found.map(|(key, item)| text(key, item)).collect();
        let (items, revision) = (found.join(","), state.revision);
        format!(r#"{{"items":[{items}],"hasMore":false,"storeRevision":{revision}}}"#)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let first = state
                .events
                .partition_point(|(revision, ..)| *revision <= after);
            let mut events = String::new();
            for (_, key, event) in &state.events[first..] {
                if key.starts_with(prefix) {
                    let comma = if events.is_empty() { "" } else { "," };
                    write!(events, "{comma}{event}").unwrap();
                }
            }
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                return format!(r#"{{"events":[{events}],"storeRevision":{revision}}}"#);
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, transaction: &Json) -> (u16, String) {
        let mut state = self.lock();
        let mut current = Vec::new();
        let mut holds = true;
        for row in transaction.get("precondition").list() {
            let key = row.get("key").text();
            let item = state.items.get(key);
            holds &= item.map_or(0, |item| item.revision) == row.get("revision").number();
            current.extend(item.map(|item| text(key, item)));
        }
        if !holds {
            return (412, format!(r#"{{"items":[{}]}}"#, current.join(",")));
        }
        for item in transaction.get("setKeys").list() {
            let lease = item.get("lease").number();
            if lease > 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        for item in transaction.get("setKeys").list() {
            let (key, value) = (item.get("key").text(), item.get("value").text());
            state.set(key, value.to_owned(), item.get("lease").number());
        }
        for key in transaction.get("remove").list() {
            state.remove(key.text());
        }
        let revision = state.revision;
        drop(state);
        self.shared.1.notify_all();
        (200, format!(r#"{{"revision":{revision}}}"#))
    }
}
