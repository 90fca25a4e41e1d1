//! Scripted engines.

use std::cell;
use std::collections;
use std::io::Write as _;
use std::net;
use std::os::fd::AsFd as _;
use std::rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

use super::LIMIT;

thread_local! {
    static LATE: cell::RefCell<Vec<Late>> = const { cell::RefCell::new(Vec::new()) };
}

/// Bytes to be sent on a kept connection.
struct Late {
    socket: net::TcpStream,
    bytes: Vec<u8>,
}

/// Sends the bytes of each [`Reply::Late`] so far on its connection.
pub fn send_late() {
    for mut late in LATE.take() {
        late.socket.write_all(&late.bytes).unwrap();
    }
}

/// What a scripted engine does with a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Sends bytes and keeps the connection; `{id}` stands for the request's id.
    Keep(String),
    /// Sends bytes and closes the connection.
    Close(String),
    /// Sends bytes and resets the connection.
    Reset(String),
    /// Sends bytes and then nothing more.
    Hang(String),
    /// Answers after the head, without reading the body.
    Early(String),
    /// Answers after the head, without reading the body, and sends the other bytes again and again
    /// until the relay takes no more of them for a while; then resets the connection.
    EarlyReset(String, String),
    /// Sends bytes before it reads the body and others after it, and closes the connection if set.
    EarlyPart(String, String, bool),
    /// Sends bytes, and then others again and again until the connection is closed.
    Endless(String, String),
    /// Sends bytes and so many more, and then nothing more.
    Filled(String, usize),
    /// Sends bytes and keeps the connection; sends the others on it once the relay has read its
    /// next request, before it selects a connection for it.
    Late(String, String),
    /// Sends bytes, nothing for a while, and then the others; keeps the connection.
    Paused(String, Duration, String),
    /// Sends bytes in several parts with pauses and keeps the connection.
    Parts(Vec<String>),
}

/// A request as an engine received it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub head: String,
    pub body: Vec<u8>,
}

impl Seen {
    pub fn header(&self, name: &str) -> Option<String> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name)
                .then(|| String::from(value.trim()))
        })
    }
}

/// An engine that answers by a script.
pub struct Engine {
    pub address: net::SocketAddr,
    pub seen: rc::Rc<cell::RefCell<Vec<Seen>>>,
    pub connections: rc::Rc<cell::Cell<usize>>,
    /// Channels whose other end has gone while they hung.
    pub left: rc::Rc<cell::Cell<usize>>,
    /// Bytes that were taken of responses without an end.
    pub flooded: rc::Rc<cell::Cell<usize>>,
}

impl Engine {
    pub async fn start(replies: Vec<Reply>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let engine = Self::at(listener.local_addr().unwrap());
        let script = rc::Rc::new(cell::RefCell::new(collections::VecDeque::from(replies)));
        let connections = engine.connections.clone();
        let served = Served {
            seen: engine.seen.clone(),
            left: engine.left.clone(),
            flooded: engine.flooded.clone(),
        };
        tokio::task::spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                connections.set(connections.get() + 1);
                tokio::task::spawn_local(serve(stream, script.clone(), served.clone()));
            }
        });
        engine
    }

    /// An engine that is served elsewhere.
    pub fn at(address: net::SocketAddr) -> Self {
        Self {
            address,
            seen: rc::Rc::default(),
            connections: rc::Rc::default(),
            left: rc::Rc::default(),
            flooded: rc::Rc::default(),
        }
    }

    pub fn runs(&self) -> usize {
        self.seen.borrow().len()
    }
}

/// What an engine notes of its connections.
#[derive(Clone)]
struct Served {
    seen: rc::Rc<cell::RefCell<Vec<Seen>>>,
    left: rc::Rc<cell::Cell<usize>>,
    flooded: rc::Rc<cell::Cell<usize>>,
}

