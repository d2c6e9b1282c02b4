//! Client of the host list, over Prometheus HTTP service discovery.

use std::{sync::Arc, time::Duration};

use ::http::{Request, StatusCode, Uri, header};
use bytes::Bytes;
use dottereltally_lib::{endpoint, id};
use http_body_util::Full;
use serde::Deserialize;

use crate::{
    host::{self, Entry, Error, Snapshot},
    http::{self, Client},
};

/// Port of an address that has none.
const DEFAULT_PORT: u16 = 80;

/// Client of the host list; clones share their connections.
#[derive(Clone)]
pub struct List(Arc<Inner>);

struct Inner {
    client: Client,
    path: String,
    timeout: Duration,
}

impl List {
    /// Builds a client of `http://ip:port/path`, with a time limit per read;
    /// connections are opened by the first read.
    ///
    /// # Errors
    ///
    /// Fails if the address is not of that form.
    pub fn new(address: &str, timeout: Duration) -> Result<Self, Error> {
        let invalid = |cause: &str| Error::Unreachable {
            address: address.to_owned(),
            cause: cause.to_owned(),
        };
        let uri: Uri = address.parse().map_err(|_| invalid("it is not a URL"))?;
        if uri.scheme_str() != Some("http") {
            return Err(invalid("it must start with http://"));
        }
        let host = uri.host().ok_or_else(|| invalid("it has no host"))?;
        let port = uri.port_u16().unwrap_or(DEFAULT_PORT);
        let path = uri.path_and_query().map_or("/", |path| path.as_str());
        Ok(Self(Arc::new(Inner {
            client: Client::new(format!("{host}:{port}")),
            path: path.to_owned(),
            timeout,
        })))
    }
}

impl host::List for List {
    async fn read(&self) -> Result<Snapshot, Error> {
        let client = &self.0.client;
        let unreachable = |cause: String| Error::Unreachable {
            address: client.address().to_owned(),
            cause,
        };
        let request = Request::get(&self.0.path)
            .header(header::HOST, client.address())
            .body(Full::new(Bytes::new()))
            .map_err(|error| unreachable(error.to_string()))?;
        let answer = client
            .call(&request, http::Deadlines::after(self.0.timeout))
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        if answer.status != StatusCode::OK {
            return Err(Error::Unreadable(answer.status.to_string()));
        }
        parse(&answer.body)
    }
}

/// Parses a host list.
///
/// # Errors
///
/// Fails if it is not Prometheus HTTP service discovery with the labels that
/// [`host`] describes.
pub fn parse(json: &[u8]) -> Result<Snapshot, Error> {
    let groups: Vec<Group> =
        serde_json::from_slice(json).map_err(|error| Error::Unreadable(error.to_string()))?;
    let mut snapshot = Snapshot::default();
    for group in groups {
        group.add_to(&mut snapshot)?;
    }
    Ok(snapshot)
}

/// One group of the list.
#[derive(Debug, Deserialize)]
struct Group {
    targets: Vec<String>,
    labels: Labels,
}

/// Labels of a group.
#[derive(Debug, Deserialize)]
struct Labels {
    role: Role,
    name: String,
    data_centre: String,
    state: State,
    #[serde(default)]
    service: Option<String>,
    #[serde(default)]
    operations: Option<String>,
}

/// Role of a host; hosts with another role are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Role {
    Entry,
    Endpoint,
    #[serde(other)]
    Other,
}

/// State of a host.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Live,
    Leaving,
}

impl From<State> for endpoint::Standing {
    fn from(state: State) -> Self {
        match state {
            State::Live => Self::Live,
            State::Leaving => Self::Leaving,
        }
    }
}

impl Group {
    /// Adds the host to `snapshot`; a host with [`Role::Other`] is ignored.
    ///
    /// # Errors
    ///
    /// Fails if the group has no target, or an endpoint no service.
    fn add_to(self, snapshot: &mut Snapshot) -> Result<(), Error> {
        let labels = self.labels;
        if labels.role == Role::Other {
            return Ok(());
        }
        let name = labels.name;
        let Some(address) = self.targets.into_iter().next() else {
            return Err(Error::Unreadable(format!("host {name} has no target")));
        };
        let data_centre = id::DataCentre::from(labels.data_centre);
        let standing = labels.state.into();
        if labels.role == Role::Entry {
            snapshot.entries.push(Entry {
                node: id::Node::from(name),
                address,
                operations: labels.operations.unwrap_or_default(),
                data_centre,
                standing,
            });
            return Ok(());
        }
        let Some(service) = labels.service else {
            return Err(Error::Unreadable(format!(
                "endpoint {name} has no `service` label"
            )));
        };
        snapshot.endpoints.push(endpoint::Record {
            id: id::Endpoint::from(name),
            service: id::Service::from(service),
            address,
            data_centre,
            standing,
            capacity: None,
            version: None,
        });
        Ok(())
    }
}
