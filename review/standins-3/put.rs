//! Waits for a status server, or writes objects into the store of the stand-in.

mod http;

use std::net;
use std::process;
use std::thread;
use std::time::Duration;

/// Longest wait, in steps of [`STEP`].
const STEPS: u32 = 200;
const STEP: Duration = Duration::from_millis(100);

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<_> = words.iter().map(String::as_str).collect();
    let is_done = match words[..] {
        ["wait", address, "/"] => wait(|| net::TcpStream::connect(address).is_ok()),
        ["wait", address, path] => wait(|| get(address, path)),
        ["manifest", address, file] => write(address, "config", "main", file),
        ["object", address, kind, name, file] => write(address, kind, name, file),
        _ => {
            eprintln!(
                "usage: put wait ADDR PATH | manifest ADDR FILE | object ADDR KIND NAME FILE"
            );
            false
        }
    };
    process::exit(if is_done { 0 } else { 2 });
}

fn wait(is_ready: impl Fn() -> bool) -> bool {
    (0..STEPS).any(|_| {
        let ready = is_ready();
        if !ready {
            thread::sleep(STEP);
        }
        ready
    })
}

fn get(address: &str, path: &str) -> bool {
    let Ok(address) = address.parse() else {
        return false;
    };
    matches!(http::call(address, "GET", path, ""), Ok((200, _)))
}

/// Creates an object, or replaces its content.
fn write(address: &str, kind: &str, name: &str, file: &str) -> bool {
    let (Ok(address), Ok(spec)) = (address.parse(), std::fs::read_to_string(file)) else {
        return false;
    };
    let body = format!("{{\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{spec}}}");
    let path = format!("/guavausher/objects/{kind}");
    let created = http::call(address, "POST", &path, &body);
    if matches!(created, Ok((200..=299, _))) {
        return true;
    }
    let replaced = http::call(address, "PUT", &format!("{path}/{name}"), &body);
    matches!(replaced, Ok((200..=299, _)))
}
