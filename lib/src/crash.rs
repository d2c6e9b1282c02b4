//! Detects requests that crash the endpoints they run on.
//!
//! A request that got no answer is a loss. Its endpoint is then examined: if the
//! endpoint died or fell silent, the request is suspected
//! ([`crate::suspicion`]). Whatever else shows the endpoint's death, such as
//! another process under its name, counts as well.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    mem,
    sync::Arc,
    time::Duration,
};

use derive_more::Display;

use crate::{
    answered::Memory,
    id,
    quarantine::Verdict,
    suspicion::{
        CONFIRMING_PART_LOSSES, Count, Evidence, Kind, Mark, Register, SUSPICION_TTL, Source,
        TRIAL_TTL,
    },
    time,
};

/// Time for which a loss is kept for evidence that its endpoint died.
const LOSS_TTL: Duration = Duration::from_secs(10);

/// Most losses that are kept.
const MAX_LOSSES: usize = 1000;

/// Time after a death within which the directory names the next process of the
/// endpoint, if there is one. What is heard under its name later comes from the
/// process that was taken for dead.
const RESTART_NOTICE: Duration = Duration::from_secs(5);

/// What may crash endpoints: a request, or a part of its prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Subject {
    /// The request.
    pub request: id::Fingerprint,
    /// The parts that other requests may share.
    pub parts: Arc<[id::Fingerprint]>,
}

impl From<id::Fingerprint> for Subject {
    fn from(request: id::Fingerprint) -> Self {
        Self {
            request,
            parts: Arc::default(),
        }
    }
}

impl Subject {
    fn all(&self) -> impl Iterator<Item = id::Fingerprint> {
        std::iter::once(self.request).chain(self.parts.iter().copied())
    }
}

/// A request that runs at an endpoint.
#[derive(Debug)]
#[must_use = "an attempt that is not ended counts as running"]
pub struct Attempt {
    subject: Subject,
    endpoint: id::Endpoint,
    incarnation: id::Incarnation,
    started: time::Instant,
}

impl Attempt {
    /// Returns the request.
    #[must_use]
    pub fn fingerprint(&self) -> id::Fingerprint {
        self.subject.request
    }
}

/// Result of the examination of an endpoint.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Finding {
    /// Its process answered.
    #[display("alive")]
    Alive,
    /// Nothing or another process answers at its address.
    #[display("dead")]
    Dead,
    /// It does not respond, while others in its data centre do.
    #[display("silent")]
    Silent,
    /// Nothing in its data centre responds, so that it can't be judged.
    #[display("unreachable")]
    Unreachable,
    /// It was leaving, so that its end has another cause.
    #[display("leaving")]
    Leaving,
}

impl Finding {
    /// Returns what it means for the requests lost at the endpoint.
    fn kind(self) -> Option<Kind> {
        match self {
            Self::Dead => Some(Kind::Died),
            Self::Silent => Some(Kind::Silent),
            Self::Alive | Self::Unreachable | Self::Leaving => None,
        }
    }
}

/// A request that got no answer.
#[derive(Clone, Debug)]
struct Loss {
    attempt_started: time::Instant,
    subject: Subject,
    endpoint: id::Endpoint,
    incarnation: id::Incarnation,
    at: time::Instant,
    /// Whether it got an answer that may be complete.
    is_answered: bool,
    /// Whether the endpoint has been examined since.
    examined: bool,
}

/// A trial that the nodes must agree on before a refused request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Trial {
    /// The request, or the part that stands for those at the same deaths.
    pub fingerprint: id::Fingerprint,
    /// Number of the trial; each number is given to one node.
    pub number: u32,
}

/// A change of what is known about a request or a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The request or part.
    pub fingerprint: id::Fingerprint,
    /// Whether it changes whether the request is refused.
    pub decisive: bool,
    /// What is known now.
    pub verdict: Verdict,
    /// The deaths at which it ran.
    pub count: Count,
    /// Whether this node found out one of them itself.
    pub own: bool,
}

