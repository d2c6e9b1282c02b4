//! The configuration in force in the form that the request path reads.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use dottereltally_lib::{id, text};
use sha2::{Digest, Sha256};
use tokio::sync::watch;

use crate::configuration;

/// SHA-256 digest of a caller's key.
pub type KeyDigest = [u8; 32];

/// What the request path reads of a configuration.
#[derive(Debug)]
pub struct Rules {
    /// Its generation.
    pub generation: id::Generation,
    /// Its text.
    pub text: Arc<text::Text>,
    workspaces: HashMap<KeyDigest, id::Workspace>,
}

/// Reads the rules in force.
pub type Receiver = watch::Receiver<Option<Arc<Rules>>>;

impl Rules {
    /// Builds the rules of a checked text.
    #[must_use]
    pub fn new(generation: id::Generation, text: Arc<text::Text>) -> Self {
        let workspaces = index(&text.workspaces);
        Self {
            generation,
            text,
            workspaces,
        }
    }

    /// Returns the workspace of a caller's key.
    #[must_use]
    pub fn workspace(&self, key: &[u8]) -> Option<&id::Workspace> {
        let digest: KeyDigest = Sha256::digest(key).into();
        self.workspaces.get(&digest)
    }
}

/// Follows the configuration for as long as somebody reads the rules.
#[must_use]
pub fn follow(mut configuration: configuration::Receiver) -> Receiver {
    let (sender, receiver) = watch::channel(read(&configuration));
    tokio::spawn(async move {
        loop {
            tokio::select! {
                changed = configuration.changed() => if changed.is_err() {
                    break;
                },
                () = sender.closed() => break,
            }
            configuration.mark_unchanged();
            sender.send_replace(read(&configuration));
        }
    });
    receiver
}

fn read(configuration: &configuration::Receiver) -> Option<Arc<Rules>> {
    let current = configuration.borrow().clone()?;
    let rules = Rules::new(current.record.generation, Arc::clone(&current.text));
    Some(Arc::new(rules))
}

fn index(
    workspaces: &BTreeMap<id::Workspace, text::Workspace>,
) -> HashMap<KeyDigest, id::Workspace> {
    let mut index = HashMap::new();
    for (name, workspace) in workspaces {
        for key in &workspace.keys {
            let Some(digest) = decode(key) else {
                continue;
            };
            index.insert(digest, name.clone());
        }
    }
    index
}

/// Returns the digest that 64 hexadecimal digits stand for.
fn decode(text: &str) -> Option<KeyDigest> {
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
