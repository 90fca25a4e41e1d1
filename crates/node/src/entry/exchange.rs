//! One exchange with an upstream over HTTP/1.1 on a connection of its own.
//!
//! A fresh connection for each exchange keeps the verdict exact: if the connection cannot be
//! opened, no byte was sent.

use std::time;

use bytes::Bytes;
use guavausher_core::{effect, exchange, routing, time as point, verdict};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::{body, header};
use hyper_util::rt;

use crate::clock;
use crate::entry::{answer, intake, patience};

/// How long the opening of a connection may take.
const CONNECT_WAIT: time::Duration = time::Duration::from_secs(1);

/// The head and body of an answer.
type Answer = hyper::Response<body::Incoming>;

/// A request that is being sent.
#[derive(Debug)]
pub struct Sending<F> {
    /// The exchange, which may be past its first byte.
    pub sent: exchange::Sent,
    /// Waits for the head of the answer.
    pub head: F,
    /// Ends the connection when dropped.
    pub connection: Connection,
}

/// An exchange that failed before the answer began.
#[derive(Clone, Copy, Debug)]
pub struct Broken {
    /// Whether the request may have run.
    pub verdict: verdict::Verdict,
    /// Whether the upstream closed the exchange without an answer.
    pub died: bool,
}

/// An answer that has begun.
#[derive(Debug)]
pub struct Open {
    /// The exchange, which is past its first byte.
    pub sent: exchange::Sent,
    /// The head and body of the answer.
    pub response: Answer,
    /// Ends the connection when dropped.
    pub connection: Connection,
}

/// A connection that is closed when this is dropped, which cancels the request upstream.
#[derive(Debug)]
pub struct Connection(tokio::task::JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Opens a connection on which a request is sent.
///
/// # Errors
///
/// Returns [`Broken`] if the request was not sent.
pub async fn open(
    clock: clock::Clock,
    writer: u64,
    dispatch: &effect::Dispatch,
    intake: &intake::Intake,
) -> Result<Sending<impl Future<Output = hyper::Result<Answer>>>, Broken> {
    let unsent = exchange::Unsent::open();
    let not_run = |unsent: exchange::Unsent| Broken {
        verdict: unsent.fail(),
        died: false,
    };
    let connect = tokio::net::TcpStream::connect(dispatch.address);
    let Ok(Ok(socket)) = tokio::time::timeout(CONNECT_WAIT, connect).await else {
        return Err(not_run(unsent));
    };
    let _ = socket.set_nodelay(true);
    let Ok((mut sender, driver)) = http1::handshake(rt::TokioIo::new(socket)).await else {
        return Err(not_run(unsent));
    };
    let Ok(request) = build(clock.now(), writer, dispatch, intake) else {
        return Err(not_run(unsent));
    };
    // The clock is read last, so that a process that was paused sends nothing late.
    let now = clock.now();
    if now >= dispatch.deadline {
        return Err(not_run(unsent));
    }
    let connection = Connection(tokio::spawn(async move {
        // The error also ends the request, where it is handled.
        let _ = driver.await;
    }));
    let sent = unsent.send();
    Ok(Sending {
        sent,
        head: async move { sender.send_request(request).await },
        connection,
    })
}

impl<F: Future<Output = hyper::Result<Answer>>> Sending<F> {
    /// Waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails if the upstream closes the exchange before, or states a status that is none.
    pub async fn answer(
        self,
        patience: &mut patience::Patience<'_>,
        limit: time::Duration,
        offset: u32,
    ) -> Result<Open, Broken> {
        match patience.wait(limit, offset, self.head).await {
            Ok(response) if !is_defined(response.status()) => Err(Broken {
                verdict: self.sent.fail(),
                died: false,
            }),
            Ok(response) => Ok(Open {
                sent: self.sent,
                response,
                connection: self.connection,
            }),
            Err(_) => Err(Broken {
                verdict: self.sent.fail(),
                died: true,
            }),
        }
    }
}

/// Returns `true` if HTTP defines a status as that of a final answer.
fn is_defined(status: hyper::StatusCode) -> bool {
    const FINAL: std::ops::RangeInclusive<u16> = 200..=599;
    FINAL.contains(&status.as_u16())
}

/// Returns the id of a request or attempt of this process, unique over all processes.
pub fn unique_id(writer: u64, number: u64) -> String {
    format!("{writer:x}-{number}")
}

/// Reads the load report in the head of an answer.
pub fn load(headers: &header::HeaderMap) -> Option<routing::Load> {
    let text = headers.get("x-load")?.to_str().ok()?;
    let field = |name: &str| -> Option<u64> {
        let mut pairs = text
            .split(';')
            .filter_map(|pair| pair.trim().split_once('='));
        pairs.find(|(key, _)| *key == name)?.1.parse().ok()
    };
    let small = |name| u32::try_from(field(name)?).ok();
    Some(routing::Load {
        incarnation: field("incarnation")?,
        queue: small("queue")?,
        running: small("running")?,
        slots: small("slots")?,
        at: point::Time::from_millis(field("at")?),
    })
}

/// Tells whether the answer belongs to this attempt, as far as its head says.
pub fn is_own(headers: &header::HeaderMap, writer: u64, attempt: u64) -> bool {
    let own = unique_id(writer, attempt);
    let id = headers.get("x-attempt-id");
    id.is_none_or(|id| id.as_bytes() == own.as_bytes())
}

/// Returns `true` if the upstream states that it did not run this attempt.
///
/// A refusal that names another attempt says nothing about this one.
pub fn is_refusal(response: &Answer, writer: u64, attempt: u64) -> bool {
    let verdict = response.headers().get(answer::VERDICT);
    response.status().is_server_error()
        && is_own(response.headers(), writer, attempt)
        && verdict.is_some_and(|v| v.as_bytes() == verdict::Verdict::NotRun.as_str().as_bytes())
}

fn build(
    now: point::Time,
    writer: u64,
    dispatch: &effect::Dispatch,
    intake: &intake::Intake,
) -> Result<hyper::Request<Full<Bytes>>, hyper::http::Error> {
    let deadline = now.max(dispatch.deadline).as_micros() / 1_000;
    let mut builder = hyper::Request::post(intake.request.path.as_str())
        .header(header::HOST, dispatch.address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(answer::REQUEST_ID, unique_id(writer, intake.request.id))
        .header("x-attempt-id", unique_id(writer, dispatch.attempt))
        .header("x-workspace", intake.request.workspace.as_str())
        .header("x-priority", dispatch.priority.as_str())
        .header("x-deadline-ms", deadline)
        .header("x-resume-offset", dispatch.offset);
    if let Some(key) = &intake.request.key {
        builder = builder.header("idempotency-key", key.as_str());
    }
    builder.body(Full::new(intake.body.clone()))
}
