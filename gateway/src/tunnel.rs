//! Byte streams to endpoints that another node passes on.
//!
//! A node without a path to an endpoint opens a connection to another node's address for
//! calls and names the endpoint. That node connects to it and copies the bytes of both
//! directions. Bytes from the endpoint are framed, so that the end of its connection can
//! be told from the end of the node that passes them on: an answer may end with its
//! connection. The request itself, and all that is decided on it, stays at the first
//! node.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use dottereltally::pool;
use futures_util::{SinkExt, Stream, StreamExt, stream};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Join, copy, join},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    select,
    time::timeout,
};
use tokio_util::{
    codec::{FramedRead, FramedWrite, LengthDelimitedCodec},
    io::{ReaderStream, StreamReader},
};

use crate::{
    admission,
    chain::Chain,
    paths::{Dial, Tcp, UPSTREAM_LIMITS},
};

/// First bytes of a tunnel. Calls begin with the number of their segments, whose last
/// byte is zero.
const MAGIC: &[u8; 4] = b"tunl";

/// Longest first line: the name of the node that asks and the endpoint's address.
const MAX_LINE_BYTES: u64 = 512;

/// Time for the other node to reply; it may need the whole time to connect.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for the first bytes of a connection to arrive.
const FIRST_BYTES_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest frame that is read.
const MAX_FRAME_BYTES: usize = 64 * 1024;

/// Reply of a node that has connected to the endpoint.
const OPENED: u8 = b'+';
/// Reply of a node that the endpoint refused, or that knows no such endpoint.
const REFUSED: u8 = b'-';
/// Reply of a node that can't reach the endpoint itself, or takes no tunnels now.
const UNREACHABLE: u8 = b'?';

/// Bytes that arrive through another node.
type Frames = Pin<Box<dyn Stream<Item = io::Result<Bytes>> + Send>>;

/// A byte stream to an endpoint through another node.
pub type Tunnel = Join<StreamReader<Frames, Bytes>, OwnedWriteHalf>;

/// Opens a byte stream to an endpoint through the node at `carrier`.
///
/// # Errors
///
/// Fails with [`io::ErrorKind::ConnectionRefused`] if the endpoint refused the other
/// node, and otherwise if that node can't be reached or can't reach the endpoint.
pub async fn open(carrier: &str, own_name: &str, address: &str) -> io::Result<Tunnel> {
    timeout(OPEN_TIMEOUT, ask(carrier, own_name, address)).await?
}

