//! Callers that send the requests of a script, several at once at times.

use std::time::Duration;

use tokio::io::AsyncWriteExt as _;

use super::script::{Asked, Version};
use crate::support::{self, Caller, Relay, Response};

/// How long after a request's deadline its response must have ended, on a busy machine too.
const MARGIN: Duration = Duration::from_secs(8);

/// What a caller got.
#[derive(Clone, Debug)]
pub enum Got {
    Response(Response),
    /// The connection was closed before a response.
    Closed,
    /// The connection ended with the response to a request before this one.
    Unread,
    /// Nothing came in time.
    Nothing,
}

impl Got {
    /// Returns `true` if the caller's connection can be used for the next request.
    fn keeps(&self) -> bool {
        match self {
            Self::Response(response) => {
                response.is_complete && response.header("connection").is_none()
            }
            Self::Closed | Self::Unread | Self::Nothing => false,
        }
    }
}

/// What a caller got of all requests.
#[derive(Debug, Default)]
pub struct Reception {
    /// By request.
    pub got: Vec<Got>,
    /// Bytes that followed the response to a request where none was due.
    pub extra: Vec<Extra>,
}

/// Bytes where no response is due.
#[derive(Debug)]
pub struct Extra {
    /// The request with the last response before them.
    pub index: usize,
    pub bytes: String,
}

/// Sends all requests, one after the other except those that are pipelined.
pub async fn ask_all(relay: &Relay, asked: &[Asked]) -> Reception {
    let mut reception = Reception::default();
    let mut caller = relay.caller().await;
    let mut rest = asked;
    while !rest.is_empty() {
        let pipelined = rest[1..].iter().take_while(|a| a.is_pipelined).count();
        let (together, others) = rest.split_at(1 + pipelined);
        rest = others;
        let text: String = together.iter().map(compose).collect();
        // The relay may close the connection before it has read everything.
        let _ = caller.stream.write_all(text.as_bytes()).await;
        if !receive_all(&mut caller, together, &mut reception).await {
            caller = relay.caller().await;
        }
    }
    reception
}

/// Receives the responses to requests that were sent together; returns `true` if the connection can
/// be used for others.
async fn receive_all(caller: &mut Caller, asked: &[Asked], reception: &mut Reception) -> bool {
    let mut is_open = true;
    for request in asked {
        if !is_open {
            reception.got.push(Got::Unread);
            continue;
        }
        let got = receive(caller, request).await;
        is_open = got.keeps();
        reception.got.push(got);
        let is_last = !is_open || std::ptr::eq(request, &asked[asked.len() - 1]);
        if is_last && !caller.bytes.is_empty() {
            is_open = false;
            reception.extra.push(Extra {
                index: reception.got.len() - 1,
                bytes: String::from_utf8_lossy(&caller.bytes).into_owned(),
            });
        }
    }
    is_open
}

async fn receive(caller: &mut Caller, asked: &Asked) -> Got {
    match tokio::time::timeout(asked.left + MARGIN, caller.response()).await {
        Ok(Some(response)) => Got::Response(response),
        Ok(None) => Got::Closed,
        Err(_) => Got::Nothing,
    }
}

fn compose(asked: &Asked) -> String {
    let path = format!("{}{}", asked.route.path(), asked.id);
    let request = support::request("POST", &path, &asked.id, &asked.body());
    let left = format!("X-Left: {}\r\n", asked.left.as_millis());
    let request = request.replacen("X-Left: 9000\r\n", &left, 1);
    match asked.version {
        Version::Http11 => request,
        Version::Http10 => request.replacen("HTTP/1.1", "HTTP/1.0", 1),
        Version::Http10Keep => {
            request.replacen("HTTP/1.1\r\n", "HTTP/1.0\r\nConnection: keep-alive\r\n", 1)
        }
    }
}
