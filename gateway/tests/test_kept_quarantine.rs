//! Suspicions that are kept in the key-value service.

mod common;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use common::{
    Gateway,
    fragile::{End, Fleet, Return},
    plan,
};
use dottereltally_gateway::{
    acceptance,
    chain::Chain,
    controller::{self, Controller, Message, Outputs},
    dialect::Head,
    directory::{Change, Changes, Claimant, Lease, Node, Record, Replacement, Snapshot, Source},
    era,
};
use dottereltally_lib::{
    crash::{Subject, Trial},
    era::{Era, Revision},
    id,
    quarantine::Verdict,
    suspicion::{Kind, Mark},
};
use dottereltally_store::{
    kv::{self, Error},
    transfer::Intake,
};
use ractor::{Actor, ActorRef};
use rstest::rstest;
use tokio::{
    sync::{mpsc, watch},
    time::{Instant, sleep, timeout},
};

/// Source that keeps only suspicions; the first calls fail.
#[derive(Clone, Default)]
struct Kept {
    state: Arc<Mutex<State>>,
    eras: era::Handle,
}

#[derive(Default)]
struct State {
    failures: usize,
    kept: Vec<(id::Fingerprint, Vec<Mark>)>,
    /// The process that claimed each trial.
    claims: BTreeMap<Trial, u64>,
    /// Claims that are made although their answers are lost.
    lost_claims: usize,
}

impl Kept {
    fn kept(&self) -> Vec<(id::Fingerprint, Vec<Mark>)> {
        self.state.lock().unwrap().kept.clone()
    }
}

impl Source for Kept {
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

    async fn quarantine(&self, fingerprint: id::Fingerprint, marks: &[Mark]) -> Result<(), Error> {
        let mut state = self.state.lock().unwrap();
        if state.failures > 0 {
            state.failures -= 1;
            return Err(Error::Lost("the service is away".to_owned()));
        }
        state.kept.push((fingerprint, marks.to_vec()));
        Ok(())
    }

    async fn claim_trial(&self, trial: Trial, claim: &Claimant) -> Result<bool, Error> {
        let mut state = self.state.lock().unwrap();
        if state.failures > 0 {
            state.failures -= 1;
            return Err(Error::Lost("the service is away".to_owned()));
        }
        let claimed = *state.claims.entry(trial).or_insert(claim.process);
        if state.lost_claims > 0 {
            state.lost_claims -= 1;
            return Err(Error::Lost("the answer was lost".to_owned()));
        }
        Ok(claimed == claim.process)
    }

    async fn register(&self, _: &Node, _: Duration) -> Result<Lease, Error> {
        Ok(Lease {
            id: kv::Lease(1),
            era: Era::default(),
        })
    }

    async fn renew(&self, _: Lease) -> Result<(), Error> {
        Ok(())
    }

    async fn deregister(&self, _: Lease) -> Result<(), Error> {
        Ok(())
    }
}

/// Starts the directory's controller of a gateway.
async fn start_controller(chain: &Chain<common::TestHeaders>) -> ActorRef<Message> {
    let outputs = Outputs {
        clock: chain.clock,
        plan: watch::Sender::new(None),
        admission: chain.admission.clone(),
        nodes: watch::Sender::new(Vec::new()),
        endpoints_known: watch::Sender::new(false),
        snapshot: watch::Sender::new(Arc::default()),
        metrics: chain.metrics.clone(),
        own_name: id::Node::from("n"),
        crashes: chain.crashes.clone(),
        origins: chain.origins.clone(),
        view: chain.view.clone(),
        rollouts: chain.rollouts.clone(),
    };
    let (controller, _running) = Actor::spawn(None, Controller, outputs).await.unwrap();
    controller
}

/// Keeps what a gateway knows of refused requests.
fn keep(
    source: &Kept,
    chain: &Chain<common::TestHeaders>,
    refused: mpsc::Receiver<id::Fingerprint>,
) {
    tokio::spawn(controller::quarantine::keep(
        source.clone(),
        chain.crashes.clone(),
        refused,
        watch::Sender::new(Vec::new()).subscribe(),
        chain.metrics.clone(),
    ));
}

fn fatal() -> id::Fingerprint {
    let parts = http::Request::get("/safe/fatal").body(()).unwrap();
    acceptance::fingerprint(
        &parts.into_parts().0,
        &Head::default(),
        &bytes::Bytes::new(),
    )
}

