//! Puts a node together and runs it.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use dottereltally_lib::{
    event::{self, Event},
    id,
    scheduler::{self, Scheduler},
};
use dottereltally_platform::{etcd, host::List, hosts, kv::Store, layout};
use eyre::WrapErr;
use prometheus_client::registry::Registry;
use ractor::Actor;
use serde::Serialize;
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    address::Book,
    clock::Clock,
    configuration,
    dispatcher::{self, Dispatcher, Handle, Sender},
    exclusive::{self, Lost, Scope},
    filter::Chain,
    limit::Table,
    metrics::Metrics,
    operations::{Pages, Source, Status},
    peer,
    pool::Pool,
    rules, server,
    settings::Settings,
    shutdown::{self, Phase},
    upstream::Client,
};

/// Prefix of every metric's name.
const METRICS_PREFIX: &str = "dottereltally";

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

    fn ready(&self, node: id::Node) -> eyre::Result<String> {
        let ready = Ready {
            node,
            callers: self.callers.local_addr()?,
            peers: self.peers.local_addr()?,
            operations: self.operations.local_addr()?,
        };
        Ok(serde_json::to_string(&ready)?)
    }
}

async fn bind(field: &str, address: &str) -> eyre::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("can't listen on {address}; change `listen.{field}`"))
}

/// State that the operations pages tell.
struct State {
    settings: Settings,
    rules: rules::Receiver,
    book: Book,
    phase: Phase,
}

impl Source for State {
    async fn status(&self) -> Status {
        let generation = self.rules.borrow().as_ref().map(|rules| rules.generation);
        Status {
            node: self.settings.node.clone(),
            data_centre: self.settings.data_centre.clone(),
            generation: generation.unwrap_or_default(),
            draining: self.phase.is_announced(),
            platform: generation.is_some(),
            peers: Vec::new(),
            endpoints: self.book.names(),
        }
    }

    fn is_ready(&self) -> bool {
        !self.phase.is_announced() && self.rules.borrow().is_some()
    }
}

/// Carries out the core's effects that concern no waiting request.
struct Effects {
    pool: Pool,
    book: Book,
}

impl dispatcher::Sink for Effects {
    fn probe(&self, core: &Sender, endpoint: id::Endpoint) {
        let address = self.book.get(&endpoint);
        let pool = self.pool.clone();
        let core = core.clone();
        tokio::spawn(async move {
            let answers = match address {
                Some(address) => pool.probe(&address).await,
                None => false,
            };
            core.tell(Event::Probed(endpoint, answers));
        });
    }

    fn quarantine(&self, _fingerprint: id::Fingerprint) {}

    fn send(&self, _node: id::Node, _message: event::Message) {}
}

#[derive(Clone)]
struct Stub;
impl exclusive::Keeper for Stub {
    type Held = Stub;
    async fn acquire(
        &self,
        _: Scope,
        _: id::Fingerprint,
        _: dottereltally_lib::time::Instant,
    ) -> Result<Stub, Lost> {
        Err(Lost::Away)
    }
}
impl exclusive::Held for Stub {
    async fn release(self) -> bool {
        false
    }
    fn complete(self, _: peer::Response) {}
    fn lose(self) {}
}

/// Runs a node until it is told to stop.
///
/// # Errors
///
/// Fails if it can't listen or a part of it stops unasked.
pub async fn run(settings: Settings) -> eyre::Result<()> {
    let listeners = Listeners::bind(&settings).await?;
    let ready = listeners.ready(settings.node.clone())?;
    let phase = Phase::default();
    let clock = Clock::start();
    let mut registry = Registry::with_prefix(METRICS_PREFIX);
    let metrics = Metrics::default();
    metrics.register(&mut registry);
    let pool = Pool::default();
    let book = Book::default();
    let arguments = dispatcher::Arguments {
        core: Scheduler::new(scheduler::Settings {
            node: settings.node.clone(),
            data_centre: settings.data_centre.clone(),
            seed: rand::random(),
            ..scheduler::Settings::default()
        }),
        clock,
        sink: Box::new(Effects {
            pool: pool.clone(),
            book: book.clone(),
        }),
    };
    let (actor, mut core) = Actor::spawn(None, Dispatcher, arguments).await?;
    let dispatcher = Sender::new(actor);
    let store = etcd::Store::new(settings.platform.kv.clone(), settings.platform.timeout);
    let list = hosts::List::new(&settings.platform.hosts, settings.platform.timeout)?;
    let (sender, configuration) = watch::channel(None);
    tokio::spawn(poll_configuration(store, sender));
    tokio::spawn(poll_hosts(list, dispatcher.clone(), book.clone()));
    let rules = rules::follow(configuration);
    tokio::spawn(configure(rules.clone(), dispatcher.clone()));
    let places = Table::default();
    let chain = Arc::new(Chain {
        node: settings.node.clone(),
        limits: settings.limits.clone(),
        clock,
        rules: rules.clone(),
        places: places.clone(),
        dispatcher: dispatcher.clone(),
        resolve: book.resolve(),
        upstream: pool,
        keeper: Stub,
        metrics,
        next: AtomicU64::new(0),
    });
    let limits = server::Limits {
        head: settings.limits.head,
        head_timeout: settings.limits.head_timeout,
    };
    let pages = Arc::new(Pages::new(
        registry,
        State {
            settings: settings.clone(),
            rules,
            book,
            phase: phase.clone(),
        },
    ));
    let stop = watch::Sender::new(false);
    let operations = tokio::spawn(server::serve(
        listeners.operations,
        limits,
        stop.subscribe(),
        move |request| {
            let pages = Arc::clone(&pages);
            async move { pages.get(request.method(), request.uri().path()).await }
        },
    ));
    let mut callers = tokio::spawn(server::serve(
        listeners.callers,
        limits,
        phase.draining(),
        move |request| Arc::clone(&chain).serve(request),
    ));
    println!("{ready}");
    tokio::select! {
        requested = shutdown::requested() => requested?,
        _ = &mut core => eyre::bail!("the dispatcher stopped; report the panic above"),
    }
    phase.announce();
    tracing::info!("shutting down");
    sleep(settings.shutdown.notice).await;
    phase.drain();
    dispatcher.tell(Event::Draining);
    let finishing = async {
        let _ = (&mut callers).await;
        places.idle().await;
    };
    if timeout(settings.shutdown.grace, finishing).await.is_err() {
        tracing::warn!(requests = places.total(), "the grace period is over");
    }
    stop.send_replace(true);
    let _ = operations.await;
    Ok(())
}

async fn configure(mut rules: rules::Receiver, dispatcher: impl Handle) {
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

async fn poll_hosts(list: impl List, dispatcher: impl Handle, book: Book) {
    loop {
        if let Ok(snapshot) = list.read().await {
            book.replace(&snapshot.endpoints);
            dispatcher.tell(Event::Listed(snapshot.endpoints));
        }
        sleep(Duration::from_secs(1)).await;
    }
}

async fn poll_configuration(
    store: impl Store,
    sender: watch::Sender<Option<Arc<configuration::Current>>>,
) {
    loop {
        if let Ok(Some(entry)) = store.get(layout::CONFIGURATION).await
            && let Ok(record) = serde_json::from_slice::<layout::Configuration>(&entry.value)
            && let Ok(text) = dottereltally_lib::text::wire::parse(&record.text)
        {
            let text = Arc::new(text);
            sender.send_replace(Some(Arc::new(configuration::Current { record, text })));
        }
        sleep(Duration::from_millis(500)).await;
    }
}
