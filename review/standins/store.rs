//! The platform's store of objects and its API for duties.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Request};
use crate::json;

/// Kind and name.
type Key = (String, String);

#[derive(Clone, Debug)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

struct Change {
    revision: u64,
    kind: String,
    text: String,
}

#[derive(Default)]
struct Inner {
    revision: u64,
    objects: BTreeMap<Key, Object>,
    changes: Vec<Change>,
    fences: BTreeMap<String, u64>,
}

/// The store.
#[derive(Default)]
pub struct Store {
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl Store {
    /// Starts the store on a free port.
    pub fn start() -> io::Result<(Arc<Self>, SocketAddr)> {
        let store = Arc::new(Self::default());
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let own = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = own.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        Ok((store, address))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no thread panics with the lock")
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        loop {
            let request = connection.request()?;
            let (status, body) = self.answer(&request);
            connection.respond(
                status,
                "Content-Type: application/json\r\n",
                body.as_bytes(),
            )?;
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let path = request.path().to_owned();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        if path == "/usage" || path == "/scale" {
            return self.duty(request, &path, &body);
        }
        let rest = path.strip_prefix("/guavausher/objects/").unwrap_or("");
        let parts: Vec<_> = rest.split('/').collect();
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", [kind]) if !request.query("watch").is_empty() => self.watch(kind, request),
            ("GET", [kind]) => (200, self.list(kind, request.query("after"))),
            ("GET", [kind, name]) => match self.lock().objects.get(&key(kind, name)) {
                Some(object) => (200, text(name, object)),
                None => (404, String::from("{}")),
            },
            ("POST", [kind]) => self.create(kind, &body),
            ("PUT", [kind, name]) => self.replace(kind, name, &body, false),
            ("PUT", [kind, name, "status"]) => self.replace(kind, name, &body, true),
            ("DELETE", [kind, name]) => self.delete(kind, name),
            _ => (404, String::from("{}")),
        }
    }

    /// Writes an object as its owner does.
    pub fn set(&self, kind: &str, name: &str, spec: &str) {
        let mut inner = self.lock();
        let known = inner.objects.get(&key(kind, name)).cloned();
        let status = known.map_or_else(|| String::from("null"), |known| known.status);
        inner.write(kind, name, spec.to_owned(), status);
        self.changed.notify_all();
    }

    /// Removes an object as its owner does.
    pub fn remove(&self, kind: &str, name: &str) {
        self.delete(kind, name);
    }

    /// Returns the status of an object.
    pub fn status(&self, kind: &str, name: &str) -> Option<String> {
        let inner = self.lock();
        inner
            .objects
            .get(&key(kind, name))
            .map(|o| o.status.clone())
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let inner = self.lock();
        let all = inner.objects.iter();
        let listed = all.filter(|((k, name), _)| k == kind && name.as_str() > after);
        let items: Vec<_> = listed.map(|((_, name), o)| text(name, o)).collect();
        format!(
            "{{\"items\":[{}],\"hasMore\":false,\"storeRevision\":{}}}",
            items.join(","),
            inner.revision
        )
    }

    fn watch(&self, kind: &str, request: &Request) -> (u16, String) {
        let since: u64 = request.query("watch").parse().unwrap_or(0);
        let wait = request.query("waitMs").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut inner = self.lock();
        loop {
            let later = inner.changes.iter().filter(|c| c.revision > since);
            let events: Vec<_> = later
                .filter(|c| c.kind == kind)
                .map(|c| c.text.clone())
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"storeRevision\":{}}}",
                    events.join(","),
                    inner.revision
                );
                return (200, body);
            }
            let waited = self.changed.wait_timeout(inner, left);
            inner = waited.expect("no thread panics with the lock").0;
        }
    }

    fn create(&self, kind: &str, body: &str) -> (u16, String) {
        let metadata = json::field(body, "metadata").unwrap_or("{}");
        let name = json::text(metadata, "name").unwrap_or("").to_owned();
        let spec = json::field(body, "spec").unwrap_or("null").to_owned();
        let mut inner = self.lock();
        if let Some(known) = inner.objects.get(&key(kind, &name)) {
            return (409, text(&name, known));
        }
        let written = inner.write(kind, &name, spec, String::from("null"));
        self.changed.notify_all();
        (200, written)
    }

    fn replace(&self, kind: &str, name: &str, body: &str, is_status: bool) -> (u16, String) {
        let metadata = json::field(body, "metadata").unwrap_or("{}");
        let stated = json::number(metadata, "revision").unwrap_or(0);
        let mut inner = self.lock();
        let Some(known) = inner.objects.get(&key(kind, name)).cloned() else {
            return (404, String::from("{}"));
        };
        if stated != 0 && stated != known.revision {
            return (409, text(name, &known));
        }
        let value = |field| json::field(body, field).unwrap_or("null").to_owned();
        let (spec, status) = match is_status {
            true => (known.spec.clone(), value("status")),
            false => (value("spec"), known.status.clone()),
        };
        if spec == known.spec && status == known.status {
            return (200, text(name, &known));
        }
        let written = inner.write(kind, name, spec, status);
        self.changed.notify_all();
        (200, written)
    }

    fn delete(&self, kind: &str, name: &str) -> (u16, String) {
        let mut inner = self.lock();
        let Some(known) = inner.objects.remove(&key(kind, name)) else {
            return (404, String::from("{}"));
        };
        inner.revision += 1;
        let gone = text(name, &known);
        inner.record(kind, &gone, true);
        self.changed.notify_all();
        (200, gone)
    }

    /// Takes a call of a duty unless a higher generation number was seen for its subject.
    fn duty(&self, request: &Request, path: &str, body: &str) -> (u16, String) {
        let fence = request.headers.get("fencing-token").parse().unwrap_or(0);
        let subject = match path {
            "/usage" => path.to_owned(),
            _ => format!(
                "{path} {} {}",
                json::text(body, "service").unwrap_or(""),
                json::text(body, "zone").unwrap_or("")
            ),
        };
        let mut inner = self.lock();
        let seen = inner.fences.entry(subject).or_default();
        let status = if fence < *seen { 409 } else { 200 };
        *seen = fence.max(*seen);
        (status, String::from("{}"))
    }
}

impl Inner {
    fn write(&mut self, kind: &str, name: &str, spec: String, status: String) -> String {
        self.revision += 1;
        let revision = self.revision;
        let known = self.objects.get(&key(kind, name));
        let object = Object {
            revision,
            created: known.map_or(revision, |known| known.created),
            spec,
            status,
        };
        let written = text(name, &object);
        self.objects.insert(key(kind, name), object);
        self.record(kind, &written, false);
        written
    }

    fn record(&mut self, kind: &str, object: &str, deleted: bool) {
        self.changes.push(Change {
            revision: self.revision,
            kind: kind.to_owned(),
            text: format!("{{\"deleted\":{deleted},\"object\":{object}}}"),
        });
    }
}

fn key(kind: &str, name: &str) -> Key {
    (kind.to_owned(), name.to_owned())
}

fn text(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{},\"status\":{}}}",
        object.revision, object.created, object.spec, object.status
    )
}
