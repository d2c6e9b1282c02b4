//! The era of the directory's source, and when it changes.
//!
//! Each answer of the source names its era and, mostly, its revision. A source that was
//! restored from a copy is in another era. A source that announces no eras is known to be
//! in another one when its revision falls.

use std::{
    cmp::Ordering,
    future,
    sync::{Arc, Mutex},
    time::Duration,
};

use derive_more::Display;
use dottereltally_lib::era::{Era, Revision};
use rand::Rng;
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

use crate::sync::lock;

/// An answer of a former era, which arrived after one of a later era.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer is of era {heard}, and era {current} has begun; repeat the call")]
pub struct Outdated {
    /// Era of the answer.
    pub heard: Era,
    /// Era that is known to have begun.
    pub current: Era,
}

/// What an answer says of its era.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Announcement {
    /// It is this one.
    #[display("{_0}")]
    Number(u64),
    /// Nothing, as with sources that know no eras.
    #[display("missing")]
    Missing,
    /// It can't be read.
    #[display("unreadable")]
    Unreadable,
}

#[derive(Debug)]
struct State {
    /// When the first answer of the era arrived.
    since: Instant,
    /// Highest revision that was read in the era, and when it arrived first.
    highest: Option<(i64, Instant)>,
    /// Last announcement that was not used, to log each of them once.
    ignored: Option<Announcement>,
}

/// Handle of the source's era; clones share it.
#[derive(Clone, Debug)]
pub struct Handle {
    state: Arc<Mutex<State>>,
    current: watch::Sender<Era>,
}

impl Default for Handle {
    fn default() -> Self {
        Self {
            state: Arc::new(Mutex::new(State {
                since: Instant::now(),
                highest: None,
                ignored: None,
            })),
            current: watch::Sender::new(Era::default()),
        }
    }
}

impl Handle {
    /// Records what the answer to a call announces that was `sent` at a time; returns the
    /// era of the answer. What can't be read, or falls, says nothing, so that the era that
    /// is known stays.
    ///
    /// # Errors
    ///
    /// Fails if the answer is of a former era.
    pub fn record(&self, sent: Instant, announcement: Announcement) -> Result<Era, Outdated> {
        let mut state = lock(&self.state);
        let current = self.current();
        if let Announcement::Number(number) = announcement {
            let heard = Era::from(number);
            match number.cmp(&current.announced) {
                Ordering::Greater => {
                    self.begin(&mut state, heard);
                    return Ok(heard);
                }
                Ordering::Equal => return Ok(current),
                Ordering::Less if sent < state.since => return Err(Outdated { heard, current }),
                Ordering::Less => {}
            }
        }
        if announcement == Announcement::Missing && current.is_unknown() {
            return Ok(current);
        }
        if state.ignored.replace(announcement) != Some(announcement) {
            tracing::warn!(
                %announcement,
                era = %current,
                "era of the key-value service ignored: it is missing, unreadable or fell; check what answers at its address"
            );
        }
        Ok(current)
    }

    /// Records the revision that the answer to a call names that was `sent` at a time, after
    /// [`Self::record`]; returns it with its era, which is another one if the revision is
    /// below one that arrived before the call was sent. An answer that may be stale has no
    /// part in this.
    pub fn record_revision(&self, sent: Instant, revision: Revision) -> Revision {
        let mut state = lock(&self.state);
        let Revision { mut era, number } = revision;
        if era != self.current() {
            return revision;
        }
        match state.highest {
            Some((highest, at)) if number < highest && at < sent => {
                era = era.after_fall();
                tracing::warn!(
                    revision = number,
                    known = highest,
                    "revision of the key-value service fell"
                );
                self.begin(&mut state, era);
                state.highest = Some((number, Instant::now()));
            }
            Some((highest, _)) if number <= highest => {}
            _ => state.highest = Some((number, Instant::now())),
        }
        Revision { era, number }
    }

    fn begin(&self, state: &mut State, era: Era) {
        let previous = self.current();
        // The first announcement is no sign of a restoration.
        if previous.is_unknown() && state.highest.is_none() {
            tracing::info!(%era, "era of the key-value service is known");
        } else {
            tracing::warn!(
                %era,
                %previous,
                "key-value service was restored from a copy: another era has begun"
            );
        }
        state.since = Instant::now();
        state.highest = None;
        self.current.send_replace(era);
    }

    /// Returns the era of the latest answer.
    #[must_use]
    pub fn current(&self) -> Era {
        *self.current.borrow()
    }

    /// Waits until another era than this one has begun.
    pub async fn wait_for_change(&self, known: Era) {
        let mut current = self.current.subscribe();
        if current.wait_for(|era| *era != known).await.is_err() {
            // The sender lives as long as this handle.
            future::pending::<()>().await;
        }
    }
}

/// Waits for a random part of a time, over which the nodes spread what they do in another era.
pub(crate) async fn wait_for_turn(spread: Duration) {
    let part = rand::rng().random_range(0.0..1.0);
    sleep(spread.mul_f64(part)).await;
}
