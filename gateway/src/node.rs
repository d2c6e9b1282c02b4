//! Builds a gateway from its components and runs it until shutdown.

use std::{
    future::Future,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use dottereltally::{
    body::Body,
    clock::Clock,
    connections::Connections,
    operations::{Pages, Source as StatusSource, Status},
    process::Process,
    server,
    shutdown::{self, Phase},
};
use dottereltally_lib::{
    budget::Budget,
    dispatcher::{self, Dispatcher},
    id,
    plan::Plan,
    quota::Limiter,
};
use dottereltally_store::{buffer, ingress};
use eyre::WrapErr;
use http::{Response, StatusCode};
use prometheus_client::registry::Registry;
use ractor::{Actor, ActorRef};
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{SignalKind, signal},
    sync::watch,
    task::{JoinHandle, spawn_local},
    time::{Instant, MissedTickBehavior, interval, sleep, timeout, timeout_at},
};

use crate::{
    admission,
    chain::Chain,
    controller::{self, Controller, Outputs, PollInterval, Registration},
    coordinator::Link,
    crashes,
    dialect::Dialect,
    directory::{self, Snapshot, Source},
    examiner,
    logging::Log,
    metrics::Metrics,
    origins,
    paths::{Paths, Tcp, UPSTREAM_LIMITS},
    peers::{self, Peers},
    rollout,
    rpc::{self, Server},
    settings::Settings,
    sync::lock,
    tunnel,
};

/// Prefix of every metric's name.
const METRICS_PREFIX: &str = "dottereltally";

/// Interval at which waiting requests are checked for their deadlines.
const TICK: Duration = Duration::from_millis(20);

/// Time between two updates of the gauges.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a node that shuts down still takes requests after it reports
/// that it is not ready: the balancer checks once a second and acts on the
/// second failed check.
const NOTICE_PERIOD: Duration = Duration::from_millis(2600);

/// The notice period is at most the grace period divided by this.
const NOTICE_DIVISOR: u32 = 3;

/// Time at the end of the grace period that is left for the process to exit, and as much
/// before it for the last answers to reach their callers.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// The margin is at most the grace period divided by this.
const MARGIN_DIVISOR: u32 = 16;

/// Time between two attempts to fetch the directory from a seed.
const SEED_INTERVAL: Duration = Duration::from_millis(400);

/// Limits that the HTTP servers enforce on every connection; the limits of the
/// plan are checked afterwards, for each request of a caller.
const CONNECTION_LIMITS: server::Limits = server::Limits {
    head: 64 * 1024,
    head_timeout: Duration::from_mins(2),
    write_timeout: Duration::from_secs(20),
};

/// Adapters to the platform that the gateway runs on.
pub struct Adapters<D, S> {
    /// Translates the headers of requests and answers.
    pub dialect: D,
    /// Stores the directory.
    pub source: S,
}

/// Sockets that a node listens on.
struct Listeners {
    callers: TcpListener,
    health: TcpListener,
    operations: TcpListener,
    peers: TcpListener,
    heartbeats: UdpSocket,
}

impl Listeners {
    async fn bind(settings: &Settings) -> eyre::Result<Self> {
        let listen = &settings.listen;
        let heartbeats = UdpSocket::bind(listen.heartbeats)
            .await
            .wrap_err_with(|| bind_failure(listen.heartbeats, "listen.beats"))?;
        Ok(Self {
            callers: bind_tcp(listen.callers, "listen.callers").await?,
            health: bind_tcp(listen.health, "listen.health").await?,
            operations: bind_tcp(listen.operations, "listen.operations").await?,
            peers: bind_tcp(listen.peers, "listen.peers").await?,
            heartbeats,
        })
    }
}

async fn bind_tcp(address: SocketAddr, field: &str) -> eyre::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.wrap_err_with(|| bind_failure(address, field))
}

fn bind_failure(address: SocketAddr, field: &str) -> String {
    format!("can't listen on {address}; change `{field}`")
}

/// Channels between the components of a node.
struct Channels {
    /// The plan in force; `None` until the first one was read.
    plan: watch::Sender<Option<Arc<Plan>>>,
    /// The registered nodes, without this one.
    nodes: watch::Sender<Vec<directory::Node>>,
    /// The nodes of the data centre as ranked, the coordinator first.
    ranked_nodes: watch::Sender<Vec<directory::Node>>,
    /// Whether the endpoints were read from the source or another node.
    endpoints_known: watch::Sender<bool>,
    /// The directory that is served to other nodes.
    snapshot: watch::Sender<Arc<Snapshot>>,
}

