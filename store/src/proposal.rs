//! Atomic change of the configuration.
//!
//! One transaction checks that the configuration was not modified since it was
//! read, writes the new configuration and adds its audit entry. If the answer
//! is lost, the audit trail is searched for the token of the proposal, which
//! is the same in all its attempts.

use std::time::Duration;

use dottereltally_lib::{diff, id};
use tokio::time;

use crate::{
    kv::{self, Compare, Operation, Store, Transaction},
    layout::{self, Audit, Configuration},
};

/// Number of generations after which an audit entry is deleted, and maximum
/// number of entries that are read.
pub const RETAINED_AUDIT_GENERATIONS: u64 = 10_000;

/// Time between two attempts of a proposal.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Configuration that an operator proposes.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Generation that the text was edited from; zero if there was none.
    pub base: id::Generation,
    /// Highest generation that a node has in force; the generation of the
    /// proposal will be above it.
    pub floor: id::Generation,
    /// The new text; the caller has validated it.
    pub text: String,
    /// Name of the operator, for the audit trail.
    pub author: String,
    /// Time of the proposal, RFC 3339.
    pub time: String,
    /// Identifies the proposal.
    pub token: String,
}

/// Result of a proposal that was not refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Accepted {
    /// It was accepted as this generation, with these changes.
    Changed(id::Generation, Vec<String>),
    /// It equals the configuration of this generation; nothing was written.
    Unchanged(id::Generation),
}

/// Error of a proposal or of a read of the configuration.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// The configuration has changed since the base.
    #[error("the text was edited from generation {base}, but generation {} by {} is in force", .current.generation, .current.author)]
    Conflict {
        /// Generation that the text was edited from.
        base: id::Generation,
        /// Configuration in force.
        current: Box<Configuration>,
        /// Audit entries since the base, oldest first.
        since: Vec<Audit>,
    },
    /// The key-value service failed; nothing was written.
    #[error("nothing was changed: {0}")]
    Platform(kv::Error),
    /// An answer was lost, and it is unknown whether the proposal was or will be
    /// accepted. The text is the proposal's token, by which the audit trail can
    /// be searched.
    #[error(
        "no answer in time, the change may or may not come into force: {0}; find its token {1} with `history` before applying again"
    )]
    Indeterminate(kv::Error, String),
    /// The transaction kept failing although the base is in force, as it does
    /// if the audit trail already has an entry for the next generation.
    #[error(
        "nothing was changed: the audit trail already has generation {0} while the configuration does not; restore both from one backup of the key-value service"
    )]
    AuditAhead(id::Generation),
    /// The value of a key can't be decoded; with the key and the cause.
    #[error("{0} is unreadable: {1}; restore it from a backup of the key-value service")]
    Unreadable(String, String),
    /// The text in force or the new one can't be parsed.
    #[error("the text is unreadable: {0}")]
    Text(#[from] dottereltally_lib::fault::List),
}

/// Stored configuration and the revision that last modified it.
struct State {
    /// The configuration; `None` if there is none yet.
    current: Option<Configuration>,
    /// Its last revision; zero if there is no configuration.
    modified: kv::Revision,
}

