//! Requests to endpoints.

use std::future::Future;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Request, Response};
use http_body_util::Full;

/// A request as it is handed to an endpoint.
pub type Message = Request<Full<Bytes>>;

/// A connection to an endpoint broke.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("the connection to the endpoint broke: {cause}; check the endpoint")]
pub struct Broken {
    /// What the connection said.
    pub cause: String,
}

/// Why a request got no answer's head.
#[derive(Debug, Display)]
pub enum Failure {
    /// Nothing was handed over; the message is returned as the proof.
    #[display("the endpoint can't be reached: {cause}; check the endpoint")]
    Unsent {
        /// The whole message.
        message: Box<Message>,
        /// What the connection said.
        cause: String,
    },
    /// Bytes may have been handed over.
    #[display("{_0}")]
    Broken(Broken),
}

/// Connection that a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// An idle connection, if there is one.
    Idle,
    /// Only a new one, which can't have fallen silent unseen.
    Never,
}

/// Hands requests to endpoints.
pub trait Client: Clone + Send + Sync + 'static {
    /// Body of an answer; dropping it before its end cancels the request.
    type Body: http_body::Body<Data = Bytes, Error = Broken> + Send + Unpin + 'static;

    /// Sends a request and waits for the answer's head.
    ///
    /// Dropping the future cancels the request.
    ///
    /// # Errors
    ///
    /// Fails with [`Failure::Unsent`] only if nothing was handed over.
    fn send(
        &self,
        address: &str,
        message: Message,
        reuse: Reuse,
    ) -> impl Future<Output = Result<Response<Self::Body>, Failure>> + Send;
}
