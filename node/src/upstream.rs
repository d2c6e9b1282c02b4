//! Requests to endpoints.

use std::future::Future;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Request, Response};
use http_body_util::Full;

/// A request in the form that is sent to an endpoint.
pub type Message = Request<Full<Bytes>>;

/// A connection to an endpoint broke.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("the connection to the endpoint broke: {cause}; check the endpoint")]
pub struct Broken {
    /// The error of the connection.
    pub cause: String,
}

/// Why a request got no response head.
#[derive(Debug, Display)]
pub enum Failure {
    /// Nothing was sent, which the returned message proves.
    #[display("the endpoint can't be reached: {cause}; check the endpoint")]
    Unsent {
        /// The unsent message.
        message: Box<Message>,
        /// The error of the connection.
        cause: String,
    },
    /// Bytes may have been sent.
    #[display("{_0}")]
    Broken(Broken),
}

/// Whether a request may use an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Use an idle connection if there is one.
    Idle,
    /// Open a new connection; an idle one may have been lost without notice.
    Never,
}

/// Sends requests to endpoints.
pub trait Client: Clone + Send + Sync + 'static {
    /// Body of a response; dropping it before its end cancels the request.
    type Body: http_body::Body<Data = Bytes, Error = Broken> + Send + Unpin + 'static;

    /// Sends a request and waits for the head of the response.
    ///
    /// Dropping the future cancels the request.
    ///
    /// # Errors
    ///
    /// Fails with [`Failure::Unsent`] only if nothing was sent.
    fn send(
        &self,
        address: &str,
        message: Message,
        reuse: Reuse,
    ) -> impl Future<Output = Result<Response<Self::Body>, Failure>> + Send;
}
