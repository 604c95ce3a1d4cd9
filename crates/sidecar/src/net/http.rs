//! HTTP/1.1 as bytes: heads by httparse, bodies by their framing, in pieces that each fill a buffer at most. It owns the
//! framing both ways; it must never know what a command is, keep a connection, or send anything twice.

use super::buffers::{Buffer, ResourcePool, SIZE};
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::net::TcpStream;
use std::ops::Range;
use std::rc::Rc;

const HEADERS_MOST: usize = 96;
/// A chunk's size or a trailer is no longer than this.
const LINE_MOST: usize = 1024;
/// So many parts are written by one system call: a head, a body that is held, and the marks of a chunk.
const AT_ONCE: usize = 8;

/// Why a message is not one.
#[derive(Debug)]
pub enum HttpError {
    Malformed,
    TooLarge,
    /// Nothing more of it came in time.
    TimedOut,
    /// The connection ended before the whole message had come.
    Closed,
    /// It broke before that.
    Broken,
}

impl From<io::Error> for HttpError {
    fn from(_: io::Error) -> HttpError {
        HttpError::Broken
    }
}

enum Framing {
    Length(usize),
    Chunked,
    /// An answer with neither lasts until its connection ends.
    UntilClose,
}

/// A part of a body.
pub struct BodyPart {
    buffer: Buffer,
    range: Range<usize>,
}

impl BodyPart {
    /// So many bytes, in as many pieces as that takes.
    #[cfg(test)]
    pub fn filled(stock: &Rc<ResourcePool>, count: usize) -> Vec<BodyPart> {
        let sizes = (0..count).step_by(SIZE).map(|from| SIZE.min(count - from));
        let piece = |size: usize| {
            let mut buffer = stock.buffer().expect("a buffer");
            buffer.fill(size);
            BodyPart { buffer, range: 0..size }
        };
        sizes.map(piece).collect()
    }

    pub fn bytes(&self) -> &[u8] {
        &self.buffer.filled()[self.range.clone()]
    }
}

pub fn no_headers<'a>() -> [httparse::Header<'a>; HEADERS_MOST] {
    [httparse::EMPTY_HEADER; HEADERS_MOST]
}

/// What is no text is not missing: it reads as a sign that nothing here takes for a value.
fn text<'a>(header: &httparse::Header<'a>) -> &'a str {
    std::str::from_utf8(header.value).map_or("\u{fffd}", str::trim)
}

pub fn header<'a>(headers: &[httparse::Header<'a>], name: &str) -> Option<&'a str> {
    headers.iter().find(|header| header.name.eq_ignore_ascii_case(name)).map(text)
}

