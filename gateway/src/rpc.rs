//! Calls between nodes over Cap'n Proto RPC: for the whole directory while the
//! key-value service is unavailable, and for decisions of the coordinator.

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

use crate::{
    admission, coordinator::Session, directory::Snapshot, heartbeat::read_loads,
    paths::UPSTREAM_LIMITS, tunnel,
};

/// Time for another node to return its directory.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Why a call to another node failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The connection failed.
    #[error("connection failed: {0}; check the link between the nodes")]
    Connection(#[from] io::Error),
    /// The call failed.
    #[error("call failed: {0}; check the other node's log")]
    Call(#[from] Error),
    /// The answer can't be decoded.
    #[error("unreadable answer: {0}; run the same version on all nodes")]
    Unreadable(#[from] serde_json::Error),
    /// The node did not answer in time.
    #[error("no answer in time; check the link between the nodes")]
    Timeout,
}

/// Serves the calls of other nodes.
#[derive(Clone)]
pub struct Server {
    /// The directory as this node knows it.
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    /// Decides for the nodes whose coordinator this node is.
    pub admission: admission::Handle,
    /// The clock of the node.
    pub clock: Clock,
    /// Phase of the shutdown; a node that announced it refuses to be a
    /// coordinator.
    pub phase: Phase,
    /// Passes connections on.
    pub tunnels: tunnel::Server,
}

impl directory::Server for Server {
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
        let loads = read_loads(params.get_held()?)?;
        self.admission.apply(|dispatcher, now| {
            dispatcher.record_peer_load(now, &node, loads.into_iter().collect())
        });
        tracing::info!(%node, "this node chooses endpoints for another node");
        let session = Session::new(self.admission.clone(), self.clock);
        results.get().set_desk(capnp_rpc::new_client(session));
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

/// Serves the calls of other nodes; never returns.
pub async fn serve(listener: TcpListener, server: Server) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "connection of a node could not be accepted");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        // Keepalive probes end the connection of a node that is gone, which
        // releases its slots at endpoints.
        if let Err(error) = pool::set_keepalive(&stream, &UPSTREAM_LIMITS) {
            tracing::debug!(%error, "connection of a node closed during setup");
            continue;
        }
        spawn_local(serve_connection(stream, server.clone()));
    }
}

async fn serve_connection(stream: TcpStream, server: Server) {
    match tunnel::is_tunnel(&stream).await {
        Ok(true) => return server.tunnels.serve(stream).await,
        Ok(false) => {}
        Err(error) => {
            tracing::debug!(%error, "connection of a node closed during setup");
            return;
        }
    }
    let network = match stream::network(stream, Side::Server, &Metrics::default()) {
        Ok(network) => network,
        Err(error) => {
            tracing::debug!(%error, "connection of a node closed during setup");
            return;
        }
    };
    let client: directory::Client = capnp_rpc::new_client(server);
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    // The other node closes the connection, or the keepalive probes end it.
    if let Err(error) = system.await {
        tracing::debug!(%error, "connection of a node ended");
    }
}

/// Fetches the directory of another node; `None` if it has no plan.
///
/// # Errors
///
/// Fails if the node can't be reached or does not answer in time.
pub async fn fetch_snapshot(address: SocketAddr) -> Result<Option<Snapshot>, Failure> {
    timeout(FETCH_TIMEOUT, read_snapshot(address))
        .await
        .unwrap_or(Err(Failure::Timeout))
}

async fn read_snapshot(address: SocketAddr) -> Result<Option<Snapshot>, Failure> {
    let connection = connect(address).await?;
    let response = connection.client.read_request().send().promise.await?;
    let bytes = response.get()?.get_snapshot()?;
    if bytes.is_empty() {
        return Ok(None);
    }
    Ok(Some(serde_json::from_slice(bytes)?))
}

/// Connection to another node, closed when it is dropped.
pub(crate) struct Connection {
    /// RPC client of the other node.
    pub(crate) client: directory::Client,
    _driver: JoinSet<Result<(), Error>>,
}

/// Connects to another node; must run in a local task set.
pub(crate) async fn connect(address: SocketAddr) -> Result<Connection, Failure> {
    let stream = TcpStream::connect(address).await?;
    pool::set_keepalive(&stream, &UPSTREAM_LIMITS)?;
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
