//! Endpoints that end when they begin to run a marked request, and return.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use dottereltally_gateway::chain::Chain;
use dottereltally_lib::{
    endpoint::{Record, Standing},
    id,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::JoinSet,
    time::{Instant, sleep},
};

use super::{TestHeaders, header, read_message};

/// A request with this text in its path ends the endpoint that runs it.
pub const FATAL: &str = "fatal";

/// A request whose prompt has this part ends the endpoint that runs it, unless the
/// fleet [tolerates](Fleet::set_tolerant) it.
pub const FATAL_PART: &str = "bad0";

/// A request with this text in its path loses its answer; its endpoint lives on.
pub const UNANSWERED: &str = "unanswered";

/// A request with this text in its path is answered never.
pub const SLOW: &str = "slow";

/// Time from the first event until the endpoint ends.
const ANSWER_TIME: Duration = Duration::from_millis(30);

/// How an endpoint ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Its connections are reset and its port refuses new ones.
    Reset,
    /// Its connections are closed and its port refuses new ones.
    Close,
    /// It sends nothing more; its connections stay open.
    Silent,
    /// It sends the start of its answer, then its connections are closed.
    AfterPart,
    /// It sends the first event of a stream without length or chunks, then its
    /// connections are closed.
    AfterEvent,
}

/// When and how an endpoint returns.
#[derive(Clone, Copy, Debug)]
pub struct Return {
    /// Time from its end to its next start; `None` if it never returns.
    pub after: Option<Duration>,
    /// Whether it keeps its id.
    pub same_id: bool,
}

/// One endpoint as it is listed.
struct Listed {
    record: Record,
    /// Number of its process, counted from one.
    process: u64,
    /// Ends its process.
    end: Arc<Notify>,
}

struct Shared {
    listed: Mutex<Vec<Listed>>,
    chains: Mutex<Vec<Arc<Chain<TestHeaders>>>>,
    end: End,
    back: Return,
    ended: AtomicUsize,
    held: AtomicUsize,
    /// When a request with the fatal part arrived at an endpoint.
    arrivals: Mutex<Vec<Instant>>,
    /// When an endpoint ended.
    ends: Mutex<Vec<Instant>>,
    /// Whether requests with the fatal part are answered.
    is_tolerant: AtomicBool,
}

/// Endpoints of the service `s`; clones share them.
#[derive(Clone)]
pub struct Fleet {
    shared: Arc<Shared>,
}

impl Fleet {
    /// Starts endpoints, half of them in each of the data centres `dc` and `far`.
    pub async fn start(count: usize, end: End, back: Return) -> Self {
        let shared = Arc::new(Shared {
            listed: Mutex::default(),
            chains: Mutex::default(),
            end,
            back,
            ended: AtomicUsize::default(),
            held: AtomicUsize::default(),
            arrivals: Mutex::default(),
            ends: Mutex::default(),
            is_tolerant: AtomicBool::new(false),
        });
        for number in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            shared.listed.lock().unwrap().push(Listed {
                record: Record {
                    id: id::Endpoint::from(format!("f{number}")),
                    address: listener.local_addr().unwrap().to_string(),
                    service: id::Service::from("s"),
                    data_centre: id::DataCentre::from(if number % 2 == 0 { "dc" } else { "far" }),
                    standing: Standing::Live,
                    capacity: Some(4),
                    version: Some(id::Version::from("v1")),
                },
                process: 1,
                end: Arc::default(),
            });
            tokio::spawn(run_endpoint(Arc::clone(&shared), number, listener));
        }
        Self { shared }
    }

    /// Lists the endpoints at a node, now and whenever they change.
    pub fn list_at(&self, chain: &Arc<Chain<TestHeaders>>) {
        self.shared.chains.lock().unwrap().push(Arc::clone(chain));
        self.shared.publish();
    }

    /// Ends or silences all endpoints of a data centre, as [`End`] says; returns
    /// once they have ended.
    pub async fn end_data_centre(&self, name: &str) {
        let before = self.ended();
        let mut ending = 0;
        for listed in self.shared.listed.lock().unwrap().iter() {
            if listed.record.data_centre.as_str() == name {
                listed.end.notify_one();
                ending += 1;
            }
        }
        while self.ended() < before + ending {
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Lists all endpoints as leaving.
    pub fn drain(&self) {
        for listed in self.shared.listed.lock().unwrap().iter_mut() {
            listed.record.standing = Standing::Leaving;
        }
        self.shared.publish();
    }

    /// Returns how often an endpoint ended.
    pub fn ended(&self) -> usize {
        self.shared.ended.load(Ordering::SeqCst)
    }

    /// Sets whether requests with the fatal part are answered like others.
    pub fn set_tolerant(&self, is_tolerant: bool) {
        self.shared.is_tolerant.store(is_tolerant, Ordering::SeqCst);
    }

    /// Returns when requests with the fatal part arrived at endpoints.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.shared.arrivals.lock().unwrap().clone()
    }

    /// Returns when endpoints ended.
    pub fn ends(&self) -> Vec<Instant> {
        self.shared.ends.lock().unwrap().clone()
    }

    /// Returns how many requests run that are never answered.
    pub fn held(&self) -> usize {
        self.shared.held.load(Ordering::SeqCst)
    }
}

