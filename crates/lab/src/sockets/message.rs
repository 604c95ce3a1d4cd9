//! Reads and writes HTTP/1.1 messages on a blocking connection, one at a time, for test servers and clients. httparse
//! parses the heads. Bodies are framed by Content-Length only, as neither side of the lab sends another framing.

use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

const MAX_HEADERS: usize = 64;
/// Maximum length of a message.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// A received request or response.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    /// Method and path of a request, such as `GET /view`, or the status code of a response.
    pub start_line: String,
    /// Names and values of the headers.
    pub headers: Vec<(String, String)>,
    /// The body; empty if the message has none.
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// The value of the first header with this name, in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The status code; None for a request.
    pub fn status(&self) -> Option<u16> {
        self.start_line.parse().ok()
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.start_line.split(' ').next().unwrap_or("")
    }

    /// Returns the path of a request; empty if the start line has none.
    pub fn path(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or("")
    }

    /// The first part of the path, which names the request class.
    pub fn request_class(&self) -> &str {
        self.path().trim_start_matches('/').split(['/', '?']).next().unwrap_or("")
    }
}

/// One side of an HTTP connection.
pub struct Peer {
    /// The connection's socket.
    pub stream: TcpStream,
    buffer: Vec<u8>,
    /// Number of received bytes in the buffer.
    filled: usize,
}

enum MessageKind {
    Request,
    Response,
}

/// A message whose head is complete, with the lengths of its head and body.
struct ParsedHead {
    head_length: usize,
    body_length: usize,
    message: HttpMessage,
}

fn invalid_data(what: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, what.to_string())
}

impl Peer {
    /// Creates a peer on a connected socket and disables Nagle's algorithm.
    pub fn new(stream: TcpStream) -> Peer {
        // Otherwise a small message may wait for the acknowledgement of the one before.
        let _ = stream.set_nodelay(true);
        Peer { stream, buffer: vec![0; 2048], filled: 0 }
    }

    /// The next request; None if the other side closed the connection after the previous one.
    pub fn read_request(&mut self) -> io::Result<Option<HttpMessage>> {
        self.message(&MessageKind::Request)
    }

    /// The next response; a connection that ends before it is complete is an error.
    pub fn read_response(&mut self) -> io::Result<HttpMessage> {
        self.message(&MessageKind::Response)?.ok_or_else(|| ErrorKind::UnexpectedEof.into())
    }

    /// Whether the other side has closed the connection, as far as can be known without sending. A request written to a
    /// closed connection is lost.
    pub fn is_closed(&self) -> bool {
        let peeked = self.stream.set_nonblocking(true).and_then(|()| {
            loop {
                match self.stream.peek(&mut [0]) {
                    Err(error) if error.kind() == ErrorKind::Interrupted => {}
                    result => break result,
                }
            }
        });
        let closed = match peeked {
            Ok(count) => count == 0 && self.filled == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        };
        closed || self.stream.set_nonblocking(false).is_err()
    }

    /// Sets the time that a read waits for data; None waits without limit.
    pub fn set_read_timeout(&self, timeout: Option<Duration>) {
        // The standard library refuses a timeout of 0, and reads would go on with the previous timeout or none.
        let timeout = timeout.map(|timeout| timeout.max(Duration::from_millis(1)));
        let _ = self.stream.set_read_timeout(timeout);
    }

    /// Writes all bytes, or returns the socket's error.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn message(&mut self, kind: &MessageKind) -> io::Result<Option<HttpMessage>> {
        let mut parsed_head: Option<ParsedHead> = None;
        loop {
            if parsed_head.is_none() {
                parsed_head = Self::parse_head(&self.buffer[..self.filled], kind)?;
            }
            if let Some(parsed_head) = parsed_head
                .take_if(|parsed_head| self.filled >= parsed_head.head_length + parsed_head.body_length)
            {
                let end = parsed_head.head_length + parsed_head.body_length;
                let mut message = parsed_head.message;
                message.body = self.buffer[parsed_head.head_length..end].to_vec();
                self.buffer.copy_within(end..self.filled, 0);
                self.filled -= end;
                return Ok(Some(message));
            }
            if !self.read_more()? {
                return if self.filled == 0 { Ok(None) } else { Err(ErrorKind::UnexpectedEof.into()) };
            }
        }
    }

    /// Reads more into the buffer, which grows as needed; false at the end of the connection.
    fn read_more(&mut self) -> io::Result<bool> {
        if self.filled == self.buffer.len() {
            if self.filled >= MAX_MESSAGE_BYTES {
                return Err(invalid_data("message is longer than 16 MiB"));
            }
            self.buffer.resize(self.filled * 2, 0);
        }
        let count = read(&mut self.stream, &mut self.buffer[self.filled..])?;
        self.filled += count;
        Ok(count > 0)
    }

    fn parse_head(bytes: &[u8], kind: &MessageKind) -> io::Result<Option<ParsedHead>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let (parsed, start_line) = match kind {
            MessageKind::Request => {
                let mut head = httparse::Request::new(&mut headers);
                let parsed = head.parse(bytes).map_err(|error| invalid_data(&error.to_string()))?;
                (parsed, format!("{} {}", head.method.unwrap_or(""), head.path.unwrap_or("")))
            }
            MessageKind::Response => {
                let mut head = httparse::Response::new(&mut headers);
                let parsed = head.parse(bytes).map_err(|error| invalid_data(&error.to_string()))?;
                (parsed, head.code.unwrap_or(0).to_string())
            }
        };
        let httparse::Status::Complete(head_length) = parsed else { return Ok(None) };
        let named = headers.iter().take_while(|header| !header.name.is_empty());
        let pair = |header: &httparse::Header<'_>| {
            (header.name.to_string(), String::from_utf8_lossy(header.value).into_owned())
        };
        let message = HttpMessage { start_line, headers: named.map(pair).collect(), body: Vec::new() };
        let body = match message.header("content-length") {
            None => 0,
            Some(text) => text.trim().parse().map_err(|_| invalid_data("Content-Length is not a number"))?,
        };
        if body > MAX_MESSAGE_BYTES {
            return Err(invalid_data("body is longer than 16 MiB"));
        }
        Ok(Some(ParsedHead { head_length, body_length: body, message }))
    }
}

/// Reads once and tries again if a signal interrupts it, as the exit of a child process does to a read with a timeout.
pub fn read(stream: &mut TcpStream, into: &mut [u8]) -> io::Result<usize> {
    loop {
        match stream.read(into) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// The bytes of a response. `extra_headers` holds further header lines, each with its line end.
pub fn response_bytes(status: u16, extra_headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let mut bytes =
        format!("HTTP/1.1 {status} -\r\n{extra_headers}Content-Length: {length}\r\n\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
