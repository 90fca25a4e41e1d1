//! Engines that follow seeded plans and record what they ran.

use std::cell;
use std::net;
use std::rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

use super::plan::{Cut, Ending, Extra, Framing, Kind, Plan, Route};
use crate::support::{Seen, until};

/// A pause longer than those after which a request is sent to another engine.
pub const PAUSE: Duration = Duration::from_millis(250);
/// Time between two writes, so that they arrive separately.
const STEP: Duration = Duration::from_millis(2);

/// A request of a script.
#[derive(Clone, Debug)]
pub struct Asked {
    pub id: String,
    pub route: Route,
    /// Events of the stream, or lines of the body.
    pub parts: usize,
    /// What the engines do with its first, second and further attempts.
    pub plans: Vec<Plan>,
}

/// A request as it reached an engine, and what the engine sent.
#[derive(Clone, Debug)]
pub struct Run {
    pub engine: usize,
    pub plan: Plan,
    pub status: u16,
    pub stamp: String,
    /// Events or lines of the complete body; those before `first` were received before.
    pub parts: Vec<String>,
    pub first: usize,
    /// The body of a response that may look complete; `None` if it must look broken.
    pub complete: Option<String>,
    /// What the engine wrote before the response, of earlier requests.
    pub earlier: String,
}

impl Run {
    pub fn has_run(&self) -> bool {
        !matches!(self.plan.kind, Kind::Refusal(_))
    }

    pub fn body(&self) -> String {
        self.parts[self.first..].concat()
    }
}

/// The requests of a script, and the engines' records of them.
#[derive(Debug)]
pub struct Script {
    pub asked: Vec<Asked>,
    pub runs: Vec<cell::RefCell<Vec<Run>>>,
}

/// Starts an engine and returns its address.
pub async fn start(engine: usize, script: rc::Rc<Script>) -> net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            stream.set_nodelay(true).unwrap();
            tokio::task::spawn_local(serve(stream, engine, script.clone()));
        }
    });
    address
}

/// The response to the previous request on a connection.
struct Previous {
    id: String,
    bytes: String,
}

async fn serve(mut stream: TcpStream, engine: usize, script: rc::Rc<Script>) -> Option<()> {
    let mut bytes = Vec::new();
    let mut previous = None;
    loop {
        let head = until(&mut stream, &mut bytes, b"\r\n\r\n").await?;
        let request = Seen {
            head: String::from_utf8(head).unwrap(),
            body: Vec::new(),
        };
        let length = request
            .header("content-length")
            .map_or(0, |l| l.parse().unwrap());
        while bytes.len() < length {
            if stream.read_buf(&mut bytes).await.ok()? == 0 {
                return None;
            }
        }
        bytes.drain(..length);
        let id = request.header("x-id").unwrap();
        let index = script.asked.iter().position(|a| a.id == id).unwrap();
        let resumed = request
            .header("x-resume")
            .map_or(0, |last| last.parse().unwrap());
        let attempt = script.runs[index].borrow().len();
        let asked = &script.asked[index];
        let mut reply = Reply::compose(asked, engine, attempt, resumed);
        let plan = reply.run.plan.clone();
        reply.run.earlier = extra(plan.before, &previous);
        let earlier = reply.run.earlier.clone();
        script.runs[index].borrow_mut().push(reply.run);
        let (sent, rest) = reply.bytes.split_at(reply.cut);
        write(&mut stream, &(earlier + sent), &plan.splits).await?;
        match plan.ending {
            Ending::Keep => write(&mut stream, rest, &[]).await?,
            Ending::Pause => {
                tokio::time::sleep(PAUSE).await;
                write(&mut stream, rest, &[]).await?;
            }
            Ending::Close => return None,
            Ending::Reset => {
                tokio::time::sleep(STEP).await;
                stream.set_zero_linger().unwrap();
                return None;
            }
            Ending::Silent => {
                stream.read_to_end(&mut bytes).await.ok()?;
                return None;
            }
        }
        if plan.framing == Framing::Close {
            return None;
        }
        previous = Some(Previous {
            id,
            bytes: reply.bytes,
        });
        if plan.is_after_late {
            tokio::time::sleep(STEP).await;
        }
        write(&mut stream, &extra(plan.after, &previous), &[]).await?;
    }
}

async fn write(stream: &mut TcpStream, text: &str, splits: &[usize]) -> Option<()> {
    let mut ends: Vec<_> = splits.iter().map(|s| s % (text.len() + 1)).collect();
    ends.push(text.len());
    ends.sort_unstable();
    let mut start = 0;
    for end in ends {
        if start > 0 && end > start {
            tokio::time::sleep(STEP).await;
        }
        stream.write_all(&text.as_bytes()[start..end]).await.ok()?;
        start = end;
    }
    Some(())
}

