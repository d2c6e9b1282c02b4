//! Reads and writes HTTP/1.1 messages on blocking connections.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Head of a message.
#[derive(Clone, Debug)]
pub struct Head {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut start = String::new();
    if reader.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            let start = start.trim_end().to_owned();
            return Ok(Some(Head { start, headers }));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body that is delimited by its length or by chunks.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            if length == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }
    let length = head
        .header("content-length")
        .and_then(|length| length.parse().ok());
    body.resize(length.unwrap_or(0), 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: Head,
}

/// Sends a request on a new connection; fails if no complete answer comes within `limit`.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Answer> {
    let end = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(Limited { stream, end });
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut reader, &head)?;
    let status = head.word(1).parse().map_err(io::Error::other)?;
    Ok(Answer { status, head })
}

/// A connection whose reads fail after a time.
struct Limited {
    stream: TcpStream,
    end: Instant,
}

impl Read for Limited {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let left = self.end.saturating_duration_since(Instant::now());
        self.stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        self.stream.read(buffer)
    }
}
