//! Puts a node together and runs it.

use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock, atomic::AtomicU64},
    time::{SystemTime, UNIX_EPOCH},
};

use dottereltally_lib::{
    event::Event,
    id, membership as members,
    scheduler::{self, Scheduler},
};
use dottereltally_platform::{etcd, hosts as host_list};
use eyre::WrapErr;
use prometheus_client::registry::Registry;
use ractor::Actor;
use serde::Serialize;
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::{
    address::Book,
    claim,
    clock::Clock,
    configuration::{self, Controller},
    dispatcher::{self, Dispatcher, Handle, Sender},
    filter::Chain,
    hosts,
    limit::Table,
    membership,
    metrics::Metrics,
    observer,
    operations::Pages,
    outlet::Outlet,
    peer,
    pool::Pool,
    replay, rules, server,
    service::Service,
    settings::Settings,
    shutdown::{self, Phase},
    state::State,
};

/// Prefix of every metric's name.
const METRICS_PREFIX: &str = "dottereltally";

/// Keeper of the claims over the real platform and peers.
type Keeper = claim::Keeper<etcd::Store, peer::Handle>;

/// Line that a node prints once it listens.
#[derive(Serialize)]
struct Ready {
    node: id::Node,
    callers: SocketAddr,
    peers: SocketAddr,
    operations: SocketAddr,
}

/// Sockets that a node listens on.
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

/// Controllers of the node's state.
struct Controllers {
    book: Book,
    dispatcher: Sender,
    dispatching: JoinHandle<()>,
    keeper: Keeper,
    membership: membership::Handle,
    rules: rules::Receiver,
}

/// The parts that the controllers are started from.
struct Base {
    settings: Settings,
    clock: Clock,
    store: etcd::Store,
    configuration: configuration::Handle,
    attempts: replay::Attempts,
    service: Arc<Service>,
    peers: peer::Handle,
    exchanges: mpsc::Receiver<peer::Exchange>,
    address: SocketAddr,
}

impl Base {
    fn start(
        settings: &Settings,
        clock: Clock,
        listener: TcpListener,
        registry: &mut Registry,
    ) -> eyre::Result<Self> {
        let configuration = configuration::Handle::default();
        let attempts = replay::Attempts::default();
        let service = Arc::new(Service::new(configuration.clone(), attempts.clone()));
        let metrics = peer::Metrics::default();
        metrics.register(registry);
        let address = listener.local_addr()?;
        let listener = listener.into_std()?;
        let (peers, exchanges) =
            peer::start(settings.node.clone(), listener, service.clone(), metrics)
                .wrap_err("the thread of the peers can't be started; check the host's limits")?;
        Ok(Self {
            store: etcd::Store::new(settings.platform.kv.clone(), settings.platform.timeout),
            settings: settings.clone(),
            clock,
            configuration,
            attempts,
            service,
            peers,
            exchanges,
            address,
        })
    }
}

impl Controllers {
    async fn start(base: Base, registry: &mut Registry) -> eyre::Result<Self> {
        let book = Book::default();
        let joined = Arc::new(OnceLock::new());
        let outlet = Outlet {
            book: book.clone(),
            peers: base.peers.clone(),
            membership: Arc::clone(&joined),
        };
        let (dispatcher, dispatching) = start_dispatcher(&base, outlet).await?;
        base.service.connect(dispatcher.clone());
        let rules = start_configuration(&base, &dispatcher, registry).await?;
        let keeper = start_keeper(&base, registry);
        let hosts = book.follow(start_hosts(&base.settings, registry)?);
        start_observer(&base.settings, &hosts, &dispatcher, registry);
        let membership = start_membership(base, hosts, &dispatcher, registry).await?;
        // There is one membership a process.
        let _ = joined.set(membership.clone());
        Ok(Self {
            book,
            dispatcher,
            dispatching,
            keeper,
            membership,
            rules,
        })
    }
}

async fn start_dispatcher(base: &Base, outlet: Outlet) -> eyre::Result<(Sender, JoinHandle<()>)> {
    let arguments = dispatcher::Arguments {
        core: Scheduler::new(scheduler::Settings {
            node: base.settings.node.clone(),
            data_centre: base.settings.data_centre.clone(),
            seed: rand::random(),
            ..scheduler::Settings::default()
        }),
        clock: base.clock,
        sink: Box::new(outlet),
    };
    let (actor, task) = Actor::spawn(None, Dispatcher, arguments).await?;
    Ok((Sender::new(actor, base.clock), task))
}

async fn start_configuration(
    base: &Base,
    dispatcher: &Sender,
    registry: &mut Registry,
) -> eyre::Result<rules::Receiver> {
    let counters = configuration::Counters::default();
    counters.register(registry);
    let arguments = configuration::Arguments {
        handle: base.configuration.clone(),
        store: base.store.clone(),
        peers: base.peers.clone(),
        counters,
    };
    Controller::start(arguments).await?;
    let rules = rules::follow(base.configuration.receiver());
    tokio::spawn(configure(rules.clone(), dispatcher.clone()));
    Ok(rules)
}

