//! Engines: each request runs once, for a while, and is answered whole.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Request};
use crate::site::{entry, Record};
use crate::store::Store;

/// A request that an engine ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub version: String,
    /// Status of its answer, 0 if the engine crashed.
    pub status: u16,
    pub ended: Instant,
}

/// What the engines have run.
#[derive(Default)]
pub struct Runs(Mutex<Vec<Run>>);

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.0
            .lock()
            .expect("no thread panics with the lock")
            .clone()
    }

    fn add(&self, run: Run) {
        let mut runs = self.0.lock().expect("no thread panics with the lock");
        runs.push(run);
    }
}

/// How the engines of a version work.
#[derive(Clone)]
pub struct Kind {
    pub service: String,
    pub version: String,
    pub work: Duration,
    /// End of the engines' names.
    pub suffix: &'static str,
    /// Returns the status of the answer to a request.
    pub status: fn(&Request) -> u16,
    /// Returns `true` for a request that crashes the engine.
    pub crash: fn(&Request) -> bool,
    /// The events of each answer, if it is a stream.
    pub events: Option<Events>,
}

/// The events of a stream.
#[derive(Clone, Copy)]
pub struct Events {
    pub count: u32,
    /// Time before each event.
    pub gap: Duration,
}

impl Kind {
    /// Returns engines of version `v1` that answer each request with success.
    pub fn sound(service: &str, work: Duration) -> Self {
        Self {
            service: service.to_owned(),
            version: String::from("v1"),
            work,
            suffix: "",
            status: |_| 200,
            crash: |_| false,
            events: None,
        }
    }
}

/// One engine.
#[derive(Clone)]
pub struct Engine {
    pub name: String,
    pub version: String,
    address: SocketAddr,
    stopped: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

/// Starts engines and enters them in the store.
pub fn start(
    store: &Store,
    record: &Arc<Record>,
    runs: &Arc<Runs>,
    kind: &Kind,
    count: u32,
) -> io::Result<Vec<Engine>> {
    let name = |number| format!("{}-{}-{number}{}", kind.service, kind.version, kind.suffix);
    let numbers = 1..=count;
    numbers
        .map(|number| start_one(store, record, runs, kind, &name(number)))
        .collect()
}

/// Starts one engine and enters it in the store.
pub fn start_one(
    store: &Store,
    record: &Arc<Record>,
    runs: &Arc<Runs>,
    kind: &Kind,
    name: &str,
) -> io::Result<Engine> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let engine = Engine {
        name: name.to_owned(),
        version: kind.version.clone(),
        address: listener.local_addr()?,
        stopped: Arc::default(),
        streams: Arc::default(),
    };
    let entry = entry(&kind.service, &kind.version, engine.address, 64);
    let (own, kind, record, runs) = (engine.clone(), kind.clone(), record.clone(), runs.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if own.has_stopped() {
                return;
            }
            let mut all = own.streams.lock().expect("no thread panics with the lock");
            all.extend(stream.try_clone());
            drop(all);
            let (own, kind) = (own.clone(), kind.clone());
            let (record, runs) = (record.clone(), runs.clone());
            thread::spawn(move || serve(stream, &own, &kind, &record, &runs));
        }
    });
    store.set("servers", name, &entry);
    Ok(engine)
}

impl Engine {
    /// Returns `true` if it was stopped or has crashed.
    pub fn has_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Ends the engine at once.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        // Wakes the thread that accepts connections, which then ends.
        let _ = TcpStream::connect(self.address);
        let streams = self.streams.lock().expect("no thread panics with the lock");
        for stream in streams.iter() {
            // The other side may have closed it.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(
    stream: TcpStream,
    engine: &Engine,
    kind: &Kind,
    record: &Record,
    runs: &Runs,
) -> io::Result<()> {
    let name = engine.name.as_str();
    let mut connection = Connection::new(stream);
    loop {
        let request = connection.request()?;
        let id = request.headers.get("request-id").to_owned();
        let expected = request.headers.get("expect-instance");
        if !expected.is_empty() && expected != name {
            let headers = format!("Request-Id: {id}\r\nNot-Run: 1\r\n");
            connection.respond(421, &headers, b"")?;
            continue;
        }
        let crashes = (kind.crash)(&request);
        let status = if crashes { 0 } else { (kind.status)(&request) };
        thread::sleep(kind.work);
        record.add(&format!("run {id} at {name}: {status}"));
        runs.add(Run {
            id: id.clone(),
            version: kind.version.clone(),
            status,
            ended: Instant::now(),
        });
        if crashes {
            record.add(&format!("{name} crashes under {id}"));
            engine.stop();
            return Ok(());
        }
        let headers = format!("Request-Id: {id}\r\nResponse-Stamp: {name}.1\r\n");
        if let Some(events) = kind.events {
            stream_events(&connection, &headers, events)?;
            record.add(&format!("run {id} at {name}: complete"));
            continue;
        }
        connection.respond(status, &headers, format!("done {id}\n").as_bytes())?;
    }
}

/// Answers with a stream of events in chunks; fails once the other side has closed the connection.
fn stream_events(connection: &Connection, headers: &str, events: Events) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    connection.write(head.as_bytes())?;
    for id in 1..=events.count {
        thread::sleep(events.gap);
        let event = format!("id: {id}\ndata: t{id}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        connection.write(chunk.as_bytes())?;
    }
    connection.write(b"0\r\n\r\n")
}
