//! A service has been moved to a new version, the store has confirmed `completed`, and the platform has
//! stopped the old engines. Then all machines and the store lose power at once, and the store comes back
//! from a copy that is some seconds old. Is the service served again?

#[path = "site.rs"]
mod site;

use std::net::TcpListener;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use site::{Cloud, Deployment, Engine, Engines, Front, Mode, Record, Store, lock};

/// `recoveryS` of the settings.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time allowed for the move, in seconds.
const DURATION_S: u64 = 16;
/// How long before the status `completed` the copy was made.
const COPY_BEFORE: Duration = Duration::from_millis(1_000);
/// How long after that status the power fails.
const FAILS_AFTER: Duration = Duration::from_millis(500);
/// How long the store is away.
const AWAY: Duration = Duration::from_secs(2);
/// How long the machines are down.
const DOWN: Duration = Duration::from_secs(1);
/// How long the store keeps the entry of an engine that is silent: three check-in intervals.
const ENTRY_KEPT: Duration = Duration::from_millis(3_600);
/// From the status `rolled_back` until the new engines drain, and until they end.
const DRAIN_AFTER: Duration = Duration::from_secs(3);
const DRAINED_AFTER: Duration = Duration::from_secs(3);
/// Work of an engine for a request.
const WORK: Duration = Duration::from_millis(40);
/// Time between two requests of one consumer.
const PAUSE: Duration = Duration::from_millis(1_500);
/// How long it is watched after the recovery time.
const WATCHED: Duration = Duration::from_secs(16);

const MANIFEST: &str = r#"{"version":3,"routes":[{"name":"pay","host":"site.example","pathPrefix":"/pay/",
"kind":"unsafe","timeoutMs":3000,"goalMs":300,"service":"app","maxAttempts":1}],
"services":[{"name":"app","maxConnections":100,"healthPath":"/health"}],
"tenants":[{"name":"ward","apiKeys":["secret"]}]}"#;

/// When a request was sent, its status, and the version that ran it.
type Sent = (Instant, u16, String);

