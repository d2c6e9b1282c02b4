//! Shares the dispatcher between the tasks that serve requests, and lets the
//! node's coordinator decide while there is one.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use dottereltally::clock::Clock;
use dottereltally_lib::{
    dispatcher::{
        Choice, Dispatcher, Effect, Load, NoticeChange, Outcome, Request, limit, slow_start,
        speed::{self, Statement},
    },
    id,
    notice::{self, Notice, Unreadable},
    refusal::{self, Refusal},
    share::{NotARate, Rate},
};
use tokio::{
    select,
    sync::{
        mpsc,
        oneshot::{self, error::RecvError},
    },
    time::{interval, timeout},
};

/// Retry delay of a request that nothing was decided on.
const UNDECIDED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time between two checks whether a request that needs one software version still
/// has an endpoint to wait for.
const CANDIDATE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The chosen endpoint, or why the request is refused.
pub type Decision = Result<Choice, Refusal>;

/// A command to the node's coordinator.
#[derive(Debug)]
pub enum Command {
    /// Choose an endpoint for a request.
    Admit(id::Request, Box<Request>, oneshot::Sender<Decision>),
    /// The first byte of an answer arrived.
    FirstByte(id::Request),
    /// A request ended at its endpoint, or was withdrawn while it waited.
    End(id::Request, Outcome),
}

type CommandSender = mpsc::UnboundedSender<Command>;

struct State {
    dispatcher: Dispatcher,
    /// Sends commands to the coordinator, while there is one.
    coordinator: Option<CommandSender>,
    /// Requests that wait in this node's own dispatcher, with the channel that
    /// takes the decision.
    waiting: HashMap<id::Request, oneshot::Sender<Decision>>,
}

struct Shared {
    state: Mutex<State>,
    next_request: AtomicU64,
    clock: Clock,
}

/// Handle of the dispatcher; clones share the dispatcher.
#[derive(Clone)]
pub struct Handle {
    shared: Arc<Shared>,
}

impl Handle {
    /// Wraps a dispatcher.
    #[must_use]
    pub fn new(dispatcher: Dispatcher, clock: Clock) -> Self {
        let state = State {
            dispatcher,
            coordinator: None,
            waiting: HashMap::new(),
        };
        Self {
            shared: Arc::new(Shared {
                state: Mutex::new(state),
                next_request: AtomicU64::new(1),
                clock,
            }),
        }
    }

    /// Waits until an endpoint is chosen, by the node's coordinator if there is
    /// one and by this node's own dispatcher otherwise.
    ///
    /// Dropping the future withdraws the request.
    ///
    /// # Errors
    ///
    /// Fails with the refusal of the node that decided.
    pub async fn admit(&self, request: Request) -> Result<(Choice, Permit), Refusal> {
        let coordinator = self.coordinator_for(&request);
        if let Some(coordinator) = coordinator
            && let Some(decided) = self
                .admit_by_coordinator(coordinator, request.clone())
                .await
        {
            return decided;
        }
        self.admit_locally(request).await
    }

    /// Returns the coordinator, unless this node would use no endpoint that it could
    /// choose for a request that needs one software version.
    fn coordinator_for(&self, request: &Request) -> Option<CommandSender> {
        if request.version.is_some() && !self.has_candidate(request) {
            return None;
        }
        self.lock().coordinator.clone()
    }

    fn has_candidate(&self, request: &Request) -> bool {
        let now = self.shared.clock.now();
        self.lock().dispatcher.has_candidate(now, request)
    }

    /// Waits for the coordinator's decision on a request; `None` if this node would
    /// no longer use any endpoint that the coordinator could choose.
    async fn wait_for_decision(
        &self,
        request: &Request,
        mut decision: oneshot::Receiver<Decision>,
    ) -> Option<Result<Decision, RecvError>> {
        let mut checks = interval(CANDIDATE_CHECK_INTERVAL);
        loop {
            select! {
                decided = &mut decision => return Some(decided),
                _ = checks.tick(), if request.version.is_some() => {
                    if !self.has_candidate(request) {
                        return None;
                    }
                }
            }
        }
    }