/// One node's record of requests that may crash endpoints.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    register: Register,
    /// Parts that were answered lately.
    answered: Memory,
    /// Parts that were refused at the last [`Self::review`], and whether for as long as
    /// their deaths are known.
    refused_parts: BTreeMap<id::Fingerprint, bool>,
    /// Numbers of copies of each request, and of requests with each part, that this node
    /// runs.
    running: BTreeMap<id::Fingerprint, usize>,
    losses: VecDeque<Loss>,
    /// Losses that were dropped for lack of space.
    dropped_losses: u64,
    /// Endpoints that are being examined.
    examining: BTreeSet<id::Endpoint>,
    /// Start time of each endpoint's process, milliseconds since the Unix epoch.
    started: BTreeMap<id::Endpoint, u64>,
    /// When each endpoint was last heard.
    heard: BTreeMap<id::Endpoint, time::Instant>,
    /// When anything in each data centre was last heard.
    heard_data_centres: BTreeMap<id::DataCentre, time::Instant>,
    /// When each endpoint process that died or fell silent was found so.
    dead: BTreeMap<id::Incarnation, time::Instant>,
    /// While the directory can't be read, restarts go unnoticed.
    directory: Directory,
    /// Until when this node may use each trial that it claimed.
    trials: BTreeMap<id::Fingerprint, time::Instant>,
}

/// Whether the directory can be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Directory {
    #[default]
    Available,
    Unavailable,
    /// It is available again since this time.
    Restored(time::Instant),
}

impl Detector {
    /// Returns whether the request is known or suspected to crash endpoints.
    #[must_use]
    pub fn verdict(&self, now: time::Instant, fingerprint: id::Fingerprint) -> Verdict {
        self.register.verdict(now, fingerprint)
    }

    /// Returns for how long a request is still refused; `None` if it is not.
    #[must_use]
    pub fn refused_for(
        &self,
        now: time::Instant,
        fingerprint: id::Fingerprint,
    ) -> Option<Duration> {
        self.register.refused_for(now, fingerprint)
    }

    /// Returns after how long the caller of a refused request should come back; `None` if
    /// it is not refused.
    #[must_use]
    pub fn retry_after(
        &self,
        now: time::Instant,
        fingerprint: id::Fingerprint,
    ) -> Option<Duration> {
        self.register.retry_after(now, fingerprint)
    }

    /// Returns what is known to crash endpoints: the request, or a part of its prompt;
    /// `None` if it may be sent, also as a trial that this node claimed.
    ///
    /// Where several parts were at the same deaths, a request with only some of them may
    /// be sent: it is answered, or leaves fewer parts in question.
    #[must_use]
    pub fn refused(&self, now: time::Instant, subject: &Subject) -> Option<id::Fingerprint> {
        let mut all = subject.all();
        all.find(|fingerprint| {
            let refused = self.refused_as(now, subject, *fingerprint);
            refused.is_some_and(|tried| !self.may_try(now, tried))
        })
    }

    /// Returns what must be tried before a request may be sent for which this request or
    /// part is refused: itself, or the part that stands for those at the same deaths.
    /// `None` if it is not refused.
    fn refused_as(
        &self,
        now: time::Instant,
        subject: &Subject,
        fingerprint: id::Fingerprint,
    ) -> Option<id::Fingerprint> {
        if self.verdict(now, fingerprint) != Verdict::Confirmed {
            return None;
        }
        if !fingerprint.is_part() {
            return Some(fingerprint);
        }
        let mut first = fingerprint;
        for co_suspect in self.register.co_suspects(now, fingerprint) {
            if !subject.parts.contains(&co_suspect) {
                return None;
            }
            first = first.min(co_suspect);
        }
        Some(first)
    }

    /// Returns whether this node may use a trial that it claimed.
    fn may_try(&self, now: time::Instant, fingerprint: id::Fingerprint) -> bool {
        self.trials
            .get(&fingerprint)
            .is_some_and(|until| *until > now)
    }

    /// Returns the trials that must be claimed so that a refused request may be sent;
    /// `None` if it is refused for something that can't be tried now.
    #[must_use]
    pub fn claimable(&self, now: time::Instant, subject: &Subject) -> Option<BTreeSet<Trial>> {
        let mut trials = BTreeSet::new();
        for fingerprint in subject.all() {
            let Some(fingerprint) = self.refused_as(now, subject, fingerprint) else {
                continue;
            };
            if self.may_try(now, fingerprint) {
                continue;
            }
            let number = self.register.next_trial(now, fingerprint)?;
            trials.insert(Trial {
                fingerprint,
                number,
            });
        }
        Some(trials)
    }