/// Tells the core every text that comes into force.
async fn configure(mut rules: rules::Receiver, dispatcher: Sender) {
    loop {
        let current = rules.borrow_and_update().clone();
        if let Some(current) = current {
            dispatcher.tell(Event::Configured(Arc::clone(&current.text)));
        }
        if rules.changed().await.is_err() {
            return;
        }
    }
}

fn start_keeper(base: &Base, registry: &mut Registry) -> Keeper {
    let keeper = claim::Keeper::start(
        base.settings.node.clone(),
        base.store.clone(),
        base.peers.clone(),
        base.attempts.clone(),
        claim::Limits::default(),
    );
    keeper.register(registry);
    keeper
}

fn start_hosts(settings: &Settings, registry: &mut Registry) -> eyre::Result<hosts::Receiver> {
    let metrics = hosts::Metrics::default();
    metrics.register(registry);
    let list = host_list::List::new(&settings.platform.hosts, settings.platform.timeout)?;
    Ok(hosts::spawn(list, metrics))
}

fn start_observer(
    settings: &Settings,
    hosts: &hosts::Receiver,
    dispatcher: &Sender,
    registry: &mut Registry,
) {
    let metrics = observer::Metrics::default();
    metrics.register(registry);
    observer::spawn(
        settings.data_centre.clone(),
        hosts.clone(),
        dispatcher.clone(),
        metrics,
    );
}

async fn start_membership(
    base: Base,
    hosts: hosts::Receiver,
    dispatcher: &Sender,
    registry: &mut Registry,
) -> eyre::Result<membership::Handle> {
    let metrics = membership::Metrics::default();
    metrics.register(registry);
    let arguments = membership::Arguments {
        own: membership::Own {
            node: base.settings.node,
            data_centre: base.settings.data_centre,
            address: base.address.to_string(),
        },
        settings: members::Settings::default(),
        clock: base.clock,
        hosts,
        peers: base.peers,
        exchanges: base.exchanges,
        service: base.service,
        dispatcher: dispatcher.clone(),
        metrics,
    };
    Ok(membership::spawn(arguments).await?)
}

/// Returns the first attempt's number, above those of earlier processes of
/// the node.
fn first_number() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_micros()).unwrap_or_default()
}

/// Servers of callers and operators.
struct Servers {
    callers: JoinHandle<()>,
    operations: JoinHandle<()>,
    places: Table,
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
        let places = Table::default();
        let metrics = Metrics::default();
        metrics.register(&mut registry);
        let chain = Arc::new(Chain {
            node: settings.node.clone(),
            limits: settings.limits.clone(),
            clock,
            rules: controllers.rules.clone(),
            places: places.clone(),
            dispatcher: controllers.dispatcher.clone(),
            resolve: controllers.book.resolve(),
            upstream: Pool::default(),
            keeper: controllers.keeper.clone(),
            metrics,
            next: AtomicU64::new(first_number()),
        });
        let handler = move |request| Arc::clone(&chain).serve(request);
        let callers = server::serve(callers, limits, phase.draining(), handler);
        let keeper = controllers.keeper.clone();
        let state = State {
            settings: settings.clone(),
            rules: controllers.rules.clone(),
            book: controllers.book.clone(),
            membership: controllers.membership.clone(),
            platform: Arc::new(move || keeper.is_available()),
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
            places,
            stop,
        }
    }
}

/// Runs a node until it is told to stop.
///
/// # Errors
///
/// Fails if it can't listen or its dispatcher stops unasked.
pub async fn run(settings: Settings) -> eyre::Result<()> {
    let listeners = Listeners::bind(&settings).await?;
    let ready = listeners.ready(settings.node.clone())?;
    let ready = serde_json::to_string(&ready)?;
    let phase = Phase::default();
    let clock = Clock::start();
    let mut registry = Registry::with_prefix(METRICS_PREFIX);
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
        _ = &mut controllers.dispatching => {
            eyre::bail!("the dispatcher stopped; report the panic above");
        }
    }
    stop(&settings, &phase, &controllers, servers).await;
    Ok(())
}

/// Stops in an order that cuts no request.
async fn stop(settings: &Settings, phase: &Phase, controllers: &Controllers, mut servers: Servers) {
    phase.announce();
    tracing::info!("shutting down: not ready any more");
    sleep(settings.shutdown.notice).await;
    phase.drain();
    controllers.dispatcher.tell(Event::Draining);
    tracing::info!("shutting down: no new requests");
    let finishing = async {
        let _ = (&mut servers.callers).await;
        servers.places.idle().await;
    };
    if timeout(settings.shutdown.grace, finishing).await.is_err() {
        let requests = servers.places.total();
        tracing::warn!(requests, "shutting down: the grace period is over");
    }
    controllers.membership.leave().await;
    servers.stop.send_replace(true);
    servers.operations.abort();
}
