//! Registration of a node, against an in-memory source.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use dottereltally_gateway::{
    controller::Registration,
    directory::{Changes, Claimant, Lease, Node, Record, Replacement, Snapshot, Source},
    era::{self, Announcement},
    metrics::Metrics,
};
use dottereltally_lib::{
    crash::Trial,
    era::{Era, Revision},
    id,
    suspicion::Mark,
};
use dottereltally_store::{
    kv::{self, Error},
    transfer::Intake,
};
use rstest::rstest;
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

/// Source that keeps only leases.
#[derive(Clone, Default)]
struct Leases {
    state: Arc<Mutex<State>>,
    eras: era::Handle,
}

#[derive(Default)]
struct State {
    next: i64,
    era: u64,
    /// Numbers of the leases of which renewal or end was asked for.
    used: Vec<i64>,
    live: Vec<Lease>,
}

impl Leases {
    fn live(&self) -> Vec<Lease> {
        self.state.lock().unwrap().live.clone()
    }

    fn answer(&self) -> Era {
        let announced = Announcement::Number(self.state.lock().unwrap().era);
        self.eras.record(Instant::now(), announced).unwrap()
    }
}

impl Source for Leases {
    fn eras(&self) -> &era::Handle {
        &self.eras
    }

    async fn snapshot(&self, _: &Intake) -> Result<Snapshot, Error> {
        Ok(Snapshot::default())
    }

    async fn probe(&self) -> Result<(), Error> {
        Ok(())
    }

    async fn changes(&self, _: Revision, _: Duration, _: &Intake) -> Result<Changes, Error> {
        Ok(Changes::default())
    }

    async fn write_record(&self, _: &Replacement) -> Result<Option<Record>, Error> {
        Ok(None)
    }

    async fn quarantine(&self, _: id::Fingerprint, _: &[Mark]) -> Result<(), Error> {
        unreachable!("a registration keeps no suspicions")
    }

    async fn claim_trial(&self, _: Trial, _: &Claimant) -> Result<bool, Error> {
        unreachable!("a registration claims no trial")
    }

    async fn register(&self, _: &Node, _: Duration) -> Result<Lease, Error> {
        let era = self.answer();
        let mut state = self.state.lock().unwrap();
        state.next += 1;
        let id = kv::Lease(state.next);
        let lease = Lease { id, era };
        state.live.push(lease);
        Ok(lease)
    }

    async fn renew(&self, lease: Lease) -> Result<(), Error> {
        self.answer();
        self.state.lock().unwrap().used.push(lease.id.0);
        // The source knows a lease by its number only.
        if self.live().iter().any(|live| live.id == lease.id) {
            return Ok(());
        }
        Err(Error::UnknownLease(lease.id))
    }

    async fn deregister(&self, lease: Lease) -> Result<(), Error> {
        self.answer();
        let mut state = self.state.lock().unwrap();
        state.used.push(lease.id.0);
        state.live.retain(|live| live.id != lease.id);
        Ok(())
    }
}

fn lease(id: i64, era: u64) -> Lease {
    Lease {
        id: kv::Lease(id),
        era: Era::from(era),
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

/// Returns a registration that runs and has registered its node, and its task.
async fn registered(leases: &Leases) -> (Arc<Registration<Leases>>, JoinHandle<()>) {
    let registration = registration(leases);
    let renewed = Arc::clone(&registration);
    let running = tokio::spawn(async move { renewed.run().await });
    sleep(Duration::from_secs(1)).await;
    (registration, running)
}

/// Returns a source in its first era, and a registration of which it granted the first lease.
async fn registered_in_first_era() -> (Leases, Arc<Registration<Leases>>) {
    let leases = Leases::default();
    leases.state.lock().unwrap().era = 1;
    let (registration, _running) = registered(&leases).await;
    assert_eq!(leases.live(), [lease(1, 1)]);
    (leases, registration)
}

#[tokio::test(start_paused = true)]
async fn an_expired_registration_is_renewed_under_a_new_lease() {
    let leases = Leases::default();
    let _registered = registered(&leases).await;
    assert_eq!(leases.live(), [lease(1, 0)]);
    leases.state.lock().unwrap().live.clear();
    sleep(Duration::from_secs(10)).await;
    assert_eq!(leases.live(), [lease(2, 0)]);
}

#[tokio::test(start_paused = true)]
async fn a_deregistered_node_does_not_register_again() {
    let leases = Leases::default();
    let (registration, running) = registered(&leases).await;
    registration.deregister().await;
    running.await.unwrap();
    assert!(leases.live().is_empty());
}

/// Guards against a lease of a former era that renews or ends the registration of another
/// node, which was given the same number, and against a node that stays unregistered.
#[rstest]
#[case::heard_from_another_call(true)]
#[case::heard_from_the_renewal(false)]
#[tokio::test(start_paused = true)]
async fn a_lease_of_a_former_era_is_not_used(#[case] is_heard: bool) {
    let (leases, registration) = registered_in_first_era().await;
    {
        let mut state = leases.state.lock().unwrap();
        state.era = 2;
        // Another node registered first in the new era.
        state.live = vec![lease(1, 2)];
        state.next = 1;
        state.used.clear();
    }
    if is_heard {
        leases.answer();
        // Time over which nodes spread their registrations.
        sleep(Duration::from_secs(1)).await;
        let used = leases.state.lock().unwrap().used.clone();
        assert!(used.is_empty(), "used leases {used:?}");
    } else {
        sleep(Duration::from_secs(5)).await;
    }
    assert_eq!(leases.live(), [lease(1, 2), lease(2, 2)]);
    registration.deregister().await;
    assert_eq!(leases.live(), [lease(1, 2)]);
}

/// Guards against a node that stops after the source was restored, and ends the
/// registration of another node.
#[tokio::test(start_paused = true)]
async fn a_lease_of_a_former_era_is_not_ended() {
    let (leases, registration) = registered_in_first_era().await;
    {
        let mut state = leases.state.lock().unwrap();
        state.era = 2;
        state.live = vec![lease(1, 2)];
    }
    leases.answer();
    registration.deregister().await;
    assert_eq!(leases.live(), [lease(1, 2)]);
}
