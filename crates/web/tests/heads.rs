//! Request heads over the server's limits are refused; many small lines within the limits are accepted.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;
use web::prelude::*;

struct AlwaysOk;

impl RequestHandler for AlwaysOk {
    fn handle(self: Arc<Self>, _request: IncomingRequest) -> ResponseFuture {
        Box::pin(async { bytes_response(StatusCode::OK, "text/plain", "done") })
    }
}

/// The response to a head with this number of lines of this many bytes; empty if the connection is reset.
fn response_to(address: SocketAddr, lines: usize, bytes: usize) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let header_lines: String = (0..lines).map(|number| format!("x-{number}: {}\r\n", "y".repeat(bytes))).collect();
    let head = format!("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{header_lines}\r\n");
    let _ = stream.write_all(head.as_bytes());
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

#[test]
fn a_head_is_limited_in_bytes_and_in_lines() {
    let runtime = small_runtime(1).unwrap();
    let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    runtime.spawn(serve(listener, Arc::new(AlwaysOk)));
    assert!(response_to(address, 1000, 8).starts_with("HTTP/1.1 200"), "many small lines");
    assert!(response_to(address, 100, 1000).starts_with("HTTP/1.1 200"), "some long lines");
    for (lines, bytes) in [(300, 500), (5000, 1)] {
        let response = response_to(address, lines, bytes);
        assert!(response.is_empty() || response.starts_with("HTTP/1.1 431"), "{lines} lines: {response}");
    }
}
