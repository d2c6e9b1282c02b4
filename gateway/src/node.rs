//! Builds a gateway from its parts and runs it until it is told to stop.

use std::{
    future::Future,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use dottereltally::{
    body::Body,
    clock::Clock,
    operations::{Pages, Source as StatusSource, Status},
    pool::{self, Pool},
    process::Process,
    server,
    shutdown::{self, Phase},
};
use dottereltally_lib::{
    budget::Budget,
    crash,
    gate::{self, Gate},
    id,
    plan::Plan,
    quota::Ledger,
};
use eyre::WrapErr;
use http::{Response, StatusCode};
use prometheus_client::registry::Registry;
use ractor::{Actor, ActorRef};
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{SignalKind, signal},
    sync::watch,
    task::{JoinHandle, spawn_local},
    time::{MissedTickBehavior, interval, sleep, timeout},
};

use crate::{
    admission,
    chain::{Chain, lock},
    controller::{self, Controller, Outlet, Pace, Registration},
    dialect::Dialect,
    directory::{self, Snapshot, Source},
    exchange::{self, Offer},
    home::Link,
    journal::Journal,
    metrics::Metrics,
    peers::{self, Peers},
    settings::Settings,
};

/// Prefix of every metric's name.
const METRICS_PREFIX: &str = "dottereltally";

/// Time between two looks at the waiting requests.
const TICK: Duration = Duration::from_millis(20);

/// Time between two updates of the gauges.
const GAUGES: Duration = Duration::from_secs(1);

/// Time that a node goes on taking requests while it is not ready: the
/// balancer asks once a second and acts on the second miss.
const NOTICE: Duration = Duration::from_millis(2600);

/// Part of the grace period that the notice takes at the most.
const NOTICE_PART: u32 = 3;

/// Time kept back from the grace period to end by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// Time between two questions to other nodes while nothing is known.
const INHERIT_PERIOD: Duration = Duration::from_millis(400);

/// Limits of connections before the plan's own apply.
const LIMITS: server::Limits = server::Limits {
    head: 64 * 1024,
    head_timeout: Duration::from_mins(2),
    write_timeout: Duration::from_secs(20),
};

/// Time limits of connections to endpoints and between nodes: a data centre that is cut off and
/// a connection that fell silent must show well within a caller's patience.
pub(crate) const UPSTREAM: pool::Limits = pool::Limits {
    connect: Duration::from_millis(250),
    probe: Duration::from_secs(1),
    probe_interval: Duration::from_secs(1),
    unacknowledged: Duration::from_millis(1200),
    idle: Duration::from_secs(5),
};

/// The parts that come from outside the product.
pub struct Parts<D, S> {
    /// How heads are written.
    pub dialect: D,
    /// Where the directory is kept.
    pub source: S,
}

/// Sockets that a node listens on.
struct Listeners {
    callers: TcpListener,
    health: TcpListener,
    operations: TcpListener,
    peers: TcpListener,
    beats: UdpSocket,
}

impl Listeners {
    async fn bind(settings: &Settings) -> eyre::Result<Self> {
        let listen = &settings.listen;
        let beats = UdpSocket::bind(listen.beats)
            .await
            .wrap_err_with(|| occupied(listen.beats, "listen.beats"))?;
        Ok(Self {
            callers: tcp(listen.callers, "listen.callers").await?,
            health: tcp(listen.health, "listen.health").await?,
            operations: tcp(listen.operations, "listen.operations").await?,
            peers: tcp(listen.peers, "listen.peers").await?,
            beats,
        })
    }
}

async fn tcp(address: SocketAddr, field: &str) -> eyre::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.wrap_err_with(|| occupied(address, field))
}

fn occupied(address: SocketAddr, field: &str) -> String {
    format!("{address} can't be listened on; change `{field}`")
}

/// What the parts of a node tell each other.
struct Wires {
    plan: watch::Sender<Option<Arc<Plan>>>,
    nodes: watch::Sender<Vec<directory::Node>>,
    homes: watch::Sender<Vec<directory::Node>>,
    listed: watch::Sender<bool>,
    snapshot: watch::Sender<Arc<Snapshot>>,
}

