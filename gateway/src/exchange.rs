//! What nodes ask of each other over Cap'n Proto RPC: the whole directory while
//! the key-value service is away, and decisions of the home node.

use std::{io, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use capnp::Error;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side};
use dottereltally::{
    clock::Clock,
    peer::{Metrics, stream},
    pool,
    shutdown::Phase,
};
use dottereltally_lib::id;
use dottereltally_proto::gateway_capnp::directory;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{JoinSet, spawn_local},
    time::{sleep, timeout},
};

use crate::{admission, beat::read_held, directory::Snapshot, home::Desk, node::UPSTREAM};

/// Time for a node to answer.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Why another node can't be asked.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The connection failed.
    #[error("no connection: {0}; check the link between the nodes")]
    Connection(#[from] io::Error),
    /// The call failed.
    #[error("no answer: {0}; check the other node's log")]
    Call(#[from] Error),
    /// The answer can't be read.
    #[error("unreadable answer: {0}; run the same version on all nodes")]
    Unreadable(#[from] serde_json::Error),
    /// The time was over.
    #[error("no answer in time; check the link between the nodes")]
    Silent,
}

/// What a node offers the others.
#[derive(Clone)]
pub struct Offer {
    /// The directory that it knows.
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    /// Decides for nodes whose home it is.
    pub admission: admission::Handle,
    /// The clock of the node.
    pub clock: Clock,
    /// Whether it takes requests.
    pub phase: Phase,
}

impl directory::Server for Offer {
    async fn open(
        self: Rc<Self>,
        params: directory::OpenParams,
        mut results: directory::OpenResults,
    ) -> Result<(), Error> {
        if self.snapshot.borrow().plan.is_none() || self.phase.is_announced() {
            return Err(Error::failed("the node is not ready".to_owned()));
        }
        let params = params.get()?;
        let node = id::Node::from(params.get_node()?.to_str()?);
        let held = read_held(params.get_held()?)?;
        self.admission
            .apply(|gate, now| gate.hear(now, &node, held.into_iter().collect()));
        tracing::info!(%node, "this node decides for another one");
        let desk = Desk::new(self.admission.clone(), self.clock);
        results.get().set_desk(capnp_rpc::new_client(desk));
        Ok(())
    }

    async fn read(
        self: Rc<Self>,
        _: directory::ReadParams,
        mut results: directory::ReadResults,
    ) -> Result<(), Error> {
        let snapshot = self.snapshot.borrow().clone();
        if snapshot.plan.is_none() {
            return Ok(());
        }
        let bytes = serde_json::to_vec(&*snapshot)
            .map_err(|error| Error::failed(format!("the directory can't be written: {error}")))?;
        results.get().set_snapshot(&bytes);
        Ok(())
    }
}

/// Serves other nodes for ever.
pub async fn serve(listener: TcpListener, offer: Offer) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "a node's connection was not accepted");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        // A node that is gone gives its places back once the probes tell so.
        if let Err(error) = pool::watch(&stream, &UPSTREAM) {
            tracing::debug!(%error, "a node's connection closed at once");
            continue;
        }
        let network = match stream::network(stream, Side::Server, &Metrics::default()) {
            Ok(network) => network,
            Err(error) => {
                tracing::debug!(%error, "a node's connection closed at once");
                continue;
            }
        };
        let client: directory::Client = capnp_rpc::new_client(offer.clone());
        let system = RpcSystem::new(Box::new(network), Some(client.client));
        spawn_local(async move {
            // The other node closes the connection; TCP finds out if it is gone.
            if let Err(error) = system.await {
                tracing::debug!(%error, "a node's connection ended");
            }
        });
    }
}

/// Asks another node for its directory; none if it knows nothing.
///
/// # Errors
///
/// Fails if the node can't be reached or does not answer in time.
pub async fn ask(address: SocketAddr) -> Result<Option<Snapshot>, Failure> {
    timeout(TIMEOUT, read(address))
        .await
        .unwrap_or(Err(Failure::Silent))
}

async fn read(address: SocketAddr) -> Result<Option<Snapshot>, Failure> {
    let connection = connect(address).await?;
    let response = connection.client.read_request().send().promise.await?;
    let bytes = response.get()?.get_snapshot()?;
    if bytes.is_empty() {
        return Ok(None);
    }
    Ok(Some(serde_json::from_slice(bytes)?))
}

/// A connection to another node; dropping it closes it.
pub(crate) struct Connection {
    /// What the other node offers.
    pub(crate) client: directory::Client,
    _driver: JoinSet<Result<(), Error>>,
}

/// Connects to another node; needs a local task set.
pub(crate) async fn connect(address: SocketAddr) -> Result<Connection, Failure> {
    let stream = TcpStream::connect(address).await?;
    pool::watch(&stream, &UPSTREAM)?;
    let network = stream::network(stream, Side::Client, &Metrics::default())?;
    let mut system = RpcSystem::new(Box::new(network), None);
    let client = system.bootstrap(Side::Server);
    let mut driver = JoinSet::new();
    driver.spawn_local(system);
    Ok(Connection {
        client,
        _driver: driver,
    })
}
