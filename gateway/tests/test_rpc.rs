//! Directories that nodes fetch from each other while the key-value service is
//! unavailable.

mod common;

use std::sync::Arc;

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
    net::TcpListener,
    sync::watch,
    task::{LocalSet, spawn_local},
};

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

/// Starts a node whose directory is `known`, and fetches the directory from it.
async fn fetch(known: Snapshot) -> Option<Snapshot> {
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
    rpc::fetch_snapshot(address).await.unwrap()
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
