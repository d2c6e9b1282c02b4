//! The host list: the entry hosts and endpoints of the system.
//!
//! The format is Prometheus HTTP service discovery: a JSON array of groups
//! with `targets` and `labels`. Labels in use: `role` (`entry` or
//! `endpoint`), `name`, `data_centre` and `state` (`live` or `leaving`);
//! endpoints also have `service`, and entry hosts `operations`, the address of
//! their operations pages. The target of an entry host is its address for peers.

use std::future::Future;

use dottereltally_lib::{endpoint, id};

/// One entry host of the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name of its node.
    pub node: id::Node,
    /// Address for its peers, `ip:port`.
    pub address: String,
    /// Address of its operations pages, `ip:port`; empty if the list has none.
    pub operations: String,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Whether it is live or leaving.
    pub standing: endpoint::Standing,
}

/// The host list at the time of one read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Entry hosts.
    pub entries: Vec<Entry>,
    /// Endpoints.
    pub endpoints: Vec<endpoint::Record>,
}

/// Error of a read of the host list.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The list could not be fetched.
    #[error(
        "the host list can't be read at {address}: {cause}; check `platform.hosts` in the settings and the service itself"
    )]
    Unreachable {
        /// Address that was tried.
        address: String,
        /// Error of the call, or what is wrong with the address.
        cause: String,
    },
    /// The answer is not a host list.
    #[error(
        "the host list is unreadable: {0}; it must be Prometheus HTTP service discovery with the labels of docs/configuration.md"
    )]
    Unreadable(String),
}

/// Source of the host list.
pub trait List: Clone + Send + Sync + 'static {
    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// Fails if the list can't be fetched or parsed.
    fn read(&self) -> impl Future<Output = Result<Snapshot, Error>> + Send;
}
