//! Waits for a request on an idle connection.

use super::state::{ClientSide, IdleKey};
use crate::counters::CloseReason;
use crate::net::leaving;
use crate::net::timeout::timeout;
use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::future::or;
use std::net::TcpStream;
use std::time::Duration;

/// How long a connection may be idle between requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(300);
/// How long a new connection does not count as idle: its first request follows at once, if at all. With a longer time,
/// a crowd of silent connections would delay the connections that come after it.
const FIRST_BYTE_WAIT: Duration = Duration::from_millis(20);

/// Registers an idle connection as one that may be closed to free a socket, until the guard is dropped.
struct IdleGuard<'a> {
    clients: &'a ClientSide,
    key: IdleKey,
    closed: Receiver<()>,
}

impl<'a> IdleGuard<'a> {
    fn register(clients: &'a ClientSide, had_request: bool) -> IdleGuard<'a> {
        let key = IdleKey { had_request, number: clients.next_number() };
        let (close, closed): (Sender<()>, Receiver<()>) = async_channel::bounded(1);
        clients.idle.borrow_mut().insert(key, close);
        IdleGuard { clients, key, closed }
    }
}

impl Drop for IdleGuard<'_> {
    fn drop(&mut self) {
        self.clients.idle.borrow_mut().remove(&self.key);
    }
}

impl ClientSide {
    /// Waits until bytes arrive. `connected_at` is set for a client that has had no request. The error is the reason to
    /// close the connection.
    pub(super) async fn wait_for_request(
        &self,
        stream: &Async<TcpStream>,
        connected_at: Option<Duration>,
    ) -> Result<(), CloseReason> {
        if connected_at.is_some() {
            // Clients do not retry a request that is lost on a new connection, so this connection does not count as
            // idle yet.
            let readable = timeout(FIRST_BYTE_WAIT, stream.readable()).await;
            self.silent_new_connections.set(self.silent_new_connections.get() - 1);
            if let Some(readable) = readable {
                return readable.map_err(|_| CloseReason::ClientDisconnected);
            }
        }
        let idle = IdleGuard::register(self, connected_at.is_none());
        let readable = async { stream.readable().await.is_ok() };
        let closed = async {
            let _ = idle.closed.recv().await;
            false
        };
        let limit = connected_at.map_or(IDLE_TIMEOUT, |at| self.first_request_time_left(at));
        let readable = timeout(limit, or(readable, closed)).await.unwrap_or(false);
        drop(idle);
        // A request may have arrived just as its connection was to be closed.
        if readable || leaving::has_unread(stream) {
            return Ok(());
        }
        Err(if self.closing_connections.get() { CloseReason::Shutdown } else { CloseReason::Idle })
    }
}
