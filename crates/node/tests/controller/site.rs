//! One entry and its controller as processes, with stand-ins for platform and engines.

use std::collections;
use std::io::{Read, Write};
use std::net;
use std::process;
use std::thread;
use std::time;

use guavausher_core::{declaration, name, rollout, time as point};
use guavausher_standins::{engine, handle, platform};

use crate::ports;

const LIMIT: time::Duration = time::Duration::from_secs(60);
const KEY: &str = "0123456789abcdef";

pub const SERVICE: &str = "verse-scribe";

/// Canary share in thousandths.
pub const SHARE: u32 = 100;

/// A process that is killed when it goes out of scope.
pub struct Child(pub process::Child);

impl Drop for Child {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

pub struct Site {
    pub platform: handle::Handle,
    pub old: handle::Handle,
    pub new: handle::Handle,
    pub entries: Vec<Entry>,
}

/// A running entry.
pub struct Entry {
    pub process: Child,
    /// Address for callers.
    pub callers: net::SocketAddr,
    name: String,
    domain: String,
    peer_port: net::SocketAddr,
}

const DOMAINS: [&str; 3] = ["tolgoit", "altan-ulgii", "bayanzurkh"];

pub fn http(address: net::SocketAddr, head: &str, body: &str) -> String {
    let mut stream = net::TcpStream::connect(address).unwrap();
    let length = body.len();
    let head =
        format!("{head}\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(body.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
        .split_once("\r\n\r\n")
        .map_or_else(String::new, |(_, body)| body.to_owned())
}

pub fn get(address: net::SocketAddr, path: &str) -> String {
    http(address, &format!("GET {path} HTTP/1.1"), "")
}

pub fn wait<T>(what: &str, mut found: impl FnMut() -> Option<T>) -> T {
    let end = time::Instant::now() + LIMIT;
    while time::Instant::now() < end {
        if let Some(found) = found() {
            return found;
        }
        thread::sleep(time::Duration::from_millis(50));
    }
    panic!("no {what} in time");
}

fn upstream(engine: &handle::Handle, version: &str) -> declaration::Upstream {
    declaration::Upstream {
        name: name::Name::from(format!("verse-{version}")),
        service: name::Name::from(SERVICE),
        version: name::Name::from(version),
        address: engine.address(),
        domain: name::Name::from("tolgoit"),
        class: name::Name::from("gpu-small"),
        market: declaration::Market::Reclaimable,
        slots: 8,
    }
}

fn declare(
    upstreams: Vec<declaration::Upstream>,
    deadline: Option<jiff::Timestamp>,
) -> declaration::Envelope {
    let service = name::Name::from(SERVICE);
    let rollout = |deadline| declaration::Rollout {
        service: service.clone(),
        from: name::Name::from("v7"),
        to: name::Name::from("v8"),
        share: SHARE,
        deadline,
    };
    let declaration = declaration::Declaration {
        services: vec![declaration::Service {
            name: service.clone(),
            kind: declaration::Kind::Model,
            version: name::Name::from("v7"),
            fencing: true,
            deduplicates: false,
        }],
        upstreams,
        workspaces: vec![declaration::Workspace {
            name: name::Name::from("kiosks"),
            weight: 1,
            rate: 100_000,
            concurrency: 1_000,
        }],
        routes: vec![declaration::Route {
            name: name::Name::from("verse"),
            path: String::from("/v1/verse"),
            service: service.clone(),
            idempotent: true,
            priority: declaration::Priority::Quick,
            timeout: 5_000,
        }],
        rollouts: deadline.into_iter().map(rollout).collect(),
        ..declaration::Declaration::default()
    };
    declaration::Envelope {
        operation: name::Name::from("op-1"),
        author: name::Name::from("test"),
        at: point::Time::default(),
        declaration,
    }
}

impl Site {
    pub fn start(entries: usize, deadline: Option<jiff::Timestamp>) -> Self {
        let platform = platform::start(platform::Config::default()).unwrap();
        let start = |version: &str| {
            engine::start(engine::Config {
                fencing: true,
                slots: 8,
                token_ms: 2,
                version: version.to_owned(),
                ..engine::Config::default()
            })
        };
        let (old, new) = (start("v7").unwrap(), start("v8").unwrap());
        let upstreams = vec![upstream(&old, "v7"), upstream(&new, "v8")];
        let config = declare(upstreams, deadline).to_json().unwrap();
        let put = "PUT /objects/config/current HTTP/1.1\r\nif-none-match: *";
        http(platform.address(), put, &config);
        let mut site = Self {
            platform,
            old,
            new,
            entries: Vec::new(),
        };
        for index in 0..entries {
            let entry = site.enter(index);
            site.entries.push(entry);
        }
        site
    }

    fn enter(&self, index: usize) -> Entry {
        let (peer_port, callers) = (ports::free(), ports::free());
        let name = format!("entry-{index}");
        let domain = DOMAINS[index % DOMAINS.len()].to_owned();
        let instance = format!(
            r#"{{"name":"{name}","address":"{peer_port}","domain":"{domain}","kind":"entry"}}"#
        );
        http(
            self.platform.address(),
            "POST /instances HTTP/1.1",
            &instance,
        );
        let process = process::Command::new(env!("CARGO_BIN_EXE_guavausher-entry"))
            .args(["--name", &name, "--domain", &domain, "--key", KEY])
            .args(["--listen", &callers.to_string()])
            .args(["--peer-listen", &peer_port.to_string()])
            .args(["--admin-listen", &ports::free().to_string()])
            .args(["--platform", &self.platform.address().to_string()])
            .spawn()
            .unwrap();
        Entry {
            process: Child(process),
            callers,
            name,
            domain,
            peer_port,
        }
    }

    /// Starts a controller beside an entry.
    pub fn control(&self, index: usize) -> Child {
        let entry = &self.entries[index];
        let controller = process::Command::new(env!("CARGO_BIN_EXE_guavausher-controller"))
            .args(["--name", &entry.name, "--domain", &entry.domain])
            .args(["--entry", &entry.peer_port.to_string()])
            .args(["--controller-listen", &ports::free().to_string()])
            .args(["--platform", &self.platform.address().to_string()])
            .env("GUAVAUSHER_KEY", KEY)
            .spawn()
            .unwrap();
        Child(controller)
    }

    /// Waits for an order with a higher fencing number.
    pub fn ordered(&self, above: u64) -> u64 {
        wait("order", || {
            let log = get(self.old.address(), "/standin/orders");
            let log: serde_json::Value = serde_json::from_str(&log).ok()?;
            let last = log.as_array()?.last()?;
            assert_eq!(last["order"]["version"], "v7");
            last["fence"].as_u64().filter(|fence| *fence > above)
        })
    }

    pub fn object(&self, key: &str) -> String {
        get(self.platform.address(), &format!("/objects/{key}"))
    }

    /// Returns the rollout as it is stored.
    pub fn status(&self) -> Option<rollout::Status> {
        let book = rollout::Table::decode(self.object(rollout::KEY).as_bytes()).ok()?;
        book.statuses.get(SERVICE).cloned()
    }

    /// Returns how many requests the new version has begun.
    pub fn moved(&self) -> u64 {
        let runs = get(self.new.address(), "/standin/runs");
        let runs: collections::BTreeMap<String, u64> = serde_json::from_str(&runs).unwrap();
        runs.values().sum()
    }

    /// Makes a stand-in show these faults.
    pub fn fail(handle: &handle::Handle, faults: &str) {
        http(handle.address(), "POST /standin/faults HTTP/1.1", faults);
    }
}
