//! Connections to endpoints: direct ones, and those that another node passes on.
//!
//! A node can lose its path to endpoints that the other nodes still reach. If a direct
//! connection is not opened at once, one is opened through another node as well. An
//! endpoint that is reached that way only has a detour: its requests go that way first,
//! until a direct connection succeeds again. A node that finds detours one after another
//! without reaching any endpoint itself is isolated, and takes them for all endpoints.

use std::{
    collections::{BTreeSet, HashMap},
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dottereltally::pool::{self, Limits, Pool, Ready};
use dottereltally_lib::id;
use futures_util::{FutureExt, StreamExt, future::BoxFuture, stream::FuturesUnordered};
use rand::Rng;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    select,
    time::{Instant, interval, sleep, timeout},
};

use crate::{
    admission,
    metrics::Metrics,
    tunnel::{self, Tunnel},
};

/// Time limits of connections to endpoints and between nodes. A data centre that is cut off
/// must be detected before callers give up, and a host that acknowledges nothing for a
/// second must not be taken for gone: the kernel compares `user_timeout` with the time
/// without traffic at each keep-alive probe, so that it must exceed two intervals for two
/// probes to be lost.
pub const UPSTREAM_LIMITS: pool::Limits = pool::Limits {
    connect: Duration::from_millis(250),
    keepalive_time: Duration::from_secs(1),
    keepalive_interval: Duration::from_secs(1),
    user_timeout: Duration::from_millis(2200),
    idle: Duration::from_secs(5),
};

/// Time for a direct connection, after which another node is asked as well.
const HEAD_START: Duration = Duration::from_millis(100);

/// Time in which a refused connection may be opened through another node.
const REFUSED_PATIENCE: Duration = Duration::from_millis(150);

/// Time after which the next node is asked as well.
const CARRIER_HEAD_START: Duration = Duration::from_millis(40);

/// Time for a connection through another node once the direct one has failed.
const THROUGH_PATIENCE: Duration = Duration::from_millis(250);

/// Time for which a node that could not pass a connection on is asked last.
const CARRIER_COOLDOWN: Duration = Duration::from_secs(2);

/// Detours without a direct success between them after which a node is isolated.
const MIN_DETOURS: usize = 2;

/// Time between two direct connections that are tried to an endpoint with a detour.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time after its last use for which a detour is kept.
const DETOUR_TTL: Duration = Duration::from_secs(10);

/// Time without a byte from any endpoint, while requests are at endpoints, after which
/// their paths are checked.
const SILENCE: Duration = Duration::from_millis(300);

/// Interval at which this is looked for, and time between two checks.
const CHECKS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(500));

/// Endpoints whose paths are checked.
const MAX_CHECKED: usize = 3;

/// Opens connections to endpoints without another node.
pub trait Dial: Send + Sync + 'static {
    /// Opens a connection to `address`, `ip:port`.
    ///
    /// # Errors
    ///
    /// Fails if it can't be opened in time.
    fn dial<'a>(&'a self, address: &'a str) -> BoxFuture<'a, io::Result<TcpStream>>;
}

/// Opens TCP connections.
#[derive(Clone, Copy, Debug)]
pub struct Tcp(pub Limits);

impl Dial for Tcp {
    fn dial<'a>(&'a self, address: &'a str) -> BoxFuture<'a, io::Result<TcpStream>> {
        pool::dial(address, &self.0).boxed()
    }
}

/// Bytes in both directions.
pub trait Duplex: AsyncRead + AsyncWrite + Unpin + Send {}

impl<T: AsyncRead + AsyncWrite + Unpin + Send> Duplex for T {}

/// Another node that passes connections on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Carrier {
    /// Its name.
    pub name: id::Node,
    /// Its address for calls, `ip:port`.
    pub address: String,
    /// Whether it is in the data centre of this node.
    pub is_local: bool,
}

/// An open connection.
enum Link {
    Direct(TcpStream),
    /// Through the node of this name.
    Through(id::Node, Tunnel),
}

