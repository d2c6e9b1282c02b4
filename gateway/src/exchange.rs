//! What nodes ask of each other while the key-value service is away: the whole
//! directory, over Cap'n Proto RPC.

use std::{io, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use capnp::Error;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side};
use dottereltally::peer::{Metrics, stream};
use dottereltally_proto::gateway_capnp::directory;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::directory::Snapshot;

/// Time for a node to answer.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a connection is closed; a node asks once on each.
const LIFETIME: Duration = Duration::from_secs(10);
/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Why a node told nothing.
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

/// Serves the directory that this node knows.
struct Server {
    snapshot: watch::Receiver<Arc<Snapshot>>,
}

impl directory::Server for Server {
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
pub async fn serve(listener: TcpListener, snapshot: watch::Receiver<Arc<Snapshot>>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "a node's connection was not accepted");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let server = Server {
            snapshot: snapshot.clone(),
        };
        let network = match stream::network(stream, Side::Server, &Metrics::default()) {
            Ok(network) => network,
            Err(error) => {
                tracing::debug!(%error, "a node's connection closed at once");
                continue;
            }
        };
        let client: directory::Client = capnp_rpc::new_client(server);
        let system = RpcSystem::new(Box::new(network), Some(client.client));
        spawn_local(async move {
            // The other node closes the connection once it has its answer.
            let _ended = timeout(LIFETIME, system).await;
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
    let stream = TcpStream::connect(address).await?;
    let network = stream::network(stream, Side::Client, &Metrics::default())?;
    let mut system = RpcSystem::new(Box::new(network), None);
    let client: directory::Client = system.bootstrap(Side::Server);
    let driver = spawn_local(system);
    let result = async {
        let response = client.read_request().send().promise.await?;
        let bytes = response.get()?.get_snapshot()?;
        if bytes.is_empty() {
            return Ok(None);
        }
        Ok(Some(serde_json::from_slice(bytes)?))
    }
    .await;
    driver.abort();
    result
}
