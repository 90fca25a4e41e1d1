//! Responses that follow a plan, and what a caller may get of them.

use super::plan::{Cut, Ending, Framing, Kind};
use super::script::{Asked, Run};

/// A response that an engine is to send.
pub struct Reply {
    pub run: Run,
    /// All bytes of the response.
    pub bytes: String,
    /// Where it is interrupted.
    pub cut: usize,
}

impl Reply {
    /// Composes the response to an attempt; the caller has the events up to `resumed`.
    pub fn compose(asked: &Asked, engine: usize, attempt: usize, resumed: usize) -> Self {
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
            attempt,
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
            has_sent_body: false,
            sent_events: 0,
            is_held: false,
            is_body_wrong: false,
            is_closed: false,
            is_in_vain: false,
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
        let cut = cut(&run, &bytes, head);
        run.has_sent_body = cut > head;
        let sent = bytes.get(head..cut).unwrap_or("");
        let events = run.parts.iter().filter(|p| p.starts_with("id:"));
        run.sent_events = events.filter(|p| sent.contains(*p)).count();
        run.is_held = run.plan.ending == Ending::Silent
            && (cut < bytes.len() || run.plan.framing == Framing::Close);
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

fn cut(run: &Run, bytes: &str, head: usize) -> usize {
    let ends = bytes.match_indices('\n').map(|(at, _)| at + 1);
    let ends: Vec<_> = ends.filter(|end| *end < bytes.len()).collect();
    match run.plan.cut {
        None => bytes.len(),
        Some(Cut::AfterHead) => head,
        Some(Cut::AfterPart) => run.parts.get(run.first).map_or(head, |part| {
            let at = bytes[head..].find(part).unwrap();
            head + at + part.len()
        }),
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
        (_, ending) if ending.continues() => Some(run.body()),
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
