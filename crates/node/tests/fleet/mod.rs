//! A small deployment of real entry processes before stand-ins on loopback ports.

#![allow(dead_code, reason = "each test binary uses a part")]

#[path = "../ports/mod.rs"]
mod ports;

use std::io::{BufRead, BufReader, Read, Write};
use std::net;
use std::process;
use std::thread;
use std::time;

use guavausher_core::{declaration, name, time as point};
use guavausher_standins::{engine, handle, platform, service};

/// Longest wait for a condition; generous, since only a failure ever takes that long.
pub const PATIENCE: time::Duration = time::Duration::from_secs(30);

/// Sets of ports that are tried for one entry.
const PORT_TRIES: usize = 5;

pub const DOMAINS: [&str; 3] = ["altan-ulgii", "tolgoit", "bayanzurkh"];

/// How a deployment is made up.
#[derive(Clone, Debug)]
pub struct Plan {
    pub entries: usize,
    pub engines: usize,
    pub services: usize,
    pub token_ms: u64,
    pub list_lag_ms: u64,
    pub run_ms: u64,
    pub deduplicates: bool,
    pub crash_on_poison: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: 3,
            engines: 3,
            services: 1,
            token_ms: 5,
            list_lag_ms: 0,
            run_ms: 0,
            deduplicates: false,
            crash_on_poison: false,
        }
    }
}

/// A running deployment; everything is stopped when it is dropped.
pub struct Fleet {
    pub platform: handle::Handle,
    pub engines: Vec<handle::Handle>,
    pub services: Vec<handle::Handle>,
    pub entries: Vec<Entry>,
    pub declaration: declaration::Declaration,
    pub generation: u64,
}

/// One entry process.
pub struct Entry {
    pub child: process::Child,
    pub name: String,
    pub caller: net::SocketAddr,
    pub peer: net::SocketAddr,
    pub admin: net::SocketAddr,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.signal("-CONT");
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Entry {
    /// Sends a signal by the `kill` command, such as `-STOP`.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let _ = process::Command::new("kill").args([signal, &pid]).status();
    }

    pub fn generation(&self) -> Option<u64> {
        self.metric("config_generation")
    }

    /// Returns a metric of the entry, named without its prefix.
    pub fn metric(&self, name: &str) -> Option<u64> {
        let text = get(self.admin, "/metrics").ok()?.body;
        let start = format!("guavausher_entry_{name} ");
        let line = text.lines().find(|l| l.starts_with(&start))?;
        line.rsplit(' ').next()?.parse().ok()
    }

    pub fn is_ready(&self) -> bool {
        get(self.admin, "/readyz").is_ok_and(|answer| answer.status == 200)
    }
}

impl Fleet {
    pub fn start(plan: &Plan) -> Self {
        let platform = platform::start(platform::Config {
            list_lag_ms: plan.list_lag_ms,
            ..platform::Config::default()
        })
        .expect("platform starts");
        let engines: Vec<_> = (0..plan.engines).map(|_| engine(plan)).collect();
        let services: Vec<_> = (0..plan.services).map(|_| service(plan)).collect();
        let mut fleet = Self {
            platform,
            engines,
            services,
            entries: Vec::new(),
            declaration: declaration::Declaration::default(),
            generation: 0,
        };
        fleet.declaration = declare(&fleet, plan);
        for upstream in fleet.declaration.upstreams.clone() {
            fleet.register(
                &upstream.name,
                upstream.address,
                &upstream.domain,
                "upstream",
            );
        }
        fleet.apply();
        for number in 0..plan.entries {
            let entry = fleet.entry(number, "");
            let domain = DOMAINS[number % DOMAINS.len()];
            fleet.register(&entry.name, entry.peer, domain, "entry");
            fleet.entries.push(entry);
        }
        let all = || fleet.entries.iter().all(Entry::is_ready);
        wait_for("all entries ready", all);
        fleet
    }

    /// Starts an entry process that the platform's list does not show.
    ///
    /// Another process may take a free port before the entry does; the entry ends then, and other
    /// ports are tried.
    pub fn entry(&self, number: usize, peers: &str) -> Entry {
        for _ in 0..PORT_TRIES {
            let mut entry = self.spawn(number, peers);
            let mut ended = false;
            wait_for("the entry listens or ends", || {
                ended = entry.child.try_wait().expect("a child").is_some();
                ended || get(entry.admin, "/livez").is_ok() && get(entry.caller, "/").is_ok()
            });
            if !ended {
                return entry;
            }
        }
        panic!("no free ports in {PORT_TRIES} tries");
    }

