//! HTTP/1.1 as bytes: heads by httparse, bodies by their framing, whole messages in one buffer. It owns the
//! framing both ways; it must never know what a command is, keep a connection, or send anything twice.

use super::buffers::{BODY_MOST, Buffer, HEAD_MOST};
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io::{self, IoSlice};
use std::net::TcpStream;
use std::ops::Range;

const HEADERS_MOST: usize = 64;

/// Why a message is not one.
#[derive(Debug)]
pub enum Bad {
    Malformed,
    TooLarge,
    /// The connection ended before the whole message had come.
    Ended,
    /// It broke before that.
    Broken,
}

impl From<io::Error> for Bad {
    fn from(_: io::Error) -> Bad {
        Bad::Broken
    }
}

enum Framing {
    Length(usize),
    Chunked,
    /// An answer with neither lasts until its connection ends.
    ToEnd,
}

/// A whole message: its head, and where its body lies.
pub struct Message {
    buffer: Buffer,
    head: usize,
    body: Range<usize>,
    /// The connection may carry another message after this one.
    pub keep: bool,
}

impl Message {
    pub fn head(&self) -> &[u8] {
        &self.buffer.filled()[..self.head]
    }

    pub fn body(&self) -> &[u8] {
        &self.buffer.filled()[self.body.clone()]
    }
}

pub fn no_headers<'a>() -> [httparse::Header<'a>; HEADERS_MOST] {
    [httparse::EMPTY_HEADER; HEADERS_MOST]
}

/// What is no text is not missing: it reads as a sign that nothing here takes for a value.
pub fn header<'a>(headers: &[httparse::Header<'a>], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
    Some(std::str::from_utf8(found.value).map_or("\u{fffd}", str::trim))
}

/// Headers that speak of one connection or its framing are not passed on.
pub fn passes_on(name: &str) -> bool {
    const OURS: [&str; 9] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "transfer-encoding",
        "content-length",
        "te",
        "trailer",
        "upgrade",
        "expect",
    ];
    !OURS.iter().any(|ours| name.eq_ignore_ascii_case(ours))
}

/// What a head says of the rest of its message.
struct Shape {
    head: usize,
    framing: Framing,
    keep: bool,
    expects: bool,
    /// An interim answer (1xx): the real one is still to come.
    interim: bool,
}

impl Shape {
    fn of(head: usize, minor: u8, headers: &[httparse::Header<'_>], bare: Framing) -> Result<Shape, Bad> {
        let says = |name: &str, word: &str| {
            header(headers, name).is_some_and(|text| text.to_ascii_lowercase().contains(word))
        };
        let lengths = headers.iter().filter(|header| header.name.eq_ignore_ascii_case("content-length"));
        // Two lengths, or a length beside chunks, are how one message is smuggled in another.
        let framing = match (says("transfer-encoding", "chunked"), lengths.count()) {
            (true, 0) => Framing::Chunked,
            (false, 0) if header(headers, "transfer-encoding").is_none() => bare,
            (false, 1) => {
                let text = header(headers, "content-length").unwrap_or("");
                if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
                    return Err(Bad::Malformed);
                }
                Framing::Length(text.parse().map_err(|_| Bad::TooLarge)?)
            }
            _ => return Err(Bad::Malformed),
        };
        let keep = minor == 1 && !says("connection", "close") && !matches!(framing, Framing::ToEnd);
        Ok(Shape { head, framing, keep, expects: says("expect", "100-continue"), interim: false })
    }

    fn of_command(bytes: &[u8]) -> Result<Option<Shape>, Bad> {
        let mut headers = no_headers();
        let mut head = httparse::Request::new(&mut headers);
        match head.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => {
                Self::of(length, head.version.unwrap_or(1), head.headers, Framing::Length(0)).map(Some)
            }
            Ok(httparse::Status::Partial) => Ok(None),
            Err(httparse::Error::TooManyHeaders) => Err(Bad::TooLarge),
            Err(_) => Err(Bad::Malformed),
        }
    }

    fn of_answer(bytes: &[u8]) -> Result<Option<Shape>, Bad> {
        let mut headers = no_headers();
        let mut head = httparse::Response::new(&mut headers);
        match head.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => {
                let interim = matches!(head.code, Some(100..200));
                let bare = match head.code {
                    Some(100..200 | 204 | 304) => Framing::Length(0),
                    _ => Framing::ToEnd,
                };
                let shape = Self::of(length, head.version.unwrap_or(1), head.headers, bare)?;
                Ok(Some(Shape { interim, ..shape }))
            }
            Ok(httparse::Status::Partial) => Ok(None),
            Err(_) => Err(Bad::Malformed),
        }
    }
}

