//! A directory that can be away, and a node's follower of it, on the runtime's clock.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use dottereltally::clock::Clock;
use dottereltally_gateway::{
    admission,
    controller::{self, Controller, Outputs, PollInterval},
    crashes,
    directory::{
        self, Change, Changes, Claimant, Entry, Lease, Node, Replacement, Snapshot, Source,
    },
    era::{self, Announcement},
    metrics::Metrics,
    origins, rollout, view,
};
use dottereltally_lib::{
    crash::Trial,
    dispatcher::{Dispatcher, Settings},
    endpoint::{Record, Standing},
    era::Revision,
    id, rollout as rollouts, size,
    suspicion::Mark,
};
use dottereltally_store::{
    kv::{self, Error},
    transfer::{Intake, Pace, Timer},
};
use ractor::{Actor, ActorRef};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{Instant, sleep, sleep_until},
};

use super::PATIENT;

/// Time limit of a call, beyond the time that it waits for changes.
const READ_LIMIT: Duration = Duration::from_millis(1500);

/// Interval at which a waiting call looks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Interval at which a part of an answer arrives on a link.
const LINK_INTERVAL: Duration = Duration::from_millis(10);

/// Size of a description whose size is not set.
const USUAL_SIZE: size::Bytes = size::Bytes(300);

/// Time that the source is away before it is restored.
const AWAY_TIME: Duration = Duration::from_secs(1);

/// Time in which a node has read its directory.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// How calls fail while the source is away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Away {
    /// Nothing arrives; a call that was sent meanwhile is never answered.
    Silent,
    /// Each call is turned away at once.
    Refused,
}

/// What the source stores.
#[derive(Clone, Default)]
struct Content {
    entries: BTreeMap<id::Endpoint, Entry>,
    history: Vec<(i64, Change)>,
    revision: i64,
    /// Sizes of descriptions, by endpoint.
    sizes: BTreeMap<id::Endpoint, size::Bytes>,
}

impl Content {
    /// Returns the size of a description.
    fn size(&self, name: &id::Endpoint) -> size::Bytes {
        self.sizes.get(name).copied().unwrap_or(USUAL_SIZE)
    }

    /// Returns the size of what a change contains.
    fn size_of_change(&self, change: &Change) -> size::Bytes {
        match change {
            Change::Endpoint(name, _) => self.size(name),
            _ => USUAL_SIZE,
        }
    }
}

/// What happens to calls on a link, as a seed decides.
struct Weather {
    rng: SmallRng,
    /// Share of the calls that are never answered.
    loss: f64,
    /// Longest time by which an answer is late.
    delay: Duration,
}

impl Weather {
    /// Draws what happens to the next call: by how much its answer is late; `None` if it is
    /// lost.
    fn draw(&mut self) -> Option<Duration> {
        let part = self.rng.random_range(0.0..1.0);
        let is_lost = self.rng.random_bool(self.loss);
        (!is_lost).then(|| self.delay.mul_f64(part))
    }
}

/// Link of a node to the source.
#[derive(Default)]
struct Link {
    /// Bytes that it carries in [`LINK_INTERVAL`]; `None` if answers arrive at once.
    rate: Option<size::Bytes>,
    /// Answers that arrive.
    active: u64,
    /// Bytes of an answer after which nothing more of it arrives, and for how many answers
    /// that still holds.
    stall: (size::Bytes, u32),
    /// Bytes that arrived.
    received: size::Bytes,
    calls: u64,
    /// Calls that are never answered although the source serves all others; probes are.
    losing: u32,
    /// Time by which each answer is late.
    latency: Duration,
    weather: Option<Weather>,
    /// When the last calls were sent that were never answered.
    lost: Vec<Instant>,
    /// When the last call was sent that read the source.
    read: Option<Instant>,
}

#[derive(Default)]
struct State {
    content: Content,
    /// What the source is restored from.
    copy: Content,
    /// Era that it announces; zero if it announces none.
    era: u64,
    away: Option<Away>,
    /// Number of times that the source went away.
    outages: u64,
    /// Revision up to which the history was dropped.
    dropped: i64,
    /// Whether calls for changes are cut.
    cuts: u64,
    calls: u64,
    /// Times that the whole content was read.
    snapshots: u64,
    /// Calls that still fail although the source is back; probes don't.
    failing: u32,
}

