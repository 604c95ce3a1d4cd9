//! Reads and writes HTTP/1.1 messages over TCP, as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, text.to_string())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.last() != Some(&b'\n') {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    let text = String::from_utf8(line).map_err(|_| invalid("a head is not UTF-8"))?;
    Ok(Some(text.trim_end_matches(['\r', '\n']).to_string()))
}

/// Reads one whole message; None if the connection ends before its first byte.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(first_line) = read_line(reader)? else { return Ok(None) };
    let mut message = Message { first_line, headers: Vec::new(), body: Vec::new() };
    loop {
        let line = read_line(reader)?.ok_or(ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("a header has no colon"))?;
        message.headers.push((name.trim().to_string(), value.trim().to_string()));
    }
    if message.header("transfer-encoding").is_some_and(|text| text.eq_ignore_ascii_case("chunked")) {
        loop {
            let line = read_line(reader)?.ok_or(ErrorKind::UnexpectedEof)?;
            let size = line.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| invalid("a chunk has no size"))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend(chunk);
            if size == 0 {
                while read_line(reader)?.ok_or(ErrorKind::UnexpectedEof)? != "" {}
                break;
            }
            read_line(reader)?;
        }
    } else if let Some(length) = message.header("content-length") {
        let length: usize = length.parse().map_err(|_| invalid("Content-Length is no number"))?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// A client's connection, on which each read ends at a given time.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(to: SocketAddr, within: Duration) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&to, within)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(Duration::from_secs(5)))?;
        Ok(Connection { reader: BufReader::new(stream) })
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads one response until `deadline`; None if the connection ends without a byte of one.
    pub fn read_response(&mut self, deadline: Instant) -> io::Result<Option<Message>> {
        let stream = UntilDeadline { reader: &mut self.reader, deadline };
        read_message(&mut BufReader::with_capacity(1, stream))
    }
}

/// Reads byte by byte from a connection, and fails once the deadline has passed.
struct UntilDeadline<'a> {
    reader: &'a mut BufReader<TcpStream>,
    deadline: Instant,
}

impl Read for UntilDeadline<'_> {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        if self.reader.buffer().is_empty() {
            let left = self.deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ErrorKind::TimedOut.into());
            }
            self.reader.get_ref().set_read_timeout(Some(left))?;
        }
        let count = into.len().min(1);
        self.reader.read(&mut into[..count])
    }
}

/// Sends one request on a connection of its own and returns the response.
pub fn call(to: SocketAddr, request: &str, within: Duration) -> io::Result<Message> {
    let deadline = Instant::now() + within;
    let mut connection = Connection::open(to, within)?;
    connection.write(request.as_bytes())?;
    connection.read_response(deadline)?.ok_or_else(|| ErrorKind::UnexpectedEof.into())
}
