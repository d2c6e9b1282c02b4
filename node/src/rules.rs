//! The configuration in force, indexed for the request path.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use dottereltally_lib::{
    configuration::{Configuration, Workspace},
    id,
};
use sha2::{Digest, Sha256};
use tokio::sync::watch;

use crate::configuration;

/// SHA-256 digest of a caller's key.
pub type KeyDigest = [u8; 32];

/// The parts of a configuration that the request path uses.
#[derive(Debug)]
pub struct Rules {
    /// Generation of the configuration.
    pub generation: id::Generation,
    /// The configuration itself.
    pub configuration: Arc<Configuration>,
    workspaces: HashMap<KeyDigest, id::Workspace>,
}

/// Receives the rules in force; none until there is a configuration.
pub type Receiver = watch::Receiver<Option<Arc<Rules>>>;

impl Rules {
    /// Builds the rules from a validated configuration.
    #[must_use]
    pub fn new(generation: id::Generation, configuration: Arc<Configuration>) -> Self {
        let workspaces = index_keys(&configuration.workspaces);
        Self {
            generation,
            configuration,
            workspaces,
        }
    }

    /// Returns the workspace to which a caller's key belongs.
    #[must_use]
    pub fn workspace(&self, key: &[u8]) -> Option<&id::Workspace> {
        let digest: KeyDigest = Sha256::digest(key).into();
        self.workspaces.get(&digest)
    }
}

/// Rebuilds the rules at each change of the configuration, until every
/// receiver is dropped.
#[must_use]
pub fn follow(mut configuration: configuration::Receiver) -> Receiver {
    let (sender, receiver) = watch::channel(current(&configuration));
    tokio::spawn(async move {
        loop {
            tokio::select! {
                changed = configuration.changed() => if changed.is_err() {
                    break;
                },
                () = sender.closed() => break,
            }
            configuration.mark_unchanged();
            sender.send_replace(current(&configuration));
        }
    });
    receiver
}

fn current(configuration: &configuration::Receiver) -> Option<Arc<Rules>> {
    let current = configuration.borrow().clone()?;
    let rules = Rules::new(
        current.record.generation,
        Arc::clone(&current.configuration),
    );
    Some(Arc::new(rules))
}

/// Maps the digests of all keys to their workspaces.
fn index_keys(
    workspaces: &BTreeMap<id::Workspace, Workspace>,
) -> HashMap<KeyDigest, id::Workspace> {
    let mut index = HashMap::new();
    for (name, workspace) in workspaces {
        for key in &workspace.keys {
            let Some(digest) = decode_digest(key) else {
                continue;
            };
            index.insert(digest, name.clone());
        }
    }
    index
}

/// Decodes a digest from 64 hexadecimal digits.
fn decode_digest(text: &str) -> Option<KeyDigest> {
    if text.len() != 64 {
        return None;
    }
    let mut digest = [0; 32];
    for (index, byte) in digest.iter_mut().enumerate() {
        let pair = text.get(2 * index..2 * index + 2)?;
        *byte = u8::from_str_radix(pair, 16).ok()?;
    }
    Some(digest)
}