/// The source; clones share its content.
#[derive(Clone, Default)]
pub struct Directory {
    state: Arc<Mutex<State>>,
    eras: era::Handle,
    link: Arc<Mutex<Link>>,
}

impl Directory {
    /// Returns a source that announces its eras.
    pub fn with_eras() -> Self {
        let directory = Self::default();
        directory.read(|state| state.era = 1);
        directory
    }

    /// Returns the same source as another node reaches it, whose link carries as much.
    pub fn for_another_node(&self) -> Self {
        let rate = self.link.lock().unwrap().rate;
        Self {
            state: Arc::clone(&self.state),
            eras: era::Handle::default(),
            link: Arc::new(Mutex::new(Link {
                rate,
                ..Link::default()
            })),
        }
    }

    /// Limits what the node's link carries, in bytes in 10 ms.
    pub fn set_link(&self, rate: size::Bytes) {
        self.link.lock().unwrap().rate = Some(rate);
    }

    /// Makes the next answers stop after a number of bytes.
    pub fn stall_answers(&self, bytes: size::Bytes, answers: u32) {
        self.link.lock().unwrap().stall = (bytes, answers);
    }

    /// Returns what arrived on the node's link.
    pub fn received(&self) -> size::Bytes {
        self.link.lock().unwrap().received
    }

    /// Returns the number of calls on the node's link, other than probes.
    pub fn calls_on_link(&self) -> u64 {
        self.link.lock().unwrap().calls
    }

    /// Sets the size of the description of an endpoint.
    pub fn set_size(&self, name: &str, bytes: size::Bytes) {
        let name = id::Endpoint::from(name);
        self.read(|state| state.content.sizes.insert(name, bytes));
    }

    /// Transfers an answer on the node's link.
    async fn transfer(
        &self,
        length: size::Bytes,
        deadline: Instant,
        intake: &Intake,
    ) -> Result<(), Error> {
        intake.declare(length);
        if intake.exceeded_by(length).is_some() {
            return Err(Error::Refused("larger than the directory".to_owned()));
        }
        let stop = {
            let mut link = self.link.lock().unwrap();
            link.active += 1;
            let (bytes, answers) = link.stall;
            link.stall.1 = answers.saturating_sub(1);
            (answers > 0).then_some(bytes)
        };
        let _arriving = Arriving(&self.link);
        let mut timer = Timer::new(deadline, Pace::default());
        let mut received = size::Bytes::default();
        let end = stop.unwrap_or(length).min(length);
        loop {
            let share = {
                let link = self.link.lock().unwrap();
                link.rate.map(|rate| size::Bytes(rate.0 / link.active))
            };
            let part = end.saturating_sub(received);
            let part = share.map_or(part, |share| share.min(part));
            received += part;
            intake.record(part);
            self.link.lock().unwrap().received += part;
            if received == length {
                return Ok(());
            }
            sleep(LINK_INTERVAL).await;
            if Instant::now() >= timer.next_check() {
                let checked = timer.check(received);
                checked.map_err(|error| Error::Lost(error.to_string()))?;
            }
        }
    }

    /// Takes the copy that the source is restored from.
    pub fn take_copy(&self) {
        self.read(|state| state.copy = state.content.clone());
    }

    /// Restores the source from the copy.
    pub fn restore(&self) {
        self.read(|state| {
            state.content = state.copy.clone();
            state.era += u64::from(state.era > 0);
        });
    }

    /// Restores the source from the copy after it was away; `write` is what is written before
    /// any node reads it.
    pub async fn restore_after_absence(&self, write: impl FnOnce(&Self)) {
        self.set_away(Some(Away::Refused));
        sleep(AWAY_TIME).await;
        self.restore();
        write(self);
        self.set_away(None);
    }

    /// Returns the number of the current revision.
    pub fn revision(&self) -> i64 {
        self.read(|state| state.content.revision)
    }

    /// Records what the answer to a call that was `sent` at a time announces.
    fn announce(&self, sent: Instant) -> Result<Revision, Error> {
        let (announced, number) = self.read(|state| (state.era, state.content.revision));
        let announcement = match announced {
            0 => Announcement::Missing,
            number => Announcement::Number(number),
        };
        let era = self.eras.record(sent, announcement);
        let era = era.map_err(|error| Error::Refused(error.to_string()))?;
        Ok(self.eras.record_revision(sent, Revision { era, number }))
    }

