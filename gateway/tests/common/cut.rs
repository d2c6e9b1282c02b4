//! Paths of one node to the endpoints that can be taken away.

use std::{io, sync::Arc, time::Duration};

use dottereltally_gateway::paths::Dial;
use futures_util::{FutureExt, future::BoxFuture};
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    select,
    sync::watch,
    time::sleep,
};

/// Time after which the kernel gives up a connection whose packets are lost.
const LOSS_DETECTED: Duration = Duration::from_millis(2200);

/// State of a node's paths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Paths {
    /// Endpoints are reached.
    Whole,
    /// Packets are lost: connections hang.
    Silent,
    /// Connections are reset, new ones refused.
    Reset,
    /// New connections are accepted, and what is sent on them is lost, as behind a proxy
    /// without a path to its back end.
    Swallowed,
}

/// Opens connections through forwarders that can be cut.
#[derive(Clone)]
pub struct Dialer {
    paths: Arc<watch::Sender<Paths>>,
}

impl Default for Dialer {
    fn default() -> Self {
        Self {
            paths: Arc::new(watch::Sender::new(Paths::Whole)),
        }
    }
}

impl Dialer {
    pub fn set(&self, paths: Paths) {
        self.paths.send_replace(paths);
    }

    async fn open(&self, address: &str) -> io::Result<TcpStream> {
        let mut paths = self.paths.subscribe();
        let state = *paths.borrow_and_update();
        match state {
            Paths::Whole => {}
            Paths::Silent => std::future::pending().await,
            Paths::Reset => return Err(io::ErrorKind::ConnectionRefused.into()),
            Paths::Swallowed => {
                let listener = TcpListener::bind("127.0.0.1:0").await?;
                let stream = TcpStream::connect(listener.local_addr()?).await?;
                let (accepted, _) = listener.accept().await?;
                tokio::spawn(async move {
                    let _ended = paths.wait_for(|paths| *paths == Paths::Whole).await;
                    drop(accepted);
                });
                return Ok(stream);
            }
        }
        let mut endpoint = TcpStream::connect(address).await?;
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let stream = TcpStream::connect(listener.local_addr()?).await?;
        let (mut inner, _) = listener.accept().await?;
        tokio::spawn(async move {
            select! {
                ended = copy_bidirectional(&mut inner, &mut endpoint) => {
                    if ended.is_err() {
                        inner.set_zero_linger()?;
                    }
                    return io::Result::Ok(());
                }
                _ = paths.wait_for(|paths| *paths != Paths::Whole) => {}
            }
            let state = *paths.borrow();
            if state == Paths::Silent {
                sleep(LOSS_DETECTED).await;
            }
            inner.set_zero_linger()
        });
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

impl Dial for Dialer {
    fn dial<'a>(&'a self, address: &'a str) -> BoxFuture<'a, io::Result<TcpStream>> {
        self.open(address).boxed()
    }
}