async fn serve(
    mut stream: TcpStream,
    script: rc::Rc<cell::RefCell<collections::VecDeque<Reply>>>,
    served: Served,
) {
    let mut bytes = Vec::new();
    loop {
        let Some(head) = until(&mut stream, &mut bytes, b"\r\n\r\n").await else {
            return;
        };
        let head = String::from_utf8(head).unwrap();
        let mut request = Seen {
            head,
            body: Vec::new(),
        };
        let reply = script.borrow_mut().pop_front();
        let is_early = matches!(reply, Some(Reply::Early(_) | Reply::EarlyReset(..)));
        let length = request.header("content-length");
        let length: usize = length.map_or(0, |l| l.parse().unwrap());
        let id = request.header("x-id").unwrap_or_default();
        let text = |t: &str| t.replace("{id}", &id).into_bytes();
        if let Some(Reply::EarlyPart(t, ..)) = &reply {
            stream.write_all(&text(t)).await.unwrap();
        }
        if !is_early {
            while bytes.len() < length {
                if stream.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
                    return;
                }
            }
            request.body = bytes.drain(..length).collect();
        }
        served.seen.borrow_mut().push(request);
        match reply {
            Some(Reply::Keep(t)) => stream.write_all(&text(&t)).await.unwrap(),
            Some(Reply::Early(t)) => {
                stream.write_all(&text(&t)).await.unwrap();
                let _ = stream.read_buf(&mut bytes).await;
                tokio::time::sleep(LIMIT).await;
                return;
            }
            Some(Reply::EarlyReset(t, more)) => {
                const PAUSE: Duration = Duration::from_millis(200);
                stream.write_all(&text(&t)).await.unwrap();
                let more = text(&more);
                let filled = async { while stream.write_all(&more).await.is_ok() {} };
                let progress = served.flooded.clone();
                let _ = tokio::time::timeout(PAUSE, filled).await;
                progress.set(progress.get() + 1);
                stream.set_zero_linger().unwrap();
                return;
            }
            Some(Reply::EarlyPart(_, rest, closes)) => {
                stream.write_all(&text(&rest)).await.unwrap();
                if closes {
                    return;
                }
            }
            Some(Reply::Close(t)) => {
                stream.write_all(&text(&t)).await.unwrap();
                return;
            }
            Some(Reply::Reset(t)) => {
                stream.write_all(&text(&t)).await.unwrap();
                // The bytes are to arrive before the reset.
                tokio::time::sleep(Duration::from_millis(50)).await;
                stream.set_zero_linger().unwrap();
                return;
            }
            Some(Reply::Hang(t)) => {
                stream.write_all(&text(&t)).await.unwrap();
                let mut rest = Vec::new();
                let _ = stream.read_to_end(&mut rest).await;
                served.left.set(served.left.get() + 1);
                return;
            }
            Some(Reply::Endless(t, more)) => {
                stream.write_all(&text(&t)).await.unwrap();
                let more = text(&more);
                while stream.write_all(&more).await.is_ok() {
                    served.flooded.set(served.flooded.get() + more.len());
                    tokio::task::yield_now().await;
                }
                served.left.set(served.left.get() + 1);
                return;
            }
            Some(Reply::Filled(t, count)) => {
                const PIECE: [u8; 4_096] = [b'a'; 4_096];
                stream.write_all(&text(&t)).await.unwrap();
                for _ in 0..count / PIECE.len() {
                    if stream.write_all(&PIECE).await.is_err() {
                        break;
                    }
                    served.flooded.set(served.flooded.get() + PIECE.len());
                }
                let mut rest = [0; 16];
                // Until the relay closes the connection.
                let _ = stream.read(&mut rest).await;
                served.left.set(served.left.get() + 1);
                return;
            }
            Some(Reply::Late(t, late)) => {
                stream.write_all(&text(&t)).await.unwrap();
                let socket = stream.as_fd().try_clone_to_owned().unwrap().into();
                let bytes = text(&late);
                LATE.with_borrow_mut(|all| all.push(Late { socket, bytes }));
            }
            Some(Reply::Paused(t, pause, rest)) => {
                stream.write_all(&text(&t)).await.unwrap();
                tokio::time::sleep(pause).await;
                // The relay may have closed the connection.
                let _ = stream.write_all(&text(&rest)).await;
            }
            Some(Reply::Parts(parts)) => {
                for part in parts {
                    // The relay may close the connection after a part.
                    let _ = stream.write_all(&text(&part)).await;
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
            None => return,
        }
    }
}

/// Reads up to and including a mark.
pub async fn until(stream: &mut TcpStream, bytes: &mut Vec<u8>, mark: &[u8]) -> Option<Vec<u8>> {
    loop {
        if let Some(at) = bytes.windows(mark.len()).position(|w| w == mark) {
            return Some(bytes.drain(..at + mark.len()).collect());
        }
        if stream.read_buf(bytes).await.ok()? == 0 {
            return None;
        }
    }
}
