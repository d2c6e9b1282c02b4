//! HTTP/1.1 messages on blocking sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A message with its head as text and its body.
#[derive(Clone, Debug)]
pub struct Message {
    /// First line and headers, without the blank line.
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the words of the first line.
    pub fn words(&self) -> Vec<&str> {
        self.head.lines().next().unwrap_or_default().split(' ').collect()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.words().get(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// A connection with what was read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, limit)?;
        stream.set_read_timeout(Some(limit))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 * 1024];
        let length = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..length]);
        Ok(length)
    }

    /// Reads up to the blank line; `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                return Ok(Some(head));
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the next chunk of a chunked body; `None` after the last one.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.line()?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
        let bytes = self.take(size)?;
        self.line()?;
        Ok((size > 0).then_some(bytes))
    }

    pub fn read_body(&mut self, head: &str, is_answer: bool) -> io::Result<Vec<u8>> {
        if header(head, "transfer-encoding").is_some() {
            let mut body = Vec::new();
            while let Some(chunk) = self.chunk()? {
                body.extend_from_slice(&chunk);
            }
            return Ok(body);
        }
        if let Some(length) = header(head, "content-length") {
            return self.take(length.parse().map_err(io::Error::other)?);
        }
        if is_answer {
            while self.fill()? > 0 {}
            return Ok(std::mem::take(&mut self.buffer));
        }
        Ok(Vec::new())
    }

    pub fn read_request(&mut self) -> io::Result<Option<Message>> {
        let Some(head) = self.read_head()? else {
            return Ok(None);
        };
        let body = self.read_body(&head, false)?;
        Ok(Some(Message { head, body }))
    }

    pub fn read_answer(&mut self) -> io::Result<Message> {
        let head = self.read_head()?;
        let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        let body = self.read_body(&head, true)?;
        Ok(Message { head, body })
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

/// Sends one request on a connection of its own and reads the answer.
pub fn ask(address: SocketAddr, request: &str, limit: Duration) -> io::Result<Message> {
    let mut connection = Connection::open(address, limit)?;
    connection.write(request.as_bytes())?;
    connection.read_answer()
}