impl Default for Channels {
    fn default() -> Self {
        Self {
            plan: watch::Sender::new(None),
            nodes: watch::Sender::new(Vec::new()),
            ranked_nodes: watch::Sender::new(Vec::new()),
            endpoints_known: watch::Sender::new(false),
            snapshot: watch::Sender::new(Arc::new(Snapshot::default())),
        }
    }
}

/// Starts the tasks of the detector of crashing requests.
fn start_detector<D: Dialect, S: Source>(
    settings: &Settings,
    source: &S,
    chain: &Arc<Chain<D>>,
    channels: &Channels,
    tasks: crashes::Tasks,
) {
    tokio::spawn(examiner::run(Arc::clone(chain), tasks.lost));
    tokio::spawn(controller::quarantine::keep(
        source.clone(),
        chain.crashes.clone(),
        tasks.refused,
        channels.nodes.subscribe(),
        chain.metrics.clone(),
    ));
    tokio::spawn(controller::quarantine::claim_trials(
        source.clone(),
        chain.crashes.clone(),
        tasks.claims,
        directory::Claimant {
            node: settings.node.clone(),
            process: rand::random(),
        },
        chain.metrics.clone(),
    ));
}

/// Runs a gateway until shutdown; must run in a local task set.
///
/// # Errors
///
/// Fails if it can't bind its addresses, start its actors or listen for signals.
pub async fn run<D: Dialect, S: Source>(
    settings: Settings,
    adapters: Adapters<D, S>,
    log: Log,
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
    let bound = Connections::for_descriptors(settings.descriptors);
    bound.register(&mut registry);
    let channels = Channels::default();
    let (chain, tasks) = build_chain(&settings, adapters.dialect, &channels, &metrics);
    let chain = Arc::new(chain);
    start_detector(&settings, &adapters.source, &chain, &channels, tasks);
    let own_node = directory::Node {
        name: settings.node.clone(),
        address: settings.listen.heartbeats.to_string(),
        data_centre: settings.data_centre.clone(),
        rpc_address: settings.listen.peers.to_string(),
        millicores: millicores(settings.processor_share),
    };
    let later_steps = watch::Sender::new(None);
    let controller = start_controller(&settings, &adapters.source, &chain, &channels).await?;
    let rpc_server = Server {
        snapshot: channels.snapshot.subscribe(),
        admission: chain.admission.clone(),
        clock: chain.clock,
        phase: chain.phase.clone(),
        tunnels: tunnel::Server::new(&chain),
    };
    let tunnels = Arc::clone(&rpc_server.tunnels.count);
    tokio::spawn(chain.paths.clone().watch(chain.admission.clone()));
    spawn_local(rpc::serve(listeners.peers, rpc_server));
    let link = Link::new(
        own_node.name.clone(),
        chain.admission.clone(),
        chain.clock,
        channels.ranked_nodes.subscribe(),
    );
    spawn_local(link.run());
    spawn_local(fetch_from_seeds(
        settings.seeds.clone(),
        channels.endpoints_known.subscribe(),
        controller.clone(),
    ));
    spawn_local(fetch_later_steps(later_steps.subscribe(), controller));
    let registration = Arc::new(Registration::new(
        adapters.source,
        own_node.clone(),
        metrics,
    ));
    let renewed = Arc::clone(&registration);
    tokio::spawn(async move { renewed.run().await });
    start_peers(
        own_node,
        listeners.heartbeats,
        &chain,
        &channels,
        later_steps,
    )
    .await?;
    let stop = watch::Sender::new(false);
    let state = State::new(&settings, &chain, &channels);
    serve_pages(
        state,
        registry,
        listeners.health,
        listeners.operations,
        &stop,
    );
    tokio::spawn(tick_dispatcher(chain.admission.clone()));
    tokio::spawn(update_gauges(Arc::clone(&chain), log));
    let serving = Arc::clone(&chain);
    let handler = move |request| Arc::clone(&serving).serve(request);
    let serving = tokio::spawn(server::serve_bounded(
        listeners.callers,
        CONNECTION_LIMITS,
        bound,
        chain.phase.draining(),
        handler,
    ));
    wait_for_shutdown(&chain, reload).await?;
    shut_down(&settings, &chain.phase, &registration, serving, &tunnels).await;
    Ok(())
}

