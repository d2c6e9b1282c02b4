//! Remembers with the other nodes which software version began each stream, and
//! finds it when a caller resumes a stream at any of them.
//!
//! A node tells a few others of each stream, chosen by rendezvous hashing of the
//! id of the attempt that began it. Datagrams share the socket of the heartbeats.

pub mod wire;

use std::{
    collections::{BTreeMap, HashMap},
    io, mem,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock},
    time::Duration,
};

use derive_more::Display;
use dottereltally::clock::Clock;
use dottereltally_lib::{
    history::History,
    id,
    origin::{self, Key, Knowledge, Memory, Origin},
    plan::Plan,
    route::Retry,
    time,
};
use tokio::{
    net::UdpSocket,
    sync::{Notify, mpsc},
    time::{Instant, sleep, timeout_at},
};

use self::wire::{Message, Question, Reply};
use crate::{
    metrics::{Metrics, OriginEvent},
    sync::lock,
};

/// A node that may remember a stream.
pub type Candidate = origin::Candidate<SocketAddr>;

/// Shortest time between two rounds of telling, so that a datagram carries several
/// streams where many begin.
const BATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Most streams in one datagram, which keeps it below the usual packet size.
const BATCH_LENGTH: usize = 12;

/// Most streams that wait to be told.
const MAX_UNTOLD: usize = 8192;

/// Most questions that are open at once.
const MAX_QUESTIONS: usize = 2048;

/// Nodes of each data centre that are asked at first, and again as many when
/// the first ones don't know or don't reply.
const ASKED_PER_DATA_CENTRE: usize = 4;

/// A question takes at most this fraction of the time that its request has.
const QUESTION_DIVISOR: u32 = 8;

/// Added to twice the longest time limit of a stream: nodes learn of changes of
/// the directory up to this much later than others.
const LIFETIME_MARGIN: Duration = Duration::from_secs(10);

/// Lifetime of what is remembered before a plan is known.
const DEFAULT_LIFETIME: Duration = Duration::from_mins(2);

/// Time between two log lines about what was dropped.
const DROP_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Time limits of a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time after which it is repeated.
    pub repeat: Duration,
    /// Time after which it is given up.
    pub end: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            repeat: Duration::from_millis(80),
            end: Duration::from_millis(220),
        }
    }
}

/// The node that remembers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// Its name.
    pub node: id::Node,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Time limits of its questions.
    pub limits: Limits,
}

/// Where a version is known from.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Source {
    /// This node remembers the stream.
    #[display("own memory")]
    Memory,
    /// Another node does.
    #[display("{_0}")]
    Node(id::Node),
    /// The service had no other version for longer than a stream lasts.
    #[display("only version")]
    History,
}

/// The version of a stream that a caller resumes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Match {
    /// The version.
    pub version: id::Version,
    /// Where it is known from.
    pub source: Source,
}

/// Why the version of a stream is not known.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Unknown {
    /// No node that replied remembers the stream.
    #[display("no node that replied remembers the stream")]
    Forgotten,
    /// No other node replied.
    #[display("no other node replied")]
    Alone,
    /// Reports name different versions.
    #[display("reports name different versions")]
    Contradictory,
    /// The endpoint that began the stream is listed with another version.
    #[display("the endpoint that began the stream is listed with another version")]
    Restarted,
}

/// The result of asking other nodes.
enum Answer {
    Known(Origin, id::Node),
    Contradictory,
    /// Nobody knows; `others` is true if a node has seen another version than the
    /// sole one.
    Nobody {
        replies: usize,
        others: bool,
    },
}

struct State {
    memory: Memory,
    history: History,
    /// The other nodes, without silent ones.
    nodes: Vec<Candidate>,
    /// Streams that are to be told, by the address of the node.
    untold: BTreeMap<SocketAddr, Vec<(Key, Origin)>>,
    untold_count: usize,
    questions: HashMap<u64, (Key, mpsc::UnboundedSender<Reply>)>,
    next_question: u64,
    /// Time for which a stream is remembered after its last use.
    lifetime: Duration,
    /// Dropped entries that were not logged yet.
    dropped: u64,
    drops_logged: Option<time::Instant>,
}

struct Shared {
    state: Mutex<State>,
    clock: Clock,
    metrics: Metrics,
    settings: Settings,
    socket: OnceLock<Arc<UdpSocket>>,
    /// Notified when streams are to be told.
    due: Notify,
}