/// An endpoint that this node reaches only through others.
#[derive(Clone, Debug)]
struct Detour {
    used: Instant,
    /// The nodes through which connections were opened.
    carriers: BTreeSet<id::Node>,
}

#[derive(Debug)]
struct State {
    carriers: Vec<Carrier>,
    /// By the address of the endpoint.
    detours: HashMap<String, Detour>,
    /// Endpoints that were found to need a detour since the last direct success.
    found_since_direct: BTreeSet<String>,
    is_isolated: bool,
    /// Nodes that could not pass a connection on, and when.
    failed_carriers: HashMap<id::Node, Instant>,
    /// When the last bytes arrived from an endpoint without another node, or a path was
    /// found whole.
    last_heard: Instant,
}

struct Shared {
    limits: Limits,
    /// Idle connections, by address, and name of the carrier if there is one.
    pool: Pool,
    dialer: Arc<dyn Dial>,
    own_name: id::Node,
    state: Mutex<State>,
    metrics: Metrics,
}

/// The connections to endpoints; clones share them.
#[derive(Clone)]
pub struct Paths {
    shared: Arc<Shared>,
}

/// Returns the key of idle connections to an endpoint through another node.
fn key(address: &str, carrier: &id::Node) -> String {
    format!("{address} {carrier}")
}