/// Headers that speak of one connection or its framing are not passed on.
pub fn is_end_to_end(name: &str) -> bool {
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

/// The path of a command's target, which may name the whole address.
pub fn path_of_target(target: &str) -> &str {
    match target.split_once("://") {
        Some((scheme, rest)) if !scheme.contains('/') => rest.find('/').map_or("/", |at| &rest[at..]),
        _ => target,
    }
}

/// What a head says of the rest of its message.
struct ParsedHead {
    head: usize,
    minor: u8,
    framing: Framing,
    keep: bool,
    expects: bool,
    /// An interim answer (1xx): the real one is still to come.
    interim: bool,
}

impl ParsedHead {
    fn of(
        head: usize,
        minor: u8,
        headers: &[httparse::Header<'_>],
        bare: Framing,
    ) -> Result<ParsedHead, HttpError> {
        let named = |name: &'static str| {
            headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name)).map(text)
        };
        let says = |name, word: &str| named(name).any(|text| text.to_ascii_lowercase().contains(word));
        let codings: Vec<&str> = named("transfer-encoding").collect();
        // One length said twice is one length.
        let mut lengths: Vec<&str> = named("content-length").collect();
        lengths.dedup();
        // Two lengths, a length beside any coding, or a coding that another reader may take otherwise are how
        // one message is smuggled in another.
        let framing = match (codings.as_slice(), lengths.as_slice()) {
            ([], []) => bare,
            ([coding], []) if minor == 1 && coding.eq_ignore_ascii_case("chunked") => Framing::Chunked,
            ([], [length]) if !length.is_empty() && length.bytes().all(|byte| byte.is_ascii_digit()) => {
                Framing::Length(length.parse().map_err(|_| HttpError::TooLarge)?)
            }
            _ => return Err(HttpError::Malformed),
        };
        let keep = minor == 1 && !says("connection", "close") && !matches!(framing, Framing::UntilClose);
        Ok(ParsedHead { head, minor, framing, keep, expects: says("expect", "100-continue"), interim: false })
    }

    fn of_request(bytes: &[u8]) -> Result<Option<ParsedHead>, HttpError> {
        let mut headers = no_headers();
        let mut head = httparse::Request::new(&mut headers);
        match head.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => {
                Self::of(length, head.version.unwrap_or(1), head.headers, Framing::Length(0)).map(Some)
            }
            Ok(httparse::Status::Partial) => Ok(None),
            Err(httparse::Error::TooManyHeaders) => Err(HttpError::TooLarge),
            Err(_) => Err(HttpError::Malformed),
        }
    }

    fn of_response(bytes: &[u8]) -> Result<Option<ParsedHead>, HttpError> {
        let mut headers = no_headers();
        let mut head = httparse::Response::new(&mut headers);
        match head.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => {
                let interim = matches!(head.code, Some(100..200));
                let bare = match head.code {
                    Some(100..200 | 204 | 304) => Framing::Length(0),
                    _ => Framing::UntilClose,
                };
                let shape = Self::of(length, head.version.unwrap_or(1), head.headers, bare)?;
                Ok(Some(ParsedHead { interim, ..shape }))
            }
            Ok(httparse::Status::Partial) => Ok(None),
            Err(_) => Err(HttpError::Malformed),
        }
    }
}

/// Reads what comes next; how many bytes that were.
async fn read_some(mut stream: &Async<TcpStream>, buffer: &mut Buffer) -> Result<usize, HttpError> {
    let spare = buffer.spare();
    if spare.is_empty() {
        return Err(HttpError::TooLarge);
    }
    let count = loop {
        match stream.read(spare).await {
            // A signal ends no connection.
            Err(wrong) if wrong.kind() == io::ErrorKind::Interrupted => {}
            read => break read?,
        }
    };
    buffer.fill(count);
    if count == 0 { Err(HttpError::Closed) } else { Ok(count) }
}

/// Reads on until the head is whole. How many bytes were read comes with it.
async fn read_head(
    stream: &Async<TcpStream>,
    buffer: &mut Buffer,
    shape_of: fn(&[u8]) -> Result<Option<ParsedHead>, HttpError>,
    came: &dyn Fn(),
) -> Result<(ParsedHead, usize), HttpError> {
    let mut read = 0;
    loop {
        match shape_of(buffer.filled())? {
            Some(shape) if shape.interim => buffer.drop_front(shape.head),
            Some(shape) => return Ok((shape, read)),
            None => {
                read += read_some(stream, buffer).await?;
                came();
            }
        }
    }
}

/// Whether these bytes begin with a request that has come to its last byte.
pub fn is_whole_request(bytes: &[u8]) -> bool {
    let Ok(Some(shape)) = ParsedHead::of_request(bytes) else { return false };
    let body = &bytes[shape.head..];
    match shape.framing {
        Framing::Length(length) => body.len() >= length,
        Framing::Chunked => {
            matches!(BodyDecoder::new(Framing::Chunked).unchunk(&mut body.to_vec(), &mut 0), Ok(true))
        }
        // No request is framed by the end of its connection.
        Framing::UntilClose => false,
    }
}

