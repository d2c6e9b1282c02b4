//! How the answer to a call arrives.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dottereltally_lib::size;

/// What has arrived of the answer to a call; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Intake(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    received: size::Bytes,
    declared: Option<size::Bytes>,
}

impl Intake {
    /// Records the length that the head of an answer declares.
    pub fn declare(&self, bytes: size::Bytes) {
        self.lock().declared = Some(bytes);
    }

    /// Records content that arrived.
    pub fn record(&self, bytes: size::Bytes) {
        self.lock().received += bytes;
    }

    /// Returns how much content has arrived, of all answers if there were several.
    #[must_use]
    pub fn received(&self) -> size::Bytes {
        self.lock().received
    }

    /// Returns the length that the last answer declared, if it declared one.
    #[must_use]
    pub fn declared(&self) -> Option<size::Bytes> {
        self.lock().declared
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