/// Handle of the memory; clones share it.
#[derive(Clone)]
pub struct Handle {
    shared: Arc<Shared>,
}

impl Handle {
    /// Creates an empty memory.
    #[must_use]
    pub fn new(clock: Clock, metrics: Metrics, settings: Settings) -> Self {
        let state = State {
            memory: Memory::default(),
            history: History::default(),
            nodes: Vec::new(),
            untold: BTreeMap::new(),
            untold_count: 0,
            questions: HashMap::new(),
            // A reply to the process before this one matches no question.
            next_question: rand::random(),
            lifetime: DEFAULT_LIFETIME,
            dropped: 0,
            drops_logged: None,
        };
        Self {
            shared: Arc::new(Shared {
                state: Mutex::new(state),
                clock,
                metrics,
                settings,
                socket: OnceLock::new(),
                due: Notify::new(),
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.shared.state)
    }

    /// Sets the socket that datagrams are sent from, once it can send.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be used.
    pub async fn attach(&self, socket: Arc<UdpSocket>) -> io::Result<()> {
        socket.writable().await?;
        if self.shared.socket.set(socket).is_err() {
            tracing::error!("the memory of streams has a socket already; attach one only");
        }
        Ok(())
    }

    /// Sets the other nodes, without silent ones.
    pub fn set_nodes(&self, nodes: Vec<Candidate>) {
        self.lock().nodes = nodes;
    }

    /// Derives from a plan how long streams are remembered; what an earlier plan
    /// allowed stays in force.
    pub fn set_plan(&self, plan: &Plan) {
        let routes = plan.routes.iter();
        let longest = routes
            .filter(|route| route.retry == Retry::Resume)
            .map(|route| route.timeout)
            .max()
            .unwrap_or_default();
        let mut state = self.lock();
        state.lifetime = state.lifetime.max(longest * 2 + LIFETIME_MARGIN);
    }

    /// Records what was read from the directory.
    pub fn record_history(&self, record: impl FnOnce(&mut History, time::Instant)) {
        let mut state = self.lock();
        let now = self.shared.clock.now();
        record(&mut state.history, now);
        let lifetime = state.lifetime;
        state.history.expire(now, lifetime);
    }

    /// Returns the number of streams that this node remembers.
    #[must_use]
    pub fn remembered(&self) -> usize {
        self.lock().memory.len()
    }

    /// Remembers where a stream began, and tells other nodes; `attempt` is the id
    /// of the attempt that began it.
    pub fn remember(&self, attempt: &str, origin: &Origin) {
        if attempt.is_empty() {
            return;
        }
        self.shared.metrics.origin(OriginEvent::Remembered);
        self.tell(Key::new(attempt), origin);
    }

    fn tell(&self, key: Key, origin: &Origin) {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let lifetime = state.lifetime;
        state.memory.record(now, key, origin.clone(), lifetime);
        let holders = origin::holders(key, &self.shared.settings.data_centre, &state.nodes);
        let addresses: Vec<SocketAddr> = holders.iter().map(|node| node.address).collect();
        for address in addresses {
            if state.untold_count >= MAX_UNTOLD {
                state.dropped += 1;
                self.shared.metrics.origins_dropped(1);
                continue;
            }
            state.untold_count += 1;
            let untold = state.untold.entry(address).or_default();
            untold.push((key, origin.clone()));
        }
        self.report_dropped(&mut state, now);
        drop(state);
        self.shared.due.notify_one();
    }

    /// Counts and logs what was dropped for lack of space.
    fn report_dropped(&self, state: &mut State, now: time::Instant) {
        let dropped = state.memory.take_dropped();
        self.shared.metrics.origins_dropped(dropped);
        state.dropped += dropped;
        let logged = state.drops_logged;
        if state.dropped == 0 || logged.is_some_and(|last| now.since(last) < DROP_LOG_INTERVAL) {
            return;
        }
        tracing::warn!(
            dropped = state.dropped,
            remembered = state.memory.len(),
            bytes = state.memory.bytes(),
            "origins of streams dropped for lack of space: some can't be resumed"
        );
        state.dropped = 0;
        state.drops_logged = Some(now);
    }

    /// Sends what is to be told to the other nodes.
    fn flush(&self) {
        let untold = {
            let mut state = self.lock();
            state.untold_count = 0;
            mem::take(&mut state.untold)
        };
        for (address, streams) in untold {
            for batch in streams.chunks(BATCH_LENGTH) {
                self.send(address, &Message::Told(batch.to_vec()));
            }
        }
    }

    fn send(&self, address: SocketAddr, message: &Message) {
        let Some(socket) = self.shared.socket.get() else {
            tracing::debug!(%address, "datagram not sent: the node has no socket yet");
            return;
        };
        let bytes = match message.encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::error!(%error, "message about origins can't be encoded");
                return;
            }
        };
        self.shared.metrics.origin_datagram(bytes.len());
        if let Err(error) = socket.try_send_to(&bytes, address) {
            tracing::debug!(%address, %error, "message about origins not sent");
        }
    }

