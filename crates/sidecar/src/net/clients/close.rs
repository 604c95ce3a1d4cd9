//! Closes connections: lingers after a response, and shuts down the client side.

use super::state::{ClientSide, PERMIT_POLL_INTERVAL};
use crate::net::linger::linger;
use crate::net::owner::Event;
use async_io::{Async, Timer};
use std::net::TcpStream;
use std::time::Duration;

/// How long a client's remaining input is read before its connection is closed.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long lingering may continue after the shutdown deadline, so that the process ends before it is killed.
const SHUTDOWN_LINGER: Duration = Duration::from_millis(50);

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

    /// Reads and discards for a short time what the client still sends, so that it receives the response.
    pub(super) async fn linger(&self, stream: &Async<TcpStream>) {
        let limit = self.time_to_shutdown().map_or(LINGER_TIMEOUT, |remaining| remaining + SHUTDOWN_LINGER);
        linger(stream, LINGER_TIMEOUT.min(limit)).await;
    }
}
