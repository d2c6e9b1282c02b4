//! The actor that drives the decision core.

use std::sync::Arc;

use dottereltally_lib::{
    event, id, refusal,
    request::{Admitted, Claimed, NotRun, Request},
};

/// A request that the core refused, with the proof that it did not run.
#[derive(Debug)]
pub struct Refused {
    /// Why, and when to come back.
    pub refusal: refusal::Refusal,
    /// The proof.
    pub proof: NotRun,
}

/// Handle of the dispatcher; clones share it.
pub trait Handle: Clone + Send + Sync + 'static {
    /// Hands an event to the core without waiting.
    fn tell(&self, event: event::Event);

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
}

/// Returns the address of an endpoint, if it is known.
pub type Resolve = Arc<dyn Fn(&id::Endpoint) -> Option<String> + Send + Sync>;