    fn read<T>(&self, read: impl FnOnce(&mut State) -> T) -> T {
        read(&mut self.state.lock().unwrap())
    }

    /// Writes the description of an endpoint.
    pub fn write(&self, name: &str, standing: Standing, started_ms: u64) {
        let entry = entry(&id::Endpoint::from(name), standing, started_ms);
        self.write_entry(name, entry);
    }

    /// Writes the description of an endpoint that its process numbered.
    pub fn write_numbered(&self, name: &str, standing: Standing, started_ms: u64, sequence: u64) {
        let entry = entry(&id::Endpoint::from(name), standing, started_ms);
        self.write_entry(name, Entry { sequence, ..entry });
    }

    /// Writes a description. Only a source that announces its eras tells the revision of an
    /// entry.
    fn write_entry(&self, name: &str, mut entry: Entry) {
        let name = id::Endpoint::from(name);
        self.read(|state| {
            let content = &mut state.content;
            content.revision += 1;
            let revision = Revision::from(content.revision);
            entry.revision = (state.era > 0).then_some(revision);
            let change = Change::Endpoint(name.clone(), entry.clone());
            content.history.push((content.revision, change));
            content.entries.insert(name, entry);
        });
    }

    /// Removes the description of an endpoint.
    pub fn remove(&self, name: &str) {
        let name = id::Endpoint::from(name);
        self.read(|state| {
            let content = &mut state.content;
            if content.entries.remove(&name).is_some() {
                content.revision += 1;
                let revision = Revision::from(content.revision);
                let change = Change::EndpointRemoved(name, revision);
                content.history.push((content.revision, change));
            }
        });
    }

    /// Makes the source go away or come back.
    pub fn set_away(&self, away: Option<Away>) {
        self.read(|state| {
            state.away = away;
            state.outages += u64::from(away.is_some());
        });
    }

    /// Makes the next calls fail that are no probes, as if their connections had died.
    pub fn fail_calls(&self, calls: u32) {
        self.read(|state| state.failing = calls);
    }

    /// Makes the next calls on the node's link be lost that are no probes.
    pub fn lose_calls(&self, calls: u32) {
        self.link.lock().unwrap().losing = calls;
    }

    /// Makes all answers on the node's link late.
    pub fn set_latency(&self, latency: Duration) {
        self.link.lock().unwrap().latency = latency;
    }

    /// Makes calls on the node's link be lost at random, and answers be late.
    pub fn set_weather(&self, seed: u64, loss: f64, delay: Duration) {
        let rng = SmallRng::seed_from_u64(seed);
        self.link.lock().unwrap().weather = Some(Weather { rng, loss, delay });
    }

    /// Returns when the last calls on the node's link were sent that were never answered.
    pub fn lost(&self) -> Vec<Instant> {
        self.link.lock().unwrap().lost.clone()
    }

    /// Returns when the last call on the node's link was sent that read the source.
    pub fn last_read(&self) -> Option<Instant> {
        self.link.lock().unwrap().read
    }

    /// Waits as long as the answer to a call is late on the node's link; fails if the call is
    /// lost.
    async fn deliver(&self, sent: Instant, limit: Duration) -> Result<(), Error> {
        let late = {
            let mut link = self.link.lock().unwrap();
            let weather = link.weather.as_mut();
            let late = weather.map_or(Some(Duration::ZERO), Weather::draw);
            if late.is_none() {
                link.lost.push(sent);
            }
            late.map(|late| late + link.latency)
        };
        let end = sent + limit;
        let Some(late) = late.filter(|late| Instant::now() + *late < end) else {
            sleep_until(end).await;
            return Err(Error::Lost("timed out".to_owned()));
        };
        sleep(late).await;
        Ok(())
    }

    /// Cuts the calls that wait for changes, and drops the history.
    pub fn cut(&self) {
        self.read(|state| {
            state.cuts += 1;
            state.dropped = state.content.revision;
        });
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.read(|state| state.calls)
    }

    /// Returns how often the whole content was read.
    pub fn snapshots(&self) -> u64 {
        self.read(|state| state.snapshots)
    }