    /// Waits until this node's own dispatcher has chosen an endpoint.
    ///
    /// Dropping the future withdraws the request.
    ///
    /// # Errors
    ///
    /// Fails with the dispatcher's refusal.
    pub async fn admit_locally(&self, request: Request) -> Result<(Choice, Permit), Refusal> {
        let id = self.next_request_id();
        let (reply, decision) = oneshot::channel();
        let permit = self.permit(id, None);
        let patience = self.patience(&request);
        self.lock().waiting.insert(id, reply);
        self.apply(|dispatcher, now| dispatcher.submit(now, id, request));
        match timeout(patience, decision).await {
            Ok(Ok(Ok(choice))) => Ok((choice, permit)),
            Ok(Ok(Err(refusal))) => {
                permit.disarm();
                Err(refusal)
            }
            // Dropping the permit withdraws the request, also from an endpoint.
            Ok(Err(_)) | Err(_) => Err(refuse_undecided(id)),
        }
    }

    /// Returns for how long a request may wait for a decision.
    fn patience(&self, request: &Request) -> Duration {
        let last = request.deadline.min(request.caller_leaves_at);
        last.since(self.shared.clock.now())
    }

    /// Lets the coordinator decide; `None` if it can't, or if this node can't use
    /// the endpoint that it chose.
    async fn admit_by_coordinator(
        &self,
        coordinator: CommandSender,
        request: Request,
    ) -> Option<Result<(Choice, Permit), Refusal>> {
        let id = self.next_request_id();
        let (reply, decision) = oneshot::channel();
        let patience = self.patience(&request);
        let mut asked = request.clone();
        let now = self.shared.clock.now();
        let unusable = self.lock().dispatcher.unusable(now, &request.service);
        asked.excluded.extend(unusable);
        coordinator
            .send(Command::Admit(id, Box::new(asked), reply))
            .ok()?;
        let needed = request.version.clone();
        // Dropping the permit withdraws the request.
        let permit = self.permit(id, Some(coordinator.clone()));
        let waiting = self.wait_for_decision(&request, decision);
        let decision = match timeout(patience, waiting).await {
            Ok(Some(Ok(decision))) => decision,
            Ok(Some(Err(_))) => {
                permit.disarm();
                return None;
            }
            // Dropping the permit withdraws the request.
            Ok(None) => return None,
            Err(_) => return Some(Err(refuse_undecided(id))),
        };
        match decision {
            Ok(mut choice) => {
                let now = self.shared.clock.now();
                let mut state = self.lock();
                // The link may have ended since the coordinator decided.
                let current = state.coordinator.as_ref();
                let delegated = current.is_some_and(|current| current.same_channel(&coordinator));
                let endpoint = &choice.endpoint;
                if !state
                    .dispatcher
                    .adopt(now, id, request, endpoint, delegated)
                {
                    let listed = state.dispatcher.version(endpoint).cloned();
                    drop(state);
                    if needed.is_some() && needed != listed {
                        tracing::info!(
                            endpoint = %choice.endpoint,
                            version = listed.as_ref().map(id::Version::as_str),
                            needed = needed.as_ref().map(id::Version::as_str),
                            "the endpoint chosen by the coordinator has another version: this node chooses one itself"
                        );
                        return None;
                    }
                    tracing::info!(
                        endpoint = %choice.endpoint,
                        "the endpoint chosen by the coordinator takes no new requests: this node chooses one itself"
                    );
                    return None;
                }
                let own = state.dispatcher.version(&choice.endpoint);
                choice.version = agreed_version(own, choice.version.as_ref());
                Some(Ok((choice, permit)))
            }
            Err(refusal) => {
                permit.disarm();
                if let Some(needed) = &needed
                    && refusal.reason == refusal::Reason::NoEndpoint
                {
                    tracing::info!(
                        %needed,
                        "the coordinator knows no endpoint of this version: this node chooses one itself"
                    );
                    return None;
                }
                Some(Err(refusal))
            }
        }
    }

    /// Records what an endpoint said about its limit in an answer; `None` if it named
    /// none. Returns false if it is the first one that can't be read.
    pub fn record_limit(
        &self,
        endpoint: &id::Endpoint,
        limit: Option<Result<Rate, NotARate>>,
    ) -> bool {
        let limit = match limit.transpose() {
            Ok(limit) => limit,
            Err(error) => {
                let is_first = self.lock().dispatcher.record_unreadable_limit(endpoint);
                if is_first {
                    tracing::warn!(%endpoint, %error, "limit of an endpoint is not changed: it can't be read");
                }
                return !is_first;
            }
        };
        self.apply(|dispatcher, now| {
            let (change, effects) = dispatcher.record_limit(now, endpoint, limit);
            if let Some(change) = change {
                log_limit(endpoint, change, None);
            }
            effects
        });
        true
    }

