//! Listeners for callers' requests and for readiness and metrics requests.

use std::io;
use std::net;
use std::rc;
use std::time::Duration;

use guavausher_core::refusal;
use guavausher_core::relay::{memory, memory_limits};
use guavausher_core::time;
use tokio::net::TcpListener;

use crate::admission;
use crate::body_reader;
use crate::budget;
use crate::clock;
use crate::connection;
use crate::forwarding;
use crate::head;
use crate::limits;
use crate::refusal_response;
use crate::request_reader;
use crate::runtime;
use crate::wire;

/// Pause after a failed accept, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Longest time to read what a caller still sends on a connection that is being closed, so that the
/// response before it is not lost.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a stopping process that has closed still answers on a connection that is idle. Callers
/// send their next request right after a response.
const IDLE_HOLD: Duration = Duration::from_millis(500);
/// How long a caller may leave a written response unread in the socket. No engine works for it any
/// more, so this is longer than while it is being answered.
const ANSWERED_USER_TIMEOUT: Duration = Duration::from_secs(30);
/// Bytes read on a connection that is being closed at most.
const MAX_LINGER: usize = 1 << 20;

/// Open connections of one listener for status requests; the oldest one is closed for a new one.
const MAX_STATUS_CONNECTIONS: usize = 32;
/// Longest body of a request for the status, in bytes.
const MAX_STATUS_BODY: usize = 4 << 10;

/// Starts to accept callers until the process ends; returns the address that it listens on.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub fn start(
    runtime: &rc::Rc<runtime::Runtime>,
    address: net::SocketAddr,
) -> io::Result<net::SocketAddr> {
    let listener = connection::listen(address)?;
    let address = listener.local_addr()?;
    let runtime = runtime.clone();
    tokio::task::spawn_local(async move {
        loop {
            let (connection, address) = accept(&listener).await;
            let guard = admit(&runtime, address).await;
            let runtime = runtime.clone();
            tokio::task::spawn_local(async move { serve(&runtime, connection, guard).await });
        }
    });
    Ok(address)
}

