//! Connections that peers dialled.

use std::future;
use std::sync;

use tokio::sync as async_sync;
use tokio::{net, time};

use super::{counted, error, headers, hub, link};

/// Bytes that a peer may send ahead of this process reading them.
pub const WINDOW_BYTES: u32 = 256 * 1024;
/// Bytes of headers at most.
const HEADER_BYTES: u32 = 4096;
/// Path of the one request on a connection.
pub const PATH: &str = "/peer";

/// Accepts connections until the process ends.
pub async fn run(shared: link::Shared, listener: net::TcpListener) {
    let places = async_sync::Semaphore::new(shared.config.limits.connections);
    let places = sync::Arc::new(places);
    loop {
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("the peers' port cannot accept: {error}");
                time::sleep(hub::PAUSE).await;
                continue;
            }
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            let error = serve(shared, stream).await;
            log::debug!("a peer's connection ended: {error}");
            drop(place);
        });
    }
}

async fn serve(shared: link::Shared, stream: net::TcpStream) -> error::Error {
    let limit = shared.config.limits.handshake;
    let greeted = match time::timeout(limit, greet(&shared, stream)).await {
        Ok(Ok(greeted)) => greeted,
        Ok(Err(error)) => return error,
        Err(_) => return error::Error::Timeout("show the key"),
    };
    let Greeted {
        mut connection,
        remote,
        streams,
    } = greeted;
    link::run(&shared, remote, false, streams, drive(&mut connection)).await
}

struct Greeted {
    connection: Connection,
    remote: headers::Remote,
    streams: link::Streams,
}

type Connection = h2::server::Connection<counted::Counted, bytes::Bytes>;

async fn greet(shared: &link::Shared, stream: net::TcpStream) -> Result<Greeted, error::Error> {
    let stream = counted::Counted::new(stream, shared.counters.clone())?;
    let mut connection = h2::server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(1)
        .max_header_list_size(HEADER_BYTES)
        .handshake(stream)
        .await?;
    let accepted = connection.accept().await.ok_or(error::Error::Closed)?;
    let (request, mut respond) = accepted?;
    let checked = check(shared, &request);
    let mut response = http::Response::new(());
    *response.status_mut() = status(&checked);
    headers::write(&shared.config.own, response.headers_mut())?;
    let output = respond.send_response(response, checked.is_err())?;
    match checked {
        Ok(remote) => Ok(Greeted {
            connection,
            remote,
            streams: link::Streams {
                output,
                input: request.into_body(),
            },
        }),
        Err(error) => {
            shared.counters.refused.inc();
            log::warn!("refused a connection to the peers' port: {error}");
            drop(request);
            connection.graceful_shutdown();
            drive(&mut connection).await;
            Err(error)
        }
    }
}

fn check(
    shared: &link::Shared,
    request: &http::Request<h2::RecvStream>,
) -> Result<headers::Remote, error::Error> {
    let key = request.headers().get(headers::KEY);
    let key = key.ok_or(error::Error::Refused)?;
    if !shared.config.key.matches(key.as_bytes()) {
        return Err(error::Error::Refused);
    }
    if request.method() != http::Method::POST || request.uri().path() != PATH {
        return Err(error::Error::Header("path"));
    }
    let remote = headers::read(request.headers())?;
    if remote.name == shared.config.own.name {
        return Err(error::Error::Own);
    }
    Ok(remote)
}

fn status(checked: &Result<headers::Remote, error::Error>) -> http::StatusCode {
    match checked {
        Ok(_) => http::StatusCode::OK,
        Err(error::Error::Refused) => http::StatusCode::UNAUTHORIZED,
        Err(error::Error::Protocol(_)) => http::StatusCode::UPGRADE_REQUIRED,
        Err(error::Error::Own) => http::StatusCode::CONFLICT,
        Err(_) => http::StatusCode::BAD_REQUEST,
    }
}

async fn drive(connection: &mut Connection) -> error::Error {
    match future::poll_fn(|context| connection.poll_closed(context)).await {
        Ok(()) => error::Error::Closed,
        Err(error) => error.into(),
    }
}
