//! Client of the etcd v3 JSON gateway.
//!
//! Every call has a time limit. A call that could not be handed over is tried
//! at the next address; one that was handed over is repeated only if it
//! writes nothing, because the caller has to settle a lost write.

mod fault;
mod watch;
mod wire;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::Instant;

use crate::{
    etcd::fault::{classify, name_lease, refusal, unreachable, unreadable},
    http::{Answer, Client, Error as HttpError, Limit},
    kv::{self, Entry, Error, Lease, Outcome, Revision, Transaction},
};

pub use watch::Watch;

/// Whether a call may be repeated after its answer was lost.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Effect {
    Read,
    Write,
}

/// Client of the key-value service; clones share its connections.
#[derive(Clone)]
pub struct Store(Arc<Inner>);

struct Inner {
    clients: Vec<Client>,
    preferred: AtomicUsize,
    timeout: Duration,
}

impl Store {
    /// Builds a client of the `ip:port` addresses, with a time limit per call;
    /// nothing is opened yet.
    #[must_use]
    pub fn new(addresses: Vec<String>, timeout: Duration) -> Self {
        Self(Arc::new(Inner {
            clients: addresses.into_iter().map(Client::new).collect(),
            preferred: AtomicUsize::new(0),
            timeout,
        }))
    }

    /// Returns the clients, the preferred one first.
    fn clients(&self) -> impl Iterator<Item = (usize, &Client)> {
        let clients = &self.0.clients;
        let first = self.0.preferred.load(Ordering::Relaxed);
        (0..clients.len()).map(move |offset| {
            let index = (first + offset) % clients.len();
            (index, &clients[index])
        })
    }

    /// Sends a request to one address after another within the time limit.
    async fn send(&self, path: &str, body: &[u8], effect: Effect) -> Result<Answer, Error> {
        let end = Instant::now() + self.0.timeout;
        let mut last = unreachable("no address", "none is set");
        let mut left = u32::try_from(self.0.clients.len()).unwrap_or(u32::MAX);
        if effect == Effect::Read {
            // One more for a connection that has fallen silent.
            left += 1;
        }
        while left > 0 {
            let Some((index, client)) = self.clients().next() else {
                break;
            };
            let share = end.saturating_duration_since(Instant::now()) / left;
            left -= 1;
            let connect = Instant::now() + share;
            let limit = Limit {
                connect,
                answer: if effect == Effect::Read { connect } else { end },
            };
            let request = request(client.address(), path, body)?;
            let failure = match client.call(&request, limit).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            self.prefer_next(index);
            match failure {
                HttpError::Unsent(cause) => last = unreachable(client.address(), &cause),
                HttpError::Lost(cause) => {
                    last = Error::Lost(format!("{}: {cause}", client.address()));
                    if effect == Effect::Write {
                        break;
                    }
                }
            }
        }
        Err(last)
    }

    /// Moves on from an address that failed.
    fn prefer_next(&self, failed: usize) {
        let next = (failed + 1) % self.0.clients.len();
        let _moved =
            self.0
                .preferred
                .compare_exchange(failed, next, Ordering::Relaxed, Ordering::Relaxed);
    }

    async fn call<T: DeserializeOwned>(
        &self,
        path: &str,
        message: &impl Serialize,
        effect: Effect,
    ) -> Result<T, Error> {
        let body = encode(message)?;
        let answer = self.send(path, &body, effect).await?;
        if answer.status != StatusCode::OK {
            return Err(classify(answer.status, &answer.body));
        }
        serde_json::from_slice(&answer.body).map_err(|error| Error::Unreadable(error.to_string()))
    }

    async fn range(&self, message: wire::RangeRequest) -> Result<Vec<Entry>, Error> {
        let response: wire::RangeResponse =
            self.call("/v3/kv/range", &message, Effect::Read).await?;
        response.try_into().map_err(unreadable)
    }
}

