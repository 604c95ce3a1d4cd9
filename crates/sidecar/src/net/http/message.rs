//! A message that is read from a connection: its head as a whole, its body in parts.

use super::body::{BodyDecoder, BodyPart, Framing, read_some};
use super::error::HttpError;
use super::head::{ParsedHead, status};
use crate::net::buffers::{BUFFER_SIZE, Buffer, ResourcePool};
use async_io::Async;
use std::collections::VecDeque;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;

/// Parses a head; None while it is incomplete.
type ParseHead = fn(&[u8]) -> Result<Option<ParsedHead>, HttpError>;

/// Reads until the head is complete, and skips interim responses. Returns the head, with which the buffer then begins,
/// and the number of bytes read.
///
/// Interim heads stay in the buffer until the final one is complete, so the size of the buffer bounds the sum of all
/// heads. Fails with `TooLarge` beyond that.
async fn read_head(
    stream: &Async<TcpStream>,
    buffer: &mut Buffer,
    parse: ParseHead,
    on_read: &dyn Fn(),
) -> Result<(ParsedHead, usize), HttpError> {
    let (mut read, mut interim_length) = (0, 0);
    loop {
        match parse(&buffer.filled()[interim_length..])? {
            Some(head) if head.interim => interim_length += head.length,
            Some(head) => {
                buffer.drop_front(interim_length);
                return Ok((head, read));
            }
            None => {
                read += read_some(stream, buffer).await?;
                on_read();
            }
        }
    }
}

/// A message with a complete head, and the part of its body that was read and not taken yet.
pub struct IncomingMessage {
    pub head: Vec<u8>,
    /// The minor version: 0 for HTTP/1.0.
    pub http_minor: u8,
    /// Whether the connection may carry another message after this one.
    pub keep_alive: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    decoder: BodyDecoder,
    content_length: Option<u64>,
    complete: bool,
    /// The number of bytes read from the connection since the last call of `take_bytes_read`.
    bytes_read: usize,
    /// Full buffers of decoded bytes, which precede the bytes in `buffer`.
    full_parts: Vec<BodyPart>,
    /// Decoded bytes up to the decoder's `end`, followed by bytes that are not decoded yet.
    buffer: Buffer,
    /// The bytes that are not decoded yet, while the buffer is taken: at most a chunk size or a trailer.
    undecoded: Vec<u8>,
}

impl IncomingMessage {
    /// Reads a request's head. `on_read` is called after each read.
    pub async fn read_request(
        stream: &Async<TcpStream>,
        buffer: Buffer,
        on_read: &dyn Fn(),
    ) -> Result<IncomingMessage, HttpError> {
        Self::read_message(stream, buffer, ParsedHead::parse_request, on_read).await
    }

    /// Reads a response's head; interim responses are skipped, and fit into the buffer together with it.
    pub async fn read_response(
        stream: &Async<TcpStream>,
        buffer: Buffer,
    ) -> Result<IncomingMessage, HttpError> {
        Self::read_message(stream, buffer, ParsedHead::parse_response, &|| ()).await
    }

    pub(super) async fn read_message(
        stream: &Async<TcpStream>,
        mut buffer: Buffer,
        parse: ParseHead,
        on_read: &dyn Fn(),
    ) -> Result<IncomingMessage, HttpError> {
        let (parsed, bytes_read) = read_head(stream, &mut buffer, parse, on_read).await?;
        let ParsedHead { minor, framing, keep_alive, expects_continue, .. } = parsed;
        let head = buffer.filled()[..parsed.length].to_vec();
        buffer.drop_front(parsed.length);
        let content_length = if let Framing::Length(length) = framing { Some(length as u64) } else { None };
        let mut message = IncomingMessage {
            head,
            http_minor: minor,
            keep_alive,
            expects_continue,
            decoder: BodyDecoder::new(framing),
            content_length,
            complete: false,
            bytes_read,
            full_parts: Vec::new(),
            buffer,
            undecoded: Vec::new(),
        };
        message.decode()?;
        Ok(message)
    }

    fn decode(&mut self) -> Result<(), HttpError> {
        if !self.complete && self.decoder.decode(&mut self.buffer)? {
            self.complete = true;
        }
        Ok(())
    }

    /// Whether the body was read to its last byte.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Limits the length of the body. From now on, a longer one fails with `BodyTooLong` as soon as its head or the sizes
    /// of its chunks show that.
    pub fn limit_body(&mut self, max_length: u64) -> Result<(), HttpError> {
        self.decoder.limit_length(max_length)
    }

    /// Returns the number of bytes read from the connection since the last call.
    pub fn take_bytes_read(&mut self) -> usize {
        std::mem::take(&mut self.bytes_read)
    }

    /// The bytes that were read after the end of the complete message: the beginning of the next one.
    pub fn surplus(&self) -> &[u8] {
        &self.buffer.filled()[self.decoder.end..]
    }

    /// Discards the bytes after the end of the complete message, once they are stored elsewhere.
    pub fn drop_surplus(&mut self) {
        self.buffer.truncate(self.decoder.end);
    }

    /// The length of the whole body in bytes, if the head gives it, or if the body is complete and no part was taken.
    pub fn length(&self) -> Option<u64> {
        self.content_length.or(self.complete.then_some(self.buffered_len()))
    }

    /// The number of decoded bytes that were not taken yet.
    pub fn buffered_len(&self) -> u64 {
        self.buffered().map(|bytes| bytes.len() as u64).sum()
    }

    /// The decoded bytes that were not taken yet.
    pub fn buffered(&self) -> impl Iterator<Item = &[u8]> {
        let last = &self.buffer.filled()[..self.decoder.end];
        self.full_parts.iter().map(BodyPart::bytes).chain((!last.is_empty()).then_some(last))
    }