/// Converts a number of processor cores to thousandths of a core.
fn millicores(cores: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped"
    )]
    let millicores = (cores * 1000.0).clamp(0.0, 1e6) as u32;
    millicores
}

fn build_chain<D>(
    settings: &Settings,
    dialect: D,
    channels: &Channels,
    metrics: &Metrics,
) -> (Chain<D>, crashes::Tasks) {
    let clock = Clock::start();
    let dispatcher = Dispatcher::new(dispatcher::Settings {
        data_centre: settings.data_centre.clone(),
        seed: rand::random(),
    });
    let (crashes, tasks) = crashes::Handle::new(clock, metrics.clone());
    let mut limiter = Limiter::new(settings.quotas);
    limiter.set_seed(rand::random());
    let chain = Chain {
        clock,
        dialect,
        plan: channels.plan.subscribe(),
        admission: admission::Handle::new(dispatcher, clock),
        paths: Paths::new(
            UPSTREAM_LIMITS,
            Arc::new(Tcp(UPSTREAM_LIMITS)),
            settings.node.clone(),
            metrics.clone(),
        ),
        answers: buffer::Pool::default(),
        bodies: ingress::Pool::for_host(settings.memory),
        limiter: Mutex::new(limiter),
        budget: Mutex::new(Budget::new(settings.retries)),
        crashes,
        origins: origins::Handle::new(
            clock,
            metrics.clone(),
            origins::Settings {
                node: settings.node.clone(),
                data_centre: settings.data_centre.clone(),
                limits: origins::Limits::default(),
            },
        ),
        view: crate::view::Handle::new(clock),
        rollouts: rollout::Handle::new(
            clock,
            metrics.clone(),
            settings.rollouts,
            settings.data_centre.clone(),
        ),
        metrics: metrics.clone(),
        phase: Phase::default(),
        drain_time: settings.bounds.drain,
    };
    (chain, tasks)
}

/// Starts the controller of the directory and the task that follows the source.
async fn start_controller<D, S: Source>(
    settings: &Settings,
    source: &S,
    chain: &Chain<D>,
    channels: &Channels,
) -> eyre::Result<ActorRef<controller::Message>> {
    let outputs = Outputs {
        clock: chain.clock,
        plan: channels.plan.clone(),
        admission: chain.admission.clone(),
        nodes: channels.nodes.clone(),
        endpoints_known: channels.endpoints_known.clone(),
        snapshot: channels.snapshot.clone(),
        metrics: chain.metrics.clone(),
        own_name: settings.node.clone(),
        crashes: chain.crashes.clone(),
        origins: chain.origins.clone(),
        view: chain.view.clone(),
        rollouts: chain.rollouts.clone(),
    };
    let (controller, _running) = Actor::spawn(None, Controller, outputs)
        .await
        .wrap_err("the directory controller can't be started")?;
    tokio::spawn(rollout::run(
        chain.rollouts.clone(),
        source.clone(),
        chain.metrics.clone(),
    ));
    let bound = settings.bounds.drain.min(settings.bounds.apply);
    tokio::spawn(controller::follow::run(
        source.clone(),
        PollInterval::within(bound),
        chain.clock,
        controller.clone(),
        chain.metrics.clone(),
        chain.view.clone(),
    ));
    Ok(controller)
}

/// Asks the seeds for the directory, one after the other, until it is known.
async fn fetch_from_seeds(
    seeds: Vec<SocketAddr>,
    endpoints_known: watch::Receiver<bool>,
    controller: ActorRef<controller::Message>,
) {
    let mut seeds = seeds.iter().cycle();
    loop {
        sleep(SEED_INTERVAL).await;
        if *endpoints_known.borrow() {
            return;
        }
        let Some(seed) = seeds.next() else {
            return;
        };
        match rpc::fetch_snapshot(*seed).await {
            Ok(None) => {}
            Ok(Some(snapshot)) => {
                let message = controller::Message::PeerSnapshot(Box::new(snapshot));
                if let Err(error) = controller.send_message(message) {
                    tracing::error!(%error, "directory controller has stopped");
                    return;
                }
            }
            Err(error) => tracing::info!(%seed, %error, "directory not received from seed"),
        }
    }
}

