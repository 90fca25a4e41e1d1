//! Small stand-ins for the scripts of this review, with the standard library alone: the platform's
//! store, its API of duties, engines, and a client. They do what the users' pages say.

#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};
use std::fs;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Locks a mutex, also after a thread has failed with it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

// --- record -------------------------------------------------------------------------------------

/// The file in which a script notes what was sent, answered and run.
pub struct Record {
    start: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Arc<Self>> {
        let file = Mutex::new(fs::File::create(path)?);
        Ok(Arc::new(Self {
            start: Instant::now(),
            file,
        }))
    }

    pub fn note(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.file), "{at:8.3} {text}");
    }

    /// Notes a line and prints it.
    pub fn say(&self, text: &str) {
        self.note(text);
        println!("{text}");
    }
}

// --- JSON ---------------------------------------------------------------------------------------

/// Returns the text of a member of a JSON object.
pub fn member<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    members(json)
        .into_iter()
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Returns the members of a JSON object: names without quotes, and the text of the values.
pub fn members(json: &str) -> Vec<(&str, &str)> {
    let bytes = json.as_bytes();
    let mut found = Vec::new();
    let mut at = skip_blank(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return found;
    }
    at = skip_blank(bytes, at + 1);
    while bytes.get(at) == Some(&b'"') {
        let end = value_end(bytes, at);
        let key = &json[at + 1..end - 1];
        at = skip_blank(bytes, end);
        if bytes.get(at) != Some(&b':') {
            return found;
        }
        at = skip_blank(bytes, at + 1);
        let end = value_end(bytes, at);
        found.push((key, &json[at..end]));
        at = skip_blank(bytes, end);
        if bytes.get(at) == Some(&b',') {
            at = skip_blank(bytes, at + 1);
        }
    }
    found
}

fn skip_blank(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

fn value_end(bytes: &[u8], start: usize) -> usize {
    let (mut at, mut depth, mut quoted) = (start, 0, false);
    while let Some(byte) = bytes.get(at) {
        if quoted {
            match byte {
                b'\\' => at += 1,
                b'"' => {
                    quoted = false;
                    if depth == 0 {
                        return at + 1;
                    }
                }
                _ => {}
            }
        } else {
            match byte {
                b'"' => quoted = true,
                b'{' | b'[' => depth += 1,
                b'}' | b']' if depth == 0 => return at,
                b'}' | b']' => {
                    depth -= 1;
                    if depth == 0 {
                        return at + 1;
                    }
                }
                b',' | b':' if depth == 0 => return at,
                b if depth == 0 && b.is_ascii_whitespace() => return at,
                _ => {}
            }
        }
        at += 1;
    }
    bytes.len()
}

/// Returns the text of a JSON string without its quotes.
pub fn text(value: &str) -> String {
    value.trim_matches('"').to_string()
}

// --- HTTP ---------------------------------------------------------------------------------------

/// A message: a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Words of the first line.
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_string())
}

/// Reads a message whose body has a length or is chunked; interim responses are skipped.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Message> {
    loop {
        let mut message = Message {
            first: Vec::new(),
            ..Message::default()
        };
        message.first = line(reader)?.split(' ').map(String::from).collect();
        loop {
            let line = line(reader)?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            message
                .headers
                .push((name.trim().to_string(), value.trim().to_string()));
        }
        if message.first[0].starts_with("HTTP/") && message.status() < 200 {
            continue;
        }
        if message.header("transfer-encoding") == "chunked" {
            loop {
                let size = line(reader)?;
                let size =
                    usize::from_str_radix(&size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
                let mut part = vec![0; size];
                reader.read_exact(&mut part)?;
                message.body.extend(part);
                line(reader)?;
                if size == 0 {
                    break;
                }
            }
        } else {
            let length = message.header("content-length").parse().unwrap_or(0);
            message.body = vec![0; length];
            reader.read_exact(&mut message.body)?;
        }
        return Ok(message);
    }
}

/// Writes a response with a body.
pub fn respond(mut to: &TcpStream, status: u16, headers: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    to.write_all(head.as_bytes())
}

/// Serves each connection of a listener in a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
}

