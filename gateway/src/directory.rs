//! What the platform tells: the plan, the endpoints and the other nodes.

use std::{collections::BTreeMap, future::Future, time::Duration};

use dottereltally_lib::{endpoint, id, plan::Plan};
use dottereltally_store::kv::{Error, Lease, Revision};
use serde::{Deserialize, Serialize};

/// An endpoint as it last described itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// What it says.
    pub record: endpoint::Record,
    /// Milliseconds of its start since the Unix epoch, if it tells them.
    pub born: Option<u64>,
    /// Number of the message since its start.
    pub sequence: u64,
}

/// Another node as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Its name.
    pub name: id::Node,
    /// Where it hears other nodes, `ip:port`.
    pub address: String,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Where it takes calls of other nodes, `ip:port`; empty if it takes none.
    #[serde(default)]
    pub calls: String,
    /// Part of a core that it may use, in thousandths.
    #[serde(default)]
    pub share: u32,
}

/// One thing that changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A plan was accepted.
    Plan(Box<Plan>),
    /// An endpoint described itself; none if nothing usable can be read.
    Endpoint(id::Endpoint, Option<Entry>),
    /// An endpoint's description was removed.
    Removed(id::Endpoint),
    /// A node registered itself.
    Node(Node),
    /// A node's registration ended.
    Left(id::Node),
}

/// Everything at one revision.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision from which changes follow; of no use to another node.
    #[serde(skip)]
    pub revision: Revision,
    /// The plan, if there is one.
    pub plan: Option<Plan>,
    /// The endpoints that can be read.
    pub endpoints: BTreeMap<id::Endpoint, Entry>,
    /// The registered nodes.
    pub nodes: Vec<Node>,
}

/// Changes up to a revision.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// The revision that they lead to.
    pub revision: Revision,
    /// The changes in order.
    pub changes: Vec<Change>,
}

/// Where the directory is kept.
pub trait Source: Clone + Send + Sync + 'static {
    /// Reads everything.
    ///
    /// # Errors
    ///
    /// Fails if the service can't be reached or does not answer in time.
    fn snapshot(&self) -> impl Future<Output = Result<Snapshot, Error>> + Send;

    /// Waits up to `wait` for changes after a revision.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Refused`] if the changes are not kept any more.
    fn changes(
        &self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, Error>> + Send;

    /// Registers this node until its lease ends.
    ///
    /// # Errors
    ///
    /// Fails if the service can't be reached or does not answer in time.
    fn register(
        &self,
        node: &Node,
        ttl: Duration,
    ) -> impl Future<Output = Result<Lease, Error>> + Send;

    /// Renews a registration.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::UnknownLease`] if it has lapsed.
    fn renew(&self, lease: Lease) -> impl Future<Output = Result<(), Error>> + Send;

    /// Ends a registration.
    ///
    /// # Errors
    ///
    /// Fails if the service can't be reached or does not answer in time.
    fn leave(&self, lease: Lease) -> impl Future<Output = Result<(), Error>> + Send;
}