impl Default for Wires {
    fn default() -> Self {
        Self {
            plan: watch::Sender::new(None),
            nodes: watch::Sender::new(Vec::new()),
            homes: watch::Sender::new(Vec::new()),
            listed: watch::Sender::new(false),
            snapshot: watch::Sender::new(Arc::new(Snapshot::default())),
        }
    }
}

/// Runs a gateway until it is told to stop; needs a local task set.
///
/// # Errors
///
/// Fails if it can't listen.
pub async fn run<D: Dialect, S: Source>(
    settings: Settings,
    parts: Parts<D, S>,
    journal: Journal,
    reload: impl Fn() -> Option<Settings>,
) -> eyre::Result<()> {
    tracing::info!(
        node = %settings.node,
        data_centre = %settings.data_centre,
        callers = %settings.listen.callers,
        version = env!("CARGO_PKG_VERSION"),
        "node starts"
    );
    let listeners = Listeners::bind(&settings).await?;
    let metrics = Metrics::default();
    let mut registry = Registry::with_prefix(METRICS_PREFIX);
    registry.register_collector(Box::new(Process));
    metrics.register(&mut registry);
    let wires = Wires::default();
    let chain = Arc::new(chain(&settings, parts.dialect, &wires, &metrics));
    let own = directory::Node {
        name: settings.node.clone(),
        address: settings.listen.beats.to_string(),
        data_centre: settings.data_centre.clone(),
        calls: settings.listen.peers.to_string(),
        share: thousandths(settings.processor_share),
    };
    let controller = follow(&settings, &parts.source, &chain, &wires).await?;
    let offer = Offer {
        snapshot: wires.snapshot.subscribe(),
        admission: chain.admission.clone(),
        clock: chain.clock,
        phase: chain.phase.clone(),
    };
    spawn_local(exchange::serve(listeners.peers, offer));
    let link = Link::new(
        own.name.clone(),
        chain.admission.clone(),
        chain.clock,
        wires.homes.subscribe(),
    );
    spawn_local(link.run());
    spawn_local(inherit(
        settings.seeds.clone(),
        wires.listed.subscribe(),
        controller,
    ));
    let registration = Arc::new(Registration::new(parts.source, own.clone(), metrics));
    let keeping = Arc::clone(&registration);
    tokio::spawn(async move { keeping.run().await });
    meet(own, listeners.beats, &chain, &wires).await?;
    let stop = watch::Sender::new(false);
    let state = State::new(&settings, &chain, &wires);
    serve_pages(
        state,
        registry,
        listeners.health,
        listeners.operations,
        &stop,
    );
    tokio::spawn(tick(chain.admission.clone()));
    tokio::spawn(gauges(
        chain.admission.clone(),
        chain.metrics.clone(),
        journal,
    ));
    let serving = Arc::clone(&chain);
    let handler = move |request| Arc::clone(&serving).serve(request);
    let serving = tokio::spawn(server::serve(
        listeners.callers,
        LIMITS,
        chain.phase.draining(),
        handler,
    ));
    wait(&chain, reload).await?;
    drain(&settings, &chain.phase, &registration, serving).await;
    Ok(())
}

fn thousandths(part: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped"
    )]
    let thousandths = (part * 1000.0).clamp(0.0, 1e6) as u32;
    thousandths
}

fn chain<D>(settings: &Settings, dialect: D, wires: &Wires, metrics: &Metrics) -> Chain<D> {
    let clock = Clock::start();
    let gate = Gate::new(gate::Settings {
        data_centre: settings.data_centre.clone(),
        seed: rand::random(),
    });
    Chain {
        clock,
        dialect,
        plan: wires.plan.subscribe(),
        admission: admission::Handle::new(gate, clock),
        upstream: Pool::new(UPSTREAM),
        ledger: Mutex::new(Ledger::new(settings.quotas)),
        budget: Mutex::new(Budget::new(settings.retries)),
        crashes: Mutex::new(crash::Watch::default()),
        metrics: metrics.clone(),
        phase: Phase::default(),
    }
}