/// Sends a request on a connection of its own and returns the response.
pub fn ask(address: SocketAddr, request: &str, limit: Duration) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(limit))?;
    stream.set_read_timeout(Some(limit))?;
    (&stream).write_all(request.as_bytes())?;
    let message = read_message(&mut BufReader::new(&stream));
    let _ = stream.shutdown(Shutdown::Both);
    message
}

// --- store --------------------------------------------------------------------------------------

/// How the store treats calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    Up,
    /// Rejects each call: 503.
    Busy,
    /// Answers nothing.
    Silent,
    /// Does writes and loses the answers of this share of them, in percent.
    Lost(u64),
    /// Does this share of the writes, in percent, so much later if the condition still holds, and
    /// does not answer them.
    Late(u64, Duration),
}

#[derive(Clone, Debug)]
struct Object {
    revision: u64,
    spec: String,
    status: String,
}

type Objects = BTreeMap<(String, String), Object>;

struct Copy {
    at: Instant,
    revision: u64,
    objects: Objects,
}

struct State {
    /// How it treats the calls that come to each of its ports.
    modes: Vec<Mode>,
    /// Writes so far, from which it follows which answers are lost.
    writes: u64,
    era: u64,
    /// Revisions below which the history of this era does not reach.
    first: u64,
    revision: u64,
    objects: Objects,
    history: Vec<(u64, String, String)>,
    copies: VecDeque<Copy>,
}