impl Paths {
    /// Builds paths of the node `own_name`, without connections.
    #[must_use]
    pub fn new(
        limits: Limits,
        dialer: Arc<dyn Dial>,
        own_name: id::Node,
        metrics: Metrics,
    ) -> Self {
        let state = State {
            carriers: Vec::new(),
            detours: HashMap::new(),
            found_since_direct: BTreeSet::new(),
            is_isolated: false,
            failed_carriers: HashMap::new(),
            last_heard: Instant::now(),
        };
        let shared = Shared {
            limits,
            pool: Pool::new(limits),
            dialer,
            own_name,
            state: Mutex::new(state),
            metrics,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Sets the nodes that pass connections on.
    pub fn set_carriers(&self, carriers: Vec<Carrier>) {
        self.lock().carriers = carriers;
    }

    /// Returns whether this node seems to have lost its paths to all endpoints.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.lock().is_isolated
    }

    /// Returns what opens direct connections.
    #[must_use]
    pub fn dialer(&self) -> Arc<dyn Dial> {
        Arc::clone(&self.shared.dialer)
    }

    /// Returns the name of the node that passes a connection on, if there is one.
    #[must_use]
    pub fn carrier(connection: &Ready) -> Option<&str> {
        let (_, carrier) = connection.key().split_once(' ')?;
        Some(carrier)
    }

    /// Records that bytes arrived from an endpoint.
    pub fn record_heard(&self) {
        self.lock().last_heard = Instant::now();
    }

    /// Records that an endpoint answered on a direct connection.
    pub fn record_direct(&self) {
        self.lock().record_direct();
    }

    /// Takes an idle connection to an endpoint, or opens one.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint can't be reached, neither directly nor through another node.
    pub async fn connect(&self, address: &str) -> io::Result<Ready> {
        for key in self.idle_keys(address) {
            if let Some(ready) = self.shared.pool.take_idle(&key).await {
                return Ok(ready);
            }
        }
        match self.reach(address).await? {
            Link::Direct(stream) => self.shared.pool.adopt(address, stream).await,
            Link::Through(carrier, tunnel) => {
                let key = key(address, &carrier);
                self.shared.pool.adopt(&key, tunnel).await
            }
        }
    }

    /// Opens a connection to an endpoint that is used once.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint can't be reached, neither directly nor through another node.
    pub async fn open(&self, address: &str) -> io::Result<Box<dyn Duplex>> {
        Ok(match self.reach(address).await? {
            Link::Direct(stream) => Box::new(stream),
            Link::Through(_, tunnel) => Box::new(tunnel),
        })
    }

    /// Returns the keys of the idle connections that may be used.
    fn idle_keys(&self, address: &str) -> Vec<String> {
        let state = self.lock();
        if !state.prefers_detour(address) {
            return vec![address.to_owned()];
        }
        let Some(detour) = state.detours.get(address) else {
            return Vec::new();
        };
        let carriers = state.carriers.iter();
        let used = carriers.filter(|carrier| detour.carriers.contains(&carrier.name));
        used.map(|carrier| key(address, &carrier.name)).collect()
    }

    async fn dial(&self, address: &str) -> io::Result<TcpStream> {
        let dialing = self.shared.dialer.dial(address);
        timeout(self.shared.limits.connect, dialing).await?
    }

    /// Opens a connection in whichever way succeeds.
    async fn reach(&self, address: &str) -> io::Result<Link> {
        if self.lock().prefers_detour(address)
            && let Ok(link) = self.reach_through(address).await
        {
            return Ok(link);
        }
        let direct = self.dial(address);
        tokio::pin!(direct);
        let first = select! {
            opened = &mut direct => Some(opened),
            () = sleep(HEAD_START) => None,
        };
        match first {
            Some(Ok(stream)) => return Ok(self.use_direct(address, stream)),
            Some(Err(error)) => {
                let through = timeout(REFUSED_PATIENCE, self.reach_through(address));
                return through.await.ok().and_then(Result::ok).ok_or(error);
            }
            None => {}
        }
        let through = self.reach_through(address);
        tokio::pin!(through);
        select! {
            opened = &mut direct => match opened {
                Ok(stream) => Ok(self.use_direct(address, stream)),
                Err(error) => {
                    let through = timeout(THROUGH_PATIENCE, through).await;
                    through.ok().and_then(Result::ok).ok_or(error)
                }
            },
            opened = &mut through => match opened {
                Ok(link) => Ok(link),
                Err(_) => Ok(self.use_direct(address, direct.await?)),
            },
        }
    }

    fn use_direct(&self, address: &str, stream: TcpStream) -> Link {
        self.end_detour(address);
        Link::Direct(stream)
    }

    /// Opens a connection through another node, and records the detour. Nodes are asked
    /// one after another, without waiting for those before to give up.
    async fn reach_through(&self, address: &str) -> io::Result<Link> {
        let mut last = io::Error::from(io::ErrorKind::HostUnreachable);
        let mut waiting = self.choose_carriers().into_iter();
        let mut asked = FuturesUnordered::new();
        loop {
            if let Some(carrier) = waiting.next() {
                asked.push(self.ask(carrier, address));
            } else if asked.is_empty() {
                return Err(last);
            }
            let answered = if waiting.len() > 0 {
                timeout(CARRIER_HEAD_START, asked.next()).await
            } else {
                Ok(asked.next().await)
            };
            match answered {
                Ok(Some((carrier, Ok(tunnel)))) => {
                    self.record_detour(address, &carrier);
                    return Ok(Link::Through(carrier, tunnel));
                }
                Ok(Some((carrier, Err(error)))) => {
                    tracing::debug!(address, %carrier, %error, "endpoint not reached through another node");
                    last = error;
                }
                Ok(None) | Err(_) => {}
            }
        }
    }

    /// Asks another node for a connection; a node that has no path either is asked last
    /// for a while.
    async fn ask(&self, carrier: Carrier, address: &str) -> (id::Node, io::Result<Tunnel>) {
        let own_name = self.shared.own_name.as_str();
        let opened = tunnel::open(&carrier.address, own_name, address).await;
        let mut state = self.lock();
        if opened.is_ok() {
            state.failed_carriers.remove(&carrier.name);
        } else {
            state
                .failed_carriers
                .insert(carrier.name.clone(), Instant::now());
        }
        drop(state);
        (carrier.name, opened)
    }

    /// Returns a node of the own data centre to ask, and one of another, which may have a
    /// path that the whole data centre has lost; those that failed lately come last.
    fn choose_carriers(&self) -> Vec<Carrier> {
        let mut state = self.lock();
        state
            .failed_carriers
            .retain(|_, at| at.elapsed() < CARRIER_COOLDOWN);
        let mut rng = rand::rng();
        let mut ranked = Vec::new();
        for carrier in &state.carriers {
            let has_failed = state.failed_carriers.contains_key(&carrier.name);
            ranked.push((has_failed, rng.random::<u32>(), carrier));
        }
        ranked.sort_by_key(|(has_failed, random, _)| (*has_failed, *random));
        let mut chosen = Vec::new();
        for is_local in [true, false] {
            let mut group = ranked
                .iter()
                .filter(|(.., carrier)| carrier.is_local == is_local);
            chosen.extend(group.next().copied());
        }
        chosen.sort_by_key(|(has_failed, ..)| *has_failed);
        chosen
            .into_iter()
            .map(|(.., carrier)| carrier.clone())
            .collect()
    }

    /// Records that an endpoint was reached through another node only.
    fn record_detour(&self, address: &str, carrier: &id::Node) {
        let mut state = self.lock();
        let is_new = !state.detours.contains_key(address);
        let detour = state.detours.entry(address.to_owned());
        let detour = detour.or_insert_with(|| Detour {
            used: Instant::now(),
            carriers: BTreeSet::new(),
        });
        detour.used = Instant::now();
        detour.carriers.insert(carrier.clone());
        if !is_new {
            return;
        }
        state.found_since_direct.insert(address.to_owned());
        let was_isolated = state.is_isolated;
        state.is_isolated |= state.found_since_direct.len() >= MIN_DETOURS;
        let is_isolated = state.is_isolated;
        self.report(&state);
        drop(state);
        tracing::info!(address, %carrier, is_isolated, "endpoint is reached through another node only");
        if is_isolated && !was_isolated {
            tracing::warn!("no endpoint is reached without another node");
        }
        let paths = self.clone();
        let address = address.to_owned();
        tokio::spawn(async move { paths.probe(&address).await });
    }

    /// Tries direct connections to an endpoint with a detour until one succeeds, or the
    /// detour is no longer used.
    async fn probe(&self, address: &str) {
        loop {
            sleep(PROBE_INTERVAL).await;
            let used = self.lock().detours.get(address).map(|detour| detour.used);
            let Some(used) = used else {
                return;
            };
            if self.dial(address).await.is_ok() {
                self.end_detour(address);
                return;
            }
            if used.elapsed() > DETOUR_TTL {
                self.lock().detours.remove(address);
                return;
            }
        }
    }

    /// Records a direct connection to an endpoint.
    fn end_detour(&self, address: &str) {
        let mut state = self.lock();
        let was_isolated = state.is_isolated;
        state.record_direct();
        let ended = state.detours.remove(address).is_some();
        self.report(&state);
        drop(state);
        if ended {
            tracing::info!(address, was_isolated, "endpoint is reached directly again");
        }
    }

    fn report(&self, state: &State) {
        let detours = i64::try_from(state.detours.len()).unwrap_or(i64::MAX);
        self.shared.metrics.detours.set(detours);
    }

    /// Checks the paths to endpoints that have requests of this node while none of them
    /// is heard; never returns.
    pub async fn watch(self, admission: admission::Handle) {
        let mut ticks = interval(CHECKS.0);
        loop {
            ticks.tick().await;
            let silent = {
                let state = self.lock();
                !state.is_isolated && state.last_heard.elapsed() >= SILENCE
            };
            if !silent {
                continue;
            }
            let addresses = admission.read(|dispatcher| dispatcher.busy_addresses(MAX_CHECKED));
            if addresses.is_empty() {
                self.record_heard();
                continue;
            }
            let mut checks = Vec::new();
            for address in addresses {
                let paths = self.clone();
                checks.push(async move { paths.check(&address).await });
            }
            futures_util::future::join_all(checks).await;
            sleep(CHECKS.1).await;
        }
    }

    async fn check(&self, address: &str) {
        if self.dial(address).await.is_ok() {
            self.lock().record_direct();
            return;
        }
        if let Err(error) = self.reach_through(address).await {
            tracing::debug!(address, %error, "endpoint not reached in any way");
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn prefers_detour(&self, address: &str) -> bool {
        self.is_isolated || self.detours.contains_key(address)
    }

    fn record_direct(&mut self) {
        self.last_heard = Instant::now();
        self.found_since_direct.clear();
        self.is_isolated = false;
    }
}
