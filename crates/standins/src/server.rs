//! The HTTP server under every stand-in.

use std::io;
use std::net;
use std::thread;

use hyper::body;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use tokio::net as tokio_net;
use tokio::runtime;
use tokio::sync::watch;
use tokio::task;
use tokio::time;

use crate::handle;
use crate::reply;

/// Open connections beyond which the oldest waiting ones stay unaccepted.
const MAX_CONNECTIONS: usize = 16_384;

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(10);

/// A bound listener with the phase of the stand-in that it belongs to.
#[derive(Debug)]
pub(crate) struct Server {
    listener: net::TcpListener,
    phase: watch::Sender<handle::Phase>,
    threads: usize,
}

impl Server {
    /// Binds a loopback address.
    pub(crate) fn bind(listen: net::SocketAddr, threads: usize) -> io::Result<Self> {
        let listener = net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let phase = watch::Sender::new(handle::Phase::Running);
        Ok(Self {
            listener,
            phase,
            threads,
        })
    }

    /// Returns the switch that ends the stand-in.
    pub(crate) fn phase(&self) -> watch::Sender<handle::Phase> {
        self.phase.clone()
    }

    /// Answers requests on a runtime thread until the phase ends.
    pub(crate) fn run<F, R>(self, respond: F) -> io::Result<handle::Handle>
    where
        F: Fn(http::Request<body::Incoming>) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = reply::Outcome> + Send + 'static,
    {
        let address = self.listener.local_addr()?;
        let phase = self.phase.clone();
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(self.threads.max(1))
            .enable_all()
            .build()?;
        let thread = thread::Builder::new()
            .name("standin".to_owned())
            .spawn(move || {
                runtime.block_on(self.accept(respond));
                runtime.shutdown_background();
            })?;
        Ok(handle::Handle::new(address, phase, thread))
    }

    async fn accept<F, R>(self, respond: F)
    where
        F: Fn(http::Request<body::Incoming>) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = reply::Outcome> + Send + 'static,
    {
        let Ok(listener) = tokio_net::TcpListener::from_std(self.listener) else {
            return;
        };
        let mut phase = self.phase.subscribe();
        let mut connections = task::JoinSet::new();
        loop {
            let room = connections.len() < MAX_CONNECTIONS;
            tokio::select! {
                _ = phase.wait_for(|phase| *phase != handle::Phase::Running) => break,
                Some(_) = connections.join_next() => {}
                accepted = listener.accept(), if room => match accepted {
                    Ok((stream, _)) => {
                        connections.spawn(serve(stream, respond.clone()));
                    }
                    Err(_) => time::sleep(ACCEPT_PAUSE).await,
                },
            }
        }
        connections.shutdown().await;
    }
}

async fn serve<F, R>(stream: tokio_net::TcpStream, respond: F)
where
    F: Fn(http::Request<body::Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = reply::Outcome> + Send + 'static,
{
    stream.set_nodelay(true).ok();
    let service = service::service_fn(respond);
    let connection = http1::Builder::new().serve_connection(rt::TokioIo::new(stream), service);
    connection.await.ok();
}
