//! Gives claims back by compare-and-swap on exactly their own value.

use std::{sync::Arc, time::Duration};

use dottereltally_store::kv;
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinSet,
    time,
};

use crate::claim::{Error, Limits, identity::Identity};

/// Time before a deletion with a lost answer is repeated.
const REPEAT_PERIOD: Duration = Duration::from_millis(50);

/// Time before a claim whose caller has been answered is tried again.
const RETRY_PERIOD: Duration = Duration::from_secs(1);

/// Longest such time.
const RETRY_LIMIT: Duration = Duration::from_mins(1);

/// Number of tries for a claim whose caller has been answered.
const TRIES: u32 = 20;

/// Number of claims that are given back at the same time at the most; further
/// ones are left to their lease, or to an attempt that takes them over.
const TASK_LIMIT: usize = 4096;

/// A claim to be given back.
struct Job {
    identity: Arc<Identity>,
    reply: Option<oneshot::Sender<Result<(), Error>>>,
    _open: Open,
}

/// Counts one job as open until it is dropped.
struct Open(Arc<watch::Sender<usize>>);

impl Open {
    fn new(count: &Arc<watch::Sender<usize>>) -> Self {
        count.send_modify(|count| *count += 1);
        Self(Arc::clone(count))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}

/// Hands claims to the sweeper; clones share it.
#[derive(Clone)]
pub(super) struct Handle {
    jobs: mpsc::UnboundedSender<Job>,
    open: Arc<watch::Sender<usize>>,
}

impl Handle {
    /// Waits until no claim is left to be given back.
    pub(super) async fn idle(&self) {
        let mut open = self.open.subscribe();
        let _idle = open.wait_for(|count| *count == 0).await;
    }

    /// Gives a claim back and waits for the result.
    pub(super) async fn release(&self, identity: Arc<Identity>) -> Result<(), Error> {
        let (reply, result) = oneshot::channel();
        let job = Job {
            identity,
            reply: Some(reply),
            _open: Open::new(&self.open),
        };
        if self.jobs.send(job).is_err() {
            return Err(Error::Unconfirmed);
        }
        result.await.unwrap_or(Err(Error::Unconfirmed))
    }

    /// Gives a claim back in the background.
    pub(super) fn abandon(&self, identity: Arc<Identity>) {
        let job = Job {
            identity,
            reply: None,
            _open: Open::new(&self.open),
        };
        let _stopped = self.jobs.send(job);
    }
}

/// Gives claims back until its handles are gone.
pub(super) struct Sweeper<S> {
    store: S,
    limits: Limits,
    jobs: mpsc::UnboundedReceiver<Job>,
}

impl<S: kv::Store> Sweeper<S> {
    pub(super) fn new(store: S, limits: Limits) -> (Handle, Self) {
        let (sender, jobs) = mpsc::unbounded_channel();
        let handle = Handle {
            jobs: sender,
            open: Arc::default(),
        };
        let sweeper = Self {
            store,
            limits,
            jobs,
        };
        (handle, sweeper)
    }

    pub(super) async fn run(mut self) {
        let mut tasks = JoinSet::new();
        while let Some(job) = self.jobs.recv().await {
            while tasks.try_join_next().is_some() {}
            if tasks.len() >= TASK_LIMIT {
                continue;
            }
            tasks.spawn(sweep(self.store.clone(), self.limits, job));
        }
    }
}

/// Gives one claim back.
async fn sweep<S: kv::Store>(store: S, limits: Limits, mut job: Job) {
    if let Some(reply) = job.reply.take() {
        let confirm = confirm(&store, &job.identity);
        let result = time::timeout(limits.release, confirm)
            .await
            .unwrap_or(Err(Error::Unconfirmed));
        let settled = matches!(result, Ok(()) | Err(Error::Taken));
        let _gone = reply.send(result);
        if settled {
            return;
        }
    }
    let mut pause = RETRY_PERIOD;
    for _ in 0..TRIES {
        if delete(&store, &job.identity).await.is_ok() {
            return;
        }
        time::sleep(pause).await;
        pause = (pause * 2).min(RETRY_LIMIT);
    }
}

/// Repeats the deletion until it is answered.
async fn confirm<S: kv::Store>(store: &S, identity: &Identity) -> Result<(), Error> {
    loop {
        match delete(store, identity).await {
            Ok(true) => return Ok(()),
            Ok(false) => return Err(Error::Taken),
            Err(kv::Error::Refused(cause)) => {
                return Err(Error::Refused(kv::Error::Refused(cause)));
            }
            Err(error) if error.may_have_taken_effect() => time::sleep(REPEAT_PERIOD).await,
            Err(_) => return Err(Error::Unconfirmed),
        }
    }
}

/// Deletes the key if it has the attempt's value; returns whether the key is
/// absent now.
async fn delete<S: kv::Store>(store: &S, identity: &Identity) -> Result<bool, kv::Error> {
    let outcome = store.transact(identity.release()).await?;
    if outcome.succeeded {
        return Ok(true);
    }
    Ok(outcome.reads.first().is_none_or(Option::is_none))
}