/// A message whose head has come, and as much of its body as was read and not taken yet.
pub struct IncomingMessage {
    pub head: Vec<u8>,
    /// HTTP/1.0 has 0 here.
    pub http_minor: u8,
    /// The connection may carry another message after this one.
    pub keep_alive: bool,
    /// It waits for a word before it sends its body.
    pub expects_continue: bool,
    body: BodyDecoder,
    length: Option<u64>,
    whole: bool,
    /// How many bytes were read from its connection since this was last asked.
    read: usize,
    /// Full buffers of contents, before those of `buffer`.
    held: Vec<BodyPart>,
    /// Contents up to the body's end, and what was not looked at behind them.
    buffer: Buffer,
}

impl IncomingMessage {
    /// `came` is called whenever a part of the head has come.
    pub async fn read_request(
        stream: &Async<TcpStream>,
        buffer: Buffer,
        came: &dyn Fn(),
    ) -> Result<IncomingMessage, HttpError> {
        Self::read_message(stream, buffer, ParsedHead::of_request, came).await
    }

    pub async fn read_response(
        stream: &Async<TcpStream>,
        buffer: Buffer,
    ) -> Result<IncomingMessage, HttpError> {
        Self::read_message(stream, buffer, ParsedHead::of_response, &|| ()).await
    }

    async fn read_message(
        stream: &Async<TcpStream>,
        mut buffer: Buffer,
        shape_of: fn(&[u8]) -> Result<Option<ParsedHead>, HttpError>,
        came: &dyn Fn(),
    ) -> Result<IncomingMessage, HttpError> {
        let (shape, read) = read_head(stream, &mut buffer, shape_of, came).await?;
        let ParsedHead { minor, framing, keep, expects, .. } = shape;
        let head = buffer.filled()[..shape.head].to_vec();
        buffer.drop_front(shape.head);
        let length = if let Framing::Length(length) = framing { Some(length as u64) } else { None };
        let body = BodyDecoder::new(framing);
        let (held, whole) = (Vec::new(), false);
        let mut coming = IncomingMessage {
            head,
            http_minor: minor,
            keep_alive: keep,
            expects_continue: expects,
            body,
            length,
            whole,
            read,
            held,
            buffer,
        };
        coming.take_in()?;
        Ok(coming)
    }

    fn take_in(&mut self) -> Result<(), HttpError> {
        if !self.whole && self.body.take_in(&mut self.buffer)? {
            self.whole = true;
        }
        Ok(())
    }

    pub fn is_complete(&self) -> bool {
        self.whole
    }

    /// How many bytes were read from its connection since this was last asked.
    pub fn take_bytes_read(&mut self) -> usize {
        std::mem::take(&mut self.read)
    }

    /// What has come behind the whole message: the beginning of another.
    pub fn surplus(&self) -> &[u8] {
        &self.buffer.filled()[self.body.end..]
    }

    /// What came behind the whole message is kept elsewhere by now.
    pub fn drop_surplus(&mut self) {
        self.buffer.truncate(self.body.end);
    }

    /// Of the whole body, where the message tells it or it has all come and none was taken.
    pub fn length(&self) -> Option<u64> {
        self.length.or(self.whole.then_some(self.buffered_len()))
    }

    pub fn buffered_len(&self) -> u64 {
        self.buffered().map(|bytes| bytes.len() as u64).sum()
    }

    /// The contents that have come and were not taken.
    pub fn buffered(&self) -> impl Iterator<Item = &[u8]> {
        let last = &self.buffer.filled()[..self.body.end];
        self.held.iter().map(BodyPart::bytes).chain((!last.is_empty()).then_some(last))
    }

    /// Makes room for more contents beside those that are held. `false`: they take up as much as they may.
    pub fn ensure_room(&mut self, stock: &Rc<ResourcePool>, most: usize) -> bool {
        if !self.buffer.spare().is_empty() {
            return true;
        }
        if (self.held.len() + 1) * SIZE >= most {
            return false;
        }
        let Some(fresh) = stock.buffer() else { return false };
        let piece = self.piece(fresh);
        self.held.push(piece);
        true
    }