/// The platform's store.
pub struct Store {
    /// Its addresses; each machine may be given one of its own.
    pub addresses: Vec<SocketAddr>,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

impl Store {
    /// Starts it; it copies itself twice a second.
    pub fn start(listeners: Vec<TcpListener>, record: &Arc<Record>) -> Arc<Self> {
        let addresses = listeners
            .iter()
            .map(|l| l.local_addr().expect("address of the store"));
        let store = Arc::new(Self {
            addresses: addresses.collect(),
            state: Mutex::new(State {
                modes: vec![Mode::Up; listeners.len()],
                writes: 0,
                era: 1,
                first: 1,
                revision: 1,
                objects: BTreeMap::new(),
                history: Vec::new(),
                copies: VecDeque::new(),
            }),
            changed: Condvar::new(),
            record: record.clone(),
        });
        for (port, listener) in listeners.into_iter().enumerate() {
            let served = store.clone();
            serve(listener, move |stream| served.serve(port, stream));
        }
        let copied = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(500));
                copied.copy();
            }
        });
        store
    }

    fn copy(&self) {
        let mut state = lock(&self.state);
        let copy = Copy {
            at: Instant::now(),
            revision: state.revision,
            objects: state.objects.clone(),
        };
        state.copies.push_back(copy);
        if state.copies.len() > 40 {
            state.copies.pop_front();
        }
    }

    /// Sets how it treats all calls.
    pub fn set_mode(&self, mode: Mode) {
        self.record.say(&format!("store: {mode:?}"));
        lock(&self.state).modes.fill(mode);
        self.changed.notify_all();
    }

    /// Sets how it treats the calls to one of its ports.
    pub fn set_mode_at(&self, port: usize, mode: Mode) {
        self.record.say(&format!("store: {mode:?} at port {port}"));
        lock(&self.state).modes[port] = mode;
        self.changed.notify_all();
    }

    /// Comes back from the newest copy that was made before `at`.
    pub fn return_from(&self, at: Instant) {
        let mut guard = lock(&self.state);
        let state = &mut *guard;
        // Copies that are newer than the one it comes back from are gone as well.
        while state.copies.len() > 1 && state.copies.back().is_some_and(|copy| copy.at > at) {
            state.copies.pop_back();
        }
        let copy = state.copies.back().expect("a copy");
        let age = copy.at.elapsed().as_secs_f64();
        state.era += 1;
        state.revision = copy.revision;
        state.first = copy.revision;
        state.objects = copy.objects.clone();
        state.history.clear();
        state.modes.fill(Mode::Up);
        let names: Vec<_> = state
            .objects
            .keys()
            .map(|(k, n)| format!("{k}/{n}"))
            .collect();
        self.record.say(&format!(
            "store: back in era {} from a copy made {age:.1} s ago",
            state.era
        ));
        self.record
            .note(&format!("store: holds {}", names.join(" ")));
        drop(guard);
        self.changed.notify_all();
    }

    /// Writes an object as the operator or an engine does; returns `false` if the store is not up. An
    /// engine's entry changes when more than `seq` changes.
    pub fn write(&self, kind: &str, name: &str, spec: &str) -> bool {
        let mut state = lock(&self.state);
        if matches!(state.modes[0], Mode::Busy | Mode::Silent) {
            return false;
        }
        let known = state.objects.get_mut(&(kind.into(), name.into()));
        if let Some(object) = known
            && kind == "servers"
            && without_seq(&object.spec) == without_seq(spec)
        {
            object.spec = spec.to_string();
            return true;
        }
        let status = state
            .objects
            .get(&(kind.into(), name.into()))
            .map(|o| o.status.clone());
        state.put(
            kind,
            name,
            spec.to_string(),
            status.unwrap_or_else(|| "null".into()),
        );
        drop(state);
        self.changed.notify_all();
        true
    }

    pub fn remove(&self, kind: &str, name: &str) {
        lock(&self.state).remove(kind, name);
        self.changed.notify_all();
    }

    /// Returns the status of an object.
    pub fn status(&self, kind: &str, name: &str) -> String {
        let state = lock(&self.state);
        let object = state.objects.get(&(kind.into(), name.into()));
        object.map_or(String::new(), |object| object.status.clone())
    }

    fn serve(self: &Arc<Self>, port: usize, stream: TcpStream) {
        let mut reader = BufReader::new(&stream);
        while let Ok(request) = read_message(&mut reader) {
            let (mode, era, draw) = {
                let mut state = lock(&self.state);
                let is_write = request.first[0] != "GET";
                state.writes += u64::from(is_write);
                let draw = if is_write {
                    state.writes * 37 % 100
                } else {
                    100
                };
                (state.modes[port], state.era, draw)
            };
            let (status, body) = match mode {
                Mode::Busy => (503, String::from("{}")),
                Mode::Silent => return self.wait_up(port, &stream),
                Mode::Late(share, delay) if draw < share => {
                    let late = self.clone();
                    thread::spawn(move || {
                        thread::sleep(delay);
                        let (status, _) = late.call(port, &request);
                        late.note(&request, &format!("{status}, late"));
                    });
                    return;
                }
                Mode::Lost(share) if draw < share => {
                    let (status, _) = self.call(port, &request);
                    self.note(&request, &format!("{status}, answer lost"));
                    return;
                }
                _ => self.call(port, &request),
            };
            let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            self.note(&request, &status.to_string());
            // What an earlier era says is not answered any more.
            if status == 0
                || lock(&self.state).era != era
                || respond(&stream, status, &headers, &body).is_err()
            {
                return;
            }
        }
    }

    fn note(&self, request: &Message, result: &str) {
        if request.first[0] != "GET" {
            let sent = request.text();
            let sent: String = sent.chars().take(300).collect();
            let (method, path) = (&request.first[0], &request.first[1]);
            self.record
                .note(&format!("store: {method} {path} {sent} -> {result}"));
        }
    }

    /// A channel on which a response is lost returns nothing further.
    fn wait_up(&self, port: usize, stream: &TcpStream) {
        while lock(&self.state).modes[port] == Mode::Silent {
            thread::sleep(Duration::from_millis(50));
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn call(&self, port: usize, request: &Message) -> (u16, String) {
        let (path, query) = request.first[1]
            .split_once('?')
            .unwrap_or((&request.first[1], ""));
        let Some(rest) = path.strip_prefix("/guavausher/objects/") else {
            return (404, "{}".into());
        };
        let parts: Vec<&str> = rest.split('/').collect();
        let kind = parts[0];
        let query = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_string())
        };
        let body = request.text();
        let metadata = member(&body, "metadata").unwrap_or("{}");
        let condition = member(metadata, "revision")
            .map(str::to_string)
            .or_else(|| query("revision"));
        let spec = member(&body, "spec").unwrap_or("null").to_string();
        let mut state = lock(&self.state);
        let reply = match (request.first[0].as_str(), &parts[..]) {
            ("GET", [_]) => match query("watch").and_then(|since| since.parse().ok()) {
                Some(since) => {
                    drop(state);
                    let wait = query("waitMs").and_then(|w| w.parse().ok()).unwrap_or(0);
                    return self.watch(port, kind, since, Duration::from_millis(wait));
                }
                None => (200, state.list(kind, &query("after").unwrap_or_default())),
            },
            ("GET", [_, name]) => match state.get(kind, name) {
                Some(object) => (200, object),
                None => (404, "{}".into()),
            },
            ("POST", [_]) => {
                let name = text(member(metadata, "name").unwrap_or(""));
                match state.get(kind, &name) {
                    Some(object) => (409, object),
                    None => (200, state.put(kind, &name, spec, "null".into())),
                }
            }
            ("PUT", [_, name, rest @ ..]) => {
                let known = state
                    .objects
                    .get(&(kind.to_string(), name.to_string()))
                    .cloned();
                match known {
                    None => (404, "{}".into()),
                    Some(known) if condition.is_some_and(|c| c != known.revision.to_string()) => {
                        (409, state.get(kind, name).unwrap_or_default())
                    }
                    Some(known) if rest == ["status"] => {
                        let status = member(&body, "status").unwrap_or("null").to_string();
                        (200, state.put(kind, name, known.spec, status))
                    }
                    Some(known) => (200, state.put(kind, name, spec, known.status)),
                }
            }
            ("DELETE", [_, name]) => match state.remove(kind, name) {
                true => (200, "{}".into()),
                false => (404, "{}".into()),
            },
            _ => (404, "{}".into()),
        };
        drop(state);
        if request.first[0] != "GET" {
            self.changed.notify_all();
        }
        reply
    }

    fn watch(&self, port: usize, kind: &str, since: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = lock(&self.state);
        let era = state.era;
        loop {
            // A watch that is waiting may be cut off.
            if matches!(state.modes[port], Mode::Busy | Mode::Silent) || state.era != era {
                return (0, String::new());
            }
            if since < state.first || since > state.revision {
                return (410, "{}".into());
            }
            let events: Vec<_> = state
                .history
                .iter()
                .filter(|(revision, of, _)| *revision > since && of == kind)
                .map(|(_, _, event)| event.clone())
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (
                    200,
                    format!("{{\"events\":[{events}],\"storeRevision\":{revision}}}"),
                );
            }
            state = self
                .changed
                .wait_timeout(state, left)
                .unwrap_or_else(|e| e.into_inner())
                .0;
        }
    }
}

