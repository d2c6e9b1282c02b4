//! Assembles a node and runs it.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU64},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use dottereltally_lib::{event::Event, id, refusal};
use dottereltally_store::{buffer, ingress};
use eyre::WrapErr;
use http::StatusCode;
use prometheus_client::registry::Registry;
use serde::Serialize;
use tokio::{
    net::TcpListener,
    sync::watch,
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

use crate::{
    clock::Clock,
    connections::{self, Connections},
    controllers::{Base, Controllers},
    dispatcher::Handle,
    filter::Chain,
    limit::Limiter,
    metrics::{Bodies, Metrics},
    operations::Pages,
    pool::Pool,
    problem::{Problem, Reason},
    process::Process,
    server,
    settings::Settings,
    shutdown::{self, Phase},
    state::State,
};

/// Prefix of every metric's name.
const METRICS_PREFIX: &str = "dottereltally";

/// Time after the grace period for the last answers to reach their callers.
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// The line that a node prints to standard output once it listens.
#[derive(Serialize)]
struct Ready {
    node: id::Node,
    callers: SocketAddr,
    peers: SocketAddr,
    operations: SocketAddr,
}

/// The sockets on which a node listens.
struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    operations: TcpListener,
}

impl Listeners {
    async fn bind(settings: &Settings) -> eyre::Result<Self> {
        Ok(Self {
            callers: bind("callers", &settings.listen.callers).await?,
            peers: bind("peers", &settings.listen.peers).await?,
            operations: bind("operations", &settings.listen.operations).await?,
        })
    }

    fn ready(&self, node: id::Node) -> eyre::Result<Ready> {
        Ok(Ready {
            node,
            callers: self.callers.local_addr()?,
            peers: self.peers.local_addr()?,
            operations: self.operations.local_addr()?,
        })
    }
}

async fn bind(field: &str, address: &str) -> eyre::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("can't listen on {address}; change `listen.{field}`"))
}

/// Returns the number of the first request: the wall-clock time in microseconds
/// since 1970. It is higher than the numbers of the node's earlier processes as
/// long as the wall clock is not set back.
fn first_request_number() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_micros()).unwrap_or_default()
}

/// Returns the answer to a request that runs when the grace period ends.
fn outlasted() -> Problem {
    tracing::warn!("request answered with 504: it ran when the grace period ended");
    Problem::may_have_run(
        StatusCode::GATEWAY_TIMEOUT,
        Reason::Core(refusal::Reason::Shutdown),
        "this host shut down before the answer came; send the request again if it is idempotent",
    )
}

/// The running servers for callers and operators.
struct Servers {
    callers: JoinHandle<()>,
    operations: JoinHandle<()>,
    limiter: Limiter,
    /// Becomes true when the server for operators has to stop.
    stop: watch::Sender<bool>,
}

