//! What the cases share of their callers.

use std::{
    sync::{Arc, Mutex},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// Stack of a thread of a crowd.
const STACK: usize = 64 * 1024;

/// A request that has ended.
struct Outcome {
    group: usize,
    sent: Duration,
    status: Option<u16>,
}

/// The ends of requests; clones share them.
#[derive(Clone, Default)]
pub struct Outcomes(Arc<Mutex<Vec<Outcome>>>);

impl Outcomes {
    /// Adds a request of a group, the time at which it was sent, and its status; `None` without
    /// a complete answer.
    pub fn add(&self, group: usize, sent: Duration, status: Option<u16>) {
        self.0.lock().unwrap().push(Outcome {
            group,
            sent,
            status,
        });
    }

    /// Returns the number of requests of a group that were sent in a span, and of those that
    /// were served.
    pub fn count(&self, group: usize, from: Duration, to: Duration) -> (usize, usize) {
        let (mut sent, mut served) = (0, 0);
        for outcome in self.0.lock().unwrap().iter() {
            if outcome.group != group || outcome.sent < from || outcome.sent >= to {
                continue;
            }
            sent += 1;
            served += usize::from(outcome.status == Some(200));
        }
        (sent, served)
    }
}

/// Starts so many callers at a time, each with its number; the thread ends after the last of
/// them.
pub fn start_crowd<F>(size: usize, at: Instant, caller: F) -> JoinHandle<()>
where
    F: Fn(usize) + Clone + Send + 'static,
{
    thread::spawn(move || {
        thread::sleep(at.saturating_duration_since(Instant::now()));
        let mut crowd = Vec::new();
        for number in 0..size {
            let caller = caller.clone();
            let thread = thread::Builder::new().stack_size(STACK);
            crowd.extend(thread.spawn(move || caller(number)));
        }
        for caller in crowd {
            caller.join().unwrap();
        }
    })
}
