//! Connections that are used again.

use std::net;
use std::sync;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body;
use hyper::client::conn::http1;
use hyper_util::rt;
use tokio::net as tokio_net;

use crate::measure;

/// The most idle connections that are kept.
const MAX_IDLE: usize = 4_096;

/// A connection that can send requests.
pub type Sender = http1::SendRequest<Full<Bytes>>;

/// The idle connections to one target.
#[derive(Debug)]
pub struct Pool {
    target: net::SocketAddr,
    idle: sync::Mutex<Vec<Sender>>,
}

/// Why a request got no response.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// no connection: {0}
    Connect(std::io::Error),
    /// no response: {0}
    Exchange(hyper::Error),
}

impl std::error::Error for Error {}

impl Error {
    /// Returns how a request has ended by this error after it had ended as `before`.
    pub const fn end(&self, before: measure::End) -> measure::End {
        match (before, self) {
            (measure::End::Truncated, _) => measure::End::Truncated,
            (_, Self::Connect(_)) => measure::End::Unreached,
            (_, Self::Exchange(_)) => measure::End::Failed,
        }
    }
}

impl Pool {
    /// Builds a pool without connections.
    pub const fn new(target: net::SocketAddr) -> Self {
        Self {
            target,
            idle: sync::Mutex::new(Vec::new()),
        }
    }

    /// Returns the target.
    pub const fn target(&self) -> net::SocketAddr {
        self.target
    }

    /// Sends a request on an idle connection, or on a new one if none takes it.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be made or the exchange breaks before the response.
    pub async fn send(
        &self,
        request: hyper::Request<Full<Bytes>>,
    ) -> Result<(Sender, hyper::Response<body::Incoming>), Error> {
        let mut request = request;
        while let Some(mut sender) = self.take() {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((sender, response)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(Error::Exchange(error.into_error())),
                },
            }
        }
        let mut sender = self.connect().await?;
        let response = sender
            .send_request(request)
            .await
            .map_err(Error::Exchange)?;
        Ok((sender, response))
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn keep(&self, sender: Sender) {
        let mut idle = self.lock();
        if !sender.is_closed() && idle.len() < MAX_IDLE {
            idle.push(sender);
        }
    }

    async fn connect(&self) -> Result<Sender, Error> {
        let stream = tokio_net::TcpStream::connect(self.target)
            .await
            .map_err(Error::Connect)?;
        stream.set_nodelay(true).map_err(Error::Connect)?;
        let io = rt::TokioIo::new(stream);
        let (sender, connection) = http1::handshake(io).await.map_err(Error::Exchange)?;
        tokio::spawn(connection);
        Ok(sender)
    }

    fn take(&self) -> Option<Sender> {
        let mut idle = self.lock();
        std::iter::from_fn(|| idle.pop()).find(Sender::is_ready)
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<Sender>> {
        self.idle
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
