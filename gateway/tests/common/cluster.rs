//! Gateways that exchange heartbeats.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use dottereltally_gateway::{
    directory::Node,
    origins,
    paths::UPSTREAM_LIMITS,
    paths::{Dial, Tcp},
    peers::{self, Peers},
    rpc, tunnel,
};
use dottereltally_lib::{endpoint::Record, id};
use ractor::{Actor, ActorRef};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::watch,
    task::{JoinHandle, LocalSet},
};

use super::{Gateway, plan};

/// Nodes that know each other.
#[derive(Default)]
pub struct Cluster {
    pub gateways: Vec<Gateway>,
    nodes: Vec<(Node, ActorRef<peers::Message>)>,
    /// Tasks that send and receive the datagrams of each node.
    tasks: Vec<[JoinHandle<()>; 3]>,
    killed: BTreeSet<usize>,
}

/// Serves the calls of other nodes in a thread of its own, as their tasks are bound to
/// one; returns the address.
fn serve_calls(gateway: &Gateway) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let server = rpc::Server {
        snapshot: watch::Sender::new(Arc::default()).subscribe(),
        admission: gateway.chain.admission.clone(),
        clock: gateway.chain.clock,
        phase: gateway.chain.phase.clone(),
        tunnels: tunnel::Server::new(&gateway.chain),
    };
    std::thread::spawn(move || {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_all().build().unwrap();
        let serving = async {
            rpc::serve(TcpListener::from_std(listener).unwrap(), server).await;
        };
        LocalSet::new().block_on(&runtime, serving);
    });
    address
}

impl Cluster {
    pub async fn start(count: usize) -> Self {
        let mut cluster = Self::default();
        for _ in 0..count {
            cluster.add().await;
        }
        cluster
    }

    /// Starts another node, which the others learn of.
    pub async fn add(&mut self) {
        self.add_over("dc", Vec::new(), Arc::new(Tcp(UPSTREAM_LIMITS)))
            .await;
    }

    /// Starts another node, which reaches these endpoints in this way.
    pub async fn add_over(
        &mut self,
        data_centre: &str,
        records: Vec<Record>,
        dialer: Arc<dyn Dial>,
    ) {
        let name = format!("n{}", self.nodes.len());
        let gateway = Gateway::start_over(&name, Some(plan()), records, dialer).await;
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        let address: SocketAddr = socket.local_addr().unwrap();
        let node = Node {
            name: id::Node::from(name),
            address: address.to_string(),
            data_centre: id::DataCentre::from(data_centre),
            rpc_address: serve_calls(&gateway).to_string(),
            millicores: 0,
        };
        let arguments = peers::Arguments {
            own_node: node.clone(),
            socket: Arc::clone(&socket),
            chain: Arc::clone(&gateway.chain),
            later_steps: watch::Sender::new(None),
            ranked_nodes: watch::Sender::new(Vec::new()),
        };
        let (actor, _running) = Actor::spawn(None, Peers::default(), arguments)
            .await
            .unwrap();
        let origins = gateway.chain.origins.clone();
        origins.attach(Arc::clone(&socket)).await.unwrap();
        let telling = tokio::spawn(origins::run(origins.clone()));
        let listening = tokio::spawn(peers::listen(socket, actor.clone(), origins));
        let crashes = gateway.chain.crashes.clone();
        let announcing = tokio::spawn(peers::announce(crashes, actor.clone()));
        self.tasks.push([telling, listening, announcing]);
        self.gateways.push(gateway);
        self.nodes.push((node, actor));
        for (index, (node, actor)) in self.nodes.iter().enumerate() {
            if self.killed.contains(&index) {
                continue;
            }
            let others = self.nodes.iter().map(|(other, _)| other.clone());
            let others = others.filter(|other| other.name != node.name).collect();
            actor
                .send_message(peers::Message::Registered(others))
                .unwrap();
        }
    }
    /// Ends the exchange with other nodes of these ones, all at once; they stay
    /// registered. Streams at them end when their callers close the connections.
    pub fn kill(&mut self, nodes: &[usize]) {
        for &node in nodes {
            self.killed.insert(node);
            for task in &self.tasks[node] {
                task.abort();
            }
            self.nodes[node].1.kill();
        }
    }
}
