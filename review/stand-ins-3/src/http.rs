//! Reads HTTP/1.1 messages.

use std::{
    collections::BTreeMap,
    io::{self, Read},
    net::TcpStream,
};

/// A message: its first line, its headers in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the second word of the first line: the target or the status.
    #[must_use]
    pub fn second(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    #[must_use]
    pub fn status(&self) -> u16 {
        self.second().parse().unwrap_or(0)
    }
}

/// A connection from which messages are read one after the other.
pub struct Reader {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Reader {
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            rest: Vec::new(),
        }
    }

    /// Reads more bytes; false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut buffer = [0; 16 * 1024];
        let length = self.stream.read(&mut buffer)?;
        self.rest.extend_from_slice(&buffer[..length]);
        Ok(length > 0)
    }

    /// Reads a message whose body has a length or comes in chunks; `None` if the connection
    /// ends before one.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails, or ends within a message.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let cut = || io::Error::from(io::ErrorKind::UnexpectedEof);
        let end = loop {
            if let Some(end) = find(&self.rest, b"\r\n\r\n") {
                break end;
            }
            if !self.fill()? {
                return if self.rest.is_empty() {
                    Ok(None)
                } else {
                    Err(cut())
                };
            }
        };
        let head = String::from_utf8_lossy(&self.rest[..end]).into_owned();
        self.rest.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            line: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                let name = name.to_ascii_lowercase();
                message.headers.insert(name, value.trim().to_owned());
            }
        }
        if message.header("transfer-encoding").contains("chunked") {
            loop {
                let size = loop {
                    if let Some(end) = find(&self.rest, b"\r\n") {
                        let text = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                        self.rest.drain(..end + 2);
                        break usize::from_str_radix(text.trim(), 16).map_err(|_| cut())?;
                    }
                    if !self.fill()? {
                        return Err(cut());
                    }
                };
                while self.rest.len() < size + 2 {
                    if !self.fill()? {
                        return Err(cut());
                    }
                }
                message.body.extend_from_slice(&self.rest[..size]);
                self.rest.drain(..size + 2);
                if size == 0 {
                    return Ok(Some(message));
                }
            }
        }
        let length: usize = message.header("content-length").parse().unwrap_or(0);
        while self.rest.len() < length {
            if !self.fill()? {
                return Err(cut());
            }
        }
        message.body = self.rest.drain(..length).collect();
        Ok(Some(message))
    }
}

fn find(bytes: &[u8], sought: &[u8]) -> Option<usize> {
    bytes
        .windows(sought.len())
        .position(|found| found == sought)
}