impl State {
    fn get(&self, kind: &str, name: &str) -> Option<String> {
        let object = self.objects.get(&(kind.to_string(), name.to_string()))?;
        Some(encode(name, object))
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let all = self
            .objects
            .iter()
            .filter(|((k, name), _)| k == kind && name.as_str() > after);
        let items: Vec<_> = all
            .map(|((_, name), object)| encode(name, object))
            .collect();
        let revision = self.revision;
        format!(
            "{{\"items\":[{}],\"hasMore\":false,\"storeRevision\":{revision}}}",
            items.join(",")
        )
    }

    fn put(&mut self, kind: &str, name: &str, spec: String, status: String) -> String {
        let key = (kind.to_string(), name.to_string());
        let same = self
            .objects
            .get(&key)
            .is_some_and(|o| o.spec == spec && o.status == status);
        if !same {
            self.revision += 1;
            let object = Object {
                revision: self.revision,
                spec,
                status,
            };
            let event = format!("{{\"object\":{},\"deleted\":false}}", encode(name, &object));
            self.history.push((self.revision, kind.to_string(), event));
            self.objects.insert(key, object);
        }
        self.get(kind, name).unwrap_or_default()
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let Some(object) = self.objects.remove(&(kind.to_string(), name.to_string())) else {
            return false;
        };
        self.revision += 1;
        let event = format!("{{\"object\":{},\"deleted\":true}}", encode(name, &object));
        self.history.push((self.revision, kind.to_string(), event));
        true
    }
}

/// Returns the members of an entry but `seq`.
fn without_seq(entry: &str) -> Vec<(&str, &str)> {
    let all = members(entry).into_iter();
    all.filter(|(name, _)| *name != "seq").collect()
}

fn encode(name: &str, object: &Object) -> String {
    let Object {
        revision,
        spec,
        status,
    } = object;
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{spec},\"status\":{status}}}"
    )
}

// --- API of duties ------------------------------------------------------------------------------

/// A call of a duty that the platform has accepted.
#[derive(Clone, Debug)]
pub struct DutyCall {
    pub at: Instant,
    pub path: String,
    pub holder: String,
    pub fence: u64,
    pub body: String,
}

