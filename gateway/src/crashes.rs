//! Follows requests at endpoints, to find those that crash them.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dottereltally::clock::Clock;
use dottereltally_lib::{
    crash::{self, Change, Detector, Subject, Trial},
    dispatcher::Choice,
    id,
    quarantine::Verdict,
    suspicion::{Mark, Source},
    time,
};
use tokio::{
    sync::{Notify, mpsc, oneshot},
    time::timeout,
};

use crate::{
    metrics::{Evidence, Metrics},
    sync::lock,
};

/// An endpoint to examine.
#[derive(Clone, Debug)]
pub struct Target {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// Its address, `ip:port`.
    pub address: String,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Its service.
    pub service: id::Service,
    /// When a request was lost there.
    pub lost: time::Instant,
}

/// Most refused requests that wait to be kept in the key-value service.
const MAX_REFUSED: usize = 256;

/// Most trials that wait to be claimed.
const MAX_CLAIMS: usize = 16;

/// Time that a request waits for the claim of its trial.
const CLAIM_LIMIT: Duration = Duration::from_millis(300);

/// Most refused requests of which it is known what the key-value service keeps.
const MAX_KEPT: usize = 4096;

/// A trial to claim.
#[derive(Debug)]
pub struct Claim {
    /// The trial.
    pub trial: Trial,
    /// Receives whether this node may use it.
    pub reply: oneshot::Sender<bool>,
}

/// What the detector leaves to other tasks.
pub struct Tasks {
    /// The endpoints to examine; each is named once until its examination has ended.
    pub lost: mpsc::UnboundedReceiver<Target>,
    /// The requests that this node refuses from now on, to be kept in the key-value
    /// service, and those that it does not refuse any more although they are kept.
    pub refused: mpsc::Receiver<id::Fingerprint>,
    /// The trials that this node claims for requests that wait for them.
    pub claims: mpsc::Receiver<Claim>,
}

struct Shared {
    detector: Mutex<Detector>,
    clock: Clock,
    metrics: Metrics,
    lost: mpsc::UnboundedSender<Target>,
    refused: mpsc::Sender<id::Fingerprint>,
    claims: mpsc::Sender<Claim>,
    /// Trials that this node is claiming.
    claiming: Mutex<BTreeSet<Trial>>,
    /// What the key-value service keeps, as last read.
    kept: Mutex<BTreeMap<id::Fingerprint, Vec<Mark>>>,
    /// Signalled when this node found out a death.
    news: Notify,
}

/// Handle of the node's detector of crashing requests; clones share the detector.
#[derive(Clone)]
pub struct Handle {
    shared: Arc<Shared>,
}

impl Handle {
    /// Creates a detector.
    #[must_use]
    pub fn new(clock: Clock, metrics: Metrics) -> (Self, Tasks) {
        let (lost, lost_receiver) = mpsc::unbounded_channel();
        let (refused, refused_receiver) = mpsc::channel(MAX_REFUSED);
        let (claims, claims_receiver) = mpsc::channel(MAX_CLAIMS);
        let shared = Arc::new(Shared {
            detector: Mutex::default(),
            clock,
            metrics,
            lost,
            refused,
            claims,
            claiming: Mutex::default(),
            kept: Mutex::default(),
            news: Notify::new(),
        });
        let tasks = Tasks {
            lost: lost_receiver,
            refused: refused_receiver,
            claims: claims_receiver,
        };
        (Self { shared }, tasks)
    }

    /// Reads from the detector.
    pub fn read<T>(&self, read: impl FnOnce(&Detector, time::Instant) -> T) -> T {
        read(&self.lock(), self.shared.clock.now())
    }

    fn lock(&self) -> MutexGuard<'_, Detector> {
        self.shared
            .detector
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a request is about to be sent to the chosen endpoint.
    ///
    /// # Errors
    ///
    /// Fails with the verdict if it must not be sent.
    pub fn start(
        &self,
        service: &id::Service,
        subject: &Subject,
        choice: &Choice,
    ) -> Result<Flight, Verdict> {
        let now = self.shared.clock.now();
        let attempt = self.lock().start(now, subject.clone(), &choice.endpoint)?;
        let target = Target {
            endpoint: choice.endpoint.clone(),
            address: choice.address.clone(),
            data_centre: choice.data_centre.clone(),
            service: service.clone(),
            lost: now,
        };
        Ok(Flight {
            handle: self.clone(),
            inner: Some((attempt, target)),
        })
    }