    /// Takes the contents of the last buffer, and goes on with another.
    fn piece(&mut self, mut fresh: Buffer) -> BodyPart {
        // A chunk's size may be cut by the buffer's end: what was not taken in begins the next one.
        let rest = &self.buffer.filled()[self.body.end..];
        fresh.spare()[..rest.len()].copy_from_slice(rest);
        fresh.fill(rest.len());
        let range = 0..std::mem::take(&mut self.body.end);
        BodyPart { buffer: std::mem::replace(&mut self.buffer, fresh), range }
    }

    /// Reads what comes next. There must be room.
    pub async fn read_more(&mut self, stream: &Async<TcpStream>) -> Result<(), HttpError> {
        self.read += self.body.read_more(stream, &mut self.buffer).await?;
        self.take_in()
    }

    /// Takes all that has come out of it, whole or not.
    pub async fn take_parts(&mut self, stock: &Rc<ResourcePool>) -> Vec<BodyPart> {
        let mut taken = std::mem::take(&mut self.held);
        if self.body.end > 0 && self.whole {
            // Nothing more is read: what goes on with the connection begins anew.
            let range = 0..std::mem::take(&mut self.body.end);
            taken.push(BodyPart { buffer: std::mem::replace(&mut self.buffer, Buffer::none(stock)), range });
        } else if self.body.end > 0 {
            let fresh = stock.buffer_in_turn().await;
            taken.push(self.piece(fresh));
        }
        taken
    }

    /// What `slices` shows is done with.
    pub fn discard_buffered(&mut self) {
        self.held.clear();
        self.buffer.drop_front(std::mem::take(&mut self.body.end));
    }

    /// The body as one, for messages that are short.
    pub fn text(&self) -> Vec<u8> {
        self.buffered().collect::<Vec<_>>().concat()
    }

    /// Reads on until all has come. More than `most` is too large.
    pub async fn read_to_end(
        &mut self,
        stream: &Async<TcpStream>,
        stock: &Rc<ResourcePool>,
        most: usize,
    ) -> Result<(), HttpError> {
        while !self.whole {
            if !self.ensure_room(stock, most) {
                return Err(HttpError::TooLarge);
            }
            self.read_more(stream).await?;
        }
        Ok(())
    }
}

/// Where a body stands while it comes: its contents reach up to `end`; what lies behind was not looked at.
struct BodyDecoder {
    framing: Framing,
    end: usize,
    /// How much of the length, or of the chunk, is still to come.
    left: usize,
    at: ChunkState,
    ended: bool,
}

#[derive(Clone, Copy)]
enum ChunkState {
    Size,
    Data,
    Trailers,
}

impl BodyDecoder {
    fn new(framing: Framing) -> BodyDecoder {
        let left = if let Framing::Length(length) = framing { length } else { 0 };
        BodyDecoder { framing, end: 0, left, at: ChunkState::Size, ended: false }
    }

    async fn read_more(
        &mut self,
        stream: &Async<TcpStream>,
        buffer: &mut Buffer,
    ) -> Result<usize, HttpError> {
        match read_some(stream, buffer).await {
            Err(HttpError::Closed) if matches!(self.framing, Framing::UntilClose) => {
                self.ended = true;
                Ok(0)
            }
            other => other,
        }
    }

    /// Takes in what has come since the last time; whether the body is whole now.
    fn take_in(&mut self, buffer: &mut Buffer) -> Result<bool, HttpError> {
        match self.framing {
            Framing::Length(_) => {
                let now = self.left.min(buffer.filled().len() - self.end);
                (self.end, self.left) = (self.end + now, self.left - now);
                Ok(self.left == 0)
            }
            Framing::UntilClose => {
                self.end = buffer.filled().len();
                Ok(self.ended)
            }
            Framing::Chunked => {
                let mut read = self.end;
                let whole = self.unchunk(buffer.filled_mut(), &mut read);
                // Framing that was read goes: many small chunks must not fill the buffer with it.
                buffer.close_gap(self.end..read);
                whole
            }
        }
    }

