//! Clients.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::http::{Message, Reader};

/// A kept connection.
pub struct Connection {
    reader: Reader,
}

impl Connection {
    /// Opens a connection; clients allow it one second.
    ///
    /// # Errors
    ///
    /// Fails if it is not opened in time.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: Reader::new(stream),
        })
    }

    /// Sends a request and reads its answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends or no answer comes in time.
    pub fn ask(&mut self, request: &[u8], limit: Duration) -> io::Result<Message> {
        self.reader.stream.set_read_timeout(Some(limit))?;
        self.reader.stream.write_all(request)?;
        let answer = self.reader.message()?;
        answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

/// Sends a request on a connection of its own.
///
/// # Errors
///
/// Fails if no answer comes in time.
pub fn ask(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    Connection::open(address)?.ask(request, limit)
}

/// Returns the bytes of a request; `headers` are lines that each end with a line break.
#[must_use]
pub fn request(method: &str, path: &str, id: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("{method} {path} HTTP/1.1\r\nHost: yard.example\r\nAttempt-Id: {id}\r\n{headers}");
    if !body.is_empty() || method == "POST" {
        bytes.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
