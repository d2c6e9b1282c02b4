//! Stand-in of a replica that answers whole requests.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{http::Connection, record::Record, store::Store};

#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    running: Arc<AtomicUsize>,
    record: Record,
}

/// `heartbeatMs` of the deployment.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Returns the time that a request takes: that at the end of its path, as in `/report/work-2500`,
/// in milliseconds, or 15 ms.
fn work(path: &str) -> Duration {
    let named = path.rsplit_once("/work-");
    let named = named.and_then(|(_, milliseconds)| milliseconds.parse().ok());
    Duration::from_millis(named.unwrap_or(15))
}

/// Requests that a replica runs at once.
const SLOTS: usize = 6;

impl Server {
    pub fn start(id: &str, service: &str, zone: &str, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            running: Arc::default(),
            record: record.clone(),
        };
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(Connection::new(stream)));
            }
        });
        server
    }

    /// Returns the description that it writes into the store.
    pub fn description(&self, born: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{SLOTS},\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":1,\"born\":{born}}}",
            self.service, self.address, self.zone
        )
    }

    /// Writes its description into the store from now on, about every `heartbeatMs`.
    pub fn register(&self, store: &Store, born: u64) {
        let (store, key, value) = (store.clone(), format!("servers/{}", self.id), self.description(born));
        thread::spawn(move || {
            loop {
                let _answered = store.beat(&key, &value);
                thread::sleep(HEARTBEAT);
            }
        });
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read_request() {
            let words = request.words();
            let path = words.get(1).copied().unwrap_or_default().to_owned();
            let load = self.running.load(Ordering::Relaxed);
            if path == "/health" {
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nreplica-id: {}\r\nreplica-load: {load},0,{SLOTS}\r\ncontent-length: 0\r\n\r\n",
                    self.id
                );
                if connection.write(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
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
            self.running.fetch_add(1, Ordering::Relaxed);
            self.record.line(&format!(
                "server {} ({}): runs {attempt} {path} tenant {}",
                self.id,
                self.service,
                request.header("tenant").unwrap_or("-")
            ));
            thread::sleep(work(&path));
            let load = self.running.fetch_sub(1, Ordering::Relaxed);
            let body = format!("{} {attempt}", self.service);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nresponse-seal: {}.{attempt}\r\nreplica-load: {load},0,{SLOTS}\r\n\
                 content-length: {}\r\n\r\n{body}",
                self.id,
                body.len()
            );
            if connection.write(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}
