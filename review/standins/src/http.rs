//! Minimal HTTP/1.1 messages over TCP, for stand-ins and clients.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message head and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived whole.
    pub is_whole: bool,
}

impl Message {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The path and query of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    /// The status of an answer; 0 if the status line is not readable.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if message.first_line.is_empty() {
            message.first_line = line.to_owned();
        } else if line.is_empty() {
            return Some(message);
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk of a chunked body; an empty one is the last.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
    let mut data = vec![0; size + 2];
    reader.read_exact(&mut data).ok()?;
    data.truncate(size);
    Some(data)
}

/// Reads the body that the head announces.
pub fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message) {
    if message.header("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        while let Some(chunk) = read_chunk(reader) {
            if chunk.is_empty() {
                message.is_whole = true;
                return;
            }
            message.body.extend(chunk);
        }
        return;
    }
    let length = message.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    message.is_whole = reader.read_exact(&mut message.body).is_ok();
}

/// Encodes a message with a body of known length.
pub fn encode(first_line: &str, headers: &[(&str, String)], body: &str) -> Vec<u8> {
    let mut text = format!("{first_line}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    text.into_bytes()
}

/// Sends a request on a new connection and reads the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(12))).ok()?;
    let mut all = vec![("Connection", "close".to_owned())];
    if !headers.iter().any(|(name, _)| *name == "Host") {
        all.push(("Host", address.to_string()));
    }
    all.extend_from_slice(headers);
    stream.write_all(&encode(&format!("{method} {path} HTTP/1.1"), &all, body)).ok()?;
    let mut reader = BufReader::new(stream);
    let mut answer = read_head(&mut reader)?;
    read_body(&mut reader, &mut answer);
    Some(answer)
}

/// Sends a configuration on top of revision 3 and waits a while for the answer.
pub fn put_once(address: SocketAddr, body: &str, patience: Duration) {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, patience) else { return };
    let _ = stream.set_read_timeout(Some(patience));
    let headers = [("Host", address.to_string()), ("If-Match", "3".into()), ("Connection", "close".into())];
    let _ = stream.write_all(&encode("PUT /v1/config HTTP/1.1", &headers, body));
    let _ = read_head(&mut BufReader::new(stream));
}
