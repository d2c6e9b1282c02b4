//! Stand-in of the platform's metadata store, which can be away and come back from a copy.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::Connection,
    json::{Json, base64, quote},
    record::Record,
};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Clone, Default)]
struct Content {
    items: BTreeMap<String, Item>,
    /// Changes in order, as JSON, by revision and key.
    events: Vec<(u64, String, String)>,
    revision: u64,
    leases: BTreeMap<u64, Lease>,
}

#[derive(Default)]
struct State {
    content: Content,
    copy: Content,
    era: u64,
    next_lease: u64,
    away: bool,
    /// What the operator and the servers wrote last: they write it again after a drill.
    outside: BTreeMap<String, Option<String>>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":{},\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        quote(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

impl Content {
    fn set(&mut self, revision: u64, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.events.push((revision, key.to_owned(), item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, revision: u64, key: &str) -> bool {
        let known = self.items.remove(key).is_some();
        if known {
            let event = format!("{{\"key\":{},\"revision\":{revision},\"removed\":true}}", quote(key));
            self.events.push((revision, key.to_owned(), event));
        }
        known
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            let revision = self.revision;
            for key in keys {
                self.remove(revision, &key);
            }
        }
        true
    }
}

impl Store {
    pub fn start(record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("an address"),
            shared: Arc::default(),
            record: record.clone(),
        };
        store.shared.0.lock().unwrap().era = 1;
        store.shared.0.lock().unwrap().content.revision = 10;
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(Connection::new(stream)));
            }
        });
        let leases = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                let mut state = leases.shared.0.lock().unwrap();
                if state.away {
                    continue;
                }
                let now = Instant::now();
                let ended: Vec<u64> = state
                    .content
                    .leases
                    .iter()
                    .filter(|(_, lease)| lease.ends <= now)
                    .map(|(id, _)| *id)
                    .collect();
                for id in ended {
                    state.content.end_lease(id);
                    leases.shared.1.notify_all();
                }
            }
        });
        store
    }

    /// Writes a key as the operator or a server does; `None` removes it. Returns the
    /// revision, with which the write is acknowledged; `None` while the store is away.
    pub fn write_outside(&self, key: &str, value: Option<&str>) -> Option<u64> {
        let mut state = self.shared.0.lock().unwrap();
        if state.away {
            return None;
        }
        let value = value.map(|value| base64(value.as_bytes()));
        state.outside.insert(key.to_owned(), value.clone());
        let revision = write(&mut state.content, key, value);
        self.shared.1.notify_all();
        self.record.line(&format!("store: {key} written from outside at revision {revision}"));
        Some(revision)
    }

    /// Takes the copy that a drill comes back from.
    pub fn take_copy(&self) {
        let mut state = self.shared.0.lock().unwrap();
        state.copy = state.content.clone();
        self.record.line(&format!("store: copy taken at revision {}", state.copy.revision));
    }

    /// Goes away: open calls are cut, new ones are closed without an answer.
    pub fn go_away(&self) {
        let mut state = self.shared.0.lock().unwrap();
        state.away = true;
        self.shared.1.notify_all();
        self.record.line(&format!("store: goes away at revision {}", state.content.revision));
    }

    /// Writes a server's description, as each of its heartbeats does; one that is stored
    /// already is no change. Returns whether the store answered.
    pub fn beat(&self, key: &str, value: &str) -> bool {
        let mut state = self.shared.0.lock().unwrap();
        if state.away {
            return false;
        }
        let value = base64(value.as_bytes());
        let stored = state.content.items.get(key).map(|item| &item.value);
        if stored != Some(&value) {
            let revision = write(&mut state.content, key, Some(value));
            self.shared.1.notify_all();
            self.record.line(&format!("store: {key} written by its server at revision {revision}"));
        }
        true
    }

    /// Comes back from the copy; what [`Self::write_outside`] wrote since is written again.
    pub fn come_back(&self) {
        let mut state = self.shared.0.lock().unwrap();
        state.content = state.copy.clone();
        state.era += 1;
        state.away = false;
        let copy = state.content.revision;
        for (key, value) in state.outside.clone() {
            let stored = state.content.items.get(&key).map(|item| item.value.clone());
            if stored != value {
                let revision = write(&mut state.content, &key, value);
                self.record.line(&format!("store: {key} written again at revision {revision}"));
            }
        }
        self.shared.1.notify_all();
        self.record.line(&format!(
            "store: is back from the copy of revision {copy}, now at revision {}, era {}",
            state.content.revision, state.era
        ));
    }

    /// Returns the keys with a prefix, with their revisions.
    pub fn keys(&self, prefix: &str) -> Vec<(String, u64)> {
        let state = self.shared.0.lock().unwrap();
        let items = state.content.items.iter();
        items
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, item)| (key.clone(), item.revision))
            .collect()
    }

    pub fn revision(&self) -> u64 {
        self.shared.0.lock().unwrap().content.revision
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read_request() {
            let words = request.words();
            let (Some(method), Some(target)) = (words.first(), words.get(1)) else {
                return;
            };
            let body = String::from_utf8_lossy(&request.body).into_owned();
            let Some((status, answer, era)) = self.answer(method, target, &body) else {
                // A connection on which an answer is lost is of no use.
                return;
            };
            let reason = if status == 200 { "OK" } else { "Other" };
            let message = format!(
                "HTTP/1.1 {status} {reason}\r\ncontent-type: application/json\r\nstore-era: {era}\r\n\
                 content-length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if connection.write(message.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns status, body and era; `None` if the store is away.
    fn answer(&self, method: &str, target: &str, body: &str) -> Option<(u16, String, u64)> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            query.split('&').find_map(|pair| {
                let (key, value) = pair.split_once('=')?;
                (key == name).then(|| decode(value))
            })
        };
        let prefix = parameter("prefix").unwrap_or_default();
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        if state.away {
            return None;
        }
        let era = state.era;
        let body = Json::parse(body);
        let done = |status: u16, answer: String| Some((status, answer, era));
        if let Some(id) = path.strip_prefix("/api/kv-keep/") {
            let id = id.parse().unwrap_or(0);
            return match state.content.leases.get_mut(&id) {
                Some(lease) => {
                    lease.ends = Instant::now() + lease.ttl;
                    let ttl = lease.ttl.as_millis();
                    done(200, format!("{{\"lease\":{id},\"ttlMs\":{ttl}}}"))
                }
                None => done(404, "{}".to_owned()),
            };
        }
        if let Some(id) = path.strip_prefix("/api/kv-lease-end/") {
            let ended = state.content.end_lease(id.parse().unwrap_or(0));
            changed.notify_all();
            return done(if ended { 200 } else { 404 }, "{}".to_owned());
        }
        match (method, path) {
            ("GET", "/api/kv-key") => {
                let key = parameter("key").unwrap_or_default();
                match state.content.items.get(&key) {
                    Some(item) => done(200, item_json(&key, item)),
                    None => done(404, "{}".to_owned()),
                }
            }
            ("GET", "/api/kv-range") => {
                let after = parameter("after").unwrap_or_default();
                let items = state.content.items.iter();
                let found: Vec<String> = items
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| item_json(key, item))
                    .collect();
                let revision = state.content.revision;
                let items = found.join(",");
                done(200, format!("{{\"items\":[{items}],\"hasMore\":false,\"storeRevision\":{revision}}}"))
            }
            ("GET", "/api/kv-watch") => {
                let number = |name| parameter(name).and_then(|value| value.parse::<u64>().ok());
                let after = number("after").unwrap_or(0);
                let ends = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
                loop {
                    if state.away || state.era != era {
                        return None;
                    }
                    let revision = state.content.revision;
                    if after > revision {
                        // It doesn't have this revision.
                        return done(410, "{}".to_owned());
                    }
                    let events = state.content.events.iter();
                    let newer: Vec<&str> = events
                        .filter(|(at, key, _)| *at > after && key.starts_with(&prefix))
                        .map(|(_, _, event)| event.as_str())
                        .collect();
                    let left = ends.saturating_duration_since(Instant::now());
                    if !newer.is_empty() || left.is_zero() {
                        let events = newer.join(",");
                        return done(200, format!("{{\"events\":[{events}],\"storeRevision\":{revision}}}"));
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/api/kv-lease") => {
                let ttl = body.as_ref().and_then(|body| body.get("ttlMs")?.number()).unwrap_or(1000.0);
                let ttl = Duration::from_millis((ttl as u64).clamp(1000, 600_000));
                state.next_lease += 1;
                let id = state.next_lease;
                state.content.leases.insert(id, Lease { ttl, ends: Instant::now() + ttl });
                done(200, format!("{{\"lease\":{id},\"ttlMs\":{}}}", ttl.as_millis()))
            }
            ("POST", "/api/kv-txn") => {
                let Some(body) = body else {
                    return done(400, "{}".to_owned());
                };
                let rows = |name: &str| body.get(name).map(|rows| rows.list().to_vec()).unwrap_or_default();
                let mut found = Vec::new();
                let mut holds = true;
                for row in rows("precondition") {
                    let key = row.get("key").and_then(Json::text).unwrap_or_default();
                    let wanted = row.get("revision").and_then(Json::number).unwrap_or(0.0) as u64;
                    let item = state.content.items.get(key);
                    holds &= item.map_or(0, |item| item.revision) == wanted;
                    found.extend(item.map(|item| item_json(key, item)));
                }
                if !holds {
                    return done(412, format!("{{\"items\":[{}]}}", found.join(",")));
                }
                let sets = rows("setKeys");
                let removes = rows("remove");
                let lease_of = |row: &Json| row.get("lease").and_then(Json::number).unwrap_or(0.0) as u64;
                let keys = sets.iter().filter_map(|row| row.get("key").and_then(Json::text));
                let removed = removes.iter().filter_map(Json::text);
                for key in keys.chain(removed) {
                    if key.starts_with("op/") || key.starts_with("servers/") {
                        return done(403, "{}".to_owned());
                    }
                }
                for row in &sets {
                    let lease = lease_of(row);
                    if lease != 0 && !state.content.leases.contains_key(&lease) {
                        return done(404, "{}".to_owned());
                    }
                }
                state.content.revision += 1;
                let revision = state.content.revision;
                for row in &sets {
                    let key = row.get("key").and_then(Json::text).unwrap_or_default();
                    let value = row.get("value").and_then(Json::text).unwrap_or_default();
                    state.content.set(revision, key, value.to_owned(), lease_of(row));
                    self.record.line(&format!("store: {key} written by the system at revision {revision}"));
                }
                for key in removes.iter().filter_map(Json::text) {
                    state.content.remove(revision, key);
                }
                changed.notify_all();
                done(200, format!("{{\"revision\":{revision}}}"))
            }
            _ => done(404, "{}".to_owned()),
        }
    }
}

fn write(content: &mut Content, key: &str, value: Option<String>) -> u64 {
    content.revision += 1;
    let revision = content.revision;
    match value {
        Some(value) => content.set(revision, key, value, 0),
        None => {
            content.remove(revision, key);
        }
    }
    revision
}

/// Decodes a value of a query.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3).and_then(|code| std::str::from_utf8(code).ok());
        match (bytes[at], code.and_then(|code| u8::from_str_radix(code, 16).ok())) {
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