/// Waits for the next connection; a failed accept is logged and tried again.
pub(crate) async fn accept(listener: &TcpListener) -> (connection::Connection, net::IpAddr) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => return (connection::Connection::new(stream), peer.ip()),
            Err(fault) => {
                log::warn!(fault:% = fault; "accepting a connection failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Waits until there is room for one more connection of a caller.
async fn admit(
    runtime: &rc::Rc<runtime::Runtime>,
    address: net::IpAddr,
) -> budget::ConnectionGuard {
    loop {
        if let Some(guard) = runtime.budget.admit(address) {
            return guard;
        }
        tokio::time::sleep(ACCEPT_PAUSE).await;
    }
}

async fn serve(
    runtime: &rc::Rc<runtime::Runtime>,
    mut caller: connection::Connection,
    guard: budget::ConnectionGuard,
) {
    caller.charge = Some(budget::Charge::new(&runtime.budget));
    // New callers of a process that has closed do not delay its end before they have sent a request.
    let is_counted = clock::now() < runtime.closing_time();
    let limits = runtime.limits();
    loop {
        guard.begin_wait();
        if !wait_for_request(runtime, &mut caller, &limits, &guard, is_counted).await {
            return;
        }
        let _busy = is_counted.then(|| runtime.occupy());
        let find = |head: &head::Head, target: &str, arrived| {
            guard.end_wait();
            admission::source(runtime, guard.address, head, target, arrived)
        };
        let read = tokio::select! {
            biased;
            read = request_reader::read(&mut caller, &limits, &runtime.budget, find) => read,
            () = guard.evicted() => return refusal_response::reject_at_once(&caller),
        };
        guard.end_wait();
        match read {
            Ok(request) => match forward(runtime, &mut caller, request).await {
                forwarding::Disposition::Keep => {}
                forwarding::Disposition::Close => {
                    return linger(runtime, caller, LINGER_TIMEOUT, &guard).await;
                }
                forwarding::Disposition::Reset => return reset(&caller),
            },
            Err(request_reader::Error::Closed) => return,
            Err(request_reader::Error::Refused(code)) => {
                log::info!(reason = code.as_str(); "request could not be read");
                runtime
                    .metrics
                    .count_request("refused", code.as_str(), Duration::ZERO);
                refusal_response::reject(&caller, code).await;
                return linger(runtime, caller, LINGER_TIMEOUT, &guard).await;
            }
        }
    }
}

async fn forward(
    runtime: &rc::Rc<runtime::Runtime>,
    caller: &mut connection::Connection,
    request: request_reader::Request,
) -> forwarding::Disposition {
    // The process does not end between a complete request and its response.
    let _busy = runtime.occupy();
    connection::limit_silence(&caller.stream, connection::USER_TIMEOUT);
    let disposition = forwarding::forward(runtime, caller, request).await;
    connection::limit_silence(&caller.stream, ANSWERED_USER_TIMEOUT);
    disposition
}

/// Waits for the next request; returns `false` if the connection has ended, was idle for too long or is
/// closed for another one.
async fn wait_for_request(
    runtime: &runtime::Runtime,
    caller: &mut connection::Connection,
    limits: &limits::LimitsInForce,
    guard: &budget::ConnectionGuard,
    is_counted: bool,
) -> bool {
    tokio::select! {
        biased;
        waited = request_reader::wait_readable(caller, limits) => waited.is_ok(),
        () = hold(runtime, is_counted) => false,
        () = guard.evicted() => false,
    }
}

/// Returns once a stopping process may close an idle connection.
///
/// The connection stays open for a while without a FIN: a request that arrived after one would have
/// been read and could not be answered.
async fn hold(runtime: &runtime::Runtime, is_counted: bool) {
    let mut stopping = runtime.stopping.subscribe();
    closing(runtime, &mut stopping).await;
    let _busy = is_counted.then(|| runtime.occupy());
    tokio::time::sleep(IDLE_HOLD).await;
}

async fn closing(runtime: &runtime::Runtime, stopping: &mut tokio::sync::watch::Receiver<bool>) {
    if stopping.wait_for(|is_stopping| *is_stopping).await.is_err() {
        return std::future::pending().await;
    }
    clock::sleep_until(runtime.closing_time()).await;
}

/// Closes a connection so that the caller receives the complete response first.
async fn linger(
    runtime: &runtime::Runtime,
    mut caller: connection::Connection,
    limit: Duration,
    guard: &budget::ConnectionGuard,
) {
    use tokio::io::AsyncWriteExt as _;
    if caller.stream.shutdown().await.is_err() {
        return;
    }
    let mut dropped = caller.buffer.len();
    let mut has_head = has_head(&caller);
    let rest = async {
        while dropped < MAX_LINGER {
            caller.buffer.clear();
            match caller.fill().await {
                Ok(count) if count > 0 => dropped += count,
                _ => return,
            }
            has_head |= self::has_head(&caller);
        }
    };
    guard.begin_wait();
    // The connection of a caller that sends for longer is closed.
    tokio::select! {
        _ = tokio::time::timeout(limit, rest) => {}
        () = guard.evicted() => {}
    }
    if dropped > 0 && runtime.is_stopping() {
        log::info!(bytes = dropped, has_head = has_head; "bytes behind the last response dropped");
    }
}

fn has_head(caller: &connection::Connection) -> bool {
    matches!(head::request(&caller.buffer), Ok(Some(_)))
}

/// Resets a connection, so that a truncated response cannot look complete.
fn reset(caller: &connection::Connection) {
    let socket = socket2::SockRef::from(&caller.stream);
    if let Err(fault) = socket.set_linger(Some(Duration::ZERO)) {
        log::debug!(fault:% = fault; "connection closed without a reset");
    }
}

/// A small HTTP server for requests with short responses.
#[derive(Clone, Copy, Debug)]
pub struct StatusServer {
    /// Returns the response for a path.
    pub respond: fn(&runtime::Runtime, &str) -> Reply,
}

/// A short response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body as text.
    pub body: String,
}

impl StatusServer {
    /// Serves requests until the process ends.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub fn start(
        self,
        runtime: &rc::Rc<runtime::Runtime>,
        address: net::SocketAddr,
    ) -> io::Result<()> {
        let listener = connection::listen(address)?;
        let runtime = runtime.clone();
        let open: rc::Rc<budget::Budget> = rc::Rc::default();
        open.set_limits(memory_limits::MemoryLimits {
            connections: MAX_STATUS_CONNECTIONS,
            ..memory_limits::MemoryLimits::default()
        });
        tokio::task::spawn_local(async move {
            loop {
                let (connection, address) = accept(&listener).await;
                let Some(guard) = open.admit(address) else {
                    continue;
                };
                let runtime = runtime.clone();
                tokio::task::spawn_local(async move {
                    tokio::select! {
                        () = self.serve(&runtime, connection, address) => {}
                        () = guard.evicted() => {}
                    }
                });
            }
        });
        Ok(())
    }

    async fn serve(
        self,
        runtime: &runtime::Runtime,
        mut connection: connection::Connection,
        address: net::IpAddr,
    ) {
        let limits = guavausher_core::relay::manifest::Limits {
            body: MAX_STATUS_BODY,
            ..request_reader::DEFAULT_LIMITS
        };
        let head_timeout = limits.head_timeout;
        let limits = limits::LimitsInForce::fixed(limits);
        let find = |_: &head::Head, _: &str, arrived: time::Time| body_reader::Source {
            sender: memory::Sender {
                address,
                workspace: None,
            },
            deadline: arrived.after(head_timeout),
        };
        connection.charge = Some(budget::Charge::new(&runtime.budget));
        while request_reader::wait_readable(&mut connection, &limits)
            .await
            .is_ok()
        {
            let (reply, keeps) =
                match request_reader::read(&mut connection, &limits, &runtime.budget, find).await {
                    Ok(request) => {
                        let keeps = request.head.keeps_alive();
                        ((self.respond)(runtime, &request.target), keeps)
                    }
                    Err(request_reader::Error::Closed) => return,
                    Err(request_reader::Error::Refused(code)) => (error_reply(code), false),
                };
            if write(&connection, &reply).await.is_err() || !keeps {
                return;
            }
        }
    }
}