    /// Returns the suspicions to report to the other nodes.
    #[must_use]
    pub fn marks_to_share(&self) -> Vec<Mark> {
        let now = self.shared.clock.now();
        self.lock().marks_to_share(now)
    }

    /// Sets whether this node passes on the suspicions that others report.
    pub fn set_relaying(&self, is_relaying: bool) {
        self.lock().set_relaying(is_relaying);
    }

    /// Forgets an endpoint that is no longer listed.
    pub fn forget(&self, endpoint: &id::Endpoint) {
        self.lock().forget(endpoint);
    }

    /// Sets whether the directory can be read.
    pub fn set_directory_available(&self, available: bool) {
        let now = self.shared.clock.now();
        self.lock().set_directory_available(now, available);
    }

    /// Records that a request was answered completely, so that it does not crash
    /// endpoints, and if it was answered `successfully`, neither do the parts of its
    /// prompt.
    pub fn record_answered(&self, subject: &Subject, successfully: bool) {
        let now = self.shared.clock.now();
        let mut detector = self.lock();
        let mut changes: Vec<Change> = detector.clear(now, subject.request).into_iter().collect();
        if successfully {
            changes.extend(detector.clear_parts(now, &subject.parts));
        }
        drop(detector);
        self.publish(changes, "answered");
    }

    /// Waits until this node has found out a death, of which the others don't know.
    pub async fn wait_for_news(&self) {
        self.shared.news.notified().await;
    }

    /// Records that an endpoint was heard.
    pub fn record_heard(&self, endpoint: &id::Endpoint, data_centre: &id::DataCentre) {
        let now = self.shared.clock.now();
        let changes = self.lock().record_heard(now, endpoint, data_centre);
        self.publish(changes, "its endpoint lives");
    }

    /// Records when an endpoint's process started, in milliseconds since the Unix
    /// epoch.
    pub fn record_started(&self, endpoint: &id::Endpoint, started_ms: u64) {
        let now = self.shared.clock.now();
        let changes = self.lock().record_started(now, endpoint, started_ms);
        self.publish(changes, "its endpoint started again");
    }

    /// Records that another endpoint took over an endpoint's address.
    pub fn record_replaced(&self, endpoint: &id::Endpoint) {
        let now = self.shared.clock.now();
        let changes = self.lock().record_replaced(now, endpoint);
        self.publish(changes, "its endpoint's address has another one");
    }

    /// Applies the marks of a heartbeat from a node of a data centre.
    pub fn apply_marks(&self, node: &id::Node, data_centre: &id::DataCentre, marks: &[Mark]) {
        let now = self.shared.clock.now();
        self.lock().record_data_centre_heard(now, data_centre);
        self.take_over(marks, node.as_str());
    }

    /// Applies marks that a node kept in the key-value service while this node ran.
    pub fn apply_kept_marks(&self, marks: &[Mark]) {
        self.record_kept(marks);
        self.take_over(marks, "kept in the key-value service");
    }

    /// Replaces what is known of the key-value service by all marks that it keeps. The node
    /// inherits them if it has just started.
    pub fn replace_kept_marks(&self, marks: &[Mark], is_start: bool) {
        lock(&self.shared.kept).clear();
        self.record_kept(marks);
        if !is_start {
            return self.take_over(marks, "kept in the key-value service");
        }
        let cause = "kept in the key-value service before this node started";
        self.take_over_by(marks, cause, Detector::inherit_mark);
    }

    /// Records what the key-value service keeps of the requests of these marks.
    pub fn record_kept(&self, marks: &[Mark]) {
        let mut kept = lock(&self.shared.kept);
        for of_request in marks.chunk_by(|left, right| left.fingerprint == right.fingerprint) {
            kept.insert(of_request[0].fingerprint, of_request.to_vec());
        }
        while kept.len() > MAX_KEPT {
            kept.pop_first();
        }
    }

    /// Records that nothing is kept of a request any more.
    pub fn record_kept_end(&self, fingerprint: id::Fingerprint) {
        lock(&self.shared.kept).remove(&fingerprint);
    }

