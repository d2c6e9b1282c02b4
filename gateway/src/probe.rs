//! Questions to endpoints about themselves, outside of the requests of callers.

use std::{io, time::Duration};

use bytes::Bytes;
use dottereltally_lib::id;
use dottereltally_store::inbound;
use http::{Request, Response, header::HOST, response::Parts};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{chain::Chain, dialect::Dialect};

/// Time to open a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for an endpoint's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Largest report of an engine that is read, in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// An endpoint, as it is listed.
#[derive(Clone, Copy, Debug)]
pub struct Target<'a> {
    /// Its name.
    pub endpoint: &'a id::Endpoint,
    /// Its address, `ip:port`.
    pub address: &'a str,
    /// Its service.
    pub service: &'a id::Service,
}

/// Returns the endpoint that answers a health check, if it names itself.
///
/// # Errors
///
/// Fails if nothing answers in time.
pub async fn health<D: Dialect>(
    chain: &Chain<D>,
    target: Target<'_>,
) -> io::Result<Option<id::Endpoint>> {
    let (parts, ()) = ask(chain, target, async |_| Ok(())).await?;
    let answer = chain.dialect.read_answer(parts.status, &parts.headers);
    Ok(answer.endpoint)
}

/// Returns when the process of an engine started, in milliseconds since the Unix epoch, if its
/// report tells.
///
/// # Errors
///
/// Fails if nothing answers in time, or the report can't be read to its end.
pub async fn process<D: Dialect>(chain: &Chain<D>, target: Target<'_>) -> io::Result<Option<u64>> {
    let read = async |body: Incoming| {
        let report = Limited::new(body, MAX_REPORT_BYTES).collect().await;
        Ok(report.map_err(io::Error::other)?.to_bytes())
    };
    let (parts, report) = ask(chain, target, read).await?;
    if !parts.status.is_success() {
        return Ok(None);
    }
    Ok(chain.dialect.read_start(&report))
}

/// Sends a health check on a new connection; returns the head of the answer and what was read
/// of its body.
async fn ask<D: Dialect, T>(
    chain: &Chain<D>,
    target: Target<'_>,
    read: impl AsyncFnOnce(Incoming) -> io::Result<T>,
) -> io::Result<(Parts, T)> {
    let Target {
        endpoint,
        address,
        service,
    } = target;
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
            let response: Response<Incoming> = sender
                .send_request(request)
                .await
                .map_err(io::Error::other)?;
            let (parts, body) = response.into_parts();
            Ok((parts, read(body).await?))
        };
        tokio::select! {
            answer = reading => answer,
            // A connection that ends also ends the request, with the cause.
            Err(error) = connection => Err(io::Error::other(error)),
        }
    };
    let (parts, read) = timeout(ANSWER_TIMEOUT, answering).await??;
    let answer = chain.dialect.read_answer(parts.status, &parts.headers);
    if answer
        .endpoint
        .as_ref()
        .is_none_or(|named| named == endpoint)
    {
        chain.record_limit(endpoint, answer.limit);
        chain.record_notice(endpoint, &answer.notice);
    }
    Ok((parts, read))
}