async fn more(mut stream: &Async<TcpStream>, buffer: &mut Buffer) -> Result<(), Bad> {
    let spare = buffer.spare();
    if spare.is_empty() {
        return Err(Bad::TooLarge);
    }
    let count = stream.read(spare).await?;
    buffer.fill(count);
    if count == 0 { Err(Bad::Ended) } else { Ok(()) }
}

pub async fn read_command(stream: &Async<TcpStream>, buffer: Buffer) -> Result<Message, Bad> {
    read(stream, buffer, Shape::of_command).await
}

pub async fn read_answer(stream: &Async<TcpStream>, buffer: Buffer) -> Result<Message, Bad> {
    read(stream, buffer, Shape::of_answer).await
}

async fn read(
    stream: &Async<TcpStream>,
    mut buffer: Buffer,
    shape_of: fn(&[u8]) -> Result<Option<Shape>, Bad>,
) -> Result<Message, Bad> {
    let shape = loop {
        match shape_of(buffer.filled())? {
            Some(shape) if shape.interim => buffer.drop_front(shape.head),
            Some(shape) => break shape,
            None if buffer.filled().len() > HEAD_MOST => return Err(Bad::TooLarge),
            None => more(stream, &mut buffer).await?,
        }
    };
    let Shape { head, framing, mut keep, expects, .. } = shape;
    if head > HEAD_MOST || matches!(framing, Framing::Length(length) if length > BODY_MOST) {
        return Err(Bad::TooLarge);
    }
    let waits = !matches!(framing, Framing::Length(length) if buffer.filled().len() >= head + length);
    if expects && waits {
        write(stream, b"HTTP/1.1 100 Continue\r\n\r\n", b"").await?;
    }
    let end = match framing {
        Framing::Length(length) => {
            while buffer.filled().len() < head + length {
                more(stream, &mut buffer).await?;
            }
            keep &= buffer.filled().len() == head + length;
            head + length
        }
        Framing::Chunked => loop {
            if let Some((end, used)) = unchunk(buffer.filled_mut(), head)? {
                keep &= used == buffer.filled().len();
                break end;
            }
            more(stream, &mut buffer).await?;
        },
        Framing::ToEnd => loop {
            match more(stream, &mut buffer).await {
                Ok(()) => {}
                Err(Bad::Ended) => break buffer.filled().len(),
                Err(wrong) => return Err(wrong),
            }
        },
    };
    if end - head > BODY_MOST {
        return Err(Bad::TooLarge);
    }
    Ok(Message { buffer, head, body: head..end, keep })
}

/// Once all chunks are there, moves their contents together behind the head; gives the body's end and that of
/// the chunks.
fn unchunk(bytes: &mut [u8], head: usize) -> Result<Option<(usize, usize)>, Bad> {
    let mut parts: Vec<Range<usize>> = Vec::new();
    let mut at = head;
    loop {
        let (line, size) = match httparse::parse_chunk_size(&bytes[at..]) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Bad::Malformed),
        };
        let size = usize::try_from(size).ok().filter(|size| *size <= BODY_MOST).ok_or(Bad::TooLarge)?;
        at += line;
        if size == 0 {
            break;
        }
        if bytes.len() < at + size + 2 {
            return Ok(None);
        }
        if &bytes[at + size..at + size + 2] != b"\r\n" {
            return Err(Bad::Malformed);
        }
        parts.push(at..at + size);
        at += size + 2;
    }
    // Trailers are read over, up to the empty line.
    loop {
        let Some(line) = bytes[at..].windows(2).position(|pair| pair == b"\r\n") else { return Ok(None) };
        at += line + 2;
        if line == 0 {
            break;
        }
    }
    let mut end = head;
    for part in parts {
        let length = part.len();
        bytes.copy_within(part, end);
        end += length;
    }
    Ok(Some((end, at)))
}

/// Writes both whole, in as few packets as can be.
pub async fn write(mut stream: &Async<TcpStream>, head: &[u8], body: &[u8]) -> io::Result<()> {
    let (mut head, mut body) = (head, body);
    while !(head.is_empty() && body.is_empty()) {
        let written = stream.write_vectored(&[IoSlice::new(head), IoSlice::new(body)]).await?;
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        let of_head = written.min(head.len());
        head = &head[of_head..];
        body = &body[written - of_head..];
    }
    Ok(())
}