    /// Records what an endpoint said about itself in an answer, beside its limit. Returns
    /// false if it is the first one in which something can't be read.
    #[must_use]
    pub fn record_notice(&self, endpoint: &id::Endpoint, notice: &Notice) -> bool {
        let mut is_readable = true;
        self.apply(|dispatcher, now| {
            let (change, effects) = dispatcher.record_notice(now, endpoint, notice);
            is_readable = !change.is_unreadable;
            log_notice(endpoint, notice, change);
            effects
        });
        is_readable
    }

    /// Records that it was not the listed process of an endpoint that said that it leaves, but
    /// one that started at `found_ms`, in milliseconds since the Unix epoch.
    pub fn record_found_leaving(&self, endpoint: &id::Endpoint, found_ms: u64) {
        tracing::info!(%endpoint, found_born = found_ms, "the process that was found leaves");
        self.apply(|dispatcher, _| {
            dispatcher.record_found_leaving(endpoint, found_ms);
            Vec::new()
        });
    }

    /// Records what another node knows about endpoints from their answers.
    pub fn record_peer_notices(&self, node: &id::Node, reports: &[notice::Report]) {
        if reports.is_empty() {
            return;
        }
        let now = self.shared.clock.now();
        let leaving = self
            .lock()
            .dispatcher
            .record_peer_notices(now, node, reports);
        for endpoint in leaving {
            tracing::info!(%endpoint, %node, "endpoint leaves, as another node reports");
        }
    }

    /// Records the load that an endpoint reported in an answer. One that can't be read
    /// changes nothing, and is logged once for each process of the endpoint.
    pub fn record_load(&self, endpoint: &id::Endpoint, load: Result<Statement, Unreadable>) {
        match load {
            Ok(load) => {
                self.apply(|dispatcher, now| dispatcher.record_endpoint_load(now, endpoint, load));
            }
            Err(error) => {
                if self.lock().dispatcher.record_unreadable_load(endpoint) {
                    tracing::warn!(%endpoint, %error, "load of an endpoint is ignored: it can't be read");
                }
            }
        }
    }

    /// Records what another node knows of the speed of endpoints.
    pub fn record_peer_speeds(&self, node: &id::Node, reports: &[speed::Report]) {
        if reports.is_empty() {
            return;
        }
        self.apply(|dispatcher, now| {
            dispatcher.record_peer_speeds(now, node, reports);
            Vec::new()
        });
    }

    /// Records what another node knows about the limits of endpoints.
    pub fn record_peer_limits(&self, node: &id::Node, reports: &[limit::Report]) {
        let now = self.shared.clock.now();
        let changes = self
            .lock()
            .dispatcher
            .record_peer_limits(now, node, reports);
        for (endpoint, change) in changes {
            log_limit(&endpoint, change, Some(node));
        }
    }

    /// Sets who decides: the coordinator that receives `commands`, or this node
    /// if there is none.
    pub fn set_coordinator(&self, commands: Option<CommandSender>) {
        let mut state = self.lock();
        if commands.is_none() {
            state.dispatcher.count_locally();
        }
        state.coordinator = commands;
    }

    /// Returns whether a coordinator decides for this node.
    #[must_use]
    pub fn has_coordinator(&self) -> bool {
        self.lock().coordinator.is_some()
    }

    /// Counts all requests of this node at its own dispatcher again, also those
    /// that a coordinator decided on; returns the counts by endpoint.
    #[must_use]
    pub fn count_locally(&self) -> Vec<(id::Endpoint, Load)> {
        self.lock().dispatcher.count_locally()
    }

    fn next_request_id(&self) -> id::Request {
        id::Request(self.shared.next_request.fetch_add(1, Ordering::Relaxed))
    }

    fn permit(&self, id: id::Request, coordinator: Option<CommandSender>) -> Permit {
        Permit {
            handle: self.clone(),
            id,
            coordinator,
            ended: false,
        }
    }

    /// Changes the dispatcher and carries out the effects of the change.
    pub fn apply(
        &self,
        change: impl FnOnce(&mut Dispatcher, dottereltally_lib::time::Instant) -> Vec<Effect>,
    ) {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let mut effects = change(&mut state.dispatcher, now);
        for change in state.dispatcher.take_slow_starts() {
            log_slow_start(&change);
        }
        while let Some(effect) = effects.pop() {
            match effect {
                Effect::Send(id, choice) => {
                    let reply = state.waiting.remove(&id);
                    let delivered = reply.is_some_and(|reply| reply.send(Ok(choice)).is_ok());
                    if !delivered {
                        effects.extend(state.dispatcher.cancel(now, id));
                    }
                }
                Effect::Refuse(id, refusal) => {
                    if let Some(reply) = state.waiting.remove(&id) {
                        // The caller may have left in the meantime.
                        let _left = reply.send(Err(refusal));
                    }
                }
            }
        }
    }