    /// Ends the trials that a request uses which is sent now.
    fn use_trials(&mut self, now: time::Instant, subject: &Subject) {
        if self.trials.is_empty() {
            return;
        }
        for fingerprint in subject.all() {
            if let Some(tried) = self.refused_as(now, subject, fingerprint) {
                self.trials.remove(&tried);
            }
        }
    }

    /// Records that this node claimed a trial; the next request that is refused for it is
    /// sent.
    pub fn grant(&mut self, now: time::Instant, trial: Trial) {
        self.trials.insert(trial.fingerprint, now + TRIAL_TTL);
        self.record_trial(now, trial, Source::Reported);
    }

    /// Records that some node claimed a trial.
    pub fn record_trial(&mut self, now: time::Instant, trial: Trial, source: Source) {
        let Trial {
            fingerprint,
            number,
        } = trial;
        self.register.record_trial(now, fingerprint, number, source);
    }

    /// Records that a request is about to be sent to an endpoint.
    ///
    /// # Errors
    ///
    /// Fails with the verdict if the request must not be sent: it or a part of its
    /// prompt is known to crash endpoints, or it is suspected and already runs at this
    /// node, or was lost at an endpoint that is still being examined.
    pub fn start(
        &mut self,
        now: time::Instant,
        subject: impl Into<Subject>,
        endpoint: &id::Endpoint,
    ) -> Result<Attempt, Verdict> {
        let subject = subject.into();
        let fingerprint = subject.request;
        if self.refused(now, &subject).is_some() {
            return Err(Verdict::Confirmed);
        }
        let verdict = self.verdict(now, fingerprint);
        if verdict != Verdict::Clear && self.is_unsettled(fingerprint) {
            return Err(verdict);
        }
        for part in subject.parts.iter() {
            if self.register.is_implicated(now, *part) && self.is_unsettled(*part) {
                return Err(Verdict::Suspect);
            }
        }
        for fingerprint in subject.all() {
            *self.running.entry(fingerprint).or_default() += 1;
        }
        self.use_trials(now, &subject);
        Ok(Attempt {
            subject,
            endpoint: endpoint.clone(),
            incarnation: self.incarnation(endpoint),
            started: now,
        })
    }

    /// Records that an attempt ended with an answer, or that it did not run.
    pub fn finish(&mut self, attempt: &Attempt) {
        for fingerprint in attempt.subject.all() {
            let Some(running) = self.running.get_mut(&fingerprint) else {
                continue;
            };
            *running -= 1;
            if *running == 0 {
                self.running.remove(&fingerprint);
            }
        }
    }

    /// Records that an attempt ended without a complete answer; returns whether
    /// the examination of its endpoint must now start (see [`Self::conclude`]).
    pub fn lose(&mut self, now: time::Instant, attempt: Attempt) -> bool {
        self.record_loss(now, attempt, false)
    }

    /// Records that an attempt ended with an answer that is complete only if its
    /// endpoint lives: nothing but the end of the connection showed its end. Returns
    /// whether the examination of the endpoint must now start.
    pub fn finish_unconfirmed(&mut self, now: time::Instant, attempt: Attempt) -> bool {
        self.record_loss(now, attempt, true)
    }

    fn record_loss(&mut self, now: time::Instant, attempt: Attempt, is_answered: bool) -> bool {
        self.finish(&attempt);
        if self.losses.len() >= MAX_LOSSES {
            self.losses.pop_front();
            self.dropped_losses += 1;
        }
        let endpoint = attempt.endpoint.clone();
        self.losses.push_back(Loss {
            attempt_started: attempt.started,
            subject: attempt.subject,
            endpoint: attempt.endpoint,
            incarnation: attempt.incarnation,
            at: now,
            is_answered,
            examined: false,
        });
        self.examining.insert(endpoint)
    }

    /// Records that a request was answered completely, which clears it; returns
    /// the change, if it was suspected.
    pub fn clear(&mut self, now: time::Instant, fingerprint: id::Fingerprint) -> Option<Change> {
        self.losses
            .retain(|loss| loss.subject.request != fingerprint);
        self.withdraw(now, fingerprint)
    }

