//! The actor that drives the decision core, a [`Scheduler`].

use std::{collections::HashMap, future::Future, sync::Arc, time::Duration};

use dottereltally_lib::{
    effect::Effect,
    event::{self, Event, Outcome},
    id, refusal, report,
    request::{Admitted, Claimed, NotRun, Profile, Request},
    scheduler::Scheduler,
};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

use crate::clock::Clock;

/// Interval at which the core receives [`Event::Tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time after a request's deadline at which its wait ends even if the core has
/// not decided.
const DECISION_SLACK: Duration = Duration::from_secs(1);

/// `retry-after` of a request that the core did not decide on.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request that the core refused, with the proof that it did not run.
#[derive(Debug)]
pub struct Refused {
    /// The reason, and when to send the request again.
    pub refusal: refusal::Refusal,
    /// The proof that the request was not dispatched.
    pub proof: NotRun,
}

/// Handle of the dispatcher; clones share it.
pub trait Handle: Clone + Send + Sync + 'static {
    /// Sends an event to the core without waiting.
    fn send(&self, event: event::Event);

    /// Waits until the core has assigned an endpoint.
    ///
    /// Dropping the future withdraws the request.
    ///
    /// # Errors
    ///
    /// Fails with the core's refusal.
    fn admit(
        &self,
        request: Request<Claimed>,
    ) -> impl Future<Output = Result<Request<Admitted>, Refused>> + Send;

    /// Waits until the core has assigned another endpoint to an admitted
    /// request of which nothing was sent.
    ///
    /// Dropping the future withdraws the request.
    ///
    /// # Errors
    ///
    /// Fails with the core's refusal.
    fn readmit(
        &self,
        request: Request<Claimed>,
    ) -> impl Future<Output = Result<Request<Admitted>, Refused>> + Send;
}

/// Function that returns the address of an endpoint, if it is known.
pub type Resolve = Arc<dyn Fn(&id::Endpoint) -> Option<String> + Send + Sync>;

/// Carries out those effects of the core that do not answer a waiting request.
pub trait Sink: Send + Sync + 'static {
    /// Probes an endpoint on a new connection and reports the result.
    fn probe(&self, dispatcher: &Sender, endpoint: id::Endpoint);

    /// Sends a quarantine mark, the fingerprint of a request suspected of crashing
    /// endpoints, to the peers.
    fn quarantine(&self, fingerprint: id::Fingerprint);

    /// Sends a message of the admission protocol to a peer.
    fn send(&self, node: id::Node, message: event::Message);
}

type Decision = Result<id::Endpoint, refusal::Refusal>;

/// A request for an endpoint and the channel for the core's decision.
#[derive(Debug)]
pub struct Arrival {
    request: id::Request,
    event: Event,
    reply: oneshot::Sender<Decision>,
}

/// Message to the dispatcher.
#[derive(Debug)]
pub enum Message {
    /// A request needs an endpoint, for the first time or again.
    Arrival(Arrival),
    /// The caller of a request that may be waiting has left.
    Withdrawn(id::Request),
    /// An event for the core.
    Event(Event),
    /// Asks for the core's view.
    Describe(oneshot::Sender<View>),
}

/// The endpoints and services as the core knows them.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The endpoints.
    pub endpoints: Vec<report::Endpoint>,
    /// The services.
    pub services: Vec<report::Service>,
}

/// The actor that owns the decision core.
#[derive(Debug)]
pub struct Dispatcher;

/// Arguments of the actor.
pub struct Arguments {
    /// The decision core.
    pub scheduler: Scheduler,
    /// The clock that drives it.
    pub clock: Clock,
    /// Carries out its effects.
    pub sink: Box<dyn Sink>,
}

/// State of the actor.
pub struct State {
    scheduler: Scheduler,
    clock: Clock,
    sink: Box<dyn Sink>,
    myself: Sender,
    waiting: HashMap<id::Request, oneshot::Sender<Decision>>,
}

impl Actor for Dispatcher {
    type Msg = Message;
    type State = State;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        arguments: Arguments,
    ) -> Result<State, ActorProcessingErr> {
        myself.send_interval(TICK_INTERVAL, || Message::Event(Event::Tick));
        Ok(State {
            scheduler: arguments.scheduler,
            clock: arguments.clock,
            sink: arguments.sink,
            myself: Sender::new(myself, arguments.clock),
            waiting: HashMap::new(),
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Arrival(arrival) => {
                state.waiting.insert(arrival.request, arrival.reply);
                state.process(arrival.event);
            }
            Message::Withdrawn(request) => {
                if state.waiting.remove(&request).is_some() {
                    state.process(Event::Withdrawn(request));
                }
            }
            Message::Event(event) => state.process(event),
            Message::Describe(reply) => {
                // Fails only if the receiver was dropped.
                let _ = reply.send(state.view());
            }
        }
        Ok(())
    }
}

