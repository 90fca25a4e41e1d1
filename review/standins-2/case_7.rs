//! The store is down for so long that the entries of engines lapse, and right after its return it goes
//! away again and comes back from a copy that holds the entries. No machine and no engine fails. Are
//! the engines used again?

#[path = "site.rs"]
mod site;

use std::net::TcpListener;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use site::{Cloud, Deployment, Engine, Engines, Front, Mode, Record, Store, lock};

/// How long the store is down at first; entries lapse after three check-in intervals, 3.6 s.
const DOWN: Duration = Duration::from_millis(4_500);
/// From its return until it goes away again.
const BETWEEN: Duration = Duration::from_millis(1_400);
/// From its return until the entries of one service's engines are back: about two seconds.
const BACK_WITHIN: Duration = Duration::from_millis(1_900);
/// How long the store is away then.
const AWAY: Duration = Duration::from_secs(1);
/// From then until requests are judged, and how long.
const SETTLED: Duration = Duration::from_secs(5);
const WATCHED: Duration = Duration::from_secs(40);

const MANIFEST: &str = r#"{"version":3,"routes":[{"name":"pay","host":"site.example","pathPrefix":"/pay/",
"kind":"unsafe","timeoutMs":3000,"goalMs":300,"service":"app","maxAttempts":1},
{"name":"look","host":"site.example","pathPrefix":"/look/","kind":"safe","timeoutMs":3000,"goalMs":300,
"service":"desk","maxAttempts":2}],
"services":[{"name":"app","maxConnections":100,"healthPath":"/health"},
{"name":"desk","maxConnections":100,"healthPath":"/health"}],
"tenants":[{"name":"ward","apiKeys":["secret"]}]}"#;

/// A request and its answer.
struct Sent {
    at: Instant,
    kind: &'static str,
    status: u16,
}

fn consume(machine: usize, front: &Front, record: &Arc<Record>, sent: &Arc<Mutex<Vec<Sent>>>) {
    let (address, record, sent) = (front.front, record.clone(), sent.clone());
    thread::spawn(move || {
        for number in 0.. {
            let (kind, line) = match number % 2 {
                0 => ("pay", "POST /pay/x HTTP/1.1\r\nContent-Length: 1"),
                _ => ("look", "GET /look/x HTTP/1.1"),
            };
            let id = format!("{kind}-{machine}-{number}");
            let body = if kind == "pay" { "x" } else { "" };
            let request = format!(
                "{line}\r\nHost: site.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\n\
                 X-Api-Key: secret\r\n\r\n{body}"
            );
            let at = Instant::now();
            let answer = site::ask(address, &request, Duration::from_secs(3));
            let status = answer.map_or(0, |answer| answer.status());
            record.note(&format!("consumer: {id}: {status}"));
            lock(&sent).push(Sent { at, kind, status });
            thread::sleep(Duration::from_millis(60));
        }
    });
}

/// Returns `true` if an engine answers a request that is sent to it itself.
fn is_alive(engine: &Engine) -> bool {
    let request = format!(
        "GET /look/x HTTP/1.1\r\nHost: site.example\r\nRequest-Id: check\r\nExpect-Instance: {}\r\n\r\n",
        engine.id
    );
    let answer = site::ask(engine.address, &request, Duration::from_secs(1));
    answer.is_ok_and(|answer| answer.status() == 200)
}

fn main() -> ExitCode {
    let record = site::record();
    let (net, ports) = site::free_net(3);
    let listen = || TcpListener::bind("127.0.0.1:0").expect("a free port");
    let store = Store::start(vec![listen()], &record);
    let cloud = Cloud::start(listen(), &record);
    let all = Engines::new(&record);
    let manifest = MANIFEST.replace('\n', "");
    store.write("config", "main", &manifest);
    let start = |service: &str| -> Vec<Arc<Engine>> {
        let zones = ["a", "b", "a"].into_iter();
        zones
            .map(|zone| all.start(&store, service, zone, |_, _| Some("done".into())))
            .collect()
    };
    let (app, desk) = (start("app"), start("desk"));
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
    record.say("three machines are ready");
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    fronts
        .iter()
        .enumerate()
        .for_each(|(index, front)| consume(index, front, &record, &sent));
    let begun = Instant::now();
    thread::sleep(Duration::from_secs(7));

    let failed = Instant::now();
    let mode = std::env::var("ONLY").unwrap_or_default();
    if site::has_trouble() && mode != "drill" {
        store.set_mode(Mode::Silent);
        thread::sleep(DOWN);
        app.iter()
            .chain(&desk)
            .for_each(|engine| store.remove("servers", &engine.id));
        let back = Instant::now();
        app.iter()
            .for_each(|engine| engine.stay_away(back + BACK_WITHIN));
        store.set_mode(Mode::Up);
        record.say("the store is back, the entries of engines have lapsed");
        thread::sleep(BETWEEN);
    }
    if site::has_trouble() && mode != "outage" {
        store.set_mode(Mode::Silent);
        thread::sleep(AWAY);
        store.return_from(failed);
        store.write("config", "main", &manifest);
    }
    let returned = Instant::now();
    thread::sleep(SETTLED + WATCHED);

    let living = app.iter().filter(|engine| is_alive(engine)).count();
    let sent = lock(&sent);
    let served = |kind: &str, from: Instant, to: Instant| {
        let of_kind = || {
            sent.iter()
                .filter(|s| (kind.is_empty() || s.kind == kind) && s.at >= from && s.at < to)
        };
        (
            of_kind().filter(|s| s.status == 200).count(),
            of_kind().count(),
        )
    };
    let end = Instant::now() - Duration::from_secs(3);
    let mut shares = Vec::new();
    for kind in ["pay", "look", ""] {
        let (before, of_before) = served(kind, begun, failed);
        let (after, of_after) = served(kind, returned + SETTLED, end);
        let name = if kind.is_empty() { "all" } else { kind };
        record.say(&format!(
            "{name}: served {before} of {of_before} before, {after} of {of_after} from {} s after the last \
             return of the store on",
            SETTLED.as_secs()
        ));
        shares.push(after as f64 / of_after.max(1) as f64);
    }
    record.say(&format!(
        "{living} of {} engines of the service live and answer a request sent to them; all machines ready: {}",
        app.len(),
        fronts.iter().all(Front::is_ready)
    ));
    if living < app.len() {
        record.say("an engine has failed");
        return ExitCode::from(2);
    }
    let is_broken = 4.0 * shares[0] < shares[2];
    if is_broken {
        record.say(
            "Starved: a kind of request is served less than a quarter as often as all requests",
        );
    }
    ExitCode::from(u8::from(is_broken))
}