pub fn status(head: &[u8]) -> Option<u16> {
    let mut headers = no_headers();
    let mut rsp = httparse::Response::new(&mut headers);
    rsp.parse(head).ok()?;
    rsp.code
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::net::buffers::Stock;
    use async_io::block_on;
    use proptest::prelude::*;
    use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
    use std::io::Write;
    use std::net::TcpListener;

    /// What comes of these bytes, written in pieces to a real socket that is closed after them.
    fn heard(bytes: &[u8], pieces: usize, of_command: bool) -> Result<(Vec<u8>, bool), Bad> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let mut near = TcpStream::connect(listener.local_addr().expect("an address")).expect("a peer");
        let far = Async::new(listener.accept().expect("a connection").0).expect("a socket");
        let bytes = bytes.to_vec();
        let writer = std::thread::spawn(move || {
            for piece in bytes.chunks(bytes.len() / pieces + 1) {
                let _ = near.write_all(piece);
            }
        });
        let buffer = Stock::new(64, 16).buffer().expect("a buffer");
        let read = async {
            if of_command { read_command(&far, buffer).await } else { read_answer(&far, buffer).await }
        };
        let message = block_on(read);
        drop(far);
        writer.join().expect("the writer ends");
        message.map(|message| (message.body().to_vec(), message.keep))
    }

    fn run<S: Strategy>(strategy: S, check: impl Fn(S::Value) -> Result<(), TestCaseError>) {
        let cases = ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() };
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
        TestRunner::new_with_rng(cases, rng).run(&strategy, check).expect("it holds in all cases");
    }

    #[test]
    fn chunks_come_together_however_they_are_cut() {
        let strategy = (proptest::collection::vec(any::<u8>(), 0..3000), 1usize..400, 1usize..9);
        run(strategy, |(body, chunk, pieces)| {
            let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
            for part in body.chunks(chunk) {
                bytes.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
                bytes.extend_from_slice(part);
                bytes.extend_from_slice(b"\r\n");
            }
            bytes.extend_from_slice(b"0\r\nTrailer: 1\r\n\r\n");
            let (heard, keep) = heard(&bytes, pieces, false).expect("a whole answer");
            prop_assert!(keep);
            prop_assert_eq!(heard, body);
            Ok(())
        });
    }

    #[test]
    fn an_answer_cut_short_is_never_taken_for_a_whole_one() {
        run((1usize..2000, 0usize..2000), |(length, cut)| {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
            let mut bytes = head.into_bytes();
            bytes.extend(std::iter::repeat_n(b'x', cut.min(length - 1)));
            prop_assert!(matches!(heard(&bytes, 3, false), Err(Bad::Ended | Bad::Broken)));
            Ok(())
        });
    }

    #[test]
    fn any_bytes_are_told_from_a_command_without_a_panic() {
        let noise = proptest::collection::vec(any::<u8>(), 0..300);
        let heads = ["", "GET / HTTP/1.1\r\n", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"];
        run((0..heads.len(), noise, 1usize..4), |(head, noise, pieces)| {
            let bytes = [heads[head].as_bytes(), &noise].concat();
            if let Ok((body, _)) = heard(&bytes, pieces, true) {
                prop_assert!(body.len() <= bytes.len());
            }
            Ok(())
        });
    }

    #[test]
    fn a_body_of_the_full_size_is_carried_and_one_byte_more_is_too_large() {
        for (length, pieces) in [(BODY_MOST, 1), (BODY_MOST, 7), (BODY_MOST + 1, 1)] {
            let head = format!("POST /a HTTP/1.1\r\nContent-Length: {length}\r\n\r\n");
            let bytes = [head.as_bytes(), &vec![b'x'; length]].concat();
            match heard(&bytes, pieces, true) {
                Ok((body, keep)) => assert!(keep && body.len() == BODY_MOST),
                Err(bad) => assert!(length > BODY_MOST && matches!(bad, Bad::TooLarge)),
            }
        }
    }

    #[test]
    fn interim_answers_are_read_over() {
        let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
        let text = format!("{interim}HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
        for pieces in 1..9 {
            let heard = heard(text.as_bytes(), pieces, false).expect("the real answer");
            assert_eq!(heard, (b"abc".to_vec(), true));
        }
    }

    #[test]
    fn two_lengths_or_a_length_beside_chunks_are_malformed() {
        for extra in ["Content-Length: 3", "Content-Length: 4", "Transfer-Encoding: chunked"] {
            let text = format!("POST /a HTTP/1.1\r\nContent-Length: 3\r\n{extra}\r\n\r\nabc");
            assert!(matches!(heard(text.as_bytes(), 1, true), Err(Bad::Malformed)), "{extra}");
        }
    }
}