    fn unchunk(&mut self, bytes: &mut [u8], read: &mut usize) -> Result<bool, HttpError> {
        loop {
            let rest = &bytes[*read..];
            match self.at {
                ChunkState::Size => {
                    let (line, size) = match httparse::parse_chunk_size(rest) {
                        Ok(httparse::Status::Complete(found)) => found,
                        Ok(httparse::Status::Partial) if rest.len() > LINE_MOST => {
                            return Err(HttpError::TooLarge);
                        }
                        Ok(httparse::Status::Partial) => return Ok(false),
                        Err(_) => return Err(HttpError::Malformed),
                    };
                    self.left = usize::try_from(size).map_err(|_| HttpError::TooLarge)?;
                    self.at = if size == 0 { ChunkState::Trailers } else { ChunkState::Data };
                    *read += line;
                }
                ChunkState::Data => {
                    let now = self.left.min(rest.len());
                    bytes.copy_within(*read..*read + now, self.end);
                    (self.end, self.left, *read) = (self.end + now, self.left - now, *read + now);
                    let rest = &bytes[*read..];
                    if self.left > 0 || rest.len() < 2 {
                        return Ok(false);
                    }
                    if !rest.starts_with(b"\r\n") {
                        return Err(HttpError::Malformed);
                    }
                    (self.at, *read) = (ChunkState::Size, *read + 2);
                }
                // Trailers are read over, up to the empty line.
                ChunkState::Trailers => match rest.windows(2).position(|pair| pair == b"\r\n") {
                    Some(line) => {
                        *read += line + 2;
                        if line == 0 {
                            return Ok(true);
                        }
                    }
                    None if rest.len() > LINE_MOST => return Err(HttpError::TooLarge),
                    None => return Ok(false),
                },
            }
        }
    }
}

/// A whole message whose body is read as a stream; it gives each buffer back as it is read.
pub struct BodyReader {
    parts: VecDeque<BodyPart>,
}

/// The list of a large fleet is far longer than any body that is held; it may take so many buffers.
pub async fn read_buffered_response(
    stream: &Async<TcpStream>,
    stock: &Rc<ResourcePool>,
    most: usize,
) -> Result<(Option<u16>, bool, BodyReader), HttpError> {
    let buffer = stock.buffer().ok_or(HttpError::TooLarge)?;
    let mut coming = IncomingMessage::read_response(stream, buffer).await?;
    coming.read_to_end(stream, stock, most * SIZE).await?;
    let (status, keep) = (status(&coming.head), coming.keep_alive && coming.surplus().is_empty());
    let last = BodyPart { range: 0..coming.body.end, buffer: coming.buffer };
    Ok((status, keep, BodyReader { parts: coming.held.into_iter().chain([last]).collect() }))
}

impl io::Read for BodyReader {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        while let Some(BodyPart { buffer, range }) = self.parts.front_mut() {
            if range.start == range.end {
                self.parts.pop_front();
                continue;
            }
            let now = range.len().min(into.len());
            into[..now].copy_from_slice(&buffer.filled()[range.start..range.start + now]);
            range.start += now;
            return Ok(now);
        }
        Ok(0)
    }
}

/// How a body of unknown length is marked off on its way out.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum BodyEncoding {
    /// Its length stands in the head, or its end is the connection's.
    Identity,
    Chunked,
}

/// Writes a head, where there is one, and a part of a body behind it, in as few packets as can be.
pub async fn write_body_part<'a>(
    stream: &Async<TcpStream>,
    head: &'a [u8],
    body: impl Iterator<Item = &'a [u8]>,
    marked: BodyEncoding,
) -> io::Result<()> {
    if marked == BodyEncoding::Identity {
        return write_all(stream, std::iter::once(head).chain(body)).await;
    }
    let body: Vec<&[u8]> = body.filter(|bytes| !bytes.is_empty()).collect();
    if body.is_empty() {
        return write(stream, head, b"").await;
    }
    let size = format!("{:x}\r\n", body.iter().map(|bytes| bytes.len()).sum::<usize>());
    let parts = [head, size.as_bytes()].into_iter().chain(body).chain([&b"\r\n"[..]]);
    write_all(stream, parts).await
}

