//! A client connection to one peer.

use std::{cell::Cell, time::Duration};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side};
use dottereltally_lib::{event, id, membership::heartbeat::Heartbeat};
use dottereltally_proto::peer_capnp::peer;
use dottereltally_store::layout;
use tokio::{
    net::TcpStream,
    task::{JoinHandle, spawn_local},
    time::{Instant, timeout},
};

use crate::peer::{Status, metrics::Metrics, stream, wire};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A call to a peer.
#[derive(Clone, Debug)]
pub enum Call {
    /// Exchanges heartbeats.
    Exchange(Heartbeat),
    /// Asks for a configuration with a generation higher than this one.
    Configuration(id::Generation),
    /// Asks for the status of an attempt.
    AttemptStatus {
        /// Key of the attempt's claim.
        claim: String,
        /// Identifies the attempt.
        token: String,
    },
    /// Delivers a message of the admission protocol.
    Admission {
        /// The sending node.
        sender: id::Node,
        /// The message.
        message: event::Message,
    },
}

impl Call {
    /// Returns the time limit for the reply.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        match self {
            Self::Exchange(_) => Duration::from_millis(500),
            Self::Admission { .. } => Duration::from_secs(1),
            Self::Configuration(_) | Self::AttemptStatus { .. } => Duration::from_secs(2),
        }
    }
}

/// Reply of a peer.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The peer's heartbeat.
    Heartbeat(Heartbeat),
    /// The peer's configuration, if its generation is higher than the one asked.
    Configuration(Option<layout::Configuration>),
    /// Status of the attempt.
    AttemptStatus(Status),
    /// The message was accepted.
    Accepted,
}

/// An open connection to a peer; dropping it closes it.
pub struct Connection {
    client: peer::Client,
    rpc_task: JoinHandle<()>,
    last_used: Cell<Instant>,
    metrics: Metrics,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the peer does not accept it in time.
    pub async fn open(address: &str, metrics: &Metrics) -> capnp::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| capnp::Error::overloaded("connect timed out".to_owned()))??;
        let network = stream::network(stream, Side::Client, metrics)?;
        let mut system = RpcSystem::new(Box::new(network), None);
        let client = system.bootstrap(Side::Server);
        let rpc_task = spawn_local(async move {
            // The calls in progress receive the error.
            let _ = system.await;
        });
        metrics.opened.inc();
        metrics.open.inc();
        Ok(Self {
            client,
            rpc_task,
            last_used: Cell::new(Instant::now()),
            metrics: metrics.clone(),
        })
    }

    /// Returns the time since the start of the last call.
    #[must_use]
    pub fn idle(&self) -> Duration {
        self.last_used.get().elapsed()
    }

    /// Makes a call and waits for its reply within the call's time limit.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the reply does not come in time.
    pub async fn call(&self, call: &Call) -> capnp::Result<Reply> {
        self.last_used.set(Instant::now());
        timeout(call.timeout(), self.send(call))
            .await
            .map_err(|_| capnp::Error::overloaded("no reply in time".to_owned()))?
    }

    async fn send(&self, call: &Call) -> capnp::Result<Reply> {
        match call {
            Call::Exchange(heartbeat) => {
                let mut request = self.client.exchange_request();
                wire::write_heartbeat(heartbeat, request.get().init_beat());
                let response = request.send().promise.await?;
                let heartbeat = wire::read_heartbeat(response.get()?.get_beat()?)?;
                Ok(Reply::Heartbeat(heartbeat))
            }
            Call::Configuration(above) => {
                let mut request = self.client.configuration_request();
                request.get().set_above(above.0);
                let response = request.send().promise.await?;
                let record = wire::read_configuration(response.get()?.get_record()?)?;
                Ok(Reply::Configuration(record))
            }
            Call::AttemptStatus { claim, token } => {
                let mut request = self.client.answer_request();
                request.get().set_claim(claim);
                request.get().set_token(token);
                let response = request.send().promise.await?;
                let status = wire::read_status(response.get()?.get_answer()?)?;
                Ok(Reply::AttemptStatus(status))
            }
            Call::Admission { sender, message } => {
                let mut request = self.client.admission_request();
                request.get().set_sender(sender.as_str());
                wire::write_admission(message, request.get().init_message());
                request.send().promise.await?;
                Ok(Reply::Accepted)
            }
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.rpc_task.abort();
        self.metrics.open.dec();
    }
}