/// The platform's API of duties.
pub struct Cloud {
    pub address: SocketAddr,
    pub accepted: Mutex<Vec<DutyCall>>,
}

impl Cloud {
    pub fn start(listener: TcpListener, record: &Arc<Record>) -> Arc<Self> {
        let cloud = Arc::new(Self {
            address: listener.local_addr().expect("address of the API"),
            accepted: Mutex::default(),
        });
        let (served, record) = (cloud.clone(), record.clone());
        serve(listener, move |stream| {
            let mut reader = BufReader::new(&stream);
            while let Ok(request) = read_message(&mut reader) {
                let status = served.accept(&request);
                record.note(&format!(
                    "platform: {} holder {} fence {} {} -> {status}",
                    request.first[1],
                    request.header("Duty-Holder"),
                    request.header("Fencing-Token"),
                    request.text()
                ));
                if respond(&stream, status, "Content-Type: application/json\r\n", "{}").is_err() {
                    return;
                }
            }
        });
        cloud
    }

    /// A call is refused if its token is lower than one seen for the same duty and subject.
    fn accept(&self, request: &Message) -> u16 {
        let call = DutyCall {
            at: Instant::now(),
            path: request.first[1].clone(),
            holder: request.header("Duty-Holder").to_string(),
            fence: request.header("Fencing-Token").parse().unwrap_or(0),
            body: request.text(),
        };
        let subject = |call: &DutyCall| {
            let zone = member(&call.body, "zone").unwrap_or("").to_string();
            (
                call.path.clone(),
                member(&call.body, "service").unwrap_or("").to_string(),
                zone,
            )
        };
        let mut accepted = lock(&self.accepted);
        if accepted
            .iter()
            .any(|c| subject(c) == subject(&call) && c.fence > call.fence)
        {
            return 409;
        }
        accepted.push(call);
        200
    }
}

// --- engines ------------------------------------------------------------------------------------

/// A request that an engine has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub engine: String,
    pub id: String,
    pub path: String,
    pub tenant: String,
}

/// What an engine does with a request that it accepts, after it was counted as run.
pub type Work = dyn Fn(&Message, &TcpStream) -> Option<String> + Send + Sync;

/// An engine.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub version: String,
    pub zone: String,
    born: u64,
    seq: AtomicU64,
    is_draining: AtomicBool,
    is_gone: AtomicBool,
    /// Until when it does not reach the store.
    away_until: Mutex<Option<Instant>>,
    streams: Mutex<Vec<TcpStream>>,
}

impl Engine {
    /// Writes its entry into the store.
    fn write_entry(&self, store: &Store) -> bool {
        if lock(&self.away_until).is_some_and(|until| Instant::now() < until) {
            return false;
        }
        let seq = self.seq.fetch_add(1, Ordering::Relaxed);
        let state = if self.is_draining.load(Ordering::Relaxed) {
            "draining"
        } else {
            "ready"
        };
        let spec = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
             \"slots\":8,\"state\":\"{state}\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":{}}}",
            self.service, self.address, self.zone, self.version, self.born
        );
        store.write("servers", &self.id, &spec)
    }

    /// Does not reach the store until then.
    pub fn stay_away(&self, until: Instant) {
        *lock(&self.away_until) = Some(until);
    }

    /// Says that it is leaving.
    pub fn drain(&self, store: &Store) {
        self.is_draining.store(true, Ordering::Relaxed);
        self.write_entry(store);
    }

    /// Ends: it closes all connections, and its entry goes.
    pub fn stop(&self, store: &Store) {
        self.is_gone.store(true, Ordering::Relaxed);
        for stream in lock(&self.streams).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        store.remove("servers", &self.id);
    }

    pub fn is_gone(&self) -> bool {
        self.is_gone.load(Ordering::Relaxed)
    }
}

/// All engines and what they have run.
pub struct Engines {
    pub runs: Mutex<Vec<Run>>,
    record: Arc<Record>,
    next: AtomicU64,
}

