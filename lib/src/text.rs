//! The operators' text: services, calls and workspaces, checked as a whole.

mod calls;
pub mod graph;
mod services;
pub mod wire;
mod workspaces;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use derive_more::Display;

use crate::{id, size};

/// A checked text; every name that it uses is declared in it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Text {
    /// Names of the tiers, highest first; four at the most.
    pub tiers: Vec<String>,
    /// The services.
    pub services: BTreeMap<id::Service, Service>,
    /// The calls; no two match the same request.
    pub calls: BTreeMap<id::Call, Call>,
    /// The workspaces.
    pub workspaces: BTreeMap<id::Workspace, Workspace>,
}

/// What stands behind a service.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Kind {
    /// Model engines.
    #[display("model")]
    Model,
    /// Plain services.
    #[display("plain")]
    Plain,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// What stands behind it.
    pub kind: Kind,
    /// Services that it can't do without.
    pub depends_on: BTreeSet<id::Service>,
    /// Models that its endpoints serve.
    pub models: BTreeSet<id::Model>,
    /// Adapters that its endpoints serve.
    pub adapters: BTreeSet<id::Model>,
    /// Tokens that one endpoint may hold at first, before rates are observed;
    /// for a plain service each request counts as one token.
    pub window: size::Tokens,
}

/// One call: which requests it matches and how they are treated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The service that serves it.
    pub service: id::Service,
    /// HTTP method, upper case.
    pub method: String,
    /// Path; a last segment `*` matches any rest.
    pub path: String,
    /// Model that the request must name; none matches any.
    pub model: Option<id::Model>,
    /// Its tier; a caller may ask for a lower one, never a higher.
    pub tier: id::Tier,
    /// Time for the whole answer; a caller may ask for less.
    pub deadline: Duration,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Whether a non-idempotent call is served without an idempotency key.
    pub unkeyed: bool,
}

/// One workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// SHA-256 digests of its callers' keys, lower-case hexadecimal.
    pub keys: BTreeSet<String>,
    /// Its weight against other workspaces of the same tier.
    pub share: u32,
    /// Requests that it may have in one node at a time; none for no limit.
    pub limit: Option<u32>,
}

impl Text {
    /// Returns the tier of this name.
    #[must_use]
    pub fn tier(&self, name: &str) -> Option<id::Tier> {
        let position = self.tiers.iter().position(|tier| tier == name)?;
        u8::try_from(position).ok().map(id::Tier)
    }

    /// Returns the name of a tier.
    #[must_use]
    pub fn tier_name(&self, tier: id::Tier) -> &str {
        self.tiers
            .get(usize::from(tier.0))
            .map_or("", String::as_str)
    }

    /// Returns the call that matches a request: the longest path wins, then
    /// the one that names the model.
    #[must_use]
    pub fn call(
        &self,
        method: &str,
        path: &str,
        model: Option<&id::Model>,
    ) -> Option<(&id::Call, &Call)> {
        let mut best: Option<(&id::Call, &Call)> = None;
        for (name, call) in &self.calls {
            if !call.matches(method, path, model) {
                continue;
            }
            if best.is_none_or(|(_, other)| call.rank() > other.rank()) {
                best = Some((name, call));
            }
        }
        best
    }
}

impl Call {
    /// Returns whether the call matches a request.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str, model: Option<&id::Model>) -> bool {
        let path_matches = match self.path.strip_suffix('*') {
            Some(stem) => path.starts_with(stem),
            None => path == self.path,
        };
        let model_matches = self.model.is_none() || self.model.as_ref() == model;
        path_matches && model_matches && method == self.method
    }

    /// Orders calls that match the same request; the greater one is meant.
    fn rank(&self) -> (bool, usize, bool) {
        (
            !self.path.ends_with('*'),
            self.path.len(),
            self.model.is_some(),
        )
    }
}
