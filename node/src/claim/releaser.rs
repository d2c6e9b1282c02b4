//! Releases claims, deleting a key only if it still has the claim's own value.

use std::{sync::Arc, time::Duration};

use dottereltally_store::kv;
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinSet,
    time,
};

use crate::claim::{Error, Limits, identity::Identity};

/// Delay before a deletion whose answer was lost is repeated.
const REPEAT_DELAY: Duration = Duration::from_millis(50);

/// Delay before the second background try to release a claim; doubles with
/// each further try.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Longest delay between two background tries.
const MAX_RETRY_DELAY: Duration = Duration::from_mins(1);

/// Maximum number of background tries to release one claim, which is then left
/// to expire with its lease, or to be taken over by another attempt.
const MAX_TRIES: u32 = 20;

/// Maximum number of claims that are released concurrently; further ones are
/// left to expire with their lease, or to be taken over by another attempt.
const MAX_TASKS: usize = 4096;

/// A claim to be released.
struct Job {
    identity: Arc<Identity>,
    reply: Option<oneshot::Sender<Result<(), Error>>>,
    _outstanding: Outstanding,
}

/// Counts one job as outstanding until it is dropped.
struct Outstanding(Arc<watch::Sender<usize>>);

impl Outstanding {
    fn new(count: &Arc<watch::Sender<usize>>) -> Self {
        count.send_modify(|count| *count += 1);
        Self(Arc::clone(count))
    }
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}

/// Passes claims to the releaser; clones share it.
#[derive(Clone)]
pub(super) struct Handle {
    jobs: mpsc::UnboundedSender<Job>,
    outstanding: Arc<watch::Sender<usize>>,
}

impl Handle {
    /// Waits until no job is outstanding.
    pub(super) async fn idle(&self) {
        let mut outstanding = self.outstanding.subscribe();
        let _idle = outstanding.wait_for(|count| *count == 0).await;
    }

    /// Releases a claim and waits for the result.
    pub(super) async fn release(&self, identity: Arc<Identity>) -> Result<(), Error> {
        let (reply, result) = oneshot::channel();
        let job = Job {
            identity,
            reply: Some(reply),
            _outstanding: Outstanding::new(&self.outstanding),
        };
        if self.jobs.send(job).is_err() {
            return Err(Error::Unconfirmed);
        }
        result.await.unwrap_or(Err(Error::Unconfirmed))
    }

    /// Releases a claim in the background.
    pub(super) fn release_in_background(&self, identity: Arc<Identity>) {
        let job = Job {
            identity,
            reply: None,
            _outstanding: Outstanding::new(&self.outstanding),
        };
        let _releaser_stopped = self.jobs.send(job);
    }
}

/// Releases claims until all its handles are dropped.
pub(super) struct Releaser<S> {
    store: S,
    limits: Limits,
    jobs: mpsc::UnboundedReceiver<Job>,
}

impl<S: kv::Store> Releaser<S> {
    pub(super) fn new(store: S, limits: Limits) -> (Handle, Self) {
        let (sender, jobs) = mpsc::unbounded_channel();
        let handle = Handle {
            jobs: sender,
            outstanding: Arc::default(),
        };
        let releaser = Self {
            store,
            limits,
            jobs,
        };
        (handle, releaser)
    }

    pub(super) async fn run(mut self) {
        let mut tasks = JoinSet::new();
        while let Some(job) = self.jobs.recv().await {
            while tasks.try_join_next().is_some() {}
            if tasks.len() >= MAX_TASKS {
                continue;
            }
            tasks.spawn(release(self.store.clone(), self.limits, job));
        }
    }
}

/// Releases one claim: replies to the waiting caller, if any, within the time
/// limit, and continues in the background unless the result is final.
async fn release<S: kv::Store>(store: S, limits: Limits, mut job: Job) {
    if let Some(reply) = job.reply.take() {
        let confirm = confirm(&store, &job.identity);
        let result = time::timeout(limits.release, confirm)
            .await
            .unwrap_or(Err(Error::Unconfirmed));
        let is_final = matches!(result, Ok(()) | Err(Error::Claimed));
        let _receiver_dropped = reply.send(result);
        if is_final {
            return;
        }
    }
    let mut delay = MIN_RETRY_DELAY;
    for _ in 0..MAX_TRIES {
        if delete(&store, &job.identity).await.is_ok() {
            return;
        }
        time::sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Deletes the key and repeats the deletion for as long as its answer is lost.
async fn confirm<S: kv::Store>(store: &S, identity: &Identity) -> Result<(), Error> {
    loop {
        match delete(store, identity).await {
            Ok(true) => return Ok(()),
            Ok(false) => return Err(Error::Claimed),
            Err(kv::Error::Refused(cause)) => {
                return Err(Error::Refused(kv::Error::Refused(cause)));
            }
            Err(error) if error.may_have_taken_effect() => time::sleep(REPEAT_DELAY).await,
            Err(_) => return Err(Error::Unconfirmed),
        }
    }
}

/// Deletes the key if it has the claim's value; returns whether the key is
/// absent afterwards.
async fn delete<S: kv::Store>(store: &S, identity: &Identity) -> Result<bool, kv::Error> {
    let outcome = store.transact(identity.release()).await?;
    if outcome.succeeded {
        return Ok(true);
    }
    Ok(outcome.reads.first().is_none_or(Option::is_none))
}
