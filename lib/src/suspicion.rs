//! Requests, and parts of prompts, suspected of crashing endpoints, as known to one node.
//!
//! Each suspicion is one request or part at the death of one endpoint process. Nodes share
//! their suspicions and take over those of others, so that each of them counts the
//! deaths of the whole cluster, in whatever order they become known.
//!
//! At a death, every request at the endpoint and each part of its prompt is suspected. A
//! part is refused only after more deaths than a request, and not for deaths that
//! another part or a request explains better, because it was at more of them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use derive_more::{Display, Error};

use crate::{id, quarantine::Verdict, time};

/// Time for which a suspicion is kept.
pub const SUSPICION_TTL: Duration = Duration::from_mins(10);

/// Time for which a request is refused that was at two deaths. It may have been
/// there by chance, so it then runs again; a third death settles it.
const TRIAL_DELAY: Duration = Duration::from_secs(30);

/// Deaths and silences after which a request is refused for as long as they are
/// known.
const CONFIRMING_LOSSES: usize = 3;

/// Deaths after which a request is refused for [`TRIAL_DELAY`].
const SUSPICIOUS_DEATHS: usize = 2;

/// Deaths and silences after which requests with a part are refused for
/// [`TRIAL_DELAY`]. Then one may run again at the nodes that found out a death: in a
/// large fleet these are few.
const PART_LOSSES: usize = 3;

/// Deaths and silences after which requests with a part are refused for as long as
/// enough of them are known.
pub const CONFIRMING_PART_LOSSES: usize = 5;

/// Time that other nodes have to withdraw the suspicion against a part of which they
/// know a complete answer.
const WITHDRAWAL_TIME: Duration = Duration::from_millis(500);

/// Most suspicions that are kept.
const MAX_SUSPICIONS: usize = 4096;

/// Time for which a node shares what it found out itself in every report.
const NEWS_TIME: Duration = Duration::from_secs(5);

/// Most suspicions in one report.
const MAX_SHARED: usize = 32;

/// Most suspicions in one report that are not news; each node gets reports of all
/// others.
const MAX_REPEATED: usize = 4;

/// Time from the start of a node until it may try what it refuses for suspicions that it
/// inherited only. Within that time, each node that knows of a withdrawal reports it.
const INHERITED_TRIAL_DELAY: Duration = NEWS_TIME;

/// Time from the last death until any node may try what is not refused for certain. The
/// nodes that found out a death try it after [`TRIAL_DELAY`]; none of them may be left.
const FLEET_TRIAL_DELAY: Duration = Duration::from_mins(1);

/// Time for which a node may use a trial that it claimed.
pub const TRIAL_TTL: Duration = Duration::from_secs(10);

/// Time after which a refused caller comes back that may be the trial, or while it runs.
const TRIAL_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Most trials that the nodes agree on, of one request or part, in [`SUSPICION_TTL`].
const MAX_TRIALS: u32 = 2;

/// Shortest validity of a suspicion that is taken over from another node. What
/// expires here is thus not restored by a node on which it expires a little later.
const MIN_VALIDITY: Duration = Duration::from_secs(1);

/// What is known about an endpoint that ran the request; a later one replaces an
/// earlier one.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// The endpoint fell silent; it may have died or be cut off.
    #[display("silent")]
    Silent,
    /// The endpoint died.
    #[display("died")]
    Died,
    /// The endpoint lives, or the request was answered elsewhere.
    #[display("withdrawn")]
    Withdrawn,
}

impl From<Kind> for u8 {
    fn from(kind: Kind) -> Self {
        match kind {
            Kind::Silent => 1,
            Kind::Died => 2,
            Kind::Withdrawn => 3,
        }
    }
}

