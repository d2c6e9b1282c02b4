//! The host list: which entry hosts and endpoints there are.
//!
//! The format is Prometheus HTTP service discovery: a JSON array of groups
//! with `targets` and `labels`. Labels in use: `role` (`entry` or
//! `endpoint`), `name`, `data_centre`, `state` (`live` or `leaving`); for
//! endpoints `service`; for entry hosts `operations`, the address of their
//! operations pages (their target is the address for peers).

use std::future::Future;

use dottereltally_lib::{endpoint, id};

/// One entry host of the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name of its node.
    pub node: id::Node,
    /// Address where its peers reach it, `ip:port`.
    pub address: String,
    /// Address of its operations pages, `ip:port`.
    pub operations: String,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Whether it stays.
    pub standing: endpoint::Standing,
}

/// The host list as read at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Entry hosts.
    pub entries: Vec<Entry>,
    /// Endpoints.
    pub endpoints: Vec<endpoint::Record>,
}

/// Why the host list could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No answer.
    #[error(
        "the host list can't be read at {address}: {cause}; check `platform.hosts` in the settings and the service itself"
    )]
    Unreachable {
        /// Address that was tried.
        address: String,
        /// What the connection said.
        cause: String,
    },
    /// The answer is not a host list.
    #[error(
        "the host list is unreadable: {0}; it must be Prometheus HTTP service discovery with the labels of docs/configuration.md"
    )]
    Unreadable(String),
}

/// The host list.
pub trait List: Clone + Send + Sync + 'static {
    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// Fails if the list can't be reached or understood.
    fn read(&self) -> impl Future<Output = Result<Snapshot, Error>> + Send;
}
