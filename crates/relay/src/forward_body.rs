//! Passing the response of an attempt on to the caller.

use bytes::BytesMut;
use guavausher_core::relay::event;
use guavausher_core::time;

use crate::attempt;
use crate::body_stream;
use crate::budget;
use crate::caller_response;
use crate::clock;
use crate::connection;
use crate::engine_response;
use crate::framing;
use crate::head;
use crate::receiver;
use crate::response_end;
use crate::response_reader;
use crate::wire;

/// Bytes that a response may hold although there is no room, in bytes: what is read and written at a
/// time of any ordinary response.
const FREE_BYTES: usize = 48 << 10;

impl attempt::Attempt<'_> {
    /// Passes on a response that was buffered.
    pub async fn forward_buffered(
        &self,
        kept: &caller_response::BufferedResponse,
    ) -> event::Signal {
        let status = kept.head.status();
        let length = Some(kept.body.len() as u64);
        let Some(mut pending) = self.begin(&kept.head, length) else {
            return response_reader::BROKEN_RESPONSE;
        };
        pending.extend_from_slice(&kept.body);
        match self.write(&mut pending).await {
            Ok(()) => self.whole(status),
            Err(signal) => signal,
        }
    }

    /// Streams the head and the body to the caller as they arrive.
    ///
    /// The head is sent with the first bytes of the body, so that until then another engine can
    /// respond instead.
    pub async fn stream_response(
        &self,
        engine: &mut receiver::Receiver<'_>,
        response: &engine_response::Response,
        framing: framing::Framing,
    ) -> Result<(), event::Signal> {
        let policy = self.request.route.retry_policy;
        let mut body = body_stream::BodyStream::new(policy, response.head.status(), framing);
        let length = match framing {
            framing::Framing::Length(length) if !body.is_by_event() => Some(length),
            _ => None,
        };
        let mut pending = BytesMut::new();
        let mut charge = budget::Charge::new(&self.runtime.budget);
        let end = loop {
            // What is taken counts as sent: another engine continues after it. So there must be room first.
            let taken = body.held() + engine.buffer.len();
            let held = body.held() + engine.buffer.capacity() + taken.max(pending.capacity());
            if held > FREE_BYTES && !charge.grow_to(held) {
                return Err(self.broken(response_end::Cause::NoRoom));
            }
            let is_valid = self.take_pieces(engine, response, &mut body, length, &mut pending);
            let held = pending.capacity() + engine.buffer.capacity() + body.held();
            charge.grow_always(held);
            if body.is_done() {
                break response_end::Cause::Complete;
            }
            // Another engine continues after the events before invalid bytes, so the caller must
            // have them.
            self.write(&mut pending).await?;
            if !is_valid {
                return Err(self.broken(response_end::Cause::Invalid));
            }
            match self.read_more(engine).await {
                Ok(_) => {}
                Err(response_end::Cause::Closed) => match self.end_of_connection() {
                    response_end::Cause::Closed => break response_end::Cause::Closed,
                    cause => return Err(self.broken(cause)),
                },
                Err(cause) => return Err(self.broken(cause)),
            }
        };
        if !body.is_whole() {
            // With a length, the last bytes would make the response look complete.
            if length.is_none() {
                self.write(&mut pending).await?;
            }
            return Err(self.broken(match body.is_within_event() {
                true => response_end::Cause::WithinEvent,
                false => end,
            }));
        }
        self.set_cause(end);
        let rest = body.take_rest();
        self.push_piece(&response.head, length, &rest, &mut pending);
        if self.output.borrow().is_chunked {
            pending.extend_from_slice(b"0\r\n\r\n");
        }
        self.write(&mut pending).await
    }

    /// Adds what has been read of the body to the bytes to be sent; returns `false` if that is not
    /// valid.
    fn take_pieces(
        &self,
        engine: &mut receiver::Receiver<'_>,
        response: &engine_response::Response,
        body: &mut body_stream::BodyStream,
        length: Option<u64>,
        pending: &mut BytesMut,
    ) -> bool {
        loop {
            let taken = body.take(engine.buffer, &mut self.output.borrow_mut().last_event);
            match taken {
                Ok(Some(piece)) => self.push_piece(&response.head, length, &piece, pending),
                Ok(None) => return true,
                Err(fault) => {
                    log::debug!(id:% = self.request.trace, fault:% = fault;
                        "body of the response is not valid");
                    return false;
                }
            }
        }
    }

    /// Adds a piece of the body to the bytes to be sent, after the head if that was not sent yet.
    ///
    /// The progress is reported first: it ends the other attempts, so that none of them writes.
    fn push_piece(
        &self,
        head: &head::Head,
        length: Option<u64>,
        piece: &[u8],
        pending: &mut BytesMut,
    ) {
        self.report_progress();
        if let Some(head) = self.begin(head, length) {
            *pending = head;
        }
        let mut output = self.output.borrow_mut();
        output.body_bytes += piece.len() as u64;
        wire::push_body(pending, piece, output.is_chunked);
    }

    /// Begins the response to the caller and returns its head; `None` if it has begun before.
    fn begin(&self, head: &head::Head, length: Option<u64>) -> Option<BytesMut> {
        let mut output = self.output.borrow_mut();
        if std::mem::replace(&mut output.is_begun, true) {
            return None;
        }
        // A caller may read nothing for a while; how long the response may take, its deadline says.
        let left = clock::now().until(self.request.deadline);
        connection::limit_silence(self.caller, left.max(connection::USER_TIMEOUT));
        Some(self.caller_head(head, length, &mut output))
    }

    /// Reads more of the response; fails with the cause if the connection has ended.
    async fn read_more(
        &self,
        engine: &mut receiver::Receiver<'_>,
    ) -> Result<usize, response_end::Cause> {
        let Some(pause) = self.dispatch.max_gap else {
            return response_end::Cause::of_read(engine.fill().await);
        };
        loop {
            match tokio::time::timeout(pause, engine.fill()).await {
                Ok(read) => return response_end::Cause::of_read(read),
                Err(_) => self.report_silence(),
            }
        }
    }

    async fn write(&self, pending: &mut BytesMut) -> Result<(), event::Signal> {
        if pending.is_empty() {
            return Ok(());
        }
        self.record_write();
        self.output.borrow_mut().is_writing = true;
        let written = connection::write_all(self.caller, pending).await;
        self.output.borrow_mut().is_writing = false;
        pending.clear();
        written.map_err(|_| event::Signal::Abandoned)
    }

    /// Records the gap since the previous write to the caller.
    fn record_write(&self) {
        let now = clock::now();
        let mut output = self.output.borrow_mut();
        output.zeros = 0;
        let previous = std::mem::replace(&mut output.last_write, now);
        if previous > time::Time::default() {
            let gap = previous.until(now);
            self.runtime.metrics.write_gaps.observe(gap.as_secs_f64());
        }
    }
}
