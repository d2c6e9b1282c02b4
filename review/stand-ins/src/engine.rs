//! Stand-in of a replica that answers with a stream of events and can resume one.

use std::{
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use crate::{http::Connection, record::Record, server::HEARTBEAT, store::Store};

/// Events of each stream.
pub const EVENTS: u64 = 60;

/// Time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Clone)]
pub struct Engine {
    id: String,
    zone: String,
    version: String,
    address: SocketAddr,
    record: Record,
}

impl Engine {
    pub fn start(id: &str, zone: &str, version: &str, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let engine = Self {
            id: id.to_owned(),
            zone: zone.to_owned(),
            version: version.to_owned(),
            address: listener.local_addr().expect("an address"),
            record: record.clone(),
        };
        let serving = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(Connection::new(stream)));
            }
        });
        engine
    }

    /// Writes its description into the store from now on, about every `heartbeatMs`.
    pub fn register(&self, store: &Store, born: u64) {
        let value = format!(
            "{{\"service\":\"llm\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":10,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":1,\"born\":{born}}}",
            self.address, self.zone, self.version
        );
        let (store, key) = (store.clone(), format!("servers/{}", self.id));
        thread::spawn(move || {
            loop {
                let _answered = store.beat(&key, &value);
                thread::sleep(HEARTBEAT);
            }
        });
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read_request() {
            let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
            let path = request.words().get(1).copied().unwrap_or_default().to_owned();
            if path == "/health" {
                let answer = format!("HTTP/1.1 200 OK\r\nreplica-id: {}\r\ncontent-length: 0\r\n\r\n", self.id);
                if connection.write(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if path == "/api/report" {
                let report = "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,\
                              \"seq\":1,\"queued\":0,\"active\":0,\"kvUsed\":0,\"kvTotal\":500000,\"handles\":0}";
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nreplica-id: {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{report}",
                    self.id,
                    report.len()
                );
                if connection.write(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let expected = request.header("expected-replica");
            if expected.is_some_and(|expected| expected != self.id) {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nattempt-id: {attempt}\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n"
                );
                if connection.write(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let after: u64 = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
            self.record.line(&format!(
                "engine {} ({}): runs {attempt} after event {after}",
                self.id, self.version
            ));
            let head = format!(
                "HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nresponse-seal: {}.{attempt}\r\nweight-versions: 1\r\n\
                 replica-load: 1,0,10\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
                self.id
            );
            if connection.write(head.as_bytes()).is_err() {
                return;
            }
            for number in after + 1..=EVENTS {
                // The text names the software version that wrote it.
                let event = format!("id: {number}\ndata: {} {attempt}\n\n", self.version);
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                if connection.write(chunk.as_bytes()).is_err() {
                    self.record.line(&format!("engine {}: {attempt} ends after event {number}", self.id));
                    return;
                }
                thread::sleep(EVENT_INTERVAL);
            }
            if connection.write(b"0\r\n\r\n").is_err() {
                return;
            }
        }
    }
}