/// Fetches the directory of nodes that know a later step of a roll-out than this one.
async fn fetch_later_steps(
    mut nodes: watch::Receiver<Option<SocketAddr>>,
    controller: ActorRef<controller::Message>,
) {
    while nodes.changed().await.is_ok() {
        let Some(node) = *nodes.borrow_and_update() else {
            continue;
        };
        match rpc::fetch_snapshot(node).await {
            Ok(None) => {}
            Ok(Some(snapshot)) => {
                let message = controller::Message::PeerSnapshot(Box::new(snapshot));
                if let Err(error) = controller.send_message(message) {
                    tracing::error!(%error, "directory controller has stopped");
                    return;
                }
            }
            Err(error) => {
                tracing::info!(%node, %error, "step of a roll-out not received from another node");
            }
        }
        // The source mostly delivers the step meanwhile.
        sleep(SEED_INTERVAL).await;
    }
}

/// Starts the exchange of heartbeats with the other nodes.
async fn start_peers<D: Dialect>(
    own_node: directory::Node,
    socket: UdpSocket,
    chain: &Arc<Chain<D>>,
    channels: &Channels,
    later_steps: watch::Sender<Option<SocketAddr>>,
) -> eyre::Result<()> {
    let mut nodes = channels.nodes.subscribe();
    let socket = Arc::new(socket);
    let arguments = peers::Arguments {
        own_node,
        socket: Arc::clone(&socket),
        chain: Arc::clone(chain),
        ranked_nodes: channels.ranked_nodes.clone(),
        later_steps,
    };
    let (peers, _running) = Actor::spawn(None, Peers::default(), arguments)
        .await
        .wrap_err("the peer actor can't be started")?;
    let attached = chain.origins.attach(Arc::clone(&socket)).await;
    attached.wrap_err("the socket of `listen.beats` can't send")?;
    tokio::spawn(origins::run(chain.origins.clone()));
    tokio::spawn(peers::announce(chain.crashes.clone(), peers.clone()));
    tokio::spawn(peers::listen(socket, peers.clone(), chain.origins.clone()));
    tokio::spawn(async move {
        while nodes.changed().await.is_ok() {
            let registered = nodes.borrow_and_update().clone();
            if let Err(error) = peers.send_message(peers::Message::Registered(registered)) {
                tracing::error!(%error, "peer actor has stopped");
            }
        }
    });
    Ok(())
}

/// Serves the health checks of the balancer and the pages for operators.
fn serve_pages(
    state: State,
    registry: Registry,
    health: TcpListener,
    operations: TcpListener,
    stop: &watch::Sender<bool>,
) {
    let health_state = state.clone();
    let health_handler = move |_request: http::Request<_>| {
        let ready = health_state.is_ready();
        async move { health_response(ready) }
    };
    tokio::spawn(server::serve(
        health,
        CONNECTION_LIMITS,
        stop.subscribe(),
        health_handler,
    ));
    let pages = Arc::new(Pages::new(registry, state));
    let handler = move |request: http::Request<_>| {
        let pages = Arc::clone(&pages);
        async move { pages.get(request.method(), request.uri().path()).await }
    };
    tokio::spawn(server::serve(
        operations,
        CONNECTION_LIMITS,
        stop.subscribe(),
        handler,
    ));
}

/// Waits for the signal to stop; reloads the settings at each hangup signal.
async fn wait_for_shutdown<D>(
    chain: &Chain<D>,
    reload: impl Fn() -> Option<Settings>,
) -> eyre::Result<()> {
    let mut hangups = signal(SignalKind::hangup())?;
    let stopping = shutdown::requested();
    tokio::pin!(stopping);
    loop {
        tokio::select! {
            requested = &mut stopping => return Ok(requested?),
            _ = hangups.recv() => apply_settings(chain, reload()),
        }
    }
}

/// Applies the changed retry budget and quota tolerance; other settings need a
/// restart.
fn apply_settings<D>(chain: &Chain<D>, settings: Option<Settings>) {
    let Some(settings) = settings else {
        tracing::error!("changed settings can't be used; the current ones stay in force");
        return;
    };
    lock(&chain.budget).set_limits(settings.retries);
    lock(&chain.limiter).set_tolerance(settings.quotas);
    tracing::info!("settings reloaded: `retries` and `quotas`; other changes need a restart");
}

