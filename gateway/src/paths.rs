//! Connections to endpoints.

use std::{io, sync::Arc};

use dottereltally::pool::{self, Limits, Pool, Ready};
use futures_util::{FutureExt, future::BoxFuture};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    time::timeout,
};

/// Opens connections to endpoints without another node.
pub trait Dial: Send + Sync + 'static {
    /// Opens a connection to `address`, `ip:port`.
    ///
    /// # Errors
    ///
    /// Fails if it can't be opened in time.
    fn dial<'a>(&'a self, address: &'a str) -> BoxFuture<'a, io::Result<TcpStream>>;
}

/// Opens TCP connections.
#[derive(Clone, Copy, Debug)]
pub struct Tcp(pub Limits);

impl Dial for Tcp {
    fn dial<'a>(&'a self, address: &'a str) -> BoxFuture<'a, io::Result<TcpStream>> {
        pool::dial(address, &self.0).boxed()
    }
}

/// Bytes in both directions.
pub trait Duplex: AsyncRead + AsyncWrite + Unpin + Send {}

impl<T: AsyncRead + AsyncWrite + Unpin + Send> Duplex for T {}

/// The connections to endpoints.
pub struct Paths {
    limits: Limits,
    /// Idle connections, by address.
    pool: Pool,
    dialer: Arc<dyn Dial>,
}

impl Paths {
    /// Builds paths without connections.
    #[must_use]
    pub fn new(limits: Limits, dialer: Arc<dyn Dial>) -> Self {
        Self {
            limits,
            pool: Pool::new(limits),
            dialer,
        }
    }

    async fn dial(&self, address: &str) -> io::Result<TcpStream> {
        timeout(self.limits.connect, self.dialer.dial(address)).await?
    }

    /// Takes an idle connection to an endpoint, or opens one.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint can't be reached.
    pub async fn connect(&self, address: &str) -> io::Result<Ready> {
        if let Some(ready) = self.pool.take_idle(address).await {
            return Ok(ready);
        }
        let stream = self.dial(address).await?;
        self.pool.adopt(address, stream).await
    }

    /// Opens a connection to an endpoint that is used once.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint can't be reached.
    pub async fn open(&self, address: &str) -> io::Result<Box<dyn Duplex>> {
        Ok(Box::new(self.dial(address).await?))
    }
}