/// A number that stands for no [`Kind`].
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("no kind of suspicion has the number {_0}; run the same version on all nodes")]
pub struct UnknownKind(#[error(not(source))] pub u8);

impl TryFrom<u8> for Kind {
    type Error = UnknownKind;

    fn try_from(number: u8) -> Result<Self, UnknownKind> {
        match number {
            1 => Ok(Self::Silent),
            2 => Ok(Self::Died),
            3 => Ok(Self::Withdrawn),
            _ => Err(UnknownKind(number)),
        }
    }
}

/// A suspicion in the form in which nodes share it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
    /// The request.
    pub fingerprint: id::Fingerprint,
    /// The endpoint process that it ran on.
    pub incarnation: id::Incarnation,
    /// What is known about that process.
    pub kind: Kind,
    /// Time for which the suspicion is kept.
    pub valid: Duration,
}

/// Numbers of the deaths at which a request ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Endpoints that died.
    pub died: usize,
    /// Endpoints that fell silent.
    pub silent: usize,
}

/// How this node learnt of a suspicion, the closest to the death first.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// It found out the death itself.
    #[display("own")]
    Own,
    /// A node that knew it told it, or wrote it to the key-value service meanwhile.
    #[display("reported")]
    Reported,
    /// The key-value service had it when this node started. No node may be left that knows
    /// how it arose, or that it was withdrawn.
    #[display("inherited")]
    Inherited,
}

/// What this node believes of a request or part, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// How this node learnt of the suspicions, the closest to a death.
    pub source: Source,
    /// Time since this node learnt of the first suspicion.
    pub oldest: Duration,
    /// Time since this node learnt of the last one.
    pub newest: Duration,
    /// Number of trials that the nodes agreed on.
    pub trials: u32,
    /// Time until a trial may be claimed; `None` if there will be none.
    pub next_trial: Option<Duration>,
}

type Key = (id::Fingerprint, id::Incarnation);

/// The trials that the nodes agreed on, of one request or part.
#[derive(Clone, Copy, Debug)]
struct Trials {
    made: u32,
    /// When this node learnt of the last one.
    since: time::Instant,
    /// How this node learnt of the last one.
    source: Source,
}

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    kind: Kind,
    /// When this node first knew of it.
    since: time::Instant,
    /// When it is dropped.
    expires: time::Instant,
    /// Until when it is in every report of this node.
    news_until: time::Instant,
    /// How this node learnt of it.
    source: Source,
    /// Whether it was withdrawn without a report to the other nodes.
    is_withdrawn_silently: bool,
}

/// The suspicions known to one node.
#[derive(Clone, Debug, Default)]
pub struct Register {
    suspicions: BTreeMap<Key, Suspicion>,
    /// The same keys in the order of the deaths.
    by_death: BTreeSet<(id::Incarnation, id::Fingerprint)>,
    /// Where the next report continues with requests at several deaths.
    next_repeated: Option<Key>,
    /// Where the next report continues with the other new suspicions.
    next_news: Option<Key>,
    /// Suspicions that were dropped for lack of space.
    dropped: u64,
    /// Whether this node passes on what others report.
    is_relaying: bool,
    /// The trials of each request and part.
    trials: BTreeMap<id::Fingerprint, Trials>,
}

impl Register {
    /// Sets whether this node passes on what others report.
    pub fn set_relaying(&mut self, is_relaying: bool) {
        self.is_relaying = is_relaying;
    }

    /// Returns what is known about a request.
    #[must_use]
    pub fn verdict(&self, now: time::Instant, fingerprint: id::Fingerprint) -> Verdict {
        let count = self.count(now, fingerprint);
        if self.refused_for(now, fingerprint).is_some() {
            return Verdict::Confirmed;
        }
        if count == Count::default() {
            return Verdict::Clear;
        }
        Verdict::Suspect
    }

