//! Directories that nodes fetch from each other while the key-value service is
//! unavailable.

mod common;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use common::plan;
use dottereltally::{clock::Clock, shutdown::Phase};
use dottereltally_gateway::{
    admission::Handle,
    directory::{Entry, Node, Snapshot},
    rpc::{self, Server},
    tunnel,
};
use dottereltally_lib::{
    dispatcher::{Dispatcher, Settings},
    endpoint::{Record, Standing},
    id,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{LocalSet, spawn_local},
    time::sleep,
};

/// What a link of 10 Mbit/s carries in [`LINK_INTERVAL`].
const LINK: usize = 12_500;
const LINK_INTERVAL: Duration = Duration::from_millis(10);

fn snapshot() -> Snapshot {
    let record = Record {
        id: id::Endpoint::from("e"),
        address: "127.0.0.1:1".to_owned(),
        service: id::Service::from("s"),
        data_centre: id::DataCentre::from("dc"),
        standing: Standing::Leaving,
        capacity: Some(4),
        version: None,
    };
    let entry = Entry {
        record,
        started_ms: Some(7),
        sequence: 3,
        revision: None,
    };
    Snapshot {
        plan: Some(common::with_keys(plan())),
        endpoints: [(id::Endpoint::from("e"), entry)].into(),
        nodes: vec![Node {
            name: id::Node::from("n"),
            address: "127.0.0.1:2".to_owned(),
            data_centre: id::DataCentre::from("dc"),
            rpc_address: "127.0.0.1:3".to_owned(),
            millicores: 250,
        }],
        ..Snapshot::default()
    }
}

/// Starts a node whose directory is `known`; returns its address.
async fn serve(known: Snapshot) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (_sender, receiver) = watch::channel(Arc::new(known));
    let clock = Clock::start();
    let server = Server {
        tunnels: tunnel::Server::closed(
            Handle::new(Dispatcher::new(Settings::default()), clock).clone(),
        ),
        snapshot: receiver,
        admission: Handle::new(Dispatcher::new(Settings::default()), clock),
        clock,
        phase: Phase::default(),
    };
    spawn_local(rpc::serve(listener, server));
    address
}

/// Starts a node whose directory is `known`, and fetches the directory from it.
async fn fetch(known: Snapshot) -> Option<Snapshot> {
    let address = serve(known).await;
    rpc::fetch_snapshot(address).await.unwrap()
}

/// Puts a slow link in front of a node, which carries one connection; returns its address.
async fn behind_slow_link(node: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        let (caller, _) = listener.accept().await.unwrap();
        let node = TcpStream::connect(node).await.unwrap();
        let (mut requests, mut answers) = caller.into_split();
        let (mut from_node, mut to_node) = node.into_split();
        spawn_local(async move {
            let _copied = copy(&mut requests, &mut to_node).await;
        });
        let mut part = vec![0; LINK];
        loop {
            match from_node.read(&mut part).await {
                Ok(length) if length > 0 => {
                    if answers.write_all(&part[..length]).await.is_err() {
                        return;
                    }
                }
                _ => return,
            }
            sleep(LINK_INTERVAL).await;
        }
    });
    address
}

#[tokio::test]
async fn a_node_returns_its_whole_directory() {
    let known = snapshot();
    let fetched = LocalSet::new().run_until(fetch(known.clone())).await;
    let fetched = fetched.expect("a directory");
    assert_eq!(fetched.plan, known.plan);
    assert_eq!(fetched.endpoints, known.endpoints);
    assert_eq!(fetched.nodes, known.nodes);
}

#[tokio::test]
async fn a_node_without_a_plan_returns_nothing() {
    let fetched = LocalSet::new().run_until(fetch(Snapshot::default())).await;
    assert!(fetched.is_none());
}

#[tokio::test]
async fn an_unreachable_node_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let result = LocalSet::new()
        .run_until(rpc::fetch_snapshot(address))
        .await;
    assert!(result.is_err());
}

/// Guards against a node that starts while the store is away and gets no directory from others,
/// as the time limit of a fetch holds for a whole directory however large it is.
#[tokio::test]
#[ignore = "known red: the time limit holds for the whole directory"]
async fn a_large_directory_is_fetched_over_a_slow_link() {
    const ENDPOINTS: usize = 20_000;
    let mut known = snapshot();
    let entry = known.endpoints[&id::Endpoint::from("e")].clone();
    for number in 0..ENDPOINTS {
        let name = id::Endpoint::from(format!("e-{number}").as_str());
        let mut entry = entry.clone();
        entry.record.id = name.clone();
        known.endpoints.insert(name, entry);
    }
    let fetched = LocalSet::new()
        .run_until(async {
            let node = serve(known.clone()).await;
            let address = behind_slow_link(node).await;
            rpc::fetch_snapshot(address).await
        })
        .await;
    let fetched = fetched.expect("an answer").expect("a directory");
    assert_eq!(fetched.endpoints, known.endpoints);
}
