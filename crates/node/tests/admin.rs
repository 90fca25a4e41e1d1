//! Management address over real sockets.

mod ports;

use std::io::{Read, Write};
use std::net;

use guavausher_node::admin;
use prometheus_client::registry;
use rstest::rstest;

fn get(address: net::SocketAddr, path: &str) -> String {
    let mut stream = net::TcpStream::connect(address).unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

fn start() -> (net::SocketAddr, admin::Readiness) {
    let address = ports::free();
    let readiness = admin::Readiness::default();
    admin::serve(address, readiness.clone(), registry::Registry::default()).unwrap();
    (address, readiness)
}

#[rstest]
#[case::live("/livez", "200 OK", "alive")]
#[case::ready("/readyz", "503 Service Unavailable", "starting")]
#[case::metrics("/metrics", "200 OK", "# EOF")]
#[case::unknown("/", "404 Not Found", "use /livez")]
fn serve_answers(#[case] path: &str, #[case] status: &str, #[case] body: &str) {
    let (address, _readiness) = start();
    let answer = get(address, path);
    assert!(answer.contains(status) && answer.contains(body), "{answer}");
}

#[test]
fn serve_follows_readiness() {
    let (address, readiness) = start();
    readiness.set_ready();
    assert!(get(address, "/readyz").contains("200 OK"));
    readiness.set_unready("draining");
    assert!(get(address, "/readyz").contains("draining"));
}
