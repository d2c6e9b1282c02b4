//! Closes connections whose callers still send.
//!
//! A connection that is closed while bytes arrive on it is reset, and the reset discards
//! what its caller has not read yet. A connection after whose last answer the caller may
//! still send is therefore closed in one direction first, and what arrives is read and
//! discarded, within limits of bytes and time.

use std::{
    future::Future,
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Sleep, sleep},
};

/// Most bytes that are discarded: four times the usual limit of a body, as callers read the
/// answer only after they have sent all of it.
const MAX_BYTES: usize = 16 << 20;
/// Time after which the connection is closed although its caller still sends.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes that are read at once.
const BUFFER_BYTES: usize = 8 * 1024;

/// Extension of a response to a request that was not read to its end: its connection is the
/// last answer's, and its caller may still send.
#[derive(Clone, Copy, Debug)]
pub struct Linger;

/// Tells a stream that its caller may still send; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Mark(Arc<AtomicBool>);

impl Mark {
    /// Makes the stream discard what arrives after it has been shut down.
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A stream that discards what arrives after its shutdown if it is marked.
pub struct Stream<T> {
    inner: T,
    mark: Mark,
    /// Since the shutdown: the time limit, and the bytes that may still be discarded.
    discarding: Option<(Pin<Box<Sleep>>, usize)>,
}

impl<T> Stream<T> {
    /// Wraps a stream.
    #[must_use]
    pub fn new(inner: T, mark: Mark) -> Self {
        Self {
            inner,
            mark,
            discarding: None,
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Stream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl<T: AsyncRead + AsyncWrite + Unpin> AsyncWrite for Stream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.discarding.is_none() {
            ready!(Pin::new(&mut this.inner).poll_shutdown(context))?;
            if !this.mark.is_set() {
                return Poll::Ready(Ok(()));
            }
        }
        let (timer, remaining) = this
            .discarding
            .get_or_insert_with(|| (Box::pin(sleep(TIMEOUT)), MAX_BYTES));
        if timer.as_mut().poll(context).is_ready() {
            return Poll::Ready(Ok(()));
        }
        let mut bytes = [0; BUFFER_BYTES];
        while *remaining > 0 {
            let mut buffer = ReadBuf::new(&mut bytes);
            // The answer was sent: an error ends the connection like its end does.
            let read = ready!(Pin::new(&mut this.inner).poll_read(context, &mut buffer));
            let length = buffer.filled().len();
            if read.is_err() || length == 0 {
                break;
            }
            *remaining = remaining.saturating_sub(length);
        }
        Poll::Ready(Ok(()))
    }
}