    /// Processes a datagram of another node.
    pub fn receive(&self, bytes: &[u8], from: SocketAddr) {
        match Message::decode(bytes) {
            Ok(Message::Told(streams)) => {
                let now = self.shared.clock.now();
                let mut state = self.lock();
                let lifetime = state.lifetime;
                for (key, origin) in streams {
                    self.shared.metrics.origin(OriginEvent::Told);
                    state.memory.record(now, key, origin, lifetime);
                }
                self.report_dropped(&mut state, now);
            }
            Ok(Message::Question(question)) => {
                let reply = self.reply(question);
                self.send(from, &Message::Reply(reply));
            }
            Ok(Message::Reply(reply)) => {
                let state = self.lock();
                let Some((key, replies)) = state.questions.get(&reply.number) else {
                    return;
                };
                if *key == reply.key && replies.send(reply).is_err() {
                    tracing::debug!(%from, "reply to a question that ended");
                }
            }
            Err(error) => tracing::debug!(%from, %error, "message about origins is unreadable"),
        }
    }

    fn reply(&self, question: Question) -> Reply {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let lifetime = state.lifetime;
        let others = question.sole.is_some_and(|sole| {
            let history = &state.history;
            history.has_other(now, &question.service, &sole, lifetime)
        });
        Reply {
            number: question.number,
            key: question.key,
            node: self.shared.settings.node.clone(),
            knowledge: state.memory.find(now, question.key, lifetime),
            others,
        }
    }

    /// Finds the version of a stream that a caller resumes; `attempt` is
    /// the id of the attempt that began it, if the caller names one, and
    /// `remaining` the time that the request has.
    ///
    /// # Errors
    ///
    /// Fails if the version is not known for certain.
    pub async fn find(
        &self,
        attempt: Option<&str>,
        service: &id::Service,
        remaining: Duration,
    ) -> Result<Match, Unknown> {
        let found = self.search(attempt, service, remaining).await;
        let event = match &found {
            Ok(_) => OriginEvent::Found,
            Err(_) => OriginEvent::Unknown,
        };
        self.shared.metrics.origin(event);
        found
    }

    async fn search(
        &self,
        attempt: Option<&str>,
        service: &id::Service,
        remaining: Duration,
    ) -> Result<Match, Unknown> {
        let key = attempt.filter(|attempt| !attempt.is_empty()).map(Key::new);
        if let Some(key) = key {
            let now = self.shared.clock.now();
            let knowledge = {
                let mut state = self.lock();
                let lifetime = state.lifetime;
                state.memory.find(now, key, lifetime)
            };
            match knowledge {
                Knowledge::Known(origin) => return self.confirm(key, origin, Source::Memory),
                Knowledge::Contradictory => return Err(Unknown::Contradictory),
                Knowledge::Unknown => {}
            }
        }
        // Without a key, other nodes still know whether they saw another version.
        let asked = key.unwrap_or_else(|| Key::new(""));
        match (self.ask(asked, service, remaining).await, key) {
            (Answer::Known(origin, node), Some(key)) => {
                self.confirm(key, origin, Source::Node(node))
            }
            (Answer::Known(..) | Answer::Contradictory, _) => Err(Unknown::Contradictory),
            (Answer::Nobody { replies: 0, .. }, _) => Err(Unknown::Alone),
            (Answer::Nobody { others: true, .. }, _) => Err(Unknown::Forgotten),
            (Answer::Nobody { .. }, _) => {
                let version = self.sole_version(service).ok_or(Unknown::Forgotten)?;
                let source = Source::History;
                Ok(Match { version, source })
            }
        }
    }

