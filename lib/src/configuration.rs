//! The operators' configuration: tiers, services, calls and workspaces,
//! validated as a whole.

mod calls;
pub mod document;
pub mod graph;
mod services;
mod workspaces;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use derive_more::Display;

use crate::{id, size};

/// A validated configuration: every name that it refers to is declared in it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Names of the tiers, highest first; at most four.
    pub tiers: Vec<String>,
    /// The services.
    pub services: BTreeMap<id::Service, Service>,
    /// The calls; no two match the same request.
    pub calls: BTreeMap<id::Call, Call>,
    /// The workspaces.
    pub workspaces: BTreeMap<id::Workspace, Workspace>,
}

/// What the endpoints of a service run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Kind {
    /// Inference engines that serve models.
    #[display("model")]
    Model,
    /// Any other HTTP service.
    #[display("plain")]
    Plain,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// What its endpoints run.
    pub kind: Kind,
    /// Services that it needs in order to work.
    pub depends_on: BTreeSet<id::Service>,
    /// Models that its endpoints serve.
    pub models: BTreeSet<id::Model>,
    /// Adapters that its endpoints serve.
    pub adapters: BTreeSet<id::Model>,
    /// Initial window of an endpoint, in tokens, used until rates have been
    /// observed; each request to a plain service counts as one token.
    pub window: size::Tokens,
}

/// A call: which requests it matches and how they are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The service that serves it.
    pub service: id::Service,
    /// HTTP method in upper case.
    pub method: String,
    /// Path; `*` as the last segment matches any remainder.
    pub path: String,
    /// Model that the request must name; `None` matches any request.
    pub model: Option<id::Model>,
    /// Its tier; a caller may ask for a lower tier but not for a higher one.
    pub tier: id::Tier,
    /// Time limit for the complete answer; a caller may ask for a shorter one.
    pub deadline: Duration,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// Whether a non-idempotent request is accepted without an idempotency key.
    pub unkeyed: bool,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// SHA-256 digests of its callers' API keys, in lower-case hexadecimal.
    pub keys: BTreeSet<String>,
    /// Fair-share weight relative to the other workspaces of the same tier.
    pub share: u32,
    /// Maximum number of its requests in one node at a time; `None` for no limit.
    pub limit: Option<u32>,
}

impl Configuration {
    /// Returns the tier with this name.
    #[must_use]
    pub fn tier(&self, name: &str) -> Option<id::Tier> {
        let position = self.tiers.iter().position(|tier| tier == name)?;
        u8::try_from(position).ok().map(id::Tier)
    }

    /// Returns the name of a tier, empty if the tier is not declared.
    #[must_use]
    pub fn tier_name(&self, tier: id::Tier) -> &str {
        self.tiers
            .get(usize::from(tier.0))
            .map_or("", String::as_str)
    }

    /// Returns the most specific call that matches a request: an exact path
    /// before one with `*`, then the longer path, then a call that names the
    /// model.
    #[must_use]
    pub fn match_call(
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
            if best.is_none_or(|(_, other)| call.specificity() > other.specificity()) {
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
            Some(prefix) => path.starts_with(prefix),
            None => path == self.path,
        };
        let model_matches = self.model.is_none() || self.model.as_ref() == model;
        path_matches && model_matches && method == self.method
    }

    /// Orders calls that match the same request; the greatest one applies.
    fn specificity(&self) -> (bool, usize, bool) {
        (
            !self.path.ends_with('*'),
            self.path.len(),
            self.model.is_some(),
        )
    }
}