fn extra(extra: Option<Extra>, previous: &Option<Previous>) -> String {
    let (Some(extra), Some(previous)) = (extra, previous) else {
        return String::new();
    };
    let refusal = "HTTP/1.1 503 Full\r\nX-Refused: 1\r\nContent-Length: 0\r\n";
    match extra {
        Extra::RefusalWithId => format!("{refusal}X-Id: {}\r\n\r\n", previous.id),
        Extra::RefusalWithoutId => format!("{refusal}\r\n"),
        Extra::Duplicate => previous.bytes.clone(),
    }
}

struct Reply {
    run: Run,
    bytes: String,
    cut: usize,
}

impl Reply {
    fn compose(asked: &Asked, engine: usize, attempt: usize, resumed: usize) -> Self {
        let plan = asked.plans[attempt.min(asked.plans.len() - 1)].clone();
        let is_events = asked.route.is_stream() && plan.kind == Kind::Success;
        let parts = (1..=asked.parts).map(|k| match is_events {
            true => format!(
                "id: {k}\ndata: {} engine {engine} run {attempt}\n\n",
                asked.id
            ),
            false => format!("{} engine {engine} run {attempt} line {k}\n", asked.id),
        });
        let stamp = format!("{}-{engine}-{attempt}", asked.id);
        let (status, proof) = match plan.kind {
            Kind::Success => (200, format!("X-Stamp: {stamp}")),
            Kind::Refusal(status) => (status, String::from("X-Refused: 1")),
            Kind::Failure(status) => (status, format!("X-Stamp: {stamp}")),
        };
        let mut run = Run {
            engine,
            status,
            stamp,
            parts: parts.collect(),
            first: if is_events {
                resumed.min(asked.parts)
            } else {
                0
            },
            complete: None,
            earlier: String::new(),
            plan,
        };
        let id = &asked.id;
        let mut bytes =
            format!("HTTP/1.1 103 Early\r\nX-Id: {id}\r\n\r\n").repeat(run.plan.interims);
        bytes += &format!("HTTP/1.1 {status} Word\r\nX-Id: {id}\r\n{proof}\r\n");
        let body = run.body();
        let framed = match run.plan.framing {
            Framing::Length => format!("Content-Length: {}\r\n\r\n{body}", body.len()),
            Framing::Chunked => {
                let pieces = run.parts[run.first..].iter();
                let chunks = pieces.map(|p| format!("{:x}\r\n{p}\r\n", p.len()));
                format!(
                    "Transfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n",
                    chunks.collect::<String>()
                )
            }
            Framing::Close => format!("\r\n{body}"),
        };
        bytes += &framed;
        let head = head_length(&bytes, run.plan.interims);
        let cut = cut(&run.plan, &bytes, head);
        run.complete = match cut == bytes.len() {
            true => complete_whole(&run),
            false => complete_interrupted(&run, bytes.get(head..cut)),
        };
        Self { run, bytes, cut }
    }
}

fn head_length(bytes: &str, interims: usize) -> usize {
    let (at, mark) = bytes.match_indices("\r\n\r\n").nth(interims).unwrap();
    at + mark.len()
}

fn cut(plan: &Plan, bytes: &str, head: usize) -> usize {
    let ends: Vec<_> = bytes.match_indices('\n').map(|(at, _)| at + 1).collect();
    match plan.cut {
        None => bytes.len(),
        Some(Cut::AfterHead) => head,
        Some(Cut::LineEnd(n)) => ends[n % ends.len()],
        Some(Cut::Byte(n)) => n % bytes.len(),
    }
}

/// Returns the body of a response that was written to its end, if it may look complete.
fn complete_whole(run: &Run) -> Option<String> {
    // Without a length, the end of the connection is the end of the body.
    let is_open = run.plan.framing == Framing::Close
        && matches!(run.plan.ending, Ending::Reset | Ending::Silent);
    (!is_open).then(|| run.body())
}

/// Returns the body of an interrupted response if it may look complete; `sent` is what was written
/// of it after the head.
///
/// A response without a length may end with its connection, so that this one may look complete,
/// except that it has a body and a stream ends after an event.
fn complete_interrupted(run: &Run, sent: Option<&str>) -> Option<String> {
    let is_stream = run.parts[0].starts_with("id:");
    match (run.plan.framing, run.plan.ending) {
        (_, Ending::Keep | Ending::Pause) => Some(run.body()),
        (Framing::Close, Ending::Close) => {
            let may_end = |sent: &&str| match run.plan.kind {
                Kind::Success if is_stream => sent.ends_with("\n\n"),
                _ => !sent.is_empty(),
            };
            sent.filter(may_end).map(String::from)
        }
        _ => None,
    }
}
