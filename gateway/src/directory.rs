//! The directory that the platform keeps: the plan, the endpoints and the
//! registered nodes.

use std::{collections::BTreeMap, future::Future, time::Duration};

use dottereltally_lib::{
    crash::Trial,
    endpoint,
    era::{Era, Revision},
    id,
    plan::Plan,
    rollout::{Spec, State, Step},
    size,
    suspicion::Mark,
};
use dottereltally_store::{
    kv::{self, Error},
    transfer::Intake,
};
use serde::{Deserialize, Serialize};

use crate::{era, rollout::wire};

/// The most recent description that an endpoint wrote of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "WireEntry", into = "WireEntry")]
pub struct Entry {
    /// Its content.
    pub record: endpoint::Record,
    /// Start time of the endpoint's process in milliseconds since the Unix
    /// epoch, if it reports it.
    pub started_ms: Option<u64>,
    /// Number of the description, counted from the process's start.
    pub sequence: u64,
    /// Revision at which the source took it; `None` if unknown.
    pub revision: Option<Revision>,
}

/// A description as nodes send it to each other.
#[derive(Serialize, Deserialize)]
struct WireEntry {
    record: endpoint::Record,
    born: Option<u64>,
    sequence: u64,
    /// Number of its revision.
    #[serde(default)]
    revision: Option<i64>,
    /// Era of its revision; nodes that know no eras send none.
    #[serde(default)]
    era: Era,
}

impl From<Entry> for WireEntry {
    fn from(entry: Entry) -> Self {
        Self {
            record: entry.record,
            born: entry.started_ms,
            sequence: entry.sequence,
            revision: entry.revision.map(|revision| revision.number),
            era: entry.revision.unwrap_or_default().era,
        }
    }
}

impl From<WireEntry> for Entry {
    fn from(wire: WireEntry) -> Self {
        let era = wire.era;
        Self {
            record: wire.record,
            started_ms: wire.born,
            sequence: wire.sequence,
            revision: wire.revision.map(|number| Revision { era, number }),
        }
    }
}

/// Lease of a registration. Its number may be given out again in another era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Its number.
    pub id: kv::Lease,
    /// Era of the source that granted it.
    pub era: Era,
}

/// A node as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Its name.
    pub name: id::Node,
    /// Address that receives heartbeats, `ip:port`.
    pub address: String,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Address that takes RPC calls of other nodes, `ip:port`; empty if the
    /// node takes none.
    #[serde(default, rename = "calls")]
    pub rpc_address: String,
    /// Processor time that the node may use, in thousandths of a core.
    #[serde(default, rename = "share")]
    pub millicores: u32,
}

/// Record of a roll-out as the source has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "WireRecord", into = "WireRecord")]
pub struct Record {
    /// The service.
    pub service: id::Service,
    /// Its content.
    pub state: State,
    /// Revision that wrote it; unknown in a record of another node.
    pub revision: Revision,
}

/// A record as nodes send it to each other.
#[derive(Clone, Serialize, Deserialize)]
struct WireRecord {
    service: id::Service,
    record: wire::Record,
}

impl From<Record> for WireRecord {
    fn from(record: Record) -> Self {
        Self {
            service: record.service,
            record: wire::Record::from(&record.state),
        }
    }
}

impl TryFrom<WireRecord> for Record {
    type Error = wire::Error;

    fn try_from(wire: WireRecord) -> Result<Self, wire::Error> {
        Ok(Self {
            service: wire.service,
            state: wire.record.try_into()?,
            revision: Revision::default(),
        })
    }
}

/// Orders as nodes send them to each other.
mod orders {
    use dottereltally_lib::rollout::Spec;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use crate::rollout::wire::Order;

    pub(super) fn serialize<S: Serializer>(
        specs: &[Spec],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let orders: Vec<Order> = specs.iter().cloned().map(Order::from).collect();
        orders.serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<Spec>, D::Error> {
        let orders = Vec::<Order>::deserialize(deserializer)?;
        Ok(orders.into_iter().map(Spec::from).collect())
    }
}

/// A state that replaces the record of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replacement {
    /// The service.
    pub service: id::Service,
    /// The new content.
    pub state: State,
    /// Revision of the record that it replaces; `None` if there must be none.
    pub previous: Option<Revision>,
    /// Revision of the order, which must still be in the source.
    pub order: Revision,
}

impl Replacement {
    /// Returns the step that is written.
    #[must_use]
    pub fn step(&self) -> Step {
        self.state.step
    }
}

/// The process that claims a trial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claimant {
    /// Its node.
    pub node: id::Node,
    /// Random number of the process, so that it recognises its own claims.
    pub process: u64,
}

/// A change of the directory.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The platform accepted a plan.
    Plan(Box<Plan>),
    /// An endpoint wrote its description.
    Endpoint(id::Endpoint, Entry),
    /// An endpoint's description was removed at this revision.
    EndpointRemoved(id::Endpoint, Revision),
    /// An endpoint's description, written at this revision, can't be read.
    EndpointUnreadable(id::Endpoint, Revision),
    /// A node registered itself.
    Node(Node),
    /// A node's registration ended.
    NodeRemoved(id::Node),
    /// A node kept the suspicions against a request that it refuses.
    Quarantined(Vec<Mark>),
    /// The suspicions against a request are no longer kept.
    QuarantineEnded(id::Fingerprint),
    /// A node claimed the trial of a refused request.
    Tried(Trial),
    /// An operator ordered a roll-out.
    Ordered(Spec),
    /// The order for a service was removed.
    OrderRemoved(id::Service),
    /// A node wrote the record of a roll-out.
    Recorded(Box<Record>),
    /// The record for a service was removed.
    RecordRemoved(id::Service),
    /// The record of a service's roll-out, written at this revision, can't be read.
    RecordUnreadable(id::Service, Revision),
}

