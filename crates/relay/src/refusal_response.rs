//! Final responses of our own.

use std::fmt::Write;

use guavausher_core::refusal;
use guavausher_core::verdict;
use tokio::net::TcpStream;

use crate::clock;
use crate::connection;
use crate::forwarding;
use crate::request_reader;
use crate::runtime;
use crate::wire;

/// Writes an error response to a connection whose request could not be read.
///
/// The caller of this function closes the connection afterwards.
pub async fn reject(caller: &connection::Connection, code: refusal::Code) {
    let response = compose(None, "", rejection(code), false);
    if let Err(fault) = connection::write_all(&caller.stream, &response).await {
        log::debug!(fault:% = fault; "caller closed the connection before its error response");
    }
}

/// Refuses a request that has not been read completely as far as the socket takes the response, without
/// waiting, since the connection is closed for another one.
pub(crate) fn reject_at_once(caller: &connection::Connection) {
    let response = compose(None, "", rejection(refusal::Code::Overloaded), false);
    if let Err(fault) = caller.stream.try_write(&response) {
        log::debug!(fault:% = fault; "error response was not sent");
    }
}

fn rejection(code: refusal::Code) -> refusal::Refusal {
    let retry_at = clock::now().after(forwarding::DEFAULT_RETRY_DELAY);
    let retry_at = (code == refusal::Code::Overloaded).then_some(retry_at);
    refusal::Refusal::not_run(code, retry_at)
}

/// Writes a refusal, and returns what follows for the caller's connection.
pub(crate) async fn write(
    runtime: &runtime::Runtime,
    caller: &TcpStream,
    incoming: &request_reader::Request,
    refusal: refusal::Refusal,
    keeps: bool,
) -> forwarding::Disposition {
    let id = incoming.head.get(runtime.protocol.id);
    let took = incoming.arrived.until(clock::now());
    runtime
        .metrics
        .count_request("refused", refusal.code.as_str(), took);
    let response = compose(id, runtime.protocol.id, refusal, keeps);
    match connection::write_all(caller, &response).await {
        Ok(()) if keeps => forwarding::Disposition::Keep,
        Ok(()) => forwarding::Disposition::Close,
        Err(_) => forwarding::Disposition::Reset,
    }
}

fn compose(id: Option<&str>, name: &str, refusal: refusal::Refusal, keeps: bool) -> Vec<u8> {
    let mut head = wire::status_line(refusal.code.status());
    if let Some(id) = id {
        wire::push_header(&mut head, name, id.as_bytes());
    }
    let is_not_run = refusal.verdict == verdict::Verdict::NotRun;
    if let Some(at) = refusal.retry_at.filter(|_| is_not_run) {
        let seconds = clock::now().until(at).as_secs_f64();
        wire::push_header(&mut head, "Retry-After", format!("{seconds:.3}").as_bytes());
    }
    if !keeps {
        wire::push_header(&mut head, "Connection", b"close");
    }
    let body = format!("{{\"error\":\"{}\"}}\n", refusal.code.as_str());
    let mut rest = String::new();
    // Writing to a string cannot fail.
    let _ = write!(
        rest,
        "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    head.extend_from_slice(rest.as_bytes());
    head
}
