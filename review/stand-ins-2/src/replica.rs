//! Replicas of a service: they register in the store, run requests and can crash.

use std::{
    io::{self, BufReader, Write},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{http, store::Store};

/// Time between two reports to the store.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time without a report after which the entry is removed.
const EXPIRY: Duration = Duration::from_millis(3600);

/// End of the path of requests that crash each replica that begins to run them.
pub const CRASHING: &str = "/crashing";

/// What the replicas of a service do.
#[derive(Clone, Debug)]
pub struct Service {
    pub name: String,
    pub slots: usize,
    /// Events of an answer, and the time before each; without events, answers are plain.
    pub events: usize,
    pub pause: Duration,
    /// Size of a plain answer in bytes.
    pub answer_bytes: usize,
}

struct Process {
    id: String,
    service: Service,
    store: Store,
    stopped: AtomicBool,
    crashed_at: Mutex<Option<Instant>>,
    running: AtomicUsize,
    connections: Mutex<Vec<TcpStream>>,
    /// Ids of the attempts that began to run.
    runs: Arc<Mutex<Vec<String>>>,
}

/// One process of a replica.
pub struct Replica {
    pub id: String,
    pub zone: String,
    process: Arc<Process>,
}

impl Replica {
    /// Starts a process under an id of its own and registers it.
    pub fn start(
        id: &str,
        zone: &str,
        service: &Service,
        store: &Store,
        runs: &Arc<Mutex<Vec<String>>>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let process = Arc::new(Process {
            id: id.to_owned(),
            service: service.clone(),
            store: store.clone(),
            stopped: AtomicBool::new(false),
            crashed_at: Mutex::default(),
            running: AtomicUsize::new(0),
            connections: Mutex::default(),
            runs: Arc::clone(runs),
        });
        let accepting = Arc::clone(&process);
        thread::spawn(move || accepting.accept(&listener));
        let reporting = Arc::clone(&process);
        let to_zone = zone.to_owned();
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis());
        thread::spawn(move || {
            let mut seq = 0;
            while !reporting.stopped.load(Ordering::SeqCst) {
                seq += 1;
                let Service { name, slots, .. } = &reporting.service;
                reporting.store.set(
                    &format!("servers/{}", reporting.id),
                    &format!(
                        r#"{{"service":"{name}","address":"{address}","zone":"{to_zone}","version":"v1","slots":{slots},"state":"ready","coldRemainingMs":0,"seq":{seq},"born":{born}}}"#
                    ),
                );
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(Self {
            id: id.to_owned(),
            zone: zone.to_owned(),
            process,
        })
    }

    /// Returns the number of requests that run.
    pub fn running(&self) -> usize {
        self.process.running.load(Ordering::SeqCst)
    }

    /// Ends the process.
    pub fn crash(&self) {
        self.process.crash();
    }

    /// Returns when the process crashed; `None` if it lives.
    pub fn crashed_at(&self) -> Option<Instant> {
        *self.process.crashed_at.lock().unwrap()
    }
}

impl Process {
    /// Ends the process: its port is closed and its connections break. Its entry expires.
    fn crash(&self) {
        if self.stopped.swap(true, Ordering::SeqCst) {
            return;
        }
        *self.crashed_at.lock().unwrap() = Some(Instant::now());
        for stream in self.connections.lock().unwrap().drain(..) {
            // It may be closed already.
            stream.shutdown(Shutdown::Both).ok();
        }
        let (store, key) = (self.store.clone(), format!("servers/{}", self.id));
        thread::spawn(move || {
            thread::sleep(EXPIRY);
            store.remove(&key);
        });
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        while !self.stopped.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let process = Arc::clone(self);
            // A connection that breaks ends its request.
            thread::spawn(move || process.serve(stream).ok());
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        self.connections.lock().unwrap().push(stream.try_clone()?);
        if self.stopped.load(Ordering::SeqCst) {
            return stream.shutdown(Shutdown::Both);
        }
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader)? {
            http::read_body(&mut reader, &head)?;
            let path = head.word(1);
            if path == "/health" || path == "/api/report" {
                let body = format!(
                    r#"{{"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"seq":1,"queued":0,"active":{},"kvUsed":0,"kvTotal":500000,"handles":0}}"#,
                    self.running.load(Ordering::SeqCst)
                );
                write!(
                    writer,
                    "HTTP/1.1 200 OK\r\nReplica-Id: {}\r\nContent-Length: {}\r\n\r\n{body}",
                    self.id,
                    body.len()
                )?;
                continue;
            }
            let attempt = head.header("attempt-id").unwrap_or_default().to_owned();
            if head
                .header("expected-replica")
                .is_some_and(|id| id != self.id)
            {
                write!(
                    writer,
                    "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nReplica-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                )?;
                continue;
            }
            let running = self.running.fetch_add(1, Ordering::SeqCst);
            if path.ends_with(CRASHING) && running < self.service.slots {
                self.runs.lock().unwrap().push(attempt);
                self.crash();
                return Ok(());
            }
            let result = self.run(&mut writer, &attempt, running);
            self.running.fetch_sub(1, Ordering::SeqCst);
            result?;
        }
        Ok(())
    }

    fn run(&self, writer: &mut TcpStream, attempt: &str, running: usize) -> io::Result<()> {
        let Service {
            slots,
            events,
            pause,
            answer_bytes,
            ..
        } = &self.service;
        if running >= *slots {
            return write!(
                writer,
                "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
        }
        self.runs.lock().unwrap().push(attempt.to_owned());
        let load = format!("{},0,{slots}", running + 1);
        if *events == 0 {
            thread::sleep(*pause);
            write!(
                writer,
                "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s.{attempt}\r\nReplica-Load: {load}\r\nContent-Length: {answer_bytes}\r\n\r\n"
            )?;
            return writer.write_all(&vec![b'x'; *answer_bytes]);
        }
        for event in 1..=*events {
            thread::sleep(*pause);
            if event == 1 {
                write!(
                    writer,
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s.{attempt}\r\nReplica-Load: {load}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                )?;
            }
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            write!(writer, "{:x}\r\n{text}\r\n", text.len())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
