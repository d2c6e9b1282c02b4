//! A small HTTP client whose answers are read piece by piece.

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

/// Longest wait for the head or for one piece of an answer.
const TIMEOUT: Duration = Duration::from_mins(1);

/// Version of the protocol.
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
    /// Starts a request to `ip:port`.
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

    /// Sets the bearer key.
    #[must_use]
    pub fn key(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Sets a JSON body.
    #[must_use]
    pub fn json(mut self, body: &Value) -> Self {
        self.body = Bytes::from(body.to_string());
        self.header("content-type", "application/json")
    }

    /// Chooses the version of the protocol.
    #[must_use]
    pub const fn version(mut self, version: Version) -> Self {
        self.version = version;
        self
    }

    /// Sends the request on a connection of its own and waits for the head.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails or nothing comes.
    pub async fn send(self) -> Result<Answer> {
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
            Ok(answer) => answer.wrap_err(what),
            Err(_) => bail!("{what}: no answer within {TIMEOUT:?}"),
        }
    }

    async fn exchange(self, request: Request<Full<Bytes>>) -> Result<Answer> {
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
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body,
            _connection: connection,
        })
    }

    /// Sends the request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails if the answer does not come whole.
    pub async fn text(self) -> Result<Whole> {
        self.send().await?.whole().await
    }
}

#[derive(Debug)]
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An answer whose body is read piece by piece; dropping it closes the
/// connection.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    body: Incoming,
    _connection: AbortOnDrop,
}

impl Answer {
    /// Waits for the next piece; nothing follows the end.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or falls silent.
    pub async fn piece(&mut self) -> Result<Option<String>> {
        loop {
            let Some(frame) = timeout(TIMEOUT, self.body.frame())
                .await
                .map_err(|_| eyre!("nothing more within {TIMEOUT:?}"))?
            else {
                return Ok(None);
            };
            if let Ok(data) = frame?.into_data() {
                return Ok(Some(String::from_utf8_lossy(&data).into_owned()));
            }
        }
    }

    /// Reads the rest.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or falls silent before the end.
    pub async fn whole(mut self) -> Result<Whole> {
        let mut text = String::new();
        while let Some(piece) = self.piece().await? {
            text.push_str(&piece);
        }
        Ok(Whole {
            status: self.status,
            headers: self.headers,
            text,
        })
    }
}

/// An answer that was read to its end.
#[derive(Clone, Debug)]
pub struct Whole {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub text: String,
}

impl Whole {
    /// Returns the body as JSON, null if it is none.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }

    /// Returns the `run` member of a problem body, empty if there is none.
    #[must_use]
    pub fn run(&self) -> String {
        self.json()["run"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns whether it is a stream that was ended by `[DONE]`.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.text.trim_end().ends_with("data: [DONE]")
    }

    /// Returns the content of a completion, streamed or not.
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
/// Fails if it does not answer.
pub async fn control(address: &str) -> Result<Value> {
    let answer = Call::new(address, Method::GET, "/control").text().await?;
    Ok(answer.json())
}

/// Changes switches of a stand-in.
///
/// # Errors
///
/// Fails if it does not answer or does not accept them.
pub async fn switch(address: &str, change: &Value) -> Result<()> {
    let call = Call::new(address, Method::PUT, "/control").json(change);
    let answer = call.text().await?;
    if answer.status != StatusCode::OK {
        bail!("{change} was refused: {}", answer.text);
    }
    Ok(())
}