    /// Returns what this node knows to be later than what is kept, by request.
    #[must_use]
    pub fn outdated(&self) -> Vec<(id::Fingerprint, Vec<Mark>)> {
        let now = self.shared.clock.now();
        let kept = lock(&self.shared.kept);
        let detector = self.lock();
        let mut outdated = Vec::new();
        for (fingerprint, marks) in kept.iter() {
            if !marks.iter().any(|mark| detector.is_outdated(now, mark)) {
                continue;
            }
            let is_kept = |known: &Mark| {
                let mut marks = marks.iter();
                marks.any(|mark| mark.incarnation == known.incarnation)
            };
            let mut records = detector.records(now, *fingerprint);
            records.retain(is_kept);
            outdated.push((*fingerprint, records));
        }
        outdated
    }

    /// Records that some node claimed a trial, as read from the key-value service, perhaps
    /// when this node started.
    pub fn record_trial(&self, trial: Trial, is_start: bool) {
        let now = self.shared.clock.now();
        let source = if is_start {
            Source::Inherited
        } else {
            Source::Reported
        };
        self.lock().record_trial(now, trial, source);
    }

    /// Claims the trials that a refused request needs; returns whether it may be sent. A
    /// claim that takes too long goes on, for a later request.
    pub async fn obtain_trials(&self, subject: &Subject) -> bool {
        let claimable = self.read(|detector, now| detector.claimable(now, subject));
        for trial in claimable.unwrap_or_default() {
            if !lock(&self.shared.claiming).insert(trial) {
                return false;
            }
            let (reply, replied) = oneshot::channel();
            if self.shared.claims.try_send(Claim { trial, reply }).is_err() {
                lock(&self.shared.claiming).remove(&trial);
                tracing::warn!(fingerprint = %trial.fingerprint, "trial of a refused request not claimed: too many wait");
                return false;
            }
            if !matches!(timeout(CLAIM_LIMIT, replied).await, Ok(Ok(true))) {
                return false;
            }
        }
        self.read(|detector, now| detector.refused(now, subject).is_none())
    }

    /// Records whether a claim gave a trial to this node, or to another one.
    pub fn record_claim(&self, trial: Trial, is_granted: bool) {
        let now = self.shared.clock.now();
        if is_granted {
            self.lock().grant(now, trial);
        } else {
            self.lock().record_trial(now, trial, Source::Reported);
        }
    }

    /// Records that a claim has ended, also if its result is not known.
    pub fn end_claim(&self, trial: Trial) {
        lock(&self.shared.claiming).remove(&trial);
    }

    /// Applies marks of other nodes, with the cause for the log.
    fn take_over(&self, marks: &[Mark], cause: &str) {
        self.take_over_by(marks, cause, Detector::apply_mark);
    }

    fn take_over_by(
        &self,
        marks: &[Mark],
        cause: &str,
        apply: impl Fn(&mut Detector, time::Instant, Mark) -> Option<Change>,
    ) {
        let now = self.shared.clock.now();
        for mark in marks {
            let change = apply(&mut self.lock(), now, *mark);
            let Some(change) = change else {
                continue;
            };
            self.shared.metrics.crash_evidence(Evidence::Received);
            // The node that suspects the request has a line of its own for it.
            if change.decisive {
                self.log([change], cause);
            }
        }
    }

    /// Ends the examination of an endpoint that started at `started`; returns
    /// whether it must be examined again.
    #[must_use]
    pub fn conclude(
        &self,
        target: &Target,
        started: time::Instant,
        finding: crash::Finding,
    ) -> bool {
        let now = self.shared.clock.now();
        self.shared.metrics.endpoint_examined(finding);
        let (changes, again) = self
            .lock()
            .conclude(now, &target.endpoint, started, finding);
        for change in &changes {
            if change.verdict != Verdict::Clear {
                self.shared.metrics.crash_evidence(Evidence::Death);
            }
        }
        self.publish(changes, target.endpoint.as_str());
        again
    }

    /// Drops expired evidence, and logs what was dropped for lack of space; to be
    /// called periodically.
    pub fn maintain(&self) {
        let now = self.shared.clock.now();
        let changes = self.lock().review(now);
        self.log(changes, "deaths of endpoints known to this node");
        let refused_parts = self.lock().refused_parts();
        let refused_parts = i64::try_from(refused_parts).unwrap_or(i64::MAX);
        self.shared.metrics.refused_parts.set(refused_parts);
        let dropped = self.lock().maintain(now);
        if dropped > 0 {
            self.shared.metrics.crash_evidence_dropped(dropped);
            tracing::warn!(dropped, "evidence about crashing requests dropped");
        }
    }