    /// Records that a request with these parts was answered completely and
    /// successfully, which clears them; returns the changes.
    pub fn clear_parts(&mut self, now: time::Instant, parts: &[id::Fingerprint]) -> Vec<Change> {
        let mut changes = Vec::new();
        for part in parts {
            self.answered.record(now, *part);
            changes.extend(self.withdraw(now, *part));
        }
        changes
    }

    fn withdraw(&mut self, now: time::Instant, fingerprint: id::Fingerprint) -> Option<Change> {
        let previous = self.verdict(now, fingerprint);
        let withdrawn = self.register.withdraw_request(now, fingerprint);
        withdrawn.then(|| self.change(now, fingerprint, previous))
    }

    /// Records that an endpoint was heard. Returns the requests that are cleared
    /// because it had been taken for dead.
    pub fn record_heard(
        &mut self,
        now: time::Instant,
        endpoint: &id::Endpoint,
        data_centre: &id::DataCentre,
    ) -> Vec<Change> {
        insert(&mut self.heard, endpoint, now);
        self.record_data_centre_heard(now, data_centre);
        if self.dead.is_empty() {
            return Vec::new();
        }
        let incarnation = self.incarnation(endpoint);
        let Some(died) = self.dead.get(&incarnation) else {
            return Vec::new();
        };
        if now.since(*died) < RESTART_NOTICE || !self.is_directory_current(now) {
            return Vec::new();
        }
        self.dead.remove(&incarnation);
        let mut changes = Vec::new();
        for fingerprint in self.register.suspects(now, incarnation) {
            let previous = self.verdict(now, fingerprint);
            self.register.withdraw_death(now, fingerprint, incarnation);
            changes.push(self.change(now, fingerprint, previous));
        }
        changes
    }

    /// Records that an endpoint or a node of a data centre was heard.
    pub fn record_data_centre_heard(&mut self, now: time::Instant, data_centre: &id::DataCentre) {
        insert(&mut self.heard_data_centres, data_centre, now);
    }

    /// Returns whether an endpoint was heard after a time.
    #[must_use]
    pub fn is_heard_since(&self, endpoint: &id::Endpoint, since: time::Instant) -> bool {
        self.heard.get(endpoint).is_some_and(|at| *at > since)
    }

    /// Returns whether anything in a data centre was heard after a time.
    #[must_use]
    pub fn is_data_centre_heard_since(
        &self,
        data_centre: &id::DataCentre,
        since: time::Instant,
    ) -> bool {
        let heard = self.heard_data_centres.get(data_centre);
        heard.is_some_and(|at| *at > since)
    }

    /// Returns whether the current process of an endpoint is taken for dead.
    #[must_use]
    pub fn is_dead(&self, endpoint: &id::Endpoint) -> bool {
        self.dead.contains_key(&self.incarnation(endpoint))
    }

    /// Returns the number of endpoints that are being examined.
    #[must_use]
    pub fn examinations(&self) -> usize {
        self.examining.len()
    }

    /// Applies the finding of an examination that started at `started`. Returns
    /// the changes, and whether the endpoint must be examined again, because a
    /// request was lost after it was found alive.
    pub fn conclude(
        &mut self,
        now: time::Instant,
        endpoint: &id::Endpoint,
        started: time::Instant,
        finding: Finding,
    ) -> (Vec<Change>, bool) {
        if finding == Finding::Leaving {
            self.losses.retain(|loss| loss.endpoint != *endpoint);
        }
        let Some(kind) = finding.kind() else {
            let mut again = false;
            for loss in &mut self.losses {
                if loss.endpoint != *endpoint || loss.examined {
                    continue;
                }
                loss.examined = loss.at <= started || finding != Finding::Alive;
                again |= !loss.examined;
            }
            if !again {
                self.examining.remove(endpoint);
            }
            let mut changes = Vec::new();
            if finding == Finding::Alive {
                changes = self.clear_answered(now, endpoint);
            }
            return (changes, again);
        };
        self.examining.remove(endpoint);
        let changes = self.record_death(now, kind, |loss| {
            loss.endpoint == *endpoint && !loss.examined
        });
        (changes, false)
    }

