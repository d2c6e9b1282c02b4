//! Registration of a node, against an in-memory source.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use dottereltally_gateway::{
    controller::Registration,
    directory::{Changes, Node, Snapshot, Source},
    metrics::Metrics,
};
use dottereltally_lib::{id, suspicion::Mark};
use dottereltally_store::kv::{Error, Lease, Revision};
use tokio::time::sleep;

/// Source that keeps only leases.
#[derive(Clone, Default)]
struct Leases {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    next: i64,
    live: Vec<Lease>,
}

impl Leases {
    fn live(&self) -> Vec<Lease> {
        self.state.lock().unwrap().live.clone()
    }
}

impl Source for Leases {
    async fn snapshot(&self) -> Result<Snapshot, Error> {
        Ok(Snapshot::default())
    }

    async fn probe(&self) -> Result<(), Error> {
        Ok(())
    }

    async fn changes(&self, _: Revision, _: Duration) -> Result<Changes, Error> {
        Ok(Changes::default())
    }

    async fn quarantine(&self, _: id::Fingerprint, _: &[Mark]) -> Result<(), Error> {
        unreachable!("a registration keeps no suspicions")
    }

    async fn register(&self, _: &Node, _: Duration) -> Result<Lease, Error> {
        let mut state = self.state.lock().unwrap();
        state.next += 1;
        let lease = Lease(state.next);
        state.live.push(lease);
        Ok(lease)
    }

    async fn renew(&self, lease: Lease) -> Result<(), Error> {
        if self.live().contains(&lease) {
            return Ok(());
        }
        Err(Error::UnknownLease(lease))
    }

    async fn deregister(&self, lease: Lease) -> Result<(), Error> {
        self.state
            .lock()
            .unwrap()
            .live
            .retain(|live| *live != lease);
        Ok(())
    }
}

fn registration(leases: &Leases) -> Arc<Registration<Leases>> {
    let node = Node {
        name: id::Node::from("n"),
        address: "127.0.0.1:1".to_owned(),
        data_centre: id::DataCentre::from("dc"),
        rpc_address: "127.0.0.1:3".to_owned(),
        millicores: 250,
    };
    Arc::new(Registration::new(leases.clone(), node, Metrics::default()))
}

#[tokio::test(start_paused = true)]
async fn an_expired_registration_is_renewed_under_a_new_lease() {
    let leases = Leases::default();
    let registration = registration(&leases);
    let renewed = Arc::clone(&registration);
    tokio::spawn(async move { renewed.run().await });
    sleep(Duration::from_secs(1)).await;
    assert_eq!(leases.live(), [Lease(1)]);
    leases.state.lock().unwrap().live.clear();
    sleep(Duration::from_secs(10)).await;
    assert_eq!(leases.live(), [Lease(2)]);
}

#[tokio::test(start_paused = true)]
async fn a_deregistered_node_does_not_register_again() {
    let leases = Leases::default();
    let registration = registration(&leases);
    let renewed = Arc::clone(&registration);
    let running = tokio::spawn(async move { renewed.run().await });
    sleep(Duration::from_secs(1)).await;
    registration.deregister().await;
    running.await.unwrap();
    assert!(leases.live().is_empty());
}
