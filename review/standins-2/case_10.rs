//! The store is silent to one machine while that machine is restarted as planned and its settings
//! file changes. Does the machine's process live through the SIGHUP that says so?

#[path = "site.rs"]
mod site;

use std::net::TcpListener;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use site::{Cloud, Deployment, Engines, Front, Mode, Store};

/// From the last byte of the request to the SIGHUP; `lossSlackMs` is 200.
const HUP_AFTER: Duration = Duration::from_millis(250);
/// How long the store is silent to a machine at most.
const SILENT: Duration = Duration::from_secs(9);

const MANIFEST: &str = r#"{"version":3,"routes":[{"name":"look","host":"site.example","pathPrefix":"/look/",
"kind":"safe","timeoutMs":3000,"goalMs":300,"service":"app","maxAttempts":2,"allowAnonymous":true}],
"services":[{"name":"app","maxConnections":100,"healthPath":"/health"}],
"tenants":[{"name":"ward","apiKeys":["secret"]}]}"#;

fn look(id: &str) -> String {
    format!(
        "GET /look/{id} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\n\r\n"
    )
}

fn main() -> ExitCode {
    let record = site::record();
    let (net, ports) = site::free_net(3);
    let listen = || TcpListener::bind("127.0.0.1:0").expect("a free port");
    let store = Store::start((0..4).map(|_| listen()).collect(), &record);
    let cloud = Cloud::start(listen(), &record);
    let engines = Engines::new(&record);
    for zone in ["a", "b"] {
        engines.start(&store, "app", zone, |_, _| Some("done".into()));
    }
    store.write("config", "main", &MANIFEST.replace('\n', ""));
    let new = |number: u8| {
        let deployment = Deployment {
            folder: site::folder(),
            store: store.addresses[usize::from(number)],
            cloud: cloud.address,
            net: net.clone(),
            ports,
            lines: String::new(),
        };
        Front::new(&deployment, number, "a", &record)
    };
    let mut fronts: Vec<_> = (1..=3).map(new).collect();
    fronts.iter_mut().for_each(Front::start);
    if !site::until(Duration::from_secs(15), || {
        fronts.iter().all(Front::is_ready)
    }) {
        record.say("the machines did not get ready");
        return ExitCode::from(2);
    }
    fronts.iter().for_each(|front| front.set("bootstrap=false"));
    record.say("three machines are ready");
    thread::sleep(Duration::from_secs(4));

    let mut is_broken = false;
    for (index, front) in fronts.iter_mut().enumerate() {
        let silent_since = Instant::now();
        if site::has_trouble() {
            store.set_mode_at(index + 1, Mode::Silent);
        }
        front.signal(site::SIGTERM);
        front.wait();
        front.start();
        // The platform uses all machines of a zone if fewer than half of them are ready.
        let id = format!("first-{index}");
        let (address, request) = (front.front, look(&id));
        if !site::until(Duration::from_secs(5), || {
            std::net::TcpStream::connect(address).is_ok()
        }) {
            record.say("the machine did not listen");
            return ExitCode::from(2);
        }
        let consumer = thread::spawn(move || {
            let begun = Instant::now();
            let answer = site::ask(address, &request, Duration::from_secs(3));
            (
                answer.map(|a| a.status()).map_err(|e| e.to_string()),
                begun.elapsed(),
            )
        });
        thread::sleep(HUP_AFTER);
        if site::has_trouble() {
            front.set("heartbeatMs=1200");
            front.signal(site::SIGHUP);
        }
        let (answer, took) = consumer.join().expect("the consumer");
        thread::sleep(Duration::from_millis(300));
        let ended = front.ended();
        record.say(&format!(
            "{}: {id} got {answer:?} after {} ms; the process {}; run {} times",
            front.name,
            took.as_millis(),
            ended
                .as_ref()
                .map_or("lives".into(), |status| format!("has ended: {status}")),
            engines.count(&id)
        ));
        if ended.is_some() {
            is_broken = true;
            record.say("LOST: the process ended by itself, and with it a request that it had read");
            front.start();
        }
        if site::has_trouble() {
            thread::sleep((SILENT / 3).saturating_sub(silent_since.elapsed()));
            store.set_mode_at(index + 1, Mode::Up);
        }
        if !site::until(Duration::from_secs(15), || front.is_ready()) {
            record.say("the machine did not get ready again");
            return ExitCode::from(2);
        }
        thread::sleep(Duration::from_secs(4));
    }
    ExitCode::from(u8::from(is_broken))
}