    /// Clears the requests whose answers are confirmed, as their endpoint was found
    /// alive.
    fn clear_answered(&mut self, now: time::Instant, endpoint: &id::Endpoint) -> Vec<Change> {
        let mut changes = Vec::new();
        let losses = mem::take(&mut self.losses);
        let is_complete =
            |loss: &Loss| loss.is_answered && loss.examined && loss.endpoint == *endpoint;
        let (complete, others): (Vec<Loss>, Vec<Loss>) = losses.into_iter().partition(is_complete);
        self.losses = others.into();
        for loss in complete {
            changes.extend(self.clear(now, loss.subject.request));
            changes.extend(self.clear_parts(now, &loss.subject.parts));
        }
        changes
    }

    /// Records when an endpoint's process started, in milliseconds since the Unix
    /// epoch, as the directory names it. Returns the changes, if the process
    /// replaces another one, which thus died.
    pub fn record_started(
        &mut self,
        now: time::Instant,
        endpoint: &id::Endpoint,
        started_ms: u64,
    ) -> Vec<Change> {
        let previous = self.started.insert(endpoint.clone(), started_ms);
        if previous.is_none_or(|previous| previous == started_ms) {
            return Vec::new();
        }
        let incarnation = id::Incarnation::new(endpoint, previous);
        self.record_death(now, Kind::Died, |loss| loss.incarnation == incarnation)
    }

    /// Records that another endpoint took over an endpoint's address, which thus
    /// died; returns the changes.
    pub fn record_replaced(&mut self, now: time::Instant, endpoint: &id::Endpoint) -> Vec<Change> {
        self.record_death(now, Kind::Died, |loss| loss.endpoint == *endpoint)
    }

    /// Forgets an endpoint that is no longer listed.
    pub fn forget(&mut self, endpoint: &id::Endpoint) {
        self.started.remove(endpoint);
        self.heard.remove(endpoint);
    }

    /// Sets whether the directory can be read.
    pub fn set_directory_available(&mut self, now: time::Instant, available: bool) {
        self.directory = match (available, self.directory) {
            (false, _) => Directory::Unavailable,
            (true, Directory::Unavailable) => Directory::Restored(now),
            (true, state) => state,
        };
    }

    /// Sets whether this node passes on the suspicions that others report.
    pub fn set_relaying(&mut self, is_relaying: bool) {
        self.register.set_relaying(is_relaying);
    }

    /// Returns the suspicions to report to the other nodes.
    pub fn marks_to_share(&mut self, now: time::Instant) -> Vec<Mark> {
        self.register.share(now)
    }

    /// Returns the numbers of deaths at which a request or part was.
    #[must_use]
    pub fn count(&self, now: time::Instant, fingerprint: id::Fingerprint) -> Count {
        self.register.count(now, fingerprint)
    }

    /// Returns what this node believes of a request or part; `None` if nothing is held
    /// against it.
    #[must_use]
    pub fn evidence(&self, now: time::Instant, fingerprint: id::Fingerprint) -> Option<Evidence> {
        self.register.evidence(now, fingerprint)
    }

    /// Returns everything that is known of a request, also what was withdrawn.
    #[must_use]
    pub fn records(&self, now: time::Instant, fingerprint: id::Fingerprint) -> Vec<Mark> {
        self.register.records(now, fingerprint)
    }

    /// Returns whether this node knows something later of the death that a mark names.
    #[must_use]
    pub fn is_outdated(&self, now: time::Instant, mark: &Mark) -> bool {
        self.register.is_outdated(now, mark)
    }

    /// Applies a mark received from another node; returns the change, if there is
    /// one.
    pub fn apply_mark(&mut self, now: time::Instant, mark: Mark) -> Option<Change> {
        self.take_over(now, mark, Register::apply)
    }

    /// Applies a mark that the key-value service had when this node started; returns the
    /// change, if there is one.
    pub fn inherit_mark(&mut self, now: time::Instant, mark: Mark) -> Option<Change> {
        self.take_over(now, mark, Register::inherit)
    }

    fn take_over(
        &mut self,
        now: time::Instant,
        mark: Mark,
        apply: impl FnOnce(&mut Register, time::Instant, Mark) -> bool,
    ) -> Option<Change> {
        let previous = self.verdict(now, mark.fingerprint);
        let changed = apply(&mut self.register, now, mark);
        if self.answered.was_answered_before(mark.fingerprint, now) {
            // The next heartbeats announce it.
            return self.withdraw(now, mark.fingerprint);
        }
        changed.then(|| self.change(now, mark.fingerprint, previous))
    }