    /// Returns this node's load by endpoint for the next report to the other
    /// nodes; the mean time between events covers the streams that ended since
    /// the last call.
    #[must_use]
    pub fn take_load(&self) -> Vec<(id::Endpoint, Load)> {
        self.lock().dispatcher.take_load()
    }

    /// Reads from the dispatcher.
    pub fn read<T>(&self, read: impl FnOnce(&Dispatcher) -> T) -> T {
        read(&self.lock().dispatcher)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Logs a change of an endpoint's limit, of which its answer or another node informed
/// this one.
fn log_limit(endpoint: &id::Endpoint, change: limit::Change, node: Option<&id::Node>) {
    tracing::info!(
        %endpoint,
        limit = change.after.map(Rate::per_second),
        before = change.before.map(Rate::per_second),
        node = node.map(id::Node::as_str),
        "limit of an endpoint changed"
    );
}

/// Logs that the slow start of an endpoint began or ended.
fn log_slow_start(change: &slow_start::Change) {
    let endpoint = &change.endpoint;
    match change.event {
        slow_start::Event::Begun(cause) => {
            tracing::info!(%endpoint, %cause, "slow start of an endpoint begins");
        }
        slow_start::Event::Ended(took, answers) => {
            let took_ms = crate::logging::millis(took);
            tracing::info!(%endpoint, took_ms, answers, "slow start of an endpoint ends");
        }
    }
}

fn log_notice(endpoint: &id::Endpoint, notice: &Notice, change: NoticeChange) {
    if change.is_leaving {
        tracing::info!(%endpoint, "endpoint leaves, as its answer says");
    }
    if let Some(pause) = change.paused {
        let pause_ms = crate::logging::millis(pause);
        tracing::info!(%endpoint, pause_ms, "endpoint wants no requests of this node for a while");
    }
    if let Some(most) = change.bears {
        tracing::info!(%endpoint, most, "endpoint bears few rejections in a second");
    }
    if change.is_unreadable {
        for error in &notice.unreadable {
            tracing::warn!(%endpoint, %error, "statement of an endpoint is ignored");
        }
    }
}

/// Refuses a request that was withdrawn because nothing was decided on it in its time.
fn refuse_undecided(id: id::Request) -> Refusal {
    tracing::warn!(request = %id, "request refused: it was not decided on before its deadline");
    Refusal {
        reason: refusal::Reason::Deadline,
        retry_after: UNDECIDED_RETRY_AFTER,
    }
}

/// A request's place in the queue, then its slot at an endpoint; dropping it
/// withdraws the request.
pub struct Permit {
    handle: Handle,
    id: id::Request,
    /// Sends commands to the coordinator, if the coordinator decided.
    coordinator: Option<CommandSender>,
    ended: bool,
}

impl Permit {
    /// Returns whether the coordinator decided on the request.
    #[must_use]
    pub fn is_delegated(&self) -> bool {
        self.coordinator.is_some()
    }

    /// Records that the first byte of the answer arrived.
    pub fn record_first_byte(&self) {
        let id = self.id;
        self.notify_coordinator(Command::FirstByte(id));
        self.handle.apply(|dispatcher, now| {
            dispatcher.record_first_byte(now, id);
            Vec::new()
        });
    }

    /// Releases the slot and records how the request ended.
    pub fn end(mut self, outcome: Outcome) {
        self.ended = true;
        let id = self.id;
        self.notify_coordinator(Command::End(id, outcome));
        self.handle
            .apply(|dispatcher, now| dispatcher.finish(now, id, outcome));
    }

    /// Drops the permit without effect: the node that decided has already
    /// released the slot.
    fn disarm(mut self) {
        self.ended = true;
    }

    fn notify_coordinator(&self, command: Command) {
        if let Some(coordinator) = &self.coordinator {
            // A coordinator that is gone has released the slot itself.
            let _gone = coordinator.send(command);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let id = self.id;
        self.notify_coordinator(Command::End(id, Outcome::Cancelled));
        self.handle.lock().waiting.remove(&id);
        self.handle
            .apply(|dispatcher, now| dispatcher.cancel(now, id));
    }
}

/// Returns the version of an endpoint that the coordinator chose; `None` if the
/// directories of this node and of the coordinator differ, as either may be older.
fn agreed_version(own: Option<&id::Version>, chosen: Option<&id::Version>) -> Option<id::Version> {
    let agreed = own.filter(|own| chosen.is_none_or(|chosen| chosen == *own));
    agreed.cloned()
}
