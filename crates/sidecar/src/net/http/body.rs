//! Decodes the body of a message while it is read: framed by its length, by chunks, or by the end of the connection.

use super::error::HttpError;
#[cfg(test)]
use crate::net::buffers::ResourcePool;
use crate::net::buffers::{BUFFER_SIZE, Buffer};
use crate::net::socket;
use crate::net::timeout::timeout;
use async_io::Async;
use std::net::TcpStream;
use std::ops::Range;
#[cfg(test)]
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The longest line with a chunk size or a trailer that may arrive in parts, in bytes.
const MAX_CHUNK_LINE: usize = 1024;
/// The most bytes of all trailer fields of a body: as much as a head may have.
const MAX_TRAILER_BYTES: usize = BUFFER_SIZE;
/// How long the trailer fields may take to arrive, from the last chunk on.
const TRAILER_TIMEOUT: Duration = Duration::from_millis(2300);
/// The number of bytes that the framing of a chunk may have in addition to twice the chunk's data, so that bodies may be
/// sent in chunks of one byte. What chunks have beyond it is their excess.
const FRAMING_PER_CHUNK: usize = 16;
/// The most bytes of excess framing in a body: chunk extensions are skipped, and could be far longer than the data.
const MAX_EXCESS_FRAMING: usize = 16 * 1024;

const LINE_END: &[u8] = b"\r\n";

/// How the end of a body is determined.
pub(super) enum Framing {
    Length(usize),
    Chunked,
    /// A response without a length or chunks lasts until its connection ends.
    UntilClose,
}

/// Decoded bytes of a body, in one buffer.
pub struct BodyPart {
    pub(super) buffer: Buffer,
    pub(super) range: Range<usize>,
}

impl BodyPart {
    /// Creates a body of `count` zero bytes, in as many parts as it needs.
    #[cfg(test)]
    pub fn zeroed(pool: &Rc<ResourcePool>, count: usize) -> Vec<BodyPart> {
        let sizes = (0..count).step_by(BUFFER_SIZE).map(|from| BUFFER_SIZE.min(count - from));
        let part = |size: usize| {
            let mut buffer = pool.buffer().expect("a buffer");
            buffer.fill(size);
            BodyPart { buffer, range: 0..size }
        };
        sizes.map(part).collect()
    }

    /// The decoded bytes of this part.
    pub fn bytes(&self) -> &[u8] {
        &self.buffer.filled()[self.range.clone()]
    }

    /// Discards the bytes and returns the empty buffer.
    pub fn into_buffer(mut self) -> Buffer {
        self.buffer.truncate(0);
        self.buffer
    }
}

/// Reads available bytes into the buffer, waiting for them if there are none. Returns their number.
pub(super) async fn read_some(stream: &Async<TcpStream>, buffer: &mut Buffer) -> Result<usize, HttpError> {
    let spare = buffer.spare();
    if spare.is_empty() {
        return Err(HttpError::TooLarge);
    }
    let count = socket::read(stream, spare).await?;
    buffer.fill(count);
    if count == 0 { Err(HttpError::Closed) } else { Ok(count) }
}

/// Like `read_some`, but fails with `TimedOut` if no bytes have arrived by the time `due`.
async fn read_some_until(
    due: Instant,
    stream: &Async<TcpStream>,
    buffer: &mut Buffer,
) -> Result<usize, HttpError> {
    let remaining = due.saturating_duration_since(Instant::now());
    timeout(remaining, read_some(stream, buffer)).await.unwrap_or(Err(HttpError::TimedOut))
}

/// The decoder of a body while it is read. In the buffer, decoded bytes end at `end` and are followed by bytes that are
/// not decoded yet.
pub(super) struct BodyDecoder {
    framing: Framing,
    pub(super) end: usize,
    /// The number of bytes still missing of the body, or of the current chunk.
    remaining: usize,
    state: ChunkState,
    /// The length of the body as far as its head, or the sizes of its chunks, have announced it, in bytes.
    announced_length: u64,
    max_length: u64,
    /// The framing of all decoded chunks beyond what their data allows, in bytes.
    excess_framing: usize,
    trailer_bytes: usize,
    /// When the trailer fields must be complete; None before the last chunk.
    trailers_due: Option<Instant>,
    connection_ended: bool,
}

/// The part of a chunked body that comes next.
#[derive(Clone, Copy)]
enum ChunkState {
    Size,
    Data,
    Trailers,
}

impl BodyDecoder {
    pub(super) fn new(framing: Framing) -> BodyDecoder {
        let remaining = if let Framing::Length(length) = framing { length } else { 0 };
        BodyDecoder {
            framing,
            end: 0,
            remaining,
            state: ChunkState::Size,
            announced_length: remaining as u64,
            max_length: u64::MAX,
            excess_framing: 0,
            trailer_bytes: 0,
            trailers_due: None,
            connection_ended: false,
        }
    }