fn error_reply(code: refusal::Code) -> Reply {
    Reply {
        status: code.status(),
        body: format!("{code}\n"),
    }
}

async fn write(connection: &connection::Connection, reply: &Reply) -> io::Result<()> {
    let mut bytes = wire::status_line(reply.status);
    wire::push_header(&mut bytes, "Content-Type", b"text/plain; version=0.0.4");
    let length = reply.body.len().to_string();
    wire::push_header(&mut bytes, "Content-Length", length.as_bytes());
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(reply.body.as_bytes());
    connection::write_all(&connection.stream, &bytes).await
}

/// Returns the server of the readiness path and the metrics path.
pub fn status_server() -> StatusServer {
    StatusServer {
        respond: |runtime, path| match path {
            "/metrics" => Reply {
                status: 200,
                body: runtime.metrics.text(clock::now(), &runtime.state.borrow()),
            },
            path if path == runtime.protocol.ready_path => readiness(runtime),
            _ => Reply {
                status: 404,
                body: String::from("no such path\n"),
            },
        },
    }
}

fn readiness(runtime: &runtime::Runtime) -> Reply {
    let (status, body) = match runtime.is_ready() {
        true => (200, "ready\n"),
        false => (503, "not ready\n"),
    };
    Reply {
        status,
        body: String::from(body),
    }
}
