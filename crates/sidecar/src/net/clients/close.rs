//! Closes connections: lingers after a response, and shuts down the client side.

use super::state::{ClientSide, PERMIT_POLL_INTERVAL};
use crate::net::owner::Event;
use crate::net::socket;
use crate::net::timeout::timeout;
use async_io::{Async, Timer};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// How long, and up to how many bytes, a client's remaining input is read before its connection is closed.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_LINGER_BYTES: usize = 1024 * 1024;
/// How long lingering may continue after the shutdown deadline, so that the process ends before it is killed.
const SHUTDOWN_LINGER: Duration = Duration::from_millis(50);
const LINGER_READ_SIZE: usize = 4096;

impl ClientSide {
    /// Makes each response from now on the last one of its connection.
    pub fn close_after_responses(&self) {
        self.closing_connections.set(true);
    }

    /// Continues to accept requests, but each is due within this time.
    pub fn begin_shutdown(&self, within: Duration) {
        let at = self.clock.now() + within;
        self.shutdown_deadline.set(Some(at));
        self.queue.push(Event::ShutdownBy(at));
    }

    /// Closes idle connections, makes each response the last one of its connection, and returns when no client is left.
    /// From the shutdown deadline on, requests that have arrived only in part are rejected.
    pub async fn finish_shutdown(&self) {
        self.close_after_responses();
        while self.resources.client_sockets.taken() > 0 {
            while self.close_longest_idle() {}
            if self.time_to_shutdown() == Some(Duration::ZERO) {
                self.reading.close();
            }
            Timer::after(PERMIT_POLL_INTERVAL).await;
        }
    }

    /// The time until the shutdown deadline; None unless the process is shutting down.
    fn time_to_shutdown(&self) -> Option<Duration> {
        self.shutdown_deadline.get().map(|deadline| deadline.saturating_sub(self.clock.now()))
    }

    /// Reads and discards what the client still sends. Closing a connection with unread bytes resets it, and a response
    /// on its way would be lost.
    pub(super) async fn linger(&self, stream: &Async<TcpStream>) {
        let _ = stream.get_ref().shutdown(Shutdown::Write);
        let discard = async {
            let (mut bytes, mut total) = ([0; LINGER_READ_SIZE], 0);
            while let Ok(count @ 1..) = socket::read(stream, &mut bytes).await {
                total += count;
                if total > MAX_LINGER_BYTES {
                    break;
                }
            }
        };
        let limit = self.time_to_shutdown().map_or(LINGER_TIMEOUT, |remaining| remaining + SHUTDOWN_LINGER);
        timeout(LINGER_TIMEOUT.min(limit), discard).await;
    }
}
