//! Nodes over real loopback sockets, all in this process.

use std::fs;
use std::net;
use std::sync;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel;
use guavausher_core::peering;
use guavausher_core::time;
use guavausher_node::peers;

use super::model;

const SETTLE: Duration = Duration::from_secs(15);
const SPAN: Duration = Duration::from_secs(20);
const EVENTS: usize = 4096;
/// Clock ticks in a second in the kernel's counts.
const TICKS: f64 = 100.0;
/// Bytes of a page in the kernel's counts.
const PAGE_BYTES: f64 = 4096.0;
const KEY: &str = "a-key-for-this-bench-only";

/// Runs that many nodes at rest and prints what each costs.
pub fn run(nodes: usize) {
    let before = memory();
    let mut started = Vec::new();
    for index in 0..nodes {
        match start(index, nodes) {
            Ok(node) => started.push(node),
            Err(error) => {
                eprintln!("node {index} cannot start: {error}; raise the limit of open files");
                return;
            }
        }
    }
    let list: Vec<_> = started.iter().map(|node| node.member.clone()).collect();
    let handles: Vec<_> = started.iter().map(|node| node.handle.clone()).collect();
    for node in started {
        let list = list.clone();
        thread::spawn(move || drive(node, list));
    }
    thread::sleep(SETTLE);
    let (cpu, bytes, clock) = (processor(), traffic(&handles), Instant::now());
    thread::sleep(SPAN);
    let seconds = clock.elapsed().as_secs_f64();
    let each = 1.0 / nodes as f64 / seconds;
    let links: u64 = handles.iter().map(|handle| links(handle)).sum();
    println!(
        "{nodes} nodes at rest over sockets: {:.1} links, {:.0} B/s sent and received with h2, \
         {:.3}% of a core, {:.2} MB resident a node",
        links as f64 / nodes as f64,
        (traffic(&handles) - bytes) as f64 * each,
        (processor() - cpu) * each * 100.0,
        (memory() - before) / nodes as f64 / 1e6,
    );
}

struct Node {
    handle: sync::Arc<peers::Handle>,
    events: channel::Receiver<peers::Event>,
    member: peering::Member,
}

fn start(index: usize, nodes: usize) -> Result<Node, Box<dyn std::error::Error>> {
    let listen = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let mut member = model::member(index, nodes);
    let (sender, events) = channel::bounded(EVENTS);
    let config = peers::Config {
        listen: Some(listen),
        key: peers::Key::new(KEY)?,
        own: member.clone(),
        limits: peers::Limits::default(),
    };
    let handle = sync::Arc::new(peers::start(config, sender)?);
    member.address = handle.address().unwrap_or(listen);
    Ok(Node {
        handle,
        events,
        member,
    })
}

fn drive(node: Node, list: Vec<peering::Member>) {
    let clock = Instant::now();
    let now = || time::Time::from_millis(1_790_000_000_000).after(clock.elapsed());
    let mut state = peering::Peering::new(node.member.clone(), node.member.address.port().into());
    let mut input = peering::Input::Members(list);
    loop {
        for output in state.reduce(now(), input) {
            match output {
                peering::Output::Send { to, message } => node.handle.send(&to, message),
                peering::Output::Link(member) => node.handle.link(member),
                peering::Output::Unlink(peer) => node.handle.unlink(&peer),
                _ => {}
            }
        }
        let wait = now().until(state.wake());
        input = match node.events.recv_timeout(wait) {
            Ok(event) => event.into(),
            Err(channel::RecvTimeoutError::Timeout) => peering::Input::Tick,
            Err(channel::RecvTimeoutError::Disconnected) => return,
        };
    }
}

fn traffic(handles: &[sync::Arc<peers::Handle>]) -> u64 {
    let of = |handle: &sync::Arc<peers::Handle>| {
        let counters = handle.counters();
        counters.sent_bytes.get() + counters.received_bytes.get()
    };
    handles.iter().map(of).sum()
}

fn links(handle: &peers::Handle) -> u64 {
    handle.counters().links.get()
}

/// Returns the seconds of processor time that this process has used.
fn processor() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let rest = stat.rsplit(')').next().unwrap_or_default();
    let field = |index: usize| rest.split_whitespace().nth(index);
    let ticks = [11, 12].map(|index| field(index).and_then(|text| text.parse::<f64>().ok()));
    ticks.into_iter().flatten().sum::<f64>() / TICKS
}

/// Returns the resident bytes of this process.
fn memory() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|text| text.parse::<f64>().ok())
        .unwrap_or(0.0)
        * PAGE_BYTES
}