/// Starts to keep the directory in force.
async fn follow<D, S: Source>(
    settings: &Settings,
    source: &S,
    chain: &Chain<D>,
    wires: &Wires,
) -> eyre::Result<ActorRef<controller::Message>> {
    let outlet = Outlet {
        clock: chain.clock,
        plan: wires.plan.clone(),
        admission: chain.admission.clone(),
        nodes: wires.nodes.clone(),
        listed: wires.listed.clone(),
        snapshot: wires.snapshot.clone(),
        metrics: chain.metrics.clone(),
        own: settings.node.clone(),
    };
    let (controller, _running) = Actor::spawn(None, Controller, outlet)
        .await
        .wrap_err("the controller of the directory can't be started")?;
    let promise = settings.bounds.drain.min(settings.bounds.apply);
    tokio::spawn(controller::follow::run(
        source.clone(),
        Pace::within(promise),
        controller.clone(),
        chain.metrics.clone(),
    ));
    Ok(controller)
}

/// Asks other nodes for the directory until it is known.
async fn inherit(
    seeds: Vec<SocketAddr>,
    listed: watch::Receiver<bool>,
    controller: ActorRef<controller::Message>,
) {
    let mut seeds = seeds.iter().cycle();
    loop {
        sleep(INHERIT_PERIOD).await;
        if *listed.borrow() {
            return;
        }
        let Some(seed) = seeds.next() else {
            return;
        };
        match exchange::ask(*seed).await {
            Ok(None) => {}
            Ok(Some(snapshot)) => {
                let told = controller::Message::Told(Box::new(snapshot));
                if let Err(error) = controller.send_message(told) {
                    tracing::error!(%error, "the controller of the directory stopped");
                    return;
                }
            }
            Err(error) => tracing::info!(%seed, %error, "a node told no directory"),
        }
    }
}

/// Starts to talk to the other nodes.
async fn meet<D: Dialect>(
    own: directory::Node,
    socket: UdpSocket,
    chain: &Arc<Chain<D>>,
    wires: &Wires,
) -> eyre::Result<()> {
    let mut nodes = wires.nodes.subscribe();
    let socket = Arc::new(socket);
    let arguments = peers::Arguments {
        own,
        socket: Arc::clone(&socket),
        chain: Arc::clone(chain),
        homes: wires.homes.clone(),
    };
    let (peers, _running) = Actor::spawn(None, Peers::default(), arguments)
        .await
        .wrap_err("the controller of the nodes can't be started")?;
    tokio::spawn(peers::listen(socket, peers.clone()));
    tokio::spawn(async move {
        while nodes.changed().await.is_ok() {
            let registered = nodes.borrow_and_update().clone();
            if let Err(error) = peers.send_message(peers::Message::Registered(registered)) {
                tracing::error!(%error, "the controller of the nodes stopped");
            }
        }
    });
    Ok(())
}

/// Serves the balancer's checks and the operators' pages.
fn serve_pages(
    state: State,
    registry: Registry,
    health: TcpListener,
    operations: TcpListener,
    stop: &watch::Sender<bool>,
) {
    let checked = state.clone();
    let checks = move |_request: http::Request<_>| {
        let ready = checked.is_ready();
        async move { check(ready) }
    };
    tokio::spawn(server::serve(health, LIMITS, stop.subscribe(), checks));
    let pages = Arc::new(Pages::new(registry, state));
    let handler = move |request: http::Request<_>| {
        let pages = Arc::clone(&pages);
        async move { pages.get(request.method(), request.uri().path()).await }
    };
    tokio::spawn(server::serve(operations, LIMITS, stop.subscribe(), handler));
}

