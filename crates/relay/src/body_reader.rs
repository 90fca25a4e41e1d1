//! Reading of the body of a request within the budget.

use std::pin;
use std::rc;
use std::time::Duration;

use bytes::{BufMut, BytesMut};
use guavausher_core::refusal;
use guavausher_core::relay::memory;
use guavausher_core::time;

use crate::body;
use crate::budget;
use crate::clock;
use crate::connection;
use crate::framing;
use crate::limits;
use crate::request_reader;

/// Longest pause between two reads of a body.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two checks of the deadline and of the pause.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Bytes of a body that are charged like those of a short one.
const SHORT_BYTES: usize = 16 << 10;
/// Size of the first part of a body whose length is not known.
const FIRST_PART: usize = 4 << 10;
/// Size of the parts of a long body; after each one other tasks run.
const PART: usize = 64 << 10;
/// Lines between chunks in one read above which the chunks are tiny.
const MAX_LINES: usize = 256;
/// How far the parsing of tiny chunks may be ahead of its share of the thread.
const MAX_AHEAD: Duration = Duration::from_millis(4);

/// Who sends a body, and until when it is read.
#[derive(Debug)]
pub struct Source {
    /// Who sends it.
    pub sender: memory::Sender,
    /// When it is given up.
    pub deadline: time::Time,
}

/// A body with its charges.
#[derive(Debug)]
pub struct HeldBody {
    /// The body.
    pub body: body::Body,
    /// Charge of its beginning.
    _charge: budget::Charge,
    /// What it holds of the room for long bodies.
    _reservation: Option<budget::Reservation>,
}

/// A body that has been read in part.
pub(crate) struct BodyReader<'a> {
    connection: &'a mut connection::Connection,
    budget: &'a rc::Rc<budget::Budget>,
    decoder: framing::Decoder,
    framing: framing::Framing,
    limit: usize,
    limits: &'a limits::LimitsInForce,
    body: body::Body,
    part: BytesMut,
    received: usize,
    charge: budget::Charge,
    tracked: Option<Tracked>,
}

/// What is known of a body whose end was not received with its head.
struct Tracked {
    reservation: budget::Reservation,
    deadline: time::Time,
}

impl<'a> BodyReader<'a> {
    /// Starts to read a body. Its limit is the one in force; if that is lowered meanwhile, the one with
    /// which it began.
    pub fn new(
        connection: &'a mut connection::Connection,
        budget: &'a rc::Rc<budget::Budget>,
        framing: framing::Framing,
        limits: &'a limits::LimitsInForce,
    ) -> Self {
        Self {
            connection,
            budget,
            decoder: framing::Decoder::new(framing),
            framing,
            limit: limits.get().body,
            limits,
            body: body::Body::default(),
            part: BytesMut::new(),
            received: 0,
            charge: budget::Charge::new(budget),
            tracked: None,
        }
    }

    /// Reads the body to its end; `find` returns its source, and is called if the end has not arrived
    /// with the head.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends, or if the body exceeds a limit, is malformed or gets no room.
    pub async fn read(
        mut self,
        find: impl Fn() -> Source,
    ) -> Result<HeldBody, request_reader::Error> {
        let mut timer = pin::pin!(tokio::time::sleep(CHECK_INTERVAL));
        let mut last_read = None;
        while !self.decoder.is_done() {
            self.limit = self.limit.max(self.limits.get().body);
            if self.part.len() == self.part.capacity() && self.received < self.limit {
                self.add_part(&find).await?;
            }
            self.decode().await?;
            let is_full = self.part.len() == self.part.capacity() && self.received < self.limit;
            if is_full || self.decoder.is_done() {
                continue;
            }
            self.track(&find);
            let begun = *last_read.get_or_insert_with(clock::now);
            let Some(tracked) = &self.tracked else {
                continue;
            };
            if tracked.reservation.is_aborted(false) {
                return Err(refused(refusal::Code::Overloaded));
            }
            let is_direct = self.connection.buffer.is_empty()
                && self.decoder.contiguous() >= connection::READ_BYTES as u64;
            let read = async {
                match is_direct {
                    true => {
                        let left = self.decoder.contiguous();
                        let left = usize::try_from(left).unwrap_or(usize::MAX);
                        let part = &mut self.part;
                        fill_part(&self.connection.stream, part, left).await
                    }
                    false => self.connection.fill().await,
                }
            };
            tokio::select! {
                biased;
                read = read => {
                    let count = read.map_err(request_reader::Error::from)?;
                    if count == 0 {
                        return Err(request_reader::Error::Closed);
                    }
                    if is_direct {
                        self.decoder.skip(count as u64);
                        self.received += count;
                    }
                    last_read = None;
                }
                () = tracked.reservation.woken() => {
                    if tracked.reservation.is_aborted(true) {
                        return Err(refused(refusal::Code::Overloaded));
                    }
                }
                () = &mut timer => {
                    let now = clock::now();
                    if now >= tracked.deadline || begun.after(READ_TIMEOUT) <= now {
                        return Err(refused(refusal::Code::TooSlow));
                    }
                    timer.as_mut().reset(tokio::time::Instant::now() + CHECK_INTERVAL);
                }
            }
            tracked.reservation.record_received(self.received);
        }
        self.finish()
    }

