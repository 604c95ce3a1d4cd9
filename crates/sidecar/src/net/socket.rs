//! The socket operations of all loops: each one counts towards the budget of its task (see `super::executor`), and is
//! repeated if a signal interrupts it. A yield precedes the operation, so dropping one of these futures loses no bytes.

#![expect(clippy::disallowed_methods, reason = "this module wraps them")]

use super::executor::begin_operation;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io::{self, ErrorKind, IoSlice};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};

/// Performs an operation, and again for as long as signals interrupt it.
async fn uninterrupted<T>(mut operation: impl AsyncFnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        begin_operation().await;
        match operation().await {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Reads available bytes, waiting for them if there are none. Returns their number, which is 0 at the end of the stream.
pub async fn read(mut stream: &Async<TcpStream>, into: &mut [u8]) -> io::Result<usize> {
    uninterrupted(async || stream.read(into).await).await
}

/// Like `read`, but the bytes stay unread.
pub async fn peek(stream: &Async<TcpStream>, into: &mut [u8]) -> io::Result<usize> {
    uninterrupted(async || stream.peek(into).await).await
}

/// Writes as many bytes of the slices as the socket accepts, waiting until it accepts some. Returns their number.
pub async fn write_vectored(mut stream: &Async<TcpStream>, slices: &[IoSlice<'_>]) -> io::Result<usize> {
    uninterrupted(async || stream.write_vectored(slices).await).await
}

/// Accepts a connection. A connection that ended before it was accepted is an error too.
pub async fn accept(listener: &Async<TcpListener>) -> io::Result<(Async<TcpStream>, SocketAddr)> {
    uninterrupted(async || listener.accept().await).await
}

/// Receives a datagram, of which at most the length of `into` is stored. Returns that length and the sender.
pub async fn receive_from(socket: &Async<UdpSocket>, into: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
    uninterrupted(async || socket.recv_from(into).await).await
}
