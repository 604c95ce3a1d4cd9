//! HTTP/1.1 messages over a blocking connection, one at a time, as the stand-ins read and write them. Heads by
//! httparse; bodies by Content-Length alone, as that is all that either side of the lab sends.

use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

const HEADERS_MOST: usize = 64;
/// A whole message is no longer than this.
const MOST: usize = 16 << 20;

/// A message that has come.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    /// `GET /view HTTP/1.1`, or the status of an answer as text.
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpMessage {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> Option<u16> {
        self.start_line.parse().ok()
    }

    pub fn method(&self) -> &str {
        self.start_line.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or("")
    }

    /// The first part of the path: a command's verb.
    pub fn request_class(&self) -> &str {
        self.path().trim_start_matches('/').split(['/', '?']).next().unwrap_or("")
    }
}

/// One side of a connection.
pub struct Peer {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    filled: usize,
}

enum Side {
    Commands,
    Answers,
}

struct Shape {
    head: usize,
    body: usize,
    heard: HttpMessage,
}

fn odd(what: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, what.to_string())
}

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        // Small messages must not wait for each other's acknowledgements.
        let _ = stream.set_nodelay(true);
        Peer { stream, buffer: vec![0; 2048], filled: 0 }
    }

    /// The next command, or none where the other side has closed between two.
    pub fn read_request(&mut self) -> io::Result<Option<HttpMessage>> {
        self.message(&Side::Commands)
    }

    /// The answer to what was written; an end before it is an error.
    pub fn read_response(&mut self) -> io::Result<HttpMessage> {
        self.message(&Side::Answers)?.ok_or_else(|| ErrorKind::UnexpectedEof.into())
    }

    /// Whether the other side has closed it, as far as can be known without sending: what is sent then reaches nobody.
    pub fn is_closed(&self) -> bool {
        let peeked = self.stream.set_nonblocking(true).and_then(|()| {
            loop {
                match self.stream.peek(&mut [0]) {
                    Err(wrong) if wrong.kind() == ErrorKind::Interrupted => {}
                    done => break done,
                }
            }
        });
        let closed = match peeked {
            Ok(count) => count == 0 && self.filled == 0,
            Err(wrong) => wrong.kind() != ErrorKind::WouldBlock,
        };
        closed || self.stream.set_nonblocking(false).is_err()
    }

    pub fn set_read_timeout(&self, span: Option<Duration>) {
        // A span of nothing would mean for ever.
        let span = span.map(|span| span.max(Duration::from_millis(1)));
        let _ = self.stream.set_read_timeout(span);
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn message(&mut self, side: &Side) -> io::Result<Option<HttpMessage>> {
        let mut shape: Option<Shape> = None;
        loop {
            if shape.is_none() {
                shape = Self::shape(&self.buffer[..self.filled], side)?;
            }
            if let Some(shape) = shape.take_if(|shape| self.filled >= shape.head + shape.body) {
                let end = shape.head + shape.body;
                let mut heard = shape.heard;
                heard.body = self.buffer[shape.head..end].to_vec();
                self.buffer.copy_within(end..self.filled, 0);
                self.filled -= end;
                return Ok(Some(heard));
            }
            if !self.read_more()? {
                return if self.filled == 0 { Ok(None) } else { Err(ErrorKind::UnexpectedEof.into()) };
            }
        }
    }

    fn read_more(&mut self) -> io::Result<bool> {
        if self.filled == self.buffer.len() {
            if self.filled >= MOST {
                return Err(odd("a message is too long"));
            }
            self.buffer.resize(self.filled * 2, 0);
        }
        let count = read(&mut self.stream, &mut self.buffer[self.filled..])?;
        self.filled += count;
        Ok(count > 0)
    }

    fn shape(bytes: &[u8], side: &Side) -> io::Result<Option<Shape>> {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
        let (parsed, first) = match side {
            Side::Commands => {
                let mut head = httparse::Request::new(&mut headers);
                let parsed = head.parse(bytes).map_err(|wrong| odd(&wrong.to_string()))?;
                (parsed, format!("{} {}", head.method.unwrap_or(""), head.path.unwrap_or("")))
            }
            Side::Answers => {
                let mut head = httparse::Response::new(&mut headers);
                let parsed = head.parse(bytes).map_err(|wrong| odd(&wrong.to_string()))?;
                (parsed, head.code.unwrap_or(0).to_string())
            }
        };
        let httparse::Status::Complete(head) = parsed else { return Ok(None) };
        let named = headers.iter().take_while(|header| !header.name.is_empty());
        let pair = |header: &httparse::Header<'_>| {
            (header.name.to_string(), String::from_utf8_lossy(header.value).into_owned())
        };
        let heard = HttpMessage { start_line: first, headers: named.map(pair).collect(), body: Vec::new() };
        let body = match heard.header("content-length") {
            None => 0,
            Some(text) => text.trim().parse().map_err(|_| odd("Content-Length is no number"))?,
        };
        if body > MOST {
            return Err(odd("a body is too long"));
        }
        Ok(Some(Shape { head, body, heard }))
    }
}

/// A read with a time-out is broken off by any signal to the process, such as that of a child's end: it goes on.
pub fn read(stream: &mut TcpStream, into: &mut [u8]) -> io::Result<usize> {
    loop {
        match stream.read(into) {
            Err(wrong) if wrong.kind() == ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

/// An answer's bytes.
pub fn response_bytes(status: u16, more: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let mut bytes = format!("HTTP/1.1 {status} -\r\n{more}Content-Length: {length}\r\n\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