    /// Makes space for reading more, with another buffer if necessary. Returns false if there is no additional buffer, or
    /// `max` bytes are buffered already.
    pub fn ensure_space(&mut self, pool: &Rc<ResourcePool>, max: usize) -> bool {
        if !self.buffer.spare().is_empty() {
            return true;
        }
        if (self.full_parts.len() + 1) * BUFFER_SIZE >= max {
            return false;
        }
        let Some(replacement) = pool.additional_buffer() else { return false };
        let part = self.replace_buffer(replacement);
        self.full_parts.push(part);
        true
    }

    /// Takes the decoded bytes of the current buffer, and continues with `replacement`.
    fn replace_buffer(&mut self, mut replacement: Buffer) -> BodyPart {
        // A chunk size may be split at the end of the buffer, so bytes that are not decoded move to the new buffer.
        let rest = &self.buffer.filled()[self.decoder.end..];
        replacement.spare()[..rest.len()].copy_from_slice(rest);
        replacement.fill(rest.len());
        let range = 0..std::mem::take(&mut self.decoder.end);
        BodyPart { buffer: std::mem::replace(&mut self.buffer, replacement), range }
    }

    /// Reads available bytes and decodes them. There must be space, see `ensure_space`.
    pub async fn read_more(&mut self, stream: &Async<TcpStream>) -> Result<(), HttpError> {
        self.bytes_read += self.decoder.read_more(stream, &mut self.buffer).await?;
        self.decode()
    }

    /// Takes the decoded bytes, whether the body is complete or not. If more is to be read and there is no additional
    /// buffer, the bytes of the current buffer stay; `take_buffer` takes them.
    pub fn take_parts(&mut self, pool: &Rc<ResourcePool>) -> Vec<BodyPart> {
        let mut taken = std::mem::take(&mut self.full_parts);
        if self.decoder.end > 0 && self.complete {
            // No more bytes are read into this message, so it needs no other buffer.
            let range = 0..std::mem::take(&mut self.decoder.end);
            taken.push(BodyPart {
                buffer: std::mem::replace(&mut self.buffer, Buffer::placeholder(pool)),
                range,
            });
        } else if self.decoder.end > 0
            && let Some(replacement) = pool.additional_buffer()
        {
            taken.push(self.replace_buffer(replacement));
        }
        taken
    }

    /// Takes the decoded bytes of the current buffer, if there are any, together with the buffer. More can be read only
    /// after `continue_in`.
    pub fn take_buffer(&mut self, pool: &Rc<ResourcePool>) -> Option<BodyPart> {
        if self.decoder.end == 0 {
            return None;
        }
        self.undecoded = self.buffer.filled()[self.decoder.end..].to_vec();
        let range = 0..std::mem::take(&mut self.decoder.end);
        Some(BodyPart { buffer: std::mem::replace(&mut self.buffer, Buffer::placeholder(pool)), range })
    }

    /// Continues to read into an empty buffer, after `take_buffer`.
    pub fn continue_in(&mut self, mut buffer: Buffer) {
        let undecoded = std::mem::take(&mut self.undecoded);
        buffer.spare()[..undecoded.len()].copy_from_slice(&undecoded);
        buffer.fill(undecoded.len());
        self.buffer = buffer;
    }

    /// Discards the decoded bytes that were not taken yet.
    pub fn discard_buffered(&mut self) {
        self.full_parts.clear();
        self.buffer.drop_front(std::mem::take(&mut self.decoder.end));
    }

    /// The decoded bytes in one piece, for short bodies.
    pub fn body_bytes(&self) -> Vec<u8> {
        self.buffered().collect::<Vec<_>>().concat()
    }

    /// Reads until the body is complete. Fails with `TooLarge` if it needs another buffer and there is none, or `max`
    /// bytes are buffered already.
    pub async fn read_to_end(
        &mut self,
        stream: &Async<TcpStream>,
        pool: &Rc<ResourcePool>,
        max: usize,
    ) -> Result<(), HttpError> {
        while !self.complete {
            if !self.ensure_space(pool, max) {
                return Err(HttpError::TooLarge);
            }
            self.read_more(stream).await?;
        }
        Ok(())
    }
}

/// A complete body that is read as a stream. Each buffer is freed once it is read.
pub struct BodyReader {
    parts: VecDeque<BodyPart>,
}

/// Reads a complete response into at most `max_buffers` buffers: the endpoint list of a large fleet is far longer than
/// the body of any buffered request. Returns the status, whether the connection can be used again, and the body.
pub async fn read_buffered_response(
    stream: &Async<TcpStream>,
    pool: &Rc<ResourcePool>,
    max_buffers: usize,
) -> Result<(Option<u16>, bool, BodyReader), HttpError> {
    let buffer = pool.buffer().ok_or(HttpError::TooLarge)?;
    let mut message = IncomingMessage::read_response(stream, buffer).await?;
    message.read_to_end(stream, pool, max_buffers * BUFFER_SIZE).await?;
    let (status, keep_alive) = (status(&message.head), message.keep_alive && message.surplus().is_empty());
    let last = BodyPart { range: 0..message.decoder.end, buffer: message.buffer };
    let parts = message.full_parts.into_iter().chain([last]).collect();
    Ok((status, keep_alive, BodyReader { parts }))
}

impl io::Read for BodyReader {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        while let Some(BodyPart { buffer, range }) = self.parts.front_mut() {
            if range.start == range.end {
                self.parts.pop_front();
                continue;
            }
            let count = range.len().min(into.len());
            into[..count].copy_from_slice(&buffer.filled()[range.start..range.start + count]);
            range.start += count;
            return Ok(count);
        }
        Ok(0)
    }
}
