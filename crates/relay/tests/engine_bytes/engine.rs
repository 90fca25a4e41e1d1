//! Engines that follow seeded plans and record what they ran.

use std::future;
use std::net;
use std::rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

use super::plan::{Early, Ending, Extra, Framing};
use super::reply::Reply;
use super::script::{Current, Run, Script, wait};
use crate::support::{Seen, until};

/// A pause longer than those after which a request is sent to another engine.
pub const PAUSE: Duration = Duration::from_millis(250);
/// How long after another attempt has responded an engine must have seen its connection close, on a
/// busy machine too.
pub const CLOSE_LIMIT: Duration = Duration::from_secs(5);
/// Time between two writes, so that they arrive separately.
const STEP: Duration = Duration::from_millis(2);

/// Starts an engine and returns its address.
pub async fn start(engine: usize, script: rc::Rc<Script>) -> net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            stream.set_nodelay(true).unwrap();
            let connection = Connection {
                stream,
                bytes: Vec::new(),
                engine,
                script: script.clone(),
                last: None,
                previous: None,
            };
            tokio::task::spawn_local(connection.run());
        }
    });
    address
}

/// A connection to an engine.
struct Connection {
    stream: TcpStream,
    bytes: Vec<u8>,
    engine: usize,
    script: rc::Rc<Script>,
    /// The attempt that it serves or has served last.
    last: Option<Current>,
    previous: Option<Previous>,
}

/// The response to the previous request on a connection.
struct Previous {
    id: String,
    bytes: String,
}

impl Connection {
    /// Serves requests until the connection ends.
    async fn run(mut self) {
        while self.serve().await.is_some() {}
        let Self { script, last, .. } = self;
        if let Some(last) = last {
            script.change(last, |run| run.is_closed = true);
        }
    }

    /// Serves a request; returns `None` once the connection has ended.
    async fn serve(&mut self) -> Option<()> {
        let head = until(&mut self.stream, &mut self.bytes, b"\r\n\r\n").await?;
        let script = self.script.clone();
        let mut arrival = Arrival::read(String::from_utf8(head).unwrap(), &script);
        let index = arrival.index;
        let record = &script.records[index];
        let attempt = record.attempts.replace(record.attempts.get() + 1);
        let mut reply = Reply::compose(&script.asked[index], self.engine, attempt, arrival.resumed);
        let plan = reply.run.plan.clone();
        if plan.early.is_none() {
            self.read_body(&mut arrival).await?;
        }
        reply.run.is_body_wrong = arrival.is_body_wrong;
        reply.run.earlier = self.extra(plan.before);
        record.runs.borrow_mut().push(reply.run.clone());
        self.last = Some(Current { index, attempt });
        let (sent, rest) = reply.bytes.split_at(reply.cut);
        let sent = format!("{}{sent}", reply.run.earlier);
        self.write(&sent, &plan.splits).await?;
        self.interrupt(&mut arrival, &reply).await?;
        self.write(rest, &[]).await?;
        self.read_rest(&mut arrival).await?;
        if plan.framing == Framing::Close {
            return None;
        }
        self.previous = Some(Previous {
            id: script.asked[index].id.clone(),
            bytes: reply.bytes,
        });
        if plan.is_after_late {
            tokio::time::sleep(STEP).await;
        }
        let after = self.extra(plan.after);
        self.write(&after, &[]).await
    }

    /// Does what the plan says where the response is interrupted; returns `None` if the rest does not
    /// follow.
    async fn interrupt(&mut self, arrival: &mut Arrival, reply: &Reply) -> Option<()> {
        let run = &reply.run;
        let is_whole = reply.cut == reply.bytes.len();
        let reads_on = run.plan.early == Some(Early::BeforeRest) && run.plan.ending.continues()
            || run.plan.ending == Ending::Close && is_whole;
        if reads_on {
            self.read_rest(arrival).await?;
        }
        match run.plan.ending {
            Ending::Keep => Some(()),
            Ending::Pause => self.hold(tokio::time::sleep(PAUSE)).await,
            Ending::Together => self.join(arrival.index, run.attempt).await,
            Ending::Outlive if run.attempt == 1 && run.sent_events > 0 => {
                self.outlive(arrival.index).await
            }
            Ending::Outlive => Some(()),
            Ending::Close => None,
            Ending::Reset => {
                tokio::time::sleep(STEP).await;
                self.stream.set_zero_linger().unwrap();
                None
            }
            Ending::Silent => {
                self.hold(future::pending()).await;
                None
            }
        }
    }

