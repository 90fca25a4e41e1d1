//! Rollouts with traffic through a real entry.

use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use guavausher_core::{control, rollout};

use crate::site;

const ENTRIES: usize = 3;

/// Callers that send one request after the other until they are dropped.
struct Callers {
    stopping: sync::Arc<atomic::AtomicBool>,
    threads: Vec<thread::JoinHandle<u64>>,
}

impl Callers {
    fn start(site: &site::Site, count: usize) -> Self {
        let stopping = sync::Arc::new(atomic::AtomicBool::new(false));
        let call = |stopping: sync::Arc<atomic::AtomicBool>, address: net::SocketAddr| {
            move || {
                let mut served = 0;
                while !stopping.load(atomic::Ordering::Relaxed) {
                    let head = "POST /v1/verse HTTP/1.1\r\nx-workspace: kiosks";
                    let body = r#"{"prompt":"a verse for the lamp","max_tokens":4}"#;
                    let answer = site::http(address, head, body);
                    served += u64::from(answer.contains("data:"));
                }
                served
            }
        };
        let entries = site.entries.iter().cycle().take(count);
        let threads = entries.map(|entry| thread::spawn(call(stopping.clone(), entry.callers)));
        let threads = threads.collect();
        Self { stopping, threads }
    }

    /// Stops and returns how many requests were served.
    fn stop(self) -> u64 {
        self.stopping.store(true, atomic::Ordering::Relaxed);
        self.threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .sum()
    }
}

fn start(entries: usize, seconds: u64) -> (site::Site, jiff::Timestamp) {
    let deadline = jiff::Timestamp::now() + time::Duration::from_secs(seconds);
    let site = site::Site::start(entries, Some(deadline));
    for entry in &site.entries {
        site::wait("entry", || net::TcpStream::connect(entry.callers).ok());
    }
    (site, deadline)
}

fn end(site: &site::Site) -> rollout::Status {
    site::wait("end of the rollout", || {
        site.status().filter(|status| status.phase.is_end())
    })
}

#[test]
fn controller_finishes_good_version_though_killed() {
    let (site, deadline) = start(1, 45);
    let controller = site.control(0);
    let callers = Callers::start(&site, 4);
    site::wait("ramp", || {
        site.status()
            .filter(|status| status.phase == rollout::Phase::Ramp)
    });
    drop(controller);
    let _next = site.control(0);
    let status = end(&site);
    assert!(jiff::Timestamp::now() < deadline);
    assert_eq!(status.phase, rollout::Phase::Done, "{}", status.reason);
    assert!(callers.stop() > 0);
}

#[test]
fn controller_halts_bad_version_while_store_is_down() {
    let (site, _) = start(ENTRIES, 120);
    let _controllers: Vec<_> = (0..ENTRIES).map(|index| site.control(index)).collect();
    let callers = Callers::start(&site, 6);
    site::wait("canary", || Some(site.moved()).filter(|moved| *moved > 10));
    site::Site::fail(&site.platform, r#"{"fail":true}"#);
    site::Site::fail(&site.new, r#"{"error_rate":1000}"#);
    let began = time::Instant::now();
    let mut last = (site.moved(), began);
    site::wait("halt", || {
        let moved = site.moved();
        if moved != last.0 {
            last = (moved, time::Instant::now());
        }
        (last.1.elapsed() > time::Duration::from_secs(3)).then_some(())
    });
    println!("last request on the bad version after {:?}", last.1 - began);
    site::Site::fail(&site.platform, r#"{"fail":false}"#);
    let status = end(&site);
    assert_eq!(
        status.phase,
        rollout::Phase::RolledBack,
        "{}",
        status.reason
    );
    assert!(callers.stop() > 0);
}

#[test]
fn controller_takes_unproven_rollout_back_by_deadline() {
    let deadline = jiff::Timestamp::now() + time::Duration::from_secs(14);
    let site = site::Site::start(1, Some(deadline));
    let _controller = site.control(0);
    let status = site::wait("end of the rollout", || {
        site.status().filter(|status| status.phase.is_end())
    });
    assert!(jiff::Timestamp::now() < deadline);
    assert_eq!(status.phase, rollout::Phase::RolledBack);
    let audit = site::wait("audit record", || {
        let list = site::get(site.platform.address(), "/objects?prefix=audit/");
        let list: serde_json::Value = serde_json::from_str(&list).ok()?;
        let key = list["objects"].as_array()?.last()?["key"]
            .as_str()?
            .to_owned();
        let audit: control::AuditRecord = serde_json::from_str(&site.object(&key)).ok()?;
        audit.detail.contains("taken-back").then_some(audit)
    });
    assert_eq!(audit.subject.as_str(), site::SERVICE);
}