    /// Returns for how long a request is still refused; `None` if it is not.
    #[must_use]
    pub fn refused_for(
        &self,
        now: time::Instant,
        fingerprint: id::Fingerprint,
    ) -> Option<Duration> {
        if fingerprint.is_part() {
            return self.part_refused_for(now, fingerprint);
        }
        let count = self.count(now, fingerprint);
        let valid = || self.valid(now, fingerprint);
        let until = if count.died + count.silent >= CONFIRMING_LOSSES {
            // Refused until too few of them are left.
            let mut ends: Vec<time::Instant> = valid().map(|known| known.expires).collect();
            ends.sort_unstable();
            ends[ends.len() - CONFIRMING_LOSSES]
        } else if count.died >= SUSPICIOUS_DEATHS {
            valid().map(|known| known.since).max()? + TRIAL_DELAY
        } else {
            return None;
        };
        (until > now).then(|| until.since(now))
    }

    /// Returns for how long requests with a part are still refused.
    fn part_refused_for(&self, now: time::Instant, part: id::Fingerprint) -> Option<Duration> {
        let mut deaths = self.unexplained(now, part);
        deaths.sort_unstable_by_key(|known| known.since);
        let decisive = deaths.get(PART_LOSSES - 1)?;
        // What was written was refused before, and others had time to withdraw it.
        let is_news = decisive.source != Source::Inherited;
        if is_news && now.since(decisive.since) < WITHDRAWAL_TIME {
            return None;
        }
        let needed = if deaths.len() >= CONFIRMING_PART_LOSSES {
            CONFIRMING_PART_LOSSES
        } else {
            PART_LOSSES
        };
        // Nodes that inherited deaths agree on trials.
        let has_source = |source| deaths.iter().any(|known| known.source == source);
        let is_tried_here = has_source(Source::Own) && !has_source(Source::Inherited);
        let until = if deaths.len() < CONFIRMING_PART_LOSSES && is_tried_here {
            deaths.last()?.since + TRIAL_DELAY
        } else {
            // Refused until too few of them are left.
            let mut ends: Vec<time::Instant> = deaths.iter().map(|known| known.expires).collect();
            ends.sort_unstable();
            ends[ends.len() - needed]
        };
        (until > now).then(|| until.since(now))
    }

    /// Returns the suspicions against a part at deaths that nothing else explains
    /// better: no part that was at more deaths, and no request that was at as many.
    fn unexplained(&self, now: time::Instant, part: id::Fingerprint) -> Vec<Suspicion> {
        let deaths = self.valid(now, part).count();
        if deaths < PART_LOSSES {
            return Vec::new();
        }
        let explains = |other: id::Fingerprint, incarnation| {
            let known = self.suspicions.get(&(other, incarnation));
            if other == part || !known.is_some_and(|known| known.holds(now)) {
                return false;
            }
            let others = self.valid(now, other).count();
            others > deaths || (others == deaths && !other.is_part())
        };
        let mut unexplained = Vec::new();
        for (&(_, incarnation), known) in self.suspicions.range(keys(part)) {
            let mut others = self.by_death.range(at_death(incarnation));
            if known.holds(now) && !others.any(|&(_, other)| explains(other, incarnation)) {
                unexplained.push(*known);
            }
        }
        unexplained
    }

    /// Returns the parts that were at exactly the same deaths as a part, so that any of
    /// them may have caused these.
    #[must_use]
    pub fn co_suspects(&self, now: time::Instant, part: id::Fingerprint) -> Vec<id::Fingerprint> {
        let known = self.suspicions.range(keys(part));
        let known = known.filter(|(_, known)| known.holds(now));
        let deaths: Vec<id::Incarnation> = known.map(|((_, at), _)| *at).collect();
        let Some(&death) = deaths.first() else {
            return Vec::new();
        };
        let mut co_suspects = Vec::new();
        for &(_, other) in self.by_death.range(at_death(death)) {
            if other == part || !other.is_part() || self.valid(now, other).count() != deaths.len() {
                continue;
            }
            let holds = |death: &id::Incarnation| {
                let known = self.suspicions.get(&(other, *death));
                known.is_some_and(|known| known.holds(now))
            };
            if deaths.iter().all(holds) {
                co_suspects.push(other);
            }
        }
        co_suspects
    }