async fn ask(carrier: &str, own_name: &str, address: &str) -> io::Result<Tunnel> {
    let mut stream = pool::dial(carrier, &UPSTREAM_LIMITS).await?;
    stream.write_all(MAGIC).await?;
    let line = format!(" {own_name} {address}\n");
    stream.write_all(line.as_bytes()).await?;
    match stream.read_u8().await? {
        OPENED => {}
        REFUSED => return Err(io::ErrorKind::ConnectionRefused.into()),
        _ => return Err(io::ErrorKind::HostUnreachable.into()),
    }
    let (read, write) = stream.into_split();
    let frames = FramedRead::new(read, codec());
    let frames = stream::try_unfold(frames, next_frame);
    Ok(join(StreamReader::new(frames.boxed()), write))
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

type Reader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Returns the next frame; `None` after the empty one, with which the endpoint's bytes
/// end.
async fn next_frame(mut frames: Reader) -> io::Result<Option<(Bytes, Reader)>> {
    match frames.next().await {
        Some(Ok(frame)) if frame.is_empty() => Ok(None),
        Some(frame) => Ok(Some((frame.map(BytesMut::freeze)?, frames))),
        None => Err(io::ErrorKind::ConnectionReset.into()),
    }
}

/// Returns whether a connection that was accepted begins a tunnel.
///
/// # Errors
///
/// Fails if its first bytes don't arrive in time.
pub async fn is_tunnel(stream: &TcpStream) -> io::Result<bool> {
    let mut first = [0; MAGIC.len()];
    let peeking = async {
        loop {
            let length = stream.peek(&mut first).await?;
            if length == 0 || !MAGIC.starts_with(&first[..length]) {
                return Ok(false);
            }
            if length == MAGIC.len() {
                return Ok(true);
            }
            // The rest of a split first packet is a moment away.
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(FIRST_BYTES_TIMEOUT, peeking).await?
}

/// Passes connections of other nodes on to endpoints.
#[derive(Clone)]
pub struct Server {
    /// Knows the endpoints.
    pub admission: admission::Handle,
    /// Opens connections to them.
    pub dialer: Arc<dyn Dial>,
    /// Returns whether the node takes new tunnels now.
    pub is_open: Arc<dyn Fn() -> bool + Send + Sync>,
    /// Tunnels that are open.
    pub count: Arc<AtomicUsize>,
}

/// Counts a tunnel while it is open.
struct Guard(Arc<AtomicUsize>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Server {
    /// Builds a server that refuses while the node shuts down or is isolated itself.
    #[must_use]
    pub fn new<D>(chain: &Chain<D>) -> Self {
        let (phase, paths) = (chain.phase.clone(), chain.paths.clone());
        Self {
            admission: chain.admission.clone(),
            dialer: chain.paths.dialer(),
            is_open: Arc::new(move || !phase.is_announced() && !paths.is_isolated()),
            count: Arc::default(),
        }
    }

    /// Builds a server that refuses all tunnels.
    #[must_use]
    pub fn closed(admission: admission::Handle) -> Self {
        Self {
            admission,
            dialer: Arc::new(Tcp(UPSTREAM_LIMITS)),
            is_open: Arc::new(|| false),
            count: Arc::default(),
        }
    }

    /// Serves a connection that begins a tunnel, until either side closes it.
    pub async fn serve(self, stream: TcpStream) {
        self.count.fetch_add(1, Ordering::Relaxed);
        let _guard = Guard(Arc::clone(&self.count));
        if let Err(error) = self.carry(stream).await {
            tracing::debug!(%error, "tunnel of a node ended");
        }
    }

    async fn carry(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (read, mut write) = stream.into_split();
        let mut read = BufReader::new(read);
        let mut line = String::new();
        let mut limited = (&mut read).take(MAX_LINE_BYTES);
        timeout(FIRST_BYTES_TIMEOUT, limited.read_line(&mut line)).await??;
        let mut words = line.split_whitespace().skip(1);
        let (Some(node), Some(address)) = (words.next(), words.next()) else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        let (reply, endpoint) = self.connect(address).await;
        let cause = endpoint.as_ref().err().map(ToString::to_string);
        tracing::info!(
            node,
            address,
            cause,
            "connection to an endpoint for another node"
        );
        write.write_all(&[reply]).await?;
        let (from_endpoint, mut to_endpoint) = endpoint?.into_split();
        let mut frames = FramedWrite::new(write, codec());
        let mut chunks = ReaderStream::new(from_endpoint);
        let answering = async {
            while let Some(chunk) = chunks.next().await {
                frames.send(chunk?).await?;
            }
            frames.send(Bytes::new()).await
        };
        // A node that closes its side cancels its request.
        select! {
            ended = answering => ended,
            ended = copy(&mut read, &mut to_endpoint) => ended.map(|_| ()),
        }
    }

    async fn connect(&self, address: &str) -> (u8, io::Result<TcpStream>) {
        let is_known = self
            .admission
            .read(|dispatcher| dispatcher.has_address(address));
        if !(self.is_open)() {
            return (UNREACHABLE, Err(io::ErrorKind::HostUnreachable.into()));
        }
        if !is_known {
            return (UNREACHABLE, Err(io::ErrorKind::NotFound.into()));
        }
        let connecting = timeout(UPSTREAM_LIMITS.connect, self.dialer.dial(address));
        match connecting.await.unwrap_or_else(|late| Err(late.into())) {
            Ok(stream) => (OPENED, Ok(stream)),
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => (REFUSED, Err(error)),
            Err(error) => (UNREACHABLE, Err(error)),
        }
    }
}