/// What ends a body that is marked so.
pub async fn write_body_end(stream: &Async<TcpStream>, marked: BodyEncoding) -> io::Result<()> {
    match marked {
        BodyEncoding::Identity => Ok(()),
        BodyEncoding::Chunked => write(stream, b"0\r\n\r\n", b"").await,
    }
}

async fn write_all<'a>(
    mut stream: &Async<TcpStream>,
    parts: impl IntoIterator<Item = &'a [u8]>,
) -> io::Result<()> {
    let mut parts = parts.into_iter().filter(|part| !part.is_empty());
    loop {
        let (mut slices, mut count) = ([IoSlice::new(b""); AT_ONCE], 0);
        for part in parts.by_ref().take(AT_ONCE) {
            slices[count] = IoSlice::new(part);
            count += 1;
        }
        if count == 0 {
            return Ok(());
        }
        let mut left = &mut slices[..count];
        while !left.is_empty() {
            let written = match stream.write_vectored(left).await {
                // A signal ends no connection.
                Err(wrong) if wrong.kind() == io::ErrorKind::Interrupted => continue,
                written => written?,
            };
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            IoSlice::advance_slices(&mut left, written);
        }
    }
}

/// Writes both whole, in as few packets as can be.
pub async fn write(stream: &Async<TcpStream>, head: &[u8], body: &[u8]) -> io::Result<()> {
    write_all(stream, [head, body]).await
}

pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        507 => "Insufficient Storage",
        _ => "Service Unavailable",
    }
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
    use crate::net::buffers::{HOLD_MOST, ResourcePool};
    use async_io::block_on;
    use proptest::prelude::*;
    use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
    use std::io::Write;
    use std::net::TcpListener;

    fn pair() -> (TcpStream, Async<TcpStream>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let near = TcpStream::connect(listener.local_addr().expect("an address")).expect("a peer");
        (near, Async::new(listener.accept().expect("a connection").0).expect("a socket"))
    }

    /// What comes of these bytes, written in pieces to a real socket that is closed after them.
    fn heard(bytes: &[u8], pieces: usize, of_request: bool) -> Result<(Vec<u8>, bool), HttpError> {
        let (mut near, far) = pair();
        let bytes = bytes.to_vec();
        let writer = std::thread::spawn(move || {
            for piece in bytes.chunks(bytes.len() / pieces + 1) {
                let _ = near.write_all(piece);
            }
        });
        let stock = ResourcePool::with(64, 16);
        let buffer = stock.buffer().expect("a buffer");
        let read = async {
            let shape_of = if of_request { ParsedHead::of_request } else { ParsedHead::of_response };
            let mut coming = IncomingMessage::read_message(&far, buffer, shape_of, &|| ()).await?;
            coming.read_to_end(&far, &stock, HOLD_MOST).await?;
            Ok(coming)
        };
        let message = block_on(read);
        drop(far);
        writer.join().expect("the writer ends");
        message.map(|message: IncomingMessage| {
            (message.text(), message.keep_alive && message.surplus().is_empty())
        })
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
            prop_assert!(matches!(heard(&bytes, 3, false), Err(HttpError::Closed | HttpError::Broken)));
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
        for (length, pieces) in [(HOLD_MOST, 1), (HOLD_MOST, 7), (HOLD_MOST + 1, 1)] {
            let head = format!("POST /a HTTP/1.1\r\nContent-Length: {length}\r\n\r\n");
            let bytes = [head.as_bytes(), &vec![b'x'; length]].concat();
            match heard(&bytes, pieces, true) {
                Ok((body, keep)) => assert!(keep && body.len() == HOLD_MOST),
                Err(bad) => assert!(length > HOLD_MOST && matches!(bad, HttpError::TooLarge)),
            }
        }
    }

    /// A message of any framing, taken piece by piece with two buffers at hand.
    #[test]
    fn a_body_past_all_buffers_comes_out_in_pieces_as_it_went_in() {
        let body: Vec<u8> = (0..150_000u32).flat_map(|number| number.to_be_bytes()).collect();
        let chunk =
            |part: &[u8]| [format!("{:x};x=\"y\"\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
        let chunked = |size: usize| {
            let chunks: Vec<u8> = body.chunks(size).flat_map(chunk).collect();
            [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", &chunks[..], b"0\r\nA: b\r\n\r\n"]
                .concat()
        };
        let told = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let told = [told.as_bytes(), &body].concat();
        let to_end = [b"HTTP/1.1 200 OK\r\n\r\n", &body[..]].concat();
        for (bytes, keep) in [(told, true), (chunked(11), true), (chunked(70_001), true), (to_end, false)] {
            let (near, far) = pair();
            let writer = std::thread::spawn(move || (&near).write_all(&bytes).is_ok());
            let stock = ResourcePool::buffers_only(2);
            let buffer = stock.buffer().expect("a buffer");
            let (heard, kept) = block_on(async {
                let mut coming = IncomingMessage::read_response(&far, buffer).await.expect("a head");
                let mut heard = Vec::new();
                while !coming.is_complete() {
                    for piece in coming.take_parts(&stock).await {
                        heard.extend_from_slice(piece.bytes());
                    }
                    coming.read_more(&far).await.expect("the rest");
                }
                heard.extend(coming.text());
                (heard, coming.keep_alive)
            });
            assert!(heard == body && kept == keep);
            drop(far);
            writer.join().expect("the writer ends");
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
    fn two_unlike_lengths_or_a_length_beside_chunks_are_malformed() {
        let codings = ["chunked", "gzip", "identity", "xchunked", "gzip\r\nTransfer-Encoding: chunked", ""];
        let codings = codings.map(|coding| format!("Transfer-Encoding: {coding}"));
        let lengths = ["Content-Length: 2".to_string(), "Content-Length: 4".to_string()];
        for extra in codings.iter().chain(&lengths) {
            for text in [format!("Content-Length: 3\r\n{extra}"), format!("{extra}\r\nContent-Length: 3")] {
                let text = format!("POST /a HTTP/1.1\r\n{text}\r\n\r\nabc");
                assert!(matches!(heard(text.as_bytes(), 1, true), Err(HttpError::Malformed)), "{extra}");
            }
        }
        for version in ["1.0", "1.1"] {
            let coding = if version == "1.0" { "chunked" } else { "gzip, chunked" };
            let text = format!("POST /a HTTP/{version}\r\nTransfer-Encoding: {coding}\r\n\r\n0\r\n\r\n");
            assert!(matches!(heard(text.as_bytes(), 1, true), Err(HttpError::Malformed)), "{coding}");
        }
    }

    #[test]
    fn a_list_of_many_buffers_is_read_whole_and_one_past_its_most_is_too_large() {
        let body: Vec<u8> = (0..300_000u32).flat_map(|number| number.to_be_bytes()).collect();
        let chunked = |size: usize| {
            let chunk = |part: &[u8]| [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
            let chunks: Vec<u8> = body.chunks(size).flat_map(chunk).collect();
            [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", &chunks[..], b"0\r\n\r\n"].concat()
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        for bytes in [[head.as_bytes(), &body].concat(), chunked(7), chunked(90_001)] {
            for most in [100, 50] {
                let (near, far) = pair();
                let bytes = bytes.clone();
                let writer = std::thread::spawn(move || (&near).write_all(&bytes).is_ok());
                let stock = ResourcePool::with(64, 16);
                match block_on(read_buffered_response(&far, &stock, most)) {
                    Ok((status, keep, mut long)) => {
                        let mut heard = Vec::new();
                        io::Read::read_to_end(&mut long, &mut heard).expect("from memory");
                        assert!(most == 100 && heard == body && keep && status == Some(200));
                    }
                    Err(bad) => assert!(most == 50 && matches!(bad, HttpError::TooLarge)),
                }
                drop(far);
                writer.join().expect("the writer ends");
            }
        }
    }
}
