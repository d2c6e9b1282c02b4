//! An acquired claim, as a typestate.
//!
//! [`Held`] becomes [`Dispatched`]. Only a claim that was not dispatched can
//! be released, and only a dispatched one can have a response.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use tokio::time::Instant;

use crate::{
    claim::{Counters, Error, identity::Identity, releaser},
    peer::Response,
    replay::Attempts,
};

/// Longest time between requesting a claim and dispatching its call; far below
/// the shortest lifetime of a claim, which its lease determines.
const MAX_HOLD_TIME: Duration = Duration::from_hours(1);

/// A point in time on two clocks, since either may stop while a host is paused.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timestamp {
    monotonic: Instant,
    wall: SystemTime,
}

impl Timestamp {
    pub(super) fn now() -> Self {
        Self {
            monotonic: Instant::now(),
            wall: SystemTime::now(),
        }
    }

    /// Returns whether a claim requested at this time is too old to dispatch.
    fn is_too_old(&self) -> bool {
        let wall = self.wall.elapsed().unwrap_or_default();
        self.monotonic.elapsed().max(wall) > MAX_HOLD_TIME
    }
}

/// Identity of an attempt and the shared services that it uses until it ends.
pub(super) struct Context {
    pub(super) identity: Arc<Identity>,
    pub(super) attempts: Attempts,
    pub(super) releaser: releaser::Handle,
    pub(super) counters: Counters,
}

/// An attempt that has not been dispatched; dropping it abandons the attempt
/// permanently.
pub(super) struct Pending {
    /// None once the attempt was dispatched or released, so that dropping this
    /// does nothing.
    context: Option<Context>,
    /// Time before the first claiming transaction was sent.
    requested: Timestamp,
    maybe_stored: bool,
}

impl Pending {
    /// Records a new attempt.
    pub(super) fn begin(context: Context) -> Self {
        context
            .attempts
            .begin(&context.identity.key, &context.identity.token);
        Self {
            context: Some(context),
            requested: Timestamp::now(),
            maybe_stored: false,
        }
    }

    /// Records whether the key-value service may have stored the claim.
    pub(super) fn set_maybe_stored(&mut self, maybe_stored: bool) {
        self.maybe_stored = maybe_stored;
    }

    /// Returns whether the key-value service may have stored the claim.
    pub(super) fn is_maybe_stored(&self) -> bool {
        self.maybe_stored
    }

    /// Records that the claim was acquired.
    pub(super) fn hold(self) -> Held {
        if let Some(context) = &self.context {
            context.attempts.hold(&context.identity.token);
        }
        Held { pending: self }
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        let Some(context) = self.context.take() else {
            return;
        };
        if !self.maybe_stored {
            context.attempts.remove(&context.identity.token);
            return;
        }
        context.attempts.abandon(&context.identity.token);
        context.releaser.release_in_background(context.identity);
    }
}

/// A claim held by an attempt that has not been dispatched.
///
/// Dropping it abandons the attempt permanently and releases the claim in the
/// background; the caller must then not be told that the call did not run.
#[must_use = "dropping it releases the claim"]
pub struct Held {
    pending: Pending,
}

impl Held {
    /// Returns the attempt's token.
    #[must_use]
    pub fn token(&self) -> &str {
        self.pending
            .context
            .as_ref()
            .map_or("", |context| &context.identity.token)
    }

    /// Records that the call may be sent to an endpoint from now on.
    ///
    /// # Errors
    ///
    /// Fails if the claim was held for so long that it may have expired, for
    /// example because the host was paused; the call must not be dispatched
    /// then.
    ///
    /// # Panics
    ///
    /// Panics if the attempt was already dispatched or abandoned.
    pub fn dispatch(mut self) -> Result<Dispatched, Error> {
        if self.pending.requested.is_too_old() {
            if let Some(context) = &self.pending.context {
                context.counters.expired.inc();
            }
            return Err(Error::Expired);
        }
        let context = self.pending.context.take();
        if let Some(context) = &context {
            context.attempts.dispatch(&context.identity.token);
        }
        Ok(Dispatched {
            context,
            requested: self.pending.requested,
        })
    }

    /// Releases the claim; success proves that the call did not run.
    ///
    /// # Errors
    ///
    /// Fails if the key-value service does not confirm that no attempt holds
    /// the key, or if the claim was held for too long.
    pub async fn release(mut self) -> Result<(), Error> {
        let Some(context) = self.pending.context.take() else {
            return Err(Error::Unconfirmed);
        };
        context.attempts.abandon(&context.identity.token);
        context.releaser.release(context.identity).await?;
        if self.pending.requested.is_too_old() {
            return Err(Error::Expired);
        }
        context.counters.released.inc();
        Ok(())
    }
}

/// A claim whose call may have been sent to an endpoint.
///
/// Dropping it records that the response is unknown.
#[must_use = "dropping it records that the response is unknown"]
pub struct Dispatched {
    /// None once the attempt has ended or its dispatch was reverted, so that
    /// dropping this does nothing.
    context: Option<Context>,
    requested: Timestamp,
}

impl Dispatched {
    /// Stores the complete response, to be replayed to later attempts.
    pub fn complete(mut self, response: Response) {
        if let Some(context) = self.context.take() {
            context.attempts.complete(&context.identity.token, response);
        }
    }

    /// Records that the response is unknown.
    pub fn mark_lost(self) {
        drop(self);
    }

    /// Reverts the dispatch. The client library returned the whole message,
    /// which proves that nothing was sent.
    ///
    /// # Panics
    ///
    /// Panics if the attempt has ended.
    pub fn undo<M>(mut self, _unsent: &M) -> Held {
        let context = self.context.take();
        if let Some(context) = &context {
            context.attempts.undo_dispatch(&context.identity.token);
        }
        Held {
            pending: Pending {
                context,
                requested: self.requested,
                maybe_stored: true,
            },
        }
    }
}

impl Drop for Dispatched {
    fn drop(&mut self) {
        if let Some(context) = self.context.take() {
            context.attempts.mark_lost(&context.identity.token);
        }
    }
}
