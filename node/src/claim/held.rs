//! A claim that is held, as a typestate.
//!
//! `Held → Dispatched`; only a claim that was not dispatched can be given
//! back, and only a dispatched one has an answer.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use tokio::time::Instant;

use crate::{
    claim::{Counters, Error, identity::Identity, sweeper},
    peer::Response,
    replay::Attempts,
};

/// Time after which a claim is no longer relied on; far below the least time
/// that its lease lives.
const HOLD_LIMIT: Duration = Duration::from_hours(1);

/// A moment on two clocks, as either may stand still while a host is paused.
#[derive(Clone, Copy, Debug)]
pub(super) struct Moment {
    monotonic: Instant,
    wall: SystemTime,
}

impl Moment {
    pub(super) fn now() -> Self {
        Self {
            monotonic: Instant::now(),
            wall: SystemTime::now(),
        }
    }

    /// Returns whether a claim that was asked for at this moment is too old.
    fn is_too_old(&self) -> bool {
        let wall = self.wall.elapsed().unwrap_or_default();
        self.monotonic.elapsed().max(wall) > HOLD_LIMIT
    }
}

/// What an attempt needs until it ends.
pub(super) struct Tools {
    pub(super) identity: Arc<Identity>,
    pub(super) attempts: Attempts,
    pub(super) sweeper: sweeper::Handle,
    pub(super) counters: Counters,
}

/// An attempt that has not been dispatched; dropping it gives it up for good.
pub(super) struct Pending {
    tools: Option<Tools>,
    asked: Moment,
    sent: bool,
}

impl Pending {
    /// Records a new attempt.
    pub(super) fn begin(tools: Tools) -> Self {
        tools
            .attempts
            .begin(&tools.identity.key, &tools.identity.token);
        Self {
            tools: Some(tools),
            asked: Moment::now(),
            sent: false,
        }
    }

    /// Records whether the claim may have been handed over.
    pub(super) fn set_sent(&mut self, sent: bool) {
        self.sent = sent;
    }

    /// Returns whether the claim may have been handed over.
    pub(super) fn was_sent(&self) -> bool {
        self.sent
    }

    /// Records that the claim is held.
    pub(super) fn hold(self) -> Held {
        if let Some(tools) = &self.tools {
            tools.attempts.hold(&tools.identity.token);
        }
        Held { pending: self }
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        let Some(tools) = self.tools.take() else {
            return;
        };
        if !self.sent {
            tools.attempts.forget(&tools.identity.token);
            return;
        }
        tools.attempts.give_up(&tools.identity.token);
        tools.sweeper.abandon(tools.identity);
    }
}

/// A claim that is held by an attempt that has not been dispatched.
///
/// Dropping it gives the attempt up for good and the claim back in the
/// background; a caller may then not be told that the call did not run.
#[must_use = "dropping it gives the claim back"]
pub struct Held {
    pending: Pending,
}

impl Held {
    /// Returns the attempt's token.
    #[must_use]
    pub fn token(&self) -> &str {
        self.pending
            .tools
            .as_ref()
            .map_or("", |tools| &tools.identity.token)
    }

    /// Records that the call may be handed to an endpoint from here on.
    ///
    /// # Errors
    ///
    /// Fails if the claim was held for so long that it may have lapsed, such
    /// as after the host was paused; the call must not be dispatched then.
    ///
    /// # Panics
    ///
    /// Panics if the attempt was dispatched or given up before.
    pub fn dispatch(mut self) -> Result<Dispatched, Error> {
        if self.pending.asked.is_too_old() {
            if let Some(tools) = &self.pending.tools {
                tools.counters.expired.inc();
            }
            return Err(Error::Expired);
        }
        let tools = self.pending.tools.take();
        if let Some(tools) = &tools {
            tools.attempts.dispatch(&tools.identity.token);
        }
        Ok(Dispatched {
            tools,
            asked: self.pending.asked,
        })
    }

    /// Gives the claim back; only if this succeeds, the call has not run.
    ///
    /// # Errors
    ///
    /// Fails if the key-value service does not confirm that no attempt holds
    /// the key.
    pub async fn release(mut self) -> Result<(), Error> {
        let Some(tools) = self.pending.tools.take() else {
            return Err(Error::Unconfirmed);
        };
        tools.attempts.give_up(&tools.identity.token);
        tools.sweeper.release(tools.identity).await?;
        if self.pending.asked.is_too_old() {
            return Err(Error::Expired);
        }
        tools.counters.released.inc();
        Ok(())
    }
}

/// A claim whose call may have been handed to an endpoint.
///
/// Dropping it records that the answer is not known.
#[must_use = "dropping it records that the answer is not known"]
pub struct Dispatched {
    tools: Option<Tools>,
    asked: Moment,
}

impl Dispatched {
    /// Keeps the whole answer, to be given again to later attempts.
    pub fn complete(mut self, response: Response) {
        if let Some(tools) = self.tools.take() {
            tools.attempts.complete(&tools.identity.token, response);
        }
    }

    /// Records that the answer is not known.
    pub fn lose(self) {
        drop(self);
    }

    /// Takes the dispatch back because the client library returned the whole
    /// message, which proves that nothing was handed over.
    ///
    /// # Panics
    ///
    /// Panics if the attempt has ended.
    pub fn undo<M>(mut self, _unsent: &M) -> Held {
        let tools = self.tools.take();
        if let Some(tools) = &tools {
            tools.attempts.undo(&tools.identity.token);
        }
        Held {
            pending: Pending {
                tools,
                asked: self.asked,
                sent: true,
            },
        }
    }
}

impl Drop for Dispatched {
    fn drop(&mut self) {
        if let Some(tools) = self.tools.take() {
            tools.attempts.lose(&tools.identity.token);
        }
    }
}
