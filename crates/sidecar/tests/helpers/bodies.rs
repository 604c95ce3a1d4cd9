//! Test servers as scripts over a connection, and bodies with a known pattern.

use super::*;
use std::io::Read;

/// A test server that runs the script for each connection, with the number of the connection.
pub fn scripted_server(script: impl Fn(usize, &mut TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = bind_unused_port();
    let (at, script) = (listener.local_addr().expect("listener has a local address"), Arc::new(script));
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let script = script.clone();
            thread::spawn(move || {
                let mut stream = stream;
                script(number, &mut stream);
            });
        }
    });
    at
}

/// Reads a message head up to and including its empty line.
pub fn read_head(stream: &mut impl Read) -> Option<String> {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        text.push(byte[0]);
    }
    String::from_utf8(text).ok()
}

pub fn header(head: &str, name: &str) -> Option<String> {
    let value = |line: &str| {
        line.split_once(':').filter(|(key, _)| key.eq_ignore_ascii_case(name))?.1.trim().to_string().into()
    };
    head.lines().find_map(value)
}

/// The byte at this offset of the test body, which both sides compute.
pub fn body_byte(at: usize) -> u8 {
    (at % 251) as u8 ^ (at / 65_536) as u8
}

pub fn pattern(from: usize, length: usize) -> Vec<u8> {
    (from..from + length).map(body_byte).collect()
}

/// Reads `length` bytes and returns whether they are the test body.
pub fn read_body(stream: &mut impl Read, length: usize) -> bool {
    let (mut at, mut bytes) = (0, vec![0; 65_536]);
    while at < length {
        let now = bytes.len().min(length - at);
        if stream.read_exact(&mut bytes[..now]).is_err() || bytes[..now] != pattern(at, now)[..] {
            return false;
        }
        at += now;
    }
    true
}

/// Writes `length` bytes of the test body and returns whether all could be written.
pub fn write_body(stream: &mut impl Write, length: usize) -> bool {
    (0..length).step_by(65_536).all(|at| stream.write_all(&pattern(at, 65_536.min(length - at))).is_ok())
}

pub fn content_length(head: &str) -> usize {
    header(head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
}