impl kv::Store for Store {
    type Watch = Watch;

    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let message = wire::RangeRequest {
            key: wire::Data::from(key),
            ..wire::RangeRequest::default()
        };
        let entries = self.range(message).await?;
        Ok(entries.into_iter().next())
    }

    async fn list(&self, prefix: &str, limit: usize) -> Result<Vec<Entry>, Error> {
        let limit = i64::try_from(limit).unwrap_or(i64::MAX);
        let message = wire::RangeRequest {
            key: wire::Data::from(prefix),
            range_end: Some(wire::Data(end_of(prefix))),
            limit: Some(wire::Number(limit)),
        };
        self.range(message).await
    }

    async fn transact(&self, transaction: Transaction) -> Result<Outcome, Error> {
        let shape = wire::Shape::from(&transaction);
        let effect = if shape.is_read() {
            Effect::Read
        } else {
            Effect::Write
        };
        let lease = transaction.lease();
        let message = wire::TxnRequest::from(transaction);
        let response: wire::TxnResponse = self
            .call("/v3/kv/txn", &message, effect)
            .await
            .map_err(|error| name_lease(error, lease))?;
        response.outcome(&shape).map_err(unreadable)
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        let seconds = i64::try_from(ttl.as_secs().max(1)).unwrap_or(i64::MAX);
        let message = wire::GrantRequest {
            ttl: wire::Number(seconds),
        };
        let response: wire::LeaseResponse = self
            .call("/v3/lease/grant", &message, Effect::Write)
            .await?;
        if response.id.0 == 0 {
            return Err(Error::Unreadable("the lease has no number".to_owned()));
        }
        Ok(Lease(response.id.0))
    }

    async fn renew(&self, lease: Lease) -> Result<Duration, Error> {
        let message = wire::LeaseRequest::from(lease);
        let streamed: wire::Streamed<wire::LeaseResponse> = self
            .call("/v3/lease/keepalive", &message, Effect::Read)
            .await
            .map_err(|error| name_lease(error, Some(lease)))?;
        if let Some(error) = streamed.error {
            return Err(name_lease(refusal(&error), Some(lease)));
        }
        let left = streamed.result.map_or(0, |response| response.ttl.0);
        match u64::try_from(left) {
            Ok(seconds) if seconds > 0 => Ok(Duration::from_secs(seconds)),
            _ => Err(Error::UnknownLease(lease)),
        }
    }

    async fn revoke(&self, lease: Lease) -> Result<(), Error> {
        let message = wire::LeaseRequest::from(lease);
        let _done: wire::Empty = self
            .call("/v3/lease/revoke", &message, Effect::Write)
            .await
            .map_err(|error| name_lease(error, Some(lease)))?;
        Ok(())
    }

    async fn watch(&self, key: &str, from: Revision) -> Result<Watch, Error> {
        let message = wire::WatchRequest {
            create_request: wire::WatchCreate {
                key: wire::Data::from(key),
                start_revision: wire::Number(from.0),
                progress_notify: true,
            },
        };
        let body = encode(&message)?;
        let limit = Limit::of(self.0.timeout);
        let mut last = unreachable("no address", "none is set");
        for (index, client) in self.clients() {
            let request = request(client.address(), "/v3/watch", &body)?;
            let failure = match client.stream(request, limit).await {
                Ok(stream) if stream.status() == StatusCode::OK => return Ok(Watch::new(stream)),
                Ok(stream) => return Err(classify(stream.status(), &[])),
                Err(failure) => failure,
            };
            self.prefer_next(index);
            last = match failure {
                HttpError::Unsent(cause) => unreachable(client.address(), &cause),
                HttpError::Lost(cause) => Error::Lost(format!("{}: {cause}", client.address())),
            };
        }
        Err(last)
    }
}

fn encode(message: &impl Serialize) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(message).map_err(|error| Error::Refused(error.to_string()))
}

fn request(address: &str, path: &str, body: &[u8]) -> Result<Request<Full<Bytes>>, Error> {
    Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(header::HOST, address)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::copy_from_slice(body)))
        .map_err(|error| Error::Refused(error.to_string()))
}

/// Returns the first key after all keys that start with `prefix`.
fn end_of(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    // etcd reads a single zero byte as "to the end of all keys".
    vec![0]
}