    /// Returns whether requests with a part are refused, or only one of them may run.
    #[must_use]
    pub fn is_implicated(&self, now: time::Instant, part: id::Fingerprint) -> bool {
        self.unexplained(now, part).len() >= PART_LOSSES
    }

    /// Returns the parts that were at enough deaths to be refused, unless these have
    /// another explanation.
    #[must_use]
    pub fn implicated_parts(&self, now: time::Instant) -> Vec<id::Fingerprint> {
        let first_part = id::Fingerprint::from(id::Part::default());
        let parts = self.suspicions.range((first_part, id::Incarnation(0))..);
        let parts: Vec<id::Fingerprint> = parts.map(|((part, _), _)| *part).collect();
        let mut implicated = Vec::new();
        for of_part in parts.chunk_by(|left, right| left == right) {
            if of_part.len() >= PART_LOSSES && self.valid(now, of_part[0]).count() >= PART_LOSSES {
                implicated.push(of_part[0]);
            }
        }
        implicated
    }

    /// Returns the numbers of deaths and silences at which a request ran.
    #[must_use]
    pub fn count(&self, now: time::Instant, fingerprint: id::Fingerprint) -> Count {
        let mut count = Count::default();
        for known in self.valid(now, fingerprint) {
            match known.kind {
                Kind::Died => count.died += 1,
                Kind::Silent => count.silent += 1,
                Kind::Withdrawn => {}
            }
        }
        count
    }

    /// Records that a request ran on an endpoint process when it died or fell
    /// silent; returns whether that was unknown.
    pub fn record(
        &mut self,
        now: time::Instant,
        fingerprint: id::Fingerprint,
        incarnation: id::Incarnation,
        kind: Kind,
    ) -> bool {
        let mark = Mark {
            fingerprint,
            incarnation,
            kind,
            valid: SUSPICION_TTL,
        };
        let changed = self.apply(now, mark);
        if let Some(known) = self.suspicions.get_mut(&(fingerprint, incarnation)) {
            known.source = Source::Own;
            if changed {
                known.news_until = now + NEWS_TIME;
            }
        }
        changed
    }

    /// Takes over a mark; returns whether that changes what this node knows.
    pub fn apply(&mut self, now: time::Instant, mark: Mark) -> bool {
        if mark.valid < MIN_VALIDITY {
            return false;
        }
        let key = (mark.fingerprint, mark.incarnation);
        if let Some(known) = self.suspicions.get_mut(&key)
            && known.expires > now
        {
            if mark.kind < known.kind && !known.is_withdrawn_silently {
                // The other node missed the news.
                known.news_until = now + NEWS_TIME;
            }
            if mark.kind <= known.kind {
                return false;
            }
            known.kind = mark.kind;
            if self.is_relaying {
                known.news_until = now + NEWS_TIME;
            }
            return true;
        }
        let news_time = if self.is_relaying {
            NEWS_TIME
        } else {
            Duration::ZERO
        };
        let suspicion = Suspicion {
            kind: mark.kind,
            since: now,
            expires: now + mark.valid.min(SUSPICION_TTL),
            news_until: now + news_time,
            source: Source::Reported,
            is_withdrawn_silently: false,
        };
        self.suspicions.insert(key, suspicion);
        self.by_death.insert((mark.incarnation, mark.fingerprint));
        self.limit(now);
        mark.kind != Kind::Withdrawn
    }

    /// Returns whether this node found out a suspicion against a request itself.
    #[must_use]
    pub fn is_own(&self, now: time::Instant, fingerprint: id::Fingerprint) -> bool {
        let mut known = self.valid(now, fingerprint);
        known.any(|known| known.source == Source::Own)
    }

