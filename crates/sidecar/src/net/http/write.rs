//! Writes messages: the head and parts of a body, in as few packets as possible.

use crate::net::socket;
use async_io::Async;
use std::io::{self, IoSlice};
use std::net::TcpStream;

/// The most slices that one system call writes: a head, the buffered parts of a body, and the framing of a chunk.
const MAX_SLICES: usize = 8;

/// The framing of an outgoing body.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum BodyEncoding {
    /// The head gives the length, or the body ends with the connection.
    Identity,
    Chunked,
}

/// Writes a head, which may be empty, and the part of a body that follows it.
pub async fn write_body_part<'a>(
    stream: &Async<TcpStream>,
    head: &'a [u8],
    body: impl Iterator<Item = &'a [u8]>,
    encoding: BodyEncoding,
) -> io::Result<()> {
    if encoding == BodyEncoding::Identity {
        return write_all(stream, std::iter::once(head).chain(body)).await;
    }
    let body: Vec<&[u8]> = body.filter(|bytes| !bytes.is_empty()).collect();
    if body.is_empty() {
        return write(stream, head, b"").await;
    }
    let size = format!("{:x}\r\n", body.iter().map(|bytes| bytes.len()).sum::<usize>());
    let slices = [head, size.as_bytes()].into_iter().chain(body).chain([&b"\r\n"[..]]);
    write_all(stream, slices).await
}

/// Writes the end of a body with this encoding.
pub async fn write_body_end(stream: &Async<TcpStream>, encoding: BodyEncoding) -> io::Result<()> {
    match encoding {
        BodyEncoding::Identity => Ok(()),
        BodyEncoding::Chunked => write(stream, b"0\r\n\r\n", b"").await,
    }
}

/// Writes a head and a complete body.
pub async fn write(stream: &Async<TcpStream>, head: &[u8], body: &[u8]) -> io::Result<()> {
    write_all(stream, [head, body]).await
}

async fn write_all<'a>(
    stream: &Async<TcpStream>,
    slices: impl IntoIterator<Item = &'a [u8]>,
) -> io::Result<()> {
    let mut pending = slices.into_iter().filter(|slice| !slice.is_empty());
    loop {
        let (mut batch, mut count) = ([IoSlice::new(b""); MAX_SLICES], 0);
        for slice in pending.by_ref().take(MAX_SLICES) {
            batch[count] = IoSlice::new(slice);
            count += 1;
        }
        if count == 0 {
            return Ok(());
        }
        let mut rest = &mut batch[..count];
        while !rest.is_empty() {
            let written = socket::write_vectored(stream, rest).await?;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            IoSlice::advance_slices(&mut rest, written);
        }
    }
}
