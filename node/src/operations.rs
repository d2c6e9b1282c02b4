//! HTTP pages for operators: metrics, health and status.

use std::future::Future;

use bytes::Bytes;
use dottereltally_lib::{id, report};
use http::{HeaderValue, Method, Response, StatusCode, header::CONTENT_TYPE};
use prometheus_client::{encoding::text, registry::Registry};
use serde::Serialize;

use crate::body::Body;

const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const JSON: &str = "application/json";
const TEXT: &str = "text/plain; charset=utf-8";

/// State of a node as shown on its status page.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Name of the node.
    pub node: id::Node,
    /// Data centre of the node.
    pub data_centre: id::DataCentre,
    /// Generation of the configuration in force.
    pub generation: id::Generation,
    /// Whether the node is shutting down.
    pub draining: bool,
    /// Whether the key-value service is available, as far as this node knows.
    pub platform: bool,
    /// Peers that are live.
    pub peers: Vec<id::Node>,
    /// Services of the configuration.
    pub services: Vec<report::Service>,
    /// Endpoints of the host list.
    pub endpoints: Vec<report::Endpoint>,
}

/// Provides the state of the node.
pub trait Source: Send + Sync + 'static {
    /// Returns the state.
    fn status(&self) -> impl Future<Output = Status> + Send;

    /// Returns whether the node accepts requests.
    fn is_ready(&self) -> bool;
}

/// Serves the pages.
pub struct Pages<S> {
    registry: Registry,
    source: S,
}

impl<S: Source> Pages<S> {
    /// Builds the pages from a registry that holds all metrics.
    #[must_use]
    pub fn new(registry: Registry, source: S) -> Self {
        Self { registry, source }
    }

    /// Returns the page for a request.
    pub async fn get(&self, method: &Method, path: &str) -> Response<Body> {
        if method != Method::GET {
            return page(StatusCode::METHOD_NOT_ALLOWED, TEXT, "use GET\n");
        }
        match path {
            "/metrics" => self.metrics(),
            "/livez" => page(StatusCode::OK, TEXT, "live\n"),
            "/readyz" if self.source.is_ready() => page(StatusCode::OK, TEXT, "ready\n"),
            "/readyz" => page(
                StatusCode::SERVICE_UNAVAILABLE,
                TEXT,
                "not ready; see /status\n",
            ),
            "/status" => self.status().await,
            _ => page(
                StatusCode::NOT_FOUND,
                TEXT,
                "use /metrics, /livez, /readyz or /status\n",
            ),
        }
    }

    fn metrics(&self) -> Response<Body> {
        let mut content = String::new();
        match text::encode(&mut content, &self.registry) {
            Ok(()) => page(StatusCode::OK, OPEN_METRICS, content),
            Err(error) => page(
                StatusCode::INTERNAL_SERVER_ERROR,
                TEXT,
                format!("the metrics can't be encoded: {error}; report this\n"),
            ),
        }
    }

    async fn status(&self) -> Response<Body> {
        match serde_json::to_vec(&self.source.status().await) {
            Ok(content) => page(StatusCode::OK, JSON, content),
            Err(error) => page(
                StatusCode::INTERNAL_SERVER_ERROR,
                TEXT,
                format!("the status can't be encoded: {error}; report this\n"),
            ),
        }
    }
}

fn page(
    status: StatusCode,
    content_type: &'static str,
    content: impl Into<Bytes>,
) -> Response<Body> {
    let mut response = Response::new(Body::full(content.into()));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
