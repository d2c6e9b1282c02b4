//! The home's side of a link: decides for one other node.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use capnp::Error;
use dottereltally::clock::Clock;
use dottereltally_lib::refusal::{self, Refusal};
use dottereltally_proto::gateway_capnp::desk;
use tokio::{select, sync::oneshot};

use crate::{
    admission::{self, Permit},
    home::wire,
};

/// Answer to a request that was withdrawn; nobody waits for it.
const WITHDRAWN: Refusal = Refusal {
    reason: refusal::Reason::Shutdown,
    retry_after: Duration::ZERO,
};

/// A request of the other node.
enum Request {
    /// It waits for an endpoint; dropping the sender withdraws it.
    Waiting(#[expect(dead_code, reason = "its drop is the message")] oneshot::Sender<()>),
    /// It has a place at an endpoint.
    Admitted(Permit),
}

/// Decides for one other node; dropping it withdraws that node's requests.
pub struct Desk {
    admission: admission::Handle,
    clock: Clock,
    requests: RefCell<HashMap<u64, Request>>,
}

impl Desk {
    /// Builds a desk for a node that just connected.
    #[must_use]
    pub fn new(admission: admission::Handle, clock: Clock) -> Self {
        Self {
            admission,
            clock,
            requests: RefCell::default(),
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
        let wanted = wire::read_request(params.get_ask()?, self.clock.now())?;
        let (withdraw, withdrawn) = oneshot::channel();
        self.requests
            .borrow_mut()
            .insert(request, Request::Waiting(withdraw));
        let decided = select! {
            decided = self.admission.admit_locally(wanted) => decided,
            _ = withdrawn => Err(WITHDRAWN),
        };
        let decision = match decided {
            Ok((choice, permit)) => {
                let mut requests = self.requests.borrow_mut();
                if let Some(entry) = requests.get_mut(&request) {
                    *entry = Request::Admitted(permit);
                }
                Ok(choice)
            }
            Err(refusal) => {
                self.requests.borrow_mut().remove(&request);
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
        if let Some(Request::Admitted(permit)) = self.requests.borrow().get(&request) {
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
        if let Some(Request::Admitted(permit)) = entry {
            permit.end(outcome);
        }
        Ok(())
    }

    async fn ping(self: Rc<Self>, _: desk::PingParams, _: desk::PingResults) -> Result<(), Error> {
        Ok(())
    }
}
