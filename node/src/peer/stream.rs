//! The RPC transport over a TCP stream whose bytes are counted.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use capnp::message::ReaderOptions;
use capnp_rpc::{rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures_util::{AsyncRead, AsyncReadExt, AsyncWrite};
use prometheus_client::metrics::counter::Counter;
use tokio::net::TcpStream;
use tokio_util::compat::{Compat, TokioAsyncReadCompatExt};

use crate::peer::metrics::Metrics;

/// Largest message that is read, in words of 8 bytes: 16 MiB.
const MAX_MESSAGE_WORDS: usize = 2 * 1024 * 1024;
/// Deepest nesting of a message that is read.
const MAX_NESTING: i32 = 32;

/// A TCP stream whose bytes are counted.
struct Counted {
    stream: Compat<TcpStream>,
    received: Counter,
    sent: Counter,
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.received.inc_by(count as u64);
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_write(context, buffer))?;
        self.sent.inc_by(count as u64);
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

/// Builds the RPC transport over a stream.
///
/// # Errors
///
/// Fails if the stream is already closed.
pub fn network(
    stream: TcpStream,
    side: Side,
    metrics: &Metrics,
) -> io::Result<VatNetwork<impl AsyncRead + Unpin + 'static>> {
    stream.set_nodelay(true)?;
    let counted = Counted {
        stream: stream.compat(),
        received: metrics.received.clone(),
        sent: metrics.sent.clone(),
    };
    let (reader, writer) = counted.split();
    let options = ReaderOptions {
        traversal_limit_in_words: Some(MAX_MESSAGE_WORDS),
        nesting_limit: MAX_NESTING,
    };
    Ok(VatNetwork::new(reader, writer, side, options))
}
