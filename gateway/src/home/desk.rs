//! The home's side: decides for one other node.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use capnp::Error;
use dottereltally::clock::Clock;
use dottereltally_lib::refusal::{self, Refusal};
use dottereltally_proto::gateway_capnp::desk;
use tokio::{select, sync::oneshot};

use crate::{
    admission::{self, Place},
    home::wire,
};

/// Answer to a request that was taken back; nobody waits for it.
const TAKEN_BACK: Refusal = Refusal {
    reason: refusal::Reason::Shutdown,
    retry_after: Duration::ZERO,
};

/// A request of the other node.
enum Slot {
    /// It waits; dropping the sender takes it back.
    Waiting(#[expect(dead_code, reason = "its drop is the message")] oneshot::Sender<()>),
    /// It has a place.
    Placed(Place),
}

/// Decides for one other node; dropping it gives the places back.
pub struct Desk {
    admission: admission::Handle,
    clock: Clock,
    slots: RefCell<HashMap<u64, Slot>>,
}

impl Desk {
    /// Builds the desk of a node that just connected.
    #[must_use]
    pub fn new(admission: admission::Handle, clock: Clock) -> Self {
        Self {
            admission,
            clock,
            slots: RefCell::default(),
        }
    }
}

impl desk::Server for Desk {
    async fn admit(
        self: Rc<Self>,
        params: desk::AdmitParams,
        mut results: desk::AdmitResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let request = params.get_request();
        let ask = wire::read_ask(params.get_ask()?, self.clock.now())?;
        let (waiting, taken_back) = oneshot::channel();
        self.slots
            .borrow_mut()
            .insert(request, Slot::Waiting(waiting));
        let decided = select! {
            decided = self.admission.decide(ask) => decided,
            _ = taken_back => Err(TAKEN_BACK),
        };
        let decision = match decided {
            Ok((choice, place)) => {
                let mut slots = self.slots.borrow_mut();
                if let Some(slot) = slots.get_mut(&request) {
                    *slot = Slot::Placed(place);
                }
                Ok(choice)
            }
            Err(refusal) => {
                self.slots.borrow_mut().remove(&request);
                Err(refusal)
            }
        };
        wire::write_decision(&decision, results.get().init_decision());
        Ok(())
    }

    async fn start(
        self: Rc<Self>,
        params: desk::StartParams,
        _: desk::StartResults,
    ) -> Result<(), Error> {
        let request = params.get()?.get_request();
        if let Some(Slot::Placed(place)) = self.slots.borrow().get(&request) {
            place.start();
        }
        Ok(())
    }

    async fn end(
        self: Rc<Self>,
        params: desk::EndParams,
        _: desk::EndResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let outcome = wire::read_outcome(params)?;
        let slot = self.slots.borrow_mut().remove(&params.get_request());
        if let Some(Slot::Placed(place)) = slot {
            place.end(outcome);
        }
        Ok(())
    }

    async fn ping(self: Rc<Self>, _: desk::PingParams, _: desk::PingResults) -> Result<(), Error> {
        Ok(())
    }
}
