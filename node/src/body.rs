//! Bodies of responses to callers.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body::{Frame, SizeHint};
use http_body_util::Full;

use crate::connections::Exchange;

/// The response ended early; its connection is closed so that the caller can
/// detect it.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the endpoint's answer was cut short; send the request again if it is idempotent")]
pub struct Truncated;

type Stream = Pin<Box<dyn http_body::Body<Data = Bytes, Error = Truncated> + Send>>;

/// Body of a response: either known in full or streamed.
pub struct Body {
    kind: Kind,
    /// Ends with the body.
    exchange: Option<Exchange>,
}

enum Kind {
    Full(Full<Bytes>),
    Stream(Stream),
}

impl Body {
    /// Builds a body from its complete content.
    #[must_use]
    pub fn full(bytes: Bytes) -> Self {
        Self::new(Kind::Full(Full::new(bytes)))
    }

    /// Builds a body that is streamed as its frames arrive.
    #[must_use]
    pub fn stream(
        stream: impl http_body::Body<Data = Bytes, Error = Truncated> + Send + 'static,
    ) -> Self {
        Self::new(Kind::Stream(Box::pin(stream)))
    }

    fn new(kind: Kind) -> Self {
        Self {
            kind,
            exchange: None,
        }
    }

    /// Makes the exchange end with this body.
    pub(crate) fn set_exchange(&mut self, exchange: Exchange) {
        self.exchange = Some(exchange);
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match &mut self.kind {
            Kind::Full(full) => Pin::new(full)
                .poll_frame(context)
                .map_err(|error: Infallible| match error {}),
            Kind::Stream(stream) => stream.as_mut().poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.kind {
            Kind::Full(full) => full.is_end_stream(),
            Kind::Stream(stream) => stream.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            Kind::Full(full) => full.size_hint(),
            Kind::Stream(stream) => stream.size_hint(),
        }
    }
}