/// Guards against a crashing request that is forgotten when all nodes end at once:
/// what is known about it outlives them in the key-value service.
#[rstest]
#[case::read_at_start(true)]
#[case::read_as_a_change(false)]
#[tokio::test]
async fn a_crashing_request_is_known_after_all_nodes_ended(#[case] at_start: bool) {
    let source = Kept::default();
    source.state.lock().unwrap().failures = 1;
    let back = Return {
        after: Some(Duration::from_millis(500)),
        same_id: false,
    };
    let fleet = Fleet::start(12, End::Close, back).await;
    let first = Gateway::start(Some(plan()), &[]).await;
    fleet.list_at(&first.chain);
    keep(&source, &first.chain, first.refused);
    let address = first.address;
    let finding = async {
        while source.kept().is_empty() {
            common::get(address, "/safe/fatal", "").await;
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(Duration::from_secs(30), finding)
        .await
        .expect("the quarantine is kept");
    let ended = fleet.ended();
    assert!(ended <= 3, "{ended} endpoints ended");

    let next = Gateway::start(Some(plan()), &[]).await;
    fleet.list_at(&next.chain);
    let controller = start_controller(&next.chain).await;
    let (fingerprint, marks) = source.kept().remove(0);
    assert_eq!(fingerprint, fatal());
    let message = if at_start {
        Message::Snapshot(Box::new(Snapshot {
            marks,
            ..Snapshot::default()
        }))
    } else {
        Message::Changes(Changes {
            revision: Revision::from(1),
            changes: vec![Change::Quarantined(marks)],
            unusable: 0,
        })
    };
    controller.send_message(message).unwrap();
    let learning = async {
        let crashes = &next.chain.crashes;
        while crashes.read(|detector, now| detector.verdict(now, fatal())) != Verdict::Confirmed {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(30), learning)
        .await
        .expect("the next node learns of the request");
    let answer = next.get("/safe/fatal", "").await;
    assert!(answer.contains("quarantine"), "{answer}");
    assert_eq!(fleet.ended(), ended);
}

/// Lets a gateway learn from another node that endpoints died of a request.
fn tell_of_deaths(gateway: &Gateway) {
    let node = id::Node::from("n");
    let data_centre = id::DataCentre::from("dc");
    for incarnation in 0..3 {
        let mark = Mark {
            fingerprint: fatal(),
            incarnation: id::Incarnation(incarnation),
            kind: Kind::Died,
            valid: Duration::from_mins(1),
        };
        gateway
            .chain
            .crashes
            .apply_marks(&node, &data_centre, &[mark]);
    }
}

/// Nodes that only learned of a crashing request leave it to those that found it
/// out.
#[tokio::test]
async fn a_node_keeps_only_what_it_found_out() {
    let mut gateway = Gateway::start(Some(plan()), &[]).await;
    tell_of_deaths(&gateway);
    let verdict = |crashes: &dottereltally_gateway::crashes::Handle| {
        crashes.read(|detector, now| detector.verdict(now, fatal()))
    };
    assert_eq!(verdict(&gateway.chain.crashes), Verdict::Confirmed);
    assert!(gateway.refused.try_recv().is_err());
}

/// Guards against a crashing request that is forgotten when the key-value service is
/// restored from a copy: the node that found it out writes it again.
#[tokio::test(start_paused = true)]
async fn a_crashing_request_is_written_again_after_a_restoration() {
    let source = Kept::default();
    let gateway = Gateway::start(Some(plan()), &[]).await;
    tell_of_deaths(&gateway);
    let (refuse, refused) = mpsc::channel(4);
    keep(&source, &gateway.chain, refused);
    refuse.send(fatal()).await.unwrap();
    sleep(Duration::from_secs(1)).await;
    assert_eq!(source.kept().len(), 1);
    source.state.lock().unwrap().kept.clear();
    let announced = era::Announcement::Number(2);
    source.eras.record(Instant::now(), announced).unwrap();
    sleep(Duration::from_secs(5)).await;
    assert_eq!(source.kept().len(), 1, "written once");
}

fn mark(incarnation: u64, kind: Kind) -> Mark {
    Mark {
        fingerprint: fatal(),
        incarnation: id::Incarnation(incarnation),
        kind,
        valid: Duration::from_mins(1),
    }
}

/// How the withdrawal of a kept suspicion is nearly lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lapse {
    /// It is written at once.
    None,
    /// The source can't be written for a while.
    SourceAway,
    /// The node that withdrew it ended before it wrote that; this one was told.
    FinderEnded,
    /// A node that has not heard of it writes last.
    LateWrite,
    /// The source comes back from a copy that was taken before.
    OlderCopy,
}

/// Guards against RECOVER: a suspicion that was withdrawn was still in the key-value
/// service, for nodes that start.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_withdrawal_reaches_what_is_kept(
    #[values(
        Lapse::None,
        Lapse::SourceAway,
        Lapse::FinderEnded,
        Lapse::LateWrite,
        Lapse::OlderCopy
    )]
    lapse: Lapse,
) {
    let source = Kept::default();
    let gateway = Gateway::start(Some(plan()), &[]).await;
    let crashes = &gateway.chain.crashes;
    tell_of_deaths(&gateway);
    keep(&source, &gateway.chain, gateway.refused);
    let written = [0, 1, 2].map(|incarnation| mark(incarnation, Kind::Died));
    crashes.apply_kept_marks(&written);
    if lapse == Lapse::SourceAway {
        source.state.lock().unwrap().failures = 3;
    }
    if lapse == Lapse::FinderEnded {
        let (node, data_centre) = (id::Node::from("n"), id::DataCentre::from("dc"));
        let told = [0, 1, 2].map(|incarnation| mark(incarnation, Kind::Withdrawn));
        crashes.apply_marks(&node, &data_centre, &told);
    } else {
        crashes.record_answered(&Subject::from(fatal()), true);
    }
    sleep(Duration::from_secs(20)).await;
    if matches!(lapse, Lapse::LateWrite | Lapse::OlderCopy) {
        source.state.lock().unwrap().kept.clear();
        if lapse == Lapse::LateWrite {
            crashes.apply_kept_marks(&written);
        } else {
            crashes.replace_kept_marks(&written, false);
        }
        sleep(Duration::from_secs(20)).await;
    }
    let kept = source.kept();
    let (fingerprint, marks) = kept.last().expect("the withdrawal is written");
    assert_eq!(*fingerprint, fatal());
    assert_eq!(marks.len(), 3);
    assert!(marks.iter().all(|mark| mark.kind == Kind::Withdrawn));
}

