//! Ends a connection after its last message.

use super::socket;
use super::timeout::timeout;
use async_io::Async;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// The most bytes that are read and discarded before a connection is closed.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;
const READ_SIZE: usize = 4096;

/// Shuts down writing, and reads and discards what the peer still sends, up to `MAX_DISCARDED_BYTES` and for at most
/// `limit`. Closing a connection with unread bytes resets it, and a message on its way would be lost.
pub async fn linger(stream: &Async<TcpStream>, limit: Duration) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let discard = async {
        let (mut bytes, mut total) = ([0; READ_SIZE], 0);
        while let Ok(count @ 1..) = socket::read(stream, &mut bytes).await {
            total += count;
            if total > MAX_DISCARDED_BYTES {
                break;
            }
        }
    };
    timeout(limit, discard).await;
}
