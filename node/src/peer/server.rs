//! Answers the calls of peers.

use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};

use capnp::Error;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side};
use dottereltally_lib::{id, membership::beat::Beat};
use dottereltally_proto::peer_capnp::peer;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot},
    task::spawn_local,
    time::{Instant, interval, sleep, timeout},
};

use crate::peer::{Service, metrics::Metrics, stream, wire};

/// Connections of peers that are served at a time.
const MAX_CONNECTIONS: usize = 1024;
/// Time without a call after which a peer's connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Time between two looks at whether a connection is idle.
const IDLE_INTERVAL: Duration = Duration::from_secs(10);
/// Time for the membership to answer a beat.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// A peer's beat that waits for the answer.
#[derive(Debug)]
pub struct Exchange {
    /// What the peer sent.
    pub beat: Beat,
    /// Takes the answer.
    pub reply: oneshot::Sender<Beat>,
}

/// What the connections of peers share.
#[derive(Clone)]
pub struct Shared {
    /// Answers the calls.
    pub service: Arc<dyn Service>,
    /// Takes the beats.
    pub exchanges: mpsc::Sender<Exchange>,
    /// Counters.
    pub metrics: Metrics,
}

/// Accepts the connections of peers until the task is dropped.
pub async fn accept(listener: TcpListener, shared: Shared) {
    let live = Rc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if Rc::strong_count(&live) > MAX_CONNECTIONS {
            shared.metrics.refused.inc();
            continue;
        }
        shared.metrics.accepted.inc();
        shared.metrics.open.inc();
        let shared = shared.clone();
        let live = live.clone();
        spawn_local(async move {
            serve(stream, shared.clone()).await;
            shared.metrics.open.dec();
            drop(live);
        });
    }
}

/// Serves one connection until it ends or is idle for long.
async fn serve(stream: TcpStream, shared: Shared) {
    let metrics = shared.metrics.clone();
    let Ok(network) = stream::network(stream, Side::Server, &metrics) else {
        return;
    };
    let used = Rc::new(Cell::new(Instant::now()));
    let server = Server {
        shared,
        used: used.clone(),
    };
    let client: peer::Client = capnp_rpc::new_client(server);
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    tokio::select! {
        result = system => {
            if result.is_err_and(|error| error.kind != capnp::ErrorKind::Disconnected) {
                metrics.malformed.inc();
            }
        }
        () = wait_idle(&used) => {}
    }
}

/// Waits until a connection has been idle for long.
async fn wait_idle(used: &Cell<Instant>) {
    let mut ticks = interval(IDLE_INTERVAL);
    while used.get().elapsed() < IDLE_TIMEOUT {
        ticks.tick().await;
    }
}

/// Serves the calls of one connection.
struct Server {
    shared: Shared,
    used: Rc<Cell<Instant>>,
}

impl Server {
    /// Counts a message that could not be understood.
    fn understood<T>(&self, result: capnp::Result<T>) -> capnp::Result<T> {
        if result.is_err() {
            self.shared.metrics.malformed.inc();
        }
        result
    }

    async fn pass(&self, beat: Beat) -> capnp::Result<Beat> {
        let (reply, answer) = oneshot::channel();
        let exchange = Exchange { beat, reply };
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
        self.used.set(Instant::now());
        let beat = params
            .get()
            .and_then(peer::exchange_params::Reader::get_beat);
        let beat = self.understood(beat.and_then(wire::read_beat))?;
        let answer = self.pass(beat).await?;
        wire::write_beat(&answer, results.get().init_beat());
        Ok(())
    }

    async fn configuration(
        self: Rc<Self>,
        params: peer::ConfigurationParams,
        mut results: peer::ConfigurationResults,
    ) -> Result<(), Error> {
        self.used.set(Instant::now());
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
        self.used.set(Instant::now());
        let params = params.get()?;
        let claim = params.get_claim()?.to_str()?;
        let token = params.get_token()?.to_str()?;
        let answer = self.shared.service.answer(claim, token);
        wire::write_answer(&answer, results.get().init_answer());
        Ok(())
    }

    async fn admission(
        self: Rc<Self>,
        params: peer::AdmissionParams,
        _: peer::AdmissionResults,
    ) -> Result<(), Error> {
        self.used.set(Instant::now());
        let params = params.get()?;
        let sender = params.get_sender()?.to_str()?;
        let message = params.get_message().and_then(wire::read_admission);
        let message = self.understood(message)?;
        self.shared.service.admission(sender.into(), message);
        Ok(())
    }
}