    /// Returns the parts that are refused or refused for longer since the last call, and
    /// those that are not any more; to be called periodically.
    pub fn review(&mut self, now: time::Instant) -> Vec<Change> {
        let mut refused = BTreeMap::new();
        for part in self.register.implicated_parts(now) {
            if self.verdict(now, part) == Verdict::Confirmed {
                let count = self.register.count(now, part);
                let is_certain = count.died + count.silent >= CONFIRMING_PART_LOSSES;
                refused.insert(part, is_certain);
            }
        }
        let previous = mem::replace(&mut self.refused_parts, refused);
        let parts = previous.keys().chain(self.refused_parts.keys());
        let parts: BTreeSet<id::Fingerprint> = parts.copied().collect();
        let mut changes = Vec::new();
        for part in parts {
            if previous.get(&part) == self.refused_parts.get(&part) {
                continue;
            }
            changes.push(Change {
                decisive: true,
                ..self.change(now, part, Verdict::Clear)
            });
        }
        changes
    }

    /// Returns the number of parts that were refused at the last [`Self::review`].
    #[must_use]
    pub fn refused_parts(&self) -> usize {
        self.refused_parts.len()
    }

    /// Drops what has expired; to be called periodically. Returns how many losses
    /// and suspicions were dropped for lack of space since the last call.
    pub fn maintain(&mut self, now: time::Instant) -> u64 {
        self.losses.retain(|loss| now.since(loss.at) < LOSS_TTL);
        self.heard.retain(|_, at| now.since(*at) < LOSS_TTL);
        self.dead.retain(|_, died| now.since(*died) < SUSPICION_TTL);
        self.trials.retain(|_, until| *until > now);
        mem::take(&mut self.dropped_losses) + self.register.take_dropped()
    }

    /// Suspects the requests whose losses match of an endpoint's death, and drops
    /// these losses.
    fn record_death(
        &mut self,
        now: time::Instant,
        kind: Kind,
        matches: impl Fn(&Loss) -> bool,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        for loss in mem::take(&mut self.losses) {
            if !matches(&loss) {
                self.losses.push_back(loss);
                continue;
            }
            let died = *self.dead.entry(loss.incarnation).or_insert(now);
            // A process that was dead before did not run the request.
            if loss.attempt_started > died {
                continue;
            }
            for fingerprint in loss.subject.all() {
                if self.answered.was_answered_before(fingerprint, loss.at) {
                    continue;
                }
                let previous = self.verdict(now, fingerprint);
                if self
                    .register
                    .record(now, fingerprint, loss.incarnation, kind)
                {
                    changes.push(self.change(now, fingerprint, previous));
                }
            }
        }
        changes
    }

    /// Returns whether a request, or one with a part, runs at this node or was lost at an
    /// endpoint that is still being examined.
    fn is_unsettled(&self, fingerprint: id::Fingerprint) -> bool {
        let mut losses = self.losses.iter();
        self.running.contains_key(&fingerprint)
            || losses
                .any(|loss| !loss.examined && loss.subject.all().any(|lost| lost == fingerprint))
    }

    fn incarnation(&self, endpoint: &id::Endpoint) -> id::Incarnation {
        id::Incarnation::new(endpoint, self.started.get(endpoint).copied())
    }

    fn is_directory_current(&self, now: time::Instant) -> bool {
        match self.directory {
            Directory::Available => true,
            Directory::Unavailable => false,
            Directory::Restored(at) => now.since(at) >= RESTART_NOTICE,
        }
    }

    fn change(
        &self,
        now: time::Instant,
        fingerprint: id::Fingerprint,
        previous: Verdict,
    ) -> Change {
        let verdict = self.verdict(now, fingerprint);
        let refused = |verdict| verdict == Verdict::Confirmed;
        Change {
            fingerprint,
            decisive: refused(previous) != refused(verdict),
            verdict,
            count: self.register.count(now, fingerprint),
            own: self.register.is_own(now, fingerprint),
        }
    }
}

/// Inserts a time; allocates only for a new key.
fn insert<K: Clone + Ord>(times: &mut BTreeMap<K, time::Instant>, key: &K, now: time::Instant) {
    if let Some(at) = times.get_mut(key) {
        *at = now;
    } else {
        times.insert(key.clone(), now);
    }
}
