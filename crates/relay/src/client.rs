//! A small HTTP/1.1 client for calls with whole bodies.

use std::cell;
use std::fmt::Write;
use std::net;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use guavausher_core::time;
use guavausher_core::verdict;

use crate::channel;
use crate::clock;
use crate::framing;
use crate::head;

/// Longest time to open a channel.
const CONNECT: Duration = Duration::from_millis(800);
/// Channels that are kept between calls.
const MAX_IDLE: usize = 4;
/// How long a channel is kept between calls.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
/// Longest body of a reply in bytes.
const MAX_BODY: usize = 4 << 20;
/// Longest head of a reply in bytes.
const MAX_HEAD: usize = 16 * 1024;

/// A call.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Header lines, each with its line end.
    pub headers: &'a str,
    /// Body.
    pub body: &'a [u8],
    /// When the reply must be there.
    pub deadline: time::Time,
}

/// A reply.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

/// A client of one address.
#[derive(Debug)]
pub struct Client {
    address: net::SocketAddr,
    idle: cell::RefCell<Vec<Idle>>,
}

#[derive(Debug)]
struct Idle {
    channel: channel::Channel,
    until: time::Time,
}

impl Client {
    /// Builds a client; it connects with the first call.
    pub const fn new(address: net::SocketAddr) -> Self {
        Self {
            address,
            idle: cell::RefCell::new(Vec::new()),
        }
    }

    /// Makes a call.
    ///
    /// # Errors
    ///
    /// Fails with whether the call may have been executed.
    pub async fn call(&self, call: &Call<'_>) -> Result<Reply, verdict::Verdict> {
        let limit = clock::now().until(call.deadline);
        if limit.is_zero() {
            return Err(verdict::Verdict::NotRun);
        }
        let mut channel = match self.take() {
            Some(channel) => channel,
            None => channel::Channel::connect(self.address, CONNECT.min(limit))
                .await
                .map_err(|_| verdict::Verdict::NotRun)?,
        };
        let exchange = exchange(&mut channel, call);
        let left = clock::now().until(call.deadline);
        let (reply, keeps) = tokio::time::timeout(left, exchange)
            .await
            .ok()
            .flatten()
            .ok_or(verdict::Verdict::MayHaveRun)?;
        if keeps {
            self.put(channel);
        }
        Ok(reply)
    }

    /// Closes all channels that are kept, since one of them has fallen silent.
    pub fn close(&self) {
        self.idle.borrow_mut().clear();
    }

    fn take(&self) -> Option<channel::Channel> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        while let Some(kept) = idle.pop() {
            if kept.until > now && kept.channel.is_quiet() {
                return Some(kept.channel);
            }
        }
        None
    }

    fn put(&self, channel: channel::Channel) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE && channel.inbox.is_empty() {
            let until = clock::now().after(MAX_IDLE_TIME);
            idle.push(Idle { channel, until });
        }
    }
}

async fn exchange(channel: &mut channel::Channel, call: &Call<'_>) -> Option<(Reply, bool)> {
    let mut head = String::with_capacity(256);
    let length = call.body.len();
    // Writing to a string cannot fail.
    let _ = write!(
        head,
        "{} {} HTTP/1.1\r\nHost: platform\r\n{}Content-Length: {length}\r\n\r\n",
        call.method, call.path, call.headers
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(call.body);
    channel::write_all(&channel.stream, &bytes).await.ok()?;
    let head = read_head(channel).await?;
    let framing = head.answer_framing(call.method).ok()?;
    let body = read_body(channel, framing).await?;
    let keeps = head.keeps_channel() && framing != framing::Framing::Close;
    let reply = Reply {
        status: head.status(),
        body,
    };
    Some((reply, keeps))
}

async fn read_head(channel: &mut channel::Channel) -> Option<head::Head> {
    loop {
        if let Some(parsed) = head::answer(&channel.inbox).ok()? {
            let _ = channel.inbox.split_to(parsed.length);
            if parsed.head.status() >= 200 {
                return Some(parsed.head);
            }
            continue;
        }
        if channel.inbox.len() > MAX_HEAD || channel.fill().await.ok()? == 0 {
            return None;
        }
    }
}

/// Reads a whole body of bounded length.
pub(crate) async fn read_body(
    channel: &mut channel::Channel,
    framing: framing::Framing,
) -> Option<Bytes> {
    let mut decoder = framing::Decoder::new(framing);
    let mut body = BytesMut::new();
    loop {
        while let Some(piece) = decoder.take(&mut channel.inbox).ok()? {
            body.extend_from_slice(&piece);
            if body.len() > MAX_BODY {
                return None;
            }
        }
        if decoder.is_done() {
            return Some(body.freeze());
        }
        if channel.fill().await.ok()? == 0 {
            return decoder.ends_with_channel().then(|| body.freeze());
        }
    }
}
