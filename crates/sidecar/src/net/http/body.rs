//! Decodes the body of a message while it is read: framed by its length, by chunks, or by the end of the connection.

use super::error::HttpError;
use crate::net::buffers::Buffer;
#[cfg(test)]
use crate::net::buffers::{BUFFER_SIZE, ResourcePool};
use crate::net::socket;
use async_io::Async;
use std::net::TcpStream;
use std::ops::Range;
#[cfg(test)]
use std::rc::Rc;

/// The longest line with a chunk size or a trailer, in bytes.
const MAX_CHUNK_LINE: usize = 1024;

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

/// The decoder of a body while it is read. In the buffer, decoded bytes end at `end` and are followed by bytes that are
/// not decoded yet.
pub(super) struct BodyDecoder {
    framing: Framing,
    pub(super) end: usize,
    /// The number of bytes still missing of the body, or of the current chunk.
    remaining: usize,
    state: ChunkState,
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
        BodyDecoder { framing, end: 0, remaining, state: ChunkState::Size, connection_ended: false }
    }

    /// Reads more bytes into the buffer and returns their number.
    pub(super) async fn read_more(
        &mut self,
        stream: &Async<TcpStream>,
        buffer: &mut Buffer,
    ) -> Result<usize, HttpError> {
        match read_some(stream, buffer).await {
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
                            return Err(HttpError::TooLarge);
                        }
                        Ok(httparse::Status::Partial) => return Ok(false),
                        Err(_) => return Err(HttpError::Malformed),
                    };
                    self.remaining = usize::try_from(size).map_err(|_| HttpError::TooLarge)?;
                    self.state = if size == 0 { ChunkState::Trailers } else { ChunkState::Data };
                    *read += line;
                }
                ChunkState::Data => {
                    let count = self.remaining.min(rest.len());
                    bytes.copy_within(*read..*read + count, self.end);
                    (self.end, self.remaining, *read) =
                        (self.end + count, self.remaining - count, *read + count);
                    let rest = &bytes[*read..];
                    if self.remaining > 0 || rest.len() < 2 {
                        return Ok(false);
                    }
                    if !rest.starts_with(b"\r\n") {
                        return Err(HttpError::Malformed);
                    }
                    (self.state, *read) = (ChunkState::Size, *read + 2);
                }
                // Trailers are skipped, up to the empty line.
                ChunkState::Trailers => match rest.windows(2).position(|pair| pair == b"\r\n") {
                    Some(line) => {
                        *read += line + 2;
                        if line == 0 {
                            return Ok(true);
                        }
                    }
                    None if rest.len() > MAX_CHUNK_LINE => return Err(HttpError::TooLarge),
                    None => return Ok(false),
                },
            }
        }
    }
}