    /// Takes over a mark that the key-value service had when this node started; returns
    /// whether that changes what this node knows.
    pub fn inherit(&mut self, now: time::Instant, mark: Mark) -> bool {
        let changed = self.apply(now, mark);
        let key = (mark.fingerprint, mark.incarnation);
        // Nodes that inherited it, too, may have reported it before.
        if let Some(known) = self.suspicions.get_mut(&key)
            && known.source == Source::Reported
        {
            known.source = Source::Inherited;
        }
        changed
    }

    /// Returns whether this node knows something later of the death that a mark names.
    #[must_use]
    pub fn is_outdated(&self, now: time::Instant, mark: &Mark) -> bool {
        let known = self.suspicions.get(&(mark.fingerprint, mark.incarnation));
        known.is_some_and(|known| known.expires > now && known.kind > mark.kind)
    }

    /// Returns everything that is known of a request, also what was withdrawn.
    #[must_use]
    pub fn records(&self, now: time::Instant, fingerprint: id::Fingerprint) -> Vec<Mark> {
        let known = self.suspicions.range(keys(fingerprint));
        let current = known.filter(|(_, known)| known.expires > now);
        current.map(|(key, known)| known.mark(now, *key)).collect()
    }

    /// Records that a node claimed the trial of this number, as read from the key-value
    /// service.
    pub fn record_trial(
        &mut self,
        now: time::Instant,
        fingerprint: id::Fingerprint,
        number: u32,
        source: Source,
    ) {
        let known = self.trials.get(&fingerprint);
        if known.is_some_and(|known| known.made >= number) {
            return;
        }
        let trials = Trials {
            made: number,
            since: now,
            source,
        };
        self.trials.insert(fingerprint, trials);
        if self.trials.len() > MAX_SUSPICIONS {
            self.trials.pop_first();
        }
    }

    /// Returns the number of the trial that this node may claim now; `None` if there is
    /// none.
    ///
    /// A trial is one request that is sent although it is refused. Its answer disproves
    /// the suspicions, which nothing else may do: the nodes that knew of a withdrawal, or
    /// would have tried it by themselves, may have ended.
    #[must_use]
    pub fn next_trial(&self, now: time::Instant, fingerprint: id::Fingerprint) -> Option<u32> {
        self.refused_for(now, fingerprint)?;
        let due = self.trial_due(now, fingerprint)?;
        (due <= now).then(|| self.trials_made(fingerprint) + 1)
    }

    /// Returns when the next trial may be claimed; `None` if there will be none.
    fn trial_due(&self, now: time::Instant, fingerprint: id::Fingerprint) -> Option<time::Instant> {
        if self.trials_made(fingerprint) >= MAX_TRIALS {
            return None;
        }
        let count = self.count(now, fingerprint);
        let losses = count.died + count.silent;
        // A whole request is refused alone, and ends an endpoint more with each trial.
        if !fingerprint.is_part() && losses >= CONFIRMING_LOSSES {
            return None;
        }
        let is_certain = losses >= CONFIRMING_PART_LOSSES;
        let delay = |source| match source {
            Source::Inherited => INHERITED_TRIAL_DELAY,
            Source::Own | Source::Reported => FLEET_TRIAL_DELAY,
        };
        let last = self.trials.get(&fingerprint);
        let mut due = last.map(|last| last.since + delay(last.source));
        for known in self.valid(now, fingerprint) {
            // A node that is left saw it, and would know of a withdrawal.
            if is_certain && known.source != Source::Inherited {
                return None;
            }
            due = due.max(Some(known.since + delay(known.source)));
        }
        due
    }

