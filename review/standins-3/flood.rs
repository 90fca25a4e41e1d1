//! Streams with events of some kilobytes while a crowd of clients holds incomplete bodies.
//!
//! Engines, ordinary callers and the crowd are threads of this process. Exit status: 0 if each stream
//! that was answered was whole or was seen to be cut, 1 if not, 2 if the case could not run.
//!
//! The fronts and the store are those of the first review.

#![allow(dead_code)]

#[path = "../standins/http.rs"]
mod http;
#[path = "../standins/json.rs"]
mod json;
#[path = "../standins/site.rs"]
mod site;
#[path = "../standins/store.rs"]
mod store;
mod wire;

use std::io::{Read, Write};
use std::net;
use std::process;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use site::{Record, Site};
use wire::Connection;

/// Events of each stream.
const EVENTS: u32 = 40;
/// Time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Data of a long event and of the others in bytes.
const LONG_DATA: usize = 20_000;
const SHORT_DATA: usize = 60;
/// Ordinary callers, each with one stream at a time.
const CALLERS: u32 = 8;
/// Clients of the crowd that announce a long body, and those that send a short one in chunks.
const LONG_CLIENTS: usize = 45;
const SHORT_CLIENTS: usize = 1_050;
/// Bytes of a long body and of a short one; each client stops short of them.
const LONG_BYTES: usize = 700_000;
const SHORT_BYTES: usize = 16_300;
const MISSING_BYTES: usize = 200;
/// How long the crowd is there, and how long callers ask in all.
const CROWD_TIME: Duration = Duration::from_secs(25);
const CALL_TIME: Duration = Duration::from_secs(32);
/// Time before the crowd comes.
const CALM_TIME: Duration = Duration::from_secs(4);

const MANIFEST: &str = "{\"version\":1,\"routes\":[{\"name\":\"ask\",\"host\":\"site.example\",\
    \"pathPrefix\":\"/ask/\",\"kind\":\"streaming\",\"timeoutMs\":10000,\"goalMs\":2000,\
    \"service\":\"model\",\"maxAttempts\":2,\"resumable\":true,\"gapGoalMs\":500}],\
    \"services\":[{\"name\":\"model\",\"maxConnections\":370,\"engine\":{\"slots\":64}}],\
    \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
    \"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"ward\",\"apiKeys\":[\"secret\"]}]}";
/// Settings of the smallest machines of the site, which replace those of the same name.
const SETTINGS: &str = "limits.memoryMb=120\nlimits.maxFds=3075\n";

struct Shared {
    log: Arc<Record>,
    start: Instant,
    broken: AtomicU64,
    whole: AtomicU64,
    cut: AtomicU64,
    refused: AtomicU64,
    ends: AtomicBool,
}

impl Shared {
    fn record(&self, text: &str) {
        self.log.add(text);
    }
}

/// Returns the data of an event, the same at each engine: every fifth one is long.
fn data(event: u32) -> String {
    let text = format!("t{event}-");
    let length = match event % 5 {
        1 => LONG_DATA,
        _ => SHORT_DATA,
    };
    text.repeat(1 + length / text.len())
}

fn main() {
    process::exit(match run() {
        Ok(status) => status,
        Err(fault) => {
            eprintln!("the case could not run: {fault}");
            2
        }
    });
}

/// Runs the case and returns its exit status.
fn run() -> std::io::Result<i32> {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut site = Site::start(SETTINGS)?;
    let shared = Arc::new(Shared {
        log: Record::create()?,
        start: Instant::now(),
        broken: AtomicU64::new(0),
        whole: AtomicU64::new(0),
        cut: AtomicU64::new(0),
        refused: AtomicU64::new(0),
        ends: AtomicBool::new(false),
    });
    for number in 1..=3 {
        let name = format!("streamer-{number}");
        let address = start_engine(&name, &shared);
        site.store
            .set("servers", &name, &site::entry("model", "v1", address, 64));
    }
    site.store.set("config", "main", MANIFEST);
    site.launch()?;
    let front = site.fronts[0].front;
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let shared = shared.clone();
            thread::spawn(move || run_caller(&shared, front, caller))
        })
        .collect();
    if has_trouble {
        thread::sleep(CALM_TIME);
        let crowd = shared.clone();
        thread::spawn(move || run_crowd(&crowd, front));
    }
    for caller in callers {
        let _ = caller.join();
    }
    let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    let (whole, cut) = (count(&shared.whole), count(&shared.cut));
    let (refused, broken) = (count(&shared.refused), count(&shared.broken));
    let result =
        format!("streams: whole {whole}, seen to be cut {cut}, refused {refused}, WRONG {broken}");
    shared.record(&result);
    println!("{result}");
    Ok(match (broken, whole) {
        (0, 0) => 2,
        (0, _) => 0,
        _ => 1,
    })
}

