//! Ends connections whose other side does not take what is sent.

use std::{
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Instant, Sleep, sleep},
};

/// A stream whose writes fail once they made no progress for a time.
pub struct WriteTimeout<T> {
    inner: T,
    limit: Duration,
    timer: Pin<Box<Sleep>>,
    blocked: bool,
}

impl<T> WriteTimeout<T> {
    /// Wraps a stream.
    #[must_use]
    pub fn new(inner: T, limit: Duration) -> Self {
        Self {
            inner,
            limit,
            timer: Box::pin(sleep(limit)),
            blocked: false,
        }
    }

    /// Passes a result on, or fails when it was pending for too long.
    fn bound<V>(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<V>>,
    ) -> Poll<io::Result<V>> {
        if result.is_ready() {
            self.blocked = false;
            return result;
        }
        if !self.blocked {
            self.blocked = true;
            self.timer.as_mut().reset(Instant::now() + self.limit);
        }
        match self.timer.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for WriteTimeout<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for WriteTimeout<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.bound(context, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.bound(context, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.inner).poll_flush(context);
        self.bound(context, result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.inner).poll_shutdown(context);
        self.bound(context, result)
    }
}
