//! Reading and writing of HTTP/1.1 messages on blocking sockets, for the stand-ins of the review.

use std::io::{self, Read, Write};
use std::net;
use std::time::Duration;

/// Size of one read in bytes.
const READ_BYTES: usize = 16 << 10;

/// A connection with the bytes that were read and not consumed.
pub struct Connection {
    pub stream: net::TcpStream,
    pub buffer: Vec<u8>,
}

/// The head of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// First line.
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the first value of a header; empty if there is none.
    pub fn get(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Returns the status of a response, 0 if the first line states none.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        let is_response = self.line.starts_with("HTTP/1.1 ");
        status
            .filter(|_| is_response)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}

impl Connection {
    pub fn new(stream: net::TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: net::SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = net::TcpStream::connect_timeout(&address, limit)?;
        stream.set_read_timeout(Some(limit))?;
        stream.set_write_timeout(Some(limit))?;
        Ok(Self::new(stream))
    }

    /// Reads more bytes; fails at the end of the connection.
    pub fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; READ_BYTES];
        match self.stream.read(&mut bytes)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Ok(())
            }
        }
    }

    /// Reads a line without its end.
    pub fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads so many bytes.
    pub fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a head.
    pub fn head(&mut self) -> io::Result<Head> {
        let mut head = Head {
            line: self.line()?,
            headers: Vec::new(),
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(head);
            }
            let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
            head.headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }

    /// Reads the next chunk of a body; empty at its end.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.line()?;
        let size = usize::from_str_radix(line.trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let chunk = self.take(size)?;
        if !self.line()?.is_empty() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(chunk)
    }

    /// Reads a body by its length or its chunks.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head
            .get("Transfer-Encoding")
            .eq_ignore_ascii_case("chunked")
        {
            let mut body = Vec::new();
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend(chunk);
            }
        }
        let length = head.get("Content-Length").parse().unwrap_or(0);
        self.take(length)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}