/// Shuts down in an order that avoids interrupting requests: reports not
/// ready, waits for the balancer to notice, then takes no new requests and
/// finishes the running ones. Those that still run shortly before the end of the
/// grace period are answered without their endpoints.
async fn shut_down<S: Source>(
    settings: &Settings,
    phase: &Phase,
    registration: &Registration<S>,
    serving: JoinHandle<()>,
    tunnels: &AtomicUsize,
) {
    let grace = settings.bounds.grace;
    let notice_period = NOTICE_PERIOD.min(grace / NOTICE_DIVISOR);
    let margin = GRACE_MARGIN.min(grace / MARGIN_DIVISOR);
    let exit = Instant::now() + grace.saturating_sub(margin);
    phase.announce(exit - margin);
    tracing::info!("shutting down: reporting not ready");
    let (deregistered, ()) = tokio::join!(
        timeout(notice_period, registration.deregister()),
        sleep(notice_period)
    );
    if deregistered.is_err() {
        tracing::info!("registration not ended in the notice period: it will expire");
    }
    phase.drain();
    tracing::info!("shutting down: taking no new requests");
    let finishing = async {
        let served = serving.await;
        // Requests of other nodes may still be on their way through this one.
        while tunnels.load(Ordering::Relaxed) > 0 {
            sleep(TICK).await;
        }
        served
    };
    let finished = timeout_at(exit, finishing).await;
    tracing::info!(whole = finished.is_ok(), "node stopped");
}

/// Runs the dispatcher's timer while requests wait.
async fn tick_dispatcher(admission: admission::Handle) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if admission.read(Dispatcher::waiting) > 0 {
            admission.apply(Dispatcher::tick);
        }
    }
}

async fn update_gauges<D: Dialect>(chain: Arc<Chain<D>>, log: Log) {
    let (admission, metrics) = (&chain.admission, &chain.metrics);
    let mut ticks = interval(GAUGE_INTERVAL);
    let mut dropped = 0;
    loop {
        ticks.tick().await;
        let gauge = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        metrics
            .waiting
            .set(gauge(admission.read(Dispatcher::waiting)));
        metrics
            .running
            .set(gauge(admission.read(Dispatcher::running)));
        let limited = admission.read(Dispatcher::limited_endpoints);
        metrics.limited_endpoints.set(gauge(limited));
        let now = chain.clock.now();
        let slow = admission.read(|dispatcher| dispatcher.slow_endpoints(now));
        metrics.slow_endpoints.set(gauge(slow));
        let starting = admission.read(Dispatcher::starting_endpoints);
        metrics.starting_endpoints.set(gauge(starting));
        let overload = admission.read(Dispatcher::overload);
        metrics.unserved_requests.set(gauge(overload.unserved));
        metrics.announced_returns.set(gauge(overload.announced));
        metrics.returned_requests.set(gauge(overload.returned));
        metrics.body_bytes.set(gauge(chain.bodies.used()));
        metrics
            .trials
            .set(gauge(admission.read(Dispatcher::trials)));
        chain.crashes.maintain();
        let total = log.dropped();
        metrics.dropped_lines.set(gauge(total));
        if total > dropped {
            tracing::warn!(lines = total - dropped, "log lines dropped");
            dropped = total;
        }
    }
}

fn health_response(ready: bool) -> Response<Body> {
    let mut response = Response::new(Body::full(Bytes::new()));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// State that the health checks and the pages for operators report.
#[derive(Clone)]
struct State {
    node: id::Node,
    data_centre: id::DataCentre,
    plan: watch::Receiver<Option<Arc<Plan>>>,
    endpoints_known: watch::Receiver<bool>,
    nodes: watch::Receiver<Vec<directory::Node>>,
    phase: Phase,
}

impl State {
    fn new<D>(settings: &Settings, chain: &Chain<D>, channels: &Channels) -> Self {
        Self {
            node: settings.node.clone(),
            data_centre: settings.data_centre.clone(),
            plan: channels.plan.subscribe(),
            endpoints_known: channels.endpoints_known.subscribe(),
            nodes: channels.nodes.subscribe(),
            phase: chain.phase.clone(),
        }
    }

    fn is_ready(&self) -> bool {
        self.plan.borrow().is_some() && *self.endpoints_known.borrow() && !self.phase.is_announced()
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
            platform: *self.endpoints_known.borrow(),
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