    fn spawn(&self, number: usize, peers: &str) -> Entry {
        let name = format!("entry-{number}");
        let domain = DOMAINS[number % DOMAINS.len()];
        let [caller, peer, admin] = [ports::free(), ports::free(), ports::free()];
        let child = process::Command::new(env!("CARGO_BIN_EXE_guavausher-entry"))
            .args([
                "--name",
                &name,
                "--domain",
                domain,
                "--key",
                "a-key-of-these-tests",
            ])
            .args([
                "--listen",
                &caller.to_string(),
                "--peer-listen",
                &peer.to_string(),
            ])
            .args(["--admin-listen", &admin.to_string(), "--incarnation", "1"])
            .args([
                "--platform",
                &self.platform.address().to_string(),
                "--peers",
                peers,
            ])
            .args(["--log-level", "warn", "--store-timeout-ms", "1000"])
            .stdout(process::Stdio::null())
            .spawn()
            .expect("entry starts");
        Entry {
            child,
            name,
            caller,
            peer,
            admin,
        }
    }

    /// Stores the declaration as the next generation.
    pub fn apply(&mut self) {
        let envelope = declaration::Envelope {
            operation: name::Name::from(format!("op-{}", self.generation)),
            author: name::Name::from("tester"),
            at: point::Time::default(),
            declaration: self.declaration.clone(),
        };
        let condition = match self.generation {
            0 => ("if-none-match", String::from("*")),
            version => ("if-match", format!("\"{version}\"")),
        };
        let body = envelope.to_json().expect("the declaration is sound");
        let headers = [(condition.0, condition.1.as_str())];
        let answer = call(
            "PUT",
            self.platform.address(),
            "/objects/config/current",
            &headers,
            &body,
        );
        assert_eq!(answer.expect("the platform answers").status, 200);
        self.generation += 1;
    }

    pub fn register(&self, name: &str, address: net::SocketAddr, domain: &str, kind: &str) {
        let body = format!(
            r#"{{"name":"{name}","address":"{address}","domain":"{domain}","kind":"{kind}","leaving":false,"incarnation":1}}"#
        );
        let answer = call("POST", self.platform.address(), "/instances", &[], &body);
        assert!(answer.expect("the platform answers").status < 300);
    }

    /// Sends the notice that an instance is reclaimed.
    pub fn notice(&self, instance: &str) {
        let body = format!(r#"{{"instance":"{instance}","deadline_ms":9999999999999}}"#);
        let answer = call(
            "POST",
            self.platform.address(),
            "/standin/notices",
            &[],
            &body,
        );
        assert!(answer.expect("the platform answers").status < 300);
    }

    /// Runs of a key over all plain services.
    pub fn runs(&self, key: &str) -> u64 {
        let count = |handle: &handle::Handle| {
            let text = get(handle.address(), "/standin/runs")
                .expect("the service answers")
                .body;
            let runs: serde_json::Value = serde_json::from_str(&text).expect("a map");
            runs[key].as_u64().unwrap_or(0)
        };
        self.services.iter().map(count).sum()
    }

    pub fn order(&self, entry: usize, key: &str) -> Answer {
        order_at(self.entries[entry].caller, key).expect("an answer")
    }

    pub fn verse(&self, entry: usize, prompt: &str, tokens: u32) -> Verse {
        self.verse_from(entry, prompt, tokens, None)
    }

    pub fn verse_from(&self, entry: usize, prompt: &str, tokens: u32, last: Option<u32>) -> Verse {
        let last = last.map(|id| id.to_string());
        let mut headers = vec![("x-workspace", "kiosks")];
        headers.extend(last.as_deref().map(|id| ("last-event-id", id)));
        let body = format!(r#"{{"prompt":"{prompt}","max_tokens":{tokens}}}"#);
        Verse::read(self.entries[entry].caller, "/v1/verse", &headers, &body)
    }
}

/// Sends an order to an entry.
pub fn order_at(entry: net::SocketAddr, key: &str) -> std::io::Result<Answer> {
    let headers = [("x-workspace", "kiosks"), ("idempotency-key", key)];
    let answer = call(
        "POST",
        entry,
        "/v1/candle",
        &headers,
        r#"{"candle":"white"}"#,
    )?;
    let cut = std::io::ErrorKind::UnexpectedEof;
    Some(answer).filter(|a| a.status > 0).ok_or(cut.into())
}

/// Sets faults of a stand-in.
pub fn fault(standin: &handle::Handle, faults: &str) {
    let answer = call("POST", standin.address(), "/standin/faults", &[], faults);
    let answer = answer.expect("the stand-in answers");
    assert!(answer.status < 300, "{}", answer.body);
}

/// Waits until a condition holds.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let end = time::Instant::now() + PATIENCE;
    while !holds() {
        assert!(time::Instant::now() < end, "not in time: {what}");
        thread::sleep(time::Duration::from_millis(20));
    }
}

/// A whole HTTP answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(':'));
        lines
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.trim())
    }

    pub fn verdict(&self) -> &str {
        self.header("x-verdict").unwrap_or("none")
    }
}