    /// Fails if calls that are no probes are to fail; otherwise as [`Self::pass`].
    async fn pass_call(&self, limit: Duration) -> Result<u64, Error> {
        let is_lost = {
            let mut link = self.link.lock().unwrap();
            link.calls += 1;
            let is_lost = link.losing > 0;
            link.losing = link.losing.saturating_sub(1);
            is_lost
        };
        if is_lost {
            self.link.lock().unwrap().lost.push(Instant::now());
            sleep(limit).await;
            return Err(Error::Lost("timed out".to_owned()));
        }
        let outages = self.pass(limit).await?;
        let fails = self.read(|state| {
            let fails = state.failing > 0;
            state.failing = state.failing.saturating_sub(1);
            fails
        });
        if fails {
            return Err(Error::Lost("connection reset".to_owned()));
        }
        Ok(outages)
    }

    /// Waits while the source is away; fails if the call is lost or turned away.
    async fn pass(&self, limit: Duration) -> Result<u64, Error> {
        let sent = Instant::now();
        let (away, outages) = self.read(|state| {
            state.calls += 1;
            (state.away, state.outages)
        });
        match away {
            None => {
                self.announce(sent)?;
                Ok(outages)
            }
            Some(Away::Refused) => Err(Error::Lost("503".to_owned())),
            Some(Away::Silent) => {
                sleep(limit).await;
                Err(Error::Lost("timed out".to_owned()))
            }
        }
    }
}

/// An answer that arrives; dropping it frees its share of the link.
struct Arriving<'a>(&'a Mutex<Link>);

impl Drop for Arriving<'_> {
    fn drop(&mut self) {
        self.0.lock().unwrap().active -= 1;
    }
}

/// Returns a description as it was read in the era of a revision.
fn read_in(revision: Revision, mut entry: Entry) -> Entry {
    entry.revision = entry.revision.map(|written| Revision {
        era: revision.era,
        ..written
    });
    entry
}

impl Source for Directory {
    fn eras(&self) -> &era::Handle {
        &self.eras
    }

    async fn snapshot(&self, intake: &Intake) -> Result<Snapshot, Error> {
        let sent = Instant::now();
        self.pass_call(READ_LIMIT).await?;
        let revision = self.announce(sent)?;
        let (entries, size) = self.read(|state| {
            state.snapshots += 1;
            let content = &state.content;
            let sizes = content.entries.keys().map(|name| content.size(name));
            (content.entries.clone(), sizes.sum())
        });
        self.deliver(sent, READ_LIMIT).await?;
        self.transfer(size, sent + READ_LIMIT, intake).await?;
        self.link.lock().unwrap().read = Some(sent);
        let mut endpoints = BTreeMap::new();
        for (name, entry) in entries {
            endpoints.insert(name, read_in(revision, entry));
        }
        Ok(Snapshot {
            revision,
            size,
            endpoints,
            ..Snapshot::default()
        })
    }

    async fn probe(&self) -> Result<(), Error> {
        let sent = Instant::now();
        self.pass(READ_LIMIT).await?;
        self.deliver(sent, READ_LIMIT).await
    }

