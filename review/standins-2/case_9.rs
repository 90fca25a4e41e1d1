//! The store comes back from a copy that is some seconds old, and then one machine is restarted as
//! planned. Does it go back to the manifest of the copy, although all others know the newer one?

#[path = "site.rs"]
mod site;

use std::net::TcpListener;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use site::{Cloud, Deployment, Engines, Front, Mode, Store, lock};

/// `contactMs` and `configApplyMs` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);
const APPLY: Duration = Duration::from_millis(2_000);
/// How long the new version is in force before the store goes away.
const IN_FORCE: Duration = Duration::from_secs(4);
/// How long the store is away.
const AWAY: Duration = Duration::from_secs(2);
/// How long after its return the operator writes the newest manifest again.
const WRITTEN_AGAIN: Duration = Duration::from_secs(12);
/// The machine that is restarted.
const RESTARTED: usize = 1;

/// A request and what became of it.
struct Sent {
    at: Instant,
    machine: usize,
    key: &'static str,
    status: u16,
    service: String,
}

fn manifest(version: u64, service: &str, keys: &str) -> String {
    let text = r#"{"version":VERSION,"routes":[{"name":"pay","host":"site.example","pathPrefix":"/pay/",
"kind":"unsafe","timeoutMs":3000,"goalMs":300,"service":"SERVICE","maxAttempts":1}],
"services":[{"name":"old","maxConnections":100,"healthPath":"/health"},
{"name":"new","maxConnections":100,"healthPath":"/health"}],
"tenants":[{"name":"ward","apiKeys":[KEYS]}]}"#;
    let text = text
        .replace('\n', "")
        .replace("VERSION", &version.to_string());
    text.replace("SERVICE", service).replace("KEYS", keys)
}

fn main() -> ExitCode {
    let record = site::record();
    let (net, ports) = site::free_net(3);
    let listen = || TcpListener::bind("127.0.0.1:0").expect("a free port");
    let store = Store::start(vec![listen()], &record);
    let cloud = Cloud::start(listen(), &record);
    let engines = Engines::new(&record);
    for service in ["old", "new"] {
        for zone in ["a", "b"] {
            engines.start(&store, service, zone, move |_, _| Some(service.into()));
        }
    }
    store.write("config", "main", &manifest(3, "old", r#""kept","dropped""#));
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

    let begun = Instant::now();
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    for (machine, front) in fronts.iter().enumerate() {
        let (address, sent, record) = (front.front, sent.clone(), record.clone());
        thread::spawn(move || {
            for number in 0.. {
                let key = if number % 2 == 0 { "kept" } else { "dropped" };
                let id = format!("{machine}-{number}");
                let request = format!(
                    "POST /pay/{id} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\n\
                     Deadline-Ms: 3000\r\nX-Api-Key: {key}\r\nContent-Length: 1\r\n\r\nx"
                );
                let at = Instant::now();
                let answer = site::ask(address, &request, Duration::from_secs(3));
                let (status, service) =
                    answer.map_or((0, String::new()), |a| (a.status(), a.text()));
                let service = if status == 200 {
                    service
                } else {
                    String::new()
                };
                record.note(&format!("consumer: {id}, key {key}: {status} {service}"));
                lock(&sent).push(Sent {
                    at,
                    machine,
                    key,
                    status,
                    service,
                });
                thread::sleep(Duration::from_millis(100));
            }
        });
    }
    thread::sleep(Duration::from_secs(2));
    let before = Instant::now();
    thread::sleep(Duration::from_millis(1_500));
    store.write("config", "main", &manifest(4, "new", r#""kept""#));
    let confirmed = Instant::now();
    record.say("the operator's version 4 is confirmed: service new, one key dropped");
    thread::sleep(IN_FORCE);
    if site::has_trouble() {
        store.set_mode(Mode::Silent);
        thread::sleep(AWAY);
        store.return_from(before);
    }
    let returned = Instant::now();
    thread::sleep(Duration::from_secs(1));
    fronts[RESTARTED].signal(site::SIGTERM);
    fronts[RESTARTED].wait();
    thread::sleep(Duration::from_millis(300));
    fronts[RESTARTED].start();
    let restarted = Instant::now();
    record.say(&format!(
        "{} was stopped as planned and is started again",
        fronts[RESTARTED].name
    ));
    thread::sleep(WRITTEN_AGAIN.saturating_sub(returned.elapsed()));
    let written_again = Instant::now();
    store.write("config", "main", &manifest(4, "new", r#""kept""#));
    record.say("the operator has written version 4 again");
    thread::sleep(Duration::from_secs(4));

    // A request is handled as only version 3 allows if its service runs or the dropped key is taken.
    let is_older = |s: &Sent| s.service == "old" || s.key == "dropped" && s.status == 200;
    let mut is_broken = false;
    let sent = lock(&sent);
    for (machine, front) in fronts.iter().enumerate() {
        let in_touch = match machine == RESTARTED {
            true => restarted.max(returned) + CONTACT,
            false => returned + CONTACT,
        };
        let of_machine = || sent.iter().filter(|s| s.machine == machine);
        let stable = of_machine().filter(|s| s.at > confirmed + APPLY && s.at < returned - AWAY);
        let judged: Vec<_> = of_machine()
            .filter(|s| s.at > in_touch && s.at < written_again)
            .collect();
        let later = of_machine().filter(|s| s.at > written_again + APPLY);
        let older = judged.iter().filter(|s| is_older(s)).count();
        let with_key = judged
            .iter()
            .filter(|s| s.key == "dropped" && s.status == 200)
            .count();
        record.say(&format!(
            "{}: as version 3 {} before the store went away, {older} of {} in touch after its return \
             ({with_key} with the dropped key), {} after it was written again",
            front.name,
            stable.filter(|s| is_older(s)).count(),
            judged.len(),
            later.filter(|s| is_older(s)).count()
        ));
        if judged.is_empty() {
            record.say("nothing could be judged");
            return ExitCode::from(2);
        }
        is_broken |= older > 0;
    }
    if is_broken {
        record.say("CONFIG: requests are handled as only an older version allows");
    }
    record.note(&format!("took {:.0} s", begun.elapsed().as_secs_f64()));
    ExitCode::from(u8::from(is_broken))
}