impl State {
    fn view(&self) -> View {
        let now = self.clock.now();
        View {
            endpoints: self.scheduler.endpoints(now),
            services: self.scheduler.services(now),
        }
    }

    /// Passes an event to the core and carries out the effects, until no effect
    /// causes another event.
    fn process(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let effects = self.scheduler.handle(self.clock.now(), event);
            for effect in effects {
                events.extend(self.perform(effect));
            }
        }
    }

    /// Carries out one effect; returns the event to process if the admitted
    /// request is no longer waiting.
    fn perform(&mut self, effect: Effect) -> Option<Event> {
        match effect {
            Effect::Admit(request, endpoint) => {
                let reply = self.waiting.remove(&request);
                let delivered = reply.is_some_and(|reply| reply.send(Ok(endpoint)).is_ok());
                if !delivered {
                    return Some(Event::Ended(request, Outcome::Cancelled));
                }
            }
            Effect::Refuse(request, refusal) => {
                if let Some(reply) = self.waiting.remove(&request) {
                    let _ = reply.send(Err(refusal));
                }
            }
            Effect::Probe(endpoint) => self.sink.probe(&self.myself, endpoint),
            Effect::Quarantine(fingerprint) => self.sink.quarantine(fingerprint),
            Effect::Send(node, message) => self.sink.send(node, message),
        }
        None
    }
}

/// Handle of the running actor.
#[derive(Clone, Debug)]
pub struct Sender {
    actor: ActorRef<Message>,
    clock: Clock,
}

/// Returns the refusal of a request on which the core did not decide.
fn undecided(reason: refusal::Reason) -> refusal::Refusal {
    refusal::Refusal {
        reason,
        retry_after: RETRY_AFTER,
    }
}

impl Sender {
    /// Builds a handle from the actor's reference.
    #[must_use]
    pub fn new(actor: ActorRef<Message>, clock: Clock) -> Self {
        Self { actor, clock }
    }

    /// Returns the core's view, empty once the actor has stopped.
    pub async fn view(&self) -> View {
        let (reply, receiver) = oneshot::channel();
        self.cast(Message::Describe(reply));
        receiver.await.unwrap_or_default()
    }

    fn cast(&self, message: Message) {
        // A stopped actor accepts no message; the process is ending.
        let _ = self.actor.cast(message);
    }

    /// Sends an event that asks for an endpoint and waits for the decision.
    async fn wait(
        &self,
        request: Request<Claimed>,
        event: Event,
    ) -> Result<Request<Admitted>, Refused> {
        let (reply, receiver) = oneshot::channel();
        let remaining = request.profile().remaining(self.clock.now());
        let limit = Instant::now() + remaining + DECISION_SLACK;
        let arrival = Arrival {
            request: request.id(),
            event,
            reply,
        };
        let mut waiting = Waiting {
            sender: self,
            request: request.id(),
            receiver,
            decided: false,
        };
        self.cast(Message::Arrival(arrival));
        let refusal = match timeout_at(limit, &mut waiting.receiver).await {
            Ok(Ok(Ok(endpoint))) => {
                waiting.decided = true;
                return Ok(request.admit(endpoint));
            }
            Ok(Ok(Err(refusal))) => {
                waiting.decided = true;
                refusal
            }
            Ok(Err(_)) => undecided(refusal::Reason::Shutdown),
            Err(_) => undecided(refusal::Reason::Deadline),
        };
        Err(Refused {
            refusal,
            proof: request.abandon(),
        })
    }
}

impl Handle for Sender {
    fn send(&self, event: Event) {
        self.cast(Message::Event(event));
    }

    async fn admit(&self, request: Request<Claimed>) -> Result<Request<Admitted>, Refused> {
        let profile: Arc<Profile> = Arc::clone(request.profile());
        let event = Event::Arrived(request.id(), profile);
        self.wait(request, event).await
    }

    async fn readmit(&self, request: Request<Claimed>) -> Result<Request<Admitted>, Refused> {
        let event = Event::Unsent(request.id());
        self.wait(request, event).await
    }
}

/// Withdraws a request when dropped before the core has decided.
struct Waiting<'a> {
    sender: &'a Sender,
    request: id::Request,
    receiver: oneshot::Receiver<Decision>,
    decided: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.decided {
            return;
        }
        self.receiver.close();
        let event = match self.receiver.try_recv() {
            Ok(Ok(_)) => Message::Event(Event::Ended(self.request, Outcome::Cancelled)),
            Ok(Err(_)) => return,
            Err(_) => Message::Withdrawn(self.request),
        };
        self.sender.cast(event);
    }
}