impl Engines {
    pub fn new(record: &Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            runs: Mutex::default(),
            record: record.clone(),
            next: AtomicU64::new(1),
        })
    }

    /// Starts an engine of version v1, which writes its entry into the store at each heartbeat.
    pub fn start(
        self: &Arc<Self>,
        store: &Arc<Store>,
        service: &str,
        zone: &str,
        work: impl Fn(&Message, &TcpStream) -> Option<String> + Send + Sync + 'static,
    ) -> Arc<Engine> {
        self.start_version(store, service, "v1", zone, work)
    }

    /// The same with a version.
    pub fn start_version(
        self: &Arc<Self>,
        store: &Arc<Store>,
        service: &str,
        version: &str,
        zone: &str,
        work: impl Fn(&Message, &TcpStream) -> Option<String> + Send + Sync + 'static,
    ) -> Arc<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("port of an engine");
        listener.set_nonblocking(true).expect("a listener");
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let engine = Arc::new(Engine {
            id: format!("i-{service}-{version}-{number}"),
            address: listener.local_addr().expect("address of an engine"),
            service: service.to_string(),
            version: version.to_string(),
            zone: zone.to_string(),
            born: unix_ms(),
            seq: AtomicU64::new(1),
            is_draining: AtomicBool::new(false),
            is_gone: AtomicBool::new(false),
            away_until: Mutex::default(),
            streams: Mutex::default(),
        });
        let (all, served, work) = (self.clone(), engine.clone(), Arc::new(work));
        thread::spawn(move || {
            while !served.is_gone() {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                lock(&served.streams).extend(stream.try_clone());
                let (all, served, work) = (all.clone(), served.clone(), work.clone());
                thread::spawn(move || all.serve(&served, stream, &*work));
            }
        });
        engine.write_entry(store);
        let (kept, store) = (engine.clone(), store.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(1_200));
                if kept.is_gone() {
                    return;
                }
                kept.write_entry(&store);
            }
        });
        engine
    }

    fn serve(&self, engine: &Engine, stream: TcpStream, work: &Work) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(&stream);
        while let Ok(request) = read_message(&mut reader) {
            if engine.is_gone() {
                return;
            }
            let id = request.header("Request-Id").to_string();
            let intended = request.header("Expect-Instance");
            if !intended.is_empty() && intended != engine.id {
                let headers = format!("Request-Id: {id}\r\nNot-Run: 1\r\n");
                if respond(&stream, 421, &headers, "").is_err() {
                    return;
                }
                continue;
            }
            lock(&self.runs).push(Run {
                at: Instant::now(),
                engine: engine.id.clone(),
                id: id.clone(),
                path: request.first[1].clone(),
                tenant: request.header("Tenant").to_string(),
            });
            self.record.note(&format!(
                "engine {}: ran {id} {} {} tenant {}",
                engine.id,
                request.first[0],
                request.first[1],
                request.header("Tenant")
            ));
            let Some(body) = work(&request, &stream) else {
                return;
            };
            let headers = format!("Request-Id: {id}\r\nResponse-Stamp: {}\r\n", engine.id);
            if respond(&stream, 200, &headers, &body).is_err() {
                return;
            }
        }
    }

    /// Returns how often a request has run.
    pub fn count(&self, id: &str) -> usize {
        lock(&self.runs).iter().filter(|run| run.id == id).count()
    }
}

// --- the system's own processes -----------------------------------------------------------------

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// A machine of the system with its process.
pub struct Front {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Arc<Record>,
}

/// What all machines of a deployment have in common.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub folder: PathBuf,
    pub store: SocketAddr,
    pub cloud: SocketAddr,
    /// First three numbers of the machines' addresses.
    pub net: String,
    /// Ports: front, ready, control, peers.
    pub ports: [u16; 4],
    /// Further lines of the settings, and others in place of the usual ones.
    pub lines: String,
}

/// Finds a network of loopback addresses with four ports that are free on all of them.
pub fn free_net(machines: u8) -> (String, [u16; 4]) {
    let seed = u64::from(std::process::id()) * 7 + unix_ms();
    for step in 0..500 {
        let net = format!(
            "127.{}.{}",
            20 + (seed + step) % 200,
            1 + (seed / 200 + step) % 250
        );
        let Ok(first) = TcpListener::bind((format!("{net}.1").as_str(), 0)) else {
            continue;
        };
        let base = first.local_addr().map_or(0, |a| a.port());
        drop(first);
        if base > 60_000 {
            continue;
        }
        let ports = [base, base + 1, base + 2, base + 3];
        let is_free = (1..=machines).all(|machine| {
            let ip = format!("{net}.{machine}");
            let tcp = ports
                .iter()
                .all(|port| TcpListener::bind((ip.as_str(), *port)).is_ok());
            tcp && std::net::UdpSocket::bind((ip.as_str(), ports[3])).is_ok()
        });
        if is_free {
            return (net, ports);
        }
    }
    panic!("no free ports");
}