    /// Checks an origin against the directory, and tells other nodes of it again,
    /// as some of those that were told may have ended.
    fn confirm(&self, key: Key, origin: Origin, source: Source) -> Result<Match, Unknown> {
        let listed = {
            let state = self.lock();
            let listed = state.history.version_of(&origin.endpoint);
            listed.map(Option::<&id::Version>::cloned)
        };
        if listed.is_some_and(|version| version.as_ref() != Some(&origin.version)) {
            return Err(Unknown::Restarted);
        }
        self.tell(key, &origin);
        let version = origin.version;
        Ok(Match { version, source })
    }

    fn sole_version(&self, service: &id::Service) -> Option<id::Version> {
        let now = self.shared.clock.now();
        let state = self.lock();
        let history = &state.history;
        history.sole_version(now, service, state.lifetime).cloned()
    }

    /// Asks other nodes where a stream began; the first that knows decides.
    async fn ask(&self, key: Key, service: &id::Service, remaining: Duration) -> Answer {
        let nobody = Answer::Nobody {
            replies: 0,
            others: false,
        };
        let Some((open, mut received)) = self.open_question(key) else {
            return nobody;
        };
        let question = Message::Question(Question {
            number: open.number,
            key,
            service: service.clone(),
            sole: self.sole_version(service),
        });
        let (first, second) = {
            let state = self.lock();
            let rounds = origin::askable(key, &state.nodes, ASKED_PER_DATA_CENTRE, 2);
            let addresses = |round: usize| -> Vec<(id::Node, SocketAddr)> {
                let nodes = rounds[round].iter();
                nodes
                    .map(|node| (node.name.clone(), node.address))
                    .collect()
            };
            (addresses(0), addresses(1))
        };
        if first.is_empty() {
            return nobody;
        }
        let started = Instant::now();
        let limits = self.shared.settings.limits;
        let end = started + limits.end.min(remaining / QUESTION_DIVISOR);
        let mut until = end.min(started + limits.repeat);
        let mut pending: BTreeMap<id::Node, SocketAddr> = first.into_iter().collect();
        let mut second = Some(second);
        self.send_question(&question, &pending);
        let mut replies = 0;
        let mut others = false;
        loop {
            if let Ok(Some(reply)) = timeout_at(until, received.recv()).await {
                if pending.remove(&reply.node).is_none() {
                    continue;
                }
                replies += 1;
                others |= reply.others;
                match reply.knowledge {
                    Knowledge::Known(origin) => return agree(origin, reply.node, &mut received),
                    Knowledge::Contradictory => return Answer::Contradictory,
                    Knowledge::Unknown if !pending.is_empty() => continue,
                    Knowledge::Unknown => {}
                }
            }
            let Some(further) = second.take() else {
                break;
            };
            pending.extend(further);
            if pending.is_empty() {
                break;
            }
            self.send_question(&question, &pending);
            until = end;
        }
        Answer::Nobody { replies, others }
    }

    fn send_question(&self, question: &Message, nodes: &BTreeMap<id::Node, SocketAddr>) {
        for address in nodes.values() {
            self.shared.metrics.origin(OriginEvent::Asked);
            self.send(*address, question);
        }
    }

    fn open_question(&self, key: Key) -> Option<(Open, mpsc::UnboundedReceiver<Reply>)> {
        let mut state = self.lock();
        if state.questions.len() >= MAX_QUESTIONS {
            drop(state);
            self.shared.metrics.origins_dropped(1);
            tracing::debug!("question about a stream not asked: too many are open");
            return None;
        }
        let number = state.next_question;
        state.next_question = number.wrapping_add(1);
        let (sender, receiver) = mpsc::unbounded_channel();
        state.questions.insert(number, (key, sender));
        drop(state);
        let handle = self.clone();
        Some((Open { handle, number }, receiver))
    }
}

/// Returns the origin unless a reply that has arrived too names another version.
fn agree(origin: Origin, node: id::Node, received: &mut mpsc::UnboundedReceiver<Reply>) -> Answer {
    while let Ok(reply) = received.try_recv() {
        let agrees = match reply.knowledge {
            Knowledge::Known(other) => other.version == origin.version,
            Knowledge::Contradictory => false,
            Knowledge::Unknown => true,
        };
        if !agrees {
            return Answer::Contradictory;
        }
    }
    Answer::Known(origin, node)
}

/// A question that takes replies until it is dropped.
struct Open {
    handle: Handle,
    number: u64,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.handle.lock().questions.remove(&self.number);
    }
}

/// Tells the other nodes of streams that began; never returns.
pub async fn run(handle: Handle) {
    loop {
        handle.shared.due.notified().await;
        handle.flush();
        sleep(BATCH_INTERVAL).await;
    }
}
