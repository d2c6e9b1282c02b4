//! Starts the controllers, which keep a node's state.

use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
};

use dottereltally_lib::{
    event::Event,
    membership as members,
    scheduler::{self, Scheduler},
};
use dottereltally_store::{etcd, host_list};
use eyre::WrapErr;
use prometheus_client::{metrics::counter::Counter, registry::Registry};
use ractor::Actor;
use tokio::{net::TcpListener, sync::mpsc, task::JoinHandle};

use crate::{
    address::Book,
    claim,
    clock::Clock,
    configuration::{self, Controller},
    dispatcher::{self, Dispatcher, Handle, Sender},
    effects::Executor,
    hosts, membership, observer, peer, replay, rules,
    service::Service,
    settings::Settings,
};

/// The claim keeper over the real key-value service and peers.
pub type Keeper = claim::Keeper<etcd::Store, peer::Handle>;

/// The running controllers and the handles to them.
pub struct Controllers {
    /// Addresses of the endpoints.
    pub book: Book,
    /// Sends events to the decision core.
    pub dispatcher: Sender,
    /// Finishes when the dispatcher stops.
    pub dispatcher_task: JoinHandle<()>,
    /// Acquires claims.
    pub keeper: Keeper,
    /// Provides the live nodes.
    pub membership: membership::Handle,
    /// The rules in force.
    pub rules: rules::Receiver,
}

/// The parts on which the controllers are built.
pub struct Base {
    settings: Settings,
    clock: Clock,
    store: etcd::Store,
    configuration: configuration::Handle,
    attempts: replay::Attempts,
    service: Arc<Service>,
    peers: peer::Handle,
    /// Heartbeats of peers, to be answered by the membership.
    exchanges: mpsc::Receiver<peer::Exchange>,
    /// Address on which this node listens for peers.
    peer_address: SocketAddr,
}

impl Base {
    /// Starts the thread that serves and calls peers, and builds the parts that
    /// need no task.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub fn start(
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
        let peer_address = listener.local_addr()?;
        let listener = listener.into_std()?;
        let (peers, exchanges) =
            peer::start(settings.node.clone(), listener, service.clone(), metrics).wrap_err(
                "the thread for peer connections can't be started; check the host's limits",
            )?;
        Ok(Self {
            store: etcd::Store::new(settings.platform.kv.clone(), settings.platform.timeout),
            settings: settings.clone(),
            clock,
            configuration,
            attempts,
            service,
            peers,
            exchanges,
            peer_address,
        })
    }
}

impl Controllers {
    /// Starts the controllers.
    ///
    /// # Errors
    ///
    /// Fails if an actor can't be started or the host list's address is
    /// unusable.
    pub async fn start(base: Base, registry: &mut Registry) -> eyre::Result<Self> {
        let book = Book::default();
        let membership_cell = Arc::new(OnceLock::new());
        let executor = Executor {
            book: book.clone(),
            peers: base.peers.clone(),
            membership: Arc::clone(&membership_cell),
            quarantine_marks: Counter::default(),
        };
        executor.register(registry);
        let (dispatcher, dispatcher_task) = start_dispatcher(&base, executor).await?;
        base.service.set_dispatcher(dispatcher.clone());
        let rules = start_configuration(&base, &dispatcher, registry).await?;
        let keeper = start_keeper(&base, registry);
        let hosts = book.follow(start_hosts(&base.settings, registry)?);
        start_observer(&base.settings, &hosts, &dispatcher, registry);
        let membership = start_membership(base, hosts, &dispatcher, registry).await?;
        // The cell is empty: this is the only membership of the process.
        let _ = membership_cell.set(membership.clone());
        Ok(Self {
            book,
            dispatcher,
            dispatcher_task,
            keeper,
            membership,
            rules,
        })
    }
}

async fn start_dispatcher(
    base: &Base,
    executor: Executor,
) -> eyre::Result<(Sender, JoinHandle<()>)> {
    let arguments = dispatcher::Arguments {
        scheduler: Scheduler::new(scheduler::Settings {
            node: base.settings.node.clone(),
            data_centre: base.settings.data_centre.clone(),
            seed: rand::random(),
            ..scheduler::Settings::default()
        }),
        clock: base.clock,
        sink: Box::new(executor),
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
    tokio::spawn(forward_rules(rules.clone(), dispatcher.clone()));
    Ok(rules)
}

/// Passes every configuration that comes into force to the decision core.
async fn forward_rules(mut rules: rules::Receiver, dispatcher: Sender) {
    loop {
        let current = rules.borrow_and_update().clone();
        if let Some(current) = current {
            dispatcher.send(Event::Configured(Arc::clone(&current.configuration)));
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
        identity: membership::Identity {
            node: base.settings.node,
            data_centre: base.settings.data_centre,
            address: base.peer_address.to_string(),
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