impl Front {
    /// Returns a machine without a process.
    pub fn new(deployment: &Deployment, number: u8, zone: &str, record: &Arc<Record>) -> Self {
        let ip = format!("{}.{number}", deployment.net);
        let at = |port: usize| -> SocketAddr {
            format!("{ip}:{}", deployment.ports[port])
                .parse()
                .expect("an address")
        };
        let name = format!("front-{zone}-{number}");
        let front = Self {
            front: at(0),
            ready: at(1),
            settings: deployment.folder.join(format!("{name}.conf")),
            log: deployment.folder.join(format!("{name}.log")),
            child: None,
            record: record.clone(),
            name,
        };
        let [port, ready, control, peers] = deployment.ports;
        let text = format!(
            "node={}\nrole=front\nmachineClass=front\nserves=front,control\nip={ip}\nzone={zone}\n\
             region=r\nlisten.front={ip}:{port}\nlisten.ready={ip}:{ready}\n\
             listen.control={ip}:{control}\nportRange={peers},{peers}\n\
             seeds={}.1:{control},{}.2:{control},{}.3:{control}\nbootstrap=true\n\
             limits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\n\
             heartbeatMs=1200\nbounds.contactMs=3000\nbounds.drainMs=2000\nbounds.graceS=8\n\
             bounds.configApplyMs=2000\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\n\
             bounds.budgetSlack=58\nbounds.quotaWindowS=8\nbounds.quotaOverage=0.1\n\
             bounds.quotaSlack=140000\nbounds.requireFencing=true\nbounds.leaseMs=3000\n\
             bounds.usageWindowS=5\nbounds.usageTolerance=0.05\nbounds.usageLateS=10\n\
             platform.address={}\nplatform.form=objects\ncloud.address={}\n\
             cloud.duties=usage_report,autoscale\n{}",
            front.name,
            deployment.net,
            deployment.net,
            deployment.net,
            deployment.store,
            deployment.cloud,
            deployment.lines
        );
        fs::write(&front.settings, text).expect("the settings file");
        front
    }

    /// Changes the settings file: later lines win.
    pub fn set(&self, line: &str) {
        let text = fs::read_to_string(&self.settings).unwrap_or_default();
        fs::write(&self.settings, format!("{text}\n{line}\n")).expect("the settings file");
        self.record
            .note(&format!("{}: settings now have {line}", self.name));
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let deploy = fs::read_to_string("deploy/system.toml").expect("deploy/system.toml");
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = "))
            .expect("a command");
        let mut words = run.trim().trim_matches('"').split(' ');
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new(words.next().expect("a program"))
            .args(words)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("GUAVAUSHER_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program of the deploy file");
        self.record
            .note(&format!("{}: started, pid {}", self.name, child.id()));
        self.child = Some(child);
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            self.record.note(&format!("{}: signal {signal}", self.name));
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Returns how the process has ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            let status = child.wait();
            self.record
                .note(&format!("{}: ended: {status:?}", self.name));
        }
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /guavausher/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        ask(self.ready, request, Duration::from_secs(1)).is_ok_and(|reply| reply.status() == 200)
    }

    /// Lines of its log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines()
            .filter(|line| line.contains(text))
            .map(String::from)
            .collect()
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Waits for a condition; returns `false` if it does not come in time.
pub fn until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while !condition() {
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(Duration::from_millis(50));
    }
    true
}

/// Returns `true` unless the script runs without its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Creates the folder for settings and logs, which is removed by the script.
pub fn folder() -> PathBuf {
    PathBuf::from(std::env::var("CASE_TMP").expect("CASE_TMP: a temporary folder"))
}

/// Opens the record of a case.
pub fn record() -> Arc<Record> {
    let path = std::env::var("CASE_RECORD").expect("CASE_RECORD: the file for the record");
    Record::create(Path::new(&path)).expect("the record")
}
