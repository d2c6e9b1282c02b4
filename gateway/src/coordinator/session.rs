//! The coordinator's side of a link: decides for one other node.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use capnp::Error;
use dottereltally::clock::Clock;
use dottereltally_lib::refusal::{self, Refusal};
use dottereltally_proto::gateway_capnp::desk;
use tokio::{select, sync::oneshot};

use crate::{
    admission::{self, Permit},
    coordinator::wire,
};

/// Answer to a request that was withdrawn; nobody waits for it.
const WITHDRAWN: Refusal = Refusal {
    reason: refusal::Reason::Shutdown,
    retry_after: Duration::ZERO,
};

/// The state of a request of the other node.
enum State {
    /// It waits for an endpoint; dropping the sender withdraws it.
    Waiting(#[expect(dead_code, reason = "dropping it withdraws the request")] oneshot::Sender<()>),
    /// It has a slot at an endpoint.
    Admitted(Permit),
}

/// Decides for one other node; dropping it withdraws that node's requests.
pub struct Session {
    admission: admission::Handle,
    clock: Clock,
    /// The node's requests, by the number that the node gave them.
    requests: RefCell<HashMap<u64, State>>,
}

impl Session {
    /// Builds a session for a node that just connected.
    #[must_use]
    pub fn new(admission: admission::Handle, clock: Clock) -> Self {
        Self {
            admission,
            clock,
            requests: RefCell::default(),
        }
    }
}

impl desk::Server for Session {
    async fn admit(
        self: Rc<Self>,
        params: desk::AdmitParams,
        mut results: desk::AdmitResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let id = params.get_request();
        let request = wire::read_request(params.get_ask()?, self.clock.now())?;
        let (withdraw, withdrawn) = oneshot::channel();
        self.requests
            .borrow_mut()
            .insert(id, State::Waiting(withdraw));
        let decided = select! {
            decided = self.admission.admit_locally(request) => decided,
            _ = withdrawn => Err(WITHDRAWN),
        };
        let decision = match decided {
            Ok((choice, permit)) => {
                let mut requests = self.requests.borrow_mut();
                if let Some(entry) = requests.get_mut(&id) {
                    *entry = State::Admitted(permit);
                }
                Ok(choice)
            }
            Err(refusal) => {
                self.requests.borrow_mut().remove(&id);
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
        let id = params.get()?.get_request();
        if let Some(State::Admitted(permit)) = self.requests.borrow().get(&id) {
            permit.record_first_byte();
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
        let entry = self.requests.borrow_mut().remove(&params.get_request());
        if let Some(State::Admitted(permit)) = entry {
            permit.end(outcome);
        }
        Ok(())
    }

    async fn ping(self: Rc<Self>, _: desk::PingParams, _: desk::PingResults) -> Result<(), Error> {
        Ok(())
    }
}
