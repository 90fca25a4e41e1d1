//! Heads of requests and responses.

use std::ops;

use crate::framing;

/// Statuses that HTTP defines.
const STATUSES: ops::RangeInclusive<u16> = 100..=599;
/// Status of a response after which the connection carries another protocol, which nobody asks for.
const SWITCHING_PROTOCOLS: u16 = 101;
/// Maximum number of headers in one head.
const MAX_HEADERS: usize = 96;

/// A header as ranges of the head's bytes.
#[derive(Clone, Debug)]
struct Header {
    name: ops::Range<usize>,
    value: ops::Range<usize>,
}

/// The first line of a head.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Line {
    /// Request line.
    Request {
        /// Method.
        method: String,
        /// Request target as it was received.
        target: String,
    },
    /// Status line of a response.
    Response {
        /// Status.
        status: u16,
    },
}

/// The head of a request or a response.
#[derive(Clone, Debug)]
pub struct Head {
    /// First line.
    pub line: Line,
    /// Whether it is HTTP/1.1 rather than 1.0.
    pub is_http11: bool,
    bytes: Box<[u8]>,
    headers: Vec<Header>,
}

/// Errors of a head.
#[derive(Clone, Copy, Debug, Eq, PartialEq, displaydoc::Display)]
pub enum Fault {
    /// the head is not valid HTTP/1.1
    Malformed,
    /// the status of the response is none of HTTP's, or switches to another protocol
    Status,
    /// the head states the length of the body more than once or not as a number
    Ambiguous,
    /// the transfer coding of the body is not supported; only chunked over HTTP/1.1 is
    Coding,
}

/// A parsed head and its length.
#[derive(Clone, Debug)]
pub struct Parsed {
    /// The head.
    pub head: Head,
    /// Length of the head in bytes, blank line included.
    pub length: usize,
}

/// Parses the head of a request at the start of `bytes`; `None` if it is incomplete.
///
/// # Errors
///
/// Fails if the bytes are not a valid head.
pub fn request(bytes: &[u8]) -> Result<Option<Parsed>, Fault> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let status = parsed.parse(bytes).map_err(|_| Fault::Malformed)?;
    let httparse::Status::Complete(length) = status else {
        return Ok(None);
    };
    let (method, target) = (parsed.method.unwrap_or(""), parsed.path.unwrap_or(""));
    let line = Line::Request {
        method: String::from(method),
        target: String::from(target),
    };
    let is_http11 = parsed.version == Some(1);
    let head = build(bytes, length, line, is_http11, parsed.headers);
    Ok(Some(Parsed { head, length }))
}

/// Parses the head of a response at the start of `bytes`; `None` if it is incomplete.
///
/// # Errors
///
/// Fails if the bytes are not a valid head.
pub fn response(bytes: &[u8]) -> Result<Option<Parsed>, Fault> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let status = parsed.parse(bytes).map_err(|_| Fault::Malformed)?;
    let httparse::Status::Complete(length) = status else {
        return Ok(None);
    };
    let status = parsed.code.unwrap_or(0);
    if !STATUSES.contains(&status) || status == SWITCHING_PROTOCOLS {
        return Err(Fault::Status);
    }
    let line = Line::Response { status };
    let is_http11 = parsed.version == Some(1);
    let head = build(bytes, length, line, is_http11, parsed.headers);
    Ok(Some(Parsed { head, length }))
}

fn build(
    bytes: &[u8],
    length: usize,
    line: Line,
    is_http11: bool,
    headers: &[httparse::Header<'_>],
) -> Head {
    let start = bytes.as_ptr() as usize;
    let range = |part: &[u8]| {
        let from = part.as_ptr() as usize - start;
        from..from + part.len()
    };
    let headers = headers.iter().map(|h| Header {
        name: range(h.name.as_bytes()),
        value: range(h.value),
    });
    Head {
        line,
        is_http11,
        headers: headers.collect(),
        bytes: Box::from(&bytes[..length]),
    }
}

impl Head {
    /// Returns the length in bytes.
    pub const fn length(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the headers in order.
    pub fn headers(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.headers.iter().map(|h| {
            let name = std::str::from_utf8(&self.bytes[h.name.clone()]).unwrap_or("");
            (name, &self.bytes[h.value.clone()])
        })
    }

    /// Returns the first value of a header as text.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut named = self
            .headers()
            .filter(|(key, _)| key.eq_ignore_ascii_case(name));
        let (_, value) = named.next()?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// Returns the number of headers with this name.
    pub fn count(&self, name: &str) -> usize {
        let named = self.headers();
        named
            .filter(|(key, _)| key.eq_ignore_ascii_case(name))
            .count()
    }

    /// Returns the status of a response, 0 for a request.
    pub const fn status(&self) -> u16 {
        match self.line {
            Line::Response { status } => status,
            Line::Request { .. } => 0,
        }
    }

    /// Returns `true` if a header's comma-separated list contains a token.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.headers()
            .filter(|(key, _)| key.eq_ignore_ascii_case(name))
            .filter_map(|(_, value)| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    /// Returns `true` if the connection may be reused after this exchange.
    pub fn keeps_alive(&self) -> bool {
        match self.is_http11 {
            true => !self.has_token("connection", "close"),
            false => self.has_token("connection", "keep-alive"),
        }
    }

    /// Returns how the body of a request is framed.
    ///
    /// # Errors
    ///
    /// Fails if the framing is ambiguous, since the rest of the body could then be parsed as
    /// a request (request smuggling).
    pub fn request_framing(&self) -> Result<framing::Framing, Fault> {
        let framing = self.stated_framing()?;
        Ok(framing.unwrap_or(framing::Framing::Length(0)))
    }

    /// Returns how the body of the response to a request with this method is framed.
    ///
    /// # Errors
    ///
    /// Fails if the framing is ambiguous.
    pub fn response_framing(&self, method: &str) -> Result<framing::Framing, Fault> {
        let status = self.status();
        if method == "HEAD" || status < 200 || status == 204 || status == 304 {
            return Ok(framing::Framing::Length(0));
        }
        Ok(self.stated_framing()?.unwrap_or(framing::Framing::Close))
    }

    fn stated_framing(&self) -> Result<Option<framing::Framing>, Fault> {
        let codings = self.count("transfer-encoding");
        let lengths = self.count("content-length");
        if codings > 0 && lengths > 0 || codings > 1 || lengths > 1 {
            return Err(Fault::Ambiguous);
        }
        if codings == 1 {
            let coding = self.get("transfer-encoding").unwrap_or("");
            let is_chunked = coding.eq_ignore_ascii_case("chunked") && self.is_http11;
            return match is_chunked {
                true => Ok(Some(framing::Framing::Chunked)),
                false => Err(Fault::Coding),
            };
        }
        if lengths == 0 {
            return Ok(None);
        }
        let text = self.get("content-length").unwrap_or("");
        let is_number = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
        let length = text.parse().ok().filter(|_| is_number);
        let length = length.ok_or(Fault::Ambiguous)?;
        Ok(Some(framing::Framing::Length(length)))
    }
}
