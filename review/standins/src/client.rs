//! A client of the platform: one request on a new connection, and what came back.

use crate::http;
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request of a client.
#[derive(Clone, Debug)]
pub struct ClientRequest<'a> {
    pub attempt: &'a str,
    pub path: &'a str,
    pub key: &'a str,
    /// Empty for a request to engines without models.
    pub model: &'a str,
    /// `ID:TOKENS`, joined by commas.
    pub parts: &'a str,
}

impl ClientRequest<'_> {
    /// The bytes of the request.
    fn encode(&self) -> Vec<u8> {
        let tokens = |part: &str| part.split(':').nth(1).and_then(|tokens| tokens.parse::<u64>().ok());
        let prompt: u64 = self.parts.split(',').filter_map(tokens).sum();
        let mut headers = vec![
            ("Host", HOST.to_owned()),
            ("X-Haremount-Attempt-Id", self.attempt.to_owned()),
            ("X-Haremount-Deadline-Ms", DEADLINE_MS.to_string()),
            ("Authorization", format!("Token {}", self.key)),
        ];
        if !self.model.is_empty() {
            headers.push(("X-Haremount-Model", self.model.to_owned()));
            headers.push(("X-Haremount-Token-Counts", format!("{prompt},24")));
            headers.push(("X-Haremount-Prompt-Prefix", self.parts.to_owned()));
        }
        http::encode(&format!("POST {} HTTP/1.1", self.path), &headers, "prompt")
    }
}

/// What a client saw.
#[derive(Clone, Debug)]
pub struct Answer {
    pub sent: Instant,
    pub ended: Instant,
    /// 0 if the connection ended without a head.
    pub status: u16,
    /// Whether the answer ended as complete.
    pub is_complete: bool,
    /// `Retry-After` in seconds.
    pub retry_after: f64,
}

pub const HOST: &str = "ficu95.example";
const PATIENCE: Duration = Duration::from_secs(20);
const DEADLINE_MS: u64 = 20_000;

/// Sends a request and reads its answer to the end.
pub fn send(front: SocketAddr, request: &ClientRequest<'_>, record: &Record) -> Answer {
    let sent = Instant::now();
    record.note(format!("client sends {request:?}"));
    let received = exchange(front, request);
    let ended = Instant::now();
    let (status, is_complete, retry_after) = received.unwrap_or((0, false, 0.0));
    record.note(format!(
        "client got {}: status {status}, {} after {} ms",
        request.attempt,
        if is_complete { "complete" } else { "cut" },
        (ended - sent).as_millis()
    ));
    Answer { sent, ended, status, is_complete, retry_after }
}

fn exchange(front: SocketAddr, request: &ClientRequest<'_>) -> Option<(u16, bool, f64)> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.write_all(&request.encode()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut answer = http::read_head(&mut reader)?;
    http::read_body(&mut reader, &mut answer);
    let retry_after = answer.header("retry-after").and_then(|seconds| seconds.parse().ok()).unwrap_or(0.0);
    Some((answer.status(), answer.is_whole, retry_after))
}

/// Sends a request and closes the connection a while later, whatever has come by then.
pub fn send_and_leave(front: SocketAddr, request: &ClientRequest<'_>, after: Duration) {
    let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else { return };
    let _ = stream.write_all(&request.encode());
    std::thread::sleep(after);
}
