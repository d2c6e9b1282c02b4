//! Reads the load pages of endpoints.

use std::{collections::BTreeSet, time::Duration};

use bytes::Bytes;
use dottereltally_lib::{endpoint, id, size};
use dottereltally_store::inbound::{self, Progress};
use http::{Request, Response, StatusCode, header::HOST};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{body::Incoming, client::conn::http1::SendRequest};
use serde::Deserialize;
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

/// Path of the load page.
const PATH: &str = "/load";
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for one poll, including the connection.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest load page, bytes.
const MAX_PAGE_BYTES: usize = 64 * 1024;

/// Why a load page could not be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be opened.
    #[error(
        "the endpoint can't be reached: {0}; check that it runs and its address in the host list"
    )]
    Unreachable(#[from] std::io::Error),
    /// The page did not arrive in time.
    #[error("the load page did not arrive in time; check the endpoint's load")]
    Timeout,
    /// The HTTP exchange failed.
    #[error("the load page can't be read: {}; check the endpoint's log", inbound::cause(.0))]
    Http(#[from] hyper::Error),
    /// The page broke off or is too large.
    #[error(
        "the load page breaks off or exceeds {MAX_PAGE_BYTES} bytes; check the endpoint's version"
    )]
    Body,
    /// The status is not 200.
    #[error("the load page has status {0}; check the endpoint's version")]
    Status(StatusCode),
    /// The page does not have the format in `docs/design/interfaces.md`.
    #[error("the load page is malformed: {0}; check the endpoint's version")]
    Malformed(#[from] serde_json::Error),
}

/// A connection that is reused by the next poll; dropping it closes it.
pub struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    progress: Progress,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Opens a connection to an endpoint.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint does not accept it in time.
    pub(super) async fn open(address: &str) -> Result<Self, Error> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| Error::Timeout)??;
        let (sender, connection, progress) = inbound::handshake(stream).await?;
        let task = tokio::spawn(async move {
            // The request in progress receives the error.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            progress,
            task: task.abort_handle(),
        })
    }

    /// Sends a GET request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub(super) async fn get(
        &mut self,
        address: &str,
        path: &str,
    ) -> Result<Response<Incoming>, Error> {
        self.sender.ready().await?;
        let mut request = get(address, path);
        self.progress.watch(&mut request, |_, _| {});
        Ok(self.sender.send_request(request).await?)
    }

    /// Records content that was taken from the answer.
    pub(super) fn record(&self, bytes: usize) {
        self.progress.record(bytes);
    }
}

/// A load page on the wire.
#[derive(Debug, Deserialize)]
struct Page {
    #[serde(default)]
    running: u32,
    #[serde(default)]
    waiting: u32,
    #[serde(default)]
    tokens: u64,
    #[serde(default)]
    models: Vec<String>,
    #[serde(default)]
    state: endpoint::Standing,
}

impl From<Page> for endpoint::Load {
    fn from(page: Page) -> Self {
        let mut models = BTreeSet::new();
        for model in page.models {
            models.insert(id::Model::from(model));
        }
        Self {
            running: page.running,
            waiting: page.waiting,
            tokens: size::Tokens(page.tokens),
            models,
            standing: page.state,
        }
    }
}

/// Reads the load page, on the given connection if it is still open; returns
/// the load and the page's size in bytes.
///
/// # Errors
///
/// Fails if the page does not arrive completely and in time or is malformed;
/// the connection must not be reused then.
pub async fn read(
    address: &str,
    connection: &mut Option<Connection>,
) -> Result<(endpoint::Load, usize), Error> {
    let page = timeout(POLL_TIMEOUT, fetch(address, connection))
        .await
        .map_err(|_| Error::Timeout)??;
    let load: Page = serde_json::from_slice(&page)?;
    Ok((load.into(), page.len()))
}

/// Returns whether an endpoint's load page can be read on a new connection.
pub async fn probe(address: &str) -> bool {
    read(address, &mut None).await.is_ok()
}

async fn fetch(address: &str, connection: &mut Option<Connection>) -> Result<Bytes, Error> {
    let mut open = match connection.take() {
        Some(open) if !open.sender.is_closed() => open,
        _ => Connection::open(address).await?,
    };
    let response = open.get(address, PATH).await?;
    if response.status() != StatusCode::OK {
        return Err(Error::Status(response.status()));
    }
    let body = Limited::new(response.into_body(), MAX_PAGE_BYTES);
    let page = body.collect().await.map_err(|_| Error::Body)?.to_bytes();
    *connection = Some(open);
    Ok(page)
}

/// Builds a GET request.
fn get(address: &str, path: &str) -> Request<Empty<Bytes>> {
    let mut request = Request::new(Empty::new());
    if let Ok(uri) = path.parse() {
        *request.uri_mut() = uri;
    }
    if let Ok(host) = address.parse() {
        request.headers_mut().insert(HOST, host);
    }
    request
}
