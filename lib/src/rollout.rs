//! Roll-outs: moving the requests of a service from its current versions to a target
//! version, step by step.

use crate::id;

/// The versions that may serve a request while a roll-out runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Filter {
    /// Any version.
    #[default]
    Any,
    /// Only this version.
    Only(id::Version),
    /// Any version but this one.
    Not(id::Version),
}

impl Filter {
    /// Returns whether an endpoint of this version may serve the request; `None` if its
    /// version is unknown.
    #[must_use]
    pub fn allows(&self, version: Option<&id::Version>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(target) => version == Some(target),
            Self::Not(target) => version != Some(target),
        }
    }
}
