//! Why token streams are not served by oxhttp: its server holds a chunked body back.

mod ports;

use std::io::{self, Read, Write};
use std::net;
use std::sync::mpsc;
use std::time::Duration;

use oxhttp::model;

const TOKEN: &[u8] = b"id: 0\ndata: {\"t\":\"a\"}\n\n";

/// Gives three tokens at once and ends when the other side is dropped.
struct Tokens {
    left: usize,
    end: mpsc::Receiver<()>,
}

impl Read for Tokens {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.left == 0 {
            let _ = self.end.recv();
            return Ok(0);
        }
        self.left -= 1;
        buffer[..TOKEN.len()].copy_from_slice(TOKEN);
        Ok(TOKEN.len())
    }
}

#[test]
fn body_is_held_back_until_it_ends() {
    let (end, ended) = mpsc::channel();
    let body = std::sync::Mutex::new(Some(Tokens {
        left: 3,
        end: ended,
    }));
    let serve = move |_: &mut model::Request<model::Body>| {
        let tokens = body.lock().expect("one caller").take();
        let body = tokens.map_or_else(model::Body::empty, model::Body::from_read);
        model::Response::new(body)
    };
    let address = ports::free();
    oxhttp::Server::new(serve)
        .bind(address)
        .spawn()
        .expect("the server starts");
    let mut caller = net::TcpStream::connect(address).expect("a connection");
    caller
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        .expect("a request");
    caller
        .set_read_timeout(Some(Duration::from_millis(500)))
        .expect("a limit");
    let mut early = [0; 1024];
    let held = caller.read(&mut early).is_err();
    assert!(
        held,
        "oxhttp streams now; DESIGN.md and the entry may follow"
    );
    drop(end);
    caller.set_read_timeout(None).expect("no limit");
    let mut answer = Vec::new();
    caller.read_to_end(&mut answer).expect("an answer");
    let text = String::from_utf8_lossy(&answer);
    assert_eq!(text.matches("data:").count(), 3);
}
