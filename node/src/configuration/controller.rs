//! The actor that decides which configuration is in force.

use std::{marker::PhantomData, sync::Arc};

use dottereltally_lib::{configuration, id};
use dottereltally_store::{kv, layout};
use ractor::{Actor, ActorProcessingErr, ActorRef, SpawnErr};
use tokio::task::{self, JoinHandle, JoinSet};

use crate::{
    configuration::{Counters, Current, Handle, source},
    peer::Peers,
};

/// Messages of the actor.
#[derive(Debug)]
pub enum Message {
    /// A source has read a configuration.
    Offer(layout::Configuration),
}

/// The actor that keeps the configuration in force.
pub struct Controller<S, P>(PhantomData<fn(S, P)>);

/// Arguments that start the actor.
pub struct Arguments<S, P> {
    /// Publishes the configuration in force.
    pub handle: Handle,
    /// The key-value service.
    pub store: S,
    /// The peers.
    pub peers: P,
    /// The counters.
    pub counters: Counters,
}

/// State of the actor.
pub struct State {
    handle: Handle,
    counters: Counters,
    /// Token of the invalid configuration that was logged last, so that it is
    /// logged and parsed only once.
    last_invalid: String,
    _sources: JoinSet<()>,
}

impl<S: kv::Store, P: Peers> Controller<S, P> {
    /// Starts the controller and its sources on the current runtime.
    ///
    /// # Errors
    ///
    /// Fails if the actor can't be started.
    pub async fn start(
        arguments: Arguments<S, P>,
    ) -> Result<(ActorRef<Message>, JoinHandle<()>), SpawnErr> {
        Actor::spawn(None, Self(PhantomData), arguments).await
    }
}

impl<S: kv::Store, P: Peers> Actor for Controller<S, P> {
    type Msg = Message;
    type State = State;
    type Arguments = Arguments<S, P>;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        arguments: Arguments<S, P>,
    ) -> Result<State, ActorProcessingErr> {
        let handle = arguments.handle.clone();
        let counters = arguments.counters.clone();
        Ok(State {
            handle,
            counters,
            last_invalid: String::new(),
            _sources: source::start(&myself, arguments),
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let Message::Offer(record) = message;
        state.accept_if_newer(record).await;
        Ok(())
    }
}

impl State {
    /// Puts a configuration in force if its generation is higher than the one
    /// in force and its text is valid.
    async fn accept_if_newer(&mut self, record: layout::Configuration) {
        if record.generation <= self.handle.generation() {
            self.counters.passed_over.inc();
            return;
        }
        if record.token == self.last_invalid {
            self.counters.invalid.inc();
            return;
        }
        let document = record.text.clone();
        let parsed =
            task::spawn_blocking(move || document.parse::<configuration::Configuration>()).await;
        let faults = match parsed {
            Ok(Ok(configuration)) => {
                self.publish(record, configuration);
                return;
            }
            Ok(Err(faults)) => faults.to_string(),
            Err(error) => error.to_string(),
        };
        self.counters.invalid.inc();
        tracing::error!(
            generation = %record.generation,
            author = record.author,
            faults,
            "ignoring an invalid configuration; apply a corrected text"
        );
        self.last_invalid = record.token;
    }

    fn publish(&self, record: layout::Configuration, configuration: configuration::Configuration) {
        let generation = record.generation;
        tracing::info!(%generation, author = record.author, "configuration in force");
        let id::Generation(number) = generation;
        self.counters.taken.inc();
        self.counters
            .generation
            .set(i64::try_from(number).unwrap_or(i64::MAX));
        self.handle.publish(Current {
            record,
            configuration: Arc::new(configuration),
        });
    }
}
