//! Heads beyond the bounds of any site are refused; many small lines within them are not.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;
use web::prelude::*;

struct Always;

impl RequestHandler for Always {
    fn handle(self: Arc<Self>, _asked: IncomingRequest) -> ResponseFuture {
        Box::pin(async { bytes_response(StatusCode::OK, "text/plain", "done") })
    }
}

/// What a site answers to a head with so many lines of so many bytes; nothing if it resets the connection.
fn answer_to(address: SocketAddr, lines: usize, bytes: usize) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let flood: String = (0..lines).map(|number| format!("x-{number}: {}\r\n", "y".repeat(bytes))).collect();
    let head = format!("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{flood}\r\n");
    let _ = stream.write_all(head.as_bytes());
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

#[test]
fn a_head_is_bounded_in_bytes_and_in_lines() {
    let runtime = small_runtime(1).unwrap();
    let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    runtime.spawn(serve(listener, Arc::new(Always)));
    assert!(answer_to(address, 1000, 8).starts_with("HTTP/1.1 200"), "many small lines");
    assert!(answer_to(address, 100, 1000).starts_with("HTTP/1.1 200"), "some long lines");
    for (lines, bytes) in [(300, 500), (5000, 1)] {
        let answer = answer_to(address, lines, bytes);
        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 431"), "{lines} lines: {answer}");
    }
}