impl Servers {
    fn start(
        settings: &Settings,
        clock: Clock,
        controllers: &Controllers,
        listeners: (TcpListener, TcpListener),
        mut registry: Registry,
        phase: &Phase,
    ) -> Self {
        let (callers, operations) = listeners;
        let limits = server::Limits {
            head: settings.limits.head,
            head_timeout: settings.limits.head_timeout,
            write_timeout: settings.limits.inactivity,
        };
        let limiter = Limiter::default();
        let bound = Connections::for_descriptors(connections::DEFAULT_DESCRIPTORS);
        bound.register(&mut registry);
        let bodies = ingress::Pool::default();
        registry.register_collector(Box::new(Bodies(bodies.clone())));
        let metrics = Metrics::default();
        metrics.register(&mut registry);
        let chain = Arc::new(Chain {
            node: settings.node.clone(),
            limits: settings.limits.clone(),
            clock,
            rules: controllers.rules.clone(),
            limiter: limiter.clone(),
            dispatcher: controllers.dispatcher.clone(),
            resolve: controllers.book.resolver(),
            upstream: Pool::default(),
            answers: buffer::Pool::with_room_for(settings.limits.body),
            bodies,
            keeper: controllers.keeper.clone(),
            metrics,
            next_request: AtomicU64::new(first_request_number()),
        });
        let ending = phase.clone();
        let handler = move |request| {
            let (chain, phase) = (Arc::clone(&chain), ending.clone());
            async move {
                tokio::select! {
                    biased;
                    response = chain.serve(request) => response,
                    () = phase.ended() => outlasted().response(None),
                }
            }
        };
        let callers = server::serve_bounded(callers, limits, bound, phase.draining(), handler);
        let keeper = controllers.keeper.clone();
        let state = State {
            settings: settings.clone(),
            rules: controllers.rules.clone(),
            book: controllers.book.clone(),
            dispatcher: controllers.dispatcher.clone(),
            membership: controllers.membership.clone(),
            is_platform_available: Arc::new(move || keeper.is_available()),
            phase: phase.clone(),
        };
        let pages = Arc::new(Pages::new(registry, state));
        let handler = move |request: http::Request<_>| {
            let pages = Arc::clone(&pages);
            async move { pages.get(request.method(), request.uri().path()).await }
        };
        let stop = watch::Sender::new(false);
        let operations = server::serve(operations, limits, stop.subscribe(), handler);
        Self {
            callers: tokio::spawn(callers),
            operations: tokio::spawn(operations),
            limiter,
            stop,
        }
    }
}

/// Time at shutdown to release the claims of abandoned calls.
const CLAIM_RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a node until a signal requests its shutdown.
///
/// # Errors
///
/// Fails if the node can't be started or its dispatcher stops unexpectedly.
pub async fn run(settings: Settings) -> eyre::Result<()> {
    let listeners = Listeners::bind(&settings).await?;
    let ready = listeners.ready(settings.node.clone())?;
    let ready = serde_json::to_string(&ready)?;
    let phase = Phase::default();
    let clock = Clock::start();
    let mut registry = Registry::with_prefix(METRICS_PREFIX);
    registry.register_collector(Box::new(Process));
    let base = Base::start(&settings, clock, listeners.peers, &mut registry)?;
    let mut controllers = Controllers::start(base, &mut registry).await?;
    let servers = Servers::start(
        &settings,
        clock,
        &controllers,
        (listeners.callers, listeners.operations),
        registry,
        &phase,
    );
    println!("{ready}");
    tokio::select! {
        requested = shutdown::requested() => requested?,
        _ = &mut controllers.dispatcher_task => {
            eyre::bail!("the dispatcher stopped; report the panic above");
        }
    }
    stop(&settings, &phase, &controllers, servers).await;
    Ok(())
}

/// Stops the node in an order that lets requests finish: it serves new ones
/// during the notice time, and running ones until the grace period ends.
async fn stop(settings: &Settings, phase: &Phase, controllers: &Controllers, mut servers: Servers) {
    let end = Instant::now() + settings.shutdown.notice + settings.shutdown.grace;
    phase.announce(end);
    tracing::info!("shutting down: not ready any more");
    sleep(settings.shutdown.notice).await;
    phase.drain();
    controllers.dispatcher.send(Event::Draining);
    tracing::info!("shutting down: no new requests");
    let finishing = async {
        let _ = (&mut servers.callers).await;
        servers.limiter.wait_idle().await;
    };
    let time_limit = settings.shutdown.grace + ANSWER_TIME;
    if timeout(time_limit, finishing).await.is_err() {
        let requests = servers.limiter.total();
        tracing::warn!(
            requests,
            "shutting down: the grace period ended with requests still running"
        );
    }
    let deadline = Instant::now() + CLAIM_RELEASE_TIMEOUT;
    if !controllers.keeper.drain(deadline).await {
        tracing::warn!("shutting down: some claims could not be released in time");
    }
    controllers.membership.leave().await;
    servers.stop.send_replace(true);
    servers.operations.abort();
}
