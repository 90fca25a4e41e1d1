//! Connections that this process dials.

use guavausher_core::name;
use guavausher_core::peering;
use tokio::{net, time};

use super::{accept, command, counted, error, headers, link};

/// Dials a peer once and runs the link until it ends.
pub async fn run(shared: link::Shared, member: peering::Member) {
    let peer = member.name.clone();
    let limit = shared.config.limits.handshake;
    let error = match time::timeout(limit, connect(&shared, &member)).await {
        Ok(Ok(connected)) => serve(shared.clone(), connected).await,
        Ok(Err(error)) => fail(&shared, &peer, error).await,
        Err(_) => fail(&shared, &peer, error::Error::Timeout("answer")).await,
    };
    log::debug!("the link to {peer} ended: {error}");
}

struct Connected {
    connection: h2::client::Connection<counted::Counted>,
    remote: headers::Remote,
    streams: link::Streams,
}

async fn connect(
    shared: &link::Shared,
    member: &peering::Member,
) -> Result<Connected, error::Error> {
    let stream = net::TcpStream::connect(member.address).await?;
    let stream = counted::Counted::new(stream, shared.counters.clone())?;
    let (sender, mut connection) = h2::client::Builder::new()
        .initial_window_size(accept::WINDOW_BYTES)
        .initial_connection_window_size(accept::WINDOW_BYTES)
        .enable_push(false)
        .handshake(stream)
        .await?;
    let mut request = http::Request::new(());
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = http::Uri::from_static("http://peer/peer");
    let key = shared.config.key.header()?;
    request.headers_mut().insert(headers::KEY, key);
    headers::write(&shared.config.own, request.headers_mut())?;
    let exchange = async {
        let mut sender = sender.ready().await?;
        let (response, output) = sender.send_request(request, false)?;
        Ok::<_, h2::Error>((response.await?, output))
    };
    let (response, output) = tokio::select! {
        exchanged = exchange => exchanged?,
        closed = &mut connection => return Err(ended(closed)),
    };
    let remote = check(&response)?;
    if remote.name != member.name {
        return Err(error::Error::Name(remote.name.to_string()));
    }
    let input = response.into_body();
    Ok(Connected {
        connection,
        remote,
        streams: link::Streams { output, input },
    })
}

fn check(response: &http::Response<h2::RecvStream>) -> Result<headers::Remote, error::Error> {
    match response.status() {
        http::StatusCode::OK => headers::read(response.headers()),
        http::StatusCode::UNAUTHORIZED => Err(error::Error::Refused),
        status => Err(error::Error::Status(status.as_u16())),
    }
}

async fn serve(shared: link::Shared, connected: Connected) -> error::Error {
    let Connected {
        connection,
        remote,
        streams,
    } = connected;
    let connection = async { ended(connection.await) };
    link::run(&shared, remote, true, streams, connection).await
}

async fn fail(shared: &link::Shared, peer: &name::Name, error: error::Error) -> error::Error {
    let peer = peer.clone();
    let failed = command::Command::Failed(peer);
    let _ = shared.commands.send(failed).await;
    error
}

fn ended(closed: Result<(), h2::Error>) -> error::Error {
    closed.map_or_else(error::Error::Stream, |()| error::Error::Closed)
}
