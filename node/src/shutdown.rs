//! The phases of a graceful shutdown and the signals that request it.

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

/// The phase of a shutdown; clones share it.
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
    /// Announces the shutdown; the node is no longer ready.
    pub fn announce(&self) {
        self.announced.store(true, Ordering::Release);
    }

    /// Returns whether the shutdown was announced.
    #[must_use]
    pub fn is_announced(&self) -> bool {
        self.announced.load(Ordering::Acquire)
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