/// Waits for the signal to stop; reloads the settings on the way.
async fn wait<D>(chain: &Chain<D>, reload: impl Fn() -> Option<Settings>) -> eyre::Result<()> {
    let mut hangups = signal(SignalKind::hangup())?;
    let stopping = shutdown::requested();
    tokio::pin!(stopping);
    loop {
        tokio::select! {
            requested = &mut stopping => return Ok(requested?),
            _ = hangups.recv() => apply(chain, reload()),
        }
    }
}

/// Takes over changed settings; addresses stay until the next start.
fn apply<D>(chain: &Chain<D>, settings: Option<Settings>) {
    let Some(settings) = settings else {
        tracing::error!("the changed settings can't be used; those in force stay");
        return;
    };
    lock(&chain.budget).agree(settings.retries);
    lock(&chain.ledger).agree(settings.quotas);
    tracing::info!("settings reloaded: budgets and quotas; the rest changes with the next start");
}

/// Stops in an order that cuts no request.
async fn drain<S: Source>(
    settings: &Settings,
    phase: &Phase,
    registration: &Registration<S>,
    serving: JoinHandle<()>,
) {
    let grace = settings.bounds.grace;
    let notice = NOTICE.min(grace / NOTICE_PART);
    phase.announce();
    tracing::info!("shutting down: not ready any more");
    tokio::join!(registration.leave(), sleep(notice));
    phase.drain();
    tracing::info!("shutting down: no new requests");
    let left = grace.saturating_sub(notice).saturating_sub(GRACE_MARGIN);
    let finished = timeout(left, serving).await;
    tracing::info!(whole = finished.is_ok(), "node stopped");
}

/// Looks at the waiting requests from time to time.
async fn tick(admission: admission::Handle) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if admission.read(Gate::waiting) > 0 {
            admission.apply(Gate::tick);
        }
    }
}

async fn gauges(admission: admission::Handle, metrics: Metrics, journal: Journal) {
    let mut ticks = interval(GAUGES);
    let mut dropped = 0;
    loop {
        ticks.tick().await;
        let gauge = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        metrics.waiting.set(gauge(admission.read(Gate::waiting)));
        metrics.running.set(gauge(admission.read(Gate::running)));
        let total = journal.dropped();
        metrics.dropped_lines.set(gauge(total));
        if total > dropped {
            tracing::warn!(lines = total - dropped, "log lines dropped");
            dropped = total;
        }
    }
}

fn check(ready: bool) -> Response<Body> {
    let mut response = Response::new(Body::full(Bytes::new()));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// What the pages for operators tell.
#[derive(Clone)]
struct State {
    node: id::Node,
    data_centre: id::DataCentre,
    plan: watch::Receiver<Option<Arc<Plan>>>,
    listed: watch::Receiver<bool>,
    nodes: watch::Receiver<Vec<directory::Node>>,
    phase: Phase,
}

impl State {
    fn new<D>(settings: &Settings, chain: &Chain<D>, wires: &Wires) -> Self {
        Self {
            node: settings.node.clone(),
            data_centre: settings.data_centre.clone(),
            plan: wires.plan.subscribe(),
            listed: wires.listed.subscribe(),
            nodes: wires.nodes.subscribe(),
            phase: chain.phase.clone(),
        }
    }

    fn is_ready(&self) -> bool {
        self.plan.borrow().is_some() && *self.listed.borrow() && !self.phase.is_announced()
    }
}

impl StatusSource for State {
    fn status(&self) -> impl Future<Output = Status> + Send {
        let generation = self.plan.borrow().as_ref().map(|plan| plan.generation);
        let nodes = self.nodes.borrow().clone();
        let status = Status {
            node: self.node.clone(),
            data_centre: self.data_centre.clone(),
            generation: generation.unwrap_or_default(),
            draining: self.phase.is_announced(),
            platform: *self.listed.borrow(),
            peers: nodes.into_iter().map(|node| node.name).collect(),
            services: Vec::new(),
            endpoints: Vec::new(),
        };
        async move { status }
    }

    fn is_ready(&self) -> bool {
        State::is_ready(self)
    }
}
