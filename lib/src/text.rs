//! The operators' text: services, calls and workspaces, checked as a whole.

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