/// A token stream as its caller saw it.
#[derive(Clone, Debug, Default)]
pub struct Verse {
    pub status: u16,
    pub ids: Vec<u32>,
    pub done: bool,
    pub error: Option<String>,
}

impl Verse {
    pub fn read(
        address: net::SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Self {
        let mut verse = Self::default();
        let Ok(stream) = send("POST", address, path, headers, body) else {
            return verse;
        };
        let mut event = String::new();
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            if verse.status == 0 {
                verse.status = line
                    .split(' ')
                    .nth(1)
                    .and_then(|s| s.parse().ok())
                    .unwrap_or(0);
            }
            if let Some(id) = line.strip_prefix("id: ") {
                verse.ids.extend(id.parse::<u32>());
            }
            if let Some(kind) = line.strip_prefix("event: ") {
                event = kind.to_owned();
                verse.done |= kind == "done";
            }
            if let Some(data) = line.strip_prefix("data: ").filter(|_| event == "error") {
                verse.error = Some(data.to_owned());
            }
        }
        verse
    }

    /// Tells whether every token came once and in order, and then the end.
    pub fn is_whole(&self, from: u32, tokens: u32) -> bool {
        self.done && self.ids.iter().copied().eq(from..tokens)
    }
}

pub fn get(address: net::SocketAddr, path: &str) -> std::io::Result<Answer> {
    call("GET", address, path, &[], "")
}

pub fn call(
    method: &str,
    address: net::SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> std::io::Result<Answer> {
    let mut text = Vec::new();
    send(method, address, path, headers, body)?.read_to_end(&mut text)?;
    let text = String::from_utf8_lossy(&text);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    Ok(Answer {
        status,
        head: head.to_owned(),
        body: body.to_owned(),
    })
}

fn send(
    method: &str,
    address: net::SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> std::io::Result<net::TcpStream> {
    let mut stream = net::TcpStream::connect(address)?;
    stream.set_read_timeout(Some(PATIENCE * 2))?;
    let extra: String = headers
        .iter()
        .map(|(k, v)| format!("{k}: {v}\r\n"))
        .collect();
    let length = body.len();
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\ncontent-type: application/json\r\n{extra}content-length: {length}\r\n\r\n{body}"
    )?;
    Ok(stream)
}

pub fn engine(plan: &Plan) -> handle::Handle {
    engine::start(engine::Config {
        token_ms: plan.token_ms,
        incarnation: 1,
        crash_on_poison: plan.crash_on_poison,
        ..engine::Config::default()
    })
    .expect("engine starts")
}

fn service(plan: &Plan) -> handle::Handle {
    service::start(service::Config {
        deduplicate: plan.deduplicates,
        run_ms: plan.run_ms,
        incarnation: 1,
        ..service::Config::default()
    })
    .expect("service starts")
}

fn declare(fleet: &Fleet, plan: &Plan) -> declaration::Declaration {
    let text = include_str!("fleet.toml");
    let deduplicates = format!("deduplicates = {}", plan.deduplicates);
    let mut text = text.replace("deduplicates = false", &deduplicates);
    let upstreams = [
        ("verse", "verse-scribe", &fleet.engines),
        ("kiosk", "kiosk-desk", &fleet.services),
    ];
    for (stem, service, handles) in upstreams {
        for (number, handle) in handles.iter().enumerate() {
            let domain = DOMAINS[number % DOMAINS.len()];
            let address = handle.address();
            text.push_str(&format!(
                "[upstreams.{stem}-{number}]\nservice = \"{service}\"\nversion = \"v1\"\naddress = \"{address}\"\ndomain = \"{domain}\"\nclass = \"small\"\nmarket = \"on-demand\"\nslots = 64\n"
            ));
        }
    }
    let source = declaration::Source {
        path: "fleet.toml".into(),
        text: text.as_str().into(),
    };
    declaration::parse(&source, None).unwrap_or_else(|faults| panic!("{faults:?}"))
}