    /// Returns after how long a refused caller should come back: when the refusal ends, or
    /// when a trial may have ended it. `None` if it is not refused.
    #[must_use]
    pub fn retry_after(
        &self,
        now: time::Instant,
        fingerprint: id::Fingerprint,
    ) -> Option<Duration> {
        let refused_for = self.refused_for(now, fingerprint)?;
        let last = self.trials.get(&fingerprint);
        if last.is_some_and(|last| now.since(last.since) < TRIAL_TTL) {
            return Some(refused_for.min(TRIAL_RETRY_DELAY));
        }
        let Some(due) = self.trial_due(now, fingerprint) else {
            return Some(refused_for);
        };
        Some(refused_for.min(due.since(now).max(TRIAL_RETRY_DELAY)))
    }

    fn trials_made(&self, fingerprint: id::Fingerprint) -> u32 {
        let trials = self.trials.get(&fingerprint);
        trials.map_or(0, |trials| trials.made)
    }

    /// Returns what this node believes of a request or part; `None` if nothing is held
    /// against it.
    #[must_use]
    pub fn evidence(&self, now: time::Instant, fingerprint: id::Fingerprint) -> Option<Evidence> {
        let known: Vec<&Suspicion> = self.valid(now, fingerprint).collect();
        let oldest = known.iter().map(|known| known.since).min()?;
        let newest = known.iter().map(|known| known.since).max()?;
        let source = known.iter().map(|known| known.source).min()?;
        let due = self.trial_due(now, fingerprint);
        Some(Evidence {
            source,
            oldest: now.since(oldest),
            newest: now.since(newest),
            trials: self.trials_made(fingerprint),
            next_trial: due.map(|due| due.since(now)),
        })
    }

    /// Withdraws the suspicions against a request or part; returns whether there were any.
    ///
    /// The other nodes are not informed of a part at one death, which does no harm there.
    /// Each of them may know an answer with the part, and would report the same.
    pub fn withdraw_request(&mut self, now: time::Instant, fingerprint: id::Fingerprint) -> bool {
        let known = self.suspicions.range(keys(fingerprint));
        let deaths = known.filter(|(_, known)| known.expires > now).count();
        let is_silent = fingerprint.is_part() && deaths < SUSPICIOUS_DEATHS;
        let mut changed = false;
        for (_, known) in self.suspicions.range_mut(keys(fingerprint)) {
            if is_silent && known.kind != Kind::Withdrawn {
                known.kind = Kind::Withdrawn;
                known.is_withdrawn_silently = true;
                changed = true;
                continue;
            }
            changed |= known.withdraw(now);
            if !is_silent && std::mem::take(&mut known.is_withdrawn_silently) {
                known.news_until = now + NEWS_TIME;
            }
        }
        changed
    }

    /// Withdraws the suspicion against a request at the death of an endpoint
    /// process, which lives.
    pub fn withdraw_death(
        &mut self,
        now: time::Instant,
        fingerprint: id::Fingerprint,
        incarnation: id::Incarnation,
    ) {
        if let Some(known) = self.suspicions.get_mut(&(fingerprint, incarnation)) {
            known.withdraw(now);
        }
    }

    /// Returns the requests that are suspected at the death of an endpoint process.
    #[must_use]
    pub fn suspects(
        &self,
        now: time::Instant,
        incarnation: id::Incarnation,
    ) -> Vec<id::Fingerprint> {
        let mut suspects = Vec::new();
        for ((fingerprint, at), known) in &self.suspicions {
            if *at == incarnation && known.holds(now) {
                suspects.push(*fingerprint);
            }
        }
        suspects
    }