    async fn changes(
        &self,
        after: Revision,
        wait: Duration,
        intake: &Intake,
    ) -> Result<Changes, Error> {
        let start = Instant::now();
        let outages = self.pass_call(wait + READ_LIMIT).await?;
        let cuts = self.read(|state| state.cuts);
        loop {
            if self.read(|state| state.cuts) != cuts {
                return Err(Error::Lost("connection reset".to_owned()));
            }
            if self.read(|state| state.outages) != outages {
                if self.read(|state| state.away) == Some(Away::Refused) {
                    return Err(Error::Lost("connection reset".to_owned()));
                }
                sleep_until(start + wait + READ_LIMIT).await;
                return Err(Error::Lost("timed out".to_owned()));
            }
            let newer = self.read(|state| {
                let current = state.content.revision;
                if after.number < state.dropped || after.number > current {
                    return Err(Error::Refused("not in the history".to_owned()));
                }
                let history = state.content.history.iter();
                let newer = history.filter(|(revision, _)| *revision > after.number);
                Ok(newer.map(|(_, change)| change.clone()).collect::<Vec<_>>())
            })?;
            let length = self.read(|state| {
                let sizes = newer
                    .iter()
                    .map(|change| state.content.size_of_change(change));
                sizes.sum()
            });
            if start.elapsed() >= wait || !newer.is_empty() {
                let revision = self.announce(start)?;
                self.deliver(start, wait + READ_LIMIT).await?;
                self.transfer(length, start + wait + READ_LIMIT, intake)
                    .await?;
                self.link.lock().unwrap().read = Some(start);
                let mut changes = Vec::new();
                for change in newer {
                    changes.push(match change {
                        Change::Endpoint(name, entry) => {
                            Change::Endpoint(name, read_in(revision, entry))
                        }
                        Change::EndpointRemoved(name, removed) => {
                            let era = revision.era;
                            Change::EndpointRemoved(name, Revision { era, ..removed })
                        }
                        other => other,
                    });
                }
                return Ok(Changes {
                    revision,
                    changes,
                    unusable: 0,
                });
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn write_record(&self, _: &Replacement) -> Result<Option<directory::Record>, Error> {
        Ok(None)
    }

    async fn quarantine(&self, _: id::Fingerprint, _: &[Mark]) -> Result<(), Error> {
        Ok(())
    }

    async fn claim_trial(&self, _: Trial, _: &Claimant) -> Result<bool, Error> {
        Ok(false)
    }

    async fn register(&self, _: &Node, _: Duration) -> Result<Lease, Error> {
        Ok(Lease {
            id: kv::Lease(1),
            era: self.eras.current(),
        })
    }

    async fn renew(&self, _: Lease) -> Result<(), Error> {
        Ok(())
    }

    async fn deregister(&self, _: Lease) -> Result<(), Error> {
        Ok(())
    }
}

/// Returns the description of an endpoint.
pub fn entry(name: &id::Endpoint, standing: Standing, started_ms: u64) -> Entry {
    Entry {
        record: Record {
            id: name.clone(),
            address: "127.0.0.1:1".to_owned(),
            service: id::Service::from("s"),
            data_centre: id::DataCentre::from("dc"),
            standing,
            capacity: Some(4),
            version: None,
        },
        started_ms: Some(started_ms),
        sequence: 1,
        revision: None,
    }
}

/// A node that follows a directory.
pub struct Follower {
    pub admission: admission::Handle,
    pub controller: ActorRef<controller::Message>,
    /// How recent the node's view is.
    pub view: view::Handle,
    /// The roll-outs that the node knows.
    pub rollouts: rollout::Handle,
    following: JoinHandle<()>,
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.following.abort();
        self.controller.kill();
    }
}

impl Follower {
    /// Starts to follow a directory; a change is to be seen within two seconds.
    pub async fn start(directory: &Directory) -> Self {
        let clock = Clock::start();
        let metrics = Metrics::default();
        let dispatcher = Dispatcher::new(Settings::default());
        let admission = admission::Handle::new(dispatcher, clock);
        let (crashes, _tasks) = crashes::Handle::new(clock, metrics.clone());
        let origins = origins::Handle::new(
            clock,
            metrics.clone(),
            origins::Settings {
                node: id::Node::from("n"),
                data_centre: id::DataCentre::from("dc"),
                limits: PATIENT,
            },
        );
        let view = view::Handle::new(clock);
        let rollouts = rollout::Handle::new(
            clock,
            metrics.clone(),
            rollouts::Settings::default(),
            id::DataCentre::from("dc"),
        );
        let outputs = Outputs {
            clock,
            plan: watch::Sender::new(None),
            admission: admission.clone(),
            nodes: watch::Sender::new(Vec::new()),
            endpoints_known: watch::Sender::new(false),
            snapshot: watch::Sender::new(Arc::default()),
            metrics: metrics.clone(),
            own_name: id::Node::from("n"),
            crashes,
            origins,
            view: view.clone(),
            rollouts: rollouts.clone(),
        };
        let (controller, _running) = Actor::spawn(None, Controller, outputs).await.unwrap();
        let poll_interval = PollInterval::within(Duration::from_secs(2));
        let following = controller::follow::run(
            directory.clone(),
            poll_interval,
            clock,
            controller.clone(),
            metrics,
            view.clone(),
        );
        Self {
            admission,
            controller,
            view,
            rollouts,
            following: tokio::spawn(following),
        }
    }

    /// Starts to follow a directory; returns when it was read.
    pub async fn settled(directory: &Directory) -> Self {
        let follower = Self::start(directory).await;
        sleep(SETTLING_TIME).await;
        follower
    }

    /// Returns whether the node may send requests to an endpoint.
    pub fn uses(&self, name: &str) -> bool {
        let name = id::Endpoint::from(name);
        let standing = self.admission.read(|dispatcher| dispatcher.standing(&name));
        standing == Some(Standing::Live)
    }
}
