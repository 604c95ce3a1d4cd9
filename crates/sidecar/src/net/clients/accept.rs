//! Accepts connections, and closes others if no socket is free for a new one.

use super::state::{ClientSide, IdleKey, PERMIT_POLL_INTERVAL};
use crate::net::executor::until_operation_allowed;
use crate::net::local_failure::{FailureCause, failure_cause};
use crate::net::socket;
use async_io::{Async, Timer};
use futures_lite::future::or;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// From this number on, new connections that have sent nothing yet count as a crowd.
const CROWD_SIZE: usize = 8;
/// The pause after a connection was closed to free its descriptor, which is free by then.
const DESCRIPTOR_WAIT: Duration = Duration::from_millis(1);

impl ClientSide {
    /// Accepts connections until `stop_accepting` is called. An accepted connection is always read, and connections
    /// that the kernel has queued by then are accepted too, as their clients may have written their requests already.
    pub async fn accept(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            let Some(permit) = self.resources.client_sockets.take() else {
                let _ = self.close_idle_without_request() || self.close_idle_or_stalled();
                Timer::after(PERMIT_POLL_INTERVAL).await;
                continue;
            };
            let stopped = async {
                self.accepting.closed().await;
                None
            };
            // A yield within the accept would let `stopped` win while connections are queued.
            until_operation_allowed().await;
            match or(async { Some(socket::accept(&listener).await) }, stopped).await {
                Some(Ok((stream, _))) => {
                    // A client that connects when only spare permits are left, and all other connections are busy, is
                    // still read and gets a rejection: a connection that is not accepted would lose what its client has
                    // written.
                    let on_spare_permit = self.only_spare_permits_left().await;
                    self.silent_new_connections.set(self.silent_new_connections.get() + 1);
                    self.executor
                        .spawn(self.clone().serve_connection(stream, permit, on_spare_permit))
                        .detach();
                }
                Some(Err(error)) => self.accept_failed(&error).await,
                None => return,
            }
        }
    }

    /// Handles a failed accept. If no descriptor is left, idle connections are closed, as a client queued at the
    /// listener has most likely written a request already.
    async fn accept_failed(&self, error: &io::Error) {
        self.failed_accepts.record("accept", error);
        match failure_cause(error) {
            FailureCause::Transient => {}
            FailureCause::Descriptors => {
                // Partial requests are not closed: their clients have the same claim to a response as the queued ones.
                let closed = self.pool.close_longest_idle()
                    || self.close_idle_without_request()
                    || self.close_longest_idle();
                Timer::after(if closed { DESCRIPTOR_WAIT } else { PERMIT_POLL_INTERVAL }).await;
            }
            FailureCause::LocalResources | FailureCause::Remote => {
                Timer::after(PERMIT_POLL_INTERVAL).await;
            }
        }
    }

    /// Ends `accept` once no connection is queued at the listener.
    pub fn stop_accepting(&self) {
        self.accepting.close();
    }

    /// Frees permits while only spare ones are left; returns whether that failed. If a crowd has just connected, waits
    /// for its silent connections to be closed, rather than close clients that had requests. With fewer new connections
    /// it does not wait, or no client would be accepted.
    async fn only_spare_permits_left(&self) -> bool {
        while self.resources.client_sockets.only_spare_left() {
            let crowd = self.close_idle_without_request() || self.silent_new_connections.get() >= CROWD_SIZE;
            if !crowd || self.accepting.is_closed() {
                return !self.close_idle_or_stalled();
            }
            Timer::after(PERMIT_POLL_INTERVAL).await;
        }
        false
    }

    /// Closes the older half of the idle connections that have had no request; returns whether there were any. A crowd
    /// connects faster than permits could be freed by closing one connection for each that is accepted.
    fn close_idle_without_request(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let first_with_request = IdleKey { had_request: true, number: 0 };
        let new: Vec<_> = idle.range(..first_with_request).map(|(key, _)| *key).collect();
        for key in &new[..new.len().div_ceil(2)] {
            if let Some(close) = idle.remove(key) {
                let _ = close.try_send(());
            }
        }
        !new.is_empty()
    }

    /// Closes the first idle connection in the order of `IdleKey`, which loses nothing. If none is idle, closes the
    /// partial request that has received no bytes for longest, as its client has most likely stopped.
    fn close_idle_or_stalled(&self) -> bool {
        self.close_longest_idle() || self.close_stalled_request()
    }

    fn close_stalled_request(&self) -> bool {
        let mut partial = self.partial_requests.borrow_mut();
        let stalled = partial.iter().min_by_key(|(_, request)| request.last_read.get());
        let stalled = stalled.map(|(number, _)| *number);
        let stalled = stalled.and_then(|number| partial.remove(&number));
        stalled.is_some_and(|request| request.close.try_send(()).is_ok())
    }

    pub(super) fn close_longest_idle(&self) -> bool {
        let longest = self.idle.borrow_mut().pop_first();
        longest.is_some_and(|(_, close)| close.try_send(()).is_ok())
    }

    /// Closes idle connections while this process uses more than its share, which another process of this sidecar
    /// needs.
    pub fn shrink_to_share(&self) {
        while self.resources.exceeds_share() && self.close_longest_idle() {}
    }
}
