//! A small HTTP client that can read a response body chunk by chunk, and access
//! to the control pages of the stand-ins.

use std::time::Duration;

use bytes::Bytes;
use eyre::{Result, WrapErr, bail, eyre};
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::{http1, http2},
};
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde_json::Value;
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

/// Maximum wait for the head or for one chunk of a response.
const TIMEOUT: Duration = Duration::from_mins(1);

/// HTTP version of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Version {
    /// HTTP/1.1.
    #[default]
    Http1,
    /// HTTP/2 with prior knowledge.
    Http2,
}

/// A request under construction.
#[derive(Clone, Debug)]
pub struct Call {
    address: String,
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    version: Version,
}

impl Call {
    /// Creates a request to `ip:port`.
    #[must_use]
    pub fn new(address: &str, method: Method, path: &str) -> Self {
        Self {
            address: address.to_owned(),
            method,
            path: path.to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            version: Version::Http1,
        }
    }

    /// Sets a header.
    ///
    /// # Panics
    ///
    /// Panics if the value is not a header value.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        let value = value.parse().expect("a valid header value");
        self.headers.insert(name, value);
        self
    }

    /// Sets the bearer key of the `authorization` header.
    #[must_use]
    pub fn bearer_key(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Sets a JSON body.
    #[must_use]
    pub fn json(mut self, body: &Value) -> Self {
        self.body = Bytes::from(body.to_string());
        self.header("content-type", "application/json")
    }

    /// Sets the HTTP version.
    #[must_use]
    pub const fn version(mut self, version: Version) -> Self {
        self.version = version;
        self
    }

    /// Sends the request on a new connection and waits for the response's head.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails or no head arrives within a minute.
    pub async fn send(self) -> Result<ResponseStream> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(match self.version {
                Version::Http1 => self.path.clone(),
                Version::Http2 => format!("http://{}{}", self.address, self.path),
            })
            .header(header::HOST, &self.address)
            .body(Full::new(self.body.clone()))?;
        request.headers_mut().extend(self.headers.clone());
        if self.version == Version::Http2 {
            request.headers_mut().remove(header::HOST);
        }
        let what = format!("{} {} at {}", self.method, self.path, self.address);
        match timeout(TIMEOUT, self.exchange(request)).await {
            Ok(result) => result.wrap_err(what),
            Err(_) => bail!("{what}: no response within {TIMEOUT:?}"),
        }
    }

    async fn exchange(self, request: Request<Full<Bytes>>) -> Result<ResponseStream> {
        let stream = TcpStream::connect(&self.address).await?;
        stream.set_nodelay(true)?;
        let io = TokioIo::new(stream);
        let (response, connection) = match self.version {
            Version::Http1 => {
                let (mut sender, connection) = http1::handshake(io).await?;
                let task = AbortOnDrop(tokio::spawn(connection).abort_handle());
                (sender.send_request(request).await?, task)
            }
            Version::Http2 => {
                let (mut sender, connection) = http2::handshake(TokioExecutor::new(), io).await?;
                let task = AbortOnDrop(tokio::spawn(connection).abort_handle());
                (sender.send_request(request).await?, task)
            }
        };
        let (head, body) = response.into_parts();
        Ok(ResponseStream {
            status: head.status,
            headers: head.headers,
            body,
            _connection: connection,
        })
    }

    /// Sends the request and reads the response to its end.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails or stalls before the end.
    pub async fn fetch(self) -> Result<Response> {
        self.send().await?.read_to_end().await
    }
}

/// Aborts the task of a connection, which closes the connection, on drop.
#[derive(Debug)]
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A response whose body is read chunk by chunk; dropping it closes the
/// connection.
#[derive(Debug)]
pub struct ResponseStream {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    body: Incoming,
    _connection: AbortOnDrop,
}

impl ResponseStream {
    /// Waits for the next chunk of the body; returns `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or carries nothing for a minute.
    pub async fn next_chunk(&mut self) -> Result<Option<String>> {
        loop {
            let Some(frame) = timeout(TIMEOUT, self.body.frame())
                .await
                .map_err(|_| eyre!("no further part of the response within {TIMEOUT:?}"))?
            else {
                return Ok(None);
            };
            if let Ok(data) = frame?.into_data() {
                return Ok(Some(String::from_utf8_lossy(&data).into_owned()));
            }
        }
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or stalls before the end.
    pub async fn read_to_end(mut self) -> Result<Response> {
        let mut text = String::new();
        while let Some(chunk) = self.next_chunk().await? {
            text.push_str(&chunk);
        }
        Ok(Response {
            status: self.status,
            headers: self.headers,
            text,
        })
    }
}

/// A response that was read to its end.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub text: String,
}

impl Response {
    /// Returns the body as JSON; null if it is not JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }

    /// Returns the `run` field of an error body, which says whether the request
    /// may have been executed; empty if there is none.
    #[must_use]
    pub fn run_state(&self) -> String {
        self.json()["run"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns whether the body is a stream that ends with `[DONE]`, that is a
    /// complete one.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.text.trim_end().ends_with("data: [DONE]")
    }

    /// Returns the text of a chat completion, streamed or not.
    #[must_use]
    pub fn content(&self) -> String {
        if let Some(content) = self.json()["choices"][0]["message"]["content"].as_str() {
            return content.to_owned();
        }
        let mut content = String::new();
        for line in self.text.lines() {
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            let event: Value = serde_json::from_str(data).unwrap_or_default();
            content.push_str(
                event["choices"][0]["delta"]["content"]
                    .as_str()
                    .unwrap_or(""),
            );
        }
        content
    }
}

/// Reads the control page of a stand-in.
///
/// # Errors
///
/// Fails if the stand-in does not respond.
pub async fn control_page(address: &str) -> Result<Value> {
    let response = Call::new(address, Method::GET, "/control").fetch().await?;
    Ok(response.json())
}

/// Sets controls of a stand-in.
///
/// # Errors
///
/// Fails if the stand-in does not respond or rejects them.
pub async fn set_controls(address: &str, change: &Value) -> Result<()> {
    let call = Call::new(address, Method::PUT, "/control").json(change);
    let response = call.fetch().await?;
    if response.status != StatusCode::OK {
        bail!(
            "{address} rejected the controls {change}: {}",
            response.text
        );
    }
    Ok(())
}
