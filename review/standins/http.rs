//! A small HTTP/1.1 reader and writer for the stand-ins.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Headers in the order in which they arrived; names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Headers(pub Vec<(String, String)>);

impl Headers {
    /// Returns the first value of a header; empty if it is missing.
    pub fn get(&self, name: &str) -> &str {
        let found = self.0.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value.as_str())
    }
}

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// Returns a value of the query; empty if it is missing.
    pub fn query(&self, name: &str) -> &str {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map_or("", |(_, v)| v)
    }
}

/// A response.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the body is complete by its framing.
    pub complete: bool,
}

/// A connection with a buffered reader.
pub struct Connection {
    pub reader: BufReader<TcpStream>,
}

fn ended() -> io::Error {
    io::Error::from(io::ErrorKind::UnexpectedEof)
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        // Latency only.
        let _ = stream.set_nodelay(true);
        Self {
            reader: BufReader::new(stream),
        }
    }

    pub fn open(to: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    pub fn write(&self, bytes: &[u8]) -> io::Result<()> {
        self.stream().write_all(bytes)
    }

    fn line(&mut self) -> io::Result<String> {
        let mut line = Vec::new();
        self.reader.read_until(b'\n', &mut line)?;
        if line.last() != Some(&b'\n') {
            return Err(ended());
        }
        Ok(String::from_utf8_lossy(&line).trim_end().to_owned())
    }

    fn headers(&mut self) -> io::Result<Headers> {
        let mut headers = Headers::default();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(headers);
            }
            if let Some((name, value)) = line.split_once(':') {
                let pair = (name.to_ascii_lowercase(), value.trim().to_owned());
                headers.0.push(pair);
            }
        }
    }

    fn exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body)?;
        Ok(body)
    }

    /// Reads a body in chunks into `body`, which keeps what came before a failure.
    fn chunks(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        loop {
            let line = self.line()?;
            let size = line.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| ended())?;
            if size == 0 {
                while !self.line()?.is_empty() {}
                return Ok(());
            }
            body.extend(self.exact(size)?);
            self.line()?;
        }
    }

    fn body(&mut self, headers: &Headers, body: &mut Vec<u8>) -> io::Result<()> {
        if headers.get("transfer-encoding").contains("chunked") {
            return self.chunks(body);
        }
        let length = headers.get("content-length").parse().unwrap_or(0);
        body.extend(self.exact(length)?);
        Ok(())
    }

    /// Reads a request; fails at the end of the connection.
    pub fn request(&mut self) -> io::Result<Request> {
        let first = self.line()?;
        let mut words = first.split(' ');
        let method = words.next().unwrap_or("").to_owned();
        let target = words.next().unwrap_or("").to_owned();
        let headers = self.headers()?;
        let mut body = Vec::new();
        self.body(&headers, &mut body)?;
        Ok(Request {
            method,
            target,
            headers,
            body,
        })
    }

    /// Reads a final response; fails if the connection ends before its head is complete.
    pub fn response(&mut self) -> io::Result<Response> {
        loop {
            let first = self.line()?;
            let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
            let status: u16 = status.ok_or_else(ended)?;
            let headers = self.headers()?;
            if status < 200 {
                continue;
            }
            let mut body = Vec::new();
            let complete = self.body(&headers, &mut body).is_ok();
            return Ok(Response {
                status,
                complete,
                body,
            });
        }
    }

    /// Writes a response with a length.
    pub fn respond(&self, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
        let length = body.len();
        let head = format!("HTTP/1.1 {status} S\r\n{headers}Content-Length: {length}\r\n\r\n");
        self.write(&[head.as_bytes(), body].concat())
    }
}

/// Sends one request on a new connection.
pub fn call(to: SocketAddr, method: &str, target: &str, body: &str) -> io::Result<Response> {
    let mut connection = Connection::open(to, Duration::from_secs(5))?;
    let length = body.len();
    let text =
        format!("{method} {target} HTTP/1.1\r\nHost: s\r\nContent-Length: {length}\r\n\r\n{body}");
    connection.write(text.as_bytes())?;
    connection.response()
}