/// The whole directory at one revision.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision after which to ask for changes; meaningless to another
    /// node, so it is not sent.
    #[serde(skip)]
    pub revision: Revision,
    /// What was received to read it; meaningless to another node, so it is not sent.
    #[serde(skip)]
    pub size: size::Bytes,
    /// The plan, if there is one.
    pub plan: Option<Plan>,
    /// The endpoints with a usable description.
    pub endpoints: BTreeMap<id::Endpoint, Entry>,
    /// The registered nodes.
    pub nodes: Vec<Node>,
    /// The kept suspicions; nodes report them to each other in heartbeats, so they
    /// are not sent here.
    #[serde(skip)]
    pub marks: Vec<Mark>,
    /// The trials that nodes claimed; only a node that reads the source can claim one.
    #[serde(skip)]
    pub trials: Vec<Trial>,
    /// The orders of roll-outs.
    #[serde(default, with = "orders", skip_serializing_if = "Vec::is_empty")]
    pub orders: Vec<Spec>,
    /// The records of roll-outs.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<Record>,
    /// Services whose records can't be read, with the revisions of these.
    #[serde(skip)]
    pub unreadable_records: Vec<(id::Service, Revision)>,
    /// Entries that were found to be unusable by this read, and not before.
    #[serde(skip)]
    pub unusable: u64,
}

/// Changes up to a revision.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// The revision after the last change.
    pub revision: Revision,
    /// The changes in order.
    pub changes: Vec<Change>,
    /// Entries that were found to be unusable by this read, and not before.
    pub unusable: u64,
}

/// The service that stores the directory.
pub trait Source: Clone + Send + Sync + 'static {
    /// Returns the era of the service, which each answer announces, whatever it answers.
    fn eras(&self) -> &era::Handle;

    /// Reads the whole directory, within one era. The intake records what arrives.
    ///
    /// # Errors
    ///
    /// Fails if the service can't be reached or does not answer in time.
    fn snapshot(&self, intake: &Intake) -> impl Future<Output = Result<Snapshot, Error>> + Send;

    /// Checks whether the service answers, at the lowest price.
    ///
    /// # Errors
    ///
    /// Fails if the service can't be reached or does not answer in time.
    fn probe(&self) -> impl Future<Output = Result<(), Error>> + Send;

    /// Waits up to `wait` for changes after a revision. In another era than that of the
    /// revision, what it returns lacks some of them. The intake records what arrives.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Refused`] if the changes are no longer kept, or are larger than the
    /// intake takes, so that the whole directory has to be read again, and with another error
    /// if the service can't be reached or does not answer in time.
    fn changes(
        &self,
        after: Revision,
        wait: Duration,
        intake: &Intake,
    ) -> impl Future<Output = Result<Changes, Error>> + Send;

    /// Adds what is known of a request to what is kept of it, so that a node learns of it
    /// even if all others have ended. Of each death the latest kind is kept, whichever node
    /// writes last. What was withdrawn is written only over what is kept, and does not
    /// prolong it.
    ///
    /// # Errors
    ///
    /// Fails if the service can't be reached or does not answer in time, or if other nodes
    /// change what is kept all the while.
    fn quarantine(
        &self,
        fingerprint: id::Fingerprint,
        marks: &[Mark],
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Claims a trial for a process; returns whether it is that of this process, also if an
    /// earlier call that failed had claimed it.
    ///
    /// # Errors
    ///
    /// Fails if the service can't be reached or does not answer in time.
    fn claim_trial(
        &self,
        trial: Trial,
        claimant: &Claimant,
    ) -> impl Future<Output = Result<bool, Error>> + Send;

    /// Replaces the record of a roll-out, and the status that operators read, if neither
    /// the record nor the order changed since they were read. Returns the record that the
    /// source has then, which is another one if another node was faster or the order
    /// changed.
    ///
    /// # Errors
    ///
    /// Fails if the service can't be reached or does not answer in time; the record may
    /// have been written.
    fn write_record(
        &self,
        replacement: &Replacement,
    ) -> impl Future<Output = Result<Option<Record>, Error>> + Send;

    /// Registers this node under a new lease, which expires `ttl` after its last
    /// renewal.
    ///
    /// # Errors
    ///
    /// Fails if the service can't be reached or does not answer in time.
    fn register(
        &self,
        node: &Node,
        ttl: Duration,
    ) -> impl Future<Output = Result<Lease, Error>> + Send;

    /// Renews the lease of a registration.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::UnknownLease`] if the lease has expired, and with
    /// another error if the service can't be reached or does not answer in time.
    fn renew(&self, lease: Lease) -> impl Future<Output = Result<(), Error>> + Send;

    /// Ends a registration.
    ///
    /// # Errors
    ///
    /// Fails if the service can't be reached or does not answer in time.
    fn deregister(&self, lease: Lease) -> impl Future<Output = Result<(), Error>> + Send;
}