/// Guards against RECOVER: all nodes may be killed before the node that wrote a suspicion has
/// read that again.
#[tokio::test(start_paused = true)]
async fn a_withdrawal_right_after_the_write_is_kept() {
    let source = Kept::default();
    let gateway = Gateway::start(Some(plan()), &[]).await;
    tell_of_deaths(&gateway);
    let (refuse, refused) = mpsc::channel(4);
    keep(&source, &gateway.chain, refused);
    refuse.send(fatal()).await.unwrap();
    sleep(Duration::from_secs(1)).await;
    assert_eq!(source.kept().len(), 1);
    let crashes = &gateway.chain.crashes;
    crashes.record_answered(&Subject::from(fatal()), true);
    let withdrawn = |mark: &Mark| crashes.read(|detector, now| detector.is_outdated(now, mark));
    assert!(source.kept()[0].1.iter().all(withdrawn));
    assert_eq!(crashes.outdated().len(), 1, "known before it is read");
}

/// Nothing is written of requests of which nothing is kept, nor again of those whose
/// withdrawal is kept: calls of the source are limited for all nodes together.
#[tokio::test(start_paused = true)]
async fn a_withdrawal_is_written_only_where_it_is_missing() {
    let source = Kept::default();
    let gateway = Gateway::start(Some(plan()), &[]).await;
    let crashes = &gateway.chain.crashes;
    tell_of_deaths(&gateway);
    keep(&source, &gateway.chain, gateway.refused);
    crashes.record_answered(&Subject::from(fatal()), true);
    sleep(Duration::from_mins(1)).await;
    assert_eq!(source.kept().len(), 0, "nothing was kept");
    let withdrawn = [0, 1, 2].map(|incarnation| mark(incarnation, Kind::Withdrawn));
    crashes.apply_kept_marks(&withdrawn);
    sleep(Duration::from_mins(1)).await;
    assert_eq!(source.kept().len(), 0, "it is kept");
}

/// A gateway that inherits these deaths, and claims trials of `source`.
async fn start_heir(source: &Kept, process: u64, deaths: &[Mark]) -> Gateway {
    let mut gateway = Gateway::start(Some(plan()), &[]).await;
    let (_, claims) = mpsc::channel(1);
    tokio::spawn(controller::quarantine::claim_trials(
        source.clone(),
        gateway.chain.crashes.clone(),
        std::mem::replace(&mut gateway.claims, claims),
        Claimant {
            node: id::Node::from("n"),
            process,
        },
        gateway.chain.metrics.clone(),
    ));
    gateway.chain.crashes.replace_kept_marks(deaths, true);
    gateway
}

/// Guards against RECOVER: nothing can disprove what nodes inherit, so that they agree on
/// one request that is sent all the same.
#[rstest]
#[case::source_answers(0, 0)]
#[case::source_is_away_at_first(3, 0)]
#[case::answer_to_the_claim_is_lost(0, 1)]
#[tokio::test(start_paused = true)]
async fn nodes_that_inherit_a_suspicion_agree_on_a_trial(
    #[case] failures: usize,
    #[case] lost_claims: usize,
) {
    let source = Kept::default();
    source.state.lock().unwrap().failures = failures;
    source.state.lock().unwrap().lost_claims = lost_claims;
    let mut heirs = Vec::new();
    let deaths = [0, 1].map(|incarnation| mark(incarnation, Kind::Died));
    for process in 0..4 {
        heirs.push(start_heir(&source, process, &deaths).await);
    }
    let subject = Subject::from(fatal());
    for heir in &heirs {
        let crashes = &heir.chain.crashes;
        assert!(
            !crashes.obtain_trials(&subject).await,
            "others may know better"
        );
    }
    sleep(Duration::from_secs(6)).await;
    let mut granted = 0;
    for _ in 0..10 {
        for heir in &heirs {
            let crashes = &heir.chain.crashes;
            let is_refused = crashes.read(|detector, now| detector.refused(now, &subject));
            if is_refused.is_some() {
                granted += usize::from(crashes.obtain_trials(&subject).await);
            }
        }
        sleep(Duration::from_millis(700)).await;
    }
    assert_eq!(granted, 1);
}
