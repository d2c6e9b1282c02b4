//! Limits on what another host sends on a connection to it, whatever it claims
//! to answer.

use std::{
    error::Error,
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use http::{HeaderMap, Request, StatusCode};
use hyper::{
    body::Body,
    client::conn::http1::{Builder, Connection, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Most headers of an answer, and most of its trailers.
const MAX_HEADERS: usize = 100;
/// Largest head of an answer, and largest trailers; also the read buffer of a
/// connection.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Bytes that an answer may need beyond twice the content that was taken from
/// it: interim answers, heads, the framing of chunks, and what is read ahead.
const MAX_OVERHEAD_BYTES: u64 = 512 * 1024;

/// Parts in which the content of an answer may come, however small they are, and bytes of
/// content that allow a further one.
const MAX_SMALL_PARTS: u64 = 16 * 1024;
const BYTES_PER_PART: u64 = 16;

/// Most interim answers to one request.
pub const MAX_INTERIM_ANSWERS: usize = 128;

/// The other host sent too much that is no content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum Overhead {
    #[error(
        "it sent more than {MAX_OVERHEAD_BYTES} bytes without a part of an answer; check the other host"
    )]
    Bytes,
    #[error(
        "it sent more than {MAX_INTERIM_ANSWERS} interim answers to one request; check the other host"
    )]
    Interim,
    #[error(
        "it sent more than {MAX_SMALL_PARTS} parts of an answer with a few bytes each; check the other host"
    )]
    Parts,
}

/// Counts the bytes of the answer that a connection carries; clones share the
/// counts.
#[derive(Clone, Debug, Default)]
pub struct Progress(Arc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    received: AtomicU64,
    taken: AtomicU64,
    parts: AtomicU64,
    interim: AtomicUsize,
}

impl Progress {
    /// Starts the counts of the answer to a request, which must be sent next on this
    /// connection. The heads of the first [`MAX_INTERIM_ANSWERS`] interim answers are passed to
    /// `handle`. After more of them, the next read fails: each costs far more time and memory
    /// than its bytes show.
    pub fn watch<B>(
        &self,
        request: &mut Request<B>,
        handle: impl Fn(StatusCode, &HeaderMap) + Send + Sync + 'static,
    ) {
        self.0.received.store(0, Ordering::Relaxed);
        self.0.taken.store(0, Ordering::Relaxed);
        self.0.parts.store(0, Ordering::Relaxed);
        self.0.interim.store(0, Ordering::Relaxed);
        let counts = Arc::clone(&self.0);
        hyper::ext::on_informational(request, move |answer| {
            if counts.interim.fetch_add(1, Ordering::Relaxed) < MAX_INTERIM_ANSWERS {
                handle(answer.status(), answer.headers());
            }
        });
    }

    /// Records a part of the content that was taken from the answer.
    pub fn record(&self, bytes: usize) {
        self.0.parts.fetch_add(1, Ordering::Relaxed);
        self.0.taken.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn receive(&self, bytes: usize) -> Result<(), Overhead> {
        let bytes = bytes as u64;
        let received = self.0.received.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let taken = self.0.taken.load(Ordering::Relaxed);
        if received > taken.saturating_mul(2).saturating_add(MAX_OVERHEAD_BYTES) {
            return Err(Overhead::Bytes);
        }
        if self.0.parts.load(Ordering::Relaxed) > MAX_SMALL_PARTS + taken / BYTES_PER_PART {
            return Err(Overhead::Parts);
        }
        if self.0.interim.load(Ordering::Relaxed) > MAX_INTERIM_ANSWERS {
            return Err(Overhead::Interim);
        }
        Ok(())
    }
}

/// Stream whose reads fail once an answer has too much overhead.
#[derive(Debug)]
pub struct Meter<S> {
    stream: S,
    progress: Progress,
}

impl<S: AsyncRead + Unpin> AsyncRead for Meter<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let bytes = buffer.filled().len() - before;
        Poll::Ready(self.progress.receive(bytes).map_err(io::Error::other))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Meter<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Connection that must be polled for its requests to make progress.
pub type Driver<B, S = TcpStream> = Connection<TokioIo<Meter<S>>, B>;

/// Prepares an open connection for HTTP/1.1 requests; the returned counts must
/// watch each request, and be told of the content that is taken.
///
/// # Errors
///
/// Fails if the connection can't be used.
pub async fn handshake<B, S>(stream: S) -> hyper::Result<(SendRequest<B>, Driver<B, S>, Progress)>
where
    S: AsyncRead + AsyncWrite + Unpin,
    B: Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let progress = Progress::default();
    let meter = Meter {
        stream,
        progress: progress.clone(),
    };
    let (sender, connection) = Builder::new()
        .max_headers(MAX_HEADERS)
        .max_header_size(MAX_HEAD_BYTES)
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(meter))
        .await?;
    Ok((sender, connection, progress))
}

/// Returns the text of an error with those of its sources.
#[must_use]
pub fn cause(error: &(dyn Error + 'static)) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(error) = source {
        text.push_str(": ");
        text.push_str(&error.to_string());
        source = error.source();
    }
    text
}