    /// Waits until the second attempt has got to the interruption of its response as well.
    async fn join(&mut self, index: usize, attempt: usize) -> Option<()> {
        let script = self.script.clone();
        let is_joined = &script.records[index].is_joined;
        if attempt > 0 {
            is_joined.set(true);
            return Some(());
        }
        self.hold(wait(|| is_joined.get(), 2 * PAUSE)).await
    }

    /// Waits until the engine of the first attempt has seen its connection close.
    async fn outlive(&mut self, index: usize) -> Option<()> {
        let script = self.script.clone();
        let is_closed = || script.is_first_closed(index);
        self.hold(wait(is_closed, CLOSE_LIMIT)).await?;
        let is_in_vain = !is_closed();
        self.change(|run| run.is_in_vain = is_in_vain);
        Some(())
    }

    /// Waits for something; returns `None` once the relay has closed the connection.
    async fn hold(&mut self, waiting: impl Future<Output = ()>) -> Option<()> {
        let mut waiting = std::pin::pin!(waiting);
        loop {
            tokio::select! {
                biased;
                () = &mut waiting => return Some(()),
                read = self.stream.read_buf(&mut self.bytes) => {
                    if read.ok()? == 0 {
                        return None;
                    }
                }
            }
        }
    }

    /// Reads what is left of a body, of a request whose run is recorded.
    async fn read_rest(&mut self, arrival: &mut Arrival) -> Option<()> {
        let read = self.read_body(arrival).await;
        self.change(|run| run.is_body_wrong = arrival.is_body_wrong);
        read
    }

    /// Reads what is left of a body and compares it with the request's.
    async fn read_body(&mut self, arrival: &mut Arrival) -> Option<()> {
        while arrival.left > 0 {
            if self.bytes.is_empty() && self.stream.read_buf(&mut self.bytes).await.ok()? == 0 {
                return None;
            }
            arrival.take(&mut self.bytes);
        }
        Some(())
    }

    async fn write(&mut self, text: &str, splits: &[usize]) -> Option<()> {
        let mut ends: Vec<_> = splits.iter().map(|s| s % (text.len() + 1)).collect();
        ends.push(text.len());
        ends.sort_unstable();
        let mut start = 0;
        for end in ends {
            if start > 0 && end > start {
                tokio::time::sleep(STEP).await;
            }
            let piece = &text.as_bytes()[start..end];
            self.stream.write_all(piece).await.ok()?;
            start = end;
        }
        Some(())
    }

    /// Changes the record of the run.
    fn change(&self, change: impl FnOnce(&mut Run)) {
        if let Some(last) = self.last {
            self.script.change(last, change);
        }
    }

    fn extra(&self, extra: Option<Extra>) -> String {
        let (Some(extra), Some(previous)) = (extra, &self.previous) else {
            return String::new();
        };
        let refusal = "HTTP/1.1 503 Full\r\nX-Refused: 1\r\nContent-Length: 0\r\n";
        match extra {
            Extra::RefusalWithId => format!("{refusal}X-Id: {}\r\n\r\n", previous.id),
            Extra::RefusalWithoutId => format!("{refusal}\r\n"),
            Extra::Duplicate => previous.bytes.clone(),
        }
    }
}

/// A request that arrives at an engine.
struct Arrival {
    index: usize,
    /// The last event that the caller has.
    resumed: usize,
    /// The body that is due, and how much of it has not been read.
    body: Vec<u8>,
    left: usize,
    is_body_wrong: bool,
}

impl Arrival {
    fn read(head: String, script: &Script) -> Self {
        let request = Seen {
            head,
            body: Vec::new(),
        };
        let number = |name| request.header(name).map_or(0, |n| n.parse().unwrap());
        let id = request.header("x-id").unwrap();
        let index = script.asked.iter().position(|a| a.id == id).unwrap();
        let body = script.asked[index].body().into_bytes();
        let left = number("content-length");
        Self {
            index,
            resumed: number("x-resume"),
            is_body_wrong: left != body.len(),
            left,
            body,
        }
    }

    /// Removes bytes of the body.
    fn take(&mut self, bytes: &mut Vec<u8>) {
        let read = self.left.min(bytes.len());
        let from = self.body.len().saturating_sub(self.left);
        let due = self.body.get(from..from + read);
        self.is_body_wrong |= due != Some(&bytes[..read]);
        bytes.drain(..read);
        self.left -= read;
    }
}
