//! The controller as a process, beside a real entry, with stand-ins for platform and engine.

use std::io::{Read, Write};
use std::net;
use std::process;
use std::thread;
use std::time;

use guavausher_core::{control, declaration, name, rollout, time as point};
use guavausher_standins::{engine, handle, platform};

const LIMIT: time::Duration = time::Duration::from_secs(60);
const KEY: &str = "0123456789abcdef";

/// A process that is killed when it goes out of scope.
struct Child(process::Child);

impl Drop for Child {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

struct Site {
    platform: handle::Handle,
    engine: handle::Handle,
    peer_port: net::SocketAddr,
    entry: Child,
}

fn free() -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn http(address: net::SocketAddr, head: &str, body: &str) -> String {
    let mut stream = net::TcpStream::connect(address).unwrap();
    let length = body.len();
    let head =
        format!("{head}\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(body.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer.split_once("\r\n\r\n").unwrap().1.to_owned()
}

fn get(address: net::SocketAddr, path: &str) -> String {
    http(address, &format!("GET {path} HTTP/1.1"), "")
}

fn wait<T>(what: &str, mut found: impl FnMut() -> Option<T>) -> T {
    let end = time::Instant::now() + LIMIT;
    while time::Instant::now() < end {
        if let Some(found) = found() {
            return found;
        }
        thread::sleep(time::Duration::from_millis(50));
    }
    panic!("no {what} in time");
}

fn declare(engine: net::SocketAddr, deadline: Option<jiff::Timestamp>) -> String {
    let service = name::Name::from("verse-scribe");
    let upstream = declaration::Upstream {
        name: name::Name::from("verse-1"),
        service: service.clone(),
        version: name::Name::from("v7"),
        address: engine,
        domain: name::Name::from("tolgoit"),
        class: name::Name::from("gpu-small"),
        market: declaration::Market::Reclaimable,
        slots: 8,
    };
    let declaration = declaration::Declaration {
        services: vec![declaration::Service {
            name: service.clone(),
            kind: declaration::Kind::Model,
            version: name::Name::from("v7"),
            fencing: true,
            deduplicates: false,
        }],
        upstreams: vec![upstream],
        rollouts: deadline
            .into_iter()
            .map(|deadline| declaration::Rollout {
                service: service.clone(),
                from: name::Name::from("v7"),
                to: name::Name::from("v8"),
                share: 50,
                deadline,
            })
            .collect(),
        ..declaration::Declaration::default()
    };
    let envelope = declaration::Envelope {
        operation: name::Name::from("op-1"),
        author: name::Name::from("test"),
        at: point::Time::default(),
        declaration,
    };
    envelope.to_json().unwrap()
}

impl Site {
    fn start(deadline: Option<jiff::Timestamp>) -> Self {
        let platform = platform::start(platform::Config::default()).unwrap();
        let engine = engine::start(engine::Config {
            fencing: true,
            ..engine::Config::default()
        })
        .unwrap();
        let peer_port = free();
        let instance = format!(
            r#"{{"name":"entry-1","address":"{peer_port}","domain":"tolgoit","kind":"entry"}}"#
        );
        http(platform.address(), "POST /instances HTTP/1.1", &instance);
        let config = declare(engine.address(), deadline);
        let put = "PUT /objects/config/current HTTP/1.1\r\nif-none-match: *";
        http(platform.address(), put, &config);
        let entry = process::Command::new(env!("CARGO_BIN_EXE_guavausher-entry"))
            .args(["--name", "entry-1", "--domain", "tolgoit", "--key", KEY])
            .args(["--listen", &free().to_string()])
            .args(["--peer-listen", &peer_port.to_string()])
            .args(["--admin-listen", &free().to_string()])
            .args(["--platform", &platform.address().to_string()])
            .spawn()
            .unwrap();
        Self {
            platform,
            engine,
            peer_port,
            entry: Child(entry),
        }
    }

    fn control(&self) -> Child {
        let controller = process::Command::new(env!("CARGO_BIN_EXE_guavausher-controller"))
            .args(["--name", "entry-1", "--domain", "tolgoit"])
            .args(["--entry", &self.peer_port.to_string()])
            .args(["--controller-listen", &free().to_string()])
            .args(["--platform", &self.platform.address().to_string()])
            .env("GUAVAUSHER_KEY", KEY)
            .spawn()
            .unwrap();
        Child(controller)
    }

    /// Waits for an order with a higher fencing number.
    fn ordered(&self, above: u64) -> u64 {
        wait("order", || {
            let log = get(self.engine.address(), "/standin/orders");
            let log: serde_json::Value = serde_json::from_str(&log).ok()?;
            let last = log.as_array()?.last()?;
            assert_eq!(last["order"]["version"], "v7");
            last["fence"].as_u64().filter(|fence| *fence > above)
        })
    }

    fn object(&self, key: &str) -> String {
        get(self.platform.address(), &format!("/objects/{key}"))
    }
}

#[test]
fn controller_killed_and_restarted_orders_with_higher_fence() {
    let mut site = Site::start(None);
    let first = site.control();
    let fence = site.ordered(0);
    drop(first);
    let _second = site.control();
    site.ordered(fence);
    assert!(
        site.entry.0.try_wait().unwrap().is_none(),
        "the entry goes on"
    );
}

#[test]
fn controller_stopped_gives_leases_back() {
    let site = Site::start(None);
    let mut controller = site.control();
    let fence = site.ordered(0);
    let pid = controller.0.id().to_string();
    let kill = process::Command::new("kill").args(["-TERM", &pid]).status();
    assert!(kill.unwrap().success());
    assert!(controller.0.wait().unwrap().success());
    let lease = site.object("leases/00");
    assert!(lease.contains(r#""holder":null"#), "{lease}");
    let _next = site.control();
    site.ordered(fence);
}

#[test]
fn controller_takes_unproven_rollout_back_by_deadline() {
    let deadline = jiff::Timestamp::now() + time::Duration::from_secs(14);
    let site = Site::start(Some(deadline));
    let _controller = site.control();
    let status = wait("end of the rollout", || {
        let book = rollout::Book::decode(site.object(rollout::KEY).as_bytes()).ok()?;
        let status = book.statuses.get("verse-scribe").cloned()?;
        Some(status).filter(|status| status.phase.is_end())
    });
    assert!(jiff::Timestamp::now() < deadline);
    assert_eq!(status.phase, rollout::Phase::TakenBack);
    let audit = wait("audit record", || {
        let list = get(site.platform.address(), "/objects?prefix=audit/");
        let list: serde_json::Value = serde_json::from_str(&list).ok()?;
        let key = list["objects"].as_array()?.last()?["key"]
            .as_str()?
            .to_owned();
        let audit: control::Audit = serde_json::from_str(&site.object(&key)).ok()?;
        audit.detail.contains("taken-back").then_some(audit)
    });
    assert_eq!(audit.subject.as_str(), "verse-scribe");
}
