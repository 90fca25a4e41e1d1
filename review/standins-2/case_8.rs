//! All machines and the store lose power at once, and the store comes back from a copy that is some
//! seconds old. Is a usage window that was reported before reported again with other counts?

#[path = "site.rs"]
mod site;

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use site::{Cloud, Deployment, Engines, Front, Mode, Store, lock, member};

/// Length of a usage window.
const WINDOW_MS: u64 = 5_000;
/// How long before the end of the reported window the copy was made.
const COPY_BEFORE_END: Duration = Duration::from_millis(1_000);
/// How long the store is away.
const AWAY: Duration = Duration::from_secs(2);
/// How long the machines are down.
const DOWN: Duration = Duration::from_secs(1);
/// How long it is watched afterwards what is reported.
const WATCHED: Duration = Duration::from_secs(25);

const MANIFEST: &str = r#"{"version":3,"routes":[{"name":"pay","host":"site.example","pathPrefix":"/pay/",
"kind":"unsafe","timeoutMs":3000,"goalMs":300,"service":"app","maxAttempts":1}],
"services":[{"name":"app","maxConnections":100,"healthPath":"/health"}],
"tenants":[{"name":"ward","apiKeys":["secret"]},{"name":"shop","apiKeys":["second"]}]}"#;

fn main() -> ExitCode {
    let record = site::record();
    let (net, ports) = site::free_net(4);
    let listen = |ip: &str| TcpListener::bind((ip, 0)).expect("a free port");
    let store = Store::start(vec![listen("127.0.0.1")], &record);
    let cloud = Cloud::start(listen("127.0.0.1"), &record);
    let manifest = MANIFEST.replace('\n', "");
    store.write("config", "main", &manifest);
    let engines = Engines::new(&record);
    for zone in ["a", "b"] {
        engines.start(&store, "app", zone, |_, _| Some("done".into()));
    }
    let deployment = Deployment {
        folder: site::folder(),
        store: store.addresses[0],
        cloud: cloud.address,
        net,
        ports,
        lines: String::new(),
    };
    let zones = [(1, "a"), (2, "b"), (3, "b")];
    let mut fronts: Vec<_> = zones
        .iter()
        .map(|(number, zone)| Front::new(&deployment, *number, zone, &record))
        .collect();
    fronts.iter_mut().for_each(Front::start);
    if !site::until(Duration::from_secs(15), || {
        fronts.iter().all(Front::is_ready)
    }) {
        record.say("the machines did not get ready");
        return ExitCode::from(2);
    }
    record.say("three machines are ready");

    let (is_over, sent, paid) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicUsize::new(0)),
    );
    for (index, front) in fronts.iter().enumerate() {
        let (address, is_over, sent, paid, record) = (
            front.front,
            is_over.clone(),
            sent.clone(),
            paid.clone(),
            record.clone(),
        );
        thread::spawn(move || {
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("{index}-{number}");
                let key = if number % 3 == 0 { "second" } else { "secret" };
                let request = format!(
                    "POST /pay/{id} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\n\
                     Deadline-Ms: 3000\r\nX-Api-Key: {key}\r\nContent-Length: 1\r\n\r\nx"
                );
                sent.fetch_add(1, Ordering::Relaxed);
                let answer = site::ask(address, &request, Duration::from_secs(3));
                let status = answer.map_or(0, |answer| answer.status());
                record.note(&format!("consumer: {id} to machine {index}: {status}"));
                if status == 200 {
                    paid.fetch_add(1, Ordering::Relaxed);
                }
                thread::sleep(Duration::from_millis(70));
            }
        });
    }

    // The second report is the first one of a window that had traffic throughout.
    let reported = || -> Vec<u64> {
        let accepted = lock(&cloud.accepted);
        let usage = accepted.iter().filter(|call| call.path == "/usage");
        usage
            .filter_map(|call| member(&call.body, "window")?.parse().ok())
            .collect()
    };
    let first_whole = site::unix_ms() / WINDOW_MS + 1;
    if !site::until(Duration::from_secs(25), || {
        reported().contains(&first_whole)
    }) {
        record.say("no usage report came");
        return ExitCode::from(2);
    }
    record.say(&format!(
        "the platform has accepted the report of window {first_whole}"
    ));
    let only = std::env::var("ONLY").unwrap_or_default();
    if site::has_trouble() {
        let since_end = site::unix_ms().saturating_sub((first_whole + 1) * WINDOW_MS);
        let copy_at = Instant::now() - Duration::from_millis(since_end) - COPY_BEFORE_END;
        store.set_mode(Mode::Silent);
        let loses_power = only != "drill";
        if loses_power {
            fronts.iter().for_each(|front| front.signal(site::SIGKILL));
            fronts.iter_mut().for_each(Front::wait);
            record.say("all processes are killed");
        }
        thread::sleep(DOWN);
        for front in fronts.iter_mut().filter(|_| loses_power) {
            front.set("bootstrap=false");
            front.start();
        }
        thread::sleep(AWAY - DOWN);
        if only == "power" {
            store.set_mode(Mode::Up);
        } else {
            store.return_from(copy_at);
            // What the operator wrote is written again; the engines do so with their heartbeats.
            store.write("config", "main", &manifest);
        }
    }
    thread::sleep(WATCHED);
    is_over.store(true, Ordering::Relaxed);

    let mut reports: BTreeMap<u64, Vec<(String, u64, String)>> = BTreeMap::new();
    for call in lock(&cloud.accepted)
        .iter()
        .filter(|call| call.path == "/usage")
    {
        let window = member(&call.body, "window")
            .and_then(|w| w.parse().ok())
            .unwrap_or(0);
        let counts = member(&call.body, "counts").unwrap_or("").to_string();
        reports
            .entry(window)
            .or_default()
            .push((call.holder.clone(), call.fence, counts));
    }
    let mut is_broken = false;
    for (window, accepted) in &reports {
        for (holder, fence, counts) in accepted {
            record.say(&format!(
                "accepted: window {window} {counts} from {holder}, token {fence}"
            ));
        }
        if accepted
            .iter()
            .any(|(_, _, counts)| *counts != accepted[0].2)
        {
            record.say(&format!(
                "ONE: window {window} was reported with different counts"
            ));
            is_broken = true;
        }
    }
    record.say(&format!(
        "{} sent, {} paid, windows reported: {}",
        sent.load(Ordering::Relaxed),
        paid.load(Ordering::Relaxed),
        reports.len()
    ));
    // A reporter that reports nothing afterwards would prove nothing.
    let last = reports.keys().next_back().copied().unwrap_or(0);
    if last < first_whole + 2 {
        record.say("no later window was reported");
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(is_broken))
}