impl Shared {
    fn publish(&self) {
        let listed = self.listed.lock().unwrap();
        for chain in self.chains.lock().unwrap().iter() {
            let records = listed.iter().map(|listed| listed.record.clone()).collect();
            let set = |dispatcher: &mut dottereltally_lib::dispatcher::Dispatcher, now| {
                dispatcher.set_endpoints(now, records)
            };
            for listed in listed.iter() {
                chain
                    .crashes
                    .record_started(&listed.record.id, listed.process);
            }
            chain.admission.apply(set);
        }
    }
}

/// Runs the processes of one endpoint, one after the other.
async fn run_endpoint(shared: Arc<Shared>, number: usize, mut listener: TcpListener) {
    loop {
        let mut connections = JoinSet::new();
        let (name, ending) = {
            let listed = &shared.listed.lock().unwrap()[number];
            (listed.record.id.clone(), Arc::clone(&listed.end))
        };
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { return };
                    let ending = Arc::clone(&ending);
                    connections.spawn(serve(Arc::clone(&shared), name.clone(), stream, ending));
                }
                () = ending.notified() => break,
            }
        }
        shared.ended.fetch_add(1, Ordering::SeqCst);
        shared.ends.lock().unwrap().push(Instant::now());
        // A silent endpoint keeps its port and its connections open.
        let silent = (shared.end == End::Silent).then_some((listener, connections));
        let Some(after) = shared.back.after else {
            std::future::pending::<()>().await;
            return;
        };
        sleep(after).await;
        drop(silent);
        listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        {
            let mut listed = shared.listed.lock().unwrap();
            let listed = &mut listed[number];
            listed.process += 1;
            listed.record.address = listener.local_addr().unwrap().to_string();
            if !shared.back.same_id {
                listed.record.id = id::Endpoint::from(format!("f{number}-{}", listed.process));
            }
        }
        shared.publish();
    }
}

async fn serve(
    shared: Arc<Shared>,
    name: id::Endpoint,
    mut stream: TcpStream,
    ending: Arc<Notify>,
) {
    let _no_wait = stream.set_nodelay(true);
    while let Some(request) = read_message(&mut stream).await {
        let path = request.split(' ').nth(1).unwrap_or_default();
        let id = header(&request, "x-id").unwrap_or_default();
        let parts = header(&request, "x-parts").unwrap_or_default();
        let is_fatal_part = !shared.is_tolerant.load(Ordering::SeqCst)
            && parts
                .split(',')
                .any(|part| part.split(':').next() == Some(FATAL_PART));
        if is_fatal_part {
            shared.arrivals.lock().unwrap().push(Instant::now());
        }
        if path.contains(FATAL) || is_fatal_part {
            let head = format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\n");
            let part = match shared.end {
                End::AfterPart => format!("{head}content-"),
                End::AfterEvent => {
                    format!("{head}content-type: text/event-stream\r\n\r\nid: 1\ndata: d1\n\n")
                }
                End::Reset | End::Close | End::Silent => String::new(),
            };
            let _sent = stream.write_all(part.as_bytes()).await;
            if shared.end == End::AfterEvent {
                sleep(ANSWER_TIME).await;
            }
            if shared.end == End::Reset {
                // Closing a socket with this option resets the connection.
                let _reset = stream.set_zero_linger();
            }
            ending.notify_one();
            return std::future::pending().await;
        }
        if path.contains(UNANSWERED) {
            return;
        }
        if path.contains(SLOW) {
            shared.held.fetch_add(1, Ordering::SeqCst);
            return std::future::pending().await;
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\nx-endpoint: {name}\r\ncontent-length: 5\r\n\r\nusual"
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}
