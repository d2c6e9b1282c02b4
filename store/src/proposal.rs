//! A change of the configuration, accepted or refused as a whole.
//!
//! One transaction compares the revision that the text was edited from, puts
//! the new configuration and writes its audit entry. A lost answer is settled
//! by reading back; every attempt of one proposal has the same token.

use std::time::Duration;

use dottereltally_lib::{difference, id};
use tokio::time;

use crate::{
    kv::{self, Compare, Operation, Store, Transaction},
    layout::{self, Audit, Configuration},
};

/// Number of generations that the audit trail keeps.
pub const AUDIT_GENERATIONS: u64 = 10_000;

const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// A text that an operator wants in force.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Generation that the text was edited from; zero if there was none.
    pub base: id::Generation,
    /// Highest generation that a node has in force; the next is above it.
    pub floor: id::Generation,
    /// The text, checked before.
    pub text: String,
    /// Who proposes it.
    pub author: String,
    /// When, RFC 3339.
    pub time: String,
    /// Identifies the proposal.
    pub token: String,
}

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Accepted {
    /// It is the configuration of this generation, with these changes.
    Changed(id::Generation, Vec<String>),
    /// It says the same as this generation; nothing was written.
    Unchanged(id::Generation),
}

/// Why a proposal was not accepted.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// Somebody else changed the configuration since the base.
    #[error("the text was edited from generation {base}, but generation {} by {} is in force", .current.generation, .current.author)]
    Conflict {
        /// What the text was edited from.
        base: id::Generation,
        /// What is in force.
        current: Box<Configuration>,
        /// Audit entries since the base, oldest first.
        since: Vec<Audit>,
    },
    /// The platform failed before anything was written.
    #[error("nothing was changed: {0}")]
    Platform(kv::Error),
    /// No answer came in time; the proposal may come into force.
    #[error(
        "no answer in time, the change may or may not come into force: {0}; find its token {1} with `history` before applying again"
    )]
    Unsettled(kv::Error, String),
    /// The audit trail is ahead of the configuration.
    #[error(
        "nothing was changed: the audit trail already has generation {0} while the configuration does not; restore both from one backup of the key-value service"
    )]
    Contended(id::Generation),
    /// A value of the key-value service is not ours.
    #[error("{0} is unreadable: {1}; restore it from a backup of the key-value service")]
    Unreadable(String, String),
    /// Texts could not be compared.
    #[error("the text is unreadable: {0}")]
    Text(#[from] dottereltally_lib::fault::List),
}

/// What is known while a proposal is submitted.
struct State {
    current: Option<Configuration>,
    modified: kv::Revision,
}

impl Proposal {
    /// Submits the proposal and settles lost answers until `limit` has passed.
    ///
    /// # Errors
    ///
    /// Fails with a conflict, or if the platform is away; see [`Error`].
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
                    Some(error) => Error::Unsettled(error, self.token.clone()),
                    None => Error::Contended(self.base.next()),
                });
            }
            time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Tries once; returns nothing if the state changed meanwhile.
    async fn attempt<S: Store>(
        &self,
        store: &S,
        repeated: bool,
    ) -> Result<Option<Accepted>, Error> {
        let state = read(store).await?;
        if let Some(accepted) = self.settled(store, &state, repeated).await? {
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

    /// Finds out whether an earlier attempt was accepted.
    async fn settled<S: Store>(
        &self,
        store: &S,
        state: &State,
        repeated: bool,
    ) -> Result<Option<Accepted>, Error> {
        let generation = state.generation();
        if generation == self.base {
            return Ok(None);
        }
        let since = since(store, self.base).await?;
        let own = since.iter().find(|audit| audit.token == self.token);
        if let Some(own) = own
            && repeated
        {
            return Ok(Some(Accepted::Changed(own.generation, own.changes.clone())));
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
        Ok(difference::lines(old, &self.text)?)
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
        let unchanged = match state.current {
            Some(_) => Compare::Modified(layout::CONFIGURATION.to_owned(), state.modified),
            None => Compare::Absent(layout::CONFIGURATION.to_owned()),
        };
        let audit_key = layout::audit_key(generation);
        let mut success = vec![
            Operation::Put(
                layout::CONFIGURATION.to_owned(),
                encode(&configuration),
                None,
            ),
            Operation::Put(audit_key.clone(), encode(&audit), None),
        ];
        if let Some(expired) = generation.0.checked_sub(AUDIT_GENERATIONS) {
            let key = layout::audit_key(id::Generation(expired));
            success.push(Operation::Delete(key));
        }
        Transaction {
            compares: vec![unchanged, Compare::Absent(audit_key)],
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
/// Fails if the platform is away or the value is not ours.
pub async fn current<S: Store>(store: &S) -> Result<Option<Configuration>, Error> {
    Ok(read(store).await?.current)
}

/// Reads the audit entries after a generation, oldest first.
///
/// # Errors
///
/// Fails if the platform is away or a value is not ours.
pub async fn since<S: Store>(store: &S, base: id::Generation) -> Result<Vec<Audit>, Error> {
    let limit = usize::try_from(AUDIT_GENERATIONS).unwrap_or(usize::MAX);
    let entries = store
        .list(layout::AUDIT, limit)
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
        .get(layout::CONFIGURATION)
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
