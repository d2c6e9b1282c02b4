//! The phases of a graceful shutdown and the signals that request it.

use std::{future, io, sync::Arc};

use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
    time::{Instant, sleep_until},
};

/// The phase of a shutdown; clones share it.
#[derive(Clone, Debug)]
pub struct Phase {
    /// When requests must have ended; `None` until the shutdown is announced.
    end: Arc<watch::Sender<Option<Instant>>>,
    draining: Arc<watch::Sender<bool>>,
}

impl Default for Phase {
    fn default() -> Self {
        Self {
            end: Arc::new(watch::Sender::new(None)),
            draining: Arc::new(watch::Sender::new(false)),
        }
    }
}

impl Phase {
    /// Announces the shutdown; the node is no longer ready, and its requests must have
    /// ended at `end`.
    pub fn announce(&self, end: Instant) {
        self.end.send_replace(Some(end));
    }

    /// Returns whether the shutdown was announced.
    #[must_use]
    pub fn is_announced(&self) -> bool {
        self.end().is_some()
    }

    /// Returns when requests must have ended; `None` until the shutdown is announced.
    #[must_use]
    pub fn end(&self) -> Option<Instant> {
        *self.end.borrow()
    }

    /// Waits until requests must have ended.
    pub async fn ended(&self) {
        let mut end = self.end.subscribe();
        let announced = end.wait_for(Option::is_some).await.map(|end| *end);
        match announced {
            Ok(Some(end)) => sleep_until(end).await,
            // The sender lives as long as `self`.
            Ok(None) | Err(_) => future::pending().await,
        }
    }

    /// Starts draining; the node accepts no more requests.
    pub fn drain(&self) {
        self.draining.send_replace(true);
    }

    /// Returns a receiver that becomes true when draining starts.
    #[must_use]
    pub fn draining(&self) -> watch::Receiver<bool> {
        self.draining.subscribe()
    }
}

/// Waits for a signal that requests the shutdown: `SIGTERM` or `SIGINT`.
///
/// # Errors
///
/// Fails if the signal handlers can't be installed.
pub async fn requested() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
