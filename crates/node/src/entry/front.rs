//! The callers' side: accepts connections and hands each request to a task.

use std::convert;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use bytes::Bytes;
use crossbeam::channel;
use guavausher_core::verdict;
use http_body_util::BodyExt;
use hyper::server::conn::http1;
use hyper::{body, header, service};
use hyper_util::rt;
use tokio::net;
use tokio::sync::{Semaphore, mpsc, oneshot, watch};

use crate::clock;
use crate::entry::{answer, caller, caller_socket, command, conduct, exchange, intake, metrics};

/// Connections of callers at once.
const MAX_CONNECTIONS: u32 = 16_384;

/// How long a caller may take to send its headers.
const HEADER_WAIT: time::Duration = time::Duration::from_secs(10);

/// Largest size of a request's headers in bytes.
const MAX_HEADER_BYTES: usize = 32 << 10;

/// Wait after a failed accept, for example for lack of file descriptors.
const ACCEPT_WAIT: time::Duration = time::Duration::from_millis(50);

/// What every request needs.
#[derive(Clone, Debug)]
pub struct Front {
    /// Source of the present time.
    pub clock: clock::Clock,
    /// The way to the reducer.
    pub events: channel::Sender<command::Input>,
    /// Metrics.
    pub metrics: metrics::Metrics,
    /// Unique number of this process, part of every attempt's id.
    pub writer: u64,
    /// The last request's id.
    pub next: sync::Arc<atomic::AtomicU64>,
}

impl Front {
    /// Accepts connections until the sender of `stopped` is dropped, and then returns once all bytes of
    /// the answers given have been written.
    pub async fn serve(self, listener: net::TcpListener, stopped: watch::Receiver<()>) {
        let limit = sync::Arc::new(Semaphore::new(MAX_CONNECTIONS as usize));
        let mut stop = stopped.clone();
        tokio::select! {
            () = self.accept(&listener, &limit, stopped) => {}
            _ = stop.changed() => {}
        }
        // The semaphore is never closed.
        let _ = limit.acquire_many(MAX_CONNECTIONS).await;
    }

    async fn accept(
        &self,
        listener: &net::TcpListener,
        limit: &sync::Arc<Semaphore>,
        stopped: watch::Receiver<()>,
    ) {
        loop {
            let Ok(permit) = limit.clone().acquire_owned().await else {
                return;
            };
            let Ok((socket, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_WAIT).await;
                continue;
            };
            let (front, stopped) = (self.clone(), stopped.clone());
            tokio::spawn(async move {
                front.connection(socket, stopped).await;
                drop(permit);
            });
        }
    }

    async fn connection(self, socket: net::TcpStream, mut stopped: watch::Receiver<()>) {
        // Tokens are small and must not wait for each other.
        let _ = socket.set_nodelay(true);
        let cut = caller_socket::Cut::default();
        let serve = service::service_fn(|http| {
            let (front, cut) = (self.clone(), cut.clone());
            async move { Ok::<_, convert::Infallible>(front.request(http, cut).await) }
        });
        let socket = caller_socket::CallerSocket::new(socket, cut.clone());
        let connection = http1::Builder::new()
            .timer(rt::TokioTimer::new())
            .header_read_timeout(HEADER_WAIT)
            .max_buf_size(MAX_HEADER_BYTES)
            .serve_connection(rt::TokioIo::new(socket), serve);
        let mut connection = std::pin::pin!(connection);
        let ended = tokio::select! {
            ended = &mut connection => ended,
            _ = stopped.changed() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(fault) = ended {
            log::debug!(fault:%; "caller's connection ended");
        }
    }

    async fn request(
        self,
        http: hyper::Request<body::Incoming>,
        cut: caller_socket::Cut,
    ) -> hyper::Response<answer::Body> {
        let now = self.clock.now();
        let id = self.next.fetch_add(1, atomic::Ordering::Relaxed) + 1;
        self.metrics.requests.inc();
        let shown = exchange::unique_id(self.writer, id);
        let intake = match intake::read(id, now, http).await {
            Ok(intake) => intake,
            Err(whole) => return whole.response(&shown),
        };
        let (head, first) = oneshot::channel();
        let (commands, seat) = mpsc::channel(command::MAX_COMMANDS);
        let arrival = command::Arrival {
            request: intake.request.clone(),
            commands,
        };
        if self
            .events
            .try_send(command::Input::Arrived(arrival))
            .is_err()
        {
            return busy().response(&shown);
        }
        let work = conduct::Task {
            intake,
            arrived: now,
            caller: caller::Caller::new(head),
            commands: seat,
            front: self,
        };
        tokio::spawn(work.run());
        match first.await {
            Ok(caller::Head::Whole(whole)) => whole.response(&shown),
            Ok(caller::Head::Stream(stream)) => respond(&shown, stream, cut),
            Err(_) => lost().response(&shown),
        }
    }
}

fn busy() -> answer::Whole {
    let message = "too many events wait at this entry; come back in a second";
    let whole = answer::Whole::error(503, "overloaded", message, verdict::Verdict::NotRun);
    answer::Whole {
        retry_after: Some(1),
        ..whole
    }
}

fn lost() -> answer::Whole {
    let message = "the entry ended before the request did; send it again if it is idempotent";
    answer::Whole::error(502, "entry-ended", message, verdict::Verdict::MayHaveRun)
}

fn respond(
    id: &str,
    stream: caller::Stream,
    cut: caller_socket::Cut,
) -> hyper::Response<answer::Body> {
    let version = stream.version.clone();
    hyper::Response::builder()
        .header(header::CONTENT_TYPE, answer::EVENT_STREAM)
        .header(header::CACHE_CONTROL, "no-store")
        .header(answer::REQUEST_ID, id)
        .header(answer::VERSION, version)
        .body(Chunks { stream, cut }.boxed())
        .unwrap_or_else(|_| lost().response(id))
}

/// The body of a token stream; it cuts the connection instead of ending if it is not whole.
struct Chunks {
    stream: caller::Stream,
    cut: caller_socket::Cut,
}

impl body::Body for Chunks {
    type Data = Bytes;
    type Error = convert::Infallible;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, convert::Infallible>>> {
        let chunk = task::ready!(self.stream.chunks.poll_recv(context));
        if chunk.is_none() && !self.stream.whole.load(atomic::Ordering::Acquire) {
            self.cut.set();
            // The server flushes what it has now, which ends the connection.
            return task::Poll::Pending;
        }
        task::Poll::Ready(chunk.map(|chunk| Ok(body::Frame::data(chunk))))
    }
}
