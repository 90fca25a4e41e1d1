//! Message body framing: by length, chunked, or until the connection closes.

use bytes::{Buf, Bytes, BytesMut};

/// Longest chunk size line or trailer line in bytes.
const MAX_LINE: usize = 256;
/// Trailer lines that are accepted after the last chunk.
const MAX_TRAILERS: usize = 16;

/// How a body is delimited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// A fixed number of bytes.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
    /// Until the connection closes.
    Close,
}

/// Errors of a malformed chunked body.
#[derive(Clone, Copy, Debug, Eq, PartialEq, displaydoc::Display)]
pub enum Fault {
    /// the length of a chunk is not a hexadecimal number
    Size,
    /// a line between chunks is too long
    Line,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Size,
    Data(u64),
    DataEnd,
    Trailer(usize),
    Done,
}

/// Incremental decoder of a body.
#[derive(Clone, Debug)]
pub struct Decoder {
    framing: Framing,
    stage: Stage,
}

impl Decoder {
    /// Creates a decoder at the first byte of a body.
    pub const fn new(framing: Framing) -> Self {
        let stage = match framing {
            Framing::Length(0) => Stage::Done,
            Framing::Length(length) => Stage::Data(length),
            Framing::Chunked => Stage::Size,
            Framing::Close => Stage::Data(u64::MAX),
        };
        Self { framing, stage }
    }

    /// Returns `true` if the body is complete.
    pub fn is_done(&self) -> bool {
        self.stage == Stage::Done
    }

    /// Returns `true` if the body is complete when the connection closes now.
    pub fn is_complete_at_close(&self) -> bool {
        self.framing == Framing::Close || self.is_done()
    }

    /// Removes and returns the next bytes of the body from `bytes`; `None` if more must be read
    /// first.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not valid chunks.
    pub fn take(&mut self, bytes: &mut BytesMut) -> Result<Option<Bytes>, Fault> {
        loop {
            match self.stage {
                Stage::Done => return Ok(None),
                Stage::Data(left) => {
                    let count = left.min(bytes.len() as u64);
                    if count == 0 {
                        return Ok(None);
                    }
                    self.advance(left - count);
                    return Ok(Some(bytes.split_to(count as usize).freeze()));
                }
                Stage::Size => {
                    let Some(line) = take_line(bytes)? else {
                        return Ok(None);
                    };
                    self.stage = match parse_size(&line)? {
                        0 => Stage::Trailer(0),
                        length => Stage::Data(length),
                    };
                }
                Stage::DataEnd => {
                    let Some(line) = take_line(bytes)? else {
                        return Ok(None);
                    };
                    if !line.is_empty() {
                        return Err(Fault::Size);
                    }
                    self.stage = Stage::Size;
                }
                Stage::Trailer(count) => {
                    let Some(line) = take_line(bytes)? else {
                        return Ok(None);
                    };
                    self.stage = match line.is_empty() {
                        true => Stage::Done,
                        false if count >= MAX_TRAILERS => return Err(Fault::Line),
                        false => Stage::Trailer(count + 1),
                    };
                }
            }
        }
    }

    fn advance(&mut self, left: u64) {
        self.stage = match (self.framing, left) {
            (Framing::Close, _) => Stage::Data(u64::MAX),
            (Framing::Chunked, 0) => Stage::DataEnd,
            (Framing::Length(_), 0) => Stage::Done,
            (_, left) => Stage::Data(left),
        };
    }
}

fn take_line(bytes: &mut BytesMut) -> Result<Option<Bytes>, Fault> {
    let Some(end) = bytes.iter().take(MAX_LINE).position(|b| *b == b'\n') else {
        return match bytes.len() >= MAX_LINE {
            true => Err(Fault::Line),
            false => Ok(None),
        };
    };
    let mut line = bytes.split_to(end).freeze();
    bytes.advance(1);
    if line.last() != Some(&b'\r') {
        return Err(Fault::Line);
    }
    line.truncate(end - 1);
    Ok(Some(line))
}

fn parse_size(line: &[u8]) -> Result<u64, Fault> {
    /// Hexadecimal digits of the longest chunk size that is accepted.
    const MAX_DIGITS: usize = 8;
    let digits = line.split(|b| *b == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits)
        .map_err(|_| Fault::Size)?
        .trim_end();
    let is_number =
        !text.is_empty() && text.len() <= MAX_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
    match is_number {
        true => u64::from_str_radix(text, 16).map_err(|_| Fault::Size),
        false => Err(Fault::Size),
    }
}