impl Proposal {
    /// Submits the proposal, and retries after a lost answer or a failed
    /// transaction until `limit` has passed.
    ///
    /// # Errors
    ///
    /// Fails with a conflict, or if the key-value service can't be reached; see
    /// [`Error`].
    pub async fn submit<S: Store>(&self, store: &S, limit: Duration) -> Result<Accepted, Error> {
        let deadline = time::Instant::now() + limit;
        let mut lost = None;
        loop {
            match self.attempt(store, lost.is_some()).await {
                Ok(Some(accepted)) => return Ok(accepted),
                Ok(None) => {}
                Err(Error::Platform(error)) => {
                    if error.may_have_taken_effect() {
                        lost = Some(error);
                    } else if lost.is_none() {
                        return Err(Error::Platform(error));
                    }
                }
                Err(error) => return Err(error),
            }
            if time::Instant::now() >= deadline {
                return Err(match lost {
                    Some(error) => Error::Indeterminate(error, self.token.clone()),
                    None => Error::AuditAhead(self.base.next()),
                });
            }
            time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Tries once; returns `None` if a condition of the transaction failed.
    ///
    /// `may_be_written` is whether an earlier attempt may have taken effect.
    async fn attempt<S: Store>(
        &self,
        store: &S,
        may_be_written: bool,
    ) -> Result<Option<Accepted>, Error> {
        let state = read(store).await?;
        if let Some(accepted) = self.reconcile(store, &state, may_be_written).await? {
            return Ok(Some(accepted));
        }
        let changes = self.changes(&state)?;
        if let Some(current) = &state.current
            && changes.is_empty()
        {
            return Ok(Some(Accepted::Unchanged(current.generation)));
        }
        let generation = self.base.max(self.floor).next();
        let transaction = self.transaction(&state, generation, &changes);
        let outcome = store.transact(transaction).await.map_err(Error::Platform)?;
        if outcome.succeeded {
            return Ok(Some(Accepted::Changed(generation, changes)));
        }
        Ok(None)
    }

    /// Handles a configuration that is no longer the base: returns the result
    /// of an earlier attempt of this proposal, or fails with a conflict.
    ///
    /// Returns `None` if the base is still in force or if there is no
    /// configuration.
    async fn reconcile<S: Store>(
        &self,
        store: &S,
        state: &State,
        may_be_written: bool,
    ) -> Result<Option<Accepted>, Error> {
        let generation = state.generation();
        if generation == self.base {
            return Ok(None);
        }
        let since = audits_since(store, self.base).await?;
        let accepted = since.iter().find(|audit| audit.token == self.token);
        if let Some(accepted) = accepted
            && may_be_written
        {
            return Ok(Some(Accepted::Changed(
                accepted.generation,
                accepted.changes.clone(),
            )));
        }
        let Some(current) = &state.current else {
            return Ok(None);
        };
        Err(Error::Conflict {
            base: self.base,
            current: Box::new(current.clone()),
            since,
        })
    }

    fn changes(&self, state: &State) -> Result<Vec<String>, Error> {
        let old = state.current.as_ref().map_or("", |current| &current.text);
        if old.is_empty() {
            return Ok(vec!["+ first configuration".to_owned()]);
        }
        Ok(diff::lines(old, &self.text)?)
    }

    fn transaction(
        &self,
        state: &State,
        generation: id::Generation,
        changes: &[String],
    ) -> Transaction {
        let configuration = Configuration {
            generation,
            text: self.text.clone(),
            author: self.author.clone(),
            time: self.time.clone(),
            token: self.token.clone(),
        };
        let audit = Audit {
            generation,
            author: self.author.clone(),
            time: self.time.clone(),
            changes: changes.to_vec(),
            token: self.token.clone(),
        };
        let not_modified = match state.current {
            Some(_) => Compare::Modified(layout::CONFIGURATION_KEY.to_owned(), state.modified),
            None => Compare::Absent(layout::CONFIGURATION_KEY.to_owned()),
        };
        let audit_key = layout::audit_key(generation);
        let mut success = vec![
            Operation::Put(
                layout::CONFIGURATION_KEY.to_owned(),
                encode(&configuration),
                None,
            ),
            Operation::Put(audit_key.clone(), encode(&audit), None),
        ];
        if let Some(expired) = generation.0.checked_sub(RETAINED_AUDIT_GENERATIONS) {
            let key = layout::audit_key(id::Generation(expired));
            success.push(Operation::Delete(key));
        }
        Transaction {
            compares: vec![not_modified, Compare::Absent(audit_key)],
            success,
            failure: Vec::new(),
        }
    }
}

impl State {
    fn generation(&self) -> id::Generation {
        self.current
            .as_ref()
            .map_or_else(id::Generation::default, |current| current.generation)
    }
}

/// Reads the configuration in force.
///
/// # Errors
///
/// Fails if the key-value service can't be reached or the value can't be
/// decoded.
pub async fn current<S: Store>(store: &S) -> Result<Option<Configuration>, Error> {
    Ok(read(store).await?.current)
}

/// Reads the audit entries after a generation, oldest first.
///
/// # Errors
///
/// Fails if the key-value service can't be reached or an entry can't be
/// decoded.
pub async fn audits_since<S: Store>(store: &S, base: id::Generation) -> Result<Vec<Audit>, Error> {
    let limit = usize::try_from(RETAINED_AUDIT_GENERATIONS).unwrap_or(usize::MAX);
    let entries = store
        .list(layout::AUDIT_PREFIX, limit)
        .await
        .map_err(Error::Platform)?;
    let mut audits = Vec::new();
    for entry in entries {
        let audit: Audit = decode(&entry)?;
        if audit.generation > base {
            audits.push(audit);
        }
    }
    Ok(audits)
}

async fn read<S: Store>(store: &S) -> Result<State, Error> {
    let entry = store
        .get(layout::CONFIGURATION_KEY)
        .await
        .map_err(Error::Platform)?;
    let Some(entry) = entry else {
        return Ok(State {
            current: None,
            modified: kv::Revision::default(),
        });
    };
    Ok(State {
        current: Some(decode(&entry)?),
        modified: entry.modified,
    })
}

fn decode<T: serde::de::DeserializeOwned>(entry: &kv::Entry) -> Result<T, Error> {
    serde_json::from_slice(&entry.value)
        .map_err(|error| Error::Unreadable(entry.key.clone(), error.to_string()))
}

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("a struct of numbers and text has a JSON form")
}