    /// Logs what this node found out about requests, with the cause, and has withdrawals
    /// kept, and deaths of what was refused before. Nodes that are told of them leave that to
    /// this one at first.
    fn publish(&self, changes: impl IntoIterator<Item = Change>, cause: &str) {
        for change in changes {
            let is_kept = || lock(&self.shared.kept).contains_key(&change.fingerprint);
            let is_outdated = match change.verdict {
                Verdict::Clear => is_kept(),
                Verdict::Suspect => false,
                Verdict::Confirmed => change.own && !change.decisive,
            };
            if is_outdated {
                self.keep(change.fingerprint);
            }
            self.log([change], cause);
        }
    }

    /// Has what is known of a request kept in the key-value service.
    fn keep(&self, fingerprint: id::Fingerprint) {
        if self.shared.refused.try_send(fingerprint).is_err() {
            tracing::warn!(%fingerprint, "quarantine not kept: too many requests wait for it");
        }
    }

    /// Logs what changed about requests, with the cause: an event, the endpoint
    /// that died, or the node that reported it.
    fn log(&self, changes: impl IntoIterator<Item = Change>, cause: &str) {
        for change in changes {
            let message = match (change.fingerprint.is_part(), change.verdict) {
                (false, Verdict::Clear) => "request no longer suspected of crashing endpoints",
                (false, Verdict::Suspect) => "request suspected of crashing endpoints",
                (false, Verdict::Confirmed) => "request quarantined: it crashes endpoints",
                (true, Verdict::Clear) => "prompt part no longer suspected of crashing endpoints",
                (true, Verdict::Suspect) => "prompt part suspected of crashing endpoints",
                (true, Verdict::Confirmed) => "prompt part quarantined: it crashes endpoints",
            };
            if change.own && change.verdict != Verdict::Clear {
                self.shared.news.notify_one();
            }
            if change.decisive && change.own && change.verdict == Verdict::Confirmed {
                self.keep(change.fingerprint);
            }
            if change.verdict == Verdict::Clear {
                self.shared.metrics.crash_evidence(Evidence::Withdrawn);
            }
            tracing::info!(
                fingerprint = %change.fingerprint,
                died = change.count.died,
                silent = change.count.silent,
                cause,
                "{message}"
            );
        }
    }
}

/// A request at an endpoint; dropping it records that no answer came.
pub struct Flight {
    handle: Handle,
    inner: Option<(crash::Attempt, Target)>,
}

impl Flight {
    /// Records that the attempt ended with an answer, or that it did not run.
    pub fn finish(mut self) {
        if let Some((attempt, _)) = self.inner.take() {
            self.handle.lock().finish(&attempt);
        }
    }

    /// Records that the attempt ended with an answer that is complete only if its
    /// endpoint lives, which is then examined.
    pub fn finish_unconfirmed(mut self) {
        if let Some((attempt, target)) = self.inner.take() {
            let now = self.handle.shared.clock.now();
            let is_first = self.handle.lock().finish_unconfirmed(now, attempt);
            self.examine(is_first, now, target);
        }
    }

    /// Has the endpoint examined, unless an examination is under way.
    fn examine(&self, is_first: bool, lost: time::Instant, mut target: Target) {
        if !is_first {
            return;
        }
        target.lost = lost;
        let endpoint = target.endpoint.clone();
        if self.handle.shared.lost.send(target).is_err() {
            tracing::error!(%endpoint, "nothing examines the endpoint of a lost request");
        }
    }

    /// Records that its endpoint was heard.
    pub fn record_heard(&self) {
        if let Some((_, target)) = &self.inner {
            self.handle
                .record_heard(&target.endpoint, &target.data_centre);
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let Some((attempt, target)) = self.inner.take() else {
            return;
        };
        let now = self.handle.shared.clock.now();
        self.handle.shared.metrics.crash_evidence(Evidence::Loss);
        let is_first = self.handle.lock().lose(now, attempt);
        self.examine(is_first, now, target);
    }
}
