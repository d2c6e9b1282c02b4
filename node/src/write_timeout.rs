//! Limits how long a write to a connection may block, so that a connection
//! whose other side does not read is closed.

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

/// A stream whose writes fail after they have made no progress for `timeout`.
pub struct WriteTimeout<T> {
    inner: T,
    timeout: Duration,
    timer: Pin<Box<Sleep>>,
    blocked: bool,
}

impl<T> WriteTimeout<T> {
    /// Wraps a stream to fail writes that are blocked for longer than `timeout`.
    #[must_use]
    pub fn new(inner: T, timeout: Duration) -> Self {
        Self {
            inner,
            timeout,
            timer: Box::pin(sleep(timeout)),
            blocked: false,
        }
    }

    /// Returns the result of a write, or an error once writes have been pending
    /// for too long.
    fn check_timeout<V>(
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
            self.timer.as_mut().reset(Instant::now() + self.timeout);
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
        self.check_timeout(context, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.check_timeout(context, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.inner).poll_flush(context);
        self.check_timeout(context, result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.inner).poll_shutdown(context);
        self.check_timeout(context, result)
    }
}