    /// Decodes what has been read ahead, as far as the current part has room.
    async fn decode(&mut self) -> Result<(), request_reader::Error> {
        if !self.connection.buffer.is_empty() {
            let room = self.part.capacity() - self.part.len();
            let room = room.min(self.limit - self.received);
            let before = self.part.len();
            let began = clock::now();
            let lines = self
                .decoder
                .decode(&mut self.connection.buffer, &mut self.part, room)
                .map_err(|_| refused(refusal::Code::Malformed))?;
            self.received += self.part.len() - before;
            if lines > MAX_LINES {
                self.yield_after_tiny_chunks(began).await;
            }
        }
        match self.decoder.contiguous() > (self.limit - self.received) as u64 {
            true => Err(refused(refusal::Code::BodyTooLarge)),
            false => Ok(()),
        }
    }

    async fn yield_after_tiny_chunks(&self, began: time::Time) {
        let until = self.budget.pace(began);
        match clock::now().until(until) > MAX_AHEAD {
            true => clock::sleep_until(until).await,
            false => tokio::task::yield_now().await,
        }
    }

    /// Adds an empty part, for which there may be room only later.
    async fn add_part(&mut self, find: &impl Fn() -> Source) -> Result<(), request_reader::Error> {
        let full = std::mem::take(&mut self.part);
        if !full.is_empty() {
            self.body.push(full.freeze());
        }
        let left = match self.framing {
            framing::Framing::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
            _ => self.limit,
        } - self.received;
        let size = match self.framing {
            _ if self.received >= SHORT_BYTES => left.min(PART),
            framing::Framing::Length(_) => left.min(SHORT_BYTES),
            _ if self.received == 0 => left.min(FIRST_PART),
            _ => left.min(SHORT_BYTES - self.received),
        };
        if self.received < SHORT_BYTES {
            if !self.charge.grow_to(self.received + size) {
                return Err(refused(refusal::Code::Overloaded));
            }
        } else {
            tokio::task::yield_now().await;
            self.track(find);
            if let Some(tracked) = &mut self.tracked {
                let reserving = tracked.reservation.reserve(size, left, tracked.deadline);
                let reserved = reserving.await;
                reserved.map_err(|_| refused(refusal::Code::Overloaded))?;
            }
        }
        self.part = BytesMut::with_capacity(size);
        Ok(())
    }

    fn track(&mut self, find: &impl Fn() -> Source) {
        if self.tracked.is_some() {
            return;
        }
        let source = find();
        let reservation = budget::Reservation::new(self.budget, source.sender);
        reservation.record_received(self.received);
        self.tracked = Some(Tracked {
            reservation,
            deadline: source.deadline,
        });
    }

    fn finish(mut self) -> Result<HeldBody, request_reader::Error> {
        if !self.part.is_empty() {
            self.body.push(self.part.freeze());
        }
        if let Some(tracked) = &mut self.tracked {
            tracked.reservation.complete();
        }
        Ok(HeldBody {
            body: self.body,
            _charge: self.charge,
            _reservation: self.tracked.map(|tracked| tracked.reservation),
        })
    }
}

/// Reads contiguous bytes of a body, of which `left` are missing, into its current part.
async fn fill_part(
    stream: &tokio::net::TcpStream,
    part: &mut BytesMut,
    left: usize,
) -> std::io::Result<usize> {
    let room = left.min(part.capacity() - part.len());
    loop {
        stream.readable().await?;
        match stream.try_read_buf(&mut part.limit(room)) {
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            read => return read,
        }
    }
}

const fn refused(code: refusal::Code) -> request_reader::Error {
    request_reader::Error::Refused(code)
}
