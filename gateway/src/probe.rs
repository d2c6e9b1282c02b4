//! Questions to endpoints about themselves, outside of the requests of callers.

use std::{io, time::Duration};

use bytes::Bytes;
use dottereltally_lib::id;
use dottereltally_store::inbound;
use http::{Request, Response, header::HOST};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    chain::Chain,
    dialect::{Answer, Dialect},
};

/// Time to open a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for an endpoint's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Largest report of an engine that is read, in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// Sends a health check on a new connection; returns the endpoint that the answer names, if it
/// names one.
///
/// # Errors
///
/// Fails if nothing answers in time.
pub async fn health<D: Dialect>(
    chain: &Chain<D>,
    endpoint: &id::Endpoint,
    address: &str,
    service: &id::Service,
) -> io::Result<Option<id::Endpoint>> {
    let read = async |_: Response<Incoming>| Ok(());
    let (answer, ()) = ask(chain, endpoint, address, service, read).await?;
    Ok(answer.endpoint)
}

/// What an engine says of its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Process {
    /// When it started, in milliseconds since the Unix epoch; `None` if its report does not tell.
    pub started_ms: Option<u64>,
    /// Whether it leaves.
    pub is_leaving: bool,
}

/// Asks an engine on a new connection about its process.
///
/// # Errors
///
/// Fails if nothing answers in time, or the report can't be read to its end.
pub async fn process<D: Dialect>(
    chain: &Chain<D>,
    endpoint: &id::Endpoint,
    address: &str,
    service: &id::Service,
) -> io::Result<Process> {
    let read = async |response: Response<Incoming>| {
        if !response.status().is_success() {
            return Ok(None);
        }
        let report = Limited::new(response.into_body(), MAX_REPORT_BYTES);
        let report = report.collect().await.map_err(io::Error::other)?;
        Ok(chain.dialect.read_start(&report.to_bytes()))
    };
    let (answer, started_ms) = ask(chain, endpoint, address, service, read).await?;
    Ok(Process {
        started_ms,
        is_leaving: is_of(&answer, endpoint) && answer.notice.is_leaving,
    })
}

/// Sends a health check; returns what the head of the answer says, and what is read of the rest.
async fn ask<D: Dialect, T>(
    chain: &Chain<D>,
    endpoint: &id::Endpoint,
    address: &str,
    service: &id::Service,
    read: impl AsyncFnOnce(Response<Incoming>) -> io::Result<T>,
) -> io::Result<(Answer, T)> {
    let path = chain.plan.borrow().as_ref().and_then(|plan| {
        let service = plan.services.get(service)?;
        Some(service.health_path.clone())
    });
    let stream = timeout(CONNECT_TIMEOUT, chain.paths.open(address)).await??;
    let mut request = Request::get(path.as_deref().unwrap_or("/"))
        .header(HOST, address)
        .body(Empty::<Bytes>::new())
        .map_err(io::Error::other)?;
    chain.admission.apply(|dispatcher, _| {
        dispatcher.record_direct_request(endpoint);
        Vec::new()
    });
    let answering = async {
        let handshake = inbound::handshake(stream).await;
        let (mut sender, connection, progress) = handshake.map_err(io::Error::other)?;
        progress.watch(&mut request, |_, _| {});
        let reading = async {
            let response = sender.send_request(request).await;
            let response = response.map_err(io::Error::other)?;
            let (status, headers) = (response.status(), response.headers());
            let answer = chain.dialect.read_answer(status, headers);
            Ok((answer, read(response).await?))
        };
        tokio::select! {
            answer = reading => answer,
            // A connection that ends also ends the request, with the cause.
            Err(error) = connection => Err(io::Error::other(error)),
        }
    };
    let (answer, read) = timeout(ANSWER_TIMEOUT, answering).await??;
    if is_of(&answer, endpoint) {
        chain.record_limit(endpoint, answer.limit);
        chain.record_notice(endpoint, &answer.notice);
    }
    Ok((answer, read))
}

/// Returns whether an answer is of an endpoint, and not of another one at its address.
fn is_of(answer: &Answer, endpoint: &id::Endpoint) -> bool {
    let named = answer.endpoint.as_ref();
    named.is_none_or(|named| named == endpoint)
}
