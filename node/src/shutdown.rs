//! Stops a node without cutting a request.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
};

/// Phases of a shutdown; clones share them.
#[derive(Clone, Debug)]
pub struct Phase {
    announced: Arc<AtomicBool>,
    draining: Arc<watch::Sender<bool>>,
}

impl Default for Phase {
    fn default() -> Self {
        Self {
            announced: Arc::default(),
            draining: Arc::new(watch::Sender::new(false)),
        }
    }
}

impl Phase {
    /// Announces the shutdown; the node is not ready from here on.
    pub fn announce(&self) {
        self.announced.store(true, Ordering::Release);
    }

    /// Returns whether the shutdown was announced.
    #[must_use]
    pub fn is_announced(&self) -> bool {
        self.announced.load(Ordering::Acquire)
    }

    /// Stops taking requests.
    pub fn drain(&self) {
        self.draining.send_replace(true);
    }

    /// Returns a receiver that turns true when no more requests are taken.
    #[must_use]
    pub fn draining(&self) -> watch::Receiver<bool> {
        self.draining.subscribe()
    }
}

/// Waits for the signal to stop.
///
/// # Errors
///
/// Fails if the signals can't be listened for.
pub async fn requested() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