/// Starts an engine on a free port.
fn start_engine(name: &str, shared: &Arc<Shared>) -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("port of an engine");
    let address = listener.local_addr().expect("address of an engine");
    let (name, shared) = (name.to_owned(), shared.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, shared) = (name.clone(), shared.clone());
            thread::spawn(move || {
                let _ = serve(&name, &shared, Connection::new(stream));
            });
        }
    });
    address
}

/// Serves the requests of one connection; a stream is never broken off by the engine.
fn serve(name: &str, shared: &Shared, mut connection: Connection) -> std::io::Result<()> {
    loop {
        let head = connection.head()?;
        connection.body(&head)?;
        let id = head.get("Request-Id").to_owned();
        if head.get("Expect-Instance") != name {
            let refusal = format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nNot-Run: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            connection.send(refusal.as_bytes())?;
            continue;
        }
        let after: u32 = head.get("Last-Event-Id").parse().unwrap_or(0);
        shared.record(&format!("engine {name} runs {id} after event {after}"));
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: {name}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        connection.send(answer.as_bytes())?;
        for event in after + 1..=EVENTS {
            let event = format!("id: {event}\ndata: {}\n\n", data(event));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if connection.send(chunk.as_bytes()).is_err() {
                shared.record(&format!("engine {name}: {id} was closed by the front"));
                return Ok(());
            }
            thread::sleep(EVENT_INTERVAL);
        }
        connection.send(b"0\r\n\r\n")?;
    }
}

/// How a stream ended for its caller.
enum End {
    Whole,
    /// The channel ended early, which the caller can see.
    Cut(String),
    Refused(u16),
    Wrong(String),
}

fn run_caller(shared: &Shared, front: net::SocketAddr, caller: u32) {
    let mut number = 0;
    while shared.start.elapsed() < CALL_TIME {
        number += 1;
        let id = format!("stream-{caller}-{number}");
        let end = ask(front, &id);
        let (counter, text) = match end {
            End::Whole => (&shared.whole, String::from("whole")),
            End::Cut(why) => (&shared.cut, format!("cut: {why}")),
            End::Refused(status) => (&shared.refused, format!("refused: {status}")),
            End::Wrong(why) => (&shared.broken, format!("WRONG: {why}")),
        };
        counter.fetch_add(1, Ordering::SeqCst);
        shared.record(&format!("caller gets {id}: {text}"));
        thread::sleep(Duration::from_millis(50));
    }
    shared.ends.store(true, Ordering::SeqCst);
}

fn ask(front: net::SocketAddr, id: &str) -> End {
    let Ok(mut connection) = Connection::connect(front, Duration::from_secs(12)) else {
        return End::Cut(String::from("no channel"));
    };
    let request = format!(
        "POST /ask/1 HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
         Token-Counts: 100,160\r\nPrompt-Prefix: 5c1e07a2:100\r\nDeadline-Ms: 10000\r\n\
         X-Api-Key: secret\r\nContent-Length: 4\r\n\r\nwhat"
    );
    if connection.send(request.as_bytes()).is_err() {
        return End::Cut(String::from("closed before the request"));
    }
    // What comes first must be the head of an answer.
    while connection.buffer.len() < 5 {
        if let Err(fault) = connection.fill() {
            return End::Cut(format!("no answer: {fault}"));
        }
    }
    if !connection.buffer.starts_with(b"HTTP/") {
        let first = String::from_utf8_lossy(&connection.buffer[..connection.buffer.len().min(40)]);
        return End::Wrong(format!("no head of an answer, but {first:?}"));
    }
    let head = match connection.head() {
        Ok(head) => head,
        Err(fault) => return End::Cut(format!("within the head: {fault}")),
    };
    if head.status() != 200 {
        return End::Refused(head.status());
    }
    read_events(&mut connection)
}