    /// Limits the length of the body, which has no limit before. Fails with `BodyTooLong` if the announced length exceeds it.
    pub(super) fn limit_length(&mut self, max_length: u64) -> Result<(), HttpError> {
        self.max_length = max_length;
        self.check_length()
    }

    fn check_length(&self) -> Result<(), HttpError> {
        if self.announced_length > self.max_length { Err(HttpError::BodyTooLong) } else { Ok(()) }
    }

    /// Reads more bytes into the buffer and returns their number. Fails with `TimedOut` if the trailer fields are late.
    pub(super) async fn read_more(
        &mut self,
        stream: &Async<TcpStream>,
        buffer: &mut Buffer,
    ) -> Result<usize, HttpError> {
        let read = match self.trailers_due {
            None => read_some(stream, buffer).await,
            // Boxed: this future is rare and would enlarge the future of every read.
            Some(due) => Box::pin(read_some_until(due, stream, buffer)).await,
        };
        match read {
            Err(HttpError::Closed) if matches!(self.framing, Framing::UntilClose) => {
                self.connection_ended = true;
                Ok(0)
            }
            other => other,
        }
    }

    /// Decodes the bytes read since the last call; returns whether the body is complete.
    pub(super) fn decode(&mut self, buffer: &mut Buffer) -> Result<bool, HttpError> {
        match self.framing {
            Framing::Length(_) => {
                let count = self.remaining.min(buffer.filled().len() - self.end);
                (self.end, self.remaining) = (self.end + count, self.remaining - count);
                Ok(self.remaining == 0)
            }
            Framing::UntilClose => {
                self.end = buffer.filled().len();
                Ok(self.connection_ended)
            }
            Framing::Chunked => {
                let mut read = self.end;
                let complete = self.decode_chunks(buffer.filled_mut(), &mut read);
                // Removes the framing of decoded chunks from the buffer, which many small chunks would fill otherwise.
                buffer.remove_range(self.end..read);
                complete
            }
        }
    }

    /// Counts the framing of a chunk of `remaining` bytes, whose size line has `line` bytes.
    fn count_framing(&mut self, line: usize) -> Result<(), HttpError> {
        let allowed = self.remaining.saturating_mul(2).saturating_add(FRAMING_PER_CHUNK);
        let framing = line + LINE_END.len();
        self.excess_framing = (self.excess_framing + framing).saturating_sub(allowed);
        if self.excess_framing > MAX_EXCESS_FRAMING { Err(HttpError::FramingTooLarge) } else { Ok(()) }
    }

    /// Decodes chunks in place: raw bytes are decoded up to `read`, and decoded bytes end at `end`. Returns whether the
    /// body is complete.
    pub(super) fn decode_chunks(&mut self, bytes: &mut [u8], read: &mut usize) -> Result<bool, HttpError> {
        loop {
            let rest = &bytes[*read..];
            match self.state {
                ChunkState::Size => {
                    let (line, size) = match httparse::parse_chunk_size(rest) {
                        Ok(httparse::Status::Complete(found)) => found,
                        Ok(httparse::Status::Partial) if rest.len() > MAX_CHUNK_LINE => {
                            return Err(HttpError::FramingTooLarge);
                        }
                        Ok(httparse::Status::Partial) => return Ok(false),
                        Err(_) => return Err(HttpError::Malformed),
                    };
                    self.remaining = usize::try_from(size).map_err(|_| HttpError::TooLarge)?;
                    self.count_framing(line)?;
                    self.announced_length = self.announced_length.saturating_add(size);
                    self.check_length()?;
                    if size == 0 {
                        self.state = ChunkState::Trailers;
                        self.trailers_due = Some(Instant::now() + TRAILER_TIMEOUT);
                    } else {
                        self.state = ChunkState::Data;
                    }
                    *read += line;
                }
                ChunkState::Data => {
                    let count = self.remaining.min(rest.len());
                    bytes.copy_within(*read..*read + count, self.end);
                    (self.end, self.remaining, *read) =
                        (self.end + count, self.remaining - count, *read + count);
                    let rest = &bytes[*read..];
                    if self.remaining > 0 || rest.len() < LINE_END.len() {
                        return Ok(false);
                    }
                    if !rest.starts_with(LINE_END) {
                        return Err(HttpError::Malformed);
                    }
                    (self.state, *read) = (ChunkState::Size, *read + LINE_END.len());
                }
                // Trailers are skipped, up to the empty line.
                ChunkState::Trailers => match rest.windows(2).position(|pair| pair == LINE_END) {
                    Some(line) => {
                        *read += line + LINE_END.len();
                        if line == 0 {
                            return Ok(true);
                        }
                        self.trailer_bytes += line + LINE_END.len();
                        if self.trailer_bytes > MAX_TRAILER_BYTES {
                            return Err(HttpError::FramingTooLarge);
                        }
                    }
                    None if rest.len() > MAX_CHUNK_LINE => return Err(HttpError::FramingTooLarge),
                    None => return Ok(false),
                },
            }
        }
    }
}
