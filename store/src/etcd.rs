//! Client of the etcd v3 JSON gateway.
//!
//! Every call has a time limit. A request that could not be sent is tried at
//! the next address. One that was sent but not answered is retried only if it
//! writes nothing or renews a lease, because only the caller can find out
//! whether a lost write took effect.

mod error;
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
    etcd::error::{classify, failed, from_body, map_unknown_lease, unreachable, unreadable},
    http::{Answer, Client, Deadlines, Error as HttpError},
    kv::{self, Entry, Error, Lease, Outcome, Revision, Transaction},
    transfer::Pace,
};

pub use watch::Watch;

/// Whether a call may be repeated after its answer was lost.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Effect {
    /// The call may be repeated: a read, or the renewal of a lease.
    Read,
    /// The call must not be repeated.
    Write,
}

/// Client of the key-value service; clones share their connections.
#[derive(Clone)]
pub struct Store(Arc<Inner>);

struct Inner {
    /// Clients of the addresses, in the order in which these were given.
    clients: Vec<Client>,
    /// Index of the client that is tried first.
    preferred: AtomicUsize,
    /// Time limit of one call, over all addresses.
    timeout: Duration,
}

impl Store {
    /// Builds a client of the `ip:port` addresses, with a time limit per call;
    /// connections are opened by the first calls.
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
    ///
    /// Each attempt gets an equal share of the time that is left. A write that
    /// was sent may use all the time that is left, as it is not sent again.
    async fn send(&self, path: &str, body: &[u8], effect: Effect) -> Result<Answer, Error> {
        let deadline = Instant::now() + self.0.timeout;
        let mut last_error = unreachable("unknown address", "no address is configured");
        let mut attempts_left = u32::try_from(self.0.clients.len()).unwrap_or(u32::MAX);
        if effect == Effect::Read {
            // One more attempt, as the first may use a connection that is half-open.
            attempts_left += 1;
        }
        while attempts_left > 0 {
            let Some((index, client)) = self.clients().next() else {
                break;
            };
            let attempt_timeout =
                deadline.saturating_duration_since(Instant::now()) / attempts_left;
            attempts_left -= 1;
            let connect = Instant::now() + attempt_timeout;
            let deadlines = Deadlines {
                connect,
                answer: if effect == Effect::Read {
                    connect
                } else {
                    deadline
                },
                pace: Pace::default(),
            };
            let request = request(client.address(), path, body)?;
            let failure = match client.call(&request, deadlines).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            self.prefer_next(index);
            let is_unsent = matches!(failure, HttpError::Unsent(_));
            last_error = failed(client.address(), failure);
            if effect == Effect::Write && !is_unsent {
                break;
            }
        }
        Err(last_error)
    }

    /// Prefers the next address if the one that failed is still preferred.
    fn prefer_next(&self, failed: usize) {
        let next = (failed + 1) % self.0.clients.len();
        let _exchanged =
            self.0
                .preferred
                .compare_exchange(failed, next, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// Sends a message and decodes the response.
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
            key: wire::Base64::from(key),
            ..wire::RangeRequest::default()
        };
        let entries = self.range(message).await?;
        Ok(entries.into_iter().next())
    }

    async fn list(&self, prefix: &str, limit: usize) -> Result<Vec<Entry>, Error> {
        let limit = i64::try_from(limit).unwrap_or(i64::MAX);
        let message = wire::RangeRequest {
            key: wire::Base64::from(prefix),
            range_end: Some(wire::Base64(prefix_end(prefix))),
            limit: Some(wire::Number(limit)),
        };
        self.range(message).await
    }

    async fn transact(&self, transaction: Transaction) -> Result<Outcome, Error> {
        let read_mask = wire::ReadMask::from(&transaction);
        let effect = if read_mask.is_read_only() {
            Effect::Read
        } else {
            Effect::Write
        };
        let lease = transaction.lease();
        let message = wire::TxnRequest::from(transaction);
        let response: wire::TxnResponse = self
            .call("/v3/kv/txn", &message, effect)
            .await
            .map_err(|error| map_unknown_lease(error, lease))?;
        response.outcome(&read_mask).map_err(unreadable)
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
            return Err(Error::Unreadable("the granted lease has no ID".to_owned()));
        }
        Ok(Lease(response.id.0))
    }

    async fn renew(&self, lease: Lease) -> Result<Duration, Error> {
        let message = wire::LeaseRequest::from(lease);
        let streamed: wire::Streamed<wire::LeaseResponse> = self
            .call("/v3/lease/keepalive", &message, Effect::Read)
            .await
            .map_err(|error| map_unknown_lease(error, Some(lease)))?;
        if let Some(error) = streamed.error {
            return Err(map_unknown_lease(from_body(&error), Some(lease)));
        }
        let ttl = streamed.result.map_or(0, |response| response.ttl.0);
        match u64::try_from(ttl) {
            Ok(seconds) if seconds > 0 => Ok(Duration::from_secs(seconds)),
            _ => Err(Error::UnknownLease(lease)),
        }
    }

    async fn revoke(&self, lease: Lease) -> Result<(), Error> {
        let message = wire::LeaseRequest::from(lease);
        let _done: wire::Empty = self
            .call("/v3/lease/revoke", &message, Effect::Write)
            .await
            .map_err(|error| map_unknown_lease(error, Some(lease)))?;
        Ok(())
    }

    async fn watch(&self, key: &str, from: Revision) -> Result<Watch, Error> {
        let message = wire::WatchRequest {
            create_request: wire::WatchCreate {
                key: wire::Base64::from(key),
                start_revision: wire::Number(from.0),
                progress_notify: true,
            },
        };
        let body = encode(&message)?;
        let deadlines = Deadlines::after(self.0.timeout);
        let mut last_error = unreachable("unknown address", "no address is configured");
        for (index, client) in self.clients() {
            let request = request(client.address(), "/v3/watch", &body)?;
            let failure = match client.stream(request, deadlines).await {
                Ok(stream) if stream.status() == StatusCode::OK => return Ok(Watch::new(stream)),
                Ok(stream) => return Err(classify(stream.status(), &[])),
                Err(failure) => failure,
            };
            self.prefer_next(index);
            last_error = failed(client.address(), failure);
        }
        Err(last_error)
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
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    // There is no such key; etcd takes a single zero byte as the end of all keys.
    vec![0]
}
