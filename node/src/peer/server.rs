//! The RPC server that answers the calls of peers.

use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};

use capnp::Error;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side};
use dottereltally_lib::{id, membership::heartbeat::Heartbeat};
use dottereltally_proto::peer_capnp::peer;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot},
    task::spawn_local,
    time::{Instant, interval, sleep, timeout},
};

use crate::peer::{Service, metrics::Metrics, stream, wire};

/// Maximum number of peers' connections that are served concurrently; further
/// ones are closed at once.
const MAX_CONNECTIONS: usize = 1024;
/// Time without a call after which a peer's connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Time between two checks whether a connection is idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Time limit for the membership to answer a heartbeat.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A peer's heartbeat and the channel for its answer.
#[derive(Debug)]
pub struct Exchange {
    /// The peer's heartbeat.
    pub heartbeat: Heartbeat,
    /// Receives the answer.
    pub reply: oneshot::Sender<Heartbeat>,
}

/// State shared by the connections of peers.
#[derive(Clone)]
pub struct Shared {
    /// Answers the calls.
    pub service: Arc<dyn Service>,
    /// Receives the heartbeats.
    pub exchanges: mpsc::Sender<Exchange>,
    /// Counters.
    pub metrics: Metrics,
}

/// Accepts the connections of peers; never returns.
pub async fn accept(listener: TcpListener, shared: Shared) {
    let connection_count = Rc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if Rc::strong_count(&connection_count) > MAX_CONNECTIONS {
            shared.metrics.refused.inc();
            continue;
        }
        shared.metrics.accepted.inc();
        shared.metrics.open.inc();
        let shared = shared.clone();
        let connection_count = connection_count.clone();
        spawn_local(async move {
            serve(stream, shared.clone()).await;
            shared.metrics.open.dec();
            drop(connection_count);
        });
    }
}

/// Serves one connection until it ends or has been idle for too long.
async fn serve(stream: TcpStream, shared: Shared) {
    let metrics = shared.metrics.clone();
    let Ok(network) = stream::network(stream, Side::Server, &metrics) else {
        return;
    };
    let last_used = Rc::new(Cell::new(Instant::now()));
    let server = Server {
        shared,
        last_used: last_used.clone(),
    };
    let client: peer::Client = capnp_rpc::new_client(server);
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    tokio::select! {
        result = system => {
            if result.is_err_and(|error| error.kind != capnp::ErrorKind::Disconnected) {
                metrics.malformed.inc();
            }
        }
        () = wait_idle(&last_used) => {}
    }
}

/// Waits until a connection has been idle for too long.
async fn wait_idle(last_used: &Cell<Instant>) {
    let mut ticks = interval(IDLE_CHECK_INTERVAL);
    while last_used.get().elapsed() < IDLE_TIMEOUT {
        ticks.tick().await;
    }
}

/// Serves the calls of one connection.
struct Server {
    shared: Shared,
    last_used: Rc<Cell<Instant>>,
}

impl Server {
    /// Counts the message as malformed if reading it failed.
    fn count_malformed<T>(&self, result: capnp::Result<T>) -> capnp::Result<T> {
        if result.is_err() {
            self.shared.metrics.malformed.inc();
        }
        result
    }

    /// Passes a heartbeat to the membership and returns its answer.
    async fn exchange_heartbeat(&self, heartbeat: Heartbeat) -> capnp::Result<Heartbeat> {
        let (reply, answer) = oneshot::channel();
        let exchange = Exchange { heartbeat, reply };
        self.shared
            .exchanges
            .try_send(exchange)
            .map_err(|_| Error::overloaded("the node is busy; try another".to_owned()))?;
        timeout(EXCHANGE_TIMEOUT, answer)
            .await
            .map_err(|_| Error::overloaded("the node is busy; try another".to_owned()))?
            .map_err(|_| Error::failed("the node is stopping; try another".to_owned()))
    }
}

impl peer::Server for Server {
    async fn exchange(
        self: Rc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> Result<(), Error> {
        self.last_used.set(Instant::now());
        let heartbeat = params
            .get()
            .and_then(peer::exchange_params::Reader::get_beat);
        let heartbeat = self.count_malformed(heartbeat.and_then(wire::read_heartbeat))?;
        let answer = self.exchange_heartbeat(heartbeat).await?;
        wire::write_heartbeat(&answer, results.get().init_beat());
        Ok(())
    }

    async fn configuration(
        self: Rc<Self>,
        params: peer::ConfigurationParams,
        mut results: peer::ConfigurationResults,
    ) -> Result<(), Error> {
        self.last_used.set(Instant::now());
        let above = id::Generation(params.get()?.get_above());
        if let Some(record) = self.shared.service.configuration(above) {
            wire::write_configuration(&record, results.get().init_record());
        }
        Ok(())
    }

    async fn answer(
        self: Rc<Self>,
        params: peer::AnswerParams,
        mut results: peer::AnswerResults,
    ) -> Result<(), Error> {
        self.last_used.set(Instant::now());
        let params = params.get()?;
        let claim = params.get_claim()?.to_str()?;
        let token = params.get_token()?.to_str()?;
        let status = self.shared.service.attempt_status(claim, token);
        wire::write_status(&status, results.get().init_answer());
        Ok(())
    }

    async fn admission(
        self: Rc<Self>,
        params: peer::AdmissionParams,
        _: peer::AdmissionResults,
    ) -> Result<(), Error> {
        self.last_used.set(Instant::now());
        let params = params.get()?;
        let sender = params.get_sender()?.to_str()?;
        let message = params.get_message().and_then(wire::read_admission);
        let message = self.count_malformed(message)?;
        self.shared.service.admission(sender.into(), message);
        Ok(())
    }
}
