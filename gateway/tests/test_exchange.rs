//! What nodes tell each other while the key-value service is away.

mod common;

use std::sync::Arc;

use common::plan;
use dottereltally::{clock::Clock, shutdown::Phase};
use dottereltally_gateway::{
    admission::Handle,
    directory::{Entry, Node, Snapshot},
    exchange::{self, Offer},
};
use dottereltally_lib::{
    endpoint::{Record, Standing},
    gate::{Gate, Settings},
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
        places: Some(4),
    };
    let entry = Entry {
        record,
        born: Some(7),
        sequence: 3,
    };
    Snapshot {
        plan: Some(common::with_keys(plan())),
        endpoints: [(id::Endpoint::from("e"), entry)].into(),
        nodes: vec![Node {
            name: id::Node::from("n"),
            address: "127.0.0.1:2".to_owned(),
            data_centre: id::DataCentre::from("dc"),
            calls: "127.0.0.1:3".to_owned(),
            share: 250,
        }],
        ..Snapshot::default()
    }
}

/// Asks a node that knows this much.
async fn ask(known: Snapshot) -> Option<Snapshot> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (_sender, receiver) = watch::channel(Arc::new(known));
    let clock = Clock::start();
    let offer = Offer {
        snapshot: receiver,
        admission: Handle::new(Gate::new(Settings::default()), clock),
        clock,
        phase: Phase::default(),
    };
    spawn_local(exchange::serve(listener, offer));
    exchange::ask(address).await.unwrap()
}

#[tokio::test]
async fn a_node_tells_all_that_it_knows() {
    let known = snapshot();
    let told = LocalSet::new().run_until(ask(known.clone())).await;
    let told = told.expect("a directory");
    assert_eq!(told.plan, known.plan);
    assert_eq!(told.endpoints, known.endpoints);
    assert_eq!(told.nodes, known.nodes);
}

#[tokio::test]
async fn a_node_without_a_plan_tells_nothing() {
    let told = LocalSet::new().run_until(ask(Snapshot::default())).await;
    assert!(told.is_none());
}

#[tokio::test]
async fn a_port_without_a_node_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let asked = LocalSet::new().run_until(exchange::ask(address)).await;
    assert!(asked.is_err());
}