fn read_events(connection: &mut Connection) -> End {
    let (mut text, mut last) = (String::new(), 0);
    loop {
        let chunk = match connection.chunk() {
            Ok(chunk) => chunk,
            Err(fault) if fault.kind() == std::io::ErrorKind::InvalidData => {
                return End::Wrong(format!("bytes that are no chunk after event {last}"));
            }
            Err(fault) => return End::Cut(format!("after event {last}: {fault}")),
        };
        if chunk.is_empty() {
            break;
        }
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            let expected = format!("id: {}\ndata: {}\n\n", last + 1, data(last + 1));
            if event != expected {
                let first = event.lines().next().unwrap_or("");
                return End::Wrong(format!("after event {last} comes {first:?}"));
            }
            last += 1;
        }
    }
    match last == EVENTS && text.is_empty() {
        true => End::Whole,
        false => End::Wrong(format!("ends as complete after event {last} of {EVENTS}")),
    }
}

/// A client of the crowd: it sends most of a body and stays.
struct Client {
    stream: net::TcpStream,
    bytes: Vec<u8>,
    sent: usize,
}

fn run_crowd(shared: &Shared, front: net::SocketAddr) {
    let begun = Instant::now();
    let mut clients: Vec<Option<Client>> =
        (0..LONG_CLIENTS + SHORT_CLIENTS).map(|_| None).collect();
    let mut opened = 0_u64;
    shared.record("the crowd comes");
    while begun.elapsed() < CROWD_TIME && !shared.ends.load(Ordering::SeqCst) {
        for (index, slot) in clients.iter_mut().enumerate() {
            match slot {
                None => {
                    *slot = open(front, index < LONG_CLIENTS, opened);
                    opened += u64::from(slot.is_some());
                }
                Some(client) => {
                    if !advance(client) {
                        *slot = None;
                    }
                }
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    shared.record(&format!("the crowd leaves; it opened {opened} channels"));
}

fn open(front: net::SocketAddr, is_long: bool, number: u64) -> Option<Client> {
    let stream = net::TcpStream::connect_timeout(&front, Duration::from_millis(200)).ok()?;
    stream.set_nonblocking(true).ok()?;
    let head = format!(
        "POST /ask/1 HTTP/1.1\r\nHost: site.example\r\nRequest-Id: crowd-{number}\r\n\
         Deadline-Ms: 10000\r\n"
    );
    let (framing, length) = match is_long {
        true => (format!("Content-Length: {LONG_BYTES}\r\n\r\n"), LONG_BYTES),
        false => (
            format!("Transfer-Encoding: chunked\r\n\r\n{SHORT_BYTES:x}\r\n"),
            SHORT_BYTES,
        ),
    };
    let mut bytes = (head + &framing).into_bytes();
    bytes.resize(bytes.len() + length - MISSING_BYTES, b'x');
    Some(Client {
        stream,
        bytes,
        sent: 0,
    })
}

/// Sends what the channel takes; returns `false` if it has ended.
fn advance(client: &mut Client) -> bool {
    let is_blocked = |e: &std::io::Error| e.kind() == std::io::ErrorKind::WouldBlock;
    if client.sent < client.bytes.len() {
        match client.stream.write(&client.bytes[client.sent..]) {
            Ok(count) => client.sent += count,
            Err(fault) if is_blocked(&fault) => {}
            Err(_) => return false,
        }
    }
    match client.stream.read(&mut [0; 512]) {
        Ok(0) => false,
        Ok(_) => true,
        Err(fault) => is_blocked(&fault),
    }
}