    /// Returns the suspicions for the next report to the other nodes: what this node
    /// found out lately, and in turn those against requests at two or more deaths,
    /// which nodes that were cut off or started since must know.
    pub fn share(&mut self, now: time::Instant) -> Vec<Mark> {
        self.drop_expired(now);
        let mut repeated = Vec::new();
        let mut news = Vec::new();
        let all: Vec<(Key, Suspicion)> = self.suspicions.iter().map(|(k, v)| (*k, *v)).collect();
        for of_request in all.chunk_by(|((left, _), _), ((right, _), _)| left == right) {
            let holding = of_request.iter().filter(|(_, known)| known.holds(now));
            let deaths = holding.count();
            for (key, known) in of_request {
                if known.news_until > now {
                    news.push((*key, known.mark(now, *key)));
                } else if deaths >= SUSPICIOUS_DEATHS && known.holds(now) {
                    repeated.push((*key, known.mark(now, *key)));
                }
            }
        }
        let mut marks = take_turn(repeated, &mut self.next_repeated, MAX_REPEATED);
        let room = MAX_SHARED - marks.len();
        marks.extend(take_turn(news, &mut self.next_news, room));
        marks
    }

    /// Returns how many suspicions were dropped for lack of space since the last
    /// call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    fn drop_expired(&mut self, now: time::Instant) {
        let by_death = &mut self.by_death;
        self.suspicions.retain(|(fingerprint, incarnation), known| {
            let is_kept = known.expires > now;
            if !is_kept {
                by_death.remove(&(*incarnation, *fingerprint));
            }
            is_kept
        });
        self.trials
            .retain(|_, trials| now.since(trials.since) < SUSPICION_TTL);
    }

    /// Drops the oldest suspicions beyond [`MAX_SUSPICIONS`].
    fn limit(&mut self, now: time::Instant) {
        if self.suspicions.len() <= MAX_SUSPICIONS {
            return;
        }
        self.drop_expired(now);
        while self.suspicions.len() > MAX_SUSPICIONS {
            let oldest = self.suspicions.iter().min_by_key(|(_, known)| known.since);
            let Some((&key, _)) = oldest else {
                return;
            };
            self.suspicions.remove(&key);
            self.by_death.remove(&(key.1, key.0));
            self.dropped += 1;
        }
    }

    /// Returns the suspicions against a request that hold.
    fn valid(
        &self,
        now: time::Instant,
        fingerprint: id::Fingerprint,
    ) -> impl Iterator<Item = &Suspicion> {
        let known = self.suspicions.range(keys(fingerprint));
        known
            .map(|(_, known)| known)
            .filter(move |known| known.holds(now))
    }
}

impl Suspicion {
    /// Returns whether it counts against its request.
    fn holds(&self, now: time::Instant) -> bool {
        self.expires > now && self.kind != Kind::Withdrawn
    }

    fn withdraw(&mut self, now: time::Instant) -> bool {
        if self.kind == Kind::Withdrawn {
            return false;
        }
        self.kind = Kind::Withdrawn;
        self.news_until = now + NEWS_TIME;
        true
    }

    fn mark(&self, now: time::Instant, (fingerprint, incarnation): Key) -> Mark {
        Mark {
            fingerprint,
            incarnation,
            kind: self.kind,
            valid: self.expires.since(now),
        }
    }
}

/// Returns the range of all keys of a request.
fn keys(fingerprint: id::Fingerprint) -> std::ops::RangeInclusive<Key> {
    (fingerprint, id::Incarnation(u64::MIN))..=(fingerprint, id::Incarnation(u64::MAX))
}

/// Returns the range of everything that was at a death.
fn at_death(
    incarnation: id::Incarnation,
) -> std::ops::RangeInclusive<(id::Incarnation, id::Fingerprint)> {
    (incarnation, id::Fingerprint(u64::MIN))..=(incarnation, id::Fingerprint(u64::MAX))
}

/// Returns up to `room` of the marks, which are sorted by key, beginning at `next`;
/// sets `next` to the first that is left.
fn take_turn(mut marks: Vec<(Key, Mark)>, next: &mut Option<Key>, room: usize) -> Vec<Mark> {
    let start = marks.partition_point(|(key, _)| next.is_some_and(|next| *key < next));
    marks.rotate_left(start);
    *next = marks.get(room).map(|(key, _)| *key);
    marks.into_iter().take(room).map(|(_, mark)| mark).collect()
}
