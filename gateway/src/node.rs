//! Builds a gateway from its parts and runs it until it is told to stop.

use std::{
    future::Future,
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
    gate::{self, Gate},
    id,
    plan::Plan,
    quarantine::Marks,
    quota::Ledger,
};
use eyre::WrapErr;
use http::{Response, StatusCode};
use prometheus_client::registry::Registry;
use ractor::Actor;
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{SignalKind, signal},
    sync::watch,
    time::{interval, sleep, timeout},
};

use crate::{
    admission,
    chain::Chain,
    controller::{self, Controller, Outlet, Pace, Registration},
    dialect::Dialect,
    directory::{self, Snapshot, Source},
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

/// Time kept back from the grace period to end by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// Limits of connections before the plan's own apply.
const LIMITS: server::Limits = server::Limits {
    head: 64 * 1024,
    head_timeout: Duration::from_mins(2),
    write_timeout: Duration::from_secs(20),
};

/// Time limits of connections to endpoints: a data centre that is cut off and
/// a connection that fell silent must show well within a caller's patience.
const UPSTREAM: pool::Limits = pool::Limits {
    connect: Duration::from_millis(250),
    probe: Duration::from_secs(1),
    probe_interval: Duration::from_millis(500),
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

/// Runs a gateway until it is told to stop.
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
    let callers = listen(settings.listen.callers, "listen.callers").await?;
    let health = listen(settings.listen.health, "listen.health").await?;
    let operations = listen(settings.listen.operations, "listen.operations").await?;
    let clock = Clock::start();
    let metrics = Metrics::default();
    let phase = Phase::default();
    let mut registry = Registry::with_prefix(METRICS_PREFIX);
    registry.register_collector(Box::new(Process));
    metrics.register(&mut registry);
    let gate = Gate::new(gate::Settings {
        data_centre: settings.data_centre.clone(),
        seed: rand::random(),
    });
    let admission = admission::Handle::new(gate, clock);
    let plan = watch::Sender::new(None);
    let nodes = watch::Sender::new(Vec::new());
    let listed = watch::Sender::new(false);
    let snapshot = watch::Sender::new(Arc::new(Snapshot::default()));
    let outlet = Outlet {
        clock,
        plan: plan.clone(),
        admission: admission.clone(),
        nodes: nodes.clone(),
        listed: listed.clone(),
        snapshot: snapshot.clone(),
        metrics: metrics.clone(),
        own: settings.node.clone(),
    };
    let (controller, _running) = Actor::spawn(None, Controller, outlet)
        .await
        .wrap_err("the controller of the directory can't be started")?;
    let promise = settings.bounds.drain.min(settings.bounds.apply);
    tokio::spawn(controller::follow::run(
        parts.source.clone(),
        Pace::within(promise),
        controller.clone(),
        metrics.clone(),
    ));
    let own = directory::Node {
        name: settings.node.clone(),
        address: settings.listen.beats.to_string(),
        data_centre: settings.data_centre.clone(),
    };
    let registration = Arc::new(Registration::new(
        parts.source,
        own.clone(),
        metrics.clone(),
    ));
    let keeping = Arc::clone(&registration);
    tokio::spawn(async move { keeping.run().await });
    let chain = Arc::new(Chain {
        node: settings.node.clone(),
        clock,
        dialect: parts.dialect,
        plan: plan.subscribe(),
        admission: admission.clone(),
        upstream: Pool::new(UPSTREAM),
        ledger: Mutex::new(Ledger::new(settings.quotas)),
        budget: Mutex::new(Budget::new(settings.retries)),
        marks: Mutex::new(Marks::default()),
        metrics: metrics.clone(),
        phase: phase.clone(),
    });
    meet(&settings, own, &chain, nodes.subscribe()).await?;
    let serving = Arc::clone(&chain);
    let handler = move |request| Arc::clone(&serving).serve(request);
    let serving = tokio::spawn(server::serve(callers, LIMITS, phase.draining(), handler));
    let state = State {
        node: settings.node.clone(),
        data_centre: settings.data_centre.clone(),
        plan: plan.subscribe(),
        listed: listed.subscribe(),
        nodes: nodes.subscribe(),
        phase: phase.clone(),
    };
    let checked = state.clone();
    let checks = move |_request: http::Request<_>| {
        let ready = checked.is_ready();
        async move { check(ready) }
    };
    let stop = watch::Sender::new(false);
    tokio::spawn(server::serve(health, LIMITS, stop.subscribe(), checks));
    let pages = Arc::new(Pages::new(registry, state));
    let handler = move |request: http::Request<_>| {
        let pages = Arc::clone(&pages);
        async move { pages.get(request.method(), request.uri().path()).await }
    };
    tokio::spawn(server::serve(operations, LIMITS, stop.subscribe(), handler));
    tokio::spawn(tick(admission.clone()));
    tokio::spawn(gauges(admission, metrics, journal));
    let mut hangups = signal(SignalKind::hangup())?;
    let stopping = shutdown::requested();
    tokio::pin!(stopping);
    loop {
        tokio::select! {
            requested = &mut stopping => {
                requested?;
                break;
            }
            _ = hangups.recv() => apply(&chain, reload()),
        }
    }
    phase.announce();
    tracing::info!("shutting down: not ready any more");
    registration.leave().await;
    sleep(NOTICE.min(settings.bounds.grace / 3)).await;
    phase.drain();
    tracing::info!("shutting down: no new requests");
    let left = settings.bounds.grace - NOTICE.min(settings.bounds.grace / 3);
    let finished = timeout(left.saturating_sub(GRACE_MARGIN), serving).await;
    tracing::info!(whole = finished.is_ok(), "node stopped");
    Ok(())
}

/// Starts to talk to the other nodes.
async fn meet<D: Dialect>(
    settings: &Settings,
    own: directory::Node,
    chain: &Arc<Chain<D>>,
    mut nodes: watch::Receiver<Vec<directory::Node>>,
) -> eyre::Result<()> {
    let address = settings.listen.beats;
    let socket = UdpSocket::bind(address)
        .await
        .wrap_err_with(|| format!("{address} can't be listened on; change `listen.beats`"))?;
    let socket = Arc::new(socket);
    let arguments = peers::Arguments {
        own,
        socket: Arc::clone(&socket),
        chain: Arc::clone(chain),
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

/// Takes over changed settings; addresses stay until the next start.
fn apply<D>(chain: &Chain<D>, settings: Option<Settings>) {
    let Some(settings) = settings else {
        return;
    };
    *crate::chain::lock(&chain.budget) = Budget::new(settings.retries);
    tracing::info!("settings reloaded: budgets; addresses change with the next start");
}

async fn listen(address: std::net::SocketAddr, field: &str) -> eyre::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("{address} can't be listened on; change `{field}`"))
}

/// Looks at the waiting requests from time to time.
async fn tick(admission: admission::Handle) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
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