fn order() -> String {
    format!(r#"{{"service":"app","target":"v2","durationS":{DURATION_S}}}"#)
}

/// The platform's part of a move: it stops the old engines at `completed`, and drains the new ones some
/// seconds after `rolled_back`.
fn follow_status(
    store: &Arc<Store>,
    old: Vec<Arc<Engine>>,
    new: Vec<Arc<Engine>>,
    record: &Arc<Record>,
) {
    let (store, record) = (store.clone(), record.clone());
    thread::spawn(move || {
        let mut last = String::new();
        loop {
            thread::sleep(Duration::from_millis(30));
            let status = store.status("rollouts", "app");
            if status == last {
                continue;
            }
            record.say(&format!("status of the move: {status}"));
            if status.contains("completed") {
                old.iter()
                    .filter(|engine| !engine.is_gone())
                    .for_each(|engine| engine.stop(&store));
                record.say("platform: the old engines are stopped");
            }
            if status.contains("rolled_back") {
                thread::sleep(DRAIN_AFTER);
                new.iter().for_each(|engine| engine.drain(&store));
                thread::sleep(DRAINED_AFTER);
                new.iter().for_each(|engine| engine.stop(&store));
                record.say("platform: the new engines have drained and ended");
            }
            last = status;
        }
    });
}

fn consume(machine: usize, front: &Front, record: &Arc<Record>, sent: &Arc<Mutex<Vec<Sent>>>) {
    let (address, record, sent) = (front.front, record.clone(), sent.clone());
    thread::spawn(move || {
        for number in 0.. {
            let id = format!("{machine}-{number}");
            let request = format!(
                "POST /pay/{id} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\n\
                 Deadline-Ms: 3000\r\nX-Api-Key: secret\r\nContent-Length: 1\r\n\r\nx"
            );
            let at = Instant::now();
            let answer = site::ask(address, &request, Duration::from_secs(3));
            let (status, body) = answer.map_or((0, String::new()), |a| (a.status(), a.text()));
            record.note(&format!("consumer: {id}: {status} {body}"));
            lock(&sent).push((at, status, body));
            thread::sleep(PAUSE);
        }
    });
}

fn main() -> ExitCode {
    let record = site::record();
    let (net, ports) = site::free_net(3);
    let listen = || TcpListener::bind("127.0.0.1:0").expect("a free port");
    let store = Store::start(vec![listen()], &record);
    let cloud = Cloud::start(listen(), &record);
    let engines = Engines::new(&record);
    let manifest = MANIFEST.replace('\n', "");
    store.write("config", "main", &manifest);
    let start = |version: &'static str| -> Vec<Arc<Engine>> {
        let work = move |_: &site::Message, _: &std::net::TcpStream| {
            thread::sleep(WORK);
            Some(String::from(version))
        };
        let zones = ["a", "b"].into_iter();
        zones
            .map(|zone| engines.start_version(&store, "app", version, zone, work))
            .collect()
    };
    let old = start("v1");
    let deployment = Deployment {
        folder: site::folder(),
        store: store.addresses[0],
        cloud: cloud.address,
        net,
        ports,
        lines: String::new(),
    };
    let zones = [(1, "a"), (2, "a"), (3, "b")];
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
    fronts.iter().for_each(|front| front.set("bootstrap=false"));
    record.say("three machines are ready");
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    fronts
        .iter()
        .enumerate()
        .for_each(|(index, front)| consume(index, front, &record, &sent));
    let begun = Instant::now();
    thread::sleep(Duration::from_secs(5));

    let new = start("v2");
    store.write("rollouts", "app", &order());
    record.say("the operator has ordered the move to v2, whose engines run beside the old ones");
    follow_status(&store, old.clone(), new.clone(), &record);
    let is_completed = || store.status("rollouts", "app").contains("completed");
    if !site::until(Duration::from_secs(DURATION_S + 3), is_completed) {
        record.say("the move was not completed");
        return ExitCode::from(2);
    }
    let copy_at = Instant::now() - COPY_BEFORE;
    thread::sleep(FAILS_AFTER);
    let failed = Instant::now();
    let only = std::env::var("ONLY").unwrap_or_default();
    if site::has_trouble() {
        store.set_mode(Mode::Silent);
        let loses_power = only != "drill";
        if loses_power {
            fronts.iter().for_each(|front| front.signal(site::SIGKILL));
            fronts.iter_mut().for_each(Front::wait);
            record.say("all machines have lost power");
        }
        thread::sleep(DOWN);
        if loses_power {
            fronts.iter_mut().for_each(Front::start);
        }
        thread::sleep(AWAY - DOWN);
        if only == "power" {
            store.set_mode(Mode::Up);
        } else {
            store.return_from(copy_at);
            // What the operator and the engines wrote is written again; the old engines are gone.
            store.write("config", "main", &manifest);
            store.write("rollouts", "app", &order());
        }
        let (store, old) = (store.clone(), old);
        thread::spawn(move || {
            thread::sleep(ENTRY_KEPT);
            old.iter()
                .for_each(|engine| store.remove("servers", &engine.id));
        });
    }
    let back = Instant::now();
    thread::sleep(RECOVERY + WATCHED);

    let sent = lock(&sent);
    let served = |from: Instant, to: Instant| {
        let of_span: Vec<_> = sent
            .iter()
            .filter(|(at, ..)| *at >= from && *at < to)
            .collect();
        (
            of_span
                .iter()
                .filter(|(_, status, _)| *status == 200)
                .count(),
            of_span.len(),
        )
    };
    let (before, of_before) = served(begun, failed);
    let (meanwhile, of_meanwhile) = served(back, back + RECOVERY);
    let (after, of_after) = served(back + RECOVERY, Instant::now() - Duration::from_secs(3));
    record.say(&format!(
        "served: {before} of {of_before} before, {meanwhile} of {of_meanwhile} in the {} s after the \
         machines were back, {after} of {of_after} later",
        RECOVERY.as_secs()
    ));
    if 4 * before < of_before || of_after < 10 {
        record.say("nothing could be judged");
        return ExitCode::from(2);
    }
    let is_broken = 4 * after < of_after;
    if is_broken {
        record.say("RECOVER: less than a quarter is served, though a quarter or more was before");
    }
    ExitCode::from(u8::from(is_broken))
}
